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

// Time that a probe of an upstream whose connection broke may take.
const breakageProbeTimeout = 500 * time.Millisecond

// errOtherProcess means that a response may come from another process than the one that the request is
// for, which may run another version.
var errOtherProcess = errors.New("forwarder: another process may serve under the upstream's name")

var errNotProbed = errors.New("forwarder: upstream not probed")

// recordBreak records what the error of an attempt says about the upstream's process.
func (f *Forwarder) recordBreak(ctx context.Context, r *Request, reservation *scheduler.Reservation, err error) {
	refused := errors.Is(err, pooler.ErrRefused) || errors.Is(err, errMisdirected) || errors.Is(err, errProcessEnded)
	if !refused && (ctx.Err() != nil || !brokenByUpstream(err)) {
		return
	}
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
