package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/estimator"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// explanationDraws is the number of random choices from which an explanation counts how often each upstream is chosen:
// the standard error of a chance is at most 6 %. Among 250 engines they take some milliseconds.
const explanationDraws = 64

// Explanation is what would become of a request now.
type Explanation struct {
	// Upstream is the one that is chosen most often; empty if none has room. Certain is set if all draws chose it.
	Upstream string
	Certain  bool
	// Err is the error with which Acquire would refuse the request at once; nil otherwise.
	Err error
	// Wait is the expected wait for a slot if the request would wait for one, Limit the longest.
	Wait, Limit time.Duration
	Waits       bool
	// Waiting is the number of requests of this host that wait in the pool. Ordered is set if they are ordered by
	// customer, which an explanation leaves out.
	Waiting int
	Ordered bool
	// Loads is the time since the load of the other hosts was received; negative if it never was.
	Loads     time.Duration
	Upstreams []ExplainedUpstream
}

// ExplainedUpstream is an upstream of the request's pool as it was considered.
type ExplainedUpstream struct {
	UpstreamState
	// Reason says why it cannot take the request now although it is a candidate.
	Reason Reason
	// Candidate is set if it belongs to the group that is chosen from, Preferred if all hosts choose it for the shared prefix.
	Candidate, Preferred bool
	// Chance is how often it is chosen.
	Chance float64
	// Expected is the time until the first token, Cost that by which upstreams are compared; 0 with a reason.
	Expected, Cost time.Duration
	// Uncached is the number of tokens of the prompt that it must read, Cached that of those that it has.
	Uncached, Cached int64
	// Estimate is what the prediction rests on in adaptive mode.
	Estimate estimator.Estimate
}

// UpstreamState is what this host knows of an upstream.
type UpstreamState struct {
	Name, Pool string
	// Condition is for a request with no other requirement than the pool, or for the one that is explained.
	Condition Condition
	Slots     int
	// Running counts the requests of this host, Others those of the other hosts, as last reported.
	Running, Others int
	// Age is the age of the announcement.
	Age time.Duration
	// Memory is the number of tokens that an engine's memory holds; 0: not stated.
	Memory int64
	// Engine holds the estimates of an engine; nil unless in adaptive mode.
	Engine *EngineState
}

// Explain returns what would become of w now. It reserves nothing, and nothing that the Scheduler has learned or counted
// changes: the functions that decide run on a copy.
func (s *Scheduler) Explain(w *Request) *Explanation {
	c, waiting, now := s.copyFor(w)
	c.mu.Lock() // as the functions require; nothing else has the copy
	defer c.mu.Unlock()
	o := &Explanation{Waiting: waiting, Ordered: s.fairQueues(), Loads: c.loadsAge(now)}
	candidates := c.candidates(w, now)
	preferred := (*upstream)(nil)
	if c.Config().Pool(w.Pool).GetEngine() != nil {
		preferred = preferredUpstream(w, candidates)
	}
	chances := c.chances(w, candidates, now)
	for _, u := range c.sortedUpstreams {
		x := ExplainedUpstream{Preferred: u == preferred, Chance: chances[u.announcement.Name]}
		if x.Candidate = slices.Contains(candidates, u); x.Candidate {
			var p *prediction
			if p, x.Reason = c.predict(w, u, x.Preferred, now); p != nil {
				x.Expected, x.Cost, x.Uncached, x.Cached, x.Estimate = p.expectedDelay, p.cost, p.uncachedTokens, p.cachedTokens, p.estimate
			}
		}
		x.UpstreamState = c.stateOf(u, w, now)
		o.Upstreams = append(o.Upstreams, x)
	}
	entered, err := c.reserveOrEnqueue(w)
	switch {
	case err != nil:
		o.Err = err
	case entered.reservation == nil:
		o.Waits, o.Limit = true, c.waitLimit(w)
		o.Wait = c.pool(w.Pool).expectedWait(o.Waiting)
	default:
		likeliest := slices.MaxFunc(o.Upstreams, func(a, b ExplainedUpstream) int {
			return cmp.Or(cmp.Compare(a.Chance, b.Chance), cmp.Compare(b.Name, a.Name))
		})
		o.Upstream, o.Certain = likeliest.Name, likeliest.Chance == 1
	}
	return o
}

