package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/persister"
	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	tickInterval   = 50 * time.Millisecond
	electionTicks  = 20
	heartbeatTicks = 3
	// Most ticks made up for at once: enough to end every lease and election.
	longestCatchUp = 5 * electionTicks
	// Applied entries between two snapshots.
	snapshotEntries = 5_000
	// Time between two looks at what the leader has to put right.
	reconcileInterval = 300 * time.Millisecond
)

// Errors of proposals.
var (
	// ErrNotLeader says that nothing was proposed.
	ErrNotLeader = errors.New("controller: not the leader")
	// ErrUncertain says that leadership was lost before the answer was known.
	ErrUncertain = errors.New("controller: outcome unknown")
)

// Controller is one control host. Set the exported fields, then call Run.
type Controller struct {
	Settings    *schema.Settings
	Store       *persister.Store
	Timer       *timer.Service
	Dialer      *dialer.Dialer
	Distributor *distributor.Distributor
	Log         zerolog.Logger
	// Cluster is set where control hosts find each other; nil: operators change the members.
	Cluster *Cluster

	name    string
	metrics *metrics
	senders senders
	acks    acknowledgements
	// room is the version that made room for joining hosts, which every host has had since
	// roomSince. Only reconcile uses them.
	room      uint64
	roomSince time.Duration

	// view is what others may read without mu.
	view atomic.Pointer[view]

	// mu guards the fields below; it is held while a step's output is synced.
	mu       sync.Mutex
	ticked   time.Duration // boot time up to which the replica's clock has advanced
	replica  *replicator.Replica
	state    *configurer.State
	applied  uint64
	covered  uint64
	ballot   *schema.Ballot
	waiters  map[uint64]waiter
	lastRole replicator.Role
	broken   bool
	failed   chan error
}

// waiter gets the result of the entry that commits at its index.
type waiter struct {
	term   uint64
	answer chan *schema.Result
}

// Open reads the data folder. Run calls it; tests may call it first.
func (c *Controller) Open() error {
	identity, stored, err := c.Store.Open()
	if err != nil {
		return err
	}
	c.name = identity.Name
	state, err := configurer.Load(stored.Snapshot.State)
	if err != nil {
		return err
	}
	c.state = state
	c.applied, c.covered = stored.Snapshot.Index, stored.Snapshot.Index
	c.ballot = stored.Ballot
	c.waiters = map[uint64]waiter{}
	c.failed = make(chan error, 1)
	c.metrics = newMetrics()
	c.replica = &replicator.Replica{
		ID: identity.Id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		Random: rand.IntN, Capture: c.capture,
	}
	c.replica.Start(stored)
	c.ticked = c.Timer.Now()
	c.publishView()
	c.senders = senders{
		dialer: c.Dialer, timer: c.Timer, lost: c.metrics.lost, id: identity.Id, address: c.Settings.Internal,
	}
	return c.Distributor.Replace(state.Snapshot())
}

