package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
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

// otherRegions are hosts of other regions, one each, that answer what is relayed to them.
type otherRegions struct {
	mu     sync.Mutex
	got    []string            // regions that got a body; guarded by mu
	before map[string]func()   // called, once, before a region replies, which then refuses; guarded by mu
	accept map[string]func()   // called, once, before a region accepts a connection; guarded by mu
	conns  map[string]net.Conn // the last connection that a region accepted; guarded by mu
}

// hookedListener is the listener of a region.
type hookedListener struct {
	net.Listener
	all  *otherRegions
	name string
}

func (l hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.all.mu.Lock()
	accept := l.all.accept[l.name]
	delete(l.all.accept, l.name)
	l.all.conns[l.name] = c
	l.all.mu.Unlock()
	if accept != nil && err == nil {
		accept()
	}
	return c, err
}

type otherRegion struct {
	schema.UnimplementedRelayServiceServer
	all  *otherRegions
	name string
}

func (x *otherRegion) Relay(m *schema.RelayRequest, stream grpc.ServerStreamingServer[schema.RelayReply]) error {
	if m.Id == "" { // a probe, on which hosts name themselves
		if err := dialer.SendPeer(stream, dialer.Peer{Host: x.name, Region: x.name}); err != nil {
			return err
		}
		return stream.Send(&schema.RelayReply{Number: 1})
	}
	x.all.mu.Lock()
	x.all.got = append(x.all.got, x.name)
	before := x.all.before[x.name]
	delete(x.all.before, x.name)
	x.all.mu.Unlock()
	if before != nil {
		before()
		return stream.Send(&schema.RelayReply{Number: 1, Failure: &schema.Failure{Status: 503, Cause: causeNoUpstream, Notrun: true}})
	}
	return stream.Send(&schema.RelayReply{Number: 1, Status: 200, Chunk: []byte(x.name), Complete: true})
}

// onAccept sets what is called before a region accepts its next connection.
func (x *otherRegions) onAccept(region string, do func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.accept[region] = do
}

// cut closes the last connection that a region accepted.
func (x *otherRegions) cut(region string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	_ = x.conns[region].Close()
}

// onRelay sets what is called before a region refuses the next request.
func (x *otherRegions) onRelay(region string, do func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.before[region] = do
}

// regions returns the regions that got a body, in order.
func (x *otherRegions) regions() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.got)
}

// connect starts a host in each of the named regions. The first ones are the least loaded.
func (s *system) connect(t *testing.T, names ...string) *otherRegions {
	t.Helper()
	all := &otherRegions{before: map[string]func(){}, accept: map[string]func(){}, conns: map[string]net.Conn{}}
	hosts := map[string][]*schema.Peer{}
	var digests []*schema.RegionDigest
	for i, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server, err := dialer.NewServer("", nil, func(string) bool { return true }, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		schema.RegisterRelayServiceServer(server, &otherRegion{all: all, name: name})
		go func() { _ = server.Serve(hookedListener{l, all, name}) }()
		t.Cleanup(server.Stop)
		hosts[name] = []*schema.Peer{{Name: name, Region: name, Internal: l.Addr().String(), Ready: true}}
		digests = append(digests, &schema.RegionDigest{Region: name, Routes: []*schema.ModelDigest{{Name: "p", Slots: 10, Running: int32(i)}}})
	}
	s.Dialer = &dialer.Dialer{Timer: s.Timer}
	t.Cleanup(s.Dialer.Close)
	s.EntryHosts = func(region string) []*schema.Peer { return hosts[region] }
	s.SetRegionDigests(digests)
	return all
}

// rebind puts a configuration in force in which a route is bound to regions.
func (s *system) rebind(route string, regions ...string) {
	s.Configure(withHomes(s.index.Load().snapshot.Version+1, route, regions, nil))
}

// rebindCustomer puts a configuration in force in which customer c is bound to regions.
func (s *system) rebindCustomer(regions ...string) {
	s.Configure(withHomes(s.index.Load().snapshot.Version+1, "", nil, regions))
}

