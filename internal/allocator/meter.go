package allocator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// A counter of tokens in a message starts again from 0 here, far below the largest figure that is accepted.
	maxCounter = 1e11
	// A control host states the meter of a customer whose tokens it spent for this long after the last of them: longer
	// than a leader keeps a host that does not report.
	meterDuration = 20 * time.Second
	// Number of customers whose meters a control host states, those with the largest demand first: its reports must not
	// grow with the number of customers.
	maxMeters = 256
	// Age of a control host's last report from which what it spent counts as not known: half of the lease of an
	// allotment, so that it has none that lapsed unseen.
	maxMeterAge = LeaseDuration / 2
	// Number of allotments of one control host of which the leader keeps the time: more than it sends in a lease.
	keptIssues = 64
)

// meter is what is known of the tokens of one share. Amounts are in tokens.
type meter struct {
	// spent is the holder's counter as of its last report, if that is known.
	spent float64
	known bool
	// potential is the most that may have been spent and not reported, or may be left, at a time.
	potential float64
	at        time.Duration
}

// accrued returns the tokens that a rate on another host's clock yields in a time on this host's clock.
func accrued(rate float64, d time.Duration) float64 {
	return rate * max(0, d).Seconds() * (1 + maxDriftFraction)
}

// advance adds to the potential of a share what its rates may have yielded. It must be called before the leases change.
func (s *share) advance(now time.Duration) {
	s.meter.potential += accrued(s.largestRate(), now-s.meter.at)
	s.meter.at = now
}

// largestRate returns the highest rate of the leases, also of those that have ended since the last call of advance.
func (s *share) largestRate() float64 {
	rate := s.held.rate
	for _, l := range s.granted {
		rate = math.Max(rate, l.rate)
	}
	return rate
}

// record takes what the holder states of a share. The report was made after from, when the holder had applied all earlier
// replies; a negative from says that this is not known. It returns the tokens that have been spent, or may have been,
// since the last report.
func (s *share) record(stated *schema.Share, from, now time.Duration) (spent float64) {
	m := &s.meter
	if stated.Standing < 1 || from < 0 {
		// What it may be grows until a report states it. All but what can be left counts as spent after a while.
		if largest := stated.Burst + accrued(stated.Rate, StandingDuration); m.potential > largest {
			spent, m.potential = m.potential-stated.Burst, stated.Burst
		}
		return spent
	}
	if m.known && stated.Standing >= m.spent {
		spent = stated.Standing - m.spent
	} else {
		spent = m.potential
	}
	*m = meter{spent: stated.Standing, known: true, at: now}
	m.potential = stated.StandingBurst + accrued(stated.Rate, now-from)
	return spent
}

// adoptedMeter returns the meter of a share that another control host, or an earlier process of this one, granted. What
// was spent before is counted by that one.
func adoptedMeter(stated *schema.Share, now time.Duration) meter {
	if stated.Standing < 1 {
		return meter{potential: stated.Burst, at: now}
	}
	return meter{spent: stated.Standing, known: true, potential: stated.StandingBurst, at: now}
}

// addSpent adds to a customer's tokens that are known to be spent, or may have been, out of the shares granted here.
func (b *Bucket) addSpent(customer string, tokens float64) {
	limits, known := b.Limits(customer)
	if !known || tokens <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(customer, limits, b.Now()).countSpent(tokens, b.Now())
}

func (a *account) countSpent(tokens float64, now time.Duration) {
	a.spent = math.Mod(a.spent+tokens, maxCounter)
	a.spentAt = now
}

// meters returns the meters of the customers of which tokens were spent lately, and of those in others: what was spent
// and, in addition to others, what is left of the allotment. They are at most maxMeters.
func (b *Bucket) meters(others map[string]float64) []*schema.Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	var names []string
	for name, a := range b.customers {
		if _, listed := others[name]; listed || a.spent > 0 && now-a.spentAt <= meterDuration {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(m, n string) int {
		return cmp.Or(cmp.Compare(b.customers[n].steadyRate, b.customers[m].steadyRate), cmp.Compare(m, n))
	})
	var shares []*schema.Share
	for _, name := range names[:min(len(names), maxMeters)] {
		a := b.customers[name]
		if limits, known := b.Limits(name); known && limits.Rate > 0 {
			a.fill(b, limits, now)
		}
		shares = append(shares, &schema.Share{Customer: name, Standing: 1 + a.spent, StandingBurst: others[name] + math.Max(0, a.level)})
	}
	return shares
}

// isMeter reports whether an entry of a control host's report states a meter, not shares that may be in use.
func isMeter(s *schema.Share) bool {
	return s.Standing >= 1 && s.Rate == 0 && s.Burst == 0 && s.Left == 0 && s.Limit == 0
}

// hostMeters is what a control host states of the tokens spent and left at it and at its entry hosts.
type hostMeters struct {
	// stated is set if the last report in order named all shares that may be in use.
	stated bool
	// byCustomer was stated in a report that was made after from. If partial is set, customers may be missing in it; else
	// those that are not in it have spent nothing lately, and entry hosts hold no shares of them.
	byCustomer map[string]hostMeter
	partial    bool
	from       time.Duration
	// peaks are the largest parts that the host and its entry hosts may have used since from: a part that lapses
	// meanwhile was in use until then.
	peaks map[string]part
	// issues are the last allotments, by time.
	issues []issue
}

type hostMeter struct{ spent, potential float64 }

type issue struct {
	number uint64
	at     time.Duration
}

// issuedAt returns when an allotment was sent, and false if that is not known.
func (h *hostMeters) issuedAt(number uint64) (time.Duration, bool) {
	for _, i := range h.issues {
		if i.number == number {
			return i.at, true
		}
	}
	return 0, false
}

