package replicator

import (
	"slices"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// Step processes one message from another replica. After ErrInvalidMessage nothing has changed.
func (r *Replica) Step(m *schema.Message) error {
	if err := r.check(m); err != nil {
		return err
	}
	switch m.Kind {
	case schema.MessageKind_MESSAGE_PREVOTE, schema.MessageKind_MESSAGE_VOTE:
		r.stepVoteRequest(m)
	case schema.MessageKind_MESSAGE_PREVOTE_REPLY, schema.MessageKind_MESSAGE_VOTE_REPLY:
		r.stepVoteReply(m)
	case schema.MessageKind_MESSAGE_APPEND, schema.MessageKind_MESSAGE_SNAPSHOT:
		r.stepFromLeader(m)
	case schema.MessageKind_MESSAGE_APPEND_REPLY:
		r.stepAppendReply(m)
	}
	return nil
}

func (r *Replica) stepFromLeader(m *schema.Message) {
	if m.Term < r.term {
		r.send(&schema.Message{Kind: schema.MessageKind_MESSAGE_APPEND_REPLY, To: m.From, Term: r.term, Reject: true})
		return
	}
	r.becomeFollower(m.Term, m.From)
	r.leaderContactAt = r.now
	if m.Kind == schema.MessageKind_MESSAGE_SNAPSHOT {
		r.stepSnapshot(m)
		return
	}
	r.stepAppend(m)
}

func (r *Replica) stepAppend(m *schema.Message) {
	reply := &schema.Message{Kind: schema.MessageKind_MESSAGE_APPEND_REPLY, To: m.From, Term: r.term, Round: m.Round}
	if m.Index < r.commitIndex {
		reply.Index = r.commitIndex
		r.send(reply)
		return
	}
	if t, ok := r.log.termAt(m.Index); !ok || t != m.Logterm {
		reply.Reject = true
		reply.Hint = r.conflictHint(m.Index)
		reply.Index = m.Index
		r.send(reply)
		return
	}
	r.mergeEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, last))
	reply.Index = last
	r.send(reply)
}

// conflictHint returns the index after which the leader should resume: lastIndex if the log
// ends before index, else that of the entry before those of the conflicting term, but not
// below commitIndex.
func (r *Replica) conflictHint(index uint64) uint64 {
	if index > r.log.lastIndex() {
		return r.log.lastIndex()
	}
	t, _ := r.log.termAt(index)
	for index > r.commitIndex {
		if have, ok := r.log.termAt(index); !ok || have != t {
			break
		}
		index--
	}
	return index
}

// mergeEntries appends the entries that the log lacks, after truncating the log at the
// first entry that conflicts with them.
func (r *Replica) mergeEntries(entries []*schema.Entry) {
	changed := false
	for i, e := range entries {
		t, ok := r.log.termAt(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			r.log.truncateFrom(e.Index)
			r.firstUnsaved = min(r.firstUnsaved, e.Index)
		}
		r.log.append(entries[i:]...)
		changed = true
		break
	}
	if changed {
		r.refreshMembers()
	}
}

func (r *Replica) stepSnapshot(m *schema.Message) {
	reply := &schema.Message{Kind: schema.MessageKind_MESSAGE_APPEND_REPLY, To: m.From, Term: r.term, Round: m.Round}
	if m.Snapshot.Index > r.commitIndex {
		r.log.resetToSnapshot(m.Snapshot)
		r.commitIndex, r.appliedIndex = m.Snapshot.Index, m.Snapshot.Index
		r.firstUnsaved = m.Snapshot.Index + 1
		r.output.Snapshot = m.Snapshot
		r.refreshMembers()
	}
	reply.Index = r.commitIndex
	r.send(reply)
}

func (r *Replica) commitTo(index uint64) {
	r.commitIndex = max(r.commitIndex, index)
}

// broadcastHeartbeat starts a new heartbeat round. Each heartbeat carries the entries that
// the member lacks, unless they are in flight.
func (r *Replica) broadcastHeartbeat() {
	r.heartbeatRound++
	r.roundSentAt[r.heartbeatRound] = r.now
	for round := range r.roundSentAt {
		if r.now-r.roundSentAt[round] > r.ElectionTicks {
			delete(r.roundSentAt, round)
		}
	}
	for _, m := range r.members.Members {
		if m.Id != r.ID {
			r.sendAppend(m.Id)
		}
	}
	r.extendLease()
}

