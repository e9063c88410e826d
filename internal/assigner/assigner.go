package assigner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// Utilization up to which work stays where it is without an assignment: every region has room. Demand that rises
	// to all of the capacity within two seconds rises by 0.25 of it while a digest gets 0.5 s old, which leads to
	// fullUtilization.
	keepUtilization = 0.6
	// Utilization from which a region is full. Above it the time to the first token exceeds the objectives of
	// interactive requests, so other work leaves it while another region is below.
	fullUtilization = 0.85
	// DefaultCost is the difference in utilization that is worth the way to another region and back: 160 ms
	// of objectives of 800 ms and more.
	DefaultCost = 0.15
	// Bounds of what is used of an input. There are 9 regions at the target size.
	maxRegions, maxSets = 32, 16
	// Largest demand and capacity, in engine seconds a second, that are taken for a figure: some hundred
	// times the target size.
	maxWork = 1e6
	// Time constant with which weights follow what is computed, and the largest change of a weight in a
	// second: demand moves between its extremes in two seconds, and digests are up to 0.5 s old.
	smoothing = 400 * time.Millisecond
	maxChange = 1.0
	// Time constant with which weights return to those of the choice without an assignment while nothing is
	// lost by it: demand that swings around a threshold would move prefixes with each swing.
	returnSmoothing = 3 * time.Second
	// Weights below this are 0.
	minWeight = 0.005
	// Difference of a weight up to which it counts as that of the choice without an assignment.
	sameWeight = 0.02
	// Sweeps over the sets of one kind. Each lowers the sum of squares of the utilization, the second one by
	// little.
	sweeps = 3
	// Bisections of a level, which are exact to a part in 10^7 of the range.
	bisections = 24
	// Demand of a set for which none is known, as a fraction of capacity, so that it has weights too.
	traceDemand = 1e-6
)

// Region is the capacity of a pool in one region.
type Region struct {
	Name string
	// Capacity is the engine time that the region has, in engine seconds a second. Regions without capacity
	// get no work.
	Capacity float64
}

// Demand is the work that callers of one region ask for and that the same regions may serve.
type Demand struct {
	// Homes are the regions that may serve it; empty: all.
	Homes []string
	// Caller is the region of the hosts that the callers use.
	Caller string
	// Work is in engine seconds a second. Shared is the part of it whose prompts have a long shared prefix.
	Work, Shared float64
}

// Input is what Assign decides by.
type Input struct {
	Regions []Region
	Demands []Demand
	// Cost is the difference in utilization up to which work stays where it would be served without an
	// assignment.
	Cost float64
	// Earlier is the result of the last call for the pool, nil if there is none, and Elapsed the time since.
	Earlier *Output
	Elapsed time.Duration
}

// Key names work that is assigned alike. An empty Caller stands for work with a long shared prefix, of all callers.
type Key struct{ Homes, Caller string }

// Assignment is the division of the work of one Key among regions.
type Assignment struct {
	// Weights are the fractions that each region gets, in the order of Output.Regions. Their sum is 1.
	Weights []float64
	// Kept is set if the weights are those of the choice without an assignment: its callers' own region, or,
	// for shared prefixes, all regions by capacity.
	Kept bool
}

// Output is the result of Assign.
type Output struct {
	// Regions are the regions with capacity, sorted.
	Regions []string
	// Capacity and Utilization are those of Regions; the utilization is the one with the work as assigned,
	// before smoothing.
	Capacity, Utilization []float64
	// Assignments holds those of all sets of homes that have a region with capacity.
	Assignments map[Key]Assignment
}

// Full reports whether a region is full with the work as assigned, while another one is not. Work that has a
// choice should not go there.
func (o *Output) Full(region string) bool {
	i, known := slices.BinarySearch(o.Regions, region)
	if !known || o.Utilization[i] < fullUtilization-1e-3 {
		return false
	}
	return slices.Min(o.Utilization) < fullUtilization-1e-3
}

// Weight returns the fraction of the work of a Key that a region gets; 0 if the region has no capacity.
func (o *Output) Weight(k Key, region string) float64 {
	i, known := slices.BinarySearch(o.Regions, region)
	if a := o.Assignments[k]; known && len(a.Weights) > 0 {
		return a.Weights[i]
	}
	return 0
}

