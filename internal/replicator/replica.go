package replicator

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	entryOverheadBytes = 24
	maxAppendBytes     = 256 << 10
	// Ticks by which the leader lease is shortened, since the clocks of replicas may run
	// at different rates.
	leaseDriftTicks = 2
	// Number of election timeouts after which an unanswered snapshot is sent again.
	snapshotResendTimeouts = 4
	// Entries that are not answered are sent again after half an election timeout, and a tick
	// for each of these bytes: on a slow connection a copy would only delay the first one, and
	// the heartbeats behind it.
	minBytesPerTick = 16 << 10
)

// Errors of proposals and membership changes. If one is returned, nothing was appended.
var (
	// ErrNotLeader reports that the replica is not the leader.
	ErrNotLeader = errors.New("replicator: not the leader")
	// ErrChangePending reports that an earlier membership change is not committed yet, or
	// that the leader has not committed an entry of its own term yet.
	ErrChangePending = errors.New("replicator: a membership change is pending")
	// ErrUnsuitableMember reports that the change does not apply to the member: one to add
	// is present already, one to promote is not an up-to-date learner, or one to remove is
	// absent or the replica itself.
	ErrUnsuitableMember = errors.New("replicator: unsuitable member")
)

// Role is the Raft role of a replica in its current term.
type Role int

// Roles. A PreCandidate asks for pre-votes and has not started a new term.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Output is what the caller must do after a step: sync the snapshot, the Raft hard state
// (term and vote, a schema.Ballot) and the entries to disk, then send the messages, then
// apply the newly committed entries. Nil fields need no action.
type Output struct {
	HardState        *schema.Ballot
	Entries          []*schema.Entry
	Snapshot         *schema.LogSnapshot
	Messages         []*schema.Message
	CommittedEntries []*schema.Entry
}

// StoredState is the persistent state that a replica restarts from: the Raft hard state (term
// and vote, a schema.Ballot), a snapshot and the entries that follow it. Nil fields were
// never stored.
type StoredState struct {
	HardState *schema.Ballot
	Snapshot  *schema.LogSnapshot
	Entries   []*schema.Entry
}

// progress is the replication state that the leader keeps for one member.
type progress struct {
	matchIndex, nextIndex uint64
	// inFlight is set while entries or a snapshot have been sent and not answered.
	inFlight bool
	// lastInFlight is the index of the last entry in flight; 0 if a snapshot is. The entries
	// are sent again at tick resendAt.
	lastInFlight uint64
	resendAt     int
	// ackedRound is the newest heartbeat round that the member answered.
	ackedRound uint64
	// repliedAt is the leader's tick at the newest reply, or at which tracking began.
	repliedAt int
	// snapshotSentAt is the leader's tick at which the last snapshot was sent.
	snapshotSentAt int
}

// Replica is one replica of the log. Set the exported fields, then call Start. It is not
// safe for concurrent use. Points in time are counted in ticks on the replica's own clock.
type Replica struct {
	ID uint64
	// ElectionTicks is the minimum election timeout. Each timeout is drawn from
	// [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval.
	HeartbeatTicks int
	// Random returns a random number in [0, n).
	Random func(n int) int
	// CaptureSnapshot returns a snapshot of the applied state, for a member that needs entries
	// that were compacted; nil if there is none, and then nothing is sent.
	CaptureSnapshot func() *schema.LogSnapshot

	role         Role
	term         uint64
	votedFor     uint64
	leaderID     uint64
	log          entryLog
	commitIndex  uint64
	appliedIndex uint64
	members      *schema.Members

	now             int
	leaderContactAt int // last append or snapshot from a current leader, or start
	electionAt      int // when a voter that is not the leader starts an election
	votesGranted    map[uint64]bool
	memberProgress  map[uint64]*progress
	heartbeatRound  uint64
	roundSentAt     map[uint64]int // by heartbeat round; rounds of the last ElectionTicks
	leaseUntil      int            // until then no other leader can exist

	output           Output
	firstUnsaved     uint64 // index of the first entry that no Output has returned
	hardStateChanged bool
}

// Start restores the persistent state. A replica that restarts grants no vote for one
// election timeout: it may have acknowledged a heartbeat that a leader's lease rests on,
// and that is not stored.
func (r *Replica) Start(s StoredState) {
	r.members = &schema.Members{}
	r.log.snapshotMembers = r.members
	if s.Snapshot != nil {
		r.log.resetToSnapshot(s.Snapshot)
		r.commitIndex = s.Snapshot.Index
		r.appliedIndex = s.Snapshot.Index
	}
	r.log.append(s.Entries...)
	if s.HardState != nil {
		r.term, r.votedFor = s.HardState.Term, s.HardState.Vote
	}
	r.firstUnsaved = r.log.lastIndex() + 1
	r.leaderContactAt = r.now
	r.refreshMembers()
	r.resetElectionTimer()
}

