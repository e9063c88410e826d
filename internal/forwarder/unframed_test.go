package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// unframed responds with neither a length nor chunks, so that the body ends with the connection,
// which is closed, or reset.
func unframed(t *testing.T, body string, reset bool) scriptStep {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+body); err != nil {
			t.Error(err)
		}
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
}

// TestAnswersWithoutLength guards against taking an answer that neither states a length nor has
// chunks for complete although it was broken off.
func TestAnswersWithoutLength(t *testing.T) {
	good := []scriptStep{text(200, "good")}
	rest := []scriptStep{text(200, "id: 2\ndata: b\n\n")}
	for _, c := range []struct {
		name, path string
		body       string
		reset      bool
		second     []scriptStep
		want       result
		arrivals   []string
	}{
		{"whole answer", "/unsafe/x", "ok", false, good, result{Status: 200, Body: "ok", Finished: true}, []string{"u0"}},
		{"whole answer, reset", "/unsafe/x", "o", true, good, result{Status: 502, Cause: causeLost}, []string{"u0"}},
		{"whole answer, reset, repeated", "/safe/x", "o", true, good, result{Status: 200, Body: "good", Finished: true}, []string{"u0", "u1"}},
		{"stream", "/stream/x", events, false, good, result{Status: 200, Body: events, Finished: true}, []string{"u0"}},
		{"stream that ends within an event", "/stream/x", "id: 1\ndata: a\n\nid: 2\nda", false, good,
			result{Status: 200, Body: "id: 1\ndata: a\n\n", Aborted: true}, []string{"u0"}},
		{"stream that ends within an event, resumed", "/resume/x", "id: 1\ndata: a\n\nid: 2\nda", false, rest,
			result{Status: 200, Body: events, Finished: true}, []string{"u0", "u1 1"}},
		{"stream that ends within its first event", "/stream/x", "id: 1\nda", false, good, result{Status: 502, Cause: causeLost}, []string{"u0"}},
		{"stream that ends before its first event", "/stream/x", "", false, good, result{Status: 502, Cause: causeLost}, []string{"u0"}},
		{"stream that ends before its first event, sent again", "/resume/x", "", false, []scriptStep{text(200, events)},
			result{Status: 200, Body: events, Finished: true}, []string{"u0", "u1"}},
		{"stream that is reset within its first event", "/stream/x", "id: 1\nda", true, good, result{Status: 502, Cause: causeLost}, []string{"u0"}},
	} {
		s := newSystem(t, []scriptStep{unframed(t, c.body, c.reset)}, c.second)
		s.preferFirst()
		got := s.call(c.path, "")
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
		if diff := cmp.Diff(c.arrivals, s.allArrivals()); diff != "" {
			t.Errorf("%s: arrivals: -want +got\n%s", c.name, diff)
		}
	}
}

// killed responds as unframed does, and ends as a process that is killed: first its listener is closed, then
// its connections, without a reset.
func killed(t *testing.T, body string) scriptStep {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+body); err != nil {
			t.Error(err)
		}
		_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close()
	}
}

// TestAnswersOfKilledUpstreams guards against taking an answer without a length or chunks for complete
// although its connection ended with the upstream's process.
func TestAnswersOfKilledUpstreams(t *testing.T) {
	good := []scriptStep{text(200, "good")}
	large := strings.Repeat("x", maxBufferedBytes+1)
	for _, c := range []struct {
		name, path string
		body       string
		second     []scriptStep
		want       result
		arrivals   []string
	}{
		{"stream", "/stream/x", firstEvent, good, result{Status: 200, Body: firstEvent, Aborted: true}, []string{"u0"}},
		{"stream, resumed", "/resume/x", firstEvent, []scriptStep{text(200, secondEvent)}, result{Status: 200, Body: events, Finished: true}, []string{"u0", "u1 1"}},
		{"whole answer", "/unsafe/x", "o", good, result{Status: 502, Cause: causeLost}, []string{"u0"}},
		{"whole answer, repeated", "/safe/x", "o", good, result{Status: 200, Body: "good", Finished: true}, []string{"u0", "u1"}},
		{"long answer", "/unsafe/x", large, good, result{Status: 200, Body: large, Aborted: true}, []string{"u0"}},
	} {
		s := newSystem(t, []scriptStep{killed(t, c.body)}, c.second)
		s.preferFirst()
		got := s.call(c.path, "")
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: -want +got\n%.500s", c.name, diff)
		}
		if diff := cmp.Diff(c.arrivals, s.allArrivals()); diff != "" {
			t.Errorf("%s: arrivals: -want +got\n%s", c.name, diff)
		}
	}
}

