package allocator

import (
	"math"
	"time"
)

const (
	// Smallest part of a customer's limits that is kept to be lent request by request.
	leastReserve = 0.25
	// Requests that a host's equal part of the burst must hold for all of it to be divided.
	wholeRequests = 2.0
	// Weight of a new request in the average size.
	sizeWeight = 0.1
	// Part of the burst that may be lent before it is needed, in heldTime: what is lent in one
	// window and spent in the next adds to that one's.
	aheadPart = 0.5
	// Size assumed before any request was seen, tokens.
	firstSize = 3_000.0
)

// reserve is the part of a customer's limits that the leader lends request by request.
// Where a customer's burst is small for the number of hosts, that is all of it: divided, no
// part would hold a whole request.
type reserve struct {
	level float64
	at    time.Duration
	// size is the average size of requests that asked.
	size float64
	// ahead are tokens lent before they were needed and that may still be spent.
	ahead float64
}

// reservePart is the part of a customer's limits that is not divided.
func (a *Allocator) reservePart(customer string, terms Terms) float64 {
	size := firstSize
	if r := a.reserves[customer]; r != nil {
		size = r.size
	}
	part := float64(len(a.hosts)) * size * wholeRequests / math.Max(terms.Burst, 1)
	return math.Min(1, math.Max(leastReserve, part))
}

// Borrow takes tokens out of a customer's reserve: at least need, at most wish. Need 0 asks
// for requests to come. Without need it returns the time until they would be there.
func (a *Allocator) Borrow(customer string, need, wish float64) (tokens float64, retry time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	terms, known := a.Terms(customer)
	if !known || a.hosts == nil {
		return 0, longestRetry
	}
	if terms.Rate <= 0 {
		return wish, 0
	}
	now := a.Now()
	r, rate, limit := a.fill(customer, terms, now)
	if need > 0 {
		r.size += sizeWeight * (need - r.size)
	}
	// A request that is larger than the burst is a debt: it passes when the reserve is full.
	if required := math.Min(need, limit); r.level < required {
		return 0, waitFor(required-r.level, rate)
	}
	extra := math.Max(0, math.Min(math.Min(wish, r.level/2)-need, terms.Burst*aheadPart-r.ahead))
	if need == 0 && extra < wish/2 {
		return 0, 0 // a part of a request's tokens saves it no question
	}
	r.ahead += extra
	r.level -= need + extra
	return need + extra, 0
}

// fill returns a customer's reserve, filled up to now, with the rate at which it fills and
// its limit. What hosts may still be using of the rate is not in it.
func (a *Allocator) fill(customer string, terms Terms, now time.Duration) (r *reserve, rate, limit float64) {
	free := 1 - a.floors("", customer, now) - a.outstanding(customer, "", now)/terms.Rate
	rate = terms.Rate * math.Max(0, free)
	limit = terms.Burst * math.Max(0, free)
	r = a.reserves[customer]
	if r == nil {
		// An earlier leader may have lent all of the burst just now.
		r = &reserve{at: a.since, size: firstSize}
		a.reserves[customer] = r
	}
	r.level = math.Min(limit, r.level+rate*(now-r.at).Seconds())
	r.ahead = math.Max(0, r.ahead-terms.Burst*aheadPart*(now-r.at).Seconds()/heldTime.Seconds())
	r.at = now
	return r, rate, limit
}
