package reporter

import (
	"math"
	"testing"
	"time"
)

// TestBurn requires that burn is the share of bad requests over the budget, that shorter
// windows forget sooner, and that a customer that is gone takes no memory.
func TestBurn(t *testing.T) {
	now := time.Second
	r := &Reporter{Now: func() time.Duration { return now }}
	for i := range 1000 {
		r.Count("halls", i%10 != 0)
	}
	rows := r.Read()
	if len(rows) != 1 || math.Abs(Burn(rows[0].Windows[0])-2) > 1e-9 {
		t.Fatalf("burn at 10%% bad of 5%% allowed: %v", rows)
	}
	now += time.Hour
	for range 1000 {
		r.Count("halls", true)
	}
	w := r.Read()[0].Windows
	if Burn(w[0]) > 0.01 || Burn(w[3]) < 0.9 {
		t.Errorf("an hour later: 5 m %.2f, 3 d %.2f", Burn(w[0]), Burn(w[3]))
	}
	now += 2000 * time.Hour
	if rows := r.Read(); len(rows) != 0 || len(r.customers) != 0 {
		t.Errorf("long after: %v", rows)
	}
}
