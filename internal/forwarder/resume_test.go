package forwarder

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/resumer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// newVersionedSystem returns a system with one upstream of each version, in pool p of region r.
func newVersionedSystem(t *testing.T, versions []string, steps ...[]scriptStep) *system {
	s := newSystem(t)
	s.Region = "r"
	s.Streams = &resumer.Index{Now: s.Timer.Now, MaxStreams: 100}
	var all []*schema.Announcement
	for i, v := range versions {
		name := "u" + string(rune('0'+i))
		all = append(all, &schema.Announcement{Name: name, Address: s.upstream(t, name, steps[i]), Pool: "p", Region: "r", Slots: 4, Incarnation: 1, Software: v})
	}
	s.Scheduler.UpdateUpstreams(all)
	return s
}

func (s *system) takeUp(after, resumes string) (result, *Request) {
	now := s.Timer.Now()
	sink := &recorderSink{}
	r := &Request{ID: "2", Host: "h", Method: "POST", Path: "/resume/x", Header: http.Header{}, LastEventID: after, Resumes: resumes, ArrivedAt: now, DeadlineAt: now + 2*time.Second}
	s.Serve(context.Background(), r, sink)
	return sink.result, r
}

const (
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
)

// TestVersionsWithinAnswer guards against an answer that another version of the upstream's software goes
// on with, and against breaking off one that the same version can go on with.
func TestVersionsWithinAnswer(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions []string
		want     result
	}{
		{"the same version", []string{"v1", "v1"}, result{Status: 200, Body: firstEvent + secondEvent, Finished: true}},
		{"another version", []string{"v1", "v2"}, result{Status: 200, Body: firstEvent, Aborted: true}},
		{"no version and one", []string{"", "v2"}, result{Status: 200, Body: firstEvent, Aborted: true}},
	} {
		first := make(chan bool, 1)
		first <- true
		step := func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-first:
				truncate(firstEvent)(w, r)
			default:
				text(200, secondEvent)(w, r)
			}
		}
		s := newVersionedSystem(t, c.versions, []scriptStep{step}, []scriptStep{step})
		now := s.Timer.Now()
		sink := &recorderSink{}
		urgent := 0
		s.OnStream = func(u bool) {
			if u {
				urgent++
			}
		}
		s.Serve(context.Background(), &Request{ID: "1", Host: "h", Method: "POST", Path: "/resume/x", Header: http.Header{}, ArrivedAt: now, DeadlineAt: now + 2*time.Second}, sink)
		if diff := cmp.Diff(c.want, sink.result); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
		began := c.versions[s.allArrivals()[0][1]-'0']
		if o, found, _ := s.Streams.Find(resumer.Key("", "1")); !found || o != (resumer.Origin{Pool: "p", Software: began}) {
			t.Errorf("%s: recorded %v, %v, want version %q", c.name, o, found, began)
		}
		if c.want.Aborted != (urgent == 1) {
			t.Errorf("%s: %d urgent reports of the stream, aborted %v", c.name, urgent, c.want.Aborted)
		}
	}
}

