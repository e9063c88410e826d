package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Prompt tokens read in a second before any upstream of the pool was measured; the
	// learned factor corrects it.
	firstReadRate = 40_000
	// Time from the decision to a first token besides reading, before any was measured.
	firstOverhead = 30 * time.Millisecond
	// Time that an engine takes for one token of an answer, before any was measured.
	firstTokenTime = 8 * time.Millisecond
	// Weight of a new sample in an average.
	learnWeight = 0.1
	// Part of the first tokens that come sooner than the learned factor says. A low one tells
	// how fast an engine is; the slower ones waited behind work of other hosts.
	quickPart = 0.4
	// Step by which the learned factor follows a sample, as a part of it.
	factorStep = 0.1
	// Part of the first tokens of a pool that come later than the learned slow time.
	slowPart = 0.05
	// Step by which the learned slow time follows a sample, as a part of it.
	slowStep = 0.05
	// Bounds of the learned factor.
	slowest, fastest = 20.0, 0.2
	// Part of the slots up to which a host needs no permit.
	permitFree = 0.5
	// Most permits that are kept.
	permitCap = 1.0
	// Part of an engine's memory that running requests may fill.
	memoryPart = 0.92
	// Requests beyond its slots that a plain service may hold, as a part of the slots.
	serviceQueue = 0.5
	// Requests beyond its slots that an engine may hold, as a part of the slots.
	engineQueue = 0.25
	// Weight of a failure in an upstream's failure rate.
	failWeight = 0.25
	// Failure rate above which careful work avoids an upstream.
	carefulRate = 0.15
	// Longest time for which an upstream that failed repeatedly is passed over.
	longestBan = 4 * time.Second
	firstBan   = 300 * time.Millisecond
	// Part of a cold upstream's stated rate that is used.
	coldPart = 0.85
	// Time that a new owner of a cold upstream waits, so that the earlier one has stopped.
	coldHandover = time.Second
	// Weight of the time that an upstream spends on reading shared parts again, besides the
	// request's own wait: the others that run there wait for it too.
	rereadWeight = 4.0
	// What one running request costs a new one: both are slowed down in every step.
	runningCost = 3 * time.Millisecond
	// Upstreams compared for a request, besides the one agreed on.
	sampleSize = 4
	// Part of its objective within which a request's first token must be expected for an
	// upstream to take it while others wait.
	roomPart = 0.5
	// The same at the upstream that holds the shared parts: to read them elsewhere costs the
	// engines more than the wait costs the caller.
	agreedRoom = 0.75
	// The same for requests that are late already.
	lateRoom = 150 * time.Millisecond
)

// Outcome is how a request fared at an upstream.
type Outcome int

// The outcomes.
const (
	// Answered is a whole answer that is no failure.
	Answered Outcome = iota
	// Failed is an answer that says that the upstream failed, or none.
	Failed
	// Refused says that the upstream was full or leaving.
	Refused
	// Unreached says that no connection could be made.
	Unreached
	// Replaced says that another upstream has the address now.
	Replaced
	// Left says that the caller went away.
	Left
)

// upstream is what this host knows of an upstream.
type upstream struct {
	said *schema.Announcement
	// running, tokens and reading are this host's own requests, their tokens, and prompt
	// tokens that are still to be read.
	running int
	tokens  int64
	reading int64
	// others are the same of other hosts, as last told.
	otherRunning int
	otherReading int64
	// permits are requests that this host may send before it hears of others' work again.
	permits float64
	// factor is how much longer first tokens take than predicted.
	factor float64
	// service is the average time of a plain answer, residence that of a request at an engine.
	service   time.Duration
	residence time.Duration
	cache     cache
	// sign is when something last came from it.
	sign time.Duration
	// failures is the rate of failures; banned is until when the upstream is passed over.
	failures float64
	streak   int
	banned   time.Duration
	// cold is until when it is cold; allowed is when the next request may go there.
	cold    time.Duration
	owned   time.Duration // since when this host owns it; 0: it does not
	allowed time.Duration
}

// Update puts the upstreams of the region in place.
func (s *Scheduler) Update(all []*schema.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upstreams == nil {
		s.upstreams = map[string]*upstream{}
	}
	now := s.Timer.Now()
	named := map[string]bool{}
	for _, a := range all {
		named[a.Name] = true
		u := s.upstreams[a.Name]
		if u == nil || u.said.Incarnation != a.Incarnation {
			fresh := &upstream{factor: 1}
			if u != nil {
				// Requests that run at the earlier process end on the old record.
				fresh.otherRunning = u.otherRunning
			}
			u = fresh
			s.upstreams[a.Name] = u
		}
		if u.said != a {
			if a.Cold > 0 {
				u.cold = max(u.cold, now+time.Duration((a.Cold-a.Age)*float64(time.Second)))
			}
			if u.said != nil && u.said.Silent && !a.Silent {
				u.banned, u.streak = 0, 0
			}
			u.said = a
		}
	}
	for name := range s.upstreams {
		if !named[name] {
			delete(s.upstreams, name)
		}
	}
	s.ordered = slices.SortedFunc(maps.Values(s.upstreams), func(a, b *upstream) int {
		return cmp.Compare(a.said.Name, b.said.Name)
	})
	for name, p := range s.pools {
		if len(p.waiting) > 0 {
			s.dispatch(name, now)
		}
	}
}

