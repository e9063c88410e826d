package apportioner

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// RelayHosts returns the hosts of a region that a host relays to, at most n, in the order in which to try them for one
// request: the first one is drawn so that each host gets relays in proportion to its weight. The set depends on the
// names and weights only. random returns a number in [0, 1).
func RelayHosts(self string, hosts []*schema.Peer, n int, random func() float64) []*schema.Peer {
	type candidate struct {
		host        *schema.Peer
		rank, order float64
	}
	weights := Weights(hosts)
	included := inclusions(weights, float64(n))
	all := make([]candidate, len(hosts))
	for i, p := range hosts {
		// Hosts that are drawn with certainty make up for it by their weight; for the others it is the same.
		all[i] = candidate{p, unit(self+"/"+p.Name) / included[i], -math.Log(1-random()) * included[i] / weights[i]}
		if included[i] == 1 {
			all[i].rank = -1
		}
	}
	if len(all) > n {
		slices.SortFunc(all, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.host.Name, b.host.Name))
		})
		all = all[:n]
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.order, b.order) })
	out := make([]*schema.Peer, len(all))
	for i := range all {
		out[i] = all[i].host
	}
	return out
}

// unit returns a number in [0, 1) that is fixed for s.
func unit(s string) float64 { return float64(xxhash.Sum64String(s)>>11) / (1 << 53) }
