package starter

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestEveryHostIsListed guards against hosts that no caller is sent to because a list holds fewer
// hosts than a region has, and against uneven load. Callers are spread evenly over the region's
// two failure domains and ask all hosts of their domain in turn.
func TestEveryHostIsListed(t *testing.T) {
	for _, n := range []int{1, 3, 30, 97, 300, 1000} {
		var hosts []*schema.Peer
		perDomain := map[string]int{}
		for i := range n {
			domain := string("ab"[i%2])
			perDomain[domain]++
			hosts = append(hosts, &schema.Peer{Name: fmt.Sprintf("h%d", i), Domain: domain, Listen: fmt.Sprint("a", i)})
		}
		load := map[string]float64{}
		for _, asked := range hosts {
			list := listHosts(hosts, asked.Domain, asked.Name)
			if len(list) == 0 || len(list) > MaxListedHosts {
				t.Fatalf("%d hosts: a list of %d", n, len(list))
			}
			for _, p := range list {
				load[p.Name] += 1 / float64(len(list)*perDomain[asked.Domain]*len(perDomain))
			}
		}
		for _, p := range hosts {
			if got := load[p.Name] * float64(n); got < 0.4 || got > 2 {
				t.Errorf("%d hosts: host %s gets %.2f times the average load", n, p.Name, got)
			}
		}
	}
}

// TestListIsStable guards against callers that drop their connections because the list that they
// get depends on the host that they ask.
func TestListIsStable(t *testing.T) {
	var hosts []*schema.Peer
	for i := range 97 {
		hosts = append(hosts, &schema.Peer{Name: fmt.Sprintf("h%d", i), Domain: string("ab"[i%2]), Listen: fmt.Sprint("a", i)})
	}
	first := addressesOf(listHosts(hosts, "a", "h0"))
	for _, p := range hosts {
		if diff := cmp.Diff(first, addressesOf(listHosts(hosts, "a", p.Name))); diff != "" {
			t.Fatalf("asked %s: -first +got\n%s", p.Name, diff)
		}
	}
	var withoutDomain []*schema.Peer
	for i, p := range hosts {
		if i%2 == 1 || i < 20 {
			withoutDomain = append(withoutDomain, p)
		}
	}
	if got := listHosts(withoutDomain, "a", "h0"); len(got) < 50 {
		t.Errorf("most hosts of the domain are lost: a list of %d of %d hosts", len(got), len(withoutDomain))
	}
}