// Chill treats the upstreams of a failure domain as cold: they may have become so unseen.
func (s *Scheduler) Chill(domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	for _, u := range s.upstreams {
		if u.said.Domain == domain {
			u.cold = max(u.cold, now+s.warmup(u))
		}
	}
}

func (s *Scheduler) warmup(u *upstream) time.Duration {
	return time.Duration(s.Config().Pool(u.said.Pool).GetWarmup() * float64(time.Second))
}

// Loads puts in place what other hosts have under way.
func (s *Scheduler) Loads(loads []*schema.PoolLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		u.otherRunning, u.otherReading = 0, 0
	}
	for _, l := range loads {
		for name, n := range l.Running {
			if u := s.upstreams[name]; u != nil {
				u.otherRunning = int(n)
			}
		}
		for name, n := range l.Reading {
			if u := s.upstreams[name]; u != nil {
				u.otherReading = n
			}
		}
	}
	s.part = 1
	if s.Hosts != nil {
		s.part = 1 / float64(max(1, s.Hosts()))
	}
	for _, u := range s.upstreams {
		u.permit(s.part)
	}
}

// permit adds this host's part of the slots that an upstream has left. Many hosts see the
// same slot at once; if each took it, the upstream's queue would grow by their number.
func (u *upstream) permit(part float64) {
	left := part * float64(int(u.said.Slots)-u.running-u.otherRunning)
	if left > 0 {
		u.permits = math.Min(math.Max(permitCap, left), u.permits+left)
	}
}

// permitted reports whether this host may send one more request to an engine.
func (s *Scheduler) permitted(u *upstream, slots, running int) bool {
	return s.part == 0 || s.part == 1 || u.permits >= 1 || float64(running) < float64(slots)*permitFree
}

// Report returns what this host has under way, by pool.
func (s *Scheduler) Report() []*schema.PoolLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	sums := map[string]*schema.PoolLoad{}
	of := func(pool string) *schema.PoolLoad {
		if sums[pool] == nil {
			sums[pool] = &schema.PoolLoad{Pool: pool, Running: map[string]int32{}, Reading: map[string]int64{}}
		}
		return sums[pool]
	}
	for name, u := range s.upstreams {
		if u.running > 0 {
			of(u.said.Pool).Running[name] = int32(u.running)
		}
		if u.reading > 0 {
			of(u.said.Pool).Reading[name] = u.reading
		}
	}
	for name, p := range s.pools {
		if len(p.waiting) > 0 {
			of(name).Waiting = int32(len(p.waiting))
		}
	}
	var out []*schema.PoolLoad
	for _, l := range sums {
		out = append(out, l)
	}
	return out
}

// place takes room for work at the best upstream, or returns nil.
func (s *Scheduler) place(w *Work, candidates []*upstream, now time.Duration) *Place {
	o := s.best(w, candidates, now)
	if o == nil {
		return nil
	}
	u := o.upstream
	p := &Place{
		Name: u.said.Name, Address: u.said.Address, Expected: o.expected, Cached: o.cached,
		Running: u.running + u.otherRunning,
		Agreed:  o.agreed, Passed: o.passed,
		scheduler: s, upstream: u, work: w, begun: now, reading: o.uncached,
	}
	if now < u.cold {
		rate := s.Config().Pool(w.Pool).GetColdrate() * coldPart
		u.allowed = now + time.Duration(float64(time.Second)/math.Max(rate, 0.1))
	}
	u.running++
	u.permits--
	u.tokens += w.Input + w.Output
	u.reading += p.reading
	u.cache.add(w.Parts, now, s.Config().Pool(w.Pool).GetEngine().GetTokens())
	return p
}

// learn corrects the prediction by a first token that came after d.
func (u *upstream) learn(p *Place, d time.Duration) {
	if len(p.work.Parts) == 0 && p.work.Input == 0 {
		if u.service == 0 {
			u.service = d
		}
		u.service += time.Duration(learnWeight * float64(d-u.service))
		return
	}
	if p.Expected <= 0 {
		return
	}
	step := factorStep * quickPart
	if float64(d) < float64(p.Expected) {
		step = -factorStep * (1 - quickPart)
	}
	u.factor = math.Min(slowest, math.Max(fastest, u.factor*(1+step)))
}

// note counts an outcome.
func (u *upstream) note(o Outcome, now time.Duration) {
	switch o {
	case Answered:
		u.failures -= failWeight * u.failures
		u.streak = 0
	case Failed, Unreached:
		u.failures += failWeight * (1 - u.failures)
		u.streak++
		if u.streak >= 3 || o == Unreached {
			u.banned = now + min(longestBan, firstBan<<min(u.streak, 5))
		}
	case Replaced:
		u.banned = now + longestBan
	case Refused:
		u.banned = max(u.banned, now+firstBan/2)
	}
}
