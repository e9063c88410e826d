package forwarder

import (
	"sync"
	"time"
)

const budgetSlots = 40

// Budget bounds, for each pool, the arrivals at upstreams beyond the first of each request.
// The bound holds in every window over all hosts: this host may spend what its own requests
// earn and an equal part of the slack.
type Budget struct {
	Now func() time.Duration
	// Window is the length of the windows.
	Window time.Duration
	// Ratio is the repeats that each request earns, Slack those that are free in a window.
	Ratio, Slack float64
	// Hosts returns how many hosts share the slack.
	Hosts func() int

	mu    sync.Mutex
	pools map[string]*usage // guarded by mu
}

// usage counts requests and repeats in slots of a budgetSlots-th of the window.
type usage struct {
	requests, repeats [budgetSlots]float64
	at                int64
}

// Part of the bound that is spent: hosts' windows do not begin together.
const budgetPart = 0.8

// Request notes a first arrival.
func (b *Budget) Request(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(pool)
	u.requests[u.at%budgetSlots]++
}

// Repeat reports whether one more arrival of a request is allowed, and counts it.
func (b *Budget) Repeat(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(pool)
	requests, repeats := 0.0, 0.0
	for i := range budgetSlots {
		requests += u.requests[i]
		repeats += u.repeats[i]
	}
	bound := (b.Ratio*requests + b.Slack/float64(max(1, b.Hosts()))) * budgetPart
	if repeats+1 > bound {
		return false
	}
	u.repeats[u.at%budgetSlots]++
	return true
}

// usage returns a pool's counts, with the slots that have left the window cleared.
func (b *Budget) usage(pool string) *usage {
	if b.pools == nil {
		b.pools = map[string]*usage{}
	}
	at := int64(b.Now() / (b.Window / budgetSlots))
	u := b.pools[pool]
	if u == nil {
		u = &usage{at: at}
		b.pools[pool] = u
	}
	for i := u.at + 1; i <= at && i <= u.at+budgetSlots; i++ {
		u.requests[i%budgetSlots], u.repeats[i%budgetSlots] = 0, 0
	}
	u.at = max(u.at, at)
	return u
}
