package allocator

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	simStep   = 10 * time.Millisecond
	simWindow = 8 * time.Second
	simSlack  = 20_000.0
	// Time in which the control hosts that are left elect a leader.
	electionDuration = 1500 * time.Millisecond
)

// sim is a deployment in adaptive mode on a manual clock: control hosts of which one leads, and entry hosts whose callers
// ask for tokens. Hosts' clocks differ in offset and, by up to 1 %, in speed.
type sim struct {
	seed     uint64
	rand     *rand.Rand
	clock    *timer.Service
	limits   map[string]Limits
	adaptive bool
	controls []*simControl
	entries  []*simEntry
	leader   *simControl // nil: none
	term     uint64
	// loads are the customers' requests, spread over the entry hosts.
	loads []*simLoad
	// spent are the tokens spent in each step, by customer; allowed the tokens that the rate then allowed.
	spent, allowed map[string][]float64
	// left is what the limits allow, by customer, if they are charged when tokens are spent out of a share or an allotment,
	// or lent out of the reserve; the rate is that of the fastest clock. shareTokens are those of shares as of the last
	// call of chargeShares.
	left        map[string]float64
	shareTokens map[*Bucket]float64
	// slack is the SlackTokens of control hosts. exact says that verify compares the tokens that hosts may spend with left.
	slack     float64
	exact     bool
	steps     int
	violation string // first violation that verify found; empty: none
	// lost is the part of the replies to reports that are lost, late the part of reports that arrive again after the next
	// one, paused the part of replies before which an entry host is suspended for up to 7 s.
	lost, late, paused float64
}

type simLoad struct {
	customer string
	rate     float64 // tokens per second at all hosts together
	size     float64
	due      float64
	// hosts is the number of entry hosts at which the requests arrive; 0: all.
	hosts int
	next  int
	tally map[outcome]int
}

type outcome string

const (
	served    outcome = "served"
	overRate  outcome = "429"
	starting  outcome = "503 starting"
	noControl outcome = "503 no control"
)

type simHost struct {
	now         func() time.Duration
	downUntil   time.Duration // suspended or stopped
	partitioned bool          // no message passes
}

type simControl struct {
	simHost
	name      string
	allocator *Allocator
	bucket    *Bucket
	granter   *Granter
	lender    *Lender
	number    uint64
	late      *schema.Peer
	cutOff    bool // no message passes to or from another control host
}

type simEntry struct {
	simHost
	name        string
	bucket      *Bucket
	control     int
	incarnation uint64
	number      uint64
	late        *schema.Peer
	lateTo      *simControl
	// answered is the number of the last report whose reply was applied.
	answered uint64
	// pending is a reply that arrived while the host was suspended, requested at sentAt.
	pending []*schema.Share
	sentAt  time.Duration
}

func newSim(seed uint64, controls, entries int, limits map[string]Limits) *sim {
	x := &sim{
		seed: seed, rand: rand.New(rand.NewPCG(seed, 7)), clock: &timer.Service{Clock: &timer.ManualClock{}}, limits: limits, adaptive: true,
		spent: map[string][]float64{}, allowed: map[string][]float64{}, left: map[string]float64{}, shareTokens: map[*Bucket]float64{}, slack: simSlack,
	}
	x.clock.Advance(time.Hour)
	for i := range controls {
		c := &simControl{simHost: x.newHost(), name: fmt.Sprint("control", i)}
		x.controls = append(x.controls, c)
		x.restartControl(c)
	}
	for i := range entries {
		e := &simEntry{simHost: x.newHost(), name: fmt.Sprint("entry", i), control: i % controls}
		x.entries = append(x.entries, e)
		x.restartEntry(e)
	}
	return x
}

func (x *sim) newHost() simHost {
	offset, speed := time.Duration(x.rand.Int64N(int64(time.Hour))), 0.995+0.01*x.rand.Float64()
	return simHost{now: func() time.Duration { return offset + time.Duration(float64(x.clock.Now())*speed) }}
}

func (x *sim) limitsOf(customer string) (Limits, bool) {
	l, known := x.limits[customer]
	return l, known
}

func (x *sim) isAdaptive() bool { return x.adaptive }

// restartControl replaces a control host's process: its memory is lost.
func (x *sim) restartControl(c *simControl) {
	if x.leader == c {
		x.leader = nil
	}
	c.number = 0
	c.allocator = &Allocator{Now: c.now, Limits: x.limitsOf, Adaptive: x.isAdaptive}
	c.allocator.Members = func() []string {
		var names []string
		for _, c := range x.controls {
			names = append(names, c.name)
		}
		return names
	}
	c.bucket = &Bucket{Now: c.now, Limits: x.limitsOf, SlackTokens: x.slack, Adaptive: x.isAdaptive}
	c.granter = &Granter{Now: c.now, Limits: x.limitsOf, Adaptive: x.isAdaptive, Bucket: c.bucket}
	c.lender = &Lender{Bucket: c.bucket, Background: func(f func()) { f() }, Draw: func(_ context.Context, customer string, minTokens, maxTokens float64) (float64, time.Duration, error) {
		if x.leader == nil || !x.reaches(&c.simHost, &x.leader.simHost) || c.cutOff && c != x.leader {
			return 0, 0, errLost
		}
		tokens, retry, err := x.leader.allocator.LendOrLearn(customer, minTokens, maxTokens)
		x.left[customer] -= tokens
		return tokens, retry, err
	}}
}

// restartEntry replaces an entry host's process.
func (x *sim) restartEntry(e *simEntry) {
	e.incarnation++
	e.number, e.answered = 0, 0
	e.pending = nil
	e.bucket = &Bucket{Now: e.now, Limits: x.limitsOf, LoansOnly: true, Adaptive: x.isAdaptive}
}

func (x *sim) up(h *simHost) bool { return x.clock.Now() >= h.downUntil }

func (x *sim) reaches(a, b *simHost) bool {
	return a == b || x.up(a) && x.up(b) && !a.partitioned && !b.partitioned
}

