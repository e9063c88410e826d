package server

import (
	"math"
	"testing"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestOddAnnouncements guards against an announcement with a field out of range that is stored, whose sums
// with others overflow.
func TestOddAnnouncements(t *testing.T) {
	for name, change := range map[string]func(*schema.Announcement){
		"port": func(a *schema.Announcement) { a.Address = "10.0.0.1:99999" }, "slots": func(a *schema.Announcement) { a.Slots = math.MaxInt32 },
		"running": func(a *schema.Announcement) { a.Running = -1 }, "waiting": func(a *schema.Announcement) { a.Running, a.Waiting = 1, math.MaxInt32 },
		"lease": func(a *schema.Announcement) { a.Lease = math.NaN() }, "age": func(a *schema.Announcement) { a.Age = math.Inf(-1) },
	} {
		a := &schema.Announcement{Name: "e", Kind: schema.UpstreamKind_UPSTREAM_ENGINE, Region: "r", Address: "10.0.0.1:80", Slots: 4}
		if err := checkAnnouncement(a, "r"); err != nil {
			t.Fatal(err)
		}
		change(a)
		if checkAnnouncement(a, "r") == nil {
			t.Errorf("%s out of range: accepted %v", name, a)
		}
	}
}
