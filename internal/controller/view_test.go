package controller

import (
	"fmt"
	"testing"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestHostsSpreadOverControlHosts guards against control hosts that get many more entry hosts than
// others, with all control hosts up and with one of them lost. One failure domain of each region has
// two control hosts, the other has one; entry hosts are spread evenly over the domains.
func TestHostsSpreadOverControlHosts(t *testing.T) {
	for _, n := range []int{30, 300, 1000} {
		v := &view{members: &schema.Members{}}
		for i := range 9 {
			region := fmt.Sprint("r", i/3)
			v.members.Members = append(v.members.Members, &schema.Member{
				Id: uint64(i + 1), Address: fmt.Sprintf("10.%d.0.1:7", i), Region: region, Domain: region + string("aab"[i%3]),
			})
		}
		first, firstWithout := map[string]int{}, map[string]int{}
		lost := v.members.Members[0].Address
		for i := range n {
			region := fmt.Sprint("r", i%3)
			addresses := v.nearestAddresses(&schema.Peer{Name: fmt.Sprint("h", i), Region: region, Domain: region + string("ab"[i/3%2])})
			first[addresses[0]]++
			if addresses[0] == lost {
				addresses = addresses[1:]
			}
			firstWithout[addresses[0]]++
		}
		for _, m := range v.members.Members {
			if most := n/9*5/4 + 8; first[m.Address] > most {
				t.Errorf("%d hosts: %d report to %s, want at most %d", n, first[m.Address], m.Address, most)
			}
			if most := n/9*15/8 + 8; firstWithout[m.Address] > most {
				t.Errorf("%d hosts, one control host lost: %d report to %s, want at most %d", n, firstWithout[m.Address], m.Address, most)
			}
		}
	}
}
