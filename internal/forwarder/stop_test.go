package forwarder

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// stoppingForwarder returns a Forwarder whose requests of the unnamed route took ratio times the cautious
// estimate lately, and a function that makes a request of that route with an objective of 1 s.
func stoppingForwarder(ratio float64) (*Forwarder, *timer.Service, func(kind schema.RouteKind, output, hint int64) *Request) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	f := &Forwarder{Timer: clock}
	for range minDurationSamples {
		f.durations.record("", ratio, clock.Now())
	}
	return f, clock, func(kind schema.RouteKind, output, hint int64) *Request {
		return &Request{route: &schema.Route{Kind: kind, Objective: 1}, MaxOutputTokens: output, HintTokens: hint, answerUntil: clock.Now() + time.Minute}
	}
}

// TestStoppingHostRefusesLateRequests guards against accepting requests that a stopping host would cut
// off, and against refusing those that it can answer.
func TestStoppingHostRefusesLateRequests(t *testing.T) {
	f, clock, request := stoppingForwarder(0.1)
	stream, plain := schema.RouteKind_ROUTE_STREAM, schema.RouteKind_ROUTE_SAFE
	if f.endsAfterProcess(request(stream, 1e6, 0)) {
		t.Error("a host that is not stopping refuses a request")
	}
	f.StopAt(clock.Now() + 7*time.Second)
	for _, c := range []struct {
		name    string
		request *Request
		late    bool
		wait    time.Duration
	}{
		{"a plain call", request(plain, 0, 0), false, 0},
		{"a stream with a hint that it is short", request(stream, 900, 100), false, 0},
		{"a long stream", request(stream, 900, 800), true, 0},
		{"a hint is not relied on later", request(stream, 900, 100), true, 3 * time.Second},
		{"a short stream, later", request(stream, 50, 50), false, 0},
		{"a plain call, later", request(plain, 0, 0), false, 0},
		{"a plain call that may still be relayed", request(plain, 0, 0), true, 2 * time.Second},
		{"a plain call just before the end", request(plain, 0, 0), true, 1500 * time.Millisecond},
	} {
		clock.Advance(c.wait)
		if got := f.endsAfterProcess(c.request); got != c.late {
			t.Errorf("%s: refused %v, want %v", c.name, got, c.late)
		}
	}
}

// TestStoppingHostKnowsSlowRoutes guards against taking a request for quick, late in the grace period,
// because of its objective alone: requests of its route took longer, or none was seen.
func TestStoppingHostKnowsSlowRoutes(t *testing.T) {
	const grace = 8 * time.Second
	plain := schema.RouteKind_ROUTE_UNSAFE
	estimate := 2600 * time.Millisecond // twice the objective and a relay
	// A request is taken until stopsAt, from the end of the optimistic period on.
	for _, c := range []struct {
		ratio   float64
		stopsAt time.Duration
	}{
		{0.02, grace - estimate}, {0.5, grace - estimate}, {0.75, grace - estimate*3/2}, {1, grace - 2*estimate}, {3, optimisticPeriod},
	} {
		f, clock, request := stoppingForwarder(c.ratio)
		f.StopAt(clock.Now() + grace)
		clock.Advance(optimisticPeriod)
		for at := optimisticPeriod; at < grace; at += 100 * time.Millisecond {
			if got, want := f.endsAfterProcess(request(plain, 0, 0)), at > c.stopsAt || c.stopsAt == optimisticPeriod; got != want {
				t.Errorf("requests that took %g of the estimate: refused %v at %s, want %v", c.ratio, got, at, want)
			}
			clock.Advance(100 * time.Millisecond)
		}
	}
	f, clock, request := stoppingForwarder(0.02)
	clock.Advance(durationSpan * durationSpans)
	f.StopAt(clock.Now() + grace)
	clock.Advance(optimisticPeriod)
	if !f.endsAfterProcess(request(plain, 0, 0)) {
		t.Error("a request is taken although none of its route ended within a minute")
	}
	short := request(plain, 0, 0)
	short.answerUntil = clock.Now() + time.Second
	if f.endsAfterProcess(short) {
		t.Error("a request is refused although its deadline is before the end of the process")
	}
}

// TestBoundedDurations guards against memory that grows with the number of routes ever used.
func TestBoundedDurations(t *testing.T) {
	var h durationHistory
	now := time.Hour
	for i := range 3 * maxDurationRoutes {
		h.record(fmt.Sprint("r", i), 1, now)
	}
	if n := len(h.routes); n > maxDurationRoutes {
		t.Errorf("%d routes are kept, want at most %d", n, maxDurationRoutes)
	}
	now += durationSpan * durationSpans
	for range minDurationSamples {
		h.record("new", 0.5, now)
	}
	if ratio, known := h.slowest("new", now); !known || ratio != 0.5 || len(h.routes) != 1 {
		t.Errorf("after the others have expired: ratio %g, known %v, %d routes", ratio, known, len(h.routes))
	}
}

// TestClosedForwarder guards against cutting requests of a host that ends early, as it was idle: one that
// arrived just before has the rest of the grace period, and later ones are refused.
func TestClosedForwarder(t *testing.T) {
	f, clock, request := stoppingForwarder(0.02)
	plain := schema.RouteKind_ROUTE_UNSAFE
	f.StopAt(clock.Now() + 7*time.Second)
	clock.Advance(4 * time.Second)
	if f.endsAfterProcess(request(plain, 0, 0)) {
		t.Error("a quick request is refused 3 s before the end")
	}
	ctx, cancel := f.withDeadline(t.Context(), clock.Now()+time.Minute)
	defer cancel()
	f.Close()
	if !f.endsAfterProcess(request(plain, 0, 0)) {
		t.Error("a closed host takes a request")
	}
	clock.Advance(2900 * time.Millisecond)
	if err := ctx.Err(); err != nil {
		t.Errorf("the request that was taken ended 0.1 s before the process: %v", context.Cause(ctx))
	}
	clock.Advance(100 * time.Millisecond)
	<-ctx.Done()
	if !errors.Is(context.Cause(ctx), errProcessEnds) {
		t.Errorf("at the end of the process the cause is %v", context.Cause(ctx))
	}
}

// TestRetryAfterOfStoppingHost guards against sending callers back at once to the only host of their region
// while that is stopping.
func TestRetryAfterOfStoppingHost(t *testing.T) {
	f, clock, _ := stoppingForwarder(0.02)
	f.Host, f.Region = "a", "r"
	end := clock.Now() + 5*time.Second
	for _, c := range []struct {
		name  string
		hosts []*schema.Peer
		want  time.Duration
	}{
		{"alone", nil, 5 * time.Second},
		{"only itself is known", []*schema.Peer{{Name: "a", Stopping: true}}, 5 * time.Second},
		{"another one stops", []*schema.Peer{{Name: "b", Stopping: true}}, 5 * time.Second},
		{"another one is ready", []*schema.Peer{{Name: "a", Stopping: true}, {Name: "b", Ready: true}}, stoppingRetryDelay},
	} {
		f.EntryHosts = func(string) []*schema.Peer { return c.hosts }
		if got := f.stoppingDelay(clock.Now(), end); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
