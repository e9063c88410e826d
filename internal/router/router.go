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
	// Upstreams sampled and compared for a request that does not go to the preferred upstream
	// of its prefix.
	sampleSize = 4
	// A preferred upstream is chosen up to this multiple of the mean load per slot.
	affinityLoadFactor = 1.25
	// A load report counts in full up to freshReportAge; beyond that its weight halves with
	// each reportHalfLife.
	freshReportAge = 1200 * time.Millisecond
	reportHalfLife = 2 * time.Second
	// Weight of a new sample in the moving average of service time.
	smoothingFactor = 0.2
	// Service time assumed for an upstream before the first request has finished.
	defaultServiceTime = time.Second
	// For this long after a failure an upstream is chosen only if there is no other.
	failureCooldown = 2 * time.Second
)

// ErrNoUpstream is returned if no upstream of this region can take the request.
var ErrNoUpstream = errors.New("router: no upstream can take the request")

// Request holds what the choice of an upstream depends on.
type Request struct {
	Kind schema.UpstreamKind
	// Pool is the model or the route.
	Pool string
	// PrefixHash is the hash of the prompt's shared prefix; 0: no affinity.
	PrefixHash uint64
	// Excluded holds the names of upstreams that must not be chosen, since they failed for
	// this request. Nil: none.
	Excluded map[string]bool
	// Software is the version of the software that the upstream must run; nil: any.
	Software *string
}

// Router chooses among the upstreams of one region. Set the exported fields before use. It
// is safe for concurrent use.
type Router struct {
	Timer *timer.Service
	// Live returns the upstreams under lease. Their ReceivedAt must be on Timer's clock.
	Live func() []*registrar.Upstream
	// HostCount returns how many entry hosts share the upstreams. Nil: one.
	HostCount func() int
	// Random returns a random number in [0, n). Nil: math/rand/v2's.
	Random func(n int) int
	// Policy is how an upstream is chosen; nil is *BoundedAffinity.
	Policy Policy

	mu              sync.Mutex
	states          map[string]*upstreamState // by upstream name; guarded by mu
	roundRobinIndex int                       // guarded by mu
}

// Policy is one way of choosing: *BoundedAffinity, *RoundRobin, *LeastOutstanding or
// *PureAffinity. The last three are baselines to compare the first with.
type Policy interface{ policy() }

// BoundedAffinity chooses the preferred upstream of the prefix unless its load is above a
// bound, else the upstream with the least expected wait of a random sample.
type BoundedAffinity struct{}

// RoundRobin chooses the upstreams in turn.
type RoundRobin struct{}

// LeastOutstanding chooses the upstream with the fewest outstanding requests of this host.
type LeastOutstanding struct{}

// PureAffinity always chooses the preferred upstream of the prefix.
type PureAffinity struct{}

func (*BoundedAffinity) policy()  {}
func (*RoundRobin) policy()       {}
func (*LeastOutstanding) policy() {}
func (*PureAffinity) policy()     {}

// upstreamState is what this host has measured of an upstream itself. Times are on the clock of
// Router.Timer.
type upstreamState struct {
	outstanding int // requests of this host
	// outstandingAtReport is outstanding when the announcement received at
	// reportReceivedAt arrived.
	outstandingAtReport int
	reportReceivedAt    time.Duration
	serviceTime         time.Duration // moving average of the time from choice to release
	failedAt            time.Duration // when it last failed; 0: never
}

// Reservation is an upstream at which this host counts one slot as reserved, until it is released.
type Reservation struct {
	*registrar.Upstream
	router   *Router
	pickedAt time.Duration
}

// Pick chooses an upstream and counts the request as outstanding there until the returned
// reservation is released. It fails only if no upstream can take the request.
func (r *Router) Pick(q Request) (*Reservation, error) {
	live := r.Live()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	candidates := r.filter(live, q, now)
	if len(candidates) == 0 {
		return nil, ErrNoUpstream
	}
	u := r.choose(candidates, q, now)
	s := r.stateOf(u)
	s.outstanding++
	return &Reservation{Upstream: u, router: r, pickedAt: now}, nil
}