// batch is work of one set of homes that is divided among regions.
type batch struct {
	key     Key // without Caller
	allowed []bool
	shared  bool
	// base is the work that a region serves without an assignment, away the work of callers whose own region
	// may not serve it.
	base []float64
	away float64
	// served is the work that the region serves as assigned.
	served []float64
	// sent is the fraction of base that leaves a region, taken the fraction of what leaves that a region gets.
	sent, taken []float64
	size        int  // number of regions allowed
	asked       bool // there is demand for it
}

// Assign divides the demand among the regions. The result depends on the input only, not on the order of its lists.
func Assign(in Input) *Output {
	o := &Output{Assignments: map[Key]Assignment{}}
	regions := usableRegions(in.Regions)
	if len(regions) == 0 {
		return o
	}
	load := make([]float64, len(regions))
	for _, r := range regions {
		o.Regions = append(o.Regions, r.Name)
		o.Capacity = append(o.Capacity, r.Capacity)
	}
	batches := makeBatches(o, in.Demands)
	cost := clamp(in.Cost, 0, 1)
	// Sets that exclude a region come first: they are divided without regard to the others.
	bound := slices.IndexFunc(batches, func(b *batch) bool { return b.size == len(regions) })
	for _, part := range [][]*batch{batches[:bound], batches[bound:]} {
		for n := range sweeps {
			for _, b := range part {
				if b.asked || n == sweeps-1 { // without demand it does not change the load
					b.divide(load, o.Capacity, cost)
				}
			}
		}
	}
	for i := range regions {
		o.Utilization = append(o.Utilization, load[i]/o.Capacity[i])
	}
	for _, b := range batches {
		b.record(o, in)
	}
	return o
}

// usableRegions returns the regions with capacity, sorted by name, at most maxRegions.
func usableRegions(all []Region) []Region {
	var usable []Region
	for _, r := range all {
		if r.Capacity = clamp(r.Capacity, 0, maxWork); r.Capacity > 0 {
			usable = append(usable, r)
		}
	}
	slices.SortFunc(usable, func(a, b Region) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(b.Capacity, a.Capacity))
	})
	usable = slices.CompactFunc(usable, func(a, b Region) bool { return a.Name == b.Name })
	return usable[:min(len(usable), maxRegions)]
}

// clamp returns x within bounds; low if it is no number.
func clamp(x, low, high float64) float64 {
	if x != x {
		return low
	}
	return min(high, max(low, x))
}

// makeBatches returns the work of each set of homes, the most constrained first. The set of all regions is always
// among them.
func makeBatches(o *Output, demands []Demand) []*batch {
	n := len(o.Regions)
	pairs := map[string][2]*batch{}
	find := func(homes []string, key string) [2]*batch {
		if p, known := pairs[key]; known || len(pairs) > maxSets {
			return p
		}
		var p [2]*batch
		for k := range p {
			p[k] = &batch{
				key: Key{Homes: key}, shared: k == 1, allowed: make([]bool, n), base: make([]float64, n),
				served: make([]float64, n), sent: make([]float64, n), taken: make([]float64, n),
			}
			for i, r := range o.Regions {
				if len(homes) == 0 || slices.Contains(homes, r) {
					p[k].allowed[i] = true
					p[k].size++
				}
			}
		}
		if p[0].size == 0 {
			p = [2]*batch{}
		}
		pairs[key] = p
		return p
	}
	find(nil, "")
	// Sorted, so that sums and what is beyond the bound do not depend on the order of reports.
	type keyedDemand struct {
		Demand
		key string
	}
	var sorted []keyedDemand
	for _, d := range demands {
		d.Work = clamp(d.Work, 0, maxWork)
		if d.Shared = clamp(d.Shared, 0, d.Work); d.Work > 0 {
			sorted = append(sorted, keyedDemand{d, HomesKey(d.Homes)})
		}
	}
	slices.SortFunc(sorted, func(a, b keyedDemand) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.key, b.key), cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Shared, b.Shared))
	})
	for _, d := range sorted {
		p := find(d.Homes, d.key)
		if p[0] == nil {
			continue
		}
		own := d.Work - d.Shared
		p[1].away += d.Shared // divided by prepare
		p[0].asked, p[1].asked = p[0].asked || own > 0, p[1].asked || d.Shared > 0
		if i, known := slices.BinarySearch(o.Regions, d.Caller); known && p[0].allowed[i] {
			p[0].base[i] += own
		} else {
			p[0].away += own
		}
	}
	var all []*batch
	for _, p := range pairs {
		if p[0] != nil {
			p[0].prepare(o.Capacity)
			p[1].prepare(o.Capacity)
			all = append(all, p[0], p[1])
		}
	}
	slices.SortFunc(all, func(a, b *batch) int {
		return cmp.Or(cmp.Compare(a.size, b.size), cmp.Compare(a.key.Homes, b.key.Homes), cmp.Compare(order(a.shared), order(b.shared)))
	})
	return all
}

