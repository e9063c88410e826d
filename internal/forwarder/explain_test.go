package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/inspector"
	"github.com/trefoilloft/trefoilloft/internal/quarantiner"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// newExplained returns a Forwarder of region a with 3 engines and 2 services, digests of the regions b, c and d, and an
// assignment. Region d has no engines, and c does not respond. Time stands still.
func newExplained(adaptive bool) *Forwarder {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	route := func(name string, kind schema.RouteKind, regions []string, targets ...*schema.Target) *schema.Item {
		r := &schema.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 30, Objective: 2, Attempts: 2, Resumable: true, Targets: targets, Regions: regions}
		return &schema.Item{Path: "route/h" + r.Prefix, Value: &schema.Item_Route{Route: r}}
	}
	engine := &schema.Target{Pool: "engine", Weight: 1}
	c := configurer.FromMessage(&schema.Snapshot{Version: 7, Items: []*schema.Item{
		route("chat", schema.RouteKind_ROUTE_STREAM, nil, engine),
		route("bound", schema.RouteKind_ROUTE_STREAM, []string{"b", "c"}, engine),
		route("split", schema.RouteKind_ROUTE_SAFE, nil, &schema.Target{Pool: "desk", Weight: 3}, &schema.Target{Pool: "none", Weight: 1}),
		{Path: "pool/engine", Value: &schema.Item_Pool{Pool: &schema.Pool{Name: "engine", Engine: &schema.Engine{Slots: 8, Tokens: 40_000, Stride: 4}}}},
		{Path: "pool/desk", Value: &schema.Item_Pool{Pool: &schema.Pool{Name: "desk"}}},
		{Path: "customer/c", Value: &schema.Item_Customer{Customer: &schema.Customer{Name: "c", Rate: 1_000, Burst: 20_000, Plain: 10}}},
		{Path: "customer/over", Value: &schema.Item_Customer{Customer: &schema.Customer{Name: "over", Rate: 10, Burst: 20}}},
		{Path: "document", Value: &schema.Item_Document{Document: &schema.Document{Number: 1}}},
	}})
	f := &Forwarder{
		Host: "a1", Region: "a", Timer: clock, Log: zerolog.Nop(), Metrics: NewMetrics(), MaxConfirmationAge: 10 * time.Second, Dialer: &dialer.Dialer{Timer: clock},
		Scheduler: &scheduler.Scheduler{
			Timer: clock, Config: func() *configurer.Snapshot { return c }, Adaptive: func() bool { return adaptive }, HostCount: func() int { return 3 },
		},
		Bucket: &allocator.Bucket{Now: clock.Now, LoansOnly: true, Adaptive: func() bool { return adaptive }, Limits: func(customer string) (allocator.Limits, bool) {
			x := c.Customer(customer)
			return allocator.Limits{Rate: x.GetRate(), Burst: x.GetBurst()}, x != nil
		}},
		Budget:          &RetryBudget{Now: clock.Now, Window: 10 * time.Second, Ratio: 0.2, Slack: 100, Hosts: func() int { return 1 }},
		Quarantine:      &quarantiner.Register{Now: clock.Now},
		ConfirmationAge: func() (time.Duration, bool) { return 300 * time.Millisecond, true },
		EntryHosts:      func(region string) []*schema.Peer { return []*schema.Peer{{Name: region + "1", Region: region}} },
		Adaptive:        func() bool { return adaptive },
	}
	f.Configure(c)
	var all []*schema.Announcement
	for i := range 3 {
		all = append(all, &schema.Announcement{Name: fmt.Sprint("e", i), Pool: "engine", Region: "a", Domain: "d", Slots: 8, Incarnation: 1, Age: 0.2})
	}
	for i := range 2 {
		all = append(all, &schema.Announcement{Name: fmt.Sprint("s", i), Pool: "desk", Region: "a", Domain: "d", Slots: 4, Incarnation: 1, Age: 0.2})
	}
	f.Scheduler.UpdateUpstreams(all)
	loads := []*schema.PoolLoad{{
		Pool: "engine", Running: map[string]int32{"e0": 5, "e1": 2}, Reading: map[string]int64{"e0": 4_000, "e1": 500},
		Work: map[string]float64{"e0": 1.5, "e1": 0.3}, Held: map[string]int64{"e0": 30_000, "e1": 6_000},
		Demands: []*schema.HomeDemand{{Work: 1.2, Shared: 0.4}},
	}}
	digest := func(region string, running int32, demand float64) *schema.RegionDigest {
		return &schema.RegionDigest{Region: region, Routes: []*schema.ModelDigest{{Name: "engine", Slots: 32, Running: running, Demands: []*schema.HomeDemand{{Work: demand}, {Homes: []string{"b", "c"}, Work: demand / 2}}}}}
	}
	digests := []*schema.RegionDigest{digest("b", 8, 1), digest("c", 4, 0.5), {Region: "d"}}
	f.monitor.recordRequest("c", clock.Now()-time.Second)
	f.Scheduler.UpdateOtherLoads(loads)
	f.SetRegionDigests(digests)
	f.UpdateAssignments(loads, digests)
	f.Bucket.ApplyStanding([]*schema.Share{{Customer: "c", Rate: 400, Burst: 8_000, Left: 4}, {Customer: "over", Rate: 1, Burst: 2, Left: 4}}, clock.Now())
	clock.Advance(time.Second)
	f.Bucket.RecordLoan("c", 2_000, 0)
	f.Bucket.RecordLoan("over", 0, time.Minute)
	return f
}

