package scheduler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// config returns a configuration with a pool of engines and one of plain services.
func config(extra ...*schema.Item) *configurer.Snapshot {
	engine := &schema.Pool{Name: "engine", Warmup: 3, Coldrate: 2.3, Engine: &schema.Engine{Slots: 16, Tokens: 100_000, Stride: 4}}
	desk := &schema.Pool{Name: "desk"}
	return configurer.FromMessage(&schema.Snapshot{Version: 1, Items: append([]*schema.Item{
		{Path: "pool/engine", Value: &schema.Item_Pool{Pool: engine}},
		{Path: "pool/desk", Value: &schema.Item_Pool{Pool: desk}},
	}, extra...)})
}

func newScheduler(upstreams ...*schema.Announcement) *Scheduler {
	c := config()
	s := &Scheduler{Timer: &timer.Service{Clock: &timer.ManualClock{}}, Config: func() *configurer.Snapshot { return c }}
	s.Timer.Advance(time.Hour)
	s.UpdateUpstreams(upstreams)
	return s
}

func engines(n int) []*schema.Announcement {
	var all []*schema.Announcement
	for i := range n {
		all = append(all, &schema.Announcement{Name: fmt.Sprint("e", i), Pool: "engine", Domain: "d", Slots: 16, Incarnation: 1})
	}
	return all
}

func plainServices(n int) []*schema.Announcement {
	var all []*schema.Announcement
	for i := range n {
		all = append(all, &schema.Announcement{Name: fmt.Sprint("s", i), Pool: "desk", Domain: "d", Slots: 6, Incarnation: 1})
	}
	return all
}

// prompt returns a request to the engines that has a shared part and one of its own.
func (s *Scheduler) prompt(shared string, own int64, objective time.Duration) *Request {
	now := s.Timer.Now()
	return &Request{
		Pool: "engine", Parts: []PromptPart{{ID: shared, Tokens: 3_000}, {ID: fmt.Sprint("own", rand.Uint64()), Tokens: own}},
		InputTokens: 3_000 + own, OutputTokens: 100, ObjectiveAt: now + objective, Deadline: now + 10*objective,
	}
}

// reserveNow reserves a slot without waiting; nil if there is none.
func (s *Scheduler) reserveNow(w *Request) *Reservation {
	x, err := s.reserveOrEnqueue(w)
	if err != nil || x.reservation == nil {
		return nil
	}
	return x.reservation
}

// fillEngine reserves every slot of a single engine and its queue: 16 + 4.
func (s *Scheduler) fillEngine() []*Reservation {
	var running []*Reservation
	for range 20 {
		p := s.reserveNow(s.prompt("x", 10, 5*time.Second))
		p.RecordFirstToken()
		running = append(running, p)
	}
	return running
}

// TestSharedPrefixChoosesOneUpstream guards against a shared prefix that is read at several
// upstreams: hosts that know nothing of each other must choose the same one while it has
// room.
func TestSharedPrefixChoosesOneUpstream(t *testing.T) {
	for prefix := range 20 {
		chosen := map[string]int{}
		for range 5 {
			s := newScheduler(engines(6)...)
			chosen[s.reserveNow(s.prompt(fmt.Sprint("subject", prefix), 200, time.Second)).Name]++
		}
		if len(chosen) != 1 {
			t.Errorf("prefix %d is read at %v, want one upstream", prefix, chosen)
		}
	}
}

// TestFrequentPrefixSpreads guards against a frequent prefix that overloads its preferred
// upstream. Requests with the same prefix exceed the slots of one engine: the rest must go
// to others, and only the preferred one may have a queue.
func TestFrequentPrefixSpreads(t *testing.T) {
	s := newScheduler(engines(4)...)
	chosen := map[string]int{}
	for range 48 {
		if p := s.reserveNow(s.prompt("subject", 200, 2*time.Second)); p != nil {
			chosen[p.Name]++
			p.RecordFirstToken()
		}
	}
	if len(chosen) < 3 {
		t.Errorf("requests of one prefix went to %v, want at least 3 engines", chosen)
	}
	over := 0
	for _, n := range chosen {
		if n > 16 {
			over++
		}
		if n > 20 {
			t.Errorf("%d requests at an engine with 16 slots and a queue of 4", n)
		}
	}
	if over > 1 {
		t.Errorf("requests queue at %d engines, want at most the preferred one: %v", over, chosen)
	}
}

