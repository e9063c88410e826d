package server

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/journaler"
	"github.com/trefoilloft/trefoilloft/internal/limiter"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	configFile     = "config"
	identityFile   = "identity"
	reportInterval = 500 * time.Millisecond
	rpcTimeout     = 800 * time.Millisecond
	// Time without a message after which a configuration source is abandoned.
	sourceTimeout    = 4 * distributor.IdleInterval
	sourceRetryDelay = 100 * time.Millisecond
)

var errSourceTimeout = errors.New("server: configuration source sent nothing in time")

func (s *Server) snapshot() *configurer.Snapshot { return s.distributor.Current() }

// Key returns the API key with the given hash in the configuration in force, or nil.
func (s *Server) Key(hash string) *schema.Key { return s.snapshot().Key(hash) }

// Withdrawn reports whether some host has accepted a withdrawal of the API key with the given hash
// that the configuration in force does not record yet.
func (s *Server) Withdrawn(hash string) bool { return s.withdrawer.Has(hash) }

func (s *Server) limits(customer string) (limiter.Limits, bool) {
	c := s.snapshot().Customer(customer)
	return limiter.Limits{Rate: c.GetRate(), Burst: c.GetBurst()}, c != nil
}

func (s *Server) ownShare() int32 { return s.snapshot().Host(s.Settings.Name).GetShare() }

// lenders returns the hosts to which shares may be lent: all that are not draining.
func (s *Server) lenders() []string {
	var names []string
	for _, h := range s.snapshot().Hosts() {
		if h.State != schema.HostState_HOST_DRAINING {
			names = append(names, h.Name)
		}
	}
	return names
}

// regionHostCount returns the number of hosts of this region that are not draining.
func (s *Server) regionHostCount() int {
	n := 0
	for _, h := range s.snapshot().Hosts() {
		if h.Region == s.Settings.Region && h.State != schema.HostState_HOST_DRAINING {
			n++
		}
	}
	return n
}

// loadIdentity returns the identity stored in a data folder. If there is none, it stores and
// returns generated.
func loadIdentity(folder string, generated uint64) (uint64, error) {
	path := filepath.Join(folder, identityFile)
	b, err := journaler.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return generated, journaler.WriteFile(path, binary.BigEndian.AppendUint64(nil, generated))
	}
	if err != nil {
		return 0, err
	}
	if len(b) != 8 {
		return 0, fmt.Errorf("%w: %s: offset 0", journaler.ErrDamaged, path)
	}
	return binary.BigEndian.Uint64(b), nil
}

func (s *Server) loadConfig(folder string) error {
	b, err := journaler.ReadFile(filepath.Join(folder, configFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	m := &schema.Snapshot{}
	if err := proto.Unmarshal(b, m); err != nil {
		return fmt.Errorf("server: decode %s: %w", configFile, err)
	}
	return s.distributor.Replace(configurer.FromMessage(m))
}

func storeConfig(folder string, next *configurer.Snapshot) error {
	b, err := proto.Marshal(next.Message())
	if err != nil {
		return err
	}
	return journaler.WriteFile(filepath.Join(folder, configFile), b)
}

// applyConfig updates what depends on the configuration.
func (s *Server) applyConfig(next *configurer.Snapshot) {
	s.metrics.configVersion.Set(float64(next.Version))
	s.withdrawer.Prune(next)
	s.configureRecords(next)
	s.running.cancelWithdrawn(next)
	s.reports.notify()
}

// configSource is a process from which the configuration can be watched.
type configSource struct {
	address string
	watch   func(context.Context, *schema.WatchRequest) (grpc.ServerStreamingClient[schema.WatchReply], error)
}

// followConfig keeps the configuration up to date, from one source after another, until ctx is
// done.
func (s *Server) followConfig(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		confiner.Call(s.Log, "configuration", func() {
			sources := s.configSources()
			source := sources[turn%len(sources)]
			err := s.followSource(ctx, source)
			s.metrics.sourceChanges.Inc()
			s.Log.Debug().Err(err).Str("source", source.address).Msg("configuration source abandoned; trying the next one")
		})
		_ = s.Timer.Sleep(ctx, sourceRetryDelay)
	}
}

// configSources returns the sources of the configuration, best first: the failure domain's
// representative, then the control hosts, then the other hosts of the region, which are all
// that a partitioned region has.
func (s *Server) configSources() []configSource {
	var out []configSource
	representative := s.representative()
	if h := s.snapshot().Host(representative); h != nil && representative != s.Settings.Name {
		out = append(out, s.entrySource(h.Internal))
	}
	for _, c := range s.Settings.Controls {
		out = append(out, s.controlSource(c.Address))
	}
	for _, h := range s.snapshot().Hosts() {
		if h.Name != s.Settings.Name && h.Region == s.Settings.Region {
			out = append(out, s.entrySource(h.Internal))
		}
	}
	return out
}

// representative returns the name of the host from which the others of this failure domain get
// the configuration.
func (s *Server) representative() string {
	for _, h := range s.snapshot().Hosts() {
		if h.Domain == s.Settings.Domain && h.Region == s.Settings.Region && h.State != schema.HostState_HOST_DRAINING {
			return h.Name
		}
	}
	return s.Settings.Name
}

func (s *Server) entrySource(address string) configSource {
	return configSource{address: address, watch: func(ctx context.Context, r *schema.WatchRequest) (grpc.ServerStreamingClient[schema.WatchReply], error) {
		c, err := s.Dialer.EntryClient(address)
		if err != nil {
			return nil, err
		}
		return c.Watch(ctx, r)
	}}
}

func (s *Server) controlSource(address string) configSource {
	return configSource{address: address, watch: func(ctx context.Context, r *schema.WatchRequest) (grpc.ServerStreamingClient[schema.WatchReply], error) {
		c, err := s.Dialer.ControlClient(address)
		if err != nil {
			return nil, err
		}
		return c.Watch(ctx, r)
	}}
}

// followSource applies the configuration from one source until the source fails, sends nothing
// for sourceTimeout or has been without contact to a control host for too long.
func (s *Server) followSource(ctx context.Context, source configSource) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	current := s.snapshot()
	request := &schema.WatchRequest{Version: current.Version, Hash: current.Hash, Host: s.Settings.Name}
	watchdog := s.newWatchdog(cancel)
	defer watchdog.stop()
	for {
		stream, err := source.watch(ctx, request)
		if err != nil {
			return err
		}
		if err := s.applyStream(stream, watchdog); err != nil {
			return errors.Join(err, context.Cause(ctx))
		}
		request = &schema.WatchRequest{Host: s.Settings.Name} // a gap in the versions: request a whole snapshot
	}
}

