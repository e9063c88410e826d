package forwarder

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/assigner"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// site simulates regions with an entry host each and engines, in virtual time.
type site struct {
	*timer.Service
	random  *rand.Rand
	slots   int32 // of each engine
	regions []*siteRegion
	// digestAge is the age of digests when they arrive; delay the time of the way to another region.
	digestAge, delay time.Duration
	// withDigests changes or drops the digests that a region gets; nil: they arrive as they are.
	withDigests func(digests []*schema.RegionDigest) []*schema.RegionDigest
	turning     bool                  // callers move from one region to the next
	counts      map[string]*siteCount // by kind
}

type siteRegion struct {
	name    string
	host    *Forwarder
	engines map[string]*batchEngine
	// A lost region has no hosts and engines, an evacuated one no engines that may be used. One that is cut off
	// reaches no other, and has no digests.
	lost, evacuated, cutOff bool
}

// siteCount is what callers of one kind observed.
type siteCount struct{ sent, refused, late int }

func (c *siteCount) bad() float64 { return float64(c.refused+c.late) / float64(c.sent) }

// siteKind describes requests of one kind.
type siteKind struct {
	name              string
	rate              float64 // requests per second on average
	homes             []string
	shared, own       int64
	output            int64
	objective         time.Duration
	timeout           time.Duration
	rank, prefixes    int
	level             func(at time.Duration) float64 // factor of rate
	route             *schema.Route
	highest           float64 // largest level
	startedAt, endsAt time.Duration
}

// Slots and memory of the engines of the first deployment of docs/design/plan.md, and of the second one.
const (
	siteSlots, siteTokens     = 64, 186_691
	secondSlots, secondTokens = 16, 147_071
)

// newSite returns a site with the given numbers of engines of the first deployment in its regions a, b, c and so on.
func newSite(seed uint64, adaptive bool, engines ...int) *site {
	return newSiteOf(seed, adaptive, siteSlots, siteTokens, engines...)
}

func newSiteOf(seed uint64, adaptive bool, slots int32, tokens int64, engines ...int) *site {
	s := &site{
		Service: &timer.Service{Clock: &timer.ManualClock{}}, random: rand.New(rand.NewPCG(seed, 11)), digestAge: 300 * time.Millisecond,
		slots: slots, delay: 80 * time.Millisecond, counts: map[string]*siteCount{},
	}
	s.Advance(time.Hour)
	c := configurer.FromMessage(&schema.Snapshot{Version: 1, Items: []*schema.Item{
		{Path: "pool/p", Value: &schema.Item_Pool{Pool: &schema.Pool{Name: "p", Engine: &schema.Engine{Slots: slots, Tokens: tokens, Stride: 5}}}},
		{Path: "document", Value: &schema.Item_Document{Document: &schema.Document{Number: 1}}},
	}})
	for i, n := range engines {
		r := &siteRegion{name: string(rune('a' + i)), engines: map[string]*batchEngine{}}
		r.host = &Forwarder{
			Region: r.name, Timer: s.Service, Log: zerolog.Nop(), Metrics: NewMetrics(), Adaptive: func() bool { return adaptive },
			Scheduler: &scheduler.Scheduler{Timer: s.Service, Config: func() *configurer.Snapshot { return c }, Random: s.random.IntN}, Random: s.random.Float64,
		}
		r.host.Configure(c)
		var all []*schema.Announcement
		for j := range n {
			name := fmt.Sprint(r.name, j)
			all = append(all, &schema.Announcement{Name: name, Address: name, Pool: "p", Region: r.name, Domain: r.name, Slots: slots, Incarnation: 1})
			r.engines[name] = &batchEngine{timer: s.Service, slots: int(slots), tokens: tokens}
		}
		r.host.Scheduler.UpdateUpstreams(all)
		s.regions = append(s.regions, r)
	}
	s.Every(200*time.Millisecond, s.exchange)
	return s
}

