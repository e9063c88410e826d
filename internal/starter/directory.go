package starter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// MaxListedHosts is the maximum number of hosts that a caller is given.
	MaxListedHosts = 64
	// Fraction of the average number of ready hosts in a region's failure domains below which
	// a domain's callers are also sent to the other domains.
	minDomainFraction = 0.75
)

// listHosts returns the hosts that callers of a failure domain should use, at most MaxListedHosts of
// those given, which are the ready hosts of a region. If there are more, these are the hosts of the
// callers' own domain: every host is listed for some callers, all callers of a domain keep the same
// list while its hosts stay, and load is as even as the callers are. self is the name of the host
// that answers; it only matters for domains with more than MaxListedHosts hosts.
func listHosts(hosts []*schema.Peer, domain, self string) []*schema.Peer {
	if len(hosts) <= MaxListedHosts {
		return hosts
	}
	domains := map[string][]*schema.Peer{}
	for _, p := range hosts {
		domains[p.Domain] = append(domains[p.Domain], p)
	}
	own := domains[domain]
	if float64(len(own)) < minDomainFraction*float64(len(hosts))/float64(len(domains)) {
		own = hosts
	}
	if len(own) <= MaxListedHosts {
		return own
	}
	weight := func(p *schema.Peer) uint64 { return xxhash.Sum64String(self + "/" + p.Name) }
	own = slices.SortedFunc(slices.Values(own), func(a, b *schema.Peer) int { return cmp.Compare(weight(a), weight(b)) })
	return own[:MaxListedHosts]
}
