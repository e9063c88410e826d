package controller

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/persister"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestNewLeaderRenewsReportedShares guards against entry hosts that lose their shares because the only control host has
// started again: the share that a host reports is renewed as soon as there is a leader, and not raised, while loans beyond
// the reserve are refused as not known yet and not as over the limits. What a host reports of its callers' demand
// is not passed on to other hosts.
func TestNewLeaderRenewsReportedShares(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "control")
	identity := &schema.Identity{Id: 7, Name: "a", Members: []*schema.Member{{Id: 7, Name: "a", Address: "127.0.0.1:1", Voter: true}}, Target: 1}
	if err := persister.Init(folder, identity); err != nil {
		t.Fatal(err)
	}
	k, run, stop := startClusterHost(t, folder)
	limits := func(customer string) (allocator.Limits, bool) {
		return allocator.Limits{Rate: 1000, Burst: 1000}, customer == "c"
	}
	adaptive := func() bool { return true }
	k.Bucket.Limits, k.Bucket.Adaptive = limits, adaptive
	k.Allocator.Limits, k.Allocator.Adaptive = limits, adaptive
	k.Granter = &allocator.Granter{Now: k.c.Timer.Now, Limits: limits, Adaptive: adaptive, Bucket: k.Bucket}
	s := &ClusterService{Cluster: k}
	number := uint64(0)
	refresh := func() []*schema.Share {
		t.Helper()
		number++
		reply, err := s.Refresh(t.Context(), &schema.RefreshRequest{Self: &schema.Peer{
			Name: "e", Region: "r", Incarnation: 2, Number: number, Allotment: number - 1,
			Demands:  []*schema.Demand{{Customer: "c", Rate: 400, Size: 10}, {Customer: "unknown", Rate: 1}},
			Standing: []*schema.Share{{Customer: "c", Rate: 100, Burst: 50, Left: 5, Limit: 1000}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		return reply.Standing
	}
	if shares := refresh(); len(shares) > 0 {
		t.Errorf("shares without a leader: %v", shares)
	}
	// A control host that has not applied the configuration yet does not know customers that exist.
	if reply, err := s.Borrow(t.Context(), &schema.BorrowRequest{Customer: "not applied yet", Need: 10, Wish: 10}); err != nil || reply.Leader || reply.Retry > 0 {
		t.Errorf("loan for a customer that is not known yet: %v, %v, want no decision", reply, err)
	}
	run()
	defer stop()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		shares := refresh()
		if len(shares) == 0 {
			if time.Now().After(until) {
				t.Fatal("share not renewed in 20 s")
			}
			continue
		}
		if s := shares[0]; s.Customer != "c" || s.Rate != 100 || s.Burst != 50 || s.Left != allocator.StandingDuration.Seconds() || s.Limit != 1000 {
			t.Errorf("share of 100 tokens per second renewed as %v", s)
		}
		break
	}
	reply, err := s.Borrow(t.Context(), &schema.BorrowRequest{Customer: "c", Need: 900, Wish: 900})
	if err != nil || !reply.Leader || !reply.Starting || reply.Tokens > 0 || reply.Retry <= 0 || reply.Retry > 11 {
		t.Errorf("loan while the leader learns: %v, %v", reply, err)
	}
	reply, err = s.Draw(t.Context(), &schema.BorrowRequest{Customer: "c", Need: 900, Wish: 900})
	if err != nil || !reply.Leader || !reply.Starting || reply.Tokens > 0 {
		t.Errorf("loan of the leader while it learns: %v, %v", reply, err)
	}
	for _, p := range k.Table.ChangesSince(0, 0, "").Hosts {
		if len(p.Demands) > 0 || len(p.Standing) > 0 || p.Allotment > 0 {
			t.Errorf("passed on: %v", p)
		}
	}
	if got := k.Granter.Stats(); got.Renewed == 0 || got.Granted > 0 || got.Unusable == 0 {
		t.Errorf("counters: %+v", got)
	}
}
