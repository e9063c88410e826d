package forwarder

import (
	"cmp"
	"slices"
	"strings"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// index is a configuration made ready for looking up. It is immutable.
type index struct {
	snapshot *configurer.Snapshot
	routes   map[string][]*schema.Route // by host, longest prefix first
	// keyed says that the configuration has customers, so that requests need keys.
	keyed bool
}

func newIndex(c *configurer.Snapshot) *index {
	x := &index{snapshot: c, routes: map[string][]*schema.Route{}}
	for _, p := range c.Paths("route") {
		if r := c.Item(p).GetRoute(); r.Host != "" {
			x.routes[r.Host] = append(x.routes[r.Host], r)
		}
	}
	for _, list := range x.routes {
		slices.SortFunc(list, func(a, b *schema.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	x.keyed = len(c.Paths("customer")) > 0
	return x
}

// route returns the route with the longest prefix of a path, or nil.
func (x *index) route(host, path string) *schema.Route {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range x.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// customer returns whose key a hash is, or nil.
func (x *index) customer(hash string) *schema.Customer {
	k := x.snapshot.Key(hash)
	if k == nil || k.Withdrawn {
		return nil
	}
	return x.snapshot.Customer(k.Customer)
}

// pick returns the pool that serves a request of a route. Split routes divide by a number
// that is even in [0, 1).
func pick(r *schema.Route, even float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := even * sum
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Pool
		}
		at -= t.Weight
	}
	return ""
}
