package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/estimator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Weight, in the cost of a choice, of the time that the request occupies its slot, at an engine with all slots
	// in use. It is small, as a slot that is in use costs nobody anything until the last one is taken.
	slotTimeWeight = 0.03
	// Weight of the delay that the choice causes to the requests that run there. Most of them have had their first
	// event, for which callers wait, and only get the next ones later.
	causedWeight = 0.1
	// Weight of the time in which the engine reads shared parts that another one has cached: all requests that come
	// after wait for it, of which half of 16 slots is assumed.
	sharedReadWeight = 8
)

// adaptiveInterval is the time for which the result of Adaptive is used, so that a placement that compares many
// engines asks once. What it depends on changes with the configuration or the hosts' announcements.
const adaptiveInterval = 100 * time.Millisecond

// IsAdaptive reports whether engines are chosen by the expected cost of requests.
func (s *Scheduler) IsAdaptive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.adaptive(s.Timer.Now())
}

// adaptive is IsAdaptive for a caller that holds mu.
func (s *Scheduler) adaptive(now time.Duration) bool {
	if s.Adaptive == nil {
		return false
	}
	if x := &s.expect; !x.adaptiveKnown || now-x.adaptiveAt >= adaptiveInterval {
		x.adaptive, x.adaptiveKnown, x.adaptiveAt = s.Adaptive(), true, now
	}
	return s.expect.adaptive
}

// expectations is what the scheduler learns to estimate the cost of requests. The zero value is ready for use.
type expectations struct {
	outputs estimator.Outputs
	speeds  map[string]*estimator.Speed // of the engines of a pool together, by pool
	metrics *EstimateMetrics
	times   map[string]*routeTime // of plain requests, by route
	// adaptive is the result of Scheduler.Adaptive at adaptiveAt, if adaptiveKnown is set.
	adaptive, adaptiveKnown bool
	adaptiveAt              time.Duration
}

// speed returns the common speed of the engines of a pool.
func (x *expectations) speed(pool string) *estimator.Speed {
	if x.speeds == nil {
		x.speeds = map[string]*estimator.Speed{}
	}
	if x.speeds[pool] == nil {
		x.speeds[pool] = &estimator.Speed{}
	}
	return x.speeds[pool]
}

// engineOf returns the estimates of an engine's process.
func (s *Scheduler) engineOf(u *upstream, engine *schema.Engine) *estimator.Engine {
	if u.engine == nil {
		u.engine = u.newEngine(s.expect.speed(u.announcement.Pool))
	}
	u.engine.Slots, u.engine.Tokens, u.engine.Stride = int(engine.Slots), engine.Tokens, int(engine.Stride)
	return u.engine
}

// newEngine returns the estimates of a process that was not chosen among yet. Pool is the speed of its pool; nil if nothing
// is known of that.
func (u *upstream) newEngine(pool *estimator.Speed) *estimator.Engine {
	g := &estimator.Engine{Speed: estimator.Speed{Pool: pool}}
	g.SetOthers(u.others)
	return g
}

// expectedOutput returns what is expected of the answer's length.
func (s *Scheduler) expectedOutput(w *Request, now time.Duration) estimator.Output {
	if w.output.Max == 0 || w.outputAt != now {
		k := w.Sizing
		if k.Max == 0 {
			k.Max = w.OutputTokens
		}
		w.output, w.outputAt = s.expect.outputs.Output(k, now), now
	}
	return w.output
}

