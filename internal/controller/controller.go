package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/confiner"
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
	// Upper bound of ticks run in one step to catch up: enough to end every lease and election.
	maxCatchUpTicks = 5 * electionTicks
	// Time after which applying committed entries lets ticks and messages go first.
	maxApplyTime = 10 * time.Millisecond
	// Time that a step may take before it is logged as slow.
	slowStepTime = tickInterval
	// Time between two runs of reconcile.
	reconcileInterval = 300 * time.Millisecond
	// Time between two attempts to open the store again after it failed.
	reopenInterval = 500 * time.Millisecond
)

// Errors of Propose.
var (
	// ErrNotLeader means that this host does not lead, or has halted after an error, and that
	// nothing was proposed.
	ErrNotLeader = errors.New("controller: not the leader")
	// ErrOutcomeUnknown means that the command may or may not be committed: leadership was
	// lost, the host stopped or the context ended before the result was known.
	ErrOutcomeUnknown = errors.New("controller: outcome unknown")
)

// Controller runs one control host. Set the exported fields, then call Open and Run.
type Controller struct {
	Settings    *schema.Settings
	Store       *persister.Store
	Timer       *timer.Service
	Dialer      *dialer.Dialer
	Distributor *distributor.Distributor
	Log         zerolog.Logger
	// Cluster is set where control hosts discover each other; nil if operators change the members.
	Cluster *Cluster

	name    string
	metrics *metrics
	senders senders
	acks    acknowledgements
	// reducedVersion is the configuration version that reduced the shares of the active hosts
	// so that joining hosts can be given theirs. reducedInForceAt is the time, on Timer's
	// clock, at which it was first seen in force at every host. Only reconcile uses them.
	reducedVersion   uint64
	reducedInForceAt time.Duration

	// view is the state that may be read without mu.
	view atomic.Pointer[view]
	// applyNow has a value while unapplied entries wait for a step.
	applyNow chan struct{}

	// mu guards the fields below. It is held while a step's output is synced.
	mu           sync.Mutex
	tickedUntil  time.Duration // time on Timer's clock up to which the replica has been ticked
	replica      *replicator.Replica
	state        *configurer.State
	appliedIndex uint64          // index of the last entry applied to state
	unapplied    []*schema.Entry // committed, in order
	caughtUp     bool            // since it leads, this host has applied all that was committed before
	compaction   compaction
	ballot       *schema.Ballot
	waiters      map[uint64]waiter // by index of the entry
	lastRole     replicator.Role
	draining     bool       // set by Drain; no command is accepted
	applying     uint64     // index of the entry that is being applied; 0: none
	halted       bool       // set by halt; the replica makes no further steps until it is started again
	failure      chan error // receives the error that halted the replica
}

// waiter holds who waits for the entry that commits at an index in term: each gets its result, or
// nil if its outcome is unknown.
type waiter struct {
	term     uint64
	document *schema.Document // that the entry puts in force; nil if it is another command
	outcomes []chan *schema.Result
}

func (w waiter) resolve(result *schema.Result) {
	for _, outcome := range w.outcomes {
		outcome <- result
	}
}

// Open reads the data folder and must be called before Run.
func (c *Controller) Open() error {
	identity, stored, err := c.Store.Open()
	if err != nil {
		return err
	}
	if c.Cluster != nil {
		if err := c.Cluster.open(c); err != nil {
			return errors.Join(err, c.Store.Close())
		}
	}
	c.name = identity.Name
	c.waiters = map[uint64]waiter{}
	c.failure = make(chan error, 1)
	c.applyNow = make(chan struct{}, 1)
	c.metrics = newMetrics()
	c.senders = senders{
		dialer: c.Dialer, bulk: &dialer.Dialer{Secret: c.Dialer.Secret, MutualTLS: c.Dialer.MutualTLS, Timer: c.Timer}, timer: c.Timer, dropped: c.metrics.messagesDropped, id: identity.Id, address: c.Settings.Internal,
	}
	return c.startReplica(identity, stored)
}

