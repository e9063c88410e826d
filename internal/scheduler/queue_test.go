package scheduler

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// crowd simulates customers' callers, several hosts and engines in virtual time. Callers that are refused
// return once, at the time that they are told.
type crowd struct {
	*region
	adaptive bool
	// sticky is the part of the callers that return to the same host.
	sticky float64
	counts map[string]*customerCounts
	next   uint64
	// onRefused is called for each refusal; may be nil.
	onRefused func(r *call, s *Scheduler, e *NoSlotError)
}

// customerSpec describes the requests of one customer, which arrive as a Poisson process.
type customerSpec struct {
	name                string
	rate                float64 // per second
	rank                int
	outputTokens        int64
	objective, deadline time.Duration
	// from and to bound the time in which they are sent; to 0: always.
	from, to time.Duration
	// ignores is set if callers come back every 60 ms, up to 20 times, whatever they are told.
	ignores bool
}

// customerCounts is what the callers of one customer observed.
type customerCounts struct {
	sent, served, refusedOnce, lost, returned, refusedAgain, tries int
	waits                                                          []time.Duration // of those that were served, from the first attempt
	first                                                          []time.Duration // of those that were served at the first attempt
	servedAt                                                       []time.Duration
	held                                                           []time.Duration // of refusals: time until the refusal
	delays                                                         []time.Duration // that refused callers were told
}

func (c *customerCounts) String() string {
	return fmt.Sprintf("%d sent, %d served, %d refused once, %d returned, %d refused again, %d lost, p50 wait %v, p99 wait %v, p99 refusal after %v",
		c.sent, c.served, c.refusedOnce, c.returned, c.refusedAgain, c.lost, quantile(c.waits, 0.5), quantile(c.waits, 0.99), quantile(c.held, 0.99))
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[int(q*float64(len(sorted)-1))]
}

func newCrowd(seed uint64, hosts, engineCount int, slots int32, adaptive bool) *crowd {
	c := &crowd{region: newRegion(seed, hosts, engineCount, 400*time.Millisecond), adaptive: adaptive, sticky: 0.5, counts: map[string]*customerCounts{}}
	c.hosts[0].Config().Pool("engine").Engine.Slots = slots
	for _, e := range c.engines {
		e.Slots = int(slots)
	}
	for _, s := range c.hosts {
		for _, u := range s.sortedUpstreams {
			u.announcement.Slots = slots
		}
		c.adopt(s)
	}
	return c
}

func (c *crowd) adopt(s *Scheduler) {
	if c.adaptive {
		s.FairQueue = func() bool { return true }
	}
	c.Every(50*time.Millisecond, s.DispatchAll)
}

// restart replaces a host by one that has just started. Requests that run go on.
func (c *crowd) restart(i int) {
	old := c.hosts[i]
	s := &Scheduler{Timer: c.Service, Config: old.Config, Random: old.Random, HostCount: old.HostCount}
	all := engines(len(c.engines))
	for _, a := range all {
		a.Slots = old.Config().Pool("engine").Engine.Slots
	}
	s.UpdateUpstreams(all)
	c.adopt(s)
	c.hosts[i] = s
}

func (c *crowd) simulate(d time.Duration, specs ...customerSpec) {
	stop := c.Every(c.reportInterval, c.exchange)
	end := c.Now() + d
	began := c.Now()
	for _, x := range specs {
		c.counts[x.name] = &customerCounts{}
		from, to := began+x.from, end
		if x.to > 0 {
			to = began + x.to
		}
		c.Once(from-c.Now(), func() { c.arrive(x, to) })
	}
	c.Advance(d + 20*time.Second)
	stop()
}

func (c *crowd) arrive(x customerSpec, to time.Duration) {
	pause := time.Duration(c.random.ExpFloat64() / x.rate * float64(time.Second))
	c.Once(pause, func() {
		if c.Now() >= to {
			return
		}
		c.request(x)
		c.arrive(x, to)
	})
}

// call is one request of a caller with all of its attempts.
type call struct {
	spec    customerSpec
	began   time.Duration
	parts   []PromptPart
	key     uint64
	host    int
	tries   int
	counted bool
}

