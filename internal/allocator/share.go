package allocator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// StandingDuration is how long a standing share is valid: longer than control hosts need to start again, elect
	// a leader and renew it.
	StandingDuration = 6 * time.Second
	// MaxStandingCustomers is the number of customers for which an entry host reports demand and holds standing
	// shares: messages must not grow with the number of customers.
	MaxStandingCustomers = 64
	// Part of what is divided among control hosts that may be granted as standing shares.
	standingFraction = 0.6
	// Part of the limits that standing shares of all entry hosts together may amount to.
	maxStandingFraction = standingFraction * (1 - minReserveFraction)
	// Largest ratio of a standing share to its holder's demand. What a holder cannot spend is missing elsewhere;
	// the rest lets a holder save tokens for a burst.
	maxStandingDemand = 1.1
	// Clocks of two hosts advance at rates that differ by up to this much, and are read with a delay of up to
	// driftMargin.
	maxDriftFraction = 0.02
	driftMargin      = 50 * time.Millisecond
	// A share that ended is reported for this long, in several reports, so that what it had left is free at once.
	endedDuration = time.Second
	// Tokens, and tokens per second, above which a reported figure cannot be right.
	maxFigure = 1e12
)

// withClockDrift returns how long to wait on this host's clock so that d has certainly passed on another host's.
func withClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*maxDriftFraction) + driftMargin
}

// usableFigure reports whether a reported number of tokens, or of tokens per second, can be right.
func usableFigure(x float64) bool { return x >= 0 && x <= maxFigure }

// unusableField returns the name and the value of the first field of a share that cannot be right, and an empty name if
// all can be. A share may be valid for at most maxLeft.
func unusableField(s *schema.Share, known bool, maxLeft time.Duration) (field string, value float64) {
	switch {
	case !known:
		return "customer", 0
	case !usableFigure(s.Rate):
		return "rate", s.Rate
	case !usableFigure(s.Burst):
		return "burst", s.Burst
	case !usableFigure(s.Limit):
		return "limit", s.Limit
	case !usableFigure(s.Standing):
		return "standing", s.Standing
	case !usableFigure(s.StandingBurst):
		return "standing_burst", s.StandingBurst
	case !(s.Left >= 0) || timer.Seconds(s.Left) > maxLeft:
		return "left", s.Left
	}
	return "", 0
}

// unusableDemand is unusableField for a demand.
func unusableDemand(d *schema.Demand, known bool) (field string, value float64) {
	switch {
	case !known:
		return "customer", 0
	case !usableFigure(d.Rate):
		return "rate", d.Rate
	case !usableFigure(d.Size):
		return "size", d.Size
	}
	return "", 0
}

// claim is the demand of one host for a part of a customer's limits that is to be divided.
type claim struct {
	host string
	// rate in tokens per second; size is the average number of tokens of a request.
	rate, size float64
	// holds is set if the host has a part already.
	holds bool
}

// Demand by which a host that has a part already comes before others, as a factor: otherwise parts, and the tokens
// saved in them, would move with each fluctuation of the demand.
const holderPreference = 1.5

func sortClaims(claims []claim) {
	weight := func(c claim) float64 {
		if c.holds {
			return c.rate * holderPreference
		}
		return c.rate
	}
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.host, b.host))
	})
}

// part is a part of a customer's rate and burst.
type part struct{ rate, burst float64 }

func (p part) plus(q part) part  { return part{p.rate + q.rate, p.burst + q.burst} }
func (p part) minus(q part) part { return part{p.rate - q.rate, p.burst - q.burst} }

func (p part) times(f float64) part { return part{p.rate * f, p.burst * f} }

// larger and smaller apply to rate and burst each.
func (p part) larger(q part) part  { return part{math.Max(p.rate, q.rate), math.Max(p.burst, q.burst)} }
func (p part) smaller(q part) part { return part{math.Min(p.rate, q.rate), math.Min(p.burst, q.burst)} }

// reduced returns the part under the present limits if it was one of limits with another rate; 0: not stated.
func (p part) reduced(limit float64, limits Limits) part {
	if limit <= limits.Rate {
		return p
	}
	return p.times(limits.Rate / limit)
}

// divide returns the part of each host that gets one of a rate and burst. A part is useful only if its burst holds a
// request, so hosts with the largest demand come first, and the rate is divided among those that get some of the burst.
func divide(claims []claim, total part) map[string]part {
	sortClaims(claims)
	sum := 0.0
	for _, c := range claims {
		sum += c.rate
	}
	parts := map[string]part{}
	if sum <= 0 || total.rate <= 0 {
		return parts
	}
	left, chosen := total.burst, 0.0
	for _, c := range claims {
		size := c.size
		if size <= 0 {
			size = initialSize
		}
		if c.rate <= 0 || size > left {
			continue // another host's requests may be smaller
		}
		burst := math.Min(left, math.Max(size, total.burst*c.rate/sum))
		left -= burst
		chosen += c.rate
		parts[c.host] = part{rate: c.rate, burst: burst}
	}
	for host, p := range parts {
		p.rate *= math.Min(maxStandingDemand, total.rate/chosen)
		parts[host] = p
	}
	return parts
}

// ShareStats counts what became of standing shares at an entry host.
type ShareStats struct {
	// Held is the number of customers of which this host holds a share.
	Held int
	// Granted, Renewed and Expired count shares; Unusable counts fields that could not be right.
	Granted, Renewed, Expired, Unusable uint64
	// SpentTokens were spent out of shares.
	SpentTokens float64
}

