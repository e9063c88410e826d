package forwarder

import (
	"sync"
	"time"
)

// budgetIntervals is the number of intervals into which a window is divided for counting.
const budgetIntervals = 40

// RetryBudget limits retries, for each pool: arrivals of a request at upstreams after its first.
// The limit holds over all hosts in every window: each host may use what its own requests
// earn and an equal fraction of the slack.
type RetryBudget struct {
	// Now returns the time on a monotonic clock.
	Now func() time.Duration
	// Window is the length of the windows.
	Window time.Duration
	// Ratio is the number of retries that each request earns, Slack the number that all hosts
	// together have in a window without requests.
	Ratio, Slack float64
	// Hosts returns the number of hosts that divide the slack; less than 1 counts as 1.
	Hosts func() int

	mu    sync.Mutex
	pools map[string]*usage // guarded by mu
}

// usage counts requests and retries in intervals of 1/budgetIntervals of the window. interval
// is the number of the newest one since the origin of the clock.
type usage struct {
	requests, retries [budgetIntervals]float64
	interval          int64
}

// budgetFraction is the fraction of the limit that hosts use, because their windows do not
// begin together.
const budgetFraction = 0.8

// CountRequest counts the first arrival of a request.
func (b *RetryBudget) CountRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(pool)
	u.requests[u.interval%budgetIntervals]++
}

// TakeRetry reports whether a retry is allowed, and counts it if so.
func (b *RetryBudget) TakeRetry(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(pool)
	requests, retries := 0.0, 0.0
	for i := range budgetIntervals {
		requests += u.requests[i]
		retries += u.retries[i]
	}
	bound := (b.Ratio*requests + b.Slack/float64(max(1, b.Hosts()))) * budgetFraction
	if retries+1 > bound {
		return false
	}
	u.retries[u.interval%budgetIntervals]++
	return true
}

// usage returns a pool's counts, after clearing the intervals that have left the window. The
// caller must hold b.mu.
func (b *RetryBudget) usage(pool string) *usage {
	if b.pools == nil {
		b.pools = map[string]*usage{}
	}
	interval := int64(b.Now() / (b.Window / budgetIntervals))
	u := b.pools[pool]
	if u == nil {
		u = &usage{interval: interval}
		b.pools[pool] = u
	}
	for i := u.interval + 1; i <= interval && i <= u.interval+budgetIntervals; i++ {
		u.requests[i%budgetIntervals], u.retries[i%budgetIntervals] = 0, 0
	}
	u.interval = max(u.interval, interval)
	return u
}
