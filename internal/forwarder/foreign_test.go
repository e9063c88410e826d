package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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

// refusingUpstream refuses the first request that arrives, and runs all others. On a connection on which it
// refused a request, it writes that refusal once more before the answer to each later request, after it has
// received that one.
type refusingUpstream struct {
	address string
	refusal string // head and body, %s is the ID of the refused request
	refused atomic.Bool
	mu      sync.Mutex
	ran     []string // IDs; guarded by mu
}

func (u *refusingUpstream) listen(t *testing.T) string {
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
			go u.serve(c)
		}
	}()
	u.address = l.Addr().String()
	return u.address
}

func (u *refusingUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	refusal := ""
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Id")
		if u.refused.CompareAndSwap(false, true) {
			refusal = strings.ReplaceAll(u.refusal, "%s", id)
			_, _ = io.WriteString(c, refusal)
			continue
		}
		u.mu.Lock()
		u.ran = append(u.ran, id)
		u.mu.Unlock()
		body := "answer to " + id
		_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", refusal, id, len(body), body)
	}
}

// allRuns returns the IDs of the requests that ran, in order.
func (u *refusingUpstream) allRuns() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.ran)
}

// callAs sends a request with an ID.
func (s *system) callAs(id, path string) result {
	now := s.Timer.Now()
	sink := &recorderSink{}
	s.Serve(context.Background(), &Request{
		ID: id, Host: "h", Method: "POST", Path: path, Header: http.Header{}, Body: []byte("body"), ArrivedAt: now, DeadlineAt: now + 2*time.Second,
	}, sink)
	return sink.result
}

// TestRefusalOnceMore guards against a caller that is told that its request did not run, or a request that runs
// at a second upstream, because an earlier refusal arrives once more on the connection: the request runs.
func TestRefusalOnceMore(t *testing.T) {
	const (
		withID    = "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
		withoutID = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	)
	lost := result{Status: 502, Cause: causeLost}
	good := result{Status: 200, Body: "good", Finished: true}
	answer := func(id string) result { return result{Status: 200, Body: "answer to " + id, Finished: true} }
	for _, c := range []struct {
		name, refusal, path, id string // of the second request
		want                    result
		arrivals                []string // at the other upstream
	}{
		{"another ID, may run once", withID, "/unsafe/x", "2", lost, nil},
		{"another ID, one attempt", withID, "/once/x", "2", lost, nil},
		{"another ID, repeatable", withID, "/safe/x", "2", good, []string{"u1"}},
		{"no ID, may run once", withoutID, "/unsafe/x", "2", lost, nil},
		{"no ID, one attempt", withoutID, "/once/x", "2", lost, nil},
		{"no ID, repeatable", withoutID, "/safe/x", "2", good, []string{"u1"}},
		{"no ID, stream", withoutID, "/stream/x", "2", lost, nil},
		{"the same ID, may run once", withID, "/unsafe/x", "1", answer("1"), nil},
		{"the same ID, one attempt", withID, "/once/x", "1", answer("1"), nil},
		{"the same ID, repeatable", withID, "/safe/x", "1", answer("1"), nil},
	} {
		u := &refusingUpstream{refusal: c.refusal}
		s := newSystem(t, []scriptStep{text(200, "good")}, []scriptStep{text(200, "good")})
		s.Scheduler.UpdateUpstreams([]*schema.Announcement{
			{Name: "earlier", Address: u.listen(t), Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 2},
		})
		if got := s.callAs("1", "/once/x"); got.Status != 503 || got.Cause != causeRejected {
			t.Fatalf("%s: first request: %+v", c.name, got)
		}
		s.Scheduler.UpdateUpstreams([]*schema.Announcement{
			{Name: "u0", Address: u.address, Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 2},
			{Name: "u1", Address: s.upstream(t, "u1", []scriptStep{text(200, "good")}), Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 2},
		})
		s.preferFirst()
		if diff := cmp.Diff(c.want, s.callAs(c.id, c.path)); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
		if diff := cmp.Diff([]string{c.id}, u.allRuns()); diff != "" {
			t.Errorf("%s: runs: -want +got\n%s", c.name, diff)
		}
		if diff := cmp.Diff(c.arrivals, s.allArrivals()); diff != "" {
			t.Errorf("%s: arrivals: -want +got\n%s", c.name, diff)
		}
	}
}

// TestMisdirectedOnceMore guards against a request that runs although its caller is told that it did not: it is
// sent to a second upstream at the address of one that is gone, and the response that said so arrives once more.
func TestMisdirectedOnceMore(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/safe/x"} {
		u := &refusingUpstream{refusal: "HTTP/1.1 421 Misdirected Request\r\nId: %s\r\nContent-Length: 0\r\n\r\n"}
		s := newSystem(t)
		address := u.listen(t)
		s.Scheduler.UpdateUpstreams([]*schema.Announcement{
			{Name: "u0", Address: address, Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 1},
			{Name: "u1", Address: address, Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 2},
		})
		want := result{Status: 200, Body: "answer to 1", Finished: true}
		if diff := cmp.Diff(want, s.callAs("1", path)); diff != "" {
			t.Errorf("%s: -want +got\n%s", path, diff)
		}
		if diff := cmp.Diff([]string{"1"}, u.allRuns()); diff != "" {
			t.Errorf("%s: runs: -want +got\n%s", path, diff)
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
