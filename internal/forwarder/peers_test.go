package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/prober"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// scriptedPeer is a host of the same region that handles each relayed request by script.
type scriptedPeer struct {
	schema.UnimplementedRelayServiceServer
	script func(*schema.RelayRequest, grpc.ServerStreamingServer[schema.RelayReply]) error
}

func (p *scriptedPeer) Relay(m *schema.RelayRequest, stream grpc.ServerStreamingServer[schema.RelayReply]) error {
	return p.script(m, stream)
}

// addPeers starts a host of the system's region for each script. Requests are relayed to the first of them first.
func (s *system) addPeers(t *testing.T, scripts ...func(*schema.RelayRequest, grpc.ServerStreamingServer[schema.RelayReply]) error) {
	t.Helper()
	var hosts []*schema.Peer
	for i, script := range scripts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server, err := dialer.NewServer("", nil, func(string) bool { return true }, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		schema.RegisterRelayServiceServer(server, &scriptedPeer{script: script})
		go func() { _ = server.Serve(l) }()
		t.Cleanup(server.Stop)
		hosts = append(hosts, &schema.Peer{Name: string(rune('a' + i)), Region: s.Region, Internal: l.Addr().String(), Ready: true})
	}
	s.Dialer = &dialer.Dialer{Timer: s.Timer}
	t.Cleanup(s.Dialer.Close)
	s.EntryHosts = func(region string) []*schema.Peer {
		if region != s.Region {
			return nil
		}
		return hosts
	}
}

// loseUpstreams makes the system's host find that it reaches no upstream.
func (s *system) loseUpstreams(t *testing.T) {
	t.Helper()
	if !s.Prober.Confirm(context.Background()) {
		t.Error("the host counts as connected")
	}
}

// withProber gives the system's host a prober that reaches no upstream.
func (s *system) withProber() {
	s.Prober = &prober.Prober{
		Timer: s.Timer, Log: zerolog.Nop(), Addresses: func() []string { return []string{"u"} },
		Open: func(context.Context, string) error { return errors.New("refused") },
	}
}

// acknowledged sends the acknowledgement of a relayed request, and then replies.
func acknowledged(replies ...*schema.RelayReply) func(*schema.RelayRequest, grpc.ServerStreamingServer[schema.RelayReply]) error {
	return func(_ *schema.RelayRequest, stream grpc.ServerStreamingServer[schema.RelayReply]) error {
		for i, reply := range append([]*schema.RelayReply{{}}, replies...) {
			reply.Number = uint64(i + 1)
			if err := stream.Send(reply); err != nil {
				return err
			}
		}
		return nil
	}
}

// TestTruncatedRelayIsNotCompletedByAnError guards against a response that another host began to relay and that ends as
// complete with the error of an upstream of this host.
func TestTruncatedRelayIsNotCompletedByAnError(t *testing.T) {
	s := newSystem(t, nil)
	s.withProber()
	lost := calling(func() { s.loseUpstreams(t) }, text(500, "bad"))
	s.Scheduler.UpdateUpstreams([]*schema.Announcement{
		{Name: "u0", Address: s.upstream(t, "u0", []scriptStep{lost}), Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 1},
	})
	half := strings.Repeat("x", maxBufferedBytes)
	s.addPeers(t, acknowledged(&schema.RelayReply{Status: 200, Length: -1, Chunk: []byte(half)}))
	got := s.call("/safe/x", "")
	if got.Finished || got.Status == http.StatusOK && strings.Contains(got.Body, "bad") {
		t.Errorf("status %d, %d bytes, ends with %q, finished %v", got.Status, len(got.Body), got.Body[max(0, len(got.Body)-8):], got.Finished)
	}
}

// TestLostRelaysCountAsAttempts guards against a request that more upstreams get than its route allows, or without a
// retry in the budget: each host that it is relayed to may have sent it to one before it was lost.
func TestLostRelaysCountAsAttempts(t *testing.T) {
	for _, c := range []struct {
		name, path string
		slack      float64
		want       int32
	}{
		{"two attempts", "/safe/x", 100, 2},
		{"no retry in the budget", "/safe/x", 0, 1},
		{"may not be repeated", "/unsafe/x", 100, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t)
			s.withProber()
			s.loseUpstreams(t)
			s.Budget.Slack, s.Budget.Ratio = c.slack, 0
			var relays atomic.Int32
			lost := func(m *schema.RelayRequest, stream grpc.ServerStreamingServer[schema.RelayReply]) error {
				relays.Add(1)
				return acknowledged()(m, stream)
			}
			s.addPeers(t, lost, lost, lost)
			got := s.call(c.path, "")
			if diff := cmp.Diff(c.want, relays.Load()); diff != "" {
				t.Errorf("relays: -want +got\n%s", diff)
			}
			if got.Status != http.StatusBadGateway {
				t.Errorf("status %d for a request that may have run", got.Status)
			}
		})
	}
}

// TestSilentPeerIsPassedOver guards against a request that waits until its deadline for a host that does not acknowledge
// it, while another one would serve it.
func TestSilentPeerIsPassedOver(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	s := newSystemAt(t, clock)
	s.withProber()
	s.loseUpstreams(t)
	served := acknowledged(&schema.RelayReply{Status: 200, Length: 2, Chunk: []byte("ok"), Complete: true})
	var silent atomic.Int32
	relay := func(m *schema.RelayRequest, stream grpc.ServerStreamingServer[schema.RelayReply]) error {
		if silent.Add(1) == 1 {
			clock.Advance(peerTimeout)
			<-stream.Context().Done()
			return nil
		}
		return served(m, stream)
	}
	s.addPeers(t, relay, relay)
	want := result{Status: 200, Body: "ok", Finished: true}
	if diff := cmp.Diff(want, s.call("/safe/x", "")); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
	if diff := cmp.Diff(want, s.call("/unsafe/x", "")); diff != "" {
		t.Errorf("next request: -want +got\n%s", diff)
	}
	if n := silent.Load(); n != 3 {
		t.Errorf("%d relays, want 3", n)
	}
}

// TestIsolationKeepsResponsesThatBegan guards against breaking off a response that arrives, because the host can open no
// new connection.
func TestIsolationKeepsResponsesThatBegan(t *testing.T) {
	s := newSystem(t, nil)
	s.withProber()
	step := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "8")
		_, _ = w.Write([]byte("half"))
		w.(http.Flusher).Flush()
		s.loseUpstreams(t)
		_, _ = w.Write([]byte("half"))
	}
	s.Pool.Prober = s.Prober
	s.Scheduler.UpdateUpstreams([]*schema.Announcement{
		{Name: "u0", Address: s.upstream(t, "u0", []scriptStep{step}), Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 1},
		{Name: "u1", Address: "127.0.0.1:1", Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 1},
	})
	s.preferFirst()
	if diff := cmp.Diff(result{Status: 200, Body: "halfhalf", Finished: true}, s.call("/safe/x", "")); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
}
