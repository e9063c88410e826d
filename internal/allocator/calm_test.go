package allocator

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// calm is a load of one customer whose requests arrive at random times, and at random entry hosts, while control hosts
// answer. Its sizes are one, two and four times a large request. The requests wait for a loan as those of the forwarder
// do.
type calm struct {
	x        *sim
	customer string
	rate     float64 // tokens per second at all hosts together
	rand     *rand.Rand
	waiting  []*waiter
	// level is what the limits would still allow, were all tokens at one place.
	level float64
	// requests, served and refused count requests; refusedWithin those that were refused although the limits allowed
	// them. held are the places where the tokens were then, summed.
	requests, served, refused, refusedWithin int
	held                                     whereabouts
}

// waiter is a request that waits for tokens.
type waiter struct {
	e                  *simEntry
	tokens             float64
	retryAt, waitUntil time.Duration
}

// whereabouts are a customer's tokens by place: levels of the entry hosts' shares and of the control hosts' allotments,
// loans not spent yet, the leader's reserve, and those at no place since rate or burst were in use nowhere.
type whereabouts struct{ shares, entryLoans, allotments, controlLoans, reserve, nowhere float64 }

const (
	calmSize = 9_190.0
	calmWait = 875 * time.Millisecond // part of the objective of 2.5 s in which a request may wait for tokens
)

func newCalm(x *sim, customer string, rate float64) *calm {
	return &calm{x: x, customer: customer, rate: rate, rand: rand.New(rand.NewPCG(x.seed, 11)), level: x.limits[customer].Burst}
}

// size returns the tokens of a request: 1.6 large requests on average.
func (c *calm) size() float64 {
	switch f := c.rand.Float64(); {
	case f < 0.7:
		return calmSize
	case f < 0.9:
		return 2 * calmSize
	}
	return 4 * calmSize * (0.5 + 0.5*c.rand.Float64())
}

const calmMeanSize = calmSize * (0.7 + 0.2*2 + 0.1*3)

// run advances the sim while the requests arrive.
func (c *calm) run(d time.Duration) {
	limits := c.x.limits[c.customer]
	for range d / simStep {
		c.x.run(simStep, nil)
		c.level = math.Min(limits.Burst, c.level+limits.Rate*simStep.Seconds())
		for _, w := range c.due() {
			c.attempt(w)
		}
		for n := c.arrivals(); n > 0; n-- {
			c.requests++
			e := c.x.entries[c.rand.IntN(len(c.x.entries))]
			c.attempt(&waiter{e: e, tokens: c.size(), waitUntil: c.x.clock.Now() + calmWait})
		}
	}
}

// arrivals returns the number of requests that arrive in a step, Poisson distributed.
func (c *calm) arrivals() int {
	n, bound := 0, math.Exp(-c.rate/calmMeanSize*simStep.Seconds())
	for p := c.rand.Float64(); p > bound; p *= c.rand.Float64() {
		n++
	}
	return n
}

// due removes the requests whose wait has ended.
func (c *calm) due() []*waiter {
	var due, left []*waiter
	for _, w := range c.waiting {
		if w.retryAt <= c.x.clock.Now() {
			due = append(due, w)
		} else {
			left = append(left, w)
		}
	}
	c.waiting = left
	return due
}

// attempt charges a request as the forwarder does: it borrows, waits if there will be tokens in time, or is refused.
func (c *calm) attempt(w *waiter) {
	x, b := c.x, w.e.bucket
	var err error
	if w.retryAt == 0 {
		_, err = b.Take(c.customer, w.tokens)
	} else {
		err = b.RetryTake(c.customer, w.tokens)
	}
	for range 10 {
		var over *OverRateError
		if !errors.As(err, &over) {
			c.serve(w)
			return
		}
		remaining := w.waitUntil - x.clock.Now()
		switch {
		case over.RetryAfter > remaining || remaining <= 0:
			c.refuse(w)
			return
		case over.RetryAfter > 0:
			w.retryAt = x.clock.Now() + max(over.RetryAfter, minDrawInterval)
			c.waiting = append(c.waiting, w)
			return
		}
		lent, retry, lendErr := x.borrow(w.e, c.customer, over.MissingTokens, over.MissingTokens+over.DemandRate*BorrowAheadDuration.Seconds())
		if lendErr != nil {
			return // 503
		}
		b.RecordLoan(c.customer, lent, max(retry, minDrawInterval))
		err = b.RetryTake(c.customer, w.tokens)
	}
	c.refuse(w)
}

func (c *calm) serve(w *waiter) {
	c.served++
	c.level -= w.tokens
	c.x.spent[c.customer][len(c.x.spent[c.customer])-1] += w.tokens
	if ahead := w.e.bucket.BeginBorrowAhead(c.customer, w.tokens); ahead > 0 {
		lent, _, _ := c.x.borrow(w.e, c.customer, 0, ahead)
		w.e.bucket.RecordLoanAhead(c.customer, lent)
	}
}

