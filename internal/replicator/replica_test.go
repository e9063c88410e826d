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

// group is a set of replicas on a lossy network with disks that keep only what was synced.
type group struct {
	t        *testing.T
	random   *rand.Rand
	replicas map[uint64]*member
	wire     []*schema.Message
	// chosen is the first value applied at each index by any replica.
	chosen  map[uint64]string
	leaders map[uint64]uint64
	acked   map[uint64]string
	now     int
	next    uint64
}

type member struct {
	r       *Replica
	disk    Stored
	applied uint64
	frozen  bool
	down    bool
	cut     bool
}

func newGroup(t *testing.T, n int, seed uint64) *group {
	g := &group{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), replicas: map[uint64]*member{},
		chosen: map[uint64]string{}, leaders: map[uint64]uint64{}, acked: map[uint64]string{}, next: uint64(n) + 1,
	}
	first := &schema.Members{}
	for i := 1; i <= n; i++ {
		first.Members = append(first.Members, &schema.Member{Id: uint64(i), Voter: true})
	}
	for i := 1; i <= n; i++ {
		g.replicas[uint64(i)] = &member{disk: Stored{Snapshot: &schema.LogSnapshot{Members: first}}}
		g.start(uint64(i))
	}
	return g
}

func (g *group) start(id uint64) {
	m := g.replicas[id]
	m.down, m.frozen = false, false
	m.r = &Replica{ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Random: g.random.IntN}
	m.r.Capture = func() *schema.LogSnapshot {
		t, _ := m.r.TermAt(m.applied)
		return &schema.LogSnapshot{Index: m.applied, Term: t, Members: m.r.MembersAt(m.applied)}
	}
	m.r.Start(m.disk)
	m.applied = m.disk.Snapshot.Index
}

// settle does what a replica's output asks: sync, send, apply.
func (g *group) settle(id uint64) {
	m := g.replicas[id]
	o := m.r.Take()
	if o.Snapshot != nil {
		m.disk.Snapshot, m.disk.Entries = o.Snapshot, nil
		m.applied = o.Snapshot.Index
	}
	if o.Ballot != nil {
		m.disk.Ballot = o.Ballot
	}
	m.saveEntries(o.Entries)
	if n := len(o.Entries); n > 0 {
		m.r.Synced(o.Entries[n-1].Index)
	}
	g.wire = append(g.wire, o.Messages...)
	for _, e := range o.Commits {
		g.apply(id, e)
	}
	role, term, _ := m.r.Role()
	if role == Leader {
		if other, ok := g.leaders[term]; ok && other != id {
			g.t.Fatalf("two leaders in term %d: %d and %d", term, other, id)
		}
		g.leaders[term] = id
	}
}

func (m *member) saveEntries(entries []*schema.Entry) {
	if len(entries) == 0 {
		return
	}
	keep := int(entries[0].Index - m.disk.Snapshot.Index - 1)
	m.disk.Entries = append(m.disk.Entries[:keep:keep], entries...)
}

func (g *group) apply(id uint64, e *schema.Entry) {
	m := g.replicas[id]
	if e.Index != m.applied+1 {
		g.t.Fatalf("replica %d applied %d after %d", id, e.Index, m.applied)
	}
	m.applied = e.Index
	value := fmt.Sprintf("%d/%d/%s", e.Term, e.Kind, e.Data)
	if have, ok := g.chosen[e.Index]; ok && have != value {
		g.t.Fatalf("index %d: replica %d applied %q, another %q", e.Index, id, value, have)
	}
	g.chosen[e.Index] = value
}

// checkLease fails if a replica with a lease is not the newest leader.
func (g *group) checkLease() {
	for id, m := range g.replicas {
		if m.down || m.frozen || m.r.LeaseTicks() == 0 {
			continue
		}
		_, term, _ := m.r.Role()
		for newer := range g.leaders {
			if newer > term {
				g.t.Fatalf("replica %d holds a lease in term %d while term %d has a leader", id, term, newer)
			}
		}
	}
}

// ids returns the replicas in a fixed order, so that a seed names one schedule.
func (g *group) ids() []uint64 {
	return slices.Sorted(maps.Keys(g.replicas))
}

func (g *group) pick() uint64 {
	ids := g.ids()
	return ids[g.random.IntN(len(ids))]
}

// tick advances every running replica: the clocks of all replicas run at one speed.
func (g *group) tick() {
	g.now++
	for _, id := range g.ids() {
		if m := g.replicas[id]; !m.down {
			if m.frozen {
				m.r.now++ // time goes on while a replica is frozen
				continue
			}
			m.r.Tick()
			g.settle(id)
		}
	}
}

