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
	// Time of spending that a host asks for ahead.
	aheadTime = 150 * time.Millisecond
	// Time after which unspent grants are given back.
	returnAfter = 400 * time.Millisecond
	// Time after which an idle customer's state may be forgotten.
	idleTime = 10 * time.Second
	// Weight of the newest interval in the average rate of spending.
	spendWeight = 0.3
)

// Spender spends this host's floors and the tokens granted to it. Set the exported
// fields, then call Start.
type Spender struct {
	Host  string
	Now   func() time.Duration
	Terms func(customer string) (Terms, bool)
	// Share returns this host's share of every customer, in millionths.
	Share func() int32

	mu        sync.Mutex
	start     time.Duration
	customers map[string]*account // guarded by mu
}

// account is one customer's tokens at this host.
type account struct {
	floor   float64
	at      time.Duration // when floor was last filled
	grants  []held        // by end
	lender  uint64        // process that uses and refund belong to
	uses    map[uint64]*schema.Use
	refund  float64
	pace    float64 // average spending, tokens a second
	paced   time.Duration
	used    time.Duration
	recent  float64
	granted time.Duration // when the last grant came
}

// held is granted tokens not yet spent.
type held struct {
	lender uint64
	number uint64
	tokens float64
	until  time.Duration
}

// Reservation is tokens taken for one request.
type Reservation struct {
	Customer string
	Tokens   float64
	floor    float64
	granted  float64
	lender   uint64
}

// Start begins with empty floors, since an earlier process may have spent them.
func (s *Spender) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start = s.Now()
	s.customers = map[string]*account{}
}

// Reserve takes tokens, or returns how many are missing.
func (s *Spender) Reserve(customer string, n float64) (r *Reservation, missing float64, ok bool) {
	terms, known := s.Terms(customer)
	if !known {
		return nil, 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	a := s.account(customer, terms, now)
	a.used = now
	granted := a.balance()
	if granted+math.Max(0, a.floor) < n {
		return nil, n - granted - math.Max(0, a.floor), true
	}
	r = &Reservation{Customer: customer, Tokens: n, lender: a.lender}
	spent, refundable := a.spend(math.Min(n, granted))
	r.floor = n - spent
	r.granted = refundable
	a.floor -= r.floor
	a.recent += n
	return r, 0, true
}

// Settle charges what a request really used. What it did not need goes back; what it used
// beyond its reservation is a debt that the floor pays, and is returned.
func (s *Spender) Settle(r *Reservation, used float64) (over float64) {
	terms, known := s.Terms(r.Customer)
	if !known {
		return math.Max(0, used-r.Tokens)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(r.Customer, terms, s.Now())
	if used > r.Tokens {
		a.floor -= used - r.Tokens
		return used - r.Tokens
	}
	back := r.Tokens - used
	toFloor := math.Min(back, r.floor)
	a.floor = math.Min(a.floor+toFloor, s.floorLimit(terms))
	if r.lender == a.lender {
		a.refund += math.Min(back-toFloor, r.granted)
	}
	return 0
}

// Ask returns the request for missing tokens, with the accounts since the last one. The
// request must be sent at most once.
func (s *Spender) Ask(customer string, missing float64) (*schema.GrantRequest, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	a := s.customers[customer]
	if a == nil {
		return &schema.GrantRequest{Host: s.Host, Customer: customer, Need: missing, Wish: missing}, now
	}
	a.expire(now)
	r := &schema.GrantRequest{
		Host: s.Host, Customer: customer, Need: missing, Wish: missing + a.pace*aheadTime.Seconds(),
	}
	a.takeAccounts(r)
	return r, now
}

// Granted takes the reply to a request sent at a time of this host's clock.
func (s *Spender) Granted(customer string, reply *schema.GrantReply, sent time.Duration) {
	terms, known := s.Terms(customer)
	if !known {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	a := s.account(customer, terms, now)
	if a.lender != reply.Lender {
		// Accounts of another lender's grants mean nothing to this one. The grants stay
		// good until they end: the share behind them is not lent again before that.
		a.lender, a.uses, a.refund = reply.Lender, nil, 0
	}
	if reply.Tokens > 0 && now < sent+grantLife {
		a.hold(held{lender: reply.Lender, number: reply.Number, tokens: reply.Tokens, until: sent + grantLife})
		a.granted = now
	}
}

// Reports returns the accounts that are due without a need for tokens, and forgets the
// customers that are idle.
func (s *Spender) Reports() []*schema.GrantRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	var out []*schema.GrantRequest
	for name, a := range s.customers {
		a.expire(now)
		a.average(now)
		if r := a.report(now); r != nil {
			r.Host, r.Customer = s.Host, name
			out = append(out, r)
			continue
		}
		if now-a.used > idleTime && len(a.grants) == 0 && a.full(s, name, now) {
			delete(s.customers, name)
		}
	}
	return out
}

// Customers returns the number of customers with state here.
func (s *Spender) Customers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.customers)
}

