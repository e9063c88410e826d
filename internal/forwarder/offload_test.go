package forwarder

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestPeakIsOffloadedByHeadroom guards against a peak that overloads one region, here the smallest
// of three. Its streams must go to both others in proportion to their headroom, and stay while
// no region has any.
func TestPeakIsOffloadedByHeadroom(t *testing.T) {
	const n = 20_000
	random := rand.New(rand.NewPCG(1, 2))
	spread := func(here float64, others ...regionLoad) map[string]int {
		counts := map[string]int{}
		for range n {
			counts[pickOffloadRegion(here, others, random.Float64())]++
		}
		return counts
	}
	counts := spread(0.9, regionLoad{"large", 0.15, 1_000}, regionLoad{"middle", 0.15, 500})
	if ratio := float64(counts["large"]) / float64(counts["middle"]); math.Abs(ratio-2) > 0.2 {
		t.Errorf("twice the slots at the same load got %.2f times the streams: %v", ratio, counts)
	}
	if stays := float64(counts[""]) / n; stays < 0.4 || stays > 0.6 {
		t.Errorf("fraction %.2f of the streams stays at load 0.9, with load 0.15 in the other regions", stays)
	}
	if counts := spread(0.9, regionLoad{"large", 0.85, 1_000}); counts[""] < n {
		t.Errorf("streams are offloaded to a region that is almost as loaded: %v", counts)
	}
	if counts := spread(0.9); counts[""] < n {
		t.Errorf("streams are offloaded although there is no other region: %v", counts)
	}
}

// TestSharedReadRatio guards against choosing the region by the wrong prompts: a long prompt
// that shares most of its tokens and has a short response counts as shared, a short prompt
// whose response takes most of the time does not.
func TestSharedReadRatio(t *testing.T) {
	route := &schema.Route{Kind: schema.RouteKind_ROUTE_STREAM, Objective: 1}
	long := &Request{route: route, MaxOutputTokens: 54, InputTokens: 9_190, Parts: []scheduler.PromptPart{{ID: "a", Tokens: 6_300}, {ID: "b", Tokens: 2_890}}}
	short := &Request{route: route, MaxOutputTokens: 294, InputTokens: 826, Parts: []scheduler.PromptPart{{ID: "a", Tokens: 198}, {ID: "b", Tokens: 628}}}
	long.objectiveAt, short.objectiveAt = time.Second, time.Second
	if ratio := long.schedulerRequest(nil).SharedReadRatio(); ratio < minSharedReadRatio {
		t.Errorf("long prompt: shared read ratio is %.2f", ratio)
	}
	if ratio := short.schedulerRequest(nil).SharedReadRatio(); ratio > minSharedReadRatio {
		t.Errorf("short prompt: shared read ratio is %.2f", ratio)
	}
}

// TestSharedPrefixHasOneRegion guards against caching a shared prefix in several regions.
// Whichever of three regions callers use, a prefix goes to one region, each region gets
// prefixes in proportion to its slots, and prefixes leave only a region that is full.
func TestSharedPrefixHasOneRegion(t *testing.T) {
	all := []regionLoad{{"large", 0.2, 1_000}, {"middle", 0.2, 750}, {"small", 0.2, 500}}
	regionFrom := func(i int, all []regionLoad, prefix string) string {
		others := append(slices.Clone(all[:i]), all[i+1:]...)
		return cmp.Or(preferredRegion(prefix, all[i], others), all[i].region)
	}
	full := slices.Clone(all)
	full[0].load = 0.9
	count := map[string]float64{}
	const n = 3_000
	for i := range n {
		prefix := fmt.Sprint(i)
		region := regionFrom(0, all, prefix)
		count[region] += 1.0 / n
		for j := range all {
			if got := regionFrom(j, all, prefix); got != region {
				t.Fatalf("prefix %s goes to %s from one region and to %s from another", prefix, region, got)
			}
		}
		switch got := regionFrom(1, full, prefix); {
		case region == "large" && got == "large":
			t.Fatalf("prefix %s goes to a full region", prefix)
		case region != "large" && got != region:
			t.Fatalf("prefix %s leaves %s, which is not full", prefix, region)
		}
	}
	for _, x := range all {
		if want := x.slots / 2_250; math.Abs(count[x.region]-want) > 0.05 {
			t.Errorf("%s gets %.2f of the prefixes, want %.2f", x.region, count[x.region], want)
		}
	}
}

// TestRelaysUseFewHosts guards against connections between all pairs of hosts. Each of 80 hosts
// must use a few of the 40 hosts of another region, and keep them when another one goes; none of
// the 40 may be unused or overloaded.
func TestRelaysUseFewHosts(t *testing.T) {
	var entryHosts []*schema.Peer
	for i := range 40 {
		entryHosts = append(entryHosts, &schema.Peer{Name: fmt.Sprint("peer", i)})
	}
	chosen := map[string]int{}
	for i := range 80 {
		host := fmt.Sprint("host", i)
		preferred := preferredHosts(host, entryHosts)
		if len(preferred) != maxRelayHosts {
			t.Fatalf("%s relays to %d hosts", host, len(preferred))
		}
		kept := 0
		for _, p := range preferredHosts(host, entryHosts[1:]) {
			if slices.Contains(preferred, p) {
				kept++
			}
		}
		if kept < maxRelayHosts-1 {
			t.Errorf("%s replaces %d of its relay hosts when one host goes", host, maxRelayHosts-kept)
		}
		for _, p := range preferred {
			chosen[p.Name]++
		}
	}
	for _, p := range entryHosts {
		if n := chosen[p.Name]; n < 4 || n > 32 {
			t.Errorf("%s is used by %d of 80 hosts, want about 16", p.Name, n)
		}
	}
}

// TestPlainRequestsLeaveABusyRegion guards against a peak of plain requests that fills the service
// of one region and is rejected there, while the services of other regions are idle.
func TestPlainRequestsLeaveABusyRegion(t *testing.T) {
	s := newSystem(t, []scriptStep{text(200, "ok")})
	s.SetRegionDigests([]*schema.RegionDigest{{Region: "idle", Routes: []*schema.ModelDigest{{Name: "p", Slots: 4}}}})
	offloaded := func(running int32, kind schema.RouteKind) int {
		s.Scheduler.UpdateOtherLoads([]*schema.PoolLoad{{Pool: "p", Running: map[string]int32{"u0": running}}})
		n := 0
		for range 1000 {
			now := s.Timer.Now()
			r := &Request{route: &schema.Route{Kind: kind, Objective: 0.6}, pool: "p", objectiveAt: now + time.Second, answerUntil: now + time.Second}
			if s.offloadRegion(r) == "idle" {
				n++
			}
		}
		return n
	}
	for _, kind := range []schema.RouteKind{schema.RouteKind_ROUTE_SAFE, schema.RouteKind_ROUTE_UNSAFE} {
		if n := offloaded(4, kind); n < 400 || n > 900 {
			t.Errorf("%v: %d of 1,000 requests offloaded from a full region to an idle one", kind, n)
		}
		if n := offloaded(0, kind); n != 0 {
			t.Errorf("%v: %d of 1,000 requests offloaded from an idle region", kind, n)
		}
	}
}
