package sharer

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Time constant with which a customer's lead shrinks while nothing of it waits: demand varies
	// within two seconds.
	leadTime = 2 * time.Second
	// Time after the last use at which a customer is forgotten. Less than a hundredth of its lead is
	// left by then.
	forgetAfter = 5 * leadTime
	// DefaultMaxCustomers bounds the customers of a pool that are remembered, at some 200 bytes each.
	DefaultMaxCustomers = 4096
	// MinRankShare is the fraction of the slots that a rank gets at least while it has requests: the least
	// at which a request of it is served within a deadline of 6 s by a host with four slots per second.
	MinRankShare = 0.05
	// Time after a refusal for which the queue counts as contended: the age of the reports by which hosts
	// know each other's load.
	contendedFor = 500 * time.Millisecond
	// Time after its last request for which a rank gains credit.
	creditAfter = 2 * time.Second
)

// Tag is a point of a rank's virtual time: engine seconds per weight.
type Tag float64

// Use is a request as far as its order depends on it.
type Use struct {
	Customer string
	// Rank orders before all else; 0 is first.
	Rank int
	// Late is set if the request cannot meet its objective.
	Late bool
	// Weight is the customer's weight; 0 counts as 1.
	Weight float64
	// Cost is the expected engine time.
	Cost time.Duration
	// Returned is set for a request that returned to a place that was promised. Earlier is then the start
	// tag that Reserve returned; its customer is not charged again.
	Returned bool
	Earlier  Tag
	// Unpaid is set if another host promised the place, so that the customer was not charged here.
	Unpaid bool
}

// Entry is a waiting request.
type Entry[T any] struct {
	Use
	Value T
	// Start is the start tag, Since the time at which it was added.
	Start Tag
	Since time.Duration
	seq   uint64
}

// Queue orders the waiting requests of one pool. The zero value is empty. It is not safe for
// concurrent use.
type Queue[T any] struct {
	// MaxCustomers is the largest number of customers that are remembered; 0: DefaultMaxCustomers.
	MaxCustomers int

	waiting   []*Entry[T] // sorted by compare
	customers map[customerKey]*list.Element
	recent    list.List // of *customer, the longest unused first
	ranks     map[int]*rank
	seq       uint64

	// Leads shrink only while nothing waits and nothing was refused lately: idle is the sum of that time,
	// as of seenAt.
	idle, seenAt, contendedUntil time.Duration
}

type customerKey struct {
	name string
	rank int
}

// customer is what one customer has used in one rank.
type customer struct {
	customerKey
	weight  float64
	finish  Tag
	usedAt  time.Duration
	idleAt  time.Duration // idle time of the queue at usedAt
	waiting int
}

