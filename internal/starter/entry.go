package starter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/forwarder"
	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/prober"
	"github.com/trefoilloft/trefoilloft/internal/quarantiner"
	"github.com/trefoilloft/trefoilloft/internal/refresher"
	"github.com/trefoilloft/trefoilloft/internal/resumer"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	dispatchInterval        = 50 * time.Millisecond
	connectionPruneInterval = 2 * time.Second
	// Age of the last confirmation of the configuration beyond which this host does not offer
	// itself to callers.
	maxReadyConfirmationAge = 4 * time.Second
	// Minimum time for which a stopping host keeps serving, since callers still hold lists that
	// name it.
	minStopDuration = 4500 * time.Millisecond
	// Time at the end of the grace period that is left unused.
	graceMargin      = 400 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
	// Number of requests in flight at or above which this host reports its load to other hosts
	// more often.
	minBusyRequests = 8
	// Time before the end of its grace period at which a stopping host is no longer listed,
	// even if no other host of its region is ready.
	stoppingListMargin = time.Second
	// Numbers of streams whose origins an entry host and a control host keep, at some 100 bytes each.
	maxEntryStreams   = 4 << 10
	maxControlStreams = 64 << 10
)

// Entry is the process of an entry host. Set the exported fields from Options to Listeners,
// then call Run, which sets the others.
type Entry struct {
	Options
	Protocol forwarder.Protocol
	// MaxConfirmationAge is the age of the configuration's last confirmation beyond which no
	// key is accepted.
	MaxConfirmationAge time.Duration
	// RetryBudget bounds retries at upstreams; Run sets its clock and its number of hosts.
	RetryBudget forwarder.RetryBudget
	// Listeners returns the HTTP listeners for callers.
	Listeners func(*Entry) []Listener

	Timer     *timer.Service
	Forwarder *forwarder.Forwarder
	Table     *cataloger.Table
	// Requests bounds the memory for the bodies of callers' requests.
	Requests    *bufferer.Budget
	unusable    *unusableReports
	lists       *listObserver
	capacities  *capacityLister
	fractions   *fractionObserver
	distributor *distributor.Distributor
	refresher   *refresher.Refresher
	scheduler   *scheduler.Scheduler
	estimates   *scheduler.EstimateMetrics
	pool        *pooler.Pool
	prober      *prober.Prober
	bucket      *allocator.Bucket
	dialer      *dialer.Dialer
	incarnation uint64 // start time of the process, Unix nanoseconds
	stopping    atomic.Bool
	failures    failureWatch
	evacuated   map[string]bool // used by applyConfig only
}

// LimitsOf returns a customer's limits in a configuration, and whether the customer exists.
func LimitsOf(c *configurer.Snapshot, customer string) (allocator.Limits, bool) {
	cfg := c.Customer(customer)
	return allocator.Limits{Rate: cfg.GetRate(), Burst: cfg.GetBurst()}, cfg != nil
}

