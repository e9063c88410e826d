package forwarder

import (
	"slices"
	"sync"
	"time"
)

// deadlineSamples is the number of requests of a route whose deadlines are kept.
const deadlineSamples = 31

// deadlineHistory estimates how long callers of each route wait in all, from their first
// attempt: the median of the times to the deadline that they state. A caller that retries
// states the time that remains; a few callers wait longer than others.
type deadlineHistory struct {
	mu     sync.Mutex
	routes map[string]*samples // guarded by mu
}

// samples is a ring of the times to the deadline that were stated last. n counts all that
// were ever added.
type samples struct {
	ring [deadlineSamples]time.Duration
	n    int
}

// elapsed records the time that remains to a caller's deadline, and estimates how long ago the
// caller made its first attempt; 0 if this seems to be the first.
func (h *deadlineHistory) elapsed(route string, remaining time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.routes == nil {
		h.routes = map[string]*samples{}
	}
	x := h.routes[route]
	if x == nil {
		x = &samples{}
		h.routes[route] = x
	}
	x.ring[x.n%deadlineSamples] = remaining
	x.n++
	known := slices.Clone(x.ring[:min(x.n, deadlineSamples)])
	slices.Sort(known)
	return max(0, known[len(known)/2]-remaining)
}
