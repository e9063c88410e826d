package allocator

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/clamper"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Number of hosts assumed until the first allotment states it.
	assumedHosts = 8
	// Weight of the newest interval in the moving average of the demand.
	demandWeight = 0.4
	// An account without requests for this long is deleted once its allotment has ended.
	idleTimeout = 10 * time.Second
)

// Errors of Bucket.
var (
	// ErrOverRate says that the customer is over its rate.
	ErrOverRate = errors.New("allocator: customer is over its rate")
)

// OverRateError is an ErrOverRate with what the caller needs in order to borrow or to wait.
type OverRateError struct {
	Customer string
	// RetryAfter is the time to wait before the next attempt; 0 means that the leader may lend
	// the tokens at once.
	RetryAfter time.Duration
	// MissingTokens is the number of tokens to borrow, DemandRate the customer's average demand at
	// this host in tokens per second.
	MissingTokens, DemandRate float64
	// Learning is above 0 if the leader cannot know yet whether the customer is over its rate: it is the time after
	// which the leader is expected to. A loan may be possible before, after RetryAfter.
	Learning time.Duration
}

// Error returns the customer and the time to wait.
func (e *OverRateError) Error() string {
	return fmt.Sprintf("allocator: customer %q is over its rate; retry in %v", e.Customer, e.RetryAfter)
}

// Unwrap returns ErrOverRate.
func (e *OverRateError) Unwrap() error { return ErrOverRate }

// ErrStarting says that the leader cannot know yet what is in use of a customer's limits.
var ErrStarting = errors.New("allocator: what is in use of the customer's limits is not known yet")

// StartingError is an ErrStarting with the time after which the leader is expected to know.
type StartingError struct{ RetryAfter time.Duration }

// Error returns the time to wait.
func (e *StartingError) Error() string {
	return fmt.Sprintf("%v; retry in %v", ErrStarting, e.RetryAfter)
}

// Unwrap returns ErrStarting.
func (e *StartingError) Unwrap() error { return ErrStarting }

// Bucket holds one host's allotments and loans, for all customers. Set the exported fields
// before use.
type Bucket struct {
	// Now returns the time on this host's clock.
	Now func() time.Duration
	// Limits returns a customer's limits, and false if there is no such customer.
	Limits func(customer string) (Limits, bool)
	// SlackTokens is the number of tokens by which the bursts of all hosts together may exceed a
	// customer's, so that a small allotment still holds a whole request.
	SlackTokens float64
	// LoansOnly is set on hosts that have no allotments and spend only what a Lender lends them and a Granter
	// grants them.
	LoansOnly bool
	// Adaptive reports whether standing shares are in use. Nil: they are not.
	Adaptive func() bool

	mu              sync.Mutex
	hostCount       int                 // of the newest allotment, 0 before the first; guarded by mu
	allotmentNumber uint64              // of the newest allotment in use; guarded by mu
	customers       map[string]*account // by name; guarded by mu
	reportedAt      time.Duration       // time of the last call of Report; guarded by mu
	shareStats      ShareStats          // counters only; guarded by mu
	// holdBackUntil is until when shares may be in use that an earlier process of this host granted: what may be granted
	// is not spent here. Guarded by mu.
	holdBackUntil time.Duration
}

// account is the state of one customer at this host. Times are on the host's clock, amounts
// are in tokens, rates in tokens per second.
type account struct {
	// level was last filled at filledAt. It may fall below 0 by this host's equal share of
	// debtFraction of the slack.
	level    float64
	filledAt time.Duration
	// borrowed is what is left of loans, valid until borrowedUntil.
	borrowed      float64
	borrowedUntil time.Duration
	// borrowingAhead is set while a request for a loan ahead of need is pending. If the leader
	// refused one, none is requested until noAheadUntil.
	borrowingAhead bool
	noAheadUntil   time.Duration
	// lentAhead were lent on to other hosts ahead of need, as of lentAheadAt, and may still be
	// spent; only a Lender's Bucket uses them.
	lentAhead   float64
	lentAheadAt time.Duration
	// noLoanUntil is when the leader will have tokens to lend again. Until startingUntil the reason is that it cannot
	// know yet what is in use.
	noLoanUntil, startingUntil time.Duration
	// rate and burst are this host's allotment, or its standing share if LoansOnly is set, valid until allottedUntil.
	// limitRate is the rate of the limits that they are a part of; 0: not stated. lastRate is that of the last request.
	rate, burst         float64
	limitRate, lastRate float64
	allottedUntil       time.Duration
	// grantable may be granted as standing shares until grantableUntil, for grantDuration each; grantableLimit is the
	// rate of the limits that it is a part of. granted is what may be in use of those granted, by limits of rate
	// grantedLimit.
	grantable                     part
	grantableLimit                float64
	grantableUntil, grantDuration time.Duration
	granted                       part
	grantedLimit                  float64
	// demandTokens were asked for since averagedAt, the time of the last report; demandRate is
	// their moving average.
	demandTokens float64
	demandRate   float64
	averagedAt   time.Duration
	// averageSize and averageSquare are moving averages of the tokens of a request and of their square.
	averageSize, averageSquare float64
	// steadyRate is a moving average of the demand over a longer time than demandRate; only in adaptive mode.
	steadyRate float64
	// spent counts the tokens spent out of the allotment or share, and at a control host also those that its entry hosts
	// spent out of theirs; the last of them at spentAt. endedAt is when the share last ended.
	spent            float64
	spentAt, endedAt time.Duration
	// usedAt is the time of the last request, or of the last report that expected some.
	usedAt time.Duration
}

