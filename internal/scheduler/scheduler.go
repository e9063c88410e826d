package scheduler

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Requests that wait in one pool at most.
	queueLimit = 400
	// Waiting requests that are looked at for each place that becomes free.
	lookAhead = 12
	// Part of its objective for which a request waits at most: longer, and its answer would
	// be late anyway, while another host may have a place.
	waitPart = 0.35
	// Shortest time after which a refused caller is told to come back.
	shortestRetry = 100 * time.Millisecond
	longestRetry  = 3 * time.Second
)

// Errors of scheduling.
var (
	// ErrNone says that no upstream of the pool may be used here.
	ErrNone = errors.New("scheduler: no upstream")
	// ErrFull says that no place becomes free in time.
	ErrFull = errors.New("scheduler: no place in time")
)

// Full is ErrFull with the time at which a place is expected.
type Full struct {
	Pool  string
	Retry time.Duration
}

// Error returns the pool and when to come back.
func (f *Full) Error() string {
	return fmt.Sprintf("pool %q has no place in time, one is expected in %v", f.Pool, f.Retry)
}

// Unwrap makes a Full an ErrFull.
func (f *Full) Unwrap() error { return ErrFull }

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int64
}

// Work is what the choice depends on.
type Work struct {
	Pool string
	// Parts are the prompt's parts in order; the last one is the request's own.
	Parts []Part
	// Input and Output are tokens of the prompt and at most of the answer.
	Input, Output int64
	// Rank orders waiting requests, 0 first.
	Rank int
	// Objective and Deadline are times of the timer's clock.
	Objective, Deadline time.Duration
	// Late says that the objective had passed, or nearly, when the request arrived.
	Late bool
	// Careful asks for an upstream without recent failures: the work cannot be repeated.
	Careful bool
	// Excluded names upstreams that failed for this request.
	Excluded map[string]bool
}

// Scheduler chooses among the upstreams of one region. Set the exported fields before use.
type Scheduler struct {
	Timer *timer.Service
	// Config returns the configuration in force.
	Config func() *configurer.Snapshot
	// Owns reports whether this host is the one that sends work to a cold upstream.
	Owns func(upstream string) bool
	// Hosts returns how many hosts of the region share its upstreams. Nil: only this one.
	Hosts func() int
	// Random returns a number in [0, n). Nil: the global generator.
	Random func(n int) int

	mu        sync.Mutex
	upstreams map[string]*upstream // by name; guarded by mu
	ordered   []*upstream          // the same, by name; guarded by mu
	pools     map[string]*pool     // guarded by mu
	part      float64              // of the places that this host may take; 0: not known; guarded by mu
}

// pool is the queue of one pool.
type pool struct {
	waiting []*waiter
	// release is a moving average of the time between two places becoming free.
	release time.Duration
	freed   time.Duration
	// slow is the time after which few first tokens are still to come.
	slow time.Duration
}

type waiter struct {
	work  *Work
	since time.Duration
	place *Place
	done  chan struct{}
}

// Place is room for one request at an upstream. End must be called once.
type Place struct {
	// Name and Address are the upstream's.
	Name, Address string
	// Expected is when the first token was expected, counted from the decision.
	Expected time.Duration
	// Cached are the prompt's tokens that the upstream is thought to hold.
	Cached int64
	// Running is how many requests ran there, of this host and of others.
	Running int
	// Agreed says that all hosts send its shared parts there, Passed why the upstream agreed
	// on was not taken.
	Agreed bool
	Passed Reason

	scheduler *Scheduler
	upstream  *upstream
	work      *Work
	begun     time.Duration
	reading   int64
	first     bool
}

// Acquire returns a place for work, waiting for one if that helps.
func (s *Scheduler) Acquire(ctx context.Context, w *Work) (*Place, error) {
	x, err := s.enter(w)
	if err != nil || x.place != nil {
		return x.takePlace(), err
	}
	late := make(chan struct{})
	cancel := s.Timer.Once(s.patience(w), func() { close(late) })
	defer cancel()
	select {
	case <-x.done:
		return x.place, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-late:
		err = s.full(w)
	}
	if s.leave(x) {
		return nil, err
	}
	return x.place, nil // the place was given in the same moment
}

func (x *waiter) takePlace() *Place {
	if x == nil {
		return nil
	}
	return x.place
}

// patience is how long a request waits for a place.
func (s *Scheduler) patience(w *Work) time.Duration {
	now := s.Timer.Now()
	return min(w.Deadline-now, max(shortestRetry, time.Duration(float64(w.Objective-now)*waitPart)))
}

