package cataloger

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// loadReport returns the report of a host with n requests at each of two upstreams.
func loadReport(name, region string, number uint64, n int32) *schema.Peer {
	return &schema.Peer{Name: name, Region: region, Ready: true, Incarnation: 1, Number: number, Loads: []*schema.PoolLoad{{
		Pool: "p", Waiting: n, Running: map[string]int32{"u1": n, "u2": 2 * n}, Reading: map[string]int64{"u1": int64(n) * 100},
	}}}
}

// TestLoadsThroughControlHosts guards against load that is counted twice, not at all, or for the
// host itself, when the hosts of a region report to different control hosts. Hosts 0 to 2 report
// to the leader, 3 to 5 to a follower; host 6 is of another region.
func TestLoadsThroughControlHosts(t *testing.T) {
	leader, follower := newTable(t), newTable(t)
	tables := []*Table{leader, leader, leader, follower, follower, follower, follower}
	for i, x := range tables {
		region := "r"
		if i == 6 {
			region = "s"
		}
		x.StoreHost(loadReport(fmt.Sprint("h", i), region, 1, 1<<i), "")
	}
	leader.StoreLoads("follower", follower.DirectLoads())
	toFollower := &schema.RegionLoad{Region: "r", Loads: leader.Loads("r", "follower")}
	want := func(n int32) []*schema.PoolLoad { return loadReport("", "", 0, n).Loads }
	for i, x := range tables[:6] {
		fromLeader := toFollower
		if x == leader {
			fromLeader = nil
		}
		got := x.LoadsFor(&schema.Peer{Name: fmt.Sprint("h", i), Region: "r"}, fromLeader, 0)
		if diff := cmp.Diff(want(0b111111-1<<i), got, protocmp.Transform()); diff != "" {
			t.Errorf("host %d: -want +got\n%s", i, diff)
		}
	}
	digests := leader.Digests("r")
	wantDigests := []*schema.RegionDigest{{Region: "s", Routes: []*schema.ModelDigest{{Name: "p", Waiting: 1 << 6, Running: 3 << 6}}}}
	if diff := cmp.Diff(wantDigests, digests, protocmp.Transform()); diff != "" {
		t.Errorf("digests: -want +got\n%s", diff)
	}
	leader.Timer.Advance(maxLoadAge + time.Millisecond)
	for i := range 3 {
		leader.StoreHost(loadReport(fmt.Sprint("h", i), "r", 2, 1<<i), "")
	}
	if diff := cmp.Diff(want(0b111), leader.Loads("r", ""), protocmp.Transform()); diff != "" {
		t.Errorf("after the follower was lost: -want +got\n%s", diff)
	}
}

// TestWorkThroughControlHosts guards against work and memory at upstreams that are lost or counted twice on the way
// between hosts, and against rounding errors that stay as work after the last request. Hosts 0 and 1 report to the
// leader, 2 and 3 to a follower.
func TestWorkThroughControlHosts(t *testing.T) {
	report := func(name string, n float64) *schema.Peer {
		p := loadReport(name, "r", 1, int32(n))
		p.Loads[0].Work, p.Loads[0].Held = map[string]float64{"u1": n * 0.1}, map[string]int64{"u1": int64(n) * 900}
		return p
	}
	leader, follower := newTable(t), newTable(t)
	tables := []*Table{leader, leader, follower, follower}
	for i, x := range tables {
		x.StoreHost(report(fmt.Sprint("h", i), float64(int(1)<<i)), "")
	}
	leader.StoreLoads("follower", follower.DirectLoads())
	for i, x := range tables {
		var fromLeader *schema.RegionLoad
		if x == follower {
			fromLeader = &schema.RegionLoad{Region: "r", Loads: leader.Loads("r", "follower")}
		}
		got := x.LoadsFor(&schema.Peer{Name: fmt.Sprint("h", i), Region: "r"}, fromLeader, 0)
		want := report("", float64(15-int(1)<<i)).Loads
		if diff := cmp.Diff(want, got, protocmp.Transform(), cmpopts.EquateApprox(0, 1e-9)); diff != "" {
			t.Errorf("host %d: -want +got\n%s", i, diff)
		}
	}
	if d := leader.Digests("")[0].Routes[0]; math.Abs(d.Work-1.5) > 1e-9 {
		t.Errorf("the region's work is %v, want 1.5", d.Work)
	}
	alone := newTable(t)
	alone.StoreHost(report("h0", 3), "")
	if got := alone.LoadsFor(&schema.Peer{Name: "h0", Region: "r"}, nil, 0); len(got[0].Work)+len(got[0].Held) != 0 {
		t.Errorf("the only host gets %v", got)
	}
}