// TestUnsharedPromptsSpread guards against an uneven load: short prompts without a shared
// part must be spread evenly.
func TestUnsharedPromptsSpread(t *testing.T) {
	s := newScheduler(engines(4)...)
	chosen := map[string]int{}
	for range 40 {
		w := s.prompt("", 100, 2*time.Second)
		w.Parts, w.InputTokens = w.Parts[1:], 100
		p := s.reserveNow(w)
		p.RecordFirstToken()
		chosen[p.Name]++
	}
	for name, n := range chosen {
		if n < 7 || n > 13 {
			t.Errorf("%s has %d of 40 requests, want 7 to 13", name, n)
		}
	}
}

// TestFullPoolRejectsAtOnce guards against requests that wait in vain. The pool is full and
// releases a slot every 3 seconds: a request with a shorter wait limit must be rejected at
// once, with a delay to retry after.
func TestFullPoolRejectsAtOnce(t *testing.T) {
	s := newScheduler(engines(1)...)
	running := s.fillEngine()
	s.Timer.Advance(time.Second)
	for range 2 {
		running[0].Release(Answered)
		running = running[1:]
		s.Timer.Advance(3 * time.Second)
		p := s.reserveNow(s.prompt("x", 10, 5*time.Second))
		p.RecordFirstToken()
		running = append(running, p)
	}
	_, err := s.Acquire(t.Context(), s.prompt("x", 10, 100*time.Millisecond))
	var full *NoSlotError
	if !errors.As(err, &full) || full.RetryAfter < minRetryDelay {
		t.Errorf("got %v, want a NoSlotError with a retry delay", err)
	}
}

// TestFreedSlotGoesToLowestRank guards against a queue in order of arrival: one slot is
// released while three requests of different rank wait.
func TestFreedSlotGoesToLowestRank(t *testing.T) {
	s := newScheduler(engines(1)...)
	running := s.fillEngine()
	var waiting []*waiter
	for _, rank := range []int{2, 0, 1} {
		w := s.prompt("x", 10, 5*time.Second)
		w.Rank = rank
		x, err := s.reserveOrEnqueue(w)
		if err != nil || x.reservation != nil {
			t.Fatalf("request of rank %d does not wait: %v", rank, err)
		}
		waiting = append(waiting, x)
	}
	running[0].Release(Answered)
	got := []bool{waiting[0].reservation != nil, waiting[1].reservation != nil, waiting[2].reservation != nil}
	if diff := cmp.Diff([]bool{false, true, false}, got); diff != "" {
		t.Errorf("reservations of ranks 2, 0, 1: -want +got\n%s", diff)
	}
}

// TestColdUpstream guards against a cold upstream that gets requests above its rate when
// its owner changes: the sum that successive owners send in any second is bounded, under a
// load that would fill it.
func TestColdUpstream(t *testing.T) {
	cold := engines(1)
	cold[0].Cold = 6
	owner := 0
	var hosts []*Scheduler
	for i := range 3 {
		s := newScheduler(cold...)
		s.OwnsCold = func(string) bool { return owner == i }
		hosts = append(hosts, s)
	}
	const step = 10 * time.Millisecond
	var sent []int
	for i := range 500 {
		owner = i / 170
		n := 0
		for _, s := range hosts {
			s.Timer.Advance(step)
			if p := s.reserveNow(s.prompt("x", 10, time.Second)); p != nil {
				n++
				p.RecordFirstToken()
				p.Release(Answered)
			}
		}
		sent = append(sent, n)
	}
	total := 0
	for i, n := range sent {
		total += n
		if i >= 100 {
			total -= sent[i-100]
		}
		if maxPerSecond := 2.3*1.5 + 3; float64(total) > maxPerSecond {
			t.Fatalf("%d requests in the second that ends at %v, bound %v", total, time.Duration(i)*step, maxPerSecond)
		}
	}
}

// TestDomainMarkedCold guards against a full load on upstreams that may have become cold
// unobserved: after MarkDomainCold, a host that does not own them must send nothing until their
// warm-up time is over.
func TestDomainMarkedCold(t *testing.T) {
	s := newScheduler(engines(2)...)
	s.OwnsCold = func(string) bool { return false }
	s.MarkDomainCold("d")
	x, err := s.reserveOrEnqueue(s.prompt("x", 10, time.Second))
	if err != nil || !s.cancelWait(x) {
		t.Error("a host that does not own the cold upstreams got a slot")
	}
	s.Timer.Advance(3 * time.Second)
	if s.reserveNow(s.prompt("x", 10, time.Second)) == nil {
		t.Error("upstreams still cold after their warm-up time")
	}
}

