package cataloger

import (
	"errors"
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
		if diff := cmp.Diff([]string{field}, named); diff != "" {
			t.Errorf("%s: reported fields, -want +got\n%s", field, diff)
		}
	}
}
