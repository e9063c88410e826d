package reporter

import (
	"math"
	"testing"
	"time"
)

// TestBurn guards against a wrong burn rate and against a leak of memory: the rate is the
// fraction of bad requests divided by the budget, shorter windows decay sooner, and a customer
// without requests is deleted in the end.
func TestBurn(t *testing.T) {
	now := time.Second
	r := &Reporter{Now: func() time.Duration { return now }}
	for i := range 1000 {
		r.CountRequest("halls", i%10 != 0)
	}
	rows := r.Counts()
	if len(rows) != 1 || math.Abs(BurnRate(rows[0].Windows[0])-2) > 1e-9 {
		t.Fatalf("with 10%% bad requests of 5%% allowed: %v, want a burn rate of 2", rows)
	}
	now += time.Hour
	for range 1000 {
		r.CountRequest("halls", true)
	}
	w := r.Counts()[0].Windows
	if BurnRate(w[0]) > 0.01 || BurnRate(w[3]) < 0.9 {
		t.Errorf("after an hour without bad requests: burn rate %.2f over 5 minutes, %.2f over 3 days; want at most 0.01 and at least 0.9", BurnRate(w[0]), BurnRate(w[3]))
	}
	now += 2000 * time.Hour
	if rows := r.Counts(); len(rows) != 0 || len(r.customers) != 0 {
		t.Errorf("after 2000 hours without requests: customers not deleted: %v", rows)
	}
}
