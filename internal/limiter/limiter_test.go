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

// fleet is a number of hosts with drifting clocks on a network that delays and drops messages.
type fleet struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Duration
	hosts    []*simHost
	messages []message
	limits   Limits
	// allowedTokens is the level of a single token bucket for the whole fleet that began
	// empty. What all hosts spend must not exceed it.
	allowedTokens float64
	spendCount    int
	running       []runningRequest
}

type runningRequest struct {
	host     int
	r        *Reservation
	used     float64
	settleAt time.Duration
}

type simHost struct {
	name        string
	speed       float64 // of its clock, 1 is that of the simulation
	offset      time.Duration
	lender      *Lender
	donor       *Donor
	spender     *Spender
	down        bool
	suspended   bool
	group       int    // hosts of different groups are partitioned from each other
	incarnation uint64 // counts its processes
	nextRoundAt time.Duration
	undelivered []func() // messages that arrived while suspended
}

type message struct {
	deliverAt time.Duration
	from, to  int
	deliver   func()
}

const simCustomer = "carol"

func newFleet(t *testing.T, n int, seed uint64, limits Limits) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 7)), limits: limits}
	for i := range n {
		h := &simHost{name: fmt.Sprintf("h%d", i), offset: time.Duration(f.random.IntN(1e9)) * 10}
		h.speed = 1 + (f.random.Float64()-0.5)*maxDriftFraction
		f.hosts = append(f.hosts, h)
		f.boot(h, n)
	}
	return f
}

func (f *fleet) boot(h *simHost, n int) {
	now := func() time.Duration { return h.offset + time.Duration(float64(f.now)*h.speed) }
	share := func() int32 { return int32(totalShare / n) }
	limitsOf := func(string) (Limits, bool) { return f.limits, true }
	names := func() []string {
		var all []string
		for _, x := range f.hosts {
			all = append(all, x.name)
		}
		return all
	}
	h.incarnation++
	h.down, h.suspended, h.undelivered = false, false, nil
	h.lender = &Lender{Now: now, Limits: limitsOf, Incarnation: h.incarnation*100 + uint64(h.name[1])}
	h.donor = &Donor{Host: h.name, Now: now, Hosts: names, Share: share}
	h.spender = &Spender{Host: h.name, Now: now, Limits: limitsOf, Share: share}
	h.lender.Start()
	h.donor.Start()
	h.spender.Start()
	h.nextRoundAt = f.now
}

// send sends one message, which may be lost or take seconds.
func (f *fleet) send(from, to int, deliver func()) {
	delay := time.Duration(f.random.IntN(90)) * time.Millisecond
	if f.random.IntN(60) == 0 {
		delay = time.Duration(f.random.IntN(4000)) * time.Millisecond
	}
	if f.random.IntN(60) != 0 {
		f.messages = append(f.messages, message{deliverAt: f.now + delay, from: from, to: to, deliver: deliver})
	}
}

func (f *fleet) deliverDue() {
	var due []message
	f.messages = slices.DeleteFunc(f.messages, func(m message) bool {
		if m.deliverAt <= f.now {
			due = append(due, m)
			return true
		}
		return false
	})
	for _, m := range due {
		to := f.hosts[m.to]
		switch {
		case to.down || to.group != f.hosts[m.from].group:
		case to.suspended:
			to.undelivered = append(to.undelivered, m.deliver)
		default:
			m.deliver()
		}
	}
}

func (f *fleet) index(name string) int {
	return slices.IndexFunc(f.hosts, func(h *simHost) bool { return h.name == name })
}

func (f *fleet) donate(from, to int, r *schema.DonateRequest) {
	sender, receiver, incarnation := f.hosts[from], f.hosts[to], f.hosts[from].incarnation
	f.send(from, to, func() {
		reply := receiver.lender.Donate(r)
		f.send(to, from, func() {
			if sender.incarnation == incarnation {
				sender.donor.HandleReply(receiver.name, r, reply)
			}
		})
	})
}

func (f *fleet) grant(from, to int, r *schema.GrantRequest, sentAt time.Duration) {
	sender, receiver, incarnation := f.hosts[from], f.hosts[to], f.hosts[from].incarnation
	f.send(from, to, func() {
		reply := receiver.lender.Grant(r)
		f.send(to, from, func() {
			if sender.incarnation == incarnation {
				sender.spender.HandleGrant(r.Customer, reply, sentAt)
			}
		})
	})
}

func (f *fleet) runRound(i int) {
	h := f.hosts[i]
	if h.down || h.suspended || f.now < h.nextRoundAt {
		return
	}
	h.nextRoundAt = f.now + RoundInterval
	renewals := h.donor.DueRenewals()
	for to := range f.hosts {
		if r := renewals[f.hosts[to].name]; r != nil {
			f.donate(i, to, r)
		}
	}
	for _, r := range h.spender.DueReports() {
		if to := f.index(h.donor.Lender(ShardOf(r.Customer))); to >= 0 {
			f.grant(i, to, r, h.spender.Now())
		}
	}
	h.lender.Prune()
}

// spend reserves tokens at a host, checks them against allowedTokens and reports whether the
// host had them. If not, the host requests them.
func (f *fleet) spend(i int, n float64) bool {
	h := f.hosts[i]
	if h.down || h.suspended {
		return false
	}
	r, missing, _ := h.spender.Reserve(simCustomer, n)
	if r == nil {
		if to := f.index(h.donor.Lender(ShardOf(simCustomer))); to >= 0 {
			q, sentAt := h.spender.NewRequest(simCustomer, missing)
			f.grant(i, to, q, sentAt)
		}
		return false
	}
	used := n
	if f.random.IntN(4) == 0 {
		used = n * f.random.Float64()
	}
	f.running = append(f.running, runningRequest{host: i, r: r, used: used, settleAt: f.now + time.Duration(f.random.IntN(2000))*time.Millisecond})
	f.charge(used)
	f.spendCount++
	return true
}