// predictWork is predict by the expected cost of w and the work left at the engine.
func (s *Scheduler) predictWork(w *Request, u *upstream, engine *schema.Engine, preferred bool, now time.Duration) (*prediction, Reason) {
	running, slots, queueLimit := u.running+u.otherRunning, int(engine.Slots), 0
	if preferred {
		queueLimit = int(float64(slots) * engineQueueFraction)
	}
	if running >= slots+queueLimit {
		return nil, ReasonSlots
	}
	if !preferred && !s.withinSlotQuota(u, slots, running) {
		return nil, ReasonQuota
	}
	uncached, cached := u.cache.countTokens(w.Parts, w.InputTokens)
	if preferred {
		uncached = min(uncached, ownTokens(w))
		cached = w.InputTokens - uncached
	}
	g := s.engineOf(u, engine)
	r := estimator.Request{Parts: w.Parts, Uncached: boundedTokens(uncached), Own: boundedTokens(ownTokens(w)), Output: s.expectedOutput(w, now)}
	e := g.Estimate(&r, now)
	if running > 0 && engine.Tokens > 0 && e.Held+e.Needed-int64(r.Output.High-r.Output.Mean) > engine.Tokens {
		return nil, ReasonMemory
	}
	maxFraction := maxDelayFraction
	if preferred {
		maxFraction = preferredMaxDelayFraction
		if own := ownTokens(w); w.InputTokens-own > own {
			maxFraction = 1 // read elsewhere, the shared parts would take more of the engines than the request itself
		}
	}
	if maxDelay := time.Duration(float64(w.ObjectiveAt-now) * maxFraction); running > 0 && e.FirstEvent > max(maxDelay, minDelayBound) {
		return nil, ReasonSlow
	}
	reread := g.Speed.Prefill(max(0, uncached-r.Own))
	occupancy := min(1, float64(running)/float64(max(1, slots)))
	cost := e.FirstEvent + e.Loss + time.Duration(float64(reread)*sharedReadWeight+float64(e.Caused)*causedWeight+float64(e.SlotTime)*slotTimeWeight*occupancy)
	return &prediction{upstream: u, expectedDelay: e.FirstEvent, cost: cost, uncachedTokens: uncached, cachedTokens: cached, preferred: preferred, estimate: e}, ReasonNone
}

// Most routes whose response times are kept, at some 100 bytes.
const maxRouteTimes = 4096

// routeTime is the average response time of plain requests of a route, at whichever upstream.
type routeTime struct {
	average time.Duration
	usedAt  time.Duration
}

// expectedService returns the response time that w may expect of a plain service without a queue; 0 if it is not
// known. In adaptive mode it is that of the route, times what the upstream is slower for all routes: else one
// that happens to get the slow routes would look slow itself.
func (s *Scheduler) expectedService(w *Request, u *upstream, now time.Duration) time.Duration {
	if t := s.expect.times[w.Sizing.Route]; t != nil && s.adaptive(now) {
		ratio := u.serviceRatio
		if ratio == 0 {
			ratio = 1
		}
		return time.Duration(float64(t.average) * ratio)
	}
	return u.serviceTime
}

// learnService records the response time of a plain request. The caller holds mu.
func (s *Scheduler) learnService(p *Reservation, now time.Duration) {
	w, u, d := p.request, p.upstream, now-p.reservedAt
	if w.Sizing.Route == "" || d <= 0 || s.Config().Pool(w.Pool).GetEngine() != nil || !s.adaptive(now) {
		return
	}
	x := &s.expect
	if x.times == nil {
		x.times = map[string]*routeTime{}
	}
	t := x.times[w.Sizing.Route]
	if t == nil {
		if len(x.times) >= maxRouteTimes {
			oldest := ""
			for route, k := range x.times {
				if oldest == "" || k.usedAt < x.times[oldest].usedAt {
					oldest = route
				}
			}
			delete(x.times, oldest)
		}
		t = &routeTime{average: d}
		x.times[w.Sizing.Route] = t
	}
	if u.serviceRatio == 0 {
		u.serviceRatio = 1
	}
	// The ratio is bounded, so that one response that hung does not decide for long.
	ratio := math.Min(maxDelayFactor, math.Max(minDelayFactor, d.Seconds()/t.average.Seconds()))
	u.serviceRatio += sampleWeight * (ratio - u.serviceRatio)
	t.average += time.Duration(sampleWeight * float64(time.Duration(d.Seconds()/u.serviceRatio*float64(time.Second))-t.average))
	t.average = max(t.average, time.Microsecond)
	t.usedAt = now
}

