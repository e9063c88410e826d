package limiter

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ShardCount is the number of groups into which customers are divided.
	ShardCount = 16

	// RoundInterval is the time between two rounds of renewals and reports.
	RoundInterval = 300 * time.Millisecond

	// Leases count on the lender's clock, from the time that the donor echoes. With more
	// than hostsAtShortest hosts they grow in proportion, so that a lender hears a bounded
	// number of renewals.
	shortestLease   = 1500 * time.Millisecond
	longestLease    = 15 * time.Second
	hostsAtShortest = 48
	// Renewals in the time of one lease.
	renewalsPerLease = 5
	// grantLife counts on the spender's clock, from the sending of its request.
	grantLife = time.Second
	// floorFraction of its share is what a host never lends.
	floorFraction = 0.1
	lentFraction  = 1 - floorFraction
	wholeShare    = 1_000_000
	// Largest difference in speed between two hosts' clocks, with a fixed allowance.
	driftFraction = 0.02
	driftMargin   = 50 * time.Millisecond
)

// Terms are a customer's limits over all hosts together.
type Terms struct {
	// Rate is in tokens a second.
	Rate float64
	// Burst is in tokens.
	Burst float64
}

// ShardOf returns the shard of a customer.
func ShardOf(customer string) int32 {
	return int32(xxhash.Sum64String(customer) % ShardCount)
}

// leaseFor returns the length of leases among a number of hosts.
func leaseFor(hosts int) time.Duration {
	return min(longestLease, max(shortestLease, shortestLease*time.Duration(hosts)/hostsAtShortest))
}

// allowance lengthens a wait so that it covers d on a clock that runs slower.
func allowance(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*driftFraction) + driftMargin
}

// tokens returns what a rate gives in a time.
func tokens(rate float64, d time.Duration) float64 {
	return rate * d.Seconds()
}
