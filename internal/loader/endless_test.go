package loader

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestAnswersWithoutEnd guards against a load that never ends, or takes memory without bound, because a host sends
// a part of an answer without end.
func TestAnswersWithoutEnd(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ prefix, unit string }{
		"status line":     {"HTTP/1.1 200 ", "x"},
		"head":            {"HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"},
		"head line":       {"HTTP/1.1 200 OK\r\nX-Filler: ", "x"},
		"informational":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"chunk size":      {chunked, "0"},
		"chunk extension": {chunked + "1;", "x"},
		"extensions":      {chunked, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"trailer":         {chunked + "0\r\n", "X-Filler: x\r\n"},
		"trailer line":    {chunked + "0\r\nX-Filler: ", "x"},
		"rejection":       {"HTTP/1.1 503 Service Unavailable\r\n\r\n{\"error\":{\"code\":\"", "x"},
		"nested":          {"HTTP/1.1 503 Service Unavailable\r\n\r\n", "["},
		"event":           {"HTTP/1.1 200 OK\r\n\r\ndata: ", "x"},
		"events":          {"HTTP/1.1 200 OK\r\n\r\n", "data: x\n\n"},
		"comments":        {"HTTP/1.1 200 OK\r\n\r\n", ": x\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			const maxSent = 64 << 20
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			sent := make(chan int, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_, err = io.WriteString(conn, c.prefix)
				block, n := strings.Repeat(c.unit, 1+(16<<10)/len(c.unit)), 0
				for err == nil && n < maxSent {
					_, err = io.WriteString(conn, block)
					n += len(block)
				}
				sent <- n
			}()
			loader := &Loader{Hosts: []string{l.Addr().String()}}
			loader.client = newClient()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			ended := make(chan outcome, 1)
			go func() { ended <- loader.postCompletion(ctx, loader.Hosts[0], Customer{Name: "c"}, 0, time.Now()) }()
			if n := <-sent; n >= maxSent {
				t.Errorf("%d bytes read", n)
			}
			if o := <-ended; o.complete {
				t.Errorf("counts as complete: %+v", o)
			}
		})
	}
}
