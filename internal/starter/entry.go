package starter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/run"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/forwarder"
	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/refresher"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	wakeInterval  = 50 * time.Millisecond
	pruneInterval = 2 * time.Second
	// Age of the certainty beyond which this host does not offer itself to callers.
	readyLimit = 4 * time.Second
	// Time that a stopping host goes on at least: callers still hold lists that name it.
	lingerTime = 4500 * time.Millisecond
	// Part of the grace that is left unused.
	graceMargin = 400 * time.Millisecond
	stopPoll    = 50 * time.Millisecond
	// Requests under way at which other hosts hear of this one's load more often.
	busyRequests = 8
	// Time before the end of its grace at which a stopping host is no longer named, although
	// no other of its region is ready.
	stoppingMargin = time.Second
)

// Entry is an entry host. Set the exported fields, then call Run.
type Entry struct {
	Options
	Dialect forwarder.Dialect
	// KeyLimit is the age of the configuration's certainty beyond which no key is good.
	KeyLimit time.Duration
	// Slack is the number of tokens by which a customer may exceed its limits over all hosts.
	Slack float64
	// Retries bounds repeats at upstreams; its clock and hosts are filled in.
	Retries forwarder.Budget
	// Listeners returns the interface's listeners.
	Listeners func(*Entry) []Listener

	Timer       *timer.Service
	Forwarder   *forwarder.Forwarder
	Table       *cataloger.Table
	distributor *distributor.Distributor
	refresher   *refresher.Refresher
	scheduler   *scheduler.Scheduler
	pool        *pooler.Pool
	bucket      *allocator.Bucket
	dialer      *dialer.Dialer
	incarnation uint64
	stopping    atomic.Bool
	evacuated   map[string]bool // only configure uses it
}

// TermsOf returns a customer's limits in a configuration.
func TermsOf(c *configurer.Snapshot, customer string) (allocator.Terms, bool) {
	x := c.Customer(customer)
	return allocator.Terms{Rate: x.GetRate(), Burst: x.GetBurst()}, x != nil
}

func (e *Entry) build() {
	e.Timer = &timer.Service{}
	e.incarnation = uint64(time.Now().UnixNano())
	e.dialer = &dialer.Dialer{Secret: e.Settings.Secret, Timer: e.Timer}
	e.Table = &cataloger.Table{Timer: e.Timer, Interval: e.Interval, Follows: true}
	e.Table.Start()
	e.distributor = &distributor.Distributor{Timer: e.Timer, Changed: e.configure}
	e.bucket = &allocator.Bucket{Now: e.Timer.Now, Slack: e.Slack, Terms: func(customer string) (allocator.Terms, bool) {
		return TermsOf(e.distributor.Current(), customer)
	}}
	e.scheduler = &scheduler.Scheduler{Timer: e.Timer, Config: e.distributor.Current, Owns: e.owns, Hosts: e.hosts}
	e.pool = &pooler.Pool{Timer: e.Timer}
	e.refresher = &refresher.Refresher{
		Timer: e.Timer, Dialer: e.dialer, Log: e.Log, Seeds: e.Seeds, Self: e.self,
		Distributor: e.distributor, Table: e.Table, Bucket: e.bucket, Loaded: e.loaded,
		Busy: func() bool { return e.Forwarder.Inflight() >= busyRequests },
	}
	e.refresher.Init()
	e.Retries.Now = e.Timer.Now
	e.Retries.Hosts = func() int { return len(e.Table.Ready("")) }
	e.Forwarder = &forwarder.Forwarder{
		Host: e.Settings.Name, Region: e.Settings.Region, Timer: e.Timer, Dialer: e.dialer, Log: e.Log, Scheduler: e.scheduler,
		Pool: e.pool, Bucket: e.bucket, Budget: &e.Retries, Dialect: e.Dialect, Metrics: forwarder.NewMetrics(),
		Age: e.refresher.Age, KeyLimit: e.KeyLimit, Peers: e.Table.Ready, Borrow: e.refresher.Borrow,
	}
}

// Run serves until ctx ends, then stops gracefully.
func (e *Entry) Run(ctx context.Context) error {
	e.tune()
	e.build()
	defer e.dialer.Close()
	l, err := net.Listen("tcp", e.Settings.Internal)
	if err != nil {
		return fmt.Errorf("starter: internal: %w", err)
	}
	processes, err := dialer.NewServer(e.Settings.Secret, nil, func(string) bool { return false })
	if err != nil {
		return errors.Join(err, l.Close())
	}
	schema.RegisterRelayServiceServer(processes, &forwarder.RelayService{Forwarder: e.Forwarder})
	parts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g run.Group
	g.Add(func() error { return e.Timer.Run(parts) }, func(error) { cancel() })
	g.Add(func() error { return e.refresher.Run(parts) }, func(error) { cancel() })
	g.Add(func() error { return processes.Serve(l) }, func(error) { processes.Stop() })
	for _, x := range e.Listeners(e) {
		g.Add(func() error { return serveHTTP(parts, x) }, func(error) { cancel() })
	}
	g.Add(func() error { return e.waitToStop(ctx, parts) }, func(error) { cancel() })
	stopWake := e.Timer.Every(wakeInterval, e.scheduler.Wake)
	defer stopWake()
	stopPrune := e.Timer.Every(pruneInterval, e.prune)
	defer stopPrune()
	e.Log.Info().Str("region", e.Settings.Region).Str("domain", e.Settings.Domain).Msg("entry host started")
	err = g.Run()
	e.Log.Info().Err(err).Msg("entry host stopped")
	return err
}

