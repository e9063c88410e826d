package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// view is what a control host knows after a step. It is immutable.
type view struct {
	role    replicator.Role
	term    uint64
	commit  uint64
	applied uint64
	// lease is the boot time until which no other host can lead; 0 if this one does not lead.
	lease    time.Duration
	leader   uint64
	hears    bool
	members  *schema.Members
	document *schema.Document
}

// publishView makes the present state readable without the lock, which a slow disk may
// hold for seconds. The caller holds mu, or runs before Run.
func (c *Controller) publishView() {
	role, term, leader := c.replica.Role()
	v := &view{
		role: role, term: term, commit: c.replica.Commit(), applied: c.applied, leader: leader,
		hears: c.replica.Hears(), members: c.replica.Members(), document: c.state.Document(),
	}
	if ticks := c.replica.LeaseTicks(); ticks > 0 {
		v.lease = c.ticked + time.Duration(ticks)*tickInterval
	}
	c.view.Store(v)
}

// leads reports whether no other host can lead at a time.
func (v *view) leads(now time.Duration) bool { return now < v.lease }

// address returns the address of the leader that this host follows; empty if unknown.
func (v *view) address() string {
	for _, m := range v.members.Members {
		if m.Id == v.leader {
			return m.Address
		}
	}
	return ""
}

func (v *view) addresses() []string {
	var all []string
	for _, m := range v.members.Members {
		all = append(all, m.Address)
	}
	return all
}

func (v *view) member(id uint64) *schema.Member {
	for _, m := range v.members.Members {
		if m.Id == id {
			return m
		}
	}
	return nil
}

func (v *view) voters() int {
	n := 0
	for _, m := range v.members.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// nearest returns the members' addresses, those of the host's failure domain first, then
// those of its region.
func (v *view) nearest(host *schema.Peer) []string {
	far := func(m *schema.Member) int {
		switch {
		case m.Domain == host.Domain:
			return 0
		case m.Region == host.Region:
			return 1
		}
		return 2
	}
	members := slices.Clone(v.members.Members)
	spread := func(m *schema.Member) uint64 { return xxhash.Sum64String(m.Address + host.Name) }
	slices.SortFunc(members, func(a, b *schema.Member) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(spread(a), spread(b)))
	})
	var all []string
	for _, m := range members {
		all = append(all, m.Address)
	}
	return all
}
