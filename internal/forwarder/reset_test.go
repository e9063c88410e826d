package forwarder

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 4 << 20

// upload sends a request with a long body.
func (s *system) upload(path string, sink Sink) {
	now := s.Timer.Now()
	s.Serve(context.Background(), &Request{
		ID: "1", Host: "h", Method: "POST", Path: path, Header: http.Header{}, Body: bytes.Repeat([]byte("x"), uploadBytes),
		ArrivedAt: now, DeadlineAt: now + 2*time.Second,
	}, sink)
}

// resetDuringUpload sends a part of a response that ends with its connection and resets the connection while the
// request is being written, after it has called before.
func resetDuringUpload(t *testing.T, status, part string, before func()) scriptStep {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 "+status+"\r\nId: 1\r\n\r\n"+part); err != nil {
			t.Error(err)
		}
		before()
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// TestResetDuringUpload guards against a part of a response that a caller gets as a whole one because the upstream
// resets the connection while the request is being written.
func TestResetDuringUpload(t *testing.T) {
	large := strings.Repeat("y", maxBufferedBytes)
	good := []scriptStep{text(200, "good")}
	lost := result{Status: 502, Cause: causeLost}
	for _, c := range []struct {
		name, path, status, part string
		begun                    bool // the caller gets the part before the reset
		second                   []scriptStep
		want                     result
		arrivals                 []string
	}{
		{"answer", "/unsafe/x", "200 OK", "part", false, good, lost, []string{"u0"}},
		{"answer, repeated", "/safe/x", "200 OK", "part", false, good, result{Status: 200, Body: "good", Finished: true}, []string{"u0", "u1"}},
		{"rejection", "/unsafe/x", "400 Bad Request", "part", false, good, lost, []string{"u0"}},
		{"failure", "/unsafe/x", "500 Internal Server Error", "part", false, good, lost, []string{"u0"}},
		{"failure, repeated", "/safe/x", "500 Internal Server Error", "part", false, good, result{Status: 200, Body: "good", Finished: true}, []string{"u0", "u1"}},
		{"long answer", "/unsafe/x", "200 OK", large, true, good, result{Status: 200, Body: large, Aborted: true}, []string{"u0"}},
		{"stream", "/stream/x", "200 OK", firstEvent, true, good, result{Status: 200, Body: firstEvent, Aborted: true}, []string{"u0"}},
		{"stream, resumed", "/resume/x", "200 OK", firstEvent, true, []scriptStep{text(200, secondEvent)},
			result{Status: 200, Body: events, Finished: true}, []string{"u0", "u1 1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for range 5 {
				blocked, ended, answered := make(chan struct{}), make(chan struct{}), make(chan struct{})
				sink := &blockedSink{block: func() {
					close(blocked)
					<-ended
					time.Sleep(20 * time.Millisecond) // until writing the request has met the reset
				}}
				step := resetDuringUpload(t, c.status, c.part, func() {
					if !c.begun {
						time.Sleep(20 * time.Millisecond) // until writing the request waits for the upstream
						return
					}
					select {
					case <-blocked:
					case <-answered:
					}
				})
				first := func(w http.ResponseWriter, r *http.Request) {
					defer close(ended)
					step(w, r)
				}
				s := newSystem(t, []scriptStep{first}, c.second)
				s.preferFirst()
				s.upload(c.path, sink)
				close(answered)
				if diff := cmp.Diff(c.want, sink.result); diff != "" {
					t.Fatalf("-want +got\n%.500s", diff)
				}
				if diff := cmp.Diff(c.arrivals, s.allArrivals()); diff != "" {
					t.Fatalf("arrivals: -want +got\n%s", diff)
				}
			}
		})
	}
}

// TestEarlyUnframedAnswer guards against losing a whole response that ends with its connection because the upstream
// closed it without reading the request, and against taking it for whole if a reset follows at once.
func TestEarlyUnframedAnswer(t *testing.T) {
	for _, c := range []struct {
		name  string
		reset bool
		want  result
	}{
		{"closed", false, result{Status: 200, Body: "ok", Finished: true}},
		{"closed, then reset", true, result{Status: 502, Cause: causeLost}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var s *system
			answered := make(chan struct{})
			step := func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				tcp := conn.(*net.TCPConn)
				defer func() { _ = tcp.Close() }()
				_, _ = io.WriteString(tcp, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok")
				_ = tcp.CloseWrite()
				time.Sleep(50 * time.Millisecond) // until the end of the response is being checked
				if c.reset {
					_ = tcp.SetLinger(0)
					_ = tcp.Close()
				}
				for {
					s.Timer.Advance(30 * time.Millisecond)
					select {
					case <-answered:
						return
					case <-time.After(50 * time.Millisecond):
					}
				}
			}
			s = newSystemAt(t, &timer.Service{Clock: &timer.ManualClock{}}, []scriptStep{step}, []scriptStep{text(200, "good")})
			s.preferFirst()
			sink := &recorderSink{}
			s.upload("/unsafe/x", sink)
			close(answered)
			if diff := cmp.Diff(c.want, sink.result); diff != "" {
				t.Errorf("-want +got\n%s", diff)
			}
		})
	}
}
