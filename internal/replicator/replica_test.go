package replicator

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

var (
	seeds = flag.Int("seeds", 200, "number of random schedules")
	steps = flag.Int("steps", 4000, "steps in each schedule")
)

// group simulates replicas on a network that loses, duplicates and reorders messages, with
// disks that keep only what was synced.
type group struct {
	t         *testing.T
	random    *rand.Rand
	replicas  map[uint64]*testReplica
	inTransit []*schema.Message
	// appliedValues is the first value applied at each index by any replica.
	appliedValues map[uint64]string
	leaderOfTerm  map[uint64]uint64
	proposed      map[uint64]string
	now           int
	nextID        uint64
}

type testReplica struct {
	r            *Replica
	disk         StoredState
	appliedIndex uint64
	suspended    bool
	down         bool
	partitioned  bool
}

func newGroup(t *testing.T, n int, seed uint64) *group {
	g := &group{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), replicas: map[uint64]*testReplica{},
		appliedValues: map[uint64]string{}, leaderOfTerm: map[uint64]uint64{}, proposed: map[uint64]string{}, nextID: uint64(n) + 1,
	}
	initial := &schema.Members{}
	for i := 1; i <= n; i++ {
		initial.Members = append(initial.Members, &schema.Member{Id: uint64(i), Voter: true})
	}
	for i := 1; i <= n; i++ {
		g.replicas[uint64(i)] = &testReplica{disk: StoredState{Snapshot: &schema.LogSnapshot{Members: initial}}}
		g.startReplica(uint64(i))
	}
	return g
}

func (g *group) startReplica(id uint64) {
	m := g.replicas[id]
	m.down, m.suspended = false, false
	m.r = &Replica{ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Random: g.random.IntN}
	m.r.CaptureSnapshot = func() *schema.LogSnapshot {
		t, _ := m.r.TermAt(m.appliedIndex)
		return &schema.LogSnapshot{Index: m.appliedIndex, Term: t, Members: m.r.MembersAt(m.appliedIndex)}
	}
	m.r.Start(m.disk)
	m.appliedIndex = m.disk.Snapshot.Index
}

// processOutput carries out a replica's Output: it syncs, sends and applies. It fails if a
// term has two leaders.
func (g *group) processOutput(id uint64) {
	m := g.replicas[id]
	o := m.r.TakeOutput()
	if o.Snapshot != nil {
		m.disk.Snapshot, m.disk.Entries = o.Snapshot, nil
		m.appliedIndex = o.Snapshot.Index
	}
	if o.HardState != nil {
		m.disk.HardState = o.HardState
	}
	m.saveEntries(o.Entries)
	if n := len(o.Entries); n > 0 {
		m.r.RecordSynced(o.Entries[n-1].Index)
	}
	g.inTransit = append(g.inTransit, o.Messages...)
	for _, e := range o.CommittedEntries {
		g.apply(id, e)
	}
	role, term, _ := m.r.Status()
	if role == Leader {
		if other, ok := g.leaderOfTerm[term]; ok && other != id {
			g.t.Fatalf("two leaders in term %d: %d and %d", term, other, id)
		}
		g.leaderOfTerm[term] = id
	}
}

func (m *testReplica) saveEntries(entries []*schema.Entry) {
	if len(entries) == 0 {
		return
	}
	keep := int(entries[0].Index - m.disk.Snapshot.Index - 1)
	m.disk.Entries = append(m.disk.Entries[:keep:keep], entries...)
}

func (g *group) apply(id uint64, e *schema.Entry) {
	m := g.replicas[id]
	if e.Index != m.appliedIndex+1 {
		g.t.Fatalf("replica %d applied index %d right after index %d", id, e.Index, m.appliedIndex)
	}
	m.appliedIndex = e.Index
	value := fmt.Sprintf("%d/%d/%s", e.Term, e.Kind, e.Data)
	if have, ok := g.appliedValues[e.Index]; ok && have != value {
		g.t.Fatalf("index %d: replica %d applied %q, another replica applied %q", e.Index, id, value, have)
	}
	g.appliedValues[e.Index] = value
}

