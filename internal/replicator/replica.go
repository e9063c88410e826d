package replicator

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	entryOverheadBytes = 24
	appendLimitBytes   = 256 << 10
	// Ticks taken off the leader lease for clocks that run at different speeds.
	leaseDriftTicks = 2
	// Election timeouts after which an unanswered snapshot is sent again.
	snapshotRetryElections = 4
)

// Errors that proposals return.
var (
	// ErrNotLeader says that the replica does not lead, so nothing was appended.
	ErrNotLeader = errors.New("replicator: not the leader")
	// ErrChangePending says that an earlier membership change is not committed yet.
	ErrChangePending = errors.New("replicator: a membership change is pending")
	// ErrMember says that a membership change names an unsuitable member.
	ErrMember = errors.New("replicator: unsuitable member")
)

// Role is what a replica does in its term.
type Role int

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Output is what the caller must do after a step: sync Snapshot, Ballot and Entries,
// then send Messages, then apply Commits.
type Output struct {
	Ballot   *schema.Ballot
	Entries  []*schema.Entry
	Snapshot *schema.LogSnapshot
	Messages []*schema.Message
	Commits  []*schema.Entry
}

// Stored is what a replica finds on its disk.
type Stored struct {
	Ballot   *schema.Ballot
	Snapshot *schema.LogSnapshot
	Entries  []*schema.Entry
}

// progress is the leader's view of one member.
type progress struct {
	match, next uint64
	// waiting is set while an append is unanswered.
	waiting bool
	// round is the newest heartbeat round answered.
	round uint64
	// heard is the tick of the newest answer.
	heard int
	// snapshot is the tick at which the last snapshot was sent.
	snapshot int
}

// Replica is one replica of the log. Set the exported fields, call Start, then Step,
// Tick and the proposals from one goroutine.
type Replica struct {
	ID uint64
	// ElectionTicks is the shortest election timeout.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats.
	HeartbeatTicks int
	// Random returns a number in [0, n).
	Random func(n int) int
	// Capture returns the applied state for a lagging member.
	Capture func() *schema.LogSnapshot

	role    Role
	term    uint64
	vote    uint64
	leader  uint64
	log     entryLog
	commit  uint64
	applied uint64
	members *schema.Members

	now      int
	heard    int // tick of the last message from a live leader
	deadline int // tick of the next election
	votes    map[uint64]bool
	peers    map[uint64]*progress
	round    uint64
	rounds   map[uint64]int // tick at which each open round was sent
	lease    int            // tick until which no other leader can exist

	out         Output
	unsaved     uint64 // first entry that is not yet in an output
	ballotDirty bool
}

// Start loads what the disk held. A replica that restarts refuses votes for one
// election timeout, since it may have promised a lease that it no longer remembers.
func (r *Replica) Start(s Stored) {
	r.members = &schema.Members{}
	r.log.baseMembers = r.members
	if s.Snapshot != nil {
		r.log.reset(s.Snapshot)
		r.commit = s.Snapshot.Index
		r.applied = s.Snapshot.Index
	}
	r.log.append(s.Entries...)
	if s.Ballot != nil {
		r.term, r.vote = s.Ballot.Term, s.Ballot.Vote
	}
	r.unsaved = r.log.last() + 1
	r.heard = r.now
	r.refreshMembers()
	r.resetDeadline()
}

// Bootstrap sets the first members of a log that holds nothing.
func (r *Replica) Bootstrap(members *schema.Members) {
	r.log.baseMembers = members
	r.refreshMembers()
}

// Role returns the replica's role, term and the leader it follows (0: none known).
func (r *Replica) Role() (Role, uint64, uint64) { return r.role, r.term, r.leader }

// Members returns the members in force. The caller must not change them.
func (r *Replica) Members() *schema.Members { return r.members }

// Commit returns the commit index.
func (r *Replica) Commit() uint64 { return r.commit }

// Last returns the index of the newest entry.
func (r *Replica) Last() uint64 { return r.log.last() }

// LeaseTicks returns how many ticks the leader may still assume that no other leader
// exists; 0 if it may not.
func (r *Replica) LeaseTicks() int {
	if r.role != Leader || !r.termCommitted() {
		return 0
	}
	return max(0, r.lease-r.now)
}

// Match returns the newest entry known to be on the member's disk; leader only.
func (r *Replica) Match(id uint64) uint64 {
	if p := r.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// Silent returns how many ticks ago a member last answered; leader only.
func (r *Replica) Silent(id uint64) int {
	if p := r.peers[id]; p != nil && id != r.ID {
		return r.now - p.heard
	}
	return 0
}

// Hears reports whether the replica leads, or heard from a leader within an election timeout.
func (r *Replica) Hears() bool { return r.role == Leader || (r.leader != 0 && r.hearsLeader()) }

// Tick advances the replica's clock by one.
func (r *Replica) Tick() {
	r.now++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.now >= r.deadline && r.isVoter(r.ID) {
		r.campaign(PreCandidate)
	}
}

func (r *Replica) tickLeader() {
	if r.now%r.HeartbeatTicks == 0 {
		r.heartbeat()
	}
	if !r.quorum(func(id uint64) bool { return id == r.ID || r.now-r.peers[id].heard < r.ElectionTicks }) {
		r.follow(r.term, 0)
	}
}

// Propose appends a command. It returns the position at which the command commits
// unless another leader's entry takes its place.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	e := r.appendLocal(schema.EntryKind_ENTRY_COMMAND, data)
	r.broadcast()
	return e.Index, e.Term, nil
}

