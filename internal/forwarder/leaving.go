package forwarder

import (
	"net/http"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Most upstreams of other regions that are kept as leaving, and the time for which they are: longer
	// than an upstream serves after it said so.
	maxLeavers        = 256
	leaverRetainTime  = 10 * time.Minute
	maxAvoidedLeavers = 64 // that a relayed request names
)

// leaverSet holds the upstreams of other regions that said in relayed answers that they are leaving. Requests
// from this host may not reach them through another host of their region either.
type leaverSet struct {
	mu  sync.Mutex
	all []seenLeaver // oldest first; guarded by mu
}

type seenLeaver struct {
	name        string
	incarnation uint64
	at          time.Duration
}

// add adds an upstream. It reports whether it is new.
func (s *leaverSet) add(l *schema.Leaver, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for _, x := range s.all {
		if x.name == l.Upstream && x.incarnation == l.Incarnation {
			return false
		}
	}
	if len(s.all) >= maxLeavers {
		s.all = s.all[1:]
	}
	s.all = append(s.all, seenLeaver{l.Upstream, l.Incarnation, now})
	return true
}

// expire removes those that were added long ago. The caller holds mu.
func (s *leaverSet) expire(now time.Duration) {
	for len(s.all) > 0 && now-s.all[0].at > leaverRetainTime {
		s.all = s.all[1:]
	}
}

// newest returns the upstreams that were added last, at most maxAvoidedLeavers.
func (s *leaverSet) newest(now time.Duration) []*schema.Leaver {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	var all []*schema.Leaver
	for _, x := range s.all[max(0, len(s.all)-maxAvoidedLeavers):] {
		all = append(all, &schema.Leaver{Upstream: x.name, Incarnation: x.incarnation, Age: (now - x.at).Seconds()})
	}
	return all
}

// recordLeaving records that an upstream says in a response that it is leaving.
func (f *Forwarder) recordLeaving(r *Request, sink Sink, reservation *scheduler.Reservation, verdict Verdict, h http.Header) {
	if verdict == Misdirected || verdict == Invalid || !f.Protocol.Leaving(h) {
		return
	}
	if s, wraps := sink.(*truthfulSink); wraps {
		sink = s.Sink
	}
	if s, relayed := sink.(*relaySink); relayed {
		s.leaver = &schema.Leaver{Upstream: reservation.Name, Incarnation: reservation.Incarnation}
	}
	if !reservation.RecordLeaving() {
		return
	}
	f.Metrics.leavers.Inc()
	f.Log.Info().Str("request", r.ID).Str("upstream", reservation.Name).Uint64("incarnation", reservation.Incarnation).Msg("upstream says that it is leaving")
	if f.OnLeaver != nil {
		f.OnLeaver()
	}
}

// recordRelayedLeaver records that a relayed answer says that its upstream is leaving.
func (f *Forwarder) recordRelayedLeaver(r *Request, l *schema.Leaver) {
	if l != nil && f.leavers.add(l, f.Timer.Now()) {
		f.Log.Info().Str("request", r.ID).Str("upstream", l.Upstream).Uint64("incarnation", l.Incarnation).Msg("upstream of another region says that it is leaving")
	}
}
