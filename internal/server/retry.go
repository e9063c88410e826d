package server

import (
	"sync"
	"time"
)

const (
	// Retries earned by each answered request, by each second, and the most that may be
	// saved up.
	retryEarned    = 0.2
	retryPerSecond = 10.0
	retryLimit     = 200.0
)

// retryBudget bounds retries to a share of the requests that succeed, so that retries do
// not multiply the load when upstreams fail together.
type retryBudget struct {
	mu    sync.Mutex
	spent float64       // guarded by mu
	at    time.Duration // guarded by mu
}

// earn notes an answered request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retryEarned)
}

// take reports whether one more retry is allowed at a time, and counts it.
func (b *retryBudget) take(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retryPerSecond*(now-b.at).Seconds())
	b.at = now
	if b.spent+1 > retryLimit {
		return false
	}
	b.spent++
	return true
}
