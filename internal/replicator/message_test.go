package replicator

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

func threeMembers() *schema.Members {
	return &schema.Members{Members: []*schema.Member{{Id: 1, Voter: true}, {Id: 2, Voter: true}, {Id: 3, Voter: true}}}
}

// startTestReplica returns replica 1 of three in term 3, whose log holds entries 1 to 4.
func startTestReplica(t testing.TB) *Replica {
	t.Helper()
	r := &Replica{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Random: func(int) int { return 0 }}
	r.CaptureSnapshot = func() *schema.LogSnapshot {
		return &schema.LogSnapshot{Index: r.appliedIndex, Members: r.MembersAt(r.appliedIndex)}
	}
	stored := StoredState{HardState: &schema.Ballot{Term: 3}, Snapshot: &schema.LogSnapshot{Members: threeMembers()}}
	for i := uint64(1); i <= 4; i++ {
		stored.Entries = append(stored.Entries, &schema.Entry{Term: 1 + i/3, Index: i, Data: []byte("a")})
	}
	r.Start(stored)
	return r
}

// elect makes the replica the leader of term 4.
func elect(t testing.TB, r *Replica) {
	t.Helper()
	for r.role == Follower {
		r.Tick()
	}
	r.TakeOutput()
	for _, m := range []*schema.Message{
		{Kind: schema.MessageKind_MESSAGE_PREVOTE_REPLY, From: 2, To: 1, Term: 4},
		{Kind: schema.MessageKind_MESSAGE_VOTE_REPLY, From: 2, To: 1, Term: 4},
	} {
		if err := r.Step(m); err != nil {
			t.Fatal(err)
		}
	}
	if r.role != Leader || r.term != 4 {
		t.Fatalf("role %d in term %d, want the leader of term 4", r.role, r.term)
	}
	r.RecordSynced(r.log.lastIndex())
	r.TakeOutput()
}

func membersEntry(t testing.TB, index uint64, m *schema.Members) *schema.Entry {
	t.Helper()
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return &schema.Entry{Term: 3, Index: index, Kind: schema.EntryKind_ENTRY_MEMBERS, Data: b}
}

// stateOf returns what a message must not change if it is invalid.
func stateOf(r *Replica) []any {
	return []any{
		int(r.role), r.term, r.votedFor, r.leaderID, r.commitIndex, r.appliedIndex, r.leaseUntil, r.log.snapshotIndex, r.log.snapshotTerm,
		proto.Clone(r.members), append([]*schema.Entry(nil), r.log.entries...), len(r.output.Messages), r.output.Snapshot == nil, r.MatchIndex(2),
	}
}

// TestInvalidMessages guards against a message from another replica that ends the process, makes its data
// folder unusable, or commits or confirms what no majority holds.
func TestInvalidMessages(t *testing.T) {
	const (
		appendKind = schema.MessageKind_MESSAGE_APPEND
		reply      = schema.MessageKind_MESSAGE_APPEND_REPLY
		snapshot   = schema.MessageKind_MESSAGE_SNAPSHOT
	)
	entry := func(index, term uint64) *schema.Entry { return &schema.Entry{Index: index, Term: term} }
	toFollower := map[string]*schema.Message{
		"no kind":                  {From: 2, Term: 3},
		"no sender":                {Kind: appendKind, Term: 3},
		"from itself":              {Kind: appendKind, From: 1, Term: 3},
		"vote without a term":      {Kind: schema.MessageKind_MESSAGE_VOTE, From: 2},
		"vote with a later entry":  {Kind: schema.MessageKind_MESSAGE_VOTE, From: 2, Term: 4, Index: 9, Logterm: 4},
		"append without a term":    {Kind: appendKind, From: 2},
		"entry far ahead":          {Kind: appendKind, From: 2, Term: 3, Index: 4, Logterm: 2, Entries: []*schema.Entry{entry(100, 3)}},
		"entry 0":                  {Kind: appendKind, From: 2, Term: 3, Index: 4, Logterm: 2, Entries: []*schema.Entry{entry(0, 3)}},
		"entry twice":              {Kind: appendKind, From: 2, Term: 3, Index: 4, Logterm: 2, Entries: []*schema.Entry{entry(5, 3), entry(5, 3)}},
		"entry missing":            {Kind: appendKind, From: 2, Term: 3, Index: 4, Logterm: 2, Entries: []*schema.Entry{entry(5, 3), entry(7, 3)}},
		"term of an entry lower":   {Kind: appendKind, From: 2, Term: 3, Index: 4, Logterm: 2, Entries: []*schema.Entry{entry(5, 1)}},
		"term of an entry too new": {Kind: appendKind, From: 2, Term: 3, Index: 4, Logterm: 2, Entries: []*schema.Entry{entry(5, 9)}},
		"members unreadable": {Kind: appendKind, From: 2, Term: 3, Index: 4, Logterm: 2, Entries: []*schema.Entry{
			{Term: 3, Index: 5, Kind: schema.EntryKind_ENTRY_MEMBERS, Data: []byte{0xff}},
		}},
		"no voter left": {Kind: appendKind, From: 2, Term: 3, Index: 4, Logterm: 2, Entries: []*schema.Entry{
			membersEntry(t, 5, &schema.Members{Members: []*schema.Member{{Id: 1}}}),
		}},
		"no snapshot":                   {Kind: snapshot, From: 2, Term: 3},
		"snapshot without members":      {Kind: snapshot, From: 2, Term: 3, Snapshot: &schema.LogSnapshot{Index: 9, Term: 3}},
		"snapshot of a later term":      {Kind: snapshot, From: 2, Term: 3, Snapshot: &schema.LogSnapshot{Index: 9, Term: 4, Members: threeMembers()}},
		"snapshot of nothing":           {Kind: snapshot, From: 2, Term: 3, Snapshot: &schema.LogSnapshot{Members: threeMembers()}},
		"snapshot from a second leader": {Kind: snapshot, From: 3, Term: 3, Snapshot: &schema.LogSnapshot{Index: 9, Term: 3, Members: threeMembers()}},
	}
	toLeader := map[string]*schema.Message{
		"second leader in the term":   {Kind: appendKind, From: 3, Term: 4, Index: 4, Logterm: 2},
		"reply for an entry not sent": {Kind: reply, From: 2, Term: 4, Index: 90},
		"reply to a later heartbeat":  {Kind: reply, From: 2, Term: 4, Index: 4, Round: 1 << 60},
		"hint beyond the entry":       {Kind: reply, From: 2, Term: 4, Reject: true, Hint: 1 << 63},
		"reply from itself":           {Kind: reply, From: 1, Term: 4, Index: 5, Round: 1},
	}
	check := func(t *testing.T, r *Replica, m *schema.Message) {
		t.Helper()
		m.To = 1
		before := stateOf(r)
		if err := r.Step(m); !errors.Is(err, ErrInvalidMessage) {
			t.Errorf("error %v, want ErrInvalidMessage", err)
		}
		if diff := cmp.Diff(before, stateOf(r), protocmp.Transform()); diff != "" {
			t.Errorf("the message changed the replica: -before +after\n%s", diff)
		}
		for range 30 {
			r.Tick()
		}
		r.TakeOutput()
	}
	for name, m := range toFollower {
		t.Run(name, func(t *testing.T) {
			r := startTestReplica(t)
			if err := r.Step(&schema.Message{Kind: appendKind, From: 2, To: 1, Term: 3, Index: 4, Logterm: 2, Commit: 2}); err != nil {
				t.Fatal(err)
			}
			r.TakeOutput()
			check(t, r, m)
		})
	}
	for name, m := range toLeader {
		t.Run(name, func(t *testing.T) {
			r := startTestReplica(t)
			elect(t, r)
			check(t, r, m)
		})
	}
}

