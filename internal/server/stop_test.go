package server

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/accepter"
	"github.com/trefoilloft/trefoilloft/internal/bufferer"
)

// closingListener tells that it is being closed, and that its connections are read.
type closingListener struct {
	net.Listener
	closing chan struct{} // closed as the listener is
	once    sync.Once
	reads   chan struct{} // gets a value as the first read of a connection begins
}

func (l *closingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &readConn{Conn: c, reads: l.reads}, nil
}

func (l *closingListener) Close() error {
	l.once.Do(func() { close(l.closing) })
	return l.Listener.Close()
}

type readConn struct {
	net.Conn
	reads chan struct{}
	begin sync.Once
}

func (c *readConn) Read(p []byte) (int, error) {
	c.begin.Do(func() { c.reads <- struct{}{} })
	return c.Conn.Read(p)
}

// TestDrainingHostAnswersNewConnection guards against a request that a draining host has read, the first one of its
// connection, and closes the connection of without an answer.
func TestDrainingHostAnswersNewConnection(t *testing.T) {
	s := &Server{Log: zerolog.Nop()}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closing := &closingListener{Listener: inner, closing: make(chan struct{}), reads: make(chan struct{}, 1)}
	public := &accepter.Listener{Listener: closing, Gate: &accepter.Gate{Budget: &bufferer.Budget{}}, Name: "callers"}
	h := s.newHTTPServer()
	served := make(chan error, 1)
	go func() { served <- h.Serve(public) }()
	c, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second)) // fails the test instead of hanging it
	<-closing.reads
	s.draining.Store(true)
	stopped := make(chan error, 1)
	go func() { stopped <- stopHTTP(t.Context(), public, h) }()
	<-closing.closing
	if _, err := io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent || !response.Close {
		t.Errorf("status %d, connection ends %v, want 204 and true", response.StatusCode, response.Close)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}
