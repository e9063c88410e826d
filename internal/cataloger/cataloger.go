package cataloger

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Number of announcement intervals without a report after which an upstream is marked silent.
	unresponsiveIntervals = 4
	// Time without a report after which an upstream or entry host is removed from the table. It is
	// longer than any delay with which an old report may still arrive.
	forgetTimeout = 90 * time.Second
	// Time after which the report of an unchanged upstream is forwarded to the leader again if
	// upstreams announce themselves seldom, and the age up to which an entry host's report is
	// forwarded.
	forwardInterval = 3 * time.Second
	// Time after which the report of an unchanged entry host is forwarded again.
	hostForwardInterval = 400 * time.Millisecond
	// Time without a report after which callers are no longer sent to an entry host.
	hostTimeout = 2 * time.Second
)

// Table is the catalog of upstreams and entry hosts. Set the exported fields, then call Start.
// Times in it are on Timer's clock.
type Table struct {
	Timer *timer.Service
	// AnnounceInterval is the time between two announcements of an upstream.
	AnnounceInterval time.Duration
	// DrainTime is the time, from the first acknowledgement that an upstream is leaving, for which it may
	// be sent requests that nothing else can serve. 0: none.
	DrainTime time.Duration
	// Settled reports whether what other hosts acknowledged to upstreams is in this table. Nil: never.
	Settled func() bool
	// OnUnusable is called for each report that is not stored as a field of it is out of range. It must not
	// call the table, and must return soon. Nil: not called.
	OnUnusable func(*schema.Announcement, *FieldError)
	// Evacuated returns a function that reports whether a failure domain is evacuated by the configuration in
	// force. Both are called under the table's lock. Nil: none is.
	Evacuated func() func(domain string) bool
	// IsMirror is set if all reports come from another table, which marks what no longer reports.
	IsMirror bool
	// IsFirst is set if no upstream served before the table was started, as the system had not started.
	IsFirst bool

	mu sync.Mutex
	// process is a random identifier of the table since Start. A position in a table with
	// another identifier is not valid here.
	process       uint64
	revision      uint64               // rises with each change; guarded by mu
	upstreams     map[string]*upstream // by name; guarded by mu
	startedAt     time.Duration
	follow        followState             // guarded by mu
	partialAt     time.Duration           // last time at which this host was found not to lead; guarded by mu
	versions      versionHistory          // guarded by mu
	addressOwners map[string]addressOwner // the upstreams that started last at each address; guarded by mu
	hosts         map[string]*entryHost   // by name; guarded by mu
	hostAddresses map[string]string       // names of the entry hosts that have each internal address; guarded by mu
	// controlLoads holds the loads that other control hosts sent, by their address; guarded by mu
	controlLoads map[string]controlLoad
	regionTotals map[string]*regionTotal // by region; guarded by mu
	// digests are those of all regions, computed at digestsAt; guarded by mu
	digests   []*schema.RegionDigest
	digestsAt time.Duration
	// unevenness is what Uneven returned last; guarded by mu
	unevenness unevenState
}

// addressOwner is the process of an upstream that started last at an address.
type addressOwner struct {
	name        string
	incarnation uint64
}

// upstream is the newest report of an upstream.
type upstream struct {
	report     *schema.Announcement
	reportedAt time.Duration
	revision   uint64
	// direct is set if the upstream itself sent the report to this host. forwardedAt is the time
	// at which its report was last forwarded; 0: not since its last change.
	direct      bool
	forwardedAt time.Duration
	limit       *namedLimit  // nil if it named none
	brittleness *brittleness // nil if it never said that it is brittle
	leaving     leavingTime
	saidAt      time.Duration // when an entry host last reported an answer that says that it is leaving; 0: never
	// broken is set if the connections of a host to the process broke, at brokenAt the last time.
	// breakageAt is the time at which an entry host last reported that; 0: never.
	broken               bool
	brokenAt, breakageAt time.Duration
	// unconfirmed is set if the followed table did not list the upstream when it listed all.
	unconfirmed bool
}

