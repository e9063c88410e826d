package router

import (
	"errors"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilloft/trefoilloft/internal/registrar"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Upstreams compared for a request that affinity does not place.
	sampleSize = 4
	// An upstream that affinity prefers may be loaded up to this multiple of the mean.
	affinityBound = 1.25
	// Age up to which a load report counts in full, and the time after that in which it
	// comes to count half.
	reportFresh    = 1200 * time.Millisecond
	reportHalfLife = 2 * time.Second
	// Weight of a new sample in moving averages.
	averageWeight = 0.2
	// Expected time of one request on one slot before any was measured.
	defaultService = time.Second
	// Time for which an upstream that failed is passed over.
	failureTimeout = 2 * time.Second
)

// ErrNone says that no upstream of this region can take the request.
var ErrNone = errors.New("router: no upstream")

// Request is what the choice depends on.
type Request struct {
	Kind schema.UpstreamKind
	// Pool is the model or the route.
	Pool string
	// Prefix is the hash of the prompt's beginning; 0: no affinity.
	Prefix uint64
	// Excluded names upstreams that failed for this request.
	Excluded map[string]bool
}

// Router chooses among the upstreams of one region. Set the exported fields before use.
type Router struct {
	Timer *timer.Service
	// Live returns the upstreams under lease.
	Live func() []*registrar.Upstream
	// Hosts returns how many entry hosts share the upstreams. Nil: one.
	Hosts func() int
	// Random returns a number in [0, n). Nil: the global generator.
	Random func(n int) int
	// Policy is the choice made; nil is Affine.
	Policy Policy

	mu    sync.Mutex
	local map[string]*local // by upstream name; guarded by mu
	turn  int               // guarded by mu
}

// Policy is one way of choosing: *Affine, *RoundRobin, *LeastOutstanding or *PureAffinity.
// The last three exist to be measured against.
type Policy interface{ policy() }

// Affine is prefix affinity with a bound on load, then the least expected time.
type Affine struct{}

// RoundRobin takes the upstreams in turn.
type RoundRobin struct{}

// LeastOutstanding takes the upstream with the least work of this host.
type LeastOutstanding struct{}

// PureAffinity places by prefix alone.
type PureAffinity struct{}

func (*Affine) policy()           {}
func (*RoundRobin) policy()       {}
func (*LeastOutstanding) policy() {}
func (*PureAffinity) policy()     {}

// local is what this host knows of an upstream besides its announcements.
type local struct {
	outstanding int
	// own is what was outstanding when the announcement heard at reported arrived.
	own      int
	reported time.Duration
	service  time.Duration // moving average of a request's whole time
	failed   time.Duration // when it last failed; 0: never
}

// Choice is an upstream with a slot of this host's accounting taken. Done gives it back.
type Choice struct {
	*registrar.Upstream
	router *Router
	begun  time.Duration
}

// Pick chooses an upstream and counts the request as outstanding there.
func (r *Router) Pick(q Request) (*Choice, error) {
	live := r.Live()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	pool := r.filter(live, q, now)
	if len(pool) == 0 {
		return nil, ErrNone
	}
	u := r.choose(pool, q, now)
	l := r.of(u)
	l.outstanding++
	return &Choice{Upstream: u, router: r, begun: now}, nil
}

// filter returns the upstreams that may take the request. Those that failed lately are
// only used if there is no other.
func (r *Router) filter(live []*registrar.Upstream, q Request, now time.Duration) []*registrar.Upstream {
	var pool, doubtful []*registrar.Upstream
	for _, u := range live {
		if u.Kind != q.Kind || !serves(u, q) || q.Excluded[u.Name] {
			continue
		}
		if l := r.of(u); l.failed > 0 && now-l.failed < failureTimeout {
			doubtful = append(doubtful, u)
			continue
		}
		pool = append(pool, u)
	}
	if len(pool) == 0 {
		return doubtful
	}
	return pool
}

func serves(u *registrar.Upstream, q Request) bool {
	names := u.Models
	if q.Kind == schema.UpstreamKind_UPSTREAM_SERVICE {
		names = u.Routes
	}
	for _, n := range names {
		if n == q.Pool {
			return true
		}
	}
	return false
}

func (r *Router) choose(pool []*registrar.Upstream, q Request, now time.Duration) *registrar.Upstream {
	switch r.Policy.(type) {
	case *RoundRobin:
		r.turn++
		return pool[r.turn%len(pool)]
	case *LeastOutstanding:
		return r.least(pool, func(u *registrar.Upstream) float64 { return float64(r.of(u).outstanding) })
	case *PureAffinity:
		return preferred(pool, q.Prefix)
	}
	if q.Prefix != 0 {
		u := preferred(pool, q.Prefix)
		if r.relativeLoad(u, now) <= r.bound(pool, now) {
			return u
		}
	}
	return r.least(r.sample(pool), func(u *registrar.Upstream) float64 { return r.expect(u, now).Seconds() })
}

// preferred returns the upstream with the highest hash of name and prefix, so that a
// change of the pool moves only the prefixes of the upstream that came or went.
func preferred(pool []*registrar.Upstream, prefix uint64) *registrar.Upstream {
	var best *registrar.Upstream
	var most uint64
	for _, u := range pool {
		h := mix(xxhash.Sum64String(u.Name) ^ prefix)
		if best == nil || h > most {
			best, most = u, h
		}
	}
	return best
}

// mix spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (r *Router) least(pool []*registrar.Upstream, cost func(*registrar.Upstream) float64) *registrar.Upstream {
	best, low := pool[0], math.Inf(1)
	for _, u := range pool {
		if c := cost(u); c < low {
			best, low = u, c
		}
	}
	return best
}

