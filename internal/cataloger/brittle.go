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

// brittleness is the newest report of what an upstream's answers say of the requests that it can turn away.
type brittleness struct {
	report     *schema.Brittleness
	receivedAt time.Duration // when an entry host received the answer
	spreadAt   time.Duration // the same of the report that other hosts were last sent
	rejectedAt time.Duration // when the upstream last turned a request away; 0: never
	reportedAt time.Duration // when an entry host last reported it to this host; 0: never
}

// StoreBrittleness stores what an upstream said of being brittle, unless it is of another process. Of the answers and
// of the rejections, the newest count. direct means that an entry host reported it to this host. It reports whether
// anything changed that other hosts need to know.
func (t *Table) StoreBrittleness(b *schema.Brittleness, direct bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[b.Upstream]
	if u == nil || u.report.Incarnation != b.Incarnation {
		return false
	}
	return t.storeBrittleness(u, b, direct)
}

// storeBrittleness is StoreBrittleness for a known process. The caller holds mu.
func (t *Table) storeBrittleness(u *upstream, b *schema.Brittleness, direct bool) bool {
	for _, x := range []float64{b.Rejections, b.Age, b.GetRejected(), b.Room} {
		if inRange := x >= 0 && x <= math.MaxFloat64; !inRange { // NaN is in no range
			return false
		}
	}
	now := t.Timer.Now()
	x := &brittleness{report: b, receivedAt: now - timer.Seconds(b.Age)}
	if b.Rejected != nil {
		x.rejectedAt = now - timer.Seconds(*b.Rejected)
	}
	old := u.brittleness
	changed := old == nil
	if old != nil {
		if x.receivedAt <= old.receivedAt && x.rejectedAt <= old.rejectedAt {
			return false
		}
		changed = x.merge(old)
	}
	if direct {
		x.reportedAt = now
	}
	u.brittleness = x
	if changed {
		x.spreadAt = x.receivedAt
		t.revision++
		u.revision = t.revision
	}
	return changed
}

// merge takes over from an earlier report what is newer there. It reports whether other hosts need to know the result.
func (x *brittleness) merge(old *brittleness) bool {
	x.spreadAt, x.reportedAt = old.spreadAt, old.reportedAt
	if old.receivedAt > x.receivedAt || old.rejectedAt > x.rejectedAt {
		x.report = proto.Clone(x.report).(*schema.Brittleness)
	}
	if old.receivedAt > x.receivedAt {
		x.receivedAt, x.report.Rejections, x.report.Ended = old.receivedAt, old.report.Rejections, old.report.Ended
	}
	rejected := x.rejectedAt > old.rejectedAt
	if !rejected {
		x.rejectedAt, x.report.Room = old.rejectedAt, old.report.Room
	}
	return rejected || old.report.Rejections != x.report.Rejections || old.report.Ended != x.report.Ended || x.receivedAt-x.spreadAt >= limitSpreadInterval
}

// Brittleness returns the newest reports of all upstreams that said that they are brittle, also of those that no
// longer do, sorted by upstream.
func (t *Table) Brittleness() []*schema.Brittleness {
	return t.brittleness(func(*brittleness) bool { return true })
}

// BrittlenessToForward returns those that entry hosts reported to this host lately and that the leader needs, sorted
// by upstream.
func (t *Table) BrittlenessToForward() []*schema.Brittleness {
	now := t.Timer.Now()
	return t.brittleness(func(x *brittleness) bool { return x.reportedAt > 0 && now-x.reportedAt < limitForwardTime })
}

func (t *Table) brittleness(include func(*brittleness) bool) []*schema.Brittleness {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var all []*schema.Brittleness
	for _, u := range t.upstreams {
		if u.brittleness != nil && include(u.brittleness) {
			all = append(all, u.brittleness.withAge(u.report, now))
		}
	}
	slices.SortFunc(all, func(a, b *schema.Brittleness) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}

// withAge returns a copy of the report with its present ages.
func (x *brittleness) withAge(a *schema.Announcement, now time.Duration) *schema.Brittleness {
	b := proto.Clone(x.report).(*schema.Brittleness)
	b.Upstream, b.Incarnation, b.Age, b.Rejected = a.Name, a.Incarnation, (now - x.receivedAt).Seconds(), nil
	if x.rejectedAt > 0 {
		b.Rejected = proto.Float64((now - x.rejectedAt).Seconds())
	}
	return b
}
