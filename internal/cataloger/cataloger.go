package cataloger

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Announcement intervals without a report after which an upstream counts as silent.
	silentIntervals = 4
	// Time after which a silent upstream or host is forgotten. Longer than any delay with
	// which an old report may still arrive.
	forgetTime = 90 * time.Second
	// Time between two copies of an unchanged report to another control host.
	renewTime = 3 * time.Second
	// Time without a report after which callers are no longer sent to a host.
	unreadyTime = 2 * time.Second
)

// Table is the catalog. Set the exported fields, then call Start.
type Table struct {
	Timer *timer.Service
	// Interval is the time between two announcements of an upstream.
	Interval time.Duration
	// Follows is set where reports come from another table, which tells who fell silent.
	Follows bool

	mu        sync.Mutex
	process   uint64
	revision  uint64               // guarded by mu; rises with each change
	upstreams map[string]*upstream // by name; guarded by mu
	owners    map[string]string    // address → name of the latest started upstream; guarded by mu
	peers     map[string]*peer     // by name; guarded by mu
}

type upstream struct {
	said     *schema.Announcement
	heard    time.Duration
	revision uint64
	// own is set if the upstream itself told this host; told is when that was passed on.
	own  bool
	told time.Duration
}

type peer struct {
	said     *schema.Peer
	heard    time.Duration
	revision uint64
	// via names the control host that the host reports to; empty: this one.
	via string
}

// Start makes the table empty.
func (t *Table) Start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.process = rand.Uint64() | 1
	t.upstreams = map[string]*upstream{}
	t.owners = map[string]string{}
	t.peers = map[string]*peer{}
}

// TakeUpstream stores a report unless a newer one is held. Own says that the upstream
// itself sent it to this host. It reports whether anything that others need changed.
func (t *Table) TakeUpstream(a *schema.Announcement, own bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	heard := now - time.Duration(a.Age*float64(time.Second))
	old := t.upstreams[a.Name]
	if a.Gone && a.Incarnation == 0 && old != nil {
		// It does not say which of its processes ended: the one that is known.
		a.Incarnation = old.said.Incarnation
	}
	if old != nil && !newer(a, old.said) {
		return false
	}
	if !t.claim(a) {
		return false
	}
	fresh := &upstream{said: a, heard: heard, own: own}
	if old != nil && old.said.Incarnation == a.Incarnation {
		inherit(a, old.said)
		fresh.heard = max(heard, old.heard)
		fresh.told = old.told
		fresh.revision = old.revision
		fresh.own = own || old.own
	}
	a.Silent = t.silent(fresh, now)
	changed := old == nil || differs(a, old.said)
	if changed {
		t.revision++
		fresh.revision = t.revision
		fresh.told = 0
	}
	t.upstreams[a.Name] = fresh
	return changed
}

// newer reports whether a was said after b. The end of a process is its last word.
func newer(a, b *schema.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Gone != b.Gone {
		return a.Gone
	}
	return a.Number > b.Number
}

// inherit keeps what one process of an upstream never takes back.
func inherit(a, old *schema.Announcement) {
	a.Leaving = a.Leaving || old.Leaving
	if a.Gone && a.Address == "" {
		gone := a.Number
		proto.Merge(a, &schema.Announcement{
			Address: old.Address, Pool: old.Pool, Region: old.Region, Domain: old.Domain, Slots: old.Slots,
		})
		a.Number = max(gone, old.Number)
	}
}

// claim makes the upstream that started last the owner of its address. It returns false if
// a later one owns it.
func (t *Table) claim(a *schema.Announcement) bool {
	if a.Address == "" {
		return true
	}
	name, taken := t.owners[a.Address]
	if taken && name != a.Name {
		other := t.upstreams[name]
		if other.said.Incarnation > a.Incarnation {
			return false
		}
		if !other.said.Gone {
			ended := proto.Clone(other.said).(*schema.Announcement)
			ended.Gone = true
			t.revision++
			other.said, other.revision = ended, t.revision
		}
	}
	if old := t.upstreams[a.Name]; old != nil && old.said.Address != a.Address && t.owners[old.said.Address] == a.Name {
		delete(t.owners, old.said.Address)
	}
	t.owners[a.Address] = a.Name
	return true
}

// differs reports whether a says something that hosts decide by.
func differs(a, b *schema.Announcement) bool {
	return a.Incarnation != b.Incarnation || a.Address != b.Address || a.Pool != b.Pool ||
		a.Domain != b.Domain || a.Slots != b.Slots || a.Leaving != b.Leaving || a.Gone != b.Gone ||
		a.Silent != b.Silent || (a.Cold > 0) != (b.Cold > 0) || (a.Left > 0) != (b.Left > 0)
}

func (t *Table) silent(u *upstream, now time.Duration) bool {
	return now-u.heard > silentIntervals*t.Interval
}

// TakePeer stores what an entry host says of itself unless a newer report is held. Via
// names the control host that passed it on; empty: the host told this one. It reports
// whether anything that other hosts need changed.
func (t *Table) TakePeer(p *schema.Peer, via string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	old := t.peers[p.Name]
	if old != nil && !newerPeer(p, old.said) {
		return false
	}
	fresh := &peer{said: p, heard: now - time.Duration(p.Age*float64(time.Second)), via: via}
	changed := old == nil || old.said.Incarnation != p.Incarnation || old.said.Ready != p.Ready || old.said.Stopping != p.Stopping || old.said.Listen != p.Listen
	if changed {
		t.revision++
		fresh.revision = t.revision
	} else {
		fresh.revision = old.revision
	}
	t.peers[p.Name] = fresh
	return changed
}

