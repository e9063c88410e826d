package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/forecaster"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/sharer"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Time after the refusal of a request during which no less urgent one of the pool is served: the
	// age of the reports by which hosts know each other's load.
	refusalMemory = 500 * time.Millisecond
	// Weight of a new sample in the average time that requests hold a slot of the pool.
	holdWeight = 0.1
	// Time constant of the averages from which this host's part of the running requests is computed.
	partTime = 2 * time.Second
	// Running requests of each host that are assumed in addition, so that the part of a host with few of
	// them is near an equal one.
	partPrior = 2.0
	// Fraction of the slots that must be taken for the rate at which they become free to be known from
	// them. Below it requests wait for another reason, such as the limits of cold upstreams.
	minRunningFraction = 0.5
	// Fraction of the forecast wait that must exceed what is left of the wait of a request for it to be
	// refused meanwhile: forecasts are wrong by some tenths.
	reviewFraction = 0.6
	// Told times that are reported to other hosts, and the time for which: two reports.
	maxReportedPromises = 32
	promiseReportTime   = time.Second
	// Customers and pools that the metrics name.
	maxStandings = 8
)

// fairQueue holds the waiting requests of one pool, what its customers have used, and what refused callers
// were told, while FairQueue is set.
type fairQueue struct {
	queue    sharer.Queue[*waiter]
	forecast forecaster.Forecast
	returns  forecaster.Returns
	arrivals map[int]*forecaster.Flow // by rank
	// refusedAt is the time of the last refusal for want of a slot, by rank.
	refusedAt map[int]time.Duration
	// holdTime is the average time from the reservation to the end of an answer; 0 before the first.
	holdTime time.Duration
	// ownRunning and allRunning are moving averages as of averagedAt.
	ownRunning, allRunning float64
	averagedAt             time.Duration
	// forecastWait and waited are the sums of the forecast and of the actual waits of requests that
	// waited for a slot.
	forecastWait, waited time.Duration
}

// Forecast is what a refusal for want of a slot rests on.
type Forecast struct {
	// Free is this host's part of the free slots, Rate the slots per second that become free for a
	// request of the rank, Part this host's part of the pool.
	Free, Rate, Part float64
	// Ahead is the number of waiting requests of this host that come before. Promised is the number of
	// times that callers were told.
	Ahead    float64
	Promised int
	// Wait is the expected wait, Limit the longest one that is of use to the request.
	Wait, Limit time.Duration
	// Lead is what the customer has used beyond its share, engine time.
	Lead time.Duration
	// LoadAge is the time since the load of the other hosts was received.
	LoadAge time.Duration
	// Known is set if the rate is known from the running requests.
	Known bool
	// Placed is set if the caller was told a time at which the forecast has a place for it.
	Placed bool
}

// Claim is what a request may claim because it was refused before.
type Claim struct {
	// Returned is set if it returned in time: it may wait for a slot as long as it can meet its deadline.
	Returned bool
	// Placed is set if it returned to a place that was promised. Start is its start tag.
	Placed bool
	Start  float64
	// Imported is set if another host promised it.
	Imported bool
}

func (s *Scheduler) fairQueues() bool { return s.FairQueue != nil && s.FairQueue() }

// engineTime returns the expected engine time of a request, which is what its customer is charged.
func engineTime(w *Request) time.Duration {
	return max(overheadDelay, readTime(ownTokens(w))+time.Duration(w.OutputTokens)*outputTokenTime)
}

func useOf(w *Request) sharer.Use {
	return sharer.Use{
		Customer: w.Customer, Rank: w.Rank, Late: w.LateOnArrival && !w.Claim.Placed, Weight: w.Weight, Cost: engineTime(w),
		Returned: w.Claim.Placed, Earlier: sharer.Tag(w.Claim.Start), Unpaid: w.Claim.Imported,
	}
}

