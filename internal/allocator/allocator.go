package allocator

import (
	"math"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// LeaseDuration is how long an allotment is valid: long enough to outlast an election.
	LeaseDuration = 4 * time.Second
	// StartDelay is how long a new leader hands out no allotments, since those of the
	// earlier leader may still be in use. It may be shorter than LeaseDuration by the
	// election timeout, since the earlier leader had stopped handing them out by then.
	StartDelay = 3 * time.Second
	// Fraction of a customer's limits of which each host without an allotment may spend an
	// equal share.
	floorFraction = 0.1
	// Fraction of the divided rate that goes in equal shares to the hosts that report the
	// customer, so that its first request at a host finds tokens.
	evenFraction = 0.1
	// A host that has not reported for this long is removed and gets no more allotments.
	hostTimeout = 5 * time.Second
)

// termShift is the number of bits below the leader's term in the number of an allotment;
// they count the allotments of the term.
const termShift = 40

// Limits bound what a customer may spend at all hosts together: Rate in tokens per second and
// Burst in tokens. Rate 0 means that there is no limit.
type Limits struct {
	Rate  float64
	Burst float64
}

// Allocator divides customers' limits on the leader. Set the exported fields, then call
// Start whenever this host becomes the leader.
type Allocator struct {
	// Now returns the time on this host's clock.
	Now func() time.Duration
	// Limits returns a customer's limits, and false if there is no such customer.
	Limits func(customer string) (Limits, bool)
	// Adaptive reports whether a part of the allotments may be granted as standing shares. Nil: none may.
	Adaptive func() bool
	// Members returns the names of the control hosts, to which alone standing shares are permitted. Nil: not known.
	Members func() []string

	mu          sync.Mutex
	startedAt   time.Duration                     // when this host became the leader; guarded by mu
	lastNumber  uint64                            // of the newest allotment; guarded by mu
	hosts       map[string]*host                  // by name; guarded by mu
	allotments  map[string]map[string][]allotment // customer → host → allotments that may be in use; guarded by mu
	demandRates map[string]map[string]float64     // customer → host → tokens per second that callers ask for; guarded by mu
	// reserves hold the tokens for loans, by customer; guarded by mu
	reserves map[string]*reserve
	// standing is what control hosts reported that entry hosts may be using: customer → host → reports; guarded by mu
	standing map[string]map[string][]lease
	// complete holds the control hosts that have reported all that they granted before Start and may grant under
	// allotments of earlier leaders; guarded by mu
	complete map[string]bool
	// members is the last result of Members, unchanged since membersSince; guarded by mu
	members      []string
	membersSince time.Duration
	// balances are what customers' limits still allow, by customer; only in adaptive mode. unsureAt is the last time at
	// which tokens may have been spent that no control host reports; guarded by mu
	balances map[string]*balance
	unsureAt time.Duration
	// sharesSeen is set if a control host reported standing shares since Start; guarded by mu
	sharesSeen bool
	stats      AllocatorStats // guarded by mu
}

// AllocatorStats are counters of the leader.
type AllocatorStats struct {
	// Unusable counts reported figures that could not be right; UnusableField names the last of them, UnusableHost
	// the host that reported it.
	Unusable                    uint64
	UnusableField, UnusableHost string
	// ReclaimedTokens were added to reserves since no host could spend them.
	ReclaimedTokens float64
	// Sure is set if the leader knows all that may be in use, so that unused tokens return to the reserves.
	Sure bool
}

// Stats returns the counters.
func (a *Allocator) Stats() AllocatorStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.stats
	if now := a.Now(); a.hosts != nil && a.adaptive() {
		s.Sure = a.sureFrom(now) < now
		for _, h := range a.hosts {
			s.Sure = s.Sure && now-h.reportedAt <= hostTimeout
		}
	}
	return s
}

// host is an entry host that reports. reportedAt is the time of its last report.
type host struct {
	incarnation uint64
	number      uint64 // of its last report
	reportedAt  time.Duration
	// sizes are the average sizes of a request, usableRates what entry hosts could use as standing shares, by customer;
	// only in adaptive mode.
	sizes, usableRates map[string]float64
	meters             hostMeters // only in adaptive mode
	// complete is set if its last report named all shares that may be in use.
	complete bool
}

