package accepter

import (
	"bytes"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// ErrRefused is returned by reads of a connection that was closed to keep within bounds.
var ErrRefused = errors.New("accepter: connection closed to keep within bounds")

// refusal is ErrRefused as net/http takes it for an error of the connection, to which it writes no response.
var refusal = &net.OpError{Op: "read", Err: ErrRefused}

// phase is what a connection does.
type phase int

const (
	gone      phase = iota // not accepted yet, or closed
	fresh                  // has sent nothing
	idle                   // has sent nothing since its last response
	reading                // part of a head has come
	whole                  // the head has ended; a handler, or an error of the server, follows
	running                // a handler runs
	trusted                // the other host has shown the secret
	hijacked               // the handler has taken the connection
	lingering              // refused, and closed in a while
	closing                // closed; its server has not noticed yet
	numPhases
)

const (
	// serverBuffer is the size of the buffer through which net/http reads a connection.
	serverBuffer = 4 << 10
	// Number of buffered bytes that count as none: at most a byte that net/http reads while a handler runs.
	minBuffered = 16
	// answerTimeout is the time that the answer to a refused head may take with TLS. What the head holds is not
	// returned before.
	answerTimeout = 100 * time.Millisecond
	// untrustedBytes is what a host may send until it has shown the secret: the preface, settings and the head
	// of the first call, of which the server reads 32 KB at a time.
	untrustedBytes = 64 << 10
)

// Conn is a connection that a Listener has accepted.
type Conn struct {
	net.Conn
	listener *Listener
	address  netip.Addr
	secured  *handshakeConn // below TLS; nil without TLS
	givenUp  atomic.Bool    // closed, or will be: the server may write no more

	// Guarded by Gate.mu.
	phase          phase
	previous, next *Conn  // in the list of the phase
	fields         int    // lines of the head
	charge         int64  // for the head
	taken          int64  // of charge, from the Budget
	untrusted      int    // bytes read before the secret was shown
	unsent         string // answer to be written through TLS once Gate.mu is released
	serverClosed   bool   // the server has closed the connection
	deadlines      int    // read deadlines set since the last response
	// Bytes and lines of the last reads, at least serverBuffer bytes together: what may be left in the server's buffer.
	last, before tally
}

// tally is what was read.
type tally struct{ bytes, lines int }

func (t tally) charge() int64 { return int64(t.bytes*byteCharge + t.lines*fieldBytes) }

// Read reads what the peer sends, and charges it to the head if one is read.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.beginRead(len(p)) {
		return 0, refusal // net/http may read again after an error
	}
	if err := c.handshake(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.secured != nil {
		c.secured.read = 0
	}
	if n > 0 && !c.account(p[:n]) {
		c.sendUnsent()
		return 0, refusal
	}
	return n, err
}

// handshake does the handshake of TLS before the first read. The read deadline applies to it.
func (c *Conn) handshake() error {
	t, ok := c.Conn.(*tls.Conn)
	if !ok || c.secured == nil || c.secured.ended {
		return nil
	}
	err := t.Handshake()
	if c.secured.ended = err == nil; c.secured.ended {
		c.secured.read = 0
	}
	return err
}

// sendUnsent writes the answer of a refused connection with TLS, which may wait for the caller.
func (c *Conn) sendUnsent() {
	g := c.listener.Gate
	g.mu.Lock()
	answer := c.unsent
	c.unsent = ""
	g.mu.Unlock()
	if answer != "" && c.Conn.SetWriteDeadline(time.Now().Add(answerTimeout)) == nil {
		_, _ = io.WriteString(c.Conn, answer) // a caller that does not read gets no answer
	}
}

// Write writes what the server sends. It fails once the connection is refused: its caller has the answer.
func (c *Conn) Write(p []byte) (int, error) {
	if c.givenUp.Load() {
		return 0, ErrRefused
	}
	return c.Conn.Write(p)
}

// beginRead reports whether the connection may be read. It discards the counts of earlier heads once the server waits for the next
// one with an empty buffer.
func (c *Conn) beginRead(room int) bool {
	g := c.listener.Gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.isClosed() {
		return false
	}
	if c.listener.Peers || room < serverBuffer-minBuffered {
		return true
	}
	c.last, c.before = tally{}, tally{}
	if c.awaitsRequest() {
		c.charge = 0
		g.refund(c)
	}
	return true
}

// SetReadDeadline sets the deadline of reads. net/http sets one after a response, then waits for the next request,
// then sets one for its head: a read in between shows that its buffer holds nothing of that head. While the listener
// is drained, the connection does not wait for a request.
func (c *Conn) SetReadDeadline(t time.Time) error {
	g := c.listener.Gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase == idle {
		c.deadlines++
	}
	if c.awaitsRequest() && c.listener.draining {
		t = expired
	}
	return c.Conn.SetReadDeadline(t)
}

// awaitsRequest reports whether the server waits for a request of which it has read nothing, after the first one. The
// caller holds Gate.mu.
func (c *Conn) awaitsRequest() bool { return c.phase == idle && c.deadlines == 1 }

// isClosed reports whether the connection is closed, or will be. The caller holds Gate.mu.
func (c *Conn) isClosed() bool { return c.phase == closing || c.phase == lingering || c.phase == gone }