// startReplica starts the replica from what is on disk. The caller holds mu, or runs before Run.
func (c *Controller) startReplica(identity *schema.Identity, stored replicator.StoredState) error {
	state, err := configurer.Decode(stored.Snapshot.State)
	if err != nil {
		return err
	}
	c.state = state
	c.appliedIndex, c.unapplied, c.caughtUp, c.applying = stored.Snapshot.Index, nil, false, 0
	c.compaction.reset(stored.Snapshot)
	c.ballot = stored.HardState
	c.replica = &replicator.Replica{
		ID: identity.Id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		Random: rand.IntN, CaptureSnapshot: c.captureSnapshot,
	}
	c.replica.Start(stored)
	c.tickedUntil = c.Timer.Now()
	c.publishView()
	// The configuration that this process has in force may be newer than the snapshot; it stays.
	return c.Distributor.Replace(state.Snapshot())
}

// Run runs the replica until ctx ends and closes the store. If the store fails or a step panics, it starts
// the replica again from what is on disk once that accepts writes; after any other error of halt it
// returns that. The caller serves the gRPC service.
func (c *Controller) Run(ctx context.Context) error {
	defer c.senders.close()
	stopTicks := c.Timer.Every(tickInterval, c.tick)
	defer stopTicks()
	stopReconcile := c.Timer.Every(reconcileInterval, c.reconcile)
	defer stopReconcile()
	background, stop := context.WithCancel(ctx)
	defer stop()
	go c.runApply(background)
	if c.Cluster != nil {
		c.Cluster.start(background)
	}
	err := c.runUntilFailure(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halted = true // a snapshot that is being encoded must not be stored any more
	return errors.Join(err, c.Store.Close())
}

// runUntilFailure returns nil when ctx ends, or the error that halted the replica for good.
func (c *Controller) runUntilFailure(ctx context.Context) error {
	for {
		restarted := "storage works again"
		select {
		case <-ctx.Done():
			return nil
		case err := <-c.failure:
			switch {
			case errors.Is(err, errStoreFailed):
				c.Log.Error().Err(err).Msg("storage failed; this host neither votes nor leads until it works again")
				c.metrics.storeFailed.Set(1)
			case errors.Is(err, errStepPanicked):
				c.Log.Error().Err(err).Msg("step panicked; starting again from what is on disk")
				restarted = "replica started again"
			default:
				return err
			}
		}
		for attempt := 1; ; attempt++ {
			if err := c.Timer.Sleep(ctx, reopenInterval); err != nil {
				return nil
			}
			err := c.restartReplica()
			if err == nil {
				c.Log.Info().Int("attempts", attempt).Msg(restarted)
				c.metrics.storeFailed.Set(0)
				break
			}
			c.Log.Debug().Err(err).Int("attempts", attempt).Msg("storage still fails")
		}
	}
}

// restartReplica opens the store again and starts the replica from what is on disk, as after a
// restart of the process: what was not synced is forgotten, and nothing relied on it.
func (c *Controller) restartReplica() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	identity, stored, err := c.Store.Reopen()
	if err != nil {
		return err
	}
	if err := c.startReplica(identity, stored); err != nil {
		return err
	}
	c.halted = false
	return nil
}

func (c *Controller) tick() {
	c.step(func(*replicator.Replica) {})
}

// step calls f on the replica and processes its output.
func (c *Controller) step(f func(*replicator.Replica)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.halted {
		return
	}
	defer func() { c.haltAfterPanic(recover()) }()
	begunAt, applied := c.Timer.Now(), c.appliedIndex
	c.advanceClock()
	f(c.replica)
	c.processOutput()
	if took := c.Timer.Now() - begunAt; took > slowStepTime {
		c.metrics.slowSteps.Inc()
		c.Log.Info().Dur("took", took).Uint64("applied", c.appliedIndex-applied).Int("unapplied", len(c.unapplied)).Msg("slow step")
	}
}

// runApply makes steps until ctx ends while committed entries wait to be applied.
func (c *Controller) runApply(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.applyNow:
			c.tick()
		}
	}
}

// advanceClock ticks the replica up to the current time, so that a host that was suspended
// does not rely on a lease that has expired meanwhile. The caller holds mu.
func (c *Controller) advanceClock() {
	behind := c.Timer.Now() - c.tickedUntil
	for n := min(behind/tickInterval, maxCatchUpTicks); n > 0; n-- {
		c.replica.Tick()
	}
	c.tickedUntil += behind / tickInterval * tickInterval
}

