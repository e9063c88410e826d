package scheduler

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/apportioner"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/estimator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/sharer"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Most requests that wait for a slot in one pool.
	maxQueueLength = 400
	// Most waiting requests that one call of dispatch examines.
	maxDispatchScan = 12
	// Longest wait for a slot, as a fraction of the time left until the objective. After a
	// longer wait the answer would miss the objective, while another host may have a slot.
	maxWaitFraction = 0.35
	// Bounds of the retry delay returned with a rejection. minRetryDelay is also the shortest
	// wait limit of a request whose deadline allows it.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

var (
	// ErrNoUpstream means that the pool has no upstream to which this request may be sent.
	ErrNoUpstream = errors.New("scheduler: the pool has no usable upstream")
	// ErrNoSlot means that no slot is expected within the wait limit, that the queue is full,
	// or that the wait limit has passed.
	ErrNoSlot = errors.New("scheduler: no free slot in time")
)

// NoSlotError is an ErrNoSlot with the delay after which a slot is expected.
type NoSlotError struct {
	Pool       string
	RetryAfter time.Duration
	// Early is set if the caller came before the time that it was told.
	Early bool
	// Forecast is what the refusal rests on, for the log; nil if none was made.
	Forecast *Forecast
}

// Error names the pool and the delay until a slot is expected.
func (e *NoSlotError) Error() string {
	return fmt.Sprintf("pool %q has no free slot in time; one is expected in %v", e.Pool, e.RetryAfter)
}

// Unwrap returns ErrNoSlot.
func (e *NoSlotError) Unwrap() error { return ErrNoSlot }

// PromptPart is a segment of a prompt. Prompts that begin with the same parts share the cache
// entries of these parts at an engine.
type PromptPart = estimator.Part

// Request describes a request as far as the choice of an upstream depends on it.
type Request struct {
	Pool string
	// Parts are the segments of the prompt in order; only the last one is not shared with
	// other requests.
	Parts []PromptPart
	// InputTokens is the number of tokens of the prompt. OutputTokens is the smaller of the largest
	// number of tokens that the answer may have and the caller's hint, if it gave one; the hint is
	// an estimate, so the answer may be longer.
	InputTokens, OutputTokens int64
	// Rank orders waiting requests; 0 is served first.
	Rank int
	// Customer is the name of the customer, Weight its weight where capacity is short; 0 counts as 1.
	Customer string
	Weight   float64
	// Key is equal for all repeats of the request, whatever the caller says of itself; 0 if it is not to
	// be recognised. Claim is what the Scheduler returned for it.
	Key   uint64
	Claim Claim
	// ObjectiveAt is the time by which the first token should come, Deadline the time at
	// which the request fails; both are on the clock of Timer.
	ObjectiveAt, Deadline time.Duration
	// LateOnArrival is set if the objective had passed, or nearly, when the request arrived.
	LateOnArrival bool
	// Unrepeatable is set if the request cannot be repeated: it then avoids upstreams with a
	// high failure rate.
	Unrepeatable bool
	// Excluded holds the names of upstreams at which this request has failed. May be nil.
	Excluded map[string]bool
	// Avoid holds processes of upstreams that may not get the request, by name. May be nil.
	Avoid map[string]uint64
	// TurnedAway is set if a brittle upstream has turned the request away: as it may be too large for any, no other one
	// gets it.
	TurnedAway bool
	// Software is the version of the software that the upstream must run; nil: any.
	Software *string
	// LastResort is set if nothing but an upstream that is leaving can serve the request.
	LastResort bool
	// Sizing says by which earlier answers the length of this one is estimated, in adaptive mode. Without a route,
	// OutputTokens counts as the maximum and nothing is learned. Continues is set if the answer goes on after events
	// that the caller has, so that nothing is learned from its length.
	Sizing    estimator.Key
	Continues bool

	output   estimator.Output // as estimated at outputAt; guarded by Scheduler.mu
	outputAt time.Duration
}