// without puts a configuration in force that lacks an item.
func (s *system) without(path string) {
	s.change(func(items []*schema.Item) []*schema.Item {
		return slices.DeleteFunc(items, func(it *schema.Item) bool { return it.Path == path })
	})
}

// change puts a configuration in force with the items that edit returns for those of routes.
func (s *system) change(edit func(items []*schema.Item) []*schema.Item) {
	s.Configure(configurer.FromMessage(&schema.Snapshot{Version: s.index.Load().snapshot.Version + 1, Items: edit(routes())}))
}

// calling returns a step that calls do, and then goes on with the next one.
func calling(do func(), next scriptStep) scriptStep {
	return func(w http.ResponseWriter, r *http.Request) {
		do()
		next(w, r)
	}
}

// TestHomesChangeWhileServed guards against requests that run, or whose bodies are sent to a host, outside of
// their homes: homes were taken once, when the request arrived, and the configuration in force changes before
// an attempt at an upstream or before a relay. A request that certainly did not run goes to a new home.
func TestHomesChangeWhileServed(t *testing.T) {
	rejected := text(503, "", "Not-Run", "1")
	passedOn := func(region string) result { return result{Status: 200, Body: region, Finished: true} }
	gone := result{Status: 503, Cause: causeNoHome}
	// placing makes do the last step before a request is sent to an upstream.
	placing := func(s *system, do func()) {
		s.Scheduler.Random = func(n int) int {
			do()
			return n - 1
		}
	}
	for _, c := range []struct {
		name, path, key string
		// play prepares a system and returns the scripts of its upstreams.
		play func(s *system, o *otherRegions) (first, second scriptStep)
		want result
		at   []string // arrivals at upstreams here
		sent []string // regions that got the body
	}{
		{"placed", "/unsafe/x", "", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			placing(s, func() { s.rebind("unsafe", "q") })
			return text(200, "here"), text(200, "here")
		}, passedOn("q"), nil, []string{"q"}},
		{"placed, bound to a region without hosts", "/unsafe/x", "", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			placing(s, func() { s.rebind("unsafe", "nowhere") })
			return text(200, "here"), text(200, "here")
		}, gone, nil, nil},
		{"placed, still a home", "/unsafe/x", "", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			placing(s, func() { s.rebind("unsafe", "q", "r") })
			return text(200, "here"), text(200, "here")
		}, passedOn("here"), []string{"u0"}, nil},
		{"placed, customer bound", "/keyed/x", "k", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			placing(s, func() { s.rebindCustomer("v") })
			return text(200, "here"), text(200, "here")
		}, passedOn("v"), nil, []string{"v"}},
		{"connected", "/unsafe/x", "", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			s.Pool.OnDial = func(string) { s.rebind("unsafe", "q") }
			return text(200, "here"), text(200, "here")
		}, passedOn("q"), nil, []string{"q"}},
		{"connected, for another attempt at a stream", "/resume/x", "", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			var first atomic.Pointer[string]
			s.Pool.OnDial = func(address string) { // also for probes of the first upstream
				if !first.CompareAndSwap(nil, &address) && *first.Load() != address {
					s.rebind("resume", "q")
				}
			}
			return truncate(firstEvent), text(200, secondEvent)
		}, result{Status: 200, Body: firstEvent, Aborted: true}, []string{"u0"}, nil},
		{"connected, key withdrawn", "/keyed/x", "k", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			s.Pool.OnDial = func(string) { s.without("key/" + HashExternalKey("k")) }
			return text(200, "here"), text(200, "here")
		}, result{Status: 401, Cause: causeNoKey}, nil, nil},
		{"placed, route gone", "/unsafe/x", "", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			placing(s, func() { s.without("route/h/unsafe/") })
			return text(200, "here"), text(200, "here")
		}, result{Status: 404, Cause: causeNoRoute}, nil, nil},
		{"placed, customer gone", "/keyed/x", "k", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			placing(s, func() {
				s.change(func(items []*schema.Item) []*schema.Item {
					items = slices.DeleteFunc(items, func(it *schema.Item) bool { return it.Path == "customer/c" })
					return append(items, &schema.Item{Path: "customer/d", Value: &schema.Item_Customer{Customer: &schema.Customer{Name: "d"}}})
				})
			})
			return text(200, "here"), text(200, "here")
		}, result{Status: 401, Cause: causeNoKey}, nil, nil},
		{"placed, last customer gone, so that no key is needed", "/keyed/x", "k", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			placing(s, func() { s.without("customer/c") })
			return text(200, "here"), text(200, "here")
		}, result{Status: 503, Cause: causeStale}, nil, nil},
		{"rejected, then tried again", "/unsafe/x", "", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			return calling(func() { s.rebind("unsafe", "q") }, rejected), text(200, "here")
		}, passedOn("q"), []string{"u0"}, []string{"q"}},
		{"failed, then tried again", "/safe/x", "", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			return calling(func() { s.rebind("safe", "q") }, truncate("")), text(200, "here")
		}, result{Status: 502, Cause: causeNoHome}, []string{"u0"}, nil},
		{"failed with a response, then tried again", "/safe/x", "", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			return calling(func() { s.rebind("safe", "q") }, text(500, "bad")), text(200, "here")
		}, result{Status: 500, Body: "bad", Finished: true}, []string{"u0"}, nil},
		{"stream that another attempt would go on with", "/resume/x", "", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			return calling(func() { s.rebind("resume", "q") }, truncate(firstEvent)), text(200, secondEvent)
		}, result{Status: 200, Body: firstEvent, Aborted: true}, []string{"u0"}, nil},
		{"relayed", "/unsafe/x", "", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			s.rebind("unsafe", "q", "v")
			hosts := s.EntryHosts
			s.EntryHosts = func(region string) []*schema.Peer {
				s.rebind("unsafe", "v")
				return hosts(region)
			}
			return text(200, "here"), text(200, "here")
		}, passedOn("v"), nil, []string{"v"}},
		{"relayed to one region after another", "/unsafe/x", "", func(s *system, o *otherRegions) (scriptStep, scriptStep) {
			s.rebind("unsafe", "q", "v")
			o.onRelay("q", func() { s.rebind("unsafe", "q", "w") })
			return text(200, "here"), text(200, "here")
		}, passedOn("w"), nil, []string{"q", "w"}},
		{"relayed on a new connection", "/unsafe/x", "", func(s *system, o *otherRegions) (scriptStep, scriptStep) {
			s.rebind("unsafe", "q", "v")
			o.onAccept("q", func() { s.rebind("unsafe", "v") })
			return text(200, "here"), text(200, "here")
		}, passedOn("v"), nil, []string{"v"}},
		{"relayed, customer bound", "/keyed/x", "k", func(s *system, o *otherRegions) (scriptStep, scriptStep) {
			s.rebindCustomer("q", "v")
			o.onRelay("q", func() { s.rebindCustomer("w") })
			return text(200, "here"), text(200, "here")
		}, passedOn("w"), nil, []string{"q", "w"}},
		{"relayed, key withdrawn", "/keyed/x", "k", func(s *system, o *otherRegions) (scriptStep, scriptStep) {
			s.rebindCustomer("q", "v")
			o.onRelay("q", func() { s.without("key/" + HashExternalKey("k")) })
			return text(200, "here"), text(200, "here")
		}, result{Status: 401, Cause: causeNoKey}, nil, []string{"q"}},
		{"placed, route needs a key now", "/unsafe/x", "", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			placing(s, func() {
				s.change(func(items []*schema.Item) []*schema.Item {
					items[slices.IndexFunc(items, func(it *schema.Item) bool { return it.Path == "route/h/unsafe/" })].GetRoute().Open = false
					return items
				})
			})
			return text(200, "here"), text(200, "here")
		}, result{Status: 503, Cause: causeStale}, nil, nil},
		{"placed, route needs no key now and the key is gone", "/keyed/x", "k", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			placing(s, func() {
				s.change(func(items []*schema.Item) []*schema.Item {
					items[slices.IndexFunc(items, func(it *schema.Item) bool { return it.Path == "route/h/keyed/" })].GetRoute().Open = true
					return slices.DeleteFunc(items, func(it *schema.Item) bool { return it.GetKey() != nil })
				})
			})
			return text(200, "here"), text(200, "here")
		}, result{Status: 503, Cause: causeStale}, nil, nil},
		{"placed, key of another customer now", "/keyed/x", "k", func(s *system, _ *otherRegions) (scriptStep, scriptStep) {
			placing(s, func() {
				s.change(func(items []*schema.Item) []*schema.Item {
					items[slices.IndexFunc(items, func(it *schema.Item) bool { return it.GetKey() != nil })].GetKey().Customer = "d"
					return append(items, &schema.Item{Path: "customer/d", Value: &schema.Item_Customer{Customer: &schema.Customer{Name: "d", Regions: []string{"q"}}}})
				})
			})
			return text(200, "here"), text(200, "here")
		}, result{Status: 503, Cause: causeStale}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t)
			o := s.connect(t, "q", "v", "w")
			first, second := c.play(s, o)
			var all []*schema.Announcement
			for i, step := range []scriptStep{first, second} {
				name := "u" + string(rune('0'+i))
				all = append(all, &schema.Announcement{Name: name, Address: s.upstream(t, name, []scriptStep{step}), Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 1})
			}
			if s.Scheduler.Random == nil {
				s.Scheduler.Random = func(n int) int { return n - 1 }
			}
			s.Scheduler.UpdateUpstreams(all)
			s.Scheduler.UpdateOtherLoads([]*schema.PoolLoad{{Pool: "p", Running: map[string]int32{"u1": 2}}})
			if diff := cmp.Diff(c.want, s.call(c.path, c.key)); diff != "" {
				t.Errorf("-want +got\n%s", diff)
			}
			var at []string
			for _, a := range s.allArrivals() {
				at = append(at, a[:2])
			}
			if diff := cmp.Diff(c.at, at); diff != "" {
				t.Errorf("arrivals here: -want +got\n%s", diff)
			}
			if diff := cmp.Diff(c.sent, o.regions()); diff != "" {
				t.Errorf("regions that got the body: -want +got\n%s", diff)
			}
		})
	}
}