// Bootstrap sets the initial members of an empty log.
func (r *Replica) Bootstrap(members *schema.Members) {
	r.log.snapshotMembers = members
	r.refreshMembers()
}

// Status returns the replica's role, its term and the ID of the leader of that term, 0 if
// none is known.
func (r *Replica) Status() (Role, uint64, uint64) { return r.role, r.term, r.leaderID }

// Members returns the newest members in the log, committed or not. The caller must not
// modify them.
func (r *Replica) Members() *schema.Members { return r.members }

// CommitIndex returns the commit index.
func (r *Replica) CommitIndex() uint64 { return r.commitIndex }

// LastIndex returns the index of the last log entry.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// RemainingLeaseTicks returns the number of ticks that are left of the leader lease, during which
// no other leader can exist. It is 0 on other replicas, and on a leader that has not
// committed an entry of its term.
func (r *Replica) RemainingLeaseTicks() int {
	if r.role != Leader || !r.committedInTerm() {
		return 0
	}
	return max(0, r.leaseUntil-r.now)
}

// MatchIndex returns the member's match index: the last entry known to be synced to its disk.
// It is 0 for an unknown member and on replicas that are not the leader.
func (r *Replica) MatchIndex(id uint64) uint64 {
	if p := r.memberProgress[id]; p != nil {
		return p.matchIndex
	}
	return 0
}

// TicksSinceReply returns the number of ticks since the member last replied. It is 0 for an unknown
// member, for the replica itself and on replicas that are not the leader.
func (r *Replica) TicksSinceReply(id uint64) int {
	if p := r.memberProgress[id]; p != nil && id != r.ID {
		return r.now - p.repliedAt
	}
	return 0
}

// HasLeader reports whether the replica is the leader, or received an append or snapshot from
// the leader that it follows within the last ElectionTicks.
func (r *Replica) HasLeader() bool {
	return r.role == Leader || (r.leaderID != 0 && r.hasRecentLeader())
}

// Tick advances the replica's clock by one.
func (r *Replica) Tick() {
	r.now++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.now >= r.electionAt && r.isVoter(r.ID) {
		r.campaign(PreCandidate)
	}
}

func (r *Replica) tickLeader() {
	if r.now%r.HeartbeatTicks == 0 {
		r.broadcastHeartbeat()
	}
	if !r.hasMajority(func(id uint64) bool { return id == r.ID || r.now-r.memberProgress[id].repliedAt < r.ElectionTicks }) {
		r.becomeFollower(r.term, 0)
	}
}

// Propose appends a command and returns its index and term. The command is lost if an
// entry of another term commits at that index. The error is ErrNotLeader.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	e := r.appendLocal(schema.EntryKind_ENTRY_COMMAND, data)
	r.broadcastAppend()
	return e.Index, e.Term, nil
}

// AddLearner adds a member that receives the log and has no vote.
func (r *Replica) AddLearner(m *schema.Member) error {
	for _, old := range r.members.Members {
		if old.Id == m.Id {
			return ErrUnsuitableMember
		}
	}
	next := proto.Clone(r.members).(*schema.Members)
	learner := proto.Clone(m).(*schema.Member)
	learner.Voter = false
	next.Members = append(next.Members, learner)
	return r.proposeMembers(next)
}

// PromoteLearner makes a voter of a learner that holds every committed entry. The target number
// of voters is raised to target if it is lower.
func (r *Replica) PromoteLearner(id uint64, target int32) error {
	next := proto.Clone(r.members).(*schema.Members)
	next.Target = max(next.Target, target)
	for _, m := range next.Members {
		if m.Id == id && !m.Voter && r.MatchIndex(id) >= r.commitIndex {
			m.Voter = true
			return r.proposeMembers(next)
		}
	}
	return ErrUnsuitableMember
}

// RemoveMember removes a member. The leader cannot remove itself.
func (r *Replica) RemoveMember(id uint64) error {
	if id == r.ID {
		return ErrUnsuitableMember
	}
	next := &schema.Members{Target: r.members.Target}
	for _, m := range r.members.Members {
		if m.Id != id {
			next.Members = append(next.Members, m)
		}
	}
	if len(next.Members) == len(r.members.Members) {
		return ErrUnsuitableMember
	}
	return r.proposeMembers(next)
}

func (r *Replica) proposeMembers(next *schema.Members) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if r.changePending() || !r.committedInTerm() {
		return ErrChangePending
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	r.appendLocal(schema.EntryKind_ENTRY_MEMBERS, data)
	r.refreshMembers()
	r.broadcastAppend()
	return nil
}