func (r *Router) sample(pool []*registrar.Upstream) []*registrar.Upstream {
	if len(pool) <= sampleSize {
		return pool
	}
	picked := make([]*registrar.Upstream, 0, sampleSize)
	for range sampleSize {
		picked = append(picked, pool[r.random(len(pool))])
	}
	return picked
}

func (r *Router) random(n int) int {
	if r.Random != nil {
		return r.Random(n)
	}
	return rand.IntN(n)
}

// of returns this host's figures of an upstream. The caller holds mu.
func (r *Router) of(u *registrar.Upstream) *local {
	if r.local == nil {
		r.local = map[string]*local{}
	}
	l := r.local[u.Name]
	if l == nil {
		l = &local{service: defaultService}
		r.local[u.Name] = l
	}
	if u.Heard > l.reported { // a request may end under an older announcement
		l.reported, l.own = u.Heard, l.outstanding
	}
	return l
}

// load estimates the requests on an upstream: this host's own, which it knows, and others'.
func (r *Router) load(u *registrar.Upstream, now time.Duration) float64 {
	return float64(r.of(u).outstanding) + r.others(u, now)
}

// others estimates other hosts' requests on an upstream: what its report counts beyond
// this host's own, discounted by its age.
func (r *Router) others(u *registrar.Upstream, now time.Duration) float64 {
	age := now - u.Heard + time.Duration(u.Age*float64(time.Second))
	trust := math.Exp2(-max(0, age-reportFresh).Seconds() / reportHalfLife.Seconds())
	return trust * math.Max(0, float64(int(u.Running+u.Waiting)-r.of(u).own))
}

func (r *Router) relativeLoad(u *registrar.Upstream, now time.Duration) float64 {
	return r.load(u, now) / float64(max(1, u.Slots))
}

// bound is the relative load up to which affinity is followed: a multiple of the mean,
// and never under one request more than an idle upstream has.
func (r *Router) bound(pool []*registrar.Upstream, now time.Duration) float64 {
	load, slots := 0.0, 0
	for _, u := range r.sample(pool) {
		load += r.load(u, now)
		slots += int(max(1, u.Slots))
	}
	mean := load / float64(slots)
	return math.Max(affinityBound*mean, 1/affinityBound)
}

// expect estimates the time until an upstream begins a request.
func (r *Router) expect(u *registrar.Upstream, now time.Duration) time.Duration {
	slots := float64(max(1, u.Slots))
	queued := r.load(u, now) + 1 - slots
	wait := math.Max(0, queued) / slots * float64(r.of(u).service)
	// A small term prefers the emptier of two upstreams that both have free slots.
	return time.Duration(wait) + time.Duration(r.relativeLoad(u, now)*float64(10*time.Millisecond))
}

// Forecast returns the least expected wait in a pool and the number of free slots.
func (r *Router) Forecast(kind schema.UpstreamKind, pool string) (wait time.Duration, free int, ok bool) {
	live := r.Live()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	wait = math.MaxInt64
	for _, u := range r.filter(live, Request{Kind: kind, Pool: pool}, now) {
		ok = true
		wait = min(wait, r.expect(u, now))
		free += max(0, int(u.Slots)-int(math.Ceil(r.load(u, now))))
	}
	return wait, free, ok
}

// Capacity returns how many requests of a pool this host may run at once: the slots that
// no other host uses, and never less than an equal part of all slots, so that a host that
// holds every slot gives some up. The pool is named as by PoolName.
func (r *Router) Capacity(name string) int {
	live := r.Live()
	kind, pool := splitName(name)
	hosts := 1
	if r.Hosts != nil {
		hosts = max(1, r.Hosts())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	unused, slots := 0.0, 0.0
	for _, u := range r.filter(live, Request{Kind: kind, Pool: pool}, now) {
		slots += float64(u.Slots)
		unused += math.Max(0, float64(u.Slots)-r.others(u, now))
	}
	return int(math.Ceil(math.Max(unused, slots/float64(hosts))))
}

// PoolName names a pool in one word.
func PoolName(kind schema.UpstreamKind, pool string) string {
	if kind == schema.UpstreamKind_UPSTREAM_SERVICE {
		return "route/" + pool
	}
	return "model/" + pool
}

func splitName(name string) (schema.UpstreamKind, string) {
	if pool, ok := strings.CutPrefix(name, "route/"); ok {
		return schema.UpstreamKind_UPSTREAM_SERVICE, pool
	}
	return schema.UpstreamKind_UPSTREAM_ENGINE, strings.TrimPrefix(name, "model/")
}

// Outcome is how an attempt at an upstream ended.
type Outcome int

// The outcomes.
const (
	Finished Outcome = iota
	// Failed: the upstream is passed over for a while.
	Failed
	// Canceled: the caller went away; says nothing of the upstream.
	Canceled
)

// Done gives the slot back.
func (c *Choice) Done(o Outcome) {
	r := c.router
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.of(c.Upstream)
	l.outstanding--
	now := r.Timer.Now()
	switch o {
	case Finished:
		l.failed = 0
		l.service += time.Duration(averageWeight * float64(now-c.begun-l.service))
	case Failed:
		l.failed = now
	}
}

// Prune forgets the figures of upstreams that are neither live nor in use.
func (r *Router) Prune() {
	live := map[string]bool{}
	for _, u := range r.Live() {
		live[u.Name] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, l := range r.local {
		if !live[name] && l.outstanding == 0 {
			delete(r.local, name)
		}
	}
}