// entryHost is the newest report of an entry host.
type entryHost struct {
	report     *schema.Peer
	reportedAt time.Duration
	revision   uint64
	// controlAddress is the address of the control host that the entry host reports to; empty if
	// that is this one.
	controlAddress string
	// forwardedAt is the time at which the report was last forwarded to the leader; 0: not since
	// the last change.
	forwardedAt time.Duration
	unconfirmed bool // as with upstreams
}

// Start empties the table and invalidates all positions in it.
func (t *Table) Start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.process = rand.Uint64() | 1
	t.startedAt = t.Timer.Now()
	t.versions = versionHistory{}
	t.upstreams = map[string]*upstream{}
	t.addressOwners = map[string]addressOwner{}
	t.hosts = map[string]*entryHost{}
	t.hostAddresses = map[string]string{}
}

// StoreUpstream stores a report unless the table has a newer one. direct means that the upstream
// itself sent it to this host. It reports whether anything changed that other hosts need to
// know. The table keeps a and may change it.
func (t *Table) StoreUpstream(a *schema.Announcement, direct bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.storeUpstream(a, direct, nil, nil)
}

// storeUpstream stores a report. silent says whether the upstream counts as silent; nil: its age does. Others are
// the last reports of its process that other hosts have, if they were asked. The caller holds mu.
func (t *Table) storeUpstream(a *schema.Announcement, direct bool, silent *bool, others []LastReport) bool {
	if !t.usable(a) {
		return false
	}
	now := t.Timer.Now()
	reportedAt := now - timer.Seconds(a.Age)
	old := t.upstreams[a.Name]
	if a.Gone && a.Incarnation == 0 && old != nil {
		// The upstream does not say which of its processes ended: it is the known one.
		a.Incarnation = old.report.Incarnation
	}
	limit, brittleness, reported, broken := a.Limit, a.Brittleness, reportedLeaving(a, now), a.Broken
	a.Limit, a.Brittleness, a.Since, a.Claim, a.Broken = nil, nil, nil, 0, nil
	t.versions.record(a.Pool, a.Software, reportedAt)
	if old != nil && !newerUpstream(a, old.report) {
		if a.Incarnation != old.report.Incarnation {
			return false
		}
		// The limit and the brittleness, which come from answers, the time at which the upstream began to leave and what hosts
		// saw of it are no parts of its report: they may change while that does not.
		changed := t.storeLeaving(old, a.Leaving, reported)
		changed = t.storeBroken(old, broken) || changed
		changed = brittleness != nil && t.storeBrittleness(old, brittleness, false) || changed
		return limit != nil && t.storeLimit(old, limit, false) || changed
	}
	if !t.claimAddress(a) {
		return false
	}
	updated := &upstream{report: a, reportedAt: reportedAt, direct: direct}
	updated.leaving = reported
	if direct && a.Leaving {
		updated.leaving = t.leavingSince(a, old, others, now)
	}
	if old != nil && old.report.Incarnation == a.Incarnation {
		updated.leaving, _ = old.leaving.merge(updated.leaving)
		carryOver(a, old.report)
		updated.reportedAt = max(reportedAt, old.reportedAt)
		updated.forwardedAt = old.forwardedAt
		updated.revision = old.revision
		updated.limit, updated.brittleness = old.limit, old.brittleness
		updated.saidAt = old.saidAt
		updated.broken, updated.brokenAt, updated.breakageAt = old.broken, old.brokenAt, old.breakageAt
	}
	if a.Silent = t.unresponsive(updated, now); silent != nil {
		a.Silent = *silent
	}
	changed := old == nil || differs(a, old.report)
	if changed {
		t.revision++
		updated.revision = t.revision
		updated.forwardedAt = 0
	}
	t.upstreams[a.Name] = updated
	changed = t.storeBroken(updated, broken) || changed
	if limit != nil {
		changed = t.storeLimit(updated, limit, false) || changed
	}
	if brittleness != nil {
		changed = t.storeBrittleness(updated, brittleness, false) || changed
	}
	return changed
}

// usable reports whether hosts can use a report.
func (t *Table) usable(a *schema.Announcement) bool {
	err := CheckReport(a)
	if err != nil && t.OnUnusable != nil {
		t.OnUnusable(a, err)
	}
	return err == nil
}

