package forwarder

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/prober"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// maxPeers is the number of hosts of a region that a request is relayed to, one after another.
const maxPeers = 3

const (
	// Time that a host of this region has to acknowledge a request, and time for which other hosts are preferred to one
	// that did not.
	peerTimeout    = 300 * time.Millisecond
	silentPeerTime = 3 * time.Second
)

// isIsolated reports whether err is the refusal of a host that reaches no upstream of its region.
func isIsolated(err error) bool {
	var r *Refusal
	return errors.As(err, &r) && r.Cause == causeIsolated
}

// lostUpstreams reports whether an attempt failed because this host reaches no upstream of its region.
func (f *Forwarder) lostUpstreams(ctx context.Context, err error) bool {
	if errors.Is(err, pooler.ErrNoConnection) {
		return f.Prober.Confirm(ctx)
	}
	return f.Prober.Isolated()
}

// isServed reports whether requests can be served in a region, as far as the hosts there reach its upstreams.
func (f *Forwarder) isServed(region string) bool { return f.Served == nil || f.Served(region) }

// peers returns the other hosts of this region that requests are relayed to while this one is isolated, those last
// that did not reply lately.
func (f *Forwarder) peers() []*schema.Peer {
	now := f.Timer.Now()
	hosts := slices.DeleteFunc(f.hostsInRandomOrder(f.Region), func(p *schema.Peer) bool { return p.Name == f.Host })
	slices.SortStableFunc(hosts, func(a, b *schema.Peer) int {
		return cmp.Compare(f.silentPeers.count(a.Name, now), f.silentPeers.count(b.Name, now))
	})
	return hosts[:min(len(hosts), maxPeers)]
}

// serveThroughPeers relays a request to other hosts of this region, until one has an answer for it. Otherwise it returns
// the last host's error, which is a prober.ErrIsolated if another region may serve the request, or reason if none was
// asked.
func (f *Forwarder) serveThroughPeers(ctx context.Context, r *Request, sink Sink, t *trace, s *responseState, reason error) error {
	for _, host := range f.peers() {
		if !f.maySendAgain(r, s) {
			return reason
		}
		f.Metrics.relaysToPeers.Inc()
		sentBefore := r.mayHaveRun
		r.mayHaveRun = false
		err := f.relayToPeer(ctx, host, r, sink, t)
		sent := r.mayHaveRun
		r.mayHaveRun = sent || sentBefore
		if err == nil || errors.Is(err, errTruncated) || ctx.Err() != nil || isQuarantined(err) {
			return err
		}
		reason = errors.Join(prober.ErrIsolated, err)
		var refusal *Refusal
		switch refused := errors.As(err, &refusal); {
		case sent && !refused: // nothing is known of the upstreams that the request reached
			r.attempts++
			r.reached++
		case !sent && !passesOn(err):
			return reason // no host of this region would serve it
		}
	}
	return reason
}

// relayToPeer relays a request to another host of this region. A request that may be repeated waits at most
// peerTimeout for the acknowledgement.
func (f *Forwarder) relayToPeer(ctx context.Context, host *schema.Peer, r *Request, sink Sink, t *trace) error {
	relayCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := f.Timer.Once(peerTimeout, func() {
		f.silentPeers.add(host.Name, f.Timer.Now()+silentPeerTime)
		if r.repeatable() {
			cancel(errPeerSilent)
		}
	})
	defer stop()
	return f.relayThrough(relayCtx, f.Region, []*schema.Peer{host}, r, sink, t, stop)
}

var errPeerSilent = errors.New("forwarder: the other host does not acknowledge the request")

// silentPeers holds hosts that did not acknowledge a request in time.
type silentPeers struct {
	mu    sync.Mutex
	until map[string]time.Duration // by name, on the clock of the Forwarder's Timer; guarded by mu
}

func (s *silentPeers) add(name string, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Duration{}
	}
	maps.DeleteFunc(s.until, func(_ string, at time.Duration) bool { return at < until-silentPeerTime })
	s.until[name] = until
}

// count returns 1 if a host is held, else 0.
func (s *silentPeers) count(name string, now time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.until[name] {
		return 1
	}
	return 0
}

// maySendAgain reports whether a request that this host may have sent already may be sent to another host. If so, it
// takes the retry from the budget.
func (f *Forwarder) maySendAgain(r *Request, s *responseState) bool {
	switch {
	case s.headSent || r.mayHaveRun && !r.repeatable():
		return false
	case r.reached == 0:
		return true
	}
	return r.attempts < int(r.route.Attempts) && f.Budget.TakeRetry(r.pool)
}

// passesOn reports whether err means that another host of the region may serve a request which one could not.
func passesOn(err error) bool {
	var r *Refusal
	if !errors.As(err, &r) {
		return true // the host could not be reached
	}
	switch r.Cause {
	case causeIsolated, causeStopping, causeStale, causeNoConfig:
		return true
	}
	return false
}
