package forwarder

import (
	"fmt"
	"slices"
	"testing"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestRelaysAsBeforeUnlessAdaptive guards against relays by capacity where they are to be chosen as before, evenly among
// the hosts that rank first by a hash, and against even relays in adaptive mode.
func TestRelaysAsBeforeUnlessAdaptive(t *testing.T) {
	var hosts []*schema.Peer
	for i := range 20 {
		hosts = append(hosts, &schema.Peer{Name: fmt.Sprint("peer", i), Capacity: &schema.Capacity{Cores: 0.1, Link: 10}})
		if i < 5 {
			hosts[i].Capacity = &schema.Capacity{Cores: 0.4, Link: 40}
		}
	}
	f := &Forwarder{Host: "host", EntryHosts: func(string) []*schema.Peer { return hosts }}
	large := func(adaptive bool) int {
		f.Adaptive = func() bool { return adaptive }
		first, n, before := map[string]int{}, 0, preferredHosts(f.Host, hosts)
		const requests = 4000
		for range requests {
			all := f.hostsInRandomOrder("r")
			if len(all) != maxRelayHosts {
				t.Fatalf("%d hosts to relay to", len(all))
			}
			for _, p := range all {
				if !adaptive && !slices.Contains(before, p) {
					t.Fatalf("relays to %s outside adaptive mode", p.Name)
				}
			}
			first[all[0].Name]++
			if all[0].Capacity.Cores > 0.3 {
				n++
			}
		}
		if want := requests / maxRelayHosts; !adaptive && (len(first) != maxRelayHosts || first[before[0].Name] < want*3/4 || first[before[0].Name] > want*5/4) {
			t.Errorf("relays outside adaptive mode: %v", first)
		}
		return n * 100 / requests
	}
	evenly := large(false)
	// The five large hosts have 2 of 3.5 units of capacity.
	if byCapacity := large(true); byCapacity < 45 || byCapacity <= evenly {
		t.Errorf("%d%% of the relays go to the hosts with 57%% of the capacity, %d%% outside adaptive mode", byCapacity, evenly)
	}
}
