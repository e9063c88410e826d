package server

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/requester"
	"github.com/trefoilloft/trefoilloft/internal/router"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 7 << 20

// serveResets listens, answers the first request with response before it has read it, with ID replaced by the
// request's id, and resets the connection while the request is being written. It answers others with another.
func serveResets(t *testing.T, response, another string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn, first bool) {
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		text := response
		if !first {
			text = another
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("X-Request-Id")))
		if first {
			time.Sleep(10 * time.Millisecond) // until the buffers of the connection are full
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
	go func() {
		for first := true; ; first = false {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, first)
		}
	}()
	return l.Addr().String()
}

// uploadCompletion runs a completion with a long prompt.
func (s *Server) uploadCompletion(t *testing.T, stream bool) *httptest.ResponseRecorder {
	t.Helper()
	body := fmt.Appendf(nil, `{"model":"m","stream":%v,"messages":[{"role":"user","content":%q}]}`, stream, strings.Repeat("x", uploadBytes))
	c, err := parseCompletion("/v1/chat/completions", body)
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

// TestResetDuringUpload guards against a part of a completion or of a rejection that a caller gets as a whole one
// because the upstream resets the connection while the request is being written.
func TestResetDuringUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	for name, begun := range map[string]string{
		"rejection": "HTTP/1.1 400 Bad Request\r\n\r\nthe prompt is", "failure": "HTTP/1.1 500 Internal Server Error\r\n\r\nthe",
		"body": head + wholeCompletion[:len(wholeCompletion)/2], "events": head + tokenEvents(0, 1),
		"events without the end marker": head + tokenEvents(0, 1) + strings.TrimSuffix(stopEvents, doneEvent),
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %v", name, stream), func(t *testing.T) {
				t.Parallel()
				for range 2 {
					s := newRawServer(t, []string{serveResets(t, begun, ""), serveResets(t, begun, "")})
					w := s.uploadCompletion(t, stream)
					got := w.Body.String()
					_, end := streamText(got)
					if partial := w.Code < 500 && w.Code != http.StatusOK; partial || w.Code == http.StatusOK && (!stream || end != "error") {
						t.Fatalf("status %d, body %s", w.Code, got)
					}
				}
			})
		}
	}
}

// TestUnframedRejection guards against losing a rejection that ends with its connection, which the upstream closes.
func TestUnframedRejection(t *testing.T) {
	s := newRawServer(t, serveRaw(t, 1, func(rawRequest) (string, bool) {
		return "HTTP/1.1 400 Bad Request\r\n\r\nthe prompt is too long", true
	}))
	if w := s.ask(t, false); w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), "the prompt is too long") {
		t.Errorf("status %d, body %s", w.Code, w.Body)
	}
}

// TestServiceResetDuringUpload guards against a part of a service's answer that passes for whole, and is kept as the
// outcome of its call, because the service resets the connection while the call is being written.
func TestServiceResetDuringUpload(t *testing.T) {
	another := response("200 OK", "text/plain", "another")
	for _, status := range []string{"200 OK", "400 Bad Request", "500 Internal Server Error"} {
		for framing, begun := range map[string]string{
			"neither": "\r\npart", "length": "Content-Length: 9\r\n\r\npart", "chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		} {
			t.Run(status+", "+framing, func(t *testing.T) {
				t.Parallel()
				for range 2 {
					begun := "HTTP/1.1 " + status + "\r\n" + begun
					call := &serviceCall{route: &schema.Route{Name: "r", Idempotent: true}, method: http.MethodPost, path: "/", header: http.Header{}, body: make([]byte, uploadBytes)}
					s := newRawServer(t, []string{serveResets(t, begun, another)})
					if answer, err := s.sendToService(t, call); err == nil || errors.Is(err, requester.ErrNotSent) {
						t.Fatalf("error %v, answer %+v", err, answer)
					}
					if answer, err := s.sendToService(t, call); err != nil || string(answer.body) != "another" {
						t.Fatalf("sent again: error %v, answer %+v", err, answer)
					}
				}
			})
		}
	}
}

// sendToService sends a call to an upstream, once.
func (s *Server) sendToService(t *testing.T, call *serviceCall) (*serviceAnswer, error) {
	t.Helper()
	reservation, err := s.router.Pick(router.Request{Kind: schema.UpstreamKind_UPSTREAM_SERVICE, Pool: "r"})
	if err != nil {
		t.Fatal(err)
	}
	defer reservation.Release(router.Canceled)
	return s.sendServiceCall(t.Context(), call, reservation)
}