func (c *crowd) request(x customerSpec) {
	c.next++
	r := &call{spec: x, began: c.Now(), key: xxhash.Sum64String(fmt.Sprint(c.next)), host: c.random.IntN(len(c.hosts))}
	r.parts = []PromptPart{{ID: fmt.Sprint("own", c.next), Tokens: 400}}
	c.counts[x.name].sent++
	c.try(r)
}

func (c *crowd) try(r *call) {
	r.tries++
	n := c.counts[r.spec.name]
	n.tries++
	s := c.hosts[r.host]
	now := c.Now()
	w := &Request{
		Pool: "engine", Parts: r.parts, InputTokens: 400, OutputTokens: r.spec.outputTokens, Rank: r.spec.rank, Customer: r.spec.name, Key: r.key,
		ObjectiveAt: r.began + r.spec.objective, Deadline: r.began + r.spec.deadline,
	}
	w.LateOnArrival = w.ObjectiveAt-now < r.spec.objective/4
	var err error
	if w.Claim, err = s.Claim(w); err != nil {
		c.refused(r, s, w, now, err)
		return
	}
	if r.tries > 1 && w.Claim.Returned {
		n.returned++
	}
	x, err := s.reserveOrEnqueue(w)
	if err != nil {
		c.refused(r, s, w, now, err)
		return
	}
	end := now + s.waitLimit(w)
	if x.entry != nil {
		end = x.waitUntil
	}
	c.wait(r, s, x, now, end)
}

func (c *crowd) wait(r *call, s *Scheduler, x *waiter, since, end time.Duration) {
	switch {
	case x.reservation != nil:
		n := c.counts[r.spec.name]
		n.served++
		n.waits = append(n.waits, c.Now()-r.began)
		n.servedAt = append(n.servedAt, c.Now())
		if r.tries == 1 {
			n.first = append(n.first, c.Now()-r.began)
		}
		c.start(x.request, x.reservation)
	case c.Now() < end && !x.evicted:
		c.Once(2*time.Millisecond, func() { c.wait(r, s, x, since, end) })
	default:
		err := s.noSlotError(x)
		s.cancelWait(x)
		c.refused(r, s, x.request, since, err)
	}
}

func (c *crowd) refused(r *call, s *Scheduler, w *Request, since time.Duration, err error) {
	n := c.counts[r.spec.name]
	n.held = append(n.held, c.Now()-since)
	var full *NoSlotError
	if !errors.As(err, &full) {
		n.lost++
		return
	}
	if c.onRefused != nil {
		c.onRefused(r, s, full)
	}
	delay := full.RetryAfter
	if c.adaptive && !full.Early {
		delay, _ = s.Promise(w)
	}
	n.delays = append(n.delays, delay)
	if !r.counted {
		n.refusedOnce++
		r.counted = true
	}
	left := w.Deadline - c.Now()
	switch {
	case r.spec.ignores && r.tries <= 20:
		delay = 60 * time.Millisecond
	case r.tries > 1:
		n.refusedAgain++
		n.lost++
		return
	case delay > left/3:
		n.lost++
		return
	}
	if c.random.Float64() >= c.sticky {
		r.host = c.random.IntN(len(c.hosts))
	}
	c.Once(delay, func() { c.try(r) })
}

func (c *crowd) total() *customerCounts {
	t := &customerCounts{}
	for _, n := range c.counts {
		t.sent += n.sent
		t.served += n.served
		t.refusedOnce += n.refusedOnce
		t.returned += n.returned
		t.refusedAgain += n.refusedAgain
		t.lost += n.lost
		t.waits = append(t.waits, n.waits...)
		t.held = append(t.held, n.held...)
		t.first = append(t.first, n.first...)
		t.delays = append(t.delays, n.delays...)
	}
	return t
}

func equalCustomers(n int, rate float64) []customerSpec {
	var all []customerSpec
	for i := range n {
		all = append(all, customerSpec{name: fmt.Sprint("customer", i), rate: rate, outputTokens: 100, objective: time.Second, deadline: 6 * time.Second})
	}
	return all
}

// slotRate is the number of requests of 100 output tokens that a slot of the emulator serves per second.
const slotRate = 1 / 0.82