func order(shared bool) int {
	if shared {
		return 1
	}
	return 0
}

// prepare completes base: work with shared prefixes is divided by capacity, and each region has a trace of demand.
func (b *batch) prepare(capacity []float64) {
	total := 0.0
	for i, c := range capacity {
		if b.allowed[i] {
			total += c
		}
	}
	for i, c := range capacity {
		if !b.allowed[i] {
			continue
		}
		if b.shared {
			b.base[i] = b.away * c / total
		}
		b.base[i] = max(b.base[i], traceDemand*c)
	}
	if b.shared {
		b.away = 0
	}
}

// divide replaces the division of a batch, given the load of the regions, which it updates. All regions that are
// left by work have one utilization afterwards, and all that get it have one, lower by the cost. Neither is left
// below keepUtilization, nor are full regions spared while another one is not full.
func (b *batch) divide(load, capacity []float64, cost float64) {
	low, high, total := math.Inf(1), 0.0, b.away
	for i := range load {
		if load[i] -= b.served[i]; b.allowed[i] {
			u := (load[i] + b.base[i]) / capacity[i]
			low, high = min(low, u), max(high, u)
			total += b.base[i]
		}
	}
	smallest := math.Inf(1)
	for i, c := range capacity {
		if b.allowed[i] {
			smallest = min(smallest, c)
		}
	}
	high += total / smallest
	for range bisections {
		middle := (low + high) / 2
		received, sent := b.moved(load, capacity, middle, cost)
		if received < sent+b.away {
			low = middle
		} else {
			high = middle
		}
	}
	received, sent := b.moved(load, capacity, high, cost)
	// The levels are exact to a small remainder, so what moves is scaled to what leaves.
	scale := 0.0
	if received > 0 {
		scale = (sent + b.away) / received
	}
	leave := leaveLevel(high, cost)
	best := b.roomiest(load, capacity)
	for i := range load {
		b.served[i], b.sent[i], b.taken[i] = 0, 0, 0
		if !b.allowed[i] {
			continue
		}
		out := b.outflow(i, load, capacity, leave)
		in := max(0, high*capacity[i]-load[i]-b.base[i]) * scale
		if received <= 0 {
			out = 0
			if in = 0; i == best {
				in = b.away
			}
		}
		b.sent[i] = out / b.base[i]
		b.taken[i] = in
		b.served[i] = b.base[i] - out + in
		load[i] += b.served[i]
	}
	gone := 0.0
	for _, in := range b.taken {
		gone += in
	}
	for i := range b.taken {
		switch {
		case gone > 0:
			b.taken[i] /= gone
		case i == best:
			b.taken[i] = 1
		}
	}
}

// roomiest returns the index of the least utilized region that may serve the batch.
func (b *batch) roomiest(load, capacity []float64) int {
	best := -1
	for i := range load {
		if b.allowed[i] && (best < 0 || (load[i]+b.base[i])/capacity[i] < (load[best]+b.base[best])/capacity[best]) {
			best = i
		}
	}
	return best
}

// moved returns the work that regions get up to a level of utilization, and the work that leaves regions at the
// level that belongs to it.
func (b *batch) moved(load, capacity []float64, level, cost float64) (received, sent float64) {
	leave := leaveLevel(level, cost)
	for i := range load {
		if b.allowed[i] {
			received += max(0, level*capacity[i]-load[i]-b.base[i])
			sent += b.outflow(i, load, capacity, leave)
		}
	}
	return received, sent
}

func (b *batch) outflow(i int, load, capacity []float64, leave float64) float64 {
	return min(b.base[i], max(0, load[i]+b.base[i]-leave*capacity[i]))
}

