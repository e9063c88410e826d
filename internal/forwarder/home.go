package forwarder

import (
	"cmp"
	"slices"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// homes returns the regions that may serve a request: those that both its route and its
// customer allow. Nil means any region, an empty list none.
func homes(route *schema.Route, customer *schema.Customer) []string {
	a, b := route.Regions, customer.GetRegions()
	switch {
	case len(a) == 0 && len(b) == 0:
		return nil
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	both := []string{}
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	return both
}

// allows reports whether a region may serve the request.
func (r *Request) allows(region string) bool {
	return r.regions == nil || slices.Contains(r.regions, region)
}

// regionLoad is the load of a pool in one region.
type regionLoad struct {
	region string
	// load is the number of running and waiting requests per slot, slots the number of slots.
	load, slots float64
}

// otherRegions returns the other regions that may serve a request, the least loaded first.
func (f *Forwarder) otherRegions(r *Request) []regionLoad {
	var all []regionLoad
	for _, d := range f.digests() {
		if d.Region == f.Region || !r.allows(d.Region) || r.resumeRegions != nil && !slices.Contains(r.resumeRegions, d.Region) {
			continue
		}
		for _, p := range d.Routes {
			if p.Name == r.pool && p.Slots > 0 {
				all = append(all, regionLoad{d.Region, (float64(p.Running) + float64(p.Waiting)) / float64(p.Slots), float64(p.Slots)})
			}
		}
	}
	if r.lastResort {
		// Load reports leave out upstreams that are leaving.
		for _, region := range r.resumeRegions {
			known := slices.ContainsFunc(all, func(x regionLoad) bool { return x.region == region })
			if region != f.Region && r.allows(region) && !known {
				all = append(all, regionLoad{region: region})
			}
		}
	}
	slices.SortFunc(all, func(a, b regionLoad) int { return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.region, b.region)) })
	return all
}