// allotment is a part of one customer's limits that a host may be using.
type allotment struct {
	number uint64
	part
	until time.Duration // on the leader's clock
	// standing is the part that entry hosts may be using until standingUntil. limit is the rate of the limits that both
	// parts were taken from, 0 if they are not reduced with them.
	standing      part
	standingUntil time.Duration
	limit         float64
}

// Start discards all state: this host has just become the leader in a term. Allotments are
// numbered such that those of a later leader are higher.
func (a *Allocator) Start(term uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startedAt = a.Now()
	a.hosts = map[string]*host{}
	a.allotments = map[string]map[string][]allotment{}
	a.demandRates = map[string]map[string]float64{}
	a.reserves = map[string]*reserve{}
	a.standing = map[string]map[string][]lease{}
	a.balances, a.unsureAt = map[string]*balance{}, a.startedAt
	a.sharesSeen = false
	a.complete = map[string]bool{}
	a.lastNumber = term << termShift
}

// Allot takes a host's report and returns its allotment of the customers that it reports.
// It returns nil if this host does not lead. If it has led for less than StartDelay, it returns an allotment that
// renews standing shares, and nil if the host reports none.
func (a *Allocator) Allot(p *schema.Peer) *schema.Allotment {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	a.recordReport(p, now)
	if a.hosts == nil {
		return nil
	}
	if now-a.startedAt < StartDelay {
		return a.renewStanding(p, now)
	}
	a.lastNumber++
	a.hosts[p.Name].meters.addIssue(a.lastNumber, now)
	out := &schema.Allotment{
		Host: p.Name, Incarnation: p.Incarnation, Number: a.lastNumber, Lease: int64(LeaseDuration), Hosts: int32(len(a.hosts)),
	}
	for _, d := range p.Demands {
		if field, _ := unusableDemand(d, true); field != "" {
			continue
		}
		if share := a.allotCustomer(p.Name, d.Customer, now); share != nil {
			out.Shares = append(out.Shares, share)
		}
	}
	return out
}

// recordReport stores a host's demand, removes hosts that no longer report, and ends the
// allotments that the host no longer uses.
func (a *Allocator) recordReport(p *schema.Peer, now time.Duration) {
	if a.hosts == nil {
		return
	}
	h := a.hosts[p.Name]
	if h == nil {
		h = &host{}
		a.hosts[p.Name] = h
	}
	inOrder := p.Incarnation == h.incarnation && p.Number > h.number
	h.incarnation, h.number, h.reportedAt, h.complete = p.Incarnation, p.Number, now, p.Complete
	h.sizes, h.usableRates = map[string]float64{}, map[string]float64{}
	for name, other := range a.hosts {
		if now-other.reportedAt > hostTimeout {
			delete(a.hosts, name)
			a.forgetDemands(name)
		}
	}
	for _, rates := range a.demandRates {
		delete(rates, p.Name)
	}
	for _, d := range p.Demands {
		if field, _ := unusableDemand(d, true); field != "" {
			a.recordUnusable(p.Name, "demands."+field)
			continue
		}
		if d.Size > 0 {
			h.sizes[d.Customer] = d.Size
		}
		if a.demandRates[d.Customer] == nil {
			a.demandRates[d.Customer] = map[string]float64{}
		}
		a.demandRates[d.Customer][p.Name] = d.Rate
	}
	if a.adaptive() {
		a.recordMeters(p, h, inOrder, now)
	}
	a.recordStanding(p, inOrder && p.Allotment > 0, now)
	inUse := p.Allotment
	if !inOrder && (len(p.Standing) > 0 || a.adaptive()) {
		inUse = 0 // the host may hold what a later report, already taken, does not name
	}
	for customer, hosts := range a.allotments {
		hosts[p.Name] = activeAllotments(hosts[p.Name], inUse, now)
		if len(hosts[p.Name]) == 0 {
			delete(hosts, p.Name)
		}
		if len(hosts) == 0 {
			delete(a.allotments, customer)
		}
	}
}

