package allocator

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/clamper"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Weight of a report in the average of an entry host's demand, which then covers some 4 s: a share must outlast a
	// pause of its holder's callers, and one request must not count as the demand of a busy host.
	standingDemandWeight = 0.1
	// Number of customers of which a control host grants shares. With more, its reports to the leader would grow with
	// the number of customers; the others' shares are not renewed.
	maxGrantedCustomers = 1024
	// Part of the wanted burst below which no share is granted to a host that has none.
	minBurstShare = 0.5
	// Demand in tokens per second below which an idle host's demand counts as none.
	minDemandRate = 0.5
)

// Granter grants standing shares of customers' limits to the entry hosts that report to this control host, out of the
// standing part of its allotment. Set the exported fields before use.
type Granter struct {
	// Now returns the time on this host's clock.
	Now func() time.Duration
	// Limits returns a customer's limits, and false if there is no such customer.
	Limits func(customer string) (Limits, bool)
	// Adaptive reports whether shares are granted.
	Adaptive func() bool
	// Bucket holds the allotment.
	Bucket *Bucket
	// Unconfirmed reports whether customers may exist that Limits does not know yet, as this host has just started. What
	// hosts report of them is kept until it does. Nil: never.
	Unconfirmed func() bool

	// mu guards the fields below. It is taken before Bucket.mu.
	mu sync.Mutex
	// startedAt is the time of the first call: what an earlier process of this host granted before that may be in use.
	startedAt time.Duration
	started   bool
	hosts     map[string]*grantee
	customers map[string]*grants // by name
	stats     GrantStats
}

// grantee is an entry host that reports, with the number of its last report.
type grantee struct {
	incarnation, number uint64
	reportedAt          time.Duration
}

// holder is a process of an entry host.
type holder struct {
	host        string
	incarnation uint64
}

// grants are the shares of one customer that entry hosts may be using, and what entry hosts ask for.
type grants struct {
	shares  map[holder]*share
	demands map[string]*demand // by host
}

// demand is what an entry host's callers ask for, in tokens per second, and the average size of a request.
type demand struct {
	rate, size float64
}

// share is what one holder may be using.
type share struct {
	// held was reported, and granted by another control host or by an earlier process of this one.
	held lease
	// granted were granted here; which of them is in use is known with the holder's next report.
	granted []lease
	meter   meter
}

// lease is a part of the limits that may be in use until a time on this host's clock. limit is the rate of the limits
// that it is a part of; 0: not stated.
type lease struct {
	part
	limit float64
	until time.Duration
}

// GrantStats counts what became of the standing shares that a control host granted.
type GrantStats struct {
	// Granted, Renewed, Refused and Expired count shares. Refused ones found nothing left of the standing part.
	Granted, Renewed, Refused, Expired uint64
	// Unusable counts reported figures that could not be right.
	Unusable uint64
	// Customers is the number of customers of which shares may be in use, Rate the sum of their rates.
	Customers int
	Rate      float64
}

// Stats returns the counters.
func (g *Granter) Stats() GrantStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stats
	now := g.Now()
	for name, c := range g.customers {
		limits, _ := g.Limits(name)
		if p := c.outstanding(holder{}, limits, now); p.rate > 0 {
			s.Customers++
			s.Rate += p.rate
		}
	}
	return s
}

// GrantSummary says what one report of an entry host led to.
type GrantSummary struct {
	// Granted, Renewed, Refused and Ended count customers. Ended ones were held and are not renewed.
	Granted, Renewed, Refused, Ended int
	// Rate is the sum of the rates that the host may use.
	Rate float64
	// UnusableField names a field of the report that could not be right, with its value; empty: none.
	UnusableField string
	UnusableValue float64
}

// Grant takes an entry host's report and returns the shares that it may use from now on, for the reply. A share of rate
// 0 ends the one that is held.
func (g *Granter) Grant(p *schema.Peer) ([]*schema.Share, GrantSummary) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var summary GrantSummary
	now := g.start()
	h := g.hosts[p.Name]
	first := h == nil
	// A report that names the last one as answered was made after that.
	madeAfter := time.Duration(-1)
	if h != nil && p.Incarnation == h.incarnation && p.Allotment == h.number {
		madeAfter = h.reportedAt
	}
	switch {
	case h == nil:
		h = &grantee{}
		g.hosts[p.Name] = h
	case p.Incarnation < h.incarnation || p.Incarnation == h.incarnation && p.Number <= h.number:
		return nil, summary // overtaken by a later report, after which the host may hold other shares
	}
	h.incarnation, h.number, h.reportedAt = p.Incarnation, p.Number, now
	id := holder{p.Name, p.Incarnation}
	g.recordHeld(id, p, madeAfter, now, &summary)
	g.recordDemands(p, first, &summary)
	var shares []*schema.Share
	for _, name := range g.grantable(id) {
		if s := g.grantCustomer(id, name, now, &summary); s != nil {
			shares = append(shares, s)
		}
	}
	return shares, summary
}