// AddLearner starts replication to a member without a vote.
func (r *Replica) AddLearner(m *schema.Member) error {
	for _, old := range r.members.Members {
		if old.Id == m.Id {
			return ErrMember
		}
	}
	next := proto.Clone(r.members).(*schema.Members)
	learner := proto.Clone(m).(*schema.Member)
	learner.Voter = false
	next.Members = append(next.Members, learner)
	return r.proposeMembers(next)
}

// Promote gives a vote to a learner that holds every committed entry. The group's target
// becomes target if that is larger.
func (r *Replica) Promote(id uint64, target int32) error {
	next := proto.Clone(r.members).(*schema.Members)
	next.Target = max(next.Target, target)
	for _, m := range next.Members {
		if m.Id == id && !m.Voter && r.Match(id) >= r.commit {
			m.Voter = true
			return r.proposeMembers(next)
		}
	}
	return ErrMember
}

// Remove takes a member out. The leader cannot remove itself.
func (r *Replica) Remove(id uint64) error {
	if id == r.ID {
		return ErrMember
	}
	next := &schema.Members{Target: r.members.Target}
	for _, m := range r.members.Members {
		if m.Id != id {
			next.Members = append(next.Members, m)
		}
	}
	if len(next.Members) == len(r.members.Members) {
		return ErrMember
	}
	return r.proposeMembers(next)
}

func (r *Replica) proposeMembers(next *schema.Members) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if r.changePending() || !r.termCommitted() {
		return ErrChangePending
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	r.appendLocal(schema.EntryKind_ENTRY_MEMBERS, data)
	r.refreshMembers()
	r.broadcast()
	return nil
}

// Compact tells the replica that a snapshot covers the log up to index, of which
// everything was applied.
func (r *Replica) Compact(index uint64) {
	if index > r.applied {
		return
	}
	if t, ok := r.log.term(index); ok {
		r.log.compact(index, t, r.membersAt(index))
	}
}

// MembersAt returns the members in force at an applied index, for a snapshot.
func (r *Replica) MembersAt(index uint64) *schema.Members { return r.membersAt(index) }

// Tail returns the entries that follow the last snapshot.
func (r *Replica) Tail() []*schema.Entry { return r.log.slice(r.log.base+1, 1<<62) }

// TermAt returns the term of the entry at index, and false if it was compacted.
func (r *Replica) TermAt(index uint64) (uint64, bool) { return r.log.term(index) }

// Take returns the output gathered since the last call.
func (r *Replica) Take() Output {
	o := r.out
	if r.ballotDirty {
		o.Ballot = &schema.Ballot{Term: r.term, Vote: r.vote}
		r.ballotDirty = false
	}
	if r.unsaved <= r.log.last() {
		o.Entries = r.log.slice(r.unsaved, 1<<62)
		r.unsaved = r.log.last() + 1
	}
	if r.commit > r.applied {
		o.Commits = r.log.slice(r.applied+1, 1<<62)
		o.Commits = o.Commits[:r.commit-r.applied]
		r.applied = r.commit
	}
	r.out = Output{}
	return o
}

// Synced tells a leader that its own entries up to index are on disk.
func (r *Replica) Synced(index uint64) {
	if r.role != Leader {
		return
	}
	if p := r.peers[r.ID]; p != nil && index > p.match && index <= r.log.last() {
		p.match = index
		r.advance()
	}
}

func (r *Replica) appendLocal(kind schema.EntryKind, data []byte) *schema.Entry {
	e := &schema.Entry{Term: r.term, Index: r.log.last() + 1, Kind: kind, Data: data}
	r.log.append(e)
	return e
}

func (r *Replica) send(m *schema.Message) {
	m.From = r.ID
	r.out.Messages = append(r.out.Messages, m)
}

func (r *Replica) isVoter(id uint64) bool {
	for _, m := range r.members.Members {
		if m.Id == id {
			return m.Voter
		}
	}
	return false
}

// quorum reports whether ok holds for a majority of the voters.
func (r *Replica) quorum(ok func(id uint64) bool) bool {
	voters, yes := 0, 0
	for _, m := range r.members.Members {
		if !m.Voter {
			continue
		}
		voters++
		if ok(m.Id) {
			yes++
		}
	}
	return yes > voters/2
}

// termCommitted reports whether an entry of the leader's own term is committed, before
// which its state may lag behind what earlier leaders committed.
func (r *Replica) termCommitted() bool {
	t, ok := r.log.term(r.commit)
	return ok && t == r.term
}

func (r *Replica) changePending() bool {
	for i := len(r.log.entries) - 1; i >= 0; i-- {
		e := r.log.entries[i]
		if e.Index <= r.commit {
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
	return r.log.baseMembers
}

// refreshMembers puts the newest membership of the log in force, committed or not.
func (r *Replica) refreshMembers() {
	r.members = r.membersAt(r.log.last())
	if r.role != Leader {
		return
	}
	old := r.peers
	r.peers = make(map[uint64]*progress, len(r.members.Members))
	for _, m := range r.members.Members {
		if p := old[m.Id]; p != nil {
			r.peers[m.Id] = p
			continue
		}
		r.peers[m.Id] = &progress{next: r.log.last() + 1, heard: r.now}
	}
}

func (r *Replica) resetDeadline() {
	r.deadline = r.now + r.ElectionTicks + r.Random(r.ElectionTicks)
}
