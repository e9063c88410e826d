package forwarder

import (
	"net/http"

	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// recordLimit records the limit that a response of the upstream names. A rejection that names none does
// not end a limit.
func (f *Forwarder) recordLimit(r *Request, reservation *scheduler.Reservation, verdict Verdict, h http.Header) {
	if verdict == Misdirected || verdict == Invalid {
		return // not a response of this upstream
	}
	rate, err := f.Protocol.NamedLimit(h)
	if err != nil {
		f.Metrics.limitsInvalid.Inc()
		f.Log.Warn().Err(err).Str("request", r.ID).Str("upstream", reservation.Name).Msg("limit of the upstream cannot be read")
		return
	}
	if rate == 0 && verdict == NotRun {
		return
	}
	if reservation.RecordLimit(rate) {
		f.Log.Info().Str("request", r.ID).Str("upstream", reservation.Name).Uint64("incarnation", reservation.Incarnation).
			Float64("rate", rate).Bool("ended", rate == 0).Msg("limit of the upstream changed")
		if f.OnLimit != nil {
			f.OnLimit()
		}
	}
}
