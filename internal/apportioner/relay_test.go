package apportioner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// TestRelaysByCapacity guards against small hosts that get as many relays as large ones, hosts that get none, and
// relaying hosts that replace their connections when one host leaves.
func TestRelaysByCapacity(t *testing.T) {
	const n, relaying, requests = 8, 3000, 10
	for _, count := range []int{1, 5, 30, 300} {
		hosts := unevenHosts(count, 3)
		random := rand.New(rand.NewPCG(1, 2))
		got, sum := map[string]float64{}, 0.0
		mostChanged := 0
		for i := range relaying {
			self := fmt.Sprint("relay", i)
			set := map[string]bool{}
			for range requests {
				all := RelayHosts(self, hosts, n, random.Float64)
				got[all[0].Name]++
				for _, p := range all {
					set[p.Name] = true
				}
			}
			if len(set) != min(n, count) {
				t.Fatalf("%d hosts: %s relays to %d", count, self, len(set))
			}
			if count > 1 {
				changed := 0
				for _, p := range RelayHosts(self, hosts[1:], n, random.Float64) {
					if !set[p.Name] {
						changed++
					}
				}
				mostChanged = max(mostChanged, changed)
			}
		}
		weights := Weights(hosts)
		for _, w := range weights {
			sum += w
		}
		low, high, square := math.Inf(1), 0.0, 0.0
		for i, p := range hosts {
			ratio := got[p.Name] / (relaying * requests) * sum / weights[i]
			low, high, square = min(low, ratio), max(high, ratio), square+(ratio-1)*(ratio-1)
		}
		deviation := math.Sqrt(square / float64(count))
		t.Logf("%d hosts: relays relative to capacity from %.2f to %.2f, deviation %.3f; at most %d of %d hosts replaced as one leaves", count, low, high, deviation, mostChanged, n)
		// Of the relaying hosts, 80 use each of 300 hosts on average and 36 the smallest, give or take the square root; of 30
		// hosts ten times as many.
		if low < 0.4 || deviation > 0.2 || count <= 30 && (low < 0.8 || high > 1.2) {
			t.Errorf("%d hosts: relays relative to capacity from %.2f to %.2f, deviation %.3f", count, low, high, deviation)
		}
		if mostChanged > 2 {
			t.Errorf("%d hosts: %d relay hosts replaced as one leaves", count, mostChanged)
		}
	}
	if got := RelayHosts("a", nil, n, rand.Float64); len(got) != 0 {
		t.Errorf("%d hosts of none", len(got))
	}
}
