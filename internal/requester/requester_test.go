package requester

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// upstream listens, and writes prefix and then unit without end to each request, until the connection is closed or
// it has written maxSent bytes. It sends the number of bytes to the channel.
func upstream(t *testing.T, prefix, unit string, interval time.Duration) (address string, sent chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	sent = make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		if r, err := http.ReadRequest(reader); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, reader)
		}()
		block := unit
		if interval == 0 {
			block = strings.Repeat(unit, 1+(16<<10)/len(unit))
		}
		_, err = io.WriteString(conn, prefix)
		n := 0
		for open := true; err == nil && open && n < maxSent; n += len(block) {
			_, err = io.WriteString(conn, block)
			select {
			case <-closed:
				open = false
			case <-time.After(interval):
			}
		}
		sent <- n
	}()
	return l.Addr().String(), sent
}

const (
	maxSent = 64 << 20
	chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// readStream sends a request and reads the response as a stream.
func readStream(t *testing.T, address string, timeout time.Duration) error {
	t.Helper()
	clock := &timer.Service{}
	go func() { _ = clock.Run(t.Context()) }()
	c := &Requester{Timer: clock}
	c.Start(t.Context())
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := c.Send(r, timeout, false)
	if err != nil {
		return err
	}
	defer answer.Close()
	events := &EventReader{Answer: answer, EventTimeout: timeout}
	for err == nil {
		_, err = events.Next()
	}
	return err
}

// TestResponsesWithoutEnd guards against a host that reads without bound what an upstream sends as a part of a
// response.
func TestResponsesWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct{ prefix, unit string }{
		"status line":     {"HTTP/1.1 200 ", "x"},
		"head":            {"HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"},
		"small fields":    {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
		"head line":       {"HTTP/1.1 200 OK\r\nX-Filler: ", "x"},
		"informational":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"chunk size":      {chunked, "0"},
		"chunk extension": {chunked + "1;", "x"},
		"extensions":      {chunked, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"trailer":         {chunked + "0\r\n", "X-Filler: x\r\n"},
		"trailer line":    {chunked + "0\r\nX-Filler: ", "x"},
		"event":           {"HTTP/1.1 200 OK\r\n\r\ndata: ", "x"},
		"event of lines":  {"HTTP/1.1 200 OK\r\n\r\n", "data: x\n"},
		"comment":         {"HTTP/1.1 200 OK\r\n\r\n: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, sent := upstream(t, c.prefix, c.unit, 0)
			err := readStream(t, address, time.Minute)
			if n := <-sent; n >= maxSent || err == nil || errors.Is(err, io.EOF) {
				t.Errorf("%d bytes sent, error %v", n, err)
			}
		})
	}
}

// TestStalledStreams guards against streams that never end, since something other than an event comes now and then.
func TestStalledStreams(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	for name, c := range map[string]struct{ prefix, unit string }{
		"head":          {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
		"informational": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"comments":      {head, ": x\n\n"},
		"empty lines":   {head, "\n"},
		"other fields":  {head, "event: x\n\n"},
		"part of event": {head + "data: ", "x"},
		"lines":         {head, "data: x\n"},
		"nothing":       {head + "data: x\n\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, sent := upstream(t, c.prefix, c.unit, 20*time.Millisecond)
			ended := make(chan error, 1)
			go func() { ended <- readStream(t, address, 300*time.Millisecond) }()
			select {
			case err := <-ended:
				if !errors.Is(err, ErrStalled) && !(name == "informational" && err != nil) {
					t.Errorf("error %v, want ErrStalled", err)
				}
			case <-time.After(20 * time.Second):
				t.Fatal("the stream goes on")
			}
			<-sent
		})
	}
}

// TestSlowStream guards against a sound stream that is cut since it takes longer than the timeout, or is slow between its events.
func TestSlowStream(t *testing.T) {
	t.Parallel()
	const timeout = time.Second
	address, sent := upstream(t, "HTTP/1.1 200 OK\r\n\r\n", "data: x\n\n", timeout/4)
	clock := &timer.Service{}
	go func() { _ = clock.Run(t.Context()) }()
	c := &Requester{Timer: clock}
	c.Start(t.Context())
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprint("http://", address), nil)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := c.Send(r, timeout, false)
	if err != nil {
		t.Fatal(err)
	}
	events := &EventReader{Answer: answer, EventTimeout: timeout}
	for n := range 8 {
		if _, err := events.Next(); err != nil {
			t.Errorf("event %d: %v", n, err)
		}
	}
	answer.Close()
	<-sent
}
