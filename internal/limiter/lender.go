package limiter

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Number of changes of a shard's lent share that are kept. The level of a new bucket, for
	// a customer that was idle so far, is computed from them.
	maxHistory = 64
	// An open grant with fewer unspent tokens than this counts as spent.
	minGrantTokens = 1e-6
)

// Lender holds the shares lent to this host and makes grants from them. Set the exported
// fields, then call Start.
type Lender struct {
	// Now returns the time on this host's clock.
	Now func() time.Duration
	// Limits returns a customer's limits, and false if there is no such customer.
	Limits func(customer string) (Limits, bool)
	// Incarnation identifies this process.
	Incarnation uint64

	mu         sync.Mutex
	opensAt    time.Duration           // when all grants of an earlier process have ended; guarded by mu
	lastNumber uint64                  // of the newest grant; guarded by mu
	shards     [ShardCount]lenderShard // guarded by mu
}

// lenderShard is one shard's leases and buckets.
type lenderShard struct {
	leases     map[string]lease   // by donor
	share      float64            // sum of the leased shares, as a fraction of the whole
	endedUntil time.Duration      // leases that ended until then are removed
	history    []shareChange      // oldest first
	buckets    map[string]*bucket // by customer
}

// lease is one donor's share, as a fraction of the whole, lent until a time on the lender's
// clock.
type lease struct {
	share float64
	until time.Duration
}

// shareChange says to which lent share a shard changed at a time.
type shareChange struct {
	changedAt time.Duration
	share     float64
}

// bucket is the tokens that may be granted to one customer. Level and the unspent tokens of
// open grants together never exceed the lent part of the burst.
type bucket struct {
	limits     Limits
	level      float64
	filledAt   time.Duration
	openGrants []grant // ordered by until
}

// grant is a grant's tokens that a host may still spend, until a time on the lender's clock.
type grant struct {
	number uint64
	tokens float64
	until  time.Duration
}

// Start makes the lender refuse leases until every grant of an earlier process on this host
// has ended.
func (l *Lender) Start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opensAt = l.Now() + withClockDrift(grantDuration)
	for i := range l.shards {
		l.shards[i] = lenderShard{leases: map[string]lease{}, buckets: map[string]*bucket{}, endedUntil: l.Now()}
	}
}

// Donate leases a host's share of some shards to this lender. The lease counts from the clock
// reading of an earlier reply, which the donor echoes, so that a request that was long on its
// way lends nothing.
func (l *Lender) Donate(r *schema.DonateRequest) *schema.DonateReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	reply := &schema.DonateReply{Clock: int64(now)}
	echo := time.Duration(r.Echo)
	until := echo + min(maxLease, time.Duration(r.Lease))
	if len(r.Shards) == 0 || now < l.opensAt || r.Echo == 0 || echo > now || until <= now {
		return reply
	}
	for _, shard := range r.Shards {
		if shard >= 0 && shard < ShardCount {
			l.shards[shard].addLease(r.Host, lease{share: float64(r.Share) / totalShare, until: until}, now)
		}
	}
	reply.Accepted = true
	return reply
}

func (s *lenderShard) addLease(host string, added lease, now time.Duration) {
	s.endLeases(now)
	old := s.leases[host]
	added.until = max(added.until, old.until)
	s.leases[host] = added
	if added.share != old.share {
		s.setShare(now, s.share-old.share+added.share)
	}
}

// Grant applies a host's usage of earlier grants and returns a new one. A reply without
// tokens gives the seconds after which to retry; negative means that a retry is of no use now.
func (l *Lender) Grant(r *schema.GrantRequest) *schema.GrantReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &schema.GrantReply{Lender: l.Incarnation, Retry: -1}
	limits, ok := l.Limits(r.Customer)
	if !ok {
		return reply
	}
	now := l.Now()
	s := &l.shards[ShardOf(r.Customer)]
	s.endLeases(now)
	b := s.bucket(r.Customer, limits, now)
	if r.Lender == l.Incarnation {
		b.applyUsage(r, s.share)
	}
	if r.Need <= 0 {
		return reply
	}
	if b.level < r.Need {
		if rate := limits.Rate * lentFraction * s.share; rate > 0 && r.Need <= b.maxTokens(s.share) {
			reply.Retry = (r.Need - b.level) / rate
		}
		return reply
	}
	reply.Retry = 0
	// At most half of the rest, so that one host does not empty the bucket ahead of need.
	reply.Tokens = r.Need + math.Min(math.Max(0, r.Wish-r.Need), (b.level-r.Need)/2)
	b.level -= reply.Tokens
	l.lastNumber++
	reply.Number = l.lastNumber
	b.openGrants = append(b.openGrants, grant{number: l.lastNumber, tokens: reply.Tokens, until: now + withClockDrift(grantDuration)})
	return reply
}

