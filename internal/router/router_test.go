package router

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/registrar"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// upstreamSet is a set of upstreams under lease on a manual clock.
type upstreamSet struct {
	clock         *timer.Service
	reg           *registrar.Registrar
	announcements uint64
}

func newUpstreamSet() *upstreamSet {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Second)
	return &upstreamSet{clock: clock, reg: &registrar.Registrar{Timer: clock}}
}

func (p *upstreamSet) announce(a *schema.Announcement) {
	p.announcements++
	a.Kind, a.Number, a.Region = schema.UpstreamKind_UPSTREAM_ENGINE, p.announcements, "clyde"
	if a.Slots == 0 {
		a.Slots = 8
	}
	p.reg.Register(a)
}

func (p *upstreamSet) router(policy Policy) *Router {
	random := rand.New(rand.NewPCG(1, 1))
	return &Router{Timer: p.clock, Live: p.reg.Live, Random: random.IntN, Policy: policy}
}

var anyModel = Request{Kind: schema.UpstreamKind_UPSTREAM_ENGINE, Pool: "m"}

// TestIneligibleUpstreamNotPicked guards against a request sent to an upstream that serves
// another model, is leaving, is excluded or has no valid lease.
func TestIneligibleUpstreamNotPicked(t *testing.T) {
	p := newUpstreamSet()
	p.announce(&schema.Announcement{Name: "other-model", Models: []string{"x"}})
	p.announce(&schema.Announcement{Name: "leaving", Models: []string{"m"}, Leaving: true})
	p.announce(&schema.Announcement{Name: "excluded", Models: []string{"m"}})
	p.announce(&schema.Announcement{Name: "short-lease", Models: []string{"m"}, Lease: 0.5})
	p.announce(&schema.Announcement{Name: "other-version", Models: []string{"m"}, Software: "v2"})
	p.announce(&schema.Announcement{Name: "good", Models: []string{"m"}, Software: "v1"})
	p.clock.Advance(time.Second)
	r := p.router(nil)
	q := anyModel
	q.Excluded = map[string]bool{"excluded": true}
	version := "v1"
	q.Software = &version
	for range 50 {
		u, err := r.Pick(q)
		if err != nil || u.Name != "good" {
			t.Fatalf("Pick returned %v, %v; want upstream good", u, err)
		}
		u.Release(Succeeded)
	}
	p.clock.Advance(longerThanDefaultLease)
	if _, err := r.Pick(q); !errors.Is(err, ErrNoUpstream) {
		t.Errorf("after every lease ended: error %v, want that of no upstream", err)
	}
}

const longerThanDefaultLease = 5 * time.Second

// TestOldAnnouncementIgnored guards against work for a leaving upstream: an older
// announcement that arrives after the one that says leaving is ignored.
func TestOldAnnouncementIgnored(t *testing.T) {
	p := newUpstreamSet()
	old := &schema.Announcement{Name: "u", Models: []string{"m"}}
	p.announce(old)
	p.announce(&schema.Announcement{Name: "u", Models: []string{"m"}, Leaving: true})
	if p.reg.Register(old) || len(p.reg.Live()) != 0 {
		t.Error("an older announcement replaced a newer one")
	}
}

// TestAffinityYieldsToLoad guards against an upstream overloaded by one popular prefix, and
// against a prefix that moves without need: it stays on one upstream until the load there is
// well above that of the others.
func TestAffinityYieldsToLoad(t *testing.T) {
	p := newUpstreamSet()
	for i := range 6 {
		p.announce(&schema.Announcement{Name: fmt.Sprint("u", i), Models: []string{"m"}})
	}
	r := p.router(nil)
	q := anyModel
	q.PrefixHash = 77
	counts := map[string]int{}
	for range 36 {
		u, err := r.Pick(q)
		if err != nil {
			t.Fatal(err)
		}
		counts[u.Name]++
	}
	if len(counts) < 4 {
		t.Errorf("a burst with one prefix stayed on %d of 6 upstreams: %v", len(counts), counts)
	}
	first := ""
	for range 20 {
		r := p.router(nil)
		u, err := r.Pick(q)
		if err != nil {
			t.Fatal(err)
		}
		if first == "" {
			first = u.Name
		}
		if u.Name != first {
			t.Fatalf("without load the prefix moved from %s to %s", first, u.Name)
		}
	}
}