// charge takes the tokens that a request will really use from allowedTokens.
func (f *fleet) charge(n float64) {
	f.allowedTokens -= n
	if f.allowedTokens < -1e-6 {
		f.t.Fatalf("at %v the fleet had spent %.3f tokens more than rate and burst allow", f.now, -f.allowedTokens)
	}
}

// checkTokens requires that no share is lent twice, and that the tokens with lenders or in
// grants are never more than the lent part of the burst.
func (f *fleet) checkTokens() {
	shard := ShardOf(simCustomer)
	share, existing := 0.0, 0.0
	for _, h := range f.hosts {
		if h.down {
			continue
		}
		share += h.lender.LentShare(shard)
		if b := h.lender.shards[shard].buckets[simCustomer]; b != nil {
			b.fill(h.lender.Now(), h.lender.shards[shard].share)
			existing += b.level
		}
		if a := h.spender.customers[simCustomer]; a != nil {
			a.dropExpired(h.spender.Now())
			existing += a.grantedTokens()
		}
	}
	if share > 1+1e-9 {
		f.t.Fatalf("at %v the lent shares add up to %.3f of the whole", f.now, share)
	}
	if limit := f.limits.Burst * lentFraction; existing > limit+1e-6 {
		f.t.Fatalf("at %v lenders and grants hold %.1f tokens, at most %.1f are allowed", f.now, existing, limit)
	}
}

// requestUnspent lets a host request tokens that it does not spend.
func (f *fleet) requestUnspent(i int) {
	h := f.hosts[i]
	if to := f.index(h.donor.Lender(ShardOf(simCustomer))); to >= 0 && !h.down && !h.suspended {
		q, sentAt := h.spender.NewRequest(simCustomer, f.limits.Burst/5)
		f.grant(i, to, q, sentAt)
	}
}

func (f *fleet) settleDue() {
	f.running = slices.DeleteFunc(f.running, func(w runningRequest) bool {
		h := f.hosts[w.host]
		if w.settleAt > f.now || h.suspended {
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
	f.allowedTokens = math.Min(f.limits.Burst, f.allowedTokens+tokensIn(f.limits.Rate, simStep))
	f.deliverDue()
	f.settleDue()
	for i := range f.hosts {
		f.runRound(i)
	}
}

func (f *fleet) injectFault() {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	switch f.random.IntN(8) {
	case 0:
		h.down = true
	case 1, 2:
		if h.down {
			f.boot(h, len(f.hosts))
		}
	case 3:
		h.suspended = true
	case 4, 5:
		h.resume()
	case 6:
		h.group = f.random.IntN(2)
	case 7:
		for _, x := range f.hosts {
			x.group = 0
		}
	}
}

// resume ends the suspension of a host, which first receives what arrived meanwhile.
func (h *simHost) resume() {
	h.suspended = false
	for _, deliver := range h.undelivered {
		deliver()
	}
	h.undelivered = nil
}

// heal ends all faults.
func (f *fleet) heal() {
	for _, h := range f.hosts {
		h.group = 0
		if h.down {
			f.boot(h, len(f.hosts))
		}
		h.resume()
	}
}

// TestNeverOverRateAndBurst guards against hosts that together spend more than a customer's
// rate and burst. It kills, suspends and partitions hosts at random and compares what they
// spend with a single token bucket. Odd seeds have many faults at once; even ones heal between
// two faults, so that few tokens are lost and an excess shows.
func TestNeverOverRateAndBurst(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, 2+int(seed%4), seed, Limits{Rate: 1000, Burst: float64(100 + 300*(seed%6))})
			for n := range 6000 {
				f.step()
				f.spendAll(n)
				if n%40 == 0 {
					f.requestUnspent(f.random.IntN(len(f.hosts)))
				}
				f.checkTokens()
				switch {
				case seed%2 == 1 && n%130 == 0:
					f.injectFault()
				case seed%2 == 0 && n%900 == 600:
					f.injectFault()
				case seed%2 == 0 && n%900 == 600+f.random.IntN(300):
					f.heal()
				}
			}
			if f.spendCount == 0 {
				t.Fatal("nothing was spent")
			}
		})
	}
}

// spendAll spends what it can: all the time, or in bursts after idle times in which every
// bucket fills.
func (f *fleet) spendAll(n int) {
	if f.limits.Burst > 300 && n%400 < 250 {
		return
	}
	for i := range f.hosts {
		f.spend(i, f.limits.Burst*(0.01+0.08*f.random.Float64()))
		f.spend(i, 2)
	}
}

// TestPartitionedHostSpendsItsShare guards against hosts that stay without tokens when the network
// is partitioned: after the leases have ended, each side must serve from its own hosts' shares.
func TestPartitionedHostSpendsItsShare(t *testing.T) {
	f := newFleet(t, 4, 1, Limits{Rate: 1000, Burst: 1000})
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
	// One host of four owns a quarter of the rate: 250 tokens per second at 10 a request.
	if served[1] < 150 || served[0] < 450 {
		t.Errorf("requests served in 10 s by the partitioned host and the others: %d and %d, want at least 150 and 450", served[1], served[0])
	}
}
