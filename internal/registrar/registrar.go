// Package registrar keeps the newest announcement of each upstream of this region, each
// under a lease. It does not choose among upstreams.
package registrar

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// An announcement that asks for no lease, or for more than maxLease, gets defaultLease.
const (
	defaultLease = 3 * time.Second
	maxLease     = 10 * time.Second
)

// Upstream is an upstream as last announced. It is immutable. Its times are on the clock of
// Registrar.Timer.
type Upstream struct {
	*schema.Announcement
	// ReceivedAt is when this host received the announcement.
	ReceivedAt time.Duration
	// LeaseUntil is when the lease ends.
	LeaseUntil time.Duration
}

// Registrar holds the upstreams of a region. Set the exported fields before use. It is safe
// for concurrent use.
type Registrar struct {
	Timer *timer.Service
	// OnChange, if not nil, is called after an announcement was stored, with no lock held.
	OnChange func()

	mu        sync.Mutex
	upstreams map[string]*Upstream // by name; guarded by mu
}

// Register stores an announcement and begins its lease. It reports whether the announcement was
// newer than the one stored for the upstream, by incarnation and then by number; one that is
// not is ignored.
func (r *Registrar) Register(a *schema.Announcement) bool {
	lease := timer.Seconds(a.Lease)
	if lease <= 0 || lease > maxLease {
		lease = defaultLease
	}
	now := r.Timer.Now()
	if !r.store(&Upstream{Announcement: a, ReceivedAt: now, LeaseUntil: now + lease}) {
		return false
	}
	if r.OnChange != nil {
		r.OnChange()
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

// Live returns the upstreams whose lease is valid and that are not leaving, sorted by name.
// It deletes those whose lease ended more than maxLease ago.
func (r *Registrar) Live() []*Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	var live []*Upstream
	for _, name := range slices.Sorted(maps.Keys(r.upstreams)) {
		u := r.upstreams[name]
		switch {
		case now > u.LeaseUntil+maxLease:
			delete(r.upstreams, name)
		case now <= u.LeaseUntil && !u.Leaving:
			live = append(live, u)
		}
	}
	return live
}
