package assigner

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

var update = flag.Bool("update", false, "write golden files")

// Engine time of the requests of the first deployment, in seconds: bound ones have 628 own input tokens and 290 output
// tokens, unbound ones 2,890 and 50; engines have 64 slots.
const (
	boundTime   = 628.0/40_000 + 290*0.008/64
	unboundTime = 2_890.0/40_000 + 50*0.008/64
)

var boundHomes = []string{"a", "b"}

// deployment returns the first deployment of docs/design/plan.md, with the demand of each kind as a multiple of its
// mean. Callers are spread as the engines are.
func deployment(bound, unbound float64) Input {
	in := Input{Regions: []Region{{"a", 28}, {"b", 20}, {"c", 14}}, Cost: DefaultCost}
	for _, r := range in.Regions {
		share := r.Capacity / 62
		in.Demands = append(in.Demands,
			Demand{Homes: boundHomes, Caller: r.Name, Work: 303 * boundTime * share * bound},
			Demand{Caller: r.Name, Work: 57.7 * unboundTime * share * unbound, Shared: 57.7 * unboundTime * share * unbound})
	}
	return in
}

func format(o *Output) string {
	var b strings.Builder
	for i, r := range o.Regions {
		fmt.Fprintf(&b, "  region %s: capacity %.1f utilization %.2f full %v\n", r, o.Capacity[i], o.Utilization[i], o.Full(r))
	}
	compare := func(x, y Key) int { return strings.Compare(x.Homes+"/"+x.Caller, y.Homes+"/"+y.Caller) }
	for _, k := range slices.SortedFunc(maps.Keys(o.Assignments), compare) {
		a := o.Assignments[k]
		fmt.Fprintf(&b, "  homes %-6q caller %-3q weights %.2f kept %v\n", k.Homes, k.Caller, a.Weights, a.Kept)
	}
	return b.String()
}