// Take charges a request's tokens to a customer and returns the customer's level after that, in
// tokens: +Inf if the customer is unknown or has no limit. An error wraps ErrOverRate and says how
// many tokens to borrow.
func (b *Bucket) Take(customer string, tokens float64) (float64, error) {
	limits, known := b.Limits(customer)
	if !known || limits.Rate <= 0 {
		return math.Inf(1), nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	a := b.account(customer, limits, now)
	a.demandTokens += tokens
	a.usedAt = now
	if a.averageSize == 0 {
		a.averageSize, a.averageSquare = tokens, tokens*tokens
	}
	a.averageSize += sizeWeight * (tokens - a.averageSize)
	a.averageSquare += sizeWeight * (tokens*tokens - a.averageSquare)
	return a.level, b.spend(customer, a, tokens, now)
}

// typicalSize returns the average size of the requests that tokens are spent on, each weighted by its tokens. A share
// that holds only the small requests of a customer whose tokens are spent on large ones would stay unspent.
func (a *account) typicalSize() float64 {
	if a.averageSize <= 0 {
		return 0
	}
	return a.averageSquare / a.averageSize
}

// spend takes tokens from the allotment, or from loans if that does not hold enough.
func (b *Bucket) spend(customer string, a *account, tokens float64, now time.Duration) error {
	fromShare, err := b.pay(customer, a, tokens, now)
	b.shareStats.SpentTokens += fromShare
	return err
}

// pay is spend without the counters: it changes nothing but a. It returns how many tokens came out of a standing share.
func (b *Bucket) pay(customer string, a *account, tokens float64, now time.Duration) (fromShare float64, err error) {
	if a.level+b.SlackTokens*debtFraction/b.sharingHosts() >= tokens {
		a.level -= tokens
		a.countSpent(tokens, now)
		if b.LoansOnly {
			fromShare = tokens
		}
		return fromShare, nil
	}
	if now >= a.borrowedUntil {
		a.borrowed = 0
	}
	// What a share holds pays a part of a request that is larger: it would stay unspent, and be missing elsewhere.
	if b.LoansOnly && a.borrowed < tokens {
		fromShare = math.Max(0, a.level)
	}
	if a.borrowed+fromShare >= tokens {
		a.level -= fromShare
		a.borrowed -= tokens - fromShare
		a.countSpent(fromShare, now)
		return fromShare, nil
	}
	return 0, &OverRateError{
		Customer: customer, RetryAfter: max(0, a.noLoanUntil-now), MissingTokens: tokens - fromShare - a.borrowed, DemandRate: b.aheadRate(a),
		Learning: max(0, a.startingUntil-now),
	}
}

// aheadRate returns the rate of the demand for which tokens are borrowed ahead. In adaptive mode it is an average over
// some seconds, and 0 if a loan is likely to end before the next request of the typical size: one large request is not
// the demand of a second, and tokens that end unspent are missing elsewhere.
func (b *Bucket) aheadRate(a *account) float64 {
	switch {
	case !b.adaptive():
		return a.demandRate
	case a.steadyRate*loanDuration.Seconds() < minAheadRequests*a.typicalSize():
		return 0
	}
	return a.steadyRate
}

// RetryTake charges a request again that Take counted as demand but refused, after more tokens
// were borrowed. Its errors are those of Take.
func (b *Bucket) RetryTake(customer string, tokens float64) error {
	limits, known := b.Limits(customer)
	if !known {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	return b.spend(customer, b.account(customer, limits, now), tokens, now)
}

// BeginBorrowAhead returns how many tokens to borrow now for the next request like the one just
// charged; 0 means none, since a loan is worth its call to the leader only if that request comes
// before the loan expires. If it is more than 0, the leader's answer must be recorded with
// RecordLoanAhead, even if it lends nothing; until then BeginBorrowAhead returns 0.
func (b *Bucket) BeginBorrowAhead(customer string, tokens float64) float64 {
	limits, known := b.Limits(customer)
	if !known || limits.Rate <= 0 || tokens <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	a := b.account(customer, limits, now)
	available := a.level + b.SlackTokens*debtFraction/b.sharingHosts()
	if now < a.borrowedUntil {
		available = max(available, a.borrowed)
	}
	lacking := b.aheadRate(a)
	if b.LoansOnly {
		share, _ := b.hostLimits(a, limits, now)
		lacking -= share
	}
	if a.borrowingAhead || now < a.noLoanUntil || now < a.noAheadUntil || available >= tokens || lacking*loanDuration.Seconds() < tokens {
		return 0
	}
	a.borrowingAhead = true
	return max(tokens, lacking*BorrowAheadDuration.Seconds())
}

// RecordLoan records the leader's answer to a request for a loan: the tokens lent or, if there are
// none, the time after which there will be some.
func (b *Bucket) RecordLoan(customer string, tokens float64, retry time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.customers[customer]
	if a == nil {
		return
	}
	now := b.Now()
	if tokens <= 0 {
		a.noLoanUntil, a.startingUntil = now+retry, 0
		return
	}
	a.addLoan(tokens, now)
}

// RecordLoanAhead records the leader's answer to a request for tokens ahead of need; 0 means that
// it lent none.
func (b *Bucket) RecordLoanAhead(customer string, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.customers[customer]
	if a == nil {
		return
	}
	now := b.Now()
	a.borrowingAhead = false
	if tokens <= 0 {
		a.noAheadUntil = now + loanDuration/2
		return
	}
	a.addLoan(tokens, now)
}

// addLoan adds borrowed tokens to those that have not expired, and extends all of them.
func (a *account) addLoan(tokens float64, now time.Duration) {
	if now >= a.borrowedUntil {
		a.borrowed = 0
	}
	a.borrowed += tokens
	a.borrowedUntil = now + loanDuration
}

const (
	// Fraction of the slack by which the levels of all hosts together may fall below zero.
	debtFraction = 0.5
	// Fraction of the slack that the levels of all hosts together may reach if their
	// allotments' bursts are smaller.
	minBurstFraction = 0.3
	// BorrowAheadDuration is the duration of a customer's demand that is borrowed ahead, since
	// every request for a loan costs the leader as much as a caller's request costs a host.
	BorrowAheadDuration = time.Second
	// Number of requests that must be expected in loanDuration: with 3, none comes in one of 20 such times.
	minAheadRequests = 3
	// Time for which borrowed tokens are valid.
	loanDuration = 1500 * time.Millisecond
)

// Longest retry delay given to a caller.
const maxRetryDelay = 10 * time.Second

func retryDelay(missing, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryDelay
	}
	return min(maxRetryDelay, timer.Seconds(missing/rate))
}

// Refund returns the tokens of a request that did not run to the customer's level.
func (b *Bucket) Refund(customer string, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.customers[customer]
	switch {
	case a == nil:
	case b.LoansOnly && a.level+tokens <= a.burst && b.Now() < a.allottedUntil:
		a.level += tokens // the loan that paid for it would end sooner
	case b.LoansOnly:
		a.borrowed += tokens
	default:
		a.level += tokens
	}
}

// ApplyAllotment puts an allotment in force that was requested at requestedAt on this host's clock.
// It ignores nil and allotments no newer than the one in force.
func (b *Bucket) ApplyAllotment(allotment *schema.Allotment, requestedAt time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if allotment == nil || allotment.Number <= b.allotmentNumber {
		return
	}
	now := b.Now()
	b.allotmentNumber = allotment.Number
	renewsOnly := allotment.Hosts == 0
	if !renewsOnly {
		b.hostCount = int(allotment.Hosts)
	}
	until := requestedAt + time.Duration(allotment.Lease)
	for _, s := range allotment.Shares {
		limits, known := b.Limits(s.Customer)
		if !known {
			continue
		}
		if field, _ := unusableField(s, known, StandingDuration); field != "" {
			b.shareStats.Unusable++
			continue
		}
		a := b.account(s.Customer, limits, now)
		if !renewsOnly {
			a.rate, a.burst, a.limitRate, a.allottedUntil = s.Rate, s.Burst, s.Limit, until
		}
		a.grantable, a.grantableLimit = part{s.Standing, s.StandingBurst}, s.Limit
		a.grantableUntil, a.grantDuration = until, timer.Seconds(s.Left)
	}
}

// AllotmentNumber returns the number of the newest allotment in use.
func (b *Bucket) AllotmentNumber() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allotmentNumber
}

