package starter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// TestPanicEndsOneRequest guards against a process that ends because the handling of one request
// panics. That request's connection is closed without a response, the next request is answered,
// and the log names the request.
func TestPanicEndsOneRequest(t *testing.T) {
	var log strings.Builder
	h := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bad" {
			panic("broken")
		}
	})
	servers, err := listenAll([]Listener{{Name: "front", Address: "127.0.0.1:0", Handler: h, IDHeader: "Id"}}, zerolog.New(&log))
	if err != nil {
		t.Fatal(err)
	}
	address := servers[0].listener.Addr().String()
	done := make(chan error, 1)
	go func() { done <- servers[0].serve() }()
	status := func(path string) int {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: h\r\nId: r-7\r\n\r\n"))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		return response.StatusCode
	}
	if got := status("/bad"); got != 0 {
		t.Errorf("request whose handler panics: status %d", got)
	}
	if got := status("/good"); got != http.StatusOK {
		t.Errorf("next request: status %d", got)
	}
	shutdownAll(servers, shutdownTimeout, zerolog.Nop())
	if err := <-done; err != nil {
		t.Error(err)
	}
	if got := log.String(); !strings.Contains(got, `"request":"r-7"`) || !strings.Contains(got, "broken") {
		t.Errorf("log: %s", got)
	}
}

// TestAbortedResponseLooksCut guards against a response that breaks off and that its caller takes for a whole one: in
// HTTP/1.0 one without a length ends with its connection, which must then be reset.
func TestAbortedResponseLooksCut(t *testing.T) {
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "100")
		}
		_, _ = io.WriteString(w, "id: 1\n\n")
		if err := http.NewResponseController(w).Flush(); err != nil {
			t.Error(err)
		}
		panic(http.ErrAbortHandler)
	})
	server := httptest.NewServer(recoverRequests(Listener{Handler: h}, zerolog.Nop()))
	defer server.Close()
	for _, request := range []string{"GET / HTTP/1.0", "GET /length HTTP/1.0", "GET / HTTP/1.1", "GET /length HTTP/1.1"} {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, request+"\r\nHost: h\r\n\r\n")
		var body []byte
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			body, err = io.ReadAll(response.Body)
		}
		if err == nil {
			t.Errorf("%s: the response looks whole, body %q", request, body)
		}
		_ = c.Close()
	}
}
