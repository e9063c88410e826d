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

// TestMovedPeak lets the peak come to the smallest of three regions. Its streams must go to
// both others, by the room that they have, and stay while no region has more room.
func TestMovedPeak(t *testing.T) {
	const n = 20_000
	random := rand.New(rand.NewPCG(1, 2))
	spread := func(here float64, others ...remote) map[string]int {
		went := map[string]int{}
		for range n {
			went[spillTo(here, others, random.Float64())]++
		}
		return went
	}
	went := spread(0.9, remote{"large", 0.15, 1_000}, remote{"middle", 0.15, 500})
	if ratio := float64(went["large"]) / float64(went["middle"]); math.Abs(ratio-2) > 0.2 {
		t.Errorf("twice the room got %.2f times the streams: %v", ratio, went)
	}
	if stays := float64(went[""]) / n; stays < 0.4 || stays > 0.6 {
		t.Errorf("%.2f stay where 0.9 of the slots are taken and 0.15 elsewhere", stays)
	}
	if went := spread(0.9, remote{"large", 0.85, 1_000}); went[""] < n {
		t.Errorf("streams leave for a region that has as little room: %v", went)
	}
	if went := spread(0.9); went[""] < n {
		t.Errorf("streams leave for %v", went)
	}
}

// TestLongSharedPromptsCount compares a long prompt that shares most of its tokens, whose
// answer is short, with a short prompt whose answer takes most of the time.
func TestLongSharedPromptsCount(t *testing.T) {
	route := &schema.Route{Kind: schema.RouteKind_ROUTE_STREAM, Objective: 1}
	long := &Request{route: route, Output: 54, Input: 9_190, Parts: []scheduler.Part{{ID: "a", Tokens: 6_300}, {ID: "b", Tokens: 2_890}}}
	short := &Request{route: route, Output: 294, Input: 826, Parts: []scheduler.Part{{ID: "a", Tokens: 198}, {ID: "b", Tokens: 628}}}
	long.objected, short.objected = time.Second, time.Second
	if part := long.work(nil).SharedPart(); part < subjectShared {
		t.Errorf("the shared part of a long prompt counts %.2f", part)
	}
	if part := short.work(nil).SharedPart(); part > subjectShared {
		t.Errorf("the shared part of a short prompt counts %.2f", part)
	}
}

// TestSubjectsHaveRegions asks about many subjects from three regions. Whichever region
// callers come from, a subject goes to one region, each gets subjects by its slots, and
// subjects leave only a region that is full.
func TestSubjectsHaveRegions(t *testing.T) {
	all := []remote{{"large", 0.2, 1_000}, {"middle", 0.2, 750}, {"small", 0.2, 500}}
	from := func(i int, all []remote, subject string) string {
		others := append(slices.Clone(all[:i]), all[i+1:]...)
		return cmp.Or(subjectRegion(subject, all[i], others), all[i].region)
	}
	full := slices.Clone(all)
	full[0].load = 0.9
	count := map[string]float64{}
	const n = 3_000
	for i := range n {
		subject := fmt.Sprint(i)
		region := from(0, all, subject)
		count[region] += 1.0 / n
		for j := range all {
			if got := from(j, all, subject); got != region {
				t.Fatalf("subject %s goes to %s from one region and to %s from another", subject, region, got)
			}
		}
		switch got := from(1, full, subject); {
		case region == "large" && got == "large":
			t.Fatalf("subject %s goes to a full region", subject)
		case region != "large" && got != region:
			t.Fatalf("subject %s leaves %s, which is not full", subject, region)
		}
	}
	for _, x := range all {
		if want := x.slots / 2_250; math.Abs(count[x.region]-want) > 0.05 {
			t.Errorf("%s gets %.2f of the subjects, want %.2f", x.region, count[x.region], want)
		}
	}
}

// TestRelaysKeepToFewHosts lets 80 hosts choose among 40 of another region. Each must keep to
// a few, whichever of the others come and go, and none of them may be left out or overrun.
func TestRelaysKeepToFewHosts(t *testing.T) {
	var peers []*schema.Peer
	for i := range 40 {
		peers = append(peers, &schema.Peer{Name: fmt.Sprint("peer", i)})
	}
	chosen := map[string]int{}
	for i := range 80 {
		host := fmt.Sprint("host", i)
		few := nearest(host, peers)
		if len(few) != relayPeers {
			t.Fatalf("%s relays to %d hosts", host, len(few))
		}
		kept := 0
		for _, p := range nearest(host, peers[1:]) {
			if slices.Contains(few, p) {
				kept++
			}
		}
		if kept < relayPeers-1 {
			t.Errorf("%s changes %d of its hosts when one goes", host, relayPeers-kept)
		}
		for _, p := range few {
			chosen[p.Name]++
		}
	}
	for _, p := range peers {
		if n := chosen[p.Name]; n < 4 || n > 32 {
			t.Errorf("%s is chosen by %d of 80 hosts, 16 on average", p.Name, n)
		}
	}
}
