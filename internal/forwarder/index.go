package forwarder

import (
	"cmp"
	"slices"
	"strings"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// index is a configuration prepared for lookups of routes and customers. It is immutable.
type index struct {
	snapshot *configurer.Snapshot
	routes   map[string][]*schema.Route // by host, longest prefix first
	homes    map[string][]string        // by host: the regions that all its routes may be served in; nil: any
	// requiresKey is true if the configuration has customers: requests on routes that are not
	// open then need an API key.
	requiresKey bool
}

func newIndex(c *configurer.Snapshot) *index {
	x := &index{snapshot: c, routes: map[string][]*schema.Route{}, homes: map[string][]string{}}
	for _, p := range c.Paths("route") {
		if r := c.Item(p).GetRoute(); r.Host != "" {
			x.routes[r.Host] = append(x.routes[r.Host], r)
			x.homes[r.Host] = commonRegions(x.homes[r.Host], r.Regions)
		}
	}
	for _, list := range x.routes {
		slices.SortFunc(list, func(a, b *schema.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	x.requiresKey = len(c.Paths("customer")) > 0
	return x
}

// route returns the route of host with the longest prefix that path begins with; nil if none.
func (x *index) route(host, path string) *schema.Route {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range x.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// needsKey reports whether requests on a route need an API key.
func (x *index) needsKey(route *schema.Route) bool { return x.requiresKey && !route.Open }

// customer returns the customer of the key with this hash; nil if there is no such key or it
// is withdrawn.
func (x *index) customer(hash string) *schema.Customer {
	k := x.snapshot.Key(hash)
	if k == nil || k.Withdrawn {
		return nil
	}
	return x.snapshot.Customer(k.Customer)
}

// pickPool picks the pool that serves a request, in proportion to the weights of the route's
// targets. Uniform is a random number in [0, 1). The pool is empty if no target has a weight.
func pickPool(r *schema.Route, uniform float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := uniform * sum
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Pool
		}
		at -= t.Weight
	}
	return ""
}
