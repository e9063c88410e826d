package pooler

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// newUpstream returns the address of a server that accepts one connection per script. On each
// it reads a request before it sends the next piece of the script.
func newUpstream(t *testing.T, scripts ...[]string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for _, script := range scripts {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveScript(c, script)
		}
	}()
	return l.Addr().String()
}

// closeMark at the end of a script's last piece makes the upstream close the connection.
const closeMark = "\x00"

func serveScript(c net.Conn, script []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, piece := range script {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(c, strings.TrimSuffix(piece, closeMark))
	}
	if !strings.HasSuffix(script[len(script)-1], closeMark) {
		_, _ = r.ReadByte() // keep the connection open until the client closes it
	}
}

func newPool(t *testing.T) *Pool {
	t.Helper()
	clock := &timer.Service{}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = clock.Run(ctx) }()
	return &Pool{Timer: clock}
}

func newRequest(body string) *http.Request {
	r := &http.Request{Method: "POST", URL: &url.URL{Scheme: "http", Host: "h", Opaque: "/a/b?c"}, Host: "h", Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1}
	if body != "" {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	return r
}

// exchange sends a request and reads the whole body of the response.
func exchange(t *testing.T, p *Pool, address, body string) (answer string, reused bool, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	call, err := p.Send(ctx, address, newRequest(body), SendOptions{})
	if err != nil {
		return "", false, err
	}
	defer call.Close()
	b, err := io.ReadAll(call)
	return string(b), call.Reused, err
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestReuse guards against a new connection for each request: the second of two requests must
// use the first one's connection.
func TestReuse(t *testing.T) {
	p, address := newPool(t), newUpstream(t, []string{completeResponse, completeResponse})
	for i := range 2 {
		answer, reused, err := exchange(t, p, address, "body")
		if answer != "ok" || err != nil || reused != (i == 1) {
			t.Fatalf("request %d: %q, reused %v, %v", i, answer, reused, err)
		}
	}
}

// TestRefusedOnConnection guards against a refusal that is sent once more and taken for the response to a later
// request with the same ID: that request must not use the connection. Others must, until many were refused.
func TestRefusedOnConnection(t *testing.T) {
	script := slices.Repeat([]string{completeResponse}, maxRefused+10)
	p, address := newPool(t), newUpstream(t, script, script, script, script)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	send := func(id string, refused bool) (reused bool) {
		t.Helper()
		call, err := p.Send(ctx, address, newRequest(""), SendOptions{ID: id})
		if err != nil {
			t.Fatal(err)
		}
		defer call.Close()
		if refused {
			call.RecordRefused()
		}
		if _, err := io.ReadAll(call); err != nil {
			t.Fatal(err)
		}
		return call.Reused
	}
	for _, c := range []struct {
		id            string
		refused, want bool
	}{
		{"a", true, false}, {"b", false, true}, {"a", false, false}, {"b", true, true}, {"a", true, true}, {"c", true, true}, {"d", true, true},
	} {
		if got := send(c.id, c.refused); got != c.want {
			t.Errorf("request %s: reused %v, want %v", c.id, got, c.want)
		}
	}
	p.CloseIdle(address)
	for i := range maxRefused + 1 {
		if got := send(fmt.Sprint("e", i), true); got != (i > 0) {
			t.Fatalf("request %d: reused %v", i, got)
		}
	}
	if send("f", false) {
		t.Errorf("a connection on which %d requests were refused was reused", maxRefused+1)
	}
}

// TestProbeCarriesNoRequest guards against taking a connection that only a probe opened for one on which a
// request was sent.
func TestProbeCarriesNoRequest(t *testing.T) {
	p, address := newPool(t), newUpstream(t, []string{completeResponse, completeResponse})
	if err := p.Probe(t.Context(), address); err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		if _, reused, err := exchange(t, p, address, ""); err != nil || reused != (i == 1) {
			t.Errorf("request %d: reused %v, error %v", i, reused, err)
		}
	}
}

// TestWriteDoneAfterResponse guards against connections closed without need: the response may
// be read before the goroutine that writes the request reports its end.
func TestWriteDoneAfterResponse(t *testing.T) {
	p := newPool(t)
	c := &Call{pool: p, writeDone: make(chan error, 1)}
	p.Timer.Once(writeDoneTimeout/4, func() { c.writeDone <- nil })
	if !c.requestWritten() {
		t.Error("a request whose writer finishes within writeDoneTimeout counts as not written")
	}
	c = &Call{pool: p, writeDone: make(chan error, 1)}
	if c.requestWritten() {
		t.Error("a request whose writer does not finish counts as written")
	}
}

// TestConnectionNotReused guards against requests lost on, or answered wrongly from, a connection
// that must not be used again: the second request must use a new connection.
func TestConnectionNotReused(t *testing.T) {
	for name, first := range map[string]string{
		"bytes after the answer": completeResponse + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
		"asked to close":         "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"idle time too short":    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
		"closed by the upstream": completeResponse + closeMark,
	} {
		p, address := newPool(t), newUpstream(t, []string{first}, []string{completeResponse})
		if _, _, err := exchange(t, p, address, ""); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		time.Sleep(20 * time.Millisecond) // until what follows the response has arrived
		if answer, reused, err := exchange(t, p, address, ""); answer != "ok" || reused || err != nil {
			t.Errorf("%s: got %q, reused %v, %v", name, answer, reused, err)
		}
	}
}

// TestErrorsSayWhatWasSent guards against a failed request whose error misstates whether it may
// have run, and so whether it may be sent again.
func TestErrorsSayWhatWasSent(t *testing.T) {
	refusingAddress := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}()
	p := newPool(t)
	for name, c := range map[string]struct {
		address string
		want    error
	}{
		"nobody listens":     {refusingAddress, ErrNotSent},
		"closed before":      {newUpstream(t, []string{closeMark}), ErrConnectionLost},
		"closed in the head": {newUpstream(t, []string{"HTTP/1.1 200 OK\r\nContent-"}), ErrMalformedResponse},
		"other protocol":     {newUpstream(t, []string{"HTTP/1.1 101 Switching Protocols\r\n\r\n" + completeResponse}), ErrMalformedResponse},
		"no status":          {newUpstream(t, []string{"HTTP/1.1 020 OK\r\n\r\n" + completeResponse}), ErrMalformedResponse},
		"no answer at all":   {newUpstream(t, []string{"hello\r\n\r\n"}), ErrMalformedResponse},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		call, err := p.Send(ctx, c.address, newRequest(""), SendOptions{})
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got call %v, error %v, want error %v", name, call, err, c.want)
		}
		cancel()
	}
	if _, _, err := exchange(t, p, newUpstream(t, []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok" + closeMark}), ""); !errors.Is(err, ErrConnectionLost) {
		t.Errorf("connection closed within the body: got error %v, want ErrConnectionLost", err)
	}
}

// TestKeepAlive guards against the reuse of a connection that the upstream has closed: the
// timeout of the Keep-Alive header, less a margin, bounds the idle time.
func TestKeepAlive(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": maxIdleTimeout, "timeout=5": 4500 * time.Millisecond, "timeout=2, max=9": 1500 * time.Millisecond,
		"max=9": maxIdleTimeout, "timeout=600": maxIdleTimeout, "timeout=x": maxIdleTimeout,
		"timeout=9300000000": maxIdleTimeout, "timeout=99999999999999999999": maxIdleTimeout, // more than a time.Duration holds
	} {
		if got := keepAlive(header); got != want {
			t.Errorf("%q: got %v, want %v", header, got, want)
		}
	}
}