// elect makes a control host that is up the leader; none if there is none.
func (x *sim) elect() {
	x.leader = nil
	for _, i := range x.rand.Perm(len(x.controls)) {
		if c := x.controls[i]; x.up(&c.simHost) && !c.partitioned {
			x.leader = c
			x.term++
			c.allocator.Start(x.term)
			return
		}
	}
}

// run advances the clock, and calls the events that are due after each step since the start of the call.
func (x *sim) run(d time.Duration, events map[time.Duration]func()) {
	for at := time.Duration(0); at < d; at += simStep {
		if event := events[at]; event != nil {
			event()
		}
		x.clock.Advance(simStep)
		x.steps++
		for customer, l := range x.limits {
			x.spent[customer] = append(x.spent[customer], 0)
			x.allowed[customer] = append(x.allowed[customer], l.Rate*simStep.Seconds())
			if len(x.spent[customer]) == 1 {
				x.left[customer] = l.Burst
			}
			x.left[customer] = math.Min(l.Burst, x.left[customer]+1.005*l.Rate*simStep.Seconds())
		}
		for _, l := range x.loads {
			for l.due += l.rate * simStep.Seconds(); l.due >= l.size; l.due -= l.size {
				n := l.hosts
				if n == 0 {
					n = len(x.entries)
				}
				l.next++
				e := x.entries[l.next%n]
				if !x.up(&e.simHost) {
					continue
				}
				result := x.request(e, l.customer, l.size)
				l.tally[result]++
				if result == served {
					x.spent[l.customer][len(x.spent[l.customer])-1] += l.size
				}
			}
		}
		if x.exact {
			x.chargeShares()
		}
		if x.steps%10 == 0 {
			x.verify()
		}
		for i, e := range x.entries {
			if (x.steps+i*7)%40 == 0 {
				x.refresh(e)
			}
		}
		for i, c := range x.controls {
			if (x.steps+i*3)%20 == 0 {
				if x.up(&c.simHost) {
					c.allocator.NoteMembers()
				}
				x.consult(c)
			}
		}
	}
}

// request charges a request as an entry host does, and says what its caller is told.
func (x *sim) request(e *simEntry, customer string, tokens float64) outcome {
	_, err := e.bucket.Take(customer, tokens)
	var over *OverRateError
	if errors.As(err, &over) && over.RetryAfter == 0 {
		lent, retry, err := x.borrow(e, customer, over.MissingTokens, over.MissingTokens+over.DemandRate*BorrowAheadDuration.Seconds())
		var s *StartingError
		switch {
		case errors.As(err, &s):
			e.bucket.RecordStarting(customer, s.RetryAfter)
		case err != nil:
			return noControl
		default:
			e.bucket.RecordLoan(customer, lent, max(retry, minDrawInterval))
		}
	}
	if over != nil {
		err = e.bucket.RetryTake(customer, tokens)
	}
	if err == nil {
		if ahead := e.bucket.BeginBorrowAhead(customer, tokens); ahead > 0 {
			lent, _, _ := x.borrow(e, customer, 0, ahead)
			e.bucket.RecordLoanAhead(customer, lent)
		}
		return served
	}
	if errors.As(err, &over) && over.Learning > 0 {
		return starting
	}
	return overRate
}

func (x *sim) borrow(e *simEntry, customer string, minTokens, maxTokens float64) (float64, time.Duration, error) {
	c := x.controls[e.control]
	if !x.reaches(&e.simHost, &c.simHost) {
		return 0, 0, errLost
	}
	before := c.level(customer, x.limits[customer])
	lent, retry, err := c.lender.Lend(context.Background(), customer, minTokens, maxTokens)
	x.left[customer] -= before - c.level(customer, x.limits[customer])
	return lent, retry, err
}

// level returns the tokens of the control host's allotment.
func (c *simControl) level(customer string, limits Limits) float64 {
	c.bucket.mu.Lock()
	defer c.bucket.mu.Unlock()
	return c.bucket.account(customer, limits, c.now()).level
}

// chargeShares charges what entry hosts spent out of their shares since the last call. There is one customer.
func (x *sim) chargeShares() {
	for customer := range x.limits {
		for _, e := range x.entries {
			spent := e.bucket.Stats().SpentTokens
			x.left[customer] -= spent - x.shareTokens[e.bucket]
			x.shareTokens[e.bucket] = spent
		}
	}
}

// refresh sends an entry host's report, whose reply may be lost; then the next goes to another control host.
func (x *sim) refresh(e *simEntry) {
	c := x.controls[e.control]
	if !x.up(&e.simHost) {
		return
	}
	if e.pending != nil {
		e.bucket.ApplyStanding(e.pending, e.sentAt)
		e.pending, e.answered = nil, e.number
	}
	demands, _ := e.bucket.Report(nil)
	if !x.reaches(&e.simHost, &c.simHost) {
		e.control = x.rand.IntN(len(x.controls))
		return
	}
	e.number++
	p := &schema.Peer{Name: e.name, Incarnation: e.incarnation, Number: e.number, Standing: e.bucket.Standing(), Allotment: e.answered}
	p.Standing = append(p.Standing, e.bucket.Ended(MaxStandingCustomers-len(p.Standing))...)
	if x.adaptive {
		p.Demands = LargestDemands(demands)
	}
	sentAt := e.now()
	shares, _ := c.granter.Grant(p)
	if e.late != nil {
		e.lateTo.granter.Grant(e.late) // a connection has one host at its other end
		e.late = nil
	}
	if x.rand.Float64() < x.late {
		e.late, e.lateTo = proto.CloneOf(p), c
	}
	if x.rand.Float64() < x.paused {
		e.pending, e.sentAt = shares, sentAt
		e.downUntil = x.clock.Now() + time.Duration(x.rand.Int64N(int64(7*time.Second)))
		return
	}
	if x.rand.Float64() < x.lost {
		e.control = x.rand.IntN(len(x.controls))
		return
	}
	e.bucket.ApplyStanding(shares, sentAt)
	e.answered = e.number
}

