package allocator

import (
	"math"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Lease is the time for which a part is good. Long enough to outlive an election.
	Lease = 4 * time.Second
	// Quiet is the time for which a new leader gives nothing. It may be shorter than Lease
	// by the election timeout, since the earlier leader had stopped giving by then.
	Quiet = 3 * time.Second
	// Part of the rate of which every host without a part from the leader may spend an equal
	// share.
	floorPart = 0.1
	// Part of what the leader divides that goes evenly to the hosts that report a customer,
	// so that its first request at a host finds tokens.
	evenPart = 0.1
	// Time after which a host that reports no more is no longer given parts.
	hostTimeout = 5 * time.Second
)

// termShift leaves room for a leader's allotments below its term.
const termShift = 40

// Terms are a customer's limits, tokens a second and tokens. Rate 0: no limit.
type Terms struct {
	Rate  float64
	Burst float64
}

// Allocator divides. Set the exported fields, then call Start when this host begins to lead.
type Allocator struct {
	Now   func() time.Duration
	Terms func(customer string) (Terms, bool)

	mu     sync.Mutex
	since  time.Duration                 // when this host began to lead; guarded by mu
	number uint64                        // guarded by mu
	hosts  map[string]*host              // guarded by mu
	given  map[string]map[string][]grant // customer → host → grants that may be in use; guarded by mu
	asked  map[string]map[string]float64 // customer → host → tokens a second; guarded by mu
	// reserves hold what is lent request by request; guarded by mu
	reserves map[string]*reserve
}

type host struct {
	incarnation uint64
	heard       time.Duration
}

// grant is a part of a customer's rate that a host may be using.
type grant struct {
	number uint64
	rate   float64
	until  time.Duration
}

// Start forgets everything: this host has just begun to lead in a term. Allotments are
// numbered so that a later leader's are higher.
func (a *Allocator) Start(term uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.since = a.Now()
	a.hosts = map[string]*host{}
	a.given = map[string]map[string][]grant{}
	a.asked = map[string]map[string]float64{}
	a.reserves = map[string]*reserve{}
	a.number = term << termShift
}

// Divide takes a host's report and returns its part of each customer's limits that it asks
// for. Nil: nothing may be given yet.
func (a *Allocator) Divide(p *schema.Peer) *schema.Allotment {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	a.note(p, now)
	if a.hosts == nil || now-a.since < Quiet {
		return nil
	}
	a.number++
	out := &schema.Allotment{
		Host: p.Name, Incarnation: p.Incarnation, Number: a.number, Lease: int64(Lease), Hosts: int32(len(a.hosts)),
	}
	for _, d := range p.Demands {
		if share := a.share(p.Name, d.Customer, now); share != nil {
			out.Shares = append(out.Shares, share)
		}
	}
	return out
}

// note stores what a host asks and uses.
func (a *Allocator) note(p *schema.Peer, now time.Duration) {
	if a.hosts == nil {
		return
	}
	h := a.hosts[p.Name]
	if h == nil {
		h = &host{}
		a.hosts[p.Name] = h
	}
	h.incarnation, h.heard = p.Incarnation, now
	for name, other := range a.hosts {
		if now-other.heard > hostTimeout {
			delete(a.hosts, name)
			a.forget(name)
		}
	}
	for _, asked := range a.asked {
		delete(asked, p.Name)
	}
	for _, d := range p.Demands {
		if a.asked[d.Customer] == nil {
			a.asked[d.Customer] = map[string]float64{}
		}
		a.asked[d.Customer][p.Name] = d.Rate
	}
	for customer, hosts := range a.given {
		hosts[p.Name] = current(hosts[p.Name], p.Allotment, now)
		if len(hosts[p.Name]) == 0 {
			delete(hosts, p.Name)
		}
		if len(hosts) == 0 {
			delete(a.given, customer)
		}
	}
}

func (a *Allocator) forget(name string) {
	for _, asked := range a.asked {
		delete(asked, name)
	}
}

// current drops the grants that have ended or that a newer one has replaced.
func current(grants []grant, inUse uint64, now time.Duration) []grant {
	var kept []grant
	for _, g := range grants {
		if g.until > now && g.number >= inUse {
			kept = append(kept, g)
		}
	}
	return kept
}

// share returns what a host gets of one customer's limits, and counts it as given.
func (a *Allocator) share(name, customer string, now time.Duration) *schema.Share {
	terms, known := a.Terms(customer)
	if !known || terms.Rate <= 0 {
		return nil
	}
	divided := 1 - a.reservePart(customer, terms)
	if divided <= 0 {
		return nil // all is lent, and the host spends its floor
	}
	others := a.outstanding(customer, name, now)
	whole := terms.Rate * (1 - a.floors(name, customer, now)) * divided
	rate := math.Max(0, math.Min(whole*a.fraction(name, customer), whole-others))
	if a.given[customer] == nil {
		a.given[customer] = map[string][]grant{}
	}
	a.given[customer][name] = append(a.given[customer][name], grant{number: a.number, rate: rate, until: now + Lease})
	return &schema.Share{Customer: customer, Rate: rate, Burst: terms.Burst * rate / terms.Rate}
}

// floors is the part of the rate that hosts without a part of it may spend.
func (a *Allocator) floors(name, customer string, now time.Duration) float64 {
	without := 0
	for other := range a.hosts {
		if other != name && largest(a.given[customer][other], now) == 0 {
			without++
		}
	}
	return floorPart * float64(without) / float64(max(1, len(a.hosts)))
}

// fraction is the part of what is divided that a host should have: a little whatever callers
// ask of it, the rest by what they ask. Before they ask anything it is an equal share.
func (a *Allocator) fraction(name, customer string) float64 {
	sum := 0.0
	for _, rate := range a.asked[customer] {
		sum += rate
	}
	even := 1 / float64(max(1, len(a.asked[customer])))
	if sum <= 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*a.asked[customer][name]/sum
}

// outstanding is the rate that hosts but one may be using.
func (a *Allocator) outstanding(customer, but string, now time.Duration) float64 {
	sum := 0.0
	for host, grants := range a.given[customer] {
		if host != but {
			sum += largest(grants, now)
		}
	}
	return sum
}

func largest(grants []grant, now time.Duration) float64 {
	most := 0.0
	for _, g := range grants {
		if g.until > now {
			most = math.Max(most, g.rate)
		}
	}
	return most
}