// waitToStop waits for the signal to stop, then until every request has ended and callers
// have turned away, or until the grace is over.
func (e *Entry) waitToStop(ctx, parts context.Context) error {
	select {
	case <-ctx.Done():
	case <-parts.Done():
		return nil
	}
	begun := e.Timer.Now()
	end := begun + e.Grace - graceMargin
	e.stopping.Store(true)
	e.Forwarder.Stop(end)
	e.refresher.Kick()
	e.Log.Info().Int64("inflight", e.Forwarder.Inflight()).Dur("grace", e.Grace).Msg("stopping")
	for e.Timer.Now() < end {
		if e.Timer.Now()-begun > lingerTime && e.Forwarder.Inflight() == 0 && len(e.Table.Ready(e.Settings.Region)) > 0 {
			break
		}
		if err := e.Timer.Sleep(parts, stopPoll); err != nil {
			return nil
		}
	}
	e.Log.Info().Int64("inflight", e.Forwarder.Inflight()).Msg("requests ended")
	return nil
}

// Stopping reports whether the process is about to end.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// Ready reports whether callers should be sent to this host.
func (e *Entry) Ready() bool {
	age, sure := e.refresher.Age()
	return !e.stopping.Load() && sure && age < readyLimit && e.distributor.Current().Document() > 0
}

// Resolve returns the addresses that callers of a region should use: its ready hosts, else
// those of it that stop but still serve, else the ready hosts of other regions.
func (e *Entry) Resolve(region string) []string {
	peers := e.withSelf(region, e.Table.Ready(region))
	if len(peers) == 0 {
		peers = e.Table.Stopping(region, e.Grace-stoppingMargin)
	}
	if len(peers) == 0 {
		peers = e.withSelf("", e.Table.Ready(""))
	}
	var all []string
	for _, p := range peers {
		all = append(all, p.Listen)
	}
	return all
}

// withSelf adds this host if it is ready, and takes it out if it is not: others may not
// have heard yet.
func (e *Entry) withSelf(region string, peers []*schema.Peer) []*schema.Peer {
	name := e.Settings.Name
	peers = slices.DeleteFunc(peers, func(p *schema.Peer) bool { return p.Name == name })
	if e.Ready() && (region == "" || region == e.Settings.Region) {
		peers = append(peers, &schema.Peer{Name: name, Listen: e.Settings.Listen})
	}
	return peers
}

// self is what this host says of itself.
func (e *Entry) self() *schema.Peer {
	s := e.Settings
	return &schema.Peer{
		Name: s.Name, Region: s.Region, Domain: s.Domain, Listen: s.Listen, Internal: s.Internal,
		Incarnation: e.incarnation, Ready: e.Ready(), Stopping: e.Stopping(), Loads: e.scheduler.Report(),
	}
}

// loaded takes what a control host told of others, after the table has been updated.
func (e *Entry) loaded(loads []*schema.PoolLoad, digests []*schema.RegionDigest) {
	e.scheduler.Loads(loads)
	e.scheduler.Update(e.Table.Upstreams())
	e.Forwarder.Digests(digests)
}

// configure puts in order what depends on the configuration.
func (e *Entry) configure(c *configurer.Snapshot) {
	e.Forwarder.Configure(c)
	evacuated := map[string]bool{}
	for _, p := range c.Paths("evacuation") {
		evacuated[c.Item(p).GetEvacuation().Domain] = true
	}
	for domain := range e.evacuated {
		if !evacuated[domain] {
			e.scheduler.Chill(domain)
		}
	}
	e.evacuated = evacuated
	e.Log.Info().Uint64("version", c.Version).Uint64("document", c.Document()).Int("evacuated", len(evacuated)).Msg("configuration in force")
	e.scheduler.Wake()
}

// owns reports whether this host is the one of its region that sends work to a cold
// upstream: the ready host that its name prefers.
func (e *Entry) owns(upstream string) bool {
	best, most := "", uint64(0)
	for _, p := range e.Table.Ready(e.Settings.Region) {
		if h := xxhash.Sum64String(p.Name + "/" + upstream); best == "" || h > most {
			best, most = p.Name, h
		}
	}
	return best == e.Settings.Name
}

// hosts returns how many entry hosts share the upstreams of this region.
func (e *Entry) hosts() int { return len(e.Table.Ready(e.Settings.Region)) }

func (e *Entry) prune() {
	live := map[string]bool{}
	for _, a := range e.Table.Upstreams() {
		live[a.Address] = true
	}
	e.pool.Prune(func(address string) bool { return live[address] })
}