// take returns the sum of the counts of some customers and removes them.
func (c *crowd) take(names ...string) *customerCounts {
	t := &crowd{counts: map[string]*customerCounts{}}
	for _, name := range names {
		t.counts[name] = c.counts[name]
		delete(c.counts, name)
	}
	return t.total()
}

// lostFraction returns the fraction of the requests that were not served.
func (c *customerCounts) lostFraction() float64 { return float64(c.lost) / float64(c.sent) }

// TestHeavyCustomer guards against a customer that displaces others by sending six times its usual load, which
// is in sum more than there are slots: at one host, none of the others' requests may be refused that would not
// be without it, and nearly none lost at several hosts.
func TestHeavyCustomer(t *testing.T) {
	for _, x := range []struct {
		hosts   int
		maxLost float64
	}{{1, 0}, {4, 0.01}} {
		run := func(adaptive bool, factor float64) (heavy, others *customerCounts) {
			c := newCrowd(1, x.hosts, 6, 16, adaptive)
			specs := equalCustomers(6, 0.64*96*slotRate/6)
			specs[0].rate *= factor
			c.simulate(12*time.Second, specs...)
			heavy = c.take("customer0")
			return heavy, c.total()
		}
		_, usual := run(true, 1)
		heavy, others := run(true, 6)
		_, before := run(false, 6)
		t.Logf("%d hosts\n others at the usual load: %v\n others: %v\n others without the queue: %v\n heavy: %v", x.hosts, usual, others, before, heavy)
		if x.hosts == 1 && others.refusedOnce > usual.refusedOnce {
			t.Errorf("%d hosts: %d requests of the others were refused, %d at the usual load", x.hosts, others.refusedOnce, usual.refusedOnce)
		}
		if got := others.lostFraction(); got > x.maxLost {
			t.Errorf("%d hosts: %.3f of the others' requests were lost, want at most %v", x.hosts, got, x.maxLost)
		}
		if before.lostFraction() < 0.05 {
			t.Errorf("%d hosts: only %.3f were lost without the queue: the load is too low for the test", x.hosts, before.lostFraction())
		}
		if heavy.served < heavy.sent/3 { // what the others leave is more than half of what it sends
			t.Errorf("%d hosts: %d of %d requests of the heavy customer were served: slots were left unused", x.hosts, heavy.served, heavy.sent)
		}
	}
}

// TestHeavyCustomerWaits guards against others that wait longer because of a customer that sends six times its
// usual load, in a pool that has fewer slots than are asked for anyway. The waits are those of the requests that
// are served at their first attempt.
func TestHeavyCustomerWaits(t *testing.T) {
	run := func(factor float64) *customerCounts {
		t := &customerCounts{}
		for seed := range uint64(2) {
			c := newCrowd(seed, 1, 6, 16, true)
			specs := equalCustomers(12, 1.1*96*slotRate/12)
			specs[0].rate *= factor
			c.simulate(12*time.Second, specs...)
			c.take("customer0")
			o := c.total()
			t.first = append(t.first, o.first...)
			t.sent += o.sent
			t.lost += o.lost
		}
		return t
	}
	usual, heavy := run(1), run(6)
	a, b := quantile(usual.first, 0.99), quantile(heavy.first, 0.99)
	t.Logf("p99 of the wait %v and %v, lost %d and %d of %d", a, b, usual.lost, heavy.lost, heavy.sent)
	if float64(b) > 1.1*float64(a) {
		t.Errorf("the 99th percentile of the others' waits is %v, want at most 1.1 times %v", b, a)
	}
	if heavy.lost > usual.lost {
		t.Errorf("the others lost %d requests, want at most %d", heavy.lost, usual.lost)
	}
}

