package server

import (
	"testing"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestRouteOfTarget guards against a call that one host routes by its decoded path and the host that it
// forwards the call to by the path as it was sent.
func TestRouteOfTarget(t *testing.T) {
	item := func(prefix string) *schema.Item {
		return &schema.Item{Path: "route/" + prefix, Value: &schema.Item_Route{Route: &schema.Route{Name: prefix, Method: "POST", Prefix: prefix}}}
	}
	c := configurer.FromMessage(&schema.Snapshot{Version: 1, Items: []*schema.Item{item("/bookings"), item("/bookings/paid"), item("/open")}})
	for target, want := range map[string]string{
		"/bookings": "/bookings", "/bookings/1?paid=/open": "/bookings", "/bookings%2F1": "/bookings", "/%62ookings/paid/2": "/bookings/paid",
		"/bookings%2fpaid": "/bookings/paid", "/open?x": "/open", "/bookingsx": "", "/%zz": "", "": "", "x": "", "//open": "",
	} {
		if got := findRoute(c, "POST", target).GetName(); got != want {
			t.Errorf("%q has route %q, want %q", target, got, want)
		}
	}
}
