package cataloger

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const testDrainTime = 4 * time.Second

// leavingTables returns n tables on one clock.
func leavingTables(n int) (*timer.Service, []*Table) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	var all []*Table
	for range n {
		x := &Table{Timer: clock, AnnounceInterval: time.Second, DrainTime: testDrainTime}
		x.Start()
		all = append(all, x)
	}
	return clock, all
}

func leavingReport(number uint64) *schema.Announcement {
	a := newReport("u", 1, number, "a:1")
	a.Leaving = true
	return a
}

// left returns the time for which a table says that upstream u may still be used, 0 if it may not.
func left(x *Table) time.Duration { return max(0, x.LeavingUntil()["u"]-x.Timer.Now()) }

// TestLeavingIsCountedFromFirstAck guards against using an upstream that is leaving for longer than DrainTime
// after the first host acknowledged that, whichever host receives its later reports.
func TestLeavingIsCountedFromFirstAck(t *testing.T) {
	whole := testDrainTime - LeavingMargin
	for _, c := range []struct {
		name string
		play func(clock *timer.Service, x, other *Table)
		want time.Duration
	}{
		{"the report follows the last one", func(_ *timer.Service, x, _ *Table) {
			x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
			x.StoreUpstream(leavingReport(2), true)
		}, whole},
		{"later reports change nothing", func(clock *timer.Service, x, _ *Table) {
			x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
			x.StoreUpstream(leavingReport(2), true)
			clock.Advance(time.Second)
			x.StoreUpstream(leavingReport(3), true)
			x.StoreUpstream(newReport("u", 1, 4, "a:1"), true)
		}, whole - time.Second},
		{"another host may have received the first one", func(clock *timer.Service, x, _ *Table) {
			x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
			clock.Advance(1200 * time.Millisecond)
			x.StoreUpstream(leavingReport(3), true)
		}, whole - 1200*time.Millisecond},
		{"all hosts are in contact", func(clock *timer.Service, x, _ *Table) {
			x.Settled = func() bool { return true }
			x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
			clock.Advance(1200 * time.Millisecond)
			x.StoreUpstream(leavingReport(3), true)
		}, whole},
		{"all hosts are in contact, but it was never known to stay", func(_ *timer.Service, x, _ *Table) {
			x.Settled = func() bool { return true }
			x.StoreUpstream(leavingReport(3), true)
		}, 0},
		{"a host that has just started", func(_ *timer.Service, x, _ *Table) {
			x.StoreUpstream(leavingReport(2), true)
		}, 0},
		{"a host that has just started learns the time", func(clock *timer.Service, x, other *Table) {
			other.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
			other.StoreUpstream(leavingReport(2), true)
			clock.Advance(time.Second)
			x.StoreUpstream(leavingReport(3), true)
			for _, a := range other.ChangesSince(0, 0, "").Upstreams {
				AddDelay(a, 200*time.Millisecond)
				x.StoreUpstream(a, false)
			}
		}, whole - 1200*time.Millisecond},
		{"an earlier time is learned later", func(clock *timer.Service, x, other *Table) {
			x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
			other.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
			other.StoreUpstream(leavingReport(2), true)
			clock.Advance(1500 * time.Millisecond)
			x.StoreUpstream(leavingReport(2), true)
			reports, _ := other.ReportsToForward()
			x.StoreUpstream(reports[0], false)
		}, whole - 1500*time.Millisecond},
		{"a later time is learned", func(clock *timer.Service, x, other *Table) {
			x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
			x.StoreUpstream(leavingReport(2), true)
			clock.Advance(time.Second)
			other.StoreUpstream(newReport("u", 1, 2, "a:1"), true)
			other.StoreUpstream(leavingReport(3), true)
			reports, _ := other.ReportsToForward()
			x.StoreUpstream(reports[0], false)
		}, whole - time.Second},
		{"a host of an earlier version names no time", func(_ *timer.Service, x, _ *Table) {
			x.StoreUpstream(leavingReport(2), false)
		}, 0},
		{"it has ended", func(_ *timer.Service, x, _ *Table) {
			x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
			x.StoreUpstream(leavingReport(2), true)
			x.StoreUpstream(&schema.Announcement{Name: "u", Incarnation: 1, Number: 3, Gone: true, Leaving: true}, true)
		}, 0},
		{"another one has its address", func(_ *timer.Service, x, _ *Table) {
			x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
			x.StoreUpstream(leavingReport(2), true)
			x.StoreUpstream(newReport("v", 9, 1, "a:1"), true)
		}, 0},
		{"another process under the name is leaving", func(clock *timer.Service, x, _ *Table) {
			x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
			x.StoreUpstream(leavingReport(2), true)
			clock.Advance(2 * time.Second)
			x.StoreUpstream(newReport("u", 2, 1, "a:1"), true)
			next := leavingReport(2)
			next.Incarnation = 2
			x.StoreUpstream(next, true)
		}, whole},
		{"another process under the name serves", func(_ *timer.Service, x, _ *Table) {
			x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
			x.StoreUpstream(leavingReport(2), true)
			x.StoreUpstream(newReport("u", 2, 1, "a:1"), true)
		}, 0},
		{"the time is over", func(clock *timer.Service, x, _ *Table) {
			x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
			x.StoreUpstream(leavingReport(2), true)
			clock.Advance(whole)
		}, 0},
	} {
		clock, tables := leavingTables(2)
		c.play(clock, tables[0], tables[1])
		if got := left(tables[0]).Round(time.Millisecond); got != c.want {
			t.Errorf("%s: it may be used for %s, want %s", c.name, got, c.want)
		}
	}
}

