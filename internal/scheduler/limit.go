package scheduler

import (
	"math"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Fraction of a named limit that hosts use together: their lists of each other differ for a
	// moment when one comes or goes.
	limitFraction = 0.9
	// Lowest rate at which a limited upstream gets requests, per second: without any, the end of its
	// limit would not be learned.
	minLimitRate = 0.2
	// Requests that a host may save up, in seconds of its rate, but one at least.
	limitBurstSeconds = 0.5
	// Age of the last answer that named the limit, after which a host with a saved request sends the
	// next one there, and for each multiple of which one more host may send.
	limitCheckAge = 4 * time.Second
	// Maximum number of hosts that may send in addition.
	maxExtraOwners = 4
	// Number of answers in a row without a limit that end it. One suffices if no host has received the
	// limit for limitCheckAge.
	answersToEndLimit = 2
	// Time after a host has received a limit for which it reports that.
	limitReportTime = 2 * time.Second
	// Time for which a host's rank among those that may send is reused.
	rankDuration = 200 * time.Millisecond
)

// limitState is what a host knows of the limit that an upstream names, and its own part of it.
type limitState struct {
	rate       float64       // requests per second of all hosts together; 0: no limit is named
	receivedAt time.Duration // when any host received the answer that says so; 0: never
	answeredAt time.Duration // when this host did
	unnamed    int           // answers to this host in a row that named none
	beganAt    time.Duration // when the first of the answers that name a limit was received

	// saved is the number of requests that this host may send, as of savedAt. ownerSince is the time
	// since which it may send; 0 if it may not.
	saved      float64
	savedAt    time.Duration
	ownerSince time.Duration

	rank, hosts int
	rankedAt    time.Duration
}

// RecordLimit records what an answer of the upstream says of its limit, in requests per second; 0 if it
// names none. It reports whether the limit changed.
func (p *Reservation) RecordLimit(rate float64) bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &p.upstream.limit
	now := s.Timer.Now()
	if rate > 0 {
		l.unnamed = 0
	} else if l.unnamed++; l.rate == 0 || l.unnamed < answersToEndLimit && now-l.receivedAt < limitCheckAge {
		return false
	}
	l.answeredAt = now
	return l.set(rate, now)
}

// set replaces the limit and reports whether it changed.
func (l *limitState) set(rate float64, receivedAt time.Duration) bool {
	changed := rate != l.rate
	if changed && (rate == 0 || l.rate == 0) {
		l.beganAt, l.ownerSince, l.rankedAt = receivedAt, 0, 0
	}
	l.rate, l.receivedAt = rate, receivedAt
	return changed
}

// UpdateLimits applies the limits that upstreams named to other hosts.
func (s *Scheduler) UpdateLimits(limits []*schema.NamedLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	for _, m := range limits {
		u := s.upstreams[m.Upstream]
		receivedAt := now - timer.Seconds(m.Age)
		if u == nil || u.announcement.Incarnation != m.Incarnation || receivedAt <= u.limit.receivedAt {
			continue
		}
		rate := m.Rate
		if m.Ended {
			rate = 0
		}
		u.limit.set(rate, receivedAt)
		u.limit.unnamed = 0
	}
}

// OwnLimits returns the limits that upstreams named in answers to this host lately, or that such answers
// showed to have ended.
func (s *Scheduler) OwnLimits() []*schema.NamedLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	var all []*schema.NamedLimit
	for _, u := range s.sortedUpstreams {
		if l := &u.limit; l.answeredAt > 0 && l.answeredAt == l.receivedAt && now-l.answeredAt < limitReportTime {
			all = append(all, &schema.NamedLimit{
				Upstream: u.announcement.Name, Incarnation: u.announcement.Incarnation, Rate: l.rate, Ended: l.rate == 0, Age: (now - l.answeredAt).Seconds(),
			})
		}
	}
	return all
}

// LimitedCount returns the number of upstreams that name a limit.
func (s *Scheduler) LimitedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, u := range s.sortedUpstreams {
		if u.limit.rate > 0 {
			n++
		}
	}
	return n
}

// limitAllows reports whether this host may send a request to an upstream under the limit that the
// upstream names. The limit is divided among as many hosts as get a request per second each, those that
// rank first by a hash of both names, so that the sum over all hosts keeps to it however many there are.
func (s *Scheduler) limitAllows(u *upstream, now time.Duration) bool {
	l := &u.limit
	if l.rate == 0 {
		return true
	}
	handover := now
	if l.rankedAt == 0 {
		handover = l.beganAt // there was no owner before
	}
	if l.rankedAt == 0 || now-l.rankedAt >= rankDuration {
		l.rank, l.hosts, l.rankedAt = 0, 1, now
		if s.OwnerRank != nil {
			l.rank, l.hosts = s.OwnerRank(u.announcement.Name)
		}
	}
	owners := l.owners(now)
	if l.rank >= owners {
		l.ownerSince = 0
		return false
	}
	if l.ownerSince == 0 {
		// Another host may still send what it has saved.
		l.ownerSince, l.saved, l.savedAt = now, 0, handover+coldHandoverDelay
		if l.rank >= l.baseOwners() {
			l.saved = 1 // to find out whether the limit is still named
		}
	}
	if now < l.savedAt {
		return false
	}
	rate := math.Max(l.rate, minLimitRate) * limitFraction / float64(owners)
	l.saved = math.Min(math.Max(1, rate*limitBurstSeconds), l.saved+rate*(now-l.savedAt).Seconds())
	l.savedAt = now
	return l.saved >= 1
}

// owners returns the number of hosts that may send. While no answer comes, it grows slowly: those that
// may send perhaps have no requests.
func (l *limitState) owners(now time.Duration) int {
	extra := min(maxExtraOwners, int((now-l.receivedAt)/limitCheckAge))
	return min(l.hosts, l.baseOwners()+extra)
}

// baseOwners returns the number of hosts that may send while answers come.
func (l *limitState) baseOwners() int { return max(1, int(min(float64(l.hosts), l.rate))) }

// needsCheck reports whether the upstream's limit was named so long ago that the next request should
// find out whether it still is.
func (u *upstream) needsCheck(now time.Duration) bool {
	return u.limit.rate > 0 && now-u.limit.receivedAt >= limitCheckAge
}
