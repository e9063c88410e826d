package forwarder

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/prober"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// callReplies collects the replies to a call.
type callReplies struct {
	sentReplies
	ctx context.Context
}

func (s *callReplies) Context() context.Context { return s.ctx }

func newTable() *cataloger.Table {
	table := &cataloger.Table{Timer: &timer.Service{Clock: &timer.ManualClock{}}}
	table.Start()
	return table
}

// isolate makes a system's host one that reaches no upstream.
func isolate(t *testing.T, s *system) {
	t.Helper()
	s.Prober = &prober.Prober{
		Timer: s.Timer, Log: zerolog.Nop(), Addresses: func() []string { return []string{"u"} },
		Open: func(context.Context, string) error { return errors.New("refused") },
	}
	if !s.Prober.Confirm(t.Context()) {
		t.Fatal("the host is not isolated")
	}
}

// TestIsolatedHostRefusesAtOnce guards against requests that an isolated host holds though no other host can serve them,
// that it sends to upstreams, or that it relays once more. No time passes on the clock.
func TestIsolatedHostRefusesAtOnce(t *testing.T) {
	newIsolated := func() *system {
		clock := &timer.Service{Clock: &timer.ManualClock{}}
		clock.Advance(time.Hour)
		s := newSystemAt(t, clock, []scriptStep{text(200, "good")})
		isolate(t, s)
		return s
	}
	refused := result{Status: 503, Cause: causeIsolated}
	for _, path := range []string{"/safe/x", "/unsafe/x", "/once/x", "/stream/x", "/resume/x"} {
		s := newIsolated()
		if diff := cmp.Diff(refused, s.call(path, "")); diff != "" {
			t.Errorf("%s: -want +got\n%s", path, diff)
		}
		if got := s.allArrivals(); len(got) > 0 {
			t.Errorf("%s: upstreams got %v", path, got)
		}
	}

	s := newIsolated()
	asked := 0
	s.EntryHosts = func(string) []*schema.Peer {
		asked++
		return []*schema.Peer{{Name: "other", Region: "r", Internal: "127.0.0.1:1", Ready: true}}
	}
	s.SetRegionDigests([]*schema.RegionDigest{{Region: "b", Routes: []*schema.ModelDigest{{Name: "p", Slots: 4}}}})
	replies := &callReplies{ctx: t.Context()}
	m := &schema.RelayRequest{Id: "1", Route: "h", Method: "POST", Path: "/safe/x", Pool: "p", Left: 2}
	if err := (&RelayService{Forwarder: s.Forwarder}).Relay(m, replies); err != nil {
		t.Fatal(err)
	}
	failure := replies.replies[len(replies.replies)-1].Failure
	if failure.GetCause() != causeIsolated || failure.GetStatus() != 503 || !failure.GetNotrun() {
		t.Errorf("relayed request: %v", failure)
	}
	if asked > 0 || len(s.allArrivals()) > 0 {
		t.Errorf("relayed request: relayed again (%d) or sent to upstreams: %v", asked, s.allArrivals())
	}
}

// TestRelaysOfIsolatedHosts guards against relays to hosts that reach no upstream, or to the relaying host itself, and
// against some connected hosts that get most of the relays.
func TestRelaysOfIsolatedHosts(t *testing.T) {
	const requests = 40 // of each isolated host
	for _, c := range []struct{ hosts, connectedEvery int }{{1, 2}, {30, 3}, {30, 10}, {300, 2}, {300, 10}, {300, 30}} {
		for _, adaptive := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d hosts, one of %d connected, adaptive %v", c.hosts, c.connectedEvery, adaptive), func(t *testing.T) {
				table := newTable()
				for i := range c.hosts {
					table.StoreHost(&schema.Peer{Name: fmt.Sprint("h", i), Region: "a", Number: 1, Ready: true, Isolated: i%c.connectedEvery != 1}, "")
				}
				connected := table.ConnectedHosts("a")
				first, relays := map[string]int{}, 0
				for i := range c.hosts {
					f := &Forwarder{Host: fmt.Sprint("h", i), Region: "a", Timer: table.Timer, EntryHosts: func(string) []*schema.Peer { return connected }, Adaptive: func() bool { return adaptive }}
					for range requests {
						peers := f.peers()
						for _, p := range peers {
							if p.Isolated || p.Name == f.Host {
								t.Fatalf("%s relays to %s, isolated: %v", f.Host, p.Name, p.Isolated)
							}
						}
						if want := min(maxPeers, len(connected)); len(peers) < want && !slices.ContainsFunc(connected, func(p *schema.Peer) bool { return p.Name == f.Host }) {
							t.Fatalf("%s has %d hosts to relay to, want %d", f.Host, len(peers), want)
						}
						if i%c.connectedEvery != 1 && len(peers) > 0 {
							first[peers[0].Name]++
							relays++
						}
					}
				}
				for name, n := range first {
					if n > 3*relays/len(connected) {
						t.Errorf("%s gets %d of %d relays, %d hosts are connected", name, n, relays, len(connected))
					}
				}
				if len(first) != len(connected) {
					t.Errorf("%d of %d connected hosts get relays", len(first), len(connected))
				}
			})
		}
	}
}

// TestRegionsWithoutConnectedHostsGetNoRelays guards against relays to regions all of whose hosts are isolated.
func TestRegionsWithoutConnectedHostsGetNoRelays(t *testing.T) {
	for _, n := range []int{1, 30, 300} {
		table := newTable()
		var digests []*schema.RegionDigest
		for _, region := range []string{"a", "b", "c", "d"} {
			digests = append(digests, &schema.RegionDigest{Region: region, Routes: []*schema.ModelDigest{{Name: "p", Slots: 4}}})
			for i := range n {
				isolated := region == "b" || region == "c" && i > 0
				table.StoreHost(&schema.Peer{Name: fmt.Sprint(region, i), Region: region, Number: 1, Ready: true, Isolated: isolated}, "")
			}
		}
		s := newSystem(t)
		s.Region, s.Served = "a", table.Served
		s.SetRegionDigests(digests)
		var got []string
		for _, x := range s.otherRegions(&Request{pool: "p"}) {
			got = append(got, x.region)
		}
		if diff := cmp.Diff([]string{"c", "d"}, got); diff != "" {
			t.Errorf("%d hosts a region: -want +got\n%s", n, diff)
		}
	}
}