// newerUpstream reports whether report a is newer than b. Of the reports of one process, that
// of its end is the newest.
func newerUpstream(a, b *schema.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Gone != b.Gone {
		return a.Gone
	}
	return a.Number > b.Number
}

// carryOver copies to a report what holds until the end of the process: that it is leaving,
// and what a report of its end may omit: address, pool, region, failure domain and slots.
func carryOver(a, old *schema.Announcement) {
	a.Leaving = a.Leaving || old.Leaving
	if a.Gone && a.Address == "" {
		number := a.Number
		proto.Merge(a, &schema.Announcement{
			Address: old.Address, Pool: old.Pool, Region: old.Region, Domain: old.Domain, Slots: old.Slots, Software: old.Software,
		})
		a.Number = max(number, old.Number)
	}
}

// claimAddress makes an upstream the owner of its address and marks the earlier owner as gone.
// It returns false if the owner started later.
func (t *Table) claimAddress(a *schema.Announcement) bool {
	if a.Address == "" {
		return true
	}
	owner, owned := t.addressOwners[a.Address]
	if owned && owner.name != a.Name {
		if owner.incarnation > a.Incarnation {
			return false
		}
		// The owner may have reported since then without an address, or from another one.
		other := t.upstreams[owner.name]
		if other != nil && other.report.Address == a.Address && !other.report.Gone {
			ended := proto.Clone(other.report).(*schema.Announcement)
			ended.Gone = true
			t.revision++
			other.report, other.revision = ended, t.revision
		}
	}
	if old := t.upstreams[a.Name]; old != nil && old.report.Address != a.Address {
		t.releaseAddress(a.Name, old.report.Address)
	}
	t.addressOwners[a.Address] = addressOwner{a.Name, a.Incarnation}
	return true
}

func (t *Table) releaseAddress(name, address string) {
	if t.addressOwners[address].name == name {
		delete(t.addressOwners, address)
	}
}

// differs reports whether two reports differ in anything that hosts base decisions on.
func differs(a, b *schema.Announcement) bool {
	return a.Incarnation != b.Incarnation || a.Address != b.Address || a.Pool != b.Pool ||
		a.Domain != b.Domain || a.Slots != b.Slots || a.Software != b.Software || a.Leaving != b.Leaving || a.Gone != b.Gone ||
		a.Silent != b.Silent || (a.Cold > 0) != (b.Cold > 0) || (a.Left > 0) != (b.Left > 0)
}

func (t *Table) unresponsive(u *upstream, now time.Duration) bool {
	return now-u.reportedAt > unresponsiveIntervals*t.AnnounceInterval
}

// StoreHost stores an entry host's report of itself unless the table has a newer one.
// controlAddress is the address of the control host that forwarded it; empty if the entry host
// sent it to this one. It reports whether anything changed that other hosts need to know.
func (t *Table) StoreHost(p *schema.Peer, controlAddress string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	old := t.hosts[p.Name]
	if !(p.Age >= 0) || old != nil && !newerHost(p, old.report) || !t.claimInternal(p) {
		return false
	}
	updated := &entryHost{report: p, reportedAt: now - timer.Seconds(p.Age), controlAddress: controlAddress}
	changed := old == nil || old.report.Incarnation != p.Incarnation || old.report.Ready != p.Ready || old.report.Stopping != p.Stopping || old.report.Isolated != p.Isolated || old.report.Listen != p.Listen
	if changed {
		t.revision++
		updated.revision = t.revision
	} else {
		updated.revision, updated.forwardedAt = old.revision, old.forwardedAt
	}
	t.hosts[p.Name] = updated
	return changed
}

// newerHost reports whether report a is newer than b. Of two with the same number the unready
// one is newer: the leader marks a host that no longer reports as unready in its last report.
func newerHost(a, b *schema.Peer) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Number > b.Number || (a.Number == b.Number && b.Ready && !a.Ready)
}