// start initialises the state at the first call, and returns the time.
func (g *Granter) start() time.Duration {
	now := g.Now()
	if !g.started {
		g.started, g.startedAt = true, now
		g.hosts, g.customers = map[string]*grantee{}, map[string]*grants{}
		g.Bucket.holdBack(now + withClockDrift(StandingDuration))
	}
	return now
}

func (g *Granter) customer(name string) *grants {
	c := g.customers[name]
	if c == nil {
		c = &grants{shares: map[holder]*share{}, demands: map[string]*demand{}}
		g.customers[name] = c
	}
	return c
}

func (g *Granter) recordUnusable(summary *GrantSummary, field string, value float64) {
	g.stats.Unusable++
	summary.UnusableField, summary.UnusableValue = field, value
}

// recordHeld stores which shares a holder has. Those granted here that it does not name have ended, or their replies were
// lost. The report was made after madeAfter; below 0: not known.
func (g *Granter) recordHeld(id holder, p *schema.Peer, madeAfter, now time.Duration, summary *GrantSummary) {
	held, stated := map[string]lease{}, map[string]*schema.Share{}
	unknown := map[string]bool{}
	for i, s := range p.Standing {
		if i >= MaxStandingCustomers {
			g.recordUnusable(summary, "standing", float64(len(p.Standing)))
			break
		}
		_, known := g.Limits(s.Customer)
		if field, value := unusableField(s, known || g.Unconfirmed != nil && g.Unconfirmed(), withClockDrift(StandingDuration)); field != "" {
			g.recordUnusable(summary, field, value)
			unknown[s.Customer] = true // what was granted to it counts until it ends
			continue
		}
		stated[s.Customer] = s
		held[s.Customer] = lease{part{s.Rate, s.Burst}, s.Limit, now + withClockDrift(timer.Seconds(s.Left))}
		if len(g.customers) < maxGrantedCustomers {
			g.customer(s.Customer)
		}
	}
	for name, c := range g.customers {
		l, has := held[name]
		s := c.shares[id]
		switch {
		case unknown[name] || !has && s == nil:
			continue
		case !has:
			g.removeShare(name, c, id, now)
			continue
		case s == nil && l.rate <= 0:
			continue // it ended before it was reported here
		case s == nil:
			c.shares[id] = &share{held: l, meter: adoptedMeter(stated[name], now)}
			continue
		}
		s.advance(now)
		if len(s.granted) > 0 && s.until() > now {
			l.until = min(l.until, s.until())
			s.held, s.granted = lease{}, []lease{l}
		} else {
			s.held, s.granted = l, nil
		}
		g.Bucket.addSpent(name, s.record(stated[name], madeAfter, now))
	}
}

// removeShare removes a share that has ended. What its holder may have spent and did not report counts as spent.
func (g *Granter) removeShare(name string, c *grants, id holder, now time.Duration) {
	s := c.shares[id]
	s.advance(now)
	g.Bucket.addSpent(name, s.meter.potential)
	delete(c.shares, id)
}

// recordDemands stores what a host's callers ask for, on average. Of a host that reports here for the first time the
// first report counts in full.
func (g *Granter) recordDemands(p *schema.Peer, first bool, summary *GrantSummary) {
	reported := map[string]*schema.Demand{}
	for i, d := range p.Demands {
		if i >= MaxStandingCustomers {
			g.recordUnusable(summary, "demands", float64(len(p.Demands)))
			break
		}
		_, known := g.Limits(d.Customer)
		if field, value := unusableDemand(d, known || g.Unconfirmed != nil && g.Unconfirmed()); field != "" {
			g.recordUnusable(summary, field, value)
			continue
		}
		reported[d.Customer] = d
		if len(g.customers) < maxGrantedCustomers {
			g.customer(d.Customer)
		}
	}
	for name, c := range g.customers {
		r, old := reported[name], c.demands[p.Name]
		switch {
		case r == nil && old == nil:
			continue
		case old == nil:
			old = &demand{}
			c.demands[p.Name] = old
		}
		weight := standingDemandWeight
		if first {
			weight = 1
		}
		old.rate += weight * (r.GetRate() - old.rate)
		if r.GetSize() > 0 {
			old.size = r.GetSize()
		}
		if old.rate < minDemandRate {
			delete(c.demands, p.Name)
		}
	}
}

