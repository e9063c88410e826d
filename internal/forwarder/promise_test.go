package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// unproven is what a caller gets in place of a response whose status is a promise that its upstream did not make.
var unproven = result{Status: http.StatusBadGateway, Cause: causeUnproven}

var promisedStatuses = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// unframedText is text without a length and chunks.
func unframedText(t *testing.T, status int, body string) scriptStep {
	response := fmt.Sprintf("HTTP/1.1 %d x\r\nId: 1\r\n\r\n%s", status, body)
	return cutStep(t, response, len(response), false)
}

// TestStatusesThatUpstreamsDoNotProve guards against callers that are told that their request has not run and never
// will, with an upstream's 408, 429 or 503, though the upstream has not said so and may have run it.
func TestStatusesThatUpstreamsDoNotProve(t *testing.T) {
	long := strings.Repeat("x", 3*maxBufferedBytes)
	for _, status := range promisedStatuses {
		for _, path := range []string{"/unsafe/x", "/once/x", "/safe/x", "/stream/x", "/resume/x"} {
			for name, step := range map[string]scriptStep{
				"empty": text(status, ""), "short": text(status, "full"), "long": text(status, long), "events": text(status, events),
				"with a pause": text(status, "full", "Pause", "1h"), "unframed": unframedText(t, status, "full"),
			} {
				s := newSystem(t, []scriptStep{step})
				s.preferFirst()
				if diff := cmp.Diff(unproven, s.call(path, "")); diff != "" {
					t.Errorf("%d, %s, %s: -want +got\n%s", status, path, name, diff)
				}
				if diff := cmp.Diff([]string{"u0"}, s.allArrivals()); diff != "" {
					t.Errorf("%d, %s, %s: arrivals: -want +got\n%s", status, path, name, diff)
				}
			}
		}
	}
	for _, status := range []int{400, 404, 425, 500, 502, 504} {
		s := newSystem(t, []scriptStep{text(status, "failed")})
		if diff := cmp.Diff(result{Status: status, Body: "failed", Finished: true}, s.call("/unsafe/x", "")); diff != "" {
			t.Errorf("%d promises nothing: -want +got\n%s", status, diff)
		}
	}
}

// TestPromiseAfterAnotherAttempt guards against the promise of one attempt that is passed on although another one
// may have run.
func TestPromiseAfterAnotherAttempt(t *testing.T) {
	refused := text(503, "", "Not-Run", "1")
	good := result{Status: 200, Body: "good", Finished: true}
	for _, c := range []struct {
		name, path    string
		first, second scriptStep
		want          result
	}{
		{"failed, then served", "/safe/x", text(503, "full"), text(200, "good"), good},
		{"failed, then refused", "/safe/x", text(503, "full"), refused, unproven},
		{"failed with 500, then refused", "/safe/x", text(500, "bad"), refused, result{Status: 500, Body: "bad", Finished: true}},
		{"refused, then failed", "/safe/x", refused, text(503, "full"), unproven},
		{"refused, then failed, not repeatable", "/unsafe/x", refused, text(503, "full"), unproven},
		{"lost, then refused", "/safe/x", truncate(""), refused, result{Status: 502, Cause: causeRejected}},
		{"refused twice", "/unsafe/x", refused, refused, result{Status: 503, Cause: causeRejected}},
		{"begun, then failed", "/resume/x", truncate("id: 1\ndata: a\n\n"), text(503, "full"), result{Status: 200, Body: "id: 1\ndata: a\n\n", Aborted: true}},
	} {
		s := newSystem(t, []scriptStep{c.first}, []scriptStep{c.second})
		s.preferFirst()
		if diff := cmp.Diff(c.want, s.call(c.path, "")); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
	}
}