// TestCrowdReturns guards against callers that are refused a second time: demand is 1.5 times the capacity for 3 s,
// and every refused caller returns once, half of them to another host. It covers 1, 30 and 300 hosts with reports
// that are 0.2 to 0.6 s old, and a host that restarts in the middle. With several hosts at most half as many requests
// may be lost as without the queue: slots stay free there as hosts may send only a few requests between reports. The
// requests of 300 hosts wait at the engines.
func TestCrowdReturns(t *testing.T) {
	for _, x := range []struct {
		hosts, engines int
		slots          int32
		restart        bool
		maxLost        float64 // as a fraction of what is lost without the queue
	}{{1, 6, 16, false, 0}, {4, 6, 16, true, 0.5}, {30, 6, 64, false, 0.5}, {300, 20, 64, false, 0.5}} {
		run := func(adaptive bool) (*customerCounts, uint64) {
			c := newCrowd(1, x.hosts, x.engines, x.slots, adaptive)
			capacity := float64(x.engines) * float64(x.slots) * slotRate
			specs := equalCustomers(6, 0.7*capacity/6)
			for _, b := range equalCustomers(6, 0.8*capacity/6) {
				b.name += "burst"
				b.from, b.to = 2*time.Second, 5*time.Second
				specs = append(specs, b)
			}
			if x.restart {
				c.Once(3*time.Second, func() { c.restart(0) })
			}
			c.simulate(6*time.Second, specs...)
			var made uint64
			for _, s := range c.hosts {
				for _, q := range s.QueueStates() {
					made += q.Made
					if q.Waiting != 0 || q.Promised > 0 && s.Timer.Now() > time.Hour+30*time.Second {
						t.Errorf("%d hosts: %+v at the end", x.hosts, q)
					}
				}
			}
			return c.total(), made
		}
		before, _ := run(false)
		got, made := run(true)
		t.Logf("%d hosts, restart %v, %d promises\n %v\n without the queue: %v", x.hosts, x.restart, made, got, before)
		// Up to 0.002 is lost for want of a slot quota at an engine.
		if lost := got.lostFraction(); lost > x.maxLost*before.lostFraction()+0.002 || x.hosts == 1 && lost > 0 {
			t.Errorf("%d hosts: %.3f of the requests were lost, want at most %v of %.3f", x.hosts, lost, x.maxLost, before.lostFraction())
		}
		for _, d := range got.delays {
			if d > 2*time.Second {
				t.Fatalf("%d hosts: a caller with a deadline of 6s was told to return after %v", x.hosts, d)
			}
		}
	}
}

// TestCallersThatIgnoreRetryAfter guards against callers that get more by coming back at once and often.
func TestCallersThatIgnoreRetryAfter(t *testing.T) {
	for _, hosts := range []int{1, 4} {
		c := newCrowd(1, hosts, 6, 16, true)
		specs := equalCustomers(12, 1.3*96*slotRate/12)
		for i := range 4 {
			specs[i].ignores = true
		}
		c.simulate(10*time.Second, specs...)
		ignore := c.take("customer0", "customer1", "customer2", "customer3")
		obey := c.total()
		t.Logf("%d hosts\n ignore: %v\n obey: %v", hosts, ignore, obey)
		if ignore.lostFraction() <= obey.lostFraction() {
			t.Errorf("%d hosts: callers that ignore Retry-After lose %.3f of their requests, others %.3f", hosts, ignore.lostFraction(), obey.lostFraction())
		}
	}
}

// TestRanks guards against serving a less urgent kind while a more urgent one of the same pool is refused, and
// against starving it. The more urgent kind alone asks for as many slots as there are in the last case.
func TestRanks(t *testing.T) {
	for _, hosts := range []int{1, 4} {
		for _, load := range []float64{0.8, 1.1, 1.5} {
			c := newCrowd(1, hosts, 6, 16, true)
			high := customerSpec{name: "high", rate: 0.7 * load * 96 * slotRate, outputTokens: 100, objective: 800 * time.Millisecond, deadline: 15 * time.Second}
			low := customerSpec{name: "low", rank: 2, rate: 0.3 * load * 96 * slotRate, outputTokens: 100, objective: 2500 * time.Millisecond, deadline: 6 * time.Second}
			c.simulate(10*time.Second, high, low)
			a, b := c.counts["high"], c.counts["low"]
			t.Logf("%d hosts, load %v\n high: %v\n low: %v", hosts, load, a, b)
			if a.lostFraction() > b.lostFraction() {
				t.Errorf("%d hosts, load %v: %.3f of the more urgent requests were lost, %.3f of the others", hosts, load, a.lostFraction(), b.lostFraction())
			}
			if a.lostFraction() > 0.02 {
				t.Errorf("%d hosts, load %v: %.3f of the more urgent requests were lost, want at most 0.02", hosts, load, a.lostFraction())
			}
			if b.servedWithin(5*time.Second, 10*time.Second) < 10 {
				t.Errorf("%d hosts, load %v: the less urgent rank starves", hosts, load)
			}
		}
	}
}

