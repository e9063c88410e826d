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
	// Renewals without an answer after which a host does not get the share.
	lenderTimeout = 3
	// Renewals that a host that came back must have answered before it gets the share.
	lenderTrial = 4
	// Hosts preferred to the present lender that are asked in each round whether they are back.
	probeCount = 2
)

// Donor lends this host's share of each shard to one lender at a time. Set the exported
// fields, then call Start.
type Donor struct {
	Host string
	Now  func() time.Duration
	// Hosts returns the hosts that may be lenders.
	Hosts func() []string
	// Share returns this host's share of every customer, in millionths.
	Share func() int32

	mu     sync.Mutex
	shards [ShardCount]loan // guarded by mu
	peers  map[string]*peer // guarded by mu
	lease  time.Duration    // guarded by mu
	// started is when this process began.
	started time.Duration
	renews  time.Duration // when the next renewals are due; guarded by mu
	// ranked is each shard's order of preference among hosts; guarded by mu.
	hosts  []string
	ranked [ShardCount][]string
}

// loan is a shard's share on its way to or with a lender.
type loan struct {
	lender string
	// free is when the share may go to another lender: every lease given and every grant
	// made from it has ended by then.
	free time.Duration
	ok   bool // the lender's last reply accepted the share
}

// peer is a host that may be a lender.
type peer struct {
	// echo is the host's clock in its last reply, which arrived at heard.
	echo  int64
	heard time.Duration
	// since is when it began to answer without a longer pause.
	since time.Duration
}

// weigh is the preference of a host as the lender of a shard.
func weigh(host string, shard int32) uint64 {
	return xxhash.Sum64String(host + "/" + string(rune('A'+shard)))
}

// Start begins with nothing lent. Once the hosts are known, what an earlier process on this
// host may have lent is waited out.
func (d *Donor) Start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = map[string]*peer{}
	d.lease = shortestLease
	d.started = d.Now()
}

// Lender returns the host that this host's share of a shard is with; "" if it is with none.
func (d *Donor) Lender(shard int32) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := &d.shards[shard]; l.ok {
		return l.lender
	}
	return ""
}

// Renewals returns the requests to send now, by host. It is called once a round.
func (d *Donor) Renewals() map[string]*schema.DonateRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	if now < d.renews {
		return nil
	}
	d.rankHosts()
	d.renews = now + d.interval() - RoundInterval/2
	out := map[string]*schema.DonateRequest{}
	for shard := range int32(ShardCount) {
		d.renew(shard, d.ranked[shard], now, out)
	}
	return out
}

// interval is the time between two renewals.
func (d *Donor) interval() time.Duration { return d.lease / renewalsPerLease }

// rankHosts brings the orders of preference up to date with the hosts.
func (d *Donor) rankHosts() {
	hosts := d.Hosts()
	if slices.Equal(hosts, d.hosts) {
		return
	}
	first := len(d.hosts) == 0
	d.hosts = slices.Clone(hosts)
	d.lease = leaseFor(len(hosts))
	for i := range d.shards {
		if first {
			d.shards[i].free = d.started + allowance(d.lease+grantLife)
		}
	}
	for shard := range int32(ShardCount) {
		d.ranked[shard] = rank(hosts, shard)
	}
}

// rank orders hosts by how much they are preferred as the lender of a shard.
func rank(hosts []string, shard int32) []string {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weigh(b, shard), weigh(a, shard)), cmp.Compare(a, b))
	})
	return ranked
}

func (d *Donor) renew(shard int32, ranked []string, now time.Duration, out map[string]*schema.DonateRequest) {
	l := &d.shards[shard]
	wanted := d.wanted(l, ranked, now)
	for i, h := range ranked {
		if h == wanted || i == probeCount {
			break
		}
		d.requestTo(h, out)
	}
	if wanted == "" {
		l.ok = false
		return
	}
	r := d.requestTo(wanted, out)
	if wanted != l.lender {
		// Nothing is renewed while the old lease runs out, or it would never be free.
		l.ok = false
		if now < l.free {
			return
		}
		l.lender = wanted
	}
	if p := d.peers[wanted]; p != nil && now-p.heard < d.lease {
		// Counted as lent from now on: the reply may be lost.
		l.free = max(l.free, p.heard+allowance(d.lease+grantLife))
		r.Echo, r.Lease, r.Share = p.echo, int64(d.lease), d.Share()
		r.Shards = append(r.Shards, shard)
	}
}

// wanted returns the most preferred host that answers. This host itself always does.
func (d *Donor) wanted(l *loan, ranked []string, now time.Duration) string {
	for _, h := range ranked {
		p := d.peers[h]
		answers := p != nil && now-p.heard < lenderTimeout*d.interval()
		if h == d.Host || (answers && (h == l.lender || now-p.since > lenderTrial*d.interval())) {
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

// Replied takes a host's reply to a request.
func (d *Donor) Replied(host string, r *schema.DonateRequest, reply *schema.DonateReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	p := d.peers[host]
	if p == nil {
		p = &peer{since: now, heard: now}
		d.peers[host] = p
	}
	if now-p.heard > lenderTimeout*d.interval() {
		p.since = now
	}
	// An older clock than before is a reply that was overtaken, or a host that rebooted.
	if reply.Clock > p.echo || now-p.heard > d.lease {
		p.echo, p.heard = reply.Clock, now
	}
	for _, shard := range r.Shards {
		if l := &d.shards[shard]; l.lender == host {
			l.ok = reply.Accepted
		}
	}
}