func (c *calm) refuse(w *waiter) {
	c.refused++
	if c.level < w.tokens {
		return
	}
	c.refusedWithin++
	c.held.add(c.whereabouts())
}

func (c *calm) whereabouts() whereabouts {
	var p whereabouts
	limits := c.x.limits[c.customer]
	for _, e := range c.x.entries {
		if a := e.bucket.customers[c.customer]; a != nil {
			a.fill(e.bucket, limits, e.now())
			p.shares += a.level
			if e.now() < a.borrowedUntil {
				p.entryLoans += a.borrowed
			}
		}
	}
	for _, h := range c.x.controls {
		if a := h.bucket.customers[c.customer]; a != nil {
			a.fill(h.bucket, limits, h.now())
			p.allotments += a.level
			if h.now() < a.borrowedUntil {
				p.controlLoans += a.borrowed
			}
		}
	}
	r, _, _ := c.x.leader.allocator.fillReserve(c.customer, limits, c.x.leader.now())
	p.reserve = r.level
	p.nowhere = c.level - p.shares - p.entryLoans - p.allotments - p.controlLoans - p.reserve
	return p
}

func (p *whereabouts) add(q whereabouts) {
	p.shares += q.shares
	p.entryLoans += q.entryLoans
	p.allotments += q.allotments
	p.controlLoans += q.controlLoans
	p.reserve += q.reserve
	p.nowhere += q.nowhere
}

func (c *calm) String() string {
	n, h := math.Max(1, float64(c.refusedWithin)), c.held
	return fmt.Sprintf("%5d requests, %4d refused, %4d within the limits; tokens then: shares %6.0f, entry loans %6.0f, allotments %6.0f, control loans %6.0f, reserve %6.0f, nowhere %6.0f",
		c.requests, c.refused, c.refusedWithin, h.shares/n, h.entryLoans/n, h.allotments/n, h.controlLoans/n, h.reserve/n, h.nowhere/n)
}

// TestReclaimedTokensStayWithinLimits guards against tokens that return to the reserve and are also spent by the host that
// had them, or that were spent before: what hosts may spend is at each moment no more than what the limits allow, given all
// that was spent or lent since the start. Demand of 0.6 times the rate at all hosts alternates with three times the rate at
// some. In a third of the runs nothing fails; in the others replies are lost, reports arrive again late, entry hosts are suspended, restart, are
// cut off and change their control host, and control hosts are restarted or cut off.
func TestReclaimedTokensStayWithinLimits(t *testing.T) {
	reclaimed := 0.0
	for seed := range uint64(30) {
		limits := Limits{Rate: 50_000, Burst: 50_000}
		x := newSim(seed, 2+int(seed%8), 25, map[string]Limits{"c": limits})
		x.slack, x.exact = 0, true // what the slack allows comes on top
		for _, c := range x.controls {
			x.restartControl(c)
		}
		events := 1
		if seed%3 > 0 {
			x.lost, x.late, x.paused = 0.02, 0.05, 0.002
			events = 20
		}
		l := x.load("c", 150_000, 500)
		x.elect()
		x.run(20*time.Second, nil)
		for range 60 {
			r := x.rand
			l.hosts, l.rate = 1+r.IntN(len(x.entries)), 150_000
			if r.IntN(2) == 0 {
				l.hosts, l.rate = len(x.entries), 30_000 // what is not spent accumulates in the shares
			}
			c, e := x.controls[r.IntN(len(x.controls))], x.entries[r.IntN(len(x.entries))]
			switch r.IntN(events) {
			case 1, 2, 3, 4:
				e.downUntil = x.clock.Now() + time.Duration(r.Int64N(int64(8*time.Second)))
			case 5, 6, 7, 8:
				x.restartEntry(e)
			case 9, 10, 11, 12:
				e.partitioned = !e.partitioned
			case 13, 14:
				e.control = r.IntN(len(x.controls))
			case 15:
				x.restartControl(c)
				c.downUntil = x.clock.Now() + withClockDrift(StandingDuration)
			case 16:
				c.cutOff = c != x.leader && !c.cutOff
			}
			x.run(time.Duration(r.Int64N(int64(3*time.Second))), nil)
			if x.leader == nil || !x.up(&x.leader.simHost) {
				x.leader = nil
				x.run(electionDuration, nil)
				x.elect()
			}
		}
		for _, c := range x.controls {
			reclaimed += c.allocator.Stats().ReclaimedTokens
		}
		if x.violation != "" {
			t.Errorf("seed %d: %s", seed, x.violation)
		}
	}
	if reclaimed == 0 {
		t.Error("no tokens returned to the reserve in any run")
	}
}