// newExplainedFor is newExplained for a request of explainedRequests: for one of them all slots of the region are taken.
func newExplainedFor(name string, adaptive bool) *Forwarder {
	f := newExplained(adaptive)
	if name == "full" {
		f.Scheduler.UpdateOtherLoads([]*schema.PoolLoad{{Pool: "engine", Running: map[string]int32{"e0": 10, "e1": 9, "e2": 10}}})
	}
	return f
}

// explainedRequests are requests to explain, by the name of their golden file.
func explainedRequests() map[string]*schema.ExplainRequest {
	chat := func(route string, input int64) *schema.ExplainRequest {
		return &schema.ExplainRequest{
			Route: route, Customer: "c", Parts: []*schema.PromptPart{{Id: "system", Tokens: input - 100}, {Id: "own", Tokens: 100}},
			Input: input, Output: 200, Hint: 80, Stated: true,
		}
	}
	large, over := chat("chat", 150_000), chat("chat", 700)
	over.Customer = "over"
	elsewhere := chat("chat", 6_400)
	elsewhere.Parts[0].Id, elsewhere.Hint = "system1", 20
	byPath := &schema.ExplainRequest{Name: "h", Path: "/split/x?q", Customer: "c", Elapsed: 0.5, Left: 4, Host: "a1", Region: "a"}
	short := chat("chat", 100)
	short.Parts = short.Parts[1:]
	return map[string]*schema.ExplainRequest{"prefix": chat("chat", 700), "plain": short, "bound": chat("bound", 700), "large": large, "elsewhere": elsewhere, "full": short, "over": over, "split": byPath}
}

// TestExplanations guards against an explanation that leaves out or changes what decides: estimates, reasons, regions,
// limits, chances and the answer.
func TestExplanations(t *testing.T) {
	for _, adaptive := range []bool{false, true} {
		for name, m := range explainedRequests() {
			reply, err := newExplainedFor(name, adaptive).Explain(m)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if adaptive {
				name += "-adaptive"
			}
			checkGolden(t, name, reply)
		}
	}
	state, err := newExplained(true).State(&schema.EntryStateRequest{Customer: "c"})
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "state", state)
}

var update = flag.Bool("update", false, "write golden files")

