package estimator

import (
	"math"
	"time"
)

const (
	// Largest number of shared parts of which it is recorded that an engine was sent them. An engine's memory holds
	// fewer of a thousand tokens.
	maxSharedParts = 256
	// Age up to which what other hosts reported counts whole: reports are 0.2 to 0.5 s old on arrival of the next. Beyond
	// it, it loses weight with reportDecay, as those requests end and what came after them is not known.
	maxReportAge = 600 * time.Millisecond
	reportDecay  = time.Second
	// Fraction by which hidden work follows a first event that came later than expected, and its bound.
	hiddenFraction = 0.5
	maxHidden      = 2 * time.Second
	// Weight of a new sample in the average engine time of a request.
	workWeight = 0.1
)

// Part is a segment of a prompt. Prompts that begin with the same parts share them in the engine's memory.
type Part struct {
	ID     string
	Tokens int64
}

// Request is what an estimate needs to know of a request.
type Request struct {
	// Parts are the segments of its prompt in order; all but the last may be shared.
	Parts []Part
	// Uncached is the number of tokens of the prompt that the engine must read, Own that of those that no other
	// request shares; at most MaxTokens.
	Uncached, Own int64
	Output        Output
}

// Others is the load of all other hosts at an engine, as last reported.
type Others struct {
	Running int
	// Unread is the number of prompt tokens to be read, Held the number of tokens that requests hold besides shared parts.
	Unread, Held int64
	// Work is the engine time that their requests still need, seconds. 0 with running requests: not reported.
	Work float64
	// ReceivedAt is the time at which the report came.
	ReceivedAt time.Duration
}

// Estimate is what a request may expect of an engine, and costs it.
type Estimate struct {
	// FirstEvent is the time until the first event, SlotTime that until the end, from the reservation.
	FirstEvent, SlotTime time.Duration
	// Work is the engine time of the request, WorkLeft that of all others that the engine has.
	Work, WorkLeft time.Duration
	// Prefill is the time in which the engine reads the tokens that it does not have.
	Prefill time.Duration
	// Caused is the sum of the delays of the requests that run beside it. Loss is the engine time that is lost as
	// requests must be preempted.
	Caused, Loss time.Duration
	// Held is the number of tokens that running requests hold, Needed the number that the request adds.
	Held, Needed int64
	// Output is the expected number of tokens of the answer.
	Output float64
	// Age is the time since other hosts' load was received.
	Age time.Duration
}

// Engine estimates the state of one engine's process. Slots, Tokens and Stride are those of its pool; set them before use.
type Engine struct {
	Slots  int
	Tokens int64 // memory; 0: not stated
	// Stride is the number of tokens of an event. The first event comes after as many steps.
	Stride int
	Speed  Speed

	running  int
	decoding int   // requests whose first event has come
	unread   int64 // prompt tokens of this host's requests
	output   float64
	held     float64 // tokens of this host's requests besides shared parts
	others   Others
	shared   map[string]*sharedPart
	// sharedTokens is the sum over shared, pinnedTokens that of the parts of running requests.
	sharedTokens, pinnedTokens int64
	// hidden is the engine time of work that first events showed at hiddenAt, and no report.
	hidden      time.Duration
	hiddenAt    time.Duration
	averageWork float64 // seconds of this host's requests; 0 before the first
}

// sharedPart is a shared part that this host sent to the engine.
type sharedPart struct {
	tokens int64
	pins   int // this host's running requests with it
	usedAt time.Duration
}

// Run is a request of this host at an engine.
type Run struct {
	engine    *Engine
	request   Request
	estimate  Estimate
	startedAt time.Duration
	eventAt   time.Duration // 0 before the first
	emitted   float64       // tokens
	left      float64       // tokens expected
	held      float64
	work      float64 // seconds, as estimated at the start
	// ahead is the number of prompt tokens that were to be read until the first event, unread the expected time
	// until then without them.
	ahead  int64
	unread time.Duration
	ended  bool
}

// SetOthers replaces the load of the other hosts.
func (g *Engine) SetOthers(o Others) { g.others = o }

// othersWeight returns how much the others' load still counts.
func (g *Engine) othersWeight(now time.Duration) float64 {
	age := now - g.others.ReceivedAt - maxReportAge
	if age <= 0 {
		return 1
	}
	return math.Exp(-age.Seconds() / reportDecay.Seconds())
}