// Scheduler assigns requests to the upstreams of one region. Set the exported fields before
// use.
type Scheduler struct {
	Timer *timer.Service
	// Config returns the current configuration.
	Config func() *configurer.Snapshot
	// OwnsCold reports whether this host is the one that may send requests to the named
	// upstream while it is cold. Nil means that it is, for all upstreams.
	OwnsCold func(upstream string) bool
	// OwnerRank returns the rank of this host, from 0, among the hosts that may send requests to the
	// named upstream while it names a limit, and their number. Nil means that this is the only one.
	OwnerRank func(upstream string) (rank, hosts int)
	// HostCount returns the number of hosts of the region that use its upstreams. Nil means
	// one.
	HostCount func() int
	// Region is the region of this host. OwnDemand returns what this host's callers ask of a pool, as this host reported
	// it last, and whether it has reported any; it must not call the Scheduler. Nil means that it is not measured.
	Region    string
	OwnDemand func(pool string) (demands []*schema.HomeDemand, reported bool)
	// DrainTime is the time, from the first answer that says that an upstream is leaving, after which
	// nothing may reach it. 0: it gets nothing once it said so.
	DrainTime time.Duration
	// Adaptive reports whether engines are chosen by the expected cost of requests. Nil means that they are not.
	Adaptive func() bool
	// FairQueue reports whether requests wait by customer, and are refused by a forecast. Nil means that they are
	// not.
	FairQueue func() bool
	// Random returns a number in [0, n). Nil means the global generator.
	Random func(n int) int

	mu              sync.Mutex
	upstreams       map[string]*upstream   // by name; guarded by mu
	sortedUpstreams []*upstream            // the upstreams, sorted by name; guarded by mu
	pools           map[string]*pool       // guarded by mu
	kept            map[string]answerState // of upstreams that are not announced, by name; guarded by mu
	loadsAt         time.Duration          // when the load of the other hosts was received; guarded by mu
	expect          expectations           // guarded by mu
	slotFraction    float64                // an equal fraction of the free slots; 0 before the first call of UpdateOtherLoads; guarded by mu
	// fractions are this host's fractions of the free slots by demand, of pools of engines; nil unless adaptive; guarded
	// by mu
	fractions map[string]apportioner.Fraction
}

// pool holds the waiting requests of one pool and its learned delays.
type pool struct {
	waiting []*waiter // sorted by compareUrgency
	fair    fairQueue // used instead of waiting while the Scheduler is adaptive
	// releaseInterval is a moving average of the interval between two releases of a slot;
	// releasedAt is the time of the last one, 0 before the first.
	releaseInterval time.Duration
	releasedAt      time.Duration
	// slowDelay is the delay from the reservation after which slowFraction of the first
	// tokens are still to come; 0 before the first sample.
	slowDelay time.Duration
	brittle   poolBrittleness
	tokens    tokenSizes
}

// waiter is a request that has a reservation or waits for one.
type waiter struct {
	request     *Request
	enqueuedAt  time.Duration
	reservation *Reservation  // nil while it waits
	done        chan struct{} // closed once it has a reservation or was evicted
	// entry is the request's place in the fair queue, nil if it waits in pool.waiting. It waits until
	// waitUntil; forecastWait is the wait that was expected.
	entry        *sharer.Entry[*waiter]
	waitUntil    time.Duration
	forecastWait time.Duration
	evicted      bool // it gets no reservation; set before done is closed
}

