package cataloger

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestVersions guards against taking the versions that are left for all that a pool had: those of
// upstreams that ended, left, or lost their address count for a time.
func TestVersions(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	table := &Table{Timer: clock, AnnounceInterval: time.Second}
	table.Start()
	store := func(name, address, pool, software string, incarnation, number uint64, gone bool) {
		table.StoreUpstream(&schema.Announcement{Name: name, Address: address, Pool: pool, Region: "r" + name, Software: software, Incarnation: incarnation, Number: number, Gone: gone, Slots: 1}, true)
	}
	check := func(when string, within time.Duration, want ...string) {
		t.Helper()
		got, _ := table.Versions("p", within)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: -want +got\n%s", when, diff)
		}
	}
	store("a", "1:1", "p", "v1", 1, 1, false)
	store("b", "1:2", "p", "v2", 1, 1, false)
	store("c", "1:3", "q", "v3", 1, 1, false)
	check("both serve", time.Minute, "v1", "v2")
	store("a", "", "", "", 1, 2, true)
	check("one has ended", time.Minute, "v1", "v2")
	store("b", "1:2", "p", "v4", 2, 1, false)
	check("one started again with another version", time.Minute, "v1", "v2", "v4")
	if got, leaving := table.RegionsWith("p", "v4"); leaving || cmp.Diff([]string{"rb"}, got) != "" {
		t.Errorf("regions %v, leaving %v, want rb", got, leaving)
	}
	for _, version := range []string{"v1", "v2"} {
		if got, leaving := table.RegionsWith("p", version); len(got) > 0 || leaving {
			t.Errorf("regions %v have %s, which ended", got, version)
		}
	}
	for range 70 {
		clock.Advance(time.Second)
		store("b", "1:2", "p", "v4", 2, uint64(clock.Now()/time.Second), false)
		table.Sweep(true)
	}
	check("a while later", time.Minute, "v4")
	check("a while later, within a longer time", 2*time.Minute, "v1", "v2", "v4")
	if _, observed := table.Versions("p", time.Minute); observed != 70*time.Second {
		t.Errorf("observed for %v, want 70s", observed)
	}
	first := &Table{Timer: clock, AnnounceInterval: time.Second, IsFirst: true}
	first.Start()
	if _, observed := first.Versions("p", time.Minute); observed < time.Minute {
		t.Errorf("the first table observed for %v, want as if always", observed)
	}
	clock.Advance(5 * time.Minute)
	check("an upstream that is only silent", time.Minute, "v4")
	clock.Advance(time.Hour)
	table.Sweep(true)
	check("removed", time.Hour)
	if len(table.versions) != 0 {
		t.Errorf("%d pools are kept", len(table.versions))
	}
	for i := range 3 * maxPoolVersions {
		store("d", "1:4", "p", fmt.Sprint("w", i), uint64(i+1), 1, false)
	}
	if n := len(table.versions["p"]); n > maxPoolVersions {
		t.Errorf("%d versions of a pool are kept", n)
	}
}
