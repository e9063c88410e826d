package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// serve runs a request in this region, or through a host of another one if this one may
// not serve it or has no place.
func (f *Forwarder) serve(ctx context.Context, r *Request, sink Sink, t *trace) error {
	if !r.allows(f.Region) {
		return f.serveElsewhere(ctx, r, sink, t, refuse(http.StatusServiceUnavailable, causeNoHome, missingRetry))
	}
	s := &relayState{}
	if region := f.elsewhere(r); region != "" {
		err := f.relay(ctx, region, r, sink, t)
		if err == nil || r.arrived > 0 || r.unsure || errors.Is(err, errBegun) || ctx.Err() != nil {
			return err
		}
	}
	err := f.serveHere(ctx, r, sink, t, s)
	noPlace := errors.Is(err, scheduler.ErrNone) || errors.Is(err, scheduler.ErrFull)
	if noPlace && r.arrived == 0 && ctx.Err() == nil {
		err = f.serveElsewhere(ctx, r, sink, t, err)
	}
	return f.last(s, sink, err)
}

// serveElsewhere passes a request to other regions, the least loaded first, until one has
// a place. Without one it returns why.
func (f *Forwarder) serveElsewhere(ctx context.Context, r *Request, sink Sink, t *trace, why error) error {
	for _, x := range f.remotes(r) {
		err := f.relay(ctx, x.region, r, sink, t)
		if err == nil || r.unsure || errors.Is(err, errBegun) || ctx.Err() != nil {
			return err
		}
		why = err
		if r.arrived > 0 && !f.Budget.Repeat(r.pool) {
			break
		}
	}
	return why
}

// latePart is the part of the objective that must be left for a request to be in time.
const latePart = 0.25

// late reports whether the request was late, or nearly, when it arrived here.
func (r *Request) late() bool {
	return r.objected-r.Arrived < time.Duration(latePart*float64(seconds(r.route.Objective)))
}

// work returns what the scheduler decides by.
func (r *Request) work(excluded map[string]bool) *scheduler.Work {
	output := r.Output
	if r.Hint > 0 {
		output = min(output, r.Hint)
	}
	return &scheduler.Work{
		Pool: r.pool, Parts: r.Parts, Input: r.Input, Output: output, Rank: r.rank,
		Objective: r.objected, Deadline: r.end, Late: r.late(), Careful: !r.repeatable(), Excluded: excluded,
	}
}
