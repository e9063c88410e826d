package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/estimator"
	"github.com/trefoilloft/trefoilloft/internal/prober"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// dispatch serves a request in this region, or relays it to another one if this region may
// not serve it, has no free slot, or offloads it.
func (f *Forwarder) dispatch(ctx context.Context, r *Request, sink Sink, t *trace) error {
	s := &responseState{}
	err := f.serveHere(ctx, r, sink, t, s)
	if errors.Is(err, errNotHome) && !r.mayHaveRun && ctx.Err() == nil {
		err = f.serveRemotely(ctx, r, sink, t, err)
	}
	return f.finishAttempts(s, sink, err)
}

// serveHere serves a request in this region, or relays it to another one if this region has no free slot or
// offloads it. It returns errNotHome once this region may not serve it.
func (f *Forwarder) serveHere(ctx context.Context, r *Request, sink Sink, t *trace, s *responseState) error {
	if err := f.checkHome(r, f.Region); err != nil {
		return err
	}
	region := ""
	if !r.claim.Placed { // its place was promised here
		region = f.offloadRegion(r)
	}
	if region != "" {
		err := f.relay(ctx, region, r, sink, t)
		if err == nil || r.reached > 0 || r.mayHaveRun || errors.Is(err, errTruncated) || ctx.Err() != nil {
			return err
		}
	}
	err := f.serveLocally(ctx, r, sink, t, s)
	if errors.Is(err, prober.ErrIsolated) && ctx.Err() == nil {
		err = f.serveThroughPeers(ctx, r, sink, t, s, err)
	}
	r.recordForecast(err)
	isolated := errors.Is(err, prober.ErrIsolated) && isNotServed(err)
	noUpstream := (errors.Is(err, scheduler.ErrNoUpstream) || isolated) && !r.lastResort
	if hasNoSlot(err) && r.reached == 0 && !r.mayHaveRun && ctx.Err() == nil {
		err = f.serveRemotely(ctx, r, sink, t, err)
	}
	if noUpstream && r.reached == 0 && isNotServed(err) && ctx.Err() == nil {
		err = f.serveAsLastResort(ctx, r, sink, t, s, err)
	}
	return err
}

// hasNoSlot reports whether err means that this region has no slot for a request, or none that this host reaches:
// it is then relayed.
func hasNoSlot(err error) bool {
	return errors.Is(err, scheduler.ErrNoUpstream) || errors.Is(err, scheduler.ErrNoSlot) || errors.Is(err, prober.ErrIsolated)
}

// serveAsLastResort sends a request that nothing else serves to an upstream of this region that is leaving.
// If there is none that still takes it, it returns reason.
func (f *Forwarder) serveAsLastResort(ctx context.Context, r *Request, sink Sink, t *trace, s *responseState, reason error) error {
	r.lastResort = true
	err := f.serveLocally(ctx, r, sink, t, s)
	if errors.Is(err, prober.ErrIsolated) && ctx.Err() == nil {
		err = f.serveThroughPeers(ctx, r, sink, t, s, err)
	}
	if errors.Is(err, scheduler.ErrNoUpstream) || errors.Is(err, prober.ErrIsolated) {
		return reason
	}
	return err
}

// isNotServed reports whether err means that no upstream was found for a request, here or in another
// region.
func isNotServed(err error) bool {
	var r *Refusal
	return errors.Is(err, scheduler.ErrNoUpstream) || errors.As(err, &r) && (r.Cause == causeNoUpstream || r.Cause == causeNoHome)
}

// serveRemotely relays a request to other regions, the least loaded first, until one has a
// free slot. Otherwise it returns the last region's error, or reason if none was asked.
func (f *Forwarder) serveRemotely(ctx context.Context, r *Request, sink Sink, t *trace, reason error) error {
	asked := map[string]bool{}
	for {
		if err := f.rebind(r); err != nil {
			return err
		}
		region := f.nextRegion(r, asked)
		if region == "" {
			return reason
		}
		asked[region] = true
		err := f.relay(ctx, region, r, sink, t)
		if errors.Is(err, errNotHome) {
			continue
		}
		if err == nil || r.mayHaveRun || errors.Is(err, errTruncated) || ctx.Err() != nil {
			return err
		}
		reason = err
		if isQuarantined(err) || r.reached > 0 && !f.Budget.TakeRetry(r.pool) {
			return reason
		}
	}
}

// lateFraction is the fraction of the latency objective that must remain when a request
// arrives, else it counts as late.
const lateFraction = 0.25

// isLate reports whether the request had used up its latency objective, or nearly, when it
// arrived at this host.
func (r *Request) isLate() bool {
	return r.objectiveAt-r.ArrivedAt < time.Duration(lateFraction*float64(seconds(r.route.Objective)))
}

// schedulerRequest describes the request to the scheduler. Upstreams in excluded are not
// chosen.
func (r *Request) schedulerRequest(excluded map[string]bool) *scheduler.Request {
	output := r.MaxOutputTokens
	if r.HintTokens > 0 {
		output = min(output, r.HintTokens)
	}
	return &scheduler.Request{
		Pool: r.pool, Parts: r.Parts, InputTokens: r.InputTokens, OutputTokens: output, Rank: r.priority,
		ObjectiveAt: r.objectiveAt, Deadline: r.answerUntil, LateOnArrival: r.isLate(), Unrepeatable: !r.repeatable(), Excluded: excluded, TurnedAway: r.turnedAway,
		Software: r.software, LastResort: r.lastResort, Avoid: r.avoid,
		Customer: r.Customer(), Weight: r.customer.GetWeight(), Key: r.returnKey(), Claim: r.claim,
		Sizing:    estimator.Key{Route: r.route.Name, Customer: r.Customer(), Hint: r.HintTokens, Max: r.MaxOutputTokens},
		Continues: r.takesUp() || r.reached > 0,
	}
}