type rank struct {
	virtual Tag
	weights float64 // of the customers that are remembered
	// credit is the number of slots, at most 1, that the rank may get before more urgent ones.
	credit float64
	seenAt time.Duration // time of its last request
	// reserved are the start tags of requests that are to return, sorted.
	reserved []Tag
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Customers returns the number of customers that are remembered.
func (q *Queue[T]) Customers() int { return len(q.customers) }

// At returns a waiting request by its place in the order.
func (q *Queue[T]) At(i int) *Entry[T] { return q.waiting[i] }

// Lead returns by how much a customer's next start tag is beyond the virtual time of the rank: 0 if
// it has not used more than its share lately.
func (q *Queue[T]) Lead(u Use, now time.Duration) Tag {
	e := q.customers[customerKey{u.Customer, u.Rank}]
	if e == nil {
		return 0
	}
	return q.lead(e.Value.(*customer), now)
}

func (q *Queue[T]) lead(c *customer, now time.Duration) Tag {
	lead := max(0, c.finish-q.rank(c.rank).virtual)
	return lead * Tag(math.Exp(-float64(q.idleTime(now)-c.idleAt)/float64(leadTime)))
}

// idleTime returns the time in which the queue was not contended.
func (q *Queue[T]) idleTime(now time.Duration) time.Duration {
	if now > q.seenAt {
		if len(q.waiting) == 0 {
			q.idle += max(0, now-max(q.seenAt, q.contendedUntil))
		}
		q.seenAt = now
	}
	return q.idle
}

// Contended reports whether requests wait, or were refused lately.
func (q *Queue[T]) Contended(now time.Duration) bool {
	return len(q.waiting) > 0 || now < q.contendedUntil
}

// Refused records that a request was refused.
func (q *Queue[T]) Refused(now time.Duration) {
	q.idleTime(now)
	q.contendedUntil = now + contendedFor
}

// Reserve charges a customer for a request that is to return, and returns its start tag. Unreserve must be
// called with it once the request has returned or is not expected any more.
func (q *Queue[T]) Reserve(u Use, now time.Duration) Tag {
	start := q.Start(u, now)
	if !u.Returned || u.Unpaid {
		q.charge(u, now)
	}
	r := q.rank(u.Rank)
	at, _ := slices.BinarySearch(r.reserved, start)
	r.reserved = slices.Insert(r.reserved, at, start)
	return start
}

// Unreserve records that a request for which Reserve was called has returned or is not expected any more.
func (q *Queue[T]) Unreserve(rank int, start Tag) {
	r := q.rank(rank)
	if at, found := slices.BinarySearch(r.reserved, start); found {
		r.reserved = slices.Delete(r.reserved, at, at+1)
	}
}

// advance sets the virtual time of a rank as a request with a start tag is served. Requests that wait or are
// to return hold it back: else a customer whose requests are served out of order would be charged for less.
func (q *Queue[T]) advance(rank int, start Tag) {
	r := q.rank(rank)
	if len(r.reserved) > 0 {
		start = min(start, r.reserved[0])
	}
	for _, late := range []bool{false, true} {
		if e := q.first(rank, late); e != nil {
			start = min(start, e.Start)
		}
	}
	r.virtual = max(r.virtual, start)
}

// Refund takes back what a customer was charged for a request that did not return or is refused.
func (q *Queue[T]) Refund(u Use, now time.Duration) {
	if x := q.customers[customerKey{u.Customer, u.Rank}]; x != nil {
		c := x.Value.(*customer)
		r := q.rank(u.Rank)
		c.finish = max(r.virtual, r.virtual+q.lead(c, now)-cost(u))
		c.idleAt = q.idle
	}
}

// Push adds a request and charges its customer.
func (q *Queue[T]) Push(u Use, value T, now time.Duration) *Entry[T] {
	q.seq++
	e := &Entry[T]{Use: u, Value: value, Since: now, seq: q.seq}
	e.Start = q.Start(u, now)
	c := q.customer(u, now)
	if !u.Returned || u.Unpaid {
		q.charge(u, now)
	}
	c.waiting++
	at, _ := slices.BinarySearchFunc(q.waiting, e, compare[T])
	q.waiting = slices.Insert(q.waiting, at, e)
	return e
}

// Start returns the start tag that a request gets if it is added now.
func (q *Queue[T]) Start(u Use, now time.Duration) Tag {
	start := q.rank(u.Rank).virtual + q.Lead(u, now)
	if u.Returned {
		start = min(start, u.Earlier)
	}
	return start
}

// Virtual returns the virtual time of a rank.
func (q *Queue[T]) Virtual(rank int) Tag { return q.rank(rank).virtual }

// Ahead returns the number of waiting requests that a new one would wait for.
func (q *Queue[T]) Ahead(u Use, now time.Duration) int {
	x := &Entry[T]{Use: u, Start: q.Start(u, now), seq: math.MaxUint64}
	at, _ := slices.BinarySearchFunc(q.waiting, x, compare[T])
	return at
}

// AheadInRank returns how many of them have the same rank.
func (q *Queue[T]) AheadInRank(u Use, now time.Duration) int {
	return q.Ahead(u, now) - q.after(u.Rank-1)
}

// Serve records that a request is served without having waited.
func (q *Queue[T]) Serve(u Use, now time.Duration) {
	start := q.Start(u, now)
	if !u.Returned || u.Unpaid {
		q.charge(u, now)
	}
	q.served(u.Rank, now)
	if q.Contended(now) {
		q.advance(u.Rank, start)
		return
	}
	r := q.rank(u.Rank)
	r.virtual += Tag(u.Cost.Seconds() / max(r.weights, weight(u)))
}

// Seen records that a request of a rank has arrived.
func (q *Queue[T]) Seen(rank int, now time.Duration) { q.rank(rank).seenAt = now }

// HasCredit reports whether a request of a rank may be served before more urgent ones, as these have
// taken their part of the slots.
func (q *Queue[T]) HasCredit(rank int) bool { return q.rank(rank).credit >= 1 }

// served counts a slot that a request of a rank got.
func (q *Queue[T]) served(served int, now time.Duration) {
	for n, r := range q.ranks {
		switch {
		case n == served:
			r.credit = 0
		case n > served && now-r.seenAt <= creditAfter:
			// A millionth more, so that the sum of the steps reaches 1.
			r.credit = min(1, r.credit+MinRankShare/(1-MinRankShare)+1e-6)
		}
	}
}

// Next returns the place of the request that is to be tried first for a free slot: the first one, or that
// of a less urgent rank that has credit.
func (q *Queue[T]) Next() int {
	for at := 0; at < len(q.waiting); at = q.after(q.waiting[at].Rank) {
		if at > 0 && q.HasCredit(q.waiting[at].Rank) {
			return at
		}
	}
	return 0
}

// first returns the first waiting request of a rank that is late, or in time; nil if there is none.
func (q *Queue[T]) first(rank int, late bool) *Entry[T] {
	at, _ := slices.BinarySearchFunc(q.waiting, rank, func(e *Entry[T], rank int) int {
		if cmp.Or(cmp.Compare(e.Rank, rank), compareBool(e.Late, late)) < 0 {
			return -1
		}
		return 1
	})
	if at == len(q.waiting) || q.waiting[at].Rank != rank || q.waiting[at].Late != late {
		return nil
	}
	return q.waiting[at]
}

// MarkLate moves a waiting request behind those of its rank that can still meet their objectives.
func (q *Queue[T]) MarkLate(e *Entry[T]) {
	at, _ := slices.BinarySearchFunc(q.waiting, e, compare[T])
	if e.Late || at == len(q.waiting) || q.waiting[at] != e {
		return
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	e.Late = true
	at, _ = slices.BinarySearchFunc(q.waiting, e, compare[T])
	q.waiting = slices.Insert(q.waiting, at, e)
}

// after returns the place of the first request of a less urgent rank.
func (q *Queue[T]) after(rank int) int {
	at, _ := slices.BinarySearchFunc(q.waiting, rank, func(e *Entry[T], rank int) int {
		if e.Rank <= rank {
			return -1
		}
		return 1
	})
	return at
}

// Take removes a request that gets a slot.
func (q *Queue[T]) Take(i int, now time.Duration) *Entry[T] {
	e := q.waiting[i]
	q.served(e.Rank, now)
	q.drop(i, now)
	q.advance(e.Rank, e.Start)
	return e
}

// Remove removes a request that does not get a slot, and takes back what its customer was charged for it; what
// Reserve charged stays. It returns false if the request does not wait.
func (q *Queue[T]) Remove(e *Entry[T], now time.Duration) bool {
	at, _ := slices.BinarySearchFunc(q.waiting, e, compare[T])
	if at == len(q.waiting) || q.waiting[at] != e {
		return false
	}
	q.drop(at, now)
	if !e.Returned || e.Unpaid {
		q.Refund(e.Use, now)
	}
	return true
}

func (q *Queue[T]) drop(i int, now time.Duration) {
	q.idleTime(now)
	e := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	if x := q.customers[customerKey{e.Customer, e.Rank}]; x != nil {
		c := x.Value.(*customer)
		c.waiting--
		c.usedAt = now
	}
}

func (q *Queue[T]) rank(n int) *rank {
	if q.ranks == nil {
		q.ranks = map[int]*rank{}
	}
	if q.ranks[n] == nil {
		q.ranks[n] = &rank{}
	}
	return q.ranks[n]
}

// customer returns the state of a request's customer.
func (q *Queue[T]) customer(u Use, now time.Duration) *customer {
	key := customerKey{u.Customer, u.Rank}
	if x := q.customers[key]; x != nil {
		return x.Value.(*customer)
	}
	q.forget(now)
	if q.customers == nil {
		q.customers = map[customerKey]*list.Element{}
	}
	c := &customer{customerKey: key, finish: q.rank(u.Rank).virtual, usedAt: now, idleAt: q.idleTime(now)}
	q.customers[key] = q.recent.PushBack(c)
	return c
}

// charge advances the customer's finish tag by a request.
func (q *Queue[T]) charge(u Use, now time.Duration) {
	q.forget(now)
	c := q.customer(u, now)
	r := q.rank(u.Rank)
	r.weights += weight(u) - c.weight
	c.weight = weight(u)
	c.finish = r.virtual + q.lead(c, now) + cost(u)
	c.usedAt, c.idleAt = now, q.idle
	q.recent.MoveToBack(q.customers[c.customerKey])
}

// forget removes customers that were not active lately, and makes room for one more.
func (q *Queue[T]) forget(now time.Duration) {
	limit := cmp.Or(q.MaxCustomers, DefaultMaxCustomers)
	for examined := 0; examined < 2; {
		x := q.recent.Front()
		if x == nil {
			return
		}
		c := x.Value.(*customer)
		if now-c.usedAt <= forgetAfter && len(q.customers) < limit {
			return
		}
		if c.waiting > 0 { // at most as many as requests wait
			q.recent.MoveToBack(x)
			examined++
			continue
		}
		q.recent.Remove(x)
		delete(q.customers, c.customerKey)
		r := q.rank(c.rank)
		r.weights = max(0, r.weights-c.weight)
	}
}

// Standing is what a customer has used beyond its share in a rank, and what waits of it.
type Standing struct {
	Customer string
	Rank     int
	Lead     time.Duration // engine time per weight
	Waiting  int
}

// Largest returns the customers with the largest leads and with the most waiting requests, at most n, the
// largest lead first.
func (q *Queue[T]) Largest(n int, now time.Duration) []Standing {
	var all []Standing
	for x := q.recent.Front(); x != nil; x = x.Next() {
		c := x.Value.(*customer)
		lead := timer.Seconds(float64(q.lead(c, now)))
		if lead > 0 || c.waiting > 0 {
			all = append(all, Standing{Customer: c.name, Rank: c.rank, Lead: lead, Waiting: c.waiting})
		}
	}
	slices.SortFunc(all, func(a, b Standing) int {
		return cmp.Or(cmp.Compare(b.Lead, a.Lead), cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Rank, b.Rank))
	})
	return all[:min(n, len(all))]
}

func weight(u Use) float64 {
	if u.Weight > 0 {
		return u.Weight
	}
	return 1
}

func cost(u Use) Tag { return Tag(u.Cost.Seconds() / weight(u)) }

// compare orders by rank, those that are in time before late ones, then by start tag, those that returned
// before others, and by arrival.
func compare[T any](a, b *Entry[T]) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), compareBool(a.Late, b.Late), cmp.Compare(a.Start, b.Start),
		compareBool(b.Returned, a.Returned), cmp.Compare(a.seq, b.seq))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