func (s *Server) applyStream(stream grpc.ServerStreamingClient[schema.WatchReply], watchdog *streamWatchdog) error {
	for {
		reply, err := stream.Recv()
		if err != nil {
			return err
		}
		watchdog.reset()
		gap, err := s.distributor.ApplyReply(reply)
		if err != nil || gap {
			return err
		}
	}
}

// streamWatchdog cancels a stream on which nothing arrives for sourceTimeout.
type streamWatchdog struct {
	server       *Server
	cancelStream context.CancelCauseFunc
	mu           sync.Mutex
	stopTimer    func() // guarded by mu
}

func (s *Server) newWatchdog(cancelStream context.CancelCauseFunc) *streamWatchdog {
	w := &streamWatchdog{server: s, cancelStream: cancelStream}
	w.reset()
	return w
}

func (w *streamWatchdog) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopTimer != nil {
		w.stopTimer()
	}
	w.stopTimer = w.server.Timer.Once(sourceTimeout, func() { w.cancelStream(errSourceTimeout) })
}

func (w *streamWatchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopTimer()
}

// versionReports collects the configuration versions in force at the hosts that watch this one.
type versionReports struct {
	mu       sync.Mutex
	byHost   map[string]*schema.Acknowledgement // guarded by mu
	onChange func()
}

func (r *versionReports) add(hosts []*schema.Acknowledgement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byHost == nil {
		r.byHost = map[string]*schema.Acknowledgement{}
	}
	for _, h := range hosts {
		r.byHost[h.Host] = h
	}
}

// takeAll returns the reports collected since the last call, by name of host, and clears them.
func (r *versionReports) takeAll() []*schema.Acknowledgement {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*schema.Acknowledgement
	for _, h := range r.byHost {
		all = append(all, h)
	}
	r.byHost = nil
	slices.SortFunc(all, func(a, b *schema.Acknowledgement) int { return strings.Compare(a.Host, b.Host) })
	return all
}

func (r *versionReports) notify() {
	if r.onChange != nil {
		r.onChange()
	}
}

// reportVersions sends the versions in force here and at the hosts that watch this one to the
// representative. The representative, or a host that can't reach it, sends them to the control
// hosts.
func (s *Server) reportVersions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	current := s.snapshot()
	mine := &schema.Acknowledgement{Host: s.Settings.Name, Version: current.Version, Hash: current.Hash, Ready: s.readyGroups()}
	message := &schema.Acknowledgements{Hosts: append(s.reports.takeAll(), mine)}
	if h := current.Host(s.representative()); h != nil && h.Name != s.Settings.Name {
		if c, err := s.Dialer.EntryClient(h.Internal); err == nil {
			if _, err := c.Report(ctx, message); err == nil {
				return
			}
		}
	}
	for _, control := range s.Settings.Controls {
		s.background("report", func() { s.reportToControl(control.Address, message) })
	}
}

func (s *Server) reportToControl(address string, message *schema.Acknowledgements) {
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	if c, err := s.Dialer.ControlClient(address); err == nil {
		_, _ = c.Report(ctx, message)
	}
}

// requestToJoin asks the control hosts to list this host, until they accept or ctx is done.
func (s *Server) requestToJoin(ctx context.Context) {
	host := &schema.Host{
		Name: s.Settings.Name, Region: s.Settings.Region, Domain: s.Settings.Domain,
		Listen: s.Settings.Listen, Internal: s.Settings.Internal,
		Disk: s.Settings.Data != "", Identity: s.identity,
	}
	for ctx.Err() == nil {
		confiner.Call(s.Log, "join", func() {
			attemptCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			_, err := s.proposer.Propose(attemptCtx, &schema.Command{Op: &schema.Command_Join{Join: host}})
			if s.joined.Store(err == nil); err != nil {
				s.Log.Warn().Err(err).Msg("request to join failed; retrying")
			}
		})
		if s.joined.Load() {
			return
		}
		_ = s.Timer.Sleep(ctx, time.Second)
	}
}