// Reservation is the reservation of a slot at an upstream for one request. Release must be called
// exactly once.
type Reservation struct {
	// Name, Address and Incarnation identify the upstream's process.
	Name, Address string
	Incarnation   uint64
	// Software is the version of the software that the process runs.
	Software string
	// SendUntil is the time on the clock of Timer after which nothing may be sent to the upstream, as it
	// is leaving; 0 if it is not.
	SendUntil time.Duration
	// ExpectedDelay is the predicted delay from the reservation to the first token.
	ExpectedDelay time.Duration
	// CachedTokens is the number of prompt tokens that the upstream is assumed to have cached.
	CachedTokens int64
	// Running is the number of requests, of all hosts, that held a slot of the upstream
	// before this one.
	Running int
	// Preferred is set if the upstream was chosen as the preferred one, which all hosts choose
	// for the shared prefix. PreferredSkipped is the reason why another one was chosen.
	Preferred        bool
	PreferredSkipped Reason
	// Estimate is what the choice rests on in adaptive mode; nil otherwise.
	Estimate *estimator.Estimate

	scheduler          *Scheduler
	upstream           *upstream
	request            *Request
	reservedAt         time.Duration  // time of the reservation
	uncachedTokens     int64          // prompt tokens that the upstream is assumed to have to read
	firstTokenReceived bool           // the first token has come
	run                *estimator.Run // nil unless it was sent in adaptive mode
	stride             int            // tokens of an event, if run is set
}

// Acquire reserves a slot for w, waiting for one if it is expected in time. The error is
// ErrNoUpstream, a *NoSlotError, or that of ctx.
func (s *Scheduler) Acquire(ctx context.Context, w *Request) (*Reservation, error) {
	x, reservation, limit, err := s.enter(w)
	if err != nil || reservation != nil {
		return reservation, err
	}
	waitExpired := make(chan struct{})
	cancel := s.Timer.Once(limit, func() { close(waitExpired) })
	defer cancel()
	select {
	case <-x.done:
		if x.evicted {
			return nil, s.noSlotError(x)
		}
		return x.reservation, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-waitExpired:
		err = s.noSlotError(x)
	}
	if s.cancelWait(x) {
		return nil, err
	}
	return x.reservation, nil // dispatch made the reservation before cancelWait took the lock
}

// enter reserves a slot for w, or enqueues it for at most limit. What it returns of the waiter was read under mu,
// since dispatch may give it a reservation as soon as it waits.
func (s *Scheduler) enter(w *Request) (x *waiter, reservation *Reservation, limit time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, err = s.reserveOrEnqueue(w)
	if err != nil {
		return nil, nil, 0, err
	}
	limit = s.waitLimit(w)
	if x.entry != nil {
		limit = x.waitUntil - s.Timer.Now()
	}
	return x, x.reservation, limit, nil
}

// waitLimit returns how long a request may wait for a slot.
func (s *Scheduler) waitLimit(w *Request) time.Duration {
	now := s.Timer.Now()
	return min(w.Deadline-now, max(minRetryDelay, time.Duration(float64(w.ObjectiveAt-now)*maxWaitFraction)))
}

// reserveOrEnqueue reserves a slot for w or enqueues it. The caller holds mu.
func (s *Scheduler) reserveOrEnqueue(w *Request) (*waiter, error) {
	now := s.Timer.Now()
	p := s.pool(w.Pool)
	p.tokens.learn(float64(w.InputTokens + w.OutputTokens))
	x := &waiter{request: w, enqueuedAt: now, done: make(chan struct{})}
	candidates := s.candidates(w, now)
	if len(candidates) == 0 {
		if left, paused := s.pauseLeft(w, now); paused {
			return nil, &NoSlotError{Pool: w.Pool, RetryAfter: left}
		}
		return nil, ErrNoUpstream
	}
	if s.fairQueues() {
		return s.reserveOrWait(p, x, candidates, now)
	}
	if !p.hasMoreUrgent(w) {
		if x.reservation = s.reserve(w, candidates, now); x.reservation != nil {
			return x, nil
		}
	}
	if wait := p.expectedWait(len(p.waiting)); wait > s.waitLimit(w) || len(p.waiting) >= maxQueueLength {
		return nil, &NoSlotError{Pool: w.Pool, RetryAfter: clampRetryDelay(wait)}
	}
	at, _ := slices.BinarySearchFunc(p.waiting, w, func(y *waiter, w *Request) int { return compareUrgency(y.request, w) })
	p.waiting = slices.Insert(p.waiting, at, x)
	return x, nil
}

