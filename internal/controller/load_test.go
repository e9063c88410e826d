package controller

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestLoadsAtControlHostOfAnotherRegion guards against an entry host that reports to a control host of
// another region and does not learn of that region, or is told the load of its upstreams as that of
// its own.
func TestLoadsAtControlHostOfAnotherRegion(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	newTable := func() *cataloger.Table {
		x := &cataloger.Table{Timer: clock, AnnounceInterval: time.Second}
		x.Start()
		return x
	}
	host := func(name, region, upstream string, n int32) *schema.Peer {
		return &schema.Peer{Name: name, Region: region, Ready: true, Incarnation: 1, Number: 1, Loads: []*schema.PoolLoad{
			{Pool: "p", Running: map[string]int32{upstream: n}},
		}}
	}
	leader, follower := newTable(), newTable()
	for _, region := range []string{"north", "east"} {
		leader.StoreUpstream(&schema.Announcement{Name: "u-" + region, Address: region, Pool: "p", Region: region, Slots: 4, Incarnation: 1}, true)
	}
	leader.StoreHost(host("n1", "north", "u-north", 1), "")
	leader.StoreHost(host("e1", "east", "u-east", 2), "")
	asking := host("e2", "east", "u-east", 8)
	follower.StoreHost(asking, "")
	request := &schema.ConsultRequest{Region: "north", Address: "follower", Loads: follower.DirectLoads()}
	leader.StoreLoads(request.Address, request.Loads)
	fromLeader := &schema.ConsultReply{}
	consultLoads(leader, request, fromLeader)
	got := &schema.RefreshReply{}
	fillFollowerLoads(follower, "north", fromLeader, 0, asking, got)
	want := &schema.RefreshReply{
		Loads:   []*schema.PoolLoad{{Pool: "p", Running: map[string]int32{"u-east": 2}}},
		Digests: []*schema.RegionDigest{{Region: "north", Routes: []*schema.ModelDigest{{Name: "p", Replicas: 1, Slots: 4, Running: 1}}}},
	}
	if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
}