// checkLeases fails if a replica holds a leader lease after a later term elected a leader.
func (g *group) checkLeases() {
	for id, m := range g.replicas {
		if m.down || m.suspended || m.r.RemainingLeaseTicks() == 0 {
			continue
		}
		_, term, _ := m.r.Status()
		for laterTerm := range g.leaderOfTerm {
			if laterTerm > term {
				g.t.Fatalf("replica %d holds a lease in term %d while term %d has a leader", id, term, laterTerm)
			}
		}
	}
}

// sortedIDs returns the replica IDs in a fixed order, so that a seed determines the schedule.
func (g *group) sortedIDs() []uint64 {
	return slices.Sorted(maps.Keys(g.replicas))
}

func (g *group) randomID() uint64 {
	ids := g.sortedIDs()
	return ids[g.random.IntN(len(ids))]
}

// tickAll advances the clock of every replica that is not down by one tick: all run at one rate.
func (g *group) tickAll() {
	g.now++
	for _, id := range g.sortedIDs() {
		if m := g.replicas[id]; !m.down {
			if m.suspended {
				m.r.now++ // the clock advances while a replica is suspended
				continue
			}
			m.r.Tick()
			g.processOutput(id)
		}
	}
}

func (g *group) deliverOne() {
	if len(g.inTransit) == 0 {
		return
	}
	i := g.random.IntN(len(g.inTransit))
	msg := g.inTransit[i]
	if g.random.IntN(20) != 0 { // one in twenty stays in transit and may be delivered again
		g.inTransit = append(g.inTransit[:i], g.inTransit[i+1:]...)
	}
	to := g.replicas[msg.To]
	from := g.replicas[msg.From]
	if to == nil || to.down || to.suspended || to.partitioned || (from != nil && from.partitioned) || g.random.IntN(15) == 0 {
		return
	}
	if err := to.r.Step(msg); err != nil {
		g.t.Fatalf("replica %d refused a message of replica %d: %v", msg.To, msg.From, err)
	}
	g.processOutput(msg.To)
}

// injectFault stops, restarts, suspends, resumes, partitions, reconnects or compacts a random
// replica, or, with loseDisks, replaces it.
func (g *group) injectFault(loseDisks bool) {
	id := g.randomID()
	m := g.replicas[id]
	switch g.random.IntN(9) {
	case 0:
		m.down = true
	case 1, 2:
		if m.down {
			g.startReplica(id)
		}
	case 3:
		m.suspended = true
	case 4:
		m.suspended = false
	case 5:
		m.partitioned = true
	case 6:
		m.partitioned = false
	case 7:
		if !m.down && m.appliedIndex > m.disk.Snapshot.Index {
			s := m.r.CaptureSnapshot()
			covered := int(s.Index - m.disk.Snapshot.Index)
			m.disk.Snapshot = s
			m.disk.Entries = append([]*schema.Entry(nil), m.disk.Entries[covered:]...)
			m.r.Compact(s.Index)
		}
	case 8:
		if loseDisks {
			g.replaceReplica(id)
		}
	}
}

// replaceReplica removes a replica that lost its disk, as an operator does before adding a
// new identity as a learner; repairMembership adds it.
func (g *group) replaceReplica(id uint64) {
	for _, leader := range g.sortedIDs() {
		m := g.replicas[leader]
		if m.down || m.suspended || m.r.RemoveMember(id) != nil {
			continue
		}
		g.replicas[id].down = true
		g.processOutput(m.r.ID)
		return
	}
}

// repairMembership adds and promotes learners until the group has five members again.
func (g *group) repairMembership() {
	for _, id := range g.sortedIDs() {
		m := g.replicas[id]
		if m.down || m.suspended {
			continue
		}
		if role, _, _ := m.r.Status(); role != Leader {
			continue
		}
		members := m.r.Members().Members
		for _, other := range members {
			if !other.Voter {
				_ = m.r.PromoteLearner(other.Id, 0)
			}
		}
		if len(members) < 5 && g.nextID < 12 {
			newID := g.nextID
			if m.r.AddLearner(&schema.Member{Id: newID}) == nil {
				g.nextID++
				g.replicas[newID] = &testReplica{disk: StoredState{Snapshot: &schema.LogSnapshot{Members: &schema.Members{}}}}
				g.startReplica(newID)
			}
		}
		g.processOutput(id)
		return
	}
}

