package quarantiner

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// finding is an end of an upstream under some parts, or the survival of one part.
type finding struct {
	at       time.Duration
	ended    []uint64
	survived uint64
}

func ended(at time.Duration, parts ...uint64) finding { return finding{at: at, ended: parts} }

func survived(at time.Duration, part uint64) finding { return finding{at: at, survived: part} }

// times returns n times at intervals.
func times(from, interval time.Duration, n int) []time.Duration {
	var all []time.Duration
	for i := range n {
		all = append(all, from+time.Duration(i)*interval)
	}
	return all
}

// decide returns the parts in quarantine after findings.
func decide(t *testing.T, findings []finding, until time.Duration) []uint64 {
	t.Helper()
	return register(t, findings, until).Quarantined()
}

// register stores findings at their times, decides all the while, and returns the decisions.
func register(t *testing.T, findings []finding, until time.Duration) *Register {
	t.Helper()
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	e, g := &Evidence{Now: clock.Now}, &Register{Now: clock.Now}
	slices.SortStableFunc(findings, func(a, b finding) int { return cmp.Compare(a.at, b.at) })
	start := clock.Now()
	for now := time.Duration(0); now <= until; now += 100 * time.Millisecond {
		for i := 0; len(findings) > 0 && findings[0].at <= now; i++ {
			x := findings[0]
			findings = findings[1:]
			f := &schema.Findings{}
			if x.ended != nil {
				f.Ends = append(f.Ends, &schema.UpstreamEnd{Upstream: fmt.Sprint("u", x.at, i), Parts: x.ended})
			} else {
				f.Survivals = append(f.Survivals, &schema.Survival{Part: x.survived})
			}
			e.Store(f)
		}
		e.Decide(g)
		clock.Advance(start + now + 100*time.Millisecond - clock.Now())
	}
	return g
}

