package server

import (
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestFullRegionPassedOver requires that a region without free slots gets no request, that
// those sent since its digest count, and that an old digest says nothing.
func TestFullRegionPassedOver(t *testing.T) {
	var table regionTable
	now := time.Minute
	take := func(region string, running int32) {
		table.take(&schema.RegionDigest{Region: region, Models: []*schema.ModelDigest{{Name: "m", Slots: 8, Running: running}}}, now)
	}
	take("full", 8)
	take("free", 6)
	for range 2 {
		if region, ok := table.pick("m", now, false); !ok || region != "free" {
			t.Fatalf("picked %q, %v", region, ok)
		}
	}
	if region, ok := table.pick("m", now, false); ok {
		t.Errorf("picked %q after its slots were used", region)
	}
	if _, ok := table.pick("m", now, true); !ok {
		t.Error("no region although any will do")
	}
	if region, ok := table.pick("m", now+2*digestLife, true); ok {
		t.Errorf("picked %q by an old digest", region)
	}
}
