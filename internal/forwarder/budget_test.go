package forwarder

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestBudgetHoldsInEveryWindow asks for repeats all the time on four hosts whose requests
// come in bursts.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const window, step = 10 * time.Second, 100 * time.Millisecond
	now := time.Hour
	var hosts []*Budget
	for range 4 {
		hosts = append(hosts, &Budget{Now: func() time.Duration { return now }, Window: window, Ratio: 0.2, Slack: 56, Hosts: func() int { return 4 }})
	}
	r := rand.New(rand.NewPCG(1, 1))
	var requests, repeats []float64
	for i := range 600 {
		now += step
		asked, again := 0.0, 0.0
		for _, b := range hosts {
			for range r.IntN(3) * (i / 60 % 2) {
				b.Request("p")
				asked++
			}
			if b.Repeat("p") {
				again++
			}
		}
		requests, repeats = append(requests, asked), append(repeats, again)
	}
	n := int(window / step)
	for i := n; i < len(repeats); i++ {
		a, b, most := sum(repeats[i-n:i]), sum(requests[i-n:i]), 0.0
		if i >= 2*n {
			most = sum(requests[i-2*n : i-n])
		}
		if a > 0.2*max(b, most)+56 {
			t.Fatalf("%v repeats for %v requests in the window that ends at %d", a, b, i)
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

// TestBudgetAllowsFirstRepeats gives a host its part of the slack before any requests.
func TestBudgetAllowsFirstRepeats(t *testing.T) {
	b := &Budget{Now: func() time.Duration { return time.Hour }, Window: 10 * time.Second, Ratio: 0.2, Slack: 56, Hosts: func() int { return 8 }}
	for i := range 5 {
		if !b.Repeat("p") {
			t.Fatalf("repeat %d refused", i+1)
		}
	}
}
