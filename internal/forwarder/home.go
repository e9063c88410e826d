package forwarder

import (
	"cmp"
	"errors"
	"net/http"
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

// errNotHome means that a region may not serve a request by the newest configuration.
var errNotHome = errors.New("forwarder: the region is not a home of the request")

// checkHome returns an error unless a region may serve the request by the newest configuration. It must be called
// just before the request is sent to an upstream of this region or relayed to another one, as the configuration
// that the request was identified by may have been replaced while it waited or was tried elsewhere.
func (f *Forwarder) checkHome(r *Request, region string) error {
	if err := f.rebind(r); err != nil {
		return err
	}
	if !r.allows(region) {
		return errors.Join(errNotHome, refuse(http.StatusServiceUnavailable, causeNoHome, unavailableRetryDelay))
	}
	return nil
}

// rebind finds the homes of a request again if the configuration was replaced. It returns a refusal if the newest
// one does not let the request run for its customer any more. The pool, priority and times of the request stay.
func (f *Forwarder) rebind(r *Request) error {
	x := f.index.Load()
	if x == r.index {
		return nil
	}
	route := x.route(r.Host, r.Path)
	customer := r.customer
	switch {
	case customer == nil:
	case r.relayed:
		customer = x.snapshot.Customer(customer.Name)
	default:
		customer = x.customer(r.keyHash)
	}
	switch {
	case !r.relayed && route == nil:
		return f.refuseUnlessStale(refuse(http.StatusNotFound, causeNoRoute, 0))
	case !r.relayed && r.customer != nil && customer == nil && x.needsKey(route):
		return f.refuseUnlessStale(refuse(http.StatusUnauthorized, causeNoKey, 0))
	case route == nil, customer.GetName() != r.Customer(), customer == nil && x.needsKey(route):
		// The host that the caller or the relaying host asks next identifies it anew.
		return refuse(http.StatusServiceUnavailable, causeStale, staleRetryDelay)
	}
	r.bind(x, homes(route, customer))
	return nil
}

// bind sets the regions that may serve a request, and the configuration that says so.
func (r *Request) bind(x *index, regions []string) {
	r.index, r.configVersion, r.regions = x, x.snapshot.Version, regions
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

// nextRegion returns the least loaded one of the other regions that may serve a request and were not asked;
// empty if there is none.
func (f *Forwarder) nextRegion(r *Request, asked map[string]bool) string {
	for _, x := range f.otherRegions(r) {
		if !asked[x.region] {
			return x.region
		}
	}
	return ""
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