// processOutput saves, sends and applies the replica's output until there is none left. The
// caller holds mu. After a disk error nothing more is sent, since every message is a promise
// about what is on disk.
func (c *Controller) processOutput() {
	for {
		if c.halted {
			return
		}
		o := c.replica.TakeOutput()
		if o.HardState == nil && o.Entries == nil && o.Snapshot == nil && o.Messages == nil && o.CommittedEntries == nil {
			break
		}
		if err := c.save(o); err != nil {
			c.halt(err)
			return
		}
		c.senders.enqueue(o.Messages, c.replica.Members())
		c.unapplied = append(c.unapplied, o.CommittedEntries...)
		if n := len(o.Entries); n > 0 {
			c.replica.RecordSynced(o.Entries[n-1].Index)
		}
	}
	c.applySome()
	c.updateRole()
	c.publishView()
	c.maybeCompact()
}

// applySome applies committed entries, but no more than maxApplyTime allows: the rest is left to a later
// step, so that ticks and messages do not wait for a long log. The caller holds mu.
func (c *Controller) applySome() {
	until := c.Timer.Now() + maxApplyTime
	for len(c.unapplied) > 0 && !c.halted {
		e := c.unapplied[0]
		c.unapplied = c.unapplied[1:]
		c.applying = e.Index
		c.apply(e)
		c.applying = 0
		if len(c.unapplied) > 0 && c.Timer.Now() >= until {
			select {
			case c.applyNow <- struct{}{}:
			default:
			}
			return
		}
	}
}

func (c *Controller) save(o replicator.Output) error {
	if o.HardState != nil {
		c.ballot = o.HardState
	}
	if o.Snapshot != nil {
		if err := c.installSnapshot(o); err != nil {
			return err
		}
		return storeError(c.Store.SaveSnapshot(o.Snapshot, c.ballot, o.Entries))
	}
	return storeError(c.Store.Save(o.HardState, o.Entries))
}

// installSnapshot replaces the configuration with a snapshot received from the leader.
func (c *Controller) installSnapshot(o replicator.Output) error {
	state, err := configurer.Decode(o.Snapshot.State)
	if err != nil {
		return err
	}
	c.state = state
	c.appliedIndex = o.Snapshot.Index
	c.unapplied = slices.DeleteFunc(c.unapplied, func(e *schema.Entry) bool { return e.Index <= o.Snapshot.Index })
	c.compaction.reset(o.Snapshot)
	c.metrics.snapshotsInstalled.Inc()
	return c.Distributor.Replace(state.Snapshot())
}

func (c *Controller) apply(e *schema.Entry) {
	c.appliedIndex = e.Index
	c.compaction.entries++
	c.compaction.bytes += len(e.Data)
	c.metrics.entriesApplied.Inc()
	w, waiting := c.waiters[e.Index]
	if e.Kind != schema.EntryKind_ENTRY_COMMAND {
		delete(c.waiters, e.Index)
		if waiting {
			w.resolve(nil)
		}
		return
	}
	command := &schema.Command{}
	if err := proto.Unmarshal(e.Data, command); err != nil {
		c.halt(fmt.Errorf("decode command of log entry %d: %w", e.Index, err))
		return
	}
	result, delta := c.state.Apply(command)
	delete(c.waiters, e.Index)
	if delta != nil {
		c.publish(delta, c.state.Snapshot())
	}
	if waiting && w.term == e.Term {
		w.resolve(result)
	} else if waiting {
		w.resolve(nil)
	}
}

// publish sends a change, which leads to next, to entry hosts. Only committed changes get here, so none
// is ever revoked.
func (c *Controller) publish(delta *schema.Delta, next *configurer.Snapshot) {
	if err := c.Distributor.Advance(delta, next); err != nil {
		c.Log.Error().Err(err).Uint64("version", delta.Version).Msg("configuration change could not be distributed; replacing the whole configuration")
		if err := c.Distributor.Replace(c.state.Snapshot()); err != nil {
			c.halt(err)
		}
	}
}

// Causes of a halt.
var (
	// errStoreFailed means that the store could not write or sync.
	errStoreFailed = errors.New("the store failed")
	// errStepPanicked means that a step panicked before it applied an entry.
	errStepPanicked = errors.New("a step panicked")
	// errApplyPanicked means that applying an entry panicked: after a new start it would again.
	errApplyPanicked = errors.New("applying an entry panicked")
)