// Claim recognises a request that was refused before. It must be called once, before the first Acquire. The
// error is a *NoSlotError for a caller that came earlier than it was told.
func (s *Scheduler) Claim(w *Request) (Claim, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Key == 0 || !s.fairQueues() {
		return Claim{}, nil
	}
	now := s.Timer.Now()
	q := &s.pool(w.Pool).fair
	q.expire(now)
	x := q.returns.Find(w.Key, now)
	if x == nil {
		return Claim{}, nil
	}
	promise, pending := q.drop(w.Key)
	if x.IsEarly(now) {
		q.forecast.Early++
		if pending {
			q.refund(promise, now)
		}
		x.Early, x.Placed = true, false
		return Claim{}, &NoSlotError{Pool: w.Pool, RetryAfter: x.DueAt - now, Early: true}
	}
	q.returns.Remove(w.Key)
	if x.Early {
		return Claim{}, nil
	}
	if pending {
		q.forecast.Kept++
	}
	start := x.Position.Start
	if x.Imported { // a lead
		start += float64(q.queue.Virtual(w.Rank))
	}
	return Claim{Returned: true, Placed: x.Placed, Start: start, Imported: x.Imported}, nil
}

// Promise returns the delay after which a refused caller is to return, and takes the place that the forecast
// has for it then. Call it when the refusal is final, for a request whose Acquire returned a *NoSlotError.
func (s *Scheduler) Promise(w *Request) (time.Duration, *Forecast) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	q := s.fairQueue(w.Pool)
	q.expire(now)
	u := useOf(w)
	o, supply := s.foresee(w, u, s.candidates(w, now), false, now)
	if w.Key != 0 {
		if earlier, pending := q.drop(w.Key); pending { // an equal request was refused at the same time
			q.refund(earlier, now)
		}
	}
	p := forecaster.Promise{Key: w.Key, Position: q.position(u, now), Customer: u.Customer, Weight: u.Weight, Cost: u.Cost}
	p, o.Placed = q.forecast.Promise(p, supply, o.Ahead, w.Deadline-now, now)
	if w.Key == 0 {
		return p.At - now, &o
	}
	switch {
	case o.Placed:
		q.queue.Reserve(u, now)
	case u.Returned && !u.Unpaid:
		q.queue.Refund(u, now)
	}
	q.returns.Add(forecaster.Return{Key: w.Key, ToldAt: now, DueAt: p.At, Position: p.Position, Placed: o.Placed}, now)
	return p.At - now, &o
}

// drop gives up the place of a request.
func (q *fairQueue) drop(key uint64) (forecaster.Promise, bool) {
	p, pending := q.forecast.Drop(key)
	if pending {
		q.queue.Unreserve(p.Position.Rank, sharer.Tag(p.Position.Start))
	}
	return p, pending
}

// refund takes back what a customer was charged for a place.
func (q *fairQueue) refund(p forecaster.Promise, now time.Duration) {
	q.queue.Refund(sharer.Use{Customer: p.Customer, Rank: p.Position.Rank, Weight: p.Weight, Cost: p.Cost}, now)
}

// expire gives up promises that have passed.
func (q *fairQueue) expire(now time.Duration) {
	for _, p := range q.forecast.Expire(now) {
		if p.Key == 0 {
			continue
		}
		q.queue.Unreserve(p.Position.Rank, sharer.Tag(p.Position.Start))
		q.refund(p, now)
		if x := q.returns.Find(p.Key, now); x != nil && !x.Imported {
			x.Placed = false
		}
	}
}

func (s *Scheduler) fairQueue(pool string) *fairQueue {
	q := &s.pool(pool).fair
	if q.forecast.Random == nil {
		q.forecast.Random = func() float64 { return float64(s.random(1<<20)) / (1 << 20) }
		q.arrivals, q.refusedAt = map[int]*forecaster.Flow{}, map[int]time.Duration{}
	}
	return q
}

func (q *fairQueue) position(u sharer.Use, now time.Duration) forecaster.Position {
	return forecaster.Position{Rank: u.Rank, Start: float64(q.queue.Start(u, now))}
}