// TestHomesChangeWhileOffloaded guards against offloading a request to a region that is no home any more: homes
// change after the region was chosen.
func TestHomesChangeWhileOffloaded(t *testing.T) {
	s := newSystem(t, []scriptStep{text(200, "here")})
	o := s.connect(t, "q")
	s.Scheduler.UpdateOtherLoads([]*schema.PoolLoad{{Pool: "p", Running: map[string]int32{"u0": 3}}})
	chosen, hosts := 0, s.EntryHosts
	s.EntryHosts = func(region string) []*schema.Peer {
		chosen++
		s.rebind("unsafe", "r")
		return hosts(region)
	}
	for range 50 {
		s.rebind("unsafe", "q", "r")
		if diff := cmp.Diff(result{Status: 200, Body: "here", Finished: true}, s.call("/unsafe/x", "")); diff != "" {
			t.Fatalf("-want +got\n%s", diff)
		}
	}
	if sent := o.regions(); chosen == 0 || len(sent) > 0 {
		t.Errorf("%d requests offloaded, %d bodies sent", chosen, len(sent))
	}
}

// TestHomesChangeWhileReconnecting guards against a body that is sent to a region that is no home any more: the
// connection breaks after the last check of the homes, and they change while the call waits for it to be
// established again.
func TestHomesChangeWhileReconnecting(t *testing.T) {
	s := newSystem(t)
	o := s.connect(t, "q", "v")
	conn, err := s.Dialer.Conn(s.EntryHosts("q")[0].Internal)
	if err != nil {
		t.Fatal(err)
	}
	broken := false
	s.ConfirmationAge = func() (time.Duration, bool) {
		if conn.GetState() == connectivity.Ready && !broken {
			broken = true
			o.onAccept("q", func() { s.rebindCustomer("v") })
			o.cut("q")
			conn.WaitForStateChange(t.Context(), connectivity.Ready)
		}
		return 0, true
	}
	if diff := cmp.Diff(result{Status: 200, Body: "v", Finished: true}, s.call("/keyed/x", "k")); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
	if diff := cmp.Diff([]string{"v"}, o.regions()); diff != "" {
		t.Errorf("regions that got the body: -want +got\n%s", diff)
	}
}

