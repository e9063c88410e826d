package cataloger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/assigner"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Age up to which an entry host's load figures are used, and the sums of another control host.
	// A host that turns to another control host counts at both for that long.
	maxLoadAge = time.Second
	// Time for which sums over hosts are reused.
	loadCacheDuration = 50 * time.Millisecond
)

// controlLoad is the load of the entry hosts that report to another control host.
type controlLoad struct {
	regions    []*schema.RegionLoad
	receivedAt time.Duration
}

// regionTotal is the load of all entry hosts of a region.
type regionTotal struct {
	computedAt time.Duration
	sums       map[string]*schema.PoolLoad // by pool
	// included holds the reports in sums of the hosts that report to this control host, by name.
	included map[string]*schema.Peer
}

// StoreLoads stores the load of the entry hosts that report to another control host.
func (t *Table) StoreLoads(controlAddress string, regions []*schema.RegionLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.controlLoads == nil {
		t.controlLoads = map[string]controlLoad{}
	}
	now := t.Timer.Now()
	for address, c := range t.controlLoads {
		if now-c.receivedAt > maxLoadAge {
			delete(t.controlLoads, address)
		}
	}
	t.controlLoads[controlAddress] = controlLoad{regions: regions, receivedAt: now}
}

// DirectLoads returns the requests that the entry hosts reporting to this control host have in
// progress, summed by region, pool and upstream.
func (t *Table) DirectLoads() []*schema.RegionLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	regions := map[string]map[string]*schema.PoolLoad{}
	for _, p := range t.hosts {
		if !t.directLoadOf(p, now) || len(p.report.Loads) == 0 {
			continue
		}
		if regions[p.report.Region] == nil {
			regions[p.report.Region] = map[string]*schema.PoolLoad{}
		}
		addLoads(regions[p.report.Region], p.report.Loads, now-p.reportedAt)
	}
	var out []*schema.RegionLoad
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		out = append(out, &schema.RegionLoad{Region: region, Loads: sortedLoads(regions[region])})
	}
	return out
}

// directLoadOf reports whether an entry host reports its load to this control host.
func (t *Table) directLoadOf(p *entryHost, now time.Duration) bool {
	return p.controlAddress == "" && now-p.reportedAt <= maxLoadAge
}

// Loads returns the load of a region's entry hosts, summed by pool and upstream, without those that
// report to the control host at exceptControl.
func (t *Table) Loads(region, exceptControl string) []*schema.PoolLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	sums := map[string]*schema.PoolLoad{}
	t.addControlLoads(sums, region, exceptControl, now)
	for _, p := range t.hosts {
		if p.report.Region == region && t.directLoadOf(p, now) {
			addLoads(sums, p.report.Loads, now-p.reportedAt)
		}
	}
	return sortedLoads(sums)
}

func (t *Table) addControlLoads(sums map[string]*schema.PoolLoad, region, exceptControl string, now time.Duration) {
	for address, c := range t.controlLoads {
		if address == exceptControl || now-c.receivedAt > maxLoadAge {
			continue
		}
		for _, r := range c.regions {
			if r.Region == region {
				addLoads(sums, r.Loads, now-c.receivedAt)
			}
		}
	}
}

// LoadsFor returns the load of the other entry hosts of a host's region. fromLeader is the load of the
// region's hosts that report to other control hosts, as received from the leader; nil on the leader.
// leaderAge is the time since then. The result may be as old as loadCacheDuration. Promises include the host's
// own.
func (t *Table) LoadsFor(host *schema.Peer, fromLeader *schema.RegionLoad, leaderAge time.Duration) []*schema.PoolLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	total := t.regionTotals[host.Region]
	if total == nil || now-total.computedAt >= loadCacheDuration {
		total = &regionTotal{computedAt: now, sums: map[string]*schema.PoolLoad{}, included: map[string]*schema.Peer{}}
		if fromLeader != nil {
			addLoads(total.sums, fromLeader.Loads, leaderAge)
		} else {
			t.addControlLoads(total.sums, host.Region, "", now)
		}
		for name, p := range t.hosts {
			if p.report.Region == host.Region && t.directLoadOf(p, now) {
				addLoads(total.sums, p.report.Loads, now-p.reportedAt)
				total.included[name] = p.report
			}
		}
		if t.regionTotals == nil {
			t.regionTotals = map[string]*regionTotal{}
		}
		t.regionTotals[host.Region] = total
	}
	return total.without(host.Name, now-total.computedAt)
}

