package forwarder

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/trefoilloft/trefoilloft/internal/resumer"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// How the version that began a stream was found. They are values of a log field and a metric label.
const (
	foundHere      = "own record"
	foundElsewhere = "another host's record"
	foundInferred  = "the only version"
)

// recordOrigin records the version that began the stream of r, before the first event of an attempt is sent
// to the caller. From then on only upstreams of that version may go on with it. known is false if another
// process than that of the reservation may have sent the event: no upstream may then go on with a stream that
// it begins, and recordOrigin returns an error if it should go on with one.
func (f *Forwarder) recordOrigin(r *Request, reservation *scheduler.Reservation, known bool) error {
	switch {
	case !r.resumable():
		return nil
	case r.software != nil && !known:
		return errors.Join(errUpstreamFailed, errOtherProcess)
	case r.software != nil:
		return nil
	}
	r.originUnknown, r.software = !known, &reservation.Software
	if f.Streams == nil {
		return nil
	}
	key := resumer.Key(r.Customer(), r.ID)
	if known {
		f.Streams.Add(key, resumer.Origin{Pool: r.pool, Software: reservation.Software}, 0)
	} else {
		f.Streams.AddUnknown(key, 0)
		f.Log.Info().Str("request", r.ID).Str("upstream", reservation.Name).Uint64("incarnation", reservation.Incarnation).Msg("version that begins the stream is not known")
	}
	r.recorded = true
	f.announceStream(r, false)
	return nil
}

// announceStream makes the record of the stream that r began known to a control host. It is urgent once
// the stream has broken off, as its caller may take it up at another host.
func (f *Forwarder) announceStream(r *Request, urgent bool) {
	if r.recorded && f.OnStream != nil {
		f.OnStream(urgent)
	}
}

// resolveResume finds the version of the upstreams that may go on with the stream that a caller takes
// up. It refuses the request if the version is not known or no upstream of it is left.
func (f *Forwarder) resolveResume(ctx context.Context, r *Request, t *trace) error {
	if f.Streams == nil || r.LastEventID == "" || !r.resumable() {
		return nil
	}
	origin, source, err := f.findOrigin(ctx, r)
	if err != nil {
		return err
	}
	serves := slices.ContainsFunc(r.route.Targets, func(t *schema.Target) bool { return t.Pool == origin.Pool && t.Weight > 0 })
	usable := r.resumeRegions == nil || slices.ContainsFunc(r.resumeRegions, r.allows)
	if !serves || !usable {
		refusal := refuse(http.StatusServiceUnavailable, causeVersionGone, unavailableRetryDelay)
		refusal.Software = origin.Software
		return refusal
	}
	r.pool, r.software = origin.Pool, &origin.Software
	t.logResume(origin, source)
	return nil
}

// findOrigin finds what began the stream that r takes up, and the regions that have upstreams of that
// version.
func (f *Forwarder) findOrigin(ctx context.Context, r *Request) (resumer.Origin, string, error) {
	unknown := refuse(http.StatusServiceUnavailable, causeOriginUnknown, unavailableRetryDelay)
	request := &schema.FindStreamRequest{Stream: resumer.Key(r.Customer(), r.Resumes), Within: resumer.VersionTime(seconds(r.route.Timeout)).Seconds(), Pool: onlyPool(r.route)}
	own, found, conflict := f.Streams.Find(request.Stream)
	if conflict {
		return resumer.Origin{}, "", unknown
	}
	if found {
		if f.Scheduler.HasVersion(own.Pool, own.Software) && r.allows(f.Region) {
			return own, foundHere, nil
		}
		request.Known = &schema.StreamOrigin{Pool: own.Pool, Software: own.Software}
	}
	ctx, cancel := f.withDeadline(ctx, r.answerUntil)
	defer cancel()
	reply, err := f.FindStream(ctx, request)
	switch {
	case err != nil && found:
		return own, foundHere, nil
	case err != nil:
		unknown.Err = err
		return resumer.Origin{}, "", unknown
	case !reply.Found && !reply.Inferred:
		return resumer.Origin{}, "", unknown
	}
	r.resumeRegions = append([]string{}, reply.Regions...) // not nil: they are known
	r.avoidDoubtful(reply.Doubtful)
	r.lastResort = reply.Leaving
	source := foundElsewhere
	switch {
	case found:
		source = foundHere
	case reply.Inferred:
		source = foundInferred
	}
	return resumer.Origin{Pool: reply.Pool, Software: reply.Software}, source, nil
}

// onlyPool returns the pool of a route that has a single one; empty if it has several.
func onlyPool(route *schema.Route) string {
	pool := ""
	for _, t := range route.Targets {
		switch {
		case t.Weight <= 0 || t.Pool == pool:
		case pool != "":
			return ""
		default:
			pool = t.Pool
		}
	}
	return pool
}
