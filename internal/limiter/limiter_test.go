package limiter

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

var seeds = flag.Int("seeds", 150, "number of random schedules")

const simStep = 10 * time.Millisecond

// fleet is a number of hosts with drifting clocks on a network that delays and drops.
type fleet struct {
	t      *testing.T
	random *rand.Rand
	now    time.Duration
	hosts  []*simHost
	mail   []mail
	terms  Terms
	// level is what one bucket for the whole fleet would hold that began empty.
	level  float64
	spends int
	open   []openWork
}

type openWork struct {
	host int
	r    *Reservation
	used float64
	at   time.Duration
}

type simHost struct {
	name     string
	speed    float64
	offset   time.Duration
	lender   *Lender
	donor    *Donor
	spender  *Spender
	down     bool
	frozen   bool
	group    int // hosts of different groups are cut off from each other
	boots    uint64
	nextTick time.Duration
	waiting  []func() // what arrived while frozen
}

type mail struct {
	at       time.Duration
	from, to int
	deliver  func()
}

const simCustomer = "carol"

func newFleet(t *testing.T, n int, seed uint64, terms Terms) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 7)), terms: terms}
	for i := range n {
		h := &simHost{name: fmt.Sprintf("h%d", i), offset: time.Duration(f.random.IntN(1e9)) * 10}
		h.speed = 1 + (f.random.Float64()-0.5)*driftFraction
		f.hosts = append(f.hosts, h)
		f.boot(h, n)
	}
	return f
}

func (f *fleet) boot(h *simHost, n int) {
	now := func() time.Duration { return h.offset + time.Duration(float64(f.now)*h.speed) }
	share := func() int32 { return int32(wholeShare / n) }
	terms := func(string) (Terms, bool) { return f.terms, true }
	names := func() []string {
		var all []string
		for _, x := range f.hosts {
			all = append(all, x.name)
		}
		return all
	}
	h.boots++
	h.down, h.frozen, h.waiting = false, false, nil
	h.lender = &Lender{Now: now, Terms: terms, Incarnation: h.boots*100 + uint64(h.name[1])}
	h.donor = &Donor{Host: h.name, Now: now, Hosts: names, Share: share}
	h.spender = &Spender{Host: h.name, Now: now, Terms: terms, Share: share}
	h.lender.Start()
	h.donor.Start()
	h.spender.Start()
	h.nextTick = f.now
}

// post sends one message; it may be lost, and may take seconds.
func (f *fleet) post(from, to int, deliver func()) {
	delay := time.Duration(f.random.IntN(90)) * time.Millisecond
	if f.random.IntN(60) == 0 {
		delay = time.Duration(f.random.IntN(4000)) * time.Millisecond
	}
	if f.random.IntN(60) != 0 {
		f.mail = append(f.mail, mail{at: f.now + delay, from: from, to: to, deliver: deliver})
	}
}

func (f *fleet) deliverDue() {
	var due []mail
	f.mail = slices.DeleteFunc(f.mail, func(m mail) bool {
		if m.at <= f.now {
			due = append(due, m)
			return true
		}
		return false
	})
	for _, m := range due {
		to := f.hosts[m.to]
		switch {
		case to.down || to.group != f.hosts[m.from].group:
		case to.frozen:
			to.waiting = append(to.waiting, m.deliver)
		default:
			m.deliver()
		}
	}
}

func (f *fleet) index(name string) int {
	return slices.IndexFunc(f.hosts, func(h *simHost) bool { return h.name == name })
}

func (f *fleet) donate(from, to int, r *schema.DonateRequest) {
	sender, receiver, boots := f.hosts[from], f.hosts[to], f.hosts[from].boots
	f.post(from, to, func() {
		reply := receiver.lender.Donate(r)
		f.post(to, from, func() {
			if sender.boots == boots {
				sender.donor.Replied(receiver.name, r, reply)
			}
		})
	})
}

func (f *fleet) grant(from, to int, r *schema.GrantRequest, sent time.Duration) {
	sender, receiver, boots := f.hosts[from], f.hosts[to], f.hosts[from].boots
	f.post(from, to, func() {
		reply := receiver.lender.Grant(r)
		f.post(to, from, func() {
			if sender.boots == boots {
				sender.spender.Granted(r.Customer, reply, sent)
			}
		})
	})
}

func (f *fleet) tickHost(i int) {
	h := f.hosts[i]
	if h.down || h.frozen || f.now < h.nextTick {
		return
	}
	h.nextTick = f.now + RoundInterval
	renewals := h.donor.Renewals()
	for to := range f.hosts {
		if r := renewals[f.hosts[to].name]; r != nil {
			f.donate(i, to, r)
		}
	}
	for _, r := range h.spender.Reports() {
		if to := f.index(h.donor.Lender(ShardOf(r.Customer))); to >= 0 {
			f.grant(i, to, r, h.spender.Now())
		}
	}
	h.lender.Prune()
}

// spend tries to reserve tokens at a host and checks them against one bucket for all.
func (f *fleet) spend(i int, n float64) bool {
	h := f.hosts[i]
	if h.down || h.frozen {
		return false
	}
	r, missing, _ := h.spender.Reserve(simCustomer, n)
	if r == nil {
		if to := f.index(h.donor.Lender(ShardOf(simCustomer))); to >= 0 {
			q, sent := h.spender.Ask(simCustomer, missing)
			f.grant(i, to, q, sent)
		}
		return false
	}
	used := n
	if f.random.IntN(4) == 0 {
		used = n * f.random.Float64()
	}
	f.open = append(f.open, openWork{host: i, r: r, used: used, at: f.now + time.Duration(f.random.IntN(2000))*time.Millisecond})
	f.charge(used)
	f.spends++
	return true
}

