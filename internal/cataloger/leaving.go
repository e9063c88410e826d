package cataloger

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// LeavingMargin is the time before the end of DrainTime from which an upstream that is leaving gets no
// request any more: a request must reach it in time, over a new connection if need be.
const LeavingMargin = 500 * time.Millisecond

// leavingTime is a time before which no host had acknowledged that an upstream is leaving. The zero value
// is not known.
type leavingTime struct {
	at time.Duration
	// claim identifies the acknowledgement by whose report the time is known. On its way from host to
	// host the time only becomes earlier, by the delays that must be allowed for.
	claim uint64
}

func (l leavingTime) known() bool { return l.claim != 0 }

// merge returns what two times of one process say together, and whether that names another
// acknowledgement than l: of two acknowledgements the earlier one counts, of two times of one of them the
// later one, which allows for less.
func (l leavingTime) merge(other leavingTime) (merged leavingTime, changed bool) {
	switch {
	case !other.known():
		return l, false
	case !l.known():
		return other, true
	case l.claim == other.claim:
		l.at = max(l.at, other.at)
		return l, false
	case other.at < l.at:
		return other, true
	}
	return l, false
}

// reportedLeaving returns the time that a report from another host names.
func reportedLeaving(a *schema.Announcement, now time.Duration) leavingTime {
	if a.Since == nil || !(*a.Since >= 0) || a.Claim == 0 {
		return leavingTime{}
	}
	// Seconds are rounded on each way: the time must not become later.
	const rounding = time.Microsecond
	return leavingTime{now - timer.Seconds(*a.Since) - rounding, a.Claim}
}

// LastReport is the last report of an upstream's process that a host has.
type LastReport struct {
	// Number is the number of the report.
	Number uint64
	// Leaving is set if it says that the upstream is leaving or has ended.
	Leaving bool
	// At is a time, on the clock of Timer, before which the report was not stored.
	At time.Duration
}

// LastReport returns the last report that the table has of an upstream's process, and false if it has none.
func (t *Table) LastReport(upstream string, incarnation uint64) (LastReport, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[upstream]
	if u == nil || u.report.Incarnation != incarnation {
		return LastReport{}, false
	}
	return u.lastReport(), true
}

func (u *upstream) lastReport() LastReport {
	return LastReport{u.report.Number, u.report.Leaving || u.report.Gone, u.reportedAt}
}

// NeedsLastReports reports whether the last reports that other hosts have are needed to tell since when an upstream
// is leaving: a report of its own says so for the first time here, the table lacks the one before it, and another
// host may have acknowledged that.
func (t *Table) NeedsLastReports(a *schema.Announcement) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !a.Leaving || a.Gone {
		return false
	}
	old := t.upstreams[a.Name]
	if old != nil && old.report.Incarnation == a.Incarnation {
		return !old.report.Leaving && a.Number > old.report.Number+1 && !(t.Settled != nil && t.Settled())
	}
	return old == nil || old.report.Incarnation < a.Incarnation
}

// StoreAnnounced stores a report that the upstream itself sent to this host, like StoreUpstream. Others are the
// last reports of its process that other hosts have.
func (t *Table) StoreAnnounced(a *schema.Announcement, others []LastReport) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.storeUpstream(a, true, nil, others)
}

// leavingSince returns the time for an upstream's own report that it is leaving. No host has acknowledged that
// before if the report follows one that says otherwise, whichever host has that one, or if the table is settled.
// Else another host may have, but not before the last report that says otherwise; without such a report the time
// is not known. Old is what the table has of the upstream, others what other hosts have.
func (t *Table) leavingSince(a *schema.Announcement, old *upstream, others []LastReport, now time.Duration) leavingTime {
	if old != nil && old.report.Incarnation == a.Incarnation {
		if old.report.Leaving {
			return leavingTime{}
		}
		if t.Settled != nil && t.Settled() {
			return leavingTime{now, rand.Uint64() | 1}
		}
		others = append(slices.Clone(others), old.lastReport())
	}
	at, known := time.Duration(0), false
	for _, r := range others {
		switch {
		case r.Leaving || r.Number >= a.Number:
		case r.Number+1 == a.Number:
			return leavingTime{now, rand.Uint64() | 1}
		case !known || r.At > at:
			at, known = r.At, true
		}
	}
	if !known {
		return leavingTime{}
	}
	return leavingTime{min(at, now), rand.Uint64() | 1}
}

