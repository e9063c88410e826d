package server

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/trefoilloft/trefoilloft/internal/proposer"
	"github.com/trefoilloft/trefoilloft/internal/requester"
	"github.com/trefoilloft/trefoilloft/internal/router"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// framings returns a whole response with a body in each way that its end can be stated, after informational
// responses if it has chunks. That without a length ends with the connection.
func framings(status, body string) map[string]string {
	head := "HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\n"
	half := len(body) / 2
	return map[string]string{
		"length": fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"chunks": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head +
			fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\nTrailer: 1\r\n\r\n", half, body[:half], len(body)-half, body[half:]),
		"neither": head + "\r\n" + body,
	}
}

const (
	wholeCompletion = `{"id":"chatcmpl-ID","choices":[{"index":0,"message":{"content":"Pew é is free."},"finish_reason":"stop"}]}`
	stopEvents      = `data: {"id":"chatcmpl-ID","choices":[{"finish_reason":"stop"}]}` + "\n\n" + doneEvent
)

// TestCompletionsCutAnywhere guards against a completion that callers get as a whole one because its upstream
// stopped within it, in its head above all, and closed or reset the connection: callers get another upstream's
// answer or, without another upstream, a failure.
func TestCompletionsCutAnywhere(t *testing.T) {
	id := proposer.NewRequestID()
	for _, stream := range []bool{false, true} {
		body := wholeCompletion
		if stream {
			body = tokenEvents(0, 1) + stopEvents
		}
		for framing, whole := range framings("200 OK", strings.ReplaceAll(body, "ID", id)) {
			for _, x := range []struct {
				upstreams     int
				reset, reused bool
			}{{2, false, false}, {1, true, true}} {
				t.Run(fmt.Sprintf("stream %v, %s, upstreams %d, reset %v, reused %v", stream, framing, x.upstreams, x.reset, x.reused), func(t *testing.T) {
					t.Parallel()
					var requests, cut atomic.Int32
					addresses := serveRaw(t, x.upstreams, func(r rawRequest) (string, bool) {
						if first := requests.Add(1) == 1; first == x.reused {
							body := wholeCompletion
							switch {
							case stream && r.resumed > 1:
								body = usageEvent + doneEvent
							case stream:
								body = tokenEvents(r.resumed, 1) + stopEvents
							}
							return framings("200 OK", strings.ReplaceAll(body, "ID", r.id))["length"], false
						}
						begun := strings.ReplaceAll(whole[:cut.Load()], id, r.id)
						if x.reset {
							begun += resetMark
						}
						return begun, true
					})
					for n := range len(whole) + 1 {
						t.Run(fmt.Sprintf("cut after %q", whole[max(0, n-12):n]), func(t *testing.T) {
							requests.Store(0)
							cut.Store(int32(n))
							checkCutCompletion(t, newRawServer(t, addresses), stream, x.reused)
							if sent := int(requests.Load()); sent > 2 {
								t.Errorf("%d requests", sent)
							}
						})
					}
				})
			}
		}
	}
}

// checkCutCompletion runs a completion whose upstream breaks off, on a connection that it has used before if reused
// is set; then there is no other upstream.
func checkCutCompletion(t *testing.T, s *Server, stream, reused bool) {
	t.Helper()
	if reused {
		s.ask(t, stream)
	}
	w := s.ask(t, stream)
	got := w.Body.String()
	answered := w.Code == http.StatusOK && strings.HasSuffix(got, `"finish_reason":"stop"}]}`)
	if stream {
		text, end := streamText(got)
		answered = w.Code == http.StatusOK && text == streamTokens[0] && end == "done"
		if !answered && w.Code == http.StatusOK && (end != "error" || !strings.HasPrefix(streamTokens[0], text)) {
			t.Errorf("end %s, stream:\n%s", end, got)
		}
	}
	switch {
	case !answered && !stream && w.Code == http.StatusOK, !answered && w.Code < 500 && w.Code != http.StatusOK:
		t.Errorf("status %d, body %s", w.Code, got)
	case !reused && !answered:
		t.Errorf("not answered by another upstream: status %d, body %s", w.Code, got)
	}
}

