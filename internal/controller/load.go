package controller

import (
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// consultLoads adds to the leader's reply the load of the regions whose entry hosts report to the
// sender, and the digests of all regions: the sender's entry hosts may be of any region.
func consultLoads(t *cataloger.Table, r *schema.ConsultRequest, reply *schema.ConsultReply) {
	reply.Loads = t.Loads(r.Region, r.Address)
	for _, x := range r.Loads {
		if x.Region != r.Region {
			reply.Regions = append(reply.Regions, &schema.RegionLoad{Region: x.Region, Loads: t.Loads(x.Region, r.Address)})
		}
	}
	reply.Digests = t.Digests("")
}

// fillLoads adds the load that other hosts put on upstreams.
func (k *Cluster) fillLoads(host *schema.Peer, reply *schema.RefreshReply) {
	now := k.c.Timer.Now()
	if k.c.view.Load().holdsLease(now) {
		reply.Loads = k.Table.LoadsFor(host, nil, 0)
		reply.Digests = k.Table.Digests(host.Region)
		return
	}
	k.mu.Lock()
	lastReply, lastReplyRequestedAt := k.lastReply, k.lastReplyRequestedAt
	k.mu.Unlock()
	if lastReply != nil && now-lastReplyRequestedAt < maxReplyAge {
		fillFollowerLoads(k.Table, k.Self.Region, lastReply, now-lastReplyRequestedAt, host, reply)
		return
	}
	reply.Loads = k.Table.LoadsFor(host, nil, 0)
}

// fillFollowerLoads adds the load as the leader sent it last to this control host, which is of the
// region ownRegion, some time ago.
func fillFollowerLoads(t *cataloger.Table, ownRegion string, fromLeader *schema.ConsultReply, age time.Duration, host *schema.Peer, reply *schema.RefreshReply) {
	region := &schema.RegionLoad{Region: host.Region}
	if host.Region == ownRegion {
		region.Loads = fromLeader.Loads
	} else if i := slices.IndexFunc(fromLeader.Regions, func(x *schema.RegionLoad) bool { return x.Region == host.Region }); i >= 0 {
		region = fromLeader.Regions[i]
	}
	reply.Loads = t.LoadsFor(host, region, age)
	for _, d := range fromLeader.Digests {
		if d.Region != host.Region {
			reply.Digests = append(reply.Digests, d)
		}
	}
}
