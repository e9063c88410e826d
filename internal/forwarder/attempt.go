package forwarder

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/prober"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

const (
	// Response bodies shorter than this are read completely before the caller gets any of them,
	// so that a failed attempt can be retried.
	maxBufferedBytes = 1 << 20
	// Minimum time that an upstream has to begin its response before a repeatable request is
	// sent to another one.
	minAttemptTimeout = 400 * time.Millisecond
	// The same time as a multiple of the latency objective, and of the time after which few
	// responses are still to come: while engines are full, a slow response is not a lost one.
	timeoutObjectiveFactor = 1.0
	timeoutSlowFactor      = 2
	// Bounds for reading the rest of a response that is not forwarded, so that its connection
	// can be reused. A rejection's body arrives with its head.
	maxDrainedBytes = 16 << 10
	drainTimeout    = 100 * time.Millisecond
)

// Errors of one attempt.
var (
	// errNotRun means that the upstream rejected the request without running it.
	errNotRun = errors.New("forwarder: the upstream did not run the request")
	// errMisdirected means that another upstream has the address. It did not run the request.
	errMisdirected = errors.New("forwarder: another upstream has the address")
	// errUpstreamFailed means that the upstream failed and may have run the request.
	errUpstreamFailed = errors.New("forwarder: the upstream failed")
)

// serveLocally sends a request to upstreams of this region, one after another, until one
// answers or no further attempt is allowed.
func (f *Forwarder) serveLocally(ctx context.Context, r *Request, sink Sink, t *trace, s *responseState) error {
	if f.Prober.Isolated() {
		return prober.ErrIsolated // the host that serves the request counts it
	}
	if !r.counted {
		r.counted = true
		f.Budget.CountRequest(r.pool)
	}
	excluded := map[string]bool{}
	for {
		if err := f.checkHome(r, f.Region); err != nil {
			return err
		}
		queuedAt := f.Timer.Now()
		reservation, err := f.acquire(ctx, r, excluded)
		if err != nil {
			return err
		}
		if err := f.checkSend(r); err != nil {
			reservation.Release(scheduler.CallerLeft)
			return err
		}
		t.logPlaced(reservation, queuedAt)
		err = f.runAttempt(ctx, r, sink, t, reservation, s)
		if err == nil {
			return nil
		}
		excluded[reservation.Name] = true
		if ctx.Err() == nil && f.lostUpstreams(ctx, err) {
			return errors.Join(prober.ErrIsolated, err)
		}
		if ctx.Err() != nil || !f.mayRetry(r, err, s) {
			return err
		}
	}
}

// acquire reserves a slot for a request. It returns prober.ErrIsolated once the host is isolated, also for requests
// that wait.
func (f *Forwarder) acquire(ctx context.Context, r *Request, excluded map[string]bool) (*scheduler.Reservation, error) {
	if f.Prober.Isolated() {
		return nil, prober.ErrIsolated
	}
	connected, cancel := f.Prober.WhileConnected(ctx)
	defer cancel()
	reservation, err := f.Scheduler.Acquire(connected, r.schedulerRequest(excluded))
	if err != nil && ctx.Err() == nil && connected.Err() != nil {
		return nil, prober.ErrIsolated
	}
	return reservation, err
}

// checkSend returns an error if a request may not be sent to an upstream of this region, although it might be
// when it arrived.
func (f *Forwarder) checkSend(r *Request) error {
	return cmp.Or(f.checkHome(r, f.Region), f.recheckKey(r), f.checkQuarantine(r))
}

// finishAttempts returns the result of a request after its last attempt. If an upstream
// responded with an error and nothing better came, it forwards that response.
func (f *Forwarder) finishAttempts(s *responseState, sink Sink, err error) error {
	defer s.keepFallback(nil)
	switch {
	case err == nil:
		return nil
	case s.headSent, errors.Is(err, errTruncated): // by an upstream here, or one of another host
		return errors.Join(errTruncated, err)
	case s.fallback != nil:
		sink.SendHead(s.fallback.status, s.fallback.header, int64(len(s.fallback.body)))
		_ = sink.SendChunk(s.fallback.body) // a caller that disconnected needs no response
		sink.Finish()
		return nil
	}
	return err
}

// mayRetry reports whether a request may be sent to another upstream after err. If so, it
// takes the retry from the budget, unless no upstream has received the request yet.
func (f *Forwarder) mayRetry(r *Request, err error, s *responseState) bool {
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal): // it was not sent, and holds for every upstream
		return false
	case errors.Is(err, pooler.ErrNotSent), errors.Is(err, errMisdirected):
		return r.reached == 0 || f.Budget.TakeRetry(r.pool)
	case s.headSent && (!r.resumable() || r.originUnknown || s.unnumbered):
		return false
	case errors.Is(err, errNotRun):
	case !r.repeatable():
		return false
	}
	return r.attempts < int(r.route.Attempts) && f.Budget.TakeRetry(r.pool)
}