// servedWithin returns the number of requests that got a slot in a span of the simulation.
func (c *customerCounts) servedWithin(from, to time.Duration) int {
	n := 0
	for _, at := range c.servedAt {
		if at -= time.Hour; at >= from && at < to {
			n++
		}
	}
	return n
}

// TestRefusedAtOnce guards against holding a request that will not get a slot, and against a queue that is full
// of requests of one customer.
func TestRefusedAtOnce(t *testing.T) {
	s := newScheduler(engines(1)...)
	s.FairQueue = func() bool { return true }
	s.fillEngine()
	s.pools["engine"].fair.holdTime = time.Second
	own := func(customer string, key uint64) *Request {
		w := s.prompt("x", 10, time.Second)
		w.Parts = w.Parts[1:]
		w.Customer, w.Key = customer, key
		return w
	}
	refused := 0
	for i := range 100 {
		w := own("heavy", uint64(i+1))
		if _, err := s.reserveOrEnqueue(w); errors.Is(err, ErrNoSlot) {
			refused++
			if after, o := s.Promise(w); after <= 0 || o == nil {
				t.Fatalf("told to return after %v, forecast %+v", after, o)
			}
		}
	}
	// 20 slots become free per second and requests wait for 350 ms: 7 of them may wait.
	if refused != 93 {
		t.Errorf("%d of 100 requests were refused at once, want 93", refused)
	}
	if x, err := s.reserveOrEnqueue(own("other", 1000)); err != nil || x.entry == nil {
		t.Errorf("a request of another customer does not wait: %v", err)
	}
	if first := s.pools["engine"].fair.queue.At(1); first.Customer != "other" && s.pools["engine"].fair.queue.At(0).Customer != "other" {
		t.Errorf("the other customer's request waits behind %s", first.Customer)
	}
}

// TestClaim guards against callers that gain by coming early, and against losing the place of one that returns
// in time.
func TestClaim(t *testing.T) {
	s := newScheduler(engines(1)...)
	s.FairQueue = func() bool { return true }
	s.fillEngine()
	s.pools["engine"].fair.holdTime = time.Second
	refuse := func(key uint64) (*Request, time.Duration) {
		w := s.prompt("x", 10, time.Second)
		w.Parts, w.Customer, w.Key = w.Parts[1:], fmt.Sprint("c", key), key
		w.Deadline = s.Timer.Now() + 15*time.Second
		after, o := s.Promise(w)
		if !o.Placed {
			t.Fatalf("no place for request %d: %+v", key, o)
		}
		return w, after
	}
	inTime, after := refuse(1)
	early, earlyAfter := refuse(2)
	if claim, err := s.Claim(&Request{Pool: "engine", Key: 3}); claim != (Claim{}) || err != nil {
		t.Errorf("a new request claims %+v, %v", claim, err)
	}
	s.Timer.Advance(20 * time.Millisecond)
	var full *NoSlotError
	for range 2 {
		if _, err := s.Claim(early); !errors.As(err, &full) || !full.Early || full.RetryAfter != earlyAfter-20*time.Millisecond {
			t.Fatalf("a caller that comes early gets %v, want the same time again", err)
		}
	}
	s.Timer.Advance(after - 20*time.Millisecond)
	claim, err := s.Claim(inTime)
	if err != nil || !claim.Returned || !claim.Placed {
		t.Errorf("a caller that returns in time claims %+v, %v", claim, err)
	}
	if claim, _ = s.Claim(inTime); claim.Returned {
		t.Error("a place is claimed twice")
	}
	s.Timer.Advance(max(0, earlyAfter-after))
	if claim, err = s.Claim(early); err != nil || claim.Returned {
		t.Errorf("a caller that came early once claims %+v, %v at the told time", claim, err)
	}
	q := s.QueueStates()[0]
	if got := [4]uint64{q.Made, q.Kept, q.Early, q.Passed}; got != [4]uint64{2, 1, 2, 0} {
		t.Errorf("promises made, kept, early and passed: %v", got)
	}
}

