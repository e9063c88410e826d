package cataloger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// Age up to which a host's load figures count.
const loadTime = 2500 * time.Millisecond

// Loads returns what the hosts of a region have under way, added up by upstream, but for
// one host and for those that report to a control host named via (empty: this one).
func (t *Table) Loads(region, host, via string) []*schema.PoolLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	sums := map[string]*schema.PoolLoad{}
	for name, p := range t.peers {
		if name != host && p.via != via && p.said.Region == region && now-p.heard <= loadTime {
			addLoads(sums, p.said.Loads)
		}
	}
	return sorted(sums)
}

// Digests returns what each other region has, pool by pool.
func (t *Table) Digests(but string) []*schema.RegionDigest {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	digests := map[string]map[string]*schema.ModelDigest{}
	of := func(region, pool string) *schema.ModelDigest {
		if digests[region] == nil {
			digests[region] = map[string]*schema.ModelDigest{}
		}
		if digests[region][pool] == nil {
			digests[region][pool] = &schema.ModelDigest{Name: pool}
		}
		return digests[region][pool]
	}
	for _, u := range t.upstreams {
		if a := u.said; a.Region != but && !a.Leaving && !a.Gone && !a.Silent {
			d := of(a.Region, a.Pool)
			d.Replicas++
			d.Slots += a.Slots
		}
	}
	for _, p := range t.peers {
		if p.said.Region == but || now-p.heard > loadTime {
			continue
		}
		for _, l := range p.said.Loads {
			d := of(p.said.Region, l.Pool)
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

// OwnLoads is Loads of the hosts that report to this control host.
func (t *Table) OwnLoads(region, host string) []*schema.PoolLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	sums := map[string]*schema.PoolLoad{}
	for name, p := range t.peers {
		if name != host && p.via == "" && p.said.Region == region && now-p.heard <= loadTime {
			addLoads(sums, p.said.Loads)
		}
	}
	return sorted(sums)
}

// Merge adds two sums of loads.
func Merge(a, b []*schema.PoolLoad) []*schema.PoolLoad {
	sums := map[string]*schema.PoolLoad{}
	addLoads(sums, a)
	addLoads(sums, b)
	return sorted(sums)
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

func sorted(sums map[string]*schema.PoolLoad) []*schema.PoolLoad {
	return slices.SortedFunc(maps.Values(sums), func(a, b *schema.PoolLoad) int { return cmp.Compare(a.Pool, b.Pool) })
}
