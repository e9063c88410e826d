package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
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
	if f.spills(r) {
		err := f.serveElsewhere(ctx, r, sink, t, errSpill)
		if err == nil || r.arrived > 0 || r.unsure || ctx.Err() != nil {
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

const (
	// Load of this region above which others may take a part of its requests.
	spillLoad = 0.55
	// How much less another region must be loaded.
	spillMargin = 0.15
	// Part of the difference that is passed on: load figures are old.
	spillPart = 0.8
	// Time that the way to another region and back takes, as a part of the objective at most.
	spillObjective = 400 * time.Millisecond
)

var errSpill = errors.New("forwarder: another region has more room")

// spills decides whether a request goes to a less loaded region although this one may serve
// it. The more the loads differ, the more do.
func (f *Forwarder) spills(r *Request) bool {
	if r.relayed || !r.stream() || seconds(r.route.Objective) < spillObjective {
		return false
	}
	here := f.Scheduler.Look(r.work(nil)).Load
	if here < spillLoad {
		return false
	}
	there := f.leastLoad(r)
	return rand.Float64() < (here-there-spillMargin)*spillPart
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
