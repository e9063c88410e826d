package pooler

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// upstream answers connections with a script: for each connection, the pieces to send, each
// after one request was read.
func upstream(t *testing.T, scripts ...[]string) string {
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
			go play(c, script)
		}
	}()
	return l.Addr().String()
}

// closes at the end of a script's last piece makes the upstream close the connection.
const closes = "\x00"

func play(c net.Conn, script []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, piece := range script {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(c, strings.TrimSuffix(piece, closes))
	}
	if !strings.HasSuffix(script[len(script)-1], closes) {
		_, _ = r.ReadByte() // keep the connection open until the other end closes it
	}
}

func pool(t *testing.T) *Pool {
	t.Helper()
	clock := &timer.Service{}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = clock.Run(ctx) }()
	return &Pool{Timer: clock}
}

func request(body string) *http.Request {
	r := &http.Request{Method: "POST", URL: &url.URL{Scheme: "http", Host: "h", Opaque: "/a/b?c"}, Host: "h", Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1}
	if body != "" {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	return r
}

// exchange sends a request and reads its answer whole.
func exchange(t *testing.T, p *Pool, address, body string) (answer string, reused bool, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	call, err := p.Send(ctx, address, request(body), false)
	if err != nil {
		return "", false, err
	}
	defer call.Close()
	b, err := io.ReadAll(call)
	return string(b), call.Reused, err
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestReuse sends two requests over one connection.
func TestReuse(t *testing.T) {
	p, address := pool(t), upstream(t, []string{whole, whole})
	for i := range 2 {
		answer, reused, err := exchange(t, p, address, "body")
		if answer != "ok" || err != nil || reused != (i == 1) {
			t.Fatalf("request %d: %q, reused %v, %v", i, answer, reused, err)
		}
	}
}

// TestWrittenLate answers before the writer of the request has noticed that it is through.
func TestWrittenLate(t *testing.T) {
	p := pool(t)
	c := &Call{pool: p, written: make(chan error, 1)}
	p.Timer.Once(writeGrace/4, func() { c.written <- nil })
	if !c.through() {
		t.Error("the connection is given up")
	}
	c = &Call{pool: p, written: make(chan error, 1)}
	if c.through() {
		t.Error("a request that is not through counts as written")
	}
}

// TestDropped makes new connections where the last one must not be used again.
func TestDropped(t *testing.T) {
	for name, first := range map[string]string{
		"bytes after the answer": whole + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
		"asked to close":         "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"idle time too short":    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
		"closed by the upstream": whole + closes,
	} {
		p, address := pool(t), upstream(t, []string{first}, []string{whole})
		if _, _, err := exchange(t, p, address, ""); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		time.Sleep(20 * time.Millisecond) // what follows the answer arrives
		if answer, reused, err := exchange(t, p, address, ""); answer != "ok" || reused || err != nil {
			t.Errorf("%s: got %q, reused %v, %v", name, answer, reused, err)
		}
	}
}

// TestFailures tells what is known when a call fails.
func TestFailures(t *testing.T) {
	refused := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}()
	p := pool(t)
	for name, c := range map[string]struct {
		address string
		want    error
	}{
		"nobody listens":     {refused, ErrNotSent},
		"closed before":      {upstream(t, []string{closes}), ErrReset},
		"closed in the head": {upstream(t, []string{"HTTP/1.1 200 OK\r\nContent-"}), ErrGarbled},
		"no answer at all":   {upstream(t, []string{"hello\r\n\r\n"}), ErrGarbled},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		call, err := p.Send(ctx, c.address, request(""), false)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, %v, want %v", name, call, err, c.want)
		}
		cancel()
	}
	if _, _, err := exchange(t, p, upstream(t, []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok" + closes}), ""); !errors.Is(err, ErrReset) {
		t.Errorf("a short body: %v", err)
	}
}

// TestKeepAlive reads how long an upstream keeps idle connections.
func TestKeepAlive(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": idleLimit, "timeout=5": 4500 * time.Millisecond, "timeout=2, max=9": 1500 * time.Millisecond,
		"max=9": idleLimit, "timeout=600": idleLimit, "timeout=x": idleLimit,
	} {
		if got := keepAlive(header); got != want {
			t.Errorf("%q: got %v, want %v", header, got, want)
		}
	}
}