// Sweep marks upstreams and entry hosts that no longer report, and removes those that have not
// reported for forgetTimeout. leads means that this host receives all reports: only then may it judge
// whether those still report that do not report to it. While another table is followed, that one judges.
// It returns the names of those that it marked.
func (t *Table) Sweep(leads bool) (marked []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	if !leads {
		t.partialAt = now
	}
	for name, u := range t.upstreams {
		silent := u.report.Silent || t.unresponsive(u, now) && t.judges(u.direct, leads, unresponsiveIntervals*t.AnnounceInterval, now)
		switch {
		case now-u.reportedAt > forgetTimeout && (u.report.Gone || silent):
			delete(t.upstreams, name)
			maps.DeleteFunc(t.addressOwners, func(_ string, x addressOwner) bool { return x.name == name })
		case silent && !u.report.Silent:
			t.markSilent(u, true)
			marked = append(marked, name)
		}
	}
	if !leads {
		marked = append(marked, t.sweepUnconfirmed(now)...)
	}
	t.versions.expire(now)
	return append(marked, t.sweepHosts(leads, now)...)
}

// judges reports whether this table may judge by the age of a report that its sender no longer reports.
// direct means that the report came to this host; others do only while it leads, and count from then on. The
// caller holds mu.
func (t *Table) judges(direct, leads bool, interval, now time.Duration) bool {
	switch {
	case leads:
		return direct || now-t.partialAt > interval
	case t.IsMirror, t.follow.following(now):
		return false
	}
	return direct
}

func (t *Table) sweepHosts(leads bool, now time.Duration) (marked []string) {
	for name, p := range t.hosts {
		switch {
		case now-p.reportedAt > forgetTimeout && !p.report.Ready:
			delete(t.hosts, name)
			t.releaseInternal(name, p.report.Internal)
		case leads && p.report.Ready && now-p.reportedAt > hostTimeout && t.judges(p.controlAddress == "", leads, hostTimeout, now):
			t.markReady(p, false)
			marked = append(marked, name)
		}
	}
	return marked
}

// Upstream returns the newest report of an upstream, also of one that has ended; nil if none is known.
func (t *Table) Upstream(name string) *schema.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.upstreams[name]; u != nil {
		return u.report
	}
	return nil
}

