package server

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/proposer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// rawRequest is a request as a rawUpstream received it.
type rawRequest struct {
	connection int // counted from 0, of all addresses
	n          int // on its connection, counted from 0
	id         string
	path       string
	resumed    int // tokens after which the stream is to go on
}

// resetMark at the end of a response makes a rawUpstream reset the connection.
const resetMark = "\x00"

// serveRaw listens on count addresses and writes what reply returns, with ID replaced by the request's
// id. It closes the connection, with a FIN, if reply says so.
func serveRaw(t *testing.T, count int, reply func(r rawRequest) (response string, closes bool)) []string {
	t.Helper()
	var connections atomic.Int32
	addresses := make([]string, count)
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		addresses[i] = l.Addr().String()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go serveRawConnection(conn, int(connections.Add(1)-1), reply)
			}
		}()
	}
	return addresses
}

func serveRawConnection(conn net.Conn, number int, reply func(r rawRequest) (string, bool)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var body struct {
			Resume struct {
				Tokens int `json:"tokens"`
			} `json:"resume"`
		}
		_ = json.Unmarshal(b, &body)
		id := r.Header.Get("X-Request-Id")
		response, closes := reply(rawRequest{number, n, id, r.URL.Path, body.Resume.Tokens})
		response, reset := strings.CutSuffix(response, resetMark)
		if reset {
			defer conn.(*net.TCPConn).SetLinger(0)
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(response, "ID", id)); err != nil || closes || reset {
			return
		}
	}
}

// newRawServer returns a Server whose upstreams, engines of model m and services of route r, are at
// the addresses.
func newRawServer(t *testing.T, addresses []string) *Server {
	t.Helper()
	s := &Server{Settings: &schema.Settings{Name: "h", Region: "r"}, Timer: &timer.Service{}}
	go func() { _ = s.Timer.Run(t.Context()) }()
	if err := s.Open(t.Context()); err != nil {
		t.Fatal(err)
	}
	for i, address := range addresses {
		a := &schema.Announcement{Name: fmt.Sprint("u", i), Kind: schema.UpstreamKind_UPSTREAM_ENGINE, Models: []string{"m"}, Region: "r", Address: address, Slots: 8, Lease: 10}
		s.registrar.Register(a)
		s.registrar.Register(&schema.Announcement{Name: "service-" + a.Name, Kind: schema.UpstreamKind_UPSTREAM_SERVICE, Routes: []string{"r"}, Region: "r", Address: address, Slots: 8, Lease: 10})
	}
	return s
}

// ask runs a chat completion on the Server's engines and returns what the caller gets.
func (s *Server) ask(t *testing.T, stream bool) *httptest.ResponseRecorder {
	t.Helper()
	c, err := parseCompletion("/v1/chat/completions", fmt.Appendf(nil, `{"model":"m","stream":%v,"messages":[{"role":"user","content":"?"}]}`, stream))
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	out := &httpAnswerWriter{w: w}
	if err := s.runAttempts(t.Context(), c, out); err != nil {
		out.writeError(s, err)
	}
	return w
}

// streamTokens are the tokens of the whole stream.
var streamTokens = []string{"Pew ", "é ", "is ", "free."}

func tokenEvent(token string) string {
	return fmt.Sprintf(`data: {"id":"chatcmpl-ID","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`+"\n\n", token)
}

