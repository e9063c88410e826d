package expirer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestSlowBodies guards against connections that stay open because a body does not arrive, whether or not the
// handler reads it.
func TestSlowBodies(t *testing.T) {
	for name, c := range map[string]struct {
		head    string
		handler http.HandlerFunc
	}{
		"read":          {"Content-Length: 10\r\n", func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }},
		"unread":        {"Content-Length: 10\r\n", func(http.ResponseWriter, *http.Request) {}},
		"unread chunks": {"Transfer-Encoding: chunked\r\n", func(http.ResponseWriter, *http.Request) {}},
		"rejected, to close": {"Content-Length: 10\r\n", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusUnauthorized)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dial(t, Handler(c.handler, 50*time.Millisecond))
			if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+c.head+"\r\n"); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := io.Copy(io.Discard, conn); isTimeout(err) {
				t.Error("the connection is still open")
			}
		})
	}
}

// TestRequestOutlastsBodyTimeout guards against a request that is canceled, or a connection that is closed, by the
// timeout for a body that has arrived.
func TestRequestOutlastsBodyTimeout(t *testing.T) {
	const timeout = 50 * time.Millisecond
	conn := dial(t, Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		case <-time.After(4 * timeout):
		}
	}), timeout))
	reader := bufio.NewReader(conn)
	for n := range 2 {
		if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		if response.StatusCode != http.StatusOK {
			t.Errorf("request %d: status %d", n, response.StatusCode)
		}
	}
}

func dial(t *testing.T, h http.Handler) net.Conn {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
