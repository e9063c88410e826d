package dialer

import (
	"context"
	"net"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/trefoilloft/trefoilloft/internal/accepter"
	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

type proposals struct {
	schema.UnimplementedControlServiceServer
}

func (proposals) Propose(context.Context, *schema.ProposeRequest) (*schema.Result, error) {
	return &schema.Result{}, nil
}

// TestMessagesOfOperators guards against a sheet that an operator cannot apply since its message is larger than what
// connections without the secret may send, and against messages of that size from others.
func TestMessagesOfOperators(t *testing.T) {
	exempt := func(method string) bool { return method == schema.ControlService_Propose_FullMethodName }
	s, err := NewOperatorServer("secret", nil, exempt, func(token string) bool { return token == "operator" }, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	schema.RegisterControlServiceServer(s, proposals{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = s.Serve(&accepter.Listener{Listener: l, Gate: &accepter.Gate{Budget: &bufferer.Budget{}}, Name: "internal", Peers: true})
	}()
	defer s.Stop()
	for _, c := range []struct {
		token string
		size  int
		want  codes.Code
	}{
		{"operator", 1 << 20, codes.OK}, {"operator", 100, codes.OK}, {"other", 100, codes.OK}, {"", 100, codes.OK},
		{"other", 1 << 20, codes.Unavailable}, {"", 1 << 20, codes.Unavailable},
	} {
		d := &Dialer{OperatorToken: c.token, Timer: &timer.Service{}}
		client, err := d.ControlClient(l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, err = client.Propose(t.Context(), &schema.ProposeRequest{Token: string(make([]byte, c.size))})
		if status.Code(err) != c.want {
			t.Errorf("token %q, %d bytes: %v, want %v", c.token, c.size, err, c.want)
		}
		d.Close()
	}
}
