package configurer

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TotalShare is the sum of all hosts' shares of a customer's rate, in millionths.
const TotalShare = 1_000_000

// HolderCount is the number of hosts that hold each idempotency record.
const HolderCount = 3

// joinHost adds a host, or updates one that rejoins. The share of a new host stays 0 until
// every other host has the configuration with the reduced shares in force, so that the
// shares in use never add up to more than TotalShare.
func (s *State) joinHost(h *schema.Host) ([]*schema.Item, *schema.Result) {
	if h.Name == "" || h.Region == "" || h.Listen == "" || h.Internal == "" {
		return nil, s.refuse(schema.Refusal_REFUSAL_INVALID, "host needs name, region, listen and internal")
	}
	old := s.snapshot.Host(h.Name)
	if old == nil {
		return s.addHost(h), nil
	}
	if old.Identity != h.Identity && h.Disk && old.Disk {
		return nil, s.refuse(schema.Refusal_REFUSAL_DUPLICATE, "host %q is a member with another identity", h.Name)
	}
	return s.updateHost(old, h), nil
}

// updateHost updates the region, failure domain, addresses, disk and identity of a host that
// rejoined. A draining host becomes active again.
func (s *State) updateHost(old, rejoined *schema.Host) []*schema.Item {
	updated := proto.Clone(old).(*schema.Host)
	updated.Region, updated.Domain = rejoined.Region, rejoined.Domain
	updated.Listen, updated.Internal = rejoined.Listen, rejoined.Internal
	updated.Disk, updated.Identity = rejoined.Disk, rejoined.Identity
	if updated.State == schema.HostState_HOST_DRAINING {
		updated.State = schema.HostState_HOST_ACTIVE
	}
	if proto.Equal(updated, old) {
		return nil
	}
	return []*schema.Item{hostItem(updated)}
}

func (s *State) addHost(h *schema.Host) []*schema.Item {
	hosts := s.snapshot.Hosts()
	share := int32(TotalShare / (len(hosts) + 1))
	var items []*schema.Item
	for _, other := range hosts {
		if other.Share > share {
			reduced := proto.Clone(other).(*schema.Host)
			reduced.Share = share
			items = append(items, hostItem(reduced))
		}
	}
	added := proto.Clone(h).(*schema.Host)
	added.State = schema.HostState_HOST_JOINING
	added.After = s.snapshot.Version + 1
	added.Share = 0
	if len(hosts) == 0 {
		added.State = schema.HostState_HOST_ACTIVE
		added.Share = TotalShare
	}
	return append(items, hostItem(added))
}

// activateHosts gives joining hosts their shares. The leader proposes the command once every
// host has the version in force that reduced the other hosts' shares.
func (s *State) activateHosts(a *schema.ActivateHosts) ([]*schema.Item, *schema.Result) {
	hosts := s.snapshot.Hosts()
	unassigned := int32(TotalShare)
	for _, h := range hosts {
		unassigned -= h.Share
		if h.After > a.Version {
			return nil, s.refuse(schema.Refusal_REFUSAL_STALE, "host %q joined after version %d", h.Name, a.Version)
		}
	}
	var items []*schema.Item
	for _, name := range a.Names {
		h := s.snapshot.Host(name)
		if h == nil || h.State != schema.HostState_HOST_JOINING {
			return nil, s.refuse(schema.Refusal_REFUSAL_MISSING, "host %q is not joining", name)
		}
		activated := proto.Clone(h).(*schema.Host)
		activated.State = schema.HostState_HOST_ACTIVE
		activated.Share = min(unassigned, int32(TotalShare/len(hosts)))
		unassigned -= activated.Share
		items = append(items, hostItem(activated))
	}
	return items, nil
}

func (s *State) drainHost(d *schema.DrainHost) ([]*schema.Item, *schema.Result) {
	h := s.snapshot.Host(d.Name)
	if h == nil {
		return nil, s.refuse(schema.Refusal_REFUSAL_MISSING, "host %q is unknown", d.Name)
	}
	if h.State == schema.HostState_HOST_DRAINING {
		return nil, nil
	}
	draining := proto.Clone(h).(*schema.Host)
	draining.State = schema.HostState_HOST_DRAINING
	return []*schema.Item{hostItem(draining)}, nil
}

