package pooler

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/clamper"
	"github.com/trefoilloft/trefoilloft/internal/closer"
	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/prober"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	dialTimeout = 700 * time.Millisecond
	// Time for which sent bytes may stay unacknowledged before the connection is ended.
	unackedTimeout = 2500 * time.Millisecond
	// Time for which a connection may be idle before it is closed, unless the upstream's
	// Keep-Alive header states less.
	maxIdleTimeout = 8 * time.Second
	// Subtracted from the idle timeout that the upstream states, so that the connection is not
	// used while the upstream closes it.
	idleTimeoutMargin = 500 * time.Millisecond
	// Idle time from which a connection is not used for a request that must not be lost: the
	// upstream may have dropped the connection already.
	recentIdleTimeout = 1500 * time.Millisecond
	bufferBytes       = 4 << 10
	// Longest wait, once the response was read, for the goroutine that writes the request to
	// report that it is done.
	writeDoneTimeout = 20 * time.Millisecond
	// Number of idle connections kept per address.
	maxIdleConns = 64
	// Maximum size of what an upstream may send before the body of its response, informational
	// responses included. Callers are held to the same size.
	maxHeadBytes = 64 << 10
	// Maximum number of informational responses before the response itself.
	maxInformational = 8
	// Maximum number of lines of a head. Fields of different names take much more memory than bytes on
	// the wire.
	maxHeadLines = 1000
	// Maximum number of refused requests on a connection that is used again.
	maxRefused = 256
	// Memory that a head takes, as a multiple of its bytes.
	headMemoryFactor = 4
)

// Errors of calls.
var (
	// ErrNotSent says that no byte of the request was sent: it may be sent again.
	ErrNotSent = errors.New("pooler: no byte of the request was sent")
	// ErrConnectionLost says that the connection failed or was closed after bytes of the
	// request may have been sent and before the response was complete.
	ErrConnectionLost = errors.New("pooler: connection lost before the end of the response")
	// ErrMalformedResponse says that the upstream sent something that is not an HTTP response, or
	// that the connection ended within the response's header.
	ErrMalformedResponse = errors.New("pooler: malformed response")
)

// ErrNoConnection says that no connection could be opened.
var ErrNoConnection = errors.New("pooler: no connection could be opened")

// ErrRefused says that no process listens at an address.
var ErrRefused = errors.New("pooler: connection refused")

// Causes of ErrMalformedResponse for heads that do not end.
var (
	errHeadTooLong          = fmt.Errorf("response head is longer than %d bytes", maxHeadBytes)
	errTooManyLines         = fmt.Errorf("response head has more than %d lines", maxHeadLines)
	errTooManyInformational = fmt.Errorf("more than %d informational responses", maxInformational)
)

// Pool keeps idle connections by address. Set the exported fields before use.
type Pool struct {
	Timer *timer.Service
	// OnDial is called after each new connection is established. Nil: not called.
	OnDial func(address string)
	// Prober is told what connections show, and ends attempts to open one while the host is isolated. Nil: no one is
	// told.
	Prober *prober.Prober
	// Buffers bounds the memory for the heads of responses. Nil: unlimited.
	Buffers *bufferer.Budget
	// Log gets a line when writing a request panics.
	Log zerolog.Logger

	mu   sync.Mutex
	idle map[string][]*conn // by address, most recently used last; guarded by mu
}

// conn is one connection, used by at most one request at a time.
type conn struct {
	net.Conn
	openedAt    time.Duration // time on Timer's clock before it was opened
	source      *boundedReader
	reader      *bufio.Reader // reads from source
	address     string
	used        bool          // a request was sent on it
	refused     []uint64      // hashes of the IDs of the requests that were refused on it
	idleSince   time.Duration // time on Timer's clock at which it became idle
	idleTimeout time.Duration // idle time after which it is closed
}

// boundedReader reads from r. While hold is set, it reads a head: it returns an error once remaining bytes or
// maxHeadLines lines are read, or if the Budget of hold is exhausted.
type boundedReader struct {
	r         io.Reader
	prober    *prober.Prober
	hold      *bufferer.Hold
	remaining int
	lines     int
	err       error // of an earlier Read
}

// Read reads from the underlying reader. After an error it returns only that one, since http.ReadResponse takes
// what was read before an error for a whole line and reads on.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.read(p)
	b.err = err
	if n > 0 {
		b.prober.RecordReceived()
	}
	return n, err
}