// compareUrgency orders waiting requests: by rank, those that were in time on arrival before
// late ones, then by objective. It never returns 0: of equal requests a comes first.
func compareUrgency(a, b *Request) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), lateOrder(a)-lateOrder(b), cmp.Compare(a.ObjectiveAt, b.ObjectiveAt), -1)
}

func lateOrder(w *Request) int {
	if w.LateOnArrival {
		return 1
	}
	return 0
}

// hasMoreUrgent reports whether a waiting request comes before w.
func (p *pool) hasMoreUrgent(w *Request) bool {
	return len(p.waiting) > 0 && compareUrgency(p.waiting[0].request, w) < 0
}

// expectedWait returns how long a request behind n others is expected to wait for a slot.
func (p *pool) expectedWait(n int) time.Duration { return p.releaseInterval * time.Duration(n+1) }

func clampRetryDelay(d time.Duration) time.Duration { return min(maxRetryDelay, max(minRetryDelay, d)) }

func (s *Scheduler) noSlotError(x *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := x.request
	p := s.pool(w.Pool)
	if x.entry != nil && x.reservation == nil {
		now := s.Timer.Now()
		o, _ := s.foresee(w, x.entry.Use, s.candidates(w, now), true, now)
		return s.noSlot(w, o, now)
	}
	return &NoSlotError{Pool: w.Pool, RetryAfter: clampRetryDelay(p.expectedWait(len(p.waiting)))}
}

func (s *Scheduler) cancelWait(x *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.reservation != nil {
		return false
	}
	p := s.pool(x.request.Pool)
	if x.entry != nil {
		p.fair.queue.Remove(x.entry, s.Timer.Now())
		return true
	}
	if at := slices.Index(p.waiting, x); at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
	}
	return true
}

func (s *Scheduler) pool(name string) *pool {
	if s.pools == nil {
		s.pools = map[string]*pool{}
	}
	p := s.pools[name]
	if p == nil {
		p = &pool{}
		s.pools[name] = p
	}
	return p
}

// dispatch reserves free slots for waiting requests of the named pool. The caller holds mu.
func (s *Scheduler) dispatch(name string, now time.Duration) {
	p := s.pool(name)
	for at, examined := 0, 0; at < len(p.waiting) && examined < maxDispatchScan; examined++ {
		x := p.waiting[at]
		reservation := s.reserve(x.request, s.candidates(x.request, now), now)
		if reservation == nil {
			at++
			continue
		}
		x.reservation = reservation
		p.waiting = slices.Delete(p.waiting, at, at+1)
		close(x.done)
	}
	s.dispatchFair(p, maxDispatchScan, now)
}

// DispatchAll dispatches the waiting requests of all pools. Call it at intervals: upstreams also
// become available as time passes or as the load of other hosts changes.
func (s *Scheduler) DispatchAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	for name, p := range s.pools {
		if p.queued() > 0 {
			s.dispatch(name, now)
			s.review(p, now)
		}
	}
}

// Utilization is the capacity of a pool in this region and its use.
type Utilization struct {
	// Slots is the number of slots of all candidates. UsedFraction is the number of running and
	// waiting requests as a fraction of Slots; it may exceed 1.
	Slots        int
	UsedFraction float64
}

// PoolUtilization returns the capacity that the region has for w and its use, without a
// reservation.
func (s *Scheduler) PoolUtilization(w *Request) Utilization {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, load := Utilization{}, 0
	if p := s.pools[w.Pool]; p != nil {
		load = p.queued()
	}
	for _, u := range s.candidates(w, s.Timer.Now()) {
		load += u.running + u.otherRunning
		o.Slots += int(u.announcement.Slots)
	}
	o.UsedFraction = float64(load) / float64(max(1, o.Slots))
	return o
}

