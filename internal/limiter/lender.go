package limiter

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Changes of a shard's lent share that are remembered, to know how full the bucket of
	// a customer is that was idle so far.
	historyLimit = 64
	// Grants of less than this many tokens are not worth a message.
	smallestGrant = 1e-6
)

// Lender holds the shares lent to this host. Set the exported fields, then call Start.
type Lender struct {
	// Now is the host's clock.
	Now func() time.Duration
	// Terms returns a customer's limits, and false if there is no such customer.
	Terms func(customer string) (Terms, bool)
	// Incarnation names this process.
	Incarnation uint64

	mu     sync.Mutex
	opens  time.Duration       // when grants of an earlier process have ended; guarded by mu
	number uint64              // of the newest grant; guarded by mu
	shards [ShardCount]lending // guarded by mu
}

// lending is one shard's donors and buckets.
type lending struct {
	donors  map[string]donor
	share   float64 // sum of the donors' shares, as a fraction of the whole
	at      time.Duration
	history []change
	buckets map[string]*bucket
}

type donor struct {
	share float64
	until time.Duration
}

// change is a change of a shard's lent share.
type change struct {
	at    time.Duration
	share float64
}

// bucket is what may be granted of one customer. Level and open grants together never
// exceed the lent part of the burst.
type bucket struct {
	terms Terms
	level float64
	at    time.Duration
	open  []grant // by end
}

// grant is tokens that a host may still spend.
type grant struct {
	number uint64
	tokens float64
	until  time.Duration
}

// Start opens the lender once every grant of an earlier process on this host has ended.
func (l *Lender) Start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opens = l.Now() + allowance(grantLife)
	for i := range l.shards {
		l.shards[i] = lending{donors: map[string]donor{}, buckets: map[string]*bucket{}, at: l.Now()}
	}
}

// Donate takes a host's share of some shards on lease. The lease is counted from the time
// of an earlier reply that the donor echoes, so that a request that was on its way for
// long lends nothing.
func (l *Lender) Donate(r *schema.DonateRequest) *schema.DonateReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	reply := &schema.DonateReply{Clock: int64(now)}
	echo := time.Duration(r.Echo)
	until := echo + min(longestLease, time.Duration(r.Lease))
	if len(r.Shards) == 0 || now < l.opens || r.Echo == 0 || echo > now || until <= now {
		return reply
	}
	for _, shard := range r.Shards {
		if shard >= 0 && shard < ShardCount {
			l.shards[shard].donate(r.Host, donor{share: float64(r.Share) / wholeShare, until: until}, now)
		}
	}
	reply.Accepted = true
	return reply
}

func (s *lending) donate(host string, d donor, now time.Duration) {
	s.advance(now)
	old := s.donors[host]
	d.until = max(d.until, old.until)
	s.donors[host] = d
	if d.share != old.share {
		s.setShare(now, s.share-old.share+d.share)
	}
}

// Grant accounts for a host's earlier grants and gives it new ones.
func (l *Lender) Grant(r *schema.GrantRequest) *schema.GrantReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &schema.GrantReply{Lender: l.Incarnation, Retry: -1}
	terms, ok := l.Terms(r.Customer)
	if !ok {
		return reply
	}
	now := l.Now()
	s := &l.shards[ShardOf(r.Customer)]
	s.advance(now)
	b := s.bucket(r.Customer, terms, now)
	if r.Lender == l.Incarnation {
		b.account(r, s.share)
	}
	if r.Need <= 0 {
		return reply
	}
	if b.level < r.Need {
		if rate := terms.Rate * lentFraction * s.share; rate > 0 && r.Need <= b.limit(s.share) {
			reply.Retry = (r.Need - b.level) / rate
		}
		return reply
	}
	reply.Retry = 0
	// Half of the rest at most, so that one host does not empty the bucket ahead of need.
	reply.Tokens = r.Need + math.Min(math.Max(0, r.Wish-r.Need), (b.level-r.Need)/2)
	b.level -= reply.Tokens
	l.number++
	reply.Number = l.number
	b.open = append(b.open, grant{number: l.number, tokens: reply.Tokens, until: now + allowance(grantLife)})
	return reply
}