func (e *Entry) build() {
	e.Timer = e.newClock()
	e.gate = e.newGate(e.Timer)
	e.incarnation = uint64(time.Now().UnixNano())
	e.dialer = &dialer.Dialer{Secret: e.Settings.Secret, Timer: e.Timer, Log: e.Log}
	e.Table = &cataloger.Table{Timer: e.Timer, AnnounceInterval: e.AnnounceInterval, DrainTime: e.DrainTime, IsMirror: true}
	e.unusable = newUnusableReports(e.Timer, e.Log)
	e.Table.OnUnusable = e.unusable.record
	e.lists = newListObserver(e.Log)
	e.capacities = newCapacityLister(e.Settings.Name, e.Timer, e.Log)
	e.fractions = newFractionObserver(e.Timer, e.Log)
	e.Table.Start()
	e.distributor = &distributor.Distributor{Timer: e.Timer, OnChange: e.applyConfig}
	e.bucket = &allocator.Bucket{Now: e.Timer.Now, LoansOnly: true, Limits: func(customer string) (allocator.Limits, bool) {
		return LimitsOf(e.distributor.Current(), customer)
	}, Adaptive: func() bool { return e.adaptive(e.Table) }}
	e.scheduler = &scheduler.Scheduler{Timer: e.Timer, DrainTime: e.DrainTime, Config: e.distributor.Current, OwnsCold: e.ownsColdUpstream, OwnerRank: e.ownerRank, HostCount: e.connectedHostCount,
		Region: e.Settings.Region, OwnDemand: func(pool string) ([]*schema.HomeDemand, bool) { return e.Forwarder.ReportedDemand(pool) },
		Adaptive: func() bool { return e.adaptive(e.Table) }} // without FairQueue: it served fewer requests in time on a heavy day
	e.estimates = scheduler.NewEstimateMetrics(e.scheduler)
	e.Requests = e.newBudget()
	responses := e.newBudget()
	e.prober = &prober.Prober{Timer: e.Timer, Log: e.Log, Addresses: e.upstreamAddresses, OnChange: e.applyIsolation, Metrics: prober.NewMetrics()}
	e.pool = &pooler.Pool{Timer: e.Timer, Buffers: responses, Log: e.Log, Prober: e.prober}
	e.prober.Open = e.pool.Probe
	quarantine := &quarantiner.Register{Now: e.Timer.Now}
	observer := &quarantiner.Observer{
		Timer: e.Timer, Log: e.Log, Refused: e.refused, State: e.processState, OnEnd: func() { e.refresher.ReportNow() },
	}
	streams := &resumer.Index{Now: e.Timer.Now, MaxStreams: maxEntryStreams}
	e.refresher = &refresher.Refresher{
		Timer: e.Timer, Dialer: e.dialer, Log: e.Log, SeedAddresses: e.Seeds, SelfReport: e.ownState,
		Distributor: e.distributor, Table: e.Table, Bucket: e.bucket, OnLoads: e.applyLoads,
		Findings: &quarantiner.Link{Source: observer, Register: quarantine}, OwnLimits: e.scheduler.OwnLimits, OwnBrittleness: e.scheduler.OwnBrittleness, OwnLeavers: e.scheduler.OwnLeavers,
		OwnBreakages: e.scheduler.OwnBreakages,
		Streams:      &resumer.Sender{Index: streams},
		Adaptive:     func() bool { return e.adaptive(e.Table) },
		IsBusy:       func() bool { return e.Forwarder.Inflight() >= minBusyRequests },
	}
	e.refresher.Init()
	e.RetryBudget.Now = e.Timer.Now
	e.RetryBudget.Hosts = func() int { return len(e.Table.ReadyHosts("")) }
	e.Forwarder = &forwarder.Forwarder{
		Host: e.Settings.Name, Region: e.Settings.Region, Timer: e.Timer, Dialer: e.dialer, Log: e.Log, Scheduler: e.scheduler,
		Pool: e.pool, Prober: e.prober, Bucket: e.bucket, Budget: &e.RetryBudget, Protocol: e.Protocol, Metrics: forwarder.NewMetrics(), Buffers: responses, SlowCallers: e.Contended,
		ConfirmationAge: e.refresher.ConfirmationAge, MaxConfirmationAge: e.MaxConfirmationAge, EntryHosts: e.relayHosts, Served: e.served, Borrow: e.refresher.Borrow,
		Observer: observer, Quarantine: quarantine, OnLimit: e.refresher.ReportNow, OnBrittle: e.refresher.ReportNow, OnLeaver: e.refresher.ReportNow,
		OnBreakage: func() {
			e.refresher.SendStreams(true)
			e.refresher.ReportNow()
		},
		Streams: streams, OnStream: e.refresher.SendStreams, FindStream: e.refresher.FindStream,
		Adaptive: func() bool { return e.adaptive(e.Table) },
	}
}

