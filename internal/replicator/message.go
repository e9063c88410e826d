package replicator

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// ErrInvalidMessage reports a message that no sound replica can have sent. It changed nothing.
var ErrInvalidMessage = errors.New("replicator: invalid message")

// check returns ErrInvalidMessage if a sound replica cannot have sent a message, as far as this replica can tell.
func (r *Replica) check(m *schema.Message) error {
	if m.From == 0 || m.From == r.ID {
		return fmt.Errorf("%w: sender %d", ErrInvalidMessage, m.From)
	}
	switch m.Kind {
	case schema.MessageKind_MESSAGE_PREVOTE, schema.MessageKind_MESSAGE_VOTE:
		return checkTerms(m, m.Logterm, m.Term-1)
	case schema.MessageKind_MESSAGE_PREVOTE_REPLY, schema.MessageKind_MESSAGE_VOTE_REPLY:
		return nil
	case schema.MessageKind_MESSAGE_APPEND:
		return errors.Join(r.checkLeader(m), checkEntries(m))
	case schema.MessageKind_MESSAGE_APPEND_REPLY:
		return r.checkAppendReply(m)
	case schema.MessageKind_MESSAGE_SNAPSHOT:
		return errors.Join(r.checkLeader(m), checkSnapshot(m))
	}
	return fmt.Errorf("%w: kind %d", ErrInvalidMessage, m.Kind)
}

// checkTerms returns ErrInvalidMessage if a message has no term, or a term in its log is higher than maxTerm.
func checkTerms(m *schema.Message, logTerm, maxTerm uint64) error {
	if m.Term == 0 || logTerm > maxTerm {
		return fmt.Errorf("%w: term %d, term in the log %d", ErrInvalidMessage, m.Term, logTerm)
	}
	return nil
}

// checkLeader returns ErrInvalidMessage if another replica leads in the term of a leader's message.
func (r *Replica) checkLeader(m *schema.Message) error {
	if m.Term == r.term && r.leaderID != 0 && r.leaderID != m.From {
		return fmt.Errorf("%w: from %d, but %d leads in term %d", ErrInvalidMessage, m.From, r.leaderID, m.Term)
	}
	return nil
}

func checkEntries(m *schema.Message) error {
	index, term := m.Index, m.Logterm
	for _, e := range m.Entries {
		index++
		if e.Index != index || e.Term < term {
			return fmt.Errorf("%w: entry %d of term %d in place of entry %d, after term %d", ErrInvalidMessage, e.Index, e.Term, index, term)
		}
		term = e.Term
		if e.Kind != schema.EntryKind_ENTRY_MEMBERS {
			continue
		}
		members := &schema.Members{}
		if err := proto.Unmarshal(e.Data, members); err != nil {
			return fmt.Errorf("%w: members in entry %d: %w", ErrInvalidMessage, e.Index, err)
		}
		if !hasVoter(members) {
			return fmt.Errorf("%w: entry %d leaves no voter", ErrInvalidMessage, e.Index)
		}
	}
	return checkTerms(m, term, m.Term)
}

func checkSnapshot(m *schema.Message) error {
	s := m.Snapshot
	if s.GetIndex() == 0 || !hasVoter(s.GetMembers()) {
		return fmt.Errorf("%w: snapshot up to %d with %d members", ErrInvalidMessage, s.GetIndex(), len(s.GetMembers().GetMembers()))
	}
	return checkTerms(m, s.Term, m.Term)
}

// checkAppendReply returns ErrInvalidMessage if a reply to this leader is about entries or a heartbeat
// that it never sent.
func (r *Replica) checkAppendReply(m *schema.Message) error {
	if r.role != Leader || m.Term != r.term {
		return nil
	}
	if m.Round > r.heartbeatRound {
		return fmt.Errorf("%w: reply to round %d after round %d", ErrInvalidMessage, m.Round, r.heartbeatRound)
	}
	if m.Hint > m.Index || !m.Reject && m.Index > r.log.lastIndex() {
		return fmt.Errorf("%w: reply for entry %d with hint %d, last entry %d", ErrInvalidMessage, m.Index, m.Hint, r.log.lastIndex())
	}
	return nil
}

func hasVoter(members *schema.Members) bool {
	for _, m := range members.GetMembers() {
		if m.Voter {
			return true
		}
	}
	return false
}