// TestServiceAnswersCutAnywhere guards against a service's answer that passes for whole, and is kept as the outcome
// of its call, because the service stopped within it, in its head above all, and against a response that switches
// protocols, which nobody asked for, as an answer.
func TestServiceAnswersCutAnywhere(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Internal Server Error", "101 Switching Protocols"} {
		for framing, whole := range framings(status, "whole answer") {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reset %v", status, framing, reset), func(t *testing.T) {
					t.Parallel()
					var requests, cut atomic.Int32
					addresses := serveRaw(t, 2, func(rawRequest) (string, bool) {
						switch n := cut.Load(); {
						case requests.Add(1) > 1:
							return response("200 OK", "text/plain", "another"), true
						case reset:
							return whole[:n] + resetMark, true
						default:
							return whole[:n], true
						}
					})
					for n := range len(whole) + 1 {
						t.Run(fmt.Sprintf("cut after %q", whole[max(0, n-12):n]), func(t *testing.T) {
							requests.Store(0)
							cut.Store(int32(n))
							s := newRawServer(t, addresses)
							complete := n == len(whole) && framing != "neither" && !strings.HasPrefix(status, "101")
							answer, err := s.callService(t, "/pew", true)
							want := "another"
							if complete {
								want = "whole answer"
							}
							if err != nil || string(answer.body) != want || complete && !strings.HasPrefix(status, fmt.Sprint(answer.status)) {
								t.Errorf("a call that may be repeated: error %v, answer %+v", err, answer)
							}
							requests.Store(0)
							reservation, err := s.router.Pick(router.Request{Kind: schema.UpstreamKind_UPSTREAM_SERVICE, Pool: "r"})
							if err != nil {
								t.Fatal(err)
							}
							defer reservation.Release(router.Canceled)
							call := &serviceCall{route: &schema.Route{Name: "r"}, method: http.MethodPost, path: "/pew", header: http.Header{}}
							if answer, err = s.sendServiceCall(t.Context(), call, reservation); complete != (err == nil) || errors.Is(err, requester.ErrNotSent) || requests.Load() != 1 {
								t.Errorf("a call that may not: %d requests, error %v, answer %+v", requests.Load(), err, answer)
							}
						})
					}
				})
			}
		}
	}
}

// TestRefusalsCutAnywhere guards against a refusal that callers get with part of its text because the upstream stopped
// within it: the request goes to another upstream.
func TestRefusalsCutAnywhere(t *testing.T) {
	for framing, whole := range framings("400 Bad Request", "the prompt is too long") {
		if framing == "neither" {
			continue // its end is that of the connection
		}
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", framing, reset), func(t *testing.T) {
				t.Parallel()
				var requests, cut atomic.Int32
				addresses := serveRaw(t, 2, func(r rawRequest) (string, bool) {
					switch n := cut.Load(); {
					case requests.Add(1) > 1:
						return response("200 OK", "application/json", strings.ReplaceAll(wholeCompletion, "ID", r.id)), true
					case reset:
						return whole[:n] + resetMark, true
					default:
						return whole[:n], true
					}
				})
				for n := range len(whole) + 1 {
					t.Run(fmt.Sprintf("cut after %q", whole[max(0, n-12):n]), func(t *testing.T) {
						requests.Store(0)
						cut.Store(int32(n))
						s := newRawServer(t, addresses)
						w := s.ask(t, false)
						complete := n == len(whole)
						if refused := w.Code == http.StatusBadRequest; refused != complete || !complete && w.Code != http.StatusOK {
							t.Errorf("status %d, body %s", w.Code, w.Body)
						}
					})
				}
			})
		}
	}
}

// TestRelayedBodyCutAnywhere guards against a completion that looks whole although the host that runs it in another
// region ends before it has sent all replies, or one of them is lost.
func TestRelayedBodyCutAnywhere(t *testing.T) {
	s := newRawServer(t, serveRaw(t, 1, func(r rawRequest) (string, bool) {
		return response("200 OK", "application/json", strings.ReplaceAll(wholeCompletion, "ID", r.id)), true
	}))
	sent := &recordedReplies{}
	c := &completion{requestID: proposer.NewRequestID(), path: "/v1/completions", model: "m", maxTokens: 9, forwarded: true}
	if err := s.runAttempts(t.Context(), c, &forwardAnswerWriter{stream: &numberedReplies{ServerStreamingServer: sent}, c: c}); err != nil {
		t.Fatal(err)
	}
	for from := range sent.replies {
		for to := from; to <= len(sent.replies); to++ {
			for _, end := range []error{io.EOF, io.ErrUnexpectedEOF} {
				received := &recordedReplies{replies: slices.Concat(sent.replies[:from], sent.replies[to:]), err: end}
				w := httptest.NewRecorder()
				out := &httpAnswerWriter{w: w}
				if err := s.copyForwardReplies(received, &completion{}, out); err != nil {
					out.writeError(s, err)
				}
				whole := from == to
				if (w.Code == http.StatusOK) != whole || whole && !strings.Contains(w.Body.String(), "free.") {
					t.Errorf("replies %d to %d of %d lost, then %v: status %d, body %s", from+1, to, len(sent.replies), end, w.Code, w.Body)
				}
			}
		}
	}
}
