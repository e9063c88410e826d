package forwarder

import (
	"context"
	"errors"
	"io"

	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// errProcessReplaced means that the process that sent a response is known to have ended.
var errProcessReplaced = errors.New("forwarder: the upstream's process has ended")

// checkEnd returns an error if the response that was read from call, which states neither a length nor chunks,
// may have been broken off by the end of the upstream's process. The sockets of a killed process are closed as
// after a whole response, but its listener too: only a process that goes on serving has ended the response
// itself.
func (f *Forwarder) checkEnd(ctx context.Context, r *Request, reservation *scheduler.Reservation, call *pooler.Call) error {
	if !call.Unframed() {
		return nil
	}
	err := errProcessReplaced
	if !reservation.ProcessEnded(call.OpenedAt()) {
		ctx, cancel := f.withDeadline(ctx, f.Timer.Now()+breakageProbeTimeout)
		defer cancel()
		err = f.Pool.Verify(ctx, reservation.Address)
	}
	f.Log.Info().Err(err).Str("request", r.ID).Str("upstream", reservation.Name).Uint64("incarnation", reservation.Incarnation).
		Bool("complete", err == nil).Msg("end of an unframed response checked")
	if err == nil {
		return nil
	}
	return errors.Join(errUpstreamFailed, errUnfinished, io.ErrUnexpectedEOF, err)
}
