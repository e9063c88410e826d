package scheduler

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// candidates returns the upstreams that may take work, the best group first: those without
// trouble, else those that are silent or banned.
func (s *Scheduler) candidates(w *Work, now time.Duration) []*upstream {
	c := s.Config()
	var good, careless, troubled []*upstream
	for _, u := range s.ordered {
		a := u.said
		if a.Pool != w.Pool || a.Leaving || a.Gone || w.Excluded[a.Name] || c.Evacuated(a.Domain) {
			continue
		}
		switch {
		case a.Silent || now < u.banned:
			troubled = append(troubled, u)
		case w.Careful && u.failures > carefulRate:
			careless = append(careless, u)
		default:
			good = append(good, u)
		}
	}
	switch {
	case len(good) > 0:
		return good
	case len(careless) > 0:
		return careless
	}
	return troubled
}

// option is one upstream with its prediction.
type option struct {
	upstream *upstream
	expected time.Duration
	// cost is expected and what the choice costs others.
	cost     time.Duration
	uncached int64
	cached   int64
	// agreed says that hosts agree to send the shared parts there, passed why the upstream
	// agreed on was not taken.
	agreed bool
	passed Reason
}

// Reason is why an upstream was passed over.
type Reason string

// The reasons.
const (
	ReasonNone   Reason = ""
	ReasonCold   Reason = "cold"
	ReasonSlots  Reason = "slots"
	ReasonMemory Reason = "memory"
	ReasonSlow   Reason = "slow"
	ReasonDearer Reason = "dearer"
	ReasonPermit Reason = "permit"
)

// best returns the upstream that has room at the least cost among a sample and the one
// agreed on, else among all, or nil. Hosts know of each other's work late: if each took the
// best of all, they would all take the same.
func (s *Scheduler) best(w *Work, candidates []*upstream, now time.Duration) *option {
	var best *option
	passed := ReasonNone
	agreed := agreed(w, candidates)
	if agreed != nil {
		best, passed = s.predict(w, agreed, true, now)
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
	if best != nil && agreed != nil && best.upstream != agreed {
		best.passed = cmp.Or(passed, ReasonDearer)
	}
	return best
}

// cheaper returns the option that costs less; a is nil or came first.
func cheaper(a, b *option) *option {
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

// agreed returns the upstream at which all hosts agree that a shared prompt should be
// cached, nil without a shared part.
func agreed(w *Work, candidates []*upstream) *upstream {
	if len(w.Parts) < 2 {
		return nil
	}
	var best *upstream
	most := uint64(0)
	for _, u := range candidates {
		if h := xxhash.Sum64String(w.Parts[len(w.Parts)-2].ID + "/" + u.said.Name); best == nil || h > most {
			best, most = u, h
		}
	}
	return best
}

// predict returns what to expect of an upstream, or why it has no room.
func (s *Scheduler) predict(w *Work, u *upstream, agreed bool, now time.Duration) (*option, Reason) {
	if !s.warmEnough(u, now) {
		return nil, ReasonCold
	}
	running := u.running + u.otherRunning
	engine := s.Config().Pool(w.Pool).GetEngine()
	if engine == nil {
		return u.predictService(w, running)
	}
	slots := int(engine.Slots)
	// Where its shared parts are cached a request may wait for a slot: to read them
	// elsewhere takes longer, and the engines' time.
	queue := 0
	if agreed {
		queue = int(float64(slots) * engineQueue)
	}
	if running >= slots+queue {
		return nil, ReasonSlots
	}
	if !agreed && !s.permitted(u, slots, running) {
		return nil, ReasonPermit
	}
	if !u.fits(w, engine, running) {
		return nil, ReasonMemory
	}
	uncached, cached := u.cache.missing(w.Parts, w.Input)
	if agreed {
		// All hosts send its shared parts here, so they are cached although this host may
		// not have sent them.
		uncached = min(uncached, ownTokens(w))
		cached = w.Input - uncached
	}
	backlog := u.reading + u.otherReading
	expected := time.Duration(float64(firstOverhead+readTime(uncached+backlog)) * u.factor)
	if running >= slots {
		expected += u.residence * time.Duration(running+1-slots) / time.Duration(slots)
	}
	part := roomPart
	if agreed {
		part = agreedRoom
	}
	if room := time.Duration(float64(w.Objective-now) * part); backlog > 0 && expected > max(room, lateRoom) {
		return nil, ReasonSlow
	}
	reread := readTime(max(0, uncached-ownTokens(w)))
	cost := expected + time.Duration(float64(reread)*rereadWeight*u.factor) + time.Duration(running)*runningCost
	return &option{upstream: u, expected: expected, cost: cost, uncached: uncached, cached: cached, agreed: agreed}, ReasonNone
}

func readTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / firstReadRate * float64(time.Second))
}

// SharedPart returns how much longer an engine is taken if the shared parts must be read
// there, as a part of what the request takes besides.
func (w *Work) SharedPart() float64 {
	own := ownTokens(w)
	return float64(readTime(w.Input-own)) / float64(max(1, readTime(own)+time.Duration(w.Output)*firstTokenTime))
}

// ownTokens returns the tokens of a prompt that no other request shares.
func ownTokens(w *Work) int64 {
	if len(w.Parts) == 0 {
		return w.Input
	}
	return w.Parts[len(w.Parts)-1].Tokens
}

func (u *upstream) predictService(w *Work, running int) (*option, Reason) {
	slots := max(1, int(u.said.Slots))
	if running >= slots+int(float64(slots)*serviceQueue) {
		return nil, ReasonSlots
	}
	service := u.service
	if service == 0 {
		service = firstOverhead
	}
	queued := max(0, running+1-slots)
	expected := service + service*time.Duration(queued)/time.Duration(slots)
	// Among upstreams that would answer alike, the one with the fewest requests.
	expected += time.Duration(running) * time.Millisecond
	expected = time.Duration(float64(expected) * (1 + u.failures))
	return &option{upstream: u, expected: expected, cost: expected}, ReasonNone
}

// fits reports whether a request's tokens find memory beside those that run.
func (u *upstream) fits(w *Work, engine *schema.Engine, running int) bool {
	size := w.Input + w.Output
	used := u.tokens
	if u.running > 0 {
		used = u.tokens * int64(running) / int64(u.running)
	}
	return running == 0 || float64(used+size) <= float64(engine.Tokens)*memoryPart
}

// warmEnough reports whether an upstream may get a request now, as far as coldness goes.
func (s *Scheduler) warmEnough(u *upstream, now time.Duration) bool {
	if now >= u.cold {
		return true
	}
	if s.Owns != nil && !s.Owns(u.said.Name) {
		u.owned = 0
		return false
	}
	if u.owned == 0 {
		u.owned = now
		u.allowed = now + coldHandover
	}
	return now >= u.allowed
}
