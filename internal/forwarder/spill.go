package forwarder

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Load of this region above which others may take a part of its streams.
	spillLoad = 0.45
	// Load above which a region is not sent requests for the sake of what it caches.
	fullLoad = 0.85
	// Engine time that reading shared parts takes, as a part of what the request takes
	// besides, above which requests about one subject are kept together in one region.
	subjectShared = 0.1
	// How much less another region must be loaded.
	spillMargin = 0.15
	// Part of the difference that is passed on: load figures are old.
	spillPart = 0.8
	// Time that the way to another region and back takes, as the objective at least.
	spillObjective = 400 * time.Millisecond
)

// elsewhere returns the region to which a stream goes although this one may serve it;
// empty: it stays. Long shared prompts go where their subject is cached, whichever region
// their callers come from; others leave regions that are loaded.
func (f *Forwarder) elsewhere(r *Request) string {
	if r.relayed || !r.stream() || seconds(r.route.Objective) < spillObjective {
		return ""
	}
	w := r.work(nil)
	look := f.Scheduler.Look(w)
	here := remote{f.Region, look.Load, float64(look.Slots)}
	others := f.heard(f.remotes(r))
	if w.SharedPart() > subjectShared {
		return subjectRegion(r.shared(), here, others)
	}
	if here.load < spillLoad {
		return ""
	}
	return spillTo(here.load, others, rand.Float64())
}

// subjectRegion returns the region at which all hosts agree that a subject should be
// cached, regions by their slots; empty: it is this one, or all are full.
func subjectRegion(subject string, here remote, others []remote) string {
	best, most := here.region, 0.0
	for _, x := range append([]remote{here}, others...) {
		if x.load >= fullLoad {
			continue
		}
		even := (float64(xxhash.Sum64String(subject+"/"+x.region)>>11) + 0.5) / (1 << 53)
		if score := -x.slots / math.Log(even); score > most {
			best, most = x.region, score
		}
	}
	if best == here.region {
		return ""
	}
	return best
}

// spillTo chooses among other regions by the room that each has more than this one. The
// more the loads differ, the more requests go. Random is in [0, 1).
func spillTo(here float64, others []remote, random float64) string {
	most, total := 0.0, 0.0
	for _, x := range others {
		most = max(most, x.gain(here))
		total += x.gain(here) * x.slots
	}
	if random >= most*spillPart {
		return ""
	}
	left := random / (most * spillPart) * total
	for _, x := range others {
		left -= x.gain(here) * x.slots
		if left < 0 {
			return x.region
		}
	}
	return ""
}

// gain is how much less loaded the region is, beyond the margin.
func (x remote) gain(here float64) float64 { return max(0, here-x.load-spillMargin) }
