package forwarder

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// Forwarder is the request path of one entry host. Set the exported fields, then call
// Serve for each request.
type Forwarder struct {
	Host      string
	Region    string
	Timer     *timer.Service
	Dialer    *dialer.Dialer
	Log       zerolog.Logger
	Scheduler *scheduler.Scheduler
	Pool      *pooler.Pool
	Bucket    *allocator.Bucket
	Budget    *Budget
	Dialect   Dialect
	Metrics   *Metrics
	// Age returns how old the certainty is that the configuration is the newest.
	Age func() (time.Duration, bool)
	// KeyLimit is the age of that certainty beyond which no key is good.
	KeyLimit time.Duration
	// Borrow asks the leader for tokens of a customer; without any it returns when they
	// would be there.
	Borrow func(ctx context.Context, customer string, need, wish float64) (float64, time.Duration, error)
	// Peers returns the entry hosts of a region that are ready.
	Peers func(region string) []*schema.Peer

	index    atomic.Pointer[index]
	mu       sync.Mutex
	others   []*schema.RegionDigest // guarded by mu
	limits   limits
	reach    reach
	stopping atomic.Int64 // boot time at which the process ends; 0: it does not stop
	strict   atomic.Int64 // boot time from which work is taken only if it surely ends before
	inflight atomic.Int64
}

// Configure puts a configuration in force.
func (f *Forwarder) Configure(c *configurer.Snapshot) { f.index.Store(newIndex(c)) }

// Digests puts in place what other regions have under way.
func (f *Forwarder) Digests(d []*schema.RegionDigest) {
	if len(d) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.others = d
}

func (f *Forwarder) digests() []*schema.RegionDigest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.others
}

// Stop says that the process ends at a time: work that would not end before it is refused.
func (f *Forwarder) Stop(at time.Duration) {
	f.strict.Store(int64(f.Timer.Now() + estimateTime))
	f.stopping.Store(int64(at))
}

// Inflight returns how many requests are being served.
func (f *Forwarder) Inflight() int64 { return f.inflight.Load() }

// Serve gives a caller its answer, a refusal, or a broken-off answer. Ctx ends when the
// caller goes away.
func (f *Forwarder) Serve(ctx context.Context, r *Request, sink Sink) {
	f.inflight.Add(1)
	defer f.inflight.Add(-1)
	t := &trace{f: f, r: r}
	if err := f.identify(r); err != nil {
		t.refuse(sink, refusalOf(err))
		return
	}
	if err := f.admit(ctx, r); err != nil {
		t.refuse(sink, refusalOf(err))
		return
	}
	ctx, cancel := f.until(ctx, r.end)
	defer cancel()
	err := f.serve(ctx, r, sink, t)
	if err != nil {
		f.settle(ctx, r, sink, t, err)
	}
}

// admit charges the request, and refuses what could not end before the process does.
func (f *Forwarder) admit(ctx context.Context, r *Request) error {
	if f.endsTooLate(r) {
		return refuse(http.StatusServiceUnavailable, causeStopping, shortRetry)
	}
	return f.charge(ctx, r)
}

// endsTooLate reports whether the process would end before the request does.
func (f *Forwarder) endsTooLate(r *Request) bool {
	at := time.Duration(f.stopping.Load())
	return at > 0 && f.expectedEnd(r) > at
}

const (
	// Retry-After of a host that stops: another host can serve at once.
	shortRetry = 20 * time.Millisecond
	// Time that a stream is assumed to take for each token of its answer.
	tokenTime = 8 * time.Millisecond
	// The same at an engine whose slots are all taken.
	slowTokenTime = 20 * time.Millisecond
	// Time that the way through another region takes at most, a new connection included.
	relayTime = 600 * time.Millisecond
	// Time after the signal to stop in which the estimate may be wrong, since most of the grace
	// is left.
	estimateTime = 2500 * time.Millisecond
	// Callers' hints of the length of an answer hold at the median; few exceed twice that.
	hintFactor = 2
)

// expectedEnd estimates when a request that arrives now would end.
func (f *Forwarder) expectedEnd(r *Request) time.Duration {
	now := f.Timer.Now()
	need := seconds(r.route.Objective)
	switch {
	case now >= time.Duration(f.strict.Load()):
		need += need + relayTime
		if r.stream() {
			need += time.Duration(r.Output) * slowTokenTime
		}
	case !r.stream():
	case r.Hint > 0:
		need += time.Duration(min(r.Output, r.Hint*hintFactor)) * tokenTime
	default:
		need += time.Duration(r.Output) * tokenTime
	}
	return min(r.end, now+need)
}

// until returns a context that ends at a time of the timer's clock.
func (f *Forwarder) until(ctx context.Context, end time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := f.Timer.Once(max(0, end-f.Timer.Now()), func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// settle ends a request that got no whole answer. Errors that follow a begun answer are
// errBegun: the answer is broken off.
func (f *Forwarder) settle(ctx context.Context, r *Request, sink Sink, t *trace, err error) {
	if context.Cause(ctx) != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		t.left()
		sink.Abort()
		return
	}
	if errors.Is(err, errBegun) {
		t.broken(err)
		sink.Abort()
		return
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		err = refuse(http.StatusServiceUnavailable, causeTimeout, 0)
	}
	if !r.unsure {
		f.refund(r)
	}
	t.refuse(sink, r.final(refusalOf(err)))
}

var errBegun = errors.New("forwarder: the answer broke off after it had begun")

// BodyLimit returns the longest body that callers may send, in bytes; 0: not stated.
func (f *Forwarder) BodyLimit() int64 {
	if x := f.index.Load(); x != nil {
		return x.snapshot.Bounds().GetBody()
	}
	return 0
}
