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
)

// cutUpstream answers the first request on a connection with before, if set, and the next one with the first n
// bytes of response. It then closes or resets the connection.
type cutUpstream struct {
	before, response string
	reset            bool
	n                atomic.Int64
}

func (u *cutUpstream) listen(t *testing.T) string {
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

func (u *cutUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, text := range []string{u.before, u.response} {
		if text == "" {
			continue
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if text == u.response {
			text = text[:u.n.Load()]
		}
		_, _ = io.WriteString(c, text)
	}
	if u.reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// TestResponseCutAnywhere guards against a response that passes for whole, with fewer fields or a shorter body,
// because its upstream closes or resets the connection within it.
func TestResponseCutAnywhere(t *testing.T) {
	const (
		fields  = "Content-Type: text/plain\r\nX-Folded: a\r\n b\r\n"
		early   = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
		length  = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\nX-Last: 34\r\n\r\nabcdefghijkl"
		chunks  = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nabcde\r\n7\r\nfghijkl\r\n0\r\nX-Trailer: 1\r\n\r\n"
		without = "HTTP/1.1 200 OK\r\n" + fields + "X-Last: 34\r\n\r\n"
	)
	for _, c := range []struct {
		name, method, response, body string
		unframed                     bool // the body ends with the connection, unless that is reset
	}{
		{"length", "POST", length, "abcdefghijkl", false},
		{"length, after informational responses", "POST", "HTTP/1.1 100 Continue\r\n\r\n" + early + length, "abcdefghijkl", false},
		{"chunks", "POST", chunks, "abcdefghijkl", false},
		{"chunks, after informational responses", "POST", early + chunks, "abcdefghijkl", false},
		{"neither", "POST", without + "abcdefghijkl", "abcdefghijkl", true},
		{"neither, after informational responses", "POST", early + without + "abcdefghijkl", "abcdefghijkl", true},
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\n\r\n", "", false},
		{"no content", "POST", "HTTP/1.1 204 No Content\r\n" + fields + "\r\n", "", false},
		{"failure", "POST", strings.Replace(length, "200 OK", "500 Internal Server Error", 1), "abcdefghijkl", false},
		{"lines that end in LF", "POST", strings.ReplaceAll(length, "\r\n", "\n"), "abcdefghijkl", false},
	} {
		for _, reset := range []bool{false, true} {
			for _, reused := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reset %v, reused %v", c.name, reset, reused), func(t *testing.T) {
					t.Parallel()
					u := &cutUpstream{response: c.response, reset: reset}
					if reused {
						u.before = completeResponse
					}
					address, p := u.listen(t), newPool(t)
					headEnd := strings.LastIndex(c.response, "\r\n\r\n") + 4 // of an unframed one
					for n := range len(c.response) + 1 {
						u.n.Store(int64(n))
						for reused && len(p.idle[address]) == 0 {
							if _, _, err := exchange(t, p, address, ""); err != nil {
								t.Fatal(err)
							}
						}
						ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
						r := newRequest("")
						r.Method = c.method
						call, err := p.Send(ctx, address, r, SendOptions{})
						var body []byte
						headRead := err == nil
						if headRead {
							body, err = io.ReadAll(call)
							if call.Reused != reused {
								t.Errorf("cut after %d bytes: reused %v", n, call.Reused)
							}
							call.Close()
						}
						cancel()
						whole := n == len(c.response) && !c.unframed || c.unframed && !reset && n >= headEnd
						switch {
						case headRead && c.unframed && n < headEnd:
							t.Errorf("cut after %d bytes: got a response with header %v", n, call.Response.Header)
						case !strings.HasPrefix(c.body, string(body)), whole && !c.unframed && string(body) != c.body:
							t.Errorf("cut after %d bytes: got body %q, error %v", n, body, err)
						case (err == nil) != whole:
							t.Errorf("cut after %d bytes: error %v, whole %v", n, err, whole)
						case err != nil && !errors.Is(err, ErrConnectionLost) && (headRead || !errors.Is(err, ErrMalformedResponse)):
							t.Errorf("cut after %d bytes: error %v", n, err)
						}
					}
				})
			}
		}
	}
}
