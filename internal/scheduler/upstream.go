package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/estimator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Speed at which an engine is assumed to read a prompt; the learned delayFactor of an
	// upstream corrects it.
	readTokensPerSecond = 40_000
	// Delay from the reservation to the first token besides reading the prompt; corrected
	// likewise. It is also the response time assumed for a plain service before the first
	// sample.
	overheadDelay = 30 * time.Millisecond
	// Time in which an engine is assumed to produce one token of an answer.
	outputTokenTime = 8 * time.Millisecond
	// Weight of a new sample in a moving average of response times.
	sampleWeight = 0.1
	// Fraction of the first tokens that come sooner than the learned delayFactor predicts.
	// A low quantile shows the speed of the engine itself; the slower first tokens waited
	// behind requests of other hosts.
	earlyFraction = 0.4
	// Step by which delayFactor follows a sample, as a fraction of its value.
	factorStepFraction = 0.1
	// Fraction of the first tokens of a pool that come later than its learned slowDelay.
	slowFraction = 0.05
	// Step by which slowDelay follows a sample, as a fraction of its value.
	slowStepFraction = 0.05
	// Bounds of delayFactor.
	maxDelayFactor, minDelayFactor = 20.0, 0.2
	// Fraction of an engine's slots up to which a host needs no slot quota.
	quotaFreeFraction = 0.5
	// Lower bound of the cap on a slot quota, so that a host whose fraction of the free
	// slots is below one slot can accumulate a whole one.
	minQuotaCap = 1.0
	// Fraction of an engine's memory that running requests may fill.
	maxMemoryFraction = 0.92
	// Requests that may queue at a plain service, as a fraction of its slots.
	serviceQueueFraction = 0.5
	// Requests that may queue at an engine that is the preferred upstream, as a fraction of
	// its slots.
	engineQueueFraction = 0.25
	// Weight of a new report in the moving average of the other hosts' requests at a plain service.
	reportWeight = 0.2
	// Weight of a new outcome in the failure rate of an upstream.
	failureWeight = 0.25
	// Failure rate above which a request that cannot be repeated avoids an upstream.
	maxFailureRate = 0.15
	// Times for which an upstream is avoided. After 3 failures in a row, or if no connection can be
	// opened: the base, doubled for each failure in a row, up to the maximum. After its address
	// went to another upstream: the maximum. After a rejection: half of the base.
	maxBanDuration  = 4 * time.Second
	baseBanDuration = 300 * time.Millisecond
	// Fraction of the pool's configured rate for cold upstreams that is used.
	coldRateFraction = 0.85
	// Time for which a new owner of a cold upstream sends nothing, so that the previous
	// owner has stopped.
	coldHandoverDelay = time.Second
	// Weight, in the cost of a choice, of the time in which an upstream reads shared parts
	// again; added to the delay of the request itself, since the requests that run there
	// wait for it too.
	rereadWeight = 4.0
	// Cost of each running request for a new one: both are slowed down in every step of the
	// engine.
	runningCost = 3 * time.Millisecond
	// Number of random candidates that are compared for a request, besides the preferred
	// upstream.
	sampleSize = 4
	// Largest predicted delay at which an upstream that has a backlog takes a request, as a
	// fraction of the time left until its objective.
	maxDelayFraction = 0.5
	// The same at the preferred upstream, which has the shared parts cached: reading them
	// elsewhere costs the engines more than the wait costs the caller.
	preferredMaxDelayFraction = 0.75
	// Lower bound of the largest predicted delay, for requests that are already late.
	minDelayBound = 150 * time.Millisecond
)

// Outcome is the result of a request at an upstream.
type Outcome int

// Results of a request at an upstream.
const (
	// Answered means that the whole answer was received and reports no failure.
	Answered Outcome = iota
	// Failed means that the answer reports a failure of the upstream, or that none came.
	Failed
	// Rejected means that the upstream rejected the request because it was full or stopping.
	Rejected
	// Unreachable means that no connection could be opened.
	Unreachable
	// Replaced means that another upstream now has the address.
	Replaced
	// CallerLeft means that the caller went away before the end of the answer.
	CallerLeft
	// NoResponse means that nothing was received from the upstream, for any request, until this one was given up.
	NoResponse
)

