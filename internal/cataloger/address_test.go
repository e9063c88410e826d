package cataloger

import (
	"testing"

	"github.com/google/go-cmp/cmp"

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