// TestCapacityYieldsToOtherHosts guards against a host that keeps every slot of an upstream:
// its capacity falls once another host has requests there.
func TestCapacityYieldsToOtherHosts(t *testing.T) {
	p := newUpstreamSet()
	p.announce(&schema.Announcement{Name: "u", Models: []string{"m"}, Slots: 8})
	r := p.router(nil)
	r.HostCount = func() int { return 4 } // an equal fraction would be 2
	for range 8 {
		if _, err := r.Pick(anyModel); err != nil {
			t.Fatal(err)
		}
	}
	if got := r.Capacity("model/m"); got != 8 {
		t.Errorf("without requests of other hosts: capacity %d, want 8", got)
	}
	p.clock.Advance(time.Millisecond)
	p.announce(&schema.Announcement{Name: "u", Models: []string{"m"}, Slots: 8, Running: 8, Waiting: 4})
	if got := r.Capacity("model/m"); got != 4 {
		t.Errorf("with 4 requests of another host waiting: capacity %d, want 4", got)
	}
}

// simulatedEngine is a model of an upstream: slots that serve a queue in order, and a cache of
// prefixes.
type simulatedEngine struct {
	name           string
	slotFreeAt     []time.Duration // by slot, on the clock of the test
	cachedPrefixes []uint64
}

// policyResult is what one policy achieved on the trace.
type policyResult struct {
	p50, p99         time.Duration
	hitFraction      float64
	worstCustomerP99 time.Duration
}

// TestPoliciesOnOneTrace guards against a default policy that is worse than a baseline. All
// policies get the same requests: prompts with shared prefixes of uneven popularity, 18
// replicas of which six are half as fast, load reports up to a second old. The default must
// have the lowest p99 of the time to the first token of all, and more cache hits than the two
// that ignore prefixes.
func TestPoliciesOnOneTrace(t *testing.T) {
	results := map[string]policyResult{}
	for name, policy := range map[string]Policy{
		"affine": &BoundedAffinity{}, "round robin": &RoundRobin{}, "least outstanding": &LeastOutstanding{}, "pure affinity": &PureAffinity{},
	} {
		results[name] = runTrace(t, policy)
		x := results[name]
		t.Logf("%-18s first token p50 %v p99 %v, cache hits %.0f%%, worst customer's p99 %v", name, x.p50, x.p99, 100*x.hitFraction, x.worstCustomerP99)
	}
	best := results["affine"]
	for name, x := range results {
		if x.p99 < best.p99 {
			t.Errorf("%s has a lower p99 of the time to the first token: %v, the default %v", name, x.p99, best.p99)
		}
	}
	if best.hitFraction <= results["round robin"].hitFraction || best.hitFraction <= results["least outstanding"].hitFraction {
		t.Errorf("fraction of cache hits %.2f is not above that of the policies that ignore prefixes", best.hitFraction)
	}
}

func runTrace(t *testing.T, policy Policy) policyResult {
	t.Helper()
	p := newUpstreamSet()
	r := p.router(policy)
	random := rand.New(rand.NewPCG(9, 9))
	zipf := rand.NewZipf(random, 1.2, 1, 199)
	engines := map[string]*simulatedEngine{}
	for i := range 18 {
		e := &simulatedEngine{name: fmt.Sprintf("u%02d", i), slotFreeAt: make([]time.Duration, 8)}
		engines[e.name] = e
	}
	report := func() {
		for _, name := range slices.Sorted(func(yield func(string) bool) {
			for n := range engines {
				if !yield(n) {
					return
				}
			}
		}) {
			running := int32(0)
			for _, b := range engines[name].slotFreeAt {
				if b > p.clock.Now() {
					running++
				}
			}
			p.announce(&schema.Announcement{Name: name, Models: []string{"m"}, Slots: 8, Running: running})
		}
	}
	report()
	var firstTokenTimes []time.Duration
	byCustomer := map[uint64][]time.Duration{}
	hits, total := 0, 0
	const meanInterval = 5 * time.Millisecond // between requests; the load is two thirds of what all replicas can serve
	for nextReportAt := time.Second; total < 12000; {
		p.clock.Advance(time.Duration(random.ExpFloat64() * float64(meanInterval)))
		if p.clock.Now() > nextReportAt {
			nextReportAt += time.Second
			report()
		}
		total++
		prefix := zipf.Uint64() + 1
		q := anyModel
		q.PrefixHash = mix(prefix)
		u, err := r.Pick(q)
		if err != nil {
			t.Fatal(err)
		}
		firstTokenTime, endAt, hit := engines[u.Name].serve(p.clock.Now(), prefix, random)
		p.clock.Once(endAt-p.clock.Now(), func() { u.Release(Succeeded) })
		firstTokenTimes = append(firstTokenTimes, firstTokenTime)
		byCustomer[prefix%10] = append(byCustomer[prefix%10], firstTokenTime)
		if hit {
			hits++
		}
	}
	return summarize(firstTokenTimes, byCustomer, float64(hits)/float64(total))
}

