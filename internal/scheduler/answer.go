package scheduler

import (
	"time"

	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Longest pause, which keeps times from overflowing.
	maxPause = 100 * 365 * 24 * time.Hour
	// Number of upstreams whose answerState is kept while they are not announced.
	maxKeptStates = 4096
)

// answerState is what one process of an upstream said of itself in its answers to this host. It ends with
// the process, whatever announcements say.
type answerState struct {
	incarnation uint64
	pausedUntil time.Duration // until which it wants nothing from this host; 0: none
	// trial is set after a pause until an answer comes: until then it gets one request at a time.
	trial bool
	// leavingAt is the time of the first answer that said that it is leaving; 0: none did.
	leavingAt time.Duration
}

// leaverReportTime is the time for which this host reports that an upstream said that it is leaving.
const leaverReportTime = 3 * time.Second

// RecordLeaving records that the upstream said in an answer that it is leaving. It reports whether that is
// the first such answer of its process.
func (p *Reservation) RecordLeaving() bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &p.upstream.said
	if x.leavingAt > 0 {
		return false
	}
	x.leavingAt = s.Timer.Now()
	return true
}

// leaving reports whether an upstream is leaving, by its announcement or by an answer.
func (u *upstream) leaving() bool { return u.announcement.Leaving || u.said.leavingAt > 0 }

// sendUntil returns the time until which an upstream that is leaving may be sent requests of last resort;
// 0: none.
func (s *Scheduler) sendUntil(u *upstream) time.Duration {
	said := u.said.leavingAt + s.DrainTime - cataloger.LeavingMargin
	switch {
	case u.said.leavingAt == 0:
		return u.leavingUntil
	case s.DrainTime <= cataloger.LeavingMargin, u.announcement.Leaving && u.leavingUntil == 0:
		return 0
	case u.announcement.Leaving:
		return min(u.leavingUntil, said)
	}
	return said
}

// OwnLeavers returns the upstreams that lately said in answers to this host that they are leaving.
func (s *Scheduler) OwnLeavers() []*schema.Leaver {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	var all []*schema.Leaver
	for _, u := range s.sortedUpstreams {
		if at := u.said.leavingAt; at > 0 && now-at < leaverReportTime {
			all = append(all, &schema.Leaver{Upstream: u.announcement.Name, Incarnation: u.announcement.Incarnation, Age: (now - at).Seconds()})
		}
	}
	return all
}

// RecordPause records that the upstream wants nothing from this host for d. It returns the end of the pause
// on the clock of the Scheduler's Timer.
func (p *Reservation) RecordPause(d time.Duration) time.Duration {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &p.upstream.said
	x.pausedUntil = max(x.pausedUntil, s.Timer.Now()+min(d, maxPause))
	x.trial = true
	return x.pausedUntil
}

// endTrial ends the trial after a pause if the request was sent after it. The caller holds mu.
func (p *Reservation) endTrial() {
	if x := &p.upstream.said; p.reservedAt >= x.pausedUntil {
		x.trial = false
	}
}

// paused reports whether the upstream may get no request now, because of a pause or because the first
// request after it has no answer yet.
func (u *upstream) paused(now time.Duration) bool {
	return now < u.said.pausedUntil || u.said.trial && u.running > 0
}

// pauseLeft returns the time until the first of the upstreams that could take w, but for a pause, may get
// requests again; false if there is none. The caller holds mu.
func (s *Scheduler) pauseLeft(w *Request, now time.Duration) (time.Duration, bool) {
	left, found, c := time.Duration(0), false, s.Config()
	for _, u := range s.sortedUpstreams {
		if !usable(c, u, w) || u.leaving() || !u.paused(now) {
			continue
		}
		if d := max(minRetryDelay, u.said.pausedUntil-now); !found || d < left {
			left, found = d, true
		}
	}
	return left, found
}

// PausedCount returns the number of upstreams that want nothing from this host now.
func (s *Scheduler) PausedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, n := s.Timer.Now(), 0
	for _, u := range s.sortedUpstreams {
		if now < u.said.pausedUntil {
			n++
		}
	}
	return n
}

// keepAnswerState keeps what an upstream said while it is not announced. The caller holds mu.
func (s *Scheduler) keepAnswerState(name string, u *upstream) {
	if u.said == (answerState{}) {
		return
	}
	if s.kept == nil {
		s.kept = map[string]answerState{}
	}
	for other := range s.kept {
		if len(s.kept) < maxKeptStates {
			break
		}
		delete(s.kept, other)
	}
	x := u.said
	x.incarnation = u.announcement.Incarnation
	s.kept[name] = x
}

// restoreAnswerState returns what a process said before it was not announced for a while. The caller holds
// mu.
func (s *Scheduler) restoreAnswerState(name string, incarnation uint64) answerState {
	x, ok := s.kept[name]
	delete(s.kept, name)
	if !ok || x.incarnation != incarnation {
		return answerState{}
	}
	x.incarnation = 0
	return x
}