// Batch returns the number of requests of all hosts that run.
func (g *Engine) Batch(now time.Duration) int {
	return g.running + int(math.Round(float64(g.others.Running)*g.othersWeight(now)))
}

// share returns the engine time of a step of one request: a step with all slots in use, divided by them.
func (g *Engine) share() float64 {
	slots := float64(max(1, g.Slots))
	return g.Speed.step(slots) / slots
}

// OwnWork returns the engine time that this host's requests still need, OwnHeld the tokens that they hold besides
// shared parts.
func (g *Engine) OwnWork() time.Duration { return seconds(g.ownWork()) }

func (g *Engine) ownWork() float64 {
	return g.Speed.prefillPerToken()*float64(g.unread) + g.share()*math.Max(0, g.output)
}

// OwnHeld returns the tokens that this host's requests hold besides shared parts.
func (g *Engine) OwnHeld() int64 { return int64(math.Max(0, g.held)) }

// Work returns the engine time that all requests at the engine still need.
func (g *Engine) Work(now time.Duration) time.Duration {
	return seconds(g.ownWork() + g.othersWork(now) + g.hiddenLeft(now).Seconds())
}

func (g *Engine) othersWork(now time.Duration) float64 {
	work := g.others.Work
	if work == 0 {
		// A host of an earlier version reports no work.
		work = float64(g.others.Running)*g.averageWork/2 + g.Speed.prefillPerToken()*float64(g.others.Unread)
	}
	return work * g.othersWeight(now)
}

func (g *Engine) hiddenLeft(now time.Duration) time.Duration {
	return max(0, g.hidden-(now-g.hiddenAt))
}

// Held returns the tokens that running requests of all hosts hold, each shared part once. Other hosts' requests
// share parts with this host's: they hold at most all parts that this host sent here, and at most as many tokens
// for each request as its own do.
func (g *Engine) Held(now time.Duration) int64 {
	weight := g.othersWeight(now)
	shared := g.sharedTokens
	if g.running > 0 {
		perRequest := float64(g.pinnedTokens) / float64(g.running)
		shared = min(shared, g.pinnedTokens+int64(perRequest*float64(g.others.Running)*weight))
	} else if g.others.Running == 0 {
		shared = 0
	}
	return shared + g.OwnHeld() + int64(float64(g.others.Held)*weight)
}

// Estimate returns what a request may expect of the engine now.
func (g *Engine) Estimate(r *Request, now time.Duration) Estimate {
	batch := g.Batch(now)
	step := g.Speed.step(float64(min(batch+1, max(1, g.Slots))))
	prefill := g.Speed.prefillPerToken() * float64(r.Uncached)
	weight := g.othersWeight(now)
	backlog := g.Speed.prefillPerToken() * (float64(g.unread) + float64(g.others.Unread)*weight)
	work := g.ownWork() + g.othersWork(now)
	o := Estimate{
		Work: seconds(prefill + g.share()*r.Output.Mean), WorkLeft: seconds(work) + g.hiddenLeft(now), Prefill: seconds(prefill),
		Output: r.Output.Mean, Age: now - g.others.ReceivedAt,
	}
	first := seconds(backlog+prefill+step*float64(max(1, g.Stride))+step/2) + g.hiddenLeft(now)
	if over := batch + 1 - g.Slots; over > 0 && batch > 0 {
		// The requests that run end one after another; on average each has an equal part of the work left.
		first += seconds(work / float64(batch) * float64(over))
	}
	factor, left := g.Speed.slowdown(g.decoding > 0, now)
	o.FirstEvent = stretch(first, factor, left)
	o.SlotTime = o.FirstEvent + seconds(step*r.Output.Mean)
	_, slope := g.Speed.fit()
	o.Caused = seconds((prefill + slope*r.Output.Mean) * float64(min(batch, g.Slots)))
	o.Held = g.Held(now)
	o.Needed = g.unpinned(r) + r.Own + int64(r.Output.High)
	if over := o.Held + o.Needed - g.Tokens; over > 0 && g.Tokens > 0 && batch > 0 {
		// What is preempted is read again, and its slot was used in vain: on average half of a request's work.
		o.Loss = seconds(g.Speed.prefillPerToken()*float64(over) + work/float64(batch)/2)
	}
	return o
}