// Compact drops the entries up to index, which a snapshot covers. It does nothing if index
// is not applied yet or already compacted.
func (r *Replica) Compact(index uint64) {
	if index > r.appliedIndex {
		return
	}
	if t, ok := r.log.termAt(index); ok {
		r.log.compact(index, t, r.membersAt(index))
	}
}

// MembersAt returns the members as of the applied entry at index, for a snapshot.
func (r *Replica) MembersAt(index uint64) *schema.Members { return r.membersAt(index) }

// EntriesAfterSnapshot returns all log entries after the last snapshot.
func (r *Replica) EntriesAfterSnapshot() []*schema.Entry {
	return r.log.entriesFrom(r.log.snapshotIndex+1, 1<<62)
}

// TermAt returns the term of the entry at index, and false if the log does not hold it.
func (r *Replica) TermAt(index uint64) (uint64, bool) { return r.log.termAt(index) }

// TakeOutput returns the output accumulated since the last call and counts its commits as applied.
func (r *Replica) TakeOutput() Output {
	o := r.output
	if r.hardStateChanged {
		o.HardState = &schema.Ballot{Term: r.term, Vote: r.votedFor}
		r.hardStateChanged = false
	}
	if r.firstUnsaved <= r.log.lastIndex() {
		o.Entries = r.log.entriesFrom(r.firstUnsaved, 1<<62)
		r.firstUnsaved = r.log.lastIndex() + 1
	}
	if r.commitIndex > r.appliedIndex {
		o.CommittedEntries = r.log.entriesFrom(r.appliedIndex+1, 1<<62)
		o.CommittedEntries = o.CommittedEntries[:r.commitIndex-r.appliedIndex]
		r.appliedIndex = r.commitIndex
	}
	r.output = Output{}
	return o
}

// RecordSynced records that the replica's own entries up to index are synced to disk, so that a
// leader counts itself towards their majority. On other replicas it does nothing.
func (r *Replica) RecordSynced(index uint64) {
	if r.role != Leader {
		return
	}
	if p := r.memberProgress[r.ID]; p != nil && index > p.matchIndex && index <= r.log.lastIndex() {
		p.matchIndex = index
		r.advanceCommit()
	}
}

func (r *Replica) appendLocal(kind schema.EntryKind, data []byte) *schema.Entry {
	e := &schema.Entry{Term: r.term, Index: r.log.lastIndex() + 1, Kind: kind, Data: data}
	r.log.append(e)
	return e
}

func (r *Replica) send(m *schema.Message) {
	m.From = r.ID
	r.output.Messages = append(r.output.Messages, m)
}

func (r *Replica) isVoter(id uint64) bool {
	for _, m := range r.members.Members {
		if m.Id == id {
			return m.Voter
		}
	}
	return false
}

// hasMajority reports whether ok holds for a majority of the voters.
func (r *Replica) hasMajority(ok func(id uint64) bool) bool {
	voters, matching := 0, 0
	for _, m := range r.members.Members {
		if !m.Voter {
			continue
		}
		voters++
		if ok(m.Id) {
			matching++
		}
	}
	return matching > voters/2
}

// committedInTerm reports whether an entry of the leader's own term is committed. Until
// then its commit index may lag behind what earlier leaders committed.
func (r *Replica) committedInTerm() bool {
	t, ok := r.log.termAt(r.commitIndex)
	return ok && t == r.term
}

func (r *Replica) changePending() bool {
	for i := len(r.log.entries) - 1; i >= 0; i-- {
		e := r.log.entries[i]
		if e.Index <= r.commitIndex {
			return false
		}
		if e.Kind == schema.EntryKind_ENTRY_MEMBERS {
			return true
		}
	}
	return false
}

func (r *Replica) membersAt(index uint64) *schema.Members {
	for i := len(r.log.entries) - 1; i >= 0; i-- {
		e := r.log.entries[i]
		if e.Index > index || e.Kind != schema.EntryKind_ENTRY_MEMBERS {
			continue
		}
		m := &schema.Members{}
		if err := proto.Unmarshal(e.Data, m); err == nil {
			return m
		}
	}
	return r.log.snapshotMembers
}

// refreshMembers adopts the newest membership entry of the log, committed or not, as Raft
// requires.
func (r *Replica) refreshMembers() {
	r.members = r.membersAt(r.log.lastIndex())
	if r.role != Leader {
		return
	}
	old := r.memberProgress
	r.memberProgress = make(map[uint64]*progress, len(r.members.Members))
	for _, m := range r.members.Members {
		if p := old[m.Id]; p != nil {
			r.memberProgress[m.Id] = p
			continue
		}
		r.memberProgress[m.Id] = &progress{nextIndex: r.log.lastIndex() + 1, repliedAt: r.now}
	}
}

func (r *Replica) resetElectionTimer() {
	r.electionAt = r.now + r.ElectionTicks + r.Random(r.ElectionTicks)
}
