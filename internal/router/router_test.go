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

// pool is a set of upstreams under lease on a manual clock.
type pool struct {
	clock *timer.Service
	reg   *registrar.Registrar
	n     uint64
}

func newPool() *pool {
	clock := &timer.Service{Clock: &timer.Manual{}}
	clock.Advance(time.Second)
	return &pool{clock: clock, reg: &registrar.Registrar{Timer: clock}}
}

func (p *pool) announce(a *schema.Announcement) {
	p.n++
	a.Kind, a.Number, a.Region = schema.UpstreamKind_UPSTREAM_ENGINE, p.n, "clyde"
	if a.Slots == 0 {
		a.Slots = 8
	}
	p.reg.Take(a)
}

func (p *pool) router(policy Policy) *Router {
	random := rand.New(rand.NewPCG(1, 1))
	return &Router{Timer: p.clock, Live: p.reg.Live, Random: random.IntN, Policy: policy}
}

var anyModel = Request{Kind: schema.UpstreamKind_UPSTREAM_ENGINE, Pool: "m"}

// TestFilters requires that nothing is chosen that may not take the request.
func TestFilters(t *testing.T) {
	p := newPool()
	p.announce(&schema.Announcement{Name: "other-model", Models: []string{"x"}})
	p.announce(&schema.Announcement{Name: "leaving", Models: []string{"m"}, Leaving: true})
	p.announce(&schema.Announcement{Name: "excluded", Models: []string{"m"}})
	p.announce(&schema.Announcement{Name: "short-lease", Models: []string{"m"}, Lease: 0.5})
	p.announce(&schema.Announcement{Name: "good", Models: []string{"m"}})
	p.clock.Advance(time.Second)
	r := p.router(nil)
	q := anyModel
	q.Excluded = map[string]bool{"excluded": true}
	for range 50 {
		u, err := r.Pick(q)
		if err != nil || u.Name != "good" {
			t.Fatalf("picked %v, %v", u, err)
		}
		u.Done(Finished)
	}
	p.clock.Advance(defaultLeaseForTest)
	if _, err := r.Pick(q); !errors.Is(err, ErrNone) {
		t.Errorf("after every lease ended: %v", err)
	}
}

const defaultLeaseForTest = 5 * time.Second

// TestOldAnnouncementIgnored requires that an announcement that was overtaken does not
// bring a leaving upstream back.
func TestOldAnnouncementIgnored(t *testing.T) {
	p := newPool()
	old := &schema.Announcement{Name: "u", Models: []string{"m"}}
	p.announce(old)
	p.announce(&schema.Announcement{Name: "u", Models: []string{"m"}, Leaving: true})
	if p.reg.Take(old) || len(p.reg.Live()) != 0 {
		t.Error("an overtaken announcement was taken")
	}
}

// TestAffinityYieldsToLoad requires that one prefix stays on one upstream until that is
// loaded well above the others.
func TestAffinityYieldsToLoad(t *testing.T) {
	p := newPool()
	for i := range 6 {
		p.announce(&schema.Announcement{Name: fmt.Sprint("u", i), Models: []string{"m"}})
	}
	r := p.router(nil)
	q := anyModel
	q.Prefix = 77
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

// TestHogGivesUpSlots requires that a host that uses every slot is told to use fewer once
// another host has work there too.
func TestHogGivesUpSlots(t *testing.T) {
	p := newPool()
	p.announce(&schema.Announcement{Name: "u", Models: []string{"m"}, Slots: 8})
	r := p.router(nil)
	r.Hosts = func() int { return 4 } // an equal part would be 2
	for range 8 {
		if _, err := r.Pick(anyModel); err != nil {
			t.Fatal(err)
		}
	}
	if got := r.Capacity("model/m"); got != 8 {
		t.Errorf("alone: capacity %d, want 8", got)
	}
	p.clock.Advance(time.Millisecond)
	p.announce(&schema.Announcement{Name: "u", Models: []string{"m"}, Slots: 8, Running: 8, Waiting: 4})
	if got := r.Capacity("model/m"); got != 4 {
		t.Errorf("with 4 requests of another host: capacity %d, want 4", got)
	}
}

// engineModel is a replica in the comparison of policies: a queue, slots and a cache.
type engineModel struct {
	name  string
	busy  []time.Duration // when each slot is free
	cache []uint64
}

// compared is what one policy gave on the trace.
type compared struct {
	p50, p99 time.Duration
	hits     float64
	worst    time.Duration
}

// TestPoliciesOnOneTrace compares the policies on the same requests: prompts with shared
// beginnings of uneven popularity, 18 replicas of which six are half as fast, reports a
// second old. It requires that the default has the best p99 of all and more cache hits
// than the two that ignore prefixes.
func TestPoliciesOnOneTrace(t *testing.T) {
	results := map[string]compared{}
	for name, policy := range map[string]Policy{
		"affine": &Affine{}, "round robin": &RoundRobin{}, "least outstanding": &LeastOutstanding{}, "pure affinity": &PureAffinity{},
	} {
		results[name] = runTrace(t, policy)
		x := results[name]
		t.Logf("%-18s first token p50 %v p99 %v, cache hits %.0f%%, worst customer's p99 %v", name, x.p50, x.p99, 100*x.hits, x.worst)
	}
	best := results["affine"]
	for name, x := range results {
		if x.p99 < best.p99 {
			t.Errorf("%s has a better p99: %v, affine %v", name, x.p99, best.p99)
		}
	}
	if best.hits <= results["round robin"].hits || best.hits <= results["least outstanding"].hits {
		t.Errorf("cache hits %.2f are not above those of policies that ignore prefixes", best.hits)
	}
}

func runTrace(t *testing.T, policy Policy) compared {
	t.Helper()
	p := newPool()
	r := p.router(policy)
	random := rand.New(rand.NewPCG(9, 9))
	zipf := rand.NewZipf(random, 1.2, 1, 199)
	engines := map[string]*engineModel{}
	for i := range 18 {
		e := &engineModel{name: fmt.Sprintf("u%02d", i), busy: make([]time.Duration, 8)}
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
			for _, b := range engines[name].busy {
				if b > p.clock.Now() {
					running++
				}
			}
			p.announce(&schema.Announcement{Name: name, Models: []string{"m"}, Slots: 8, Running: running})
		}
	}
	report()
	var firsts []time.Duration
	byCustomer := map[uint64][]time.Duration{}
	hits, total := 0, 0
	const mean = 5 * time.Millisecond // between requests: two thirds of what all can serve
	for next := time.Second; total < 12000; {
		p.clock.Advance(time.Duration(random.ExpFloat64() * float64(mean)))
		if p.clock.Now() > next {
			next += time.Second
			report()
		}
		total++
		prefix := zipf.Uint64() + 1
		q := anyModel
		q.Prefix = mix(prefix)
		u, err := r.Pick(q)
		if err != nil {
			t.Fatal(err)
		}
		first, end, hit := engines[u.Name].run(p.clock.Now(), prefix, random)
		p.clock.Once(end-p.clock.Now(), func() { u.Done(Finished) })
		firsts = append(firsts, first)
		byCustomer[prefix%10] = append(byCustomer[prefix%10], first)
		if hit {
			hits++
		}
	}
	return summarize(firsts, byCustomer, float64(hits)/float64(total))
}

