package allocator

import (
	"math"
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// learnDuration is how long after the start of a leader standing shares may be in use that an earlier leader permitted:
// a control host may grant one at the end of its allotment.
var learnDuration = withClockDrift(LeaseDuration + StandingDuration)

const (
	// Time after which some of the hosts that count twice are expected not to: leases end within StandingDuration.
	recountDelay = StandingDuration / 2
	// Relative error of sums of parts.
	countTolerance = 1e-6
)

// allotmentEnd is how long after the start of a leader allotments of an earlier leader may be in use.
var allotmentEnd = withClockDrift(LeaseDuration)

// NoteMembers records the present control hosts. It must be called several times a second, also while this host does
// not lead: what a host granted that has left the group may be in use.
func (a *Allocator) NoteMembers() {
	if a.Members == nil {
		return
	}
	members := slices.Sorted(slices.Values(a.Members()))
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.members == nil || !slices.Equal(members, a.members) {
		a.members, a.membersSince = members, a.Now()
	}
}

func (a *Allocator) adaptive() bool { return a.Adaptive != nil && a.Adaptive() }

func (a *Allocator) recordUnusable(host, field string) {
	a.stats.Unusable++
	a.stats.UnusableField, a.stats.UnusableHost = field, host
}

// recordStanding stores what a control host's entry hosts may be using. A complete report replaces the earlier ones: it
// names all that the host granted, and the host uses no earlier allotment.
func (a *Allocator) recordStanding(p *schema.Peer, complete bool, now time.Duration) {
	if p.Complete && now-a.startedAt >= allotmentEnd {
		a.complete[p.Name] = true
	}
	for customer, hosts := range a.standing {
		if complete {
			delete(hosts, p.Name)
		}
		for name, leases := range hosts {
			if hosts[name] = activeLeases(leases, now); len(hosts[name]) == 0 {
				delete(hosts, name)
			}
		}
		if len(hosts) == 0 {
			delete(a.standing, customer)
		}
	}
	for _, s := range p.Standing {
		if isMeter(s) {
			continue
		}
		_, known := a.Limits(s.Customer)
		if field, _ := unusableField(s, known, withClockDrift(StandingDuration)); field != "" {
			a.recordUnusable(p.Name, "standing."+field)
			continue
		}
		a.hosts[p.Name].usableRates[s.Customer] = s.Standing
		if s.Rate <= 0 {
			continue
		}
		a.sharesSeen = true
		if a.standing[s.Customer] == nil {
			a.standing[s.Customer] = map[string][]lease{}
		}
		leases := append(a.standing[s.Customer][p.Name], lease{part: part{s.Rate, s.Burst}, limit: s.Limit, until: now + withClockDrift(StandingDuration)})
		a.standing[s.Customer][p.Name] = leases
	}
}

func activeLeases(leases []lease, now time.Duration) []lease {
	var kept []lease
	for _, l := range leases {
		if l.until > now {
			kept = append(kept, l)
		}
	}
	return kept
}

// standingPart returns what the entry hosts of one control host may be using as standing shares.
func (a *Allocator) standingPart(customer, host string, limits Limits, now time.Duration) part {
	p := a.reportedPart(customer, host, limits, now)
	for _, x := range a.allotments[customer][host] {
		if x.standingUntil > now {
			p = p.larger(x.standing.reduced(x.limit, limits))
		}
	}
	return p
}

// reportedPart is the part of standingPart that the control host reported.
func (a *Allocator) reportedPart(customer, host string, limits Limits, now time.Duration) part {
	var p part
	for _, l := range a.standing[customer][host] {
		if l.until > now {
			p = p.larger(l.reduced(l.limit, limits))
		}
	}
	return p
}

// totalStanding returns the sum of standingPart over the control hosts other than except.
func (a *Allocator) totalStanding(customer, except string, limits Limits, now time.Duration) part {
	var sum part
	for host := range a.allotments[customer] {
		if host != except {
			sum = sum.plus(a.standingPart(customer, host, limits, now))
		}
	}
	for host := range a.standing[customer] {
		if host != except && a.allotments[customer][host] == nil {
			sum = sum.plus(a.standingPart(customer, host, limits, now))
		}
	}
	return sum
}

// maxStanding returns what standing shares of all entry hosts together may amount to.
func maxStanding(limits Limits) part {
	return part{limits.Rate, limits.Burst}.times(maxStandingFraction)
}

// withheld returns what entry hosts may be using as standing shares without this leader's knowledge: what an earlier
// leader may have permitted and no control host has reported yet. It is
// nothing once all control hosts have reported all that they granted.
func (a *Allocator) withheld(customer string, limits Limits, now time.Duration) part {
	if now-a.startedAt >= learnDuration || !a.sharesSeen && !a.adaptive() {
		return part{}
	}
	if a.allComplete(now) {
		return part{}
	}
	return maxStanding(limits).minus(a.totalStanding(customer, "", limits, now)).larger(part{})
}

// allComplete reports whether all control hosts that may have granted shares in the time of an earlier leader have
// reported what they granted. A host that has left the group since may have granted more.
func (a *Allocator) allComplete(now time.Duration) bool {
	return a.members != nil && now-a.membersSince >= learnDuration && !slices.ContainsFunc(a.members, func(name string) bool { return !a.complete[name] })
}

// Learning returns the time after which a new leader is expected to know more of what is in use of a customer's limits;
// 0 means that it knows all, and that the reserve has filled since.
func (a *Allocator) Learning(customer string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	limits, known := a.Limits(customer)
	if !known || limits.Rate <= 0 || a.hosts == nil {
		return 0
	}
	now := a.Now()
	if learning := a.learning(customer, limits, now); learning > 0 {
		return learning
	}
	if r := a.reserves[customer]; r != nil {
		return max(0, r.fillsUntil-now)
	}
	return 0
}

// learning is the part of Learning for which something is withheld.
func (a *Allocator) learning(customer string, limits Limits, now time.Duration) time.Duration {
	switch {
	case !a.sharesSeen && !a.adaptive():
		return 0
	case now-a.startedAt < StartDelay:
		return StartDelay - (now - a.startedAt)
	case a.withheld(customer, limits, now).rate > 0:
		return learnDuration - (now - a.startedAt)
	case a.allotted(customer, "", limits, now).rate > limits.Rate*(1-minReserveFraction)*(1+countTolerance):
		return recountDelay // hosts that changed their control host count twice
	}
	return 0
}

// LendOrLearn is Lend, but returns a StartingError where Lend lends none to a request in need and this host has led for
// too short a time to know whether there are tokens.
func (a *Allocator) LendOrLearn(customer string, minTokens, maxTokens float64) (tokens float64, retry time.Duration, err error) {
	tokens, retry = a.Lend(customer, minTokens, maxTokens)
	if tokens > 0 || minTokens <= 0 {
		return tokens, retry, nil
	}
	if learning := a.Learning(customer); learning > 0 {
		return 0, 0, &StartingError{RetryAfter: max(learning, minDrawInterval)}
	}
	return 0, retry, nil
}

// renewStanding returns an allotment by which a control host may renew the standing shares that its entry hosts hold,
// and grant nothing else. It leaves earlier allotments as they are.
func (a *Allocator) renewStanding(p *schema.Peer, now time.Duration) *schema.Allotment {
	if !a.adaptive() || !a.isMember(p.Name) {
		return nil
	}
	out := &schema.Allotment{Host: p.Name, Incarnation: p.Incarnation, Lease: int64(LeaseDuration)}
	for _, s := range p.Standing {
		limits, known := a.Limits(s.Customer)
		if !known || limits.Rate <= 0 {
			continue
		}
		standing := a.reportedPart(s.Customer, p.Name, limits, now).smaller(maxStanding(limits))
		if standing.rate <= 0 {
			continue
		}
		if out.Number == 0 {
			a.lastNumber++
			out.Number = a.lastNumber
		}
		a.recordAllotment(p.Name, s.Customer, allotment{number: out.Number, standing: standing, limit: limits.Rate, standingUntil: now + learnDuration})
		out.Shares = append(out.Shares, &schema.Share{
			Customer: s.Customer, Standing: standing.rate, StandingBurst: standing.burst, Left: StandingDuration.Seconds(), Limit: limits.Rate,
		})
	}
	if out.Number == 0 {
		return nil
	}
	return out
}

// allotAdaptive is allotCustomer in adaptive mode: a part of the allotment may be granted to entry hosts.
func (a *Allocator) allotAdaptive(name, customer string, limits Limits, now time.Duration) *schema.Share {
	withheld := a.withheld(customer, limits, now)
	divided := part{limits.Rate, limits.Burst}.times(1 - a.unallottedFraction(name, customer, now))
	reserved := a.reserveFraction(customer, limits)
	direct := divided.times((1 - reserved) * (1 - standingFraction) * a.demandFraction(name, customer))
	left := divided.times(1 - minReserveFraction).minus(a.allotted(customer, name, limits, now)).minus(withheld)
	permitted := maxStanding(limits).minus(a.totalStanding(customer, name, limits, now)).minus(withheld)
	standing := divide(a.claims(customer, limits, now), divided.times(maxStandingFraction))[name]
	standing.rate = math.Min(standing.rate, a.usableRate(name, customer))
	standing = standing.smaller(permitted).smaller(left).larger(part{})
	if now-a.startedAt < learnDuration {
		// What entry hosts report may be renewed, as that does not raise the sum.
		standing = standing.larger(a.reportedPart(customer, name, limits, now).smaller(maxStanding(limits)))
	}
	if !a.isMember(name) {
		standing = part{}
	}
	unknown := part{}
	if h := a.hosts[name]; h != nil && !h.complete {
		// Shares that its earlier process granted may be in use beside all that it spends itself or grants.
		own := a.standingPart(customer, name, limits, now)
		standing = standing.smaller(permitted.minus(own).larger(a.reportedPart(customer, name, limits, now)))
		unknown = own.minus(standing).larger(part{})
	}
	total := direct.plus(standing).smaller(left.minus(unknown)).larger(part{})
	a.recordAllotment(name, customer, allotment{
		number: a.lastNumber, part: total.plus(unknown), until: now + LeaseDuration, standing: standing, limit: limits.Rate, standingUntil: now + learnDuration,
	})
	return &schema.Share{
		Customer: customer, Rate: total.rate, Burst: total.burst, Left: StandingDuration.Seconds(), Limit: limits.Rate,
		Standing: standing.rate, StandingBurst: standing.burst,
	}
}

// isMember reports whether a control host belongs to the group.
func (a *Allocator) isMember(name string) bool {
	return a.members == nil || slices.Contains(a.members, name)
}

// usableRate returns the rate that a control host's entry hosts could use as standing shares. Until the host knows what
// it may grant of the burst, that is little, since what they cannot use is missing elsewhere.
func (a *Allocator) usableRate(name, customer string) float64 {
	if h := a.hosts[name]; h != nil {
		return math.Max(minDemandRate, h.usableRates[customer])
	}
	return minDemandRate
}

// claims returns what the control hosts report that is asked of them and of their entry hosts.
func (a *Allocator) claims(customer string, limits Limits, now time.Duration) []claim {
	var claims []claim
	for host, rate := range a.demandRates[customer] {
		c := claim{host: host, rate: rate, holds: a.standingPart(customer, host, limits, now).rate > 0}
		if h := a.hosts[host]; h != nil {
			c.size = h.sizes[customer]
		}
		claims = append(claims, c)
	}
	return claims
}
