package server

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// deadlineRecorder records the read deadline that is set when the handler returns.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

// TestBodiesThatDoNotArrive guards against a connection and a goroutine held for each body that does not arrive:
// net/http reads, without a bound in time of its own, what a handler leaves unread.
func TestBodiesThatDoNotArrive(t *testing.T) {
	s := newRawServer(t, nil)
	s.Settings.Announce = "token"
	serve := func(method, target, token string) *deadlineRecorder {
		r := httptest.NewRequest(method, target, strings.NewReader("{}"))
		r.Header.Set("Authorization", "Bearer "+token)
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		s.newHTTPServer().Handler.ServeHTTP(w, r)
		return w
	}
	for _, target := range []string{"POST /v1/announce", "POST /v1/completions", "POST /v1/chat/completions", "GET /v1/models", "GET /v1/hosts", "GET /healthz", "GET /readyz", "POST /else"} {
		method, path, _ := strings.Cut(target, " ")
		if w := serve(method, path, ""); w.deadline.IsZero() || time.Until(w.deadline) > time.Minute {
			t.Errorf("%s with an unread body, status %d: deadline %v", target, w.Code, w.deadline)
		}
	}
	// The deadline would end the connection of a caller that waits for its response.
	if w := serve(http.MethodPost, "/v1/announce", "token"); !w.deadline.IsZero() {
		t.Errorf("body read, status %d: a deadline is still set", w.Code)
	}
}

// TestCallerThatDoesNotRead guards against a caller that stops reading its stream and so keeps a slot at an
// upstream beyond its deadline, without end.
func TestCallerThatDoesNotRead(t *testing.T) {
	s := newRawServer(t, serveRaw(t, 1, func(rawRequest) (string, bool) {
		return streamHead + strings.Repeat(tokenEvent(strings.Repeat("x", 4<<10)), 4<<10), true
	}))
	ended := make(chan struct{})
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		ctx, cancel, err := s.requestContext(w, r)
		if err != nil {
			t.Error(err)
			return
		}
		defer cancel()
		c, err := parseCompletion("/v1/chat/completions", []byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"?"}]}`))
		if err != nil {
			t.Error(err)
			return
		}
		if err := s.runAttempts(ctx, c, &httpAnswerWriter{w: w}); err == nil {
			t.Error("the stream ended as complete")
		}
	}))
	conn, err := net.Dial("tcp", h.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"+deadlineHeader+": 100\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Error("the request has not ended 20 s after a deadline of 100 ms")
	}
}

// slowWriter is a caller that takes an event only after delay.
type slowWriter struct {
	httpAnswerWriter
	clock *timer.Service
	delay time.Duration
}

func (w *slowWriter) writeEvent(data []byte, flush bool) error {
	w.clock.Advance(w.delay)
	return w.httpAnswerWriter.writeEvent(data, flush)
}

// TestSlowCallerIsNoStall guards against upstreams that are taken for stalled while a caller is slow to read: each
// time, the stream began again at another upstream, or on a new connection.
func TestSlowCallerIsNoStall(t *testing.T) {
	var requests atomic.Int32
	addresses := serveRaw(t, 1, func(rawRequest) (string, bool) {
		requests.Add(1)
		return streamHead + strings.Repeat(tokenEvent(strings.Repeat("x", 1<<10)), 100) + lastEvents, true
	})
	s := &Server{Settings: &schema.Settings{Name: "h", Region: "r"}, Timer: &timer.Service{Clock: &timer.ManualClock{}}}
	if err := s.Open(t.Context()); err != nil {
		t.Fatal(err)
	}
	s.registrar.Register(&schema.Announcement{Name: "u", Kind: schema.UpstreamKind_UPSTREAM_ENGINE, Models: []string{"m"}, Region: "r", Address: addresses[0], Slots: 8, Lease: 1e6})
	c, err := parseCompletion("/v1/chat/completions", []byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"?"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	err = s.runAttempts(t.Context(), c, &slowWriter{httpAnswerWriter{w: w}, s.Timer, nextTokenTimeout + time.Second})
	if err != nil || !strings.HasSuffix(w.Body.String(), doneEvent) || requests.Load() != 1 {
		t.Errorf("%d requests at the upstream, want 1; %d tokens, error %v", requests.Load(), c.delivered.tokens, err)
	}
}