// chances returns how often each of the candidates is chosen, by name.
func (s *Scheduler) chances(w *Request, candidates []*upstream, now time.Duration) map[string]float64 {
	chances := map[string]float64{}
	for range explanationDraws {
		p := s.best(w, candidates, now)
		if p == nil {
			break // random choices extend to all candidates if none of a sample has room
		}
		chances[p.upstream.announcement.Name] += 1. / explanationDraws
	}
	return chances
}

// copyFor returns a Scheduler with what a decision on w depends on, at a time that does not pass, the number of requests
// that wait in the pool, and that time. Its random choices are its own, and it does not order requests by customer.
func (s *Scheduler) copyFor(w *Request) (c *Scheduler, waiting int, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.Timer.Now()
	config := s.Config()
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(now)
	adaptive := s.Adaptive != nil && s.Adaptive()
	random := rand.New(rand.NewPCG(uint64(now), 0))
	c = &Scheduler{
		Timer: clock, Config: func() *configurer.Snapshot { return config }, OwnsCold: s.OwnsCold, OwnerRank: s.OwnerRank, HostCount: s.HostCount,
		DrainTime: s.DrainTime, Adaptive: func() bool { return adaptive }, Random: random.IntN,
		upstreams: map[string]*upstream{}, pools: map[string]*pool{}, loadsAt: s.loadsAt, slotFraction: s.slotFraction,
	}
	speed := &estimator.Speed{}
	if x := s.expect.speeds[w.Pool]; x != nil {
		*speed = *x
	}
	c.expect.speeds = map[string]*estimator.Speed{w.Pool: speed}
	if t := s.expect.times[w.Sizing.Route]; t != nil {
		x := *t
		c.expect.times = map[string]*routeTime{w.Sizing.Route: &x}
	}
	s.expectedOutput(w, now) // sets w.output, which is used as long as the time is the same
	if p := s.pools[w.Pool]; p != nil {
		waiting = p.queued()
		c.pools[w.Pool] = &pool{waiting: slices.Clone(p.waiting), releaseInterval: p.releaseInterval, releasedAt: p.releasedAt, slowDelay: p.slowDelay, brittle: p.brittle, tokens: p.tokens}
	}
	for _, u := range s.sortedUpstreams {
		if u.announcement.Pool == w.Pool {
			x := u.copyFor(w, speed)
			c.upstreams[x.announcement.Name] = x
			c.sortedUpstreams = append(c.sortedUpstreams, x)
		}
	}
	return c, waiting, now
}

// copyFor returns a copy with which a decision on w can be tried.
func (u *upstream) copyFor(w *Request, speed *estimator.Speed) *upstream {
	c := *u
	c.cache.parts = map[string]*cachedPart{}
	for _, p := range w.Parts {
		if x := u.cache.parts[p.ID]; x != nil {
			k := *x
			c.cache.parts[p.ID] = &k
		}
	}
	if u.engine != nil {
		c.engine = u.engine.Copy(speed, w.Parts)
	}
	return &c
}

// UpstreamStates returns what this host knows of all upstreams of the region, sorted by name.
func (s *Scheduler) UpstreamStates() []UpstreamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	var all []UpstreamState
	for _, u := range s.sortedUpstreams {
		all = append(all, s.stateOf(u, &Request{Pool: u.announcement.Pool}, now))
	}
	return all
}

// LoadsAge returns the time since the load of the other hosts was received; negative if it never was.
func (s *Scheduler) LoadsAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadsAge(s.Timer.Now())
}

func (s *Scheduler) loadsAge(now time.Duration) time.Duration {
	if s.slotFraction == 0 {
		return -1
	}
	return now - s.loadsAt
}

// stateOf returns the state of an upstream for w. The caller holds mu.
func (s *Scheduler) stateOf(u *upstream, w *Request, now time.Duration) UpstreamState {
	a := u.announcement
	engine := s.Config().Pool(a.Pool).GetEngine()
	x := UpstreamState{
		Name: a.Name, Pool: a.Pool, Condition: s.conditionOf(s.Config(), u, w, now), Slots: int(a.Slots), Running: u.running, Others: u.otherRunning,
		Age: timer.Seconds(a.Age), Memory: engine.GetTokens(),
	}
	g := u.engine
	if engine != nil && g == nil && s.Adaptive != nil && s.Adaptive() {
		g = u.newEngine(s.expect.speeds[a.Pool])
		g.Slots, g.Tokens, g.Stride = int(engine.Slots), engine.Tokens, int(engine.Stride)
	}
	if g != nil {
		e := u.engineState(g, now)
		x.Engine = &e
	}
	return x
}