// Stats returns the counters of standing shares.
func (b *Bucket) Stats() ShareStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shareStats
	now := b.Now()
	for _, a := range b.customers {
		if b.LoansOnly && a.rate > 0 && now < a.allottedUntil {
			s.Held++
		}
	}
	return s
}

// ShareChanges says what a reply of a control host changed at an entry host.
type ShareChanges struct {
	Granted, Renewed, Expired int
	// UnusableField names a field that could not be right, with its value; empty: none.
	UnusableField string
	UnusableValue float64
}

// ApplyStanding puts the standing shares of a control host's reply in force, which was requested at requestedAt on this
// host's clock. A share of rate 0 ends the one that is held.
func (b *Bucket) ApplyStanding(shares []*schema.Share, requestedAt time.Duration) ShareChanges {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes ShareChanges
	now := b.Now()
	for _, s := range shares {
		limits, known := b.Limits(s.Customer)
		if field, value := unusableField(s, known, StandingDuration); field != "" {
			b.shareStats.Unusable++
			changes.UnusableField, changes.UnusableValue = field, value
			continue
		}
		if limits.Rate <= 0 {
			continue
		}
		a := b.account(s.Customer, limits, now)
		held := a.rate > 0 && now < a.allottedUntil
		until := requestedAt + timer.Seconds(s.Left)
		switch {
		case s.Rate > 0 && now < until && held:
			changes.Renewed++
		case s.Rate > 0 && now < until:
			changes.Granted++
		}
		if held && s.Rate <= 0 {
			a.endedAt = now
		}
		a.rate, a.burst, a.limitRate, a.allottedUntil = s.Rate, s.Burst, s.Limit, until
		a.fill(b, limits, now)
	}
	changes.Expired = b.countExpired(now)
	b.shareStats.Granted += uint64(changes.Granted)
	b.shareStats.Renewed += uint64(changes.Renewed)
	return changes
}

// countExpired counts the shares that have ended since the last call and were not given up. The caller holds mu.
func (b *Bucket) countExpired(now time.Duration) int {
	n := 0
	for _, a := range b.customers {
		if b.LoansOnly && a.rate > 0 && now >= a.allottedUntil {
			a.rate, a.burst, a.endedAt = 0, 0, now
			n++
		}
	}
	b.shareStats.Expired += uint64(n)
	return n
}

// Standing returns the standing shares that this host holds, with the time that is left of their leases and, in adaptive
// mode, with what was spent and what is left of each. Of more than MaxStandingCustomers it gives up the smallest, since
// what a report does not name counts as not held.
func (b *Bucket) Standing() []*schema.Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	var shares []*schema.Share
	for name, a := range b.customers {
		if b.LoansOnly && a.rate > 0 && now < a.allottedUntil {
			s := &schema.Share{Customer: name, Rate: a.rate, Burst: a.burst, Limit: a.limitRate, Left: (a.allottedUntil - now).Seconds()}
			if limits, known := b.Limits(name); known && b.adaptive() {
				a.fill(b, limits, now)
				s.Standing, s.StandingBurst = 1+a.spent, math.Max(0, a.level)
			}
			shares = append(shares, s)
		}
	}
	sortShares(shares)
	for len(shares) > MaxStandingCustomers {
		a := b.customers[shares[len(shares)-1].Customer]
		a.rate, a.burst, a.level = 0, 0, 0
		shares = shares[:len(shares)-1]
	}
	return shares
}

// Ended returns at most n shares that ended lately, at a rate of 0, with what was spent of each; none unless in adaptive
// mode. A report that names them after those of Standing makes free at once what they had left.
func (b *Bucket) Ended(n int) []*schema.Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.LoansOnly || !b.adaptive() {
		return nil
	}
	now := b.Now()
	var shares []*schema.Share
	for name, a := range b.customers {
		if a.rate <= 0 && a.endedAt > 0 && now-a.endedAt < endedDuration {
			shares = append(shares, &schema.Share{Customer: name, Standing: 1 + a.spent})
		}
	}
	sortShares(shares)
	return shares[:min(len(shares), n)]
}

func sortShares(shares []*schema.Share) {
	slices.SortFunc(shares, func(a, b *schema.Share) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Customer, b.Customer))
	})
}

// LargestDemands returns the demands with the highest rates that are above 0, at most MaxStandingCustomers, in order.
func LargestDemands(demands []*schema.Demand) []*schema.Demand {
	largest := slices.DeleteFunc(slices.Clone(demands), func(d *schema.Demand) bool { return !(d.Rate > 0) })
	slices.SortFunc(largest, func(a, b *schema.Demand) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Customer, b.Customer))
	})
	return largest[:min(len(largest), MaxStandingCustomers)]
}

// Time after which tokens are asked for again of a leader that cannot know yet what is in use: what it knows to be free
// it lends.
const askAgainDelay = 100 * time.Millisecond

// RecordStarting records that no control host can know yet whether there are tokens to lend, and when it is expected to.
func (b *Bucket) RecordStarting(customer string, retry time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.customers[customer]; a != nil {
		now := b.Now()
		a.noLoanUntil, a.startingUntil = now+min(retry, askAgainDelay), now+retry
	}
}

// reducedShare returns the rate and burst of an allotment or share of which the customer's limits may have been lowered
// since.
func (a *account) reducedShare(limits Limits) (rate, burst float64) {
	if a.limitRate <= 0 {
		return a.rate, a.burst
	}
	fraction := math.Min(1, limits.Rate/a.limitRate)
	return a.rate * fraction, math.Min(a.burst*fraction, limits.Burst)
}
