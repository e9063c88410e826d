package accepter

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Listener accepts connections that its Gate bounds. Set the exported fields before use.
type Listener struct {
	net.Listener
	Gate *Gate
	// Name is that of the listener in metrics and log lines.
	Name string
	// Peers means that other hosts connect, which show a secret: see Trust.
	Peers bool
	// TLS is the configuration of a listener whose connections are encrypted; nil: they are not. What is counted is
	// what callers send through TLS. The server must not use TLS itself.
	TLS *tls.Config

	count    count // guarded by Gate.mu
	closed   bool  // guarded by Gate.mu
	draining bool  // guarded by Gate.mu
}

// Accept waits for a connection for which there is room. One for which there is none is closed, with an answer that
// says so.
func (l *Listener) Accept() (net.Conn, error) {
	l.Gate.init()
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l, address: addressOf(raw)}
		if l.TLS != nil {
			c.secured = &handshakeConn{Conn: raw}
			c.Conn = tls.Server(c.secured, l.TLS)
		}
		if l.Gate.admit(c) {
			return c, nil
		}
		if !l.Peers {
			c.writeAnswer(answerNoRoom)
		}
		_ = raw.Close()
	}
}

// Close closes the listener. Its connections stay open.
func (l *Listener) Close() error {
	l.Gate.init()
	l.Gate.mu.Lock()
	l.closed = true
	l.Gate.changed.Broadcast()
	l.Gate.mu.Unlock()
	return l.Listener.Close()
}

// Drain closes the listener, and then its connections: those of which nothing was read since their last response at
// once, the others when their request has its response. It waits until all are closed, or ctx ends. Unlike
// http.Server.Shutdown, it leaves no request that was read without a response.
func (l *Listener) Drain(ctx context.Context) error {
	err := l.Close()
	g := l.Gate
	stop := context.AfterFunc(ctx, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.changed.Broadcast()
	})
	defer stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	l.draining = true
	for c := g.lists[idle].first; c != nil; c = c.next {
		if c.listener == l && c.awaitsRequest() {
			_ = c.Conn.SetReadDeadline(expired) // fails only if the connection has ended
		}
	}
	for l.count.open > 0 {
		if ctx.Err() != nil {
			return errors.Join(err, fmt.Errorf("accepter: %d connections of the %s listener are open: %w", l.count.open, l.Name, ctx.Err()))
		}
		g.changed.Wait()
	}
	return err
}

// expired is a read deadline in the past. A read that has its data by then returns it.
var expired = time.Unix(1, 0)

// addressOf returns the IP address of a connection's peer; the zero value if it has none.
func addressOf(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

type contextKey struct{}

// Attach makes a server tell the state of the connections that it accepts from a Listener. It must be called before
// the server serves, and after its Handler is set. It also applies AllowHeaderValues.
func Attach(s *http.Server) {
	AllowHeaderValues(s)
	handler := s.Handler
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if x, ok := c.(*Conn); ok {
			x.setState(state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, contextKey{}, c) }
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A head may be complete just as its connection is closed for another. Its caller was told that it has not run.
		if c, ok := r.Context().Value(contextKey{}).(*Conn); ok {
			if !c.begin() {
				panic(http.ErrAbortHandler)
			}
			if c.isLast() {
				w.Header().Set("Connection", "close")
			}
		}
		handler.ServeHTTP(w, r)
	})
}
