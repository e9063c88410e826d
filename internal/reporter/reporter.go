// Package reporter counts how many requests of each customer met their latency objective,
// over windows of several lengths. Counts decay exponentially, with the window's length as the
// time constant, instead of being kept in buckets, so that a customer takes a fixed, small
// amount of memory. The package makes no decisions based on these counts.
package reporter

import (
	"math"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TargetFraction is the fraction of requests that must meet the latency objective. The rest
// is the error budget.
const TargetFraction = 0.95

// Windows are the lengths of the windows (time constants of the decay), shortest first.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// A customer is deleted once its count of requests in the longest window is below minCount.
const minCount = 0.01

// Reporter counts the requests of one host. Set Now before use. It is safe for concurrent use.
type Reporter struct {
	// Now returns the time on a monotonic clock.
	Now func() time.Duration

	mu        sync.Mutex
	customers map[string]*counts // guarded by mu
}

// counts are one customer's decayed counts, by window.
type counts struct {
	decayedAt  time.Duration // on the clock of Now
	total, bad [len(Windows)]float64
}

// CountRequest adds one request of a customer to every window.
func (r *Reporter) CountRequest(customer string, metObjective bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.customers == nil {
		r.customers = map[string]*counts{}
	}
	c := r.customers[customer]
	if c == nil {
		c = &counts{decayedAt: r.Now()}
		r.customers[customer] = c
	}
	c.decay(r.Now())
	for i := range Windows {
		c.total[i]++
		if !metObjective {
			c.bad[i]++
		}
	}
}

func (c *counts) decay(now time.Duration) {
	for i, w := range Windows {
		remainingFraction := math.Exp(-(now - c.decayedAt).Seconds() / w.Seconds())
		c.total[i] *= remainingFraction
		c.bad[i] *= remainingFraction
	}
	c.decayedAt = now
}

// Counts returns the counts of every customer, in no particular order, one for each of Windows. It
// deletes customers whose counts have decayed below minCount.
func (r *Reporter) Counts() []*schema.CustomerBurn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*schema.CustomerBurn
	for name, c := range r.customers {
		c.decay(r.Now())
		if c.total[len(Windows)-1] < minCount {
			delete(r.customers, name)
			continue
		}
		row := &schema.CustomerBurn{Customer: name}
		for i := range Windows {
			row.Windows = append(row.Windows, &schema.WindowCount{Total: c.total[i], Bad: c.bad[i]})
		}
		out = append(out, row)
	}
	return out
}

// BurnRate returns the burn rate of a window: how fast the error budget is used up. At 1 the budget
// lasts exactly for the time for which it is meant. Without requests the rate is 0.
func BurnRate(w *schema.WindowCount) float64 {
	if w.GetTotal() == 0 {
		return 0
	}
	return w.Bad / w.Total / (1 - TargetFraction)
}
