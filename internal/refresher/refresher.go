package refresher

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	interval     = 400 * time.Millisecond
	busyInterval = 200 * time.Millisecond
	callTimeout  = 700 * time.Millisecond
	// Pause after a question that was not answered.
	retryPause = 60 * time.Millisecond
	// Age of the certainty at which another control host is asked, even though this one
	// answers.
	staleLimit = 1500 * time.Millisecond
	sweepTime  = 5 * time.Second
	// Time for which a control host that failed is passed over.
	failedTime = 2 * time.Second
	// Customers that are reported although they ask for nothing: more would make reports
	// grow with the number of customers.
	expectedLimit = 64
)

// Refresher is one entry host's link to the control hosts. Set the exported fields, then
// call Run.
type Refresher struct {
	Timer  *timer.Service
	Dialer *dialer.Dialer
	Log    zerolog.Logger
	// Seeds returns addresses of control hosts, best first.
	Seeds func() []string
	// Self returns what this host says of itself, without limits.
	Self        func() *schema.Peer
	Distributor *distributor.Distributor
	Table       *cataloger.Table
	Bucket      *allocator.Bucket
	// Busy reports whether this host has so much under way that others should hear of it
	// more often. Nil: never.
	Busy func() bool
	// Loaded is called after each answer with what others have under way.
	Loaded func(loads []*schema.PoolLoad, digests []*schema.RegionDigest)

	kick chan struct{}

	mu       sync.Mutex
	certain  time.Duration // guarded by mu
	controls []string      // guarded by mu
	leader   string        // guarded by mu

	source  string // control host that answers; only Run uses the fields below
	cursor  uint64
	process uint64
	number  uint64
	failed  map[string]time.Duration
	lost    bool
	ready   bool // as last reported
}

// Run refreshes until ctx ends.
func (r *Refresher) Run(ctx context.Context) error {
	r.failed = map[string]time.Duration{}
	stop := r.Timer.Every(sweepTime, func() { r.Table.Sweep(false) })
	defer stop()
	for ctx.Err() == nil {
		pause := r.pause()
		if err := r.refresh(ctx); err != nil {
			pause = retryPause
		} else if r.Self().Ready != r.ready {
			pause = 0 // others should hear at once
		}
		r.wait(ctx, pause)
	}
	return nil
}

// pause is the time to the next report: shorter where other hosts must know of much work.
func (r *Refresher) pause() time.Duration {
	if r.Busy != nil && r.Busy() {
		return busyInterval
	}
	return interval
}

// Init makes Kick usable. Call it before Run and Kick.
func (r *Refresher) Init() { r.kick = make(chan struct{}, 1) }

// Kick makes the next report go out at once.
func (r *Refresher) Kick() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

func (r *Refresher) wait(ctx context.Context, pause time.Duration) {
	done := make(chan struct{})
	cancel := r.Timer.Once(pause, func() { close(done) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-done:
	case <-r.kick:
	}
}

// Age returns how old the certainty is that the configuration in force is the newest, and
// false if there never was any.
func (r *Refresher) Age() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Timer.Now() - r.certain, r.certain > 0
}

// refresh asks one control host.
func (r *Refresher) refresh(ctx context.Context) error {
	if r.source == "" {
		r.source = r.pick()
	}
	asked := r.Timer.Now()
	reply, err := r.ask(ctx)
	if err != nil {
		r.leave(err)
		return err
	}
	if err := r.take(reply, asked); err != nil {
		r.leave(err)
		return err
	}
	r.regained()
	r.source = r.pick()
	if age, sure := r.Age(); !sure || age > staleLimit {
		// The control host answers but cannot be certain itself: another may be.
		r.leave(errUncertain)
	}
	return nil
}

var errUncertain = errors.New("refresher: the control host is not certain")

func (r *Refresher) ask(ctx context.Context) (*schema.RefreshReply, error) {
	conn, err := r.Dialer.Conn(r.source)
	if err != nil {
		return nil, err
	}
	self := r.Self()
	r.number++
	r.ready = self.Ready
	self.Number = r.number
	self.Demands, self.Allotment = r.Bucket.Report(r.expected())
	current := r.Distributor.Current()
	request := &schema.RefreshRequest{Self: self, Version: current.Version, Hash: current.Hash, Cursor: r.cursor, Process: r.process}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return schema.NewClusterServiceClient(conn).Refresh(ctx, request)
}