// Upstreams returns the reports of all upstreams that have not ended, sorted by name.
func (t *Table) Upstreams() []*schema.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*schema.Announcement
	for _, u := range t.upstreams {
		if !u.report.Gone {
			all = append(all, u.report)
		}
	}
	slices.SortFunc(all, func(a, b *schema.Announcement) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// ReadyHosts returns the entry hosts of a region that callers may be sent to, sorted by name. An
// empty region means all.
func (t *Table) ReadyHosts(region string) []*schema.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*schema.Peer
	for _, p := range t.hosts {
		if p.report.Ready && (region == "" || p.report.Region == region) {
			all = append(all, p.report)
		}
	}
	slices.SortFunc(all, func(a, b *schema.Peer) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// ConnectedHosts returns the ready entry hosts of a region that reach its upstreams, sorted by name.
func (t *Table) ConnectedHosts(region string) []*schema.Peer {
	return slices.DeleteFunc(t.ReadyHosts(region), func(p *schema.Peer) bool { return p.Isolated })
}

// Served reports whether an entry host of a region that is ready or still serves reaches upstreams there, or no such
// host is known.
func (t *Table) Served(region string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := false
	for _, p := range t.hosts {
		if p.report.Region != region || !p.report.Ready && !p.report.Stopping {
			continue
		}
		if !p.report.Isolated {
			return true
		}
		known = true
	}
	return !known
}

// StoppingHosts returns the entry hosts of a region whose last report, not older than within, says
// that they are stopping, sorted by name.
func (t *Table) StoppingHosts(region string, within time.Duration) []*schema.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var all []*schema.Peer
	for _, p := range t.hosts {
		if p.report.Stopping && p.report.Region == region && now-p.reportedAt <= within {
			all = append(all, p.report)
		}
	}
	slices.SortFunc(all, func(a, b *schema.Peer) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Changes is what changed in a table since a position.
type Changes struct {
	Upstreams []*schema.Announcement
	Hosts     []*schema.Peer
	// Cursor is the position from which to ask next, in the table identified by Process.
	Cursor  uint64
	Process uint64
	// Complete means that this is the whole content, not only what changed.
	Complete bool
}

// ChangesSince returns the changes of one region's upstreams and of all entry hosts since
// position cursor in the table identified by process. If this is another table, it returns the
// whole content. An empty region means all.
func (t *Table) ChangesSince(cursor, process uint64, region string) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	c := Changes{Cursor: t.revision, Process: t.process, Complete: process != t.process || cursor > t.revision}
	if c.Complete {
		cursor = 0
	}
	for _, u := range t.upstreams {
		if u.revision > cursor && (region == "" || u.report.Region == region) {
			c.Upstreams = append(c.Upstreams, reportWithAge(u, now))
		}
	}
	for _, p := range t.hosts {
		if p.revision > cursor {
			c.Hosts = append(c.Hosts, reportWithoutLoads(p, now))
		}
	}
	sortChanges(&c)
	return c
}

func sortChanges(c *Changes) {
	slices.SortFunc(c.Upstreams, func(a, b *schema.Announcement) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Hosts, func(a, b *schema.Peer) int { return cmp.Compare(a.Name, b.Name) })
}

// reportWithAge returns a copy of a report with its present age. Durations in it stay as they
// were when the upstream sent it.
func reportWithAge(u *upstream, now time.Duration) *schema.Announcement {
	a := proto.Clone(u.report).(*schema.Announcement)
	a.Age = (now - u.reportedAt).Seconds()
	if u.limit != nil {
		a.Limit = u.limit.withAge(u.report, now)
	}
	if u.brittleness != nil {
		a.Brittleness = u.brittleness.withAge(u.report, now)
	}
	if u.leaving.known() {
		a.Since, a.Claim = proto.Float64((now - u.leaving.at).Seconds()), u.leaving.claim
	}
	if u.broken {
		a.Broken = proto.Float64((now - u.brokenAt).Seconds())
	}
	return a
}

// reportWithoutLoads returns a copy of an entry host's report with its present age and without
// the load figures, which change with each report.
func reportWithoutLoads(p *entryHost, now time.Duration) *schema.Peer {
	return &schema.Peer{
		Name: p.report.Name, Region: p.report.Region, Domain: p.report.Domain, Listen: p.report.Listen, Internal: p.report.Internal,
		Incarnation: p.report.Incarnation, Number: p.report.Number, Ready: p.report.Ready, Stopping: p.report.Stopping,
		Isolated: p.report.Isolated, Age: (now - p.reportedAt).Seconds(), Capacity: p.report.Capacity,
	}
}

// ReportsToForward returns the reports that upstreams and entry hosts sent to this host itself
// and that the leader needs, and marks them as forwarded: those that changed at once, unchanged
// upstreams before they count as silent there and unchanged entry hosts every hostForwardInterval.
func (t *Table) ReportsToForward() ([]*schema.Announcement, []*schema.Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var c Changes
	upstreamInterval := min(forwardInterval, (unresponsiveIntervals-1)*t.AnnounceInterval)
	for _, u := range t.upstreams {
		if u.direct && (u.forwardedAt == 0 || (now-u.forwardedAt > upstreamInterval && u.reportedAt > u.forwardedAt)) {
			u.forwardedAt = now
			c.Upstreams = append(c.Upstreams, reportWithAge(u, now))
		}
	}
	for _, p := range t.hosts {
		if p.controlAddress == "" && now-p.reportedAt < forwardInterval && (p.forwardedAt == 0 || now-p.forwardedAt >= hostForwardInterval) {
			p.forwardedAt = now
			c.Hosts = append(c.Hosts, reportWithoutLoads(p, now))
		}
	}
	sortChanges(&c)
	return c.Upstreams, c.Hosts
}

// ResetForwarded makes ReportsToForward return all reports again, for when the leader may not have
// received them.
func (t *Table) ResetForwarded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.upstreams {
		u.forwardedAt = 0
	}
	for _, p := range t.hosts {
		p.forwardedAt = 0
	}
}