// account counts bytes that were read. It returns false if the connection is closed.
func (c *Conn) account(p []byte) bool {
	g := c.listener.Gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.listener.Peers {
		return c.accountPeer(len(p))
	}
	read := tally{len(p), bytes.Count(p, []byte{'\n'})}
	if c.last.bytes >= serverBuffer {
		c.before, c.last = c.last, tally{}
	}
	c.last.bytes += read.bytes
	c.last.lines += read.lines
	switch c.phase {
	case closing, lingering, gone:
		return false
	case fresh, idle:
		g.enter(c, reading)
	case reading:
	default:
		return true // of a body, or of a head that is read after the response
	}
	c.fields += read.lines
	c.charge += read.charge()
	if c.fields > maxFields {
		c.refuse(answerTooLarge, reasonFields)
		return false
	}
	if missing := c.charge - FreeBytes - c.taken; missing > 0 && !g.take(c, missing) {
		if c.phase == reading {
			c.refuse(answerNoRoom, reasonMemory)
		}
		return false
	}
	return true
}

func (c *Conn) accountPeer(n int) bool {
	switch c.phase {
	case trusted:
		return true
	case fresh:
		c.listener.Gate.enter(c, reading)
	case reading:
	default:
		return false
	}
	if c.untrusted += n; c.untrusted <= untrustedBytes {
		return true
	}
	c.listener.Gate.beginClosing(c, reasonUntrusted)
	_ = c.wire().Close()
	return false
}

// refuse answers a head that is being read, and makes the connection end soon. The caller holds Gate.mu.
func (c *Conn) refuse(answer, reason string) {
	g := c.listener.Gate
	g.giveUp(c, reason)
	g.enter(c, lingering)
	if c.secured != nil {
		c.unsent = answer
		return
	}
	c.writeAnswer(answer)
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
}

// Close closes the connection. One that was refused stays open for lingerTime, but holds no memory any more.
func (c *Conn) Close() error {
	if c.beginLinger() {
		return nil
	}
	err := c.Conn.Close() // TLS may wait for the caller here
	c.listener.Gate.mu.Lock()
	defer c.listener.Gate.mu.Unlock()
	c.listener.Gate.release(c)
	return err
}

// beginLinger reports whether the connection stays open for lingerTime, as its server closes it after a refusal.
func (c *Conn) beginLinger() bool {
	g := c.listener.Gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase != lingering || g.Timer == nil {
		return false
	}
	if !c.serverClosed {
		c.serverClosed = true
		g.refund(c)
		g.Timer.Once(lingerTime, c.endLinger)
	}
	return true
}

func (c *Conn) endLinger() {
	c.listener.Gate.mu.Lock()
	defer c.listener.Gate.mu.Unlock()
	_ = c.wire().Close()
	c.listener.Gate.release(c)
}

// wire returns the connection below TLS. The Gate closes that: to close TLS may wait for the caller.
func (c *Conn) wire() net.Conn {
	if c.secured != nil {
		return c.secured.Conn
	}
	return c.Conn
}

// setState follows the state that net/http gives the connection.
func (c *Conn) setState(state http.ConnState) {
	g := c.listener.Gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.isClosed() {
		return
	}
	switch state {
	case http.StateActive:
		g.enter(c, whole)
	case http.StateIdle:
		c.fields, c.deadlines = 0, 0
		// The server's buffer may hold a part of the next head.
		if left := (tally{c.last.bytes + c.before.bytes, c.last.lines + c.before.lines}).charge(); left < c.charge {
			c.charge = left
			if excess := c.taken - max(0, left-FreeBytes); excess > 0 {
				c.taken -= excess
				g.Budget.Return(excess)
				g.changed.Broadcast()
			}
		}
		g.enter(c, idle)
	case http.StateHijacked:
		g.refund(c)
		g.enter(c, hijacked)
	case http.StateNew, http.StateClosed:
	}
}

// begin reports whether the request whose head is complete may run. If it may, the connection is not closed for
// others until the response is written.
func (c *Conn) begin() bool {
	g := c.listener.Gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.isClosed() {
		return false
	}
	g.enter(c, running) // net/http reports no state for a head that it had read with the one before
	return true
}

// isLast reports whether the connection ends after the request that runs.
func (c *Conn) isLast() bool {
	c.listener.Gate.mu.Lock()
	defer c.listener.Gate.mu.Unlock()
	return c.listener.draining
}

// CloseWrite closes the connection for writing, where it is one that can be.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets what happens to unsent data when a TCP connection is closed.
func (c *Conn) SetLinger(seconds int) error {
	if t, ok := c.wire().(*net.TCPConn); ok {
		return t.SetLinger(seconds)
	}
	return nil
}

// RemoteAddr returns the peer's address, by which Trust finds the connection.
func (c *Conn) RemoteAddr() net.Addr {
	if !c.listener.Peers {
		return c.Conn.RemoteAddr()
	}
	return peerAddr{c.Conn.RemoteAddr(), c}
}

// peerAddr is the address of another host's connection.
type peerAddr struct {
	net.Addr
	conn *Conn
}

// Trust tells that the peer with an address that RemoteAddr returned has shown the secret of the system. Its
// connection is not closed for others any more, and what it may send is not bounded. Other addresses are ignored.
func Trust(a net.Addr) {
	p, ok := a.(peerAddr)
	if !ok {
		return
	}
	g := p.conn.listener.Gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.conn.phase == reading {
		g.enter(p.conn, trusted)
	}
}

var (
	answerTooLarge = answer("431 Request Header Fields Too Large", "", "the request has too many header fields")
	answerNoRoom   = answer("503 Service Unavailable", "Retry-After: 1\r\n", "there is no room for the request; it has not run")
)

// answer returns a response after which the connection is closed.
func answer(status, fields, text string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain; charset=utf-8\r\n" + fields + "Connection: close\r\nContent-Length: " +
		strconv.Itoa(len(text)+1) + "\r\n\r\n" + text + "\n"
}

// writeAnswer writes an answer if that is possible without waiting, which it is not with TLS.
func (c *Conn) writeAnswer(answer string) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Write(func(fd uintptr) bool {
		_, _ = syscall.Write(int(fd), []byte(answer)) // a caller that does not read gets no answer
		return true
	})
}