// upstream is the state of one incarnation of an upstream, as known to this host.
type upstream struct {
	announcement *schema.Announcement
	// running, tokens and unreadTokens count this host's own requests there, the tokens of
	// their prompts and answers, and the prompt tokens that are still to be read.
	running      int
	tokens       int64
	unreadTokens int64
	// otherRunning and otherUnreadTokens are the same of all other hosts, as last reported.
	otherRunning      int
	otherUnreadTokens int64
	// otherAverage is a moving average of the other hosts' requests as reported, which is used for
	// plain services: their requests end before they are reported.
	otherAverage float64
	// slotQuota is the number of requests that this host may still send before it receives
	// the other hosts' load again. It may be fractional or negative.
	slotQuota float64
	// delayFactor corrects the delay predicted from the assumed speeds: a quantile of the
	// ratio of measured to predicted delays of first tokens.
	delayFactor float64
	// serviceTime is the average response time of a plain service, 0 before the first
	// sample. residenceTime is the average time from the reservation to the end of a whole
	// answer.
	serviceTime time.Duration
	// serviceRatio is the average of response times relative to those of their routes, of a plain service in
	// adaptive mode; 0 before the first sample.
	serviceRatio  float64
	residenceTime time.Duration
	cache         cache
	// lastReceivedAt is the time at which something was last received from it.
	lastReceivedAt time.Duration
	// failureRate is a moving average of outcomes, in [0, 1]; failureStreak counts the
	// failures since the last whole answer. The upstream is avoided until bannedUntil.
	failureRate   float64
	failureStreak int
	bannedUntil   time.Duration
	bannedFor     Outcome // what bannedUntil was set for
	// coldUntil is the time at which the upstream stops being cold; until then it gets no
	// request before nextAllowedAt.
	coldUntil     time.Duration
	ownedSince    time.Duration // time since which this host owns it, while it is cold; 0 if it does not
	nextAllowedAt time.Duration
	limit         limitState
	brittle       brittleState
	// leavingUntil is the time until which it may be sent requests of last resort, if it is leaving; 0:
	// none.
	leavingUntil time.Duration
	said         answerState
	// broken is set if connections of any host broke, as reported, at brokenAt the last time.
	broken   bool
	brokenAt time.Duration
	conns    connState
	// engine holds the estimates of its process; nil unless it was chosen among in adaptive mode. others is what
	// other hosts reported for it.
	engine *estimator.Engine
	others estimator.Others
}

// UpdateUpstreams replaces the list of the region's upstreams and dispatches waiting requests.
func (s *Scheduler) UpdateUpstreams(all []*schema.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upstreams == nil {
		s.upstreams = map[string]*upstream{}
	}
	now := s.Timer.Now()
	announced := map[string]bool{}
	for _, a := range all {
		announced[a.Name] = true
		u := s.upstreams[a.Name]
		if u == nil || u.announcement.Incarnation != a.Incarnation {
			replacement := &upstream{delayFactor: 1, said: s.restoreAnswerState(a.Name, a.Incarnation)}
			if u != nil {
				// Requests that run at the earlier incarnation are released from its own
				// record.
				replacement.otherRunning = u.otherRunning
			}
			u = replacement
			s.upstreams[a.Name] = u
		}
		if u.announcement != a {
			if a.Cold > 0 {
				u.coldUntil = max(u.coldUntil, now+timer.Seconds(a.Cold-a.Age))
			}
			if u.announcement != nil && u.announcement.Silent && !a.Silent {
				u.bannedUntil, u.failureStreak = 0, 0
			}
			u.announcement = a
		}
	}
	for name := range s.upstreams {
		if !announced[name] {
			s.keepAnswerState(name, s.upstreams[name])
			delete(s.upstreams, name)
		}
	}
	s.sortedUpstreams = slices.SortedFunc(maps.Values(s.upstreams), func(a, b *upstream) int {
		return cmp.Compare(a.announcement.Name, b.announcement.Name)
	})
	for name, p := range s.pools {
		if p.queued() > 0 {
			s.dispatch(name, now)
		}
	}
}

// UpdateLeaving replaces the times, on the clock of Timer, until which upstreams that are leaving may be
// sent requests of last resort, by name. Call it after UpdateUpstreams.
func (s *Scheduler) UpdateLeaving(until map[string]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, u := range s.upstreams {
		u.leavingUntil = until[name]
	}
}

