package scheduler

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/estimator"
	"github.com/trefoilloft/trefoilloft/internal/inspector"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// loaded returns a Scheduler of 5 engines and 3 services with learned values, requests in progress, cold and limited
// upstreams, and other hosts' load.
func loaded(t *testing.T, adaptive bool) *Scheduler {
	t.Helper()
	s := newScheduler(append(engines(5), plainServices(3)...)...)
	s.Adaptive = func() bool { return adaptive }
	s.HostCount = func() int { return 3 }
	l := &schema.PoolLoad{Pool: "engine", Running: map[string]int32{}, Reading: map[string]int64{}, Work: map[string]float64{}, Held: map[string]int64{}}
	for i := range 5 {
		name := fmt.Sprint("e", i)
		l.Running[name], l.Reading[name], l.Work[name], l.Held[name] = int32(2*i), int64(1_000*i), 0.2*float64(i), int64(9_000*i)
	}
	s.UpdateOtherLoads([]*schema.PoolLoad{l})
	for i := range 12 {
		w := s.prompt(fmt.Sprint("subject", i%3), 300, 5*time.Second)
		w.Sizing = estimator.Key{Route: "r", Customer: "c", Hint: 100, Max: 400}
		p := s.reserveNow(w)
		if p == nil {
			t.Fatalf("request %d got no slot", i)
		}
		s.Timer.Advance(40 * time.Millisecond)
		p.RecordEvents(1)
		p.RecordFirstToken()
		if i%2 == 0 {
			p.Release(Answered)
		}
	}
	s.upstreams["e1"].limit.set(2, s.Timer.Now())
	s.upstreams["e2"].coldUntil = s.Timer.Now() + time.Second
	return s
}

func (s *Scheduler) explainable(shared string) *Request {
	w := s.prompt(shared, 300, 5*time.Second)
	w.Parts[1].ID = "own"
	w.Sizing = estimator.Key{Route: "r", Customer: "c", Hint: 100, Max: 400}
	return w
}

// TestExplanationChangesNothing guards against an explanation that takes a place, learns, counts, makes this host the owner
// of a cold or limited upstream, draws a random number or creates state.
func TestExplanationChangesNothing(t *testing.T) {
	for _, adaptive := range []bool{false, true} {
		s := loaded(t, adaptive)
		draws := 0
		s.Random = func(int) int { draws++; return 0 }
		for _, w := range []*Request{
			s.explainable("subject1"), s.explainable("new"), {Pool: "desk", ObjectiveAt: s.Timer.Now() + time.Second, Deadline: s.Timer.Now() + time.Second},
			{Pool: "none", ObjectiveAt: s.Timer.Now() + time.Second},
		} {
			before := inspector.Print(s)
			s.Explain(w)
			s.UpstreamStates()
			s.LoadsAge()
			if diff := cmp.Diff(before, inspector.Print(s)); diff != "" || draws > 0 {
				t.Errorf("adaptive %v, pool %s: the state changed, %d draws: -before +after\n%s", adaptive, w.Pool, draws, diff)
			}
		}
	}
}

// TestExplainedUpstreamIsTaken guards against an explanation that names another upstream than the one to which the
// Scheduler then sends the same request.
func TestExplainedUpstreamIsTaken(t *testing.T) {
	certain := 0
	for _, adaptive := range []bool{false, true} {
		s := loaded(t, adaptive)
		for i := range 40 {
			w := s.explainable(fmt.Sprint("subject", i%7))
			o := s.Explain(w)
			p := s.reserveNow(w)
			if p == nil {
				if o.Upstream != "" {
					t.Fatalf("adaptive %v, request %d: no slot, explained %s", adaptive, i, o.Upstream)
				}
				continue
			}
			if o.Certain {
				certain++
				if p.Name != o.Upstream {
					t.Errorf("adaptive %v, request %d: sent to %s, explained %s", adaptive, i, p.Name, o.Upstream)
				}
			}
			for _, u := range o.Upstreams {
				if u.Name == p.Name && o.Certain && (u.Expected != p.ExpectedDelay || u.Cached != p.CachedTokens || u.Running+u.Others != p.Running) {
					t.Errorf("adaptive %v, request %d: explained %+v, reserved %+v", adaptive, i, u, p)
				}
			}
			s.Timer.Advance(20 * time.Millisecond)
		}
	}
	if certain < 20 {
		t.Errorf("only %d of 80 choices were certain", certain)
	}
}