// exchange sends the load and demand of each region to all.
func (s *site) exchange() {
	var digests []*schema.RegionDigest
	own := map[string][]*schema.PoolLoad{}
	for _, r := range s.regions {
		if r.lost || r.cutOff {
			continue
		}
		d := &schema.ModelDigest{Name: "p", Replicas: int32(len(r.engines)), Slots: int32(len(r.engines)) * s.slots}
		for _, l := range r.host.WithDemands(r.host.Scheduler.OwnLoads()) {
			for _, n := range l.Running {
				d.Running += n
			}
			d.Waiting += l.Waiting
			d.Demands = assigner.AddDemands(d.Demands, l.Demands)
		}
		if r.evacuated {
			d.Evacuated = d.Slots
		}
		own[r.name] = []*schema.PoolLoad{{Pool: "p", Demands: d.Demands}}
		digests = append(digests, &schema.RegionDigest{Region: r.name, Routes: []*schema.ModelDigest{d}})
	}
	s.Once(s.digestAge, func() {
		for _, r := range s.regions {
			if r.cutOff {
				continue
			}
			var others []*schema.RegionDigest
			for _, d := range digests {
				if d.Region != r.name {
					others = append(others, d)
				}
			}
			if s.withDigests != nil {
				others = s.withDigests(others)
			}
			r.host.SetRegionDigests(others)
			r.host.UpdateAssignments(own[r.name], others)
		}
	})
}

// run sends requests of the kinds for d and waits until they have ended.
func (s *site) run(d time.Duration, kinds ...*siteKind) map[string]*siteCount {
	for _, k := range kinds {
		s.counts[k.name] = &siteCount{}
		k.startedAt, k.endsAt, k.highest = s.Now(), s.Now()+d, 0
		for at := time.Duration(0); at < d; at += 50 * time.Millisecond {
			k.highest = max(k.highest, k.level(at))
		}
		s.next(k)
	}
	s.Advance(d + 20*time.Second)
	return s.counts
}

// next schedules the next request of a kind, which arrive as a Poisson process.
func (s *site) next(k *siteKind) {
	s.Once(time.Duration(s.random.ExpFloat64()/(k.rate*k.highest)*float64(time.Second)), func() {
		if s.Now() >= k.endsAt {
			return
		}
		if s.random.Float64()*k.highest < k.level(s.Now()-k.startedAt) {
			s.send(k)
		}
		s.next(k)
	})
}

// caller returns a region at random, in proportion to its engines, or to a number that goes from none to its maximum in two
// seconds.
func (s *site) caller() *siteRegion {
	var all []*siteRegion
	for i, r := range s.regions {
		n := len(r.engines)
		if s.turning {
			n = int(30 * (1 + math.Cos(math.Pi*s.Now().Seconds()/2+2*math.Pi*float64(i)/float64(len(s.regions)))))
		}
		for range n {
			if !r.lost {
				all = append(all, r)
			}
		}
	}
	return all[s.random.IntN(len(all))]
}

func (s *site) region(name string) *siteRegion {
	for _, r := range s.regions {
		if r.name == name {
			return r
		}
	}
	return nil
}

func (s *site) newRequest(k *siteKind, host *Forwarder) *Request {
	now := s.Now()
	prefix := fmt.Sprint(k.name, s.random.IntN(k.prefixes))
	if k.route == nil {
		k.route = &schema.Route{Name: k.name, Kind: schema.RouteKind_ROUTE_STREAM, Objective: k.objective.Seconds(), Timeout: k.timeout.Seconds(), Regions: k.homes}
	}
	r := &Request{
		route: k.route, pool: "p", priority: k.rank, InputTokens: k.shared + k.own, MaxOutputTokens: k.output,
		Parts:     []scheduler.PromptPart{{ID: prefix, Tokens: k.shared}, {ID: fmt.Sprint("own", s.random.Uint64()), Tokens: k.own}},
		ArrivedAt: now, objectiveAt: now + k.objective, answerUntil: now + k.timeout,
	}
	r.bind(host.index.Load(), k.homes)
	return r
}