const (
	streamHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	lastEvents  = `data: {"id":"chatcmpl-ID","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n" + usageEvent + doneEvent
	usageEvent  = `data: {"id":"chatcmpl-ID","choices":[],"usage":{"total_tokens":5}}` + "\n\n"
	doneEvent   = "data: [DONE]\n\n"
	chunkedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// tokenEvents returns the events of the tokens from one to another.
func tokenEvents(from, to int) string {
	var b strings.Builder
	for _, token := range streamTokens[from:to] {
		b.WriteString(tokenEvent(token))
	}
	return b.String()
}

// soundAnswer returns a whole answer, or what follows the tokens of which a request knows.
func soundAnswer(r rawRequest) string {
	if r.resumed > len(streamTokens) {
		return streamHead + usageEvent + doneEvent
	}
	return streamHead + tokenEvents(r.resumed, len(streamTokens)) + lastEvents
}

// cutAnswer returns an answer that breaks off after two tokens.
func cutAnswer() string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 100000\r\n\r\n" + tokenEvents(0, 2)
}

func response(status, contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, contentType, len(body), body)
}

// streamText returns the text of a stream and how it ends: "done", "error" or "cut".
func streamText(body string) (text, end string) {
	end = "cut"
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			end = "done"
			continue
		}
		var e struct {
			Error   *struct{}
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		switch err := json.Unmarshal([]byte(data), &e); {
		case err != nil:
			text += data
		case e.Error != nil:
			end = "error"
		}
		for _, choice := range e.Choices {
			text += choice.Delta.Content
		}
	}
	return text, end
}

// checkContinuation runs a stream that breaks off after two tokens, goes on at an upstream with a faulty
// answer, then at a sound one.
func checkContinuation(t *testing.T, faulty string) {
	t.Helper()
	var attempts atomic.Int32
	s := newRawServer(t, serveRaw(t, 3, func(r rawRequest) (string, bool) {
		switch attempts.Add(1) {
		case 1:
			return cutAnswer(), true
		case 2:
			return faulty, true
		}
		return soundAnswer(r), true
	}))
	w := s.ask(t, true)
	text, end := streamText(w.Body.String())
	if diff := cmp.Diff(strings.Join(streamTokens, ""), text); diff != "" || end != "done" || strings.Contains(w.Body.String(), "secret") {
		t.Errorf("end %s, text (-want +got):\n%s\nstream:\n%s", end, diff, w.Body)
	}
}

// TestEndWithoutMarker guards against a stream that passes for complete because the upstream's response
// ends in order but without the end marker.
func TestEndWithoutMarker(t *testing.T) {
	for name, faulty := range map[string]string{
		"end of the connection": streamHead,
		"last chunk":            chunkedHead + "0\r\n\r\n",
		"length":                response("200 OK", "text/event-stream", ""),
		"error as a body":       response("200 OK", "application/json", `{"error":{"message":"secret"}}`),
		"another head":          streamHead + "HTTP/1.1 500 Internal Server Error\r\n\r\nsecret\n\n",
	} {
		t.Run(name, func(t *testing.T) { checkContinuation(t, faulty) })
	}
}

// TestStreamCutAnywhere guards against a gap, a repeat or an early end when the connection of a stream
// ends at any byte of it.
func TestStreamCutAnywhere(t *testing.T) {
	for name, ending := range map[string]string{"LF": "\n", "CRLF": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			whole := strings.ReplaceAll(tokenEvents(0, len(streamTokens))+lastEvents, "\n", ending)
			size := len(strings.ReplaceAll(whole, "ID", proposer.NewRequestID()))
			var cut atomic.Int32
			var began sync.Map
			s := newRawServer(t, serveRaw(t, 2, func(r rawRequest) (string, bool) {
				if _, again := began.LoadOrStore(r.id, true); again {
					return soundAnswer(r), true
				}
				return streamHead + strings.ReplaceAll(whole, "ID", r.id)[:cut.Load()], true
			}))
			for n := range size {
				cut.Store(int32(n))
				s.retries = retryBudget{}
				if text, end := streamText(s.ask(t, true).Body.String()); end != "done" || text != strings.Join(streamTokens, "") {
					t.Fatalf("cut at byte %d of %d: end %s, text %q", n, size, end, text)
				}
			}
		})
	}
}

// TestEventsThatAreNoChunks guards against an upstream's error, or part of an event, that callers get as a
// part of their stream since it names their request.
func TestEventsThatAreNoChunks(t *testing.T) {
	for name, faulty := range map[string]string{
		"error":             streamHead + `data: {"id":"chatcmpl-ID","error":{"message":"secret"}}` + "\n\n" + doneEvent,
		"error of its own":  streamHead + `data: {"error":{"message":"secret, request ID"}}` + "\n\n" + doneEvent,
		"error and choices": streamHead + `data: {"id":"chatcmpl-ID","error":"secret","choices":[]}` + "\n\n" + doneEvent,
		"other object":      streamHead + `data: {"id":"chatcmpl-ID","message":"secret"}` + "\n\n" + doneEvent,
		"text":              streamHead + "data: secret, request ID\n\n" + doneEvent,
		"id in the text":    streamHead + `data: {"id":"chatcmpl-other","choices":[{"index":0,"delta":{"content":"secret ID"}}]}` + "\n\n" + doneEvent,
		"head in an event":  streamHead + `data: {"id":"chatcmpl-ID","choices":[{"index":0,"delta":{"content":"secret` + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { checkContinuation(t, faulty) })
	}
}

// TestBodyThatIsNoCompletion guards against an upstream's error with status 200 that callers get as their
// answer since it names their request.
func TestBodyThatIsNoCompletion(t *testing.T) {
	const whole = `{"id":"chatcmpl-ID","choices":[{"index":0,"message":{"content":"free."},"finish_reason":"stop"}]}`
	for name, faulty := range map[string]string{
		"error":          `{"id":"chatcmpl-ID","error":{"message":"secret"}}`,
		"other object":   `{"id":"chatcmpl-ID"}`,
		"string":         `"secret ID"`,
		"id in the text": `{"id":"chatcmpl-other","choices":[{"index":0,"message":{"content":"secret ID"}}]}`,
		"cut":            whole[:len(whole)-1],
	} {
		t.Run(name, func(t *testing.T) {
			var attempts atomic.Int32
			s := newRawServer(t, serveRaw(t, 2, func(rawRequest) (string, bool) {
				body := whole
				if attempts.Add(1) == 1 {
					body = faulty
				}
				return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + body, true
			}))
			w := s.ask(t, false)
			if w.Code != http.StatusOK || !strings.Contains(w.Body.String(), "free.") {
				t.Errorf("status %d, body %s", w.Code, w.Body)
			}
		})
	}
}

// TestEndMarkerWithoutEnd guards against a stream that ends as if it were complete because an upstream that
// is to go on with it sends the end marker before its answer has ended.
func TestEndMarkerWithoutEnd(t *testing.T) {
	for name, faulty := range map[string]string{
		"marker alone": streamHead + doneEvent,
		"marker early": streamHead + tokenEvents(2, 3) + doneEvent,
	} {
		t.Run(name, func(t *testing.T) { checkContinuation(t, faulty) })
	}
}

// TestRefusedContinuation guards against a stream that ends with an upstream's error, and shows its text,
// because the upstream that is to go on with it refuses the request.
func TestRefusedContinuation(t *testing.T) {
	for _, status := range []string{"400 Bad Request", "404 Not Found", "409 Conflict", "421 Misdirected Request", "422 Unprocessable Content", "429 Too Many Requests", "503 Service Unavailable"} {
		t.Run(status, func(t *testing.T) {
			checkContinuation(t, response(status, "application/json", `{"error":{"message":"secret"}}`))
		})
	}
}

// TestRefusalWrittenOnceMore guards against an upstream's refusal of an earlier request that a caller gets for
// a request that is running, since the upstream writes it once more on a kept connection.
func TestRefusalWrittenOnceMore(t *testing.T) {
	refusal := response("400 Bad Request", "application/json", `{"error":{"message":"secret"}}`)
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			s := newRawServer(t, serveRaw(t, 1, func(r rawRequest) (string, bool) {
				switch {
				case r.connection == 0:
					return refusal, false
				case stream:
					return soundAnswer(r), true
				}
				return "HTTP/1.1 200 OK\r\n\r\n" + `{"id":"chatcmpl-ID","choices":[{"index":0,"message":{"content":"Pew é is free."}}]}`, true
			}))
			if w := s.ask(t, stream); w.Code != http.StatusBadRequest {
				t.Errorf("first request: status %d, body %s, want the refusal", w.Code, w.Body)
			}
			for range 2 {
				if w := s.ask(t, stream); w.Code != http.StatusOK || !strings.Contains(w.Body.String(), "free.") {
					t.Errorf("later request: status %d, body %s", w.Code, w.Body)
				}
			}
		})
	}
}