func (s *Spender) floorLimit(t Terms) float64 {
	return t.Burst * floorFraction * float64(s.Share()) / wholeShare
}

func (s *Spender) floorRate(t Terms) float64 {
	return t.Rate * floorFraction * float64(s.Share()) / wholeShare
}

// account returns a customer's account, filled up to now. A new one has filled since the
// process started.
func (s *Spender) account(customer string, t Terms, now time.Duration) *account {
	a := s.customers[customer]
	if a == nil {
		a = &account{at: s.start, paced: now, used: now}
		s.customers[customer] = a
	}
	a.floor = math.Min(a.floor+tokens(s.floorRate(t), now-a.at), s.floorLimit(t))
	a.at = now
	a.expire(now)
	return a
}

func (a *account) full(s *Spender, name string, now time.Duration) bool {
	t, known := s.Terms(name)
	return !known || a.floor+tokens(s.floorRate(t), now-a.at) >= s.floorLimit(t)
}

// hold adds a grant in its place by end: replies may overtake each other.
func (a *account) hold(g held) {
	i, _ := slices.BinarySearchFunc(a.grants, g.until, func(x held, until time.Duration) int { return cmp.Compare(x.until, until) })
	a.grants = slices.Insert(a.grants, i, g)
}

func (a *account) expire(now time.Duration) {
	for len(a.grants) > 0 && a.grants[0].until <= now {
		a.grants = a.grants[1:]
	}
}

func (a *account) balance() float64 {
	n := 0.0
	for _, g := range a.grants {
		n += g.tokens
	}
	return n
}

// spend takes tokens off the grants that end first. It also returns how many of them are
// the present lender's, which may be refunded.
func (a *account) spend(n float64) (taken, refundable float64) {
	for len(a.grants) > 0 && taken < n {
		g := &a.grants[0]
		part := math.Min(g.tokens, n-taken)
		g.tokens -= part
		taken += part
		if g.lender == a.lender {
			a.use(g.number).Spent += part
			refundable += part
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

// takeAccounts moves the accounts into a request.
func (a *account) takeAccounts(r *schema.GrantRequest) {
	r.Lender, r.Refund = a.lender, a.refund
	for _, number := range slices.Sorted(maps.Keys(a.uses)) {
		r.Uses = append(r.Uses, a.uses[number])
	}
	a.uses, a.refund = nil, 0
}

// average updates the pace of spending.
func (a *account) average(now time.Duration) {
	if d := (now - a.paced).Seconds(); d > 0 {
		a.pace += spendWeight * (a.recent/d - a.pace)
		a.paced, a.recent = now, 0
	}
}

// report gives back idle grants and accounts for what was spent.
func (a *account) report(now time.Duration) *schema.GrantRequest {
	if now-a.granted > returnAfter && now-a.used > returnAfter {
		for _, g := range a.grants {
			if g.lender == a.lender {
				a.use(g.number).Returned += g.tokens
			}
		}
		a.grants = nil
	}
	if len(a.uses) == 0 && a.refund == 0 {
		return nil
	}
	r := &schema.GrantRequest{}
	a.takeAccounts(r)
	return r
}
