package replicator

import (
	"slices"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// Step takes one message.
func (r *Replica) Step(m *schema.Message) {
	switch m.Kind {
	case schema.MessageKind_MESSAGE_PREVOTE, schema.MessageKind_MESSAGE_VOTE:
		r.stepVote(m)
	case schema.MessageKind_MESSAGE_PREVOTE_REPLY, schema.MessageKind_MESSAGE_VOTE_REPLY:
		r.stepVoteReply(m)
	case schema.MessageKind_MESSAGE_APPEND, schema.MessageKind_MESSAGE_SNAPSHOT:
		r.stepFromLeader(m)
	case schema.MessageKind_MESSAGE_APPEND_REPLY:
		r.stepAppendReply(m)
	}
}

func (r *Replica) stepFromLeader(m *schema.Message) {
	if m.Term < r.term {
		r.send(&schema.Message{Kind: schema.MessageKind_MESSAGE_APPEND_REPLY, To: m.From, Term: r.term, Reject: true})
		return
	}
	r.follow(m.Term, m.From)
	r.heard = r.now
	if m.Kind == schema.MessageKind_MESSAGE_SNAPSHOT {
		r.stepSnapshot(m)
		return
	}
	r.stepAppend(m)
}

func (r *Replica) stepAppend(m *schema.Message) {
	reply := &schema.Message{Kind: schema.MessageKind_MESSAGE_APPEND_REPLY, To: m.From, Term: r.term, Round: m.Round}
	if m.Index < r.commit {
		reply.Index = r.commit
		r.send(reply)
		return
	}
	if t, ok := r.log.term(m.Index); !ok || t != m.Logterm {
		reply.Reject = true
		reply.Hint = r.conflictHint(m.Index)
		reply.Index = m.Index
		r.send(reply)
		return
	}
	r.store(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, last))
	reply.Index = last
	r.send(reply)
}

// conflictHint returns an index to resume from, skipping the whole conflicting term.
func (r *Replica) conflictHint(index uint64) uint64 {
	if index > r.log.last() {
		return r.log.last()
	}
	t, _ := r.log.term(index)
	for index > r.commit {
		if have, ok := r.log.term(index); !ok || have != t {
			break
		}
		index--
	}
	return index
}

// store appends the entries that the log lacks and drops those that contradict them.
func (r *Replica) store(entries []*schema.Entry) {
	changed := false
	for i, e := range entries {
		t, ok := r.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			r.log.truncate(e.Index)
			r.unsaved = min(r.unsaved, e.Index)
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
	if m.Snapshot.Index > r.commit {
		r.log.reset(m.Snapshot)
		r.commit, r.applied = m.Snapshot.Index, m.Snapshot.Index
		r.unsaved = m.Snapshot.Index + 1
		r.out.Snapshot = m.Snapshot
		r.refreshMembers()
	}
	reply.Index = r.commit
	r.send(reply)
}

func (r *Replica) commitTo(index uint64) {
	r.commit = max(r.commit, index)
}

// heartbeat opens a new round and sends every member what it lacks.
func (r *Replica) heartbeat() {
	r.round++
	r.rounds[r.round] = r.now
	for id := range r.rounds {
		if r.now-r.rounds[id] > r.ElectionTicks {
			delete(r.rounds, id)
		}
	}
	for _, m := range r.members.Members {
		if m.Id != r.ID {
			r.sendAppend(m.Id)
		}
	}
	r.extendLease()
}

// broadcast sends new entries to the members that wait for none.
func (r *Replica) broadcast() {
	for _, m := range r.members.Members {
		if m.Id != r.ID && !r.peers[m.Id].waiting {
			r.sendAppend(m.Id)
		}
	}
}

func (r *Replica) sendAppend(id uint64) {
	p := r.peers[id]
	prev := p.next - 1
	t, ok := r.log.term(prev)
	if !ok {
		r.sendSnapshot(id)
		return
	}
	entries := r.log.slice(p.next, appendLimitBytes)
	p.waiting = len(entries) > 0
	r.send(&schema.Message{
		Kind: schema.MessageKind_MESSAGE_APPEND, To: id, Term: r.term, Index: prev, Logterm: t,
		Commit: r.commit, Entries: entries, Round: r.round,
	})
}

func (r *Replica) sendSnapshot(id uint64) {
	p := r.peers[id]
	if p.waiting && r.now-p.snapshot < snapshotRetryElections*r.ElectionTicks {
		r.send(&schema.Message{Kind: schema.MessageKind_MESSAGE_APPEND, To: id, Term: r.term, Round: r.round})
		return
	}
	s := r.Capture()
	if s == nil {
		return
	}
	p.waiting, p.snapshot = true, r.now
	r.send(&schema.Message{Kind: schema.MessageKind_MESSAGE_SNAPSHOT, To: id, Term: r.term, Snapshot: s, Round: r.round})
}

func (r *Replica) stepAppendReply(m *schema.Message) {
	if m.Term > r.term {
		r.follow(m.Term, 0)
		return
	}
	if r.role != Leader || m.Term < r.term {
		return
	}
	p := r.peers[m.From]
	if p == nil {
		return
	}
	p.heard = r.now
	p.round = max(p.round, m.Round)
	r.extendLease()
	if !m.Reject && m.Index < r.log.base && p.waiting {
		return // a bare heartbeat answered while a snapshot is on its way
	}
	p.waiting = false
	if m.Reject {
		p.next = max(min(m.Hint, m.Index-1)+1, p.match+1)
		r.sendAppend(m.From)
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	r.advance()
	if r.role == Leader && p.next <= r.log.last() {
		r.sendAppend(m.From)
	}
}

// advance commits the newest entry of the leader's term that a majority has synced.
func (r *Replica) advance() {
	var matches []uint64
	for _, m := range r.members.Members {
		if m.Voter {
			matches = append(matches, r.peers[m.Id].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if t, ok := r.log.term(index); !ok || t != r.term || index <= r.commit {
		return
	}
	r.commitTo(index)
	r.broadcast()
}

// extendLease counts the lease from the sending of the newest round that a majority
// answered: until an election timeout after that, none of them grants a vote.
func (r *Replica) extendLease() {
	for round, sent := range r.rounds {
		answered := r.quorum(func(id uint64) bool { return id == r.ID || r.peers[id].round >= round })
		if answered {
			r.lease = max(r.lease, sent+r.ElectionTicks-leaseDriftTicks)
		}
	}
}