// Run serves until ctx ends or the disk fails. The caller serves the gRPC service.
func (c *Controller) Run(ctx context.Context) error {
	defer c.senders.close()
	stopTicks := c.Timer.Every(tickInterval, c.tick)
	defer stopTicks()
	stopReconcile := c.Timer.Every(reconcileInterval, c.reconcile)
	defer stopReconcile()
	if c.Cluster != nil {
		background, stop := context.WithCancel(ctx)
		defer stop()
		c.Cluster.start(background, c)
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-c.failed:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Join(err, c.Store.Close())
}

func (c *Controller) tick() {
	c.step(func(*replicator.Replica) {})
}

// step runs f on the replica and does what its output asks.
func (c *Controller) step(f func(*replicator.Replica)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	f(c.replica)
	c.settle()
}

// advance brings the replica's clock up to the host's, so that a host that was frozen does
// not rely on a lease that has ended meanwhile. The caller holds mu.
func (c *Controller) advance() {
	behind := c.Timer.Now() - c.ticked
	for n := min(behind/tickInterval, longestCatchUp); n > 0; n-- {
		c.replica.Tick()
	}
	c.ticked += behind / tickInterval * tickInterval
}

// settle syncs, sends and applies until the replica has nothing more to do. The caller
// holds mu. After a disk error the replica stays silent: it must not promise anything.
func (c *Controller) settle() {
	for {
		if c.broken {
			return
		}
		o := c.replica.Take()
		if o.Ballot == nil && o.Entries == nil && o.Snapshot == nil && o.Messages == nil && o.Commits == nil {
			break
		}
		if err := c.save(o); err != nil {
			c.fail(err)
			return
		}
		c.senders.send(o.Messages, c.replica.Members())
		for _, e := range o.Commits {
			c.apply(e)
		}
		if n := len(o.Entries); n > 0 {
			c.replica.Synced(o.Entries[n-1].Index)
		}
	}
	c.noteRole()
	c.publishView()
	c.maybeCompact()
}

func (c *Controller) save(o replicator.Output) error {
	if o.Ballot != nil {
		c.ballot = o.Ballot
	}
	if o.Snapshot != nil {
		if err := c.install(o); err != nil {
			return err
		}
		return c.Store.SaveSnapshot(o.Snapshot, c.ballot, o.Entries)
	}
	return c.Store.Save(o.Ballot, o.Entries)
}

// install replaces the configuration by a snapshot from the leader.
func (c *Controller) install(o replicator.Output) error {
	state, err := configurer.Load(o.Snapshot.State)
	if err != nil {
		return err
	}
	c.state = state
	c.applied, c.covered = o.Snapshot.Index, o.Snapshot.Index
	c.metrics.snapshots.Inc()
	return c.Distributor.Replace(state.Snapshot())
}

func (c *Controller) apply(e *schema.Entry) {
	c.applied = e.Index
	c.metrics.applied.Inc()
	w, waiting := c.waiters[e.Index]
	delete(c.waiters, e.Index)
	if e.Kind != schema.EntryKind_ENTRY_COMMAND {
		if waiting {
			w.answer <- nil
		}
		return
	}
	command := &schema.Command{}
	if err := proto.Unmarshal(e.Data, command); err != nil {
		c.fail(fmt.Errorf("entry %d: %w", e.Index, err))
		return
	}
	result, delta := c.state.Apply(command)
	if delta != nil {
		c.publish(delta)
	}
	if waiting && w.term == e.Term {
		w.answer <- result
	} else if waiting {
		w.answer <- nil
	}
}

// publish feeds entry hosts. Only committed changes get here, so none is ever taken back.
func (c *Controller) publish(delta *schema.Delta) {
	if err := c.Distributor.Follow(delta); err != nil {
		c.Log.Error().Err(err).Uint64("version", delta.Version).Msg("configuration replaced whole")
		if err := c.Distributor.Replace(c.state.Snapshot()); err != nil {
			c.fail(err)
		}
	}
}

// fail stops the replica for good: after a failed sync nothing it says can be relied on.
// The caller holds mu.
func (c *Controller) fail(err error) {
	if c.broken {
		return
	}
	c.broken = true
	c.dropWaiters()
	c.failed <- fmt.Errorf("controller: %w", err)
}

func (c *Controller) noteRole() {
	role, term, _ := c.replica.Role()
	if role == c.lastRole {
		return
	}
	if c.Cluster != nil && role == replicator.Leader {
		c.Cluster.Allocator.Start(term)
	}
	if role == replicator.Leader || c.lastRole == replicator.Leader {
		c.Log.Info().Bool("leader", role == replicator.Leader).Uint64("term", term).Msg("leadership changed")
	}
	if c.lastRole == replicator.Leader {
		c.dropWaiters()
	}
	c.lastRole = role
	c.metrics.leader.Set(boolValue(role == replicator.Leader))
}

func (c *Controller) dropWaiters() {
	for index, w := range c.waiters {
		w.answer <- nil
		delete(c.waiters, index)
	}
}

func (c *Controller) capture() *schema.LogSnapshot {
	b, err := c.state.Save()
	if err != nil {
		c.fail(err)
		return nil
	}
	term, _ := c.replica.TermAt(c.applied)
	return &schema.LogSnapshot{Index: c.applied, Term: term, Members: c.replica.MembersAt(c.applied), State: b}
}

func (c *Controller) maybeCompact() {
	if c.applied-c.covered < snapshotEntries || c.broken {
		return
	}
	if err := c.compact(); err != nil {
		c.fail(err)
	}
}

func (c *Controller) compact() error {
	s := c.capture()
	if s == nil {
		return nil
	}
	c.replica.Compact(s.Index)
	if err := c.Store.SaveSnapshot(s, c.ballot, c.replica.Tail()); err != nil {
		return err
	}
	c.covered = s.Index
	return nil
}

// Propose agrees on a command and returns its result once it is applied here.
// ErrNotLeader: nothing was proposed. ErrUncertain: send it again under the same request.
func (c *Controller) Propose(ctx context.Context, command *schema.Command) (*schema.Result, error) {
	answer := make(chan *schema.Result, 1)
	err := c.begin(command, answer)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrUncertain, ctx.Err())
	case result := <-answer:
		if result == nil {
			return nil, ErrUncertain
		}
		return result, nil
	}
}

func (c *Controller) begin(command *schema.Command, answer chan *schema.Result) error {
	command.Time = time.Now().Unix()
	data, err := proto.Marshal(command)
	if err != nil {
		return fmt.Errorf("controller: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	if c.broken {
		return ErrNotLeader
	}
	index, term, err := c.replica.Propose(data)
	if err != nil {
		return ErrNotLeader
	}
	c.waiters[index] = waiter{term: term, answer: answer}
	c.settle()
	return nil
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