// filter returns the upstreams that may take the request. Those that failed within
// failureCooldown are returned only if there is no other. The caller holds mu.
func (r *Router) filter(live []*registrar.Upstream, q Request, now time.Duration) []*registrar.Upstream {
	var healthy, recentlyFailed []*registrar.Upstream
	for _, u := range live {
		if u.Kind != q.Kind || !serves(u, q) || q.Excluded[u.Name] {
			continue
		}
		if s := r.stateOf(u); s.failedAt > 0 && now-s.failedAt < failureCooldown {
			recentlyFailed = append(recentlyFailed, u)
			continue
		}
		healthy = append(healthy, u)
	}
	if len(healthy) == 0 {
		return recentlyFailed
	}
	return healthy
}

func serves(u *registrar.Upstream, q Request) bool {
	if q.Software != nil && u.Software != *q.Software {
		return false
	}
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

func (r *Router) choose(candidates []*registrar.Upstream, q Request, now time.Duration) *registrar.Upstream {
	switch r.Policy.(type) {
	case *RoundRobin:
		r.roundRobinIndex++
		return candidates[r.roundRobinIndex%len(candidates)]
	case *LeastOutstanding:
		return r.leastCost(candidates, func(u *registrar.Upstream) float64 { return float64(r.stateOf(u).outstanding) })
	case *PureAffinity:
		return preferred(candidates, q.PrefixHash)
	}
	if q.PrefixHash != 0 {
		u := preferred(candidates, q.PrefixHash)
		if r.loadPerSlot(u, now) <= r.maxAffinityLoad(candidates, now) {
			return u
		}
	}
	return r.leastCost(r.sample(candidates), func(u *registrar.Upstream) float64 { return r.expectedWait(u, now).Seconds() })
}

// preferred returns the candidate with the highest hash of its name and the prefix
// (rendezvous hashing). Thus a change of the candidates moves only the prefixes of the
// upstream that was added or removed.
func preferred(candidates []*registrar.Upstream, prefix uint64) *registrar.Upstream {
	var best *registrar.Upstream
	var highest uint64
	for _, u := range candidates {
		h := mix(xxhash.Sum64String(u.Name) ^ prefix)
		if best == nil || h > highest {
			best, highest = u, h
		}
	}
	return best
}

// mix spreads the bits of x over the result (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (r *Router) leastCost(candidates []*registrar.Upstream, cost func(*registrar.Upstream) float64) *registrar.Upstream {
	best, lowest := candidates[0], math.Inf(1)
	for _, u := range candidates {
		if c := cost(u); c < lowest {
			best, lowest = u, c
		}
	}
	return best
}

func (r *Router) sample(candidates []*registrar.Upstream) []*registrar.Upstream {
	if len(candidates) <= sampleSize {
		return candidates
	}
	sampled := make([]*registrar.Upstream, 0, sampleSize)
	for range sampleSize {
		sampled = append(sampled, candidates[r.randomIndex(len(candidates))])
	}
	return sampled
}

func (r *Router) randomIndex(n int) int {
	if r.Random != nil {
		return r.Random(n)
	}
	return rand.IntN(n)
}

// stateOf returns what this host has measured of an upstream, with defaults for one that is not
// known yet. The caller holds mu.
func (r *Router) stateOf(u *registrar.Upstream) *upstreamState {
	if r.states == nil {
		r.states = map[string]*upstreamState{}
	}
	s := r.states[u.Name]
	if s == nil {
		s = &upstreamState{serviceTime: defaultServiceTime}
		r.states[u.Name] = s
	}
	if u.ReceivedAt > s.reportReceivedAt { // a release uses the announcement of its Pick, which may be older
		s.reportReceivedAt, s.outstandingAtReport = u.ReceivedAt, s.outstanding
	}
	return s
}

// estimatedLoad returns the number of requests at an upstream: this host's outstanding ones and
// the estimate of other hosts'. The caller holds mu.
func (r *Router) estimatedLoad(u *registrar.Upstream, now time.Duration) float64 {
	return float64(r.stateOf(u).outstanding) + r.otherHostsLoad(u, now)
}

// otherHostsLoad estimates other hosts' requests at an upstream: what its announcement counts
// beyond this host's own at that time, discounted by the age of the figures. The caller holds
// mu.
func (r *Router) otherHostsLoad(u *registrar.Upstream, now time.Duration) float64 {
	age := now - u.ReceivedAt + timer.Seconds(u.Age)
	weight := math.Exp2(-max(0, age-freshReportAge).Seconds() / reportHalfLife.Seconds())
	return weight * math.Max(0, float64(int(u.Running+u.Waiting)-r.stateOf(u).outstandingAtReport))
}