func (s *Scheduler) enter(w *Work) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	p := s.pool(w.Pool)
	x := &waiter{work: w, since: now, done: make(chan struct{})}
	candidates := s.candidates(w, now)
	if len(candidates) == 0 {
		return nil, ErrNone
	}
	if !p.ahead(w) {
		if x.place = s.place(w, candidates, now); x.place != nil {
			return x, nil
		}
	}
	if wait := p.expect(len(p.waiting)); wait > s.patience(w) || len(p.waiting) >= queueLimit {
		return nil, &Full{Pool: w.Pool, Retry: bound(wait)}
	}
	at, _ := slices.BinarySearchFunc(p.waiting, w, func(y *waiter, w *Work) int { return order(y.work, w) })
	p.waiting = slices.Insert(p.waiting, at, x)
	return x, nil
}

// order sorts waiting work: by rank, then what can still be in time before what cannot,
// then by objective.
func order(a, b *Work) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), late(a)-late(b), cmp.Compare(a.Objective, b.Objective), -1)
}

func late(w *Work) int {
	if w.Late {
		return 1
	}
	return 0
}

// ahead reports whether a waiting request goes before w.
func (p *pool) ahead(w *Work) bool { return len(p.waiting) > 0 && order(p.waiting[0].work, w) < 0 }

// expect returns how long a request behind n others waits for a place.
func (p *pool) expect(n int) time.Duration { return p.release * time.Duration(n+1) }

func bound(d time.Duration) time.Duration { return min(longestRetry, max(shortestRetry, d)) }

func (s *Scheduler) full(w *Work) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(w.Pool)
	return &Full{Pool: w.Pool, Retry: bound(p.expect(len(p.waiting)))}
}

func (s *Scheduler) leave(x *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.place != nil {
		return false
	}
	p := s.pool(x.work.Pool)
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

// dispatch gives free places to those that wait. The caller holds mu.
func (s *Scheduler) dispatch(name string, now time.Duration) {
	p := s.pool(name)
	for at, looked := 0, 0; at < len(p.waiting) && looked < lookAhead; looked++ {
		x := p.waiting[at]
		place := s.place(x.work, s.candidates(x.work, now), now)
		if place == nil {
			at++
			continue
		}
		x.place = place
		p.waiting = slices.Delete(p.waiting, at, at+1)
		close(x.done)
	}
}

// Wake looks again at those that wait: something changed.
func (s *Scheduler) Wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	for name, p := range s.pools {
		if len(p.waiting) > 0 {
			s.dispatch(name, now)
		}
	}
}

// Outlook is what the region can do for a pool's work now.
type Outlook struct {
	// Slots is the sum of what may be used, Load the part of them that is taken.
	Slots int
	Load  float64
}

// Look returns the outlook for work without taking a place.
func (s *Scheduler) Look(w *Work) Outlook {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := len(s.pool(w.Pool).waiting)
	o := Outlook{}
	for _, u := range s.candidates(w, s.Timer.Now()) {
		taken += u.running + u.otherRunning
		o.Slots += int(u.said.Slots)
	}
	o.Load = float64(taken) / float64(max(1, o.Slots))
	return o
}

// Alive reports whether anything came from the upstream since the place was taken.
func (p *Place) Alive() bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.upstream.sign > p.begun
}

// Sign notes that something came from the upstream.
func (p *Place) Sign() {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	p.upstream.sign = s.Timer.Now()
}

// First notes that the answer, or its first event, has come.
func (p *Place) First() {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.first {
		return
	}
	p.first = true
	now := s.Timer.Now()
	p.upstream.sign = now
	p.upstream.reading -= p.reading
	p.upstream.learn(p, now-p.begun)
	s.pool(p.work.Pool).wait(now - p.begun)
	s.dispatch(p.work.Pool, now)
}

// Slow returns the time after which few first tokens of the pool are still to come, as
// lately seen here; 0: none was seen.
func (p *Place) Slow() time.Duration {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool(p.work.Pool).slow
}

// Abandon notes that no first token was waited for any longer.
func (p *Place) Abandon() {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(p.work.Pool).wait(s.Timer.Now() - p.begun)
}

// wait learns from a first token that came, or did not come, within d.
func (p *pool) wait(d time.Duration) {
	switch {
	case p.slow == 0:
		p.slow = d
	case d >= p.slow:
		p.slow += time.Duration(float64(p.slow) * slowStep * (1 - slowPart))
	default:
		p.slow -= time.Duration(float64(p.slow) * slowStep * slowPart)
	}
}

// End gives the place back.
func (p *Place) End(o Outcome) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	u := p.upstream
	u.running--
	u.permits++
	u.tokens -= p.work.Input + p.work.Output
	if !p.first {
		u.reading -= p.reading
	}
	u.note(o, now)
	if o == Answered {
		u.residence += time.Duration(learnWeight * float64(now-p.begun-u.residence))
	}
	q := s.pool(p.work.Pool)
	if q.freed > 0 {
		q.release += (now - q.freed - q.release) / releaseWeight
	}
	q.freed = now
	s.dispatch(p.work.Pool, now)
}

// releaseWeight is the inverse weight of a new sample in the average time between releases.
const releaseWeight = 8
