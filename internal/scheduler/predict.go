package scheduler

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/estimator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// candidates returns the upstreams that may take w, from the first of these groups that is
// not empty: healthy ones; those with too high a failure rate for a request that cannot be
// repeated; those that are leaving but may still serve a request of last resort; those that are
// unresponsive or banned.
func (s *Scheduler) candidates(w *Request, now time.Duration) []*upstream {
	c := s.Config()
	var healthy, unreliable, leaving, unavailable []*upstream
	for _, u := range s.sortedUpstreams {
		switch s.conditionOf(c, u, w, now) {
		case Healthy:
			healthy = append(healthy, u)
		case Unreliable:
			unreliable = append(unreliable, u)
		case Leaving:
			leaving = append(leaving, u)
		case Unavailable:
			unavailable = append(unavailable, u)
		}
	}
	switch {
	case len(healthy) > 0:
		return healthy
	case len(unreliable) > 0:
		return unreliable
	case len(leaving) > 0:
		return leaving
	}
	return unavailable
}

// Condition says in which group of candidates an upstream is for a request, or why it is in none.
type Condition int

// Conditions of upstreams. The first four are the groups of candidates, the best first.
const (
	Healthy     Condition = iota
	Unreliable            // too high a failure rate for a request that cannot be repeated
	Leaving               // it may still serve a request of last resort
	Unavailable           // unresponsive or banned
	Left                  // it is leaving and may get nothing
	Paused                // it wants nothing from this host for a while
	Doubtful              // another process may serve under its name
	Other                 // it belongs to another pool
	Avoided               // the request may not run at this process
	Tried                 // the request has failed there
	Gone
	Version // its software has not the version that the request needs
	Evacuated
)

var conditionNames = [...]string{
	"healthy", "unreliable", "leaving", "unavailable", "left", "paused", "doubtful", "other", "avoided", "tried", "gone", "version", "evacuated",
}

// String returns the name of the condition.
func (x Condition) String() string { return conditionNames[x] }

// conditionOf returns the condition of an upstream for w.
func (s *Scheduler) conditionOf(c *configurer.Snapshot, u *upstream, w *Request, now time.Duration) Condition {
	a := u.announcement
	if x, unusable := unusable(c, u, w); unusable {
		return x
	}
	switch {
	case u.paused(now):
		return Paused
	case w.Software != nil && u.doubtful(now):
		return Doubtful
	case w.TurnedAway && s.isBrittle(u, now):
		return Tried
	case u.leaving() && s.usableAsLastResort(u, w, now):
		return Leaving
	case u.leaving():
		return Left
	case a.Silent || now < u.bannedUntil:
		return Unavailable
	case w.Unrepeatable && u.failureRate > maxFailureRate:
		return Unreliable
	}
	return Healthy
}

// usable reports whether an upstream may take w at all, whatever its state is now.
func usable(c *configurer.Snapshot, u *upstream, w *Request) bool {
	_, unusable := unusable(c, u, w)
	return !unusable
}

// unusable reports whether and why an upstream may not take w, whatever its state is now.
func unusable(c *configurer.Snapshot, u *upstream, w *Request) (Condition, bool) {
	a := u.announcement
	if a.Pool != w.Pool {
		return Other, true
	}
	incarnation, avoid := w.Avoid[a.Name]
	switch {
	case avoid && incarnation == a.Incarnation:
		return Avoided, true
	case a.Gone:
		return Gone, true
	case w.Excluded[a.Name]:
		return Tried, true
	case w.Software != nil && a.Software != *w.Software:
		return Version, true
	case c.Evacuated(a.Domain):
		return Evacuated, true
	}
	return Healthy, false
}

// prediction is what a request may expect of one upstream.
type prediction struct {
	upstream      *upstream
	expectedDelay time.Duration
	// cost is expectedDelay plus the delay that the choice causes to other requests.
	cost           time.Duration
	uncachedTokens int64
	cachedTokens   int64
	// preferred is set if all hosts choose this upstream for the shared prefix; skipReason
	// says why the preferred upstream was not taken.
	preferred  bool
	skipReason Reason
	estimate   estimator.Estimate // in adaptive mode
}

// Reason says why an upstream was not taken. It is written to the log.
type Reason string

// Reasons why an upstream was not taken: it is cold and may get no request now; its slots
// and its queue are full; the request does not fit into its memory; the first token is
// predicted too late; another upstream has a lower cost; the slot quota of this host is
// used up; the upstream names a limit, of which this host has nothing left; it is brittle and
// might have to turn the request away.
const (
	ReasonNone    Reason = ""
	ReasonCold    Reason = "cold"
	ReasonSlots   Reason = "slots"
	ReasonMemory  Reason = "memory"
	ReasonSlow    Reason = "slow"
	ReasonCost    Reason = "dearer"
	ReasonQuota   Reason = "permit"
	ReasonLimit   Reason = "limit"
	ReasonBrittle Reason = "brittle"
)

