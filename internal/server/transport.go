package server

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// limiterTransport sends the limiter's requests to other hosts.
type limiterTransport struct{ server *Server }

func (t limiterTransport) client(host string) (schema.EntryServiceClient, error) {
	h := t.server.snapshot().Host(host)
	if h == nil {
		return nil, status.Error(codes.NotFound, "host is unknown")
	}
	return t.server.Dialer.EntryClient(h.Internal)
}

// Donate lends shares to a host.
func (t limiterTransport) Donate(ctx context.Context, host string, r *schema.DonateRequest) (*schema.DonateReply, error) {
	c, err := t.client(host)
	if err != nil {
		return nil, err
	}
	return c.Donate(ctx, r)
}

// Grant requests tokens of a customer from a host.
func (t limiterTransport) Grant(ctx context.Context, host string, r *schema.GrantRequest) (*schema.GrantReply, error) {
	c, err := t.client(host)
	if err != nil {
		return nil, err
	}
	return c.Grant(ctx, r)
}
