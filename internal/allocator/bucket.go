package allocator

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Number of hosts assumed before the leader has told.
	assumedHosts = 8
	// Weight of the newest interval in the average of what callers ask.
	askWeight = 0.4
	// Time after which a customer that asks nothing is forgotten.
	idleTime = 10 * time.Second
)

// Errors of spending.
var (
	// ErrOver says that the customer is over its rate.
	ErrOver = errors.New("allocator: over the customer's rate")
)

// Over is ErrOver with the time until the tokens would be there.
type Over struct {
	Customer string
	// Retry is when to come back; 0: the leader may lend at once.
	Retry time.Duration
	// Missing is how many tokens to borrow, Pace the customer's tokens a second here.
	Missing, Pace float64
}

// Error returns the customer and the time to wait.
func (o *Over) Error() string {
	return fmt.Sprintf("customer %q is over its rate for %v", o.Customer, o.Retry)
}

// Unwrap makes an Over an ErrOver.
func (o *Over) Unwrap() error { return ErrOver }

// Bucket spends one host's parts of all customers' limits. Set the exported fields before
// use.
type Bucket struct {
	Now   func() time.Duration
	Terms func(customer string) (Terms, bool)
	// Slack is the number of tokens by which all hosts' bursts together may exceed a
	// customer's, so that a small share holds a whole request.
	Slack float64

	mu        sync.Mutex
	hosts     int                 // guarded by mu
	number    uint64              // of the newest allotment in use; guarded by mu
	customers map[string]*account // guarded by mu
}

// account is one customer's tokens at this host.
type account struct {
	// level may be below zero by this host's part of the slack.
	level float64
	at    time.Duration
	// held are borrowed tokens, good until heldUntil.
	held      float64
	heldUntil time.Duration
	// asking says that tokens for requests to come are being borrowed, denied until when the
	// leader is not asked for such again.
	asking bool
	denied time.Duration
	// closed is until when the leader said that there are none.
	closed time.Duration
	// rate and burst are this host's part, good until the end of its lease.
	rate, burst float64
	until       time.Duration
	// asked are tokens asked for since the last report, pace their average a second.
	asked float64
	pace  float64
	paced time.Duration
	used  time.Duration
}