// send makes a request in the way of Forwarder.dispatch.
func (s *site) send(k *siteKind) {
	s.counts[k.name].sent++
	at := s.caller()
	r := s.newRequest(k, at.host)
	at.host.recordDemand(r)
	asked := map[string]bool{}
	remotely := func() {}
	remotely = func() {
		region := at.host.nextRegion(r, asked)
		if region == "" {
			s.counts[k.name].refused++
			return
		}
		asked[region] = true
		s.relay(at, region, r, k, remotely)
	}
	locally := func() { s.acquire(at, r, k, remotely) }
	switch {
	case !r.allows(at.name):
		remotely()
	default:
		if region := at.host.offloadRegion(r); region != "" {
			s.relay(at, region, r, k, locally)
			return
		}
		locally()
	}
}

// relay serves a request in another region, or calls otherwise.
func (s *site) relay(from *siteRegion, region string, r *Request, k *siteKind, otherwise func()) {
	s.Once(s.delay, func() {
		if to := s.region(region); to != nil && !to.lost && !to.cutOff && !from.cutOff {
			s.acquire(to, r, k, otherwise)
			return
		}
		otherwise()
	})
}

// acquire serves a request in a region, or calls otherwise if it gets no slot there in time. It looks for a slot at
// intervals instead of waiting in the queue, since Acquire blocks.
func (s *site) acquire(at *siteRegion, r *Request, k *siteKind, otherwise func()) {
	if at.evacuated {
		otherwise()
		return
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	wait := max(100*time.Millisecond, time.Duration(0.35*float64(r.objectiveAt-s.Now())))
	until := s.Now() + wait
	var try func()
	try = func() {
		p, err := at.host.Scheduler.Acquire(ended, r.schedulerRequest(nil))
		switch {
		case err == nil:
			s.start(at, r, k, p)
		case s.Now() < until:
			s.Once(20*time.Millisecond, try)
		default:
			otherwise()
		}
	}
	try()
}

func (s *site) start(at *siteRegion, r *Request, k *siteKind, p *scheduler.Reservation) {
	at.engines[p.Name].submit(&batchJob{
		prefix: r.sharedPrefix(), shared: k.shared, own: k.own, output: k.output,
		onFirst: func() {
			p.RecordFirstToken()
			if s.Now() > r.objectiveAt {
				s.counts[k.name].late++
			}
		},
		onEnd: func() { p.Release(scheduler.Answered) },
	})
}

// reread returns the tokens of shared prefixes that engines prefilled, as a fraction of all that they prefilled.
func (s *site) reread() float64 {
	read, again := 0.0, 0.0
	for _, r := range s.regions {
		for _, e := range r.engines {
			read += float64(e.read)
			again += float64(e.again)
		}
	}
	return again / read
}

// swing returns a level between 0.2 and 2.8 that goes from one to the other in two seconds; its mean is 1.2.
func swing(offset time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		return 0.2 + 2.6*math.Pow((1-math.Cos(math.Pi*(at+offset).Seconds()/2))/2, 2)
	}
}

func boundKind(level func(time.Duration) float64) *siteKind {
	return &siteKind{
		name: "bound", rate: 303, homes: []string{"a", "b"}, shared: 198, own: 628, output: 290, objective: 800 * time.Millisecond,
		timeout: 15 * time.Second, prefixes: 300, level: level,
	}
}

func unboundKind(level func(time.Duration) float64) *siteKind {
	return &siteKind{
		name: "unbound", rate: 57.7, shared: 6_300, own: 2_890, output: 50, objective: 2_500 * time.Millisecond,
		timeout: 6 * time.Second, rank: 2, prefixes: 120, level: level,
	}
}

