package quarantiner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// requests has requests by name, each with its parts.
type requests map[string][]uint64

// refused returns the names of those that a register refuses, sorted.
func (r requests) refused(g *Register) []string {
	var names []string
	for name, keys := range r {
		var parts []Part
		for _, k := range keys {
			parts = append(parts, Part{Key: k})
		}
		if _, _, found := g.FindIn(parts, 0); found {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// TestPartsWithTheSameEnds guards against refusing sound requests for a part that they share with those
// that crash upstreams. Both parts are at the same ends, so the evidence alone does not tell them apart.
func TestPartsWithTheSameEnds(t *testing.T) {
	const (
		s   = time.Second
		gap = 1300 * time.Millisecond
	)
	for _, names := range [][]uint64{{1, 2, 3, 7}, {7, 3, 2, 1}, {2, 7, 1, 3}} {
		base, customer, other, bad := names[0], names[1], names[2], names[3]
		crashes := func(from time.Duration, n int, parts ...uint64) []finding {
			var all []finding
			for _, at := range times(from, gap, n) { // a request is repeated once
				all = append(all, ended(at, parts...), ended(at+200*time.Millisecond, parts...))
			}
			return all
		}
		sound := requests{"base": {base}, "base, customer": {base, customer}, "base, other": {base, other}}
		sameBody := uint64(requestBit | 5)
		all := requests{"same body, base": {sameBody, base}, "same body, base, bad": {sameBody, base, bad}, "base, bad": {base, bad}, "base, customer, bad": {base, customer, bad}, "base, other, bad": {base, other, bad}, "bad": {bad}}
		for name, parts := range sound {
			all[name] = parts
		}
		for _, c := range []struct {
			name     string
			findings []finding
			until    time.Duration
			want     []string
		}{
			{"nothing is known of any", crashes(0, 3, base, bad), 10 * s, []string{"base, bad", "base, customer, bad", "base, other, bad", "same body, base, bad"}},
			{"survived just before", append(crashes(10*s, 3, base, bad), survived(9*s, base)), 20 * s,
				[]string{"bad", "base, bad", "base, customer, bad", "base, other, bad", "same body, base, bad"}},
			{"survived long before", append(crashes(1000*s, 3, base, bad), survived(0, base)), 1010 * s,
				[]string{"bad", "base, bad", "base, customer, bad", "base, other, bad", "same body, base, bad"}},
			{"both survived before", append(crashes(10*s, 3, base, bad), survived(9*s, base), survived(8*s, bad)), 20 * s,
				[]string{"base, bad", "base, customer, bad", "base, other, bad", "same body, base, bad"}},
			{"survived after the decision", append(crashes(0, 3, base, bad), survived(10*s, base)), 12 * s,
				[]string{"bad", "base, bad", "base, customer, bad", "base, other, bad", "same body, base, bad"}},
			{"survived after the evidence has expired", append(crashes(0, 3, base, bad), survived(150*s, base)), 160 * s,
				[]string{"bad", "base, bad", "base, customer, bad", "base, other, bad", "same body, base, bad"}},
			{"two shared parts", crashes(0, 3, base, customer, bad), 10 * s, []string{"base, customer, bad"}},
			{"two shared parts, one survived", append(crashes(0, 3, base, customer, bad), survived(10*s, base)), 12 * s,
				[]string{"base, customer, bad"}},
			{"two shared parts, both survived", append(crashes(0, 3, base, customer, bad), survived(10*s, base), survived(11*s, customer)), 14 * s,
				[]string{"bad", "base, bad", "base, customer, bad", "base, other, bad", "same body, base, bad"}},
			{"two shared parts, then another customer", append(crashes(0, 3, base, customer, bad), crashes(9*s, 1, base, other, bad)...), 14 * s,
				[]string{"base, bad", "base, customer, bad", "base, other, bad", "same body, base, bad"}},
			{"the same body with each prompt", crashes(0, 3, sameBody, base, bad), 10 * s, []string{"same body, base, bad"}},
			{"the same body with each prompt, survived", append(crashes(0, 3, sameBody, base, bad), survived(10*s, sameBody), survived(10*s, base)), 12 * s,
				[]string{"bad", "base, bad", "base, customer, bad", "base, other, bad", "same body, base, bad"}},
			{"an upstream ends for another cause", slices.Concat(crashes(10*s, 3, base, bad), []finding{survived(9*s, base), ended(11*s, base, other)}), 20 * s,
				[]string{"bad", "base, bad", "base, customer, bad", "base, other, bad", "same body, base, bad"}},
			{"the shared part crashes upstreams", append(crashes(0, 3, base, bad), crashes(9*s, 1, base, other)...), 14 * s,
				[]string{"base", "base, bad", "base, customer", "base, customer, bad", "base, other", "base, other, bad", "same body, base", "same body, base, bad"}},
			{"the shared part crashes upstreams that survived it before", slices.Concat([]finding{survived(0, base)}, crashes(9*s, 3, base, bad), crashes(20*s, 1, base, other)), 26 * s,
				[]string{"base", "base, bad", "base, customer", "base, customer, bad", "base, other", "base, other, bad", "same body, base", "same body, base, bad"}},
		} {
			g := register(t, c.findings, c.until)
			if diff := gocmp.Diff(c.want, all.refused(g)); diff != "" {
				t.Errorf("%s, shared %d, crashing %d: refused: -want +got\n%s", c.name, base, bad, diff)
			}
		}
	}
}

// TestHostsOfAnEarlierVersion guards against decisions that are lost, or undone, on the way through hosts
// that do not know of parts beside another.
func TestHostsOfAnEarlierVersion(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	newRegister := func(list ...*schema.QuarantinedPart) *Register {
		g := &Register{Now: clock.Now}
		g.Merge(list)
		return g
	}
	beside := &schema.QuarantinedPart{Part: 7, Number: 2, Left: 60, Beside: []uint64{1}}
	older := &schema.QuarantinedPart{Part: 7, Number: 2, Left: 60}
	all := requests{"base": {1}, "bad": {7}, "both": {1, 7}}
	for _, c := range []struct {
		name string
		list []*schema.QuarantinedPart
		want []string
	}{
		{"as decided", []*schema.QuarantinedPart{beside}, []string{"both"}},
		{"through a host of an earlier version", []*schema.QuarantinedPart{older}, []string{"bad", "both"}},
		{"first as decided", []*schema.QuarantinedPart{beside, older}, []string{"both"}},
		{"first through a host of an earlier version", []*schema.QuarantinedPart{older, beside}, []string{"both"}},
		{"a later decision of an earlier version", []*schema.QuarantinedPart{beside, {Part: 7, Number: 3, Left: 60}}, []string{"bad", "both"}},
		{"a later release", []*schema.QuarantinedPart{beside, {Part: 7, Number: 3, Released: true}}, nil},
		{"a release beside", []*schema.QuarantinedPart{{Part: 7, Number: 2, Released: true}, beside}, nil},
	} {
		if diff := gocmp.Diff(c.want, all.refused(newRegister(c.list...))); diff != "" {
			t.Errorf("%s: refused: -want +got\n%s", c.name, diff)
		}
	}
	if a, b := newRegister(beside), newRegister(older); a.Hash() == b.Hash() {
		t.Error("registers that differ by the parts beside have the same hash, so neither is sent")
	}
	tried := newRegister(&schema.QuarantinedPart{Part: 7, Number: 2, Left: 60, Trials: 1}, older)
	if got := tried.List()[0].Trials; got != 1 {
		t.Errorf("%d trials after the same decision came through a host of an earlier version, want 1", got)
	}
	part := &schema.QuarantinedPart{Part: 7, Number: 2, Left: 60}
	if got, want := newRegister(part).Hash(), uint64(0x3c589df1bea4ce5a); got != want {
		t.Errorf("hash of a part alone is %#x, want %#x as in earlier versions", got, want)
	}
}

// TestLeaderDecidesAnew guards against a leader that keeps the part which one of an earlier version chose
// by chance, while others explain the same ends.
func TestLeaderDecidesAnew(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	e, g := &Evidence{Now: clock.Now}, &Register{Now: clock.Now}
	g.Merge([]*schema.QuarantinedPart{{Part: 1, Number: 1, Left: 3600}})
	for i := range 3 {
		e.Store(&schema.Findings{Ends: []*schema.UpstreamEnd{{Upstream: fmt.Sprint("u", i), Age: float64(20 - 2*i), Parts: []uint64{1, 7}}}})
	}
	e.Decide(g)
	all := requests{"base": {1}, "bad": {7}, "both": {1, 7}}
	if diff := gocmp.Diff([]string{"both"}, all.refused(g)); diff != "" {
		t.Errorf("refused: -want +got\n%s", diff)
	}
	for i := range 2 {
		e.Store(&schema.Findings{Ends: []*schema.UpstreamEnd{{Upstream: fmt.Sprint("v", i), Age: float64(8 - 2*i), Parts: []uint64{1}}}})
	}
	e.Decide(g)
	if diff := gocmp.Diff([]string{"base", "both"}, all.refused(g)); diff != "" {
		t.Errorf("after ends under one part only: refused: -want +got\n%s", diff)
	}
}

// TestLeaderConfirms guards against hosts that doubt a decision of an earlier version although the evidence
// of a later leader confirms it.
func TestLeaderConfirms(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	e, g := &Evidence{Now: clock.Now}, &Register{Now: clock.Now}
	g.Merge([]*schema.QuarantinedPart{{Part: 1, Number: 1, Left: 3600}})
	for i := range 4 {
		e.Store(&schema.Findings{Ends: []*schema.UpstreamEnd{{Upstream: fmt.Sprint("u", i), Age: float64(20 - 2*i), Parts: []uint64{1, uint64(10 + i)}}}})
	}
	e.Decide(g)
	want := []*schema.QuarantinedPart{{Part: 1, Number: 2, Left: QuarantineTime.Seconds(), Weighed: true}}
	if diff := gocmp.Diff(want, g.List(), protocmp.Transform()); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
}

// TestSharedPartsGoOn guards against refusing all requests of a route after some with a part that crashes
// upstreams came in a quiet time, when nothing shows which of their parts is at fault: with one, 30 and
// 300 entry hosts, while leaders change, and after restarts. Sound requests come before, or none that
// anybody remembers, and again 12 s after the last crash.
func TestSharedPartsGoOn(t *testing.T) {
	const (
		requests, repeats = 3, 2
		gap               = 1300 * time.Millisecond
		quiet             = 2 * stableWindow
	)
	sizes := slices.Clone(disturbances)
	sizes[1].name, sizes[1].entries = "30 hosts", 30
	for _, c := range sizes {
		for _, before := range []struct {
			sound int
			pause time.Duration
		}{{100, 3 * time.Second}, {2, 10 * time.Second}, {100, 3 * time.Minute}, {0, 0}} {
			for seed := range uint64(6) {
				f := newFleet(seed, c.controls, c.entries)
				steps := 0
				advance := func(d time.Duration) {
					for range d / testStep {
						steps++
						c.disturb(f, steps)
						f.step()
					}
				}
				var shared []string
				for i := range 1 + seed%3 {
					shared = append(shared, fmt.Sprint("base", seed, i))
				}
				crashing := append(slices.Clone(shared), fmt.Sprint("bad", seed))
				for range before.sound {
					f.send(false, shared...)
					advance(100 * time.Millisecond)
				}
				advance(before.pause)
				var arrivals []time.Duration
				crash := func() {
					for range repeats {
						if f.send(true, crashing...) {
							arrivals = append(arrivals, f.clock.Now())
						}
					}
				}
				for range requests {
					crash()
					advance(gap)
				}
				advance(quiet)
				served, late := 0, 0
				for i := range 90 {
					if i%30 == 0 {
						crash()
					}
					if f.send(false, shared...) {
						served++
					}
					advance(100 * time.Millisecond)
				}
				for _, at := range arrivals {
					if at > arrivals[boundedCrash-1]+stableWindow {
						late++
					}
				}
				if served < 90 || late > maxLateSends {
					t.Errorf("%s, %d sound requests %v before, seed %d: %d of 90 sound requests served after the crashes, %d of %d crashes late, want at most %d",
						c.name, before.sound, before.pause, seed, served, late, len(arrivals), maxLateSends)
				}
			}
		}
	}
}

// TestOtherCompanions guards against requests that crash one upstream after another because each has other
// parts beside the one at fault than those before it had, and nothing is known of any.
func TestOtherCompanions(t *testing.T) {
	const gap = 750 * time.Millisecond
	for _, c := range disturbances {
		for seed := range uint64(10) {
			f := newFleet(seed, c.controls, c.entries)
			steps := 0
			advance := func(d time.Duration) {
				for range d / testStep {
					steps++
					c.disturb(f, steps)
					f.step()
				}
			}
			advance(3 * time.Second)
			crash := func(customer int) int { return f.sendTwice("base", fmt.Sprint("customer", customer), "bad") }
			for range boundedCrash {
				crash(0)
				advance(1300 * time.Millisecond)
			}
			advance(stableWindow)
			late := 0
			for i := range 12 {
				late += crash(1 + i%4)
				advance(gap)
			}
			if late > maxLateSends {
				t.Errorf("%s, seed %d: %d late crashes, want at most %d", c.name, seed, late, maxLateSends)
			}
		}
	}
}
