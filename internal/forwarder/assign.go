package forwarder

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/assigner"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Age up to which an assignment is used: several intervals of reports. Demand moves between its extremes in
	// that time.
	maxAssignmentAge = 2 * time.Second
	// Time for which a caller that returns does not count again: its first count has decayed by then. Callers
	// return after minReturnTime or later, the shortest delay that a refusal names; what is less is
	// inaccuracy of the estimate.
	returnWindow  = 2 * time.Second
	minReturnTime = 100 * time.Millisecond
	// Change of a weight that is logged, and the shortest time between two lines of one pool.
	loggedWeightChange = 0.1
	assignmentLogDelay = 2 * time.Second
	// Time between two updates of the metrics, which are read far less often.
	metricsInterval = time.Second
	// Largest number of pools that work is assigned of.
	maxAssignedPools = 64
)

// assignments is the demand of this host's callers and the assignment of all regions' demand.
type assignments struct {
	meter   assigner.Meter
	current atomic.Pointer[assignmentSet] // nil while there is none
	// reported is the demand by pool in the last report to the control hosts, which sums of the region hold; nil before
	// the first one.
	reported atomic.Pointer[map[string][]*schema.HomeDemand]

	mu    sync.Mutex
	pools map[string]*poolAssignment // by pool; guarded by mu
	// measuredAt is the time at which the metrics were last set, measure whether they are set by this
	// computation; guarded by mu
	measuredAt time.Duration
	measure    bool
}

// assignmentSet holds the assignments of one computation. It is immutable.
type assignmentSet struct {
	computedAt time.Duration
	pools      map[string]*assigner.Output
}

// poolAssignment is what is kept of a pool from one computation to the next.
type poolAssignment struct {
	calibration assigner.Calibration
	output      *assigner.Output
	state       *poolState // that output was computed from, with demands as corrected by factor
	factor      float64
	computedAt  time.Duration
	logged      *assigner.Output // as logged last; nil before
	loggedAt    time.Duration
}

func (f *Forwarder) adaptive() bool { return f.Adaptive != nil && f.Adaptive() }

// recordDemand counts a request that was admitted as demand, unless its caller returns with it soon after it made it.
func (f *Forwarder) recordDemand(r *Request) {
	if !f.adaptive() || r.takesUp() {
		return
	}
	sinceFirst := r.ArrivedAt + seconds(r.route.Objective) - r.objectiveAt
	if sinceFirst >= minReturnTime && sinceFirst < returnWindow {
		return
	}
	w := r.schedulerRequest(nil)
	engine := r.index.snapshot.Pool(r.pool).GetEngine()
	f.assignments.meter.Record(r.pool, r.regions, w.EngineTime(engine), w.SharedReadRatio() > minSharedReadRatio, f.Timer.Now())
}

// WithDemands adds the demand of this host's callers to its load, for the report to the control hosts. Without
// adaptive mode it returns the load as it is.
func (f *Forwarder) WithDemands(loads []*schema.PoolLoad) []*schema.PoolLoad {
	if !f.adaptive() {
		return loads
	}
	demands := f.assignments.meter.Demands(f.Timer.Now())
	reported := maps.Clone(demands)
	f.assignments.reported.Store(&reported)
	for _, l := range loads {
		l.Demands = demands[l.Pool]
		delete(demands, l.Pool)
	}
	for _, pool := range slices.Sorted(maps.Keys(demands)) {
		loads = append(loads, &schema.PoolLoad{Pool: pool, Demands: demands[pool]})
	}
	return loads
}

// ReportedDemand returns the demand of this host's callers for a pool as reported last, and whether this host has
// reported any demand.
func (f *Forwarder) ReportedDemand(pool string) (demands []*schema.HomeDemand, reported bool) {
	last := f.assignments.reported.Load()
	if last == nil {
		return nil, false
	}
	return (*last)[pool], true
}

// poolState is a pool's capacity, use and demand in all regions.
type poolState struct {
	regions      []assigner.Region
	demands      []assigner.Demand
	asked, used  float64 // sums over regions, in engine seconds a second
	slotsPerUnit float64 // slots of an upstream that make one unit of capacity
}

func (p *poolState) add(region string, slots, running float64, demands []*schema.HomeDemand) {
	p.regions = append(p.regions, assigner.Region{Name: region, Capacity: slots / p.slotsPerUnit})
	p.used += running / p.slotsPerUnit
	for _, d := range assigner.AddDemands(nil, demands) { // leaves out absurd figures
		p.demands = append(p.demands, assigner.Demand{Homes: d.Homes, Caller: region, Work: d.Work, Shared: d.Shared})
		p.asked += d.Work
	}
}

