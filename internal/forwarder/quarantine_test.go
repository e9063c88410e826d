package forwarder

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/quarantiner"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

func (s *system) callWithParts(path string, parts ...string) (result, time.Duration) {
	now := s.Timer.Now()
	sink := &retrySink{}
	r := &Request{ID: "1", Host: "h", Method: "POST", Path: path, Header: http.Header{}, ArrivedAt: now, DeadlineAt: now + 2*time.Second}
	for _, id := range parts {
		r.Parts = append(r.Parts, scheduler.PromptPart{ID: id, Tokens: 10})
	}
	s.Serve(context.Background(), r, sink)
	return sink.result, sink.retryAfter
}

// callWithBody sends a request without a prompt.
func (s *system) callWithBody(path, body string) result {
	now := s.Timer.Now()
	sink := &recorderSink{}
	s.Serve(context.Background(), &Request{ID: "1", Host: "h", Method: "POST", Path: path, Header: http.Header{}, Body: []byte(body), ArrivedAt: now, DeadlineAt: now + 2*time.Second}, sink)
	return sink.result
}

// TestQuarantinedRequest guards against sending a quarantined request to an upstream, and against
// refusing others that have only its path, or only its body.
func TestQuarantinedRequest(t *testing.T) {
	s := newSystem(t, []scriptStep{text(200, "a")}, []scriptStep{text(200, "a")})
	s.Quarantine = &quarantiner.Register{Now: s.Timer.Now}
	s.Quarantine.Merge([]*schema.QuarantinedPart{{Part: quarantiner.RequestKey("/safe/x", "", []byte("bad")), Number: 1, Left: 60}})
	if diff := cmp.Diff(result{Status: 503, Cause: causeRequestQuarantined}, s.callWithBody("/safe/x", "bad")); diff != "" {
		t.Errorf("quarantined: -want +got\n%s", diff)
	}
	for _, sound := range [][2]string{{"/safe/x", ""}, {"/safe/x", "bad2"}, {"/safe/x?y=1", "bad"}, {"/safe/y", "bad"}} {
		if diff := cmp.Diff(result{Status: 200, Body: "a", Finished: true}, s.callWithBody(sound[0], sound[1])); diff != "" {
			t.Errorf("sound, path %s, body %q: -want +got\n%s", sound[0], sound[1], diff)
		}
	}
}

// TestSurvivalsOfRequests guards against clearing a request that crashes upstreams because one of them
// failed before it ran it, or rejected it.
func TestSurvivalsOfRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		step scriptStep
		want bool
	}{
		{"answered", text(200, "a"), true},
		{"refused by the upstream's own rules", text(404, "no"), true},
		{"failed", text(500, "bad"), false},
		{"rejected", text(503, "", "Not-Run", "1"), false},
		{"lost", truncate(""), false},
	} {
		s := newSystem(t, []scriptStep{c.step})
		s.Observer = &quarantiner.Observer{Timer: s.Timer, Log: zerolog.Nop(), Refused: func(context.Context, string) bool { return false },
			State: func(quarantiner.Upstream) quarantiner.State { return quarantiner.Running }}
		s.Observer.SetSuspects([]uint64{quarantiner.RequestKey("/safe/x", "", []byte("b"))})
		s.callWithBody("/safe/x", "b")
		if f, _ := s.Observer.Since(0); len(f.Survivals) > 0 != c.want {
			t.Errorf("%s: survivals %v, want any: %v", c.name, f.Survivals, c.want)
		}
	}
}

// retrySink also records after what time a refused caller may return.
type retrySink struct {
	recorderSink
	retryAfter time.Duration
}

func (s *retrySink) Refuse(f *Refusal) {
	s.recorderSink.Refuse(f)
	s.retryAfter = f.RetryAfter
}