// charge takes what a request will really use from the one bucket.
func (f *fleet) charge(n float64) {
	f.level -= n
	if f.level < -1e-6 {
		f.t.Fatalf("at %v the fleet spent %.3f tokens more than rate and burst allow", f.now, -f.level)
	}
}

// check requires that no share is lent twice, and that the tokens that exist, with lenders
// or in grants, are never more than what is lent of the burst.
func (f *fleet) check() {
	shard := ShardOf(simCustomer)
	share, exist := 0.0, 0.0
	for _, h := range f.hosts {
		if h.down {
			continue
		}
		share += h.lender.Donated(shard)
		if b := h.lender.shards[shard].buckets[simCustomer]; b != nil {
			b.fill(h.lender.Now(), h.lender.shards[shard].share)
			exist += b.level
		}
		if a := h.spender.customers[simCustomer]; a != nil {
			a.expire(h.spender.Now())
			exist += a.balance()
		}
	}
	if share > 1+1e-9 {
		f.t.Fatalf("at %v shares of %.3f are lent", f.now, share)
	}
	if limit := f.terms.Burst * lentFraction; exist > limit+1e-6 {
		f.t.Fatalf("at %v there are %.1f tokens, %.1f may be", f.now, exist, limit)
	}
}

// hoard lets a host ask for tokens that it does not spend.
func (f *fleet) hoard(i int) {
	h := f.hosts[i]
	if to := f.index(h.donor.Lender(ShardOf(simCustomer))); to >= 0 && !h.down && !h.frozen {
		q, sent := h.spender.Ask(simCustomer, f.terms.Burst/5)
		f.grant(i, to, q, sent)
	}
}

func (f *fleet) settleDue() {
	f.open = slices.DeleteFunc(f.open, func(w openWork) bool {
		h := f.hosts[w.host]
		if w.at > f.now || h.frozen {
			return false
		}
		if !h.down {
			h.spender.Settle(w.r, w.used)
		}
		return true
	})
}

func (f *fleet) step() {
	f.now += simStep
	f.level = math.Min(f.terms.Burst, f.level+tokens(f.terms.Rate, simStep))
	f.deliverDue()
	f.settleDue()
	for i := range f.hosts {
		f.tickHost(i)
	}
}

func (f *fleet) fault() {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	switch f.random.IntN(8) {
	case 0:
		h.down = true
	case 1, 2:
		if h.down {
			f.boot(h, len(f.hosts))
		}
	case 3:
		h.frozen = true
	case 4, 5:
		h.thaw()
	case 6:
		h.group = f.random.IntN(2)
	case 7:
		for _, x := range f.hosts {
			x.group = 0
		}
	}
}

// thaw lets a host go on, beginning with what arrived meanwhile.
func (h *simHost) thaw() {
	h.frozen = false
	for _, deliver := range h.waiting {
		deliver()
	}
	h.waiting = nil
}

// heal ends all faults.
func (f *fleet) heal() {
	for _, h := range f.hosts {
		h.group = 0
		if h.down {
			f.boot(h, len(f.hosts))
		}
		h.thaw()
	}
}

// TestNeverOverRateAndBurst kills, freezes and cuts off hosts at random and requires that
// no one bucket of the customer's rate and burst would have refused what was spent. Odd
// schedules have many faults at once; even ones heal between two faults, so that little
// is lost and an excess shows.
func TestNeverOverRateAndBurst(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, 2+int(seed%4), seed, Terms{Rate: 1000, Burst: float64(100 + 300*(seed%6))})
			for n := range 6000 {
				f.step()
				f.spendAll(n)
				if n%40 == 0 {
					f.hoard(f.random.IntN(len(f.hosts)))
				}
				f.check()
				switch {
				case seed%2 == 1 && n%130 == 0:
					f.fault()
				case seed%2 == 0 && n%900 == 600:
					f.fault()
				case seed%2 == 0 && n%900 == 600+f.random.IntN(300):
					f.heal()
				}
			}
			if f.spends == 0 {
				t.Fatal("nothing was spent")
			}
		})
	}
}

// spendAll spends what it can: all the time, or in bursts after quiet times in which
// every bucket fills.
func (f *fleet) spendAll(n int) {
	if f.terms.Burst > 300 && n%400 < 250 {
		return
	}
	for i := range f.hosts {
		f.spend(i, f.terms.Burst*(0.01+0.08*f.random.Float64()))
		f.spend(i, 2)
	}
}

// TestCutOffHostSpendsItsShare requires that both sides of a cut serve again after the
// leases have ended, each with the shares of its own hosts.
func TestCutOffHostSpendsItsShare(t *testing.T) {
	f := newFleet(t, 4, 1, Terms{Rate: 1000, Burst: 1000})
	run := func(d time.Duration) [2]int {
		var served [2]int
		for end := f.now + d; f.now < end; {
			f.step()
			for i := range f.hosts {
				if f.spend(i, 10) {
					served[f.hosts[i].group]++
				}
			}
		}
		return served
	}
	run(10 * time.Second)
	f.hosts[0].group = 1
	run(5 * time.Second)
	served := run(10 * time.Second)
	// One host of four owns a quarter of the rate: 250 tokens a second at 10 a request.
	if served[1] < 150 || served[0] < 450 {
		t.Errorf("requests served in 10 s by the cut-off host and the others: %d and %d", served[1], served[0])
	}
}
