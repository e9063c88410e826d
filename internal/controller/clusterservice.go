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

// ClusterService is the gRPC face of a Cluster.
type ClusterService struct {
	schema.UnimplementedClusterServiceServer
	Cluster *Cluster
}

// Knock takes a control host's wish to be a member.
func (s *ClusterService) Knock(_ context.Context, r *schema.KnockRequest) (*schema.KnockReply, error) {
	k := s.Cluster
	if r.Member == nil || r.Member.Id == 0 || r.Member.Address == "" {
		return nil, status.Error(codes.InvalidArgument, "a member needs an identity and an address")
	}
	now := k.c.Timer.Now()
	v := k.c.view.Load()
	if v.leads(now) {
		k.mu.Lock()
		k.candidates[r.Member.Id] = candidate{member: r.Member, first: r.First, asked: now}
		k.mu.Unlock()
	}
	return &schema.KnockReply{
		Leader: v.leads(now), Member: v.member(r.Member.Id) != nil, Members: v.members.Members, Address: v.address(),
	}, nil
}

// Consult takes what another control host heard, and tells it what this one knows.
func (s *ClusterService) Consult(_ context.Context, r *schema.ConsultRequest) (*schema.ConsultReply, error) {
	k := s.Cluster
	v := k.c.view.Load()
	if !v.leads(k.c.Timer.Now()) {
		return &schema.ConsultReply{}, nil
	}
	reply := &schema.ConsultReply{Leader: true, Commit: v.commit, Controls: v.addresses()}
	for _, a := range r.Upstreams {
		k.Table.TakeUpstream(a, false)
	}
	for _, p := range r.Peers {
		k.Table.TakePeer(p, r.Address)
		if a := k.Allocator.Divide(p); a != nil {
			reply.Allotments = append(reply.Allotments, a)
		}
	}
	changes := k.Table.Since(r.Cursor, r.Process, "")
	reply.Upstreams, reply.Peers = changes.Upstreams, changes.Peers
	reply.Cursor, reply.Process = changes.Cursor, changes.Process
	reply.Loads = k.Table.Loads(r.Region, "", r.Address)
	reply.Digests = k.Table.Digests(r.Region)
	return reply, nil
}

// Read returns the newest document if this host surely leads.
func (s *ClusterService) Read(context.Context, *schema.ReadRequest) (*schema.ReadReply, error) {
	v := s.Cluster.c.view.Load()
	if !v.leads(s.Cluster.c.Timer.Now()) {
		return &schema.ReadReply{}, nil
	}
	return &schema.ReadReply{Leader: true, Number: v.document.GetNumber(), Source: v.document.GetSource()}, nil
}

// Borrow lends tokens of a customer's reserve.
func (s *ClusterService) Borrow(_ context.Context, r *schema.BorrowRequest) (*schema.BorrowReply, error) {
	k := s.Cluster
	if !k.c.view.Load().leads(k.c.Timer.Now()) {
		return &schema.BorrowReply{}, nil
	}
	tokens, retry := k.Allocator.Borrow(r.Customer, r.Need, r.Wish)
	return &schema.BorrowReply{Leader: true, Tokens: tokens, Retry: retry.Seconds()}, nil
}

// Refresh takes an entry host's report and gives it what changed.
func (s *ClusterService) Refresh(_ context.Context, r *schema.RefreshRequest) (*schema.RefreshReply, error) {
	k := s.Cluster
	if r.Self == nil || r.Self.Name == "" {
		return nil, status.Error(codes.InvalidArgument, "a host needs a name")
	}
	if k.Table.TakePeer(r.Self, "") {
		k.c.Log.Info().Str("peer", r.Self.Name).Uint64("incarnation", r.Self.Incarnation).Uint64("number", r.Self.Number).
			Bool("ready", r.Self.Ready).Msg("host changed")
		k.wake()
	}
	reply := &schema.RefreshReply{Age: -1}
	if certain := k.certainty(); certain > 0 {
		reply.Age = int64(k.c.Timer.Now() - certain)
	}
	reply.Snapshot, reply.Deltas = k.c.Distributor.Lacking(r.Version, r.Hash)
	changes := k.Table.Since(r.Cursor, r.Process, r.Self.Region)
	reply.Upstreams, reply.Peers = changes.Upstreams, changes.Peers
	reply.Cursor, reply.Process, reply.Whole = changes.Cursor, changes.Process, changes.Whole
	reply.Controls = k.c.view.Load().nearest(r.Self)
	reply.Leader = k.c.view.Load().address()
	k.fillShares(r.Self, reply)
	return reply, nil
}

// fillShares adds the host's parts and what other hosts have under way.
func (k *Cluster) fillShares(self *schema.Peer, reply *schema.RefreshReply) {
	now := k.c.Timer.Now()
	if k.c.view.Load().leads(now) {
		reply.Allotment = k.Allocator.Divide(self)
		reply.Loads = k.Table.Loads(self.Region, self.Name, "-")
		reply.Digests = k.Table.Digests(self.Region)
		return
	}
	k.mu.Lock()
	a, told, toldAt := k.allotments[self.Name], k.told, k.toldAt
	k.mu.Unlock()
	reply.Loads = k.Table.OwnLoads(self.Region, self.Name)
	if told != nil && now-toldAt < liveTime {
		reply.Loads = cataloger.Merge(reply.Loads, told.Loads)
		reply.Digests = told.Digests
	}
	if a.given != nil && a.given.Incarnation == self.Incarnation {
		reply.Allotment = remaining(a, now)
	}
}

// remaining returns an allotment with what is left of its lease, counted from before the
// leader gave it; nil if it has ended.
func remaining(a allotment, now time.Duration) *schema.Allotment {
	left := time.Duration(a.given.Lease) - (now - a.asked)
	if left <= 0 {
		return nil
	}
	return &schema.Allotment{
		Host: a.given.Host, Incarnation: a.given.Incarnation, Number: a.given.Number,
		Lease: int64(left), Shares: a.given.Shares, Hosts: a.given.Hosts,
	}
}
