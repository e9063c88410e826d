package limiter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// A host that has not answered for this many renewal intervals gets no share.
	maxMissedRenewals = 3
	// A host that came back must answer for this many renewal intervals before it gets the
	// share.
	minAnsweredRenewals = 4
	// Number of hosts preferred to the current lender that each renewal probes for their
	// return.
	probeCount = 2
)

// Donor lends this host's share of each shard to one lender at a time. Set the exported
// fields, then call Start.
type Donor struct {
	Host string
	// Now returns the time on this host's clock.
	Now func() time.Duration
	// Hosts returns the hosts that may be lenders.
	Hosts func() []string
	// Share returns this host's share of every customer, in millionths.
	Share func() int32

	mu            sync.Mutex
	shards        [ShardCount]assignment // guarded by mu
	candidates    map[string]*candidate  // by host; guarded by mu
	leaseDuration time.Duration          // guarded by mu
	// startedAt is when Start was called, on this host's clock.
	startedAt     time.Duration
	nextRenewalAt time.Duration // when the next renewals are due; guarded by mu
	// hosts are those of the last renewal, ranked each shard's order of preference among
	// them; guarded by mu.
	hosts  []string
	ranked [ShardCount][]string
}

// assignment says which lender has a shard's share, or is about to get it.
type assignment struct {
	lender string
	// freeAt is when the share may go to another lender: every lease given and every grant
	// made from it has ended by then.
	freeAt   time.Duration
	accepted bool // the lender accepted the share in its last reply
}

// candidate is a host that may be a lender.
type candidate struct {
	// echoClock is the reading of the host's clock in its last reply, which arrived at
	// echoedAt on this host's clock.
	echoClock int64
	echoedAt  time.Duration
	// answeringSince is when it began to answer without a longer gap.
	answeringSince time.Duration
}

// preference returns the score of a host as the lender of a shard: the host with the highest
// is preferred (rendezvous hashing).
func preference(host string, shard int32) uint64 {
	return xxhash.Sum64String(host + "/" + string(rune('A'+shard)))
}

// Start begins with nothing lent. Once the hosts are known, the share is not lent until every
// lease that an earlier process on this host may have given, and every grant made from it, has
// ended.
func (d *Donor) Start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.candidates = map[string]*candidate{}
	d.leaseDuration = minLease
	d.startedAt = d.Now()
}

// Lender returns the host to which this host's share of a shard is lent, or "" if none.
func (d *Donor) Lender(shard int32) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := &d.shards[shard]; a.accepted {
		return a.lender
	}
	return ""
}

// DueRenewals returns the requests to send now, by host. It is called once each round.
func (d *Donor) DueRenewals() map[string]*schema.DonateRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	if now < d.nextRenewalAt {
		return nil
	}
	d.rankHosts()
	d.nextRenewalAt = now + d.renewalInterval() - RoundInterval/2
	out := map[string]*schema.DonateRequest{}
	for shard := range int32(ShardCount) {
		d.renew(shard, d.ranked[shard], now, out)
	}
	return out
}

// renewalInterval returns the time between two renewals.
func (d *Donor) renewalInterval() time.Duration { return d.leaseDuration / renewalsPerLease }

// rankHosts updates the orders of preference if the hosts have changed.
func (d *Donor) rankHosts() {
	hosts := d.Hosts()
	if slices.Equal(hosts, d.hosts) {
		return
	}
	first := len(d.hosts) == 0
	d.hosts = slices.Clone(hosts)
	d.leaseDuration = leaseDurationFor(len(hosts))
	for i := range d.shards {
		if first {
			d.shards[i].freeAt = d.startedAt + withClockDrift(d.leaseDuration+grantDuration)
		}
	}
	for shard := range int32(ShardCount) {
		d.ranked[shard] = rank(hosts, shard)
	}
}

// rank orders hosts by preference as the lender of a shard, the most preferred first.
func rank(hosts []string, shard int32) []string {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(preference(b, shard), preference(a, shard)), cmp.Compare(a, b))
	})
	return ranked
}

func (d *Donor) renew(shard int32, ranked []string, now time.Duration, out map[string]*schema.DonateRequest) {
	a := &d.shards[shard]
	preferred := d.preferredLender(a, ranked, now)
	for i, h := range ranked {
		if h == preferred || i == probeCount {
			break
		}
		d.requestTo(h, out)
	}
	if preferred == "" {
		a.accepted = false
		return
	}
	r := d.requestTo(preferred, out)
	if preferred != a.lender {
		// The old lease is not renewed while it runs out, or the share would never be free to
		// move.
		a.accepted = false
		if now < a.freeAt {
			return
		}
		a.lender = preferred
	}
	if c := d.candidates[preferred]; c != nil && now-c.echoedAt < d.leaseDuration {
		// Counts as lent from now on, since the reply may be lost.
		a.freeAt = max(a.freeAt, c.echoedAt+withClockDrift(d.leaseDuration+grantDuration))
		r.Echo, r.Lease, r.Share = c.echoClock, int64(d.leaseDuration), d.Share()
		r.Shards = append(r.Shards, shard)
	}
}

// preferredLender returns the most preferred host that answers, or "" if none. This host
// always counts as answering.
func (d *Donor) preferredLender(a *assignment, ranked []string, now time.Duration) string {
	for _, h := range ranked {
		c := d.candidates[h]
		answers := c != nil && now-c.echoedAt < maxMissedRenewals*d.renewalInterval()
		if h == d.Host || (answers && (h == a.lender || now-c.answeringSince > minAnsweredRenewals*d.renewalInterval())) {
			return h
		}
	}
	return ""
}

func (d *Donor) requestTo(host string, out map[string]*schema.DonateRequest) *schema.DonateRequest {
	if out[host] == nil {
		out[host] = &schema.DonateRequest{Host: d.Host}
	}
	return out[host]
}

// HandleReply takes a host's reply to a request.
func (d *Donor) HandleReply(host string, r *schema.DonateRequest, reply *schema.DonateReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	c := d.candidates[host]
	if c == nil {
		c = &candidate{answeringSince: now, echoedAt: now}
		d.candidates[host] = c
	}
	if now-c.echoedAt > maxMissedRenewals*d.renewalInterval() {
		c.answeringSince = now
	}
	// An older clock reading than before is a reply that was overtaken, or a host that
	// rebooted.
	if reply.Clock > c.echoClock || now-c.echoedAt > d.leaseDuration {
		c.echoClock, c.echoedAt = reply.Clock, now
	}
	for _, shard := range r.Shards {
		if a := &d.shards[shard]; a.lender == host {
			a.accepted = reply.Accepted
		}
	}
}
