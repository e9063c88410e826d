package apportioner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// unevenHosts returns hosts in failure domains in turn, with capacities that are spread evenly between those of the
// smallest and the largest entry hosts of the second deployment.
func unevenHosts(n, domains int) []*schema.Peer {
	var all []*schema.Peer
	random := rand.New(rand.NewPCG(uint64(n), 3))
	for i := range n {
		x := random.Float64()
		all = append(all, &schema.Peer{
			Name: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i%domains), Capacity: &schema.Capacity{Cores: 0.144 + 0.336*x, Link: 7.5 + 17.5*x},
		})
	}
	return all
}

// TestWeights guards against figures that cannot be right and that change the weights of other hosts, or that draw
// everything to one host.
func TestWeights(t *testing.T) {
	capacities := func(all ...*schema.Capacity) (hosts []*schema.Peer) {
		for i, c := range all {
			hosts = append(hosts, &schema.Peer{Name: fmt.Sprint(i), Capacity: c})
		}
		return hosts
	}
	c := func(cores, link float64) *schema.Capacity { return &schema.Capacity{Cores: cores, Link: link} }
	for name, x := range map[string]struct {
		hosts []*schema.Peer
		want  []float64
	}{
		"none announced":   {capacities(nil, nil), []float64{1, 1}},
		"one host":         {capacities(c(0.2, 10)), []float64{1}},
		"by the smaller":   {capacities(c(0.2, 10), c(0.4, 10), c(0.1, 20)), []float64{1, 1, 0.5}},
		"one missing":      {capacities(c(0.2, 10), c(0.1, 5), c(0.4, 20), nil), []float64{1, 0.5, 2, 3.5 / 3}},
		"absurd":           {capacities(c(0.2, 10), c(math.NaN(), 10), c(-1, 10), c(1e300, 10), c(0.2, math.Inf(1)), c(0.2, 0)), []float64{1, 1, 1, 1, 1, 1}},
		"far from average": {capacities(c(1, 10), c(1, 10), c(1000, 10000), c(0.001, 0.01)), []float64{1, 1, 4, 0.25}},
	} {
		if d := cmp.Diff(x.want, Weights(x.hosts), cmpopts.EquateApprox(1e-9, 0)); d != "" {
			t.Errorf("%s (-want +got):\n%s", name, d)
		}
	}
	for _, x := range []struct {
		c    *schema.Capacity
		want string
	}{{nil, "capacity"}, {c(-1, 1), "cores"}, {c(1, math.NaN()), "link"}, {c(1, 1), ""}} {
		if got := UnusableField(x.c); got != x.want {
			t.Errorf("unusable field of %v: %q, want %q", x.c, got, x.want)
		}
	}
}
