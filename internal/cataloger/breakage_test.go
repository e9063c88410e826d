package cataloger

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestBreakagesReachAllTables guards against a host that does not know that another one saw a process end, and
// against one that doubts it without end: 1 to 300 tables that take each other's changes in circles.
func TestBreakagesReachAllTables(t *testing.T) {
	for _, n := range []int{1, 3, 30, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			clock, all := leavingTables(n)
			for _, x := range all {
				x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
			}
			begunAt := clock.Now()
			if !all[0].StoreBreakage(&schema.Breakage{Upstream: "u", Incarnation: 1, Age: 0.5}) {
				t.Fatal("the breakage changes nothing")
			}
			cursors := make([]uint64, n)
			exchange := func() {
				for i, x := range all {
					from := all[(i+n-1)%n]
					c := from.ChangesSince(cursors[i], from.process, "")
					cursors[i] = c.Cursor
					for _, a := range c.Upstreams {
						x.StoreUpstream(a, false)
					}
					clock.Advance(time.Millisecond)
				}
			}
			exchange()
			for i, x := range all {
				if got := len(x.Doubtful("p", "")); got != 1 {
					t.Fatalf("table %d: %d doubtful upstreams, want 1", i, got)
				}
				if regions, _ := x.RegionsWith("p", ""); len(regions) > 0 {
					t.Fatalf("table %d: regions %v, want none", i, regions)
				}
			}
			number := uint64(1)
			for clock.Now()-begunAt < DoubtTime {
				number++
				for _, x := range all {
					x.StoreUpstream(newReport("u", 1, number, "a:1"), true)
				}
				exchange()
				clock.Advance(500 * time.Millisecond)
			}
			for i, x := range all {
				if got := len(x.Doubtful("p", "")); got != 0 {
					t.Errorf("table %d: doubtful for ever", i)
				}
			}
		})
	}
}

// TestBreakageBelongsToOneProcess guards against a doubt that outlives the process that it is about, or one
// about another process.
func TestBreakageBelongsToOneProcess(t *testing.T) {
	_, all := leavingTables(1)
	x := all[0]
	x.StoreUpstream(newReport("u", 2, 1, "a:1"), true)
	for _, b := range []*schema.Breakage{
		{Upstream: "u", Incarnation: 1}, {Upstream: "v", Incarnation: 2}, {Upstream: "u", Incarnation: 2, Age: -1}, {Upstream: "u", Incarnation: 2, Age: 11},
	} {
		if x.StoreBreakage(b) {
			t.Errorf("%v changed the table", b)
		}
	}
	if !x.StoreBreakage(&schema.Breakage{Upstream: "u", Incarnation: 2}) || len(x.BrokenAt()) != 1 || len(x.BreakagesToForward()) != 1 {
		t.Error("the breakage was not stored")
	}
	x.StoreUpstream(newReport("u", 3, 1, "a:1"), true)
	if len(x.BrokenAt()) != 0 || len(x.BreakagesToForward()) != 0 || len(x.Doubtful("p", "")) != 0 {
		t.Error("the breakage counts for the next process")
	}
}