// TestEvacuated guards against requests to an evacuated failure domain.
func TestEvacuated(t *testing.T) {
	s := newScheduler(engines(2)...)
	c := config(&schema.Item{Path: "evacuation/d", Value: &schema.Item_Evacuation{Evacuation: &schema.Evacuation{Domain: "d"}}})
	s.Config = func() *configurer.Snapshot { return c }
	if _, err := s.Acquire(t.Context(), s.prompt("x", 10, time.Second)); !errors.Is(err, ErrNoUpstream) {
		t.Errorf("got %v, want ErrNoUpstream", err)
	}
}

// TestFailingUpstreamsAvoided guards against requests to upstreams known to fail: two of
// four fail every request, and after a while requests that cannot be repeated must go to
// the others.
func TestFailingUpstreamsAvoided(t *testing.T) {
	s := newScheduler(plainServices(4)...)
	toFailing := 0
	for i := range 200 {
		s.Timer.Advance(20 * time.Millisecond)
		p := s.reserveNow(&Request{Pool: "desk", ObjectiveAt: s.Timer.Now() + time.Second, Deadline: s.Timer.Now() + 5*time.Second, Unrepeatable: true})
		if p.Name == "s0" || p.Name == "s1" {
			p.Release(Failed)
			if i > 50 {
				toFailing++
			}
			continue
		}
		p.RecordFirstToken()
		p.Release(Answered)
	}
	if toFailing > 15 {
		t.Errorf("%d of the later requests went to failing upstreams, want at most 15", toFailing)
	}
}

// TestAllUpstreamsFail guards against a pool that stays unused after all of its upstreams
// failed: requests must still be sent, since the upstreams may have recovered.
func TestAllUpstreamsFail(t *testing.T) {
	s := newScheduler(plainServices(2)...)
	for range 50 {
		s.Timer.Advance(10 * time.Millisecond)
		p := s.reserveNow(&Request{Pool: "desk", ObjectiveAt: s.Timer.Now() + time.Second, Deadline: s.Timer.Now() + 5*time.Second})
		if p == nil {
			t.Fatal("no reservation while all upstreams fail")
		}
		p.Release(Failed)
	}
}

// TestCanceledRequestLeavesQueue guards against requests that stay in the queue after their
// caller has gone.
func TestCanceledRequestLeavesQueue(t *testing.T) {
	s := newScheduler(engines(1)...)
	s.fillEngine()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := s.Acquire(ctx, s.prompt("x", 10, 5*time.Second)); !errors.Is(err, context.Canceled) {
		t.Errorf("Acquire returned %v, want context.Canceled", err)
	}
	if n := len(s.pools["engine"].waiting); n != 0 {
		t.Errorf("%d requests in the queue, want 0", n)
	}
}

// TestBurstKeepsExpectedDelayShort guards against a backlog that makes every answer late:
// for two seconds it sends almost four times the uncached prompt tokens that one engine can
// read. Requests must be accepted only if their predicted delay is well below the
// objective, and one that is already late must not come before one that can be in time.
func TestBurstKeepsExpectedDelayShort(t *testing.T) {
	s := newScheduler(engines(1)...)
	taken := 0
	for i := range 200 {
		s.Timer.Advance(10 * time.Millisecond)
		w := s.prompt(fmt.Sprint("subject", i), 1_500, time.Second)
		p := s.reserveNow(w)
		if p == nil {
			continue
		}
		taken++
		if p.ExpectedDelay > 750*time.Millisecond {
			t.Fatalf("request %d was accepted with an expected delay of %v, want at most 750ms", i, p.ExpectedDelay)
		}
	}
	if taken == 0 {
		t.Error("no request was accepted")
	}
	inTime, late := s.prompt("a", 10, time.Second), s.prompt("b", 10, 100*time.Millisecond)
	late.LateOnArrival = true
	if compareUrgency(inTime, late) >= 0 || compareUrgency(late, inTime) <= 0 {
		t.Error("a late request comes before one that is in time")
	}
}

// TestSlowDelayFollowsBurst guards against a learned slow delay that lags behind the load:
// it must rise within some dozens of late first tokens, as in a burst, and fall again
// afterwards.
func TestSlowDelayFollowsBurst(t *testing.T) {
	s := newScheduler(engines(1)...)
	serve := func(n int, d time.Duration) time.Duration {
		for range n {
			p := s.reserveNow(s.prompt("subject", 10, 10*time.Second))
			s.Timer.Advance(d)
			p.RecordFirstToken()
			p.Release(Answered)
		}
		return s.reserveNow(s.prompt("subject", 10, 10*time.Second)).SlowDelay()
	}
	if slow := serve(20, 100*time.Millisecond); slow > 200*time.Millisecond {
		t.Errorf("slow delay before the burst: %v, want at most 200ms", slow)
	}
	if slow := serve(60, 1500*time.Millisecond); slow < 750*time.Millisecond {
		t.Errorf("slow delay in a burst of answers after 1.5s: %v, want at least 750ms", slow)
	}
	if slow := serve(1000, 100*time.Millisecond); slow > 300*time.Millisecond {
		t.Errorf("slow delay after the burst: %v, want at most 300ms", slow)
	}
}

