package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/assigner"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// measureDemand makes the hosts of a cluster report their demand, and callers use few of them: a tenth of the hosts get
// half of the requests. If byDemand is false, the fractions stay equal.
func (c *cluster) measureDemand(byDemand bool) {
	busy := max(1, len(c.hosts)/10)
	c.pickHost = func(r *rand.Rand) int {
		if r.IntN(2) == 0 {
			return r.IntN(busy)
		}
		return r.IntN(len(c.hosts))
	}
	c.reported = make([][]*schema.HomeDemand, len(c.hosts))
	for i, s := range c.hosts {
		c.meters = append(c.meters, &assigner.Meter{})
		if byDemand {
			s.Region, s.OwnDemand = "r", func(string) ([]*schema.HomeDemand, bool) { return c.reported[i], true }
		}
	}
}

// TestSlotsFollowDemand guards against callers who wait or are refused at the hosts that most callers use, while other
// hosts keep fractions of the free slots that they don't use: a tenth of the hosts get half of the requests, and loads
// are 0.2 to 0.5 s old or lost. It must not be worse for one host and for even callers, nor make engine queues longer.
func TestSlotsFollowDemand(t *testing.T) {
	for _, x := range []struct {
		name   string
		skewed bool
		lost   float64
	}{{"a tenth gets half", true, 0}, {"a tenth gets half, reports lost", true, 0.3}, {"even", false, 0}} {
		for _, hosts := range []int{1, 30, 300} {
			var inTime [2]float64
			var waiting [2]int
			for i, byDemand := range []bool{false, true} {
				const seeds = 1
				for seed := range uint64(seeds) {
					c := newCluster(clusterOptions{seed: seed, hosts: hosts, engines: 16, slots: 16, memory: 147_071, adaptive: true})
					c.measureDemand(byDemand)
					if !x.skewed {
						c.pickHost = nil
					}
					c.reportDelay = func(r *rand.Rand) time.Duration {
						if r.Float64() < x.lost {
							return -1
						}
						return time.Duration(200+r.IntN(300)) * time.Millisecond
					}
					for _, res := range c.run(6*time.Second, largeLoad(34), smallLoad(72)) {
						inTime[i] += res.withinObjective() / (2 * seeds)
					}
					for _, e := range c.engines {
						waiting[i] = max(waiting[i], e.MaxWaiting)
					}
				}
			}
			t.Logf("%s, %d hosts: %.3f in time with equal fractions, %.3f by demand; largest queue %d and %d", x.name, hosts, inTime[0], inTime[1], waiting[0], waiting[1])
			// One in a hundred is what two seeds differ by.
			if inTime[1] < inTime[0]-0.01 {
				t.Errorf("%s, %d hosts: %.3f in time, %.3f with equal fractions", x.name, hosts, inTime[1], inTime[0])
			}
			if most := waiting[0] + int(16*engineQueueFraction); waiting[1] > most {
				t.Errorf("%s, %d hosts: %d requests waited at an engine, want at most %d", x.name, hosts, waiting[1], most)
			}
		}
	}
}

// TestFractionsOutsideAdaptiveMode guards against slot quotas by demand where requests are to be placed as before, and
// against a host without a report of its demand, or a plain service, whose fraction isn't equal.
func TestFractionsOutsideAdaptiveMode(t *testing.T) {
	quotas := func(adaptive, reported bool) (map[string]float64, int) {
		s := newScheduler(append(engines(2), plainServices(1)...)...)
		s.HostCount, s.Region, s.Adaptive = func() int { return 4 }, "r", func() bool { return adaptive }
		s.OwnDemand = func(string) ([]*schema.HomeDemand, bool) { return []*schema.HomeDemand{{Work: 9}}, reported }
		s.UpdateOtherLoads([]*schema.PoolLoad{{Pool: "engine", Demands: []*schema.HomeDemand{{Work: 10}}}})
		got := map[string]float64{}
		for name, u := range s.upstreams {
			got[name] = u.slotQuota / float64(max(1, u.announcement.Slots))
		}
		return got, len(s.SlotFractions())
	}
	equal, none := quotas(false, true)
	for _, u := range []string{"e0", "e1"} {
		if equal[u] != 0.25 || none != 0 {
			t.Errorf("%s: quota of %.3f of the slots outside adaptive mode", u, equal[u])
		}
	}
	unreported, _ := quotas(true, false)
	if d := cmp.Diff(equal, unreported); d != "" {
		t.Errorf("without a reported demand (-want +got):\n%s", d)
	}
	byDemand, n := quotas(true, true)
	if want := 0.25*0.25 + 0.75*0.9; byDemand["e0"] < want-1e-9 || byDemand["e0"] > want+1e-9 || n != 1 || byDemand["s0"] != equal["s0"] {
		t.Errorf("adaptive: quotas %v of %d pools, want %.4f of each engine and %v of the service", byDemand, n, want, equal["s0"])
	}
}