// serve adds a request that arrives at now. It returns the time from the arrival to the first
// token, when the request ends, and whether its prefix was cached.
func (e *simulatedEngine) serve(now time.Duration, prefix uint64, random *rand.Rand) (firstTokenTime, endAt time.Duration, hit bool) {
	slot := 0
	for i, b := range e.slotFreeAt {
		if b < e.slotFreeAt[slot] {
			slot = i
		}
	}
	startAt := max(now, e.slotFreeAt[slot])
	prefill, decode := 200*time.Millisecond, time.Duration(200+random.IntN(600))*time.Millisecond
	if cachedIndex := slices.Index(e.cachedPrefixes, prefix); cachedIndex >= 0 {
		hit = true
		prefill = 40 * time.Millisecond
		e.cachedPrefixes = slices.Delete(e.cachedPrefixes, cachedIndex, cachedIndex+1)
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > 30 {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	if e.name > "u11" { // the six slow replicas
		prefill, decode = prefill*2, decode*2
	}
	e.slotFreeAt[slot] = startAt + prefill + decode
	return startAt + prefill - now, e.slotFreeAt[slot], hit
}

func summarize(firstTokenTimes []time.Duration, byCustomer map[uint64][]time.Duration, hitFraction float64) policyResult {
	quantile := func(x []time.Duration, q float64) time.Duration {
		slices.Sort(x)
		return x[int(q*float64(len(x)-1))].Round(time.Millisecond)
	}
	c := policyResult{p50: quantile(firstTokenTimes, 0.5), p99: quantile(firstTokenTimes, 0.99), hitFraction: hitFraction}
	for _, x := range byCustomer {
		c.worstCustomerP99 = max(c.worstCustomerP99, quantile(x, 0.99))
	}
	return c
}

// BenchmarkCapacityPick measures one Pick among the replicas of a region.
func BenchmarkCapacityPick(b *testing.B) {
	for _, n := range []int{87, 290, 870} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newUpstreamSet()
			for i := range n {
				p.announce(&schema.Announcement{Name: fmt.Sprintf("upstream-%04d", i), Models: []string{"m"}, Slots: 32, Lease: 10})
			}
			r := p.router(nil)
			q := anyModel
			b.ReportAllocs()
			for b.Loop() {
				q.PrefixHash++
				u, err := r.Pick(q)
				if err != nil {
					b.Fatal(err)
				}
				u.Release(Succeeded)
			}
		})
	}
}

// TestOwnRequestsCountedOnce guards against free slots that stay unused. A load report
// includes this host's own requests: they must not be counted twice, nor once they have ended.
func TestOwnRequestsCountedOnce(t *testing.T) {
	p := newUpstreamSet()
	p.announce(&schema.Announcement{Name: "u", Models: []string{"m"}, Slots: 8})
	r := p.router(nil)
	var reservations []*Reservation
	for range 4 {
		u, err := r.Pick(anyModel)
		if err != nil {
			t.Fatal(err)
		}
		reservations = append(reservations, u)
	}
	p.clock.Advance(time.Millisecond)
	p.announce(&schema.Announcement{Name: "u", Models: []string{"m"}, Slots: 8, Running: 4})
	if _, free, _ := r.Forecast(anyModel.Kind, "m"); free != 4 || r.Capacity("model/m") != 8 {
		t.Errorf("with 4 own requests reported: %d free slots, capacity %d; want 4 and 8", free, r.Capacity("model/m"))
	}
	for _, u := range reservations {
		u.Release(Succeeded)
	}
	if _, free, _ := r.Forecast(anyModel.Kind, "m"); free != 8 {
		t.Errorf("after all own requests ended: %d free slots, want 8", free)
	}
}
