package controller

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestLeaversKept guards against an upstream that was acknowledged as leaving or ended, and is in use again
// after the control host restarted; and against keeping a later process of it from use.
func TestLeaversKept(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	path := filepath.Join(t.TempDir(), leaversFile)
	open := func() (*leaverStore, *cataloger.Table) {
		s, table := &leaverStore{path: path, timer: clock}, &cataloger.Table{Timer: clock}
		table.Start()
		kept, err := s.load()
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range kept {
			table.StoreUpstream(a, true)
		}
		return s, table
	}
	s, table := open()
	report := func(name string, incarnation, number uint64, leaving, gone bool) {
		t.Helper()
		table.StoreUpstream(&schema.Announcement{Name: name, Incarnation: incarnation, Number: number, Pool: "p", Address: name + ":1", Leaving: leaving, Gone: gone}, true)
		if err := s.keep(table.Upstream(name)); err != nil {
			t.Fatal(err)
		}
	}
	state := func(name string) string {
		a := table.Upstream(name)
		return fmt.Sprint(a.GetIncarnation(), a.GetLeaving(), a.GetGone())
	}
	report("leaving", 1, 1, false, false)
	report("leaving", 1, 2, true, false)
	report("ended", 1, 1, false, false)
	report("ended", 1, 0, true, true)
	report("reborn", 2, 1, false, false)
	report("reborn", 1, 9, true, true) // late
	report("sound", 1, 1, false, false)
	for range 2 {
		s, table = open()
		for name, want := range map[string]string{"leaving": "1 true false", "ended": "1 true true", "reborn": "0 false false", "sound": "0 false false"} {
			if got := state(name); got != want {
				t.Errorf("%s after a restart: %s, want %s", name, got, want)
			}
		}
	}
	report("leaving", 1, 1, false, false) // late
	if got := state("leaving"); got != "1 true false" {
		t.Errorf("a late report brings the upstream back: %s", got)
	}
	report("leaving", 2, 1, false, false)
	if got := state("leaving"); got != "2 false false" {
		t.Errorf("a later process does not count: %s", got)
	}
	clock.Advance(leaverRetainTime)
	report("other", 1, 1, true, false)
	if len(s.kept) != 1 {
		t.Errorf("%d upstreams kept, want only the last one", len(s.kept))
	}
}