// TestReclaimCountsWhatMayBeSpent guards against a leader that returns tokens to the reserve which a control host or its
// entry hosts have left, or may have spent since a report was made. A report that is overtaken, or that was made at a
// time that is not known, must not count as a new one.
func TestReclaimCountsWhatMayBeSpent(t *testing.T) {
	limits := Limits{Rate: 1000, Burst: 1000}
	for _, c := range []struct {
		name      string
		spent     float64 // counter in the last report
		potential float64
		stale     uint64 // subtracted from the number of the last report
		answered  bool   // the last report names the newest allotment
		complete  bool
		want      float64 // largest level of the reserve
	}{
		{"nothing left elsewhere", 100, 0, 0, true, true, 1000},
		{"left elsewhere", 100, 800, 0, true, true, 190},
		{"spent since", 900, 0, 0, true, true, 200},
		{"made at an unknown time", 100, 0, 0, false, true, 0},
		{"overtaken", 100, 0, 5, true, true, 0},
		{"process started again", 100, 0, 0, true, false, 0},
	} {
		now := time.Hour
		a := &Allocator{
			Now: func() time.Duration { return now }, Limits: func(string) (Limits, bool) { return limits, true },
			Adaptive: func() bool { return true }, Members: func() []string { return []string{"a"} },
		}
		a.NoteMembers()
		a.Start(1)
		p := &schema.Peer{Name: "a", Incarnation: 1, Complete: true, Metered: true, Demands: []*schema.Demand{{Customer: "c", Rate: 500, Size: 100}}}
		report := func(spent, potential float64) {
			p.Number++
			p.Standing = []*schema.Share{{Customer: "c", Standing: spent, StandingBurst: potential}}
			allotment := a.Allot(p)
			p.Allotment = max(p.Allotment, allotment.GetNumber())
			now += 200 * time.Millisecond
		}
		for range 100 {
			report(100, 1000) // nothing can be certain to be free
		}
		level := func() float64 {
			r, _, _ := a.fillReserve("c", limits, now)
			return r.level
		}
		level()
		a.reserves["c"].level = 0
		p.Number -= c.stale
		p.Complete = c.complete
		if !c.answered {
			p.Allotment = 1
		}
		report(c.spent, c.potential)
		now -= 200 * time.Millisecond
		a.reserves["c"].level, a.reserves["c"].filledAt = 0, now
		if got := level(); got > c.want || (got > 0) != (c.want > 0) {
			t.Errorf("%s: reserve of %.0f, want at most %.0f, and more than 0 unless that is 0", c.name, got, c.want)
		}
	}
}

// TestReclaimNeedsMeters guards against tokens that are spent again: a control host of an earlier version states no
// meters, which is not the same as having spent nothing, and one that has not reported for a while may have spent all.
func TestReclaimNeedsMeters(t *testing.T) {
	limits := Limits{Rate: 1000, Burst: 1000}
	reclaimed := map[string]bool{}
	for name, c := range map[string]struct {
		metered bool
		silence time.Duration
	}{
		"reports":         {true, 200 * time.Millisecond},
		"states no meter": {false, 200 * time.Millisecond},
		"silent":          {true, maxMeterAge + 200*time.Millisecond},
	} {
		now := time.Hour
		a := &Allocator{
			Now: func() time.Duration { return now }, Limits: func(string) (Limits, bool) { return limits, true },
			Adaptive: func() bool { return true }, Members: func() []string { return []string{"a"} },
		}
		a.NoteMembers()
		a.Start(1)
		p := &schema.Peer{Name: "a", Incarnation: 1, Complete: true, Metered: c.metered}
		for range 100 {
			p.Number++
			p.Allotment = max(p.Allotment, a.Allot(p).GetNumber())
			now += 200 * time.Millisecond
			_, _, _ = a.fillReserve("c", limits, now)
		}
		now += c.silence - 200*time.Millisecond
		before := a.stats.ReclaimedTokens
		a.reserves["c"].level, a.reserves["c"].filledAt = 0, now
		_, _, _ = a.fillReserve("c", limits, now)
		reclaimed[name] = a.stats.ReclaimedTokens > before
	}
	if diff := cmp.Diff(map[string]bool{"reports": true, "states no meter": false, "silent": false}, reclaimed); diff != "" {
		t.Errorf("tokens returned to the reserve: -want +got\n%s", diff)
	}
}