// broadcastAppend sends new entries to the members that have none in flight.
func (r *Replica) broadcastAppend() {
	for _, m := range r.members.Members {
		if m.Id != r.ID && !r.memberProgress[m.Id].inFlight {
			r.sendAppend(m.Id)
		}
	}
}

func (r *Replica) sendAppend(id uint64) {
	p := r.memberProgress[id]
	prev := p.nextIndex - 1
	t, ok := r.log.termAt(prev)
	if !ok {
		r.sendSnapshot(id)
		return
	}
	var entries []*schema.Entry
	if !p.inFlight || p.lastInFlight == 0 || r.now >= p.resendAt {
		entries = r.log.entriesFrom(p.nextIndex, maxAppendBytes)
		p.inFlight, p.lastInFlight = len(entries) > 0, 0
	}
	if len(entries) > 0 {
		size := 0
		for _, e := range entries {
			size += len(e.Data) + entryOverheadBytes
		}
		p.lastInFlight = entries[len(entries)-1].Index
		p.resendAt = r.now + r.ElectionTicks/2 + size/minBytesPerTick
	}
	r.send(&schema.Message{
		Kind: schema.MessageKind_MESSAGE_APPEND, To: id, Term: r.term, Index: prev, Logterm: t,
		Commit: r.commitIndex, Entries: entries, Round: r.heartbeatRound,
	})
}

func (r *Replica) sendSnapshot(id uint64) {
	p := r.memberProgress[id]
	if p.inFlight && r.now-p.snapshotSentAt < snapshotResendTimeouts*r.ElectionTicks {
		r.send(&schema.Message{Kind: schema.MessageKind_MESSAGE_APPEND, To: id, Term: r.term, Round: r.heartbeatRound})
		return
	}
	s := r.CaptureSnapshot()
	if s == nil {
		return
	}
	p.inFlight, p.lastInFlight, p.snapshotSentAt = true, 0, r.now
	r.send(&schema.Message{Kind: schema.MessageKind_MESSAGE_SNAPSHOT, To: id, Term: r.term, Snapshot: s, Round: r.heartbeatRound})
}

func (r *Replica) stepAppendReply(m *schema.Message) {
	if m.Term > r.term {
		r.becomeFollower(m.Term, 0)
		return
	}
	if r.role != Leader || m.Term < r.term {
		return
	}
	p := r.memberProgress[m.From]
	if p == nil {
		return
	}
	p.repliedAt = r.now
	p.ackedRound = max(p.ackedRound, m.Round)
	r.extendLease()
	if !m.Reject && m.Index < r.log.snapshotIndex && p.inFlight {
		return // reply to an empty heartbeat that was sent while a snapshot is in flight
	}
	if !m.Reject && p.lastInFlight > 0 && m.Index < p.nextIndex && r.now < p.resendAt {
		return // reply to an empty heartbeat that was sent while entries are in flight
	}
	p.inFlight, p.lastInFlight = false, 0
	if m.Reject {
		p.nextIndex = max(min(m.Hint, m.Index-1)+1, p.matchIndex+1)
		r.sendAppend(m.From)
		return
	}
	p.matchIndex = max(p.matchIndex, m.Index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	r.advanceCommit()
	if r.role == Leader && p.nextIndex <= r.log.lastIndex() {
		r.sendAppend(m.From)
	}
}

// advanceCommit raises the commit index to the entry that a majority of the voters has
// synced. It does so only for an entry of the leader's own term, as Raft requires.
func (r *Replica) advanceCommit() {
	var matches []uint64
	for _, m := range r.members.Members {
		if m.Voter {
			matches = append(matches, r.memberProgress[m.Id].matchIndex)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if t, ok := r.log.termAt(index); !ok || t != r.term || index <= r.commitIndex {
		return
	}
	r.commitTo(index)
	r.broadcastAppend()
}

// extendLease extends the leader lease. It lasts for an election timeout, less leaseDriftTicks,
// from the sending of the newest heartbeat round that a majority answered: until then none of
// that majority grants a vote.
func (r *Replica) extendLease() {
	for round, sentAt := range r.roundSentAt {
		acked := r.hasMajority(func(id uint64) bool { return id == r.ID || r.memberProgress[id].ackedRound >= round })
		if acked {
			r.leaseUntil = max(r.leaseUntil, sentAt+r.ElectionTicks-leaseDriftTicks)
		}
	}
}