// run returns when a request's first token comes, after its arrival, and when it ends.
func (e *engineModel) run(now time.Duration, prefix uint64, random *rand.Rand) (first, end time.Duration, hit bool) {
	slot := 0
	for i, b := range e.busy {
		if b < e.busy[slot] {
			slot = i
		}
	}
	begin := max(now, e.busy[slot])
	prefill, decode := 200*time.Millisecond, time.Duration(200+random.IntN(600))*time.Millisecond
	if at := slices.Index(e.cache, prefix); at >= 0 {
		hit = true
		prefill = 40 * time.Millisecond
		e.cache = slices.Delete(e.cache, at, at+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > 30 {
		e.cache = e.cache[1:]
	}
	if e.name > "u11" { // six are slower
		prefill, decode = prefill*2, decode*2
	}
	e.busy[slot] = begin + prefill + decode
	return begin + prefill - now, e.busy[slot], hit
}

func summarize(firsts []time.Duration, byCustomer map[uint64][]time.Duration, hits float64) compared {
	at := func(x []time.Duration, q float64) time.Duration {
		slices.Sort(x)
		return x[int(q*float64(len(x)-1))].Round(time.Millisecond)
	}
	c := compared{p50: at(firsts, 0.5), p99: at(firsts, 0.99), hits: hits}
	for _, x := range byCustomer {
		c.worst = max(c.worst, at(x, 0.99))
	}
	return c
}

// BenchmarkCapacityPick measures one choice among the replicas of a region.
func BenchmarkCapacityPick(b *testing.B) {
	for _, n := range []int{87, 290, 870} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newPool()
			for i := range n {
				p.announce(&schema.Announcement{Name: fmt.Sprintf("upstream-%04d", i), Models: []string{"m"}, Slots: 32, Lease: 10})
			}
			r := p.router(nil)
			q := anyModel
			b.ReportAllocs()
			for b.Loop() {
				q.Prefix++
				u, err := r.Pick(q)
				if err != nil {
					b.Fatal(err)
				}
				u.Done(Finished)
			}
		})
	}
}

// TestOwnWorkCountedOnce requires that a report that includes this host's own requests does
// not make them count twice, and that what has ended since counts no more.
func TestOwnWorkCountedOnce(t *testing.T) {
	p := newPool()
	p.announce(&schema.Announcement{Name: "u", Models: []string{"m"}, Slots: 8})
	r := p.router(nil)
	var mine []*Choice
	for range 4 {
		u, err := r.Pick(anyModel)
		if err != nil {
			t.Fatal(err)
		}
		mine = append(mine, u)
	}
	p.clock.Advance(time.Millisecond)
	p.announce(&schema.Announcement{Name: "u", Models: []string{"m"}, Slots: 8, Running: 4})
	if _, free, _ := r.Forecast(anyModel.Kind, "m"); free != 4 || r.Capacity("model/m") != 8 {
		t.Errorf("with 4 own requests reported: %d free, capacity %d", free, r.Capacity("model/m"))
	}
	for _, u := range mine {
		u.Done(Finished)
	}
	if _, free, _ := r.Forecast(anyModel.Kind, "m"); free != 8 {
		t.Errorf("after they ended: %d free", free)
	}
}
