package scheduler

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Fraction of a brittle upstream's slots that hosts use together: a request that was given up may hold one
	// for a moment.
	brittleSlotFraction = 0.9
	// Standard deviations by which the tokens of the requests at a brittle engine may exceed their mean and still fit into
	// its memory: hosts do not know the sizes of each other's requests.
	tokensDeviations = 2
	// Weight of a request in the averages of the tokens of the pool's requests.
	tokensWeight = 0.01
	// Factor by which the room of an upstream shrinks when it turns a request away, and the rate at which it grows
	// again, as a fraction of the requests that the upstream can turn away.
	roomShrinkFactor   = 0.8
	roomGrowthFraction = 0.5
	// Shortest time between two of these steps: other hosts learn of the first one meanwhile.
	roomStepInterval = time.Second
	// Longest time for which a host that was turned away sends nothing.
	maxRejectedPause = time.Minute
	// Time after an upstream of a pool said that it is brittle, in which processes of the pool that have not
	// answered yet count as brittle too.
	poolBrittleTime = 30 * time.Second
	// Time after a change or a rejection for which a host reports it.
	brittleReportTime = 2 * time.Second
	// Number of hosts, the first by rank, that report that an upstream still says that it is brittle: a whole pool
	// may say so at once.
	maxBrittleReporters = 3
)

// brittleState is what a host knows of an upstream that fails if it must turn too many requests away, and its own
// part of that upstream.
type brittleState struct {
	said        bool          // an answer of this process told whether it is brittle
	brittle     bool          // as the last answer said
	rejections  float64       // requests that it can turn away in a second
	receivedAt  time.Duration // when any host received the last such answer; 0: never
	reportUntil time.Duration // until which this host reports it
	unnamed     int           // answers to this host in a row that did not say that it is brittle

	// room is the number of requests for which the upstream was assumed to have room when it last turned one away, at
	// rejectedAt; 0: it turned none away. This host was turned away last at ownRejectedAt and sends nothing until
	// pausedUntil.
	room          float64
	rejectedAt    time.Duration
	ownRejectedAt time.Duration
	shrunkAt      time.Duration
	pausedUntil   time.Duration

	rank, hosts int
	rankedAt    time.Duration
}

// poolBrittleness is what an upstream of a pool said last of being brittle, and the room that one was last assumed to
// have as it turned a request away. A new process begins with both.
type poolBrittleness struct {
	rejections float64
	saidAt     time.Duration // 0: none said so
	room       float64
	rejectedAt time.Duration // 0: none turned a request away
}

// RecordBrittleness records what an answer of the upstream says of being brittle: how many requests it can turn away
// in a second. Rejected means that the answer turned the request away; such an answer does not end the state. It
// reports whether the state changed.
func (p *Reservation) RecordBrittleness(rejections float64, brittle, rejected bool) bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	u, now := p.upstream, s.Timer.Now()
	b := &u.brittle
	changed, report := false, false
	switch {
	case brittle:
		b.unnamed = 0
		changed = s.setBrittle(u, rejections, true, now)
		rank, _ := s.ownerRank(u, now)
		report = rank < maxBrittleReporters
	case rejected:
	case !b.said:
		report = s.isBrittle(u, now)
		changed = s.setBrittle(u, 0, false, now)
	case b.brittle:
		if b.unnamed++; b.unnamed >= answersToEndLimit || now-b.receivedAt >= limitCheckAge {
			changed = s.setBrittle(u, 0, false, now)
		}
	}
	if rejected {
		changed = s.recordRejection(p, now) || changed
	}
	if changed || report {
		b.reportUntil = now + brittleReportTime
	}
	return changed
}

// setBrittle replaces what an upstream said last and reports whether it changed. The caller holds mu.
func (s *Scheduler) setBrittle(u *upstream, rejections float64, brittle bool, receivedAt time.Duration) bool {
	b := &u.brittle
	changed := b.brittle != brittle || b.rejections != rejections
	if !b.said {
		b.room, b.rejectedAt = s.learnedRoom(u, receivedAt)
	}
	b.said, b.brittle, b.rejections, b.receivedAt = true, brittle, rejections, receivedAt
	if !brittle {
		b.room, b.rejectedAt, b.pausedUntil = 0, 0, 0
		return changed
	}
	if m := &s.pool(u.announcement.Pool).brittle; receivedAt > m.saidAt {
		m.rejections, m.saidAt = rejections, receivedAt
	}
	return changed
}