// TestRefusalWithID guards against a second attempt for a refusal on a kept connection that names its request.
func TestRefusalWithID(t *testing.T) {
	var requests atomic.Int32
	s := newRawServer(t, serveRaw(t, 1, func(r rawRequest) (string, bool) {
		requests.Add(1)
		return strings.Replace(response("400 Bad Request", "application/json", "{}"), "\r\n", "\r\nX-Request-Id: ID\r\n", 1), false
	}))
	for range 3 {
		if w := s.ask(t, true); w.Code != http.StatusBadRequest {
			t.Errorf("status %d, body %s, want the refusal", w.Code, w.Body)
		}
	}
	if got := requests.Load(); got != 3 {
		t.Errorf("the upstream received %d requests, want 3", got)
	}
}

// TestConnectionOutOfStep guards against requests that fail one after another on a kept connection on which
// the upstream once wrote a response too many.
func TestConnectionOutOfStep(t *testing.T) {
	const body = `{"id":"chatcmpl-%s","choices":[{"index":0,"message":{"content":"free."}}]}`
	var mu sync.Mutex
	var last string // id of the last request on connection 0
	s := newRawServer(t, serveRaw(t, 1, func(r rawRequest) (string, bool) {
		mu.Lock()
		defer mu.Unlock()
		id := r.id
		if r.connection == 0 && r.n > 0 {
			id = last
		}
		if r.connection == 0 {
			last = r.id
		}
		return response("200 OK", "application/json", fmt.Sprintf(body, id)), false
	}))
	for i := range 5 {
		if w := s.ask(t, false); w.Code != http.StatusOK {
			t.Errorf("request %d: status %d, body %s", i, w.Code, w.Body)
		}
	}
}

