package limiter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Duration of spending, at the average rate, for which a host requests tokens ahead.
	aheadDuration = 150 * time.Millisecond
	// Idle time after which a host returns what is left of its grants.
	returnDelay = 400 * time.Millisecond
	// Idle time after which a customer's state may be deleted.
	idleTimeout = 10 * time.Second
	// Weight of the newest interval in the moving average of spending.
	spendWeight = 0.3
)

// Spender spends this host's floors and the tokens granted to it. Set the exported
// fields, then call Start.
type Spender struct {
	Host string
	// Now returns the time on this host's clock.
	Now func() time.Duration
	// Limits returns a customer's limits, and false if there is no such customer.
	Limits func(customer string) (Limits, bool)
	// Share returns this host's share of every customer, in millionths.
	Share func() int32

	mu        sync.Mutex
	startedAt time.Duration
	customers map[string]*account // by name; guarded by mu
}

// account is the state of one customer at this host. Times are on this host's clock, rates in
// tokens per second.
type account struct {
	floorTokens       float64                // left of the floor; below zero after requests that used more than reserved
	floorFilledAt     time.Duration          // when floorTokens was last filled
	grants            []heldGrant            // ordered by until
	lenderIncarnation uint64                 // process of the lender to which uses and refundTokens will be reported
	uses              map[uint64]*schema.Use // by number of the grant, since the last report
	refundTokens      float64                // granted tokens that requests reserved but did not use, since the last report
	spendRate         float64                // moving average
	averagedAt        time.Duration          // when spendRate was last updated
	usedAt            time.Duration          // when tokens were last asked for
	recentTokens      float64                // reserved since averagedAt
	grantedAt         time.Duration          // when the last grant arrived
}

// heldGrant is a grant's tokens that are not yet spent.
type heldGrant struct {
	lenderIncarnation uint64
	number            uint64
	tokens            float64
	until             time.Duration
}

// Reservation is the tokens taken for one request.
type Reservation struct {
	Customer          string
	Tokens            float64 // reserved in all
	floorTokens       float64 // those taken from the floor
	grantTokens       float64 // those from grants of lenderIncarnation
	lenderIncarnation uint64
}

// Start begins with empty floors, since an earlier process may have spent them.
func (s *Spender) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt = s.Now()
	s.customers = map[string]*account{}
}

// Reserve takes n tokens at once, or returns a nil reservation and how many tokens are
// missing. It returns false if there is no such customer.
func (s *Spender) Reserve(customer string, n float64) (r *Reservation, missing float64, ok bool) {
	limits, known := s.Limits(customer)
	if !known {
		return nil, 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	a := s.account(customer, limits, now)
	a.usedAt = now
	granted := a.grantedTokens()
	if granted+math.Max(0, a.floorTokens) < n {
		return nil, n - granted - math.Max(0, a.floorTokens), true
	}
	r = &Reservation{Customer: customer, Tokens: n, lenderIncarnation: a.lenderIncarnation}
	spent, refundable := a.spend(math.Min(n, granted))
	r.floorTokens = n - spent
	r.grantTokens = refundable
	a.floorTokens -= r.floorTokens
	a.recentTokens += n
	return r, 0, true
}

// Settle charges the tokens that a request really used. Those that it did not need are
// refunded; those beyond its reservation become a debt of the floor, and are returned.
func (s *Spender) Settle(r *Reservation, used float64) (over float64) {
	limits, known := s.Limits(r.Customer)
	if !known {
		return math.Max(0, used-r.Tokens)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(r.Customer, limits, s.Now())
	if used > r.Tokens {
		a.floorTokens -= used - r.Tokens
		return used - r.Tokens
	}
	unused := r.Tokens - used
	toFloor := math.Min(unused, r.floorTokens)
	a.floorTokens = math.Min(a.floorTokens+toFloor, s.maxFloorTokens(limits))
	if r.lenderIncarnation == a.lenderIncarnation {
		a.refundTokens += math.Min(unused-toFloor, r.grantTokens)
	}
	return 0
}

// NewRequest returns a request for missing tokens, with the usage since the last report, and
// the time on this host's clock. The request must be sent at most once.
func (s *Spender) NewRequest(customer string, missing float64) (*schema.GrantRequest, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	a := s.customers[customer]
	if a == nil {
		return &schema.GrantRequest{Host: s.Host, Customer: customer, Need: missing, Wish: missing}, now
	}
	a.dropExpired(now)
	r := &schema.GrantRequest{
		Host: s.Host, Customer: customer, Need: missing, Wish: missing + a.spendRate*aheadDuration.Seconds(),
	}
	a.moveUsage(r)
	return r, now
}

// HandleGrant takes the reply to a request that was sent at sentAt on this host's clock.
func (s *Spender) HandleGrant(customer string, reply *schema.GrantReply, sentAt time.Duration) {
	limits, known := s.Limits(customer)
	if !known {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	a := s.account(customer, limits, now)
	if a.lenderIncarnation != reply.Lender {
		// Usage of another lender's grants means nothing to this one. The grants stay
		// valid until they end: the share behind them is not lent again before that.
		a.lenderIncarnation, a.uses, a.refundTokens = reply.Lender, nil, 0
	}
	if reply.Tokens > 0 && now < sentAt+grantDuration {
		a.addGrant(heldGrant{lenderIncarnation: reply.Lender, number: reply.Number, tokens: reply.Tokens, until: sentAt + grantDuration})
		a.grantedAt = now
	}
}

// DueReports returns the usage reports that are due without a need for tokens, and deletes
// the state of idle customers.
func (s *Spender) DueReports() []*schema.GrantRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	var out []*schema.GrantRequest
	for name, a := range s.customers {
		a.dropExpired(now)
		a.updateSpendRate(now)
		if r := a.usageReport(now); r != nil {
			r.Host, r.Customer = s.Host, name
			out = append(out, r)
			continue
		}
		if now-a.usedAt > idleTimeout && len(a.grants) == 0 && a.floorFull(s, name, now) {
			delete(s.customers, name)
		}
	}
	return out
}

// CustomerCount returns the number of customers with state at this host.
func (s *Spender) CustomerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.customers)
}

