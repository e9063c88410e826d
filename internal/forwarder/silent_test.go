package forwarder

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// silence is the time for which an upstream of these tests sends nothing.
const silence = 1200 * time.Millisecond

// silentUpstream stands in for an upstream that falls silent under requests and then goes on.
type silentUpstream struct {
	begun chan struct{} // gets a value for each request that meets the silence
	goOn  chan struct{} // closed when the silence ends
}

func newSilentUpstream() *silentUpstream {
	return &silentUpstream{begun: make(chan struct{}, 16), goOn: make(chan struct{})}
}

// step sends before, falls silent, and sends the rest.
func (u *silentUpstream) step(before, rest string) scriptStep {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if before != "" {
			_, _ = io.WriteString(w, before)
			w.(http.Flusher).Flush()
		}
		u.begun <- struct{}{}
		select {
		case <-u.goOn:
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(w, rest)
	}
}

// signalSink also signals the first piece of the body.
type signalSink struct {
	recorderSink
	once  sync.Once
	first chan struct{}
}

func (s *signalSink) SendChunk(b []byte) error {
	err := s.recorderSink.SendChunk(b)
	s.once.Do(func() { close(s.first) })
	return err
}

// callSilent is call with a deadline that allows waiting. The first channel is closed when the caller has the first piece of the
// response, which is sent on the second.
func (s *system) callSilent(path string) (<-chan struct{}, <-chan result) {
	done, first := make(chan result, 1), make(chan struct{})
	now := s.Timer.Now()
	go func() {
		sink := &signalSink{first: first}
		s.Serve(context.Background(), &Request{
			ID: "1", Host: "h", Method: "POST", Path: path, Header: http.Header{}, Body: []byte("body"), ArrivedAt: now, DeadlineAt: now + 3*time.Second,
		}, sink)
		done <- sink.result
	}()
	return first, done
}

// TestUpstreamFallsSilent guards against requests that are broken off, or run again although they cannot be, because
// their upstream sent nothing for a second.
func TestUpstreamFallsSilent(t *testing.T) {
	for _, c := range []struct {
		name, path, before, rest string
		want                     result
		arrivals                 []string
	}{
		{"waits, not repeatable", "/unsafe/x", "", "late", result{Status: 200, Body: "late", Finished: true}, []string{"u0"}},
		{"waits, stream", "/stream/x", "", events, result{Status: 200, Body: events, Finished: true}, []string{"u0"}},
		{"running stream", "/stream/x", firstEvent, secondEvent, result{Status: 200, Body: events, Finished: true}, []string{"u0"}},
		{"running stream that may be resumed", "/resume/x", firstEvent, secondEvent, result{Status: 200, Body: events, Finished: true}, []string{"u0"}},
		// Another upstream responds sooner, within the budget of retries.
		{"waits, repeatable", "/safe/x", "", "late", result{Status: 200, Body: events, Finished: true}, []string{"u0", "u1"}},
		{"waits, stream that may be resumed", "/resume/x", "", events, result{Status: 200, Body: events, Finished: true}, []string{"u0", "u1"}},
	} {
		clock := &timer.Service{Clock: &timer.ManualClock{}}
		clock.Advance(time.Hour)
		u := newSilentUpstream()
		s := newSystemAt(t, clock, []scriptStep{u.step(c.before, c.rest)}, []scriptStep{text(200, events)})
		s.preferFirst()
		first, done := s.callSilent(c.path)
		<-u.begun
		if c.before != "" {
			<-first
		}
		clock.Advance(silence)
		var got result
		if len(c.arrivals) == 1 {
			close(u.goOn)
			got = <-done
		} else {
			got = <-done
			close(u.goOn)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
		if diff := cmp.Diff(c.arrivals, s.allArrivals()); diff != "" {
			t.Errorf("%s: arrivals: -want +got\n%s", c.name, diff)
		}
		if x := s.Scheduler.OwnBreakages(); len(x) > 0 {
			t.Errorf("%s: the process is assumed to have ended: %v", c.name, x)
		}
	}
}

// TestUpstreamUsedAfterSilence guards against an upstream that is left out for seconds after it was silent for one, since
// all requests that waited there were given up at the same time.
func TestUpstreamUsedAfterSilence(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	u := newSilentUpstream()
	s := newSystemAt(t, clock, []scriptStep{u.step("", "late")}, []scriptStep{text(200, "other")})
	s.preferFirst()
	_, waits := s.callSilent("/unsafe/x")
	<-u.begun
	var given sync.WaitGroup
	for range 4 {
		_, done := s.callSilent("/safe/x")
		<-u.begun
		given.Go(func() { <-done })
	}
	clock.Advance(silence)
	given.Wait()
	condition := func() scheduler.Condition { return s.Scheduler.UpstreamStates()[0].Condition }
	if got := condition(); got != scheduler.Unavailable {
		t.Errorf("upstream that is silent: %v, want %v", got, scheduler.Unavailable)
	}
	close(u.goOn)
	if got := <-waits; got.Body != "late" {
		t.Errorf("request that waited: %+v", got)
	}
	if got := condition(); got != scheduler.Healthy {
		t.Errorf("upstream that goes on: %v, want %v", got, scheduler.Healthy)
	}
}
