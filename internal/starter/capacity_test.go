package starter

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// capableHosts returns ready hosts of region a in six failure domains; ratio is that of the largest capacity to the
// smallest.
func capableHosts(n int, ratio float64) []*schema.Peer {
	var all []*schema.Peer
	for i := range n {
		p := readyHost(fmt.Sprintf("a%03d", i), "a")
		x := 1 + (ratio-1)*float64(i%10)/9
		p.Domain, p.Capacity = fmt.Sprint("a-", i%6), &schema.Capacity{Cores: 0.144 * x, Link: 7.5 * x}
		all = append(all, p)
	}
	return all
}

// TestListsAsBeforeUnlessAdaptive guards against lists by capacity where hosts are to be listed as before, and against
// lists of all hosts, of hosts that stop or are not ready, or that change from request to request, in adaptive mode.
func TestListsAsBeforeUnlessAdaptive(t *testing.T) {
	const domain = "a-1"
	equal := capableHosts(60, 1.4)
	e := newDirectory(t, equal...)
	if diff := cmp.Diff(addressesOf(listHosts(equal, domain, "self")), e.Resolve("free", "a", domain)); diff != "" {
		t.Errorf("outside adaptive mode: -before +got\n%s", diff)
	}
	many := capableHosts(300, 1.4)
	e = newDirectory(t, many...)
	e.Contended = true
	if diff := cmp.Diff(addressesOf(listHosts(many, domain, "self")), e.Resolve("free", "a", domain)); diff != "" {
		t.Errorf("under pressure, with equal capacities: -before +got\n%s", diff)
	}
	uneven := capableHosts(60, 3.3)
	uneven[0].Ready, uneven[1].Ready, uneven[1].Stopping = false, false, true
	e = newDirectory(t, uneven...)
	first := e.Resolve("free", "a", domain)
	if len(first) < 20 || len(first) > 58 || slices.Contains(first, "a000") || slices.Contains(first, "a001") {
		t.Errorf("adaptive: a list of %d hosts: %v", len(first), first)
	}
	for range 10 {
		if diff := cmp.Diff(first, e.Resolve("free", "a", domain)); diff != "" {
			t.Errorf("adaptive: a list that changes: -first +got\n%s", diff)
		}
	}
	// Without a ready host of the region, only hosts of homes may be listed.
	for _, p := range uneven {
		p.Region = "c"
	}
	e = newDirectory(t, append(uneven, readyHost("b1", "b"))...)
	if diff := cmp.Diff([]string{"b1"}, e.Resolve("bound", "a", domain)); diff != "" {
		t.Errorf("adaptive: hosts of homes: -want +got\n%s", diff)
	}
	// If all hosts of a region are stopping, all of them are listed as before.
	stopping := capableHosts(3, 3.3)
	for _, p := range stopping {
		p.Ready, p.Stopping = false, true
	}
	e = newDirectory(t, stopping...)
	e.GracePeriod = 10 * time.Second
	if got := e.Resolve("free", "a", domain); len(got) != 3 {
		t.Errorf("adaptive: %d of three hosts that are stopping", len(got))
	}
}

// TestUnusableCapacitiesAreCounted guards against a line for each list, and against capacities that cannot be right and
// that nobody notices.
func TestUnusableCapacitiesAreCounted(t *testing.T) {
	var out bytes.Buffer
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	c := newCapacityLister("a00", clock, zerolog.New(&out))
	hosts := capableHosts(5, 2)
	hosts[1].Capacity, hosts[2].Capacity.Cores, hosts[3].Capacity.Link = nil, math.NaN(), -1
	for range 10 {
		c.list(hosts, "a", "a-1")
	}
	if n := strings.Count(out.String(), "capacity of a host cannot be used"); n != 1 || !strings.Contains(out.String(), "cores") {
		t.Errorf("%d lines: %s", n, out.String())
	}
	// A host without a capacity is no error.
	if diff := cmp.Diff(map[string]float64{"cores": 1, "link": 1}, values(t, c.unusable)); diff != "" {
		t.Errorf("counted by field: -want +got\n%s", diff)
	}
}
