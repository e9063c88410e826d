package cataloger

import (
	"math"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/apportioner"
)

const (
	// Ratio of the largest to the smallest capacity of the entry hosts above which they count as uneven.
	unevenRatio = 1.5
	// Time for which the comparison of the hosts' capacities is reused.
	unevenCacheDuration = time.Second
)

// unevenState is the result of the last comparison of the hosts' capacities.
type unevenState struct {
	checkedAt time.Duration
	checked   bool
	uneven    bool
}

// Uneven reports whether the entry hosts announce capacities that differ by more than unevenRatio, in
// processors or in bandwidth. Hosts without a usable capacity do not count. The result may be as old as
// unevenCacheDuration.
func (t *Table) Uneven() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	if s := &t.unevenness; !s.checked || now-s.checkedAt >= unevenCacheDuration {
		*s = unevenState{checkedAt: now, checked: true, uneven: t.compareCapacities()}
	}
	return t.unevenness.uneven
}

// compareCapacities computes the result of Uneven. The caller holds mu.
func (t *Table) compareCapacities() bool {
	cores, link := newSpan(), newSpan()
	for _, p := range t.hosts {
		if c := p.report.Capacity; apportioner.Usable(c) {
			cores.add(c.Cores)
			link.add(c.Link)
		}
	}
	return cores.max > cores.min*unevenRatio || link.max > link.min*unevenRatio
}

// span is the range of some values; empty if min is above max.
type span struct{ min, max float64 }

func newSpan() span { return span{min: math.Inf(1)} }

func (s *span) add(x float64) { s.min, s.max = math.Min(s.min, x), math.Max(s.max, x) }
