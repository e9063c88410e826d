package prober

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Number of upstreams that are probed first, and number of those none of which may accept a connection for the
	// host to count as isolated: some upstreams may have ended.
	probeCount   = 3
	confirmCount = 12
	// Timeout of opening one: upstreams are in the same region.
	probeTimeout = 250 * time.Millisecond
	// Time between two rounds of probes while no upstream can be reached.
	restoreInterval = 250 * time.Millisecond
	// Time between two rounds as nothing is received: upstreams may be slow.
	silenceInterval = time.Second
	checkInterval   = 100 * time.Millisecond
	// Time between two rounds as connections fail.
	failureInterval = 100 * time.Millisecond
)

// SilenceTime is the time for which a request waits with nothing received on any connection, after which upstreams are
// probed.
const SilenceTime = 300 * time.Millisecond

// ErrIsolated means that the host reaches no upstream of its region.
var ErrIsolated = errors.New("prober: no upstream of the region can be reached")

// Prober knows whether the host is isolated: no upstream of its region accepts a connection from it. Set the
// exported fields, then call Start. A nil Prober is never isolated. Its methods may be called concurrently.
type Prober struct {
	Timer *timer.Service
	Log   zerolog.Logger
	// Addresses returns the addresses of the region's upstreams that are known to run.
	Addresses func() []string
	// Open opens a connection to an address.
	Open func(ctx context.Context, address string) error
	// OnChange is called after the host became isolated, or was connected again. Nil: not called.
	OnChange func(isolated bool)
	Metrics  *Metrics

	// sentAt is the time, on the clock of Timer, of the first request since anything was received, 0 if there is none;
	// receivedAt that of the last receipt.
	sentAt, receivedAt atomic.Int64
	failed             atomic.Bool // a connection failed since the last round began

	mu sync.Mutex
	// connected ends with ErrIsolated as its cause when the host becomes isolated; guarded by mu
	connected context.Context
	isolate   context.CancelCauseFunc // ends connected; guarded by mu
	isolated  atomic.Bool             // written with mu held
	round     *round                  // in progress; nil if there is none; guarded by mu
	probedAt  time.Duration           // when the last round began; guarded by mu
}

// round is a number of probes at the same time.
type round struct {
	begunAt  time.Duration
	done     chan struct{} // closed once the result was applied
	isolated bool
}

// Start begins to watch for silence. The returned function ends that.
func (p *Prober) Start() (stop func()) { return p.Timer.Every(checkInterval, p.check) }

// Isolated reports whether the host reaches no upstream of its region, as far as it knows.
func (p *Prober) Isolated() bool { return p != nil && p.isolated.Load() }

// AfterIsolated calls call in its own goroutine once the host is isolated, unless stop is called before.
func (p *Prober) AfterIsolated(call func()) (stop func() bool) {
	if p == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(p.connectedContext(), call)
}

