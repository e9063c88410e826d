package forwarder

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

const (
	// Time that it may take to open the witness of a response.
	witnessTimeout = 500 * time.Millisecond
	// Time after which a witness that its upstream has closed, as it was idle, is replaced while the response
	// goes on.
	witnessCheckInterval = 500 * time.Millisecond
)

// errProcessEnded means that the end of a response may be that of the upstream's process.
var errProcessEnded = errors.New("forwarder: the upstream's process may have ended")

// endCheck finds out whether a response that states neither a length nor chunks ended by itself. The sockets of a
// killed process are closed as after a whole response, so another connection to the same process is kept beside
// it: the response is whole only if that one stays open. Close must be called.
type endCheck struct {
	f           *Forwarder
	request     *Request
	reservation *scheduler.Reservation
	call        *pooler.Call // nil: the response states its end
	witness     *pooler.Witness
	err         error // why there is no witness
	opening     chan struct{}
	checkedAt   time.Duration
}

// newEndCheck begins to open a witness if the response that is read from call needs one.
func (f *Forwarder) newEndCheck(ctx context.Context, r *Request, reservation *scheduler.Reservation, call *pooler.Call) *endCheck {
	if !call.Unframed() {
		return &endCheck{}
	}
	c := &endCheck{f: f, request: r, reservation: reservation, call: call}
	c.open(ctx)
	return c
}

func (c *endCheck) open(ctx context.Context) {
	opening := make(chan struct{})
	c.opening, c.checkedAt = opening, c.f.Timer.Now()
	go func() {
		defer close(opening)
		ctx, cancel := c.f.withDeadline(ctx, c.f.Timer.Now()+witnessTimeout)
		defer cancel()
		c.witness, c.err = c.f.Pool.Witness(ctx, c.reservation.Address)
	}()
}

// recordProgress is called when a part of the response has arrived: its process serves.
func (c *endCheck) recordProgress(ctx context.Context) {
	if c.call == nil || c.f.Timer.Now()-c.checkedAt < witnessCheckInterval {
		return
	}
	select {
	case <-c.opening:
	default:
		return
	}
	c.checkedAt = c.f.Timer.Now()
	if c.witness == nil || !c.witness.Open() {
		c.Close()
		c.open(ctx)
	}
}

// check returns an error unless the response, which has ended, is whole as far as can be told.
func (c *endCheck) check(ctx context.Context) error {
	if c.call == nil {
		return nil
	}
	<-c.opening
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
	<-c.opening
	if c.witness != nil {
		c.witness.Release()
		c.witness = nil
	}
}