// newerPeer reports whether a was said after b. The leader may find after the last report
// that a host fell silent.
func newerPeer(a, b *schema.Peer) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Number > b.Number || (a.Number == b.Number && b.Ready && !a.Ready)
}

// Sweep marks upstreams and hosts that fell silent, and forgets what is long gone. Leads
// says that this host hears of every host: only then does it judge hosts.
func (t *Table) Sweep(leads bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	for name, u := range t.upstreams {
		switch {
		case now-u.heard > forgetTime && (!t.Follows || u.said.Gone):
			delete(t.upstreams, name)
			if t.owners[u.said.Address] == name {
				delete(t.owners, u.said.Address)
			}
		case !t.Follows && !u.said.Silent && t.silent(u, now):
			said := proto.Clone(u.said).(*schema.Announcement)
			said.Silent = true
			t.revision++
			u.said, u.revision = said, t.revision
		}
	}
	if !t.Follows {
		t.sweepPeers(leads, now)
	}
}

func (t *Table) sweepPeers(leads bool, now time.Duration) {
	for name, p := range t.peers {
		switch {
		case now-p.heard > forgetTime:
			delete(t.peers, name)
		case leads && p.said.Ready && now-p.heard > unreadyTime:
			said := proto.Clone(p.said).(*schema.Peer)
			said.Ready = false
			t.revision++
			p.said, p.revision = said, t.revision
		}
	}
}

// Upstreams returns the upstreams that have not ended, by name.
func (t *Table) Upstreams() []*schema.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*schema.Announcement
	for _, u := range t.upstreams {
		if !u.said.Gone {
			all = append(all, u.said)
		}
	}
	slices.SortFunc(all, func(a, b *schema.Announcement) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Ready returns the hosts of a region that callers may be sent to, by name. An empty
// region means all.
func (t *Table) Ready(region string) []*schema.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*schema.Peer
	for _, p := range t.peers {
		if p.said.Ready && (region == "" || p.said.Region == region) {
			all = append(all, p.said)
		}
	}
	slices.SortFunc(all, func(a, b *schema.Peer) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Stopping returns the hosts of a region that said not longer ago than within that they
// stop, by name.
func (t *Table) Stopping(region string, within time.Duration) []*schema.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var all []*schema.Peer
	for _, p := range t.peers {
		if p.said.Stopping && p.said.Region == region && now-p.heard <= within {
			all = append(all, p.said)
		}
	}
	slices.SortFunc(all, func(a, b *schema.Peer) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Changes is what changed in a table since a position.
type Changes struct {
	Upstreams []*schema.Announcement
	Peers     []*schema.Peer
	// Cursor is the position to ask from next, in the table of Process.
	Cursor  uint64
	Process uint64
	// Whole says that this is everything, not only what changed.
	Whole bool
}

// Since returns the changes of one region's upstreams and of all hosts after a position.
// An empty region means all.
func (t *Table) Since(cursor, process uint64, region string) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	c := Changes{Cursor: t.revision, Process: t.process, Whole: process != t.process || cursor > t.revision}
	if c.Whole {
		cursor = 0
	}
	for _, u := range t.upstreams {
		if u.revision > cursor && (region == "" || u.said.Region == region) {
			c.Upstreams = append(c.Upstreams, aged(u, now))
		}
	}
	for _, p := range t.peers {
		if p.revision > cursor {
			c.Peers = append(c.Peers, bare(p, now))
		}
	}
	sortChanges(&c)
	return c
}

func sortChanges(c *Changes) {
	slices.SortFunc(c.Upstreams, func(a, b *schema.Announcement) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Peers, func(a, b *schema.Peer) int { return cmp.Compare(a.Name, b.Name) })
}

// aged returns a report with its age. Its other figures stay as they were when it was said.
func aged(u *upstream, now time.Duration) *schema.Announcement {
	a := proto.Clone(u.said).(*schema.Announcement)
	a.Age = (now - u.heard).Seconds()
	return a
}

// bare returns a peer without the figures that change all the time.
func bare(p *peer, now time.Duration) *schema.Peer {
	return &schema.Peer{
		Name: p.said.Name, Region: p.said.Region, Domain: p.said.Domain, Listen: p.said.Listen, Internal: p.said.Internal,
		Incarnation: p.said.Incarnation, Number: p.said.Number, Ready: p.said.Ready, Stopping: p.said.Stopping, Age: (now - p.heard).Seconds(),
	}
}

// Told returns the reports that upstreams and hosts gave to this host itself and that the
// leader should hear: changes at once, others from time to time.
func (t *Table) Told() ([]*schema.Announcement, []*schema.Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var c Changes
	for _, u := range t.upstreams {
		if u.own && (u.told == 0 || (now-u.told > renewTime && u.heard > u.told)) {
			u.told = now
			c.Upstreams = append(c.Upstreams, aged(u, now))
		}
	}
	for _, p := range t.peers {
		if p.via == "" && now-p.heard < renewTime {
			said := proto.Clone(p.said).(*schema.Peer)
			said.Age = (now - p.heard).Seconds()
			c.Peers = append(c.Peers, said)
		}
	}
	sortChanges(&c)
	return c.Upstreams, c.Peers
}

// Untold makes Told give every own report again: the leader may not have heard them.
func (t *Table) Untold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.upstreams {
		u.told = 0
	}
}