// WhileConnected returns a context that ends with ErrIsolated as its cause once the host is isolated.
func (p *Prober) WhileConnected(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := p.AfterIsolated(func() { cancel(ErrIsolated) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func (p *Prober) connectedContext() context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connected == nil {
		p.connected, p.isolate = context.WithCancelCause(context.Background())
	}
	return p.connected
}

// RecordSent records that a request was sent to an upstream.
func (p *Prober) RecordSent() {
	if p != nil {
		p.sentAt.CompareAndSwap(0, int64(p.Timer.Now()))
	}
}

// RecordReceived records that an upstream sent something.
func (p *Prober) RecordReceived() {
	if p != nil {
		p.sentAt.Store(0)
		p.receivedAt.Store(int64(p.Timer.Now()))
	}
}

// Receiving reports whether an upstream sent something lately: a host that cannot open connections may still have
// some.
func (p *Prober) Receiving() bool {
	if p == nil {
		return true
	}
	at := time.Duration(p.receivedAt.Load())
	return at > 0 && p.Timer.Now()-at < SilenceTime
}

// RecordFailed records that a connection to an upstream broke or could not be opened.
func (p *Prober) RecordFailed() {
	if p != nil {
		p.failed.Store(true)
		p.check()
	}
}

// Confirm probes upstreams and reports whether the host is isolated. What a connection that was accepted before the
// call shows does not count: the host may have lost its upstreams since.
func (p *Prober) Confirm(ctx context.Context) bool {
	if p == nil {
		return false
	}
	for calledAt := p.Timer.Now(); !p.Isolated(); {
		r := p.probe(false)
		select {
		case <-r.done:
		case <-ctx.Done():
			return p.Isolated()
		}
		if r.begunAt >= calledAt {
			return r.isolated
		}
	}
	return true
}

// check probes upstreams if a connection failed, if requests get no response, or if the host is isolated.
func (p *Prober) check() {
	now, sentAt := p.Timer.Now(), time.Duration(p.sentAt.Load())
	isolated, probedAt := p.lastRound()
	since := now - probedAt
	switch {
	case isolated:
		if since >= restoreInterval {
			p.probe(false)
		}
	case p.failed.Load() && since >= failureInterval:
		p.probe(false)
	case sentAt > 0 && now-sentAt >= SilenceTime && since >= silenceInterval:
		p.probe(true)
	}
}

func (p *Prober) lastRound() (isolated bool, probedAt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated.Load(), p.probedAt
}

// probe begins a round, unless one is in progress, and returns it. If one upstream is likely to accept a connection,
// it is probed alone first.
func (p *Prober) probe(likely bool) *round {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.round != nil {
		return p.round
	}
	r := &round{begunAt: p.Timer.Now(), done: make(chan struct{}), isolated: p.isolated.Load()}
	p.round, p.probedAt = r, r.begunAt
	p.failed.Store(false)
	go func() {
		result := r.isolated // after a panic nothing is known
		defer func() { p.finish(r, result) }()
		confiner.Call(p.Log, "probe", func() { result = p.runRound(likely) })
	}()
	return r
}

// runRound opens connections to some upstreams and reports whether there are upstreams and none accepted one.
func (p *Prober) runRound(likely bool) bool {
	addresses := p.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	first := probeCount
	if likely {
		first = 1
	}
	if p.anyAccepts(addresses[:min(len(addresses), first)]) {
		return false
	}
	return len(addresses) > 0 && (p.Isolated() || !p.anyAccepts(addresses[:min(len(addresses), confirmCount)]))
}

// anyAccepts reports whether one of the addresses accepts a connection in time.
func (p *Prober) anyAccepts(addresses []string) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer p.Timer.Once(probeTimeout, cancel)()
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() {
			err := errNotProbed // after a panic
			defer func() { results <- err }()
			confiner.Call(p.Log, "probe", func() { err = p.Open(ctx, address) })
		}()
	}
	for range addresses {
		if err := <-results; err == nil {
			return true
		}
	}
	return false
}

var errNotProbed = errors.New("prober: upstream not probed")

// finish ends a round and applies its result.
func (p *Prober) finish(r *round, isolated bool) {
	changed := p.apply(r, isolated)
	defer close(r.done)
	p.Metrics.recordRound(isolated)
	if !changed {
		return
	}
	p.Metrics.recordChange(isolated)
	if isolated {
		p.Log.Warn().Msg("no upstream of the region accepts connections; requests are passed to other hosts")
	} else {
		p.Log.Info().Msg("upstreams of the region accept connections again")
	}
	if p.OnChange != nil {
		p.OnChange(isolated)
	}
}

func (p *Prober) apply(r *round, isolated bool) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.isolated, p.round = isolated, nil
	changed = p.isolated.Swap(isolated) != isolated
	p.sentAt.Store(0)
	switch {
	case !changed:
	case !isolated:
		p.connected, p.isolate = nil, nil
	case p.isolate != nil:
		p.isolate(ErrIsolated)
	default:
		ctx, cancel := context.WithCancelCause(context.Background())
		cancel(ErrIsolated)
		p.connected, p.isolate = ctx, cancel
	}
	return changed
}