// runAttempt sends a request to one upstream and forwards its response.
func (f *Forwarder) runAttempt(ctx context.Context, r *Request, sink Sink, t *trace, reservation *scheduler.Reservation, s *responseState) error {
	outcome := scheduler.Failed
	defer func() { reservation.Release(outcome) }()
	ctx, cancel := f.attemptContext(ctx, r, s, reservation)
	defer cancel()
	err := f.send(ctx, r, sink, reservation, s)
	outcome = outcomeOf(ctx, err)
	f.recordBreak(ctx, r, reservation, err)
	t.logAttempt(reservation, err, s)
	return err
}

// attemptContext returns the context of one attempt. It is canceled if the upstream does not
// begin to respond while another one could still serve the request in time. An upstream that
// responds to other requests is slow rather than unresponsive: a retry elsewhere would only
// add load.
func (f *Forwarder) attemptContext(ctx context.Context, r *Request, s *responseState, reservation *scheduler.Reservation) (context.Context, context.CancelFunc) {
	if !r.repeatable() || r.attempts+1 >= int(r.route.Attempts) || s.headSent {
		return context.WithCancel(ctx)
	}
	timeout := attemptTimeout(seconds(r.route.Objective), reservation.SlowDelay(), r.answerUntil-f.Timer.Now())
	ctx, cancel := context.WithCancelCause(ctx)
	s.stopTimeout = f.Timer.Once(timeout, func() {
		if !reservation.ReceivedSince() {
			reservation.RecordNoFirstToken()
			cancel(errNoResponse)
		}
	})
	stop := s.stopTimeout
	sentAt := f.Timer.Now()
	stopIsolated := f.Prober.AfterIsolated(func() {
		// Existing connections may still work: the attempt has as long as upstreams have for any response.
		wait := max(0, prober.SilenceTime-(f.Timer.Now()-sentAt))
		f.Timer.Once(wait, func() {
			if !s.responding.Load() && !f.Prober.Receiving() {
				cancel(prober.ErrIsolated)
			}
		})
	})
	return ctx, func() {
		stop()
		stopIsolated()
		cancel(nil)
	}
}

// attemptTimeout returns how long to wait for the beginning of a response. Slow is the time
// after which few responses of the pool are still to come, remaining the time until the
// deadline, half of which is left for a retry unless responses are slow: then no other
// upstream would respond within that half.
func attemptTimeout(objective, slow, remaining time.Duration) time.Duration {
	normal := min(time.Duration(timeoutObjectiveFactor*float64(objective)), remaining/2)
	return max(minAttemptTimeout, normal, timeoutSlowFactor*slow)
}

var errNoResponse = errors.New("forwarder: no response from the upstream in time")

func outcomeOf(ctx context.Context, err error) scheduler.Outcome {
	var refusal *Refusal
	switch {
	case err == nil:
		return scheduler.Answered
	case errors.As(err, &refusal): // by checkSend
		return scheduler.CallerLeft
	case errors.Is(err, prober.ErrIsolated), errors.Is(context.Cause(ctx), prober.ErrIsolated): // it says nothing of the upstream
		return scheduler.CallerLeft
	case errors.Is(err, pooler.ErrNotSent):
		return scheduler.Unreachable
	case errors.Is(err, errMisdirected):
		return scheduler.Replaced
	case errors.Is(err, errNotRun):
		return scheduler.Rejected
	case errors.Is(context.Cause(ctx), errNoResponse):
		return scheduler.NoResponse
	case errors.Is(context.Cause(ctx), context.Canceled), errors.Is(err, errCallerDisconnected):
		return scheduler.CallerLeft
	}
	return scheduler.Failed
}

// send writes the request to the upstream and handles its response.
func (f *Forwarder) send(ctx context.Context, r *Request, sink Sink, reservation *scheduler.Reservation, s *responseState) error {
	a := Attempt{Request: r, Upstream: reservation.Name, Timeout: r.answerUntil - f.Timer.Now(), LastEventID: s.lastEventID, Priority: min(9, r.priority)}
	request, err := f.Protocol.Encode(a)
	if err != nil {
		return errors.Join(pooler.ErrNotSent, err)
	}
	s.run = f.observe(r, reservation)
	s.unframed, s.firstEventID = false, ""
	s.responding.Store(false)
	call, err := f.Pool.Send(ctx, reservation.Address, request, pooler.SendOptions{
		ID: r.ID, RecentOnly: !r.repeatable(), Until: reservation.SendUntil,
		Check: func() error { return f.checkSend(r) },
	})
	if errors.Is(err, pooler.ErrNotSent) {
		return err
	}
	r.attempts++
	r.reached++
	if err != nil {
		// What broke this connection may have broken the idle ones too.
		f.Pool.CloseIdle(reservation.Address)
		r.mayHaveRun = true
		recordEnd(ctx, r, s.run, err)
		return errors.Join(errUpstreamFailed, err)
	}
	defer call.Close()
	s.responding.Store(true)
	s.unframed = call.Unframed()
	err = f.receive(ctx, r, sink, reservation, s, a, call)
	if err == nil && call.Unframed() {
		s.run.RecordUnframed()
		return nil
	}
	recordEnd(ctx, r, s.run, err)
	return err
}