// without returns the loads, computed some time ago, less those of one host, sorted by pool. The demand is that of the
// whole region, so that all its hosts decide by the same figures.
func (r *regionTotal) without(host string, age time.Duration) []*schema.PoolLoad {
	sums := map[string]*schema.PoolLoad{}
	for pool, l := range r.sums {
		sums[pool] = &schema.PoolLoad{
			Pool: pool, Waiting: l.Waiting, Running: maps.Clone(l.Running), Reading: maps.Clone(l.Reading), Demands: l.Demands,
			Work: maps.Clone(l.Work), Held: maps.Clone(l.Held),
		}
		for _, x := range l.Promises {
			sums[pool].Promises = append(sums[pool].Promises, agedPromise(x, age))
		}
	}
	for _, l := range r.included[host].GetLoads() {
		s := sums[l.Pool]
		s.Waiting -= l.Waiting
		for name, n := range l.Running {
			if s.Running[name] -= n; s.Running[name] <= 0 {
				delete(s.Running, name)
			}
		}
		for name, n := range l.Reading {
			if s.Reading[name] -= n; s.Reading[name] <= 0 {
				delete(s.Reading, name)
			}
		}
		subtractWork(s, l)
	}
	return sortedLoads(sums)
}

// Digests returns each region's capacity and load by pool, except for one region. The result may
// be as old as loadCacheDuration.
func (t *Table) Digests(exceptRegion string) []*schema.RegionDigest {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	if t.digests == nil || now-t.digestsAt >= loadCacheDuration {
		t.digests, t.digestsAt = t.computeDigests(now), now
	}
	var out []*schema.RegionDigest
	for _, d := range t.digests {
		if d.Region != exceptRegion {
			out = append(out, d)
		}
	}
	return out
}

// computeDigests returns the digests of all regions, sorted by region.
func (t *Table) computeDigests(now time.Duration) []*schema.RegionDigest {
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
	evacuated := func(string) bool { return false }
	if t.Evacuated != nil {
		evacuated = t.Evacuated()
	}
	for _, u := range t.upstreams {
		if a := u.report; !a.Leaving && !a.Gone && !a.Silent {
			d := digestFor(a.Region, a.Pool)
			d.Replicas++
			d.Slots += a.Slots
			if evacuated(a.Domain) {
				d.Evacuated += a.Slots
			}
		}
	}
	addLoad := func(region string, loads []*schema.PoolLoad) {
		for _, l := range loads {
			d := digestFor(region, l.Pool)
			d.Waiting += l.Waiting
			d.Demands = assigner.AddDemands(d.Demands, l.Demands)
			for _, n := range l.Running {
				d.Running += n
			}
			for _, work := range l.Work {
				d.Work += work
			}
		}
	}
	for _, p := range t.hosts {
		if t.directLoadOf(p, now) {
			addLoad(p.report.Region, p.report.Loads)
		}
	}
	for _, c := range t.controlLoads {
		if now-c.receivedAt <= maxLoadAge {
			for _, r := range c.regions {
				addLoad(r.Region, r.Loads)
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

// maxPromises bounds the promises of a pool that are passed on to each host: with reports each 0.4 s some
// 20 KB/s.
const maxPromises = 256

// addLoads adds loads that were reported some time ago to sums by pool.
func addLoads(sums map[string]*schema.PoolLoad, loads []*schema.PoolLoad, age time.Duration) {
	for _, l := range loads {
		s := sums[l.Pool]
		if s == nil {
			s = &schema.PoolLoad{Pool: l.Pool, Running: map[string]int32{}, Reading: map[string]int64{}}
			sums[l.Pool] = s
		}
		s.Waiting += l.Waiting
		s.Demands = assigner.AddDemands(s.Demands, l.Demands)
		for name, n := range l.Running {
			s.Running[name] += n
		}
		for name, n := range l.Reading {
			s.Reading[name] += n
		}
		for _, x := range l.Promises[:min(len(l.Promises), maxPromises-len(s.Promises))] {
			s.Promises = append(s.Promises, agedPromise(x, age))
		}
		addWork(s, l)
	}
}

// minWork is the engine time in seconds below which a difference is a rounding error.
const minWork = 1e-6

// addWork adds the work and the memory of l, which hosts report in adaptive mode only.
func addWork(sum, l *schema.PoolLoad) {
	if sum.Work == nil && len(l.Work) > 0 {
		sum.Work = map[string]float64{}
	}
	for name, work := range l.Work {
		sum.Work[name] += work
	}
	if sum.Held == nil && len(l.Held) > 0 {
		sum.Held = map[string]int64{}
	}
	for name, n := range l.Held {
		sum.Held[name] += n
	}
}

// subtractWork subtracts the work and the memory of l, which sum includes.
func subtractWork(sum, l *schema.PoolLoad) {
	for name, work := range l.Work {
		if sum.Work[name] -= work; sum.Work[name] < minWork {
			delete(sum.Work, name)
		}
	}
	for name, n := range l.Held {
		if sum.Held[name] -= n; sum.Held[name] <= 0 {
			delete(sum.Held, name)
		}
	}
}

func agedPromise(x *schema.Promise, age time.Duration) *schema.Promise {
	return &schema.Promise{Content: x.Content, Wait: x.Wait - age.Seconds(), Lead: x.Lead, Early: x.Early, Placed: x.Placed}
}

func sortedLoads(sums map[string]*schema.PoolLoad) []*schema.PoolLoad {
	return slices.SortedFunc(maps.Values(sums), func(a, b *schema.PoolLoad) int { return cmp.Compare(a.Pool, b.Pool) })
}