// Run serves until ctx ends, then stops gracefully.
func (e *Entry) Run(ctx context.Context) error {
	e.applyRuntimeLimits()
	e.build()
	defer e.dialer.Close()
	l, err := e.listenInternal()
	if err != nil {
		return err
	}
	grpcServer, err := dialer.NewServer(e.Settings.Secret, nil, func(string) bool { return false }, e.Log)
	if err != nil {
		return errors.Join(err, l.Close())
	}
	e.register(grpcServer)
	servers, err := listenThrough(e.gate, e.Listeners(e), e.Log)
	if err != nil {
		return errors.Join(err, l.Close())
	}
	componentsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g run.Group
	g.Add(func() error { return e.Timer.Run(componentsCtx) }, func(error) { cancel() })
	g.Add(func() error { return e.refresher.Run(componentsCtx) }, func(error) { cancel() })
	g.Add(func() error { return e.refresher.RunStreams(componentsCtx) }, func(error) { cancel() })
	g.Add(func() error { return grpcServer.Serve(l) }, func(error) { grpcServer.Stop() })
	for _, h := range servers {
		g.Add(h.serve, func(error) { cancel(); h.close() })
	}
	g.Add(func() error {
		endsAt := e.waitForStop(ctx, componentsCtx)
		// Requests that arrived since the wait ended still have the rest of the grace period.
		timeout := max(0, endsAt-e.Timer.Now()) + shutdownTimeout
		e.Forwarder.Close()
		var wg sync.WaitGroup
		wg.Go(func() { stopGRPC(grpcServer, timeout, e.Timer) })
		shutdownAll(servers, timeout, e.Log)
		wg.Wait()
		return nil
	}, func(error) { cancel() })
	stopDispatch := e.Timer.Every(dispatchInterval, e.scheduler.DispatchAll)
	defer stopDispatch()
	stopPrune := e.Timer.Every(connectionPruneInterval, e.pruneConnections)
	defer stopPrune()
	defer e.prober.Start()()
	e.Log.Info().Str("region", e.Settings.Region).Str("domain", e.Settings.Domain).Msg("entry host started")
	err = g.Run()
	e.Log.Info().Err(err).Msg("entry host stopped")
	return err
}

// register registers the services of the internal listener, for other hosts and for operators.
func (e *Entry) register(s grpc.ServiceRegistrar) {
	schema.RegisterRelayServiceServer(s, &forwarder.RelayService{Forwarder: e.Forwarder})
	schema.RegisterExplainServiceServer(s, &forwarder.ExplainService{Forwarder: e.Forwarder})
}

// waitForStop waits until ctx ends. Then it waits until every request has ended,
// minStopDuration has passed and another host of the region is ready to serve callers, but no
// longer than until graceMargin before the end of the grace period. It returns that time.
func (e *Entry) waitForStop(ctx, componentsCtx context.Context) time.Duration {
	select {
	case <-ctx.Done():
	case <-componentsCtx.Done():
		return e.Timer.Now()
	}
	stopStartedAt := e.Timer.Now()
	stopUntil := stopStartedAt + e.GracePeriod - graceMargin
	e.stopping.Store(true)
	e.Forwarder.StopAt(stopUntil)
	e.refresher.ReportNow()
	e.Log.Info().Int64("inflight", e.Forwarder.Inflight()).Dur("grace", e.GracePeriod).Msg("stopping")
	for e.Timer.Now() < stopUntil {
		if e.Timer.Now()-stopStartedAt > minStopDuration && e.Forwarder.Inflight() == 0 && len(e.Table.ReadyHosts(e.Settings.Region)) > 0 {
			break
		}
		if err := e.Timer.Sleep(componentsCtx, stopPollInterval); err != nil {
			break
		}
	}
	e.Log.Info().Int64("inflight", e.Forwarder.Inflight()).Dur("left", stopUntil-e.Timer.Now()).Msg("requests ended")
	return stopUntil
}

// Collectors returns the process's metrics, to be added to a registry.
func (e *Entry) Collectors() []prometheus.Collector {
	return slices.Concat(e.Forwarder.Metrics.Collectors(), e.prober.Metrics.Collectors(), e.Forwarder.SpoolCollectors(), BufferCollectors("responses", e.Forwarder.Buffers), BufferCollectors("requests", e.Requests), e.gateCollectors(), shareCollectors(e.bucket), []prometheus.Collector{forwarder.QueueCollector{Scheduler: e.scheduler}, e.unusable.counter, e.lists.counter, e.capacities.unusable, e.capacities.lengths, e.fractions.gauge, e.estimates, e.failingCollector()})
}

// Stopping reports whether the process is shutting down.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// Ready reports whether callers should be sent to this host.
func (e *Entry) Ready() bool {
	age, confirmed := e.refresher.ConfirmationAge()
	return !e.stopping.Load() && !e.Failing() && confirmed && age < maxReadyConfirmationAge && e.distributor.Current().DocumentNumber() > 0
}

