package dialer

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/trefoilloft/trefoilloft/internal/disrupter"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestUnresponsiveConnectionReplaced guards against calls that keep using an unresponsive
// connection. A proxy drops the data of the open connection, in one direction or both, while
// new connections work: the first call exceeds its deadline, and the next one must succeed.
func TestUnresponsiveConnectionReplaced(t *testing.T) {
	s, err := NewServer("secret", nil, func(string) bool { return false }, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	schema.RegisterEntryServiceServer(s, donationServer{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	defer s.Stop()
	proxy := &disrupter.Proxy{TargetAddress: l.Addr().String()}
	address, err := proxy.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	d := &Dialer{Secret: "secret", Timer: &timer.Service{}}
	defer d.Close()
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		c, err := d.EntryClient(address)
		if err != nil {
			return err
		}
		_, err = c.Donate(ctx, &schema.DonateRequest{})
		return err
	}
	for _, direction := range []disrupter.Direction{disrupter.BothDirections, disrupter.ToTarget, disrupter.FromTarget} {
		if err := call(20 * time.Second); err != nil {
			t.Fatal(err)
		}
		if proxy.DropData(direction) == 0 {
			t.Fatal("no connection was open")
		}
		if err := call(200 * time.Millisecond); err == nil {
			t.Fatal("a call on an unresponsive connection succeeded")
		}
		if err := call(20 * time.Second); err != nil {
			t.Errorf("direction %d: call after one that exceeded its deadline: %v", direction, err)
		}
	}
}

// TestWrongSecret guards against calls being accepted from a process without the secret.
func TestWrongSecret(t *testing.T) {
	s, err := NewServer("secret", nil, func(string) bool { return false }, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	schema.RegisterEntryServiceServer(s, donationServer{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	defer s.Stop()
	d := &Dialer{Secret: "guess", Timer: &timer.Service{}}
	defer d.Close()
	c, err := d.EntryClient(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Donate(t.Context(), &schema.DonateRequest{}); err == nil {
		t.Error("a call with a wrong secret was accepted")
	}
}

// panickingServer panics in every call.
type panickingServer struct {
	schema.UnimplementedEntryServiceServer
}

func (panickingServer) Donate(context.Context, *schema.DonateRequest) (*schema.DonateReply, error) {
	panic("broken")
}

func (panickingServer) Forward(*schema.ForwardRequest, grpc.ServerStreamingServer[schema.ForwardReply]) error {
	panic("broken")
}

// TestPanicEndsOneCall guards against a process that ends because the handler of one call panics:
// the call fails with an internal error, and the server goes on.
func TestPanicEndsOneCall(t *testing.T) {
	var log strings.Builder
	s, err := NewServer("secret", nil, func(string) bool { return false }, zerolog.New(&log))
	if err != nil {
		t.Fatal(err)
	}
	schema.RegisterEntryServiceServer(s, panickingServer{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	d := &Dialer{Secret: "secret", Timer: &timer.Service{}}
	defer d.Close()
	c, err := d.EntryClient(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := c.Donate(t.Context(), &schema.DonateRequest{}); status.Code(err) != codes.Internal {
			t.Errorf("unary call: %v", err)
		}
		stream, err := c.Forward(t.Context(), &schema.ForwardRequest{})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Recv(); status.Code(err) != codes.Internal {
			t.Errorf("stream: %v", err)
		}
	}
	s.GracefulStop()
	if got := strings.Count(log.String(), "handler panicked"); got != 4 {
		t.Errorf("%d log lines for 4 panics:\n%s", got, log.String())
	}
}

// hangingServer never answers Donate, and answers Grant.
type hangingServer struct {
	schema.UnimplementedEntryServiceServer
}

func (hangingServer) Donate(ctx context.Context, _ *schema.DonateRequest) (*schema.DonateReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (hangingServer) Grant(context.Context, *schema.GrantRequest) (*schema.GrantReply, error) {
	return &schema.GrantReply{}, nil
}

// openConnListener counts the connections that are open.
type openConnListener struct {
	net.Listener
	open *atomic.Int64
}

func (l openConnListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &openConn{Conn: c, open: l.open}, nil
}

type openConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *openConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// TestReplacedConnectionsAreClosed guards against a server that runs out of descriptors because
// each call that exceeds its deadline leaves a connection open: replaced connections are closed, and
// those of a server that answers other calls are not replaced.
func TestReplacedConnectionsAreClosed(t *testing.T) {
	for _, answersOthers := range []bool{false, true} {
		s, err := NewServer("secret", nil, func(string) bool { return false }, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		schema.RegisterEntryServiceServer(s, hangingServer{})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var open atomic.Int64
		go func() { _ = s.Serve(openConnListener{l, &open}) }()
		d := &Dialer{Secret: "secret", Timer: &timer.Service{}}
		used := map[*grpc.ClientConn]bool{}
		for range 10 {
			conn, err := d.Conn(l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			used[conn] = true
			client := schema.NewEntryServiceClient(conn)
			if _, err := client.Grant(t.Context(), &schema.GrantRequest{}); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			hung := make(chan error, 1)
			go func() {
				_, err := client.Donate(ctx, &schema.DonateRequest{})
				hung <- err
			}()
			for answersOthers && ctx.Err() == nil {
				if _, err := client.Grant(t.Context(), &schema.GrantRequest{}); err != nil {
					t.Fatal(err)
				}
			}
			if err := <-hung; status.Code(err) != codes.DeadlineExceeded {
				t.Errorf("call to a server that hangs: %v", err)
			}
			cancel()
		}
		if answersOthers && len(used) != 1 {
			t.Errorf("%d connections used to a server that answers other calls, want one", len(used))
		}
		if !answersOthers && len(used) < 5 {
			t.Errorf("%d connections used to a server that answers nothing, want a new one for each call", len(used))
		}
		for range 200 {
			if open.Load() <= 1 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if n := open.Load(); n > 1 {
			t.Errorf("answers others %v: %d connections open after 10 calls, want at most 1", answersOthers, n)
		}
		d.Close()
		s.Stop()
	}
}

// TestConnectingIsNotReplaced guards against a connection that is replaced before it can be
// established: calls whose timeout is shorter than that would replace each new one, for ever.
func TestConnectingIsNotReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts no connection: the handshake never ends
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	d := &Dialer{Secret: "secret", Timer: clock}
	defer d.Close()
	call := func() *grpc.ClientConn {
		conn, err := d.Conn(l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		if _, err := schema.NewEntryServiceClient(conn).Donate(ctx, &schema.DonateRequest{}); status.Code(err) != codes.DeadlineExceeded {
			t.Fatalf("call without a connection: %v", err)
		}
		return conn
	}
	first := call()
	for range 3 {
		if call() != first {
			t.Fatal("the connection was replaced while it was being established")
		}
	}
	clock.Advance(minConnectionAge)
	call()
	if call() == first {
		t.Error("a connection that cannot be established is never replaced")
	}
}

// TestOperatorTokenAsField guards against operators whose calls all fail, as gRPC refuses to send their token as a field.
func TestOperatorTokenAsField(t *testing.T) {
	got := map[string]bool{}
	for _, token := range []string{"", "plain-token", "Schlüssel", "with\ttab", strings.Repeat("x", maxOperatorField+1)} {
		got[token] = isFieldValue(token)
	}
	want := map[string]bool{"": false, "plain-token": true, "Schlüssel": false, "with\ttab": false, strings.Repeat("x", maxOperatorField+1): false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("tokens that can be sent as a field: -want +got\n%s", diff)
	}
}