// TestQuarantinedPart guards against sending a request with a quarantined part to an upstream, first
// or again, and against refusing others that share the rest of the prompt.
func TestQuarantinedPart(t *testing.T) {
	quarantined := []*schema.QuarantinedPart{{Part: quarantiner.PartKey("bad"), Number: 1, Left: 60}}
	s := newSystem(t, []scriptStep{text(200, events)}, []scriptStep{text(200, events)})
	s.Quarantine = &quarantiner.Register{Now: s.Timer.Now}
	s.Quarantine.Merge(quarantined)
	got, retryAfter := s.callWithParts("/stream/x", "base", "bad", "own")
	if diff := cmp.Diff(result{Status: 503, Cause: causePartQuarantined}, got); diff != "" {
		t.Errorf("quarantined: -want +got\n%s", diff)
	}
	if retryAfter > time.Minute || retryAfter < 50*time.Second {
		t.Errorf("Retry-After is %v, want the rest of the quarantine, a minute", retryAfter)
	}
	for _, parts := range [][]string{{"base", "good", "own"}, {"base", "bad"}, {}} {
		got, _ := s.callWithParts("/stream/x", parts...)
		if diff := cmp.Diff(result{Status: 200, Body: events, Finished: true}, got); diff != "" {
			t.Errorf("sound, parts %v: -want +got\n%s", parts, diff)
		}
	}
	if n := len(s.allArrivals()); n != 3 {
		t.Errorf("%d requests arrived at upstreams, want the 3 sound ones", n)
	}
}

// TestQuarantineStopsRepeats guards against sending a request to another upstream if its part was
// quarantined while it ran.
func TestQuarantineStopsRepeats(t *testing.T) {
	s := newSystem(t)
	s.Quarantine = &quarantiner.Register{Now: s.Timer.Now}
	crash := func(w http.ResponseWriter, r *http.Request) {
		s.Quarantine.Merge([]*schema.QuarantinedPart{{Part: quarantiner.PartKey("bad"), Number: 1, Left: 60}})
		truncate("")(w, r)
	}
	s.Scheduler.UpdateUpstreams([]*schema.Announcement{
		{Name: "u0", Address: s.upstream(t, "u0", []scriptStep{crash}), Pool: "p", Region: "r", Slots: 4, Incarnation: 1},
		{Name: "u1", Address: s.upstream(t, "u1", []scriptStep{crash}), Pool: "p", Region: "r", Slots: 4, Incarnation: 1},
	})
	got, _ := s.callWithParts("/resume/x", "base", "bad", "own")
	if diff := cmp.Diff(result{Status: 502, Cause: causePartQuarantined}, got); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
	if n := len(s.allArrivals()); n != 1 {
		t.Errorf("%d upstreams got the request, want 1", n)
	}
}

// TestOpenQuarantineStopsRepeats guards against sending a request to another upstream after one ended under
// it, while it is open which of several parts crashes upstreams, and against refusing it before that.
func TestOpenQuarantineStopsRepeats(t *testing.T) {
	for _, c := range []struct {
		name  string
		parts []string
		want  result
		sent  int
	}{
		{"one of the parts", []string{"base", "own"}, result{Status: 502, Cause: causePartQuarantined}, 1},
		{"the other one", []string{"bad", "other", "own"}, result{Status: 502, Cause: causePartQuarantined}, 1},
		{"neither", []string{"other", "own"}, result{Status: 200, Body: events, Finished: true}, 2},
		{"both", []string{"base", "bad", "own"}, result{Status: 503, Cause: causePartQuarantined}, 0},
	} {
		s := newSystem(t)
		s.Quarantine = &quarantiner.Register{Now: s.Timer.Now}
		s.Quarantine.Merge([]*schema.QuarantinedPart{{Part: quarantiner.PartKey("bad"), Number: 1, Left: 60, Beside: []uint64{quarantiner.PartKey("base")}}})
		var ended atomic.Bool
		endOnce := func(w http.ResponseWriter, r *http.Request) {
			if ended.CompareAndSwap(false, true) {
				truncate("")(w, r)
				return
			}
			text(200, events)(w, r)
		}
		s.Scheduler.UpdateUpstreams([]*schema.Announcement{
			{Name: "u0", Address: s.upstream(t, "u0", []scriptStep{endOnce}), Pool: "p", Region: "r", Slots: 4, Incarnation: 1},
			{Name: "u1", Address: s.upstream(t, "u1", []scriptStep{endOnce}), Pool: "p", Region: "r", Slots: 4, Incarnation: 1},
		})
		got, _ := s.callWithParts("/resume/x", c.parts...)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
		if n := len(s.allArrivals()); n != c.sent {
			t.Errorf("%s: %d upstreams got the request, want %d", c.name, n, c.sent)
		}
	}
}