// grantable returns the customers of which a holder has or wants a share, at most MaxStandingCustomers, those with the
// largest demand first.
func (g *Granter) grantable(id holder) []string {
	var names []string
	for name, c := range g.customers {
		if c.demands[id.host] != nil || c.shares[id] != nil {
			names = append(names, name)
		}
	}
	rate := func(name string) float64 {
		if d := g.customers[name].demands[id.host]; d != nil {
			return d.rate
		}
		return 0
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(rate(b), rate(a)), cmp.Compare(a, b)) })
	return names[:min(len(names), MaxStandingCustomers)]
}

// grantCustomer decides on one customer's share of a holder and records it as in use before it is sent. Nil means that
// the holder has none, gets none, or keeps what it has until its lease ends.
func (g *Granter) grantCustomer(id holder, name string, now time.Duration, summary *GrantSummary) *schema.Share {
	c := g.customers[name]
	limits, known := g.Limits(name)
	if !known || limits.Rate <= 0 {
		return nil
	}
	s := c.shares[id]
	var held part
	if s != nil {
		held = s.active(limits, now)
	}
	available, duration := part{}, time.Duration(0)
	if g.Adaptive() {
		available, duration = g.Bucket.grantableNow(name)
	}
	if available.rate <= 0 || available.burst <= 0 || duration <= 0 {
		if held.rate > 0 {
			summary.Refused++
			g.stats.Refused++
			summary.Rate += held.rate
		}
		return nil
	}
	wanted := divide(c.claims(limits, now), available)[id.host]
	// What a holder has already may be renewed up to the standing part: that does not raise the sum. More may be
	// granted only if nothing else is in use, wherever it was granted.
	others, granted := c.outstanding(id, limits, now), c.grantedHere(id, limits, now)
	renewable := held.smaller(available.minus(granted))
	next := wanted.smaller(renewable.larger(available.minus(others)))
	if now-g.startedAt < withClockDrift(StandingDuration) {
		next = next.smaller(held) // holders that have not reported yet may be using the rest
	}
	if held.rate <= 0 && next.burst < wanted.burst*minBurstShare {
		next = part{} // it would not hold a request
	}
	if next.rate <= 0 || next.burst <= 0 {
		if wanted.rate > 0 {
			summary.Refused++
			g.stats.Refused++
		}
		if held.rate <= 0 {
			return nil
		}
		summary.Ended++
		return &schema.Share{Customer: name, Limit: limits.Rate}
	}
	if s == nil {
		s = &share{meter: meter{at: now}}
		c.shares[id] = s
	}
	s.advance(now)
	s.granted = append(s.granted, lease{next, limits.Rate, now + withClockDrift(duration)})
	g.Bucket.setGranted(name, c.grantedHere(holder{}, limits, now))
	if held.rate > 0 {
		summary.Renewed++
		g.stats.Renewed++
	} else {
		summary.Granted++
		g.stats.Granted++
	}
	summary.Rate += next.rate
	return &schema.Share{Customer: name, Rate: next.rate, Burst: next.burst, Left: duration.Seconds(), Limit: limits.Rate}
}

// claims returns the demand of the hosts that report.
func (c *grants) claims(limits Limits, now time.Duration) []claim {
	holds := map[string]bool{}
	for id, s := range c.shares {
		if s.active(limits, now).rate > 0 {
			holds[id.host] = true
		}
	}
	var claims []claim
	for host, d := range c.demands {
		claims = append(claims, claim{host: host, rate: d.rate, size: d.size, holds: holds[host]})
	}
	return claims
}

// outstanding returns the sum of what holders other than except may be using.
func (c *grants) outstanding(except holder, limits Limits, now time.Duration) part {
	var sum part
	for id, s := range c.shares {
		if id != except {
			sum = sum.plus(s.active(limits, now))
		}
	}
	return sum
}

// grantedHere returns the part of outstanding that was granted by this process.
func (c *grants) grantedHere(except holder, limits Limits, now time.Duration) part {
	var sum part
	for id, s := range c.shares {
		if id != except {
			sum = sum.plus(s.grantedNow(limits, now))
		}
	}
	return sum
}

// active returns the largest part that the holder may be using.
func (s *share) active(limits Limits, now time.Duration) part {
	p := s.grantedNow(limits, now)
	if s.held.until > now {
		p = p.larger(s.held.reduced(s.held.limit, limits))
	}
	return p
}

func (s *share) grantedNow(limits Limits, now time.Duration) part {
	var p part
	for _, l := range s.granted {
		if l.until > now {
			p = p.larger(l.reduced(l.limit, limits))
		}
	}
	return p
}