// TestLeavingWithLastReportsOfOthers guards against counting the time of an upstream that is leaving from a report
// seconds ago, although another host has its last report, which says otherwise: such an upstream could not be used
// at all. It guards as well against counting it from a later moment than what the reports show.
func TestLeavingWithLastReportsOfOthers(t *testing.T) {
	whole := testDrainTime - LeavingMargin
	own := newReport("u", 1, 1, "a:1")
	for _, c := range []struct {
		name   string
		own    *schema.Announcement // the table's last report, 3 s ago
		others func(now time.Duration) []LastReport
		want   time.Duration
	}{
		{"nobody replies", own, func(time.Duration) []LastReport { return nil }, whole - 3*time.Second},
		{"another host has the report before", own, func(now time.Duration) []LastReport {
			return []LastReport{{2, false, now - 2*time.Second}, {3, false, now - time.Second}}
		}, whole},
		{"this host has just started, another has the report before", nil, func(now time.Duration) []LastReport {
			return []LastReport{{3, false, now - time.Second}}
		}, whole},
		{"the report before is missing", own, func(now time.Duration) []LastReport {
			return []LastReport{{2, false, now - 1200*time.Millisecond}, {1, false, now - 2*time.Second}}
		}, whole - 1200*time.Millisecond},
		{"another host has the report before, which says that it is leaving", own, func(now time.Duration) []LastReport {
			return []LastReport{{3, true, now - 500*time.Millisecond}}
		}, whole - 3*time.Second},
		{"a reply is in the future", nil, func(now time.Duration) []LastReport { return []LastReport{{2, false, now + time.Hour}} }, whole},
		{"nobody knows the process", nil, func(time.Duration) []LastReport { return nil }, 0},
	} {
		clock, tables := leavingTables(1)
		x := tables[0]
		if c.own != nil {
			x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
			clock.Advance(3 * time.Second)
		}
		a := leavingReport(4)
		if !x.NeedsLastReports(a) {
			t.Errorf("%s: the reports of others are not asked for", c.name)
		}
		x.StoreAnnounced(a, c.others(clock.Now()))
		if got := left(x).Round(time.Millisecond); got != c.want {
			t.Errorf("%s: it may be used for %s, want %s", c.name, got, c.want)
		}
	}
}

// TestNeedsLastReports guards against a question to all control hosts for every report of an upstream.
func TestNeedsLastReports(t *testing.T) {
	_, tables := leavingTables(1)
	x := tables[0]
	x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
	got := map[string]bool{
		"not leaving":         x.NeedsLastReports(newReport("u", 1, 5, "a:1")),
		"the next report":     x.NeedsLastReports(leavingReport(2)),
		"an earlier process":  x.NeedsLastReports(&schema.Announcement{Name: "u", Leaving: true, Number: 9}),
		"a report is missing": x.NeedsLastReports(leavingReport(3)),
	}
	x.Settled = func() bool { return true }
	got["settled"] = x.NeedsLastReports(leavingReport(3))
	x.Settled = nil
	x.StoreUpstream(leavingReport(3), true)
	got["known to be leaving"] = x.NeedsLastReports(leavingReport(5))
	want := map[string]bool{
		"not leaving": false, "the next report": false, "an earlier process": false, "a report is missing": true, "settled": false, "known to be leaving": false,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("needs the last reports of others: -want +got\n%s", diff)
	}
}

// TestLeavingThroughHops guards against adding time on the way: whatever the hops, a table never lets an
// upstream be used later than the first host that acknowledged its leaving.
func TestLeavingThroughHops(t *testing.T) {
	clock, tables := leavingTables(5)
	tables[0].StoreUpstream(newReport("u", 1, 1, "a:1"), true)
	tables[0].StoreUpstream(leavingReport(2), true)
	ackedAt := clock.Now()
	const transit = 150 * time.Millisecond
	for i := range tables[1:] {
		sentAt := clock.Now()
		changes := tables[i].ChangesSince(0, 0, "")
		clock.Advance(transit)
		for _, a := range changes.Upstreams {
			AddDelay(a, clock.Now()-sentAt)
			tables[i+1].StoreUpstream(a, false)
		}
	}
	for i, x := range tables {
		until := x.LeavingUntil()["u"]
		if until == 0 || until > ackedAt+testDrainTime-LeavingMargin {
			t.Errorf("table %d: until %s after the acknowledgement, want at most %s", i, until-ackedAt, testDrainTime-LeavingMargin)
		}
	}
}

