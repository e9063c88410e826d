package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/prober"
	"github.com/trefoilloft/trefoilloft/internal/quarantiner"
	"github.com/trefoilloft/trefoilloft/internal/resumer"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// Forwarder is the request path of one entry host. Set the exported fields, then call
// Serve for each request. Unless stated otherwise, times are on the clock of Timer.
type Forwarder struct {
	// Host and Region are the names of this host and of its region.
	Host      string
	Region    string
	Timer     *timer.Service
	Dialer    *dialer.Dialer
	Log       zerolog.Logger
	Scheduler *scheduler.Scheduler
	Pool      *pooler.Pool
	// Prober knows whether this host reaches upstreams of its region. Nil: it always does.
	Prober *prober.Prober
	Bucket *allocator.Bucket
	Budget *RetryBudget
	// Observer relates ends of upstreams to requests, and Quarantine names requests and parts of
	// prompts that crash upstreams. Both may be nil.
	Observer   *quarantiner.Observer
	Quarantine *quarantiner.Register
	// Streams holds which software versions began the streams at upstreams of this host. OnStream is
	// called after a stream was added; urgent means that its caller may take it up at once. Streams may
	// be nil: then streams that callers take up may go on at any version.
	Streams  *resumer.Index
	OnStream func(urgent bool)
	// FindStream asks the control hosts for the version that began a stream.
	FindStream func(ctx context.Context, r *schema.FindStreamRequest) (*schema.FindStreamReply, error)
	Protocol   Protocol
	Metrics    *Metrics
	// Buffers bounds the memory for responses that are not forwarded as they arrive. Nil: unlimited.
	Buffers *bufferer.Budget
	// SlowCallers is set where callers may read so slowly that upstreams cut off what stays unread: streams are
	// then read from the upstream while their callers read.
	SlowCallers bool
	// OnLimit is called after the limit that an upstream names has changed. Nil: not called.
	OnLimit func()
	// OnBrittle is called after an upstream said that it is brittle, or no longer is, or turned a request away while it
	// is. Nil: not called.
	OnBrittle func()
	// ConfirmationAge returns the time since the configuration was last confirmed as the
	// newest; false if it never was.
	ConfirmationAge func() (time.Duration, bool)
	// MaxConfirmationAge is the age of the configuration above which requests that need a key are
	// refused.
	MaxConfirmationAge time.Duration
	// Borrow asks a control host for a loan of a customer's tokens: at least minTokens, maxTokens if it
	// can. If none are lent, Borrow returns the time until the tokens would be available.
	Borrow func(ctx context.Context, customer string, minTokens, maxTokens float64) (float64, time.Duration, error)
	// OnLeaver is called after an upstream first said in an answer that it is leaving. Nil: not called.
	OnLeaver func()
	// OnBreakage is called after the process of an upstream is assumed to have ended, as connections to it
	// broke. Nil: not called.
	OnBreakage func()
	// EntryHosts returns the entry hosts of a region that requests may be relayed to.
	EntryHosts func(region string) []*schema.Peer
	// Served reports whether a host of a region, this one included, reaches upstreams there. Nil: all regions have
	// such hosts.
	Served func(region string) bool

	// Adaptive reports whether work is assigned to regions by demand. Nil: it is not.
	Adaptive func() bool
	// Random returns a number in [0, 1) for the choice of a pool and a region. Nil means the global generator.
	Random func() float64

	index         atomic.Pointer[index]
	mu            sync.Mutex
	regionDigests []*schema.RegionDigest // guarded by mu
	digestsAt     time.Duration          // when they were received; guarded by mu
	deadlines     deadlineHistory
	monitor       regionMonitor
	stop          stopState
	durations     durationHistory
	leavers       leaverSet
	usage         routeUsage
	assignments   assignments
	inflight      atomic.Int64
	spools        spoolMetrics
	silentPeers   silentPeers
}

// Configure replaces the configuration that requests are served by.
func (f *Forwarder) Configure(c *configurer.Snapshot) { f.index.Store(newIndex(c)) }

// SetRegionDigests replaces the load reports of the regions. An empty list changes nothing.
func (f *Forwarder) SetRegionDigests(d []*schema.RegionDigest) {
	if len(d) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regionDigests, f.digestsAt = d, f.Timer.Now()
}