// consult sends a control host's report to the leader.
func (x *sim) consult(c *simControl) {
	if x.leader == nil || !x.reaches(&c.simHost, &x.leader.simHost) || !x.up(&c.simHost) || c.cutOff && c != x.leader {
		return
	}
	var customers []string
	for name := range x.limits {
		customers = append(customers, name)
	}
	p := &schema.Peer{Name: c.name, Incarnation: 1}
	c.number++
	p.Number = c.number
	p.Demands, p.Allotment = c.bucket.Report(customers)
	c.granter.Fill(p)
	sentAt := c.now()
	a := x.leader.allocator.Allot(p)
	if c.late != nil {
		x.leader.allocator.Allot(c.late)
		c.late = nil
	}
	if x.rand.Float64() < x.late {
		c.late = proto.CloneOf(p)
	}
	if x.rand.Float64() >= x.lost {
		c.bucket.ApplyAllotment(a, sentAt)
	}
}

func (x *sim) load(customer string, rate, size float64) *simLoad {
	l := &simLoad{customer: customer, rate: rate, size: size, tally: map[outcome]int{}}
	x.loads = append(x.loads, l)
	return l
}

// share returns the part of a load's requests since the last call that had the outcome.
func (l *simLoad) share(o outcome) float64 {
	sum := 0
	for _, n := range l.tally {
		sum += n
	}
	share := float64(l.tally[o]) / math.Max(1, float64(sum))
	return share
}

func (l *simLoad) reset() { l.tally = map[outcome]int{} }

// check fails the test if more was spent in a window than rate and burst allow, with 10 % and the slack. Burst is the
// largest that the customer had.
func (x *sim) check(t *testing.T, customer string, burst float64) {
	t.Helper()
	if x.violation != "" {
		t.Fatalf("seed %d: %s", x.seed, x.violation)
	}
	n := int(simWindow / simStep)
	spent, allowed := 0.0, 0.0
	for i := range x.spent[customer] {
		spent += x.spent[customer][i]
		allowed += x.allowed[customer][i]
		if i >= n {
			spent -= x.spent[customer][i-n]
			allowed -= x.allowed[customer][i-n]
		}
		if bound := (allowed+burst)*1.1 + simSlack; spent > bound {
			t.Fatalf("seed %d: %v tokens of %s spent in the window that ends at step %d, bound %v", x.seed, spent, customer, i, bound)
		}
	}
}

// verify checks that the parts of the limits that hosts may use at this moment, each by its own clock, are not more than
// the limits: the shares that entry hosts hold, what control hosts may spend of their allotments, and the reserve.
func (x *sim) verify() {
	for customer, limits := range x.limits {
		var standing, direct, free part
		for _, e := range x.entries {
			if a := e.bucket.customers[customer]; a != nil && e.now() < a.allottedUntil {
				rate, burst := a.reducedShare(limits)
				standing = standing.plus(part{rate, burst})
			}
		}
		for _, c := range x.controls {
			if a := c.bucket.customers[customer]; a != nil && c.now() < a.allottedUntil {
				rate, burst := c.bucket.allottedPart(a, limits)
				direct = direct.plus(part{rate, burst})
			}
		}
		if x.leader != nil && x.up(&x.leader.simHost) {
			_, free.rate, free.burst = x.leader.allocator.fillReserve(customer, limits, x.leader.now())
		}
		sum, largest, bound := standing.plus(direct).plus(free), part{limits.Rate, limits.Burst}.times(1.0001), maxStanding(limits).times(1.0001)
		if x.violation == "" && (sum.rate > largest.rate || sum.burst > largest.burst || standing.rate > bound.rate || standing.burst > bound.burst) {
			x.violation = fmt.Sprintf("at step %d limits %v, shares %.0f, allotments %.0f, reserve %.0f", x.steps, limits, standing, direct, free)
		}
		shares, allotments, reserve := x.levels(customer, limits)
		left := x.left[customer]
		// A control host that has started holds the burst of its floor, wherever that was spent before.
		if x.violation == "" && x.exact && shares+allotments+reserve > left+0.02*limits.Burst {
			x.violation = fmt.Sprintf("at step %d limits %v allow %.0f, but hosts may spend: shares %.0f, allotments %.0f, reserve %.0f", x.steps, limits, left, shares, allotments, reserve)
		}
	}
}

// levels returns the tokens that hosts may spend at this moment out of shares, allotments and the reserve.
func (x *sim) levels(customer string, limits Limits) (shares, allotments, reserve float64) {
	for _, e := range x.entries {
		if a := e.bucket.customers[customer]; a != nil && e.now() < a.allottedUntil {
			a.fill(e.bucket, limits, e.now())
			shares += a.level
		}
	}
	for _, c := range x.controls {
		if a := c.bucket.customers[customer]; a != nil && c.now() < a.allottedUntil {
			a.fill(c.bucket, limits, c.now())
			allotments += math.Max(0, a.level)
		}
	}
	if x.leader != nil && x.up(&x.leader.simHost) {
		r, _, _ := x.leader.allocator.fillReserve(customer, limits, x.leader.now())
		reserve = math.Max(0, r.level)
	}
	return shares, allotments, reserve
}

// held returns the sum of the shares that entry hosts may spend, and their number.
func (x *sim) held(customer string) (sum part, n int) {
	for _, e := range x.entries {
		for _, s := range e.bucket.Standing() {
			if s.Customer == customer && x.up(&e.simHost) {
				sum = sum.plus(part{s.Rate, s.Burst})
				n++
			}
		}
	}
	return sum, n
}

// loseControl ends all control hosts for a time, with their memory. A leader is elected afterwards.
func (x *sim) loseControl(d time.Duration, during func()) {
	for _, c := range x.controls {
		x.restartControl(c)
		c.downUntil = x.clock.Now() + d
	}
	x.run(d, nil)
	x.run(electionDuration, nil)
	if during != nil {
		during()
	}
	x.elect()
}

