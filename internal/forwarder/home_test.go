package forwarder

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// withHomes returns a configuration in which a route is bound to regions, and so is customer c. Nil binds to none.
func withHomes(version uint64, route string, regions, customer []string) *configurer.Snapshot {
	var items []*schema.Item
	for _, it := range routes() {
		it = proto.Clone(it).(*schema.Item)
		if r := it.GetRoute(); r != nil && r.Name == route {
			r.Regions = regions
		}
		if c := it.GetCustomer(); c != nil {
			c.Regions = customer
		}
		items = append(items, it)
	}
	return configurer.FromMessage(&schema.Snapshot{Version: version, Items: items})
}

// placeFields returns the fields of the log's lines that say where a request may be served, and its decisions.
func placeFields(t *testing.T, log []byte) []map[string]any {
	t.Helper()
	var all []map[string]any
	for line := range bytes.Lines(log) {
		fields := map[string]any{}
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatal(err)
		}
		kept := map[string]any{}
		for _, name := range []string{"message", "here", "homes", "version", "newest", "certainty", "relayed"} {
			if v, ok := fields[name]; ok {
				kept[name] = v
			}
		}
		if _, ok := kept["here"]; ok {
			all = append(all, kept)
		}
	}
	return all
}

// TestHomesInLog guards against a log that cannot tell a request that ran outside its homes from a caller that
// was sent to a host outside of them: decisions must name the homes, this host's region, and the version of the
// configuration that the homes come from.
func TestHomesInLog(t *testing.T) {
	line := func(message string, version float64, more ...any) map[string]any {
		m := map[string]any{"message": message, "here": "r", "version": version, "certainty": 0.}
		for i := 0; i < len(more); i += 2 {
			m[more[i].(string)] = more[i+1]
		}
		return m
	}
	for _, c := range []struct {
		name  string
		homes []string
		play  func(s *system)
		want  []map[string]any
	}{
		{"any region", nil, func(s *system) { s.call("/safe/x", "") }, []map[string]any{line("placed", 1)}},
		{"this region", []string{"r", "q"}, func(s *system) { s.call("/safe/x", "") }, []map[string]any{line("placed", 1, "homes", []any{"r", "q"})}},
		{"another region", []string{"q"}, func(s *system) { s.call("/safe/x", "") }, []map[string]any{line("refused", 1, "homes", []any{"q"})}},
		{"passed on", []string{"q"}, func(s *system) {
			(&trace{f: s.Forwarder, r: &Request{regions: []string{"q"}, configVersion: 1}}).logRelayed("q", "h")
		}, []map[string]any{line("passed to another region", 1, "homes", []any{"q"})}},
		{"refused by the receiver", []string{"q"}, func(s *system) { s.relayed(false) }, []map[string]any{line("refused", 1, "homes", []any{"q"}, "relayed", true)}},
		{"refused by a receiver with an older configuration", []string{"r"}, func(s *system) {
			s.takeRelayed(t, &schema.RelayRequest{Id: "2", Route: "h", Method: "POST", Path: "/unsafe/x", Pool: "p", Left: 1, Version: 2})
		}, []map[string]any{line("refused", 1, "homes", []any{"r"}, "relayed", true)}},
	} {
		s := newSystem(t, []scriptStep{text(200, "ok")})
		log := &bytes.Buffer{}
		s.Log = zerolog.New(log)
		route := "safe"
		if c.want[0]["relayed"] != nil {
			route = "unsafe"
		}
		s.Configure(withHomes(1, route, c.homes, nil))
		c.play(s)
		if diff := cmp.Diff(c.want, placeFields(t, log.Bytes())); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
	}
}

// takeRelayed runs a request that another host relays, and returns the replies.
func (s *system) takeRelayed(t *testing.T, m *schema.RelayRequest) []*schema.RelayReply {
	t.Helper()
	sent := &relayedReplies{}
	if err := (&RelayService{Forwarder: s.Forwarder}).Relay(m, sent); err != nil {
		t.Fatal(err)
	}
	return sent.replies
}