func (b *boundedReader) read(p []byte) (int, error) {
	if b.hold == nil {
		return b.r.Read(p)
	}
	if b.remaining <= 0 {
		return 0, errHeadTooLong
	}
	if b.lines > maxHeadLines {
		return 0, errTooManyLines
	}
	if err := b.hold.Grow(headMemoryFactor * int64(maxHeadBytes-b.remaining)); err != nil {
		return 0, err
	}
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	b.lines += bytes.Count(p[:n], []byte("\n"))
	return n, err
}

// Call is one request and its response. Close must be called. A Call is not safe for
// concurrent use, except for Abort.
type Call struct {
	Response *http.Response
	// Reused says that an earlier request had used the connection.
	Reused bool

	id               string
	pool             *Pool
	conn             *conn
	writeDone        chan error
	stopContextWatch func() bool
	head             bufferer.Hold // for the head of the response
	bodyComplete     bool
	closed           bool
}

// SendOptions says how a request may be sent.
type SendOptions struct {
	// ID identifies the request. A request is not sent on a connection on which one with the same ID was
	// refused: if the upstream sent that refusal once more, it would pass for the response to this one.
	ID string
	// RecentOnly: a connection is reused only if it has been idle for less than recentIdleTimeout.
	RecentOnly bool
	// Until is the time on the clock of Timer after which the request is not sent; 0: none.
	Until time.Duration
	// Check is called once there is a connection, just before the request is sent. After an error, which the error
	// of Send wraps, it is not. Nil: not called.
	Check func() error
}

// Send writes a request and reads the header of the response. When ctx ends, the
// connection is closed, even while the body is read. The error wraps ErrNotSent,
// ErrConnectionLost or ErrMalformedResponse.
func (p *Pool) Send(ctx context.Context, address string, r *http.Request, o SendOptions) (*Call, error) {
	if err := checkWritable(r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c, reused, err := p.connect(ctx, address, o)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if o.Until > 0 && p.Timer.Now() > o.Until {
		_ = c.Conn.Close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, errTooLate)
	}
	if o.Check != nil {
		if err := o.Check(); err != nil {
			_ = c.Conn.Close()
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	c.used = true
	p.Prober.RecordSent()
	call := &Call{id: o.ID, pool: p, conn: c, Reused: reused, writeDone: make(chan error, 1)}
	call.stopContextWatch = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
	if err := call.write(r); err != nil {
		call.Close()
		return nil, err
	}
	if err := call.readHeader(r); err != nil {
		call.Close()
		return nil, err
	}
	return call, nil
}

// write sends the request. One with a body is written concurrently with reading the response,
// which may arrive before the whole body is sent.
func (c *Call) write(r *http.Request) error {
	if r.ContentLength == 0 || r.Body == nil {
		w := &countingWriter{w: c.conn.Conn}
		err := writeRequest(w, r)
		c.writeDone <- err
		if err != nil && w.n == 0 {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrConnectionLost, err)
		}
		return nil
	}
	go func() {
		err := errWritePanicked
		if !confiner.Call(c.pool.Log, "write", func() { err = writeRequest(c.conn.Conn, r) }) {
			c.Abort() // the upstream waits for the rest of the request
		}
		c.writeDone <- err
	}()
	return nil
}

var errWritePanicked = errors.New("pooler: writing the request panicked")

var errTooLate = errors.New("pooler: the connection was established too late")

// writeRequest writes a request whose body, if it has one, has a known length. An opaque URL is the request
// target and is written byte for byte, which Request.Write does not do.
func writeRequest(w io.Writer, r *http.Request) error {
	b := bufio.NewWriterSize(w, bufferBytes)
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, targetOf(r), cmp.Or(r.Host, r.URL.Host))
	if r.ContentLength > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(b, "Content-Length: %d\r\n", r.ContentLength)
	}
	if err := r.Header.WriteSubset(b, framingFields); err != nil {
		return err
	}
	_, _ = b.WriteString("\r\n") // Flush returns the first error
	if r.ContentLength > 0 {
		if _, err := io.CopyN(b, r.Body, r.ContentLength); err != nil {
			return err
		}
	}
	return b.Flush()
}

// targetOf returns the request target of r.
func targetOf(r *http.Request) string {
	if r.URL.Opaque != "" {
		return r.URL.Opaque
	}
	return r.URL.RequestURI()
}

// checkWritable checks what the request line and the Host field of r would hold.
func checkWritable(r *http.Request) error {
	target, host := targetOf(r), cmp.Or(r.Host, r.URL.Host)
	if !isOneWord(target) || !isOneWord(r.Method) || !isOneWord(host) {
		return fmt.Errorf("%w: method %q, target %q, host %q", errInvalidRequest, r.Method, target, host)
	}
	return nil
}