// settle elects a leader and runs until shares are granted and averages of demand formed.
func (x *sim) settle() {
	x.elect()
	x.run(25*time.Second, nil)
	for _, l := range x.loads {
		l.reset()
	}
}

// TestControlLostBriefly guards against callers within their limits who are refused while all control hosts are
// restarted and elect a leader, and after that, and against 429 for them. Small requests come to 1, 30 and 300 entry
// hosts, whose shares each hold a request. The shares may be 0.45 of the limits: customers that ask for less lose
// nothing, of others at least that part is granted while no control host answers. After the election they get the
// reserve in addition, and from StartDelay on all of it.
func TestControlLostBriefly(t *testing.T) {
	for _, entries := range []int{1, 30, 300} {
		for _, demand := range []float64{0.2, 0.4, 0.6, 0.8} {
			x := newSim(uint64(entries), 9, entries, map[string]Limits{"c": {Rate: 300_000, Burst: 300_000}})
			l := x.load("c", demand*300_000, 250)
			x.settle()
			x.run(5*time.Second, nil)
			if got := l.share(served); got < 1 {
				t.Errorf("%d hosts, demand %v: %.3f granted in calm, want all", entries, demand, got)
			}
			l.reset()
			var away float64
			x.loseControl(1500*time.Millisecond, func() { away = l.share(served) })
			if want := min(1, maxStandingFraction/demand) * 0.9; away < want {
				t.Errorf("%d hosts, demand %v: %.3f granted while no control host answers, want %.3f", entries, demand, away, want)
			}
			l.reset()
			x.run(StartDelay, nil)
			if got, want := l.share(served), min(1, (maxStandingFraction+0.2)/demand)*0.9; got < want {
				t.Errorf("%d hosts, demand %v: %.3f granted while the leader learns, want %.3f", entries, demand, got, want)
			}
			x.run(time.Second, nil)
			l.reset()
			x.run(10*time.Second, nil)
			if got := l.share(served); got < 0.98 {
				t.Errorf("%d hosts, demand %v: %.3f granted after StartDelay, want 0.98", entries, demand, got)
			}
			if l.tally[overRate] > 0 {
				t.Errorf("%d hosts, demand %v: %d requests within the limits got 429", entries, demand, l.tally[overRate])
			}
			x.check(t, "c", 300_000)
		}
	}
}

// TestControlLostForLong guards against shares that are spent after their leases, and against 429 where nobody can
// decide.
func TestControlLostForLong(t *testing.T) {
	x := newSim(1, 9, 30, map[string]Limits{"c": {Rate: 300_000, Burst: 300_000}})
	l := x.load("c", 0.4*300_000, 250)
	x.settle()
	x.loseControl(20*time.Second, nil)
	// Leases were renewed up to 0.4 s before.
	if n := l.tally[served]; float64(n)*250 > 0.4*300_000*(StandingDuration+100*time.Millisecond).Seconds()+0.45*300_000 {
		t.Errorf("%d requests granted in 21.5 s without control", n)
	}
	if l.tally[overRate]+l.tally[starting] > 0 {
		t.Errorf("outcomes without control: %v", l.tally)
	}
	if sum, n := x.held("c"); n > 0 {
		t.Errorf("%d shares of %v held after 21.5 s without control", n, sum)
	}
	x.run(learnDuration+10*time.Second, nil)
	l.reset()
	x.run(5*time.Second, nil)
	if got := l.share(served); got < 1 {
		t.Errorf("%.3f granted once control is back, want all", got)
	}
	x.check(t, "c", 300_000)
}

// TestLargeRequestsAtManyHosts guards against shares that hold no whole request: 300 hosts of a customer whose burst
// holds 22 requests. No caller within the limits may be refused in calm, and some hosts must be able to go on alone.
func TestLargeRequestsAtManyHosts(t *testing.T) {
	x := newSim(2, 9, 300, map[string]Limits{"c": {Rate: 200_000, Burst: 200_000}})
	l := x.load("c", 0.7*200_000, 9_000)
	x.settle()
	x.run(10*time.Second, nil)
	if got := l.share(served); got < 1 {
		t.Errorf("%.3f granted in calm, want all", got)
	}
	if sum, n := x.held("c"); n < 3 || sum.burst < float64(n)*9_000*0.99 {
		t.Errorf("%d shares with %v in all, want at least 3 that hold a request of 9000 tokens each", n, sum)
	}
	x.check(t, "c", 200_000)
}

// TestLeaderSuspended guards against a leader that goes on where it was suspended, and against callers who are refused
// meanwhile: another is elected after 1.5 s.
func TestLeaderSuspended(t *testing.T) {
	x := newSim(3, 5, 30, map[string]Limits{"c": {Rate: 300_000, Burst: 300_000}})
	l := x.load("c", 0.6*300_000, 250)
	x.settle()
	x.leader.downUntil = x.clock.Now() + 4*time.Second
	x.leader = nil
	x.run(electionDuration, nil)
	x.elect()
	x.run(10*time.Second, nil)
	if l.tally[overRate] > 0 {
		t.Errorf("%d requests within the limits got 429", l.tally[overRate])
	}
	if got := l.share(served); got < 0.95 {
		t.Errorf("%.3f granted, want 0.95: %v", got, l.tally)
	}
	x.check(t, "c", 300_000)
}

// TestLeaderReplacedInCalm guards against a new leader that waits for leases to end although all control hosts have
// told it what they granted: 300 hosts of a customer whose shares are a small part of what may be granted. Once the
// allotments of the earlier leader have ended, requests within the limits must be granted.
func TestLeaderReplacedInCalm(t *testing.T) {
	x := newSim(10, 9, 300, map[string]Limits{"c": {Rate: 200_000, Burst: 200_000}})
	l := x.load("c", 0.8*200_000, 2_000)
	x.settle()
	x.leader = nil
	x.run(electionDuration, nil)
	x.elect()
	x.run(allotmentEnd+500*time.Millisecond, nil)
	l.reset()
	x.run(4*time.Second, nil)
	if got := l.share(served); got < 0.99 {
		t.Errorf("%.3f granted, want 0.99: %v", got, l.tally)
	}
	x.check(t, "c", 200_000)
}