func (r *Router) loadPerSlot(u *registrar.Upstream, now time.Duration) float64 {
	return r.estimatedLoad(u, now) / float64(max(1, u.Slots))
}

// maxAffinityLoad returns the load per slot up to which a preferred upstream is chosen:
// affinityLoadFactor times the mean of a sample, and at least 1/affinityLoadFactor, so that a
// few requests do not divert a prefix while the other upstreams are idle. The caller holds mu.
func (r *Router) maxAffinityLoad(candidates []*registrar.Upstream, now time.Duration) float64 {
	load, slots := 0.0, 0
	for _, u := range r.sample(candidates) {
		load += r.estimatedLoad(u, now)
		slots += int(max(1, u.Slots))
	}
	mean := load / float64(slots)
	return math.Max(affinityLoadFactor*mean, 1/affinityLoadFactor)
}

// expectedWait estimates the time until an upstream would begin a new request. The caller
// holds mu.
func (r *Router) expectedWait(u *registrar.Upstream, now time.Duration) time.Duration {
	slots := float64(max(1, u.Slots))
	excess := r.estimatedLoad(u, now) + 1 - slots
	wait := math.Max(0, excess) / slots * float64(r.stateOf(u).serviceTime)
	// The last term prefers the less loaded of two upstreams that both have free slots.
	return time.Duration(wait) + time.Duration(r.loadPerSlot(u, now)*float64(10*time.Millisecond))
}

// Forecast returns the least expected wait at any upstream of a pool (a model or a route) and
// the number of free slots of all. If no upstream serves the pool, ok is false and wait the
// longest duration.
func (r *Router) Forecast(kind schema.UpstreamKind, pool string) (wait time.Duration, free int, ok bool) {
	live := r.Live()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	wait = math.MaxInt64
	for _, u := range r.filter(live, Request{Kind: kind, Pool: pool}, now) {
		ok = true
		wait = min(wait, r.expectedWait(u, now))
		free += max(0, int(u.Slots)-int(math.Ceil(r.estimatedLoad(u, now))))
	}
	return wait, free, ok
}

// Capacity returns how many requests of a pool this host may run at once: the slots that no
// other host uses, and never less than an equal fraction of all slots, so that a host whose
// requests hold every slot gives some up. The pool is named as by PoolName.
func (r *Router) Capacity(poolName string) int {
	live := r.Live()
	kind, pool := parsePoolName(poolName)
	hosts := 1
	if r.HostCount != nil {
		hosts = max(1, r.HostCount())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	unused, slots := 0.0, 0.0
	for _, u := range r.filter(live, Request{Kind: kind, Pool: pool}, now) {
		slots += float64(u.Slots)
		unused += math.Max(0, float64(u.Slots)-r.otherHostsLoad(u, now))
	}
	return int(math.Ceil(math.Max(unused, slots/float64(hosts))))
}

// PoolName returns the name of a pool (a model or a route) that is unique across kinds.
func PoolName(kind schema.UpstreamKind, pool string) string {
	if kind == schema.UpstreamKind_UPSTREAM_SERVICE {
		return "route/" + pool
	}
	return "model/" + pool
}

func parsePoolName(poolName string) (schema.UpstreamKind, string) {
	if pool, ok := strings.CutPrefix(poolName, "route/"); ok {
		return schema.UpstreamKind_UPSTREAM_SERVICE, pool
	}
	return schema.UpstreamKind_UPSTREAM_ENGINE, strings.TrimPrefix(poolName, "model/")
}

// Outcome is how an attempt at an upstream ended.
type Outcome int

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota
	// Failed: the upstream is avoided for failureCooldown.
	Failed
	// Canceled: the attempt ended early and says nothing about the upstream, as when the
	// caller went away.
	Canceled
)

// Release releases the slot and records the outcome. It is to be called once.
func (c *Reservation) Release(o Outcome) {
	r := c.router
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stateOf(c.Upstream)
	s.outstanding--
	now := r.Timer.Now()
	switch o {
	case Succeeded:
		s.failedAt = 0
		s.serviceTime += time.Duration(smoothingFactor * float64(now-c.pickedAt-s.serviceTime))
	case Failed:
		s.failedAt = now
	}
}

// Prune deletes what was measured of upstreams that are not live and have no outstanding
// requests of this host.
func (r *Router) Prune() {
	live := map[string]bool{}
	for _, u := range r.Live() {
		live[u.Name] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.states {
		if !live[name] && s.outstanding == 0 {
			delete(r.states, name)
		}
	}
}