func (s *Spender) maxFloorTokens(limits Limits) float64 {
	return limits.Burst * floorFraction * float64(s.Share()) / totalShare
}

func (s *Spender) floorRate(limits Limits) float64 {
	return limits.Rate * floorFraction * float64(s.Share()) / totalShare
}

// account returns a customer's account, its floor filled up to now. The floor of a new account
// has filled since the process started.
func (s *Spender) account(customer string, limits Limits, now time.Duration) *account {
	a := s.customers[customer]
	if a == nil {
		a = &account{floorFilledAt: s.startedAt, averagedAt: now, usedAt: now}
		s.customers[customer] = a
	}
	a.floorTokens = math.Min(a.floorTokens+tokensIn(s.floorRate(limits), now-a.floorFilledAt), s.maxFloorTokens(limits))
	a.floorFilledAt = now
	a.dropExpired(now)
	return a
}

func (a *account) floorFull(s *Spender, name string, now time.Duration) bool {
	limits, known := s.Limits(name)
	return !known || a.floorTokens+tokensIn(s.floorRate(limits), now-a.floorFilledAt) >= s.maxFloorTokens(limits)
}

// addGrant inserts a grant in order of until: replies may overtake each other.
func (a *account) addGrant(g heldGrant) {
	i, _ := slices.BinarySearchFunc(a.grants, g.until, func(x heldGrant, until time.Duration) int { return cmp.Compare(x.until, until) })
	a.grants = slices.Insert(a.grants, i, g)
}

func (a *account) dropExpired(now time.Duration) {
	for len(a.grants) > 0 && a.grants[0].until <= now {
		a.grants = a.grants[1:]
	}
}

func (a *account) grantedTokens() float64 {
	n := 0.0
	for _, g := range a.grants {
		n += g.tokens
	}
	return n
}

// spend takes up to n tokens from the grants, first from those that end first. It returns how
// many it took, and how many of these are from the current lender and may be refunded.
func (a *account) spend(n float64) (taken, refundable float64) {
	for len(a.grants) > 0 && taken < n {
		g := &a.grants[0]
		spent := math.Min(g.tokens, n-taken)
		g.tokens -= spent
		taken += spent
		if g.lenderIncarnation == a.lenderIncarnation {
			a.use(g.number).Spent += spent
			refundable += spent
		}
		if g.tokens <= 0 {
			a.grants = a.grants[1:]
		}
	}
	return taken, refundable
}

func (a *account) use(number uint64) *schema.Use {
	if a.uses == nil {
		a.uses = map[uint64]*schema.Use{}
	}
	u := a.uses[number]
	if u == nil {
		u = &schema.Use{Number: number}
		a.uses[number] = u
	}
	return u
}

// moveUsage moves the usage since the last report into a request.
func (a *account) moveUsage(r *schema.GrantRequest) {
	r.Lender, r.Refund = a.lenderIncarnation, a.refundTokens
	for _, number := range slices.Sorted(maps.Keys(a.uses)) {
		r.Uses = append(r.Uses, a.uses[number])
	}
	a.uses, a.refundTokens = nil, 0
}

// updateSpendRate updates the moving average of spending.
func (a *account) updateSpendRate(now time.Duration) {
	if d := (now - a.averagedAt).Seconds(); d > 0 {
		a.spendRate += spendWeight * (a.recentTokens/d - a.spendRate)
		a.averagedAt, a.recentTokens = now, 0
	}
}

// usageReport returns a request that reports usage and returns idle grants, or nil if there
// is nothing to report.
func (a *account) usageReport(now time.Duration) *schema.GrantRequest {
	if now-a.grantedAt > returnDelay && now-a.usedAt > returnDelay {
		for _, g := range a.grants {
			if g.lenderIncarnation == a.lenderIncarnation {
				a.use(g.number).Returned += g.tokens
			}
		}
		a.grants = nil
	}
	if len(a.uses) == 0 && a.refundTokens == 0 {
		return nil
	}
	r := &schema.GrantRequest{}
	a.moveUsage(r)
	return r
}