// TestLeaderLearns guards against a new leader that takes what it knows for all that is in use: it must withhold the
// largest standing part until each control host has reported all that it granted, at a time when it can grant nothing
// more under an earlier leader's allotment, and none has left the group lately; else until all leases have ended.
func TestLeaderLearns(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name               string
		complete           bool          // the second control host reports that it names all
		members            int           // number of control hosts that are known
		changed            time.Duration // when the group last changed, before the start
		reportedAt, wantAt time.Duration // after the start
	}{
		{"all report", true, 2, 20 * second, 5 * second, 5 * second},
		{"all report too early", true, 2, 20 * second, 4 * second, learnDuration},
		{"one has started again", false, 2, 20 * second, 5 * second, learnDuration},
		{"one is silent", true, 3, 20 * second, 5 * second, learnDuration},
		{"one has left the group", true, 2, 2 * second, 5 * second, learnDuration - 2*second},
		{"group not known", true, 0, 20 * second, 5 * second, learnDuration},
	} {
		clock := &timer.Service{Clock: &timer.ManualClock{}}
		clock.Advance(time.Hour)
		a := &Allocator{Now: clock.Now, Adaptive: func() bool { return true }, Limits: func(string) (Limits, bool) { return Limits{Rate: 1000, Burst: 1000}, true }}
		members := []string{"left"}
		if c.members > 0 {
			a.Members = func() []string { return members }
		}
		a.NoteMembers()
		clock.Advance(20*second - c.changed)
		members = []string{"a", "b", "c"}[:c.members]
		a.NoteMembers()
		clock.Advance(c.changed)
		a.Start(2)
		number := uint64(0)
		gotAt := time.Duration(-1)
		for at := time.Duration(0); at < 15*second && gotAt < 0; at += 50 * time.Millisecond {
			if at > 0 && at <= c.reportedAt && at%second == 0 {
				number++
				a.Allot(&schema.Peer{Name: "a", Incarnation: 1, Number: number, Allotment: 1, Complete: true})
				a.Allot(&schema.Peer{Name: "b", Incarnation: 1, Number: number, Allotment: 1, Complete: c.complete})
			}
			if a.withheld("c", Limits{Rate: 1000, Burst: 1000}, clock.Now()).rate < 450 {
				gotAt = at
			}
			clock.Advance(50 * time.Millisecond)
		}
		if want := c.wantAt.Truncate(50 * time.Millisecond); gotAt < want || gotAt > want+50*time.Millisecond {
			t.Errorf("%s: nothing withheld from %v on, want %v", c.name, gotAt, want)
		}
	}
}

// TestPartitionedEntryHost guards against a share that its holder spends after its lease, or that is granted to others
// before it has ended. Callers of the host that is cut off are granted its share, those of the others all.
func TestPartitionedEntryHost(t *testing.T) {
	x := newSim(4, 3, 5, map[string]Limits{"c": {Rate: 100_000, Burst: 100_000}})
	x.load("c", 40_000, 250).hosts = 1
	l := x.load("c", 30_000, 250)
	x.settle()
	cut := x.entries[0]
	cut.partitioned = true
	held, n := x.held("c")
	if n == 0 || held.rate < 30_000 {
		t.Fatalf("%v held", held)
	}
	x.run(5*time.Second, nil)
	if got := cut.bucket.Standing(); len(got) != 1 || got[0].Rate <= 0 {
		t.Errorf("share of the host that is cut off after 5 s: %v", got)
	}
	x.run(2*time.Second, nil)
	if got := cut.bucket.Standing(); len(got) != 0 {
		t.Errorf("share of the host that is cut off after 7 s: %v", got)
	}
	if x.loads[0].tally[overRate] > 0 || l.tally[overRate] > 0 {
		t.Errorf("requests within the limits got 429: %v, %v", x.loads[0].tally, l.tally)
	}
	cut.partitioned = false
	x.run(15*time.Second, nil)
	if got := cut.bucket.Standing(); len(got) != 1 {
		t.Errorf("share of the host 15 s after its return: %v", got)
	}
	x.check(t, "c", 100_000)
}

// TestCustomerFarAboveItsUsual guards against a customer that sends 7.5 times its usual and takes what others need, and
// that gets more than its limits while control is away. The other customer must not notice.
func TestCustomerFarAboveItsUsual(t *testing.T) {
	x := newSim(5, 9, 30, map[string]Limits{"a": {Rate: 100_000, Burst: 100_000}, "b": {Rate: 100_000, Burst: 100_000}})
	a, b := x.load("a", 40_000, 250), x.load("b", 40_000, 250)
	x.settle()
	a.rate *= 7.5
	x.run(10*time.Second, nil)
	if got := a.share(served); got < 0.3 || a.tally[starting]+a.tally[noControl] > 0 {
		t.Errorf("customer above its limits: %v", a.tally)
	}
	a.reset()
	x.loseControl(1500*time.Millisecond, nil)
	if a.tally[overRate] > a.tally[noControl]/2 {
		t.Errorf("customer above its limits, no control host: %v", a.tally)
	}
	if got := float64(a.tally[served]) * 250 / 3; got < 40_000 {
		t.Errorf("customer above its limits is granted %v tokens per second without control, want its usual 40000", got)
	}
	x.run(15*time.Second, nil)
	if got := b.share(served); got < 1 {
		t.Errorf("other customer: %v, want all granted", b.tally)
	}
	x.check(t, "a", 100_000)
	x.check(t, "b", 100_000)
}

