package apportioner

import (
	"math"
	"slices"

	"github.com/trefoilloft/trefoilloft/internal/assigner"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// FloorRatio is the part of an equal fraction of the free slots that a host has whatever it is asked for. Demand
	// is known to the other hosts some 0.5 s after it rises, and smoothed over 1 s: until then the host sends by
	// this part, and by the slots that it has saved up.
	FloorRatio = 0.25
	// Part of the rest that follows demand; what remains follows requests in progress. Demand counts a request at
	// the host that its caller uses, so that only the requests in progress show what relays bring.
	demandRatio = 0.5
	// Demand of a region in engine seconds a second from which it is taken for an error: no region has so many
	// engines. assigner.AddDemands bounds absurd figures by it.
	maxDemand = 1e6
)

// Use is what the entry hosts of a region ask of a pool of engines there.
type Use struct {
	// Hosts is the number of hosts that share the engines.
	Hosts int
	// OwnDemand and AllDemand are the engine time that callers ask this host and all hosts for, in engine seconds a
	// second, as reported.
	OwnDemand, AllDemand float64
	// OwnRequests and AllRequests are the requests of this host and of all hosts that run or wait.
	OwnRequests, AllRequests int
}

// Fraction is a host's fraction of the free slots of each engine of a pool, and what it was computed from.
type Fraction struct {
	// Value is the fraction. Equal is an equal one.
	Value, Equal float64
	// Demand and Requests are this host's shares of the demand and of the requests in progress; -1: there is none.
	Demand, Requests float64
}

// Fraction returns the host's fraction. If all hosts have the same figures, their fractions sum to 1.
func (u Use) Fraction() Fraction {
	f := Fraction{Equal: 1 / float64(max(1, u.Hosts)), Demand: -1, Requests: -1}
	if u.AllDemand > 0 && u.AllDemand < maxDemand && u.OwnDemand >= 0 {
		f.Demand = math.Min(1, u.OwnDemand/u.AllDemand)
	}
	if u.AllRequests > 0 && u.OwnRequests >= 0 {
		f.Requests = math.Min(1, float64(u.OwnRequests)/float64(u.AllRequests))
	}
	share := f.Equal
	switch {
	case f.Demand >= 0 && f.Requests >= 0:
		share = demandRatio*f.Demand + (1-demandRatio)*f.Requests
	case f.Demand >= 0:
		share = f.Demand
	case f.Requests >= 0:
		share = f.Requests
	}
	f.Value = FloorRatio*f.Equal + (1-FloorRatio)*share
	return f
}

// Work returns the demand that may be served in a region, in engine seconds a second. Figures that are not positive
// numbers are left out; with an absurd one, the result is at least maxDemand, which Fraction does not use.
func Work(demands []*schema.HomeDemand, region string) float64 {
	work := 0.0
	for _, d := range assigner.AddDemands(nil, demands) {
		if len(d.Homes) == 0 || slices.Contains(d.Homes, region) {
			work += d.Work
		}
	}
	return work
}
