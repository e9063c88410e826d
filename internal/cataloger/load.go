package cataloger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// maxLoadAge is the age up to which an entry host's load figures are used.
const maxLoadAge = 2500 * time.Millisecond

// Loads returns the requests that a region's entry hosts have in progress, summed by pool and
// upstream. It leaves out the host named exceptHost and the hosts that report to the control
// host at exceptControl: empty means this control host, "-" leaves out none.
func (t *Table) Loads(region, exceptHost, exceptControl string) []*schema.PoolLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	sums := map[string]*schema.PoolLoad{}
	for name, p := range t.hosts {
		if name != exceptHost && p.controlAddress != exceptControl && p.report.Region == region && now-p.reportedAt <= maxLoadAge {
			addLoads(sums, p.report.Loads)
		}
	}
	return sortedLoads(sums)
}

// Digests returns each region's capacity and load by pool, except for one region.
func (t *Table) Digests(exceptRegion string) []*schema.RegionDigest {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	digests := map[string]map[string]*schema.ModelDigest{}
	digestFor := func(region, pool string) *schema.ModelDigest {
		if digests[region] == nil {
			digests[region] = map[string]*schema.ModelDigest{}
		}
		if digests[region][pool] == nil {
			digests[region][pool] = &schema.ModelDigest{Name: pool}
		}
		return digests[region][pool]
	}
	for _, u := range t.upstreams {
		if a := u.report; a.Region != exceptRegion && !a.Leaving && !a.Gone && !a.Silent {
			d := digestFor(a.Region, a.Pool)
			d.Replicas++
			d.Slots += a.Slots
		}
	}
	for _, p := range t.hosts {
		if p.report.Region == exceptRegion || now-p.reportedAt > maxLoadAge {
			continue
		}
		for _, l := range p.report.Loads {
			d := digestFor(p.report.Region, l.Pool)
			d.Waiting += l.Waiting
			for _, n := range l.Running {
				d.Running += n
			}
		}
	}
	var out []*schema.RegionDigest
	for _, region := range slices.Sorted(maps.Keys(digests)) {
		d := &schema.RegionDigest{Region: region}
		for _, pool := range slices.Sorted(maps.Keys(digests[region])) {
			d.Routes = append(d.Routes, digests[region][pool])
		}
		out = append(out, d)
	}
	return out
}

// DirectLoads is like Loads for the entry hosts that report to this control host.
func (t *Table) DirectLoads(region, exceptHost string) []*schema.PoolLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	sums := map[string]*schema.PoolLoad{}
	for name, p := range t.hosts {
		if name != exceptHost && p.controlAddress == "" && p.report.Region == region && now-p.reportedAt <= maxLoadAge {
			addLoads(sums, p.report.Loads)
		}
	}
	return sortedLoads(sums)
}

// MergeLoads returns the sum of two lists of loads, sorted by pool.
func MergeLoads(a, b []*schema.PoolLoad) []*schema.PoolLoad {
	sums := map[string]*schema.PoolLoad{}
	addLoads(sums, a)
	addLoads(sums, b)
	return sortedLoads(sums)
}

func addLoads(sums map[string]*schema.PoolLoad, loads []*schema.PoolLoad) {
	for _, l := range loads {
		s := sums[l.Pool]
		if s == nil {
			s = &schema.PoolLoad{Pool: l.Pool, Running: map[string]int32{}, Reading: map[string]int64{}}
			sums[l.Pool] = s
		}
		s.Waiting += l.Waiting
		for name, n := range l.Running {
			s.Running[name] += n
		}
		for name, n := range l.Reading {
			s.Reading[name] += n
		}
	}
}

func sortedLoads(sums map[string]*schema.PoolLoad) []*schema.PoolLoad {
	return slices.SortedFunc(maps.Values(sums), func(a, b *schema.PoolLoad) int { return cmp.Compare(a.Pool, b.Pool) })
}
