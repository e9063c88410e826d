package cataloger

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// FuzzReply guards against a reply of a control host, or a report of an entry host, that ends the process or
// dates what it says after its arrival, so that it outlasts every later check.
func FuzzReply(f *testing.F) {
	add := func(a *schema.Announcement, p *schema.Peer) {
		b, err := proto.Marshal(&schema.RefreshReply{Upstreams: []*schema.Announcement{a}, Peers: []*schema.Peer{p}, Whole: true, Observed: 5})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	for _, age := range []float64{0, 3, -1e6, 1e300, math.NaN(), math.Inf(1), math.Inf(-1)} {
		a := newReport("u", 2, 1, "x:1")
		a.Age, a.Cold, a.Left, a.Leaving, a.Since, a.Broken, a.Claim = age, age, age, true, &age, &age, 1
		a.Limit = &schema.NamedLimit{Upstream: "u", Incarnation: 2, Rate: age, Age: age}
		a.Brittleness = &schema.Brittleness{Upstream: "u", Incarnation: 2, Rejections: age, Age: age, Rejected: &age, Room: age}
		add(a, &schema.Peer{Name: "h", Region: "r", Age: age, Incarnation: 1, Number: 1, Ready: true})
	}
	add(&schema.Announcement{}, &schema.Peer{})
	add(&schema.Announcement{Name: "sound", Incarnation: 1, Number: 9, Gone: true}, &schema.Peer{Name: "sound"})
	add(&schema.Announcement{Name: "other", Address: "sound:1", Incarnation: 5}, &schema.Peer{Name: "sound", Incarnation: 9})
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &schema.RefreshReply{}
		if proto.Unmarshal(b, m) != nil {
			return
		}
		clock := &timer.Service{Clock: &timer.ManualClock{}}
		clock.Advance(time.Hour)
		table := &Table{Timer: clock, AnnounceInterval: time.Second, DrainTime: 20 * time.Second, IsMirror: true}
		table.Start()
		table.StoreUpstream(newReport("sound", 1, 1, "sound:1"), true)
		table.StoreHost(&schema.Peer{Name: "sound", Region: "r", Incarnation: 1, Number: 1, Ready: true}, "")
		for range 2 {
			again := proto.Clone(m).(*schema.RefreshReply) // the table keeps and changes what it gets
			table.Follow(Reply{Upstreams: again.Upstreams, Hosts: again.Peers, Whole: again.Whole, Observed: time.Duration(again.Observed * float64(time.Second)), From: "c"}, nil, nil)
			again = proto.Clone(m).(*schema.RefreshReply)
			for _, a := range again.Upstreams {
				table.StoreUpstream(a, false)
			}
			for _, p := range again.Peers {
				table.StoreHost(p, "c")
			}
			now := clock.Now()
			table.mu.Lock()
			for name, u := range table.upstreams {
				if u.reportedAt > now || u.brokenAt > now || u.saidAt > now || u.limit != nil && u.limit.receivedAt > now {
					t.Errorf("upstream %q: reported at %v, broken at %v, said at %v, limit %v; now %v", name, u.reportedAt, u.brokenAt, u.saidAt, u.limit, now)
				}
			}
			for name, h := range table.hosts {
				if h.reportedAt > now {
					t.Errorf("host %q: reported at %v, now %v", name, h.reportedAt, now)
				}
			}
			table.mu.Unlock()
			clock.Advance(3 * time.Second)
			table.Sweep(true)
			table.Sweep(false)
			table.ChangesSince(0, 0, "r")
			table.Upstreams()
			table.ReadyHosts("r")
			table.LeavingUntil()
			table.BrokenAt()
			table.Limits()
			table.Brittleness()
			table.ReportsToForward()
		}
		clock.Advance(10 * time.Minute)
		table.Sweep(true)
		if all := table.Upstreams(); len(all) > 0 {
			t.Errorf("known 10 minutes after the last report: %v", all)
		}
	})
}
