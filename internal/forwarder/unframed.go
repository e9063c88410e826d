package forwarder

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

const (
	// Time that it may take to open the witness of a response.
	witnessTimeout = 500 * time.Millisecond
	// Time between two checks whether the upstream has closed the witness, as it was idle.
	witnessCheckInterval = 100 * time.Millisecond
)

// errProcessEnded means that the end of a response may be that of the upstream's process.
var errProcessEnded = errors.New("forwarder: the upstream's process may have ended")

// errReset means that the upstream reset the connection with which a response ended.
var errReset = errors.New("forwarder: the upstream reset the connection of the response")

// endCheck finds out whether a response that states neither a length nor chunks ended by itself. The sockets of a
// killed process are closed as after a whole response, so another connection to the same process is kept beside
// it: the response is whole only if that one stays open. Close must be called.
type endCheck struct {
	f           *Forwarder
	request     *Request
	reservation *scheduler.Reservation
	call        *pooler.Call    // nil: the response states its end
	witness     *pooler.Witness // of watch until watched is closed
	err         error           // why there is no witness; of watch until watched is closed
	stop        context.CancelFunc
	watched     chan struct{}
}

// newEndCheck begins to watch a witness if the response that is read from call needs one.
func (f *Forwarder) newEndCheck(ctx context.Context, r *Request, reservation *scheduler.Reservation, call *pooler.Call) *endCheck {
	if !call.Unframed() {
		return &endCheck{}
	}
	c := &endCheck{f: f, request: r, reservation: reservation, call: call, err: errProcessEnded, watched: make(chan struct{})}
	stopped, stop := context.WithCancel(ctx)
	c.stop = stop
	go confiner.Call(f.Log, "witness", func() {
		defer close(c.watched)
		c.watch(ctx, stopped)
	})
	return c
}

// watch opens a witness, and another one whenever the upstream has closed it, as it was idle, while the response
// goes on. It returns once stopped has ended.
func (c *endCheck) watch(ctx, stopped context.Context) {
	c.open(ctx)
	for c.wait(stopped) {
		if c.witness != nil && c.witness.Open() {
			continue
		}
		if !c.call.Open() {
			return
		}
		c.release()
		c.open(ctx)
		if !c.call.Open() { // the witness may be of the next process
			c.release()
			c.err = errProcessEnded
			return
		}
	}
}

// wait returns true after witnessCheckInterval, or false once ctx has ended.
func (c *endCheck) wait(ctx context.Context) bool {
	passed := make(chan struct{})
	stop := c.f.Timer.Once(witnessCheckInterval, func() { close(passed) })
	defer stop()
	select {
	case <-passed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *endCheck) open(ctx context.Context) {
	ctx, cancel := c.f.withDeadline(ctx, c.f.Timer.Now()+witnessTimeout)
	defer cancel()
	c.witness, c.err = c.f.Pool.Witness(ctx, c.reservation.Address)
}

func (c *endCheck) release() {
	if c.witness != nil {
		c.witness.Release()
		c.witness = nil
	}
}

// check returns an error unless the response, which has ended, is whole as far as can be told.
func (c *endCheck) check(ctx context.Context) error {
	if c.call == nil {
		return nil
	}
	c.stop()
	<-c.watched
	err := c.err
	switch {
	case c.reservation.ProcessEnded(c.call.OpenedAt()):
		err = errProcessEnded
	case err == nil && !c.witness.Outlives(ctx):
		err = errProcessEnded
	case err == nil && c.call.Failed(): // the reset may arrive just after the close
		err = errReset
	case err == nil && c.f.Timer.Now()-c.witness.OpenedAt() < witnessTimeout:
		// A connection that was opened while the process closed its listener may stay open without it.
		err = c.probe(ctx)
	}
	c.f.Log.Info().Err(err).Str("request", c.request.ID).Str("upstream", c.reservation.Name).Uint64("incarnation", c.reservation.Incarnation).
		Bool("complete", err == nil).Msg("end of an unframed response checked")
	if err == nil {
		return nil
	}
	return errors.Join(errUpstreamFailed, errUnfinished, io.ErrUnexpectedEOF, err)
}

// probe returns an error unless the upstream accepts a connection.
func (c *endCheck) probe(ctx context.Context) error {
	ctx, cancel := c.f.withDeadline(ctx, c.f.Timer.Now()+witnessTimeout)
	defer cancel()
	return c.f.Pool.Probe(ctx, c.reservation.Address)
}

// Close releases the witness.
func (c *endCheck) Close() {
	if c.call == nil {
		return
	}
	c.stop()
	<-c.watched
	c.release()
}