// LentShare returns the share of a shard lent to this host, as a fraction of the whole.
func (l *Lender) LentShare(shard int32) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shards[shard].endLeases(l.Now())
	return l.shards[shard].share
}

// Prune deletes the buckets that are full and have no open grants.
func (l *Lender) Prune() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	for i := range l.shards {
		s := &l.shards[i]
		s.endLeases(now)
		for name, b := range s.buckets {
			b.fill(now, s.share)
			if len(b.openGrants) == 0 && b.level >= b.maxTokens(s.share) {
				delete(s.buckets, name)
			}
		}
	}
}

// BucketCount returns the number of customers that the lender has state of.
func (l *Lender) BucketCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i := range l.shards {
		n += len(l.shards[i].buckets)
	}
	return n
}

// endLeases removes the leases that have ended by now. Each counts up to the time of its end.
func (s *lenderShard) endLeases(now time.Duration) {
	for {
		name, first := s.firstEnded(now)
		if name == "" {
			break
		}
		delete(s.leases, name)
		share := s.share - first.share
		if len(s.leases) == 0 {
			share = 0
		}
		s.setShare(first.until, share)
	}
	s.endedUntil = now
}

func (s *lenderShard) firstEnded(now time.Duration) (string, lease) {
	var name string
	var first lease
	for n, l := range s.leases {
		if l.until <= now && (name == "" || l.until < first.until || (l.until == first.until && n < name)) {
			name, first = n, l
		}
	}
	return name, first
}

// setShare changes the lent share at a time, after filling every bucket up to that time.
func (s *lenderShard) setShare(at time.Duration, share float64) {
	for _, b := range s.buckets {
		b.fill(at, s.share)
	}
	s.share = math.Max(0, share)
	for _, b := range s.buckets {
		b.clamp(s.share)
	}
	s.history = append(s.history, shareChange{changedAt: at, share: s.share})
	if len(s.history) > maxHistory {
		s.history = slices.Delete(s.history, 0, 1)
	}
}

// bucket returns a customer's bucket, filled up to now. A new one has filled from empty since
// the oldest change in the history.
func (s *lenderShard) bucket(customer string, limits Limits, now time.Duration) *bucket {
	b := s.buckets[customer]
	if b == nil {
		b = &bucket{limits: limits, filledAt: now}
		share := 0.0
		for i, c := range s.history {
			if i == 0 {
				b.filledAt = c.changedAt
			}
			b.fill(c.changedAt, share)
			share = c.share
			b.clamp(share)
		}
		s.buckets[customer] = b
	}
	b.fill(now, s.share)
	b.limits = limits
	b.clamp(s.share)
	return b
}

// maxTokens returns the most tokens that level and open grants may have together.
func (b *bucket) maxTokens(share float64) float64 {
	return b.limits.Burst * lentFraction * share
}

// fill adds the tokens up to a time, and drops each open grant when it ends.
func (b *bucket) fill(at time.Duration, share float64) {
	for len(b.openGrants) > 0 && b.openGrants[0].until <= at {
		b.addTokens(b.openGrants[0].until, share)
		b.openGrants = b.openGrants[1:]
	}
	b.addTokens(at, share)
}

func (b *bucket) addTokens(at time.Duration, share float64) {
	if at > b.filledAt {
		b.level += tokensIn(b.limits.Rate*lentFraction*share, at-b.filledAt)
		b.filledAt = at
	}
	b.clamp(share)
}

func (b *bucket) clamp(share float64) {
	openTokens := 0.0
	for _, g := range b.openGrants {
		openTokens += g.tokens
	}
	b.level = math.Max(0, math.Min(b.level, b.maxTokens(share)-openTokens))
}

// applyUsage applies a host's report on its grants. A grant that has ended meanwhile is
// skipped, since its tokens no longer count as open.
func (b *bucket) applyUsage(r *schema.GrantRequest, share float64) {
	for _, u := range r.Uses {
		b.applyUse(u)
	}
	b.openGrants = slices.DeleteFunc(b.openGrants, func(g grant) bool { return g.tokens < minGrantTokens })
	b.level += math.Max(0, r.Refund)
	b.clamp(share)
}

func (b *bucket) applyUse(u *schema.Use) {
	i := slices.IndexFunc(b.openGrants, func(g grant) bool { return g.number == u.Number })
	if i < 0 {
		return
	}
	g := &b.openGrants[i]
	g.tokens -= math.Min(g.tokens, math.Max(0, u.Spent))
	returned := math.Min(g.tokens, math.Max(0, u.Returned))
	g.tokens -= returned
	b.level += returned
}