// recordRejection records that a brittle upstream turned a request away. If it was assumed to have room, it gets
// fewer requests at once. It reports whether other hosts need to know. The caller holds mu.
func (s *Scheduler) recordRejection(p *Reservation, now time.Duration) bool {
	u := p.upstream
	b := &u.brittle
	rejections, brittle := s.brittleness(u, now)
	if !brittle {
		return false
	}
	room := s.brittleRoom(u, now)
	_, hosts := s.ownerRank(u, now)
	pause := timer.Seconds(math.Min(float64(hosts), room) / math.Max(rejections, 1/maxRejectedPause.Seconds()))
	b.pausedUntil = min(max(b.pausedUntil, now)+pause, now+maxRejectedPause)
	if float64(p.Running) >= room || p.reservedAt < b.shrunkAt || b.shrunkAt > 0 && now-b.shrunkAt < roomStepInterval {
		return false
	}
	b.ownRejectedAt = now
	s.setRoom(u, math.Max(1, room*roomShrinkFactor), now, now)
	return true
}

// setRoom sets the room that an upstream is assumed to have as it turned a request away. The caller holds mu.
func (s *Scheduler) setRoom(u *upstream, room float64, rejectedAt, now time.Duration) {
	b := &u.brittle
	b.room, b.rejectedAt, b.shrunkAt = room, rejectedAt, now
	if m := &s.pool(u.announcement.Pool).brittle; rejectedAt > m.rejectedAt {
		m.room, m.rejectedAt = room, rejectedAt
	}
}

// learnedRoom returns the room that an upstream is assumed to have since it turned a request away at a time; 0 if it
// turned none away. Of a process that has not answered yet, they are those of its pool. The caller holds mu.
func (s *Scheduler) learnedRoom(u *upstream, now time.Duration) (room float64, rejectedAt time.Duration) {
	if u.brittle.said || u.brittle.rejectedAt > 0 {
		return u.brittle.room, u.brittle.rejectedAt
	}
	if m := &s.pool(u.announcement.Pool).brittle; m.rejectedAt > 0 && now-m.rejectedAt < poolBrittleTime {
		return m.room, m.rejectedAt
	}
	return 0, 0
}

// Brittle reports whether the upstream counts as brittle.
func (p *Reservation) Brittle() bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isBrittle(p.upstream, s.Timer.Now())
}

// UpdateBrittleness applies what upstreams said to other hosts of being brittle.
func (s *Scheduler) UpdateBrittleness(all []*schema.Brittleness) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	for _, m := range all {
		u := s.upstreams[m.Upstream]
		if u == nil || u.announcement.Incarnation != m.Incarnation {
			continue
		}
		b := &u.brittle
		if receivedAt := now - timer.Seconds(m.Age); receivedAt > b.receivedAt {
			s.setBrittle(u, m.Rejections, !m.Ended, receivedAt)
			b.unnamed = 0
		}
		if m.Rejected == nil || !b.brittle {
			continue
		}
		if at := now - timer.Seconds(*m.Rejected); at > b.rejectedAt {
			s.setRoom(u, m.Room, at, now)
		}
	}
}

// OwnBrittleness returns what upstreams lately said in answers to this host of being brittle, and when they last turned
// a request of this host away.
func (s *Scheduler) OwnBrittleness() []*schema.Brittleness {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	var all []*schema.Brittleness
	for _, u := range s.sortedUpstreams {
		b := &u.brittle
		if !b.said || now >= b.reportUntil {
			continue
		}
		m := &schema.Brittleness{
			Upstream: u.announcement.Name, Incarnation: u.announcement.Incarnation, Rejections: b.rejections, Ended: !b.brittle,
			Age: (now - b.receivedAt).Seconds(),
		}
		if b.rejectedAt > 0 && b.rejectedAt == b.ownRejectedAt {
			m.Room = b.room
			m.Rejected = proto.Float64((now - b.rejectedAt).Seconds())
		}
		all = append(all, m)
	}
	return all
}

// BrittleCount returns the number of upstreams that count as brittle.
func (s *Scheduler) BrittleCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, n := s.Timer.Now(), 0
	for _, u := range s.sortedUpstreams {
		if s.isBrittle(u, now) {
			n++
		}
	}
	return n
}