// expected returns the customers that may ask at any time, if they are few.
func (r *Refresher) expected() []string {
	paths := r.Distributor.Current().Paths("customer")
	if len(paths) > expectedLimit {
		return nil
	}
	for i, p := range paths {
		paths[i] = strings.TrimPrefix(p, "customer/")
	}
	return paths
}

// pick returns the best address that has not failed lately, else the one that failed first.
func (r *Refresher) pick() string {
	r.mu.Lock()
	all := slices.Clone(r.controls)
	r.mu.Unlock()
	for _, address := range r.Seeds() {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	best, now := all[0], r.Timer.Now()
	for _, address := range all {
		at, bad := r.failed[address]
		if !bad || now-at > failedTime {
			return address
		}
		if at < r.failed[best] {
			best = address
		}
	}
	return best
}

// leave turns away from a control host.
func (r *Refresher) leave(err error) {
	if !r.lost {
		r.lost = true
		age, _ := r.Age()
		r.Log.Warn().Err(err).Str("control", r.source).Dur("certainty", age).Msg("control host lost")
	}
	r.failed[r.source] = r.Timer.Now()
	r.source = ""
}

func (r *Refresher) regained() {
	if !r.lost {
		return
	}
	r.lost = false
	r.Log.Info().Str("control", r.source).Msg("control host regained")
}

// take puts an answer in force. Asked is when the question was sent.
func (r *Refresher) take(reply *schema.RefreshReply, asked time.Duration) error {
	if reply.Snapshot != nil {
		if err := r.Distributor.Replace(configurer.FromMessage(reply.Snapshot)); err != nil {
			return err
		}
	}
	for _, d := range reply.Deltas {
		if err := r.Distributor.Follow(d); err != nil {
			return err
		}
	}
	for _, a := range reply.Upstreams {
		if r.Table.TakeUpstream(a, false) {
			r.Log.Info().Str("upstream", a.Name).Str("pool", a.Pool).Uint64("incarnation", a.Incarnation).Uint64("number", a.Number).
				Float64("age", a.Age).Bool("leaving", a.Leaving).Bool("gone", a.Gone).Bool("silent", a.Silent).Float64("cold", a.Cold).
				Str("control", r.source).Msg("upstream learned")
		}
	}
	for _, p := range reply.Peers {
		if r.Table.TakePeer(p, r.source) {
			r.Log.Info().Str("peer", p.Name).Uint64("incarnation", p.Incarnation).Uint64("number", p.Number).
				Float64("age", p.Age).Bool("ready", p.Ready).Str("control", r.source).Msg("host learned")
		}
	}
	r.cursor, r.process = reply.Cursor, reply.Process
	r.Bucket.Grant(reply.Allotment, asked)
	if r.Loaded != nil {
		r.Loaded(reply.Loads, reply.Digests)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(reply.Controls) > 0 {
		r.controls = reply.Controls
	}
	r.leader = reply.Leader
	if reply.Age >= 0 {
		r.certain = max(r.certain, asked-time.Duration(reply.Age))
	}
	return nil
}

// ErrNoLeader says that no leader could be asked.
var ErrNoLeader = errors.New("refresher: no leader could be asked")

// Borrow asks the leader for tokens of a customer. It returns none and the time until they
// would be there if the customer is over its rate.
func (r *Refresher) Borrow(ctx context.Context, customer string, need, wish float64) (float64, time.Duration, error) {
	r.mu.Lock()
	leader := r.leader
	r.mu.Unlock()
	if leader == "" {
		return 0, 0, ErrNoLeader
	}
	conn, err := r.Dialer.Conn(leader)
	if err != nil {
		return 0, 0, err
	}
	request := &schema.BorrowRequest{Customer: customer, Need: need, Wish: wish}
	reply, err := schema.NewClusterServiceClient(conn).Borrow(ctx, request)
	if err != nil {
		return 0, 0, errors.Join(ErrNoLeader, err)
	}
	if !reply.Leader {
		return 0, 0, ErrNoLeader
	}
	return reply.Tokens, time.Duration(reply.Retry * float64(time.Second)), nil
}