// startRun records that p's request is sent by the expected cost o.
func (p *Reservation) startRun(o *prediction, now time.Duration) {
	u, w := p.upstream, p.request
	engine := p.scheduler.Config().Pool(w.Pool).GetEngine()
	if engine == nil || !p.scheduler.adaptive(now) {
		return
	}
	p.Estimate = &o.estimate
	g := p.scheduler.engineOf(u, engine)
	p.run = g.Start(estimator.Request{Parts: w.Parts, Uncached: boundedTokens(o.uncachedTokens), Own: boundedTokens(ownTokens(w)), Output: w.output}, o.estimate, now)
	p.stride = max(1, int(engine.Stride))
}

// RecordEvents records that events of the answer were received. Call it before RecordFirstToken.
func (p *Reservation) RecordEvents(events int) {
	if p.run == nil || events <= 0 {
		return
	}
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	if !p.firstTokenReceived {
		s.expect.metrics.observeFirst(p.Estimate.FirstEvent, now-p.reservedAt)
	}
	p.run.Events(events*p.stride, now)
}

// endRun records the end of the request and learns the length of its answer. The caller holds mu.
func (p *Reservation) endRun(o Outcome, now time.Duration) {
	if p.run == nil {
		return
	}
	p.run.End(now)
	tokens, w := p.run.Emitted(), p.request
	// A broken-off answer shows its length only as far as it is longer than expected.
	if w.Continues || w.Sizing.Route == "" || o != Answered && float64(tokens) < w.output.High {
		return
	}
	p.scheduler.expect.outputs.Observe(w.Sizing, tokens, now)
	if o == Answered {
		p.scheduler.expect.metrics.observeOutput(p.Estimate.Output, tokens)
	}
}

// updateOtherWork replaces the work and the memory of other hosts' requests. The caller holds mu.
func (s *Scheduler) updateOtherWork(loads []*schema.PoolLoad, now time.Duration) {
	if !s.adaptive(now) {
		return
	}
	for _, u := range s.upstreams {
		u.others = estimator.Others{Running: u.otherRunning, Unread: boundedTokens(u.otherUnreadTokens), ReceivedAt: now}
	}
	for _, l := range loads {
		for name, work := range l.Work {
			if u := s.upstreams[name]; u != nil {
				u.others.Work = timer.Seconds(math.Max(0, work)).Seconds()
			}
		}
		for name, tokens := range l.Held {
			if u := s.upstreams[name]; u != nil {
				u.others.Held = boundedTokens(tokens)
			}
		}
	}
	for _, u := range s.upstreams {
		if u.engine != nil {
			u.engine.SetOthers(u.others)
		}
	}
}

// boundedTokens returns a number of tokens that a caller or another host stated within the range in which sums do not overflow.
func boundedTokens(n int64) int64 { return max(0, min(n, estimator.MaxTokens)) }

// addOwnWork adds the work and the memory of this host's requests at an upstream to a report.
func (s *Scheduler) addOwnWork(l *schema.PoolLoad, name string, u *upstream) {
	if u.engine == nil || !s.adaptive(s.Timer.Now()) {
		return
	}
	if l.Work == nil {
		l.Work, l.Held = map[string]float64{}, map[string]int64{}
	}
	l.Work[name], l.Held[name] = u.engine.OwnWork().Seconds(), u.engine.OwnHeld()
}

// EngineState is what this host estimates of an engine.
type EngineState struct {
	Upstream, Pool string
	// Work is the engine time that all requests there still need, Held the tokens that they hold.
	Work time.Duration
	Held int64
	// Prefill is the time to read a token of a prompt, Step that of a step with all slots in use.
	Prefill, Step time.Duration
}

// EngineStates returns what this host estimates of the engines that it has chosen among, sorted by name.
func (s *Scheduler) EngineStates() []EngineState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	var all []EngineState
	for _, u := range s.sortedUpstreams {
		if u.engine != nil {
			all = append(all, u.engineState(u.engine, now))
		}
	}
	return slices.Clip(all)
}

func (u *upstream) engineState(g *estimator.Engine, now time.Duration) EngineState {
	return EngineState{u.announcement.Name, u.announcement.Pool, g.Work(now), g.Held(now), g.Speed.Prefill(1), g.Speed.Step(g.Slots)}
}
