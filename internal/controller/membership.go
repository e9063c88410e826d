package controller

import (
	"time"

	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Silence after which a voter may be replaced by a host that waits for its place.
	replaceAfter = 3 * time.Second
	// Silence after which a learner is dropped, and a candidate forgotten.
	dropAfter = 10 * time.Second
)

// candidate is a control host that asked to be a member.
type candidate struct {
	member *schema.Member
	// first is set if it asked when the whole system started for the first time.
	first bool
	asked time.Duration
}

// change is one step of membership: *addition, *promotion or *removal.
type change interface{ change() }

type addition struct{ member *schema.Member }

type promotion struct {
	id uint64
	// target is the size that the group reaches by it; 0: as before.
	target int32
}

type removal struct{ id uint64 }

func (*addition) change()  {}
func (*promotion) change() {}
func (*removal) change()   {}

// standing is what the leader knows of its members.
type standing interface {
	// silence is the time since a member last answered.
	silence(id uint64) time.Duration
	// current reports whether a learner holds every committed entry.
	current(id uint64) bool
}

// nextChange returns the next step towards a group of its target size in which every
// member is alive, or nil.
//
// A host that asks from a member's address under another identity has lost its disk: the
// old identity is taken out first, so that it never votes again. A group grows only while
// the system starts for the first time; later hosts wait as learners until a voter's place
// is free or a voter falls silent.
func nextChange(members *schema.Members, candidates []candidate, self uint64, s standing) change {
	if id := lostIdentity(members, candidates, self); id != 0 {
		return &removal{id}
	}
	voters, silent := countVoters(members, self, s)
	if voters > int(members.Target) && silent != 0 {
		return &removal{silent}
	}
	for _, c := range candidates {
		if find(members, c.member.Id) == nil {
			return &addition{c.member}
		}
	}
	return nextLearner(members, candidates, voters, silent, s)
}

// lostIdentity returns the member whose address another identity asks from.
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

// countVoters returns the number of voters and one that is silent, or 0.
func countVoters(members *schema.Members, self uint64, s standing) (voters int, silent uint64) {
	for _, m := range members.Members {
		if !m.Voter {
			continue
		}
		voters++
		if m.Id != self && s.silence(m.Id) > replaceAfter {
			silent = m.Id
		}
	}
	return voters, silent
}

func nextLearner(members *schema.Members, candidates []candidate, voters int, silent uint64, s standing) change {
	for _, m := range members.Members {
		if m.Voter {
			continue
		}
		if s.silence(m.Id) > dropAfter {
			return &removal{m.Id}
		}
		if !s.current(m.Id) {
			continue
		}
		switch {
		case voters < int(members.Target) || silent != 0:
			return &promotion{id: m.Id}
		case asksFirst(candidates, m.Id):
			return &promotion{id: m.Id, target: int32(voters + 1)}
		}
	}
	return nil
}

func asksFirst(candidates []candidate, id uint64) bool {
	for _, c := range candidates {
		if c.member.Id == id {
			return c.first
		}
	}
	return false
}

func find(members *schema.Members, id uint64) *schema.Member {
	for _, m := range members.Members {
		if m.Id == id {
			return m
		}
	}
	return nil
}

// replicaStanding is a standing read from the replica.
type replicaStanding struct{ r *replicator.Replica }

func (s replicaStanding) silence(id uint64) time.Duration {
	return time.Duration(s.r.Silent(id)) * tickInterval
}

func (s replicaStanding) current(id uint64) bool { return s.r.Match(id) >= s.r.Commit() }

// changeMembers takes the next step of membership. Only the leader does.
func (c *Controller) changeMembers(candidates []candidate) {
	c.step(func(r *replicator.Replica) {
		if r.LeaseTicks() == 0 {
			return
		}
		next := nextChange(r.Members(), candidates, r.ID, replicaStanding{r})
		var err error
		switch x := next.(type) {
		case nil:
			return
		case *addition:
			err = r.AddLearner(x.member)
			c.Log.Info().Err(err).Uint64("member", x.member.Id).Str("address", x.member.Address).Msg("learner added")
		case *promotion:
			err = r.Promote(x.id, x.target)
			c.Log.Info().Err(err).Uint64("member", x.id).Int32("target", x.target).Msg("learner promoted")
		case *removal:
			silence := time.Duration(r.Silent(x.id)) * tickInterval
			err = r.Remove(x.id)
			c.Log.Info().Err(err).Uint64("member", x.id).Dur("silent", silence).Msg("member removed")
		}
	})
}