// callService makes one call to the Server's services.
func (s *Server) callService(t *testing.T, path string, idempotent bool) (*serviceAnswer, error) {
	t.Helper()
	call := &serviceCall{route: &schema.Route{Name: "r", Method: http.MethodGet, Idempotent: idempotent}, method: http.MethodGet, path: path, header: http.Header{}}
	if idempotent {
		return s.runIdempotent(t.Context(), call)
	}
	return s.runGranted(t.Context(), call, &claim{group: &schema.Group{}, request: &schema.ClaimRequest{}})
}

// TestServiceAnswerOfAnotherCall guards against a service's answer to one caller that another one gets, since
// the service writes it once more on a kept connection.
func TestServiceAnswerOfAnotherCall(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint("idempotent ", idempotent), func(t *testing.T) {
			var mu sync.Mutex
			first := map[int]string{} // path of the first request, by connection
			s := newRawServer(t, serveRaw(t, 1, func(r rawRequest) (string, bool) {
				mu.Lock()
				defer mu.Unlock()
				if r.n == 0 {
					first[r.connection] = r.path
				}
				return response("503 Service Unavailable", "text/plain", first[r.connection]), false
			}))
			for i := range 3 {
				path := fmt.Sprint("/pew/", i)
				answer, err := s.callService(t, path, idempotent)
				if err != nil || string(answer.body) != path {
					t.Errorf("call of %s: error %v, answer %+v", path, err, answer)
				}
			}
		})
	}
}

// TestServiceAnswerWithoutLength guards against a service's answer that is cut by the end of its connection
// and passes for whole, and against such an answer kept as a call's outcome.
func TestServiceAnswerWithoutLength(t *testing.T) {
	var requests atomic.Int32
	s := newRawServer(t, serveRaw(t, 2, func(rawRequest) (string, bool) {
		if requests.Add(1) == 1 {
			return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf of the", true
		}
		return response("200 OK", "text/plain", "whole"), true
	}))
	if answer, err := s.callService(t, "/pew", true); err != nil || string(answer.body) != "whole" {
		t.Errorf("a call that may be repeated: error %v, answer %+v", err, answer)
	}
	requests.Store(0)
	answer, err := s.callService(t, "/pew", false)
	if err == nil || refusalOf(err).Run != RunUnknown || requests.Load() != 1 {
		t.Errorf("a call that may not: %d requests, error %v, answer %+v, want one and that it may have run", requests.Load(), err, answer)
	}
}

// TestErrorsOfManyStreams guards against a data race when several streams end with one shared refusal.
func TestErrorsOfManyStreams(t *testing.T) {
	s := newRawServer(t, nil)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			w := httptest.NewRecorder()
			out := &httpAnswerWriter{w: w}
			if err := out.writeEvent([]byte("{}"), true); err != nil {
				t.Error(err)
			}
			out.writeError(s, errKeyWithdrawn)
			if _, end := streamText(w.Body.String()); end != "error" {
				t.Errorf("end %s, want an error", end)
			}
		})
	}
	wg.Wait()
}

// recordedReplies is the stream of a forwarded request's replies: a host sends them into it, and another one
// receives them until err.
type recordedReplies struct {
	grpc.ServerStream
	grpc.ClientStream
	replies []*schema.ForwardReply
	err     error
}