// TestMeterOfShare guards against a control host that reports less than a holder may have spent: a report that was made
// before the last one was answered may be old, a share that ends without a report may have been spent, and one that grew
// while no report came as well.
func TestMeterOfShare(t *testing.T) {
	now := time.Hour
	limits := func(string) (Limits, bool) { return Limits{Rate: 1000, Burst: 1000}, true }
	adaptive := func() bool { return true }
	clock := func() time.Duration { return now }
	b := &Bucket{Now: clock, Limits: limits, Adaptive: adaptive}
	b.ApplyAllotment(&schema.Allotment{Number: 1, Lease: int64(time.Hour), Hosts: 1, Shares: []*schema.Share{
		{Customer: "c", Rate: 100, Burst: 100, Limit: 1000, Standing: 100, StandingBurst: 100, Left: 6},
	}}, now)
	g := &Granter{Now: clock, Limits: limits, Adaptive: adaptive, Bucket: b}
	g.Fill(&schema.Peer{})
	now += withClockDrift(StandingDuration) // before, only shares that are held are renewed
	number := uint64(0)
	// report sends a report 1 s after the last one, and returns what counts as spent and what may be left.
	report := func(answered uint64, held ...*schema.Share) (spent, potential float64) {
		now += time.Second
		number++
		g.Grant(&schema.Peer{
			Name: "h", Incarnation: 1, Number: number, Allotment: answered, Standing: held,
			Demands: []*schema.Demand{{Customer: "c", Rate: 50, Size: 10}},
		})
		b.mu.Lock()
		defer b.mu.Unlock()
		if s := g.customers["c"].shares[holder{"h", 1}]; s != nil {
			potential = s.meter.potential
		}
		return b.customers["c"].spent, potential
	}
	held := func(spent, left float64) *schema.Share {
		return &schema.Share{Customer: "c", Rate: 50, Burst: 100, Left: 5, Limit: 1000, Standing: 1 + spent, StandingBurst: left}
	}
	check := func(name string, spent, potential, wantSpent, wantPotential float64) {
		t.Helper()
		if math.Abs(spent-wantSpent) > 0.01 || math.Abs(potential-wantPotential) > 0.01 {
			t.Errorf("%s: %.2f spent and %.2f left, want %.2f and %.2f", name, spent, potential, wantSpent, wantPotential)
		}
	}
	drift := 1 + maxDriftFraction
	spent, potential := report(0)
	check("granted", spent, potential, 0, 0)
	granted := g.customers["c"].shares[holder{"h", 1}].granted[0].rate
	spent, potential = report(1, held(500, 20))
	check("first report", spent, potential, granted*drift, 20+50*drift)
	first := spent
	spent, potential = report(2, held(530, 30))
	check("30 spent", spent, potential, first+30, 30+50*drift)
	rate := g.customers["c"].shares[holder{"h", 1}].largestRate()
	spent, potential = report(2, held(535, 0))
	check("report made at an unknown time", spent, potential, first+30, 30+50*drift+rate*drift)
	rate = g.customers["c"].shares[holder{"h", 1}].largestRate()
	left := potential + rate*drift
	spent, _ = report(4)
	if want := first + 30 + left; math.Abs(spent-want) > 0.01 {
		t.Errorf("share that ended without a report: %.2f spent, want %.2f", spent, want)
	}
}

// TestCalmDay guards against requests within the limits that get 429 while control hosts answer, as their tokens are in the
// standing shares of other hosts, or at no host: large requests of a customer that asks for 0.9 of its limits, at 1, 30, 77
// and 300 entry hosts. Some replies are lost, after which the entry host reports to another control host, and some reports
// arrive again late. There must not be more than without standing shares, nor than one of 100 requests.
func TestCalmDay(t *testing.T) {
	limits := Limits{Rate: 250_000, Burst: 250_000}
	for _, hosts := range []int{1, 30, 77, 300} {
		run := func(adaptive bool) *calm {
			x := newSim(1, 9, hosts, map[string]Limits{"c": limits})
			x.adaptive = adaptive
			x.lost, x.late = 0.002, 0.02
			x.elect()
			c := newCalm(x, "c", 0.9*limits.Rate)
			c.run(40 * time.Second)
			c.requests, c.served, c.refused, c.refusedWithin, c.held = 0, 0, 0, 0, whereabouts{}
			c.run(60 * time.Second)
			return c
		}
		without, with := run(false), run(true)
		t.Logf("%3d hosts, without shares: %v", hosts, without)
		t.Logf("%3d hosts, with shares:    %v", hosts, with)
		if with.refusedWithin > without.refusedWithin || with.refusedWithin*100 > with.requests {
			t.Errorf("%d hosts: %d of %d requests within the limits got 429, %d without shares", hosts, with.refusedWithin, with.requests, without.refusedWithin)
		}
		if sum, n := with.x.held("c"); n == 0 || sum.burst < calmSize {
			t.Errorf("%d hosts: %d shares of %.0f held, want one that holds a request for the time without control hosts", hosts, n, sum)
		}
		with.x.check(t, "c", limits.Burst)
	}
}
