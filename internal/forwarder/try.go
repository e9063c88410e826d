package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

const (
	// Answers up to this size are read whole before the caller gets them, so that a broken
	// one can be asked for again.
	wholeLimit = 1 << 20
	// Shortest time that an upstream gets for its answer before a request that may be
	// repeated is sent to another one.
	shortestTry = 400 * time.Millisecond
	// The same in multiples of the objective, and of the time after which few answers are
	// still to come: beside full engines a slow answer is not a lost one.
	tryObjectives = 1.0
	trySlow       = 2
)

// Errors of one try.
var (
	// errNotRun says that the upstream did not run the request.
	errNotRun = errors.New("forwarder: the upstream did not run the request")
	// errElsewhere says that another upstream has the address.
	errElsewhere = errors.New("forwarder: another upstream has the address")
	// errFailed says that the upstream failed and that it may have run the request.
	errFailed = errors.New("forwarder: the upstream failed")
)

// serveHere sends a request to upstreams of this region until one answers.
func (f *Forwarder) serveHere(ctx context.Context, r *Request, sink Sink, t *trace, s *relayState) error {
	f.Budget.Request(r.pool)
	excluded := map[string]bool{}
	for {
		waited := f.Timer.Now()
		place, err := f.Scheduler.Acquire(ctx, r.work(excluded))
		if err != nil {
			return err
		}
		t.placed(place, waited)
		err = f.tryAt(ctx, r, sink, t, place, s)
		if err == nil {
			return nil
		}
		excluded[place.Name] = true
		if ctx.Err() != nil || !f.again(r, err, s) {
			return err
		}
	}
}

// last returns what is true of a request after its last try. A failure that an upstream
// answered with is passed on if nothing better came.
func (f *Forwarder) last(s *relayState, sink Sink, err error) error {
	switch {
	case err == nil:
		return nil
	case s.begun:
		return errors.Join(errBegun, err)
	case s.spare != nil:
		sink.Head(s.spare.status, s.spare.header, int64(len(s.spare.body)))
		_ = sink.Chunk(s.spare.body) // a caller that is gone needs no answer
		sink.Finish()
		return nil
	}
	return err
}

// again reports whether a request may be sent to another upstream after err.
func (f *Forwarder) again(r *Request, err error, s *relayState) bool {
	switch {
	case errors.Is(err, pooler.ErrNotSent), errors.Is(err, errElsewhere):
		return r.arrived == 0 || f.Budget.Repeat(r.pool)
	case s.begun && !r.resumable():
		return false
	case errors.Is(err, errNotRun):
	case !r.repeatable():
		return false
	}
	return r.sent < int(r.route.Attempts) && f.Budget.Repeat(r.pool)
}

// tryAt sends a request to one upstream and passes its answer on.
func (f *Forwarder) tryAt(ctx context.Context, r *Request, sink Sink, t *trace, place *scheduler.Place, s *relayState) error {
	outcome := scheduler.Failed
	defer func() { place.End(outcome) }()
	if err := f.recheck(r); err != nil {
		outcome = scheduler.Left
		return err
	}
	ctx, cancel := f.tryContext(ctx, r, s, place)
	defer cancel()
	err := f.send(ctx, r, sink, place, s)
	outcome = outcomeOf(ctx, err)
	t.tried(place, err, s)
	return err
}

