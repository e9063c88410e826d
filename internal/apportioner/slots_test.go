package apportioner

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestFraction guards against hosts that get nothing, more than all, or a fraction by figures that cannot be right.
func TestFraction(t *testing.T) {
	type want struct{ Value, Demand, Requests float64 }
	for name, x := range map[string]struct {
		use  Use
		want want
	}{
		"one host":                 {Use{Hosts: 1, OwnDemand: 5, AllDemand: 5, OwnRequests: 3, AllRequests: 3}, want{1, 1, 1}},
		"no hosts known":           {Use{}, want{1, -1, -1}},
		"nothing asked for":        {Use{Hosts: 4}, want{0.25, -1, -1}},
		"demand only":              {Use{Hosts: 4, OwnDemand: 3, AllDemand: 4}, want{0.0625 + 0.75*0.75, 0.75, -1}},
		"requests only":            {Use{Hosts: 4, OwnRequests: 1, AllRequests: 2}, want{0.0625 + 0.375, -1, 0.5}},
		"both":                     {Use{Hosts: 4, OwnDemand: 3, AllDemand: 4, OwnRequests: 1, AllRequests: 4}, want{0.0625 + 0.375, 0.75, 0.25}},
		"idle":                     {Use{Hosts: 4, AllDemand: 4, AllRequests: 9}, want{0.0625, 0, 0}},
		"relays only":              {Use{Hosts: 4, AllDemand: 4, OwnRequests: 5, AllRequests: 10}, want{0.0625 + 0.1875, 0, 0.5}},
		"sum without the own part": {Use{Hosts: 4, OwnDemand: 8, AllDemand: 4}, want{0.8125, 1, -1}},
		"demand not a number":      {Use{Hosts: 4, OwnDemand: math.NaN(), AllDemand: math.NaN()}, want{0.25, -1, -1}},
		"own demand not a number":  {Use{Hosts: 4, OwnDemand: math.NaN(), AllDemand: 4}, want{0.25, -1, -1}},
		"demand negative":          {Use{Hosts: 4, OwnDemand: -1, AllDemand: 4}, want{0.25, -1, -1}},
		"demand infinite":          {Use{Hosts: 4, OwnDemand: 1, AllDemand: math.Inf(1)}, want{0.25, -1, -1}},
		"demand absurd":            {Use{Hosts: 4, OwnDemand: 1, AllDemand: 1e9, OwnRequests: 1, AllRequests: 4}, want{0.25, -1, 0.25}},
	} {
		f := x.use.Fraction()
		if d := cmp.Diff(x.want, want{f.Value, f.Demand, f.Requests}, cmpopts.EquateApprox(0, 1e-9)); d != "" {
			t.Errorf("%s (-want +got):\n%s", name, d)
		}
	}
	homes := []*schema.HomeDemand{{Work: 1}, {Homes: []string{"r", "s"}, Work: 2}, {Homes: []string{"s"}, Work: 4}, {Homes: []string{"r"}, Work: math.NaN()}, {Work: -3}}
	if got := Work(homes, "r"); got != 3 {
		t.Errorf("demand that r may serve: %v, want 3", got)
	}
	absurd := Work(append(homes, &schema.HomeDemand{Work: math.Inf(1)}), "r")
	if f := (Use{Hosts: 4, OwnDemand: 3, AllDemand: absurd}).Fraction(); f.Value != f.Equal {
		t.Errorf("a fraction of %v by a demand of %v", f.Value, absurd)
	}
}

// TestFractionsSumToOne guards against slots that no host may use or that several hosts use at once: equal figures at
// all hosts must give fractions with the sum 1, also where a host restarted and reports nothing yet. With figures of
// different ages, lost reports and demand that changes, the sum is logged and bounded.
func TestFractionsSumToOne(t *testing.T) {
	for _, hosts := range []int{1, 30, 300} {
		random := rand.New(rand.NewPCG(uint64(hosts), 1))
		demand, requests := make([]float64, hosts), make([]int, hosts)
		draw := func() {
			for i := range hosts {
				demand[i], requests[i] = random.ExpFloat64()*random.ExpFloat64(), random.IntN(20)
				if hosts > 1 && i%10 == 9 { // just restarted
					demand[i], requests[i] = 0, 0
				}
			}
		}
		draw()
		total := func() (d float64, r int) {
			for i := range hosts {
				d += demand[i]
				r += requests[i]
			}
			return d, r
		}
		d, r := total()
		sum := 0.0
		for i := range hosts {
			f := Use{Hosts: hosts, OwnDemand: demand[i], AllDemand: d, OwnRequests: requests[i], AllRequests: r}.Fraction()
			if f.Value < FloorRatio/float64(hosts) {
				t.Errorf("%d hosts: a fraction of %.5f, below the floor", hosts, f.Value)
			}
			sum += f.Value
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("%d hosts: the fractions sum to %.9f", hosts, sum)
		}
		// Each host sees another generation of the sums: demand moves between 0.2 and 2.8 times its mean in two seconds, thus
		// by a factor of up to 1.9 in 0.5 s, and differs between hosts.
		sum = 0
		for i := range hosts {
			age := 0.5 + random.Float64()
			f := Use{Hosts: hosts, OwnDemand: demand[i], AllDemand: d * age, OwnRequests: requests[i], AllRequests: max(requests[i], int(float64(r)*age))}.Fraction()
			sum += f.Value
		}
		t.Logf("%d hosts: the fractions sum to %.3f with sums of 0.5 to 1.5 times the present ones", hosts, sum)
		if sum < 0.25 || sum > 1.75 {
			t.Errorf("%d hosts: the fractions sum to %.3f with sums of other ages", hosts, sum)
		}
	}
}
