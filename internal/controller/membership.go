package controller

import (
	"time"

	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Time since its last reply after which a voter may be replaced by a learner.
	voterTimeout = 3 * time.Second
	// Time since its last reply after which a learner is removed, and since its last request to
	// join after which a candidate is forgotten.
	dropTimeout = 10 * time.Second
)

// candidate is a control host that requested to join.
type candidate struct {
	member *schema.Member
	// firstStart is set if it requested to join in the first start of the whole system.
	firstStart  bool
	requestedAt time.Duration // time of its last request, on the clock of the leader's Timer
}

// membershipChange is a change of one member: *addition, *promotion or *removal.
type membershipChange interface{ isMembershipChange() }

// addition adds a learner.
type addition struct{ member *schema.Member }

// promotion gives a learner a vote.
type promotion struct {
	id uint64
	// target is the new target number of voters; 0 leaves it as it is.
	target int32
}

// removal removes a voter or learner.
type removal struct{ id uint64 }

func (*addition) isMembershipChange()  {}
func (*promotion) isMembershipChange() {}
func (*removal) isMembershipChange()   {}

// memberStatus is the leader's view of the other members.
type memberStatus interface {
	// sinceLastReply returns the time since the member last replied.
	sinceLastReply(id uint64) time.Duration
	// caughtUp reports whether the member holds every committed entry.
	caughtUp(id uint64) bool
}

// nextChange returns the next change towards a group that has its target number of voters and
// in which every member responds; nil if there is none. self is the leader.
//
// A candidate that requests to join from a member's address under another identity has lost
// its disk: the old identity is removed first, so that it never votes again. The target grows
// only while the system starts for the first time; later hosts stay learners until a
// voter is missing or does not respond.
func nextChange(members *schema.Members, candidates []candidate, self uint64, s memberStatus) membershipChange {
	if id := lostIdentity(members, candidates, self); id != 0 {
		return &removal{id}
	}
	voters, unresponsive := countVoters(members, self, s)
	if voters > int(members.Target) && unresponsive != 0 {
		return &removal{unresponsive}
	}
	for _, c := range candidates {
		if findMember(members, c.member.Id) == nil {
			return &addition{c.member}
		}
	}
	return nextLearnerChange(members, candidates, voters, unresponsive, s)
}

// lostIdentity returns a member other than self whose address a candidate with another
// identity uses, or 0.
func lostIdentity(members *schema.Members, candidates []candidate, self uint64) uint64 {
	for _, c := range candidates {
		for _, m := range members.Members {
			if m.Address == c.member.Address && m.Id != c.member.Id && m.Id != self {
				return m.Id
			}
		}
	}
	return 0
}

// countVoters returns the number of voters and the identity of one that does not respond, or 0.
func countVoters(members *schema.Members, self uint64, s memberStatus) (voters int, unresponsive uint64) {
	for _, m := range members.Members {
		if !m.Voter {
			continue
		}
		voters++
		if m.Id != self && s.sinceLastReply(m.Id) > voterTimeout {
			unresponsive = m.Id
		}
	}
	return voters, unresponsive
}

func nextLearnerChange(members *schema.Members, candidates []candidate, voters int, unresponsive uint64, s memberStatus) membershipChange {
	for _, m := range members.Members {
		if m.Voter {
			continue
		}
		if s.sinceLastReply(m.Id) > dropTimeout {
			return &removal{m.Id}
		}
		if !s.caughtUp(m.Id) {
			continue
		}
		switch {
		case voters < int(members.Target) || unresponsive != 0:
			return &promotion{id: m.Id}
		case askedAtFirstStart(candidates, m.Id):
			return &promotion{id: m.Id, target: int32(voters + 1)}
		}
	}
	return nil
}

func askedAtFirstStart(candidates []candidate, id uint64) bool {
	for _, c := range candidates {
		if c.member.Id == id {
			return c.firstStart
		}
	}
	return false
}

func findMember(members *schema.Members, id uint64) *schema.Member {
	for _, m := range members.Members {
		if m.Id == id {
			return m
		}
	}
	return nil
}

// replicaStatus is the memberStatus according to the replica of the leader.
type replicaStatus struct{ r *replicator.Replica }

func (s replicaStatus) sinceLastReply(id uint64) time.Duration {
	return time.Duration(s.r.TicksSinceReply(id)) * tickInterval
}

func (s replicaStatus) caughtUp(id uint64) bool { return s.r.MatchIndex(id) >= s.r.CommitIndex() }

// proposeNextChange proposes the next change of members if this host leads.
func (c *Controller) proposeNextChange(candidates []candidate) {
	c.step(func(r *replicator.Replica) {
		if r.RemainingLeaseTicks() == 0 {
			return
		}
		next := nextChange(r.Members(), candidates, r.ID, replicaStatus{r})
		var err error
		switch x := next.(type) {
		case nil:
			return
		case *addition:
			err = r.AddLearner(x.member)
			c.Log.Info().Err(err).Uint64("member", x.member.Id).Str("address", x.member.Address).Msg("learner added")
		case *promotion:
			err = r.PromoteLearner(x.id, x.target)
			c.Log.Info().Err(err).Uint64("member", x.id).Int32("target", x.target).Msg("learner promoted")
		case *removal:
			sinceLastReply := time.Duration(r.TicksSinceReply(x.id)) * tickInterval
			err = r.RemoveMember(x.id)
			c.Log.Info().Err(err).Uint64("member", x.id).Dur("silent", sinceLastReply).Msg("member removed")
		}
	})
}
