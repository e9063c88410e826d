package forwarder

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestNameHomesByUse guards against callers whose region has no host left and who get no other one, because a few
// routes of the name that hardly anybody uses have other homes than the rest.
func TestNameHomesByUse(t *testing.T) {
	var items []*schema.Item
	route := func(name string, regions ...string) {
		r := &schema.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Regions: regions, Open: true, Targets: []*schema.Target{{Pool: "p", Weight: 1}}}
		items = append(items, &schema.Item{Path: "route/h" + r.Prefix, Value: &schema.Item_Route{Route: r}})
	}
	route("free")
	route("most", "a", "b")
	route("rare-a", "a")
	route("rare-c", "c")
	items = append(items, &schema.Item{Path: "document", Value: &schema.Item_Document{Document: &schema.Document{Number: 1}}})
	for _, x := range []struct {
		requests map[string]int
		want     []string
	}{
		{nil, []string{}},
		{map[string]int{"free": 900}, []string{}},
		{map[string]int{"most": 10}, []string{}},
		{map[string]int{"most": 500}, []string{"a", "b"}},
		{map[string]int{"free": 900, "most": 500, "rare-a": 9, "rare-c": 4}, []string{"a", "b"}},
		{map[string]int{"most": 500, "rare-a": 100}, []string{"a"}},
		{map[string]int{"most": 500, "rare-c": 100}, []string{}},
		{map[string]int{"rare-c": 20000, "most": 20}, []string{"c"}},
	} {
		f := &Forwarder{}
		f.Configure(configurer.FromMessage(&schema.Snapshot{Version: 1, Items: items}))
		for name, n := range x.requests {
			for i := range n {
				r := &Request{ID: fmt.Sprint(i), Host: "h", Path: "/" + name + "/x"}
				if err := f.identify(r); err != nil {
					t.Fatal(err)
				}
			}
		}
		got, known := f.NameHomes("h")
		if diff := cmp.Diff(x.want, got); diff != "" || !known {
			t.Errorf("requests %v: known %v, -want +got\n%s", x.requests, known, diff)
		}
	}
}

// TestRouteUsageIsBounded guards against counts that grow without bound as routes come and go.
func TestRouteUsageIsBounded(t *testing.T) {
	u := &routeUsage{}
	for i := range 100_000 {
		u.record(fmt.Sprint(i))
	}
	if len(u.counts) > 2*maxCountedRequests || u.total > maxCountedRequests+1 {
		t.Errorf("%d routes counted, %v requests", len(u.counts), u.total)
	}
}