// brittleness returns how many requests an upstream can turn away in a second, if it counts as brittle. The caller holds
// mu.
func (s *Scheduler) brittleness(u *upstream, now time.Duration) (rejections float64, brittle bool) {
	if u.brittle.said {
		return u.brittle.rejections, u.brittle.brittle
	}
	p := s.pools[u.announcement.Pool]
	if p == nil || p.brittle.saidAt == 0 || now-p.brittle.saidAt >= poolBrittleTime {
		return 0, false
	}
	return p.brittle.rejections, true
}

func (s *Scheduler) isBrittle(u *upstream, now time.Duration) bool {
	_, brittle := s.brittleness(u, now)
	return brittle
}

// brittleAllows reports whether this host may send a request to an upstream as far as it is brittle. Hosts together send
// no more than it has room for, so that none of their requests needs to wait there: each has an equal part, and the
// hosts that rank first by a hash of both names have one more. The caller holds mu.
func (s *Scheduler) brittleAllows(w *Request, u *upstream, now time.Duration) bool {
	if !s.isBrittle(u, now) {
		return true
	}
	engine := s.Config().Pool(w.Pool).GetEngine()
	if now < u.brittle.pausedUntil || u.running+u.otherRunning >= u.brittleSlots(engine) {
		return false
	}
	rank, hosts := s.ownerRank(u, now)
	room := int(s.brittleRoom(u, now))
	part := room / hosts
	if rank < room%hosts {
		part++
	}
	if rank >= hosts || u.running >= part { // a host that is not ready ranks last
		return false
	}
	memory := float64(engine.GetTokens()) * maxMemoryFraction
	return memory == 0 || float64(u.tokens+w.InputTokens+w.OutputTokens) <= memory
}

// brittleRoom returns the number of requests, of all hosts, for which a brittle upstream is assumed to have room. The
// caller holds mu.
func (s *Scheduler) brittleRoom(u *upstream, now time.Duration) float64 {
	pool := s.pool(u.announcement.Pool)
	_, hosts := s.ownerRank(u, now)
	engine := s.Config().Pool(u.announcement.Pool).GetEngine()
	room := float64(u.brittleSlots(engine)) * brittleSlotFraction
	if memory := float64(engine.GetTokens()) * maxMemoryFraction; memory > 0 && hosts > 1 {
		room = math.Min(room, pool.tokens.fitting(memory))
	}
	if learned, at := s.learnedRoom(u, now); at > 0 {
		rejections, _ := s.brittleness(u, now)
		room = math.Min(room, learned+rejections*roomGrowthFraction*(now-at).Seconds())
	}
	return math.Max(1, math.Floor(room))
}

// brittleSlots returns the number of requests that a brittle upstream runs at once: an engine may announce fewer than the
// configuration states.
func (u *upstream) brittleSlots(engine *schema.Engine) int {
	slots := u.slots(engine)
	if announced := int(u.announcement.Slots); announced > 0 {
		slots = min(slots, announced)
	}
	return slots
}

// ownerRank returns the rank of this host among those that may send requests to an upstream, from 0, and their number.
// The caller holds mu.
func (s *Scheduler) ownerRank(u *upstream, now time.Duration) (rank, hosts int) {
	b := &u.brittle
	if b.rankedAt == 0 || now-b.rankedAt >= rankDuration {
		b.rank, b.hosts, b.rankedAt = 0, 1, now
		if s.OwnerRank != nil {
			b.rank, b.hosts = s.OwnerRank(u.announcement.Name)
			b.hosts = max(1, b.hosts)
		}
	}
	return b.rank, b.hosts
}

// tokenSizes holds moving averages of the tokens of a pool's requests, and of their squares.
type tokenSizes struct {
	requests      int // that the averages are of; up to 1/tokensWeight
	mean, squares float64
}

func (t *tokenSizes) learn(tokens float64) {
	t.requests = min(t.requests+1, int(1/tokensWeight))
	t.mean += (tokens - t.mean) / float64(t.requests)
	t.squares += (tokens*tokens - t.squares) / float64(t.requests)
}

// fitting returns the largest number n of requests that fit into a memory: n * mean + tokensDeviations * deviation *
// sqrt(n) = memory.
func (t *tokenSizes) fitting(memory float64) float64 {
	if t.mean <= 0 {
		return math.Inf(1)
	}
	half := tokensDeviations * math.Sqrt(math.Max(0, t.squares-t.mean*t.mean)) / 2
	root := (math.Sqrt(half*half+t.mean*memory) - half) / t.mean
	return root * root
}