var errInvalidRequest = errors.New("pooler: the request cannot be written")

// framingFields are the header fields that writeRequest itself writes, or none may.
var framingFields = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// isOneWord reports whether s may stand in a request line: printable ASCII without spaces.
func isOneWord(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c >= 0x7f })
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

// readHeader reads response headers up to the first that is not informational (1xx). All of them
// together may have maxHeadBytes.
func (c *Call) readHeader(r *http.Request) error {
	c.head.Budget = c.pool.Buffers
	source := c.conn.source
	source.hold, source.remaining, source.lines = &c.head, maxHeadBytes, 0
	defer func() { source.hold = nil }()
	for n := 0; ; n++ {
		if n > maxInformational {
			return fmt.Errorf("%w: %w", ErrMalformedResponse, errTooManyInformational)
		}
		if _, err := c.conn.reader.Peek(1); errors.Is(err, errHeadTooLong) || errors.Is(err, errTooManyLines) || errors.Is(err, bufferer.ErrExhausted) {
			return fmt.Errorf("%w: %w", ErrMalformedResponse, err)
		} else if err != nil {
			return fmt.Errorf("%w: %w", ErrConnectionLost, err)
		}
		response, err := http.ReadResponse(c.conn.reader, r)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrMalformedResponse, err)
		}
		switch {
		case response.StatusCode >= 200:
			c.Response = response
			return nil
		case response.StatusCode == http.StatusSwitchingProtocols || response.StatusCode < 100:
			return fmt.Errorf("%w: status %d", ErrMalformedResponse, response.StatusCode)
		}
	}
}

// Read reads the body of the response. It returns io.EOF only at the end of a complete body;
// any other error wraps ErrConnectionLost. An unframed body is complete if the upstream closed
// the connection and did not reset it.
func (c *Call) Read(b []byte) (int, error) {
	n, err := c.Response.Body.Read(b)
	switch {
	case err == io.EOF:
		c.bodyComplete = true
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrConnectionLost, err)
	}
	return n, err
}

// Unframed reports whether the body of the response has neither a length nor chunks: it ends with the
// connection.
func (c *Call) Unframed() bool {
	return c.Response.ContentLength < 0 && len(c.Response.TransferEncoding) == 0 && c.Response.Body != http.NoBody
}

// OpenedAt returns a time on the clock of the Pool's Timer just before the connection was opened.
func (c *Call) OpenedAt() time.Duration { return c.conn.openedAt }

// Open reports whether the other end has not closed the connection, even if received bytes are still to be read.
// It may be called concurrently with the other methods.
func (c *Call) Open() bool {
	raw, err := c.conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		// A poll leaves an error of the connection for the next Read, unlike a peek.
		events, err := closer.Poll(fd, unix.POLLRDHUP)
		open = events == 0 && err == nil
	})
	return err == nil && open
}

// Failed reports whether the connection was reset, timed out or closed by this end. It may be called concurrently with
// the other methods.
func (c *Call) Failed() bool { return closer.Failed(c.conn.Conn) }

// Abort closes the connection, so that a Read in progress and all later ones fail. It may be called
// concurrently with the other methods.
func (c *Call) Abort() { _ = c.conn.Conn.Close() }

// RecordRefused records that the response refuses the request: no other one with its ID is sent on the
// connection.
func (c *Call) RecordRefused() { c.conn.refused = append(c.conn.refused, hashID(c.id)) }

var hashSeed = maphash.MakeSeed()

func hashID(id string) uint64 { return maphash.String(hashSeed, id) }

// Close returns the connection to the pool if the response was read to its end, nothing else
// arrived and ctx has not ended; else it closes the connection. Further calls do nothing.
func (c *Call) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.head.Release()
	contextActive := c.stopContextWatch()
	if contextActive && c.bodyComplete && c.reusable() {
		c.pool.pushIdle(c.conn, c.pool.Timer.Now())
		return
	}
	_ = c.conn.Conn.Close()
}

// reusable reports whether the connection may carry another request.
func (c *Call) reusable() bool {
	if c.Response == nil || c.Response.Close || c.conn.reader.Buffered() > 0 || len(c.conn.refused) > maxRefused {
		return false
	}
	if !c.requestWritten() {
		return false
	}
	c.conn.idleTimeout = keepAlive(c.Response.Header.Get("Keep-Alive"))
	return c.conn.idleTimeout > 0
}