func (r *recordedReplies) Send(reply *schema.ForwardReply) error {
	r.replies = append(r.replies, proto.Clone(reply).(*schema.ForwardReply)) // it is encoded at once
	return nil
}

func (r *recordedReplies) Recv() (*schema.ForwardReply, error) {
	if len(r.replies) == 0 {
		return nil, r.err
	}
	reply := r.replies[0]
	r.replies = r.replies[1:]
	return reply, nil
}

func (r *recordedReplies) Context() context.Context { return context.Background() }

func (r *recordedReplies) RecvMsg(any) error { return r.err }

func (r *recordedReplies) SendMsg(any) error { return r.err }

// TestRelayedStreamCutAnywhere guards against an upstream's error in a stream that another region's host runs,
// and against one that looks complete although its replies end early.
func TestRelayedStreamCutAnywhere(t *testing.T) {
	for name, second := range map[string]string{
		"sound":   "",
		"error":   streamHead + `data: {"id":"chatcmpl-ID","error":{"message":"secret"}}` + "\n\n" + doneEvent,
		"marker":  streamHead + doneEvent,
		"refused": response("409 Conflict", "text/plain", "secret"),
	} {
		t.Run(name, func(t *testing.T) {
			var attempts atomic.Int32
			s := newRawServer(t, serveRaw(t, 2, func(r rawRequest) (string, bool) {
				switch n := attempts.Add(1); {
				case n == 1:
					return cutAnswer(), true
				case second == "":
					return soundAnswer(r), true
				}
				return second, true
			}))
			sent := &recordedReplies{}
			c := &completion{requestID: proposer.NewRequestID(), path: "/v1/completions", model: "m", stream: true, maxTokens: 9, forwarded: true}
			out := &forwardAnswerWriter{stream: &numberedReplies{ServerStreamingServer: sent}, c: c}
			if err := s.runAttempts(t.Context(), c, out); err != nil {
				if err := out.writeError(err); err != nil {
					t.Fatal(err)
				}
			}
			for n := range len(sent.replies) + 1 {
				for _, end := range []error{io.EOF, io.ErrUnexpectedEOF} {
					received := &recordedReplies{replies: slices.Clone(sent.replies[:n]), err: end}
					w := httptest.NewRecorder()
					out := &httpAnswerWriter{w: w}
					if err := s.copyForwardReplies(received, &completion{stream: true}, out); err != nil {
						out.writeError(s, err)
					}
					text, got := streamText(w.Body.String())
					whole := second == "" && n == len(sent.replies)
					if (got == "done") != whole || !strings.HasPrefix(strings.Join(streamTokens, ""), text) && w.Code == http.StatusOK || strings.Contains(w.Body.String(), "secret") {
						t.Errorf("%d of %d replies, then %v: status %d, end %s, stream:\n%s", n, len(sent.replies), end, w.Code, got, w.Body)
					}
				}
			}
		})
	}
}

// TestRefusalKeepsOtherConnections guards against idle connections that callers of invalid requests can have
// closed: a refusal that does not name its request puts only its own in doubt.
func TestRefusalKeepsOtherConnections(t *testing.T) {
	var refuse atomic.Bool
	var last atomic.Int32 // connection of the last request
	bothRunning := make(chan struct{})
	var running atomic.Int32
	s := newRawServer(t, serveRaw(t, 1, func(r rawRequest) (string, bool) {
		last.Store(int32(r.connection))
		if refuse.Load() {
			return response("400 Bad Request", "text/plain", "invalid"), false
		}
		if running.Add(1) == 2 {
			close(bothRunning)
		}
		<-bothRunning
		return response("200 OK", "application/json", fmt.Sprintf(`{"id":"chatcmpl-%s","choices":[{"index":0,"message":{"content":"free."}}]}`, r.id)), false
	}))
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { s.ask(t, false) })
	}
	wg.Wait()
	refuse.Store(true)
	if w := s.ask(t, false); w.Code != http.StatusBadRequest {
		t.Errorf("status %d, body %s, want the refusal", w.Code, w.Body)
	}
	refuse.Store(false)
	if w := s.ask(t, false); w.Code != http.StatusOK || last.Load() > 1 {
		t.Errorf("status %d on connection %d, want one of the first two", w.Code, last.Load())
	}
}
