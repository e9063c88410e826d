package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// view is the state of a control host after a step. It is immutable.
type view struct {
	role         replicator.Role
	term         uint64
	commitIndex  uint64
	appliedIndex uint64
	// leaseUntil is the time, on the clock of the controller's Timer, until which no other host
	// can lead; 0 if this host does not lead, or has not applied all that was committed before it led.
	leaseUntil     time.Duration
	leaderID       uint64 // identity of the leader that this host follows; 0 if unknown
	leaderResponds bool   // it leads, or received a message from its leader within an election timeout
	members        *schema.Members
	document       *schema.Document // newest committed document; nil if there is none
}

// publishView makes the current state readable without mu, which may be held for seconds while
// a slow disk syncs. The caller holds mu, or runs before Run.
func (c *Controller) publishView() {
	role, term, leader := c.replica.Status()
	v := &view{
		role: role, term: term, commitIndex: c.replica.CommitIndex(), appliedIndex: c.appliedIndex, leaderID: leader,
		leaderResponds: c.replica.HasLeader(), members: c.replica.Members(), document: c.state.Document(),
	}
	ticks := c.replica.RemainingLeaseTicks()
	// A leader has committed an entry of its own when it has a lease: all that any leader committed before
	// is at or before commitIndex.
	c.caughtUp = role == replicator.Leader && (c.caughtUp || ticks > 0 && v.appliedIndex >= v.commitIndex)
	if ticks > 0 && c.caughtUp {
		v.leaseUntil = c.tickedUntil + time.Duration(ticks)*tickInterval
	}
	c.view.Store(v)
}

// holdsLease reports whether this host leads and no other host can lead at now.
func (v *view) holdsLease(now time.Duration) bool { return now < v.leaseUntil }

// leaderAddress returns the address of the leader; empty if unknown.
func (v *view) leaderAddress() string {
	for _, m := range v.members.Members {
		if m.Id == v.leaderID {
			return m.Address
		}
	}
	return ""
}

func (v *view) memberAddresses() []string {
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

func (v *view) voterCount() int {
	n := 0
	for _, m := range v.members.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// nearestAddresses returns the members' addresses: those in the entry host's region first. A hash
// spreads the hosts of a region evenly over its members, and those of a lost member over the others;
// by failure domain they would be uneven, as domains differ in their members.
func (v *view) nearestAddresses(host *schema.Peer) []string {
	distance := func(m *schema.Member) int {
		if m.Region == host.Region {
			return 0
		}
		return 1
	}
	members := slices.Clone(v.members.Members)
	hash := func(m *schema.Member) uint64 { return xxhash.Sum64String(m.Address + host.Name) }
	slices.SortFunc(members, func(a, b *schema.Member) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(hash(a), hash(b)))
	})
	var all []string
	for _, m := range members {
		all = append(all, m.Address)
	}
	return all
}