// TestExplanationNamesReasons guards against an explanation that leaves out why an upstream cannot take a request, or what
// becomes of a request that none can take.
func TestExplanationNamesReasons(t *testing.T) {
	s := newScheduler(engines(1)...)
	s.fillEngine()
	w := s.explainable("x")
	w.Parts[0].ID = "other"
	o := s.Explain(w)
	_, err := s.reserveOrEnqueue(w)
	waits := err == nil
	var explained, actual *NoSlotError
	errors.As(o.Err, &explained)
	errors.As(err, &actual)
	if diff := cmp.Diff(actual, explained); diff != "" || o.Waits != waits || o.Upstream != "" {
		t.Errorf("explained %+v, waits %v: -actual +explained\n%s", o, waits, diff)
	}
	if got := o.Upstreams[0].Reason; got != ReasonSlots {
		t.Errorf("reason of a full engine is %q", got)
	}

	a := engines(6)
	a[0].Gone, a[1].Leaving, a[2].Silent = true, true, true
	s = newScheduler(a...)
	s.upstreams["e3"].said.pausedUntil = s.Timer.Now() + time.Second
	w = s.explainable("x")
	w.Avoid = map[string]uint64{"e4": 1}
	o = s.Explain(w)
	conditions := map[string]Condition{}
	for _, u := range o.Upstreams {
		conditions[u.Name] = u.Condition
	}
	want := map[string]Condition{"e0": Gone, "e1": Left, "e2": Unavailable, "e3": Paused, "e4": Avoided, "e5": Healthy}
	if diff := cmp.Diff(want, conditions); diff != "" || o.Upstream != "e5" || !o.Certain {
		t.Errorf("sent to %s, certain %v: -want +got\n%s", o.Upstream, o.Certain, diff)
	}

	if o := s.Explain(&Request{Pool: "none"}); !errors.Is(o.Err, ErrNoUpstream) {
		t.Errorf("pool without upstreams: %v", o.Err)
	}
}

// TestChancesOfServices guards against an explanation that names one plain service as certain where the choice is random.
func TestChancesOfServices(t *testing.T) {
	s := newScheduler(plainServices(3)...)
	now := s.Timer.Now()
	o := s.Explain(&Request{Pool: "desk", ObjectiveAt: now + time.Second, Deadline: now + 2*time.Second})
	sum := 0.0
	for _, u := range o.Upstreams {
		if sum += u.Chance; u.Chance < 0.1 || u.Chance > 0.6 {
			t.Errorf("%s of 3 equal services is chosen with chance %.2f", u.Name, u.Chance)
		}
	}
	if o.Certain || math.Abs(sum-1) > 1e-9 {
		t.Errorf("certain %v, chances add up to %v", o.Certain, sum)
	}
}

// TestExplainWhilePlacing guards, with the race detector, against an explanation that reads state without the lock while
// requests are placed and end.
func TestExplainWhilePlacing(t *testing.T) {
	s := loaded(t, true)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := range 100 {
				if p := s.reserveLocked(s.explainable(fmt.Sprint("subject", i))); p != nil {
					p.RecordEvents(1)
					p.RecordFirstToken()
					p.Release(Answered)
				}
				if n%10 == 0 {
					s.Explain(s.explainable("subject1"))
					s.UpstreamStates()
				}
			}
		})
	}
	wg.Wait()
}

// reserveLocked is reserveNow for concurrent callers.
func (s *Scheduler) reserveLocked(w *Request) *Reservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserveNow(w)
}

// BenchmarkExplain measures an explanation among 250 engines, of which none but one has a free slot in the second case.
func BenchmarkExplain(b *testing.B) {
	for _, running := range []int32{4, 16} {
		b.Run(fmt.Sprint(running, " running"), func(b *testing.B) {
			s := newScheduler(engines(250)...)
			s.Adaptive = func() bool { return true }
			s.HostCount = func() int { return 30 }
			l := &schema.PoolLoad{Pool: "engine", Running: map[string]int32{}}
			for i := range 250 {
				l.Running[fmt.Sprint("e", i)] = running
			}
			l.Running["e7"] = 3
			s.UpdateOtherLoads([]*schema.PoolLoad{l})
			for b.Loop() {
				if o := s.Explain(s.explainable("x")); o.Upstream == "" {
					b.Fatal("no upstream")
				}
			}
		})
	}
}
