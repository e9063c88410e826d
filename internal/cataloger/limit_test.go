package cataloger

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestLimitsSpread guards against a limit that other hosts do not receive, or receive too often, and
// against one that outlives its process or a newer report.
func TestLimitsSpread(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	leader := &Table{Timer: clock, AnnounceInterval: time.Hour}
	leader.Start()
	mirror := &Table{Timer: clock, AnnounceInterval: time.Hour, IsMirror: true}
	mirror.Start()
	var cursor, process uint64
	follow := func() int {
		c := leader.ChangesSince(cursor, process, "r")
		cursor, process = c.Cursor, c.Process
		for _, a := range c.Upstreams {
			mirror.StoreUpstream(a, false)
		}
		return len(c.Upstreams)
	}
	announce := func(incarnation, number uint64) {
		leader.StoreUpstream(&schema.Announcement{Name: "u", Address: "a", Region: "r", Incarnation: incarnation, Number: number}, true)
	}
	check := func(when string, want ...*schema.NamedLimit) {
		t.Helper()
		if diff := cmp.Diff(want, mirror.Limits(), protocmp.Transform()); diff != "" {
			t.Errorf("%s: -want +got\n%s", when, diff)
		}
	}
	limit := func(rate, age float64) *schema.NamedLimit {
		return &schema.NamedLimit{Upstream: "u", Incarnation: 1, Rate: rate, Age: age}
	}
	announce(1, 1)
	follow()
	check("before any limit")
	leader.StoreLimit(limit(2, 0), true)
	follow()
	check("named", limit(2, 0))
	announce(1, 2)
	follow()
	check("after another heartbeat", limit(2, 0))
	clock.Advance(time.Second)
	if leader.StoreLimit(limit(2, 0), true); follow() != 0 {
		t.Error("an unchanged limit is sent again within a second")
	}
	clock.Advance(limitSpreadInterval)
	leader.StoreLimit(limit(2, 0), true)
	follow()
	check("still named", limit(2, 0))
	leader.StoreLimit(limit(9, 1), false)
	follow()
	check("after an older report", limit(2, 0))
	clock.Advance(time.Second)
	ended := &schema.NamedLimit{Upstream: "u", Incarnation: 1, Ended: true}
	leader.StoreLimit(ended, true)
	follow()
	check("no longer named", ended)
	clock.Advance(time.Second)
	leader.StoreLimit(limit(2, 0), true)
	announce(2, 1)
	follow()
	check("after the upstream started again")
	leader.StoreLimit(limit(2, 0), true)
	follow()
	check("after a report of the earlier process")
	if n := len(leader.LimitsToForward()); n != 0 {
		t.Errorf("%d limits are forwarded, want none", n)
	}
}
