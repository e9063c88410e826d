package starter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// pausedListener accepts connections whose reads can be paused once they have their data.
type pausedListener struct {
	net.Listener
	closing chan struct{} // closed as the listener is
	once    sync.Once
	begun   chan struct{} // gets a value for the first read of each connection
	reads   chan struct{} // gets a value for each read that has its data, while pause is not nil
	pause   chan struct{} // reads with data wait until it is closed; nil: they do not wait
	mu      sync.Mutex    // guards pause
}

func (l *pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausedConn{Conn: c, listener: l}, nil
}

func (l *pausedListener) Close() error {
	l.once.Do(func() { close(l.closing) })
	return l.Listener.Close()
}

func (l *pausedListener) setPause(pause chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pause = pause
}

type pausedConn struct {
	net.Conn
	listener *pausedListener
	begin    sync.Once
}

func (c *pausedConn) Read(p []byte) (int, error) {
	c.begin.Do(func() { c.listener.begun <- struct{}{} })
	n, err := c.Conn.Read(p)
	c.listener.mu.Lock()
	pause := c.listener.pause
	c.listener.mu.Unlock()
	if n > 1 && pause != nil { // net/http reads one byte until a handler's response is written
		c.listener.reads <- struct{}{}
		<-pause
	}
	return n, err
}

// TestRequestsReadDuringStopAreAnswered guards against requests that a stopping process has read, but closes the
// connection of without an answer: the first one of a new connection, and one that arrives on a kept connection as
// that is closed.
func TestRequestsReadDuringStopAreAnswered(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	start := func(t *testing.T) (*pausedListener, *httpServer, net.Conn, func()) {
		t.Helper()
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body) // a short body fails the comparison
			_, _ = w.Write(b)
		})
		servers, err := listenAll([]Listener{{Name: "front", Address: "127.0.0.1:0", Handler: h}}, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		s := servers[0]
		l := s.listener
		paused := &pausedListener{Listener: l.Listener, closing: make(chan struct{}), begun: make(chan struct{}, 1), reads: make(chan struct{}, 8)}
		l.Listener = paused
		served := make(chan error, 1)
		go func() { served <- s.serve() }()
		c, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(20 * time.Second)) // fails the test instead of hanging it
		<-paused.begun
		stopped := make(chan struct{})
		return paused, s, c, func() {
			go func() {
				shutdownAll(servers, time.Minute, zerolog.Nop())
				close(stopped)
			}()
			<-paused.closing
			t.Cleanup(func() {
				<-stopped
				if err := <-served; err != nil {
					t.Error(err)
				}
			})
		}
	}
	check := func(t *testing.T, r *bufio.Reader) {
		t.Helper()
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("no response: %v", err)
		}
		defer func() { _ = response.Body.Close() }()
		if b, err := io.ReadAll(response.Body); err != nil || string(b) != "body" {
			t.Errorf("response %q, error %v", b, err)
		}
	}
	send := func(t *testing.T, c net.Conn) {
		t.Helper()
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
	}
	t.Run("new connection", func(t *testing.T) {
		_, _, c, stop := start(t)
		stop()
		send(t, c)
		check(t, bufio.NewReader(c))
	})
	t.Run("new connection, request read as the stop begins", func(t *testing.T) {
		l, _, c, stop := start(t)
		pause := make(chan struct{})
		l.setPause(pause)
		send(t, c)
		<-l.reads
		stop()
		close(pause)
		check(t, bufio.NewReader(c))
	})
	t.Run("kept connection, request read as the stop begins", func(t *testing.T) {
		l, _, c, stop := start(t)
		r := bufio.NewReader(c)
		send(t, c)
		check(t, r)
		pause := make(chan struct{})
		l.setPause(pause)
		send(t, c)
		<-l.reads
		stop()
		close(pause)
		check(t, r)
	})
}

// TestStopClosesIdleConnections guards against a stop that waits for connections without a request.
func TestStopClosesIdleConnections(t *testing.T) {
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") })
	servers, err := listenAll([]Listener{{Name: "front", Address: "127.0.0.1:0", Handler: h}}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- servers[0].serve() }()
	c, err := net.Dial("tcp", servers[0].listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	stopped := make(chan struct{})
	go func() {
		shutdownAll(servers, time.Hour, zerolog.Nop())
		close(stopped)
	}()
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v, want its end", err)
	}
	<-stopped
	if err := <-served; err != nil {
		t.Error(err)
	}
}