// FuzzMessage guards against a message from another replica that ends the process, takes back what is
// committed, or leaves a log that cannot be read back.
func FuzzMessage(f *testing.F) {
	add := func(m *schema.Message) {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b, true)
		f.Add(b, false)
	}
	add(&schema.Message{Kind: schema.MessageKind_MESSAGE_APPEND, From: 2, To: 1, Term: 4, Index: 4, Logterm: 2, Commit: 5, Entries: []*schema.Entry{{Index: 5, Term: 4}}})
	add(&schema.Message{Kind: schema.MessageKind_MESSAGE_APPEND, From: 2, To: 1, Term: 5, Index: 2, Logterm: 1, Entries: []*schema.Entry{membersEntry(f, 3, threeMembers())}})
	add(&schema.Message{Kind: schema.MessageKind_MESSAGE_APPEND, From: 2, To: 1, Term: 3, Logterm: 0, Entries: []*schema.Entry{{Index: 0, Term: 3}, {Index: 1 << 40, Term: 1}}})
	add(&schema.Message{Kind: schema.MessageKind_MESSAGE_APPEND_REPLY, From: 2, To: 1, Term: 4, Index: 5, Round: 1})
	add(&schema.Message{Kind: schema.MessageKind_MESSAGE_APPEND_REPLY, From: 3, To: 1, Term: 4, Reject: true, Index: 4, Hint: 2})
	add(&schema.Message{Kind: schema.MessageKind_MESSAGE_SNAPSHOT, From: 2, To: 1, Term: 5, Snapshot: &schema.LogSnapshot{Index: 9, Term: 4, Members: threeMembers()}})
	add(&schema.Message{Kind: schema.MessageKind_MESSAGE_SNAPSHOT, From: 2, To: 1, Term: 5})
	add(&schema.Message{Kind: schema.MessageKind_MESSAGE_VOTE, From: 3, To: 1, Term: 9, Index: 9, Logterm: 8})
	add(&schema.Message{Kind: schema.MessageKind_MESSAGE_VOTE_REPLY, From: 3, To: 1, Term: 4})
	f.Fuzz(func(t *testing.T, b []byte, leads bool) {
		m := &schema.Message{}
		if err := proto.Unmarshal(b, m); err != nil {
			return
		}
		r := startTestReplica(t)
		if leads {
			elect(t, r)
		}
		before := stateOf(r)
		commit := r.commitIndex
		err := r.Step(m)
		if err != nil {
			if diff := cmp.Diff(before, stateOf(r), protocmp.Transform()); diff != "" {
				t.Errorf("an invalid message changed the replica: -before +after\n%s", diff)
			}
		}
		if r.commitIndex < commit {
			t.Errorf("commit index fell from %d to %d", commit, r.commitIndex)
		}
		index, term := r.log.snapshotIndex, r.log.snapshotTerm
		for _, e := range r.log.entries {
			index++
			if e.Index != index || e.Term < term {
				t.Fatalf("entry %d of term %d in place of entry %d, after term %d", e.Index, e.Term, index, term)
			}
			term = e.Term
		}
		for range 25 {
			r.TakeOutput()
			r.Tick()
		}
	})
}
