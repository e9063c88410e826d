package cataloger

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

func newTable(t *testing.T) *Table {
	t.Helper()
	table := &Table{Timer: &timer.Service{Clock: &timer.ManualClock{}}, AnnounceInterval: time.Second}
	table.Timer.Advance(time.Minute)
	table.Start()
	return table
}

func newReport(name string, incarnation, number uint64, address string) *schema.Announcement {
	return &schema.Announcement{Name: name, Incarnation: incarnation, Number: number, Address: address, Pool: "p", Region: "r", Domain: "d", Slots: 4}
}

func upstreamNames(all []*schema.Announcement) []string {
	out := []string{}
	for _, a := range all {
		out = append(out, a.Name)
	}
	return out
}

// TestLatestStartOwnsAddress guards against requests for a process that has ended. A process
// takes over the address of an earlier one, of which a delayed report then arrives.
func TestLatestStartOwnsAddress(t *testing.T) {
	x := newTable(t)
	x.StoreUpstream(newReport("old", 10, 1, "a:1"), true)
	x.StoreUpstream(newReport("new", 20, 1, "a:1"), true)
	if diff := cmp.Diff([]string{"new"}, upstreamNames(x.Upstreams())); diff != "" {
		t.Errorf("after the later start: -want +got\n%s", diff)
	}
	if x.StoreUpstream(newReport("old", 10, 2, "a:1"), true) {
		t.Error("a delayed report of the earlier process was accepted")
	}
	if diff := cmp.Diff([]string{"new"}, upstreamNames(x.Upstreams())); diff != "" {
		t.Errorf("after the delayed report: -want +got\n%s", diff)
	}
}

// TestEndWithoutIncarnation guards against an ended process that counts as running. An upstream
// reports an end without the incarnation: the known process has ended, also if a late report
// of it arrives, and a later process is accepted.
func TestEndWithoutIncarnation(t *testing.T) {
	x := newTable(t)
	x.StoreUpstream(newReport("u", 10, 5, "a:1"), true)
	if !x.StoreUpstream(&schema.Announcement{Name: "u", Gone: true, Leaving: true}, true) {
		t.Fatal("the report of the end was not accepted")
	}
	x.StoreUpstream(newReport("u", 10, 6, "a:1"), true)
	if diff := cmp.Diff([]string{}, upstreamNames(x.Upstreams())); diff != "" {
		t.Errorf("after a late report of the ended process: -want +got\n%s", diff)
	}
	x.StoreUpstream(newReport("u", 11, 1, "a:1"), true)
	if diff := cmp.Diff([]string{"u"}, upstreamNames(x.Upstreams())); diff != "" {
		t.Errorf("after the report of a later process: -want +got\n%s", diff)
	}
}

// TestColdTimeThroughForwards guards against a wrong remaining cold time at hosts that receive a
// report by way of others, if its age is lost or counted twice. A report is forwarded twice; the
// remaining cold time must be what the upstream reported, less the time since.
func TestColdTimeThroughForwards(t *testing.T) {
	a, b, c := newTable(t), newTable(t), newTable(t)
	sent := newReport("u", 10, 1, "a:1")
	sent.Cold = 3
	a.StoreUpstream(sent, true)
	forward := func(from, to *Table) *schema.Announcement {
		for _, x := range []*Table{a, b, c} {
			x.Timer.Advance(500 * time.Millisecond)
		}
		forwarded := from.ChangesSince(0, 0, "").Upstreams[0]
		to.StoreUpstream(forwarded, false)
		return forwarded
	}
	forward(a, b)
	last := forward(b, c)
	if got, want := last.Cold-last.Age, 2.0; got != want {
		t.Errorf("remaining cold time is %v s after 1 s and two forwards, want %v", got, want)
	}
}