// usableAsLastResort reports whether an upstream that is leaving may be sent w. One that is to be taken
// away whatever it runs gets nothing that cannot be repeated.
func (s *Scheduler) usableAsLastResort(u *upstream, w *Request, now time.Duration) bool {
	a := u.announcement
	return w.LastResort && now < s.sendUntil(u) && now >= u.bannedUntil && !a.Silent && !(w.Unrepeatable && a.Left > 0)
}

// MarkDomainCold treats the upstreams of a failure domain as cold for the warm-up time of their
// pools, since they may have become cold while this host could not observe them.
func (s *Scheduler) MarkDomainCold(domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	for _, u := range s.upstreams {
		if u.announcement.Domain == domain {
			u.coldUntil = max(u.coldUntil, now+s.warmupDuration(u))
		}
	}
}

func (s *Scheduler) warmupDuration(u *upstream) time.Duration {
	return timer.Seconds(s.Config().Pool(u.announcement.Pool).GetWarmup())
}

// UpdateOtherLoads replaces the load of the other hosts and refills the slot quotas.
func (s *Scheduler) UpdateOtherLoads(loads []*schema.PoolLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateOtherQueues(loads)
	for _, u := range s.upstreams {
		u.otherRunning, u.otherUnreadTokens = 0, 0
	}
	for _, l := range loads {
		for name, n := range l.Running {
			if u := s.upstreams[name]; u != nil {
				u.otherRunning = int(n)
			}
		}
		for name, n := range l.Reading {
			if u := s.upstreams[name]; u != nil {
				u.otherUnreadTokens = n
			}
		}
	}
	s.updateOtherWork(loads, s.Timer.Now())
	s.slotFraction = 1
	if s.HostCount != nil {
		s.slotFraction = 1 / float64(max(1, s.HostCount()))
	}
	s.updateFractions(loads)
	for _, u := range s.upstreams {
		u.otherAverage += reportWeight * (float64(u.otherRunning) - u.otherAverage)
		u.refillSlotQuota(s.fractionOf(u.announcement.Pool))
	}
}

// refillSlotQuota adds this host's fraction of the free slots of an upstream. Many hosts
// see the same free slot at once; if each of them took it, the queue of the upstream would
// grow by their number.
func (u *upstream) refillSlotQuota(slotFraction float64) {
	added := slotFraction * float64(int(u.announcement.Slots)-u.running-u.otherRunning)
	if added > 0 {
		u.slotQuota = math.Min(math.Max(minQuotaCap, added), u.slotQuota+added)
	}
}

// withinSlotQuota reports whether this host may send one more request to an engine. The
// quota applies only while several hosts share the upstreams, and at engines of whose slots
// at least quotaFreeFraction are taken.
func (s *Scheduler) withinSlotQuota(u *upstream, slots, running int) bool {
	return s.slotFraction == 0 || s.slotFraction == 1 || u.slotQuota >= 1 || float64(running) < float64(slots)*quotaFreeFraction
}

// OwnLoads returns this host's own load by pool, in no particular order.
func (s *Scheduler) OwnLoads() []*schema.PoolLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := map[string]*schema.PoolLoad{}
	loadOf := func(pool string) *schema.PoolLoad {
		if loads[pool] == nil {
			loads[pool] = &schema.PoolLoad{Pool: pool, Running: map[string]int32{}, Reading: map[string]int64{}}
		}
		return loads[pool]
	}
	for name, u := range s.upstreams {
		if u.running > 0 {
			loadOf(u.announcement.Pool).Running[name] = int32(u.running)
			s.addOwnWork(loadOf(u.announcement.Pool), name, u)
		}
		if u.unreadTokens > 0 {
			loadOf(u.announcement.Pool).Reading[name] = u.unreadTokens
		}
	}
	for name, p := range s.pools {
		if n := p.queued(); n > 0 {
			loadOf(name).Waiting = int32(n)
		}
		if x := p.fair.promises(s.Timer.Now()); len(x) > 0 {
			loadOf(name).Promises = x
		}
	}
	var out []*schema.PoolLoad
	for _, l := range loads {
		out = append(out, l)
	}
	return out
}