// proxyOfKilled returns the address of a proxy whose upstream ends under the first request, in the middle of a
// response without a length or chunks. It goes on accepting connections and closes them.
func proxyOfKilled(t *testing.T, body string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for first := true; ; first = false {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if first {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					t.Error(err)
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+body)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestAnswersOfKilledUpstreamsBehindProxies guards against taking an answer without a length or chunks for
// complete because something in front of the upstream whose process has ended accepts connections.
func TestAnswersOfKilledUpstreamsBehindProxies(t *testing.T) {
	s := newSystem(t, []scriptStep{text(200, events)})
	s.Scheduler.UpdateUpstreams([]*schema.Announcement{
		{Name: "u0", Address: proxyOfKilled(t, firstEvent), Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 1},
	})
	want := result{Status: 200, Body: firstEvent, Aborted: true}
	if diff := cmp.Diff(want, s.call("/stream/x", "")); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
}

// TestAnswersOfReplacedUpstreams guards against taking an answer without a length or chunks for complete
// although its upstream's process has ended and another one serves at the address.
func TestAnswersOfReplacedUpstreams(t *testing.T) {
	var s *system
	step := func(w http.ResponseWriter, r *http.Request) {
		s.Scheduler.UpdateUpstreams([]*schema.Announcement{
			{Name: "u0", Address: r.Context().Value(http.LocalAddrContextKey).(net.Addr).String(), Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 2},
		})
		unframed(t, firstEvent, false)(w, r)
	}
	s = newSystem(t, []scriptStep{step})
	want := result{Status: 200, Body: firstEvent, Aborted: true}
	if diff := cmp.Diff(want, s.call("/stream/x", "")); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
}

// TestAnswersOfUpstreamsThatStartAgain guards against taking an answer without a length or chunks for complete
// because another process serves at the address as soon as the one that sent it has ended.
func TestAnswersOfUpstreamsThatStartAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		var ofProcess []net.Conn // connections of the process that ends
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			ofProcess = append(ofProcess, c)
			if len(ofProcess) == 1 {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					t.Error(err)
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+firstEvent)
				continue
			}
			for _, c := range ofProcess {
				_ = c.Close()
			}
			ofProcess = nil
		}
	}()
	s := newSystem(t, []scriptStep{text(200, events)})
	s.Scheduler.UpdateUpstreams([]*schema.Announcement{
		{Name: "u0", Address: l.Addr().String(), Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 1},
	})
	want := result{Status: 200, Body: firstEvent, Aborted: true}
	if diff := cmp.Diff(want, s.call("/stream/x", "")); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
}

// TestUnframedAnswerWhenAttemptTimesOut guards against sending a request again because the time to begin a
// response passes after the whole response was read.
func TestUnframedAnswerWhenAttemptTimesOut(t *testing.T) {
	var s *system
	step := func(w http.ResponseWriter, r *http.Request) {
		s.Timer.Advance(980 * time.Millisecond)
		unframed(t, "ok", false)(w, r)
		time.Sleep(50 * time.Millisecond) // lets the end of the response be checked before the clock advances again
		s.Timer.Advance(40 * time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		s.Timer.Advance(40 * time.Millisecond)
	}
	s = newSystemAt(t, &timer.Service{Clock: &timer.ManualClock{}}, []scriptStep{step}, []scriptStep{text(200, "again")})
	s.preferFirst()
	if diff := cmp.Diff(result{Status: 200, Body: "ok", Finished: true}, s.call("/safe/x", "")); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
	if diff := cmp.Diff([]string{"u0"}, s.allArrivals()); diff != "" {
		t.Errorf("arrivals: -want +got\n%s", diff)
	}
}
