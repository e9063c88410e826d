package controller

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const leaderRole = replicator.Leader

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
// in this host's table and with the allotments of the reporting entry hosts. The reply is
// empty if this host does not lead.
func (s *ClusterService) Consult(_ context.Context, r *schema.ConsultRequest) (*schema.ConsultReply, error) {
	k := s.Cluster
	v := k.c.view.Load()
	if !v.holdsLease(k.c.Timer.Now()) {
		return &schema.ConsultReply{}, nil
	}
	reply := &schema.ConsultReply{Leader: true, Commit: v.commitIndex, Controls: v.memberAddresses()}
	for _, a := range r.Upstreams {
		k.Table.StoreUpstream(a, false)
	}
	for _, p := range r.Peers {
		k.Table.StoreHost(p, r.Address)
		if a := k.Allocator.Allot(p); a != nil {
			reply.Allotments = append(reply.Allotments, a)
		}
	}
	changes := k.Table.ChangesSince(r.Cursor, r.Process, "")
	reply.Upstreams, reply.Peers = changes.Upstreams, changes.Hosts
	reply.Cursor, reply.Process = changes.Cursor, changes.Process
	reply.Loads = k.Table.Loads(r.Region, "", r.Address)
	reply.Digests = k.Table.Digests(r.Region)
	return reply, nil
}

// Read returns the newest document if no other host can lead.
func (s *ClusterService) Read(context.Context, *schema.ReadRequest) (*schema.ReadReply, error) {
	v := s.Cluster.c.view.Load()
	if !v.holdsLease(s.Cluster.c.Timer.Now()) {
		return &schema.ReadReply{}, nil
	}
	return &schema.ReadReply{Leader: true, Number: v.document.GetNumber(), Source: v.document.GetSource()}, nil
}

// Borrow lends tokens from the reserve of a customer's limit.
func (s *ClusterService) Borrow(_ context.Context, r *schema.BorrowRequest) (*schema.BorrowReply, error) {
	k := s.Cluster
	if !k.c.view.Load().holdsLease(k.c.Timer.Now()) {
		return &schema.BorrowReply{}, nil
	}
	tokens, retry := k.Allocator.Lend(r.Customer, r.Need, r.Wish)
	return &schema.BorrowReply{Leader: true, Tokens: tokens, Retry: retry.Seconds()}, nil
}

// Refresh stores an entry host's report and replies with what changed for it. The reply's Age is
// the time since the configuration here was last confirmed as the newest, in nanoseconds; -1:
// never.
func (s *ClusterService) Refresh(_ context.Context, r *schema.RefreshRequest) (*schema.RefreshReply, error) {
	k := s.Cluster
	if r.Self == nil || r.Self.Name == "" {
		return nil, status.Error(codes.InvalidArgument, "a host needs a name")
	}
	if k.Table.StoreHost(r.Self, "") {
		k.c.Log.Info().Str("peer", r.Self.Name).Uint64("incarnation", r.Self.Incarnation).Uint64("number", r.Self.Number).
			Bool("ready", r.Self.Ready).Msg("entry host changed")
		k.requestConsult()
	}
	reply := &schema.RefreshReply{Age: -1}
	if confirmedAt := k.lastConfirmedAt(); confirmedAt > 0 {
		reply.Age = int64(k.c.Timer.Now() - confirmedAt)
	}
	reply.Snapshot, reply.Deltas = k.c.Distributor.UpdateFor(r.Version, r.Hash)
	changes := k.Table.ChangesSince(r.Cursor, r.Process, r.Self.Region)
	reply.Upstreams, reply.Peers = changes.Upstreams, changes.Hosts
	reply.Cursor, reply.Process, reply.Whole = changes.Cursor, changes.Process, changes.Complete
	reply.Controls = k.c.view.Load().nearestAddresses(r.Self)
	reply.Leader = k.c.view.Load().leaderAddress()
	k.fillAllotment(r.Self, reply)
	return reply, nil
}

// fillAllotment adds the host's allotment and the load that other hosts put on upstreams.
func (k *Cluster) fillAllotment(self *schema.Peer, reply *schema.RefreshReply) {
	now := k.c.Timer.Now()
	if k.c.view.Load().holdsLease(now) {
		reply.Allotment = k.Allocator.Allot(self)
		reply.Loads = k.Table.Loads(self.Region, self.Name, "-")
		reply.Digests = k.Table.Digests(self.Region)
		return
	}
	k.mu.Lock()
	received, lastReply, lastReplyRequestedAt := k.allotments[self.Name], k.lastReply, k.lastReplyRequestedAt
	k.mu.Unlock()
	reply.Loads = k.Table.DirectLoads(self.Region, self.Name)
	if lastReply != nil && now-lastReplyRequestedAt < maxReplyAge {
		reply.Loads = cataloger.MergeLoads(reply.Loads, lastReply.Loads)
		reply.Digests = lastReply.Digests
	}
	if received.allotment != nil && received.allotment.Incarnation == self.Incarnation {
		reply.Allotment = remainingAllotment(received, now)
	}
}

// remainingAllotment returns an allotment with the remaining time of its lease; nil if it has
// expired. The lease is counted from the request for it, which precedes the leader's grant.
func remainingAllotment(received receivedAllotment, now time.Duration) *schema.Allotment {
	leaseLeft := time.Duration(received.allotment.Lease) - (now - received.requestedAt)
	if leaseLeft <= 0 {
		return nil
	}
	return &schema.Allotment{
		Host: received.allotment.Host, Incarnation: received.allotment.Incarnation, Number: received.allotment.Number,
		Lease: int64(leaseLeft), Shares: received.allotment.Shares, Hosts: received.allotment.Hosts,
	}
}
