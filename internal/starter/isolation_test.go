package starter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// isolationFleet is what an entry host's table says of the hosts of regions a, b and c, in turn.
type isolationFleet struct {
	name  string
	state func(region, number int) *schema.Peer // of a host by its number within its region
}

var (
	connectedHost = &schema.Peer{Ready: true}
	isolatedHost  = &schema.Peer{Ready: true, Isolated: true}
	killedHost    = &schema.Peer{}
	releasedHost  = &schema.Peer{Stopping: true}
)

var isolationFleets = []isolationFleet{
	{"all are connected", func(int, int) *schema.Peer { return connectedHost }},
	{"most are isolated", func(_, i int) *schema.Peer {
		if i%3 == 0 {
			return connectedHost
		}
		return isolatedHost
	}},
	{"nearly all are isolated", func(_, i int) *schema.Peer {
		if i%10 == 0 {
			return connectedHost
		}
		return isolatedHost
	}},
	{"a region is isolated", func(region, _ int) *schema.Peer {
		if region == 0 {
			return isolatedHost
		}
		return connectedHost
	}},
	{"a region and most others are isolated", func(region, i int) *schema.Peer {
		if region == 0 || i%3 > 0 {
			return isolatedHost
		}
		return connectedHost
	}},
	{"all are isolated", func(int, int) *schema.Peer { return isolatedHost }},
	{"most are isolated, some of the others were killed or are released", func(_, i int) *schema.Peer {
		switch {
		case i%3 > 0:
			return isolatedHost
		case i%2 == 0:
			return connectedHost
		case i%4 == 1:
			return killedHost
		}
		return releasedHost
	}},
	{"the connected hosts of a region are released", func(region, i int) *schema.Peer {
		switch {
		case i%3 > 0:
			return isolatedHost
		case region == 0:
			return releasedHost
		}
		return connectedHost
	}},
	{"a region is isolated, another was killed", func(region, _ int) *schema.Peer {
		return []*schema.Peer{isolatedHost, killedHost, connectedHost}[region]
	}},
}

// build returns an entry host with the fleet in its table, and the hosts.
func (f isolationFleet) build(t *testing.T, n int) (*Entry, []*schema.Peer) {
	var hosts []*schema.Peer
	for i := range n {
		state := f.state(i%3, i/3)
		h := readyHost(fmt.Sprint("h", i), string("abc"[i%3]))
		h.Ready, h.Isolated, h.Stopping = state.Ready, state.Isolated, state.Stopping
		hosts = append(hosts, h)
	}
	e := newDirectory(t, hosts...)
	e.GracePeriod = time.Minute
	return e, hosts
}

// namesOf returns the names of the hosts of a region that match.
func namesOf(hosts []*schema.Peer, region string, match func(*schema.Peer) bool) []string {
	var names []string
	for _, p := range hosts {
		if p.Region == region && match(p) {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return names
}

func isConnected(p *schema.Peer) bool { return p.Ready && !p.Isolated }

// TestIsolatedHostsAreLeftOut guards against callers and relays that are sent to hosts which reach no upstream while
// enough others do, against regions that get relays though none of their hosts reaches an upstream, and against relays
// that no host gets though a stopping one still serves.
func TestIsolatedHostsAreLeftOut(t *testing.T) {
	for _, f := range isolationFleets {
		for _, n := range []int{1, 30, 300} {
			t.Run(fmt.Sprintf("%s, %d hosts", f.name, n), func(t *testing.T) {
				e, hosts := f.build(t, n)
				for _, region := range []string{"a", "b", "c"} {
					connected := namesOf(hosts, region, isConnected)
					ready := namesOf(hosts, region, func(p *schema.Peer) bool { return p.Ready })
					relayed := connected
					if len(connected) == 0 {
						relayed = namesOf(hosts, region, func(p *schema.Peer) bool { return p.Stopping })
					}
					if diff := cmp.Diff(relayed, namesOf(e.relayHosts(region), region, func(*schema.Peer) bool { return true })); diff != "" {
						t.Errorf("hosts of region %s that get relays: -want +got\n%s", region, diff)
					}
					if region != e.Settings.Region && e.served(region) != (len(relayed) > 0 || len(ready) == 0) {
						t.Errorf("region %s is served: %v, %d hosts of %d are connected", region, e.served(region), len(connected), len(ready))
					}
					if len(ready) == 0 {
						continue
					}
					listed := e.Resolve("free", region, region+"-1")
					if len(listed) == 0 {
						t.Errorf("no host of region %s is listed", region)
					}
					if float64(len(connected)) >= minConnectedFraction*float64(len(ready)) {
						for _, name := range listed {
							if !slices.Contains(connected, name) {
								t.Errorf("host %s of region %s is listed, %d of %d are connected", name, region, len(connected), len(ready))
							}
						}
					}
				}
			})
		}
	}
}

// TestCallersOfOtherRegionsAvoidIsolatedHosts guards against callers of a region without ready hosts that are sent to
// hosts of other regions which reach no upstream, while enough others do.
func TestCallersOfOtherRegionsAvoidIsolatedHosts(t *testing.T) {
	isolated := readyHost("b2", "b")
	isolated.Isolated = true
	got := newDirectory(t, readyHost("b1", "b"), isolated, readyHost("c1", "c")).Resolve("free", "a", "a-1")
	slices.Sort(got)
	if diff := cmp.Diff([]string{"b1", "c1"}, got); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
}

// TestIsolatedHostsOwnNothing guards against upstreams that get no first request, and slots that no one uses, because
// the host to which they belong reaches no upstream.
func TestIsolatedHostsOwnNothing(t *testing.T) {
	const upstreams = 30
	for _, f := range isolationFleets {
		for _, n := range []int{1, 30, 300} {
			t.Run(fmt.Sprintf("%s, %d hosts", f.name, n), func(t *testing.T) {
				e, hosts := f.build(t, n)
				owned, ranks := map[string]int{}, map[string][]int{} // by host; by upstream
				connected := namesOf(hosts, "a", isConnected)
				for _, p := range hosts {
					if p.Region != "a" {
						continue
					}
					e.Settings.Name = p.Name
					if got := e.connectedHostCount(); got != len(connected) {
						t.Errorf("%d hosts share the slots, want %d", got, len(connected))
					}
					for u := range upstreams {
						name := fmt.Sprint("u", u)
						if e.ownsColdUpstream(name) {
							owned[p.Name]++
							if !isConnected(p) {
								t.Errorf("%s owns %s and reaches no upstream", p.Name, name)
							}
						}
						rank, of := e.ownerRank(name)
						if isConnected(p) {
							ranks[name] = append(ranks[name], rank)
						} else if rank < len(connected) {
							t.Errorf("%s ranks %d of %d for %s and reaches no upstream", p.Name, rank, of, name)
						}
					}
				}
				total, most := 0, 0
				for _, n := range owned {
					total, most = total+n, max(most, n)
				}
				if len(connected) > 0 && total != upstreams {
					t.Errorf("%d of %d upstreams have an owner", total, upstreams)
				}
				if most > 4*upstreams/max(1, len(connected))+4 {
					t.Errorf("a host owns %d of %d upstreams, %d hosts are connected", most, upstreams, len(connected))
				}
				for name, got := range ranks {
					slices.Sort(got)
					for rank := range got {
						if got[rank] != rank {
							t.Fatalf("ranks for %s: %v", name, got)
						}
					}
				}
			})
		}
	}
}
