package accepter

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// pipes is a net.Listener of connections without a network.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), done: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// pipe is a connection whose peer has an address. Answers that are written without waiting are not sent.
type pipe struct {
	net.Conn
	from string
}

func (p *pipe) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(p.from), Port: 1} }

// rig is a Gate with an HTTP server behind one Listener.
type rig struct {
	t        *testing.T
	gate     *Gate
	pipes    *pipes
	listener *Listener
	clock    *timer.Service
	held     chan struct{} // closed to let the requests for /held end
	letEnd   func()        // closes it
	begun    chan string   // paths of requests that run
}

func newRig(t *testing.T, maxConns int, budget int64) *rig { return startRig(t, maxConns, budget, nil) }

func startRig(t *testing.T, maxConns int, budget int64, config *tls.Config) *rig {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	r := &rig{t: t, clock: clock, pipes: newPipes(), held: make(chan struct{}), begun: make(chan string, 100)}
	r.letEnd = sync.OnceFunc(func() { close(r.held) })
	r.gate = &Gate{MaxConns: maxConns, Budget: &bufferer.Budget{Max: budget}, Timer: clock}
	r.listener = &Listener{Listener: r.pipes, Gate: r.gate, Name: "test", TLS: config}
	s := &http.Server{MaxHeaderBytes: 32 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.begun <- q.URL.Path
		if strings.HasPrefix(q.URL.Path, "/held") {
			<-r.held
		}
		_, _ = io.Copy(io.Discard, q.Body)
	})}
	Attach(s)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve(r.listener)
	}()
	t.Cleanup(func() {
		r.letEnd()
		_ = s.Close()
		<-served
		r.advanceAll()
		r.wait("all connections returned", func() bool { return r.gate.all.open == 0 && r.gate.Budget.Used() == 0 && len(r.gate.addresses) == 0 })
		if r.gate.returning != 0 || r.gate.all.closing != 0 {
			t.Errorf("%d bytes and %d connections count as being closed", r.gate.returning, r.gate.all.closing)
		}
	})
	return r
}

// wait waits until ok is true, which is called with the lock held.
func (r *rig) wait(what string, ok func() bool) {
	r.t.Helper()
	for until := time.Now().Add(3 * time.Second); ; time.Sleep(time.Millisecond) {
		r.gate.mu.Lock()
		done := ok()
		r.gate.mu.Unlock()
		if done {
			return
		}
		if time.Now().After(until) {
			r.t.Fatalf("not seen: %s; state: %v", what, r.phases())
		}
	}
}

// phases returns the number of connections in each phase.
func (r *rig) phases() map[string]int {
	r.gate.mu.Lock()
	defer r.gate.mu.Unlock()
	all := map[string]int{}
	for p, name := range map[phase]string{fresh: "fresh", idle: "idle", reading: "reading", whole: "whole", running: "running", lingering: "lingering", closing: "closing"} {
		if n := r.gate.lists[p].n; n > 0 {
			all[name] = n
		}
	}
	return all
}

// client is the caller's end of a connection. It reads what comes.
type client struct {
	net.Conn
	statuses chan int // of responses; closed at the end of the connection
}

func (r *rig) dial(from string) *client {
	r.t.Helper()
	near, far := net.Pipe()
	c := &client{near, make(chan int, 1000)}
	r.t.Cleanup(func() { _ = near.Close() })
	r.pipes.conns <- &pipe{far, from}
	go func() {
		defer close(c.statuses)
		for in := bufio.NewReader(near); ; {
			response, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			c.statuses <- response.StatusCode
		}
	}()
	return c
}

// open dials and waits until the connection is in a phase.
func (r *rig) open(from, send string, p phase) *client {
	r.t.Helper()
	r.gate.mu.Lock()
	before := r.gate.lists[p].n
	r.gate.mu.Unlock()
	c := r.dial(from)
	_, _ = io.WriteString(c, send)
	r.wait("connection that sent "+send[:min(20, len(send))], func() bool { return r.gate.lists[p].n > before })
	return c
}

// answered waits for a response and returns its status; 0 if the connection ended.
func (c *client) answered() int { return <-c.statuses }

// isOpen reports whether the host has not closed the connection, of which all responses were taken.
func (c *client) isOpen() bool {
	select {
	case _, ok := <-c.statuses:
		return ok
	case <-time.After(20 * time.Millisecond): // long enough to see the end of most connections that have been closed
		return true
	}
}

// waitClosed waits until the host has closed the connection.
func (c *client) waitClosed(t *testing.T) {
	t.Helper()
	for {
		select {
		case _, ok := <-c.statuses:
			if !ok {
				return
			}
		case <-time.After(10 * time.Second):
			t.Fatal("the connection is still open")
		}
	}
}

