// Package disrupter is a TCP proxy that injects faults, for tests: it drops the data of open
// connections while they stay open, in one direction or both, or closes connections.
package disrupter

import (
	"net"
	"sync"
	"sync/atomic"
)

const bufferBytes = 32 << 10

// Direction says which way data passes through a Proxy.
type Direction int

// Directions of data, seen from the client that connected to the proxy.
const (
	BothDirections Direction = iota
	// ToTarget is from the client to the target.
	ToTarget
	// FromTarget is from the target to the client.
	FromTarget
)

// Proxy forwards the connections to one listening address. Set TargetAddress, then call Listen.
type Proxy struct {
	// TargetAddress is the target: the address to which connections are forwarded.
	TargetAddress string

	listener net.Listener
	mu       sync.Mutex
	pairs    map[*connPair]bool // guarded by mu
	refusing bool               // guarded by mu
}

// connPair is one forwarded connection: the client's (from) and the one to the target (to).
type connPair struct {
	from, to                     net.Conn
	dropToTarget, dropFromTarget atomic.Bool // whether data in the direction is dropped
}

// Listen begins to forward connections from an address and returns the address on which it
// listens, with the port that was chosen if the given one is 0.
func (r *Proxy) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	r.listener = l
	r.pairs = map[*connPair]bool{}
	go r.accept()
	return l.Addr().String(), nil
}

func (r *Proxy) accept() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		refusing := r.refusing
		r.mu.Unlock()
		to, err := net.Dial("tcp", r.TargetAddress)
		if err != nil || refusing {
			_ = from.Close()
			continue
		}
		p := &connPair{from: from, to: to}
		r.mu.Lock()
		r.pairs[p] = true
		r.mu.Unlock()
		go r.copyOneWay(p, from, to, &p.dropToTarget)
		go r.copyOneWay(p, to, from, &p.dropFromTarget)
	}
}

// copyOneWay copies data in one direction. Dropped data is still read, so that the sender does
// not notice.
func (r *Proxy) copyOneWay(p *connPair, from, to net.Conn, drop *atomic.Bool) {
	b := make([]byte, bufferBytes)
	for {
		n, err := from.Read(b)
		if n > 0 && !drop.Load() {
			if _, err := to.Write(b[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if drop.Load() {
				return // the receiver must not see the connection close either
			}
			break
		}
	}
	_, _ = p.from.Close(), p.to.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// DropData drops all further data of the open connections in a direction and returns the number
// of these connections. New connections are not affected.
func (r *Proxy) DropData(d Direction) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.dropToTarget.Store(p.dropToTarget.Load() || d != FromTarget)
		p.dropFromTarget.Store(p.dropFromTarget.Load() || d != ToTarget)
	}
	return len(r.pairs)
}

// Disconnect closes every connection and rejects new ones until AllowConnections is called.
func (r *Proxy) Disconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = true
	for p := range r.pairs {
		_, _ = p.from.Close(), p.to.Close()
	}
}

// AllowConnections lets the proxy accept new connections again after Disconnect.
func (r *Proxy) AllowConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = false
}

// Close stops listening and closes every connection.
func (r *Proxy) Close() {
	_ = r.listener.Close()
	r.Disconnect()
}