// TestAssignments shows assignments of the first deployment. It guards against unbound work in the regions that bound
// work fills, and against work that leaves its region although every region has room.
func TestAssignments(t *testing.T) {
	var got strings.Builder
	show := func(name string, in Input) {
		fmt.Fprintf(&got, "%s\n%s", name, format(Assign(in)))
	}
	show("mean demand", deployment(1, 1))
	show("a fifth of the mean", deployment(0.2, 0.2))
	show("bound work at 2.8 times its mean", deployment(2.8, 1))
	show("unbound work at 2.8 times its mean", deployment(1, 2.8))
	show("both at 2.8 times their mean", deployment(2.8, 2.8))
	show("bound work exceeds its regions", deployment(4, 1))
	oneRegion := deployment(2, 1)
	for i := range oneRegion.Demands {
		oneRegion.Demands[i].Caller = "b"
	}
	show("twice the bound work, all callers in one region", oneRegion)
	lost := deployment(2.2, 1)
	lost.Regions = lost.Regions[:2]
	show("the free region is lost", lost)
	evacuated := deployment(2, 1)
	evacuated.Regions[1].Capacity = 0
	show("a home is evacuated", evacuated)
	nested := Input{Regions: []Region{{"a", 10}, {"b", 10}, {"c", 10}}, Cost: DefaultCost, Demands: []Demand{
		{Homes: []string{"a"}, Caller: "a", Work: 7}, {Homes: []string{"a", "b"}, Caller: "a", Work: 8},
		{Homes: []string{"b", "c"}, Caller: "b", Work: 4}, {Caller: "b", Work: 3},
	}}
	show("overlapping sets", nested)
	const golden = "testdata/assignments.golden"
	if *update {
		if err := os.WriteFile(golden, []byte(got.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Errorf("assignments differ from %s: -want +got\n%s", golden, diff)
	}
}

// TestWeightsAreValid guards against work that is assigned to a region that is not among its homes or has no
// capacity, and against weights that do not add up, for random and absurd inputs of 1 to 9 regions. The result must not
// depend on the order of reports.
func TestWeightsAreValid(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	values := []float64{0, 1, 5, 1e300, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1e-300}
	number := func() float64 {
		if random.IntN(4) == 0 {
			return values[random.IntN(len(values))]
		}
		return random.ExpFloat64() * 10
	}
	var earlier *Output
	for n := range 3_000 {
		in := Input{Cost: DefaultCost, Earlier: earlier, Elapsed: time.Duration(random.IntN(3_000)) * time.Millisecond}
		regions := 1 + random.IntN(9)
		for i := range regions {
			in.Regions = append(in.Regions, Region{fmt.Sprint("r", i), number()})
		}
		for range random.IntN(40) {
			d := Demand{Caller: fmt.Sprint("r", random.IntN(regions+1)), Work: number(), Shared: number()}
			for i := range regions + 1 { // one region may be unknown
				if random.IntN(3) == 0 {
					d.Homes = append(d.Homes, fmt.Sprint("r", i))
				}
			}
			in.Demands = append(in.Demands, d)
		}
		got := Assign(in)
		capacity := map[string]bool{}
		for _, r := range in.Regions {
			capacity[r.Name] = r.Capacity > 0
		}
		for k, a := range got.Assignments {
			total := 0.0
			for i, w := range a.Weights {
				region := got.Regions[i]
				if total += w; w < 0 || w > 0 && (!capacity[region] || k.Homes != "" && !slices.Contains(strings.Split(k.Homes, ","), region)) {
					t.Fatalf("input %d: work of %v gets %v in %s", n, k, w, region)
				}
			}
			if math.Abs(total-1) > 1e-6 {
				t.Fatalf("input %d: weights of %v add up to %v: %v", n, k, total, a.Weights)
			}
		}
		shuffled := in
		shuffled.Regions, shuffled.Demands = slices.Clone(in.Regions), slices.Clone(in.Demands)
		random.Shuffle(len(in.Regions), func(i, j int) {
			shuffled.Regions[i], shuffled.Regions[j] = shuffled.Regions[j], shuffled.Regions[i]
		})
		random.Shuffle(len(in.Demands), func(i, j int) {
			shuffled.Demands[i], shuffled.Demands[j] = shuffled.Demands[j], shuffled.Demands[i]
		})
		if diff := cmp.Diff(format(got), format(Assign(shuffled))); diff != "" {
			t.Fatalf("input %d: another order of the same reports gives another result:\n%s", n, diff)
		}
		earlier = got
	}
}

// TestBoundWorkHasRoom guards against unbound work in a full region while another has room, for random demands of 3
// and 9 regions whose bound work fits.
func TestBoundWorkHasRoom(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for n := range 1_000 {
		in := Input{Cost: DefaultCost}
		regions := []int{3, 9}[n%2]
		homes, capacity, total := []string{}, 0.0, 0.0
		for i := range regions {
			r := Region{fmt.Sprint("r", i), 10 + random.Float64()*30}
			in.Regions = append(in.Regions, r)
			if total += r.Capacity; i*3 < regions*2 {
				homes = append(homes, r.Name)
				capacity += r.Capacity
			}
		}
		bound := random.Float64() * 0.9 * capacity
		unbound := random.Float64() * 0.85 * (total - bound)
		split := rand.New(rand.NewPCG(uint64(n), 5))
		left, leftBound := unbound, bound
		for i, r := range in.Regions {
			part, boundPart := left*split.Float64(), leftBound*split.Float64()
			if i == regions-1 {
				part, boundPart = left, leftBound
			}
			left, leftBound = left-part, leftBound-boundPart
			in.Demands = append(in.Demands, Demand{Homes: homes, Caller: r.Name, Work: boundPart}, Demand{Caller: r.Name, Work: part, Shared: part * split.Float64()})
		}
		o := Assign(in)
		lowest := slices.Min(o.Utilization)
		for k, a := range o.Assignments {
			for i, w := range a.Weights {
				if k.Homes == "" && w > 0 && o.Utilization[i] > max(fullUtilization, lowest)+0.01 {
					t.Fatalf("demands %d: unbound work of %v has weight %.2f in %s\n%s", n, k, w, o.Regions[i], format(o))
				}
			}
		}
	}
}

// TestSwingWithinTwoSeconds guards against weights that follow a swing of demand too late or that oscillate: demand, or
// the regions that callers use, move between their extremes in two seconds, and digests are 0.2 to 0.5 s old. A
// weight of work for which there is demand must not change its direction more often than the demand does, apart from
// changes of less than 0.02.
func TestSwingWithinTwoSeconds(t *testing.T) {
	const step, until = 200 * time.Millisecond, 60 * time.Second
	turn := func(at time.Duration) float64 { return math.Cos(math.Pi * at.Seconds() / 2) }
	for _, c := range []struct {
		name string
		at   func(at time.Duration) Input
	}{
		{"demand", func(at time.Duration) Input { // 0.2 to 2.8 times its mean, the kinds in turns
			return deployment(1.5-1.3*turn(at), 1.5+1.3*turn(at))
		}},
		{"callers", func(at time.Duration) Input {
			in := deployment(2.4, 1)
			in.Demands[0].Work, in.Demands[2].Work, in.Demands[4].Work = 0, 0, 0
			total := 303 * boundTime * 2.4
			in.Demands[0].Work, in.Demands[2].Work = total*(0.5+0.45*turn(at)), total*(0.5-0.45*turn(at))
			return in
		}},
	} {
		for _, age := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond} {
			var earlier *Output
			turns := map[string]int{}
			last, direction := map[string]float64{}, map[string]float64{}
			sum, without, n := 0.0, 0.0, 0.0
			kept := Assign(deployment(0.01, 0.01)) // the choice without an assignment
			for at := time.Duration(0); at < until; at += step {
				in := c.at(at - age)
				in.Earlier, in.Elapsed = earlier, step
				earlier = Assign(in)
				if at > time.Second {
					sum, without, n = sum+excess(earlier, c.at(at)), without+excess(kept, c.at(at)), n+1
				}
				for k, a := range earlier.Assignments {
					if k.Homes == "" && k.Caller != "" || k.Homes != "" && k.Caller == "" {
						continue // without demand
					}
					for i, w := range a.Weights {
						name := fmt.Sprint(k, earlier.Regions[i])
						if d := w - last[name]; math.Abs(d) >= 0.02 {
							if d*direction[name] < 0 {
								turns[name]++
							}
							last[name], direction[name] = w, math.Copysign(1, d)
						}
					}
				}
			}
			most := slices.Max(append(slices.Collect(maps.Values(turns)), 0))
			t.Logf("%s, digests %v old: at most %d changes of direction of a weight; beyond the capacity of regions %.3f, without an assignment %.3f", c.name, age, most, sum/n, without/n)
			if swings := int(until / (2 * time.Second)); most > swings+1 {
				t.Errorf("%s, digests %v old: %d changes of direction in %d swings of the demand: %v", c.name, age, most, swings, turns)
			}
			if sum > 0.6*without {
				t.Errorf("%s, digests %v old: %.3f of the capacity is missed on average, without an assignment %.3f", c.name, age, sum/n, without/n)
			}
		}
	}
}

// excess returns the work beyond the capacity of regions if the demand of in is divided by the weights of o, as a
// fraction of all capacity.
func excess(o *Output, in Input) float64 {
	load := make([]float64, len(o.Regions))
	for _, d := range in.Demands {
		key := HomesKey(d.Homes)
		for i, r := range o.Regions {
			load[i] += d.Shared*o.Weight(Key{Homes: key}, r) + (d.Work-d.Shared)*o.Weight(Key{key, d.Caller}, r)
		}
	}
	over, total := 0.0, 0.0
	for i, c := range o.Capacity {
		over, total = over+max(0, load[i]-c), total+c
	}
	return over / total
}

// TestSteadyDemandHasSteadyWeights guards against weights that never come to rest: under steady demand with noise of
// a tenth, as Poisson arrivals have it, a weight settles and then changes direction by more than a tenth at no time.
func TestSteadyDemandHasSteadyWeights(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	var earlier *Output
	first := map[string]float64{}
	for n := range 300 {
		in := deployment(2.6*(1+0.1*(2*random.Float64()-1)), 1+0.1*(2*random.Float64()-1))
		in.Earlier, in.Elapsed = earlier, 200*time.Millisecond
		earlier = Assign(in)
		for k, a := range earlier.Assignments {
			for i, w := range a.Weights {
				name := fmt.Sprint(k, earlier.Regions[i])
				if n == 20 {
					first[name] = w
				}
				if n > 20 && math.Abs(w-first[name]) > 0.1 {
					t.Fatalf("round %d: weight %s moved from %.2f to %.2f", n, name, first[name], w)
				}
			}
		}
	}
}

// TestRegionReturns guards against a region whose weight jumps back when it returns, and against weights that remain for
// a region that is lost.
func TestRegionReturns(t *testing.T) {
	round := func(in Input, earlier *Output) *Output {
		in.Earlier, in.Elapsed = earlier, 200*time.Millisecond
		return Assign(in)
	}
	all := deployment(2.2, 1)
	without := deployment(2.2, 1)
	without.Regions = without.Regions[:2]
	shared := Key{}
	o := round(all, nil)
	if w := o.Weight(shared, "c"); w < 0.9 {
		t.Fatalf("the free region gets %.2f of the unbound work", w)
	}
	o = round(without, o)
	if w := o.Weight(shared, "c"); w != 0 {
		t.Errorf("a region that is lost has weight %v", w)
	}
	before := 0.0
	for n := range 15 {
		o = round(all, o)
		w := o.Weight(shared, "c")
		if w < before || w > before+0.2+1e-9 {
			t.Errorf("round %d after the region returned: weight %.2f after %.2f", n, w, before)
		}
		before = w
	}
	if before < 0.9 {
		t.Errorf("3 s after the region returned its weight is %.2f", before)
	}
}

// TestManyHostsAgree guards against hosts that send one prefix to different regions: 1, 30 and 300 hosts with their own
// earlier weights, some just started, get digests of 0.2 to 0.5 s of age. Once the demand is steady for 2 s, their
// weights must agree within 0.02.
func TestManyHostsAgree(t *testing.T) {
	for _, regions := range []int{3, 9} {
		for _, hosts := range []int{1, 30, 300} {
			random := rand.New(rand.NewPCG(7, uint64(hosts)))
			outputs := make([]*Output, hosts)
			demand := func(n int) Input { // rises for 2 s, then is steady
				level := 0.2 + 0.26*float64(max(0, min(n, 10)))
				in := Input{Cost: DefaultCost}
				var homes []string
				for i := range regions {
					in.Regions = append(in.Regions, Region{fmt.Sprint("r", i), float64(10 + 4*i)})
					if i*3 < regions*2 {
						homes = append(homes, fmt.Sprint("r", i))
					}
				}
				for _, r := range in.Regions {
					in.Demands = append(in.Demands, Demand{Homes: homes, Caller: r.Name, Work: level * 0.18 * r.Capacity}, Demand{Caller: r.Name, Work: level * 0.1 * r.Capacity, Shared: level * 0.05 * r.Capacity})
				}
				return in
			}
			for n := range 20 {
				for i := range outputs {
					in := demand(n - 1 - random.IntN(2))
					if outputs[i] = Assign(withEarlier(in, outputs[i])); random.IntN(200) == 0 && n < 10 {
						outputs[i] = nil // the host starts again
					}
				}
			}
			worst := 0.0
			for _, o := range outputs {
				for k, a := range o.Assignments {
					for i, w := range a.Weights {
						worst = max(worst, math.Abs(w-outputs[0].Assignments[k].Weights[i]))
					}
				}
			}
			if worst > 0.02 {
				t.Errorf("%d hosts, %d regions: weights differ by %.3f", hosts, regions, worst)
			}
		}
	}
}

func withEarlier(in Input, earlier *Output) Input {
	in.Earlier, in.Elapsed = earlier, 200*time.Millisecond
	return in
}

// TestMeterMeasuresDemand guards against demand that lags behind a swing by more than its time constant, and against
// reports that grow with the number of pools or sets of homes.
func TestMeterMeasuresDemand(t *testing.T) {
	m := &Meter{}
	now := time.Hour
	record := func(until time.Duration, interval time.Duration) {
		for ; now < until; now += interval {
			m.Record("p", []string{"b", "a"}, 50*time.Millisecond, false, now)
		}
	}
	work := func() float64 {
		d := m.Demands(now)["p"]
		if len(d) != 1 || HomesKey(d[0].Homes) != "a,b" {
			t.Fatalf("demands %v", d)
		}
		return d[0].Work
	}
	record(now+10*time.Second, 50*time.Millisecond)
	if got := work(); math.Abs(got-1) > 0.05 {
		t.Errorf("20 requests of 50 ms a second count %.2f engine seconds a second", got)
	}
	record(now+2*time.Second, 5*time.Millisecond)
	if got := work(); got < 8 || got > 10 {
		t.Errorf("2 s after a rise from 1 to 10: %.2f", got)
	}
	now += 20 * time.Second
	if d := m.Demands(now); len(d) != 0 {
		t.Errorf("20 s after the last request: %v", d)
	}
	for i := range 100 {
		m.Record(fmt.Sprint("p", i), nil, time.Second, true, now)
		m.Record("p0", []string{fmt.Sprint("r", i), "s"}, time.Second, false, now)
	}
	got := m.Demands(now)
	total := 0.0
	for _, d := range got["p0"] {
		total += d.Work
	}
	if len(got) > maxReportedPools || len(got["p0"]) > maxReportedSets || math.Abs(total-101) > 1e-6 {
		t.Errorf("%d pools, %d sets, %.1f engine seconds a second, want at most %d, at most %d, 101", len(got), len(got["p0"]), total, maxReportedPools, maxReportedSets)
	}
}

// TestAddDemands guards against sums that take over absurd figures or change the reports that they are made of.
func TestAddDemands(t *testing.T) {
	a := []*schema.HomeDemand{{Homes: []string{"a", "b"}, Work: 1, Shared: 1}, {Work: 2}}
	b := []*schema.HomeDemand{{Homes: []string{"b", "a"}, Work: 2, Shared: 7}, {Work: math.NaN()}, {Work: -4}, {Homes: []string{"c"}, Work: math.Inf(1), Shared: math.NaN()}}
	var got []string
	for _, d := range AddDemands(AddDemands(nil, a), b) {
		got = append(got, fmt.Sprint(HomesKey(d.Homes), " ", d.Work, " ", d.Shared))
	}
	if diff := cmp.Diff([]string{" 2 0", "a,b 3 3", "c 1e+06 0"}, got); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
	if a[0].Work != 1 || b[0].Work != 2 {
		t.Error("a report was changed")
	}
	var many []*schema.HomeDemand
	for i := range 100 {
		many = append(many, &schema.HomeDemand{Homes: []string{fmt.Sprint("r", i), "s"}, Work: 1})
	}
	if n := len(AddDemands(nil, many)); n > MaxSummedSets {
		t.Errorf("%d sets in a sum", n)
	}
}

// TestCalibration guards against engines that are slower than assumed and take work as if they were not, and against
// a factor that follows a single peak.
func TestCalibration(t *testing.T) {
	c := &Calibration{}
	factor := 0.0
	for range 200 {
		factor = c.Update(10, 20, 200*time.Millisecond)
	}
	if math.Abs(factor-2) > 0.1 {
		t.Errorf("twice the estimated use gives factor %.2f", factor)
	}
	for range 200 {
		factor = c.Update(10, 4, 200*time.Millisecond)
	}
	if factor != 1 {
		t.Errorf("less than the estimated use gives factor %.2f", factor)
	}
	for range 5 {
		factor = c.Update(10, 30, 200*time.Millisecond)
	}
	if factor > 1.1 {
		t.Errorf("a peak of 1 s gives factor %.2f", factor)
	}
	for _, x := range []float64{math.NaN(), math.Inf(1), -5} {
		if factor = c.Update(x, x, -time.Second); factor < 1 || factor > maxFactor {
			t.Errorf("factor %v after absurd figures", factor)
		}
	}
}

// BenchmarkAssign measures one computation for 9 regions and 8 sets of homes, which an entry host does with each
// Refresh (200 ms). It must take far less than 1 ms.
func BenchmarkAssign(b *testing.B) {
	in := Input{Cost: DefaultCost}
	for i := range 9 {
		in.Regions = append(in.Regions, Region{fmt.Sprint("r", i), float64(10 + i)})
	}
	for i := range 8 {
		var homes []string
		for j := range 9 - i {
			homes = append(homes, fmt.Sprint("r", (i+j)%9))
		}
		for _, r := range in.Regions {
			in.Demands = append(in.Demands, Demand{Homes: homes, Caller: r.Name, Work: float64(1+i) / 8, Shared: 0.05})
		}
	}
	in.Earlier, in.Elapsed = Assign(in), 200*time.Millisecond
	b.ReportAllocs()
	for b.Loop() {
		Assign(in)
	}
}