// TestLoweredLimits guards against shares, allotments and loans that outlast limits which are lowered far below what
// callers send, in the same second in which all control hosts are restarted.
func TestLoweredLimits(t *testing.T) {
	for seed := range uint64(5) {
		x := newSim(seed, 9, 30, map[string]Limits{"c": {Rate: 500_000, Burst: 500_000}})
		x.load("c", 400_000, 250)
		x.settle()
		for _, c := range x.controls {
			x.restartControl(c)
			c.downUntil = x.clock.Now() + 1500*time.Millisecond
		}
		x.run(500*time.Millisecond, nil)
		x.limits["c"] = Limits{Rate: 5_000, Burst: 5_000}
		x.spent["c"], x.allowed["c"] = nil, nil
		x.run(2500*time.Millisecond, nil)
		x.elect()
		x.run(20*time.Second, nil)
		x.check(t, "c", 5_000)
	}
	x := newSim(9, 9, 30, map[string]Limits{"c": {Rate: 500_000, Burst: 500_000}})
	x.load("c", 400_000, 250)
	x.settle()
	x.limits["c"] = Limits{Rate: 5_000, Burst: 5_000}
	x.spent["c"], x.allowed["c"] = nil, nil
	x.run(20*time.Second, nil)
	x.check(t, "c", 5_000)
}

// TestStandingSharesNeverExceedLimits guards against hosts that together spend more than the limits. Callers ask for
// three times the rate and the demand moves; replies are lost, reports arrive again late, entry hosts are suspended
// before they apply a reply, restart and are cut off, control hosts are restarted one at a time and all at once, are
// suspended and cut off, leaders are replaced, limits are lowered and raised, and entry hosts change their control host.
func TestStandingSharesNeverExceedLimits(t *testing.T) {
	for seed := range uint64(30) {
		limits := Limits{Rate: 50_000, Burst: 50_000}
		x := newSim(seed, 2+int(seed%8), 25, map[string]Limits{"c": limits})
		x.lost, x.late, x.paused = 0.1, 0.05, 0.005
		l := x.load("c", 150_000, 500)
		x.elect()
		for range 60 {
			r := x.rand
			l.hosts = 1 + r.IntN(len(x.entries))
			c, e := x.controls[r.IntN(len(x.controls))], x.entries[r.IntN(len(x.entries))]
			switch r.IntN(13) {
			case 0:
				x.restartControl(c)
				c.downUntil = x.clock.Now() + time.Duration(r.Int64N(int64(3*time.Second)))
			case 1:
				x.loseControl(time.Duration(r.Int64N(int64(9*time.Second))), nil)
			case 2:
				c.downUntil = x.clock.Now() + 4*time.Second
			case 3:
				c.partitioned = !c.partitioned
			case 4:
				e.partitioned = !e.partitioned
			case 5:
				e.downUntil = x.clock.Now() + time.Duration(r.Int64N(int64(8*time.Second)))
			case 6:
				x.restartEntry(e)
			case 7:
				x.limits["c"] = Limits{Rate: 10_000, Burst: 50_000}
			case 8:
				x.limits["c"] = limits
			case 9:
				c.cutOff = c != x.leader && !c.cutOff
			case 10:
				for _, e := range x.entries {
					e.control = r.IntN(len(x.controls))
				}
			}
			x.run(time.Duration(r.Int64N(int64(3*time.Second))), nil)
			if x.leader == nil || !x.up(&x.leader.simHost) || x.leader.partitioned || r.IntN(6) == 0 {
				x.leader = nil
				x.run(electionDuration, nil)
				x.elect()
			}
		}
		x.check(t, "c", limits.Burst)
	}
}

// TestLeaseEndsDuringSuspension guards against a host that resumes after its lease and spends what it had saved.
func TestLeaseEndsDuringSuspension(t *testing.T) {
	x := newSim(6, 3, 1, map[string]Limits{"c": {Rate: 100_000, Burst: 100_000}})
	x.load("c", 20_000, 250)
	x.settle()
	e := x.entries[0]
	if _, n := x.held("c"); n != 1 {
		t.Fatal("no share held")
	}
	e.bucket.customers["c"].borrowed = 0
	x.clock.Advance(StandingDuration + time.Second)
	if _, err := e.bucket.Take("c", 250); !errors.Is(err, ErrOverRate) {
		t.Errorf("after a suspension longer than the lease: %v, want ErrOverRate", err)
	}
}

// TestLeaseCountsFromReport guards against a holder that counts a lease from when the reply is applied, which may be
// long after the control host granted it.
func TestLeaseCountsFromReport(t *testing.T) {
	now := time.Hour
	b := &Bucket{Now: func() time.Duration { return now }, LoansOnly: true, Limits: func(string) (Limits, bool) { return Limits{1000, 1000}, true }}
	share := &schema.Share{Customer: "c", Rate: 100, Burst: 100, Left: 6}
	b.ApplyStanding([]*schema.Share{share}, now-2*time.Second)
	if got := b.Standing(); len(got) != 1 || got[0].Left != 4 {
		t.Errorf("share granted 2 s ago: %v, want 4 s left", got)
	}
	b.ApplyStanding([]*schema.Share{share}, now-7*time.Second)
	if got := b.Standing(); len(got) != 0 {
		t.Errorf("share granted 7 s ago: %v, want none", got)
	}
}

// TestGrantsAtEndOfAllotment guards against a leader that gives a standing part to others while shares are in use that a
// control host granted after its last report: it is cut off from the leader, but not from its entry hosts.
func TestGrantsAtEndOfAllotment(t *testing.T) {
	x := newSim(8, 2, 2, map[string]Limits{"c": {Rate: 100_000, Burst: 100_000}})
	l := x.load("c", 80_000, 250)
	x.settle()
	for _, c := range x.controls {
		c.cutOff = c != x.leader
	}
	l.rate = 150_000
	x.run(15*time.Second, nil)
	x.check(t, "c", 100_000)
}

