package forwarder

import (
	"net/http"

	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// recordPause records the pause that a response of the upstream asks for.
func (f *Forwarder) recordPause(r *Request, reservation *scheduler.Reservation, verdict Verdict, response *http.Response) {
	if verdict == Misdirected || verdict == Invalid {
		return // not a response of this upstream
	}
	pause, err := f.Protocol.Pause(response)
	switch {
	case err != nil:
		f.Log.Warn().Err(err).Str("request", r.ID).Str("upstream", reservation.Name).Msg("pause of the upstream cannot be read")
	case pause > 0:
		until := reservation.RecordPause(pause)
		f.Metrics.pauses.Inc()
		f.Log.Info().Str("request", r.ID).Str("upstream", reservation.Name).Uint64("incarnation", reservation.Incarnation).
			Dur("pause", pause).Dur("left", until-f.Timer.Now()).Msg("upstream asks for a pause")
	}
}