// Report returns the customers' demand since the last report, in tokens per second, and the
// number of the allotment in use. Customers in expected are reported although they may have
// asked for nothing yet, so that their first request finds an allotment.
func (b *Bucket) Report(expected []string) ([]*schema.Demand, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	for _, name := range expected {
		if limits, known := b.Limits(name); known && limits.Rate > 0 {
			b.account(name, limits, now).usedAt = now
		}
	}
	b.countExpired(now)
	b.reportedAt = now
	adaptive := b.adaptive()
	var demands []*schema.Demand
	for name, a := range b.customers {
		if d := (now - a.averagedAt).Seconds(); d > 0 {
			a.demandRate += demandWeight * (a.demandTokens/d - a.demandRate)
			a.steadyRate += standingDemandWeight * (a.demandTokens/d - a.steadyRate)
			a.demandTokens, a.averagedAt = 0, now
		}
		if now-a.usedAt > idleTimeout && now > a.allottedUntil && a.granted.rate == 0 {
			delete(b.customers, name)
			continue
		}
		d := &schema.Demand{Customer: name, Rate: min(a.demandRate, clamper.MaxAmount)}
		if adaptive {
			d.Size = min(a.typicalSize(), clamper.MaxAmount)
		}
		demands = append(demands, d)
	}
	return demands, b.allotmentNumber
}

