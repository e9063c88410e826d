package starter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/controller"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/persister"
	"github.com/trefoilloft/trefoilloft/internal/quarantiner"
	"github.com/trefoilloft/trefoilloft/internal/resumer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// Control is the process of a control host. Set the exported fields, then call Run.
type Control struct {
	Options
	// FirstStart is true if the whole system starts for the first time, with empty disks.
	FirstStart bool
	// MaxLostDisks is the number of lost disks that the system must tolerate.
	MaxLostDisks int
	// SlackTokens is the number of tokens by which a customer may exceed its limits, over all
	// hosts.
	SlackTokens float64
	// Listeners returns the HTTP listeners for operators and upstreams.
	Listeners func(*controller.Cluster, *Control) []Listener

	// Requests bounds the memory for the bodies of requests. Run sets it.
	Requests *bufferer.Budget

	controller *controller.Controller
	unusable   *unusableReports
	shares     []prometheus.Collector
}

// Collectors returns the process's metrics, to be added to a registry. It must be called by Listeners or
// later.
func (c *Control) Collectors() []prometheus.Collector {
	return slices.Concat(c.controller.Collectors(), BufferCollectors("requests", c.Requests), c.gateCollectors(), c.shares, []prometheus.Collector{c.unusable.counter})
}

// Run serves until ctx ends or a component fails.
func (c *Control) Run(ctx context.Context) error {
	c.applyRuntimeLimits()
	c.Requests = c.newBudget()
	folder := filepath.Join(c.Settings.Data, "control")
	created, err := c.initIdentity(folder)
	if err != nil {
		return err
	}
	clock := c.newClock()
	c.gate = c.newGate(clock)
	d := &dialer.Dialer{Secret: c.Settings.Secret, Timer: clock}
	defer d.Close()
	cluster := c.newCluster(clock, created && c.FirstStart)
	c.controller = &controller.Controller{
		Settings: c.Settings, Timer: clock, Dialer: d, Log: c.Log, Cluster: cluster,
		Store:       &persister.Store{Folder: folder},
		Distributor: &distributor.Distributor{Timer: clock, IsRoot: true},
	}
	if err := c.controller.Open(); err != nil {
		return err
	}
	return c.serve(ctx, clock, cluster)
}

// newCluster returns the host's Cluster. first means that nothing of the system ran before this process
// and those that start with it.
func (c *Control) newCluster(clock *timer.Service, first bool) *controller.Cluster {
	table := &cataloger.Table{Timer: clock, AnnounceInterval: c.AnnounceInterval, DrainTime: c.DrainTime, IsFirst: first}
	table.Evacuated = func() func(string) bool { return c.controller.Distributor.Current().Evacuated }
	c.unusable = newUnusableReports(clock, c.Log)
	table.OnUnusable = c.unusable.record
	table.Start()
	s := c.Settings
	limits := func(customer string) (allocator.Limits, bool) {
		return LimitsOf(c.controller.Distributor.Current(), customer)
	}
	adaptive := func() bool { return c.adaptive(table) }
	bucket := &allocator.Bucket{Now: clock.Now, Limits: limits, SlackTokens: c.SlackTokens, Adaptive: adaptive}
	divider := &allocator.Allocator{Now: clock.Now, Limits: limits, Adaptive: adaptive}
	granter := &allocator.Granter{Now: clock.Now, Limits: limits, Adaptive: adaptive, Bucket: bucket}
	c.shares = grantCollectors(granter, divider)
	return &controller.Cluster{
		Self:       &schema.Member{Name: s.Name, Address: s.Internal, Region: s.Region, Domain: s.Domain},
		FirstStart: c.FirstStart, MinVoters: 2*c.MaxLostDisks + 1, SeedAddresses: c.Seeds, Table: table,
		Allocator: divider, Bucket: bucket, Granter: granter,
		Evidence: &quarantiner.Evidence{Now: clock.Now}, Quarantine: &quarantiner.Register{Now: clock.Now},
		Streams: &resumer.Index{Now: clock.Now, Process: rand.Uint64() | 1, MaxStreams: maxControlStreams},
	}
}

func (c *Control) serve(ctx context.Context, clock *timer.Service, cluster *controller.Cluster) error {
	l, err := c.listenInternal()
	if err != nil {
		return err
	}
	grpcServer, err := dialer.NewServer(c.Settings.Secret, nil, func(string) bool { return false }, c.Log)
	if err != nil {
		return errors.Join(err, l.Close())
	}
	schema.RegisterControlServiceServer(grpcServer, &controller.Service{Controller: c.controller})
	schema.RegisterClusterServiceServer(grpcServer, &controller.ClusterService{Cluster: cluster})
	servers, err := listenThrough(c.gate, c.Listeners(cluster, c), c.Log)
	if err != nil {
		return errors.Join(err, l.Close())
	}
	componentsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g run.Group
	g.Add(func() error { return clock.Run(componentsCtx) }, func(error) { cancel() })
	g.Add(func() error { return c.controller.Run(componentsCtx) }, func(error) { cancel() })
	g.Add(func() error { return grpcServer.Serve(l) }, func(error) { grpcServer.Stop() })
	for _, h := range servers {
		g.Add(h.serve, func(error) { cancel(); h.close() })
	}
	g.Add(func() error {
		select {
		case <-ctx.Done():
		case <-componentsCtx.Done():
		}
		shutdownAll(servers, controlShutdownTimeout, c.Log) // before the controller stops, so that commands in progress get their result
		stopGRPC(grpcServer, shutdownTimeout, clock)
		return nil
	}, func(error) { cancel() })
	c.Log.Info().Bool("first", c.FirstStart).Str("internal", c.Settings.Internal).Msg("control host started")
	err = g.Run()
	c.Log.Info().Err(err).Msg("control host stopped")
	return err
}

// Controller returns the host's controller. It is set before Listeners is called.
func (c *Control) Controller() *controller.Controller { return c.controller }

// initIdentity gives an empty disk an identity. At the first start the seeds are the initial
// members. Every other host, and one that lost its disk, gets a new identity and requests to
// join. It reports whether the disk was empty.
func (c *Control) initIdentity(folder string) (created bool, err error) {
	if _, err := os.Stat(filepath.Join(folder, persister.IdentityFile)); err == nil {
		return false, nil
	} else if !errors.Is(err, os.ErrNotExist) {
		return false, fmt.Errorf("starter: checking for an identity: %w", err)
	}
	// Files without an identity were never in use.
	if err := os.RemoveAll(folder); err != nil {
		return false, fmt.Errorf("starter: removing files without an identity: %w", err)
	}
	identity := &schema.Identity{Id: persister.NewID(), Name: c.Settings.Name}
	if seeds := c.Seeds(); c.FirstStart && slices.Contains(seeds, c.Settings.Internal) {
		identity.Id = persister.InitialID(c.Settings.Internal)
		slices.Sort(seeds)
		for _, address := range seeds {
			identity.Members = append(identity.Members, &schema.Member{
				Id: persister.InitialID(address), Name: address, Address: address, Voter: true,
			})
		}
		identity.Target = int32(len(seeds))
	}
	c.Log.Info().Uint64("identity", identity.Id).Bool("first", c.FirstStart).Int("members", len(identity.Members)).Msg("new identity")
	return true, persister.Init(folder, identity)
}
