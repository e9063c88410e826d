package forwarder

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Load of this region above which requests may be offloaded to others.
	minOffloadLoad = 0.45
	// A region with at least this load is not preferred for a shared prefix.
	maxPrefixLoad = 0.85
	// Requests go to the region that is preferred for their shared prefix if the engine time for
	// reading the prefix, divided by that for the rest of the request, is above this ratio.
	minSharedReadRatio = 0.1
	// Minimum difference in load to the region that is offloaded to.
	offloadMargin = 0.15
	// Fraction of the difference in load that is offloaded; less than 1 as reported loads are old.
	offloadFraction = 0.8
	// Minimum latency objective of requests that are offloaded: the way to another region and
	// back takes time.
	minOffloadObjective = 400 * time.Millisecond
)

// regionChooser holds what changes state when a region is chosen.
type regionChooser struct {
	// random returns a number in [0, 1).
	random func() float64
	// responsive removes unresponsive regions from a list, which it may change.
	responsive func([]regionLoad) []regionLoad
}

// chooser returns the chooser for requests.
func (f *Forwarder) chooser() regionChooser {
	return regionChooser{random: f.random, responsive: f.responsiveRegions}
}

// offloadRegion returns the region to which a request is offloaded although this region may
// serve it; empty if it stays. Requests with a long shared prefix go to the region that has
// it in its caches, whichever region their callers use; others leave loaded regions only.
func (f *Forwarder) offloadRegion(r *Request) string { return f.chooseRegion(r, f.chooser()) }

// chooseRegion is offloadRegion with a chooser.
func (f *Forwarder) chooseRegion(r *Request, c regionChooser) string {
	if r.relayed || seconds(r.route.Objective) < minOffloadObjective {
		return ""
	}
	w := r.schedulerRequest(nil)
	utilization := f.Scheduler.PoolUtilization(w)
	here := regionLoad{f.Region, utilization.UsedFraction, float64(utilization.Slots)}
	others := c.responsive(f.otherRegions(r))
	if o := f.assignment(r.pool); o != nil {
		return assignedRegion(o, r, w.SharedReadRatio() > minSharedReadRatio, here, others, c.random)
	}
	if w.SharedReadRatio() > minSharedReadRatio {
		return preferredRegion(r.sharedPrefix(), here, others)
	}
	if here.load < minOffloadLoad {
		return ""
	}
	return pickOffloadRegion(here.load, others, c.random())
}

// preferredRegion returns the region that all hosts choose for a shared prefix, by a
// rendezvous hash that is weighted by slots. It is empty if that is this region, or if all
// regions are full.
func preferredRegion(prefix string, here regionLoad, others []regionLoad) string {
	best, bestScore := here.region, 0.0
	for _, x := range append([]regionLoad{here}, others...) {
		if x.load >= maxPrefixLoad {
			continue
		}
		uniform := (float64(xxhash.Sum64String(prefix+"/"+x.region)>>11) + 0.5) / (1 << 53)
		if score := -x.slots / math.Log(uniform); score > bestScore {
			best, bestScore = x.region, score
		}
	}
	if best == here.region {
		return ""
	}
	return best
}

// pickOffloadRegion picks one of the other regions in proportion to its headroom times its
// slots; empty if the request stays. Here is the load of this region. The larger the difference
// in load, the more requests are offloaded. Random is uniform in [0, 1).
func pickOffloadRegion(here float64, others []regionLoad, random float64) string {
	maxHeadroom, total := 0.0, 0.0
	for _, x := range others {
		maxHeadroom = max(maxHeadroom, x.headroom(here))
		total += x.headroom(here) * x.slots
	}
	if random >= maxHeadroom*offloadFraction {
		return ""
	}
	remaining := random / (maxHeadroom * offloadFraction) * total
	for _, x := range others {
		remaining -= x.headroom(here) * x.slots
		if remaining < 0 {
			return x.region
		}
	}
	return ""
}

// headroom returns how much lower the region's load is than here, less offloadMargin.
func (x regionLoad) headroom(here float64) float64 { return max(0, here-x.load-offloadMargin) }
