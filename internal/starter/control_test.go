package starter

import (
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestEmptyDiskIsReportedOnce guards against taking a process that starts again for the first one, which
// need not have observed what was before it.
func TestEmptyDiskIsReportedOnce(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "control")
	c := &Control{Options: Options{
		Settings: &schema.Settings{Name: "h", Internal: "127.0.0.1:1"}, Log: zerolog.Nop(), Seeds: func() []string { return []string{"127.0.0.1:1"} },
	}, FirstStart: true}
	for i, want := range []bool{true, false} {
		created, err := c.initIdentity(folder)
		if err != nil || created != want {
			t.Errorf("start %d: created %v, error %v, want %v", i+1, created, err, want)
		}
	}
}
