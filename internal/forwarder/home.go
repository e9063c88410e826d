package forwarder

import (
	"cmp"
	"slices"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// homes returns the regions that may serve a request: those that both its route and its
// customer allow. Nil means any region, an empty list none.
func homes(route *schema.Route, customer *schema.Customer) []string {
	return commonRegions(commonRegions(nil, route.Regions), customer.GetRegions())
}

// commonRegions returns the regions of a that more allows: all if more is empty. A nil a stands for every
// region, an empty one for none.
func commonRegions(a, more []string) []string {
	switch {
	case len(more) == 0:
		return a
	case a == nil:
		return more
	}
	both := []string{}
	for _, region := range a {
		if slices.Contains(more, region) {
			both = append(both, region)
		}
	}
	return both
}

// NameHomes returns the regions in which every route of a host name may be served, nil for any. It returns
// false if no configuration is in force yet.
func (f *Forwarder) NameHomes(name string) ([]string, bool) {
	x := f.index.Load()
	if x == nil || x.snapshot.DocumentNumber() == 0 {
		return nil, false
	}
	return x.homes[name], true
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
