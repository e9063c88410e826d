package forwarder

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// Time that it may take to open the witness of a response.
const witnessTimeout = 500 * time.Millisecond

// errProcessEnded means that the end of a response may be that of the upstream's process.
var errProcessEnded = errors.New("forwarder: the upstream's process may have ended")

// endCheck finds out whether a response that states neither a length nor chunks ended by itself. The sockets of a
// killed process are closed as after a whole response, so another connection to the same process is kept beside
// it, the witness: the response is whole only if that one stays open. Close must be called.
type endCheck struct {
	f           *Forwarder
	request     *Request
	reservation *scheduler.Reservation
	call        *pooler.Call // nil: the response states its end
	// opened is closed once witness, or else err, is set.
	opened  chan struct{}
	witness *pooler.Witness
	err     error
}

// newEndCheck begins to open a witness if the response that is read from call needs one.
func (f *Forwarder) newEndCheck(ctx context.Context, r *Request, reservation *scheduler.Reservation, call *pooler.Call) *endCheck {
	if !call.Unframed() {
		return &endCheck{}
	}
	c := &endCheck{f: f, request: r, reservation: reservation, call: call}
	c.open(ctx, nil)
	return c
}

// open opens a witness. If earlier is still open then, which the upstream may soon close because it is idle, both
// are connections to the same process, and the new one takes its place.
func (c *endCheck) open(ctx context.Context, earlier *pooler.Witness) {
	opened := make(chan struct{})
	c.opened, c.witness = opened, earlier
	go func() {
		defer close(opened)
		ctx, cancel := c.f.withDeadline(ctx, c.f.Timer.Now()+witnessTimeout)
		defer cancel()
		w, err := c.f.Pool.Witness(ctx, c.reservation.Address)
		switch {
		case earlier == nil:
			c.witness, c.err = w, err
		case err != nil:
		case earlier.Open():
			earlier.Release()
			c.witness = w
		default:
			w.Release()
		}
	}()
}

// recordProgress is called when a part of the response has arrived.
func (c *endCheck) recordProgress(ctx context.Context) {
	if c.call == nil {
		return
	}
	select {
	case <-c.opened:
	default:
		return
	}
	if c.witness != nil && c.witness.Expiring() {
		c.open(ctx, c.witness)
	}
}

// check returns an error unless the response, which has ended, is whole as far as can be told.
func (c *endCheck) check(ctx context.Context) error {
	if c.call == nil {
		return nil
	}
	<-c.opened
	err := c.err
	switch {
	case c.reservation.ProcessEnded(c.call.OpenedAt()):
		err = errProcessEnded
	case err == nil && !c.witness.Outlives(ctx):
		err = errProcessEnded
	}
	c.f.Log.Info().Err(err).Str("request", c.request.ID).Str("upstream", c.reservation.Name).Uint64("incarnation", c.reservation.Incarnation).
		Bool("complete", err == nil).Msg("end of an unframed response checked")
	if err == nil {
		return nil
	}
	return errors.Join(errUpstreamFailed, errUnfinished, io.ErrUnexpectedEOF, err)
}

// Close releases the witness.
func (c *endCheck) Close() {
	if c.call == nil {
		return
	}
	<-c.opened
	if c.witness != nil {
		c.witness.Release()
	}
}
