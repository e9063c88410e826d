package configurer

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// WholeShare is the sum of all hosts' shares of a customer's rate, in millionths.
const WholeShare = 1_000_000

// HolderCount is the number of hosts that hold each idempotency record.
const HolderCount = 3

// joinHost lists a host. Its share stays 0 until every other host has the configuration
// in which their own shares are smaller, so that the shares in use never add up to more
// than the whole.
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
	return s.refreshHost(old, h), nil
}

// refreshHost updates the addresses of a host that came back.
func (s *State) refreshHost(old, h *schema.Host) []*schema.Item {
	fresh := proto.Clone(old).(*schema.Host)
	fresh.Region, fresh.Domain = h.Region, h.Domain
	fresh.Listen, fresh.Internal = h.Listen, h.Internal
	fresh.Disk, fresh.Identity = h.Disk, h.Identity
	if fresh.State == schema.HostState_HOST_DRAINING {
		fresh.State = schema.HostState_HOST_ACTIVE
	}
	if proto.Equal(fresh, old) {
		return nil
	}
	return []*schema.Item{hostItem(fresh)}
}

func (s *State) addHost(h *schema.Host) []*schema.Item {
	hosts := s.snapshot.Hosts()
	share := int32(WholeShare / (len(hosts) + 1))
	var items []*schema.Item
	for _, other := range hosts {
		if other.Share > share {
			smaller := proto.Clone(other).(*schema.Host)
			smaller.Share = share
			items = append(items, hostItem(smaller))
		}
	}
	fresh := proto.Clone(h).(*schema.Host)
	fresh.State = schema.HostState_HOST_JOINING
	fresh.After = s.snapshot.Version + 1
	fresh.Share = 0
	if len(hosts) == 0 {
		fresh.State = schema.HostState_HOST_ACTIVE
		fresh.Share = WholeShare
	}
	return append(items, hostItem(fresh))
}

// activateHosts gives joining hosts their shares. The leader sends it once every host has
// had the version in force that made room for them.
func (s *State) activateHosts(a *schema.ActivateHosts) ([]*schema.Item, *schema.Result) {
	hosts := s.snapshot.Hosts()
	left := int32(WholeShare)
	for _, h := range hosts {
		left -= h.Share
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
		fresh := proto.Clone(h).(*schema.Host)
		fresh.State = schema.HostState_HOST_ACTIVE
		fresh.Share = min(left, int32(WholeShare/len(hosts)))
		left -= fresh.Share
		items = append(items, hostItem(fresh))
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
	fresh := proto.Clone(h).(*schema.Host)
	fresh.State = schema.HostState_HOST_DRAINING
	return []*schema.Item{hostItem(fresh)}, nil
}

// removeHost takes a host out and shares its share among the others. The operator who
// asks for it vouches that the host's process has ended.
func (s *State) removeHost(r *schema.RemoveHost) ([]*schema.Item, *schema.Result) {
	h := s.snapshot.Host(r.Name)
	if h == nil {
		return nil, s.refuse(schema.Refusal_REFUSAL_MISSING, "host %q is unknown", r.Name)
	}
	items := []*schema.Item{{Path: "host/" + r.Name, Removed: true}}
	var active []*schema.Host
	for _, other := range s.snapshot.Hosts() {
		if other.Name != r.Name && other.State != schema.HostState_HOST_JOINING {
			active = append(active, other)
		}
	}
	for _, other := range active {
		larger := proto.Clone(other).(*schema.Host)
		larger.Share += h.Share / int32(len(active))
		items = append(items, hostItem(larger))
	}
	return items, nil
}

func hostItem(h *schema.Host) *schema.Item {
	return &schema.Item{Path: "host/" + h.Name, Value: &schema.Item_Host{Host: h}}
}

// setGroup puts new holders of a region's records in force. At most one holder may
// change at a time: then every majority of the old holders shares a member with every
// majority of the new ones.
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

// WantedHolders returns the next holders of a region's records, changed by at most one
// from the present ones, or nil if they need no change. Hosts of the region come first,
// those with a disk before the others; hosts of other regions fill the rest as witnesses.
func WantedHolders(s *Snapshot, region string, alive func(host string) bool) []string {
	ranked := rankHolders(s, region, alive)
	if len(ranked) > HolderCount {
		ranked = ranked[:HolderCount]
	}
	old := s.Group(region).GetHolders()
	if len(old) == 0 {
		return ranked[:min(1, len(ranked))]
	}
	return stepHolders(old, ranked)
}

func rankHolders(s *Snapshot, region string, alive func(string) bool) []string {
	hosts := s.Hosts()
	kept := hosts[:0]
	for _, h := range hosts {
		if h.State != schema.HostState_HOST_DRAINING && alive(h.Name) {
			kept = append(kept, h)
		}
	}
	slices.SortStableFunc(kept, func(a, b *schema.Host) int { return holderRank(a, region) - holderRank(b, region) })
	var names []string
	for _, h := range kept {
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

// stepHolders moves old one step towards wanted; nil if they are the same set.
func stepHolders(old, wanted []string) []string {
	next := slices.Clone(old)
	lacking := slices.IndexFunc(wanted, func(h string) bool { return !slices.Contains(old, h) })
	extra := slices.IndexFunc(old, func(h string) bool { return !slices.Contains(wanted, h) })
	switch {
	case lacking < 0:
		return nil // fewer hosts than holders: a dead holder stays until one can take its place
	case len(old) < HolderCount && extra < 0:
		next = append(next, wanted[lacking])
	case extra >= 0:
		next[extra] = wanted[lacking]
	default:
		return nil
	}
	return next
}