// TestDecisions guards against quarantining sound requests and parts, and against letting one that
// crashes upstreams go on. Part 1 is what every prompt has, part 7 crashes upstreams; request 9 does,
// request 5 is one that many callers send alike.
func TestDecisions(t *testing.T) {
	const (
		s        = time.Second
		ms       = time.Millisecond
		request5 = requestBit | 5
		request9 = requestBit | 9
	)
	series := func(at []time.Duration, parts ...uint64) []finding {
		var all []finding
		for _, x := range at {
			all = append(all, ended(x, parts...))
		}
		return all
	}
	survivals := func(at []time.Duration, part uint64) []finding {
		var all []finding
		for _, x := range at {
			all = append(all, survived(x, part))
		}
		return all
	}
	for _, c := range []struct {
		name     string
		findings []finding
		until    time.Duration
		want     []uint64
	}{
		{"three ends at intervals", slices.Concat(series(times(0, 1100*time.Millisecond, 3), 1, 7), survivals(times(0, 300*time.Millisecond, 20), 1)), 10 * s, []uint64{7}},
		{"two ends at intervals", slices.Concat(series(times(0, 5*s, 2), 1, 7), survivals(times(0, 300*time.Millisecond, 40), 1)), 20 * s, nil},
		{"not before survivals can have been reported", series(times(0, 1100*time.Millisecond, 3), 7), 2800 * time.Millisecond, nil},
		{"many upstreams end at once", series(times(0, 10*time.Millisecond, 40), 1, 2, 3), 20 * s, nil},
		{"many upstreams end at once, twice", slices.Concat(series(times(0, 10*time.Millisecond, 40), 1, 2), series(times(9*s, 10*time.Millisecond, 40), 1, 2)), 20 * s, nil},
		{"a part that upstreams survive between ends", slices.Concat(series(times(0, 2*s, 12), 1), survivals(times(3*s, 3*s, 8), 1)), 30 * s, nil},
		{"a survival that is reported late", slices.Concat(series(times(0, 1100*time.Millisecond, 3), 7), []finding{survived(3*s, 7)}), 10 * s, nil},
		{"a survival after the quarantine began releases", slices.Concat(series(times(0, 1100*time.Millisecond, 3), 7), []finding{survived(8*s, 7)}), 10 * s, nil},
		{"a sound part beside the one that crashes", slices.Concat(series(times(0, 1100*time.Millisecond, 3), 5, 7), series(times(3300*time.Millisecond, 1100*time.Millisecond, 2), 7)), 10 * s, []uint64{7}},
		{"sound parts that happened to be at some of the ends", slices.Concat(
			series(times(0, 700*time.Millisecond, 12), 7), series(times(700*time.Millisecond, 1400*time.Millisecond, 3), 6, 7),
		), 15 * s, []uint64{7}},
		{"as many ends of another part, after a quarantine", slices.Concat(
			series(times(0, 1100*ms, 1), 7), series(times(1100*ms, 1100*ms, 2), 7, 8), series(times(8*s, s, 1), 9, 8),
		), 12 * s, []uint64{7}},
		{"two parts that crash", slices.Concat(series(times(0, 1100*time.Millisecond, 5), 7), series(times(500*time.Millisecond, 1100*time.Millisecond, 4), 8)), 10 * s, []uint64{7, 8}},
		{"slow series", series(times(0, 30*s, 3), 7), 70 * s, []uint64{7}},
		{"ends that are too old", series(times(0, 70*s, 3), 7), 150 * s, nil},
		{"a request, three ends within a second", series(times(0, 300*ms, 3), request9), 4 * s, []uint64{request9}},
		{"a request, not before hosts can have been asked for survivals", series(times(0, 300*ms, 3), request9), 3 * s, nil},
		{"a request, all upstreams end at once, and again when they are back", slices.Concat(series(times(0, 10*ms, 3), request9), series(times(4*s, 10*ms, 3), request9)), 8 * s, []uint64{request9}},
		{"a request, many upstreams end at once", series(times(0, 10*ms, 20), request9), 20 * s, nil},
		{"a request, two ends", series(times(0, 5*s, 2), request9), 20 * s, nil},
		{"a request that was answered before, upstreams end one after the other", append(series(times(10*s, 300*ms, 3), request5), survived(9*s, request5)), 20 * s, nil},
		{"a request whose answer is reported late", append(series(times(0, 300*ms, 3), request5), survived(2*s, request5)), 20 * s, nil},
		{"a request that is answered in between, upstreams end every second", slices.Concat(series(times(0, 1*s, 20), request5), survivals(times(500*ms, 1*s, 20), request5)), 25 * s, nil},
		{"a request that once was answered and now crashes upstreams", append(series(times(10*s, 1100*ms, 3), request9), survived(9*s, request9)), 20 * s, []uint64{request9}},
		{"a sound request beside the one that crashes", slices.Concat(series(times(0, 300*ms, 3), request5, request9), series(times(4*s, 300*ms, 1), request9)), 10 * s, []uint64{request9}},
		{"a request with the same prompt each time: not the prompt's parts", series(times(0, 1100*ms, 3), 1, 7, request9), 10 * s, []uint64{request9}},
		{"different requests with a part that crashes", slices.Concat(series(times(0, 1100*ms, 1), 7, request5), series(times(1100*ms, 1100*ms, 3), 7, request9)), 10 * s, []uint64{7}},
	} {
		if diff := gocmp.Diff(c.want, decide(t, c.findings, c.until)); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
	}
}

// TestProbation guards against a part that costs as many upstreams again each time its quarantine
// ends.
func TestProbation(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	e, g := &Evidence{Now: clock.Now}, &Register{Now: clock.Now}
	g.decide(7, false)
	clock.Advance(QuarantineTime)
	if left, found := g.Find(7); found {
		t.Fatalf("quarantined for %v after the end of the quarantine", left)
	}
	e.Store(&schema.Findings{Ends: []*schema.UpstreamEnd{{Upstream: "u", Parts: []uint64{7}}}})
	clock.Advance(settleTime)
	e.Decide(g)
	if _, found := g.Find(7); !found {
		t.Error("not quarantined again after one end")
	}
	clock.Advance(QuarantineTime + probationTime + time.Second)
	if list := g.List(); len(list) != 0 || g.Hash() != 0 {
		t.Errorf("still has %v after the probation", list)
	}
}

// BenchmarkRequestKey reports the time to name a request with a body of 4 KB.
func BenchmarkRequestKey(b *testing.B) {
	body := make([]byte, 4<<10)
	for b.Loop() {
		RequestKey("/seats/1", "customer", body)
	}
}