// TestForwardedHostsDoNotGrowWithReports guards against a leader that receives every report of
// every entry host: unchanged hosts are forwarded at intervals, without their loads, changed ones
// at once.
func TestForwardedHostsDoNotGrowWithReports(t *testing.T) {
	x := newTable(t)
	forwarded := 0
	for n := range uint64(50) { // 50 reports in 2 s
		x.Timer.Advance(40 * time.Millisecond)
		x.StoreHost(loadReport("h", "r", n+1, 1), "")
		_, hosts := x.ReportsToForward()
		for _, p := range hosts {
			if len(p.Loads) > 0 {
				t.Fatal("a forwarded report has loads")
			}
		}
		forwarded += len(hosts)
	}
	if most := int(2*time.Second/hostForwardInterval) + 1; forwarded > most {
		t.Errorf("%d reports forwarded in 2 s, want at most %d", forwarded, most)
	}
	stopping := loadReport("h", "r", 51, 1)
	stopping.Ready = false
	x.StoreHost(stopping, "")
	if _, hosts := x.ReportsToForward(); len(hosts) != 1 || hosts[0].Ready {
		t.Errorf("a host that is not ready any more: forwarded %v", hosts)
	}
}

// TestDemandsThroughControlHosts guards against demand that is lost, counted twice or sent to some hosts only, when the
// hosts of a region report to different control hosts; and against capacity that includes evacuated upstreams.
func TestDemandsThroughControlHosts(t *testing.T) {
	leader, follower := newTable(t), newTable(t)
	leader.Evacuated = func() func(string) bool { return func(domain string) bool { return domain == "d2" } }
	for i, x := range []*Table{leader, leader, follower, follower} {
		p := loadReport(fmt.Sprint("h", i), "r", 1, 1)
		p.Loads[0].Demands = []*schema.HomeDemand{{Homes: []string{"r", "s"}, Work: 1}, {Work: 0.5, Shared: 0.25}}
		x.StoreHost(p, "")
	}
	for i, domain := range []string{"d1", "d2", "d2"} {
		leader.StoreUpstream(&schema.Announcement{Name: fmt.Sprint("u", i), Address: fmt.Sprint(i), Pool: "p", Region: "r", Domain: domain, Slots: 4, Incarnation: 1}, true)
	}
	leader.StoreLoads("follower", follower.DirectLoads())
	want := []*schema.HomeDemand{{Work: 2, Shared: 1}, {Homes: []string{"r", "s"}, Work: 4}}
	digest := leader.Digests("")[0].Routes[0]
	if diff := cmp.Diff(want, digest.Demands, protocmp.Transform()); diff != "" {
		t.Errorf("digest: -want +got\n%s", diff)
	}
	if digest.Slots != 12 || digest.Evacuated != 8 {
		t.Errorf("%d slots, %d of them evacuated, want 12 and 8", digest.Slots, digest.Evacuated)
	}
	toFollower := &schema.RegionLoad{Region: "r", Loads: leader.Loads("r", "follower")}
	for i, x := range []*Table{leader, leader, follower, follower} {
		fromLeader := toFollower
		if x == leader {
			fromLeader = nil
		}
		for range 2 { // the second time from the sums that are kept
			got := x.LoadsFor(&schema.Peer{Name: fmt.Sprint("h", i), Region: "r"}, fromLeader, 0)
			if diff := cmp.Diff(want, got[0].Demands, protocmp.Transform()); diff != "" {
				t.Errorf("host %d: -want +got\n%s", i, diff)
			}
		}
	}
}

// TestPromisesAreAgedAndBounded guards against callers that hosts expect too late, as the told times are counted from
// when a host reported them, and against messages that grow with the number of hosts.
func TestPromisesAreAgedAndBounded(t *testing.T) {
	leader, follower := newTable(t), newTable(t)
	for i := range 300 {
		report := loadReport(fmt.Sprint("h", i), "r", 1, 1)
		report.Loads[0].Promises = []*schema.Promise{{Content: uint64(i + 1), Wait: 2, Lead: 0.5, Placed: true}}
		follower.StoreHost(report, "")
	}
	leader.StoreHost(loadReport("asking", "r", 1, 1), "")
	follower.Timer.Advance(200 * time.Millisecond)
	loads := follower.DirectLoads()
	leader.StoreLoads("follower", loads)
	leader.Timer.Advance(300 * time.Millisecond)
	got := leader.LoadsFor(&schema.Peer{Name: "asking", Region: "r"}, nil, 0)[0].Promises
	if len(got) != maxPromises {
		t.Fatalf("%d promises are passed on, want %d", len(got), maxPromises)
	}
	for _, x := range got {
		if math.Abs(x.Wait-1.5) > 1e-9 || x.Lead != 0.5 || !x.Placed || x.Content == 0 {
			t.Fatalf("after 0.5s a caller that is to return in 2s is reported as %v", x)
		}
	}
	reply := leader.LoadsFor(&schema.Peer{Name: "new", Region: "s"}, &schema.RegionLoad{Region: "s", Loads: loads[0].Loads}, 400*time.Millisecond)
	if wait := reply[0].Promises[0].Wait; math.Abs(wait-1.4) > 1e-9 {
		t.Errorf("a caller that the leader reported 0.4s ago with 1.8s left is reported with %v", wait)
	}
}