// unpinned returns the tokens of shared parts of r that no running request is known to hold.
func (g *Engine) unpinned(r *Request) int64 {
	n := int64(0)
	for _, p := range r.sharedParts() {
		if k := g.shared[p.ID]; k == nil || k.pins == 0 {
			n += min(p.Tokens, MaxTokens)
		}
	}
	return n
}

func (r *Request) sharedParts() []Part { return r.Parts[:max(0, len(r.Parts)-1)] }

// Start records that this host sends a request to the engine, of which it expects o.
func (g *Engine) Start(r Request, o Estimate, now time.Duration) *Run {
	x := &Run{engine: g, request: r, estimate: o, startedAt: now, left: r.Output.Mean, held: float64(r.Own) + r.Output.High}
	x.work = g.Speed.prefillPerToken()*float64(r.Uncached) + g.share()*r.Output.Mean
	x.ahead = g.unread + int64(float64(g.others.Unread)*g.othersWeight(now)) + r.Uncached
	x.unread = max(0, o.FirstEvent-g.Speed.Prefill(x.ahead))
	g.running++
	g.unread += r.Uncached
	g.output += x.left
	g.held += x.held
	if g.shared == nil {
		g.shared = map[string]*sharedPart{}
	}
	for _, p := range r.sharedParts() {
		k := g.shared[p.ID]
		if k == nil {
			k = &sharedPart{tokens: min(p.Tokens, MaxTokens)}
			g.shared[p.ID] = k
			g.sharedTokens += k.tokens
		}
		if k.usedAt = now; k.pins == 0 {
			g.pinnedTokens += k.tokens
		}
		k.pins++
	}
	g.evict()
	return x
}

// evict removes shared parts that no request of this host holds, the least recently used first, as the engine does
// when its memory is full.
func (g *Engine) evict() {
	for len(g.shared) > maxSharedParts || g.Tokens > 0 && g.sharedTokens+g.OwnHeld()+g.others.Held > g.Tokens {
		oldest, oldestAt := "", time.Duration(math.MaxInt64)
		for id, k := range g.shared {
			if k.pins == 0 && k.usedAt < oldestAt {
				oldest, oldestAt = id, k.usedAt
			}
		}
		if oldest == "" {
			return
		}
		g.sharedTokens -= g.shared[oldest].tokens
		delete(g.shared, oldest)
	}
}

// Events records that events with a number of tokens came.
func (x *Run) Events(tokens int, now time.Duration) {
	if x.ended || tokens <= 0 {
		return
	}
	g := x.engine
	if x.eventAt == 0 {
		x.first(now)
	} else {
		g.Speed.observeStep(now-x.eventAt, float64(tokens), g.Batch(now), now)
	}
	x.eventAt = now
	x.emitted += float64(tokens)
	left := x.request.Output.left(x.emitted)
	g.output += left - x.left
	x.left = left
	held := max(x.held, float64(x.request.Own)+x.emitted)
	g.held += held - x.held
	x.held = held
}

// first records the first event.
func (x *Run) first(now time.Duration) {
	g := x.engine
	g.unread -= x.request.Uncached
	g.decoding++
	d := now - x.startedAt
	g.Speed.observePrefill(d, x.unread, x.ahead, now)
	if factor, _ := g.Speed.slowdown(false, now); factor > 1 {
		return // it came late as the engine is slow for a moment
	}
	late := d - x.estimate.FirstEvent
	g.hidden = max(0, min(maxHidden, g.hiddenLeft(now)+time.Duration(hiddenFraction*float64(late))))
	g.hiddenAt = now
}

// End records that the request has ended. It may be called more than once.
func (x *Run) End(now time.Duration) {
	if x.ended {
		return
	}
	x.ended = true
	g := x.engine
	g.running--
	if x.eventAt == 0 {
		g.unread -= x.request.Uncached
	} else {
		g.decoding--
	}
	g.output -= x.left
	g.held -= x.held
	for _, p := range x.request.sharedParts() {
		k := g.shared[p.ID]
		if k == nil {
			continue
		}
		if k.pins--; k.pins == 0 {
			g.pinnedTokens -= k.tokens
		}
	}
	if g.running == 0 {
		g.output, g.held = 0, 0 // rounding
	}
	if g.averageWork == 0 {
		g.averageWork = x.work
	}
	g.averageWork += workWeight * (x.work - g.averageWork)
}

// Emitted returns the number of tokens that came.
func (x *Run) Emitted() int64 { return int64(x.emitted) }
