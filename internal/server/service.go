package server

import (
	"context"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// acceptsOperatorToken reports whether a method may be called with an operator's token instead of
// the shared secret.
func acceptsOperatorToken(method string) bool {
	return method == schema.EntryService_Withdraw_FullMethodName || method == schema.EntryService_Burn_FullMethodName
}

// EntryService is the gRPC service that a Server offers to other processes.
type EntryService struct {
	schema.UnimplementedEntryServiceServer
	Server *Server
}

// Watch streams the configuration to another host of the region, usually of the same failure
// domain.
func (x *EntryService) Watch(r *schema.WatchRequest, stream grpc.ServerStreamingServer[schema.WatchReply]) error {
	return x.Server.distributor.Serve(stream.Context(), r, stream.Send)
}

// Report stores the configuration versions in force at hosts that watch this one.
func (x *EntryService) Report(_ context.Context, r *schema.Acknowledgements) (*schema.Empty, error) {
	x.Server.reports.add(r.Hosts)
	return &schema.Empty{}, nil
}

// Donate accepts shares that another host lends to this one.
func (x *EntryService) Donate(_ context.Context, r *schema.DonateRequest) (*schema.DonateReply, error) {
	return x.Server.limiter.Lender.Donate(r), nil
}

// Grant gives a host tokens of a customer out of the shares lent to this host.
func (x *EntryService) Grant(_ context.Context, r *schema.GrantRequest) (*schema.GrantReply, error) {
	return x.Server.limiter.Lender.Grant(r), nil
}

// Announce stores an upstream's announcement that another host of the region received.
func (x *EntryService) Announce(_ context.Context, a *schema.Announcement) (*schema.Empty, error) {
	if checkAnnouncement(a, x.Server.Settings.Region) == nil {
		x.Server.registrar.Register(a)
	}
	return &schema.Empty{}, nil
}

// Digest returns the slots and the load of this region's upstreams by model.
func (x *EntryService) Digest(context.Context, *schema.DigestRequest) (*schema.RegionDigest, error) {
	return x.Server.buildDigest(), nil
}

// Forward runs a request that a host of another region has accepted. It is never forwarded
// again.
func (x *EntryService) Forward(r *schema.ForwardRequest, stream grpc.ServerStreamingServer[schema.ForwardReply]) error {
	s := x.Server
	s.inflight.Add(1)
	defer s.inflight.Add(-1)
	customer := s.snapshot().Customer(r.Customer)
	if customer == nil {
		return status.Error(codes.NotFound, "customer is unknown here")
	}
	stream = &numberedReplies{ServerStreamingServer: stream}
	ctx, cancel := context.WithTimeout(stream.Context(), timer.Seconds(r.Left))
	defer cancel()
	if !strings.HasPrefix(r.Path, "/v1/") {
		return s.serveForwardedServiceCall(ctx, r, customer, stream)
	}
	c, err := parseCompletion(r.Path, r.Body)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	c.customer, c.forwarded, c.startedAt = r.Customer, true, s.Timer.Now()
	for _, h := range r.Headers {
		if h.Name == "X-Request-Id" {
			c.requestID = h.Value
		}
	}
	out := &forwardAnswerWriter{stream: stream, c: c}
	if err := s.checkHome(customer.Home); err != nil {
		return out.writeError(err)
	}
	if err := s.runLocally(ctx, c, customer.Weight, out); err != nil {
		return out.writeError(err)
	}
	return nil
}