// heavily returns a level that is higher by a factor.
func heavily(level func(time.Duration) float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 { return 1.6 * level(at) }
}

func steady(level float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return level }
}

// TestBoundWorkGetsItsCapacity compares the assignment with the choice without it, under the load of the first
// deployment. It guards against unbound work that takes the capacity of bound work while another region has room, and
// against an assignment that costs callers something while all regions have room.
func TestBoundWorkGetsItsCapacity(t *testing.T) {
	for _, c := range []struct {
		name           string
		bound, unbound func(time.Duration) float64
		// most is the largest fraction of bound requests that may be refused or late, as a multiple of that
		// without the assignment.
		most    float64
		turning bool
		second  bool // the engines and kinds of the second deployment
	}{
		{"room in all regions", swing(0), swing(0), 1, false, false},
		{"room in all regions, kinds in turns", swing(0), swing(2 * time.Second), 1, false, false},
		{"bound work exceeds its regions at peaks", heavily(swing(0)), steady(1), 0.4, false, false},
		{"all regions full at peaks", heavily(swing(0)), heavily(swing(0)), 0.8, false, false},
		{"too much bound work throughout", steady(2.4), steady(2), 1, false, false},
		{"callers move between regions", steady(2), steady(1.5), 1, true, false},
		{"second deployment", swing(0), swing(0), 1, false, true},
		{"second deployment, bound work exceeds its regions at peaks", heavily(swing(0)), steady(1), 1, false, true},
	} {
		var results [2]map[string]*siteCount
		for i, adaptive := range []bool{false, true} {
			s := newSite(1, adaptive, 28, 20, 14)
			bound, unbound := boundKind(c.bound), unboundKind(c.unbound)
			if c.second {
				s = newSiteOf(1, adaptive, secondSlots, secondTokens, 64, 46, 32)
				bound.rate, bound.objective = 254, 2*time.Second
				unbound.rate, unbound.objective, unbound.rank = 188, 1200*time.Millisecond, 1
			}
			s.turning = c.turning
			results[i] = s.run(12*time.Second, bound, unbound)
			for _, k := range []string{"bound", "unbound"} {
				n := results[i][k]
				t.Logf("%s, adaptive %v: %s: %d sent, %d refused, %d late (%.3f); %.3f of what was prefilled is shared prefixes", c.name, adaptive, k, n.sent, n.refused, n.late, n.bad(), s.reread())
			}
		}
		before, after := results[0], results[1]
		if got, most := after["bound"].bad(), before["bound"].bad()*c.most+0.04; got > most {
			t.Errorf("%s: %.3f of the bound requests are refused or late, want at most %.3f", c.name, got, most)
		}
		if got, most := after["unbound"].bad(), before["unbound"].bad()+0.04; got > most {
			t.Errorf("%s: %.3f of the unbound requests are refused or late, want at most %.3f", c.name, got, most)
		}
	}
}

