package cataloger

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// DoubtTime is the time, after the connections of a host to an upstream broke, within which another
	// process may serve under its name that has not been announced. It is longer than any delay of a
	// first report.
	DoubtTime = 10 * time.Second
	// Time after a break within which another one changes nothing.
	breakagePause = time.Second
	// Time for which a breakage that an entry host reported is forwarded to the leader.
	breakageForwardTime = 2 * time.Second
)

// StoreBreakage stores that the connections of a host to an upstream broke, unless the report is of another
// process. It reports whether hosts need to know.
func (t *Table) StoreBreakage(b *schema.Breakage) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[b.Upstream]
	if u == nil || u.report.Incarnation != b.Incarnation {
		return false
	}
	u.breakageAt = t.Timer.Now()
	return t.storeBroken(u, &b.Age)
}

// storeBroken stores the time since the connections of a host to an upstream broke, in seconds; nil: they
// are not known to have. It reports whether hosts need to know. The caller holds mu.
func (t *Table) storeBroken(u *upstream, age *float64) bool {
	if age == nil || !(*age >= 0 && *age < DoubtTime.Seconds()) || u.report.Gone {
		return false
	}
	at := t.Timer.Now() - timer.Seconds(*age)
	if u.broken && at-u.brokenAt < breakagePause {
		return false
	}
	t.revision++
	u.broken, u.brokenAt, u.revision = true, at, t.revision
	return true
}

// doubtful reports whether another process may serve under the name of an upstream.
func (u *upstream) doubtful(now time.Duration) bool {
	return u.broken && (now-u.brokenAt < DoubtTime || u.report.Silent)
}

// BrokenAt returns the times, on Timer's clock, at which the connections of a host to upstreams broke last,
// by name.
func (t *Table) BrokenAt() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := map[string]time.Duration{}
	for name, u := range t.upstreams {
		if u.broken {
			all[name] = u.brokenAt
		}
	}
	return all
}

// Doubtful returns the upstreams of a pool and version under whose names other processes may serve, sorted
// by name.
func (t *Table) Doubtful(pool, version string) []*schema.Breakage {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	return t.breakages(func(u *upstream) bool {
		return u.report.Pool == pool && u.report.Software == version && u.doubtful(now)
	})
}

// BreakagesToForward returns what entry hosts lately reported of broken connections to upstreams, sorted by
// name.
func (t *Table) BreakagesToForward() []*schema.Breakage {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	return t.breakages(func(u *upstream) bool {
		return u.broken && u.breakageAt > 0 && now-u.breakageAt < breakageForwardTime
	})
}

func (t *Table) breakages(which func(*upstream) bool) []*schema.Breakage {
	now := t.Timer.Now()
	var all []*schema.Breakage
	for name, u := range t.upstreams {
		if which(u) {
			all = append(all, &schema.Breakage{Upstream: name, Incarnation: u.report.Incarnation, Age: (now - u.brokenAt).Seconds()})
		}
	}
	slices.SortFunc(all, func(a, b *schema.Breakage) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}