func (a *Allocator) forgetDemands(name string) {
	for _, rates := range a.demandRates {
		delete(rates, name)
	}
}

// activeAllotments returns a host's allotments that have not ended and that it has not
// replaced by a newer one. numberInUse is the number of the newest that it uses.
func activeAllotments(allotments []allotment, numberInUse uint64, now time.Duration) []allotment {
	var kept []allotment
	for _, x := range allotments {
		if (x.until > now || x.standing.rate > 0 && x.standingUntil > now) && x.number >= numberInUse {
			kept = append(kept, x)
		}
	}
	return kept
}

// allotCustomer returns a host's part of one customer's limits and records it as in use. Nil
// means that the customer has no limit or that nothing is divided.
func (a *Allocator) allotCustomer(name, customer string, now time.Duration) *schema.Share {
	limits, known := a.Limits(customer)
	if !known || limits.Rate <= 0 {
		return nil
	}
	if a.adaptive() {
		return a.allotAdaptive(name, customer, limits, now)
	}
	dividedFraction := 1 - a.reserveFraction(customer, limits)
	if dividedFraction <= 0 {
		return nil // all of it is kept for loans, and the host spends its floor
	}
	othersRate := a.allotted(customer, name, limits, now).rate + a.withheld(customer, limits, now).rate
	dividedRate := limits.Rate * (1 - a.unallottedFraction(name, customer, now)) * dividedFraction
	rate := math.Max(0, math.Min(dividedRate*a.demandFraction(name, customer), dividedRate-othersRate))
	share := &schema.Share{Customer: customer, Rate: rate, Burst: limits.Burst * rate / limits.Rate}
	a.recordAllotment(name, customer, allotment{number: a.lastNumber, part: part{rate, share.Burst}, until: now + LeaseDuration})
	return share
}

func (a *Allocator) recordAllotment(name, customer string, x allotment) {
	if a.allotments[customer] == nil {
		a.allotments[customer] = map[string][]allotment{}
	}
	a.allotments[customer][name] = append(a.allotments[customer][name], x)
}

// unallottedFraction returns the fraction of the rate that the hosts without an allotment,
// other than except, may spend.
func (a *Allocator) unallottedFraction(except, customer string, now time.Duration) float64 {
	unallotted := 0
	for other := range a.hosts {
		if other != except && highestRate(a.allotments[customer][other], now) == 0 {
			unallotted++
		}
	}
	return floorFraction * float64(unallotted) / float64(max(1, len(a.hosts)))
}

// demandFraction returns the fraction of the divided rate that a host should have: an equal
// share of evenFraction, and the rest in proportion to its demand. While no host has any
// demand it is an equal share of all.
func (a *Allocator) demandFraction(name, customer string) float64 {
	sum := 0.0
	for _, rate := range a.demandRates[customer] {
		sum += rate
	}
	equalFraction := 1 / float64(max(1, len(a.demandRates[customer])))
	if sum <= 0 {
		return equalFraction
	}
	return evenFraction*equalFraction + (1-evenFraction)*a.demandRates[customer][name]/sum
}

// allotted returns what hosts other than except, and the entry hosts that report to them, may be using.
func (a *Allocator) allotted(customer, except string, limits Limits, now time.Duration) part {
	var sum part
	for host := range a.allotments[customer] {
		if host != except {
			sum = sum.plus(a.allottedTo(customer, host, limits, now))
		}
	}
	for host := range a.standing[customer] {
		if host != except && a.allotments[customer][host] == nil {
			sum = sum.plus(a.standingPart(customer, host, limits, now))
		}
	}
	return sum
}

// allottedTo returns what one host, and the entry hosts that report to it, may be using.
func (a *Allocator) allottedTo(customer, host string, limits Limits, now time.Duration) part {
	p := a.standingPart(customer, host, limits, now)
	for _, x := range a.allotments[customer][host] {
		if x.until > now {
			p = p.larger(x.reduced(x.limit, limits))
		}
	}
	return p
}

func highestRate(allotments []allotment, now time.Duration) float64 {
	rate := 0.0
	for _, x := range allotments {
		if x.until > now {
			rate = math.Max(rate, x.rate)
		}
	}
	return rate
}
