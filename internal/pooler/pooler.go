package pooler

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	dialTimeout = 700 * time.Millisecond
	// Time after which unacknowledged bytes end a connection.
	silenceTimeout = 2500 * time.Millisecond
	// Idle time after which a connection is not used again, unless the upstream says less.
	idleLimit = 8 * time.Second
	// Taken off the idle time that the upstream states.
	idleMargin = 500 * time.Millisecond
	// Idle time after which a connection is not used for a request that must not be lost to
	// a connection that the upstream has dropped.
	freshLimit  = 1500 * time.Millisecond
	bufferBytes = 4 << 10
	// Time in which the writer of a request notices that it is through.
	writeGrace = 20 * time.Millisecond
	// Idle connections kept to one upstream.
	idleConns = 64
)

// Errors of calls.
var (
	// ErrNotSent says that no byte of the request was sent.
	ErrNotSent = errors.New("pooler: nothing was sent")
	// ErrReset says that the connection ended after bytes were sent.
	ErrReset = errors.New("pooler: the connection ended")
	// ErrGarbled says that the upstream sent something that is no answer.
	ErrGarbled = errors.New("pooler: not an answer")
)

// Pool keeps connections by address. Set Timer before use.
type Pool struct {
	Timer *timer.Service
	// Dialed is called after each connection that was made. Nil: not called.
	Dialed func(address string)

	mu   sync.Mutex
	idle map[string][]*conn // newest last; guarded by mu
}

// conn is one connection. A request has it for itself.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	since   time.Duration // when it became idle
	limit   time.Duration // idle time that it bears
}

// Call is one request on its way. Close must be called.
type Call struct {
	Response *http.Response
	// Reused says that the connection had served before.
	Reused bool

	pool    *Pool
	conn    *conn
	written chan error
	stop    func() bool
	whole   bool
	closed  bool
}

// Send writes a request and reads the head of the answer. Fresh asks for a connection that
// was used very lately, or a new one. When ctx ends the connection is closed.
func (p *Pool) Send(ctx context.Context, address string, r *http.Request, fresh bool) (*Call, error) {
	c, reused, err := p.connect(ctx, address, fresh)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	call := &Call{pool: p, conn: c, Reused: reused, written: make(chan error, 1)}
	call.stop = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	if err := call.write(r); err != nil {
		call.Close()
		return nil, err
	}
	if err := call.readHead(r); err != nil {
		call.Close()
		return nil, err
	}
	return call, nil
}

// write sends the request; a long body beside the reading of the answer, which may come
// before the body is through.
func (c *Call) write(r *http.Request) error {
	if r.ContentLength == 0 || r.Body == nil {
		w := &countingWriter{w: c.conn.Conn}
		err := writeRequest(w, r)
		c.written <- err
		if err != nil && w.n == 0 {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrReset, err)
		}
		return nil
	}
	go func() { c.written <- writeRequest(c.conn.Conn, r) }()
	return nil
}

func writeRequest(w io.Writer, r *http.Request) error {
	b := bufio.NewWriterSize(w, bufferBytes)
	if err := r.Write(b); err != nil {
		return err
	}
	return b.Flush()
}

type countingWriter struct {
	w io.Writer
	n int
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.w.Write(b)
	w.n += n
	return n, err
}

// readHead reads up to the first header that is not informational.
func (c *Call) readHead(r *http.Request) error {
	for {
		if _, err := c.conn.reader.Peek(1); err != nil {
			return fmt.Errorf("%w: %w", ErrReset, err)
		}
		response, err := http.ReadResponse(c.conn.reader, r)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrGarbled, err)
		}
		if response.StatusCode >= 200 {
			c.Response = response
			return nil
		}
	}
}

// Read reads the body. At its end io.EOF says that the answer is whole.
func (c *Call) Read(b []byte) (int, error) {
	n, err := c.Response.Body.Read(b)
	switch {
	case err == io.EOF:
		c.whole = true
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrReset, err)
	}
	return n, err
}

// Close gives the connection back if the answer was read whole and nothing else arrived on
// it, else closes it.
func (c *Call) Close() {
	if c.closed {
		return
	}
	c.closed = true
	alive := c.stop()
	if alive && c.whole && c.reusable() {
		c.pool.put(c.conn)
		return
	}
	_ = c.conn.Conn.Close()
}

// reusable reports whether the connection may serve another request.
func (c *Call) reusable() bool {
	if c.Response == nil || c.Response.Close || c.conn.reader.Buffered() > 0 {
		return false
	}
	if !c.through() {
		return false
	}
	c.conn.limit = keepAlive(c.Response.Header.Get("Keep-Alive"))
	return c.conn.limit > 0
}

// through reports whether the whole request was written. An upstream may answer before
// that; one that read all of it may answer before the writer has noticed.
func (c *Call) through() bool {
	late := make(chan struct{})
	cancel := c.pool.Timer.Once(writeGrace, func() { close(late) })
	defer cancel()
	select {
	case err := <-c.written:
		return err == nil
	case <-late:
		return false
	}
}

// keepAlive returns how long an upstream keeps an idle connection, with a margin.
func keepAlive(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if !strings.EqualFold(name, "timeout") || err != nil {
			continue
		}
		return min(idleLimit, time.Duration(seconds)*time.Second-idleMargin)
	}
	return idleLimit
}

// connect returns an idle connection that is still good, or a new one.
func (p *Pool) connect(ctx context.Context, address string, fresh bool) (c *conn, reused bool, err error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		age := p.Timer.Now() - c.since
		if age < c.limit && (!fresh || age < freshLimit) && quiet(c.Conn) {
			return c, true, nil
		}
		_ = c.Conn.Close()
	}
	d := net.Dialer{Timeout: dialTimeout, Control: setOptions, KeepAlive: -1}
	n, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, err
	}
	if p.Dialed != nil {
		p.Dialed(address)
	}
	return &conn{Conn: n, reader: bufio.NewReaderSize(n, bufferBytes), address: address}, false, nil
}

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.since = p.Timer.Now()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	if len(p.idle[c.address]) >= idleConns {
		_ = c.Conn.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Conn.Close()
	}
}

// Prune closes the connections that have been idle for too long, and all those to
// addresses that keep refuses.
func (p *Pool) Prune(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Timer.Now()
	for address, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if keep(address) && now-c.since < c.limit {
				kept = append(kept, c)
				continue
			}
			_ = c.Conn.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// quiet reports whether nothing has arrived on an idle connection: neither bytes of an
// answer that nobody waits for, nor its end.
func quiet(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	ok := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ok = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && ok
}