// PoolCapacity returns the number of slots of a pool's upstreams in this region that may be used, as control hosts
// count those of other regions, and the number of requests that run there or wait at this host.
func (s *Scheduler) PoolCapacity(pool string) (slots, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, w := s.Config(), &Request{Pool: pool}
	if p := s.pools[pool]; p != nil {
		running = len(p.waiting)
	}
	for _, u := range s.sortedUpstreams {
		if usable(c, u, w) && !u.leaving() && !u.announcement.Silent {
			slots += int(u.announcement.Slots)
			running += u.running + u.otherRunning
		}
	}
	return slots, running
}

// HasVersion reports whether an upstream of a pool in this region runs a version of software and takes
// requests.
func (s *Scheduler) HasVersion(pool, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.candidates(&Request{Pool: pool, Software: &version}, s.Timer.Now()) {
		if !u.announcement.Silent {
			return true
		}
	}
	return false
}

// ReceivedSince reports whether anything was received from the upstream, for any request, since the
// reservation.
func (p *Reservation) ReceivedSince() bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.upstream.lastReceivedAt > p.reservedAt
}

// RecordReceived records that something was received from the upstream on a connection that was opened at a
// time.
func (p *Reservation) RecordReceived(openedAt time.Duration) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	p.upstream.recordReceived(s.Timer.Now())
	p.upstream.conns.recordServing(openedAt)
}

// RecordFirstToken records that the answer, or its first event, was received. Later calls do
// nothing.
func (p *Reservation) RecordFirstToken() {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.firstTokenReceived {
		return
	}
	p.firstTokenReceived = true
	now := s.Timer.Now()
	p.upstream.recordReceived(now)
	p.endTrial()
	p.upstream.unreadTokens -= p.uncachedTokens
	p.upstream.learnDelay(p, now-p.reservedAt)
	s.learnService(p, now)
	s.pool(p.request.Pool).learnSlowDelay(now - p.reservedAt)
	s.dispatch(p.request.Pool, now)
}

// SlowDelay returns the delay from the reservation after which few first tokens of the pool are
// still to come, as learned by this host; 0 if it has not received any.
func (p *Reservation) SlowDelay() time.Duration {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool(p.request.Pool).slowDelay
}

// RecordNoFirstToken records that the first token is no longer waited for.
func (p *Reservation) RecordNoFirstToken() {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(p.request.Pool).learnSlowDelay(s.Timer.Now() - p.reservedAt)
}

// learnSlowDelay adjusts slowDelay by a first token that came, or was given up, after d.
// The steps up and down balance when slowFraction of the samples are above it.
func (p *pool) learnSlowDelay(d time.Duration) {
	switch {
	case p.slowDelay == 0:
		p.slowDelay = d
	case d >= p.slowDelay:
		p.slowDelay += time.Duration(float64(p.slowDelay) * slowStepFraction * (1 - slowFraction))
	default:
		p.slowDelay -= time.Duration(float64(p.slowDelay) * slowStepFraction * slowFraction)
	}
}

// Release releases the slot and records the outcome of the request.
func (p *Reservation) Release(o Outcome) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	u := p.upstream
	u.running--
	u.slotQuota++
	u.tokens -= p.request.InputTokens + p.request.OutputTokens
	if !p.firstTokenReceived {
		u.unreadTokens -= p.uncachedTokens
	}
	p.endRun(o, now)
	u.recordOutcome(o, now)
	if o == Answered {
		p.endTrial()
		u.residenceTime += time.Duration(sampleWeight * float64(now-p.reservedAt-u.residenceTime))
	}
	q := s.pool(p.request.Pool)
	if o == Answered {
		q.fair.recordHold(now - p.reservedAt)
	}
	if q.releasedAt > 0 {
		q.releaseInterval += (now - q.releasedAt - q.releaseInterval) / releaseWeightInverse
	}
	q.releasedAt = now
	s.dispatch(p.request.Pool, now)
}

// releaseWeightInverse is the inverse of the weight of a new sample in
// pool.releaseInterval.
const releaseWeightInverse = 8
