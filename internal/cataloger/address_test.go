package cataloger

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestAddressOfForgottenUpstream guards against a process that ends when an address is taken over from
// an upstream that is no longer in the table. The upstream last reported the end of a process that had
// not reported itself, so without an address.
func TestAddressOfForgottenUpstream(t *testing.T) {
	x := newTable(t)
	x.StoreUpstream(newReport("a", 10, 1, "a:1"), true)
	x.StoreUpstream(&schema.Announcement{Name: "a", Gone: true, Leaving: true, Incarnation: 11}, true)
	x.Timer.Advance(2 * forgetTimeout)
	x.Sweep(true)
	x.StoreUpstream(newReport("b", 5, 1, "a:1"), true)
	if diff := cmp.Diff([]string{"b"}, upstreamNames(x.Upstreams())); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
}

// TestMovedUpstreamLosesItsAddress guards against an upstream that counts as ended since another one
// serves at an address that the first has left.
func TestMovedUpstreamLosesItsAddress(t *testing.T) {
	x := newTable(t)
	x.StoreUpstream(newReport("a", 10, 1, "a:1"), true)
	x.StoreUpstream(&schema.Announcement{Name: "a", Gone: true, Leaving: true, Incarnation: 11}, true)
	x.StoreUpstream(newReport("a", 12, 1, "a:2"), true)
	x.StoreUpstream(newReport("b", 20, 1, "a:1"), true)
	if diff := cmp.Diff([]string{"a", "b"}, upstreamNames(x.Upstreams())); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
}

// TestFollowedAddressOfForgottenUpstream guards against the same in an entry host's table, where nothing
// recovers a panic.
func TestFollowedAddressOfForgottenUpstream(t *testing.T) {
	x := newTable(t)
	x.IsMirror = true
	follow := func(a *schema.Announcement) { x.Follow(Reply{Upstreams: []*schema.Announcement{a}}, nil, nil) }
	follow(newReport("a", 10, 1, "a:1"))
	follow(&schema.Announcement{Name: "a", Gone: true, Leaving: true, Incarnation: 11})
	x.Timer.Advance(2 * forgetTimeout)
	x.Sweep(false)
	follow(newReport("b", 5, 1, "a:1"))
	if diff := cmp.Diff([]string{"b"}, upstreamNames(x.Upstreams())); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
}

func hostAt(name, region string, incarnation, number uint64, internal string) *schema.Peer {
	return &schema.Peer{Name: name, Region: region, Internal: internal, Incarnation: incarnation, Number: number, Ready: true}
}

func readyNames(x *Table) []string {
	out := []string{}
	for _, p := range x.ReadyHosts("") {
		out = append(out, p.Name)
	}
	return out
}

// TestLatestHostOwnsAddress guards against requests that are relayed to a host that is gone, at an address that a
// host of another region has by now: of two hosts with one address only the later one counts as ready or
// stopping, in whichever order their reports come, in the table of their reports and in one that follows it.
func TestLatestHostOwnsAddress(t *testing.T) {
	gone, stopping, owner := hostAt("gone", "b", 10, 7, "a:1"), hostAt("stopping", "b", 11, 7, "a:2"), hostAt("owner", "c", 20, 1, "a:1")
	stopping.Ready, stopping.Stopping = false, true
	second := hostAt("second", "c", 21, 1, "a:2")
	late := hostAt("gone", "b", 10, 8, "a:1")
	for _, reports := range [][]*schema.Peer{
		{gone, stopping, owner, second}, {owner, second, gone, stopping}, {gone, owner, late, stopping, second}, {owner, gone, second, late},
	} {
		x := newTable(t)
		mirror := &Table{Timer: x.Timer, AnnounceInterval: time.Second, IsMirror: true}
		mirror.Start()
		var names []string
		changes := Changes{}
		for _, p := range reports {
			names = append(names, p.Name)
			x.StoreHost(proto.Clone(p).(*schema.Peer), "")
			changes = x.ChangesSince(changes.Cursor, changes.Process, "")
			mirror.Follow(Reply{Hosts: changes.Hosts, Whole: changes.Complete, Observed: time.Second}, nil, nil)
		}
		for name, table := range map[string]*Table{"table": x, "mirror": mirror} {
			if diff := cmp.Diff([]string{"owner", "second"}, readyNames(table)); diff != "" {
				t.Errorf("%v: ready hosts of the %s: -want +got\n%s", names, name, diff)
			}
			if got := table.StoppingHosts("b", time.Minute); len(got) > 0 {
				t.Errorf("%v: stopping hosts of the %s: %v", names, name, got)
			}
		}
	}
}

// TestHostAddressIsReleased guards against a host that is refused for ever because an earlier one had its address,
// and against hosts that exclude each other since they report an address that is not theirs alone.
func TestHostAddressIsReleased(t *testing.T) {
	x := newTable(t)
	x.StoreHost(hostAt("moved", "b", 20, 1, "a:1"), "")
	x.StoreHost(hostAt("moved", "b", 21, 1, "a:2"), "")
	x.StoreHost(hostAt("earlier", "c", 10, 1, "a:1"), "")
	if diff := cmp.Diff([]string{"earlier", "moved"}, readyNames(x)); diff != "" {
		t.Errorf("after the move: -want +got\n%s", diff)
	}
	x.StoreHost(hostAt("moved", "b", 22, 1, "a:1"), "")
	if diff := cmp.Diff([]string{"moved"}, readyNames(x)); diff != "" {
		t.Errorf("after the move back: -want +got\n%s", diff)
	}
	unready := hostAt("moved", "b", 22, 2, "a:1")
	unready.Ready = false
	x.StoreHost(unready, "")
	x.Timer.Advance(2 * forgetTimeout)
	x.Sweep(true)
	x.StoreHost(hostAt("earlier", "c", 11, 1, "a:1"), "")
	if diff := cmp.Diff([]string{"earlier"}, readyNames(x)); diff != "" {
		t.Errorf("after the owner was forgotten: -want +got\n%s", diff)
	}
	for i, address := range []string{"", "0.0.0.0:1", ":1", "[::]:1"} {
		x := newTable(t)
		x.StoreHost(hostAt("one", "b", uint64(i+1), 1, address), "")
		x.StoreHost(hostAt("two", "b", uint64(i+2), 1, address), "")
		if diff := cmp.Diff([]string{"one", "two"}, readyNames(x)); diff != "" {
			t.Errorf("address %q: -want +got\n%s", address, diff)
		}
	}
}
