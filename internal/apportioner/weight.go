package apportioner

import (
	"math"
	"slices"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Bounds of a host's weight relative to the median of the hosts. The lower one keeps new connections and relays
	// coming to each host that is ready; the upper one bounds what a wrong figure draws to one host.
	minWeight, maxWeight = 0.25, 4.0
	// Bounds of the figures of a capacity, in cores and Mbit/s, beyond which they are taken for errors.
	minFigure, maxFigure = 1e-4, 1e6
)

// Usable reports whether both figures of a capacity may be right.
func Usable(c *schema.Capacity) bool { return UnusableField(c) == "" }

// UnusableField returns the first field of a capacity that cannot be right, "capacity" if there is none.
func UnusableField(c *schema.Capacity) string {
	switch {
	case c == nil:
		return "capacity"
	case !(c.Cores >= minFigure && c.Cores <= maxFigure): // NaN is in no range
		return "cores"
	case !(c.Link >= minFigure && c.Link <= maxFigure):
		return "link"
	}
	return ""
}

// Weights returns how much each host can carry relative to the median of the hosts: the smaller of its ratios of
// processors and bandwidth, since a request needs both. Hosts without a usable capacity count as average.
func Weights(hosts []*schema.Peer) []float64 {
	var cores, links []float64
	for _, p := range hosts {
		if c := p.Capacity; Usable(c) {
			cores, links = append(cores, c.Cores), append(links, c.Link)
		}
	}
	weights := make([]float64, len(hosts))
	if len(cores) == 0 {
		for i := range weights {
			weights[i] = 1
		}
		return weights
	}
	slices.Sort(cores)
	slices.Sort(links)
	middle := len(cores) / 2
	sum := 0.0
	for i, p := range hosts {
		if c := p.Capacity; Usable(c) {
			weights[i] = math.Min(maxWeight, math.Max(minWeight, math.Min(c.Cores/cores[middle], c.Link/links[middle])))
			sum += weights[i]
		}
	}
	for i := range weights {
		if weights[i] == 0 {
			weights[i] = sum / float64(len(cores))
		}
	}
	return weights
}

// inclusions returns the probabilities, in proportion to weights but at most 1, with which hosts are drawn so that n of
// them are expected.
func inclusions(weights []float64, n float64) []float64 {
	out := make([]float64, len(weights))
	if float64(len(weights)) <= n {
		for i := range out {
			out[i] = 1
		}
		return out
	}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	sorted := slices.Sorted(slices.Values(weights))
	scale := n / sum
	// The largest weights that would exceed 1 get 1; the rest share what is left of n.
	for i := len(sorted) - 1; i >= 0 && sorted[i]*scale > 1; i-- {
		sum -= sorted[i]
		n--
		if n <= 0 || sum <= 0 {
			break
		}
		scale = n / sum
	}
	for i, w := range weights {
		out[i] = math.Min(1, w*scale)
	}
	return out
}
