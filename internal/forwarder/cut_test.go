package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// cutStep sends the first n bytes of a response and closes or resets the connection.
func cutStep(t *testing.T, response string, n int, reset bool) scriptStep {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, response[:n])
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
}

// rest sends those of all events that follow the one after which a stream is resumed.
func rest(all string) scriptStep {
	return func(w http.ResponseWriter, r *http.Request) {
		body := all
		switch r.Header.Get("After") {
		case "1":
			body = strings.TrimPrefix(all, firstEvent)
		case "2":
			body = ""
		}
		text(200, body, "Mark", "1234")(w, r)
	}
}

// headSink also records the head.
type headSink struct {
	recorderSink
	header http.Header
	length int64
}

func (s *headSink) SendHead(status int, header http.Header, length int64) {
	s.recorderSink.SendHead(status, header, length)
	s.header, s.length = header, length
}

// cutCase is a response that its upstream breaks off.
type cutCase struct {
	name, method, path string
	after              string // ID of the event after which the caller takes up a stream
	response, body     string
	// length is that of the body that a response to HEAD states.
	length int64
	// unframed is set if the body ends with the connection, unless that is reset.
	unframed bool
	// others says that another upstream may serve the request once this one has failed.
	others bool
	// refused says that the response refuses the request without running it.
	refused bool
}

func cutCases() []cutCase {
	const (
		head   = "HTTP/1.1 200 OK\r\nId: 1\r\nMark: 1234\r\n"
		early  = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nMark: early\r\n\r\n"
		chunks = "Transfer-Encoding: chunked\r\n\r\n"
	)
	length := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	chunked := func(pieces ...string) string {
		all := chunks
		for _, p := range pieces {
			all += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		return all + "0\r\nTrailer: 1\r\n\r\n"
	}
	failure := func(status string) string { return strings.Replace(head, "200 OK", status, 1) }
	var all []cutCase
	for _, x := range []struct {
		name, text string
		unframed   bool
	}{{"length", head + length("whole"), false}, {"chunks", early + head + chunked("wh", "ole"), false}, {"neither", head + "\r\nwhole", true}} {
		all = append(all,
			cutCase{name: "answer, " + x.name, path: "/unsafe/x", response: x.text, body: "whole", unframed: x.unframed},
			cutCase{name: "repeatable answer, " + x.name, path: "/safe/x", response: x.text, body: "whole", unframed: x.unframed, others: true},
		)
	}
	for _, x := range []struct {
		name, text, rest string
		unframed         bool
	}{
		{"length", head + length(events), head + length(secondEvent), false},
		{"chunks", early + head + chunked(firstEvent, secondEvent), early + head + chunked(secondEvent), false},
		{"neither", head + "\r\n" + events, head + "\r\n" + secondEvent, true},
	} {
		all = append(all,
			cutCase{name: "stream, " + x.name, path: "/stream/x", response: x.text, body: events, unframed: x.unframed},
			cutCase{name: "stream that may be resumed, " + x.name, path: "/resume/x", response: x.text, body: events, unframed: x.unframed, others: true},
			cutCase{name: "stream taken up, " + x.name, path: "/resume/x", after: "1", response: x.rest, body: secondEvent, unframed: x.unframed, others: true},
		)
	}
	return append(all,
		cutCase{name: "HEAD", method: http.MethodHead, path: "/unsafe/x", response: head + "Content-Length: 12\r\n\r\n", length: 12},
		cutCase{name: "HEAD without a length", method: http.MethodHead, path: "/unsafe/x", response: head + "\r\n"},
		cutCase{name: "no content", path: "/unsafe/x", response: failure("204 No Content") + "\r\n"},
		cutCase{name: "no content for a stream", path: "/stream/x", response: failure("204 No Content") + "\r\n"},
		cutCase{name: "failure", path: "/unsafe/x", response: failure("500 Internal Server Error") + length("bad"), body: "bad"},
		cutCase{name: "failure of a stream", path: "/stream/x", response: failure("404 Not Found") + chunked("bad"), body: "bad"},
		cutCase{name: "refusal", path: "/unsafe/x", response: failure("503 Service Unavailable") + "Not-Run: 1\r\n" + length("full"), refused: true},
		cutCase{name: "refusal by another upstream", path: "/unsafe/x", response: failure("421 Misdirected Request") + length("other"), refused: true},
	)
}

// cutServers are two upstreams, of which the first handles requests by the steps of script in turn. All cuts of a
// response share them, since ports are few.
type cutServers struct {
	system
	addresses []string
	script    []scriptStep // guarded by mu
}

func newCutServers(t *testing.T, second scriptStep) *cutServers {
	x := &cutServers{}
	first := func(w http.ResponseWriter, r *http.Request) {
		if step := x.nextStep(); step != nil {
			step(w, r)
			return
		}
		t.Error("the first upstream got more requests than its script has steps")
		http.Error(w, "no step is left", http.StatusInternalServerError)
	}
	x.addresses = []string{x.upstream(t, "u0", []scriptStep{first}), x.upstream(t, "u1", []scriptStep{second})}
	return x
}

// nextStep returns the next step of script; nil: none is left.
func (x *cutServers) nextStep() scriptStep {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.script) == 0 {
		return nil
	}
	step := x.script[0]
	x.script = x.script[1:]
	return step
}

