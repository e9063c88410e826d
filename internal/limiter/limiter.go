package limiter

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ShardCount is the number of shards into which customers are divided.
	ShardCount = 16

	// RoundInterval is the time between two rounds of lease renewals and usage reports.
	RoundInterval = 300 * time.Millisecond

	// A lease ends on the lender's clock, counted from the clock reading that the donor
	// echoes. With more than maxHostsAtMinLease hosts leases grow in proportion, so that a
	// lender receives a bounded number of renewals per second.
	minLease           = 1500 * time.Millisecond
	maxLease           = 15 * time.Second
	maxHostsAtMinLease = 48
	// Renewals during one lease.
	renewalsPerLease = 5
	// grantDuration is how long a grant is valid on the spender's clock, counted from the
	// sending of the request for it.
	grantDuration = time.Second
	// floorFraction is the fraction of its share that a host never lends, lentFraction the
	// rest; totalShare is the sum of all hosts' shares, in millionths.
	floorFraction = 0.1
	lentFraction  = 1 - floorFraction
	totalShare    = 1_000_000
	// Largest relative difference in speed between two hosts' clocks, and a fixed margin.
	maxDriftFraction = 0.02
	driftMargin      = 50 * time.Millisecond
)

// Limits bound what a customer may spend at all hosts together.
type Limits struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst float64
}

// ShardOf returns the shard of a customer, from 0 to ShardCount-1.
func ShardOf(customer string) int32 {
	return int32(xxhash.Sum64String(customer) % ShardCount)
}

// leaseDurationFor returns the duration of leases among a number of hosts.
func leaseDurationFor(hosts int) time.Duration {
	return min(maxLease, max(minLease, minLease*time.Duration(hosts)/maxHostsAtMinLease))
}

// withClockDrift returns how long to wait on this host's clock so that d has passed on a
// slower clock too.
func withClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*maxDriftFraction) + driftMargin
}

// tokensIn returns the tokens that a rate, in tokens per second, brings in a duration.
func tokensIn(rate float64, d time.Duration) float64 {
	return rate * d.Seconds()
}
