package forwarder

import (
	"context"
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
