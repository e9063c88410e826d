package forwarder

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestBudgetHoldsInEveryWindow guards against retries above the limit in any window over all
// hosts. Four hosts retry whenever they may, while their requests come in bursts.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const window, step = 10 * time.Second, 100 * time.Millisecond
	now := time.Hour
	var hosts []*RetryBudget
	for range 4 {
		hosts = append(hosts, &RetryBudget{Now: func() time.Duration { return now }, Window: window, Ratio: 0.2, Slack: 56, Hosts: func() int { return 4 }})
	}
	r := rand.New(rand.NewPCG(1, 1))
	var requests, retries []float64
	for i := range 600 {
		now += step
		requested, retried := 0.0, 0.0
		for _, b := range hosts {
			for range r.IntN(3) * (i / 60 % 2) {
				b.CountRequest("p")
				requested++
			}
			if b.TakeRetry("p") {
				retried++
			}
		}
		requests, retries = append(requests, requested), append(retries, retried)
	}
	n := int(window / step)
	for i := n; i < len(retries); i++ {
		retriesInWindow, requestsInWindow, requestsBefore := sum(retries[i-n:i]), sum(requests[i-n:i]), 0.0
		if i >= 2*n {
			requestsBefore = sum(requests[i-2*n : i-n])
		}
		if retriesInWindow > 0.2*max(requestsInWindow, requestsBefore)+56 {
			t.Fatalf("%v retries for %v requests in the window that ends at step %d", retriesInWindow, requestsInWindow, i)
		}
	}
}

func sum(x []float64) float64 {
	s := 0.0
	for _, v := range x {
		s += v
	}
	return s
}

// TestBudgetAllowsFirstRetries guards against a host that may not retry its first requests.
// A host has its fraction of the slack before any requests.
func TestBudgetAllowsFirstRetries(t *testing.T) {
	b := &RetryBudget{Now: func() time.Duration { return time.Hour }, Window: 10 * time.Second, Ratio: 0.2, Slack: 56, Hosts: func() int { return 8 }}
	for i := range 5 {
		if !b.TakeRetry("p") {
			t.Fatalf("retry %d was not allowed", i+1)
		}
	}
}
