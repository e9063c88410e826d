package allocator

import (
	"math"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestLargestLimits guards against customers that get no tokens because their limits, or what their callers ask for, are so
// large that hosts take the shares and demands of each other for errors.
func TestLargestLimits(t *testing.T) {
	stated := &schema.Item{Path: "customer/c", Value: &schema.Item_Customer{Customer: &schema.Customer{Name: "c", Rate: math.MaxFloat64, Burst: math.MaxFloat64}}}
	c := configurer.InRange(stated).GetCustomer()
	f := newFleet(3, Limits{Rate: c.Rate, Burst: c.Burst})
	refused := 0
	for n := range 200 {
		for i := range f.hosts {
			if !f.take(i, c.Burst/1e4) {
				refused++
			}
			demands, _ := f.hosts[i].Report([]string{"c"})
			for _, d := range demands {
				if field, value := unusableDemand(d, true); field != "" {
					t.Fatalf("round %d: demand with %s %v", n, field, value)
				}
			}
			f.report(i, false)
		}
		f.now += 50 * time.Millisecond
		for i, h := range f.hosts {
			if a := h.customers["c"]; a.limitRate > 0 && !usableFigure(a.limitRate*1.01) || !usableFigure(a.rate) {
				t.Fatalf("round %d: host %d has a share of %v of %v", n, i, a.rate, a.limitRate)
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d requests refused, each a 10,000th of the burst", refused)
	}
}
