package accepter

import (
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// FreeBytes is the charge that each connection may hold outside the Budget: an ordinary head of 20 fields and
	// 1 KB is charged 7 KB.
	FreeBytes = 8 << 10
	// ConnBytes is the memory of one connection whose head is not complete: two buffers of net/http, the stack
	// of its goroutine, and FreeBytes.
	ConnBytes = 24 << 10
	// fieldBytes is the charge for a line of a head, beyond its bytes. net/http keeps 90 bytes of a field without
	// a value (entry of the map, slice and strings); handlers copy fields for the upstream.
	fieldBytes = 256
	// byteCharge is the charge for a byte of a head: net/http keeps two of a long field.
	byteCharge = 2
	// maxFields is the number of lines that one head may have. One of 16,384 bytes, the limit that callers may use,
	// has 5,461 if each is three bytes long.
	maxFields = 6000
	// A listener may hold three quarters of the connections, and an address the half, so that others can be reached.
	listenerShare = 0.75
	addressShare  = 0.5
	// lingerTime is the time for which a connection stays open after a refusal, as in net/http, so that its caller
	// reads the refusal before it learns that what it sends is not read.
	lingerTime = 500 * time.Millisecond
	// logInterval is the time between two lines that say that connections are closed.
	logInterval = 10 * time.Second
)

// Reasons for which connections are closed or not accepted.
const (
	reasonConnections = "connections" // room for another connection was needed
	reasonMemory      = "memory"      // room for another head was needed
	reasonFields      = "fields"      // the head has too many fields
	reasonUntrusted   = "untrusted"   // too many bytes without the secret
	reasonRefused     = "refused"     // there was no connection to close for this one
)

// Gate bounds the connections of all listeners of a process. Set the exported fields before use. MaxConns of 0 means
// that their number is not bounded.
type Gate struct {
	MaxConns int
	// Budget bounds what heads hold beyond FreeBytes each.
	Budget *bufferer.Budget
	// Timer is the source of time; nil: refused connections are closed at once and nothing is logged.
	Timer *timer.Service
	Log   zerolog.Logger

	initOnce sync.Once
	open     *prometheus.GaugeVec
	closed   *prometheus.CounterVec

	// mu guards the fields below, and those of listeners and connections that say so. No other lock is taken while
	// it is held, other than those of Timer and Budget.
	mu        sync.Mutex
	changed   *sync.Cond // signals that a connection was closed
	lists     [numPhases]list
	all       count
	addresses map[netip.Addr]*count
	returning int64         // charge of connections that are being closed
	loggedAt  time.Duration // time of the last line
	unlogged  int           // connections closed since
}

// count is a number of connections, and how many of them are being closed.
type count struct{ open, closing int }

func (g *Gate) init() {
	g.initOnce.Do(func() {
		g.changed = sync.NewCond(&g.mu)
		g.addresses = map[netip.Addr]*count{}
		g.loggedAt = -logInterval
		g.open = prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "trefoil_connections", Help: "Connections that a listener holds.",
		}, []string{"listener"})
		g.closed = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trefoil_connections_closed_total", Help: "Connections closed or not accepted to keep within bounds, by reason.",
		}, []string{"reason"})
	})
}

// Collectors returns the metrics.
func (g *Gate) Collectors() []prometheus.Collector {
	g.init()
	return []prometheus.Collector{g.open, g.closed, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "trefoil_head_bytes", Help: "Memory that heads of requests are charged beyond the part that each connection has free.",
	}, func() float64 { return float64(g.Budget.Used()) })}
}

// share returns a part of MaxConns, at least one.
func (g *Gate) share(part float64) int { return max(1, int(float64(g.MaxConns)*part)) }

// admit makes room for a connection and counts it. It returns false if there is none to close for it, or the listener
// was closed meanwhile. It waits until closed connections have returned what they held.
func (g *Gate) admit(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := c.listener
	full := func(n count, most int) (now, soon bool) { return n.open >= most, n.open-n.closing >= most }
	for g.MaxConns > 0 && !l.closed {
		allNow, allSoon := full(g.all, g.MaxConns)
		listenerNow, listenerSoon := full(l.count, g.share(listenerShare))
		addressNow, addressSoon := false, false
		if a := g.addresses[c.address]; a != nil && !l.Peers { // hosts are known by their secret, and may share an address
			addressNow, addressSoon = full(*a, g.share(addressShare))
		}
		if allSoon || listenerSoon || addressSoon {
			v := g.victim(func(v *Conn) bool {
				return (!listenerSoon || v.listener == l) && (!addressSoon || v.address == c.address && !v.listener.Peers)
			})
			if v == nil {
				g.recordClosed(l, reasonRefused)
				return false
			}
			g.evict(v, reasonConnections)
			continue
		}
		if !allNow && !listenerNow && !addressNow {
			break
		}
		g.changed.Wait()
	}
	if l.closed {
		return false
	}
	g.all.open++
	l.count.open++
	if !l.Peers {
		if g.addresses[c.address] == nil {
			g.addresses[c.address] = &count{}
		}
		g.addresses[c.address].open++
	}
	g.open.WithLabelValues(l.Name).Inc()
	g.enter(c, fresh)
	return true
}

