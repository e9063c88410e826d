package server

import (
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestPickSkipsFullRegion guards against requests sent to a region that can only queue them: one
// without free slots is skipped, requests sent since its digest occupy slots, and a digest older
// than maxDigestAge is ignored.
func TestPickSkipsFullRegion(t *testing.T) {
	var table regionTable
	now := time.Minute
	storeDigest := func(region string, running int32) {
		table.store(&schema.RegionDigest{Region: region, Models: []*schema.ModelDigest{{Name: "m", Slots: 8, Running: running}}}, now)
	}
	storeDigest("full", 8)
	storeDigest("free", 6)
	for range 2 {
		if region, ok := table.pick("m", now, false); !ok || region != "free" {
			t.Fatalf("picked %q, %v, want the region with free slots", region, ok)
		}
	}
	if region, ok := table.pick("m", now, false); ok {
		t.Errorf("picked %q although requests sent since its digest fill its slots", region)
	}
	if _, ok := table.pick("m", now, true); !ok {
		t.Error("picked no region although full ones are allowed")
	}
	if region, ok := table.pick("m", now+2*maxDigestAge, true); ok {
		t.Errorf("picked %q by a digest older than maxDigestAge", region)
	}
}
