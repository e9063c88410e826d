package starter

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// newDirectory returns an entry host of region a that is not ready. Its table has the hosts. One route of the name
// bound may be served in regions a and b, another in a, b and c; those of the name apart have no region in common.
func newDirectory(t *testing.T, hosts ...*schema.Peer) *Entry {
	t.Helper()
	e := &Entry{Options: Options{
		Settings: &schema.Settings{Name: "self", Region: "a", Domain: "a-1", Listen: "self", Internal: "127.0.0.1:1"},
		Log:      zerolog.Nop(), Seeds: func() []string { return []string{"127.0.0.1:1"} },
	}}
	e.build()
	t.Cleanup(e.dialer.Close)
	for _, p := range hosts {
		e.Table.StoreHost(p, "")
	}
	route := func(host, prefix string, regions ...string) *schema.Item {
		r := &schema.Route{Name: host + prefix, Host: host, Prefix: prefix, Regions: regions, Timeout: 5, Targets: []*schema.Target{{Pool: "p", Weight: 1}}}
		return &schema.Item{Path: "route/" + host + prefix, Value: &schema.Item_Route{Route: r}}
	}
	if err := e.distributor.Replace(configurer.FromMessage(&schema.Snapshot{Version: 1, Items: []*schema.Item{
		{Path: "document", Value: &schema.Item_Document{Document: &schema.Document{Number: 1}}},
		route("bound", "/x/", "a", "b"), route("bound", "/y/"), route("bound", "/z/", "c", "b", "a"), route("free", "/x/"),
		route("apart", "/x/", "a"), route("apart", "/y/", "b"),
	}})); err != nil {
		t.Fatal(err)
	}
	return e
}

func readyHost(name, region string) *schema.Peer {
	return &schema.Peer{Name: name, Region: region, Domain: region + "-1", Listen: name, Number: 1, Ready: true}
}

// TestDirectoryKeepsToHomes guards against callers that the directory sends to a region outside the homes of the
// routes that they may use, while none of the hosts of their own region is ready.
func TestDirectoryKeepsToHomes(t *testing.T) {
	unready := readyHost("a1", "a")
	unready.Ready = false
	all := []*schema.Peer{unready, readyHost("b1", "b"), readyHost("b2", "b"), readyHost("c1", "c")}
	for _, x := range []struct {
		name, region string
		hosts        []*schema.Peer
		want         []string
	}{
		{"bound", "a", all, []string{"b1", "b2"}},
		{"free", "a", all, []string{"b1", "b2", "c1"}},
		{"unknown", "a", all, []string{"b1", "b2", "c1"}},
		{"apart", "a", all, nil}, // no region may serve both routes
		{"bound", "a", all[3:], nil},
		{"bound", "c", all, []string{"c1"}}, // callers of a region may use its hosts
		{"bound", "d", all, []string{"b1", "b2"}},
		{"bound", "", all, []string{"b1", "b2"}}, // callers that name no region
		{"free", "", all, []string{"b1", "b2", "c1"}},
		{"free", "a", append(slices.Clone(all), readyHost("a2", "a")), []string{"a2"}},
		{"bound", "a", append(slices.Clone(all), readyHost("a2", "a")), []string{"a2"}},
	} {
		got := newDirectory(t, x.hosts...).Resolve(x.name, x.region, x.region+"-1")
		slices.Sort(got)
		if diff := cmp.Diff(x.want, got); diff != "" {
			t.Errorf("callers of %s for %s, %d hosts: -want +got\n%s", x.region, x.name, len(x.hosts), diff)
		}
	}
}