// storeLeaving stores what another host says of a process in a report that is not newer: that it is leaving,
// which an answer may have told, and since when. It reports whether hosts need to know. The caller holds mu.
func (t *Table) storeLeaving(u *upstream, leaving bool, l leavingTime) bool {
	if !u.report.Leaving && (!leaving || u.report.Gone) {
		return false
	}
	if !u.report.Leaving {
		t.markLeaving(u, l)
		return true
	}
	var changed bool
	if u.leaving, changed = u.leaving.merge(l); !changed {
		return false
	}
	t.revision++
	u.revision = t.revision
	u.forwardedAt = 0
	return true
}

// AddDelay accounts for the time that a report may have taken from the host that sent it: what is counted
// from an acknowledgement must not seem later than it was.
func AddDelay(a *schema.Announcement, d time.Duration) {
	if a.Since != nil {
		*a.Since += d.Seconds()
	}
}

// usableUntil returns the time until which an upstream that is leaving may be sent what nothing else can
// serve; 0 if it may not. The caller holds mu.
func (t *Table) usableUntil(u *upstream) time.Duration {
	if !u.report.Leaving || u.report.Gone || !u.leaving.known() || t.DrainTime <= LeavingMargin {
		return 0
	}
	return u.leaving.at + t.DrainTime - LeavingMargin
}

// LeavingUntil returns the times, on Timer's clock, until which upstreams that are leaving may be sent what
// nothing else can serve, by name.
func (t *Table) LeavingUntil() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := map[string]time.Duration{}
	for name, u := range t.upstreams {
		if until := t.usableUntil(u); until > 0 {
			all[name] = until
		}
	}
	return all
}

// RegionsWith returns the regions with an upstream of a pool and version that takes requests, sorted. If
// all of that version are leaving, it returns the regions of those that may still be used, and true.
func (t *Table) RegionsWith(pool, version string) (regions []string, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var staying, usable []string
	for _, u := range t.upstreams {
		a := u.report
		switch {
		case a.Pool != pool || a.Software != version || a.Gone || u.doubtful(now):
		case !a.Leaving:
			staying = append(staying, a.Region)
		case now < t.usableUntil(u):
			usable = append(usable, a.Region)
		}
	}
	if len(staying) > 0 {
		slices.Sort(staying)
		return slices.Compact(staying), false
	}
	slices.Sort(usable)
	return slices.Compact(usable), len(usable) > 0
}

// leaverForwardTime is the time for which an answer that an entry host reported is forwarded to the leader.
const leaverForwardTime = 2 * time.Second

// StoreLeaver stores that an upstream said in an answer that it is leaving, unless the report is of another
// process. It then counts as if it had announced that. It reports whether anything changed that other hosts
// need to know.
func (t *Table) StoreLeaver(l *schema.Leaver) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[l.Upstream]
	if u == nil || u.report.Incarnation != l.Incarnation || !(l.Age >= 0) {
		return false
	}
	now := t.Timer.Now()
	u.saidAt = now
	said := leavingTime{now - timer.Seconds(l.Age), rand.Uint64() | 1}
	if u.report.Leaving {
		return false // the first acknowledgement or answer counts, and is known
	}
	t.markLeaving(u, said)
	return true
}

// markLeaving marks an upstream as leaving since l. The caller holds mu.
func (t *Table) markLeaving(u *upstream, l leavingTime) {
	report := proto.Clone(u.report).(*schema.Announcement)
	report.Leaving = true
	t.revision++
	u.report, u.revision, u.leaving, u.forwardedAt = report, t.revision, l, 0
}

// LeaversToForward returns the upstreams of which entry hosts lately reported to this host that they said
// in answers that they are leaving, sorted by name.
func (t *Table) LeaversToForward() []*schema.Leaver {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var all []*schema.Leaver
	for name, u := range t.upstreams {
		if u.saidAt > 0 && now-u.saidAt < leaverForwardTime && u.leaving.known() {
			all = append(all, &schema.Leaver{Upstream: name, Incarnation: u.report.Incarnation, Age: (now - u.leaving.at).Seconds()})
		}
	}
	slices.SortFunc(all, func(a, b *schema.Leaver) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}
