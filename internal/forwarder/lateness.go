package forwarder

import (
	"slices"
	"sync"
	"time"
)

// Requests of a route whose stated time limits are remembered.
const limitSamples = 31

// limits learns how long callers of each route wait from their first attempt on: the
// median of the time limits that they state. A caller that comes back states what is left
// of it; a few wait longer than others.
type limits struct {
	mu     sync.Mutex
	routes map[string]*samples // guarded by mu
}

// samples are the newest stated time limits, in a ring.
type samples struct {
	ring [limitSamples]time.Duration
	n    int
}

// elapsed returns how long ago a caller that states a time limit first asked, as far as
// that can be told.
func (l *limits) elapsed(route string, left time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.routes == nil {
		l.routes = map[string]*samples{}
	}
	x := l.routes[route]
	if x == nil {
		x = &samples{}
		l.routes[route] = x
	}
	x.ring[x.n%limitSamples] = left
	x.n++
	known := slices.Clone(x.ring[:min(x.n, limitSamples)])
	slices.Sort(known)
	return max(0, known[len(known)/2]-left)
}