// TestAssignmentUnderFailures guards against an assignment that does more harm than the choice without it while a
// region is lost, evacuated or cut off for 5 s and then returns, or while digests are lost, come from hosts of an
// earlier version or are absurd. Results of equal runs differ by up to 0.04, as
// choices are random.
func TestAssignmentUnderFailures(t *testing.T) {
	const from, to = 3 * time.Second, 8 * time.Second
	during := func(s *site, region string, begin func(*siteRegion)) {
		r := s.region(region)
		s.Once(from, func() { begin(r) })
		s.Once(to, func() { r.lost, r.evacuated, r.cutOff = false, false, false })
	}
	someDigests := func(change func(n int, d *schema.ModelDigest) bool) func(s *site) {
		return func(s *site) {
			n := 0
			s.withDigests = func(digests []*schema.RegionDigest) []*schema.RegionDigest {
				var changed []*schema.RegionDigest
				for _, d := range digests {
					n++
					m := proto.Clone(d).(*schema.RegionDigest)
					if change(n, m.Routes[0]) {
						changed = append(changed, m)
					}
				}
				return changed
			}
		}
	}
	for _, c := range []struct {
		name  string
		begin func(s *site)
	}{
		{"free region lost", func(s *site) { during(s, "c", func(r *siteRegion) { r.lost = true }) }},
		{"home lost", func(s *site) { during(s, "b", func(r *siteRegion) { r.lost = true }) }},
		{"free region evacuated", func(s *site) { during(s, "c", func(r *siteRegion) { r.evacuated = true }) }},
		{"home evacuated", func(s *site) { during(s, "b", func(r *siteRegion) { r.evacuated = true }) }},
		{"free region cut off", func(s *site) { during(s, "c", func(r *siteRegion) { r.cutOff = true }) }},
		{"digests of regions missing at times", someDigests(func(int, *schema.ModelDigest) bool { return s1.IntN(4) > 0 })},
		{"four of five replies lost", func(s *site) {
			s.withDigests = func(digests []*schema.RegionDigest) []*schema.RegionDigest {
				if s1.IntN(5) > 0 {
					return nil
				}
				return digests
			}
		}},
		{"earlier version", someDigests(func(_ int, d *schema.ModelDigest) bool {
			d.Demands = nil
			return true
		})},
		{"absurd digests", someDigests(func(n int, d *schema.ModelDigest) bool {
			if n%3 == 0 {
				values := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300}
				for _, x := range d.Demands {
					x.Work, x.Shared = values[s1.IntN(len(values))], values[s1.IntN(len(values))]
				}
				d.Demands = append(d.Demands, &schema.HomeDemand{Homes: []string{"z", "", "z"}, Work: 5})
			}
			return true
		})},
	} {
		var results [2]map[string]*siteCount
		for i, adaptive := range []bool{false, true} {
			s := newSite(2, adaptive, 28, 20, 14)
			c.begin(s)
			results[i] = s.run(12*time.Second, boundKind(heavily(swing(0))), unboundKind(steady(1)))
			for _, k := range []string{"bound", "unbound"} {
				n := results[i][k]
				t.Logf("%s, adaptive %v: %s: %d sent, %d refused, %d late (%.3f)", c.name, adaptive, k, n.sent, n.refused, n.late, n.bad())
			}
		}
		for _, k := range []string{"bound", "unbound"} {
			if got, most := results[1][k].bad(), results[0][k].bad()+0.06; got > most {
				t.Errorf("%s: %.3f of the %s requests are refused or late, want at most %.3f", c.name, got, k, most)
			}
		}
	}
}

// s1 is the source of random choices of failures.
var s1 = rand.New(rand.NewPCG(3, 17))

// TestPrefixesMoveLittle guards against a change of weights that moves prefixes between regions that it does not
// concern: if a tenth of the weight moves, about a tenth of the prefixes may.
func TestPrefixesMoveLittle(t *testing.T) {
	regions := func(weights ...float64) []regionLoad {
		var all []regionLoad
		for i, w := range weights {
			all = append(all, regionLoad{string(rune('a' + i)), 0.2, w})
		}
		return all
	}
	before, after := regions(0.5, 0.3, 0.2), regions(0.4, 0.3, 0.3)
	const n = 20_000
	moved, wrong := 0, 0
	for i := range n {
		prefix := fmt.Sprint("prefix", i)
		x, y := preferredRegion(prefix, regionLoad{}, before), preferredRegion(prefix, regionLoad{}, after)
		if x != y {
			moved++
			if x == "c" || y == "a" {
				wrong++
			}
		}
	}
	t.Logf("%.3f of the prefixes moved", float64(moved)/n)
	if fraction := float64(moved) / n; fraction < 0.08 || fraction > 0.15 || wrong > 0 {
		t.Errorf("%.3f of the prefixes moved as a tenth of the weight did, %d from a region that gained or to one that lost", fraction, wrong)
	}
	for i := range n {
		if region := preferredRegion(fmt.Sprint("prefix", i), regionLoad{"a", 0.2, 0}, regions(0, 0.5, 0.5)[1:]); region == "" {
			t.Fatal("a prefix stays in a region without weight")
		}
	}
}