// TestStreamsTakenUp guards against going on with a stream at a version of which it is not known that it
// began the stream, and against refusing streams whose version is known.
func TestStreamsTakenUp(t *testing.T) {
	went := result{Status: 200, Body: secondEvent, Finished: true}
	unknown := result{Status: 503, Cause: causeOriginUnknown}
	gone := result{Status: 503, Cause: causeVersionGone}
	answer := func(m *schema.FindStreamReply) func() (*schema.FindStreamReply, error) {
		return func() (*schema.FindStreamReply, error) { return m, nil }
	}
	failing := func() (*schema.FindStreamReply, error) { return nil, errors.New("no control host") }
	for _, c := range []struct {
		name string
		own  *resumer.Origin
		find func() (*schema.FindStreamReply, error)
		want result
		at   string // upstream that must get it; empty: none
	}{
		{"own record", &resumer.Origin{Pool: "p", Software: "v2"}, failing, went, "u1"},
		{"own record, no such upstream here nor elsewhere", &resumer.Origin{Pool: "p", Software: "v3"}, answer(&schema.FindStreamReply{Found: true, Pool: "p", Software: "v3"}), gone, ""},
		{"own record, no such upstream here, no control host", &resumer.Origin{Pool: "p", Software: "v3"}, failing, result{Status: 503, Cause: causeNoUpstream}, ""},
		{"own record of a pool that the route left", &resumer.Origin{Pool: "q", Software: "v1"}, failing, gone, ""},
		{"another host's record", nil, answer(&schema.FindStreamReply{Found: true, Pool: "p", Software: "v2", Regions: []string{"r"}}), went, "u1"},
		{"another host's record, the version left", nil, answer(&schema.FindStreamReply{Found: true, Pool: "p", Software: "v0"}), gone, ""},
		{"the only version", nil, answer(&schema.FindStreamReply{Inferred: true, Pool: "p", Software: "v1", Regions: []string{"r"}}), went, "u0"},
		{"another host's record, connections to the upstream broke", nil, answer(&schema.FindStreamReply{Found: true, Pool: "p", Software: "v2", Regions: []string{"r"}, Doubtful: []*schema.Breakage{{Upstream: "u1", Incarnation: 1}}}), result{Status: 503, Cause: causeNoUpstream}, ""},
		{"unknown", nil, answer(&schema.FindStreamReply{Versions: []string{"v1"}}), unknown, ""},
		{"no control host replies", nil, failing, unknown, ""},
	} {
		s := newVersionedSystem(t, []string{"v1", "v2"}, []scriptStep{text(200, secondEvent)}, []scriptStep{text(200, secondEvent)})
		s.FindStream = func(_ context.Context, r *schema.FindStreamRequest) (*schema.FindStreamReply, error) {
			if r.Stream != resumer.Key("", "1") || r.Pool != "p" {
				t.Errorf("%s: asked for %v", c.name, r)
			}
			return c.find()
		}
		if c.own != nil {
			s.Streams.Add(resumer.Key("", "1"), *c.own, 0)
		}
		got, _ := s.takeUp("1", "1")
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
		var want []string
		if c.at != "" {
			want = []string{c.at}
		}
		if diff := cmp.Diff(want, s.allArrivals()); diff != "" {
			t.Errorf("%s: arrivals: -want +got\n%s", c.name, diff)
		}
	}
}

// TestRelayedStreams guards against a host of another region that goes on with a stream at another
// version, or takes the rest of a stream for a new one.
func TestRelayedStreams(t *testing.T) {
	s := newVersionedSystem(t, []string{"v1", "v2"}, []scriptStep{text(200, secondEvent)}, []scriptStep{text(200, secondEvent)})
	version := "v2"
	r := &Request{ID: "2", Host: "h", Method: "POST", Path: "/resume/x", Header: http.Header{}, LastEventID: "1", Resumes: "1", software: &version, pool: "p", ArrivedAt: s.Timer.Now(), answerUntil: s.Timer.Now() + time.Second, objectiveAt: s.Timer.Now()}
	m := s.newRelayRequest(r)
	if diff := cmp.Diff(&schema.Resume{After: "1", Request: "1", Software: "v2"}, m.Resume, protocmp.Transform()); diff != "" {
		t.Errorf("sent: -want +got\n%s", diff)
	}
	sent := &relayedReplies{}
	if err := (&RelayService{Forwarder: s.Forwarder}).Relay(m, sent); err != nil {
		t.Fatal(err)
	}
	if _, found, _ := s.Streams.Find(resumer.Key("", "2")); found {
		t.Error("the rest of a stream was recorded as a new one")
	}
	if got := s.allArrivals(); len(got) != 1 || got[0][:2] != "u1" {
		t.Errorf("arrivals %v, want one at u1", got)
	}
	fresh := s.newRelayRequest(&Request{ID: "3", Host: "h", Method: "POST", Path: "/resume/x", Header: http.Header{}, pool: "p", ArrivedAt: s.Timer.Now(), answerUntil: s.Timer.Now() + time.Second, objectiveAt: s.Timer.Now()})
	if fresh.Resume != nil {
		t.Errorf("a new stream is sent as the rest of one, %v", fresh.Resume)
	}
	if err := (&RelayService{Forwarder: s.Forwarder}).Relay(fresh, sent); err != nil {
		t.Fatal(err)
	}
	if _, found, _ := s.Streams.Find(resumer.Key("", "3")); !found {
		t.Error("the host that has the upstream did not record the stream")
	}
}

// relayedReplies is the sending end of a relay without a network.
type relayedReplies struct{ sentReplies }

// Context returns a context that does not end.
func (s *relayedReplies) Context() context.Context { return context.Background() }
