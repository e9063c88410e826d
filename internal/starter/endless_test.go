package starter

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestRequestsWithoutEnd guards against a host that reads without bound what a caller sends as a part of a request.
// The handler reads the body, whose content it bounds itself.
func TestRequestsWithoutEnd(t *testing.T) {
	const (
		maxSent = 64 << 20
		chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, 1<<20))
	})
	servers, err := listenAll([]Listener{{Name: "front", Address: "127.0.0.1:0", Handler: h}}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = servers[0].serve() }()
	t.Cleanup(servers[0].close)
	for name, c := range map[string]struct {
		prefix, unit string
		slow         time.Duration // between two units; 0: as quickly as the host reads
	}{
		"request line":    {prefix: "GET /", unit: "x"},
		"head line":       {prefix: "GET / HTTP/1.1\r\nHost: h\r\nX-Filler: ", unit: "x"},
		"many fields":     {prefix: "GET / HTTP/1.1\r\nHost: h\r\n", unit: "a:\r\n"},
		"empty lines":     {unit: "\r\n"},
		"body":            {prefix: chunked, unit: "1\r\nx\r\n"},
		"chunk size":      {prefix: chunked, unit: "0"},
		"chunk extension": {prefix: chunked + "1;", unit: "x"},
		"extensions":      {prefix: chunked, unit: "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"trailer":         {prefix: chunked + "0\r\n", unit: "X-Filler: x\r\n"},
		"trailer line":    {prefix: chunked + "0\r\nX-Filler: ", unit: "x"},
		"slow fields":     {prefix: "GET / HTTP/1.1\r\nHost: h\r\n", unit: "a:\r\n", slow: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", servers[0].listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				_, _ = io.Copy(io.Discard, conn)
			}()
			block := strings.Repeat(c.unit, 1+(16<<10)/len(c.unit))
			if c.slow > 0 {
				block = c.unit
			}
			_, err = io.WriteString(conn, c.prefix)
			sent := 0
			for err == nil && sent < maxSent {
				_, err = io.WriteString(conn, block)
				sent += len(block)
				select {
				case <-closed:
					return
				case <-time.After(c.slow):
				}
			}
			if sent >= maxSent {
				t.Errorf("%d bytes read", sent)
			}
		})
	}
}
