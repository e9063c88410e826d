package forwarder

import (
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// passedListener accepts the connections that it is passed.
type passedListener struct {
	net.Listener
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *passedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *passedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// internalAddress is an address that processes of several hosts have in turn.
type internalAddress struct {
	net.Listener
	mu      sync.Mutex
	process *passedListener // guarded by mu
}

func newInternalAddress(t *testing.T) *internalAddress {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	a := &internalAddress{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			process := a.process
			a.mu.Unlock()
			select {
			case process.conns <- c:
			case <-process.closed:
				_ = c.Close()
			}
		}
	}()
	return a
}

// relayHost is an entry host that records what is relayed to it.
type relayHost struct {
	schema.UnimplementedRelayServiceServer
	service *RelayService
	earlier bool // it is of a version that does not name itself
	mu      sync.Mutex
	bodies  []string // guarded by mu
	probes  int      // guarded by mu
}

// Relay records a request, and serves it.
func (h *relayHost) Relay(m *schema.RelayRequest, stream grpc.ServerStreamingServer[schema.RelayReply]) error {
	h.mu.Lock()
	if m.Id == "" {
		h.probes++
	} else {
		h.bodies = append(h.bodies, string(m.Body))
	}
	h.mu.Unlock()
	if h.earlier && m.Id == "" {
		return stream.Send(&schema.RelayReply{Number: 1})
	}
	return h.service.Relay(m, stream)
}

// received is what an entry host received.
type received struct {
	Bodies, Probes int
}

func (h *relayHost) received() received {
	h.mu.Lock()
	defer h.mu.Unlock()
	return received{len(h.bodies), h.probes}
}

// relaySystem returns a system of a region with an upstream that answers each request with the region's name.
// Requests to /bound/ may be served in region b, those to /safe/ in any.
func relaySystem(t *testing.T, host, region string) *system {
	t.Helper()
	s := newSystem(t, []scriptStep{text(200, region)})
	s.Host, s.Region = host, region
	bound := &schema.Route{
		Name: "bound", Host: "h", Prefix: "/bound/", Kind: schema.RouteKind_ROUTE_SAFE, Timeout: 3, Objective: 1, Attempts: 1,
		Targets: []*schema.Target{{Pool: "p", Weight: 1}}, Open: true, Regions: []string{"b"},
	}
	items := append(routes(), &schema.Item{Path: "route/h/bound/", Value: &schema.Item_Route{Route: bound}})
	s.Configure(configurer.FromMessage(&schema.Snapshot{Version: 1, Items: items}))
	return s
}

// start makes an entry host the process that has an address, and returns it and a function that ends it.
func (a *internalAddress) start(t *testing.T, host, region string) (*relayHost, func()) {
	t.Helper()
	s, err := dialer.NewServer("secret", nil, func(string) bool { return false }, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	h := &relayHost{service: &RelayService{Forwarder: relaySystem(t, host, region).Forwarder}}
	schema.RegisterRelayServiceServer(s, h)
	l := &passedListener{Listener: a, conns: make(chan net.Conn), closed: make(chan struct{})}
	a.mu.Lock()
	a.process = l
	a.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return h, s.Stop
}

// caller returns a system of region a without upstreams, whose table lists hosts of region b at the addresses.
// Its log is written to log.
func caller(t *testing.T, log *strings.Builder, addresses ...*internalAddress) *system {
	t.Helper()
	s := relaySystem(t, "a1", "a")
	s.Scheduler.UpdateUpstreams(nil)
	var hosts []*schema.Peer
	for i, a := range addresses {
		hosts = append(hosts, &schema.Peer{Name: []string{"b1", "b2"}[i], Region: "b", Internal: a.Addr().String(), Ready: true})
	}
	s.EntryHosts = func(region string) []*schema.Peer {
		return slices.DeleteFunc(slices.Clone(hosts), func(p *schema.Peer) bool { return p.Region != region })
	}
	s.SetRegionDigests([]*schema.RegionDigest{{Region: "b", Routes: []*schema.ModelDigest{{Name: "p", Slots: 4}}}})
	s.Dialer = &dialer.Dialer{Secret: "secret", Timer: &timer.Service{}, Log: zerolog.New(log)}
	t.Cleanup(s.Dialer.Close)
	return s
}

var (
	servedInB  = result{Status: 200, Body: "b", Finished: true}
	notRelayed = result{Status: 503, Cause: causeRelay}
)

// TestRelayToAddressOfOtherRegion guards against a body that leaves the home regions of its request: a process
// of another region has the address at which the table lists an entry host.
func TestRelayToAddressOfOtherRegion(t *testing.T) {
	a := newInternalAddress(t)
	other, _ := a.start(t, "c1", "c")
	s := caller(t, &strings.Builder{}, a)
	for range 3 {
		if diff := cmp.Diff(notRelayed, s.call("/bound/x", "")); diff != "" {
			t.Errorf("-want +got\n%s", diff)
		}
	}
	if diff := cmp.Diff(received{Probes: 1}, other.received()); diff != "" {
		t.Errorf("the host of region c received: -want +got\n%s", diff)
	}
}

// TestRelayAfterReconnecting guards against a body that leaves the home regions of its request after the
// address of a host that has named itself went to a process of another region, to which the connection is
// established again by itself.
func TestRelayAfterReconnecting(t *testing.T) {
	a := newInternalAddress(t)
	first, end := a.start(t, "b1", "b")
	s := caller(t, &strings.Builder{}, a)
	for range 3 {
		if diff := cmp.Diff(servedInB, s.call("/bound/x", "")); diff != "" {
			t.Fatalf("the host of region b: -want +got\n%s", diff)
		}
	}
	if diff := cmp.Diff(received{Bodies: 3, Probes: 1}, first.received()); diff != "" {
		t.Errorf("the host of region b received: -want +got\n%s", diff)
	}
	other, endOther := a.start(t, "c1", "c")
	end()
	for other.received().Probes == 0 {
		if got := s.call("/bound/x", ""); got.Cause != causeRelay {
			t.Fatalf("while the connection is established again: %+v", got)
		}
	}
	for range 3 {
		if diff := cmp.Diff(notRelayed, s.call("/bound/x", "")); diff != "" {
			t.Errorf("the host of region c: -want +got\n%s", diff)
		}
	}
	if n := other.received().Bodies; n > 0 {
		t.Errorf("the host of region c received %d bodies", n)
	}
	_, _ = a.start(t, "b1", "b")
	endOther()
	for got := (result{}); got != servedInB; got = s.call("/bound/x", "") {
		if got.Status != 0 && got.Cause != causeRelay {
			t.Fatalf("while the host of region b comes back: %+v", got)
		}
	}
}

// TestRelayToAnotherHostOfRegion guards against a refusal of requests that may run in a region because a
// process of another region has the address of one of its hosts, and against a log that does not say so.
func TestRelayToAnotherHostOfRegion(t *testing.T) {
	wrong, right := newInternalAddress(t), newInternalAddress(t)
	other, _ := wrong.start(t, "c1", "c")
	_, _ = right.start(t, "b2", "b")
	var log strings.Builder
	s := caller(t, &log, wrong, right)
	for other.received().Probes == 0 {
		if diff := cmp.Diff(servedInB, s.call("/bound/x", "")); diff != "" {
			t.Fatalf("-want +got\n%s", diff)
		}
	}
	for range 20 {
		if diff := cmp.Diff(servedInB, s.call("/bound/x", "")); diff != "" {
			t.Errorf("-want +got\n%s", diff)
		}
	}
	if diff := cmp.Diff(received{Probes: 1}, other.received()); diff != "" {
		t.Errorf("the host of region c received: -want +got\n%s", diff)
	}
	want := `{"level":"warn","address":"` + wrong.Addr().String() + `","expected":"b1 of region b",` +
		`"actual":"c1 of region c","message":"address reaches another host"}` + "\n"
	if diff := cmp.Diff(want, log.String()); diff != "" {
		t.Errorf("log: -want +got\n%s", diff)
	}
}

// TestRelayToEarlierVersion guards against a body that is sent to a process that does not name itself although
// its request is bound to regions, and against refusing other requests while hosts are upgraded one at a time.
func TestRelayToEarlierVersion(t *testing.T) {
	a := newInternalAddress(t)
	h, _ := a.start(t, "b1", "b")
	h.earlier = true
	s := caller(t, &strings.Builder{}, a)
	for range 3 {
		if diff := cmp.Diff(notRelayed, s.call("/bound/x", "")); diff != "" {
			t.Errorf("bound: -want +got\n%s", diff)
		}
		if diff := cmp.Diff(servedInB, s.call("/safe/x", "")); diff != "" {
			t.Errorf("not bound: -want +got\n%s", diff)
		}
	}
	if diff := cmp.Diff(received{Bodies: 3, Probes: 1}, h.received()); diff != "" {
		t.Errorf("received: -want +got\n%s", diff)
	}
}

// TestRelayFromEarlierClient guards against refusing the relays of hosts that do not ask for names, as those of
// the version before, while hosts are upgraded one at a time: a request without homes is relayed as they do it.
func TestRelayFromEarlierClient(t *testing.T) {
	a := newInternalAddress(t)
	h, _ := a.start(t, "b1", "b")
	s := caller(t, &strings.Builder{}, a)
	conn, err := s.Dialer.Conn(a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	sink, r := &recorderSink{}, &Request{}
	stream, err := schema.NewRelayServiceClient(conn).Relay(t.Context(), &schema.RelayRequest{
		Id: "1", Route: "h", Method: "POST", Path: "/bound/x", Body: []byte("body"), Pool: "p", Left: 2, Objective: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.forwardReplies(r, sink, stream, "b"); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(servedInB, sink.result); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
	if diff := cmp.Diff(received{Bodies: 1}, h.received()); diff != "" {
		t.Errorf("received: -want +got\n%s", diff)
	}
}

// unsentStream is the receiver's end of a relay that grpc did not send again on a new connection.
type unsentStream struct{ replyStream }

func (s *unsentStream) Recv() (*schema.RelayReply, error) { return nil, dialer.ErrUnknownPeer }

// TestUnsentRelayDidNotRun guards against counting a request as one that may have run that the peer did not
// process and that was not sent again, as the connection to which it would have been sent is not verified.
func TestUnsentRelayDidNotRun(t *testing.T) {
	f, r := &Forwarder{Timer: &timer.Service{}}, &Request{}
	err := f.forwardReplies(r, &recorderSink{}, &unsentStream{}, "x")
	if !errors.Is(err, errRelayFailed) || r.mayHaveRun {
		t.Errorf("got %v, mayHaveRun %v", err, r.mayHaveRun)
	}
}
