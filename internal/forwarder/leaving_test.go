package forwarder

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/resumer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestLeavingUpstreams guards against refusing what only an upstream that is leaving can serve while it
// still may, and against sending it anything else or anything later.
func TestLeavingUpstreams(t *testing.T) {
	whole := result{Status: 200, Body: secondEvent, Finished: true}
	none := result{Status: 503, Cause: causeNoUpstream}
	for _, c := range []struct {
		name  string
		left  time.Duration // for which u0, of version v1, may still be used
		stays bool          // u1, of version v2, is not leaving
		play  func(s *system) result
		want  result
		at    []string
	}{
		{"a plain request", time.Second, false, func(s *system) result { return s.call("/unsafe/x", "") }, whole, []string{"u0"}},
		{"a plain request, too late", 0, false, func(s *system) result { return s.call("/unsafe/x", "") }, none, nil},
		{"another upstream serves it", time.Second, true, func(s *system) result { return s.call("/unsafe/x", "") }, whole, []string{"u1"}},
		{"a stream of its version", time.Second, true, func(s *system) result { got, _ := s.takeUp("1", "1"); return got }, whole, []string{"u0"}},
		{"a stream of its version, too late", 0, true, func(s *system) result { got, _ := s.takeUp("1", "1"); return got }, none, nil},
		{"a request that another region relays", time.Second, false, func(s *system) result { return s.relayed(false) }, result{Status: 503, Cause: causeNoUpstream}, nil},
		{"a request that another region relays as a last resort", time.Second, false, func(s *system) result { return s.relayed(true) }, whole, []string{"u0"}},
	} {
		s := newSystem(t)
		s.Region = "r"
		steps := []scriptStep{text(200, secondEvent)}
		s.Scheduler.UpdateUpstreams([]*schema.Announcement{
			{Name: "u0", Address: s.upstream(t, "u0", steps), Pool: "p", Region: "r", Slots: 4, Incarnation: 1, Software: "v1", Leaving: true},
			{Name: "u1", Address: s.upstream(t, "u1", steps), Pool: "p", Region: "r", Slots: 4, Incarnation: 1, Software: "v2", Leaving: !c.stays},
		})
		if c.left > 0 {
			s.Scheduler.UpdateLeaving(map[string]time.Duration{"u0": s.Timer.Now() + c.left})
		}
		s.FindStream = func(context.Context, *schema.FindStreamRequest) (*schema.FindStreamReply, error) {
			return &schema.FindStreamReply{Found: true, Pool: "p", Software: "v1", Regions: []string{"r"}, Leaving: true}, nil
		}
		s.Streams = &resumer.Index{Now: s.Timer.Now, MaxStreams: 100}
		if diff := cmp.Diff(c.want, c.play(s)); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
		if diff := cmp.Diff(c.at, s.allArrivals()); diff != "" {
			t.Errorf("%s: arrivals: -want +got\n%s", c.name, diff)
		}
	}
}

// relayed runs a request as a host of another region relays it, and returns what that host receives.
func (s *system) relayed(lastResort bool) result {
	now := s.Timer.Now()
	m := s.newRelayRequest(&Request{
		ID: "2", Host: "h", Method: "POST", Path: "/unsafe/x", pool: "p", lastResort: lastResort,
		ArrivedAt: now, answerUntil: now + time.Second, objectiveAt: now + time.Second,
	})
	sent := &relayedReplies{}
	if err := (&RelayService{Forwarder: s.Forwarder}).Relay(m, sent); err != nil {
		return result{Cause: err.Error()}
	}
	got := result{}
	for _, reply := range sent.replies {
		if reply.Failure != nil {
			got.Status, got.Cause = int(reply.Failure.Status), reply.Failure.Cause
		}
		if reply.Status != 0 {
			got.Status = int(reply.Status)
		}
		got.Body += string(reply.Chunk)
		got.Finished = got.Finished || reply.Complete
	}
	return got
}

// TestRelayedAnswerSaysItLeaves guards against a request that reaches an upstream of another region which said
// in an earlier answer to this host that it is leaving, through another host of that region.
func TestRelayedAnswerSaysItLeaves(t *testing.T) {
	s := newSystem(t, []scriptStep{text(200, "whole", "Leaving", "1")}, []scriptStep{text(200, "whole")})
	s.preferFirst()
	now := s.Timer.Now()
	relay := func(excluded ...string) *relayedReplies {
		m := s.newRelayRequest(&Request{ID: "1", Host: "h", Method: "POST", Path: "/unsafe/x", pool: "p", ArrivedAt: now, answerUntil: now + time.Second, objectiveAt: now + time.Second})
		sent := &relayedReplies{}
		if err := (&RelayService{Forwarder: s.Forwarder}).Relay(m, sent); err != nil {
			t.Fatal(err)
		}
		return sent
	}
	var leaver *schema.Leaver
	for range 100 {
		for _, reply := range relay().replies {
			if reply.Leaver != nil {
				leaver = reply.Leaver
			}
		}
		if leaver != nil {
			break
		}
	}
	if leaver.GetUpstream() != "u0" {
		t.Fatalf("no reply names the upstream: %v", leaver)
	}
	other := newSystem(t, []scriptStep{text(200, "whole")}, []scriptStep{text(200, "whole")}) // of the same region
	other.recordRelayedLeaver(&Request{}, leaver)
	for range 50 {
		m := other.newRelayRequest(&Request{ID: "1", Host: "h", Method: "POST", Path: "/unsafe/x", pool: "p", ArrivedAt: now, answerUntil: now + time.Second, objectiveAt: now + time.Second})
		if err := (&RelayService{Forwarder: other.Forwarder}).Relay(m, &relayedReplies{}); err != nil {
			t.Fatal(err)
		}
	}
	for _, at := range other.allArrivals() {
		if at == "u0" {
			t.Fatal("a request reached the upstream that is leaving")
		}
	}
	for i := range 3 * maxLeavers {
		other.leavers.add(&schema.Leaver{Upstream: "x", Incarnation: uint64(i)}, now)
	}
	if n := len(other.leavers.all); n > maxLeavers {
		t.Errorf("%d upstreams are kept", n)
	}
}

// TestAllPaused guards against keeping a request waiting while every upstream has asked for a pause, and
// against a pause that a request which may not be repeated is sent into.
func TestAllPaused(t *testing.T) {
	reject := func(pause string) scriptStep {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.Header().Set("Pause", pause)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	s := newSystem(t, []scriptStep{reject("3s")}, []scriptStep{reject("5s")})
	if got := s.call("/unsafe/x", ""); got.Status != 503 || len(s.allArrivals()) != 2 {
		t.Errorf("status %d after %v, want 503 after both", got.Status, s.allArrivals())
	}
	now := s.Timer.Now()
	sink := &retrySink{}
	s.Serve(t.Context(), &Request{ID: "2", Host: "h", Method: "POST", Path: "/unsafe/x", ArrivedAt: now, DeadlineAt: now + 10*time.Second}, sink)
	if took := s.Timer.Now() - now; took > time.Second || sink.retryAfter < 2*time.Second || sink.retryAfter > 3*time.Second || len(s.allArrivals()) != 2 {
		t.Errorf("all are paused: refused after %s with a retry after %s, arrivals %v", took, sink.retryAfter, s.allArrivals())
	}
}
