// Package relayer passes TCP connections on to an address and can spoil them, for tests: it
// drops what open connections carry while they stay open, one way or both, or closes them.
package relayer

import (
	"net"
	"sync"
	"sync/atomic"
)

const bufferBytes = 32 << 10

// Direction is a way through a relay.
type Direction int

// The directions.
const (
	Both Direction = iota
	// Towards the address that the relay passes connections on to.
	Forward
	// Back from it.
	Back
)

// Relay is one listening address. Set To, then call Listen.
type Relay struct {
	// To is the address that connections are passed on to.
	To string

	listener net.Listener
	mu       sync.Mutex
	links    map[*link]bool // guarded by mu
	refuse   bool           // guarded by mu
}

// link is one connection through the relay.
type link struct {
	from, to      net.Conn
	forward, back atomic.Bool // what is dropped
}

// Listen begins to pass connections on and returns the relay's own address.
func (r *Relay) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	r.listener = l
	r.links = map[*link]bool{}
	go r.accept()
	return l.Addr().String(), nil
}

func (r *Relay) accept() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		refuse := r.refuse
		r.mu.Unlock()
		to, err := net.Dial("tcp", r.To)
		if err != nil || refuse {
			_ = from.Close()
			continue
		}
		x := &link{from: from, to: to}
		r.mu.Lock()
		r.links[x] = true
		r.mu.Unlock()
		go r.carry(x, from, to, &x.forward)
		go r.carry(x, to, from, &x.back)
	}
}

// carry copies one way. What is dropped is read all the same, so that the sender notices
// nothing.
func (r *Relay) carry(x *link, from, to net.Conn, dropped *atomic.Bool) {
	b := make([]byte, bufferBytes)
	for {
		n, err := from.Read(b)
		if n > 0 && !dropped.Load() {
			if _, err := to.Write(b[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if dropped.Load() {
				return // the other end must not notice either
			}
			break
		}
	}
	_, _ = x.from.Close(), x.to.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, x)
}

// Silence drops from now on what the open connections carry. New ones work. It returns how
// many connections fell silent.
func (r *Relay) Silence(d Direction) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for x := range r.links {
		x.forward.Store(x.forward.Load() || d != Back)
		x.back.Store(x.back.Load() || d != Forward)
	}
	return len(r.links)
}

// Cut closes every connection and refuses new ones until Heal.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = true
	for x := range r.links {
		_, _ = x.from.Close(), x.to.Close()
	}
}

// Heal lets new connections through again.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = false
}

// Close stops listening and closes every connection.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Cut()
}