// reserve reserves a slot at the best of the candidates. It returns nil if none has room.
// The caller holds mu.
func (s *Scheduler) reserve(w *Request, candidates []*upstream, now time.Duration) *Reservation {
	o := s.best(w, candidates, now)
	if o == nil {
		return nil
	}
	u := o.upstream
	sendUntil := time.Duration(0)
	if u.leaving() {
		sendUntil = s.sendUntil(u)
	}
	p := &Reservation{
		Name: u.announcement.Name, Address: u.announcement.Address, Incarnation: u.announcement.Incarnation, Software: u.announcement.Software,
		SendUntil: sendUntil, ExpectedDelay: o.expectedDelay, CachedTokens: o.cachedTokens,
		Running:   u.running + u.otherRunning,
		Preferred: o.preferred, PreferredSkipped: o.skipReason,
		scheduler: s, upstream: u, request: w, reservedAt: now, uncachedTokens: o.uncachedTokens,
	}
	if now < u.coldUntil {
		rate := s.Config().Pool(w.Pool).GetColdrate() * coldRateFraction
		u.nextAllowedAt = now + time.Duration(float64(time.Second)/math.Max(rate, 0.1))
	}
	if u.limit.rate > 0 {
		u.limit.saved--
	}
	u.running++
	u.slotQuota--
	u.tokens += w.InputTokens + w.OutputTokens
	u.unreadTokens += p.uncachedTokens
	p.startRun(o, now)
	u.cache.add(w.Parts, now, s.Config().Pool(w.Pool).GetEngine().GetTokens())
	return p
}

// learnDelay adjusts the prediction by a first token that came after d.
func (u *upstream) learnDelay(p *Reservation, d time.Duration) {
	if len(p.request.Parts) == 0 && p.request.InputTokens == 0 {
		if u.serviceTime == 0 {
			u.serviceTime = d
		}
		u.serviceTime += time.Duration(sampleWeight * float64(d-u.serviceTime))
		return
	}
	if p.ExpectedDelay <= 0 {
		return
	}
	step := factorStepFraction * earlyFraction
	if float64(d) < float64(p.ExpectedDelay) {
		step = -factorStepFraction * (1 - earlyFraction)
	}
	u.delayFactor = math.Min(maxDelayFactor, math.Max(minDelayFactor, u.delayFactor*(1+step)))
}

// ForgetFailures forgets failures that the host's loss of its way to all upstreams may have caused. Call it when that
// begins and ends. The host owns no cold or limited upstream then, as others took them over.
func (s *Scheduler) ForgetFailures() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		switch u.bannedFor {
		case Unreachable, Failed, NoResponse:
			u.failureRate, u.failureStreak, u.bannedUntil = 0, 0, 0
		}
		if !u.conns.ended { // an end was confirmed by connections to others
			u.conns = connState{probedAt: u.conns.probedAt, probing: u.conns.probing}
		}
		u.ownedSince, u.limit.ownerSince = 0, 0
	}
}

// recordReceived records that something was received from the upstream, which ends a ban for its silence: the requests
// that were given up at the same time count as so many failures in a row.
func (u *upstream) recordReceived(now time.Duration) {
	u.lastReceivedAt = now
	if u.bannedFor == NoResponse {
		u.bannedUntil, u.failureStreak, u.bannedFor = 0, 0, Answered
	}
}

// recordOutcome updates the failure rate and the time until which the upstream is avoided.
func (u *upstream) recordOutcome(o Outcome, now time.Duration) {
	switch o {
	case Answered:
		u.failureRate -= failureWeight * u.failureRate
		u.failureStreak = 0
	case Failed, Unreachable, NoResponse:
		u.failureRate += failureWeight * (1 - u.failureRate)
		u.failureStreak++
		if u.failureStreak >= 3 || o == Unreachable {
			u.bannedUntil = now + min(maxBanDuration, baseBanDuration<<min(u.failureStreak, 5))
			u.bannedFor = o
		}
	case Replaced:
		u.bannedUntil, u.bannedFor = now+maxBanDuration, o
	case Rejected:
		u.bannedUntil = max(u.bannedUntil, now+baseBanDuration/2)
	}
}