// requestWritten reports whether the whole request was written. An upstream may respond before it
// has received the whole request. Even if it has, its response may be read before the writing
// goroutine reports that it is done; requestWritten waits up to writeDoneTimeout for that.
func (c *Call) requestWritten() bool {
	timedOut := make(chan struct{})
	cancel := c.pool.Timer.Once(writeDoneTimeout, func() { close(timedOut) })
	defer cancel()
	select {
	case err := <-c.writeDone:
		return err == nil
	case <-timedOut:
		return false
	}
}

// keepAlive returns how long a connection may be idle, from the upstream's Keep-Alive header:
// the timeout that it states less idleTimeoutMargin, at most maxIdleTimeout.
func keepAlive(header string) time.Duration {
	for _, parameter := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := clamper.Parse(value)
		if !strings.EqualFold(name, "timeout") || err != nil {
			continue
		}
		return min(maxIdleTimeout, timer.Seconds(seconds)-idleTimeoutMargin)
	}
	return maxIdleTimeout
}

// connect returns an idle connection that may still be used, or a new one. Reused says that a request was
// sent on it before.
func (p *Pool) connect(ctx context.Context, address string, o SendOptions) (c *conn, reused bool, err error) {
	for {
		c := p.popIdle(address, o.ID)
		if c == nil {
			break
		}
		idleTime := p.Timer.Now() - c.idleSince
		if idleTime < c.idleTimeout && (!o.RecentOnly || idleTime < recentIdleTimeout) && nothingReceived(c.Conn) {
			return c, c.used, nil
		}
		_ = c.Conn.Close()
	}
	c, err = p.dialConnected(ctx, address)
	return c, false, err
}

// dialConnected opens a connection unless the host is isolated, or becomes so meanwhile.
func (p *Pool) dialConnected(ctx context.Context, address string) (*conn, error) {
	dialCtx, cancel := p.Prober.WhileConnected(ctx)
	defer cancel()
	c, err := p.dial(dialCtx, address)
	switch {
	case err == nil:
		return c, nil
	case errors.Is(context.Cause(dialCtx), prober.ErrIsolated):
		err = fmt.Errorf("%w: %w", prober.ErrIsolated, err)
	case ctx.Err() == nil:
		p.Prober.RecordFailed()
	}
	return nil, fmt.Errorf("%w: %w", ErrNoConnection, err)
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	openedAt := p.Timer.Now()
	d := net.Dialer{Timeout: dialTimeout, Control: setSocketOptions, KeepAlive: -1}
	n, err := d.DialContext(ctx, "tcp", address)
	if errors.Is(err, unix.ECONNREFUSED) {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	} else if err != nil {
		return nil, err
	}
	if p.OnDial != nil {
		p.OnDial(address)
	}
	source := &boundedReader{r: &closer.Conn{Conn: n}, prober: p.Prober}
	return &conn{Conn: n, openedAt: openedAt, source: source, reader: bufio.NewReaderSize(source, bufferBytes), address: address}, nil
}

// Refused reports whether an address refuses connections, which means that no process listens there.
// A connection that is accepted becomes an idle one.
func (p *Pool) Refused(ctx context.Context, address string) bool {
	return errors.Is(p.Probe(ctx, address), ErrRefused)
}

// Probe opens a connection to an address, which becomes an idle one. Its error wraps ErrRefused if no
// process listens there.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	c.idleTimeout = maxIdleTimeout
	p.pushIdle(c, p.Timer.Now())
	return nil
}

// popIdle removes and returns the most recently used idle connection on which no request with this ID was
// refused; nil if there is none.
func (p *Pool) popIdle(address, id string) *conn {
	hash := hashID(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !slices.Contains(c.refused, hash) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) pushIdle(c *conn, since time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = since
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	if len(p.idle[c.address]) >= maxIdleConns {
		_ = c.Conn.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Conn.Close()
	}
}

// Prune closes the idle connections that have reached their idle timeout, and all those to
// addresses for which keepAddress returns false.
func (p *Pool) Prune(keepAddress func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Timer.Now()
	for address, list := range p.idle {
		var remaining []*conn
		for _, c := range list {
			if keepAddress(address) && now-c.idleSince < c.idleTimeout {
				remaining = append(remaining, c)
				continue
			}
			_ = c.Conn.Close()
		}
		if len(remaining) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = remaining
	}
}

// nothingReceived reports whether an idle connection is still usable: neither the end of the stream
// nor bytes, which would belong to no request, have arrived on it.
func nothingReceived(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && empty
}
