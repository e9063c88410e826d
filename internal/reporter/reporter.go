// Package reporter counts how many requests of each customer met their service level, over
// windows of several lengths. Counts decay with the window instead of being kept in
// buckets, so that a customer takes a fixed, small amount of memory. It decides nothing.
package reporter

import (
	"math"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// Target is the share of requests that must meet the service level.
const Target = 0.95

// Windows are the lengths of the windows, shortest first.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Smallest count worth keeping.
const forgotten = 0.01

// Reporter counts for one host. Set Now before use.
type Reporter struct {
	Now func() time.Duration

	mu        sync.Mutex
	customers map[string]*counts // guarded by mu
}

type counts struct {
	at         time.Duration
	total, bad [len(Windows)]float64
}

// Count adds one request.
func (r *Reporter) Count(customer string, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.customers == nil {
		r.customers = map[string]*counts{}
	}
	c := r.customers[customer]
	if c == nil {
		c = &counts{at: r.Now()}
		r.customers[customer] = c
	}
	c.decay(r.Now())
	for i := range Windows {
		c.total[i]++
		if !good {
			c.bad[i]++
		}
	}
}

func (c *counts) decay(now time.Duration) {
	for i, w := range Windows {
		keep := math.Exp(-(now - c.at).Seconds() / w.Seconds())
		c.total[i] *= keep
		c.bad[i] *= keep
	}
	c.at = now
}

// Read returns the counts of every customer, and forgets those that have decayed.
func (r *Reporter) Read() []*schema.CustomerBurn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*schema.CustomerBurn
	for name, c := range r.customers {
		c.decay(r.Now())
		if c.total[len(Windows)-1] < forgotten {
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

// Burn returns how fast a window uses up the error budget: 1 uses it up exactly in the
// time for which it is meant.
func Burn(w *schema.WindowCount) float64 {
	if w.GetTotal() == 0 {
		return 0
	}
	return w.Bad / w.Total / (1 - Target)
}
