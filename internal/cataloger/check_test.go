package cataloger

import (
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// oddReports are reports with one field out of range, by that field.
var oddReports = map[string]func(*schema.Announcement){
	"name":     func(a *schema.Announcement) { a.Name = "\xff" },
	"pool":     func(a *schema.Announcement) { a.Pool = strings.Repeat("p", MaxNameLength+1) },
	"domain":   func(a *schema.Announcement) { a.Domain = "d\xff" },
	"software": func(a *schema.Announcement) { a.Software = "\xc3\x28" },
	"address":  func(a *schema.Announcement) { a.Address = "10.0.0.1:99999" },
	"slots":    func(a *schema.Announcement) { a.Slots = math.MaxInt32 },
	"running":  func(a *schema.Announcement) { a.Running, a.Waiting = math.MaxInt32, 1 },
	"age":      func(a *schema.Announcement) { a.Age = -1e300 },
	"cold":     func(a *schema.Announcement) { a.Cold = 1e297 },
	"left":     func(a *schema.Announcement) { a.Left = math.Inf(1) },
	"since":    func(a *schema.Announcement) { a.Since = proto.Float64(math.NaN()) },
	"broken":   func(a *schema.Announcement) { a.Broken = proto.Float64(1e300) },
	"lease":    func(a *schema.Announcement) { a.Lease = 1e300 },
}

// TestOddReportIsSkipped guards against one report with a field out of range that stops what hosts tell
// each other of all upstreams, or replaces the last good report of its upstream. An earlier version of a
// host passed it on.
func TestOddReportIsSkipped(t *testing.T) {
	for field, change := range oddReports {
		x := newTable(t)
		var named []string
		x.OnUnusable = func(_ *schema.Announcement, err *FieldError) {
			if !errors.Is(err, ErrUnusable) {
				t.Errorf("%s: error %v is no ErrUnusable", field, err)
			}
			named = append(named, err.Field)
		}
		x.StoreUpstream(newReport("a", 1, 1, "10.0.0.1:80"), true)
		x.StoreUpstream(newReport("b", 1, 1, "10.0.0.2:80"), true)
		odd := newReport("a", 1, 2, "10.0.0.1:80")
		change(odd)
		x.Follow(Reply{Upstreams: []*schema.Announcement{odd, newReport("c", 1, 1, "10.0.0.3:80")}}, nil, nil)
		c := x.ChangesSince(0, 0, "")
		if _, err := proto.Marshal(&schema.RefreshReply{Upstreams: c.Upstreams}); err != nil {
			t.Errorf("%s: %v", field, err)
		}
		if diff := cmp.Diff([]string{"a", "b", "c"}, upstreamNames(x.Upstreams())); diff != "" {
			t.Errorf("%s: -want +got\n%s", field, diff)
		}
		if got := x.Upstream("a"); got == nil || got.Number != 1 {
			t.Errorf("%s: report %v replaced the good one", field, got)
		}
		if d := x.Digests(""); len(d) != 1 || d[0].Routes[0].Slots != 12 {
			t.Errorf("%s: digests %v, want 12 slots in one region", field, d)
		}
		if diff := cmp.Diff([]string{field}, named); diff != "" {
			t.Errorf("%s: reported fields, -want +got\n%s", field, diff)
		}
	}
}

// TestAddresses guards against an address that no host can have, to which requests would be sent.
func TestAddresses(t *testing.T) {
	for _, s := range []string{"10.0.0.1:80", "127.0.0.1:65535", "[::1]:1", "[2001:db8::1]:8080"} {
		if !IsAddress(s) {
			t.Errorf("%q is refused", s)
		}
	}
	for _, s := range []string{
		"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:00", "10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:+80", "10.0.0.1:http",
		"10.0.0.1:18446744073709551617", "host:80", ":80", "0.0.0.0:80", "[::]:80", "224.0.0.1:80", "[ff02::1]:80", "[fe80::1%eth0]:80", "10.0.0.1:80/x",
		"[::ffff:0.0.0.0]:80", "[::ffff:224.0.0.1]:80",
	} {
		if IsAddress(s) {
			t.Errorf("%q is accepted", s)
		}
	}
}
