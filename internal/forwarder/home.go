package forwarder

import (
	"cmp"
	"errors"
	"net/http"
	"slices"
	"sync"

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

// NameHomes returns the regions whose hosts callers may be sent to for a host name: those in which nearly all of
// its requests on routes with homes may be served, by their number at this host; while that is not known, those
// in which every route may. Nil means any region. It returns false if no configuration is in force yet.
func (f *Forwarder) NameHomes(name string) ([]string, bool) {
	x := f.index.Load()
	if x == nil || x.snapshot.DocumentNumber() == 0 {
		return nil, false
	}
	common := x.homes[name]
	if common == nil {
		return nil, true
	}
	if used := f.usage.homes(x.routes[name]); used != nil {
		return used, true
	}
	return common, true
}

const (
	// Fraction of the requests on routes with homes that must be at home in a region for callers to be sent
	// there. The hosts there pass the others on or refuse them.
	minHomeFraction = 0.97
	// Number of requests from which the fraction is known.
	minHomeRequests = 30
	// Number of counted requests above which all counts are halved, so that older ones weigh less.
	maxCountedRequests = 4096
)

// routeUsage counts callers' requests by route.
type routeUsage struct {
	mu     sync.Mutex
	counts map[string]float64 // by name of the route; guarded by mu
	total  float64            // guarded by mu
}

func (u *routeUsage) record(route string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil {
		u.counts = map[string]float64{}
	}
	u.counts[route]++
	u.total++
	if u.total <= maxCountedRequests {
		return
	}
	u.total = 0
	for name, n := range u.counts {
		if n /= 2; n < 0.5 {
			delete(u.counts, name)
			continue
		}
		u.counts[name] = n
		u.total += n
	}
}

// homes returns the regions in which minHomeFraction of the requests on those of the routes that have homes may
// be served; nil if there were too few.
func (u *routeUsage) homes(routes []*schema.Route) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	total, atHome := 0.0, map[string]float64{}
	for _, r := range routes {
		n := u.counts[r.Name]
		if len(r.Regions) == 0 || n == 0 {
			continue
		}
		total += n
		for _, region := range r.Regions {
			atHome[region] += n
		}
	}
	if total < minHomeRequests {
		return nil
	}
	regions := []string{}
	for region, n := range atHome {
		if n >= minHomeFraction*total {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return regions
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
// empty if there is none. A request that no slot was forecast for here is not passed to full regions, unless
// it was refused before.
func (f *Forwarder) nextRegion(r *Request, asked map[string]bool) string {
	return f.chooseNext(r, asked, f.chooser())
}

// chooseNext is nextRegion with a chooser.
func (f *Forwarder) chooseNext(r *Request, asked map[string]bool, c regionChooser) string {
	others := f.otherRegions(r)
	if o := f.assignment(r.pool); o != nil && !r.relayed {
		if len(asked) == 0 && !r.allows(f.Region) {
			if region := f.assignedHome(o, r, others, c); region != "" {
				return region
			}
		}
		others = fullLast(o, others)
	}
	for _, x := range others {
		if full := r.refusedHere && !r.claim.Returned && x.load >= fullRegionLoad && f.queuesByCustomer(); !asked[x.region] && !full {
			return x.region
		}
	}
	return ""
}

// otherRegions returns the other regions that may serve a request, the least loaded first.
func (f *Forwarder) otherRegions(r *Request) []regionLoad {
	var all []regionLoad
	for _, d := range f.digests() {
		if d.Region == f.Region || !r.allows(d.Region) || !f.isServed(d.Region) || r.resumeRegions != nil && !slices.Contains(r.resumeRegions, d.Region) {
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
