package apportioner

import (
	"cmp"
	"math"
	"slices"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Quantile of the weights from which on a host is in each list. The largest weight would shorten all lists if one
	// host is much larger than the others, and change them when that one restarts.
	fullWeightQuantile = 0.9
	// Least number of hosts of a list, as far as there are as many: callers keep a list for up to 15 s, in which a
	// failure domain and hosts of others may fail.
	minListed = 6
	// Least fraction of the hosts that a list holds if it is not limited otherwise.
	minListedFraction = 0.5
	// Part of the largest length of a list that is drawn on average. The length varies by some square root of it.
	listFillFraction = 0.875
)

// ListQuery identifies the list that callers get.
type ListQuery struct {
	// Region and Domain are those of the callers, Self is the name of the host that answers.
	Region, Domain, Self string
	// Max is the largest number of hosts of a list.
	Max int
}

// List returns the hosts of a list, in the order of hosts, which must not be empty. Each host has a place on a circle, by
// its name, and each list an offset: a list holds the hosts whose places lie within a distance from the offset that is
// proportional to their weights. The offsets of all failure domains and answering hosts are spread evenly, so that
// over all of them each host is listed in proportion to its weight. Lists of one domain differ by a part of the circle
// that is as small as there are many domains: few entries depend on the host that answers.
func List(hosts []*schema.Peer, q ListQuery) []*schema.Peer {
	type candidate struct {
		at   int
		rank float64 // below 1 if it is drawn
	}
	included := listed(Weights(hosts), q.Max)
	offset := q.offset(hosts)
	all := make([]candidate, len(hosts))
	drawn := 0
	for i, p := range hosts {
		_, place := math.Modf(unit(p.Name) + offset)
		if all[i] = (candidate{i, place / included[i]}); all[i].rank < 1 {
			drawn++
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(hosts[a.at].Name, hosts[b.at].Name))
	})
	n := min(len(hosts), q.Max, max(drawn, minListed))
	chosen, rest := all[:n], all[n:]
	domain := hosts[chosen[0].at].Domain
	differs := func(c candidate) bool { return hosts[c.at].Domain != domain }
	if n > 1 && !slices.ContainsFunc(chosen, differs) {
		if i := slices.IndexFunc(rest, differs); i >= 0 {
			chosen[n-1] = rest[i]
		}
	}
	slices.SortFunc(chosen, func(a, b candidate) int { return cmp.Compare(a.at, b.at) })
	out := make([]*schema.Peer, n)
	for i, c := range chosen {
		out[i] = hosts[c.at]
	}
	return out
}

// listed returns the fractions of the lists that hold the hosts.
func listed(weights []float64, maxListed int) []float64 {
	sorted := slices.Sorted(slices.Values(weights))
	full := sorted[int(fullWeightQuantile*float64(len(sorted)-1))]
	n := 0.0
	for _, w := range weights {
		n += math.Min(1, w/full)
	}
	count := float64(len(weights))
	n = math.Max(n, math.Max(minListed, minListedFraction*count))
	if count > float64(maxListed) || n > float64(maxListed) {
		n = math.Min(n, listFillFraction*float64(maxListed))
	}
	return inclusions(weights, n)
}

// offset returns the offset of a list on the circle, in [0, 1): each failure domain has a sector, and the hosts that
// answer divide it evenly in an order that does not depend on their domains. If a host leaves, offsets move by one
// host's part at most.
func (q ListQuery) offset(hosts []*schema.Peer) float64 {
	var domains []string
	for _, p := range hosts {
		if !slices.Contains(domains, p.Domain) {
			domains = append(domains, p.Domain)
		}
	}
	slices.Sort(domains)
	sector := unit("domain/" + q.Domain) // of a domain without hosts
	if k, known := slices.BinarySearch(domains, q.Domain); known {
		sector = float64(k) / float64(len(domains))
	}
	part := float64(rankOf(q.Self, hosts)) / float64(len(hosts)+1) / float64(len(domains))
	_, offset := math.Modf(unit("region/"+q.Region) + sector + part)
	return offset
}

// rankOf returns the rank of a host among others, from 0, in an order that depends on nothing but their names, and on
// these by a hash: hosts of one failure domain have similar names.
func rankOf(self string, hosts []*schema.Peer) int {
	rank, own := 0, unit("rank/"+self)
	for _, p := range hosts {
		if unit("rank/"+p.Name) < own {
			rank++
		}
	}
	return rank
}
