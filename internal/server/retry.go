package server

import (
	"sync"
	"time"
)

const (
	// Retries added to the budget by each answered request and by each second, and the size of
	// a full budget.
	retriesPerAnswer = 0.2
	retriesPerSecond = 10.0
	maxSavedRetries  = 200.0
)

// retryBudget limits retries to a fraction of the requests that succeed plus a fixed rate, so that
// retries do not multiply the load when upstreams fail together. The zero value is full.
type retryBudget struct {
	mu        sync.Mutex
	spent     float64       // retries taken and not earned back; guarded by mu
	updatedAt time.Duration // of spent, on the Server's Timer; guarded by mu
}

// credit adds the retries earned by an answered request.
func (b *retryBudget) credit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retriesPerAnswer)
}

// spend reports whether one more retry is allowed at a time on the Timer, and takes it from the
// budget.
func (b *retryBudget) spend(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retriesPerSecond*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.spent+1 > maxSavedRetries {
		return false
	}
	b.spent++
	return true
}
