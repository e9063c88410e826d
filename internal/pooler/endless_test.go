package pooler

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/bufferer"
)

// endlessUpstream answers each request with prefix and then with unit again and again, until the
// client closes the connection or maxEndlessBytes are sent. Sent counts the bytes of all answers.
type endlessUpstream struct {
	prefix, unit string
	sent         atomic.Int64
}

const (
	maxEndlessBytes = 64 << 20
	// Upper bound of what the sockets of both ends hold, which the upstream may have sent although
	// nothing read it.
	maxSocketBytes = 16 << 20
)

func (u *endlessUpstream) listen(t *testing.T) string {
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
	return l.Addr().String()
}

func (u *endlessUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	block := strings.Repeat(u.unit, 1+(16<<10)/len(u.unit))
	for text := u.prefix + block; u.sent.Load() < maxEndlessBytes; text = block {
		n, err := io.WriteString(c, text)
		u.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// TestResponseHeadWithoutEnd guards against an upstream that exhausts this host's memory by a
// response head that never ends, in each part of a head.
func TestResponseHeadWithoutEnd(t *testing.T) {
	for name, u := range map[string]*endlessUpstream{
		"header fields":           {prefix: "HTTP/1.1 200 OK\r\n", unit: "X-Filler: aaaaaaaaaaaaaaaa\r\n"},
		"one header line":         {prefix: "HTTP/1.1 200 OK\r\nX-Filler: ", unit: "a"},
		"a folded header line":    {prefix: "HTTP/1.1 200 OK\r\nX-Filler: a\r\n", unit: " a\r\n"},
		"the status line":         {prefix: "HTTP/1.1 200 ", unit: "O"},
		"informational responses": {unit: "HTTP/1.1 102 Processing\r\n\r\n"},
		"informational responses with fields": {
			unit: "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("a", 4000) + "\r\n\r\n",
		},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		call, err := newPool(t).Send(ctx, u.listen(t), newRequest(""), SendOptions{})
		if call != nil || !errors.Is(err, ErrMalformedResponse) {
			t.Errorf("%s: got call %v, error %v, want ErrMalformedResponse", name, call, err)
		}
		if sent := u.sent.Load(); sent > maxSocketBytes {
			t.Errorf("%s: the upstream sent %d bytes", name, sent)
		}
		cancel()
	}
}

// TestBodyFramingWithoutEnd guards against an upstream that exhausts this host's memory by the
// framing of a chunked body: what is not body must be bounded.
func TestBodyFramingWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, u := range map[string]*endlessUpstream{
		"chunk extension":   {prefix: head + "1;", unit: "a"},
		"extended chunks":   {prefix: head, unit: "1;" + strings.Repeat("a", 2000) + "\r\nx\r\n"},
		"one trailer":       {prefix: head + "0\r\nX-Filler: ", unit: "a"},
		"trailers":          {prefix: head + "0\r\n", unit: "X-Filler: a\r\n"},
		"chunk size digits": {prefix: head, unit: "0"},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		call, err := newPool(t).Send(ctx, u.listen(t), newRequest(""), SendOptions{})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if n, err := io.Copy(io.Discard, call); !errors.Is(err, ErrConnectionLost) || n > 1<<20 {
			t.Errorf("%s: read %d bytes of body, error %v, want ErrConnectionLost", name, n, err)
		}
		call.Close()
		if sent := u.sent.Load(); sent > maxSocketBytes {
			t.Errorf("%s: the upstream sent %d bytes", name, sent)
		}
		cancel()
	}
}

// TestLateSecondResponse guards against the next caller getting a late copy of the previous
// response: it arrives after the connection was taken for the next request, in the place of that
// request's response. The pool cannot tell the two apart, so what it must ensure is that nothing
// that follows the copy reaches a third request.
func TestLateSecondResponse(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: 1\r\n\r\nno"
	p, address := newPool(t), newUpstream(t, []string{completeResponse, late + completeResponse}, []string{completeResponse})
	for i, want := range []struct {
		body   string
		reused bool
	}{{"ok", false}, {"no", true}, {"ok", false}} {
		body, reused, err := exchange(t, p, address, "")
		if body != want.body || reused != want.reused || err != nil {
			t.Errorf("request %d: got %q, reused %v, %v; want %q, reused %v", i, body, reused, err, want.body, want.reused)
		}
	}
}

// TestHeadsOnManyConnections guards against heads that together, or as many short fields, take more memory
// than their bytes suggest.
func TestHeadsOnManyConnections(t *testing.T) {
	fields := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "F%d:\r\n", i)
		}
		return b.String()
	}
	send := func(p *Pool, head string) (*Call, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		t.Cleanup(cancel)
		u := &endlessUpstream{prefix: "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 1000000\r\n\r\n", unit: "x"}
		return p.Send(ctx, u.listen(t), newRequest(""), SendOptions{})
	}
	if _, err := send(newPool(t), fields(maxHeadLines+1000)); !errors.Is(err, ErrMalformedResponse) {
		t.Errorf("more than %d lines: error %v, want ErrMalformedResponse", maxHeadLines, err)
	}
	if _, err := send(newPool(t), fields(maxHeadLines-100)); err != nil {
		t.Errorf("fewer than %d lines: %v", maxHeadLines, err)
	}
	p := newPool(t)
	p.Buffers = &bufferer.Budget{Max: 200 << 10}
	long := "X-Filler: " + strings.Repeat("x", 40<<10) + "\r\n" // takes some 160 KiB
	first, err := send(p, long)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := send(p, long); !errors.Is(err, ErrMalformedResponse) {
		t.Errorf("a second long head: error %v, want ErrMalformedResponse", err)
	}
	if call, err := send(p, "X-Short: x\r\n"); err != nil {
		t.Errorf("a short head while the budget is exhausted: %v", err)
	} else {
		call.Close()
	}
	first.Close()
	if used := p.Buffers.Used(); used != 0 {
		t.Errorf("%d bytes are still taken", used)
	}
	if call, err := send(p, long); err != nil {
		t.Errorf("a long head once there is room: %v", err)
	} else {
		call.Close()
	}
}

// releasingReader returns what its budget has taken for others once that was the cause of an error.
type releasingReader struct {
	*boundedReader
	others *bufferer.Hold
}

func (r releasingReader) Read(b []byte) (int, error) {
	n, err := r.boundedReader.Read(b)
	if errors.Is(err, bufferer.ErrExhausted) {
		r.others.Release()
	}
	return n, err
}

// TestHeadAfterExhaustedMemory guards against a response that loses the rest of its header, and with it the
// framing of its body, because for a moment there was no memory for its head: http.ReadResponse takes what was
// read before an error for a whole line, and reads on.
func TestHeadAfterExhaustedMemory(t *testing.T) {
	first := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Filler: "+strings.Repeat("x", 90)+"\r\n", 50) + "X-Last: 34"
	rest := "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	budget := &bufferer.Budget{Max: 64 << 10}
	others := &bufferer.Hold{Budget: budget}
	if err := others.Grow(64<<10 + bufferer.FreeBytes); err != nil {
		t.Fatal(err)
	}
	source := &boundedReader{r: io.MultiReader(strings.NewReader(first), strings.NewReader(rest)), hold: &bufferer.Hold{Budget: budget}, remaining: maxHeadBytes}
	response, err := http.ReadResponse(bufio.NewReaderSize(releasingReader{source, others}, bufferBytes), newRequest(""))
	if err == nil {
		body, _ := io.ReadAll(response.Body)
		t.Errorf("got a response with transfer encoding %q, body %q, want an error", response.TransferEncoding, body)
	}
}
