package controller

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const leaderRole = replicator.Leader

// maxTransitTime is the longest time that a message between control hosts takes while no link and no host
// is disturbed: the way to another region and the processing at both ends.
const maxTransitTime = 300 * time.Millisecond

// ClusterService implements the gRPC service of a Cluster, whose controller must run.
type ClusterService struct {
	schema.UnimplementedClusterServiceServer
	Cluster *Cluster
}

// Knock receives a control host's request to join, which only the leader records. The reply
// names the members and the leader in any case.
func (s *ClusterService) Knock(_ context.Context, r *schema.KnockRequest) (*schema.KnockReply, error) {
	k := s.Cluster
	if r.Member == nil || r.Member.Id == 0 || r.Member.Address == "" {
		return nil, status.Error(codes.InvalidArgument, "a member needs an identity and an address")
	}
	now := k.c.Timer.Now()
	v := k.c.view.Load()
	if v.holdsLease(now) {
		k.mu.Lock()
		k.candidates[r.Member.Id] = candidate{member: r.Member, firstStart: r.First, requestedAt: now}
		k.mu.Unlock()
	}
	return &schema.KnockReply{
		Leader: v.holdsLease(now), Member: v.member(r.Member.Id) != nil, Members: v.members.Members, Address: v.leaderAddress(),
	}, nil
}

// Consult stores the reports that another control host received, and replies with what changed
// in this host's table and with the sender's allotment. The reply is empty if this host does not
// lead.
func (s *ClusterService) Consult(_ context.Context, r *schema.ConsultRequest) (*schema.ConsultReply, error) {
	k := s.Cluster
	v := k.c.view.Load()
	now := k.c.Timer.Now()
	if !v.holdsLease(now) {
		return &schema.ConsultReply{}, nil
	}
	k.contacts.record(r.Address, now)
	reply := &schema.ConsultReply{Leader: true, Steady: k.contacts.steady(now), Commit: v.commitIndex, Controls: v.memberAddresses()}
	for _, a := range r.Upstreams {
		cataloger.AddDelay(a, maxTransitTime)
		k.Table.StoreUpstream(a, false)
	}
	for _, p := range r.Peers {
		k.Table.StoreHost(p, r.Address)
	}
	for _, l := range r.Limits {
		k.Table.StoreLimit(l, false)
	}
	for _, b := range r.Brittleness {
		k.Table.StoreBrittleness(b, false)
	}
	k.storeLeavers(r.Leavers, r.Address)
	k.storeBreakages(r.Breakages, r.Address)
	k.Table.StoreLoads(r.Address, r.Loads)
	if r.Lender != nil {
		reply.Allotment = k.allot(r.Lender)
	}
	changes := k.Table.ChangesSince(r.Cursor, r.Process, "")
	reply.Upstreams, reply.Peers = changes.Upstreams, changes.Hosts
	reply.Cursor, reply.Process = changes.Cursor, changes.Process
	reply.Observed = k.Table.Observed(true).Seconds()
	consultLoads(k.Table, r, reply)
	reply.Findings = k.storeFindings(r.Findings, r.Address)
	return reply, nil
}

// Read returns the newest document if no other host can lead.
func (s *ClusterService) Read(ctx context.Context, _ *schema.ReadRequest) (*schema.ReadReply, error) {
	v := s.Cluster.c.view.Load()
	if !v.holdsLease(s.Cluster.c.Timer.Now()) {
		return &schema.ReadReply{}, nil
	}
	reply := &schema.ReadReply{Leader: true, Number: v.document.GetNumber(), Source: v.document.GetSource()}
	dialer.CompressReply(ctx, proto.Size(reply))
	return reply, nil
}

// Borrow lends tokens of a customer to an entry host.
func (s *ClusterService) Borrow(ctx context.Context, r *schema.BorrowRequest) (*schema.BorrowReply, error) {
	if !s.Cluster.knowsLimits(r.Customer) {
		return &schema.BorrowReply{}, nil
	}
	tokens, retry, err := s.Cluster.lender.Lend(ctx, r.Customer, r.Need, r.Wish)
	var starting *allocator.StartingError
	if errors.As(err, &starting) {
		return &schema.BorrowReply{Leader: true, Retry: starting.RetryAfter.Seconds(), Starting: true}, nil
	}
	if err != nil {
		s.Cluster.c.Log.Warn().Err(err).Str("customer", r.Customer).Float64("need", r.Need).Msg("no tokens from the leader")
		return &schema.BorrowReply{}, nil
	}
	return &schema.BorrowReply{Leader: true, Tokens: tokens, Retry: retry.Seconds()}, nil
}

// Draw lends tokens from the reserve of a customer's limits to another control host.
func (s *ClusterService) Draw(_ context.Context, r *schema.BorrowRequest) (*schema.BorrowReply, error) {
	k := s.Cluster
	if !k.c.view.Load().holdsLease(k.c.Timer.Now()) || !k.knowsLimits(r.Customer) {
		return &schema.BorrowReply{}, nil
	}
	tokens, retry, err := k.Allocator.LendOrLearn(r.Customer, r.Need, r.Wish)
	var starting *allocator.StartingError
	if errors.As(err, &starting) {
		return &schema.BorrowReply{Leader: true, Retry: starting.RetryAfter.Seconds(), Starting: true}, nil
	}
	return &schema.BorrowReply{Leader: true, Tokens: tokens, Retry: retry.Seconds()}, nil
}

