package replicator

import "github.com/trefoilloft/trefoilloft/internal/schema"

// follow makes the replica a follower in term.
func (r *Replica) follow(term, leader uint64) {
	if term > r.term {
		r.term, r.vote = term, 0
		r.ballotDirty = true
	}
	r.role = Follower
	r.leader = leader
	r.peers, r.rounds = nil, nil
	r.resetDeadline()
}

// campaign asks for votes, first without a new term so that a replica that was cut off
// for long does not depose a leader that the others still hear.
func (r *Replica) campaign(role Role) {
	r.role = role
	r.leader = 0
	r.votes = map[uint64]bool{r.ID: true}
	r.resetDeadline()
	kind, term := schema.MessageKind_MESSAGE_PREVOTE, r.term+1
	if role == Candidate {
		r.term++
		r.vote = r.ID
		r.ballotDirty = true
		kind, term = schema.MessageKind_MESSAGE_VOTE, r.term
	}
	for _, m := range r.members.Members {
		if m.Id == r.ID || !m.Voter {
			continue
		}
		r.send(&schema.Message{Kind: kind, To: m.Id, Term: term, Index: r.log.last(), Logterm: r.log.lastTerm()})
	}
	r.countVotes()
}

func (r *Replica) countVotes() {
	if !r.quorum(func(id uint64) bool { return r.votes[id] }) {
		return
	}
	switch r.role {
	case PreCandidate:
		r.campaign(Candidate)
	case Candidate:
		r.lead()
	}
}

func (r *Replica) lead() {
	r.role = Leader
	r.leader = r.ID
	r.lease = 0
	r.rounds = map[uint64]int{}
	r.peers = nil
	r.refreshMembers()
	r.appendLocal(schema.EntryKind_ENTRY_EMPTY, nil)
	r.heartbeat()
}

// hearsLeader reports whether a leader may hold a lease that this replica promised.
func (r *Replica) hearsLeader() bool {
	if r.role == Leader {
		return true
	}
	return r.now-r.heard < r.ElectionTicks
}

func (r *Replica) stepVote(m *schema.Message) {
	pre := m.Kind == schema.MessageKind_MESSAGE_PREVOTE
	reply := schema.MessageKind_MESSAGE_VOTE_REPLY
	if pre {
		reply = schema.MessageKind_MESSAGE_PREVOTE_REPLY
	}
	if m.Term < r.term {
		r.send(&schema.Message{Kind: reply, To: m.From, Term: r.term, Reject: true})
		return
	}
	if r.hearsLeader() {
		return
	}
	if m.Term > r.term && !pre {
		r.follow(m.Term, 0)
	}
	current := m.Logterm > r.log.lastTerm() || (m.Logterm == r.log.lastTerm() && m.Index >= r.log.last())
	free := pre || r.vote == 0 || r.vote == m.From
	if !current || !free {
		r.send(&schema.Message{Kind: reply, To: m.From, Term: r.term, Reject: true})
		return
	}
	if !pre {
		r.vote = m.From
		r.ballotDirty = true
		r.resetDeadline()
	}
	r.send(&schema.Message{Kind: reply, To: m.From, Term: m.Term})
}

func (r *Replica) stepVoteReply(m *schema.Message) {
	want, term := Candidate, r.term
	if m.Kind == schema.MessageKind_MESSAGE_PREVOTE_REPLY {
		want, term = PreCandidate, r.term+1
	}
	if m.Reject {
		if m.Term > r.term {
			r.follow(m.Term, 0)
		}
		return
	}
	if r.role != want || m.Term != term {
		return
	}
	r.votes[m.From] = true
	r.countVotes()
}
