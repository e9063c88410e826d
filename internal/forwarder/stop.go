package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Retry-After of a stopping host. It is short because another host of its region can serve at once.
	stoppingRetryDelay = 20 * time.Millisecond
	// Estimated time for each token of a streamed response.
	timePerToken = 8 * time.Millisecond
	// Estimated time for each token at an engine whose slots are all taken.
	slowTimePerToken = 20 * time.Millisecond
	// Upper bound of the time that a relay through another region adds, with a new connection.
	maxRelayDelay = 600 * time.Millisecond
	// Time after StopAt in which expected ends may be underestimated, since most of the grace
	// period remains.
	optimisticPeriod = 2500 * time.Millisecond
	// The same as a fraction of the time until the end of the process, if that is less.
	optimisticFraction = 1. / 3
	// Callers' hints of the output length are right at the median; few responses are longer
	// than twice the hint.
	hintFactor = 2
	// A request may take this multiple of the longest time that one of its route took lately.
	slowestFactor = 2
)

// stopState is the state of a stop that was announced. Times are on the timer's clock.
type stopState struct {
	processEndAt atomic.Int64 // 0: the process is not stopping
	// strictFrom is the time from which only requests are accepted that end before processEndAt, as
	// far as the requests before them show.
	strictFrom atomic.Int64
	closed     atomic.Bool // no request is accepted any more

	mu sync.Mutex
	// ctx ends with the process's end, a little before it; nil until it is needed; guarded by mu, as
	// is cancel
	ctx    context.Context
	cancel context.CancelFunc
}

// errProcessEnds is the cause with which requests that are still served at the end of the process end.
var errProcessEnds = fmt.Errorf("forwarder: the process ends: %w", context.Canceled)

// context returns a context that ends when the process does.
func (s *stopState) context() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil {
		s.ctx, s.cancel = context.WithCancel(context.Background())
	}
	return s.ctx
}

// StopAt announces that the process ends at a point in time on the timer's clock. Requests
// that are expected to end later are refused from now on. Those that have no response by then get a
// refusal, or an error if they may have run.
func (f *Forwarder) StopAt(at time.Duration) {
	now := f.Timer.Now()
	f.stop.strictFrom.Store(int64(now + min(optimisticPeriod, time.Duration(optimisticFraction*float64(at-now)))))
	f.stop.processEndAt.Store(int64(at))
	f.stop.context()
	f.Timer.Once(at-now, f.stop.cancel)
}

// Close makes the Forwarder refuse all requests from now on. Those that are being served have until the
// time that StopAt named.
func (f *Forwarder) Close() { f.stop.closed.Store(true) }

// checkStopping refuses a request that would outlast the process. The end of the process bounds one that
// is taken, so that its upstream does not work on without anyone to answer.
func (f *Forwarder) checkStopping(r *Request, t *trace) error {
	at := time.Duration(f.stop.processEndAt.Load())
	if at == 0 {
		return nil
	}
	now, refusal := f.Timer.Now(), f.refuseStopping(r)
	t.logStopping(refusal == nil, f.expectedEnd(r)-now, at-now)
	if refusal != nil {
		return refusal
	}
	r.answerUntil = min(r.answerUntil, at)
	return nil
}

// refuseStopping returns the refusal of a request that would outlast the process; nil if it would not.
func (f *Forwarder) refuseStopping(r *Request) *Refusal {
	if !f.endsAfterProcess(r) {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, causeStopping, f.stoppingDelay(f.Timer.Now(), time.Duration(f.stop.processEndAt.Load())))
}

// stoppingDelay returns the time after which a request that a stopping host refuses may be served: by
// another host of the region, or once the process has ended, when callers are sent elsewhere.
func (f *Forwarder) stoppingDelay(now, processEndAt time.Duration) time.Duration {
	for _, p := range f.EntryHosts(f.Region) {
		if p.Name != f.Host && p.Ready {
			return stoppingRetryDelay
		}
	}
	return max(stoppingRetryDelay, processEndAt-now)
}

// endsAfterProcess reports whether the process is stopping and would end before the request.
func (f *Forwarder) endsAfterProcess(r *Request) bool {
	at := time.Duration(f.stop.processEndAt.Load())
	return at > 0 && (f.stop.closed.Load() || f.expectedEnd(r) > at)
}

// expectedEnd estimates the time at which a request that arrives now would end. Once the optimistic
// period of a stop is over it is an upper bound, as far as the route's recent requests show; a route
// without enough of them bounds a request by its deadline only.
func (f *Forwarder) expectedEnd(r *Request) time.Duration {
	now := f.Timer.Now()
	estimate := seconds(r.route.Objective)
	switch {
	case now >= time.Duration(f.stop.strictFrom.Load()):
		ratio, known := f.durations.slowest(r.route.Name, now)
		if !known {
			return r.answerUntil
		}
		estimate = time.Duration(float64(cautiousDuration(r)) * max(1, slowestFactor*ratio))
	case !r.isStream():
	case r.HintTokens > 0:
		estimate += time.Duration(min(r.MaxOutputTokens, r.HintTokens*hintFactor)) * timePerToken
	default:
		estimate += time.Duration(r.MaxOutputTokens) * timePerToken
	}
	return min(r.answerUntil, now+estimate)
}

// cautiousDuration estimates how long a request takes at a slow upstream of another region.
func cautiousDuration(r *Request) time.Duration {
	d := 2*seconds(r.route.Objective) + maxRelayDelay
	if r.isStream() {
		d += time.Duration(r.MaxOutputTokens) * slowTimePerToken
	}
	return d
}

// recordDuration records how long a request has been served, if an upstream received it. One that was
// broken off would have taken longer, so its time counts too.
func (f *Forwarder) recordDuration(r *Request, startedAt time.Duration) {
	if r.reached == 0 {
		return
	}
	now := f.Timer.Now()
	f.durations.record(r.route.Name, float64(now-startedAt)/float64(max(1, cautiousDuration(r))), now)
}
