package replicator

import "github.com/trefoilloft/trefoilloft/internal/schema"

// becomeFollower makes the replica a follower in term. leaderID is 0 if the leader is unknown.
func (r *Replica) becomeFollower(term, leaderID uint64) {
	if term > r.term {
		r.term, r.votedFor = term, 0
		r.hardStateChanged = true
	}
	r.role = Follower
	r.leaderID = leaderID
	r.memberProgress, r.roundSentAt = nil, nil
	r.resetElectionTimer()
}

// campaign starts an election. As a PreCandidate the replica asks for pre-votes without a
// new term, so that one that was partitioned for long does not depose a leader that the
// others still receive heartbeats from.
func (r *Replica) campaign(role Role) {
	r.role = role
	r.leaderID = 0
	r.votesGranted = map[uint64]bool{r.ID: true}
	r.resetElectionTimer()
	kind, term := schema.MessageKind_MESSAGE_PREVOTE, r.term+1
	if role == Candidate {
		r.term++
		r.votedFor = r.ID
		r.hardStateChanged = true
		kind, term = schema.MessageKind_MESSAGE_VOTE, r.term
	}
	for _, m := range r.members.Members {
		if m.Id == r.ID || !m.Voter {
			continue
		}
		r.send(&schema.Message{Kind: kind, To: m.Id, Term: term, Index: r.log.lastIndex(), Logterm: r.log.lastTerm()})
	}
	r.countVotes()
}

func (r *Replica) countVotes() {
	if !r.hasMajority(func(id uint64) bool { return r.votesGranted[id] }) {
		return
	}
	switch r.role {
	case PreCandidate:
		r.campaign(Candidate)
	case Candidate:
		r.becomeLeader()
	}
}

func (r *Replica) becomeLeader() {
	r.role = Leader
	r.leaderID = r.ID
	r.leaseUntil = 0
	r.roundSentAt = map[uint64]int{}
	r.memberProgress = nil
	r.refreshMembers()
	r.appendLocal(schema.EntryKind_ENTRY_EMPTY, nil)
	r.broadcastHeartbeat()
}

// hasRecentLeader reports whether a leader may hold a lease that rests on this replica's
// replies. No vote is granted until that lease has ended.
func (r *Replica) hasRecentLeader() bool {
	if r.role == Leader {
		return true
	}
	return r.now-r.leaderContactAt < r.ElectionTicks
}

func (r *Replica) stepVoteRequest(m *schema.Message) {
	isPreVote := m.Kind == schema.MessageKind_MESSAGE_PREVOTE
	replyKind := schema.MessageKind_MESSAGE_VOTE_REPLY
	if isPreVote {
		replyKind = schema.MessageKind_MESSAGE_PREVOTE_REPLY
	}
	if m.Term < r.term {
		r.send(&schema.Message{Kind: replyKind, To: m.From, Term: r.term, Reject: true})
		return
	}
	if r.hasRecentLeader() {
		return
	}
	if m.Term > r.term && !isPreVote {
		r.becomeFollower(m.Term, 0)
	}
	logUpToDate := m.Logterm > r.log.lastTerm() || (m.Logterm == r.log.lastTerm() && m.Index >= r.log.lastIndex())
	voteAvailable := isPreVote || r.votedFor == 0 || r.votedFor == m.From
	if !logUpToDate || !voteAvailable {
		r.send(&schema.Message{Kind: replyKind, To: m.From, Term: r.term, Reject: true})
		return
	}
	if !isPreVote {
		r.votedFor = m.From
		r.hardStateChanged = true
		r.resetElectionTimer()
	}
	r.send(&schema.Message{Kind: replyKind, To: m.From, Term: m.Term})
}

func (r *Replica) stepVoteReply(m *schema.Message) {
	wantRole, wantTerm := Candidate, r.term
	if m.Kind == schema.MessageKind_MESSAGE_PREVOTE_REPLY {
		wantRole, wantTerm = PreCandidate, r.term+1
	}
	if m.Reject {
		if m.Term > r.term {
			r.becomeFollower(m.Term, 0)
		}
		return
	}
	if r.role != wantRole || m.Term != wantTerm {
		return
	}
	r.votesGranted[m.From] = true
	r.countVotes()
}