const (
	get     = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	getHeld = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n"
	begun   = "GET / HTTP/1.1\r\nHost: h\r\n"
)

func address(n int) string { return fmt.Sprintf("10.0.0.%d", n) }

// TestConnectionsAreClosedInOrder guards against more connections than there are descriptors, and against room that
// is made at the cost of requests that run.
func TestConnectionsAreClosedInOrder(t *testing.T) {
	r := newRig(t, 8, 1<<20) // six at this listener, four of an address
	held := r.open(address(1), getHeld, running)
	waiting := r.open(address(2), get, idle)
	if status := waiting.answered(); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	oldHead := r.open(address(3), begun, reading)
	newHead := r.open(address(4), begun, reading)
	oldFresh := r.open(address(5), "", fresh)
	newFresh := r.open(address(6), "", fresh)
	for i, c := range []*client{oldFresh, newFresh, waiting, oldHead, newHead} {
		if !c.isOpen() {
			t.Errorf("connection %d was closed too early", i)
		}
		r.open(address(10+i), getHeld, running)
		c.waitClosed(t)
	}
	late := r.dial(address(20))
	late.waitClosed(t) // there is none to close for it
	if diff := cmp.Diff(map[string]int{"running": 6}, r.phases()); diff != "" {
		t.Errorf("phases (-want +got):\n%s", diff)
	}
	r.letEnd()
	if status := held.answered(); status != http.StatusOK {
		t.Errorf("status %d of a request that ran", status)
	}
}

// TestAddressLeavesRoomForOthers guards against one caller that takes the connections of all others.
func TestAddressLeavesRoomForOthers(t *testing.T) {
	r := newRig(t, 16, 1<<20)
	other := r.open(address(2), "", fresh)
	var crowd []*client
	for range 8 {
		crowd = append(crowd, r.open(address(1), "", fresh))
	}
	for range 20 {
		c := r.dial(address(1))
		crowd[0].waitClosed(t)
		crowd = append(crowd[1:], c)
	}
	if !other.isOpen() {
		t.Error("the connection of another address was closed")
	}
}

