// Package registrar keeps the upstreams that announced themselves in this region, each
// under a lease. It decides which announcement is newest; it does not choose upstreams.
package registrar

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	defaultLease = 3 * time.Second
	longestLease = 10 * time.Second
)

// Upstream is one upstream as last announced. It is immutable.
type Upstream struct {
	*schema.Announcement
	// Heard is when the announcement arrived, by the timer's clock.
	Heard time.Duration
	// Until is when its lease ends.
	Until time.Duration
}

// Registrar holds the upstreams. Set the exported fields before use.
type Registrar struct {
	Timer *timer.Service
	// Changed is called with no lock held after an announcement was taken.
	Changed func()

	mu        sync.Mutex
	upstreams map[string]*Upstream // by name; guarded by mu
}

// Take stores an announcement. It reports whether it was news.
func (r *Registrar) Take(a *schema.Announcement) bool {
	lease := time.Duration(a.Lease * float64(time.Second))
	if lease <= 0 || lease > longestLease {
		lease = defaultLease
	}
	now := r.Timer.Now()
	if !r.store(&Upstream{Announcement: a, Heard: now, Until: now + lease}) {
		return false
	}
	if r.Changed != nil {
		r.Changed()
	}
	return true
}

func (r *Registrar) store(u *Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.upstreams == nil {
		r.upstreams = map[string]*Upstream{}
	}
	old := r.upstreams[u.Name]
	if old != nil && !newer(u.Announcement, old.Announcement) {
		return false
	}
	r.upstreams[u.Name] = u
	return true
}

func newer(a, b *schema.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Number > b.Number
}

// Live returns the upstreams that may get new work, sorted by name. Expired leases are
// forgotten.
func (r *Registrar) Live() []*Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	var live []*Upstream
	for _, name := range slices.Sorted(maps.Keys(r.upstreams)) {
		u := r.upstreams[name]
		switch {
		case now > u.Until+longestLease:
			delete(r.upstreams, name)
		case now <= u.Until && !u.Leaving:
			live = append(live, u)
		}
	}
	return live
}
