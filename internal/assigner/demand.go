package assigner

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Bounds of what one host reports: pools, and sets of homes of one pool.
	maxReportedPools, maxReportedSets = 16, 8
	// MaxSummedSets is the number of sets of homes of one pool that is kept of a sum over hosts.
	MaxSummedSets = maxSets
	// Time constant of measured demand. Demand moves between 0.2 and 2.8 times its mean within two seconds.
	demandSmoothing = time.Second
	// Demand below this, in engine seconds a second, is forgotten: one short request 10 s ago.
	minDemand = 1e-6
)

// HomesKey returns a name for a set of regions, which does not depend on their order. The set of all has an
// empty name.
func HomesKey(homes []string) string {
	if !slices.IsSorted(homes) {
		homes = slices.Sorted(slices.Values(homes))
	}
	return strings.Join(homes, ",")
}

// Meter measures the demand of one host's callers. Its methods may be called concurrently.
type Meter struct {
	mu    sync.Mutex
	pools map[string]map[string]*flow // by pool and HomesKey; guarded by mu
}

// flow is a moving average of the work that is asked for.
type flow struct {
	homes        []string // sorted
	work, shared float64  // engine seconds a second at updatedAt
	updatedAt    time.Duration
}

func (w *flow) decay(now time.Duration) {
	f := math.Exp(-float64(max(0, now-w.updatedAt)) / float64(demandSmoothing))
	w.work, w.shared, w.updatedAt = w.work*f, w.shared*f, now
}

func (w *flow) add(work, shared float64) {
	w.work += work
	w.shared += shared
}

// Record adds a request that its caller has just made, with the engine time that it needs and the regions that
// may serve it, empty for all. shared says that its prompt has a long shared prefix.
func (m *Meter) Record(pool string, homes []string, work time.Duration, shared bool, now time.Duration) {
	rate := work.Seconds() / demandSmoothing.Seconds()
	sharedRate := 0.0
	if shared {
		sharedRate = rate
	}
	key := HomesKey(homes)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pools == nil {
		m.pools = map[string]map[string]*flow{}
	}
	flows := m.pools[pool]
	if flows == nil {
		if len(m.pools) >= maxReportedPools {
			return
		}
		flows = map[string]*flow{}
		m.pools[pool] = flows
	}
	f := flows[key]
	if f == nil {
		f = &flow{homes: slices.Sorted(slices.Values(homes)), updatedAt: now}
		flows[key] = f
	}
	f.decay(now)
	f.add(rate, sharedRate)
	if len(flows) > maxReportedSets {
		joinSmallest(flows, now)
	}
}

// joinSmallest puts the two sets with the least work together under the union of their homes.
func joinSmallest(flows map[string]*flow, now time.Duration) {
	var sorted []*flow
	for _, f := range flows {
		f.decay(now)
		sorted = append(sorted, f)
	}
	slices.SortFunc(sorted, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.work, b.work), cmp.Compare(HomesKey(a.homes), HomesKey(b.homes)))
	})
	a, b := sorted[0], sorted[1]
	delete(flows, HomesKey(a.homes))
	delete(flows, HomesKey(b.homes))
	homes := unionOf(a.homes, b.homes)
	joined := flows[HomesKey(homes)]
	if joined == nil {
		joined = &flow{homes: homes, updatedAt: now}
		flows[HomesKey(homes)] = joined
	}
	joined.decay(now)
	joined.add(a.work+b.work, a.shared+b.shared)
}

// unionOf returns the regions of both sets, sorted; empty, for all, if one of them is.
func unionOf(a, b []string) []string {
	if len(a) == 0 || len(b) == 0 {
		return nil
	}
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

// Demands returns the demand by pool, each sorted by homes.
func (m *Meter) Demands(now time.Duration) map[string][]*schema.HomeDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[string][]*schema.HomeDemand{}
	for pool, flows := range m.pools {
		for key, f := range flows {
			if f.decay(now); f.work < minDemand {
				delete(flows, key)
				continue
			}
			all[pool] = append(all[pool], &schema.HomeDemand{Homes: f.homes, Work: f.work, Shared: f.shared})
		}
		if len(flows) == 0 {
			delete(m.pools, pool)
		}
		sortDemands(all[pool])
	}
	return all
}

func sortDemands(all []*schema.HomeDemand) {
	slices.SortFunc(all, func(a, b *schema.HomeDemand) int { return cmp.Compare(HomesKey(a.Homes), HomesKey(b.Homes)) })
}

// AddDemands adds more to a sum by homes, and returns the sum, sorted, with at most MaxSummedSets sets. The sum, which
// it changes, must be a result of AddDemands or nil. Figures that are not positive numbers are left out.
func AddDemands(sum, more []*schema.HomeDemand) []*schema.HomeDemand {
	for _, d := range more {
		work := clamp(d.GetWork(), 0, maxWork)
		if work == 0 || len(d.Homes) > maxRegions {
			continue
		}
		sum = addDemand(sum, d.Homes, work, clamp(d.Shared, 0, work))
		for len(sum) > MaxSummedSets {
			sum = joinDemands(sum)
		}
	}
	return sum
}

func addDemand(sum []*schema.HomeDemand, homes []string, work, shared float64) []*schema.HomeDemand {
	if !slices.IsSorted(homes) {
		homes = slices.Sorted(slices.Values(homes))
	}
	at, known := slices.BinarySearchFunc(sum, homes, func(d *schema.HomeDemand, homes []string) int { return slices.Compare(d.Homes, homes) })
	if !known {
		sum = slices.Insert(sum, at, &schema.HomeDemand{Homes: homes})
	}
	sum[at].Work = min(maxWork, sum[at].Work+work)
	sum[at].Shared = min(maxWork, sum[at].Shared+shared)
	return sum
}

// joinDemands puts the two sets with the least work together under the union of their homes.
func joinDemands(sum []*schema.HomeDemand) []*schema.HomeDemand {
	var smallest [2]*schema.HomeDemand
	for i := range smallest {
		smallest[i] = slices.MinFunc(sum, func(a, b *schema.HomeDemand) int { return cmp.Compare(a.Work, b.Work) })
		sum = slices.DeleteFunc(sum, func(d *schema.HomeDemand) bool { return d == smallest[i] })
	}
	a, b := smallest[0], smallest[1]
	return addDemand(sum, unionOf(a.Homes, b.Homes), a.Work+b.Work, a.Shared+b.Shared)
}
