package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// duplicatingUpstream answers each request with its ID. On a connection that it has used before, it
// first sends the previous answer again, after the next request was received, so late that the pool
// cannot see it when it takes the connection.
func duplicatingUpstream(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				previous := ""
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					id := request.Header.Get("Id")
					body := "answer to " + id
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
					_, _ = io.WriteString(c, previous+answer)
					previous = answer
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestLateSecondAnswer guards against a caller that gets the answer of another request: an upstream
// sends a second copy of an answer, late, on a connection that is in use again. A request that may
// be repeated gets its own answer from another upstream; of any other it is not known whether it ran.
func TestLateSecondAnswer(t *testing.T) {
	for _, c := range []struct {
		path string
		want result
	}{
		{"/safe/x", result{Status: 200, Body: "good", Finished: true}},
		{"/unsafe/x", result{Status: 502, Cause: causeLost}},
	} {
		s := newSystem(t, []scriptStep{text(200, "unused")}, []scriptStep{text(200, "good")})
		s.Scheduler.UpdateUpstreams([]*schema.Announcement{
			{Name: "u0", Address: duplicatingUpstream(t), Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 2},
			{Name: "u1", Address: s.upstream(t, "u1", []scriptStep{text(200, "good")}), Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 2},
		})
		s.preferFirst()
		call := func(id string) result {
			now := s.Timer.Now()
			sink := &recorderSink{}
			s.Serve(context.Background(), &Request{
				ID: id, Host: "h", Method: "POST", Path: c.path, Header: http.Header{}, Body: []byte("body"), ArrivedAt: now, DeadlineAt: now + 2e9,
			}, sink)
			return sink.result
		}
		if got := call("first"); got.Body != "answer to first" {
			t.Fatalf("%s: first request: %+v", c.path, got)
		}
		if diff := cmp.Diff(c.want, call("second")); diff != "" {
			t.Errorf("%s: second request: -want +got\n%s", c.path, diff)
		}
	}
}

// TestSilentUpstreamKeepsItsWork guards against giving up or repeating a request whose upstream is
// only silent, or slow to report: it is marked silent and then missing from the list while it runs
// the request.
func TestSilentUpstreamKeepsItsWork(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/resume/x"} {
		marked := make(chan struct{})
		arrived := make(chan struct{})
		work := func(w http.ResponseWriter, _ *http.Request) {
			close(arrived)
			if path == "/resume/x" {
				_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
				w.(http.Flusher).Flush()
			}
			<-marked
			_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
		}
		s := newSystem(t, []scriptStep{work}, []scriptStep{text(200, "repeated")})
		s.preferFirst()
		go func() {
			<-arrived
			silent := &schema.Announcement{Name: "u0", Address: "127.0.0.1:1", Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 1, Silent: true}
			s.Scheduler.UpdateUpstreams([]*schema.Announcement{silent})
			s.Scheduler.UpdateUpstreams(nil)
			close(marked)
		}()
		got := s.call(path, "")
		if got.Status != 200 || !got.Finished {
			t.Errorf("%s: %+v", path, got)
		}
		if diff := cmp.Diff([]string{"u0"}, s.allArrivals()); diff != "" {
			t.Errorf("%s: arrivals: -want +got\n%s", path, diff)
		}
	}
}
