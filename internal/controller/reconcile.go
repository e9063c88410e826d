package controller

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Time after its last acknowledgement at which a host counts as dead for choosing holders.
	hostTimeout     = 5 * time.Second
	proposalTimeout = 3 * time.Second
	// Time after which a host has renewed its leases with its new share, or lost them.
	leaseFlush = 2 * time.Second
)

// acknowledgements are the versions in force at entry hosts.
type acknowledgements struct {
	mu    sync.Mutex
	hosts map[string]*schema.Acknowledgement // guarded by mu
	heard map[string]time.Duration           // guarded by mu
}

func (a *acknowledgements) take(hosts []*schema.Acknowledgement, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hosts == nil {
		a.hosts = map[string]*schema.Acknowledgement{}
		a.heard = map[string]time.Duration{}
	}
	for _, h := range hosts {
		a.hosts[h.Host] = h
		a.heard[h.Host] = now
	}
}

func (a *acknowledgements) list() []*schema.Acknowledgement {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []*schema.Acknowledgement
	for _, name := range slices.Sorted(maps.Keys(a.hosts)) {
		all = append(all, a.hosts[name])
	}
	return all
}

func (a *acknowledgements) get(host string) *schema.Acknowledgement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hosts[host]
}

func (a *acknowledgements) alive(host string, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	heard, ok := a.heard[host]
	return ok && now-heard < hostTimeout
}

// reconcile proposes what the leader finds to put right: shares of joining hosts and
// holders of records.
func (c *Controller) reconcile() {
	c.mu.Lock()
	c.advance()
	role, term, _ := c.replica.Role()
	leads := role == replicator.Leader && c.replica.LeaseTicks() > 0
	snapshot := c.state.Snapshot()
	c.mu.Unlock()
	if !leads {
		return
	}
	command := c.nextActivation(snapshot)
	if command == nil {
		command = c.nextGroup(snapshot)
	}
	if command == nil {
		return
	}
	command.Operator = "leader"
	command.Request = fmt.Sprintf("reconcile-%d-%d", term, snapshot.Version)
	go c.proposeQuietly(command)
}

// proposeQuietly proposes and forgets: the next look proposes again what is still wrong.
func (c *Controller) proposeQuietly(command *schema.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), proposalTimeout)
	defer cancel()
	if _, err := c.Propose(ctx, command); err != nil {
		c.Log.Debug().Err(err).Msg("proposal failed")
	}
}

// nextActivation returns the command that gives joining hosts their shares, once every
// host has had the smaller shares in force for long enough that no lease on a larger one
// is left.
func (c *Controller) nextActivation(s *configurer.Snapshot) *schema.Command {
	var names []string
	after := uint64(0)
	for _, h := range s.Hosts() {
		if h.State == schema.HostState_HOST_JOINING {
			names = append(names, h.Name)
			after = max(after, h.After)
		}
	}
	if len(names) == 0 {
		return nil
	}
	for _, h := range s.Hosts() {
		if c.acks.get(h.Name).GetVersion() < after {
			return nil
		}
	}
	now := c.Timer.Now()
	if c.room != after {
		c.room, c.roomSince = after, now
	}
	if now-c.roomSince < leaseFlush {
		return nil
	}
	return &schema.Command{Op: &schema.Command_Activate{Activate: &schema.ActivateHosts{Names: names, Version: after}}}
}

// nextGroup returns the command that changes one holder of one region's records. The
// holders that stay must be ready: they are the majority that the new one reads from.
func (c *Controller) nextGroup(s *configurer.Snapshot) *schema.Command {
	now := c.Timer.Now()
	alive := func(host string) bool { return c.acks.alive(host, now) }
	for _, region := range regions(s) {
		old := s.Group(region)
		wanted := configurer.WantedHolders(s, region, alive)
		if len(wanted) == 0 || !c.holdersReady(old, wanted) {
			continue
		}
		next := &schema.Group{Region: region, Version: old.GetVersion() + 1, Holders: wanted}
		return &schema.Command{Op: &schema.Command_Group{Group: next}}
	}
	return nil
}

func (c *Controller) holdersReady(old *schema.Group, wanted []string) bool {
	for _, h := range old.GetHolders() {
		if slices.Contains(wanted, h) && c.acks.get(h).GetReady()[old.Region] != old.Version {
			return false
		}
	}
	return true
}

// regions returns the regions that have hosts, sorted.
func regions(s *configurer.Snapshot) []string {
	seen := map[string]bool{}
	for _, h := range s.Hosts() {
		seen[h.Region] = true
	}
	return slices.SortedFunc(maps.Keys(seen), strings.Compare)
}