// TestControlHostRestartsAtOnce guards against a control host that restarts within a lease's duration and spends all of its
// new allotment while shares are in use that its earlier process granted.
func TestControlHostRestartsAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		x := newSim(seed, 2, 25, map[string]Limits{"c": {Rate: 50_000, Burst: 50_000}})
		x.slack = 0
		for _, c := range x.controls {
			x.restartControl(c)
		}
		x.load("c", 150_000, 500)
		x.settle()
		for _, c := range x.controls {
			if c != x.leader {
				x.restartControl(c)
			}
		}
		x.run(5*time.Second, nil)
		x.check(t, "c", 50_000)
	}
}

// TestStartedControlHostIsNotComplete guards against a leader that drops what an earlier process of a control host may
// have granted: until those leases have ended, the host reports no allotment in use and that its report is not complete.
func TestStartedControlHostIsNotComplete(t *testing.T) {
	now := time.Hour
	limits := func(string) (Limits, bool) { return Limits{Rate: 1000, Burst: 1000}, true }
	adaptive := func() bool { return true }
	clock := func() time.Duration { return now }
	g := &Granter{Now: clock, Limits: limits, Adaptive: adaptive, Bucket: &Bucket{Now: clock, Limits: limits, Adaptive: adaptive}}
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {StandingDuration, false}, {withClockDrift(StandingDuration), true}} {
		now = time.Hour + c.after
		p := &schema.Peer{Allotment: 5}
		g.Fill(p)
		if p.Complete != c.want || (p.Allotment == 5) != c.want {
			t.Errorf("%v after the start: complete %v, allotment %d", c.after, p.Complete, p.Allotment)
		}
	}
}

// TestNotAdaptive guards against changes where the settings do not call for standing shares: no share is reported or
// granted, a leader names no standing part, callers are told 429 as before, and what is lent and allotted is the same as
// that of parts that know of no shares.
func TestNotAdaptive(t *testing.T) {
	run := func(configure func(*sim)) (*sim, *simLoad) {
		x := newSim(7, 9, 30, map[string]Limits{"c": {Rate: 300_000, Burst: 300_000}})
		configure(x)
		l := x.load("c", 0.8*300_000, 2_000)
		x.elect()
		x.run(20*time.Second, nil)
		x.loseControl(1500*time.Millisecond, nil)
		x.run(20*time.Second, nil)
		return x, l
	}
	off, offLoad := run(func(x *sim) { x.adaptive = false })
	_, oldLoad := run(func(x *sim) {
		x.adaptive = false
		for _, c := range x.controls {
			c.allocator.Adaptive, c.bucket.Adaptive = nil, nil
		}
	})
	if diff := cmp.Diff(oldLoad.tally, offLoad.tally); diff != "" {
		t.Errorf("outcomes without and with a function that reports false (-want +got):\n%s", diff)
	}
	if sum, n := off.held("c"); n > 0 {
		t.Errorf("%d shares of %v held", n, sum)
	}
	if offLoad.tally[starting] > 0 || offLoad.tally[overRate] == 0 {
		t.Errorf("outcomes: %v, want 429 while the leader waits, as before", offLoad.tally)
	}
	p := &schema.Peer{Name: "h", Incarnation: 1, Number: 1, Demands: []*schema.Demand{{Customer: "c", Rate: 100}}}
	a := off.leader.allocator.Allot(proto.CloneOf(p))
	if s := a.Shares[0]; s.Standing != 0 || s.StandingBurst != 0 || s.Limit != 0 || s.Left != 0 {
		t.Errorf("allotment %v names a standing part", s)
	}
	report := &schema.Peer{Name: "h"}
	off.controls[0].granter.Fill(report)
	if got := off.leader.allocator.Stats(); len(report.Standing) > 0 || got.ReclaimedTokens > 0 || got.Sure {
		t.Errorf("reported %v, %+v, want no tokens spent stated and none returned to the reserve", report.Standing, got)
	}
	for _, e := range off.entries {
		if n := len(e.bucket.Ended(MaxStandingCustomers)); n > 0 {
			t.Errorf("%d ended shares reported", n)
		}
	}
	if shares, s := off.controls[0].granter.Grant(p); len(shares) > 0 || s != (GrantSummary{}) {
		t.Errorf("granted %v, %+v", shares, s)
	}
}

// TestUnusableFigures guards against reports and replies with figures that cannot be right: they change nothing, and the
// field is named.
func TestUnusableFigures(t *testing.T) {
	now := time.Hour
	limits := func(c string) (Limits, bool) { return Limits{Rate: 1000, Burst: 1000}, c == "c" }
	adaptive := func() bool { return true }
	clock := func() time.Duration { return now }
	for field, share := range map[string]*schema.Share{
		"customer": {Customer: "unknown", Rate: 1, Burst: 1, Left: 1},
		"rate":     {Customer: "c", Rate: -1, Burst: 1, Left: 1},
		"burst":    {Customer: "c", Rate: 1, Burst: math.NaN(), Left: 1},
		"limit":    {Customer: "c", Rate: 1, Burst: 1, Left: 1, Limit: math.Inf(1)},
		"standing": {Customer: "c", Rate: 1, Burst: 1, Left: 1, Standing: 1e13},
		"left":     {Customer: "c", Rate: 1, Burst: 1, Left: 60},
	} {
		b := &Bucket{Now: clock, Limits: limits, Adaptive: adaptive}
		g := &Granter{Now: clock, Limits: limits, Adaptive: adaptive, Bucket: b}
		_, s := g.Grant(&schema.Peer{Name: "h", Incarnation: 1, Number: 1, Standing: []*schema.Share{share}})
		if s.UnusableField != field || g.Stats().Unusable != 1 || g.Stats().Customers != 0 {
			t.Errorf("%s: report: %+v, %+v", field, s, g.Stats())
		}
		e := &Bucket{Now: clock, Limits: limits, LoansOnly: true, Adaptive: adaptive}
		if c := e.ApplyStanding([]*schema.Share{share}, now); c.UnusableField != field || e.Stats().Unusable != 1 || len(e.Standing()) != 0 {
			t.Errorf("%s: reply: %+v, %+v", field, c, e.Stats())
		}
		if share.Left <= 1 { // a control host's leases are counted by the leader itself
			a := &Allocator{Now: clock, Limits: limits, Adaptive: adaptive}
			a.Start(1)
			a.Allot(&schema.Peer{Name: "h", Standing: []*schema.Share{share}})
			if got := a.Stats(); got.Unusable != 1 || got.UnusableField != "standing."+field {
				t.Errorf("%s: report to the leader: %+v", field, got)
			}
		}
	}
	for field, d := range map[string]*schema.Demand{
		"customer": {Customer: "unknown", Rate: 1}, "rate": {Customer: "c", Rate: math.NaN()}, "size": {Customer: "c", Rate: 1, Size: -1},
	} {
		b := &Bucket{Now: clock, Limits: limits, Adaptive: adaptive}
		g := &Granter{Now: clock, Limits: limits, Adaptive: adaptive, Bucket: b}
		_, s := g.Grant(&schema.Peer{Name: "h", Incarnation: 1, Number: 1, Demands: []*schema.Demand{d}})
		if s.UnusableField != field || len(g.customers) != 0 {
			t.Errorf("%s: demand: %+v", field, s)
		}
	}
}

