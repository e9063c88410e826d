package allocator

import (
	"math"
	"time"
)

const (
	// Smallest fraction of a customer's limits that is kept for loans.
	minReserveFraction = 0.25
	// Part of the limits that is free whatever hosts use: hosts without an allotment spend a floor.
	neverDividedFraction = minReserveFraction * (1 - floorFraction)
	// Nothing is divided if a host's equal part of the burst would hold no more than this many
	// requests of average size.
	minRequestsPerHost = 2.0
	// Weight of a new request in the moving average of request sizes.
	sizeWeight = 0.1
	// Fraction of the burst that may be lent ahead of need in loanDuration: tokens lent in one
	// time window and spent in the next come on top of what the next one allows.
	aheadFraction = 0.5
	// Size in tokens assumed before the first request asks for a loan.
	initialSize = 3_000.0
	// Time after a new leader has learned what is in use in which the reserve is still empty for that reason: callers
	// refused meanwhile are as many as some tenths of a second of the rate.
	fillDuration = time.Second
)

// reserve is the part of a customer's limits that the leader lends for single requests. If the
// burst is small for the number of hosts, the reserve is all of it: if it were divided, no
// allotment would hold a whole request. Amounts are in tokens.
type reserve struct {
	level    float64
	filledAt time.Duration
	// averageSize is the moving average of the sizes of requests that needed a loan.
	averageSize float64
	// lentAhead were lent before they were needed and may still be spent.
	lentAhead float64
	// fillsUntil is when the reserve has filled after the leader learned what is in use.
	fillsUntil time.Duration
}

// reserveFraction returns the fraction of a customer's limits that is not divided.
func (a *Allocator) reserveFraction(customer string, limits Limits) float64 {
	size := initialSize
	if r := a.reserves[customer]; r != nil {
		size = r.averageSize
	}
	fraction := float64(len(a.hosts)) * size * minRequestsPerHost / math.Max(limits.Burst, 1)
	return math.Min(1, math.Max(minReserveFraction, fraction))
}

// Lend takes a loan out of a customer's reserve: at least minTokens, at most maxTokens. With
// minTokens 0 the tokens are for later requests. If it lends none to a request in need, retry is
// the time after which it may. It lends all of maxTokens to a customer without a limit, and none
// to an unknown one.
func (a *Allocator) Lend(customer string, minTokens, maxTokens float64) (tokens float64, retry time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limits, known := a.Limits(customer)
	if !known || a.hosts == nil {
		return 0, maxRetryDelay
	}
	if limits.Rate <= 0 {
		return maxTokens, 0
	}
	now := a.Now()
	r, rate, maxLevel := a.fillReserve(customer, limits, now)
	if minTokens > 0 {
		r.averageSize += sizeWeight * (minTokens - r.averageSize)
	}
	// A request larger than the burst passes when the reserve is full, and leaves a debt.
	if required := math.Min(minTokens, maxLevel); r.level < required {
		return 0, retryDelay(required-r.level, rate)
	}
	extra := math.Max(0, math.Min(math.Min(maxTokens, r.level/2)-minTokens, limits.Burst*aheadFraction-r.lentAhead))
	if minTokens == 0 && extra < maxTokens/2 {
		return 0, 0 // a loan smaller than a request would not save it the call
	}
	r.lentAhead += extra
	r.level -= minTokens + extra
	if a.adaptive() {
		a.balance(customer, limits, now).level -= minTokens + extra
	}
	return minTokens + extra, 0
}

// fillReserve returns a customer's reserve, filled up to now, with the rate at which it fills,
// in tokens per second, and its maximum level. What hosts may still be using of the rate does
// not flow into it.
func (a *Allocator) fillReserve(customer string, limits Limits, now time.Duration) (r *reserve, rate, maxLevel float64) {
	inUse := a.allotted(customer, "", limits, now).plus(a.withheld(customer, limits, now))
	freeFraction := 1 - a.unallottedFraction("", customer, now) - inUse.rate/limits.Rate
	freeBurst := freeFraction
	if limits.Burst > 0 && (a.sharesSeen || a.adaptive()) {
		freeBurst = 1 - a.unallottedFraction("", customer, now) - inUse.burst/limits.Burst
		// Hosts that report to another control host count twice for a while, but this part is never divided.
		freeFraction, freeBurst = math.Max(freeFraction, neverDividedFraction), math.Max(freeBurst, neverDividedFraction)
	}
	if now-a.startedAt < StartDelay {
		// Allotments of the earlier leader may be in use: only what is never divided is free.
		freeFraction = neverDividedFraction
		freeBurst = freeFraction
	}
	rate = limits.Rate * math.Max(0, freeFraction)
	maxLevel = limits.Burst * math.Max(0, freeBurst)
	r = a.reserves[customer]
	if r == nil {
		// An earlier leader may have lent all of the burst just before.
		r = &reserve{filledAt: a.startedAt, averageSize: initialSize}
		a.reserves[customer] = r
	}
	if a.learning(customer, limits, now) > 0 {
		r.fillsUntil = now + fillDuration
	}
	r.level = math.Min(maxLevel, r.level+rate*(now-r.filledAt).Seconds())
	r.lentAhead = math.Max(0, r.lentAhead-limits.Burst*aheadFraction*(now-r.filledAt).Seconds()/loanDuration.Seconds())
	r.filledAt = now
	if a.adaptive() {
		a.reclaim(r, customer, limits, maxLevel, now)
	}
	return r, rate, maxLevel
}