// TestLeavingIsKept guards against requests for an upstream that is leaving: a delayed
// report from before it reported this must not make it count as staying.
func TestLeavingIsKept(t *testing.T) {
	x := newTable(t)
	leaving := newReport("u", 10, 7, "a:1")
	leaving.Leaving = true
	x.StoreUpstream(leaving, true)
	x.StoreUpstream(newReport("u", 10, 8, "a:1"), true)
	if u := x.Upstreams(); !u[0].Leaving {
		t.Error("the upstream no longer counts as leaving")
	}
}

// TestUnresponsiveUpstream guards against an upstream that stops reporting but is not marked
// silent, and against one that stays marked after its next report.
func TestUnresponsiveUpstream(t *testing.T) {
	x := newTable(t)
	x.StoreUpstream(newReport("u", 10, 1, "a:1"), true)
	before := x.ChangesSince(0, 0, "").Cursor
	x.Timer.Advance(5 * time.Second)
	x.Sweep(true)
	changes := x.ChangesSince(before, x.process, "")
	if len(changes.Upstreams) != 1 || !changes.Upstreams[0].Silent {
		t.Fatalf("changes after an upstream stopped reporting: %v, want one that is marked silent", changes.Upstreams)
	}
	x.StoreUpstream(newReport("u", 10, 2, "a:1"), true)
	if x.Upstreams()[0].Silent {
		t.Error("still marked silent after a report")
	}
}

// TestUnresponsiveHost guards against callers being sent to an entry host that no longer
// reports. Only the leader may mark it as unready: another control host cannot tell whether
// it reports elsewhere now. Its next report makes it ready again.
func TestUnresponsiveHost(t *testing.T) {
	x, other := newTable(t), newTable(t)
	x.StoreHost(&schema.Peer{Name: "h", Region: "r", Ready: true, Incarnation: 1, Number: 1}, "")
	other.StoreHost(&schema.Peer{Name: "h", Region: "r", Ready: true, Incarnation: 1, Number: 1}, "")
	x.Timer.Advance(3 * time.Second)
	x.Sweep(false)
	if got := x.ReadyHosts("r"); len(got) != 1 {
		t.Errorf("ready hosts at a control host that does not lead: %v, want one", got)
	}
	x.Sweep(true)
	if got := x.ReadyHosts("r"); len(got) != 0 {
		t.Errorf("ready hosts at the leader: %v, want none", got)
	}
	other.StoreHost(x.ChangesSince(0, 0, "").Hosts[0], "leader")
	if got := other.ReadyHosts("r"); len(got) != 0 {
		t.Errorf("ready hosts at another control host after the leader's report: %v, want none", got)
	}
	x.StoreHost(&schema.Peer{Name: "h", Region: "r", Ready: true, Incarnation: 1, Number: 2}, "")
	if got := x.ReadyHosts("r"); len(got) != 1 {
		t.Errorf("ready hosts after the next report: %v, want one", got)
	}
}

// TestUnreadyThroughHops guards against an entry host that counts as ready elsewhere after it
// has reported that it is not. It reports to a control host that does not lead; an entry host
// that reports to the leader must receive the change.
func TestUnreadyThroughHops(t *testing.T) {
	follower, leader, entry := newTable(t), newTable(t), newTable(t)
	entry.IsMirror = true
	var toEntry Changes
	sendReport := func(number uint64, ready bool) {
		for _, x := range []*Table{follower, leader, entry} {
			x.Timer.Advance(400 * time.Millisecond)
		}
		follower.StoreHost(&schema.Peer{Name: "h", Region: "r", Ready: ready, Incarnation: 1, Number: number}, "")
		_, hosts := follower.ReportsToForward()
		for _, p := range hosts {
			leader.StoreHost(p, "follower")
		}
		leader.Sweep(true)
		toEntry = leader.ChangesSince(toEntry.Cursor, toEntry.Process, "r")
		for _, p := range toEntry.Hosts {
			entry.StoreHost(p, "leader")
		}
	}
	for n := range uint64(20) {
		sendReport(n+1, true)
	}
	if len(entry.ReadyHosts("r")) != 1 {
		t.Fatal("the host is not ready at the entry host")
	}
	sendReport(21, false)
	if len(entry.ReadyHosts("r")) != 0 {
		t.Error("the host is still ready at the entry host after it reported that it is not")
	}
}

