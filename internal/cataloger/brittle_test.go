package cataloger

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestBrittlenessSpreads guards against hosts that do not learn that an upstream is brittle or turned a request away,
// and against a state that outlives its process, a newer answer or a newer rejection.
func TestBrittlenessSpreads(t *testing.T) {
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
	check := func(when string, want ...*schema.Brittleness) {
		t.Helper()
		if diff := cmp.Diff(want, mirror.Brittleness(), protocmp.Transform()); diff != "" {
			t.Errorf("%s: -want +got\n%s", when, diff)
		}
	}
	said := func(age float64) *schema.Brittleness {
		return &schema.Brittleness{Upstream: "u", Incarnation: 1, Rejections: 2, Age: age}
	}
	rejected := func(age, rejected, room float64) *schema.Brittleness {
		b := said(age)
		b.Rejected, b.Room = proto.Float64(rejected), room
		return b
	}
	announce(1, 1)
	follow()
	check("before any answer")
	leader.StoreBrittleness(said(0), true)
	follow()
	check("brittle", said(0))
	if n := len(leader.BrittlenessToForward()); n != 1 {
		t.Errorf("%d states are forwarded, want 1", n)
	}
	announce(1, 2)
	follow()
	check("after another heartbeat", said(0))
	clock.Advance(time.Second)
	if leader.StoreBrittleness(said(0), true); follow() != 0 {
		t.Error("an unchanged state is sent again within a second")
	}
	clock.Advance(time.Second)
	leader.StoreBrittleness(rejected(1, 0, 12), true)
	follow()
	check("a request turned away, reported with an earlier answer", rejected(1, 0, 12))
	clock.Advance(time.Second)
	leader.StoreBrittleness(said(0), true)
	clock.Advance(limitSpreadInterval)
	leader.StoreBrittleness(said(0), false)
	follow()
	check("a later answer to a host that does not know of the request turned away", rejected(0, 3, 12))
	leader.StoreBrittleness(rejected(4, 4, 5), false)
	follow()
	check("after an older report", rejected(0, 3, 12))
	if leader.StoreBrittleness(rejected(0, 0, math.NaN()), true) || leader.StoreBrittleness(rejected(-1, 0, 1), true) {
		t.Error("a report out of range is stored")
	}
	clock.Advance(time.Second)
	ended := &schema.Brittleness{Upstream: "u", Incarnation: 1, Ended: true}
	leader.StoreBrittleness(proto.Clone(ended).(*schema.Brittleness), true)
	follow()
	ended.Rejected, ended.Room = proto.Float64(4), 12
	check("no longer brittle", ended)
	leader.StoreBrittleness(said(0), true)
	announce(2, 1)
	follow()
	check("after the upstream started again")
	leader.StoreBrittleness(said(0), true)
	follow()
	check("after a report of the earlier process")
}