// serveCut serves a request whose upstream sends n bytes of c's response, on a connection that it has used before
// if reused is set, as a host of another region that relays it if relayed is set. It returns what the caller got
// and the upstreams at which the request arrived.
func (c *cutCase) serveCut(t *testing.T, servers *cutServers, n int, reset, reused, relayed bool) (*headSink, []string) {
	t.Helper()
	script := []scriptStep{cutStep(t, c.response, n, reset)}
	if reused {
		script = slices.Insert(script, 0, text(200, "id: 1\n\n", "Content-Length", "7"))
	}
	servers.mu.Lock()
	servers.script = script
	servers.mu.Unlock()
	s := newSystem(t)
	var all []*schema.Announcement
	for i, address := range servers.addresses {
		all = append(all, &schema.Announcement{Name: fmt.Sprint("u", i), Address: address, Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 1})
	}
	s.Scheduler.UpdateUpstreams(all)
	s.preferFirst()
	defer func() {
		for _, address := range servers.addresses {
			s.Pool.CloseIdle(address)
		}
	}()
	if reused {
		s.call("/safe/x", "")
	}
	before := len(servers.allArrivals())
	now := s.Timer.Now()
	r := &Request{ID: "1", Host: "h", Method: "POST", Path: c.path, Header: http.Header{}, Body: []byte("body"), LastEventID: c.after, ArrivedAt: now, DeadlineAt: now + 2*time.Second}
	if c.method != "" {
		r.Method, r.Body = c.method, nil
	}
	sink := &headSink{}
	if relayed {
		s.serveRelayed(t, r, sink)
	} else {
		s.Serve(context.Background(), r, sink)
	}
	var at []string
	for _, a := range servers.allArrivals()[before:] {
		name, _, _ := strings.Cut(a, " ")
		at = append(at, name)
	}
	return sink, at
}

// serveRelayed serves a request as a host that relays it to s.
func (s *system) serveRelayed(t *testing.T, r *Request, sink Sink) {
	t.Helper()
	r.pool, r.answerUntil, r.objectiveAt = "p", r.DeadlineAt, r.DeadlineAt
	if r.LastEventID != "" {
		r.software = new(string)
	}
	replies := &relayedReplies{}
	if err := (&RelayService{Forwarder: s.Forwarder}).Relay(s.newRelayRequest(r), replies); err != nil {
		t.Fatal(err)
	}
	if err := s.forwardReplies(r, sink, &replyStream{replies: replies.replies}, "x"); err != nil {
		s.finishFailed(context.Background(), r, sink, &trace{f: s.Forwarder, r: r}, err)
	}
}

// check reports what is wrong with what a caller got of a response of which n bytes were sent.
func (c *cutCase) check(got *headSink, at []string, n int, reset bool) string {
	headEnd := strings.LastIndex(c.response, "\r\nMark: 1234")
	headEnd += strings.Index(c.response[headEnd:], "\r\n\r\n") + 4
	headRead := n >= headEnd
	whole := n == len(c.response) && !(c.unframed && reset)
	elsewhere := len(at) > 1
	own := got.Status < 500 || c.body == "bad"
	switch {
	case !slices.Contains([]string{"u0", "u0 u1"}, strings.Join(at, " ")):
		return "arrivals"
	case elsewhere && !c.others && !(c.refused && headRead):
		return "sent again"
	case c.refused && headRead != elsewhere:
		return "a refusal counts without its head, or not with it"
	case c.refused && headRead:
		whole = true
	case whole && elsewhere:
		return "sent again though whole"
	case got.Finished && !whole && !elsewhere && !(c.unframed && !reset && headRead):
		return "finished though not whole"
	}
	body := c.body
	if c.refused {
		body = "whole"
	}
	// Nothing shows that a stream whose events all came was whole, so the caller's has no end.
	withoutEnd := elsewhere && got.Aborted && c.path == "/resume/x" && got.Body == c.body
	switch {
	case (whole || elsewhere) && !withoutEnd && (!got.Finished || got.Body != body):
		return "not the whole answer"
	case got.Finished && got.Aborted, !strings.HasPrefix(body, got.Body):
		return "another body"
	case got.Finished && got.length >= 0 && got.length != c.length+int64(len(got.Body)):
		return fmt.Sprint("length ", got.length)
	case (got.Finished || got.Aborted) && (!own || got.header.Get("Mark") != "1234"):
		return "another head"
	case !got.Finished && !got.Aborted && (got.Status != http.StatusBadGateway || got.Body != ""):
		return "neither an answer nor a failure"
	}
	return ""
}