// Resolve returns the addresses that callers of a region and failure domain should use for requests to the
// host name, at most MaxListedHosts: ready hosts of the region; if there are none, its hosts that are stopping
// but still serve; if there are none either, ready hosts of the name's home regions.
func (e *Entry) Resolve(name, region, domain string) []string {
	source, hosts := e.selectHosts(name, region)
	e.lists.record(listKey{name, region}, source, func(line *zerolog.Event) { e.describeList(line, name, hosts) })
	// Under pressure alone, with hosts of equal capacity, lists do not change for nothing.
	if e.Table.Uneven() && (source == listReady || source == listOtherRegions) {
		return addressesOf(e.capacities.list(hosts, region, domain))
	}
	return addressesOf(listHosts(hosts, domain, e.Settings.Name))
}

// selectHosts returns the hosts that callers of a region may use for a host name, and which they are.
func (e *Entry) selectHosts(name, region string) (listSource, []*schema.Peer) {
	if region != "" { // the table takes an empty one for all regions
		if hosts := preferConnected(e.withOwnState(region, e.Table.ReadyHosts(region))); len(hosts) > 0 {
			return listReady, hosts
		}
		if hosts := e.Table.StoppingHosts(region, e.GracePeriod-stoppingListMargin); len(hosts) > 0 {
			return listStopping, hosts
		}
	}
	if hosts := e.hostsOfHomes(name); len(hosts) > 0 {
		return listOtherRegions, hosts
	}
	return listEmpty, nil
}

// hostsOfHomes returns the ready hosts of the regions in which every route of a host name may be served.
func (e *Entry) hostsOfHomes(name string) []*schema.Peer {
	homes, known := e.Forwarder.NameHomes(name)
	if !known {
		return nil
	}
	return preferConnected(slices.DeleteFunc(e.withOwnState("", e.Table.ReadyHosts("")), func(p *schema.Peer) bool {
		return homes != nil && !slices.Contains(homes, p.Region)
	}))
}

// describeList adds to a log line how many hosts of each region a list holds, and how old the configuration
// and the table are that it was made from.
func (e *Entry) describeList(line *zerolog.Event, name string, hosts []*schema.Peer) {
	counts := zerolog.Dict()
	perRegion := map[string]int{}
	for _, p := range hosts {
		perRegion[p.Region]++
	}
	for region, n := range perRegion {
		counts.Int(region, n)
	}
	if homes, _ := e.Forwarder.NameHomes(name); homes != nil {
		line.Strs("homes", homes)
	}
	if age, confirmed := e.refresher.ConfirmationAge(); confirmed {
		line.Dur("certainty", age)
	}
	line.Dict("hosts", counts).Bool("ready", e.Ready()).Bool("stopping", e.Stopping()).Uint64("version", e.distributor.Current().Version).
		Dur("table", e.Table.FollowAge()).Dur("observed", e.Table.Observed(false))
}

// relayHosts returns the entry hosts of a region that requests may be relayed to: ready ones that reach its
// upstreams; if there are none, such hosts that are stopping but still serve.
func (e *Entry) relayHosts(region string) []*schema.Peer {
	if connected := e.Table.ConnectedHosts(region); len(connected) > 0 {
		return connected
	}
	return slices.DeleteFunc(e.Table.StoppingHosts(region, e.GracePeriod-graceMargin), isIsolated)
}

func addressesOf(hosts []*schema.Peer) []string {
	var all []string
	for _, h := range hosts {
		all = append(all, h.Listen)
	}
	return all
}

// withOwnState adds this host if it is ready and removes it if it is not: the state that other
// hosts have reported may be out of date. An empty region stands for all regions.
func (e *Entry) withOwnState(region string, entryHosts []*schema.Peer) []*schema.Peer {
	name := e.Settings.Name
	entryHosts = slices.DeleteFunc(entryHosts, func(p *schema.Peer) bool { return p.Name == name })
	if e.Ready() && (region == "" || region == e.Settings.Region) {
		entryHosts = append(entryHosts, &schema.Peer{Name: name, Region: e.Settings.Region, Domain: e.Settings.Domain, Listen: e.Settings.Listen, Capacity: e.Capacity, Isolated: e.prober.Isolated()})
	}
	return entryHosts
}