// fullHomes are digests, and the load of region a, of a pool whose homes a and b are full of bound work.
func fullHomes() ([]*schema.PoolLoad, []*schema.RegionDigest) {
	digest := func(region string, slots int32, demands ...*schema.HomeDemand) *schema.RegionDigest {
		return &schema.RegionDigest{Region: region, Routes: []*schema.ModelDigest{{Name: "p", Slots: slots, Running: slots / 2, Demands: demands}}}
	}
	bound := func(work float64) *schema.HomeDemand {
		return &schema.HomeDemand{Homes: []string{"a", "b"}, Work: work}
	}
	unbound := &schema.HomeDemand{Work: 1, Shared: 0.5}
	return []*schema.PoolLoad{{Pool: "p", Demands: []*schema.HomeDemand{bound(27), unbound}}},
		[]*schema.RegionDigest{digest("b", 20*siteSlots, bound(19), unbound), digest("c", 14*siteSlots, unbound)}
}

// TestWithoutAdaptiveModeNothingChanges guards against requests that go elsewhere, or hosts that report more, where
// adaptive mode is not required, where the last digests are too old, and where they hold no demand.
func TestWithoutAdaptiveModeNothingChanges(t *testing.T) {
	for _, c := range []struct {
		name     string
		adaptive bool
		prepare  func(s *site, f *Forwarder)
	}{
		{"not adaptive", false, func(_ *site, f *Forwarder) { f.UpdateAssignments(fullHomes()) }},
		{"adaptive mode ended", true, func(_ *site, f *Forwarder) {
			f.UpdateAssignments(fullHomes())
			f.Adaptive = nil
		}},
		{"old digests", true, func(s *site, f *Forwarder) {
			f.UpdateAssignments(fullHomes())
			s.Advance(maxAssignmentAge + time.Millisecond)
		}},
		{"no demand", true, func(_ *site, f *Forwarder) {
			_, digests := fullHomes()
			for _, d := range digests {
				d.Routes[0].Demands = nil
			}
			f.UpdateAssignments(nil, digests)
		}},
	} {
		s := newSite(1, c.adaptive, 28)
		f := s.regions[0].host
		_, digests := fullHomes()
		f.SetRegionDigests(digests)
		c.prepare(s, f)
		f.SetRegionDigests(digests)
		here := regionLoad{"a", 0, 28 * siteSlots}
		others := []regionLoad{{"b", 0.5, 20 * siteSlots}, {"c", 0.5, 14 * siteSlots}}
		for range 500 {
			r := s.newRequest(unboundKind(steady(1)), f)
			f.recordDemand(r)
			if got, want := f.offloadRegion(r), preferredRegion(r.sharedPrefix(), here, others); got != want {
				t.Fatalf("%s: prefix %s goes to %q, want %q", c.name, r.sharedPrefix(), got, want)
			}
			small := s.newRequest(boundKind(steady(1)), f)
			small.regions = nil
			if got := f.offloadRegion(small); got != "" {
				t.Fatalf("%s: a request leaves an idle region for %s", c.name, got)
			}
		}
		if loads := f.WithDemands(nil); !f.adaptive() && len(loads) != 0 {
			t.Errorf("%s: reported %v", c.name, loads)
		}
	}
	s := newSite(1, true, 28)
	f := s.regions[0].host
	loads, digests := fullHomes()
	f.SetRegionDigests(digests)
	f.UpdateAssignments(loads, digests)
	for range 500 {
		if got := f.offloadRegion(s.newRequest(unboundKind(steady(1)), f)); got != "c" {
			t.Fatalf("with the assignment an unbound request goes to %q", got)
		}
		if got := f.offloadRegion(s.newRequest(boundKind(steady(1)), f)); got == "c" {
			t.Fatal("a bound request goes outside its homes")
		}
	}
}