// leaveLevel returns the utilization above which work leaves a region, if others can take it up to level.
func leaveLevel(level, cost float64) float64 {
	if level >= fullUtilization {
		return level
	}
	return max(keepUtilization, level, min(level+cost, fullUtilization))
}

// record adds the batch's weights to the output, smoothed.
func (b *batch) record(o *Output, in Input) {
	n := len(o.Regions)
	if b.shared {
		base, weights, total := make([]float64, n), make([]float64, n), 0.0
		for i := range weights {
			total += b.base[i]
		}
		for i := range weights {
			base[i], weights[i] = b.base[i]/total, b.served[i]/total
		}
		o.add(b.key, total, base, weights, in)
		return
	}
	all := make([]float64, 2*n*n)
	for i, caller := range o.Regions {
		base, weights := all[:n:n], all[n:2*n:2*n]
		all = all[2*n:]
		if b.allowed[i] {
			base[i], weights[i] = 1, 1-b.sent[i]
			for j := range weights {
				weights[j] += b.sent[i] * b.taken[j]
			}
		} else {
			copy(weights, b.taken)
		}
		o.add(Key{b.key.Homes, caller}, b.base[i], base, weights, in)
	}
}

// add stores the weights of some work after smoothing them. base are those without an assignment.
func (o *Output) add(k Key, work float64, base, weights []float64, in Input) {
	if earlier := o.earlierWeights(k, in.Earlier); earlier != nil {
		constant := smoothing
		if distance(weights, base) < distance(earlier, base) && o.mayHold(work, earlier, weights, in.Cost) {
			constant = returnSmoothing
		}
		follow(earlier, weights, in.Elapsed, constant)
		weights = earlier
	}
	round(weights)
	kept := true
	for i, w := range weights {
		kept = kept && math.Abs(w-base[i]) <= sameWeight
	}
	o.Assignments[k] = Assignment{Weights: weights, Kept: kept}
}

// mayHold reports whether some work may stay with the weights that it has in place of new ones: no region that has
// more of it thereby is more utilized than another one by more than the cost.
func (o *Output) mayHold(work float64, weights, target []float64, cost float64) bool {
	lowest, highest := math.Inf(1), 0.0
	for i, u := range o.Utilization {
		u += work * (weights[i] - target[i]) / o.Capacity[i]
		lowest = min(lowest, u)
		if weights[i] > target[i] {
			highest = max(highest, u)
		}
	}
	return highest <= max(keepUtilization, min(lowest+cost, fullUtilization))
}

func distance(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += math.Abs(a[i] - b[i])
	}
	return sum
}

// earlierWeights returns the earlier weights of a Key for the regions, nil if there are none or if they were for
// other regions only.
func (o *Output) earlierWeights(k Key, earlier *Output) []float64 {
	if earlier == nil {
		return nil
	}
	known := earlier.Assignments[k].Weights
	if len(known) == 0 {
		return nil
	}
	weights, total := make([]float64, len(o.Regions)), 0.0
	for i, j := 0, 0; i < len(o.Regions) && j < len(known); { // both are sorted by region
		switch c := cmp.Compare(o.Regions[i], earlier.Regions[j]); {
		case c < 0:
			i++
		case c > 0:
			j++
		default:
			weights[i] = known[j]
			total += known[j]
			i, j = i+1, j+1
		}
	}
	if total < minWeight {
		return nil
	}
	for i := range weights {
		weights[i] /= total
	}
	return weights
}

// follow moves weights towards target with a time constant, by a bounded step. The sum of the weights stays.
func follow(weights, target []float64, elapsed, constant time.Duration) {
	fraction := 1 - math.Exp(-clamp(elapsed.Seconds()/constant.Seconds(), 0, 100))
	largest := 0.0
	for i := range weights {
		largest = max(largest, math.Abs(target[i]-weights[i])*fraction)
	}
	if bound := maxChange * max(0, elapsed.Seconds()); largest > bound {
		fraction *= bound / largest
	}
	for i := range weights {
		weights[i] += (target[i] - weights[i]) * fraction
	}
}

// round sets small weights to 0, so that a region that should get nothing gets nothing.
func round(weights []float64) {
	total := 0.0
	for i, w := range weights {
		if w < minWeight {
			weights[i] = 0
		}
		total += weights[i]
	}
	for i := range weights {
		weights[i] /= total
	}
}
