package server

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/authenticator"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
	"github.com/trefoilloft/trefoilloft/internal/withdrawer"
)

// TestHostsOfBoundCustomer guards against callers that send requests of a customer with a home to a host of
// another region, because the list of hosts names it after those of the home.
func TestHostsOfBoundCustomer(t *testing.T) {
	host := func(name, region string) *schema.Item {
		return &schema.Item{Path: "host/" + name, Value: &schema.Item_Host{Host: &schema.Host{Name: name, Region: region, Listen: name}}}
	}
	items := []*schema.Item{host("a1", "a"), host("b1", "b"), host("c1", "c")}
	keys := map[string]string{}
	for _, c := range []*schema.Customer{{Name: "free"}, {Name: "bound", Home: "b"}} {
		key, _ := authenticator.Generate()
		hash, err := authenticator.Hash(key)
		if err != nil {
			t.Fatal(err)
		}
		keys[c.Name] = key
		items = append(items, &schema.Item{Path: "customer/" + c.Name, Value: &schema.Item_Customer{Customer: c}},
			&schema.Item{Path: "key/" + hash, Value: &schema.Item_Key{Key: &schema.Key{Hash: hash, Customer: c.Name}}})
	}
	s := &Server{Settings: &schema.Settings{Name: "a1", Region: "a"}, Timer: &timer.Service{}}
	s.distributor = &distributor.Distributor{Timer: s.Timer}
	s.withdrawer = &withdrawer.Withdrawer{}
	if err := s.distributor.Replace(configurer.FromMessage(&schema.Snapshot{Version: 1, Items: items})); err != nil {
		t.Fatal(err)
	}
	for customer, want := range map[string][]string{"free": {"a1", "b1", "c1"}, "bound": {"b1"}} {
		r := httptest.NewRequest(http.MethodGet, "/v1/hosts", nil)
		r.Header.Set("Authorization", "Bearer "+keys[customer])
		w := httptest.NewRecorder()
		s.serveHosts(w, r)
		var reply struct{ Hosts []string }
		if err := json.Unmarshal(w.Body.Bytes(), &reply); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, reply.Hosts); diff != "" {
			t.Errorf("customer %s: -want +got\n%s", customer, diff)
		}
	}
}