// UpdateAssignments assigns the demand to regions. Loads are those of the other hosts of this region, digests those of
// the other regions, as just received. Without digests the assignment stays until it is too old.
func (f *Forwarder) UpdateAssignments(loads []*schema.PoolLoad, digests []*schema.RegionDigest) {
	a := &f.assignments
	if !f.adaptive() {
		if a.current.Swap(nil) != nil {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.pools = nil
		}
		return
	}
	x := f.index.Load()
	if len(digests) == 0 || x == nil {
		return
	}
	now := f.Timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	set := &assignmentSet{computedAt: now, pools: map[string]*assigner.Output{}}
	kept := map[string]*poolAssignment{}
	if a.measure = now-a.measuredAt >= metricsInterval; a.measure {
		a.measuredAt = now
		f.Metrics.weight.Reset()
		f.Metrics.demand.Reset()
		f.Metrics.capacity.Reset()
	}
	for _, name := range poolsOf(digests) {
		state := f.poolState(x, name, loads, digests, now)
		p := a.pools[name]
		if p == nil {
			p = &poolAssignment{computedAt: now}
		}
		kept[name] = p
		elapsed := now - p.computedAt
		factor := p.calibration.Update(state.asked, state.used, elapsed)
		for i := range state.demands {
			state.demands[i].Work *= factor
			state.demands[i].Shared *= factor
		}
		p.output = assigner.Assign(assigner.Input{
			Regions: state.regions, Demands: state.demands, Cost: assigner.DefaultCost, Earlier: p.output, Elapsed: elapsed,
		})
		p.computedAt, p.state, p.factor = now, state, factor
		if state.asked > 0 {
			set.pools[name] = p.output
		}
		if a.measure {
			f.measureAssignment(name, p.output, state)
		}
		f.logAssignment(name, p, state, factor, elapsed, now)
	}
	a.pools = kept
	a.current.Store(set)
}

// poolsOf returns the pools that other regions have, sorted.
func poolsOf(digests []*schema.RegionDigest) []string {
	pools := map[string]bool{}
	for _, d := range digests {
		for _, p := range d.Routes {
			pools[p.Name] = true
		}
	}
	sorted := slices.Sorted(maps.Keys(pools))
	return sorted[:min(len(sorted), maxAssignedPools)]
}

// poolState collects the state of a pool. Regions that do not respond to this host have no capacity for it.
func (f *Forwarder) poolState(x *index, pool string, loads []*schema.PoolLoad, digests []*schema.RegionDigest, now time.Duration) *poolState {
	state := &poolState{slotsPerUnit: float64(max(1, x.snapshot.Pool(pool).GetEngine().GetSlots()))}
	ownSlots, running := f.Scheduler.PoolCapacity(pool)
	if !f.isServed(f.Region) {
		ownSlots = 0
	}
	var demands []*schema.HomeDemand
	for _, l := range loads {
		if l.Pool == pool {
			running += int(l.Waiting)
			demands = l.Demands
		}
	}
	state.add(f.Region, float64(ownSlots), float64(running), demands)
	for _, d := range digests {
		if d.Region == f.Region {
			continue
		}
		for _, p := range d.Routes {
			if p.Name != pool {
				continue
			}
			slots := float64(p.Slots) - float64(p.Evacuated)
			if f.monitor.isUnresponsive(d.Region, now) || !f.isServed(d.Region) {
				slots = 0
			}
			state.add(d.Region, slots, float64(p.Running)+float64(p.Waiting), p.Demands)
		}
	}
	return state
}

// measureAssignment sets the metrics of a pool's assignment.
func (f *Forwarder) measureAssignment(pool string, o *assigner.Output, state *poolState) {
	for i, region := range o.Regions {
		f.Metrics.capacity.WithLabelValues(pool, region).Set(o.Capacity[i])
	}
	for _, d := range state.demands {
		f.Metrics.demand.WithLabelValues(pool, assigner.HomesKey(d.Homes), d.Caller).Set(d.Work)
	}
	for k, a := range o.Assignments {
		if k.Caller != "" && k.Caller != f.Region {
			continue
		}
		for i, region := range o.Regions {
			f.Metrics.weight.WithLabelValues(pool, k.Homes, k.Caller, region).Set(a.Weights[i])
		}
	}
}