// TestResponsesCutAnywhere guards against an answer that callers get as a whole one, with fewer fields or a
// shorter body, because its upstream stopped within it, in its head above all, and closed or reset the connection.
func TestResponsesCutAnywhere(t *testing.T) {
	for _, c := range cutCases() {
		for _, x := range []struct{ reset, reused, relayed bool }{{false, true, false}, {true, false, false}, {false, false, true}} {
			t.Run(fmt.Sprintf("%s, reset %v, reused %v, relayed %v", c.name, x.reset, x.reused, x.relayed), func(t *testing.T) {
				t.Parallel()
				second := text(200, "whole", "Mark", "1234")
				if c.path == "/resume/x" {
					second = rest(c.body)
				}
				servers := newCutServers(t, second)
				for n := range len(c.response) + 1 {
					t.Run(fmt.Sprintf("cut after %q", c.response[max(0, n-12):n]), func(t *testing.T) {
						got, at := c.serveCut(t, servers, n, x.reset, x.reused, x.relayed)
						if wrong := c.check(got, at, n, x.reset); wrong != "" {
							t.Errorf("%s: %+v, arrivals %v", wrong, got, at)
						}
					})
				}
			})
		}
	}
}

// cutProxy forwards connections to an address. Once the given number of bytes came from one end, toClient or the
// other, it ends the connection.
type cutProxy struct {
	address  string
	toClient bool
	reset    bool
	bytes    int64
}

func (p *cutProxy) listen(t *testing.T) string {
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
			go p.serve(c)
		}
	}()
	return l.Addr().String()
}

func (p *cutProxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.address)
	if err != nil {
		_ = client.Close()
		return
	}
	from, to := client, server
	if p.toClient {
		from, to = server, client
	}
	go func() { _, _ = io.Copy(from, to) }()
	_, _ = io.CopyN(to, from, p.bytes)
	for _, c := range []net.Conn{client, server} {
		if p.reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

// TestRelayCutAnywhere guards against an answer that looks whole, a request that runs twice, or one that was
// refused and runs, because one of the two hosts of a relay ends while it writes to the other.
func TestRelayCutAnywhere(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x"} {
		for _, toClient := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, to client %v", path[1:], toClient), func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				runs := map[string]int{} // by request
				s := newSystem(t, []scriptStep{func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					runs[r.Header.Get("Id")]++
					mu.Unlock()
					text(200, events, "Mark", "1234")(w, r)
				}})
				server := grpc.NewServer()
				schema.RegisterRelayServiceServer(server, &RelayService{Forwarder: s.Forwarder})
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				go func() { _ = server.Serve(l) }()
				refused := map[string]bool{}
				for n, whole := int64(0), 0; whole < 3 && !t.Failed(); n++ { // what follows an answer does not matter
					if n > 2000 {
						t.Fatal("no whole answer")
					}
					proxy := &cutProxy{address: l.Addr().String(), toClient: toClient, reset: n%2 == 0, bytes: n}
					t.Run(fmt.Sprint("cut after byte ", n), func(t *testing.T) {
						id := fmt.Sprint(n)
						got := serveThrough(t, proxy, id, path)
						switch {
						case got.Finished && (got.Aborted || got.Status != 200 || got.Body != events || got.header.Get("Mark") != "1234"),
							got.Aborted && (got.Status != 200 || !strings.HasPrefix(events, got.Body)),
							!got.Finished && !got.Aborted && (got.Status < 502 || got.Body != ""):
							t.Errorf("%+v", got)
						case got.Finished:
							whole++
						}
						refused[id] = got.Status == http.StatusServiceUnavailable
					})
				}
				server.GracefulStop()
				for id, n := range runs {
					if n > 1 || refused[id] {
						t.Errorf("cut after byte %s: %d runs, refused %v", id, n, refused[id])
					}
				}
				t.Logf("%d requests, %d runs", len(refused), len(runs))
			})
		}
	}
}

// serveThrough serves a request by a host that relays it through a proxy.
func serveThrough(t *testing.T, proxy *cutProxy, id, path string) *headSink {
	t.Helper()
	entry := &schema.Peer{Name: "e", Internal: proxy.listen(t)}
	s := newSystem(t)
	s.EntryHosts = func(string) []*schema.Peer { return []*schema.Peer{entry} }
	s.Dialer = &dialer.Dialer{Timer: s.Timer}
	defer s.Dialer.Close()
	now := s.Timer.Now()
	r := &Request{
		ID: id, Host: "h", Method: "POST", Path: path, Header: http.Header{}, pool: "p",
		ArrivedAt: now, DeadlineAt: now + 2*time.Second, answerUntil: now + 2*time.Second, objectiveAt: now + time.Second,
	}
	ctx, cancel := s.withDeadline(context.Background(), r.answerUntil)
	defer cancel()
	sink, trace := &headSink{}, &trace{f: s.Forwarder, r: r}
	if err := s.relay(ctx, "x", r, sink, trace); err != nil {
		s.finishFailed(ctx, r, sink, trace, err)
	}
	return sink
}
