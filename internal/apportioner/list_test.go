package apportioner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// lists returns the lists of all failure domains and answering hosts.
func lists(hosts []*schema.Peer, domains int) map[ListQuery][]*schema.Peer {
	all := map[ListQuery][]*schema.Peer{}
	for d := range domains {
		for _, self := range hosts {
			q := ListQuery{Region: "r", Domain: fmt.Sprint("d", d), Self: self.Name, Max: 64}
			all[q] = List(hosts, q)
		}
	}
	return all
}

// proportions returns the lowest and highest of the hosts' fractions of new connections, relative to their weights, if
// callers of all domains ask all hosts equally often, and the lowest fraction of the lists that hold a host.
func proportions(hosts []*schema.Peer, all map[ListQuery][]*schema.Peer) (low, high, listed float64) {
	load, count := map[string]float64{}, map[string]int{}
	for _, list := range all {
		for _, p := range list {
			load[p.Name] += 1 / float64(len(list)*len(all))
			count[p.Name]++
		}
	}
	weights := Weights(hosts)
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	low, listed = math.Inf(1), 1.0
	for i, p := range hosts {
		ratio := load[p.Name] * sum / weights[i]
		low, high, listed = min(low, ratio), max(high, ratio), min(listed, float64(count[p.Name])/float64(len(all)))
	}
	return low, high, listed
}

// dropped returns the mean and the largest fraction of the entries, other than gone, that callers lose.
func dropped(before, after map[ListQuery][]*schema.Peer, gone string) (mean, most float64) {
	for q, list := range before {
		next, kept := after[q]
		if !kept { // its host does not answer any more
			continue
		}
		n := 0.0
		for _, p := range list {
			if p.Name != gone && !slices.ContainsFunc(next, func(x *schema.Peer) bool { return x.Name == p.Name }) {
				n += 1 / float64(len(list))
			}
		}
		mean, most = mean+n/float64(len(before)), max(most, n)
	}
	return mean, most
}

// TestListsByCapacity guards against small hosts that get as many callers as large ones, hosts that no caller is sent
// to, lists of too few hosts or of one failure domain, and callers that drop connections to hosts that stay when one
// host leaves, joins or restarts.
func TestListsByCapacity(t *testing.T) {
	// Among 10 hosts, whose lists hold 6 at least, the smallest host gets more than its part; even lists give it twice.
	for _, x := range []struct {
		hosts, domains int
		low, high      float64 // bounds of the connections relative to capacity; 0: none
	}{{1, 1, 1, 1}, {5, 2, 0, 0}, {10, 1, 0.5, 1.75}, {30, 3, 0.7, 1.35}, {60, 6, 0.7, 1.35}, {300, 6, 0.7, 1.35}} {
		hosts := unevenHosts(x.hosts, x.domains)
		all := lists(hosts, x.domains)
		shortest, longest := x.hosts, 0
		for q, list := range all {
			shortest, longest = min(shortest, len(list)), max(longest, len(list))
			domains := map[string]bool{}
			for _, p := range list {
				domains[p.Domain] = true
			}
			if len(list) < min(x.hosts, minListed) || len(list) > q.Max || len(domains) < min(2, x.domains) {
				t.Fatalf("%v: a list of %d hosts of %d domains", q, len(list), len(domains))
			}
		}
		low, high, listed := proportions(hosts, all)
		t.Logf("%d hosts, %d domains: %d to %d hosts a list, connections relative to capacity from %.2f to %.2f, each host in at least %.2f of the lists",
			x.hosts, x.domains, shortest, longest, low, high, listed)
		if x.low > 0 && (low < x.low || high > x.high) || listed < 0.04 {
			t.Errorf("%d hosts: connections relative to capacity from %.2f to %.2f, a host in %.3f of the lists", x.hosts, low, high, listed)
		}
		if x.hosts == 1 {
			continue
		}
		byOther := map[ListQuery][]*schema.Peer{}
		random := rand.New(rand.NewPCG(1, uint64(x.hosts)))
		for d := range x.domains {
			others := random.Perm(x.hosts)
			for i, p := range hosts {
				q := ListQuery{Region: "r", Domain: fmt.Sprint("d", d), Self: p.Name, Max: 64}
				next := q
				next.Self = hosts[others[i]].Name
				byOther[q] = all[next]
			}
		}
		other, _ := dropped(all, byOther, "")
		t.Logf("%d hosts, %d domains: %.3f of the entries lost on average, as another host answers", x.hosts, x.domains, other)
		// Offsets of two hosts differ by a third of the domain's sector on average, which holds hosts/domains hosts.
		if most := 1.2 * float64(x.hosts) / float64(3*x.domains*shortest); other > most {
			t.Errorf("%d hosts: %.3f of the entries lost as another host answers", x.hosts, other)
		}
		var mean, most float64
		for i := range min(x.hosts, 10) {
			without := lists(slices.Concat(hosts[:i], hosts[i+1:]), x.domains)
			leaving, mostLeaving := dropped(all, without, hosts[i].Name)
			joining, mostJoining := dropped(without, all, "")
			mean, most = mean+(leaving+joining)/2/float64(min(x.hosts, 10)), max(most, mostLeaving, mostJoining)
		}
		t.Logf("%d hosts, %d domains: %.3f of the other entries lost on average, %.3f at most, as one host leaves or joins", x.hosts, x.domains, mean, most)
		if mean > 0.06 {
			t.Errorf("%d hosts: %.3f of the other entries lost as one host leaves or joins", x.hosts, mean)
		}
		// A host that restarts is listed as before.
		restarted := slices.Clone(hosts)
		restarted[0] = &schema.Peer{Name: hosts[0].Name, Domain: hosts[0].Domain, Incarnation: 2, Capacity: hosts[0].Capacity}
		if _, most := dropped(all, lists(restarted, x.domains), ""); most > 0 {
			t.Errorf("%d hosts: %.3f of a list lost as a host restarts", x.hosts, most)
		}
		if d := cmp.Diff(all, lists(hosts, x.domains), cmpopts.IgnoreUnexported(schema.Peer{}, schema.Capacity{})); d != "" {
			t.Errorf("%d hosts: lists differ without a cause:\n%s", x.hosts, d)
		}
	}
}

// TestListsOfEqualHosts guards against shorter lists where capacities are equal or not known, and against one wrong
// figure that shortens all lists.
func TestListsOfEqualHosts(t *testing.T) {
	var hosts []*schema.Peer
	for i := range 30 {
		hosts = append(hosts, &schema.Peer{Name: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i%3)})
	}
	q := ListQuery{Region: "r", Domain: "d0", Self: "h0", Max: 64}
	if got := List(hosts, q); len(got) != 30 {
		t.Errorf("a list of %d of 30 hosts without capacities", len(got))
	}
	for _, p := range hosts {
		p.Capacity = &schema.Capacity{Cores: 0.2, Link: 10}
	}
	hosts[7].Capacity = &schema.Capacity{Cores: 1e5, Link: 1e5}
	if got := List(hosts, q); len(got) != 30 {
		t.Errorf("a list of %d of 30 hosts as one announces too much", len(got))
	}
}