// receive classifies the head of a response and forwards the response.
func (f *Forwarder) receive(ctx context.Context, r *Request, sink Sink, reservation *scheduler.Reservation, s *responseState, a Attempt, call *pooler.Call) error {
	a.Reused = call.Reused
	verdict := f.Protocol.Classify(a, call.Response)
	if verdict != Misdirected && verdict != Invalid {
		reservation.RecordServing(call.OpenedAt())
	}
	f.recordLimit(r, reservation, verdict, call.Response.Header)
	f.recordBrittleness(r, reservation, verdict, call.Response.Header)
	f.recordPause(r, reservation, verdict, call.Response)
	f.recordLeaving(r, sink, reservation, verdict, call.Response.Header)
	switch verdict {
	case NotRun:
		call.RecordRefused()
		f.drain(call)
		return errNotRun
	case Misdirected:
		call.RecordRefused()
		f.drain(call)
		r.attempts--
		return errMisdirected
	case UpstreamError:
		s.run = nil // the upstream goes on, but may have failed before it ran the request
	case Invalid:
		r.mayHaveRun = true
		f.recordInvalid(r, reservation, a, call)
		return errors.Join(errUpstreamFailed, pooler.ErrMalformedResponse)
	}
	r.mayHaveRun = true
	// A failure may answer a caller that takes a stream up, but cannot stand within a stream.
	if s.headSent || r.takesUp() && verdict == Valid && call.Response.StatusCode < 300 {
		if err := checkContinuation(call.Response, s.mediaType); err != nil {
			return errors.Join(errUpstreamFailed, err)
		}
	}
	if verdict == Valid && r.isStream() && call.Response.StatusCode == http.StatusOK {
		return f.forwardStream(ctx, r, sink, reservation, s, call)
	}
	return f.forwardWhole(ctx, r, sink, reservation, s, call, verdict)
}

// recordInvalid logs and counts a response that is not a valid one to the request.
func (f *Forwarder) recordInvalid(r *Request, reservation *scheduler.Reservation, a Attempt, call *pooler.Call) {
	f.Metrics.responsesInvalid.Inc()
	f.Log.Warn().Str("request", r.ID).Str("upstream", reservation.Name).Uint64("incarnation", reservation.Incarnation).
		Int("status", call.Response.StatusCode).Bool("reused", a.Reused).Msg("response is not a valid one to the request")
}

// forwardWhole reads a response completely before the caller gets any of it, unless its body
// has maxBufferedBytes or more, or there is no memory to keep it.
func (f *Forwarder) forwardWhole(ctx context.Context, r *Request, sink Sink, reservation *scheduler.Reservation, s *responseState, call *pooler.Call, verdict Verdict) error {
	hold := bufferer.Hold{Budget: f.Buffers}
	defer func() { hold.Release() }()
	end := f.newEndCheck(ctx, r, reservation, call)
	defer end.Close()
	b, err := hold.ReadAll(call, maxBufferedBytes)
	large := errors.Is(err, bufferer.ErrTooLong) || errors.Is(err, bufferer.ErrExhausted)
	if err != nil && !large {
		return errors.Join(errUpstreamFailed, err)
	}
	reservation.RecordFirstToken()
	if !large {
		if err := end.check(ctx); err != nil {
			return err
		}
	}
	if verdict == UpstreamError {
		if r.repeatable() && r.attempts < int(r.route.Attempts) && !large {
			s.keepFallback(&failedResponse{status: call.Response.StatusCode, header: f.Protocol.ResponseHeader(call.Response.Header), body: b, hold: hold})
			hold = bufferer.Hold{}
			return errUpstreamFailed
		}
	}
	length := int64(len(b))
	if large || r.Method == http.MethodHead {
		length = call.Response.ContentLength
	}
	s.headSent = true
	sink.SendHead(call.Response.StatusCode, f.Protocol.ResponseHeader(call.Response.Header), length)
	if err := sink.SendChunk(b); err != nil {
		return errors.Join(errCallerDisconnected, err)
	}
	if large && !isPromise(call.Response.StatusCode) { // the caller gets nothing of such a response
		if err := copyRest(sink, call); err != nil {
			return err
		}
		if err := end.check(ctx); err != nil {
			return errors.Join(errTruncated, err)
		}
	}
	sink.Finish()
	return nil
}

func copyRest(sink Sink, call *pooler.Call) error {
	b := make([]byte, 32<<10)
	for {
		n, err := call.Read(b)
		if n > 0 {
			if err := sink.SendChunk(b[:n]); err != nil {
				return errors.Join(errCallerDisconnected, err)
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return errors.Join(errTruncated, errUpstreamFailed, err)
		}
	}
}

// drain reads a short response to its end, so that its connection can be reused. It gives up
// after drainTimeout.
func (f *Forwarder) drain(call *pooler.Call) {
	stop := f.Timer.Once(drainTimeout, call.Abort)
	defer stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(call, maxDrainedBytes)) // a failure only costs the connection
}
