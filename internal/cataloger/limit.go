package cataloger

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Interval at which other hosts receive that an unchanged limit is still named.
	limitSpreadInterval = 2 * time.Second
	// Time for which a limit that an entry host reported is forwarded to the leader.
	limitForwardTime = 2 * time.Second
)

// namedLimit is the newest report of an upstream's limit.
type namedLimit struct {
	report     *schema.NamedLimit
	receivedAt time.Duration // when an entry host received the answer
	spreadAt   time.Duration // the same of the report that other hosts were last sent
	reportedAt time.Duration // when an entry host last reported it to this host; 0: never
}

// StoreLimit stores the limit that an upstream named, unless the table has a newer report or the
// report is of another process. direct means that an entry host reported it to this host. It reports
// whether anything changed that other hosts need to know.
func (t *Table) StoreLimit(l *schema.NamedLimit, direct bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[l.Upstream]
	if u == nil || u.report.Incarnation != l.Incarnation {
		return false
	}
	return t.storeLimit(u, l, direct)
}

// storeLimit is StoreLimit for a known process. The caller holds mu.
func (t *Table) storeLimit(u *upstream, l *schema.NamedLimit, direct bool) bool {
	if inRange := l.Rate >= 0 && l.Rate <= math.MaxFloat64 && l.Age >= 0; !inRange { // NaN is in no range
		return false
	}
	now := t.Timer.Now()
	receivedAt := now - timer.Seconds(l.Age)
	old := u.limit
	if old != nil && receivedAt <= old.receivedAt {
		return false
	}
	x := &namedLimit{report: l, receivedAt: receivedAt}
	if old != nil {
		x.spreadAt, x.reportedAt = old.spreadAt, old.reportedAt
	}
	if direct {
		x.reportedAt = now
	}
	u.limit = x
	changed := old == nil || old.report.Rate != l.Rate || old.report.Ended != l.Ended || receivedAt-x.spreadAt >= limitSpreadInterval
	if changed {
		x.spreadAt = receivedAt
		t.revision++
		u.revision = t.revision
	}
	return changed
}

// Limits returns the newest reports of all upstreams' limits, also of those that ended, sorted by
// upstream.
func (t *Table) Limits() []*schema.NamedLimit {
	return t.limits(func(*namedLimit) bool { return true })
}

// LimitsToForward returns the limits that entry hosts reported to this host lately and that the
// leader needs, sorted by upstream.
func (t *Table) LimitsToForward() []*schema.NamedLimit {
	now := t.Timer.Now()
	return t.limits(func(x *namedLimit) bool { return x.reportedAt > 0 && now-x.reportedAt < limitForwardTime })
}

func (t *Table) limits(include func(*namedLimit) bool) []*schema.NamedLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var all []*schema.NamedLimit
	for _, u := range t.upstreams {
		if u.limit != nil && include(u.limit) {
			all = append(all, u.limit.withAge(u.report, now))
		}
	}
	slices.SortFunc(all, func(a, b *schema.NamedLimit) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}

// withAge returns a copy of the report with its present age.
func (x *namedLimit) withAge(a *schema.Announcement, now time.Duration) *schema.NamedLimit {
	l := proto.Clone(x.report).(*schema.NamedLimit)
	l.Upstream, l.Incarnation, l.Age = a.Name, a.Incarnation, (now - x.receivedAt).Seconds()
	return l
}