func (h *hostMeters) addIssue(number uint64, now time.Duration) {
	if len(h.issues) == keptIssues {
		h.issues = append(h.issues[:0], h.issues[1:]...)
	}
	h.issues = append(h.issues, issue{number, now})
}

// balance is what a customer's limits still allow, given all that is known to be spent: never more than they do. It is
// in tokens, as of at.
type balance struct {
	level  float64
	at     time.Duration
	limits Limits
	// unsureUntil is when hosts have certainly learned of a change of the limits.
	unsureUntil time.Duration
}

// advance fills a balance up to a time, but not above maxLevel.
func (x *balance) advance(now time.Duration, maxLevel float64) {
	if now > x.at {
		x.level, x.at = x.level+x.limits.Rate*(now-x.at).Seconds(), now
	}
	x.level = math.Min(x.level, maxLevel)
}

// balance returns a customer's balance, filled up to now. It starts at 0, and again from 0 at each time at which tokens
// may have been spent that nobody will report: no more is certain to be left then. It is no lower either, unless the
// reserve is, since what hosts may spend is within the limits at any moment: what is charged twice has no effect beyond.
func (a *Allocator) balance(customer string, limits Limits, now time.Duration) *balance {
	x := a.balances[customer]
	if x == nil {
		x = &balance{at: now, limits: limits}
		a.balances[customer] = x
	}
	if x.limits != limits {
		x.advance(now, 0)
		x.limits, x.unsureUntil = limits, now+learnDuration
	}
	if from := max(a.sureFrom(now), min(now, x.unsureUntil)); x.at < from {
		x.advance(from, 0)
	}
	x.advance(now, limits.Burst)
	floor := 0.0
	if r := a.reserves[customer]; r != nil {
		floor = math.Min(0, r.level)
	}
	x.level = math.Max(x.level, floor)
	return x
}

// sureFrom returns the time since which all tokens that are spent are reported: now if some may not be, as a control host
// has not stated its meters, or its predecessor may have granted shares that it does not know.
func (a *Allocator) sureFrom(now time.Duration) time.Duration {
	from := max(a.unsureAt, max(a.startedAt, a.membersSince)+learnDuration)
	if a.members == nil || from >= now {
		return now
	}
	for _, name := range a.members {
		if a.hosts[name] == nil {
			return now
		}
	}
	for _, h := range a.hosts {
		if !h.meters.stated || now-h.reportedAt > maxMeterAge {
			return now
		}
	}
	return from
}

// recordMeters stores a control host's meters and charges what was spent. Reports out of order, and those that were made
// at a time that is not known, are not used: the next one states the same counters.
func (a *Allocator) recordMeters(p *schema.Peer, h *host, inOrder bool, now time.Duration) {
	m := &h.meters
	if !p.Complete || !p.Metered {
		m.stated, m.byCustomer = false, nil
		return
	}
	from, issued := m.issuedAt(p.Allotment)
	if !inOrder || !issued {
		return
	}
	if !m.stated {
		a.unsureAt = now // it may have spent tokens until now
	}
	stated, n := map[string]hostMeter{}, 0
	for _, s := range p.Standing {
		if !isMeter(s) {
			continue
		}
		n++
		limits, known := a.Limits(s.Customer)
		if field, _ := unusableField(s, known, 0); field != "" {
			a.recordUnusable(p.Name, "standing."+field)
			continue
		}
		if limits.Rate <= 0 {
			continue
		}
		stated[s.Customer] = hostMeter{s.Standing, s.StandingBurst}
		x, old := a.balance(s.Customer, limits, now), m.byCustomer[s.Customer]
		if old.spent == 0 || s.Standing < old.spent {
			x.advance(now, 0)
			continue
		}
		x.level -= s.Standing - old.spent
	}
	m.stated, m.byCustomer, m.partial, m.from = true, stated, n >= maxMeters || len(stated) < n, from
	m.peaks = map[string]part{}
	for customer := range a.balances {
		if limits, known := a.Limits(customer); known {
			m.peaks[customer] = a.allottedTo(customer, p.Name, limits, now)
		}
	}
}

// unreported returns the most that may be left at the control hosts and at their entry hosts, or may have been spent
// there and not been reported, and false if that is not known.
func (a *Allocator) unreported(customer string, limits Limits, now time.Duration) (float64, bool) {
	sum := 0.0
	floor := part{limits.Rate, limits.Burst}.times(floorFraction / float64(max(1, len(a.hosts))))
	for name, h := range a.hosts {
		p := a.allottedTo(customer, name, limits, now).larger(h.meters.peaks[customer])
		if h.meters.peaks != nil {
			h.meters.peaks[customer] = p
		}
		m, stated := h.meters.byCustomer[customer]
		switch {
		case stated:
			sum += m.potential
		case h.meters.partial:
			return 0, false
		default:
			sum += math.Max(p.burst, floor.burst)
		}
		sum += accrued(p.rate+floor.rate, now-h.meters.from)
	}
	return sum, true
}

// reclaim adds to the reserve the tokens that the limits allow and that no host can spend: levels that were full or were
// cut, loans that ended, and rate that counted as in use while it moved. Balance and unreported are certain, so what all
// hosts may spend stays within the limits; the level of the reserve stays within its part of the burst.
func (a *Allocator) reclaim(r *reserve, customer string, limits Limits, maxLevel float64, now time.Duration) {
	x := a.balance(customer, limits, now)
	if a.sureFrom(now) >= now || now < x.unsureUntil {
		return
	}
	unreported, known := a.unreported(customer, limits, now)
	if level := math.Min(maxLevel, x.level-unreported); known && level > r.level {
		a.stats.ReclaimedTokens += level - r.level
		r.level = level
	}
}