// foresee forecasts the wait of a request. Full is set if it was found that no upstream has room for it now.
// The caller holds mu.
func (s *Scheduler) foresee(w *Request, u sharer.Use, candidates []*upstream, full bool, now time.Duration) (Forecast, forecaster.Supply) {
	q := s.fairQueue(w.Pool)
	engine := s.Config().Pool(w.Pool).GetEngine()
	hold := cmp.Or(q.holdTime, overheadDelay+engineTime(w))
	slots, taken, running, own, free := 0, 0, 0, 0, 0
	for _, x := range candidates {
		n, r := x.slots(engine), x.running+x.otherRunning
		slots += n
		taken += min(r, n)
		running += r
		own += x.running
		if r < n && (engine == nil || x.fitsMemory(w, engine, r)) {
			free += n - r
		}
	}
	part := q.part(own, running, s.fractionOf(w.Pool), now)
	rate := part * float64(running) / hold.Seconds()
	ahead, least := q.queue.Ahead(u, now), rate*sharer.MinRankShare
	switch {
	case q.queue.HasCredit(w.Rank):
		ahead = q.queue.AheadInRank(u, now)
	case q.moreUrgentRefused(w.Rank, now):
		rate, free = least, 0
	default:
		for rank, l := range q.arrivals {
			if rank < w.Rank {
				rate -= l.Rate(now)
			}
		}
	}
	lead := q.queue.Lead(u, now)
	o := Forecast{
		Free: part * float64(free), Rate: max(rate, least), Part: part, Ahead: float64(ahead), Promised: q.forecast.Pending(),
		Limit: s.waitLimit(w), Lead: timer.Seconds(float64(lead)), LoadAge: now - s.loadsAt,
	}
	if full {
		o.Free = 0
	}
	if w.Claim.Returned {
		o.Limit = max(0, w.Deadline-now-hold)
	}
	supply := forecaster.Supply{Free: o.Free, Rate: o.Rate}
	if float64(taken) < minRunningFraction*float64(slots) {
		o.Wait = s.pool(w.Pool).expectedWait(int(o.Ahead))
		// The rate is not known; callers return as soon as they may.
		supply = forecaster.Supply{Free: o.Ahead + 1, Rate: math.Max(o.Rate, 1/forecaster.MinDelay.Seconds())}
		return o, supply
	}
	o.Known = true
	o.Wait = q.forecast.Wait(supply, q.position(u, now), o.Ahead, now)
	return o, supply
}

// slots returns the number of requests that an upstream runs at once.
func (u *upstream) slots(engine *schema.Engine) int {
	if engine != nil {
		return int(engine.Slots)
	}
	return max(1, int(u.announcement.Slots))
}

// part returns this host's part of the pool's slots. Fraction is an equal part; 0 if the other hosts are not
// known yet.
func (q *fairQueue) part(own, all int, fraction float64, now time.Duration) float64 {
	if fraction == 0 || fraction == 1 {
		return 1
	}
	weight := 1 - math.Exp(-float64(now-q.averagedAt)/float64(partTime))
	q.averagedAt = now
	q.ownRunning += weight * (float64(own) - q.ownRunning)
	q.allRunning += weight * (float64(all) - q.allRunning)
	return (q.ownRunning + partPrior) / (q.allRunning + partPrior/fraction)
}

// reserveOrWait reserves a slot for x, adds it to the queue, or refuses it at once. The caller holds mu.
func (s *Scheduler) reserveOrWait(p *pool, x *waiter, candidates []*upstream, now time.Duration) (*waiter, error) {
	w, u := x.request, useOf(x.request)
	q := s.fairQueue(w.Pool)
	q.expire(now)
	q.queue.Seen(w.Rank, now)
	if q.arrivals[w.Rank] == nil {
		q.arrivals[w.Rank] = &forecaster.Flow{}
	}
	q.arrivals[w.Rank].Add(1, now)
	s.dispatchFair(p, 1, now) // slots may have become free since the last dispatch
	ahead := q.queue.Ahead(u, now)
	if q.queue.HasCredit(w.Rank) {
		ahead = q.queue.AheadInRank(u, now)
	}
	mayReserve := ahead == 0 && s.mayServe(q, w, u, candidates, now)
	if mayReserve {
		if x.reservation = s.reserve(w, candidates, now); x.reservation != nil {
			q.queue.Serve(u, now)
			return x, nil
		}
	}
	o, _ := s.foresee(w, u, candidates, mayReserve, now)
	if o.Wait > o.Limit || q.queue.Len() >= maxQueueLength && q.queue.Ahead(u, now) >= maxQueueLength {
		return nil, s.noSlot(w, o, now)
	}
	if n := q.queue.Len(); n >= maxQueueLength {
		q.evict(q.queue.At(n-1), now)
	}
	x.waitUntil, x.forecastWait = now+o.Limit, o.Wait
	x.entry = q.queue.Push(u, x, now)
	return x, nil
}