// TestDemandCountsOnce guards against demand that counts requests that no engine would serve, or the same one
// several times, and against demand that lacks what was refused for lack of room.
func TestDemandCountsOnce(t *testing.T) {
	s := newSystem(t) // without an upstream
	s.Adaptive = func() bool { return true }
	demand := func() float64 {
		total := 0.0
		for _, l := range s.WithDemands(nil) {
			for _, d := range l.Demands {
				total += d.Work
			}
		}
		return total
	}
	serve := func(route, key string, remaining time.Duration) {
		now := s.Timer.Now()
		s.Serve(context.Background(), &Request{ID: "i", Host: "h", Path: "/" + route + "/", Method: "GET", Key: key, ArrivedAt: now, DeadlineAt: now + remaining}, &discardSink{})
	}
	serve("keyed", "unknown", time.Second)
	if got := demand(); got != 0 {
		t.Errorf("a request without a valid key counts %v", got)
	}
	serve("safe", "", 3*time.Second)
	one := demand()
	if one < 0.02 || one > 0.03 {
		t.Errorf("a request that is refused for lack of room counts %v, want 0.03 or a little less", one)
	}
	serve("safe", "", 3*time.Second)
	before := demand()
	serve("safe", "", 2500*time.Millisecond)
	if got := demand(); got > before {
		t.Errorf("a caller that returns after 0.5 s counts again: %v after %v", got, before)
	}
}

type discardSink struct{}

func (discardSink) SendHead(int, http.Header, int64) {}
func (discardSink) SendChunk([]byte) error           { return nil }
func (discardSink) Finish()                          {}
func (discardSink) Abort()                           {}
func (discardSink) Refuse(*Refusal)                  {}

// TestAssignmentIsLogged guards against assignments that nobody can explain afterwards, and against a line for each of
// the small changes that swinging demand causes.
func TestAssignmentIsLogged(t *testing.T) {
	s := newSite(4, true, 28, 20, 14)
	var log bytes.Buffer
	f := s.regions[0].host
	f.Log = zerolog.New(&log)
	s.run(10*time.Second, boundKind(heavily(swing(0))), unboundKind(steady(1)))
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	if len(lines) < 2 || len(lines) > int(30*time.Second/assignmentLogDelay) {
		t.Errorf("%d lines in 30 s:\n%s", len(lines), log.String())
	}
	for _, field := range []string{`"pool":"p"`, `"regions":["a","b","c"]`, `"capacity":{"a":28,"b":20,"c":14}`, `"demand":{"[]":`, `"utilization":{`, `"weights":{`, `"since":`, `"factor":`} {
		if !strings.Contains(lines[0], field) {
			t.Errorf("no %s in %s", field, lines[0])
		}
	}
	metrics := make(chan prometheus.Metric, 100)
	f.Metrics.capacity.Collect(metrics)
	if n := len(metrics); n != 3 {
		t.Errorf("%d metrics of capacity, want one for each region", n)
	}
}

// TestAssignmentsConcurrently guards against data races between requests, reports and new digests.
func TestAssignmentsConcurrently(t *testing.T) {
	s := newSite(1, true, 28)
	f := s.regions[0].host
	_, digests := fullHomes()
	f.SetRegionDigests(digests)
	var wg sync.WaitGroup
	for range 4 {
		r := s.newRequest(unboundKind(steady(1)), f)
		wg.Go(func() {
			for range 200 {
				f.recordDemand(r)
				f.offloadRegion(r)
				f.nextRegion(r, nil)
			}
		})
	}
	wg.Go(func() {
		for range 200 {
			f.WithDemands(nil)
			f.UpdateAssignments(fullHomes())
		}
	})
	wg.Wait()
}