func (f *Forwarder) digests() []*schema.RegionDigest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.regionDigests
}

func (f *Forwarder) random() float64 {
	if f.Random != nil {
		return f.Random()
	}
	return rand.Float64()
}

// Inflight returns the number of requests that are being served.
func (f *Forwarder) Inflight() int64 { return f.inflight.Load() }

// Serve answers a request through sink: with a response, a refusal, or a truncated response.
// Ctx is canceled when the caller disconnects.
func (f *Forwarder) Serve(ctx context.Context, r *Request, sink Sink) {
	f.inflight.Add(1)
	defer f.inflight.Add(-1)
	t := &trace{f: f, r: r}
	if err := f.identify(r); err != nil {
		t.refuse(sink, refusalOf(err))
		return
	}
	if err := f.admitTrial(r); err != nil {
		t.refuse(sink, refusalOf(err))
		return
	}
	if err := f.resolveResume(ctx, r, t); err != nil {
		t.refuse(sink, refusalOf(err))
		return
	}
	if err := f.claim(r); err != nil {
		t.refuse(sink, refusalOf(err))
		return
	}
	if err := f.admit(ctx, r, t); err != nil {
		t.refuse(sink, refusalOf(err))
		return
	}
	if f.SlowCallers && r.isStream() && !r.relayed {
		spooled := newSpool(sink, f.Buffers, &f.spools, f.Log)
		defer spooled.Close()
		sink = spooled
	}
	sink = &truthfulSink{Sink: sink, trace: t}
	f.recordDemand(r)
	defer f.recordDuration(r, f.Timer.Now())
	ctx, cancel := f.withDeadline(ctx, r.answerUntil)
	defer cancel()
	err := f.dispatch(ctx, r, sink, t)
	if err != nil {
		f.finishFailed(ctx, r, sink, t, err)
	}
}

// minTimeLeft is the shortest time that an upstream can be told.
const minTimeLeft = time.Millisecond

// admit charges the request to its customer. It refuses a request that has no time left, or would outlast the
// process.
func (f *Forwarder) admit(ctx context.Context, r *Request, t *trace) error {
	if r.answerUntil-f.Timer.Now() < minTimeLeft {
		return refuse(http.StatusServiceUnavailable, causeTimeout, 0)
	}
	if err := f.checkStopping(r, t); err != nil {
		return err
	}
	return f.charge(ctx, r)
}

// withDeadline returns a context that is canceled at a point in time on the timer's clock,
// with context.DeadlineExceeded as its cause, or at the end of the process with errProcessEnds.
func (f *Forwarder) withDeadline(ctx context.Context, deadline time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := f.Timer.Once(max(0, deadline-f.Timer.Now()), func() { cancel(context.DeadlineExceeded) })
	stopEnd := context.AfterFunc(f.stop.context(), func() { cancel(errProcessEnds) })
	return ctx, func() {
		stop()
		stopEnd()
		cancel(nil)
	}
}

// finishFailed ends a request without a complete response. An errTruncated in err means
// that the caller already has the beginning of a response, which is then aborted.
func (f *Forwarder) finishFailed(ctx context.Context, r *Request, sink Sink, t *trace, err error) {
	cause := context.Cause(ctx)
	if cause != nil && !errors.Is(cause, context.DeadlineExceeded) && !errors.Is(cause, errProcessEnds) {
		t.logCallerLeft()
		sink.Abort()
		return
	}
	if errors.Is(err, errTruncated) {
		f.announceStream(r, true)
		t.logTruncated(err)
		sink.Abort()
		return
	}
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		err = refuse(http.StatusServiceUnavailable, causeTimeout, 0)
	case errors.Is(cause, errProcessEnds):
		err = refuse(http.StatusServiceUnavailable, causeStopping, stoppingRetryDelay)
	}
	if !r.mayHaveRun {
		f.refund(r)
	}
	t.refuse(sink, f.withPromise(r, r.finalRefusal(refusalOf(err))))
}

var errTruncated = errors.New("forwarder: response truncated after its head was sent")

// BodyLimit returns the maximum size of a request body in bytes; 0 if the configuration
// sets none.
func (f *Forwarder) BodyLimit() int64 {
	if x := f.index.Load(); x != nil {
		return x.snapshot.Bounds().GetBody()
	}
	return 0
}