// Donated returns the share lent to this host for a shard, as a fraction of the whole.
func (l *Lender) Donated(shard int32) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shards[shard].advance(l.Now())
	return l.shards[shard].share
}

// Prune forgets the buckets that are full and have no open grants.
func (l *Lender) Prune() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	for i := range l.shards {
		s := &l.shards[i]
		s.advance(now)
		for name, b := range s.buckets {
			b.fill(now, s.share)
			if len(b.open) == 0 && b.level >= b.limit(s.share) {
				delete(s.buckets, name)
			}
		}
	}
}

// Buckets returns the number of customers that the lender holds state of.
func (l *Lender) Buckets() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i := range l.shards {
		n += len(l.shards[i].buckets)
	}
	return n
}

// advance ends the leases that ran out before now, each at its time.
func (s *lending) advance(now time.Duration) {
	for {
		name, first := s.nextEnd(now)
		if name == "" {
			break
		}
		delete(s.donors, name)
		share := s.share - first.share
		if len(s.donors) == 0 {
			share = 0
		}
		s.setShare(first.until, share)
	}
	s.at = now
}

func (s *lending) nextEnd(now time.Duration) (string, donor) {
	var name string
	var first donor
	for n, d := range s.donors {
		if d.until <= now && (name == "" || d.until < first.until || (d.until == first.until && n < name)) {
			name, first = n, d
		}
	}
	return name, first
}

// setShare changes the lent share at a time, filling every bucket up to it first.
func (s *lending) setShare(at time.Duration, share float64) {
	for _, b := range s.buckets {
		b.fill(at, s.share)
	}
	s.share = math.Max(0, share)
	for _, b := range s.buckets {
		b.clamp(s.share)
	}
	s.history = append(s.history, change{at: at, share: s.share})
	if len(s.history) > historyLimit {
		s.history = slices.Delete(s.history, 0, 1)
	}
}

// bucket returns a customer's bucket, filled up to now. One that is new here has filled
// from empty since the oldest change of share that is remembered.
func (s *lending) bucket(customer string, terms Terms, now time.Duration) *bucket {
	b := s.buckets[customer]
	if b == nil {
		b = &bucket{terms: terms, at: now}
		share := 0.0
		for i, c := range s.history {
			if i == 0 {
				b.at = c.at
			}
			b.fill(c.at, share)
			share = c.share
			b.clamp(share)
		}
		s.buckets[customer] = b
	}
	b.fill(now, s.share)
	b.terms = terms
	b.clamp(s.share)
	return b
}

// limit is the most that level and open grants may come to.
func (b *bucket) limit(share float64) float64 {
	return b.terms.Burst * lentFraction * share
}

// fill lets the bucket fill up to a time, ending open grants at theirs.
func (b *bucket) fill(at time.Duration, share float64) {
	for len(b.open) > 0 && b.open[0].until <= at {
		b.pour(b.open[0].until, share)
		b.open = b.open[1:]
	}
	b.pour(at, share)
}

func (b *bucket) pour(at time.Duration, share float64) {
	if at > b.at {
		b.level += tokens(b.terms.Rate*lentFraction*share, at-b.at)
		b.at = at
	}
	b.clamp(share)
}

func (b *bucket) clamp(share float64) {
	open := 0.0
	for _, g := range b.open {
		open += g.tokens
	}
	b.level = math.Max(0, math.Min(b.level, b.limit(share)-open))
}

// account takes in what a host reports of its grants. A grant that has ended meanwhile
// is passed over: its tokens are no longer counted as open.
func (b *bucket) account(r *schema.GrantRequest, share float64) {
	for _, u := range r.Uses {
		b.use(u)
	}
	b.open = slices.DeleteFunc(b.open, func(g grant) bool { return g.tokens < smallestGrant })
	b.level += math.Max(0, r.Refund)
	b.clamp(share)
}

func (b *bucket) use(u *schema.Use) {
	i := slices.IndexFunc(b.open, func(g grant) bool { return g.number == u.Number })
	if i < 0 {
		return
	}
	g := &b.open[i]
	g.tokens -= math.Min(g.tokens, math.Max(0, u.Spent))
	back := math.Min(g.tokens, math.Max(0, u.Returned))
	g.tokens -= back
	b.level += back
}