func fieldsOf(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// TestHeadsThatTakeLongestAreClosed guards against heads that stall and hold the memory that others need.
func TestHeadsThatTakeLongestAreClosed(t *testing.T) {
	const large = 400 // fields: more than 100 KB each
	r := newRig(t, 0, 500<<10)
	small := r.open(address(1), begun, reading) // older, but holds nothing of the budget
	var stalled []*client
	for range 20 {
		c := r.dial(address(1))
		if _, err := io.WriteString(c, begun+fieldsOf(large)); err != nil {
			t.Fatal(err)
		}
		r.wait("charge of the head", func() bool {
			x := r.gate.lists[reading].last
			return x != nil && x.fields == 2+large && x.taken >= x.charge-FreeBytes && r.gate.lists[closing].n == 0
		})
		stalled = append(stalled, c)
		if used := r.gate.Budget.Used(); used > 500<<10 {
			t.Fatalf("%d bytes held", used)
		}
	}
	open := 0
	for i, c := range stalled {
		if c.isOpen() {
			open++
		} else if i > 17 {
			t.Errorf("head %d was closed, of which there are older ones", i)
		}
	}
	if open < 2 || open > 5 {
		t.Errorf("%d heads are left", open)
	}
	if !small.isOpen() {
		t.Error("a head that holds nothing was closed")
	}
	if _, err := io.WriteString(small, "\r\n"); err != nil || small.answered() != http.StatusOK {
		t.Errorf("the small head was not served: %v", err)
	}
}

// TestWholeHeadsHoldTheirCharge guards against requests that wait with large heads and are not counted, and against
// closing them for others.
func TestWholeHeadsHoldTheirCharge(t *testing.T) {
	r := newRig(t, 0, 300<<10)
	var waiting []*client
	for range 2 {
		waiting = append(waiting, r.open(address(1), "GET /held HTTP/1.1\r\nHost: h\r\n"+fieldsOf(400)+"\r\n", running))
	}
	refused := r.dial(address(1))
	go func() { _, _ = io.WriteString(refused, begun+fieldsOf(800)) }()
	r.wait("refusal", func() bool { return r.gate.lists[lingering].n == 1 })
	if refused := r.gate.Budget.Used(); refused > 300<<10 {
		t.Errorf("%d bytes held", refused)
	}
	ordinary := r.open(address(1), get, idle)
	if status := ordinary.answered(); status != http.StatusOK {
		t.Errorf("an ordinary request got %d", status)
	}
	r.letEnd()
	for _, c := range waiting {
		if status := c.answered(); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	r.wait("returned charge", func() bool { return r.gate.Budget.Used() == 0 })
	r.advanceUntilClosed(refused)
}

// advanceUntilClosed waits until the server has closed a refused connection, and passes the time for which it lingers.
func (r *rig) advanceUntilClosed(c *client) {
	r.t.Helper()
	r.wait("end of the server", func() bool {
		x := r.gate.lists[lingering].first
		return x == nil || x.serverClosed
	})
	r.clock.Advance(lingerTime)
	r.wait("end of the connection", func() bool { return r.gate.lists[lingering].n == 0 })
	c.waitClosed(r.t)
}

// TestTooManyFields guards against a single head that takes a hundred times its bytes.
func TestTooManyFields(t *testing.T) {
	r := newRig(t, 0, 1<<30)
	c := r.dial(address(1))
	go func() { _, _ = io.WriteString(c, begun+strings.Repeat("a:\n", 2*maxFields)) }()
	r.wait("refusal", func() bool { return r.gate.lists[lingering].n == 1 })
	r.advanceUntilClosed(c)
	if len(r.begun) > 0 {
		t.Error("a refused request ran")
	}
}

// TestLingeringConnectionIsClosedFirst guards against refused connections that keep others from being accepted.
func TestLingeringConnectionIsClosedFirst(t *testing.T) {
	r := newRig(t, 2, 1<<30) // one at this listener
	c := r.dial(address(1))
	go func() { _, _ = io.WriteString(c, begun+strings.Repeat("a:\n", 2*maxFields)) }()
	r.wait("refusal", func() bool { return r.gate.lists[lingering].n == 1 })
	next := r.open(address(1), get, idle)
	if status := next.answered(); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	c.waitClosed(t)
	r.clock.Advance(lingerTime)
}

// TestPipelinedHeadIsCharged guards against fields that net/http reads together with an earlier request, and that no
// head is charged for. If it fails after an upgrade of Go, compare serverBuffer with the buffer of net/http.
func TestPipelinedHeadIsCharged(t *testing.T) {
	r := newRig(t, 0, 1<<30)
	c := r.dial(address(1))
	go func() { _, _ = io.WriteString(c, get+begun+fieldsOf(2000)) }()
	if status := c.answered(); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	r.wait("charge of all fields", func() bool {
		x := r.gate.lists[reading].first
		return x != nil && x.charge >= 2000*fieldBytes
	})
}

// TestRequestsReturnWhatTheyTook guards against a charge that is kept, or given back twice, over requests on one
// connection: with bodies, in one piece, byte by byte, and pipelined.
func TestRequestsReturnWhatTheyTook(t *testing.T) {
	post := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n" + fieldsOf(100) + "\r\n" + strings.Repeat("a\r\n", 3000)
	for name, c := range map[string]struct {
		request string
		n, cut  int
	}{
		"in one piece": {get, 50, 1 << 20}, "byte by byte": {get, 5, 1}, "bodies": {post, 10, 1 << 20}, "bodies in pieces": {post, 5, 700},
		"pipelined": {strings.Repeat(get, 100), 5, 1 << 20}, "pipelined bodies": {strings.Repeat(post, 10), 5, 5000},
		"large": {begun + fieldsOf(1000) + "\r\n", 5, 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 0, 1<<30)
			conn := r.dial(address(1))
			want := c.n * strings.Count(c.request, "HTTP/1.1")
			go func() {
				for range c.n {
					for rest := c.request; rest != ""; {
						n := min(c.cut, len(rest))
						if _, err := io.WriteString(conn, rest[:n]); err != nil {
							return
						}
						rest = rest[n:]
					}
				}
			}()
			for i := range want {
				if status := conn.answered(); status != http.StatusOK {
					t.Fatalf("request %d: status %d", i, status)
				}
				<-r.begun
			}
			r.wait("returned charge", func() bool { return r.gate.Budget.Used() == 0 && r.gate.lists[idle].n == 1 })
		})
	}
}

// TestRequestOfClosedConnectionDoesNotRun guards against a request that runs although its caller was told that it
// did not, as its head was complete in the moment in which its connection was closed.
func TestRequestOfClosedConnectionDoesNotRun(t *testing.T) {
	g := &Gate{Budget: &bufferer.Budget{Max: 1 << 20}}
	for _, p := range []phase{closing, lingering, gone} {
		c := &Conn{listener: &Listener{Gate: g}, phase: p}
		if c.begin() {
			t.Errorf("phase %d: the request runs", p)
		}
		c.setState(http.StateActive)
		c.setState(http.StateIdle)
		if c.phase != p {
			t.Errorf("phase %d became %d", p, c.phase)
		}
	}
}