func (g *group) proposeAll(n int) {
	for _, id := range g.sortedIDs() {
		m := g.replicas[id]
		if m.down || m.suspended {
			continue
		}
		if index, term, err := m.r.Propose([]byte(fmt.Sprint(n))); err == nil {
			g.proposed[index] = fmt.Sprintf("%d/%d/%d", term, schema.EntryKind_ENTRY_COMMAND, n)
			g.processOutput(id)
		}
	}
}

func runSchedule(t *testing.T, seed uint64, loseDisks bool) {
	g := newGroup(t, 5, seed)
	for n := range *steps {
		switch k := g.random.IntN(100); {
		case k < 70:
			g.deliverOne()
		case k < 90:
			g.tickAll()
		case k < 96:
			g.proposeAll(n)
		case k < 98:
			g.injectFault(loseDisks)
		default:
			g.repairMembership()
		}
		g.checkLeases()
	}
	g.endFaultsAndCheckProgress()
}

// endFaultsAndCheckProgress ends all faults and fails if no further entry is committed.
func (g *group) endFaultsAndCheckProgress() {
	highestApplied := uint64(0)
	for _, id := range g.sortedIDs() {
		m := g.replicas[id]
		highestApplied = max(highestApplied, m.appliedIndex)
		m.partitioned, m.suspended = false, false
		if m.down {
			g.startReplica(id)
		}
	}
	for n := range 3000 {
		g.tickAll()
		for range 40 {
			g.deliverOne()
		}
		if n%50 == 0 {
			g.proposeAll(-n)
		}
	}
	for _, m := range g.replicas {
		if m.appliedIndex > highestApplied {
			return
		}
	}
	g.t.Fatalf("no entry was committed after all faults ended; highest applied index before was %d", highestApplied)
}

func TestScheduleSafety(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSchedule(t, seed, false) })
	}
}

func TestScheduleWithLostDisks(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSchedule(t, 1000+seed, true) })
	}
}

// TestLargeEntryIsSentOnce guards against a leader that sends a large entry again with each heartbeat
// until it is answered: on a slow connection the copies delay the heartbeats behind them, and the
// leader loses its lease. An entry whose message is lost must still be sent again.
func TestLargeEntryIsSentOnce(t *testing.T) {
	g := newGroup(t, 3, 1)
	for range 200 {
		g.tickAll()
		for len(g.inTransit) > 0 {
			g.deliverOne()
		}
	}
	var leader *testReplica
	for _, m := range g.replicas {
		if role, _, _ := m.r.Status(); role == Leader {
			leader = m
		}
	}
	if leader == nil {
		t.Fatal("no leader elected")
	}
	entry := make([]byte, 700<<10)
	if _, _, err := leader.r.Propose(entry); err != nil {
		t.Fatal(err)
	}
	sentTo := map[uint64]int{}
	heartbeats := 0
	run := func(ticks int) {
		for range ticks {
			for _, m := range leader.r.TakeOutput().Messages {
				heartbeats++
				for _, e := range m.Entries {
					if len(e.Data) == len(entry) {
						sentTo[m.To]++
					}
				}
				// Followers answer the empty heartbeats; the entry is on its way.
				if len(m.Entries) == 0 {
					reply := &schema.Message{Kind: schema.MessageKind_MESSAGE_APPEND_REPLY, From: m.To, To: m.From, Term: m.Term, Index: m.Index, Round: m.Round}
					if err := leader.r.Step(reply); err != nil {
						t.Fatal(err)
					}
				}
			}
			leader.r.Tick()
		}
	}
	inTransit := len(entry) / minBytesPerTick
	run(inTransit)
	for id, n := range sentTo {
		if n != 1 {
			t.Errorf("sent %d times to replica %d while it is in transit", n, id)
		}
	}
	if len(sentTo) != 2 || heartbeats < 2*inTransit/2 {
		t.Errorf("entry sent to %d replicas, %d messages in %d ticks", len(sentTo), heartbeats, inTransit)
	}
	if role, _, _ := leader.r.Status(); role != Leader || leader.r.RemainingLeaseTicks() == 0 {
		t.Error("the leader has lost its lease")
	}
	run(2 * leader.r.ElectionTicks)
	for id, n := range sentTo {
		if n < 2 {
			t.Errorf("a lost entry was not sent to replica %d again", id)
		}
	}
}