// TestHomesChangeInQueue guards against a request that runs here after its homes moved elsewhere while it waited
// for a slot.
func TestHomesChangeInQueue(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	s := newSystem(t)
	o := s.connect(t, "q")
	// Nothing is offloaded to a region that is as busy.
	s.SetRegionDigests([]*schema.RegionDigest{{Region: "q", Routes: []*schema.ModelDigest{{Name: "p", Slots: 1, Running: 1}}}})
	step := calling(func() { close(arrived); <-release }, text(200, "here"))
	s.Scheduler.UpdateUpstreams([]*schema.Announcement{
		{Name: "u0", Address: s.upstream(t, "u0", []scriptStep{step}), Pool: "p", Region: "r", Domain: "d", Slots: 1, Incarnation: 1},
	})
	first, second := make(chan result), make(chan result)
	go func() { first <- s.call("/safe/x", "") }()
	<-arrived
	go func() { second <- s.call("/unsafe/x", "") }()
	for s.Scheduler.OwnLoads()[0].Waiting == 0 {
		select {
		case got := <-second:
			t.Fatalf("the request did not wait: %+v", got)
		default:
			runtime.Gosched()
		}
	}
	s.rebind("unsafe", "q")
	close(release)
	if diff := cmp.Diff(result{Status: 200, Body: "here", Finished: true}, <-first); diff != "" {
		t.Errorf("request that holds the slot: -want +got\n%s", diff)
	}
	if diff := cmp.Diff(result{Status: 200, Body: "q", Finished: true}, <-second); diff != "" {
		t.Errorf("request that waits: -want +got\n%s", diff)
	}
	if diff := cmp.Diff([]string{"u0"}, s.allArrivals()); diff != "" {
		t.Errorf("arrivals here: -want +got\n%s", diff)
	}
	if diff := cmp.Diff([]string{"q"}, o.regions()); diff != "" {
		t.Errorf("regions that got the body: -want +got\n%s", diff)
	}
}