// TestUntrustedPeer guards against a connection to the listener for hosts that sends without end and without the
// secret, and against closing one of a host.
func TestUntrustedPeer(t *testing.T) {
	for _, trust := range []bool{false, true} {
		p := newPipes()
		l := &Listener{Listener: p, Gate: &Gate{MaxConns: 8, Budget: &bufferer.Budget{}}, Peers: true}
		near, far := net.Pipe()
		go func() { p.conns <- &pipe{far, address(1)} }()
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				if _, err := near.Write(make([]byte, 1000)); err != nil {
					return
				}
			}
		}()
		read := 0
		for b := make([]byte, 1000); read < 4*untrustedBytes && err == nil; {
			var n int
			n, err = c.Read(b)
			read += n
			if trust {
				Trust(c.RemoteAddr())
			}
		}
		if trust && err != nil || !trust && (!errors.Is(err, ErrRefused) || read > untrustedBytes) {
			t.Errorf("trust %t: %d bytes read, error %v", trust, read, err)
		}
		_ = c.Close()
		_ = near.Close()
		if n := l.Gate.all; n != (count{}) {
			t.Errorf("%+v connections are left", n)
		}
	}
	Trust(&net.TCPAddr{}) // of another listener: ignored
}

// TestClosedListener guards against a server that does not end since its listener waits for room.
func TestClosedListener(t *testing.T) {
	p := newPipes()
	l := &Listener{Listener: p, Gate: &Gate{MaxConns: 2, Budget: &bufferer.Budget{}}}
	accept := func() net.Conn {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = near.Close() })
		go func() { p.conns <- &pipe{far, address(1)} }()
		c, _ := l.Accept()
		return c
	}
	first := accept()
	if first == nil {
		t.Fatal("not accepted")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if c := accept(); c != nil {
			t.Error("accepted by a closed listener")
		}
	}()
	for { // until it waits for the first to be closed by its server, which it never is
		l.Gate.mu.Lock()
		n := l.Gate.all.closing
		l.Gate.mu.Unlock()
		if n == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_ = l.Close()
	<-done
}

// FuzzConn guards against counts that differ from what is held, whatever callers send and however it is cut.
func FuzzConn(f *testing.F) {
	f.Add([]byte(get+get), uint16(7))
	f.Add([]byte(begun+"a:\n\n"), uint16(1))
	f.Add([]byte("\r\n\r\n"+get), uint16(3))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\nb\r\n0\r\n\r\n"+begun), uint16(5))
	f.Fuzz(func(t *testing.T, sent []byte, cut uint16) {
		r := newRig(t, 4, 64<<10)
		c := r.dial(address(1))
		for len(sent) > 0 {
			n := min(1+int(cut), len(sent))
			if _, err := c.Write(sent[:n]); err != nil {
				break
			}
			sent = sent[n:]
			r.gate.mu.Lock()
			n = 0
			for p := range r.gate.lists {
				n += r.gate.lists[p].n
			}
			if n != r.gate.all.open || r.gate.Budget.Used() > r.gate.Budget.Max {
				t.Errorf("%d connections listed, %d counted; %d bytes held", n, r.gate.all.open, r.gate.Budget.Used())
			}
			r.gate.mu.Unlock()
		}
		_ = c.Close()
		r.advanceAll()
	})
}

// advanceAll passes time until no connection is left.
func (r *rig) advanceAll() {
	for range 10_000 {
		r.clock.Advance(lingerTime)
		r.gate.mu.Lock()
		n := r.gate.all.open
		r.gate.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// instant is a connection whose reads return the same request each time.
type instant struct {
	net.Conn
	request []byte
}

func (c *instant) Read(p []byte) (int, error) { return copy(p, c.request), nil }

func (c *instant) SetReadDeadline(time.Time) error { return nil }

// BenchmarkRequest measures what the package adds to an ordinary request.
func BenchmarkRequest(b *testing.B) {
	b.ReportAllocs()
	head := []byte("POST /stream/x HTTP/1.1\r\nHost: h.example\r\n" + strings.Repeat("X-Field-Name: some value of a field\r\n", 20) + "\r\n")
	g := &Gate{MaxConns: 1000, Budget: &bufferer.Budget{Max: 1 << 20}}
	g.init()
	c := &Conn{Conn: &instant{request: head}, listener: &Listener{Gate: g}}
	for i := range 500 {
		g.admit(&Conn{Conn: c.Conn, listener: c.listener, address: netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})})
	}
	g.admit(c)
	p := bytes.Repeat([]byte{0}, serverBuffer)
	for b.Loop() {
		if _, err := c.Read(p); err != nil {
			b.Fatal(err)
		}
		c.setState(http.StateActive)
		c.begin()
		c.setState(http.StateIdle)
		_ = c.SetReadDeadline(time.Time{})
	}
}