// TestTrial guards against a quarantine that nothing can end before its time, and against more than one
// request for one trial: a second one, or a repeat at another upstream.
func TestTrial(t *testing.T) {
	quarantine := &schema.QuarantinedPart{Part: quarantiner.PartKey("bad"), Number: 1, Left: 60}
	grant := &schema.Findings{Quarantined: []*schema.QuarantinedPart{quarantine}, Trials: []uint64{quarantine.Part}}
	refused := result{Status: 503, Cause: causePartQuarantined}
	for _, c := range []struct {
		name string
		step scriptStep
		want []result
		sent int
	}{
		{"answered", text(200, events), []result{{Status: 200, Body: events, Finished: true}, refused}, 1},
		{"the upstream ends", truncate(""), []result{{Status: 502, Cause: causePartQuarantined}, refused}, 1},
	} {
		s := newSystem(t, []scriptStep{c.step}, []scriptStep{c.step})
		s.Quarantine = &quarantiner.Register{Now: s.Timer.Now}
		s.Observer = &quarantiner.Observer{Timer: s.Timer, Log: zerolog.Nop(), Refused: func(context.Context, string) bool { return false },
			State: func(quarantiner.Upstream) quarantiner.State { return quarantiner.Running }}
		link := &quarantiner.Link{Source: s.Observer, Register: s.Quarantine}
		link.Apply(grant, 1)
		var got []result
		for range c.want {
			r, _ := s.callWithParts("/resume/x", "base", "bad", "own")
			got = append(got, r)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
		if n := len(s.allArrivals()); n != c.sent {
			t.Errorf("%s: %d upstreams got a request, want %d", c.name, n, c.sent)
		}
		if diff := cmp.Diff([]uint64{quarantine.Part}, link.Request(1).Refused); diff != "" {
			t.Errorf("%s: refused parts in the next report: -want +got\n%s", c.name, diff)
		}
	}
}

// TestLostAnswersAreObserved guards against ends of upstreams that nothing relates to the requests
// there: with a length, in chunks, and ended by the connection.
func TestLostAnswersAreObserved(t *testing.T) {
	for _, c := range []struct {
		name string
		step scriptStep
		want bool
	}{
		{"before the head", truncate(""), true},
		{"in the first event", truncate("id: 1\nda"), true},
		{"after the first event", truncate("id: 1\ndata: a\n\n"), true},
		{"without length, before the first event", unframed(t, "", false), true},
		{"without length, after the first event", unframed(t, "id: 1\ndata: a\n\n", false), true},
		{"reset", unframed(t, "", true), true},
		{"answered", text(200, events), false},
		{"rejected", text(503, "", "Not-Run", "1"), false},
		{"failed, answered", text(500, "bad"), false},
	} {
		s := newSystem(t, []scriptStep{c.step})
		ended := make(chan struct{}, 1)
		checked := make(chan struct{}, 16)
		s.Observer = &quarantiner.Observer{
			Timer: s.Timer, Log: zerolog.Nop(), OnEnd: func() { ended <- struct{}{} },
			Refused: func(context.Context, string) bool { return true },
			State:   func(quarantiner.Upstream) quarantiner.State { checked <- struct{}{}; return quarantiner.Running },
		}
		_, _ = s.callWithParts("/stream/x", "base", "p", "own")
		if !c.want {
			f, _ := s.Observer.Since(0)
			if len(f.Ends) > 0 || len(checked) > 0 {
				t.Errorf("%s: taken for a lost answer", c.name)
			}
			continue
		}
		<-ended
		f, _ := s.Observer.Since(0)
		want := []uint64{quarantiner.RequestKey("/stream/x", "", nil), quarantiner.PartKey("base"), quarantiner.PartKey("p")}
		if len(f.Ends) != 1 || f.Ends[0].Incarnation != 1 || !cmp.Equal(want, f.Ends[0].Parts) {
			t.Errorf("%s: got ends %v, want one of incarnation 1 under %v", c.name, f.Ends, want)
		}
	}
}