// best returns the prediction of least cost among those of the preferred upstream and of a
// random sample, or among all candidates if none of these has room; nil if no candidate
// has. An upstream whose limit was named long ago goes first. Only a sample is compared because hosts learn of each other's requests late: if each
// of them took the best of all, they would all choose the same one.
func (s *Scheduler) best(w *Request, candidates []*upstream, now time.Duration) *prediction {
	for _, u := range candidates {
		if u.needsCheck(now) {
			if o, _ := s.predict(w, u, false, now); o != nil {
				return o
			}
		}
	}
	if s.Config().Pool(w.Pool).GetEngine() == nil {
		return s.pickService(w, candidates, now)
	}
	var best *prediction
	skipReason := ReasonNone
	preferred := preferredUpstream(w, candidates)
	if preferred != nil {
		best, skipReason = s.predict(w, preferred, true, now)
	}
	if len(candidates) > sampleSize {
		for range sampleSize {
			o, _ := s.predict(w, candidates[s.random(len(candidates))], false, now)
			best = cheaper(best, o)
		}
	}
	if best == nil {
		for _, u := range candidates {
			o, _ := s.predict(w, u, false, now)
			best = cheaper(best, o)
		}
	}
	if best != nil && preferred != nil && best.upstream != preferred {
		best.skipReason = cmp.Or(skipReason, ReasonCost)
	}
	return best
}

// pickService returns the prediction of a plain service, at random in proportion to its free places
// and its speed; nil if none has a free place. The load of the others is known too late to take the
// one with the fewest requests: all hosts would choose the same until the next report.
func (s *Scheduler) pickService(w *Request, candidates []*upstream, now time.Duration) *prediction {
	var picked *prediction
	total := 0.0
	for _, u := range candidates {
		o, _ := s.predict(w, u, false, now)
		if o == nil {
			continue
		}
		weight := u.freePlaces() / max(o.expectedDelay, time.Millisecond).Seconds()
		total += weight
		if float64(s.random(1<<20))/(1<<20)*total < weight {
			picked = o
		}
	}
	return picked
}

// freePlaces returns the places in the slots and the queue of a plain service that are expected to be
// free.
func (u *upstream) freePlaces() float64 {
	slots := math.Max(1, float64(u.announcement.Slots))
	return slots + math.Floor(slots*serviceQueueFraction) - float64(u.running) - u.otherAverage
}

// cheaper returns the prediction of lower cost, a if they are equal. Either may be nil.
func cheaper(a, b *prediction) *prediction {
	if a == nil || b != nil && b.cost < a.cost {
		return b
	}
	return a
}

func (s *Scheduler) random(n int) int {
	if s.Random != nil {
		return s.Random(n)
	}
	return rand.IntN(n)
}

// preferredUpstream returns the upstream that all hosts choose for the shared prefix of the
// prompt, by rendezvous hashing; nil if no part of the prompt is shared.
func preferredUpstream(w *Request, candidates []*upstream) *upstream {
	if len(w.Parts) < 2 {
		return nil
	}
	var best *upstream
	maxHash := uint64(0)
	for _, u := range candidates {
		if h := xxhash.Sum64String(w.Parts[len(w.Parts)-2].ID + "/" + u.announcement.Name); best == nil || h > maxHash {
			best, maxHash = u, h
		}
	}
	return best
}