// TestUnreadyAfterMove guards against an entry host that counts as ready at the control host it
// reported to before. It reports to one, then to another that it is not ready; the entry hosts
// of the first must receive the change.
func TestUnreadyAfterMove(t *testing.T) {
	first, second := newTable(t), newTable(t)
	first.StoreHost(&schema.Peer{Name: "h", Region: "r", Ready: true, Incarnation: 1, Number: 1}, "")
	first.Timer.Advance(5 * time.Second)
	first.Sweep(false)
	cursor := first.ChangesSince(0, 0, "").Cursor
	second.StoreHost(&schema.Peer{Name: "h", Region: "r", Ready: false, Incarnation: 1, Number: 2}, "")
	first.StoreHost(second.ChangesSince(0, 0, "").Hosts[0], "leader")
	if changed := first.ChangesSince(cursor, first.process, "").Hosts; len(changed) != 1 || changed[0].Ready {
		t.Errorf("changes for entry hosts: %v, want one host that is not ready", changed)
	}
}

// TestRestartDoesNotBringBackUpstreams guards against an upstream that has left and is in use again
// after a control host's restart. A report from before it left arrives late, at the restarted host
// first; neither that host, once it has the leader's table, nor the leader, nor an entry host may
// list it.
func TestRestartDoesNotBringBackUpstreams(t *testing.T) {
	for _, last := range []*schema.Announcement{
		{Name: "u", Incarnation: 10, Number: 5, Gone: true, Leaving: true},
		{Name: "u", Incarnation: 10, Number: 5, Address: "a:1", Pool: "p", Region: "r", Domain: "d", Slots: 4, Leaving: true},
	} {
		leader, restarted, entry := newTable(t), newTable(t), newTable(t)
		entry.IsMirror = true
		leader.StoreUpstream(newReport("u", 10, 1, "a:1"), false)
		leader.StoreUpstream(last, false)
		toEntry := leader.ChangesSince(0, 0, "r")
		for _, a := range toEntry.Upstreams {
			entry.StoreUpstream(a, false)
		}
		restarted.StoreUpstream(newReport("u", 10, 4, "a:1"), true) // late
		for _, a := range restarted.ChangesSince(0, 0, "r").Upstreams {
			entry.StoreUpstream(a, false)
		}
		reports, _ := restarted.ReportsToForward()
		for _, a := range reports {
			leader.StoreUpstream(a, false)
		}
		for _, a := range leader.ChangesSince(0, 0, "").Upstreams {
			restarted.StoreUpstream(a, false)
		}
		for name, x := range map[string]*Table{"leader": leader, "restarted host": restarted, "entry host": entry} {
			for _, a := range x.Upstreams() {
				if !a.Leaving {
					t.Errorf("last report %v: the %s lists the upstream as ready", last, name)
				}
			}
		}
	}
}

// TestForwardedUpstreamsAreNotSilent guards against an upstream that the leader takes for silent between two
// reports that another control host forwards: then its region counts as one without upstreams.
func TestForwardedUpstreamsAreNotSilent(t *testing.T) {
	for _, interval := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		x, leader := newTable(t), newTable(t)
		leader.Timer = x.Timer
		leader.Start()
		x.AnnounceInterval, leader.AnnounceInterval = interval, interval
		const step = 100 * time.Millisecond
		for at := time.Duration(0); at < 30*time.Second; at += step {
			if at%interval == 0 {
				x.StoreUpstream(newReport("u", 10, 1+uint64(at/interval), "a:1"), true)
			}
			reports, _ := x.ReportsToForward()
			for _, a := range reports {
				leader.StoreUpstream(a, false)
			}
			leader.Sweep(true)
			if a := leader.Upstream("u"); a.Silent {
				t.Fatalf("announced every %s: silent at the leader after %s", interval, at)
			}
			x.Timer.Advance(step)
		}
	}
}