// ownState returns what this host reports of itself to the control hosts.
func (e *Entry) ownState() *schema.Peer {
	s := e.Settings
	return &schema.Peer{
		Name: s.Name, Region: s.Region, Domain: s.Domain, Listen: s.Listen, Internal: s.Internal,
		Incarnation: e.incarnation, Ready: e.Ready(), Stopping: e.Stopping(), Isolated: e.prober.Isolated(), Loads: e.Forwarder.WithDemands(e.scheduler.OwnLoads()),
		Capacity: e.Capacity,
	}
}

// applyLoads applies loads and digests received from a control host. It is called after the
// table has been updated.
func (e *Entry) applyLoads(loads []*schema.PoolLoad, digests []*schema.RegionDigest) {
	e.scheduler.UpdateOtherLoads(loads)
	e.fractions.record(e.scheduler.SlotFractions())
	e.scheduler.UpdateUpstreams(e.Table.Upstreams())
	e.scheduler.UpdateLeaving(e.Table.LeavingUntil())
	e.scheduler.UpdateBroken(e.Table.BrokenAt())
	e.scheduler.UpdateLimits(e.Table.Limits())
	e.scheduler.UpdateBrittleness(e.Table.Brittleness())
	e.Forwarder.SetRegionDigests(digests)
	e.Forwarder.UpdateAssignments(loads, digests)
}

// applyConfig updates what depends on the configuration. Upstreams of a failure domain whose
// evacuation has ended count as cold again.
func (e *Entry) applyConfig(c *configurer.Snapshot) {
	e.Forwarder.Configure(c)
	evacuated := map[string]bool{}
	for _, path := range c.Paths("evacuation") {
		evacuated[c.Item(path).GetEvacuation().Domain] = true
	}
	for domain := range e.evacuated {
		if !evacuated[domain] {
			e.scheduler.MarkDomainCold(domain)
		}
	}
	e.evacuated = evacuated
	e.Log.Info().Uint64("version", c.Version).Uint64("document", c.DocumentNumber()).Int("evacuated", len(evacuated)).Msg("configuration in force")
	e.scheduler.DispatchAll()
}

// ownsColdUpstream reports whether this host is the one of its region that sends requests to
// a cold upstream: the ready host that reaches upstreams with the highest hash for the upstream (rendezvous hashing).
func (e *Entry) ownsColdUpstream(upstream string) bool {
	owner, maxHash := "", uint64(0)
	for _, p := range e.Table.ConnectedHosts(e.Settings.Region) {
		if hash := xxhash.Sum64String(p.Name + "/" + upstream); owner == "" || hash > maxHash {
			owner, maxHash = p.Name, hash
		}
	}
	return owner == e.Settings.Name
}

// ownerRank returns the rank of this host by its hash for an upstream, from 0, among the ready hosts of
// its region that reach its upstreams, and their number. Any other host ranks last.
func (e *Entry) ownerRank(upstream string) (rank, hosts int) {
	own := xxhash.Sum64String(e.Settings.Name + "/" + upstream)
	ready := false
	for _, p := range e.Table.ConnectedHosts(e.Settings.Region) {
		hosts++
		switch hash := xxhash.Sum64String(p.Name + "/" + upstream); {
		case p.Name == e.Settings.Name:
			ready = true
		case hash > own:
			rank++
		}
	}
	if hosts = max(1, hosts); !ready {
		return hosts, hosts
	}
	return rank, hosts
}

// connectedHostCount returns how many entry hosts share the upstreams of this region.
func (e *Entry) connectedHostCount() int { return len(e.Table.ConnectedHosts(e.Settings.Region)) }

// processState returns what the table knows of an upstream's process.
func (e *Entry) processState(u quarantiner.Upstream) quarantiner.State {
	a := e.Table.Upstream(u.Name)
	switch {
	case a == nil:
		return quarantiner.Running
	case a.Incarnation > u.Incarnation:
		return quarantiner.Ended
	case a.Leaving:
		return quarantiner.Leaving
	case a.Gone:
		return quarantiner.Ended // another upstream has its address
	}
	return quarantiner.Running
}

func (e *Entry) pruneConnections() {
	liveAddresses := map[string]bool{}
	for _, a := range e.Table.Upstreams() {
		liveAddresses[a.Address] = true
	}
	e.pool.Prune(func(address string) bool { return liveAddresses[address] })
}