// tryContext bounds a try at an upstream from which nothing comes, where another one could
// still take over in time. An upstream that answers other requests is slow, not silent: to
// send the request elsewhere would only add to the load.
func (f *Forwarder) tryContext(ctx context.Context, r *Request, s *relayState, place *scheduler.Place) (context.Context, context.CancelFunc) {
	if !r.repeatable() || r.sent+1 >= int(r.route.Attempts) || s.begun {
		return context.WithCancel(ctx)
	}
	limit := tryLimit(seconds(r.route.Objective), place.Slow(), r.end-f.Timer.Now())
	ctx, cancel := context.WithCancelCause(ctx)
	s.stopTry = f.Timer.Once(limit, func() {
		if !place.Alive() {
			place.Abandon()
			cancel(errSlow)
		}
	})
	stop := s.stopTry
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// tryLimit is how long a first sign of an answer is waited for, given the time after which
// few answers of the pool are still to come and what is left to the caller. Where answers
// are slow, no other upstream would do better in half of what is left.
func tryLimit(objective, slow, left time.Duration) time.Duration {
	quick := min(time.Duration(tryObjectives*float64(objective)), left/2)
	return max(shortestTry, quick, trySlow*slow)
}

var errSlow = errors.New("forwarder: the upstream does not answer")

func outcomeOf(ctx context.Context, err error) scheduler.Outcome {
	switch {
	case err == nil:
		return scheduler.Answered
	case errors.Is(err, pooler.ErrNotSent):
		return scheduler.Unreached
	case errors.Is(err, errElsewhere):
		return scheduler.Replaced
	case errors.Is(err, errNotRun):
		return scheduler.Refused
	case errors.Is(context.Cause(ctx), context.Canceled), errors.Is(err, errCaller):
		return scheduler.Left
	}
	return scheduler.Failed
}

// send writes the request and reads the answer.
func (f *Forwarder) send(ctx context.Context, r *Request, sink Sink, place *scheduler.Place, s *relayState) error {
	a := Attempt{Request: r, Upstream: place.Name, Left: r.end - f.Timer.Now(), After: s.last, Urgency: min(9, r.rank)}
	request, err := f.Dialect.Encode(a)
	if err != nil {
		return errors.Join(pooler.ErrNotSent, err)
	}
	call, err := f.Pool.Send(ctx, place.Address, request, !r.repeatable())
	if errors.Is(err, pooler.ErrNotSent) {
		return err
	}
	r.sent++
	r.arrived++
	if err != nil {
		// What broke this connection may have broken the idle ones.
		f.Pool.Forget(place.Address)
		r.unsure = true
		return errors.Join(errFailed, err)
	}
	defer call.Close()
	return f.receive(r, sink, place, s, a, call)
}

// receive judges the head of an answer and passes the answer on.
func (f *Forwarder) receive(r *Request, sink Sink, place *scheduler.Place, s *relayState, a Attempt, call *pooler.Call) error {
	verdict := f.Dialect.Judge(a, call.Response)
	switch verdict {
	case NotRun:
		drain(call)
		return errNotRun
	case Elsewhere:
		drain(call)
		r.sent--
		return errElsewhere
	case Foreign:
		r.unsure = true
		return errors.Join(errFailed, pooler.ErrGarbled)
	}
	r.unsure = true
	if verdict == Good && r.stream() && call.Response.StatusCode == http.StatusOK {
		return f.stream(r, sink, place, s, call)
	}
	return f.whole(r, sink, place, s, call, verdict)
}

// whole reads an answer to its end before the caller gets any of it, if it is not large.
func (f *Forwarder) whole(r *Request, sink Sink, place *scheduler.Place, s *relayState, call *pooler.Call, verdict Verdict) error {
	b, err := io.ReadAll(io.LimitReader(call, wholeLimit))
	if err != nil {
		return errors.Join(errFailed, err)
	}
	place.First()
	large := len(b) == wholeLimit
	if verdict == Broken {
		if s.begun || (r.repeatable() && r.sent < int(r.route.Attempts) && !large) {
			s.spare = &spare{status: call.Response.StatusCode, header: f.Dialect.Pass(call.Response.Header), body: b}
			return errFailed
		}
	}
	length := int64(len(b))
	if large {
		length = call.Response.ContentLength
	}
	s.begun = true
	sink.Head(call.Response.StatusCode, f.Dialect.Pass(call.Response.Header), length)
	if err := sink.Chunk(b); err != nil {
		return errors.Join(errCaller, err)
	}
	if large {
		if err := copyRest(sink, call); err != nil {
			return err
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
			if err := sink.Chunk(b[:n]); err != nil {
				return errors.Join(errCaller, err)
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return errors.Join(errBegun, errFailed, err)
		}
	}
}

// drain reads a short answer to its end, so that its connection can be used again.
func drain(call *pooler.Call) {
	_, _ = io.Copy(io.Discard, io.LimitReader(call, 16<<10)) // a failure only costs the connection
}
