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
	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Time since its last acknowledgement after which an entry host is not chosen as a holder.
	hostTimeout     = 5 * time.Second
	proposalTimeout = 3 * time.Second
	// Time after a reduced share is in force at a host after which the host holds no lease of the
	// larger one: it has renewed its leases with the new share, or they have expired.
	leaseExpiryDelay = 2 * time.Second
)

// acknowledgements holds the configuration versions in force at entry hosts.
type acknowledgements struct {
	mu         sync.Mutex
	byHost     map[string]*schema.Acknowledgement // last acknowledgement by host name; guarded by mu
	receivedAt map[string]time.Duration           // time of the last acknowledgement by host name, on the clock of the controller's Timer; guarded by mu
}

func (a *acknowledgements) store(hosts []*schema.Acknowledgement, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byHost == nil {
		a.byHost = map[string]*schema.Acknowledgement{}
		a.receivedAt = map[string]time.Duration{}
	}
	for _, h := range hosts {
		a.byHost[h.Host] = h
		a.receivedAt[h.Host] = now
	}
}

func (a *acknowledgements) list() []*schema.Acknowledgement {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []*schema.Acknowledgement
	for _, name := range slices.Sorted(maps.Keys(a.byHost)) {
		all = append(all, a.byHost[name])
	}
	return all
}

func (a *acknowledgements) get(host string) *schema.Acknowledgement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byHost[host]
}

func (a *acknowledgements) alive(host string, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	receivedAt, ok := a.receivedAt[host]
	return ok && now-receivedAt < hostTimeout
}

// reconcile proposes the next change that the leader finds necessary: to activate joining
// hosts, or to replace a holder of records.
func (c *Controller) reconcile() {
	leads := false
	var term uint64
	var snapshot *configurer.Snapshot
	c.step(func(r *replicator.Replica) {
		var role replicator.Role
		role, term, _ = r.Status()
		leads = role == replicator.Leader && r.RemainingLeaseTicks() > 0 && c.caughtUp && len(c.unapplied) == 0
		snapshot = c.state.Snapshot()
	})
	if !leads {
		return
	}
	command := c.nextActivation(snapshot)
	if command == nil {
		command = c.nextGroupChange(snapshot)
	}
	if command == nil {
		return
	}
	command.Operator = "leader"
	command.Request = fmt.Sprintf("reconcile-%d-%d", term, snapshot.Version)
	go confiner.Call(c.Log, "reconcile", func() { c.proposeInBackground(command) })
}

// proposeInBackground proposes a command and ignores its result: if the change is still
// necessary, a later run of reconcile proposes it again.
func (c *Controller) proposeInBackground(command *schema.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), proposalTimeout)
	defer cancel()
	if _, err := c.Propose(ctx, command); err != nil {
		c.Log.Debug().Err(err).Msg("reconciliation proposal failed")
	}
}

// nextActivation returns the command that gives joining hosts their shares, or nil. It waits
// until every host has had the reduced shares in force for leaseExpiryDelay, so that no lease
// of a larger share is left.
func (c *Controller) nextActivation(s *configurer.Snapshot) *schema.Command {
	var names []string
	requiredVersion := uint64(0)
	for _, h := range s.Hosts() {
		if h.State == schema.HostState_HOST_JOINING {
			names = append(names, h.Name)
			requiredVersion = max(requiredVersion, h.After)
		}
	}
	if len(names) == 0 {
		return nil
	}
	for _, h := range s.Hosts() {
		if c.acks.get(h.Name).GetVersion() < requiredVersion {
			return nil
		}
	}
	now := c.Timer.Now()
	if c.reducedVersion != requiredVersion {
		c.reducedVersion, c.reducedInForceAt = requiredVersion, now
	}
	if now-c.reducedInForceAt < leaseExpiryDelay {
		return nil
	}
	return &schema.Command{Op: &schema.Command_Activate{Activate: &schema.ActivateHosts{Names: names, Version: requiredVersion}}}
}

// nextGroupChange returns the command that changes one holder of one region's records, or nil.
// The holders that stay must be ready: they are the majority that the new holder reads from.
func (c *Controller) nextGroupChange(s *configurer.Snapshot) *schema.Command {
	now := c.Timer.Now()
	alive := func(host string) bool { return c.acks.alive(host, now) }
	for _, region := range regions(s) {
		old := s.Group(region)
		wanted := configurer.NextHolders(s, region, alive)
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

// regions returns the regions that have entry hosts, sorted.
func regions(s *configurer.Snapshot) []string {
	seen := map[string]bool{}
	for _, h := range s.Hosts() {
		seen[h.Region] = true
	}
	return slices.SortedFunc(maps.Keys(seen), strings.Compare)
}