// victim returns the connection to close first of those for which ok is true; nil: none.
func (g *Gate) victim(ok func(*Conn) bool) *Conn {
	for _, p := range [...]phase{lingering, fresh, idle, reading, whole} {
		for v := g.lists[p].first; v != nil; v = v.next {
			if ok(v) {
				return v
			}
		}
	}
	return nil
}

// take takes n from the Budget for the head of c. Where it is exhausted, it closes the connections whose heads have
// taken longest and waits until they have returned what they hold. It returns false if c itself has to be closed.
func (g *Gate) take(c *Conn, n int64) bool {
	for !g.Budget.Take(n) {
		var v *Conn
		if g.returning < n {
			for v = g.lists[reading].first; v != nil && v != c && v.taken == 0; v = v.next {
			}
			if v == c || v == nil && g.returning == 0 {
				return false
			}
		}
		if v != nil {
			g.evict(v, reasonMemory)
			continue
		}
		g.changed.Wait()
		if c.phase != reading {
			return false // closed meanwhile
		}
	}
	c.taken += n
	return true
}

// evict closes a connection of which no handler has read anything. What it holds is returned once its server has
// closed it too.
func (g *Gate) evict(c *Conn, reason string) {
	wasReading := c.phase == reading
	g.beginClosing(c, reason)
	if wasReading && !c.listener.Peers {
		c.writeAnswer(answerNoRoom)
	}
	_ = c.wire().Close()
	if c.serverClosed {
		g.release(c) // its server did so before; it lingered
	}
}

// beginClosing counts a connection as being closed.
func (g *Gate) beginClosing(c *Conn, reason string) {
	if c.phase != lingering {
		g.giveUp(c, reason)
	}
	g.all.closing++
	c.listener.count.closing++
	if !c.listener.Peers {
		g.addresses[c.address].closing++
	}
	g.enter(c, closing)
}

// giveUp counts what a connection has taken as being returned.
func (g *Gate) giveUp(c *Conn, reason string) {
	c.givenUp.Store(true)
	g.recordClosed(c.listener, reason)
	g.returning += c.taken
	g.changed.Broadcast() // it may be waiting for room itself
}

// release gives up all that a connection holds.
func (g *Gate) release(c *Conn) {
	if c.phase == gone {
		return
	}
	part := count{open: 1}
	if c.phase == closing {
		part.closing = 1
	}
	g.refund(c)
	g.subtract(&g.all, part)
	g.subtract(&c.listener.count, part)
	if !c.listener.Peers {
		a := g.addresses[c.address]
		g.subtract(a, part)
		if a.open == 0 {
			delete(g.addresses, c.address)
		}
	}
	g.open.WithLabelValues(c.listener.Name).Dec()
	g.enter(c, gone)
	g.changed.Broadcast()
}

// refund returns what a connection has taken from the Budget.
func (g *Gate) refund(c *Conn) {
	if c.taken == 0 {
		return
	}
	if c.phase == closing || c.phase == lingering {
		g.returning -= c.taken
	}
	g.Budget.Return(c.taken)
	c.taken = 0
	g.changed.Broadcast()
}

func (g *Gate) subtract(n *count, part count) {
	n.open -= part.open
	n.closing -= part.closing
}

// recordClosed counts a connection that is closed, and logs that with the state of the Gate once in logInterval.
func (g *Gate) recordClosed(l *Listener, reason string) {
	g.closed.WithLabelValues(reason).Inc()
	g.unlogged++
	if g.Timer == nil || g.Timer.Now()-g.loggedAt < logInterval {
		return
	}
	g.loggedAt = g.Timer.Now()
	g.Log.Warn().Str("listener", l.Name).Str("reason", reason).Int("closed", g.unlogged).Int("connections", g.all.open).Int("max", g.MaxConns).
		Int("fresh", g.lists[fresh].n).Int("idle", g.lists[idle].n).Int("reading", g.lists[reading].n).Int64("held", g.Budget.Used()).
		Msg("connections closed to keep within bounds")
	g.unlogged = 0
}

// enter moves a connection to the end of the list of a phase.
func (g *Gate) enter(c *Conn, p phase) {
	g.lists[c.phase].remove(c)
	c.phase = p
	if p != gone {
		g.lists[p].add(c)
	}
}

// list is a doubly linked list of connections, in the order in which they came to it.
type list struct {
	first, last *Conn
	n           int
}

func (l *list) add(c *Conn) {
	c.previous, c.next = l.last, nil
	if l.last == nil {
		l.first = c
	} else {
		l.last.next = c
	}
	l.last = c
	l.n++
}

// remove removes a connection if it is in the list.
func (l *list) remove(c *Conn) {
	if l.first != c && c.previous == nil {
		return
	}
	if c.previous == nil {
		l.first = c.next
	} else {
		c.previous.next = c.next
	}
	if c.next == nil {
		l.last = c.previous
	} else {
		c.next.previous = c.previous
	}
	c.previous, c.next = nil, nil
	l.n--
}