// noSlot records the refusal of a request. The caller holds mu.
func (s *Scheduler) noSlot(w *Request, o Forecast, now time.Duration) error {
	if w.Software == nil && len(w.Excluded) == 0 && len(w.Avoid) == 0 {
		s.fairQueue(w.Pool).refusedAt[w.Rank] = now
	}
	s.fairQueue(w.Pool).queue.Refused(now)
	return &NoSlotError{Pool: w.Pool, RetryAfter: clampRetryDelay(o.Wait), Forecast: &o}
}

// mayServe reports whether a request may get a slot before requests that are not in the queue: more urgent
// ones that were refused lately, and those that were told to return about now. The caller holds mu.
func (s *Scheduler) mayServe(q *fairQueue, w *Request, u sharer.Use, candidates []*upstream, now time.Duration) bool {
	if q.moreUrgentRefused(w.Rank, now) && !q.queue.HasCredit(w.Rank) {
		return false
	}
	if u.Returned {
		return true
	}
	held := q.forecast.Held(q.position(u, now), now)
	if held == 0 {
		return true
	}
	o, _ := s.foresee(w, u, candidates, false, now)
	return o.Free > float64(held)
}

func (q *fairQueue) moreUrgentRefused(rank int, now time.Duration) bool {
	for r, at := range q.refusedAt {
		if r < rank && now-at < refusalMemory {
			return true
		}
	}
	return false
}

// dispatchFair reserves free slots for the requests in the fair queue of a pool, until a number of them have been
// examined in vain. The caller holds mu.
func (s *Scheduler) dispatchFair(p *pool, scan int, now time.Duration) {
	q := &p.fair
	for at := 0; at < q.queue.Len() && at < scan; {
		if next := q.queue.Next(); next > at && s.dispatchEntry(q, next, now) {
			continue
		}
		if !s.dispatchEntry(q, at, now) {
			at++
		}
	}
}

// dispatchEntry reserves a slot for one request of the queue. It returns false if there is none for it.
func (s *Scheduler) dispatchEntry(q *fairQueue, at int, now time.Duration) bool {
	e := q.queue.At(at)
	x := e.Value
	candidates := s.candidates(x.request, now)
	if !s.mayServe(q, x.request, e.Use, candidates, now) {
		return false
	}
	reservation := s.reserve(x.request, candidates, now)
	if reservation == nil {
		return false
	}
	x.reservation = reservation
	q.queue.Take(at, now)
	q.forecastWait += x.forecastWait
	q.waited += now - x.enqueuedAt
	close(x.done)
	return true
}

// evict ends the wait of a request that gets no slot.
func (q *fairQueue) evict(e *sharer.Entry[*waiter], now time.Duration) {
	q.queue.Remove(e, now)
	e.Value.evicted = true
	close(e.Value.done)
}

