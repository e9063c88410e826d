package dialer

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// namingServer names itself in each relay; the zero Peer does not.
type namingServer struct {
	schema.UnimplementedRelayServiceServer
	Peer
}

func (s namingServer) Relay(_ *schema.RelayRequest, stream grpc.ServerStreamingServer[schema.RelayReply]) error {
	if s.Peer != (Peer{}) {
		if err := SendPeer(stream, s.Peer); err != nil {
			return err
		}
	}
	return stream.Send(&schema.RelayReply{})
}

// TestExpect guards against calls that are sent to another host than the expected one, and against refusing the
// expected one, with mutual TLS and without: a peer counts only after it has named itself, and names need not be
// ASCII.
func TestExpect(t *testing.T) {
	want := Peer{Host: "hôte", Region: "région"}
	expect := Check(func(ctx context.Context) error { return CheckPeer(ctx, want) })
	for _, c := range []struct {
		name string
		peer Peer
		err  error
	}{
		{"the host", want, nil},
		{"another region", Peer{want.Host, "other"}, ErrWrongPeer},
		{"another host", Peer{"other", want.Region}, ErrWrongPeer},
		{"an earlier version", Peer{}, ErrWrongPeer},
	} {
		for _, files := range []*schema.Tls{nil, writeCertificate(t, t.TempDir())} {
			s, err := NewServer("secret", files, func(string) bool { return false }, zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			schema.RegisterRelayServiceServer(s, namingServer{Peer: c.peer})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = s.Serve(l) }()
			d := &Dialer{Secret: "secret", MutualTLS: files, Timer: &timer.Service{}}
			conn, err := d.Conn(l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			call := func(opts ...grpc.CallOption) error {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				stream, err := schema.NewRelayServiceClient(conn).Relay(ctx, &schema.RelayRequest{}, opts...)
				if err != nil {
					return err
				}
				if _, err := stream.Recv(); err != nil {
					return err
				}
				if len(opts) == 0 {
					if err := LearnPeer(stream); err != nil {
						return err
					}
				}
				if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
					return err
				}
				return nil
			}
			if err := call(expect); !errors.Is(err, ErrUnknownPeer) || status.Code(err) != codes.Unavailable {
				t.Errorf("%s, TLS %v: before it named itself: %v", c.name, files != nil, err)
			}
			if err := call(); err != nil {
				t.Errorf("%s, TLS %v: without an expectation: %v", c.name, files != nil, err)
			}
			for range 2 {
				if err := call(expect); !errors.Is(err, c.err) || c.err != nil && status.Code(err) != codes.Unavailable {
					t.Errorf("%s, TLS %v: got %v, want %v", c.name, files != nil, err, c.err)
				}
			}
			d.mu.Lock()
			for _, u := range d.uses {
				if u.calls != 0 {
					t.Errorf("%s, TLS %v: %d calls count as running", c.name, files != nil, u.calls)
				}
			}
			d.mu.Unlock()
			d.Close()
			s.Stop()
		}
	}
}