func (g *group) deliver() {
	if len(g.wire) == 0 {
		return
	}
	i := g.random.IntN(len(g.wire))
	msg := g.wire[i]
	if g.random.IntN(20) != 0 { // one in twenty stays on the wire and arrives twice
		g.wire = append(g.wire[:i], g.wire[i+1:]...)
	}
	to := g.replicas[msg.To]
	from := g.replicas[msg.From]
	if to == nil || to.down || to.frozen || to.cut || (from != nil && from.cut) || g.random.IntN(15) == 0 {
		return
	}
	to.r.Step(msg)
	g.settle(msg.To)
}

// fault does one random thing to one replica.
func (g *group) fault(loseDisks bool) {
	id := g.pick()
	m := g.replicas[id]
	switch g.random.IntN(9) {
	case 0:
		m.down = true
	case 1, 2:
		if m.down {
			g.start(id)
		}
	case 3:
		m.frozen = true
	case 4:
		m.frozen = false
	case 5:
		m.cut = true
	case 6:
		m.cut = false
	case 7:
		if !m.down && m.applied > m.disk.Snapshot.Index {
			s := m.r.Capture()
			kept := int(s.Index - m.disk.Snapshot.Index)
			m.disk.Snapshot = s
			m.disk.Entries = append([]*schema.Entry(nil), m.disk.Entries[kept:]...)
			m.r.Compact(s.Index)
		}
	case 8:
		if loseDisks {
			g.replace(id)
		}
	}
}

// replace is what an operator does about a lost disk: remove the old identity, then add
// a new one as a learner. The lost replica never returns.
func (g *group) replace(id uint64) {
	for _, leader := range g.ids() {
		m := g.replicas[leader]
		if m.down || m.frozen || m.r.Remove(id) != nil {
			continue
		}
		g.replicas[id].down = true
		g.settle(m.r.ID)
		return
	}
}

// repair adds and promotes learners until the membership is back to five.
func (g *group) repair() {
	for _, id := range g.ids() {
		m := g.replicas[id]
		if m.down || m.frozen {
			continue
		}
		if role, _, _ := m.r.Role(); role != Leader {
			continue
		}
		members := m.r.Members().Members
		for _, other := range members {
			if !other.Voter {
				_ = m.r.Promote(other.Id, 0)
			}
		}
		if len(members) < 5 && g.next < 12 {
			fresh := g.next
			if m.r.AddLearner(&schema.Member{Id: fresh}) == nil {
				g.next++
				g.replicas[fresh] = &member{disk: Stored{Snapshot: &schema.LogSnapshot{Members: &schema.Members{}}}}
				g.start(fresh)
			}
		}
		g.settle(id)
		return
	}
}

func (g *group) propose(n int) {
	for _, id := range g.ids() {
		m := g.replicas[id]
		if m.down || m.frozen {
			continue
		}
		if index, term, err := m.r.Propose([]byte(fmt.Sprint(n))); err == nil {
			g.acked[index] = fmt.Sprintf("%d/%d/%d", term, schema.EntryKind_ENTRY_COMMAND, n)
			g.settle(id)
		}
	}
}

func runSchedule(t *testing.T, seed uint64, loseDisks bool) {
	g := newGroup(t, 5, seed)
	for n := range *steps {
		switch k := g.random.IntN(100); {
		case k < 70:
			g.deliver()
		case k < 90:
			g.tick()
		case k < 96:
			g.propose(n)
		case k < 98:
			g.fault(loseDisks)
		default:
			g.repair()
		}
		g.checkLease()
	}
	g.heal()
}

// heal ends all faults and requires that the group commits again.
func (g *group) heal() {
	newest := uint64(0)
	for _, id := range g.ids() {
		m := g.replicas[id]
		newest = max(newest, m.applied)
		m.cut, m.frozen = false, false
		if m.down {
			g.start(id)
		}
	}
	for n := range 3000 {
		g.tick()
		for range 40 {
			g.deliver()
		}
		if n%50 == 0 {
			g.propose(-n)
		}
	}
	for _, m := range g.replicas {
		if m.applied > newest {
			return
		}
	}
	g.t.Fatalf("nothing was committed after all faults ended; newest applied was %d", newest)
}

func TestScheduleSafety(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSchedule(t, seed, false) })
	}
}

func TestScheduleReplacedReplicas(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSchedule(t, 1000+seed, true) })
	}
}