// Take charges a request's tokens, or returns an Over. It reports the level after that.
func (b *Bucket) Take(customer string, tokens float64) (float64, error) {
	terms, known := b.Terms(customer)
	if !known || terms.Rate <= 0 {
		return math.Inf(1), nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	a := b.account(customer, terms, now)
	a.asked += tokens
	a.used = now
	return a.level, b.spend(customer, a, tokens, now)
}

// spend takes tokens off the host's part, else off those borrowed.
func (b *Bucket) spend(customer string, a *account, tokens float64, now time.Duration) error {
	if a.level+b.Slack*debtPart/b.count() >= tokens {
		a.level -= tokens
		return nil
	}
	if now >= a.heldUntil {
		a.held = 0
	}
	if a.held >= tokens {
		a.held -= tokens
		return nil
	}
	return &Over{Customer: customer, Retry: max(0, a.closed-now), Missing: tokens - a.held, Pace: a.pace}
}

// Retake takes tokens again for a request that Take counted, after more were borrowed.
func (b *Bucket) Retake(customer string, tokens float64) error {
	terms, known := b.Terms(customer)
	if !known {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	return b.spend(customer, b.account(customer, terms, now), tokens, now)
}

// Ahead reports how many tokens to borrow before the next request like the one just taken
// comes, 0: none. It is only worth the question if that request comes before they expire.
func (b *Bucket) Ahead(customer string, tokens float64) float64 {
	terms, known := b.Terms(customer)
	if !known || terms.Rate <= 0 || tokens <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	a := b.account(customer, terms, now)
	held := a.level + b.Slack*debtPart/b.count()
	if now < a.heldUntil {
		held = max(held, a.held)
	}
	if a.asking || now < a.closed || now < a.denied || held >= tokens || a.pace*heldTime.Seconds() < tokens {
		return 0
	}
	a.asking = true
	return max(tokens, a.pace*AheadTime.Seconds())
}

// Lent takes the leader's answer to a request for tokens: tokens to hold, or a time until
// which there are none.
func (b *Bucket) Lent(customer string, tokens float64, retry time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.customers[customer]
	if a == nil {
		return
	}
	now := b.Now()
	if tokens <= 0 {
		a.closed = now + retry
		return
	}
	a.hold(tokens, now)
}

// LentAhead takes the leader's answer to what Ahead asked for.
func (b *Bucket) LentAhead(customer string, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.customers[customer]
	if a == nil {
		return
	}
	now := b.Now()
	a.asking = false
	if tokens <= 0 {
		a.denied = now + heldTime/2
		return
	}
	a.hold(tokens, now)
}

// hold adds borrowed tokens.
func (a *account) hold(tokens float64, now time.Duration) {
	if now >= a.heldUntil {
		a.held = 0
	}
	a.held += tokens
	a.heldUntil = now + heldTime
}

const (
	// Part of the slack by which the level may fall below zero.
	debtPart = 0.5
	// Part of the slack that an idle host's level may reach.
	burstPart = 0.3
	// AheadTime is the time of a customer's spending that is borrowed ahead: every question
	// costs the leader as much as a request costs a host.
	AheadTime = time.Second
	// Time for which borrowed tokens are good.
	heldTime = 1500 * time.Millisecond
)

// Longest time that a caller is told to wait for tokens.
const longestRetry = 10 * time.Second

func waitFor(missing, rate float64) time.Duration {
	if rate <= 0 {
		return longestRetry
	}
	return min(longestRetry, time.Duration(missing/rate*float64(time.Second)))
}

// Refund gives back the tokens of a request that did not run.
func (b *Bucket) Refund(customer string, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.customers[customer]; a != nil {
		a.level += tokens
	}
}

// Grant puts an allotment in force, which was asked for at a time of this host's clock.
func (b *Bucket) Grant(g *schema.Allotment, asked time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g == nil || g.Number <= b.number {
		return
	}
	now := b.Now()
	b.number = g.Number
	b.hosts = int(g.Hosts)
	until := asked + time.Duration(g.Lease)
	for _, s := range g.Shares {
		terms, known := b.Terms(s.Customer)
		if !known {
			continue
		}
		a := b.account(s.Customer, terms, now)
		a.rate, a.burst, a.until = s.Rate, s.Burst, until
	}
}

// Report returns what callers asked for since the last report, as tokens a second, and the
// number of the allotment in use. Expected names customers to report although they have
// asked for nothing yet, so that their first request finds a part.
func (b *Bucket) Report(expected []string) ([]*schema.Demand, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	for _, name := range expected {
		if terms, known := b.Terms(name); known && terms.Rate > 0 {
			b.account(name, terms, now).used = now
		}
	}
	var demands []*schema.Demand
	for name, a := range b.customers {
		if d := (now - a.paced).Seconds(); d > 0 {
			a.pace += askWeight * (a.asked/d - a.pace)
			a.asked, a.paced = 0, now
		}
		if now-a.used > idleTime && now > a.until {
			delete(b.customers, name)
			continue
		}
		demands = append(demands, &schema.Demand{Customer: name, Rate: a.pace})
	}
	return demands, b.number
}

// account returns a customer's account, filled up to now. A new one begins empty but for
// its floor's burst, since an earlier process of this host may have spent the rest.
func (b *Bucket) account(customer string, terms Terms, now time.Duration) *account {
	if b.customers == nil {
		b.customers = map[string]*account{}
	}
	a := b.customers[customer]
	if a == nil {
		a = &account{at: now, paced: now, used: now}
		_, a.level = b.part(a, terms, now)
		b.customers[customer] = a
		return a
	}
	a.fill(b, terms, now)
	return a
}

// fill adds what came in since the last time, by the part that was in force.
func (a *account) fill(b *Bucket, terms Terms, now time.Duration) {
	split := min(max(a.at, a.until), now)
	if split > a.at {
		rate, burst := b.part(a, terms, a.at)
		a.add(rate, burst, split-a.at)
	}
	if now > split {
		rate, burst := b.part(a, terms, now)
		a.add(rate, burst, now-split)
	}
	a.at = now
}

func (a *account) add(rate, burst float64, d time.Duration) {
	a.level = math.Min(burst, a.level+rate*d.Seconds())
}

// part returns the rate and burst that this host may spend at a time: what the leader gave
// while its lease lasts, else an equal share of the floor.
func (b *Bucket) part(a *account, terms Terms, at time.Duration) (rate, burst float64) {
	hosts := b.count()
	rate, burst = terms.Rate*floorPart/hosts, terms.Burst*floorPart/hosts
	if at < a.until {
		rate, burst = a.rate, a.burst
	}
	return rate, math.Max(burst, math.Min(terms.Burst, b.Slack*burstPart/hosts))
}

// count returns the number of hosts that share the limits.
func (b *Bucket) count() float64 {
	if b.hosts == 0 {
		return assumedHosts
	}
	return float64(b.hosts)
}