// review ends the waits of requests that are not expected to get a slot in time any more, and moves those that
// cannot meet their objectives any more behind others. The caller holds mu.
func (s *Scheduler) review(p *pool, now time.Duration) {
	q := &p.fair
	if q.queue.Len() == 0 {
		return
	}
	var o Forecast
	var late, expired []*sharer.Entry[*waiter]
	for i := range q.queue.Len() {
		e := q.queue.At(i)
		if i == 0 || e.Rank != q.queue.At(i-1).Rank { // what becomes free depends on the rank
			o, _ = s.foresee(e.Value.request, e.Use, s.candidates(e.Value.request, now), true, now)
		}
		wait := float64(i+1) / max(o.Rate, 1e-3) * reviewFraction
		switch {
		case o.Known && now+timer.Seconds(wait) > e.Value.waitUntil:
			expired = append(expired, e)
		case !e.Late && !e.Returned && e.Value.request.ObjectiveAt <= now:
			late = append(late, e)
		}
	}
	for _, e := range late {
		q.queue.MarkLate(e)
	}
	for _, e := range expired {
		q.evict(e, now)
	}
}

// recordHold records the time for which a request held its slot.
func (q *fairQueue) recordHold(d time.Duration) {
	if q.holdTime == 0 {
		q.holdTime = d
	}
	q.holdTime += time.Duration(holdWeight * float64(d-q.holdTime))
}

// promises returns the times that this host told callers of a pool lately.
func (q *fairQueue) promises(now time.Duration) []*schema.Promise {
	var all []*schema.Promise
	for _, x := range q.returns.Newest(maxReportedPromises, now-promiseReportTime) {
		lead := x.Position.Start - float64(q.queue.Virtual(x.Position.Rank))
		all = append(all, &schema.Promise{Content: x.Key, Wait: (x.DueAt - now).Seconds(), Lead: lead, Early: x.Early, Placed: x.Placed})
	}
	return all
}

// importPromises remembers the times that other hosts told callers of a pool. The rank of a request is not
// known before it returns: start tags are kept as leads.
func (q *fairQueue) importPromises(promises []*schema.Promise, now time.Duration) {
	for _, m := range promises {
		q.returns.Import(forecaster.Return{
			Key: m.Content, ToldAt: now, DueAt: now + timer.Seconds(m.Wait), Position: forecaster.Position{Start: m.Lead}, Early: m.Early, Placed: m.Placed,
		}, now)
	}
}

// updateOtherQueues applies what the other hosts told their callers. The caller holds mu.
func (s *Scheduler) updateOtherQueues(loads []*schema.PoolLoad) {
	now := s.Timer.Now()
	s.loadsAt = now
	if s.fairQueues() {
		for _, l := range loads {
			if len(l.Promises) > 0 {
				s.fairQueue(l.Pool).importPromises(l.Promises, now)
			}
		}
	}
}

// queued returns the number of requests that wait for a slot of the pool.
func (p *pool) queued() int { return len(p.waiting) + p.fair.queue.Len() }

// QueueState is the state of the queue of one pool, for metrics.
type QueueState struct {
	Pool string
	// Customers is the number of customers whose use is remembered. Promised is the number of told times that
	// are pending, Refused that of refused requests that may return.
	Waiting, Customers, Promised, Refused int
	// Largest are the customers that have used most beyond their shares.
	Largest []sharer.Standing
	// Made, Kept, Early and Passed count told times for which a place was taken, callers that returned to
	// their places, callers that came too early, and places that were given up.
	Made, Kept, Early, Passed uint64
	// ForecastWait and Waited are the sums of forecast and actual waits.
	ForecastWait, Waited time.Duration
}

// QueueStates returns the state of the queues of all pools, sorted by name. It has none of a Scheduler that
// has not been fair.
func (s *Scheduler) QueueStates() []QueueState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	var all []QueueState
	for name, p := range s.pools {
		q := &p.fair
		if q.arrivals == nil {
			continue
		}
		all = append(all, QueueState{
			Pool: name, Waiting: q.queue.Len(), Customers: q.queue.Customers(), Promised: q.forecast.Pending(), Refused: q.returns.Len(),
			Largest: q.queue.Largest(maxStandings, now), Made: q.forecast.Made, Kept: q.forecast.Kept, Early: q.forecast.Early, Passed: q.forecast.Passed,
			ForecastWait: q.forecastWait, Waited: q.waited,
		})
	}
	slices.SortFunc(all, func(a, b QueueState) int { return cmp.Compare(a.Pool, b.Pool) })
	return all
}
