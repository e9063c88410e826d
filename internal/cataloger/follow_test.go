package cataloger

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// tableGroup is control hosts and an entry host of each of them. The first control host leads.
type tableGroup struct {
	clock    *timer.Service
	controls []*Table
	entries  []*Table
	cursors  map[*Table]Changes // position of each table in the one that it follows
	alive    map[string]bool    // upstreams and entry hosts that report, to the last control host
	number   uint64
}

func newTableGroup(n int) *tableGroup {
	g := &tableGroup{clock: &timer.Service{Clock: &timer.ManualClock{}}, cursors: map[*Table]Changes{}, alive: map[string]bool{"u": true, "v": true, "h": true, "i": true}}
	g.clock.Advance(time.Hour)
	for range n {
		g.controls = append(g.controls, g.newTable(false))
		g.entries = append(g.entries, g.newTable(true))
	}
	return g
}

func (g *tableGroup) newTable(mirror bool) *Table {
	x := &Table{Timer: g.clock, AnnounceInterval: time.Second, IsMirror: mirror}
	x.Start()
	return x
}

// follow makes x follow another table.
func (g *tableGroup) follow(x, source *Table, leads bool) {
	c := g.cursors[x]
	next := source.ChangesSince(c.Cursor, c.Process, "")
	if x.Follow(Reply{Upstreams: next.Upstreams, Hosts: next.Hosts, Whole: next.Complete, Observed: source.Observed(leads), From: "c"}, nil, nil) {
		next = Changes{}
	}
	g.cursors[x] = next
}

// run plays a time in steps of 200 ms, with the control host at index leader as the leader; -1: none.
func (g *tableGroup) run(d time.Duration, leader int) {
	const step = 200 * time.Millisecond
	for end := g.clock.Now() + d; g.clock.Now() < end; g.clock.Advance(step) {
		g.number++
		last := g.controls[len(g.controls)-1]
		for i, name := range []string{"u", "v"} {
			if g.alive[name] && g.number%5 == 0 {
				last.StoreUpstream(newReport(name, 1, g.number, fmt.Sprint("a:", i)), true)
			}
		}
		for _, name := range []string{"h", "i"} {
			if g.alive[name] && g.number%2 == 0 {
				last.StoreHost(&schema.Peer{Name: name, Region: "r", Ready: true, Incarnation: 1, Number: g.number}, "")
			}
		}
		if leader >= 0 {
			upstreams, hosts := last.ReportsToForward()
			for _, a := range upstreams {
				g.controls[leader].StoreUpstream(a, false)
			}
			for _, p := range hosts {
				g.controls[leader].StoreHost(p, "last")
			}
		}
		for i, x := range g.controls {
			if leader >= 0 && i != leader {
				g.follow(x, g.controls[leader], true)
			}
			g.follow(g.entries[i], x, i == leader)
			x.Sweep(i == leader)
			g.entries[i].Sweep(false)
		}
	}
}

// check checks that all tables have upstream v and entry host i, and u and h only if they should be used.
func (g *tableGroup) check(t *testing.T, what string, used bool) {
	t.Helper()
	for i := range g.controls {
		for kind, x := range map[string]*Table{"control": g.controls[i], "entry": g.entries[i]} {
			for name, want := range map[string]bool{"u": used, "v": true} {
				a := x.Upstream(name)
				if got := a != nil && !a.Silent && !a.Gone; got != want {
					t.Errorf("%s: %s host %d: upstream %s in use: %v, want %v", what, kind, i, name, got, want)
				}
			}
			names := ""
			for _, p := range x.ReadyHosts("") {
				names += p.Name
			}
			if want := map[bool]string{true: "hi", false: "i"}[used]; names != want {
				t.Errorf("%s: %s host %d: ready hosts %q, want %q", what, kind, i, names, want)
			}
		}
	}
}

// TestCopiesAgreeWithReports guards against hosts that take a sound upstream for silent, or drop it, because
// it reports to another control host, and against hosts that keep what no longer reports: over changes of the
// leader, restarts of entry hosts, and a restart of all control hosts.
func TestCopiesAgreeWithReports(t *testing.T) {
	for _, n := range []int{1, 3, 30} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := newTableGroup(n)
			g.run(2*forgetTimeout, 0)
			g.check(t, "all report", true)
			for i := range g.entries {
				g.entries[i] = g.newTable(true)
			}
			g.run(time.Second, 0)
			g.check(t, "entry hosts restarted", true)
			g.run(3*time.Second, -1)
			g.run(time.Second, n-1)
			g.check(t, "another leader", true)
			for i := range g.controls {
				g.controls[i] = g.newTable(false)
			}
			g.run(2*time.Second, -1)
			g.run(10*time.Second, n/2)
			g.check(t, "all control hosts restarted", true)

			g.alive["u"], g.alive["h"] = false, false
			for i := range g.controls {
				g.controls[i] = g.newTable(false)
			}
			g.run(2*time.Second, -1)
			g.run(6*time.Second, 0)
			g.check(t, "ended as all control hosts restarted", false)
			g.run(2*forgetTimeout, 0)
			g.check(t, "ended long ago", false)
			for i, x := range g.entries {
				if x.Upstream("u") != nil || len(x.hosts) != 1 {
					t.Errorf("entry host %d keeps what ended long ago", i)
				}
			}
		})
	}
}

// TestEndsReachAllCopies guards against copies that miss that an upstream or an entry host no longer reports.
func TestEndsReachAllCopies(t *testing.T) {
	g := newTableGroup(3)
	g.run(20*time.Second, 0)
	g.alive["u"], g.alive["h"] = false, false
	g.run(8*time.Second, 0)
	g.check(t, "ended", false)
	g.alive["u"], g.alive["h"] = true, true
	g.run(2*time.Second, 0)
	g.check(t, "back", true)
}
