package scheduler

import (
	"time"

	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Number of connections to one process that break, while none that is as old goes on, from which it
	// is assumed to have ended unless a probe shows that it serves on. Upstreams also break single ones.
	minBrokenConns = 3
	// Time after a break within which another one counts together with it, and time between two probes
	// unless minBrokenConns broke.
	breakWindow = time.Second
	// Time for which this host reports that its connections to an upstream broke.
	breakageReportTime = 3 * time.Second
	// Time after a connection broke within which one that is accepted shows that the process serves on:
	// no process starts again so soon.
	maxProbeTime = 100 * time.Millisecond
	// Time that a report of another host may have taken until it is known here.
	maxBreakageDelay = 5 * time.Second
)

// connState is what the connections of this host to a process say about whether it still serves.
type connState struct {
	count int // of connections that broke since the process was last known to serve
	// firstAt and lastAt are the times at which the first and the last of them broke.
	firstAt, lastAt time.Duration
	ended           bool          // the process is assumed to have ended
	probedAt        time.Duration // when a probe last began; 0: never
	probing         bool
}

// RecordBroken records that a connection to the upstream broke under a request; refused means that another
// one was refused, or that the address belongs to another upstream. It reports whether the process is now
// assumed to have ended, which it was not before, and whether the caller should open another connection and
// call Probed.
func (p *Reservation) RecordBroken(refused bool) (ended, probe bool) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &p.upstream.conns
	now := s.Timer.Now()
	ended = x.record(now, refused)
	probe = !x.ended && !x.probing && (x.probedAt == 0 || now-x.probedAt > breakWindow || x.count >= minBrokenConns)
	if probe {
		x.probedAt, x.probing = now, true
	}
	return ended, probe
}

// record records a break, which shows the end of the process if refused is set. It reports whether the process
// is now assumed to have ended, which it was not before.
func (x *connState) record(now time.Duration, refused bool) bool {
	over := now-x.lastAt > breakWindow
	if x.ended {
		over = now-x.lastAt > cataloger.DoubtTime
	}
	if x.count == 0 || over {
		*x = connState{firstAt: now, probedAt: x.probedAt, probing: x.probing}
	}
	x.count++
	x.lastAt = now
	before := x.ended
	x.ended = x.ended || refused
	return x.ended && !before
}

// Probed records whether a connection that was opened after RecordBroken was refused or accepted; neither
// is set if it is not known. It reports whether the process is now assumed to have ended, which it was not
// before.
func (p *Reservation) Probed(refused, accepted bool) bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	x, now := &p.upstream.conns, s.Timer.Now()
	x.probing = false
	switch {
	case refused:
		return x.record(now, true)
	case accepted && now-x.probedAt < maxProbeTime:
		*x = connState{probedAt: x.probedAt}
	case x.count >= minBrokenConns:
		return x.record(now, true)
	}
	return false
}

// CancelProbe records that the connection that was opened after RecordBroken shows nothing.
func (p *Reservation) CancelProbe() {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	p.upstream.conns.probing = false
}

// RecordServing records that something was received on a connection that was opened at a time.
func (p *Reservation) RecordServing(openedAt time.Duration) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	p.upstream.conns.recordServing(openedAt)
}

func (x *connState) recordServing(openedAt time.Duration) {
	if x.count > 0 && openedAt < x.firstAt {
		*x = connState{probedAt: x.probedAt, probing: x.probing}
	}
}

// KnowsProcess reports whether the process at the other end of a connection that was opened at a time is
// known to be that of the reservation.
func (p *Reservation) KnowsProcess(openedAt time.Duration) bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	u := p.upstream
	switch {
	case !u.doubtful(s.Timer.Now()):
		return true
	case u.conns.ended:
		return openedAt < u.conns.firstAt
	}
	return openedAt < u.brokenAt-maxBreakageDelay
}

// ProcessEnded reports whether the process at the other end of a connection that was opened at a time is assumed
// to have ended, or has been replaced by another one of its name.
func (p *Reservation) ProcessEnded(openedAt time.Duration) bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.upstreams[p.Name]; u != nil && u.announcement.Incarnation != p.Incarnation {
		return true
	}
	return p.upstream.conns.ended && openedAt < p.upstream.conns.firstAt
}

// doubtful reports whether another process may serve under the name of u: no request that depends on the
// version of its software may be sent there.
func (u *upstream) doubtful(now time.Duration) bool {
	if u.conns.ended && (now-u.conns.lastAt < cataloger.DoubtTime || u.announcement.Silent) {
		return true
	}
	return u.broken && (now-u.brokenAt < cataloger.DoubtTime || u.announcement.Silent)
}

// OwnBreakages returns the upstreams to which this host's connections lately broke.
func (s *Scheduler) OwnBreakages() []*schema.Breakage {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	var all []*schema.Breakage
	for _, u := range s.sortedUpstreams {
		if x := u.conns; x.ended && now-x.lastAt < breakageReportTime {
			all = append(all, &schema.Breakage{Upstream: u.announcement.Name, Incarnation: u.announcement.Incarnation, Age: (now - x.lastAt).Seconds()})
		}
	}
	return all
}

// UpdateBroken replaces the times, on the clock of Timer, at which connections of any host to upstreams
// broke, by name. Call it after UpdateUpstreams.
func (s *Scheduler) UpdateBroken(at map[string]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, u := range s.upstreams {
		u.brokenAt, u.broken = 0, false
		if t, broken := at[name]; broken {
			u.brokenAt, u.broken = t, true
		}
	}
}