// logAssignment logs a pool's assignment if a weight has changed notably. Elapsed is the time since the
// assignment before: the figures of this one are that much newer.
func (f *Forwarder) logAssignment(pool string, p *poolAssignment, state *poolState, factor float64, elapsed, now time.Duration) {
	o := p.output
	if !f.changedNotably(p) || p.logged != nil && now-p.loggedAt < assignmentLogDelay {
		return
	}
	p.logged, p.loggedAt = o, now
	capacity, utilization, demand, weights := zerolog.Dict(), zerolog.Dict(), zerolog.Dict(), zerolog.Dict()
	for i, region := range o.Regions {
		capacity.Float64(region, o.Capacity[i])
		utilization.Float64(region, o.Utilization[i])
	}
	sums := map[string]float64{}
	for _, d := range state.demands {
		sums[assigner.HomesKey(d.Homes)] += d.Work
	}
	for _, homes := range slices.Sorted(maps.Keys(sums)) {
		demand.Float64("["+homes+"]", sums[homes])
		for _, caller := range []string{"", f.Region} {
			if a, known := o.Assignments[assigner.Key{Homes: homes, Caller: caller}]; known {
				weights.Floats64("["+homes+"]"+caller, a.Weights)
			}
		}
	}
	f.Log.Info().Str("pool", pool).Dur("since", elapsed).Dict("capacity", capacity).Dict("demand", demand).Float64("factor", factor).Dict("utilization", utilization).
		Strs("regions", o.Regions).Dict("weights", weights).Msg("assignment of demand changed")
}

// changedNotably reports whether a weight that this host uses differs notably from the one logged last, or from the
// choice without an assignment if none was logged.
func (f *Forwarder) changedNotably(p *poolAssignment) bool {
	for k, a := range p.output.Assignments {
		if k.Caller != "" && k.Caller != f.Region {
			continue
		}
		if p.logged == nil {
			if !a.Kept {
				return true
			}
			continue
		}
		for i, region := range p.output.Regions {
			if math.Abs(a.Weights[i]-p.logged.Weight(k, region)) >= loggedWeightChange {
				return true
			}
		}
	}
	return false
}

// assignment returns the assignment of a pool's demand; nil if there is none or it is too old.
func (f *Forwarder) assignment(pool string) *assigner.Output {
	set := f.assignments.current.Load()
	if set == nil || f.Timer.Now()-set.computedAt > maxAssignmentAge || !f.adaptive() {
		return nil
	}
	return set.pools[pool]
}

// assignedRegion returns the region to which a request is offloaded by an assignment; empty if it stays. Shared says
// that its prompt has a long shared prefix. Others are the responsive ones of the regions that may serve it.
func assignedRegion(o *assigner.Output, r *Request, shared bool, here regionLoad, others []regionLoad, random func() float64) string {
	homes := assigner.HomesKey(r.regions)
	if shared {
		if a, known := o.Assignments[assigner.Key{Homes: homes}]; known && !a.Kept {
			k := assigner.Key{Homes: homes}
			return preferredRegion(r.sharedPrefix(), weighted(o, k, []regionLoad{here})[0], weighted(o, k, others))
		}
		return preferredRegion(r.sharedPrefix(), here, others)
	}
	k := assigner.Key{Homes: homes, Caller: here.region}
	if a, known := o.Assignments[k]; known && !a.Kept {
		region := drawRegion(append(weighted(o, k, []regionLoad{here}), weighted(o, k, others)...), random())
		if region != "" && region != here.region {
			return region
		}
	}
	if here.load < minOffloadLoad {
		return ""
	}
	return pickOffloadRegion(here.load, slices.DeleteFunc(others, func(x regionLoad) bool { return o.Full(x.region) }), random())
}

// weighted returns the regions with the weights of an assignment in place of slots.
func weighted(o *assigner.Output, k assigner.Key, regions []regionLoad) []regionLoad {
	regions = slices.Clone(regions)
	for i := range regions {
		regions[i].slots = o.Weight(k, regions[i].region)
	}
	return regions
}

// drawRegion draws a region by weight; empty if all weights are 0, or if the region that was drawn is full by its
// reports.
func drawRegion(regions []regionLoad, random float64) string {
	total := 0.0
	for _, x := range regions {
		total += x.slots
	}
	left := random * total
	for _, x := range regions {
		if left -= x.slots; left < 0 {
			if x.load >= maxPrefixLoad {
				return ""
			}
			return x.region
		}
	}
	return ""
}

// assignedHome returns the region that a request is relayed to first if this region may not serve it; empty if the
// assignment does not say.
func (f *Forwarder) assignedHome(o *assigner.Output, r *Request, others []regionLoad, c regionChooser) string {
	k := assigner.Key{Homes: assigner.HomesKey(r.regions), Caller: f.Region}
	others = c.responsive(slices.Clone(others))
	if r.schedulerRequest(nil).SharedReadRatio() > minSharedReadRatio {
		k.Caller = ""
		return preferredRegion(r.sharedPrefix(), regionLoad{}, weighted(o, k, others))
	}
	return drawRegion(weighted(o, k, others), c.random())
}

// fullLast returns the regions with those last that the assignment fills while others have room.
func fullLast(o *assigner.Output, regions []regionLoad) []regionLoad {
	var full, free []regionLoad
	for _, x := range regions {
		if o.Full(x.region) {
			full = append(full, x)
		} else {
			free = append(free, x)
		}
	}
	return append(free, full...)
}