// until returns the time at which the last of the leases ends.
func (s *share) until() time.Duration {
	until := s.held.until
	for _, l := range s.granted {
		until = max(until, l.until)
	}
	return until
}

// Fill adds to this host's report to the leader what its entry hosts ask for and what they may be using of each
// customer's limits. Customers in it that the Bucket does not know are added.
func (g *Granter) Fill(p *schema.Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.start()
	g.sweep(now)
	demands := map[string]*schema.Demand{}
	for _, d := range p.Demands {
		demands[d.Customer] = d
	}
	adaptive := g.Adaptive()
	potentials := map[string]float64{}
	for name, c := range g.customers {
		potentials[name] = 0
		for _, s := range c.shares {
			s.advance(now)
			potentials[name] += s.meter.potential
		}
		limits, known := g.Limits(name)
		if !known {
			continue
		}
		g.Bucket.setGranted(name, c.grantedHere(holder{}, limits, now))
		sum := c.outstanding(holder{}, limits, now)
		usable := 0.0
		if adaptive {
			usable = g.usableRate(name, c, limits, now)
		}
		if sum.rate > 0 || usable > 0 {
			p.Standing = append(p.Standing, &schema.Share{
				Customer: name, Rate: sum.rate, Burst: sum.burst, Left: StandingDuration.Seconds(), Limit: limits.Rate, Standing: usable,
			})
		}
		if !adaptive {
			continue
		}
		rate, sizes := 0.0, 0.0
		for _, d := range c.demands {
			rate += d.rate
			sizes += d.rate * d.size
		}
		d := demands[name]
		if d == nil {
			d = &schema.Demand{Customer: name}
			p.Demands = append(p.Demands, d)
		}
		d.Rate = min(math.Max(d.Rate, rate), clamper.MaxAmount)
		if rate > 0 {
			d.Size = min(sizes/rate, clamper.MaxAmount)
		}
	}
	if adaptive {
		p.Standing = append(p.Standing, g.Bucket.meters(potentials)...)
	}
	sortShares(p.Standing)
	p.Complete = adaptive && now-g.startedAt >= withClockDrift(StandingDuration)
	p.Metered = adaptive
	if adaptive && !p.Complete {
		p.Allotment = 0 // what an earlier process granted under an earlier allotment may be in use
	}
}

// usableRate returns the rate that this host's entry hosts could use as standing shares, given what may be granted of
// the customer's burst.
func (g *Granter) usableRate(name string, c *grants, limits Limits, now time.Duration) float64 {
	available, _ := g.Bucket.grantableNow(name)
	sum := 0.0
	for _, p := range divide(c.claims(limits, now), part{limits.Rate, available.burst}) {
		sum += p.rate
	}
	return sum
}

// sweep removes what has ended, and the demand of hosts that no longer report here.
func (g *Granter) sweep(now time.Duration) {
	for name, h := range g.hosts {
		if now-h.reportedAt <= hostTimeout {
			continue
		}
		for _, c := range g.customers {
			delete(c.demands, name)
		}
		if now-h.reportedAt > withClockDrift(StandingDuration) {
			delete(g.hosts, name)
		}
	}
	for name, c := range g.customers {
		for id, s := range c.shares {
			if s.until() <= now {
				g.removeShare(name, c, id, now)
				g.stats.Expired++
			}
		}
		if len(c.shares) == 0 && len(c.demands) == 0 {
			g.Bucket.setGranted(name, part{})
			delete(g.customers, name)
		}
	}
}

// grantableNow returns what may be granted in all of a customer's limits as standing shares, and for how long each.
func (b *Bucket) grantableNow(customer string) (part, time.Duration) {
	limits, known := b.Limits(customer)
	if !known || limits.Rate <= 0 {
		return part{}, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	a := b.account(customer, limits, now)
	if now >= a.grantableUntil {
		return part{}, 0
	}
	return a.grantable.reduced(a.grantableLimit, limits), min(a.grantDuration, StandingDuration)
}

// holdBack keeps what may be granted as standing shares from being spent here until a time.
func (b *Bucket) holdBack(until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holdBackUntil = until
}

// setGranted deducts what may be in use of the standing shares granted here from what this host may spend.
func (b *Bucket) setGranted(customer string, granted part) {
	limits, known := b.Limits(customer)
	if !known || limits.Rate <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if granted.rate <= 0 && b.customers[customer] == nil {
		return
	}
	a := b.account(customer, limits, b.Now())
	a.granted, a.grantedLimit = granted, limits.Rate
}
