package forwarder

import (
	"net/http"

	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// recordBrittleness records what a response says of the requests that its upstream can turn away, and whether it turned
// this one away.
func (f *Forwarder) recordBrittleness(r *Request, reservation *scheduler.Reservation, verdict Verdict, h http.Header) {
	if verdict == Misdirected || verdict == Invalid {
		return // not a response of this upstream
	}
	rejections, brittle, err := f.Protocol.Brittleness(h)
	if err != nil {
		f.Metrics.brittlenessInvalid.Inc()
		f.Log.Warn().Err(err).Str("request", r.ID).Str("upstream", reservation.Name).Msg("upstream is brittle, but how much it can turn away cannot be read")
	}
	rejected := verdict == NotRun
	changed := reservation.RecordBrittleness(rejections, brittle, rejected)
	if rejected && reservation.Brittle() {
		r.turnedAway = true
		f.Metrics.rejections.Inc()
	}
	if !changed {
		return
	}
	f.Log.Info().Str("request", r.ID).Str("upstream", reservation.Name).Uint64("incarnation", reservation.Incarnation).
		Float64("rejections", rejections).Bool("brittle", brittle).Bool("rejected", rejected).Msg("brittleness of the upstream changed")
	if f.OnBrittle != nil {
		f.OnBrittle()
	}
}