// account returns a customer's account, filled up to now. A new one holds its floor's burst
// only, since an earlier process of this host may have spent the rest.
func (b *Bucket) account(customer string, limits Limits, now time.Duration) *account {
	if b.customers == nil {
		b.customers = map[string]*account{}
	}
	a := b.customers[customer]
	if a == nil {
		a = b.newAccount(limits, now)
		b.customers[customer] = a
		return a
	}
	b.refresh(a, limits, now)
	return a
}

// newAccount returns the account of a customer that has none.
func (b *Bucket) newAccount(limits Limits, now time.Duration) *account {
	a := &account{filledAt: now, averagedAt: now, usedAt: now}
	if now-b.reportedAt < idleTimeout && b.adaptive() {
		// One request in the last milliseconds before a report is not the demand of a busy host.
		a.averagedAt = b.reportedAt
	}
	_, a.level = b.hostLimits(a, limits, now)
	a.lastRate = limits.Rate
	return a
}

// refresh fills an account up to now.
func (b *Bucket) refresh(a *account, limits Limits, now time.Duration) {
	a.fill(b, limits, now)
	if a.lastRate > limits.Rate && b.adaptive() {
		a.borrowed *= limits.Rate / a.lastRate
	}
	a.lastRate = limits.Rate
}

func (b *Bucket) adaptive() bool { return b.Adaptive != nil && b.Adaptive() }

// fill adds the tokens since filledAt, at the limits that were in force.
func (a *account) fill(b *Bucket, limits Limits, now time.Duration) {
	allotmentEnd := min(max(a.filledAt, a.allottedUntil), now)
	if allotmentEnd > a.filledAt {
		rate, burst := b.hostLimits(a, limits, a.filledAt)
		a.add(rate, burst, allotmentEnd-a.filledAt)
	}
	if now > allotmentEnd {
		rate, burst := b.hostLimits(a, limits, now)
		a.add(rate, burst, now-allotmentEnd)
	}
	a.filledAt = now
}

func (a *account) add(rate, burst float64, d time.Duration) {
	a.level = math.Min(burst, a.level+rate*d.Seconds())
}

// hostLimits returns the rate and burst that this host may spend at a time: its allotment
// while that is valid, else an equal share of the floor.
func (b *Bucket) hostLimits(a *account, limits Limits, at time.Duration) (rate, burst float64) {
	if b.LoansOnly {
		if at < a.allottedUntil {
			return a.reducedShare(limits)
		}
		return 0, 0
	}
	hosts := b.sharingHosts()
	rate, burst = limits.Rate*floorFraction/hosts, limits.Burst*floorFraction/hosts
	if at < a.allottedUntil {
		rate, burst = b.allottedPart(a, limits)
	}
	return rate, math.Max(burst, math.Min(limits.Burst, b.SlackTokens*minBurstFraction/hosts))
}

// allottedPart returns what is left of a valid allotment after the standing shares granted out of it.
func (b *Bucket) allottedPart(a *account, limits Limits) (rate, burst float64) {
	rate, burst = a.reducedShare(limits)
	granted := a.granted
	if b.Now() < b.holdBackUntil {
		granted = granted.larger(a.grantable)
	}
	if a.grantedLimit > 0 && limits.Rate > a.grantedLimit {
		granted = granted.times(limits.Rate / a.grantedLimit) // shares that were reduced are no longer
	}
	return math.Max(0, rate-granted.rate), math.Max(0, burst-granted.burst)
}

// sharingHosts returns the number of hosts among which the limits are divided.
func (b *Bucket) sharingHosts() float64 {
	if b.hostCount == 0 {
		return assumedHosts
	}
	return float64(b.hostCount)
}
