package server

import (
	"context"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// freeMethods are the calls that an operator's token opens instead of the secret.
func freeMethods(method string) bool {
	return method == schema.EntryService_Withdraw_FullMethodName || method == schema.EntryService_Burn_FullMethodName
}

// Service is the gRPC face of a Server for the other processes.
type Service struct {
	schema.UnimplementedEntryServiceServer
	Server *Server
}

// Watch feeds a host of the same failure domain with the configuration.
func (x *Service) Watch(r *schema.WatchRequest, stream grpc.ServerStreamingServer[schema.WatchReply]) error {
	return x.Server.distributor.Serve(stream.Context(), r, stream.Send)
}

// Report takes the versions in force at hosts that follow this one.
func (x *Service) Report(_ context.Context, r *schema.Acknowledgements) (*schema.Empty, error) {
	x.Server.reports.take(r.Hosts)
	return &schema.Empty{}, nil
}

// Donate takes a host's shares on lease.
func (x *Service) Donate(_ context.Context, r *schema.DonateRequest) (*schema.DonateReply, error) {
	return x.Server.limiter.Lender.Donate(r), nil
}

// Grant gives a host tokens of a customer.
func (x *Service) Grant(_ context.Context, r *schema.GrantRequest) (*schema.GrantReply, error) {
	return x.Server.limiter.Lender.Grant(r), nil
}

// Announce takes an upstream's announcement that another host has received.
func (x *Service) Announce(_ context.Context, a *schema.Announcement) (*schema.Empty, error) {
	if a.Region == x.Server.Settings.Region {
		x.Server.registrar.Take(a)
	}
	return &schema.Empty{}, nil
}

// Digest sums up this region's upstreams.
func (x *Service) Digest(context.Context, *schema.DigestRequest) (*schema.RegionDigest, error) {
	return x.Server.digest(), nil
}

// Forward runs a request that a host of another region has accepted. It is never sent on.
func (x *Service) Forward(r *schema.ForwardRequest, stream grpc.ServerStreamingServer[schema.ForwardReply]) error {
	s := x.Server
	s.inflight.Add(1)
	defer s.inflight.Add(-1)
	customer := s.snapshot().Customer(r.Customer)
	if customer == nil {
		return status.Error(codes.NotFound, "customer is unknown here")
	}
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(r.Left*float64(time.Second)))
	defer cancel()
	if !strings.HasPrefix(r.Path, "/v1/") {
		return s.serveForwardedPlain(ctx, r, customer, stream)
	}
	c, err := parseCompletion(r.Path, r.Body)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	c.customer, c.forwarded, c.begun = r.Customer, true, s.Timer.Now()
	for _, h := range r.Headers {
		if h.Name == "X-Request-Id" {
			c.id = h.Value
		}
	}
	out := &forwardSink{stream: stream, c: c}
	if err := s.checkHome(customer.Home); err != nil {
		return out.fail(err)
	}
	if err := s.runHere(ctx, c, customer.Weight, out); err != nil {
		return out.fail(err)
	}
	return nil
}