func storeError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", errStoreFailed, err)
}

// halt stops the replica and reports err to Run: after a failed sync it must not send anything
// that other replicas rely on. The caller holds mu.
func (c *Controller) halt(err error) {
	if c.halted {
		return
	}
	c.halted = true
	c.dropWaiters()
	v := *c.view.Load()
	v.role, v.leaseUntil, v.leaderID, v.leaderResponds = replicator.Follower, 0, 0, false
	c.view.Store(&v)
	c.failure <- fmt.Errorf("controller: %w", err)
}

// haltAfterPanic halts the replica if a step panicked with v, since the step may have made half of a change,
// and reports whether it did. The caller holds mu.
func (c *Controller) haltAfterPanic(v any) bool {
	if v == nil {
		return false
	}
	confiner.Record(c.Log, "step", v)
	if c.applying != 0 {
		c.halt(fmt.Errorf("%w: entry %d: %v", errApplyPanicked, c.applying, v))
	} else {
		c.halt(fmt.Errorf("%w: %v", errStepPanicked, v))
	}
	return true
}

func (c *Controller) updateRole() {
	role, term, _ := c.replica.Status()
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
	c.metrics.isLeader.Set(boolValue(role == replicator.Leader))
}

func (c *Controller) dropWaiters() {
	for index, w := range c.waiters {
		w.resolve(nil)
		delete(c.waiters, index)
	}
}

func (c *Controller) captureSnapshot() *schema.LogSnapshot {
	b, err := c.state.Encode()
	if err != nil {
		c.halt(err)
		return nil
	}
	term, _ := c.replica.TermAt(c.appliedIndex)
	return &schema.LogSnapshot{Index: c.appliedIndex, Term: term, Members: c.replica.MembersAt(c.appliedIndex), State: b}
}

// Propose replicates a command and returns its result once it is applied on this host.
// It returns ErrNotLeader if nothing was proposed. After ErrOutcomeUnknown the caller may
// retry with the same request identifier. It sets the command's time, in Unix seconds.
func (c *Controller) Propose(ctx context.Context, command *schema.Command) (*schema.Result, error) {
	outcome := make(chan *schema.Result, 1)
	err := c.startProposal(command, outcome)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	case result := <-outcome:
		if result == nil {
			return nil, ErrOutcomeUnknown
		}
		return result, nil
	}
}

// Drain makes the Controller refuse commands, and waits until those in progress have their results, but not
// longer than timeout.
func (c *Controller) Drain(timeout time.Duration) {
	const pollInterval = 10 * time.Millisecond
	for drainUntil := c.Timer.Now() + timeout; ; {
		c.mu.Lock()
		c.draining = true
		waiting := len(c.waiters)
		c.mu.Unlock()
		if waiting == 0 || c.Timer.Now() >= drainUntil {
			return
		}
		_ = c.Timer.Sleep(context.Background(), pollInterval)
	}
}

func (c *Controller) startProposal(command *schema.Command, outcome chan *schema.Result) (err error) {
	command.Time = time.Now().Unix()
	data, err := proto.Marshal(command)
	if err != nil {
		return fmt.Errorf("controller: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.halted || c.draining {
		return ErrNotLeader
	}
	defer func() {
		if c.haltAfterPanic(recover()) {
			err = ErrOutcomeUnknown
		}
	}()
	c.advanceClock()
	if c.joinPending(command.GetDocument(), outcome) {
		return nil
	}
	index, term, err := c.replica.Propose(data)
	if err != nil {
		return ErrNotLeader
	}
	c.waiters[index] = waiter{term: term, document: command.GetDocument(), outcomes: []chan *schema.Result{outcome}}
	c.processOutput()
	return nil
}

// joinPending makes outcome receive the result of an entry in progress that puts the same document in
// force: an operator sends a document again when its result takes long, and copies of a large one
// would take longer still. It reports whether there is such an entry. The caller holds mu.
func (c *Controller) joinPending(d *schema.Document, outcome chan *schema.Result) bool {
	if d == nil {
		return false
	}
	for index, w := range c.waiters {
		if w.document != nil && w.document.Number == d.Number && bytes.Equal(w.document.Source, d.Source) {
			w.outcomes = append(w.outcomes, outcome)
			c.waiters[index] = w
			return true
		}
	}
	return false
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
