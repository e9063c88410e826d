package cataloger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Age of the last reply of the table that this one follows above which it no longer does.
	maxFollowAge = 2 * time.Second
	// Time for which a followed table must not list an entry host until it counts as unready.
	unconfirmedHostTime = 2 * hostTimeout
)

// followState is what a table knows of the one that it follows: the leader's, or a control host's. That one
// tells what changed in it, so that a report here may be old although its sender still reports.
type followState struct {
	repliedAt time.Duration // time of the last reply; 0: none
	// since is the time since which the followed table has received all reports; 0: it does not.
	since time.Duration
}

// following reports whether another table judges whether upstreams and entry hosts still report.
func (x *followState) following(now time.Duration) bool {
	return x.repliedAt > 0 && now-x.repliedAt <= maxFollowAge && x.since > 0
}

// Reply is what the followed table replied.
type Reply struct {
	Upstreams []*schema.Announcement
	Hosts     []*schema.Peer
	// Whole means that these are all that it has, not only what changed.
	Whole bool
	// Observed is the time for which it has received all reports, or changes from the table that does,
	// without a break; 0: it does not.
	Observed time.Duration
	// From is the address of the control host.
	From string
}

// Follow stores a reply of the followed table. It calls onUpstream and onHost, which may be nil, for each
// report that changed something. It reports whether the next reply must be a whole one: something may have
// been missed or misjudged.
func (t *Table) Follow(r Reply, onUpstream func(*schema.Announcement), onHost func(*schema.Peer)) (needsWhole bool) {
	for _, a := range r.Upstreams {
		told := proto.Clone(a).(*schema.Announcement) // the table keeps a and changes it
		if t.storeFollowed(a, told.Silent, r.Whole) && onUpstream != nil {
			onUpstream(told)
		}
	}
	for _, p := range r.Hosts {
		if t.storeFollowedHost(p, r.From, r.Whole) && onHost != nil {
			onHost(p)
		}
	}
	return t.recordReply(r)
}

// storeFollowed stores a report of the followed table, which has judged whether the upstream is silent.
func (t *Table) storeFollowed(a *schema.Announcement, silent, whole bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	name, incarnation, number := a.Name, a.Incarnation, a.Number
	if !t.usable(a) {
		return false
	}
	changed := t.storeUpstream(a, false, &silent, nil)
	u := t.upstreams[name]
	if u == nil || u.report.Incarnation != incarnation || u.report.Silent == silent || (number < u.report.Number && !whole) {
		return changed
	}
	t.markSilent(u, silent)
	return true
}

func (t *Table) storeFollowedHost(p *schema.Peer, from string, whole bool) bool {
	if t.StoreHost(p, from) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.hosts[p.Name]
	if old == nil || !whole || !p.Ready || old.report.Ready || old.report.Incarnation != p.Incarnation || !old.unconfirmed {
		return false
	}
	t.markReady(old, true)
	return true
}

// markSilent marks an upstream as silent or not. The caller holds mu.
func (t *Table) markSilent(u *upstream, silent bool) {
	report := proto.Clone(u.report).(*schema.Announcement)
	report.Silent = silent
	t.revision++
	u.report, u.revision = report, t.revision
}

// markReady marks an entry host as ready or not. The caller holds mu.
func (t *Table) markReady(p *entryHost, ready bool) {
	report := proto.Clone(p.report).(*schema.Peer)
	report.Ready = ready
	t.revision++
	p.report, p.revision = report, t.revision
}

// recordReply records which of the entries a reply confirms.
func (t *Table) recordReply(r Reply) (needsWhole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	x := &t.follow
	gap := x.repliedAt > 0 && now-x.repliedAt > maxFollowAge
	if r.Whole {
		for _, u := range t.upstreams {
			u.unconfirmed = true
		}
		for _, p := range t.hosts {
			p.unconfirmed = true
		}
	}
	for _, a := range r.Upstreams {
		if u := t.upstreams[a.Name]; u != nil {
			u.unconfirmed = false
		}
	}
	for _, p := range r.Hosts {
		if h := t.hosts[p.Name]; h != nil {
			h.unconfirmed = false
		}
	}
	x.repliedAt = now
	x.since = 0
	if r.Observed > 0 {
		x.since = max(1, now-r.Observed)
	}
	return gap && !r.Whole
}

// FollowAge returns the time since the last reply of the followed table; 0 if there was none.
func (t *Table) FollowAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.follow.repliedAt == 0 {
		return 0
	}
	return t.Timer.Now() - t.follow.repliedAt
}

// Observed returns the time for which this table has been complete without a break; 0 if it is not. leads
// means that this host receives all reports.
func (t *Table) Observed(leads bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	switch {
	case leads:
		return max(1, now-max(t.partialAt, t.startedAt))
	case t.follow.following(now):
		return max(1, now-t.follow.since)
	}
	return 0
}

// sweepUnconfirmed marks what the followed table has not listed for a while although it receives all
// reports. The caller holds mu.
func (t *Table) sweepUnconfirmed(now time.Duration) (marked []string) {
	if !t.follow.following(now) {
		return nil
	}
	for name, u := range t.upstreams {
		if u.unconfirmed && !u.report.Silent && now-t.follow.since > unresponsiveIntervals*t.AnnounceInterval {
			t.markSilent(u, true)
			marked = append(marked, name)
		}
	}
	for name, p := range t.hosts {
		if p.unconfirmed && p.report.Ready && now-t.follow.since > unconfirmedHostTime {
			t.markReady(p, false)
			marked = append(marked, name)
		}
	}
	return marked
}
