package starter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// Limits that callers may use.
const (
	allowedHeadBytes  = 16_384
	allowedHeadTime   = 3 * time.Second
	allowedIdleTime   = 12 * time.Second
	smallestMemoryMB  = 144
	smallestDescCount = 256
)

// startGated starts an HTTP listener with the bounds of the smallest hosts. Its handler returns the number of fields.
func startGated(t *testing.T) (address string) {
	t.Helper()
	o := &Options{MaxMemoryBytes: smallestMemoryMB << 20, MaxDescriptors: smallestDescCount, Log: zerolog.Nop()}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := 0
		for _, values := range r.Header {
			n += len(values)
		}
		fmt.Fprint(w, n)
	})
	servers, err := listenThrough(o.newGate(&timer.Service{Clock: &timer.ManualClock{}}), []Listener{{Name: "front", Address: "127.0.0.1:0", Handler: h}}, o.Log)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = servers[0].serve() }()
	t.Cleanup(servers[0].close)
	return servers[0].listener.Addr().String()
}

// TestHeadsWithinTheLimits guards against bounds that refuse what callers may send: heads of 16,384 bytes in fields of
// any size, in one piece or as slowly as allowed, on new connections and on those that served others.
func TestHeadsWithinTheLimits(t *testing.T) {
	address := startGated(t)
	first := "GET / HTTP/1.1\r\nHost: h\r\n"
	distinct := func(n int) (s string, fields int) {
		var b strings.Builder
		for i := 0; b.Len()+8 < n; i++ {
			fmt.Fprintf(&b, "%x:\r\n", i)
			fields++
		}
		return b.String(), fields
	}
	repeated := func(unit string) func(int) (string, int) {
		return func(n int) (string, int) { return strings.Repeat(unit, n/len(unit)), n / len(unit) }
	}
	for name, fields := range map[string]func(n int) (string, int){
		"four bytes": repeated("a:\r\n"), "three bytes": repeated("a:\n"), "different names": distinct,
		"one": func(n int) (string, int) { return "X-Large: " + strings.Repeat("x", n-11) + "\r\n", 1 },
	} {
		for _, slow := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, slow %t", name, slow), func(t *testing.T) {
				t.Parallel()
				conn, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				text, n := fields(allowedHeadBytes - len(first) - 2)
				head := first + text + "\r\n"
				for request := range 2 {
					pieces := 1
					if slow && request == 1 {
						pieces = 10
					}
					for i := range pieces {
						if i > 0 {
							time.Sleep(allowedHeadTime * 95 / 100 / time.Duration(pieces-1)) // what is tested is a slow caller
						}
						if _, err := io.WriteString(conn, head[i*len(head)/pieces:(i+1)*len(head)/pieces]); err != nil {
							t.Fatal(err)
						}
					}
					response, err := http.ReadResponse(in, nil)
					if err != nil {
						t.Fatalf("request %d: %v", request, err)
					}
					body, _ := io.ReadAll(response.Body)
					if response.StatusCode != http.StatusOK || string(body) != fmt.Sprint(n) {
						t.Errorf("request %d of %d bytes: status %d, %q, want %d fields", request, len(head), response.StatusCode, body, n)
					}
				}
			})
		}
	}
	if headerReadTimeout <= allowedHeadTime || idleTimeout <= allowedIdleTime || maxHeaderBytes < allowedHeadBytes {
		t.Error("callers may take longer, or send more, than this host waits for")
	}
}

// TestRefusedHeads guards against a refusal that its caller does not see, or that says other than what happened.
func TestRefusedHeads(t *testing.T) {
	address := startGated(t)
	for name, c := range map[string]struct {
		head string
		want int
	}{
		"too many fields": {"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 7000), http.StatusRequestHeaderFieldsTooLarge},
		"too many bytes":  {"GET / HTTP/1.1\r\nHost: h\r\nX-Large: " + strings.Repeat("x", 2*maxHeaderBytes), http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			go func() { _, _ = io.WriteString(conn, c.head) }()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != c.want || !response.Close {
				t.Errorf("status %d, connection closed %t; want %d and true", response.StatusCode, response.Close, c.want)
			}
		})
	}
}

// TestHeadsThatExhaustMemory guards against heads that stall and take the room of others, and against an answer other
// than 503 with the time to return to callers for which there was none.
func TestHeadsThatExhaustMemory(t *testing.T) {
	address := startGated(t)
	stalled := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 4000)
	var crowd []net.Conn
	for range 40 { // more than the budget has room for
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, stalled); err != nil {
			t.Fatal(err)
		}
		crowd = append(crowd, conn)
	}
	// The heads are read at the same time, so that which of them are closed is open, but not that some are.
	refused := make(chan *http.Response, len(crowd))
	for _, conn := range crowd {
		go func() {
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				refused <- response
			}
		}()
	}
	response := <-refused
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("status %d, fields %v", response.StatusCode, response.Header)
	}
	ordinary, err := http.Get("http://" + address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ordinary.Body.Close() }()
	if ordinary.StatusCode != http.StatusOK {
		t.Errorf("an ordinary request got %d", ordinary.StatusCode)
	}
}
