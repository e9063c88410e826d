package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Time that a probe of an upstream whose connection broke may take.
	breakageProbeTimeout = 500 * time.Millisecond
	// Time that it may take to find out whether the host reaches any upstream.
	confirmTimeout = 2 * time.Second
)

// errOtherProcess means that a response may come from another process than the one that the request is
// for, which may run another version.
var errOtherProcess = errors.New("forwarder: another process may serve under the upstream's name")

var errNotProbed = errors.New("forwarder: upstream not probed")

// recordBreak records what the error of an attempt says about the upstream's process.
func (f *Forwarder) recordBreak(ctx context.Context, r *Request, reservation *scheduler.Reservation, err error) {
	ended := errors.Is(err, errMisdirected) || errors.Is(err, errProcessEnded)
	refused := errors.Is(err, pooler.ErrRefused)
	broken := ctx.Err() == nil && brokenByUpstream(err)
	if broken || errors.Is(err, unix.ETIMEDOUT) {
		f.Prober.RecordFailed()
	}
	switch {
	case refused && f.Prober != nil:
		// An upstream has not ended if all refuse this host's connections.
		go confiner.Call(f.Log, "confirm", func() {
			if !f.confirmIsolated() {
				f.storeBreak(r, reservation, true, err)
			}
		})
	case ended, refused, broken && !f.Prober.Isolated():
		f.storeBreak(r, reservation, ended || refused, err)
	}
}

// confirmIsolated finds out whether this host reaches no upstream of its region.
func (f *Forwarder) confirmIsolated() bool {
	ctx, cancel := f.withDeadline(context.Background(), f.Timer.Now()+confirmTimeout)
	defer cancel()
	return f.Prober.Confirm(ctx)
}

func (f *Forwarder) storeBreak(r *Request, reservation *scheduler.Reservation, refused bool, err error) {
	ended, probe := reservation.RecordBroken(refused)
	f.Log.Info().Err(err).Str("request", r.ID).Str("upstream", reservation.Name).Uint64("incarnation", reservation.Incarnation).
		Bool("refused", refused).Bool("ended", ended).Bool("probe", probe).Msg("connection to the upstream broke")
	if ended {
		f.reportBreakage(reservation)
	}
	if probe {
		go confiner.Call(f.Log, "probe", func() { f.probe(reservation) })
	}
}

// brokenByUpstream reports whether err says that the other end closed or reset a connection.
func brokenByUpstream(err error) bool {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, pooler.ErrNotSent) {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)
}

// probe finds out whether the upstream to which a connection broke still accepts connections.
func (f *Forwarder) probe(reservation *scheduler.Reservation) {
	ctx, cancel := f.withDeadline(context.Background(), f.Timer.Now()+breakageProbeTimeout)
	defer cancel()
	err := errNotProbed // after a panic: without a result no other probe would be made
	confiner.Call(f.Log, "probe", func() { err = f.Pool.Probe(ctx, reservation.Address) })
	if err != nil && f.confirmIsolated() {
		reservation.CancelProbe()
		return
	}
	ended := reservation.Probed(errors.Is(err, pooler.ErrRefused), err == nil)
	f.Log.Info().Err(err).Str("upstream", reservation.Name).Uint64("incarnation", reservation.Incarnation).Bool("ended", ended).Msg("upstream probed")
	if ended {
		f.reportBreakage(reservation)
	}
}

func (f *Forwarder) reportBreakage(reservation *scheduler.Reservation) {
	f.Metrics.breakages.Inc()
	f.Log.Info().Str("upstream", reservation.Name).Uint64("incarnation", reservation.Incarnation).Str("software", reservation.Software).
		Msg("process of the upstream assumed to have ended")
	if f.OnBreakage != nil {
		f.OnBreakage()
	}
}

// avoidDoubtful keeps r from upstreams under whose names other processes may serve.
func (r *Request) avoidDoubtful(all []*schema.Breakage) {
	for _, b := range all {
		if r.avoid == nil {
			r.avoid = map[string]uint64{}
		}
		r.avoid[b.Upstream] = b.Incarnation
	}
}