// removeHost removes a host and divides its share among the other hosts that are not
// joining. The operator who sends the command is responsible for having ended the host's
// process: one that still runs would go on using its share.
func (s *State) removeHost(r *schema.RemoveHost) ([]*schema.Item, *schema.Result) {
	h := s.snapshot.Host(r.Name)
	if h == nil {
		return nil, s.refuse(schema.Refusal_REFUSAL_MISSING, "host %q is unknown", r.Name)
	}
	items := []*schema.Item{{Path: "host/" + r.Name, Removed: true}}
	var recipients []*schema.Host
	for _, other := range s.snapshot.Hosts() {
		if other.Name != r.Name && other.State != schema.HostState_HOST_JOINING {
			recipients = append(recipients, other)
		}
	}
	for _, other := range recipients {
		increased := proto.Clone(other).(*schema.Host)
		increased.Share += h.Share / int32(len(recipients))
		items = append(items, hostItem(increased))
	}
	return items, nil
}

func hostItem(h *schema.Host) *schema.Item {
	return &schema.Item{Path: "host/" + h.Name, Value: &schema.Item_Host{Host: h}}
}

// setGroup replaces the group of hosts that hold a region's idempotency records. At most one
// holder may change at a time: then every majority of the old holders has a member in common
// with every majority of the new ones.
func (s *State) setGroup(g *schema.Group) ([]*schema.Item, *schema.Result) {
	old := s.snapshot.Group(g.Region)
	if old.GetVersion()+1 != g.Version {
		return nil, s.refuse(schema.Refusal_REFUSAL_STALE, "group of %s is at version %d", g.Region, old.GetVersion())
	}
	added, removed := 0, 0
	for _, h := range g.Holders {
		if !slices.Contains(old.GetHolders(), h) {
			added++
		}
	}
	for _, h := range old.GetHolders() {
		if !slices.Contains(g.Holders, h) {
			removed++
		}
	}
	if old != nil && (added > 1 || removed > 1) {
		return nil, s.refuse(schema.Refusal_REFUSAL_INVALID, "group of %s may change by one holder at a time", g.Region)
	}
	return []*schema.Item{{Path: "group/" + g.Region, Value: &schema.Item_Group{Group: g}}}, nil
}

// NextHolders returns the next holders of a region's idempotency records, which differ from
// the present ones by at most one host, or nil if they need no change. Hosts of the region
// come first, those with a disk before the others; hosts of other regions complete the group
// as witnesses.
func NextHolders(s *Snapshot, region string, alive func(host string) bool) []string {
	ranked := rankHolders(s, region, alive)
	if len(ranked) > HolderCount {
		ranked = ranked[:HolderCount]
	}
	old := s.Group(region).GetHolders()
	if len(old) == 0 {
		return ranked[:min(1, len(ranked))]
	}
	return replaceOneHolder(old, ranked)
}

func rankHolders(s *Snapshot, region string, alive func(string) bool) []string {
	hosts := s.Hosts()
	eligible := hosts[:0]
	for _, h := range hosts {
		if h.State != schema.HostState_HOST_DRAINING && alive(h.Name) {
			eligible = append(eligible, h)
		}
	}
	slices.SortStableFunc(eligible, func(a, b *schema.Host) int { return holderRank(a, region) - holderRank(b, region) })
	var names []string
	for _, h := range eligible {
		names = append(names, h.Name)
	}
	return names
}

func holderRank(h *schema.Host, region string) int {
	rank := 0
	if h.Region != region {
		rank += 2
	}
	if !h.Disk {
		rank++
	}
	return rank
}

// replaceOneHolder returns old with one host of wanted added, or put in the place of one that
// is not wanted; nil if there is nothing to change.
func replaceOneHolder(old, wanted []string) []string {
	next := slices.Clone(old)
	missing := slices.IndexFunc(wanted, func(h string) bool { return !slices.Contains(old, h) })
	extra := slices.IndexFunc(old, func(h string) bool { return !slices.Contains(wanted, h) })
	switch {
	case missing < 0:
		return nil // no host left to add: a failed holder stays until another can replace it
	case len(old) < HolderCount && extra < 0:
		next = append(next, wanted[missing])
	case extra >= 0:
		next[extra] = wanted[missing]
	default:
		return nil
	}
	return next
}