// Refresh stores an entry host's report and replies with what changed for it. The reply's Age is
// the time since the configuration here was last confirmed as the newest, in nanoseconds; -1:
// never.
func (s *ClusterService) Refresh(ctx context.Context, r *schema.RefreshRequest) (*schema.RefreshReply, error) {
	k := s.Cluster
	if r.Self == nil || r.Self.Name == "" {
		return nil, status.Error(codes.InvalidArgument, "a host needs a name")
	}
	shares := k.grantShares(r.Self)
	if k.Table.StoreHost(r.Self, "") {
		k.c.Log.Info().Str("peer", r.Self.Name).Uint64("incarnation", r.Self.Incarnation).Uint64("number", r.Self.Number).
			Bool("ready", r.Self.Ready).Bool("isolated", r.Self.Isolated).Msg("entry host changed")
		k.requestConsult()
	}
	k.storeLimits(r)
	k.storeBrittleness(r)
	k.storeLeavers(r.Leavers, r.Self.Name)
	k.storeBreakages(r.Breakages, r.Self.Name)
	reply := &schema.RefreshReply{Age: -1, Standing: shares}
	if confirmedAt := k.lastConfirmedAt(); confirmedAt > 0 {
		reply.Age = int64(k.c.Timer.Now() - confirmedAt)
	}
	changes := k.Table.ChangesSince(r.Cursor, r.Process, r.Self.Region)
	reply.Upstreams, reply.Peers = changes.Upstreams, changes.Hosts
	reply.Cursor, reply.Process, reply.Whole = changes.Cursor, changes.Process, changes.Complete
	reply.Observed = k.Table.Observed(k.c.view.Load().holdsLease(k.c.Timer.Now())).Seconds()
	reply.Controls = k.c.view.Load().nearestAddresses(r.Self)
	reply.Leader = k.c.view.Load().leaderAddress()
	k.fillLoads(r.Self, reply)
	reply.Findings = k.storeFindings(r.Findings, r.Self.Name)
	if err := k.fillUpdate(r, reply); err != nil {
		return nil, err
	}
	if len(reply.Packed) > 0 || reply.Snapshot != nil || len(reply.Deltas) > 0 {
		dialer.CompressReply(ctx, proto.Size(reply)-len(reply.Packed))
	}
	return reply, nil
}

// fillUpdate adds what brings the sender's configuration up to date.
func (k *Cluster) fillUpdate(r *schema.RefreshRequest, reply *schema.RefreshReply) error {
	if !r.Packs {
		reply.Snapshot, reply.Deltas = k.c.Distributor.UpdateFor(r.Version, r.Hash)
		return nil
	}
	packed, plain, err := k.c.Distributor.PackedUpdateFor(r.Version, r.Hash)
	if err != nil {
		k.c.Log.Error().Err(err).Str("peer", r.Self.Name).Uint64("version", r.Version).Msg("update could not be packed")
		return status.Error(codes.Internal, err.Error())
	}
	reply.Packed, reply.Snapshot, reply.Deltas = packed, plain.GetSnapshot(), plain.GetDeltas()
	return nil
}

// storeLeavers stores that upstreams said in answers to entry hosts that they are leaving.
func (k *Cluster) storeLeavers(all []*schema.Leaver, from string) {
	for _, l := range all {
		if k.Table.StoreLeaver(l) {
			k.c.Log.Info().Str("upstream", l.Upstream).Uint64("incarnation", l.Incarnation).Float64("age", l.Age).Str("from", from).
				Msg("upstream said that it is leaving")
			k.requestConsult()
		}
	}
}

// storeBreakages stores that connections of entry hosts to upstreams broke.
func (k *Cluster) storeBreakages(all []*schema.Breakage, from string) {
	for _, b := range all {
		if k.Table.StoreBreakage(b) {
			k.c.Log.Info().Str("upstream", b.Upstream).Uint64("incarnation", b.Incarnation).Float64("age", b.Age).Str("from", from).
				Msg("connections to the upstream broke")
			k.requestConsult()
		}
	}
}

// storeLimits stores the limits that upstreams named to an entry host.
func (k *Cluster) storeLimits(r *schema.RefreshRequest) {
	for _, l := range r.Limits {
		if k.Table.StoreLimit(l, true) {
			k.c.Log.Info().Str("upstream", l.Upstream).Uint64("incarnation", l.Incarnation).Float64("rate", l.Rate).Bool("ended", l.Ended).
				Float64("age", l.Age).Str("from", r.Self.Name).Msg("limit of the upstream learned")
			k.requestConsult()
		}
	}
}

// storeBrittleness stores what upstreams said in answers to an entry host of being brittle.
func (k *Cluster) storeBrittleness(r *schema.RefreshRequest) {
	for _, b := range r.Brittleness {
		if k.Table.StoreBrittleness(b, true) {
			k.c.Log.Info().Str("upstream", b.Upstream).Uint64("incarnation", b.Incarnation).Float64("rejections", b.Rejections).Bool("ended", b.Ended).
				Float64("age", b.Age).Float64("room", b.Room).Str("from", r.Self.Name).Msg("brittleness of the upstream learned")
			k.requestConsult()
		}
	}
}
