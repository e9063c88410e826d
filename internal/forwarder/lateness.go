package forwarder

import (
	"sync"
	"time"
)

// Time after which the longest time limit of a route's callers is learned anew.
const limitMemory = time.Minute

// limits learns how long callers of each route wait from their first attempt on: the
// longest time limit that they state. A caller that comes back states what is left of it.
type limits struct {
	mu     sync.Mutex
	routes map[string]*longest // guarded by mu
}

// longest is the maximum of the present and of the last period.
type longest struct {
	now, before time.Duration
	since       time.Duration
}

// elapsed returns how long ago a caller that states a time limit first asked, as far as
// that can be told.
func (l *limits) elapsed(route string, left, now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.routes == nil {
		l.routes = map[string]*longest{}
	}
	x := l.routes[route]
	if x == nil {
		x = &longest{since: now}
		l.routes[route] = x
	}
	if now-x.since > limitMemory {
		x.before, x.now, x.since = x.now, 0, now
	}
	x.now = max(x.now, left)
	return max(x.now, x.before) - left
}
