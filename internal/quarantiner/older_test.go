package quarantiner

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// This file stands in for hosts of the version before decisions took account of parts with the same ends.

// older returns a message as such a host reads or writes it.
func older(f *schema.Findings) *schema.Findings {
	f.Refused, f.Trials = nil, nil
	for _, m := range f.Quarantined {
		m.Beside, m.Trials, m.Weighed = nil, 0, false
	}
	f.Survivals = slices.DeleteFunc(f.Survivals, func(m *schema.Survival) bool { return m.Age > evidenceTime.Seconds() })
	return f
}

// olderSource is an entry host's source that doubts no decision.
type olderSource struct{ *Observer }

func (olderSource) doubt(uint64, []uint64) ([]uint64, bool) { return nil, false }

// olderDecide decides as such a leader does: of parts with the same ends by the larger key.
func olderDecide(e *Evidence, g *Register) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	e.expire(now)
	if len(e.ends) == 0 {
		e.suspects = nil
		return
	}
	accused := e.accused()
	var guilty []uint64
	remaining := maps.Clone(accused)
	explained := map[*end]bool{}
	for {
		best, score := uint64(0), 0
		for part, ends := range remaining {
			ends = slices.DeleteFunc(slices.Clone(ends), func(x *end) bool { return explained[x] })
			remaining[part] = ends
			if !e.sufficient(ends, g, part, now) {
				continue
			}
			x, _ := g.lookup(part)
			y, _ := g.lookup(best)
			preferred := part > best
			if x.quarantined(now) != y.quarantined(now) {
				preferred = x.quarantined(now)
			}
			if len(ends) > score || len(ends) == score && preferred {
				best, score = part, len(ends)
			}
		}
		if score == 0 {
			break
		}
		guilty = append(guilty, best)
		for _, x := range remaining[best] {
			explained[x] = true
		}
	}
	for _, part := range guilty {
		if x, _ := g.lookup(part); !x.quarantined(now) {
			olderStore(g, part, false)
		}
	}
	for _, part := range g.Quarantined() {
		x, _ := g.lookup(part)
		s, ok := e.survivals[part]
		if e.sufficient(accused[part], g, part, now) && !slices.Contains(guilty, part) || ok && s.at > x.decidedAt {
			olderStore(g, part, true)
		}
	}
	e.chooseSuspects(accused, g)
}

func olderStore(g *Register, part uint64, release bool) {
	g.decide(part, release)
	x := g.entries[part]
	x.weighed = false
	g.entries[part] = x
}

// TestOlderHostsBeside guards against refusing all requests with a shared part while some hosts are of an
// earlier version, in whatever order they are replaced, and against sending more that crash upstreams.
func TestOlderHostsBeside(t *testing.T) {
	none := func(int) bool { return false }
	all := func(int) bool { return true }
	for _, c := range []struct {
		name                       string
		olderControl, olderEntry   func(i int) bool
		replacedAfter              time.Duration // all older hosts, after the crashes; 0: none
		controls, entries, crashed int
	}{
		{"the leader", func(i int) bool { return i == 0 }, none, 0, 3, 2, 3},
		{"the leader, 30 hosts", func(i int) bool { return i == 0 }, none, 0, 5, 30, 3},
		{"all control hosts", all, none, 0, 3, 2, 3},
		{"all control hosts, 30 hosts", all, none, 0, 5, 30, 3},
		{"other control hosts", func(i int) bool { return i > 0 }, none, 0, 3, 2, 3},
		{"some entry hosts", none, func(i int) bool { return i%2 == 0 }, 0, 3, 8, 3},
		{"all entry hosts", none, all, 0, 3, 2, 3},
		{"all control hosts, replaced later", all, none, time.Second, 3, 2, 3},
	} {
		for seed := range uint64(6) {
			f := newFleet(seed, c.controls, c.entries)
			for i, x := range f.controls {
				x.older = c.olderControl(i)
			}
			for i, x := range f.entries {
				if x.older = c.olderEntry(i); x.older {
					x.link.Source = olderSource{x.observer}
				}
			}
			advance := func(d time.Duration) {
				for range d / testStep {
					f.step()
				}
			}
			shared, bad := fmt.Sprint("base", seed), fmt.Sprint("bad", seed)
			for range 10 * c.entries {
				f.send(false, shared)
				advance(100 * time.Millisecond)
			}
			advance(3 * time.Second)
			for range c.crashed {
				f.sendTwice(shared, bad)
				advance(1300 * time.Millisecond)
			}
			if c.replacedAfter > 0 {
				advance(c.replacedAfter)
				for i, x := range f.controls {
					if x.older {
						f.controls[i] = f.newControl()
						advance(time.Second)
					}
				}
			}
			advance(2 * stableWindow)
			served, late := 0, 0
			for i := range 200 {
				if i%20 == 0 {
					late += f.sendTwice(shared, bad)
				}
				if f.send(false, shared) {
					served++
				}
				advance(100 * time.Millisecond)
			}
			if served < 100 || late > maxLateSends {
				t.Errorf("%s, seed %d: %d of 200 sound requests served after the crashes, %d late crashes, want at most %d", c.name, seed, served, late, maxLateSends)
			}
		}
	}
}

// TestDoubtEnds guards against a host that goes on to send requests with a part that an earlier version
// quarantined with reason: the part is at fault although it was survived before.
func TestDoubtEnds(t *testing.T) {
	for seed := range uint64(6) {
		f := newFleet(seed, 3, 8)
		for _, x := range f.controls {
			x.older = true
		}
		advance := func(d time.Duration) {
			for range d / testStep {
				f.step()
			}
		}
		for range 80 {
			f.send(false, "base")
			advance(100 * time.Millisecond)
		}
		for i := range 3 {
			f.sendTwice("base", fmt.Sprint("doc", i))
			advance(1300 * time.Millisecond)
		}
		advance(stableWindow)
		late := 0
		for i := range 100 {
			late += f.sendTwice("base", fmt.Sprint("doc", i%10))
			advance(500 * time.Millisecond)
		}
		if late > maxLateSends {
			t.Errorf("seed %d: %d late crashes, want at most %d", seed, late, maxLateSends)
		}
	}
}