// checkGolden compares a message with a file of testdata.
func checkGolden(t *testing.T, name string, m any) {
	t.Helper()
	got, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	got = append(got, '\n')
	file := filepath.Join("testdata", "explain", name+".json")
	if *update {
		if err := os.WriteFile(file, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Errorf("%s: -want +got\n%s", file, diff)
	}
}

// TestExplainChangesNothing guards against an explanation that charges, counts, draws a random number, probes a region,
// logs, learns or creates state.
func TestExplainChangesNothing(t *testing.T) {
	for _, adaptive := range []bool{false, true} {
		f := newExplained(adaptive)
		var log bytes.Buffer
		f.Log = zerolog.New(&log)
		draws := 0
		f.Random = func() float64 { draws++; return 0.5 }
		f.StopAt(f.Timer.Now() + 15*time.Second)
		f.Timer.Advance(time.Second)
		for name, m := range explainedRequests() {
			before := inspector.Print(f)
			if _, err := f.Explain(m); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if _, err := f.State(&schema.EntryStateRequest{Customer: "c"}); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if diff := cmp.Diff(before, inspector.Print(f)); diff != "" || draws > 0 || log.Len() > 0 {
				t.Errorf("%s, adaptive %v: the state changed, %d draws, log %q: -before +after\n%s", name, adaptive, draws, log.String(), diff)
			}
		}
	}
}

// TestExplainedRequestIsServedSo guards against an explanation that differs from what becomes of the same request: the
// upstream, the region, the charge.
func TestExplainedRequestIsServedSo(t *testing.T) {
	for _, adaptive := range []bool{false, true} {
		for name, m := range explainedRequests() {
			f := newExplainedFor(name, adaptive)
			f.Random = func() float64 { return 0.4 }
			reply, err := f.Explain(m)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			r, err := f.identifyExplained(m)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			r.pool = pickPool(r.route, f.random())
			var lent atomic.Int64
			f.Borrow = func(_ context.Context, _ string, minTokens, _ float64) (float64, time.Duration, error) {
				lent.Add(int64(minTokens))
				return minTokens, 0, nil
			}
			if err := f.charge(context.Background(), r); err != nil {
				if reply.Outcome.GetStatus() != int32(refusalOf(err).Status) {
					t.Errorf("%s, adaptive %v: %v, explained %v", name, adaptive, err, reply.Outcome)
				}
				continue
			}
			if missing := int64(reply.Limit.GetMissing()); missing != lent.Load() {
				t.Errorf("%s, adaptive %v: %d tokens lent, explained %v", name, adaptive, lent.Load(), reply.Limit)
			}
			p := reply.Pools[0]
			region, atHome := "", r.allows(f.Region)
			if atHome {
				region = f.offloadRegion(r)
			} else {
				region = f.nextRegion(r, nil)
			}
			chance := 0.0
			for _, x := range p.Regions {
				if x.Region == region || region == "" && x.Region == f.Region {
					chance = x.Chance
				}
			}
			if chance == 0 {
				t.Errorf("%s, adaptive %v: goes to region %q, to which the explanation gives no chance: %v", name, adaptive, region, p.Regions)
			}
			if region != "" {
				if chance == 1 && (p.Outcome.Kind != outcomePassed || p.Outcome.Regions[0] != region) {
					t.Errorf("%s, adaptive %v: passed to %s, explained %v", name, adaptive, region, p.Outcome)
				}
				continue
			}
			reservation, err := f.Scheduler.Acquire(context.Background(), r.schedulerRequest(nil))
			if err != nil {
				if p.Outcome.Kind == outcomeSent || p.Outcome.Status != int32(refusalOf(err).Status) {
					t.Errorf("%s, adaptive %v: %v, explained %v", name, adaptive, err, p.Outcome)
				}
				continue
			}
			found := false
			for _, u := range p.Upstreams {
				found = found || u.Upstream == reservation.Name && u.Chance > 0 && (u.Chance < 1 || p.Outcome.Upstream == u.Upstream)
			}
			if !found {
				t.Errorf("%s, adaptive %v: sent to %s, explained %v", name, adaptive, reservation.Name, p)
			}
		}
	}
}

// TestExplainRejects guards against an explanation of a request that cannot be what the operator means: the error names
// the argument, or what is not known.
func TestExplainRejects(t *testing.T) {
	f := newExplained(false)
	for _, c := range []struct {
		m    *schema.ExplainRequest
		want error
		text string
	}{
		{&schema.ExplainRequest{}, ErrInvalidArgument, "invalid argument route: neither a route nor a name and path are given"},
		{&schema.ExplainRequest{Route: "chat", Path: "/x"}, ErrInvalidArgument, "invalid argument route: both a route and a name or path are given"},
		{&schema.ExplainRequest{Name: "h", Path: "x"}, ErrInvalidArgument, `invalid argument path: "x" does not begin with a slash`},
		{&schema.ExplainRequest{Route: "chat", Input: -1}, ErrInvalidArgument, "invalid argument input: -1 is not a number of tokens"},
		{&schema.ExplainRequest{Route: "chat", Hint: 1 << 41}, ErrInvalidArgument, "invalid argument hint: 2199023255552 is not a number of tokens"},
		{&schema.ExplainRequest{Route: "chat", Left: -3}, ErrInvalidArgument, "invalid argument left: -3 is not a number of seconds up to an hour"},
		{&schema.ExplainRequest{Route: "chat", Parts: []*schema.PromptPart{{Tokens: 4}}}, ErrInvalidArgument, "invalid argument parts: part 1 has no ID, or 4 is not a number of tokens"},
		{&schema.ExplainRequest{Route: "chat"}, ErrInvalidArgument, `invalid argument customer: route "chat" needs one`},
		{&schema.ExplainRequest{Route: "none"}, ErrUnknown, `unknown route "none"`},
		{&schema.ExplainRequest{Name: "h", Path: "/none"}, ErrUnknown, `unknown route "h/none"`},
		{&schema.ExplainRequest{Route: "chat", Customer: "z"}, ErrUnknown, `unknown customer "z"`},
		{&schema.ExplainRequest{Route: "chat", Customer: "c", Host: "a2"}, ErrUnknown, `unknown host "a2": this address is that of "a1"`},
		{&schema.ExplainRequest{Route: "chat", Customer: "c", Region: "b"}, ErrUnknown, `unknown region "b": callers of "b" use other hosts than "a1"`},
	} {
		_, err := f.Explain(c.m)
		if !errors.Is(err, c.want) || err.Error() != c.text {
			t.Errorf("%v: %v, want %s", c.m, err, c.text)
		}
	}
	if _, err := f.State(&schema.EntryStateRequest{Customer: "z"}); !errors.Is(err, ErrUnknown) {
		t.Errorf("state of an unknown customer: %v", err)
	}
}

// TestExplainOverConnection guards against an explanation that the internal listener gives without the secret, and against
// a reply or an error that changes on the way.
func TestExplainOverConnection(t *testing.T) {
	f := newExplained(true)
	server, err := dialer.NewServer("secret of the hosts", nil, func(string) bool { return false }, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	schema.RegisterExplainServiceServer(server, &ExplainService{Forwarder: f})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	client := func(secret string) schema.ExplainServiceClient {
		d := &dialer.Dialer{Secret: secret, Timer: &timer.Service{}}
		t.Cleanup(d.Close)
		conn, err := d.Conn(l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return schema.NewExplainServiceClient(conn)
	}
	ready := grpc.WaitForReady(true)
	m := explainedRequests()["prefix"]
	got, err := client("secret of the hosts").Explain(t.Context(), m, ready)
	if err != nil {
		t.Fatal(err)
	}
	want, err := f.Explain(m)
	if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" || err != nil {
		t.Errorf("%v: -want +got\n%s", err, diff)
	}
	if _, err := client("secret of the hosts").Explain(t.Context(), &schema.ExplainRequest{Route: "none"}, ready); status.Code(err) != codes.NotFound {
		t.Errorf("unknown route: %v", err)
	}
	if _, err := client("another").State(t.Context(), &schema.EntryStateRequest{}, ready); status.Code(err) != status.Code(dialer.ErrWrongSecret) || err == nil {
		t.Errorf("call with another secret: %v", err)
	}
}

// BenchmarkExplain measures an explanation by a host of a region with 250 engines.
func BenchmarkExplain(b *testing.B) {
	f := newExplained(true)
	var all []*schema.Announcement
	for i := range 250 {
		all = append(all, &schema.Announcement{Name: fmt.Sprint("e", i), Pool: "engine", Region: "a", Domain: "d", Slots: 8, Incarnation: 1})
	}
	f.Scheduler.UpdateUpstreams(all)
	for b.Loop() {
		if _, err := f.Explain(explainedRequests()["prefix"]); err != nil {
			b.Fatal(err)
		}
	}
}