// TestClaimAtAnotherHost guards against treating a caller that returns to another host of the region as new.
func TestClaimAtAnotherHost(t *testing.T) {
	c := newCrowd(1, 2, 1, 16, true)
	a, b := c.hosts[0], c.hosts[1]
	w := a.prompt("x", 10, time.Second)
	w.Key, w.Customer, w.Deadline = 9, "c", a.Timer.Now()+15*time.Second
	after, _ := a.Promise(w)
	c.exchange()
	c.Advance(c.reportInterval / 2)
	if _, err := b.Claim(w); after > 400*time.Millisecond && err == nil {
		t.Errorf("a caller that was told %v may come after 200ms to another host", after)
	}
	w.Key = 10
	after, o := a.Promise(w)
	c.exchange()
	c.Advance(max(after, c.reportInterval/2))
	claim, err := b.Claim(w)
	if err != nil || !claim.Returned || claim.Placed != o.Placed || !claim.Imported {
		t.Errorf("told %v, %+v: the other host says %+v, %v", after, o, claim, err)
	}
}

// TestAcquireFair guards against a wait that never ends, and slots that are lost, when requests wait in the fair
// queue, get a slot, are evicted, or are abandoned by their callers.
func TestAcquireFair(t *testing.T) {
	s := newScheduler(engines(1)...)
	s.FairQueue = func() bool { return true }
	running := s.fillEngine()
	s.pools["engine"].fair.holdTime = time.Second
	type result struct {
		reservation *Reservation
		err         error
	}
	results := make(chan result, 3)
	ctx, cancel := context.WithCancel(context.Background())
	start := func(ctx context.Context, customer string) {
		w := s.prompt("x", 10, 2*time.Second)
		w.Parts, w.Customer = w.Parts[1:], customer
		before := s.waitingFair()
		go func() {
			p, err := s.Acquire(ctx, w)
			results <- result{p, err}
		}()
		for s.waitingFair() == before {
			runtime.Gosched()
		}
	}
	start(context.Background(), "a")
	start(ctx, "b")
	start(context.Background(), "c")
	cancel()
	if r := <-results; !errors.Is(r.err, context.Canceled) {
		t.Fatalf("abandoned: %v", r.err)
	}
	for _, p := range running[:5] { // one slot and the engine's queue
		p.Release(Answered)
	}
	if r := <-results; r.err != nil || r.reservation == nil {
		t.Fatalf("after a release: %v", r.err)
	}
	s.mu.Lock()
	q := &s.pools["engine"].fair
	for q.queue.Len() > 0 {
		q.evict(q.queue.At(0), s.Timer.Now())
	}
	s.mu.Unlock()
	r := <-results
	var full *NoSlotError
	if r.reservation == nil && (!errors.As(r.err, &full) || full.Forecast == nil) {
		t.Fatalf("evicted: %v", r.err)
	}
}

func (s *Scheduler) waitingFair() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools["engine"].fair.queue.Len()
}

// BenchmarkEnqueue measures the admission of a request while 400 others wait, with 250 engines.
func BenchmarkEnqueue(b *testing.B) {
	s := newScheduler(engines(250)...)
	s.FairQueue = func() bool { return true }
	for _, u := range s.sortedUpstreams {
		u.otherRunning = 16
	}
	q := s.fairQueue("engine")
	q.holdTime = 10 * time.Millisecond
	request := func(i int) *Request {
		w := s.prompt("x", 10, time.Second)
		w.Parts, w.Customer, w.Key = w.Parts[1:], fmt.Sprint("c", i%40), uint64(i+1)
		return w
	}
	for i := range maxQueueLength - 1 {
		if _, err := s.reserveOrEnqueue(request(i)); err != nil {
			b.Fatal(err)
		}
	}
	w := request(7)
	b.ReportAllocs()
	for b.Loop() {
		x, err := s.reserveOrEnqueue(w)
		if err != nil {
			b.Fatal(err)
		}
		s.cancelWait(x)
	}
}
