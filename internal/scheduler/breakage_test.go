package scheduler

import (
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/cataloger"
)

// TestBrokenConnections guards against sending what depends on an upstream's version to a later process that
// has its name, and against taking a few broken connections for the end of a process that serves on.
func TestBrokenConnections(t *testing.T) {
	const opened = time.Minute // when the connections under test were opened; they break later
	unknown := func(n int) func(*Scheduler, *Reservation) {
		return func(_ *Scheduler, p *Reservation) {
			for range n {
				p.RecordBroken(false)
			}
			p.Probed(false, false)
		}
	}
	breaks := func(n int) func(*Scheduler, *Reservation) {
		return func(_ *Scheduler, p *Reservation) {
			for range n {
				p.RecordBroken(false)
			}
		}
	}
	for _, c := range []struct {
		name string
		play func(*Scheduler, *Reservation)
		want bool // the process is known
	}{
		{"nothing", func(*Scheduler, *Reservation) {}, true},
		{"one connection broke, the probe shows nothing", unknown(1), true},
		{"three broke, before the probe", breaks(3), true},
		{"three broke, the probe shows nothing", unknown(3), false},
		{"three broke, far apart", func(s *Scheduler, p *Reservation) {
			for range 3 {
				p.RecordBroken(false)
				s.Timer.Advance(2 * breakWindow)
			}
			p.Probed(false, false)
		}, true},
		{"three broke, one goes on", func(s *Scheduler, p *Reservation) {
			unknown(3)(s, p)
			p.RecordServing(opened)
		}, true},
		{"three broke, a new one is answered", func(s *Scheduler, p *Reservation) {
			unknown(3)(s, p)
			s.Timer.Advance(time.Second)
			p.RecordServing(s.Timer.Now())
		}, false},
		{"one was refused", func(_ *Scheduler, p *Reservation) { p.RecordBroken(true) }, false},
		{"one broke, the probe is refused", func(s *Scheduler, p *Reservation) {
			breaks(1)(s, p)
			p.Probed(true, false)
		}, false},
		{"three broke, the probe is accepted at once", func(s *Scheduler, p *Reservation) {
			breaks(3)(s, p)
			p.Probed(false, true)
		}, true},
		{"three broke, the probe is accepted late", func(s *Scheduler, p *Reservation) {
			breaks(3)(s, p)
			s.Timer.Advance(maxProbeTime)
			p.Probed(false, true)
		}, false},
		{"no new process was announced for a long time", func(s *Scheduler, p *Reservation) {
			unknown(3)(s, p)
			s.Timer.Advance(cataloger.DoubtTime)
		}, true},
		{"the same, but nothing at all is announced", func(s *Scheduler, p *Reservation) {
			unknown(3)(s, p)
			s.Timer.Advance(cataloger.DoubtTime)
			p.upstream.announcement.Silent = true
		}, false},
		{"another host reported it", func(s *Scheduler, _ *Reservation) {
			s.UpdateBroken(map[string]time.Duration{"s0": s.Timer.Now()})
		}, false},
		{"another host reported it long ago", func(s *Scheduler, _ *Reservation) {
			s.UpdateBroken(map[string]time.Duration{"s0": s.Timer.Now()})
			s.Timer.Advance(cataloger.DoubtTime)
		}, true},
	} {
		s := newScheduler(plainServices(1)...)
		s.Timer.Advance(time.Hour)
		now := s.Timer.Now()
		p := s.reserveNow(&Request{Pool: "desk", ObjectiveAt: now + time.Second, Deadline: now + time.Second})
		c.play(s, p)
		now = s.Timer.Now()
		if got := p.KnowsProcess(now); got != c.want {
			t.Errorf("%s: the process of a new connection is known: %v, want %v", c.name, got, c.want)
		}
		if !p.KnowsProcess(opened) {
			t.Errorf("%s: the process of an old connection is not known", c.name)
		}
		version := ""
		bound := s.reserveNow(&Request{Pool: "desk", ObjectiveAt: now + time.Second, Deadline: now + time.Second, Software: &version})
		if got := bound != nil; got != c.want {
			t.Errorf("%s: used for a stream of its version: %v, want %v", c.name, got, c.want)
		}
		if s.reserveNow(&Request{Pool: "desk", ObjectiveAt: now + time.Second, Deadline: now + time.Second}) == nil {
			t.Errorf("%s: not used for other requests", c.name)
		}
	}
}

// TestOwnBreakages guards against keeping from other hosts that a process ended, or telling them for ever.
func TestOwnBreakages(t *testing.T) {
	s := newScheduler(plainServices(2)...)
	s.Timer.Advance(time.Hour)
	now := s.Timer.Now()
	p := s.reserveNow(&Request{Pool: "desk", ObjectiveAt: now + time.Second, Deadline: now + time.Second})
	if ended, probe := p.RecordBroken(false); ended || !probe {
		t.Errorf("first break: ended %v, probe %v, want only a probe", ended, probe)
	}
	if ended, probe := p.RecordBroken(false); ended || probe {
		t.Errorf("second break: ended %v, probe %v, want neither", ended, probe)
	}
	if p.Probed(false, true); len(s.OwnBreakages()) > 0 {
		t.Error("a process that serves on is reported")
	}
	for i := range minBrokenConns {
		if ended, probe := p.RecordBroken(false); ended || probe != (i == minBrokenConns-1) {
			t.Errorf("break %d after a probe: ended %v, probe %v, want a probe at the last one only", i, ended, probe)
		}
	}
	if all := s.OwnBreakages(); len(all) > 0 {
		t.Errorf("reported: %v, want nothing", all)
	}
	if !p.Probed(true, false) {
		t.Error("a refused probe does not show the end of the process")
	}
	s.Timer.Advance(time.Second)
	if all := s.OwnBreakages(); len(all) != 1 || all[0].Upstream != p.Name || all[0].Incarnation != p.Incarnation || all[0].Age != 1 {
		t.Errorf("reported: %v, want %s, 1 s ago", all, p.Name)
	}
	s.Timer.Advance(breakageReportTime)
	if all := s.OwnBreakages(); len(all) > 0 {
		t.Errorf("reported later: %v, want nothing", all)
	}
}