// TestMessagesAreBounded guards against messages that grow with the number of customers: 42,000 of them send to one entry
// host.
func TestMessagesAreBounded(t *testing.T) {
	now := time.Hour
	limits := func(string) (Limits, bool) { return Limits{Rate: 1000, Burst: 1000}, true }
	adaptive := func() bool { return true }
	clock := func() time.Duration { return now }
	e := &Bucket{Now: clock, Limits: limits, LoansOnly: true, Adaptive: adaptive}
	var shares []*schema.Share
	for i := range 42_000 {
		name := fmt.Sprint("c", i)
		_, _ = e.Take(name, float64(i))
		shares = append(shares, &schema.Share{Customer: name, Rate: float64(i), Burst: float64(i), Left: 6})
	}
	now += time.Second
	demands, _ := e.Report(nil)
	largest := LargestDemands(demands)
	if len(largest) != MaxStandingCustomers || largest[0].Customer != "c41999" || largest[63].Customer != "c41936" {
		t.Errorf("%d demands reported, the first %v", len(largest), largest[0])
	}
	e.ApplyStanding(shares, now)
	if n := len(e.Standing()); n != MaxStandingCustomers {
		t.Errorf("%d shares reported", n)
	}
	if n := e.Stats().Held; n != MaxStandingCustomers {
		t.Errorf("%d shares held, but %d reported", n, MaxStandingCustomers)
	}
	b := &Bucket{Now: clock, Limits: limits, Adaptive: adaptive}
	g := &Granter{Now: clock, Limits: limits, Adaptive: adaptive, Bucket: b}
	for i := range 300 { // each host reports other customers
		p := &schema.Peer{Name: fmt.Sprint("h", i), Incarnation: 1, Number: 1}
		for j := range MaxStandingCustomers {
			p.Demands = append(p.Demands, &schema.Demand{Customer: fmt.Sprint("c", i*MaxStandingCustomers+j), Rate: 10})
		}
		if shares, _ := g.Grant(p); len(shares) > MaxStandingCustomers {
			t.Fatalf("%d shares in a reply", len(shares))
		}
	}
	p := &schema.Peer{}
	g.Fill(p)
	meters := 0
	for _, s := range p.Standing {
		if isMeter(s) {
			meters++
		}
	}
	if meters > maxMeters {
		t.Errorf("tokens spent stated of %d customers", meters)
	}
	if len(p.Demands) > maxGrantedCustomers || len(p.Standing) > maxGrantedCustomers {
		t.Errorf("%d demands and %d shares reported to the leader", len(p.Demands), len(p.Standing))
	}
}

// TestReportedSizeIsThatOfTokensSpent guards against standing shares that only hold the small requests of a customer
// whose tokens are spent on large ones: they stay unspent, and the large requests are refused for want of loans.
func TestReportedSizeIsThatOfTokensSpent(t *testing.T) {
	clock := time.Hour
	b := &Bucket{
		Now: func() time.Duration { return clock }, Limits: func(string) (Limits, bool) { return Limits{Rate: 1e6, Burst: 1e6}, true },
		LoansOnly: true, Adaptive: func() bool { return true },
	}
	for i := range 600 {
		tokens := 1000.0
		if i%6 == 0 {
			tokens = 9000
		}
		_, _ = b.Take("c", tokens) // without a share every request needs a loan, but counts as demand
	}
	clock += time.Second
	demands, _ := b.Report(nil)
	if len(demands) != 1 || demands[0].Size < 5000 || demands[0].Size > 9000 {
		t.Errorf("reported %v, want a size of 5,000 to 9,000: 9,000 of 14,000 tokens are spent on requests of 9,000", demands)
	}
}

// TestShareAndLoanPayTogether guards against a standing share that stays unspent, and loans that are too small, while
// requests are larger than what the share holds.
func TestShareAndLoanPayTogether(t *testing.T) {
	b := &Bucket{Now: func() time.Duration { return time.Hour }, LoansOnly: true, Limits: func(string) (Limits, bool) { return Limits{Rate: 1e6, Burst: 1e6}, true }}
	if _, err := b.Take("c", 1); err == nil {
		t.Fatal("a customer without a share or a loan was charged")
	}
	b.customers["c"].level = 6000
	var over *OverRateError
	if _, err := b.Take("c", 9000); !errors.As(err, &over) || over.MissingTokens != 3000 {
		t.Fatalf("%v, want 3,000 missing tokens: the share holds 6,000", err)
	}
	b.RecordLoan("c", 3000, 0)
	if err := b.RetryTake("c", 9000); err != nil {
		t.Error(err)
	}
	if a := b.customers["c"]; a.level != 0 || a.borrowed != 0 || b.shareStats.SpentTokens != 6000 {
		t.Errorf("%v of the share and %v of the loan are left, %v spent of the share, want 0, 0 and 6,000", a.level, a.borrowed, b.shareStats.SpentTokens)
	}
}
