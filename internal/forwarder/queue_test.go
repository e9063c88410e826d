package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestEarlyCallerIsNotServed guards against callers that gain by ignoring Retry-After: one that comes before the
// told time is neither served nor relayed to another region, and is told the same time again. Others, and the same
// caller from the told time on, are served; nothing of this holds where the queue is switched off.
func TestEarlyCallerIsNotServed(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	s := newSystemAt(t, clock, []scriptStep{text(200, events)})
	adaptive := true
	s.Scheduler.FairQueue = func() bool { return adaptive }
	asked := 0
	s.EntryHosts = func(string) []*schema.Peer { asked++; return nil }
	s.SetRegionDigests([]*schema.RegionDigest{{Region: "idle", Routes: []*schema.ModelDigest{{Name: "p", Slots: 4}}}})
	request := func(body string) *Request {
		now := clock.Now()
		return &Request{
			ID: "1", Host: "h", Method: "POST", Path: "/stream/x", Header: http.Header{}, Body: []byte(body), ArrivedAt: now, DeadlineAt: now + 2*time.Second,
		}
	}
	serve := func(body string) *retrySink {
		sink := &retrySink{}
		s.Serve(context.Background(), request(body), sink)
		return sink
	}
	r := request("a")
	if err := s.identify(r); err != nil {
		t.Fatal(err)
	}
	told, _ := s.Scheduler.Promise(r.schedulerRequest(nil))
	clock.Advance(20 * time.Millisecond)
	if got := serve("a"); got.Status != http.StatusServiceUnavailable || got.Cause != causeEarly || got.retryAfter != told-20*time.Millisecond {
		t.Errorf("a caller that comes early gets %+v, want to be told %v", got, told-20*time.Millisecond)
	}
	if got := serve("b"); got.Status != 200 {
		t.Errorf("another request gets %+v", got)
	}
	if asked > 0 {
		t.Error("another region was asked")
	}
	adaptive = false
	if got := serve("a"); got.Status != 200 {
		t.Errorf("where the queue is switched off, a caller that comes early gets %+v", got)
	}
	adaptive = true
	clock.Advance(told)
	if got := serve("a"); got.Status != 200 {
		t.Errorf("a caller that comes at the told time gets %+v", got)
	}
}

// TestFinalRefusalPromises guards against telling a caller the time of another region's host, to which it does not
// return, and against promising anything for requests that may have run, that were relayed here, or that other
// causes refuse.
func TestFinalRefusalPromises(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	s := newSystemAt(t, clock, []scriptStep{text(200, "")})
	s.Scheduler.FairQueue = func() bool { return true }
	var log bytes.Buffer
	s.Log = zerolog.New(&log)
	remote := refuse(http.StatusServiceUnavailable, causeFull, time.Minute)
	full := &scheduler.NoSlotError{Pool: "p", Forecast: &scheduler.Forecast{}}
	for name, c := range map[string]struct {
		change  func(*Request)
		err     error
		refusal *Refusal
		promise bool
	}{
		"refused here and elsewhere":         {func(*Request) {}, full, remote, true},
		"relayed here":                       {func(r *Request) { r.relayed = true }, full, remote, false},
		"may have run":                       {func(r *Request) { r.mayHaveRun = true }, full, remote, false},
		"no upstream here":                   {func(*Request) {}, scheduler.ErrNoUpstream, remote, false},
		"upstreams ask for a pause":          {func(*Request) {}, &scheduler.NoSlotError{Pool: "p"}, remote, false},
		"refused for another reason at last": {func(*Request) {}, full, refuse(http.StatusServiceUnavailable, causeTimeout, 0), false},
	} {
		now := clock.Now()
		r := &Request{ID: name, Host: "h", Method: "POST", Path: "/stream/x", Body: []byte(name), ArrivedAt: now, DeadlineAt: now + 3*time.Second}
		if err := s.identify(r); err != nil {
			t.Fatal(err)
		}
		c.change(r)
		r.recordForecast(errors.Join(c.err, errors.New("other")))
		got := s.withPromise(r, c.refusal)
		if promised := got.RetryAfter != c.refusal.RetryAfter; promised != c.promise {
			t.Errorf("%s: told %v, promised %v", name, got.RetryAfter, promised)
		}
		if got.RetryAfter > time.Second && c.promise {
			t.Errorf("%s: told %v, want at most a third of 3s", name, got.RetryAfter)
		}
		log.Reset()
		(&trace{f: s.Forwarder, r: r}).refuse(&recorderSink{}, got)
		if line := log.String(); strings.Contains(line, `"forecast":{"free":`) != c.promise {
			t.Errorf("%s: line %s", name, line)
		}
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(QueueCollector{Scheduler: s.Scheduler})
	families, err := registry.Gather()
	if err != nil || len(families) < 6 {
		t.Errorf("%d metrics, %v", len(families), err)
	}
}

// TestPlacedRequestStays guards against offloading a request that returned to the place that it was promised here,
// to a region that may have none.
func TestPlacedRequestStays(t *testing.T) {
	s := newSystem(t, []scriptStep{text(200, events)})
	s.Scheduler.FairQueue = func() bool { return true }
	s.SetRegionDigests([]*schema.RegionDigest{{Region: "idle", Routes: []*schema.ModelDigest{{Name: "p", Slots: 4000}}}})
	asked := 0
	s.EntryHosts = func(string) []*schema.Peer { asked++; return nil }
	for _, placed := range []bool{true, false} {
		asked = 0
		for i := range 50 { // with this prefix length the other region is nearly always the preferred one
			now := s.Timer.Now()
			r := &Request{
				ID: "1", Host: "h", Method: "POST", Path: "/stream/x", Body: []byte("body"), InputTokens: 9000, MaxOutputTokens: 10,
				Parts:     []scheduler.PromptPart{{ID: fmt.Sprint("shared", i), Tokens: 8000}, {ID: "own", Tokens: 1000}},
				ArrivedAt: now, DeadlineAt: now + 3*time.Second,
			}
			if err := s.identify(r); err != nil {
				t.Fatal(err)
			}
			r.claim.Placed = placed
			if err := s.serveHere(t.Context(), r, &recorderSink{}, &trace{f: s.Forwarder, r: r}, &responseState{}); err != nil {
				t.Fatal(err)
			}
		}
		if offloaded := asked > 0; offloaded == placed {
			t.Errorf("a place was promised: %v, offloaded: %d of 50", placed, asked)
		}
	}
}

// TestFullRegionsAreNotAsked guards against refusals that take a round trip to each full region, and against not
// asking them for a request that was refused before.
func TestFullRegionsAreNotAsked(t *testing.T) {
	s := newSystem(t, []scriptStep{text(200, "")})
	adaptive := true
	s.Scheduler.FairQueue = func() bool { return adaptive }
	s.SetRegionDigests([]*schema.RegionDigest{{Region: "full", Routes: []*schema.ModelDigest{{Name: "p", Slots: 4, Running: 4}}}})
	r := &Request{pool: "p"}
	for _, c := range []struct {
		adaptive, refusedHere, returned bool
		want                            string
	}{{true, true, false, ""}, {true, true, true, "full"}, {true, false, false, "full"}, {false, true, false, "full"}} {
		adaptive, r.refusedHere, r.claim.Returned = c.adaptive, c.refusedHere, c.returned
		if got := s.nextRegion(r, nil); got != c.want {
			t.Errorf("%+v: region %q is asked", c, got)
		}
	}
}