// TestHomesChangeBeforeStreamIsTakenUp guards against going on with a stream outside of its homes: they change
// while a control host is asked for the version that began it.
func TestHomesChangeBeforeStreamIsTakenUp(t *testing.T) {
	s := newVersionedSystem(t, []string{"v1"}, []scriptStep{text(200, secondEvent)})
	o := s.connect(t, "q", "v")
	s.FindStream = func(context.Context, *schema.FindStreamRequest) (*schema.FindStreamReply, error) {
		s.rebind("resume", "v")
		return &schema.FindStreamReply{Found: true, Pool: "p", Software: "v1", Regions: []string{"q", "r", "v"}}, nil
	}
	got, _ := s.takeUp("1", "1")
	if diff := cmp.Diff(result{Status: 200, Body: "v", Finished: true}, got); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
	if at, sent := s.allArrivals(), o.regions(); len(at) > 0 || !slices.Equal(sent, []string{"v"}) {
		t.Errorf("arrivals here %v, regions that got the body %v", at, sent)
	}
}

// TestHomesChangeBeforeLastResort guards against a request that an upstream which is leaving runs outside of its
// homes: they change while the request is relayed in vain.
func TestHomesChangeBeforeLastResort(t *testing.T) {
	s := newSystem(t)
	o := s.connect(t, "q")
	s.Scheduler.UpdateUpstreams([]*schema.Announcement{
		{Name: "u0", Address: s.upstream(t, "u0", []scriptStep{text(200, "here")}), Pool: "p", Region: "r", Slots: 4, Incarnation: 1, Leaving: true},
	})
	s.Scheduler.UpdateLeaving(map[string]time.Duration{"u0": s.Timer.Now() + time.Minute})
	o.onRelay("q", func() { s.rebind("unsafe", "q") })
	if diff := cmp.Diff(result{Status: 200, Body: "q", Finished: true}, s.call("/unsafe/x", "")); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
	if at, sent := s.allArrivals(), o.regions(); len(at) > 0 || !slices.Equal(sent, []string{"q", "q"}) {
		t.Errorf("arrivals here %v, regions that got the body %v", at, sent)
	}
}