// TestLeavingSettles guards against hosts that go on telling each other a time, which becomes earlier with
// each message: once all know an acknowledgement, nothing changes any more.
func TestLeavingSettles(t *testing.T) {
	clock, tables := leavingTables(4)
	leader, others := tables[0], tables[1:]
	for i, x := range others {
		x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
		x.StoreUpstream(leavingReport(uint64(2+i)), true)
		clock.Advance(200 * time.Millisecond)
	}
	ackedAt := clock.Now() - time.Duration(len(others))*200*time.Millisecond
	cursors := make([]Changes, len(others))
	messages := 0
	exchange := func() {
		for i, x := range others {
			reports, _ := x.ReportsToForward()
			messages += len(reports)
			for _, a := range reports {
				AddDelay(a, 300*time.Millisecond)
				leader.StoreUpstream(a, false)
			}
			cursors[i] = leader.ChangesSince(cursors[i].Cursor, cursors[i].Process, "")
			messages += len(cursors[i].Upstreams)
			for _, a := range cursors[i].Upstreams {
				AddDelay(a, 160*time.Millisecond)
				x.StoreUpstream(a, false)
			}
		}
	}
	for range 10 {
		exchange()
	}
	settled := messages
	for range 20 {
		exchange()
	}
	if messages != settled {
		t.Errorf("%d more messages after all know the time", messages-settled)
	}
	for i, x := range tables {
		until := x.LeavingUntil()["u"] - ackedAt
		if whole := testDrainTime - LeavingMargin; until > whole || until < whole-time.Second {
			t.Errorf("table %d: until %s after the first acknowledgement, want %s or up to 1 s less", i, until, whole)
		}
	}
}

// TestRegionsOfLeavingVersion guards against sending a stream to an upstream that is leaving while another
// one can go on with it, and against refusing it while that is the only one.
func TestRegionsOfLeavingVersion(t *testing.T) {
	clock, tables := leavingTables(1)
	x := tables[0]
	store := func(name, region string, number uint64, leaving bool) {
		a := newReport(name, 1, number, name+":1")
		a.Region, a.Software, a.Leaving = region, "v1", leaving
		x.StoreUpstream(a, true)
	}
	check := func(when string, wantLeaving bool, want ...string) {
		t.Helper()
		got, leaving := x.RegionsWith("p", "v1")
		if leaving != wantLeaving || len(got) != len(want) {
			t.Fatalf("%s: %v, leaving %v, want %v, %v", when, got, leaving, want, wantLeaving)
		}
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("%s: %v, want %v", when, got, want)
			}
		}
	}
	store("a", "ra", 1, false)
	store("b", "rb", 1, false)
	check("both stay", false, "ra", "rb")
	store("a", "ra", 2, true)
	check("one is leaving", false, "rb")
	clock.Advance(time.Second)
	store("b", "rb", 2, true)
	check("both are leaving", true, "ra", "rb")
	clock.Advance(testDrainTime - LeavingMargin - time.Second)
	check("the time of one is over", true, "rb")
	clock.Advance(time.Second)
	check("the time of both is over", false)
}

// TestLeaversSpread guards against hosts that go on using an upstream which said in an answer to another host
// that it is leaving, and against forgetting that at its next announcement.
func TestLeaversSpread(t *testing.T) {
	clock, tables := leavingTables(3)
	control, leader, other := tables[0], tables[1], tables[2]
	for _, x := range tables {
		x.StoreUpstream(newReport("u", 1, 1, "a:1"), true)
	}
	saidAt := clock.Now()
	clock.Advance(200 * time.Millisecond)
	if control.StoreLeaver(&schema.Leaver{Upstream: "u", Incarnation: 2, Age: 0.2}) || control.StoreLeaver(&schema.Leaver{Upstream: "v", Incarnation: 1}) {
		t.Error("a report of another process was stored")
	}
	if !control.StoreLeaver(&schema.Leaver{Upstream: "u", Incarnation: 1, Age: 0.2}) || control.StoreLeaver(&schema.Leaver{Upstream: "u", Incarnation: 1, Age: 0.2}) {
		t.Error("the first report, and only that, changes the table")
	}
	for _, l := range control.LeaversToForward() {
		leader.StoreLeaver(l)
	}
	for _, a := range leader.ChangesSince(0, 0, "").Upstreams {
		other.StoreUpstream(a, false)
	}
	other.StoreUpstream(newReport("u", 1, 2, "a:1"), true)
	for i, x := range tables {
		if a := x.Upstream("u"); !a.Leaving {
			t.Errorf("table %d: u is not leaving", i)
		}
		if until := x.LeavingUntil()["u"]; until <= clock.Now() || until > saidAt+testDrainTime-LeavingMargin {
			t.Errorf("table %d: until %s after the answer", i, until-saidAt)
		}
	}
	clock.Advance(leaverForwardTime)
	if got := control.LeaversToForward(); len(got) > 0 {
		t.Errorf("still forwarded: %v", got)
	}
	control.StoreUpstream(newReport("u", 2, 1, "a:1"), true)
	if control.Upstream("u").Leaving {
		t.Error("the next process is leaving")
	}
}