// predict returns what w may expect of an upstream, or the reason why the upstream cannot
// take it. preferred says that u is the preferred upstream.
func (s *Scheduler) predict(w *Request, u *upstream, preferred bool, now time.Duration) (*prediction, Reason) {
	if !s.coldLimitAllows(u, now) {
		return nil, ReasonCold
	}
	if !s.limitAllows(u, now) {
		return nil, ReasonLimit
	}
	if !s.brittleAllows(w, u, now) {
		return nil, ReasonBrittle
	}
	running := u.running + u.otherRunning
	engine := s.Config().Pool(w.Pool).GetEngine()
	if engine == nil {
		return u.predictService(s.expectedService(w, u, now))
	}
	if s.adaptive(now) {
		return s.predictWork(w, u, engine, preferred, now)
	}
	slots := int(engine.Slots)
	// A request may wait where its shared parts are cached: to read them elsewhere takes
	// longer, and takes time from the engines.
	queueLimit := 0
	if preferred {
		queueLimit = int(float64(slots) * engineQueueFraction)
	}
	if running >= slots+queueLimit {
		return nil, ReasonSlots
	}
	if !preferred && !s.withinSlotQuota(u, slots, running) {
		return nil, ReasonQuota
	}
	if !u.fitsMemory(w, engine, running) {
		return nil, ReasonMemory
	}
	uncached, cached := u.cache.countTokens(w.Parts, w.InputTokens)
	if preferred {
		// All hosts send this shared prefix here, so it is assumed to be cached even if
		// this host has not sent it.
		uncached = min(uncached, ownTokens(w))
		cached = w.InputTokens - uncached
	}
	backlog := u.unreadTokens + u.otherUnreadTokens
	expected := time.Duration(float64(overheadDelay+readTime(uncached+backlog)) * u.delayFactor)
	if running >= slots {
		expected += u.residenceTime * time.Duration(running+1-slots) / time.Duration(slots)
	}
	maxFraction := maxDelayFraction
	if preferred {
		maxFraction = preferredMaxDelayFraction
	}
	if maxDelay := time.Duration(float64(w.ObjectiveAt-now) * maxFraction); backlog > 0 && expected > max(maxDelay, minDelayBound) {
		return nil, ReasonSlow
	}
	rereadDelay := readTime(max(0, uncached-ownTokens(w)))
	cost := expected + time.Duration(float64(rereadDelay)*rereadWeight*u.delayFactor) + time.Duration(running)*runningCost
	return &prediction{upstream: u, expectedDelay: expected, cost: cost, uncachedTokens: uncached, cachedTokens: cached, preferred: preferred}, ReasonNone
}

func readTime(tokens int64) time.Duration {
	return timer.Seconds(float64(tokens) / readTokensPerSecond)
}

// SharedReadRatio returns the time in which an engine reads the shared parts of the prompt,
// divided by the time that the rest of the request takes there. It may exceed 1.
func (w *Request) SharedReadRatio() float64 {
	own := ownTokens(w)
	return float64(readTime(w.InputTokens-own)) / float64(max(1, readTime(own)+time.Duration(w.OutputTokens)*outputTokenTime))
}

// EngineTime returns the time of an upstream's capacity that the request is expected to need, whatever is cached:
// an engine prefills its own tokens, which holds up all that run, and makes its output tokens in steps that all
// slots share. A plain service has a slot occupied.
func (w *Request) EngineTime(engine *schema.Engine) time.Duration {
	if engine == nil {
		return overheadDelay
	}
	return readTime(ownTokens(w)) + time.Duration(w.OutputTokens)*outputTokenTime/time.Duration(max(1, engine.Slots))
}

// ownTokens returns the number of tokens of the last part, which no other request shares.
func ownTokens(w *Request) int64 {
	if len(w.Parts) == 0 {
		return w.InputTokens
	}
	return w.Parts[len(w.Parts)-1].Tokens
}

// predictService predicts for a plain service whose response time for the request is service; 0 if it is not known.
func (u *upstream) predictService(service time.Duration) (*prediction, Reason) {
	if u.freePlaces() <= 0 {
		return nil, ReasonSlots
	}
	slots := math.Max(1, float64(u.announcement.Slots))
	if service == 0 {
		service = overheadDelay
	}
	queued := math.Max(0, float64(u.running)+u.otherAverage+1-slots)
	expected := time.Duration(float64(service) * (1 + queued/slots) * (1 + u.failureRate))
	return &prediction{upstream: u, expectedDelay: expected, cost: expected}, ReasonNone
}

// fitsMemory reports whether the tokens of w fit into the engine's memory beside the
// running requests. The tokens of other hosts' requests are extrapolated from this host's
// own. If none is running, it always fits.
func (u *upstream) fitsMemory(w *Request, engine *schema.Engine, running int) bool {
	neededTokens := w.InputTokens + w.OutputTokens
	usedTokens := u.tokens
	if u.running > 0 {
		usedTokens = u.tokens * int64(running) / int64(u.running)
	}
	return running == 0 || float64(usedTokens+neededTokens) <= float64(engine.Tokens)*maxMemoryFraction
}

// coldLimitAllows reports whether an upstream may get a request now, as far as the limits
// for cold upstreams are concerned.
func (s *Scheduler) coldLimitAllows(u *upstream, now time.Duration) bool {
	if now >= u.coldUntil {
		return true
	}
	if s.OwnsCold != nil && !s.OwnsCold(u.announcement.Name) {
		u.ownedSince = 0
		return false
	}
	if u.ownedSince == 0 {
		u.ownedSince = now
		u.nextAllowedAt = now + coldHandoverDelay
	}
	return now >= u.nextAllowedAt
}