// TestUnprovenStatusesAreRemembered guards against what is learned of an upstream that depends on the status that the
// caller gets: a pause that it asks for with a 503 holds all the same.
func TestUnprovenStatusesAreRemembered(t *testing.T) {
	s := newSystem(t, []scriptStep{text(503, "full", "Pause", "1h")}, []scriptStep{text(200, "good")})
	s.preferFirst()
	for range 5 {
		s.call("/unsafe/x", "")
	}
	if diff := cmp.Diff([]string{"u0", "u1", "u1", "u1", "u1"}, s.allArrivals()); diff != "" {
		t.Errorf("arrivals: -want +got\n%s", diff)
	}
}

// TestUnprovenStatusesOfRelays guards against the same through another host: one of this build, and one of an earlier
// build, which passes on such a response whole.
func TestUnprovenStatusesOfRelays(t *testing.T) {
	for _, status := range promisedStatuses {
		s := newSystem(t, []scriptStep{text(status, "full", "Mark", "m")})
		sent := &sentReplies{}
		m := &schema.RelayRequest{Id: "1", Route: "h", Method: "POST", Path: "/unsafe/x", Pool: "p", Left: 2, Objective: 1, Version: 1}
		if err := (&RelayService{Forwarder: s.Forwarder}).Relay(m, contextReplies{sent, t.Context()}); err != nil {
			t.Fatal(err)
		}
		want := []string{"acknowledged", fmt.Sprintf("failure 502 %q, not run false, sent 1", causeUnproven)}
		if diff := cmp.Diff(want, describeReplies(sent.replies)); diff != "" {
			t.Errorf("%d, replies: -want +got\n%s", status, diff)
		}
		earlier := []*schema.RelayReply{{Number: 1}, {Number: 2, Status: int32(status), Length: 4, Chunk: []byte("full")}, {Number: 3, Complete: true}}
		for name, replies := range map[string][]*schema.RelayReply{"of this build": sent.replies, "of an earlier build": earlier} {
			f, r, sink := &Forwarder{Timer: &timer.Service{}, Metrics: NewMetrics(), ConfirmationAge: s.ConfirmationAge}, &Request{}, &recorderSink{}
			truthful := &truthfulSink{Sink: sink, trace: &trace{f: f, r: r}}
			if err := f.forwardReplies(r, truthful, &replyStream{replies: replies}, "x"); err != nil {
				truthful.Refuse(r.finalRefusal(refusalOf(err)))
			} else {
				truthful.Abort() // the refusal stays whole
			}
			if diff := cmp.Diff(unproven, sink.result); diff != "" {
				t.Errorf("%d, relayed by a host %s: -want +got\n%s", status, name, diff)
			}
		}
	}
}

func describeReplies(replies []*schema.RelayReply) []string {
	var all []string
	for _, m := range replies {
		switch x := m.Failure; {
		case x != nil:
			all = append(all, fmt.Sprintf("failure %d %q, not run %v, sent %d", x.Status, x.Cause, x.Notrun, x.Sent))
		case m.Status == 0 && len(m.Chunk) == 0 && !m.Complete:
			all = append(all, "acknowledged")
		default:
			all = append(all, fmt.Sprintf("status %d, %q, complete %v", m.Status, m.Chunk, m.Complete))
		}
	}
	return all
}

// TestUnprovenStatusEndsLongResponse guards against a caller that waits for its refusal until a long response, of which it
// gets nothing, has ended.
func TestUnprovenStatusEndsLongResponse(t *testing.T) {
	ended := make(chan struct{})
	s := newSystem(t, []scriptStep{func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write(make([]byte, 2*maxBufferedBytes))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(ended)
	}})
	sink, now := &recorderSink{}, s.Timer.Now()
	s.Serve(context.Background(), &Request{
		ID: "1", Host: "h", Method: "POST", Path: "/unsafe/x", Header: http.Header{}, ArrivedAt: now, DeadlineAt: now + time.Hour,
	}, sink)
	<-ended
	if diff := cmp.Diff(unproven, sink.result); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
}

// contextReplies is a sentReplies with a context.
type contextReplies struct {
	*sentReplies
	ctx context.Context
}

// Context returns the context of the call.
func (s contextReplies) Context() context.Context { return s.ctx }