// TestRequiredVersion guards against giving a request that goes on with a stream to an upstream of another
// version, also when those of its own are busy, silent or excluded.
func TestRequiredVersion(t *testing.T) {
	version := "v2"
	s := newScheduler(
		&schema.Announcement{Name: "u1", Pool: "desk", Slots: 8, Software: "v1", Incarnation: 1},
		&schema.Announcement{Name: "u2", Pool: "desk", Slots: 1, Software: version, Incarnation: 1},
		&schema.Announcement{Name: "u3", Pool: "desk", Slots: 1, Software: version, Incarnation: 1, Silent: true},
	)
	now := s.Timer.Now()
	w := func(excluded ...string) *Request {
		r := &Request{Pool: "desk", Software: &version, ObjectiveAt: now + time.Second, Deadline: now + time.Second, Excluded: map[string]bool{}}
		for _, name := range excluded {
			r.Excluded[name] = true
		}
		return r
	}
	for range 20 {
		x, err := s.reserveOrEnqueue(w())
		if err == nil && x.reservation != nil && x.reservation.Software != version {
			t.Fatalf("reserved %s", x.reservation.Name)
		}
	}
	if _, err := s.Acquire(t.Context(), w("u2", "u3")); !errors.Is(err, ErrNoUpstream) {
		t.Errorf("no upstream of the version is left: error %v, want ErrNoUpstream", err)
	}
	for version, want := range map[string]bool{"v1": true, "v2": true, "v3": false} {
		if got := s.HasVersion("desk", version); got != want {
			t.Errorf("HasVersion(%q) is %v", version, got)
		}
	}
}

// TestLeavingUpstreamAsLastResort guards against sending a request to an upstream that is leaving while
// another can serve it, or later than it may get any; and against refusing what only that can serve.
func TestLeavingUpstreamAsLastResort(t *testing.T) {
	version := "v1"
	s := newScheduler(
		&schema.Announcement{Name: "leaving", Pool: "desk", Slots: 8, Software: version, Incarnation: 1, Leaving: true},
		&schema.Announcement{Name: "undated", Pool: "desk", Slots: 8, Software: version, Incarnation: 1, Leaving: true},
		&schema.Announcement{Name: "removed", Pool: "desk", Slots: 8, Software: "v2", Incarnation: 1, Leaving: true, Left: 3},
		&schema.Announcement{Name: "new", Pool: "desk", Slots: 8, Software: "v3", Incarnation: 1},
	)
	until := s.Timer.Now() + 3*time.Second
	s.UpdateLeaving(map[string]time.Duration{"leaving": until, "removed": until})
	check := func(when string, w Request, want string) {
		t.Helper()
		now := s.Timer.Now()
		w.Pool, w.ObjectiveAt, w.Deadline = "desk", now+time.Second, now+time.Second
		got, sendUntil := "", time.Duration(0)
		if p := s.reserveNow(&w); p != nil {
			got, sendUntil = p.Name, p.SendUntil
			p.Release(Answered)
		}
		if got != want {
			t.Errorf("%s: sent to %q, want %q", when, got, want)
		}
		if wantUntil := until; (got == "leaving" || got == "removed") && sendUntil != wantUntil || got == "new" && sendUntil != 0 {
			t.Errorf("%s: may be sent until %s", when, sendUntil)
		}
	}
	v2 := "v2"
	check("another upstream serves it", Request{LastResort: true}, "new")
	check("not a last resort", Request{Software: &version}, "")
	check("nothing else serves the version", Request{Software: &version, LastResort: true}, "leaving")
	check("it failed there", Request{Software: &version, LastResort: true, Excluded: map[string]bool{"leaving": true}}, "")
	check("it is to be taken away, and the request may be repeated", Request{Software: &v2, LastResort: true}, "removed")
	check("it is to be taken away, and the request may not be repeated", Request{Software: &v2, LastResort: true, Unrepeatable: true}, "")
	s.Timer.Advance(3*time.Second - time.Millisecond)
	check("just before the end", Request{Software: &version, LastResort: true}, "leaving")
	s.Timer.Advance(time.Millisecond)
	check("at the end", Request{Software: &version, LastResort: true}, "")
	s.UpdateLeaving(map[string]time.Duration{})
	check("the time is not known any more", Request{Software: &version, LastResort: true}, "")
}