// TestHomesAtReceiver guards against a relayed request that runs outside of its homes by the configuration of the
// host that gets it, whether that one is newer or older than the sender's or changes meanwhile. The sender may
// ask another region only if it is told that the request did not run.
func TestHomesAtReceiver(t *testing.T) {
	for _, c := range []struct {
		name            string
		route, customer []string // homes that the receiver knows
		version         uint64   // of the receiver; the sender's is 2
		meanwhile       func(s *system)
		want            *schema.Failure // nil: it runs
	}{
		{"the same", []string{"r"}, []string{"r", "q"}, 2, nil, nil},
		{"a newer one", []string{"r"}, []string{"r", "q"}, 3, nil, nil},
		{"a newer one, route bound elsewhere", []string{"q"}, nil, 3, nil, &schema.Failure{Status: 503, Cause: causeStale, Retry: 1.5, Notrun: true}},
		{"a newer one, customer bound elsewhere", nil, []string{"q"}, 3, nil, &schema.Failure{Status: 503, Cause: causeStale, Retry: 1.5, Notrun: true}},
		{"a newer one, no home left", []string{"r"}, []string{"q"}, 3, nil, &schema.Failure{Status: 503, Cause: causeStale, Retry: 1.5, Notrun: true}},
		{"an older one", nil, nil, 1, nil, &schema.Failure{Status: 503, Cause: causeStale, Retry: 1.5, Notrun: true}},
		{"an older one, customer bound here", nil, []string{"r"}, 1, nil, &schema.Failure{Status: 503, Cause: causeStale, Retry: 1.5, Notrun: true}},
		{"changes, route bound elsewhere", nil, nil, 2, func(s *system) { s.rebind("keyed", "q") }, &schema.Failure{Status: 503, Cause: causeNoHome, Retry: 0.5, Notrun: true}},
		{"changes, customer bound elsewhere", nil, nil, 2, func(s *system) { s.rebindCustomer("q") }, &schema.Failure{Status: 503, Cause: causeNoHome, Retry: 0.5, Notrun: true}},
		{"changes, customer gone", nil, nil, 2, func(s *system) { s.without("customer/c") }, &schema.Failure{Status: 503, Cause: causeStale, Retry: 1.5, Notrun: true}},
		{"changes, route gone", nil, nil, 2, func(s *system) { s.without("route/h/keyed/") }, &schema.Failure{Status: 503, Cause: causeStale, Retry: 1.5, Notrun: true}},
	} {
		s := newSystem(t, []scriptStep{text(200, "ok")}, []scriptStep{text(200, "ok")})
		s.Configure(withHomes(c.version, "keyed", c.route, c.customer))
		if c.meanwhile != nil {
			s.Scheduler.Random = func(int) int {
				c.meanwhile(s)
				return 0
			}
		}
		replies := s.takeRelayed(t, &schema.RelayRequest{Id: "1", Route: "h", Customer: "c", Method: "POST", Path: "/keyed/x", Pool: "p", Left: 2, Objective: 1, Version: 2})
		last := replies[len(replies)-1]
		if diff := cmp.Diff(c.want, last.Failure, protocmp.Transform()); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
		if ran := len(s.allArrivals()) > 0; ran != (c.want == nil) {
			t.Errorf("%s: ran %v", c.name, ran)
		}
	}
}

// TestStaleHostRelaysNothing guards against bodies that leave their region because a host that no control host
// reaches does not know that they are bound to it by now.
func TestStaleHostRelaysNothing(t *testing.T) {
	for age, want := range map[time.Duration]result{
		0:           {Status: 200, Body: "q", Finished: true},
		time.Minute: {Status: 503, Cause: causeStale},
	} {
		s := newSystem(t)
		o := s.connect(t, "q")
		s.age = age
		if diff := cmp.Diff(want, s.call("/safe/x", "")); diff != "" {
			t.Errorf("configuration confirmed %v ago: -want +got\n%s", age, diff)
		}
		if got := o.regions(); want.Status == 503 && len(got) > 0 {
			t.Errorf("configuration confirmed %v ago: the body got to %v", age, got)
		}
	}
}
