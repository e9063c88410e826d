package command

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestConnectionLimit guards against connections that take the descriptors of everything else, and against none at all
// where the number of descriptors is not known.
func TestConnectionLimit(t *testing.T) {
	got := map[uint64]int{}
	for _, descriptors := range []uint64{0, 1, 256, 1024, 32_768, 1 << 20, 1<<64 - 1} {
		got[descriptors] = connectionLimit(descriptors)
	}
	want := map[uint64]int{0: maxConnections, 1: 1, 256: 128, 1024: 512, 32_768: maxConnections, 1 << 20: maxConnections, 1<<64 - 1: maxConnections}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("connections by descriptors (-want +got):\n%s", diff)
	}
}
