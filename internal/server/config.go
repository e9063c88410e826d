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
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/journaler"
	"github.com/trefoilloft/trefoilloft/internal/limiter"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	configFile     = "config"
	identityFile   = "identity"
	reportInterval = 500 * time.Millisecond
	callTimeout    = 800 * time.Millisecond
	// A source that sends nothing for this long is left.
	sourceSilence = 4 * distributor.IdleInterval
	sourcePause   = 100 * time.Millisecond
)

var errSilent = errors.New("server: configuration source went silent")

func (s *Server) snapshot() *configurer.Snapshot { return s.distributor.Current() }

// Key returns a key of the configuration in force.
func (s *Server) Key(hash string) *schema.Key { return s.snapshot().Key(hash) }

// Withdrawn reports whether some host has accepted the withdrawal of a key.
func (s *Server) Withdrawn(hash string) bool { return s.withdrawer.Has(hash) }

func (s *Server) terms(customer string) (limiter.Terms, bool) {
	c := s.snapshot().Customer(customer)
	return limiter.Terms{Rate: c.GetRate(), Burst: c.GetBurst()}, c != nil
}

func (s *Server) share() int32 { return s.snapshot().Host(s.Settings.Name).GetShare() }

// lenders returns the hosts that may lend: all that are listed.
func (s *Server) lenders() []string {
	var names []string
	for _, h := range s.snapshot().Hosts() {
		if h.State != schema.HostState_HOST_DRAINING {
			names = append(names, h.Name)
		}
	}
	return names
}

// regionHosts returns how many hosts of this region serve.
func (s *Server) regionHosts() int {
	n := 0
	for _, h := range s.snapshot().Hosts() {
		if h.Region == s.Settings.Region && h.State != schema.HostState_HOST_DRAINING {
			n++
		}
	}
	return n
}

// loadIdentity returns the identity that a data folder holds. An empty folder gets fresh.
func loadIdentity(folder string, fresh uint64) (uint64, error) {
	path := filepath.Join(folder, identityFile)
	b, err := journaler.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return fresh, journaler.WriteFile(path, binary.BigEndian.AppendUint64(nil, fresh))
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
		return fmt.Errorf("server: %s: %w", configFile, err)
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

// configChanged puts in order what depends on the configuration.
func (s *Server) configChanged(next *configurer.Snapshot) {
	s.metrics.version.Set(float64(next.Version))
	s.withdrawer.Prune(next)
	s.configureRecords(next)
	s.running.stopWithdrawn(next)
	s.reports.wake()
}

// source is where the configuration comes from.
type source struct {
	address string
	watch   func(context.Context, *schema.WatchRequest) (grpc.ServerStreamingClient[schema.WatchReply], error)
}

// follow keeps the configuration up to date from the best source that answers.
func (s *Server) follow(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		sources := s.sources()
		from := sources[turn%len(sources)]
		err := s.followSource(ctx, from)
		s.metrics.sourceChanges.Inc()
		s.Log.Debug().Err(err).Str("source", from.address).Msg("configuration source left")
		_ = s.Timer.Sleep(ctx, sourcePause)
	}
}

// sources returns where to get the configuration, best first: the failure domain's
// representative, then control hosts, then any other host, which is all that a region
// that is cut off has.
func (s *Server) sources() []source {
	var out []source
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

// representative returns the host that feeds this failure domain.
func (s *Server) representative() string {
	for _, h := range s.snapshot().Hosts() {
		if h.Domain == s.Settings.Domain && h.Region == s.Settings.Region && h.State != schema.HostState_HOST_DRAINING {
			return h.Name
		}
	}
	return s.Settings.Name
}

func (s *Server) entrySource(address string) source {
	return source{address: address, watch: func(ctx context.Context, r *schema.WatchRequest) (grpc.ServerStreamingClient[schema.WatchReply], error) {
		c, err := s.Dialer.Entry(address)
		if err != nil {
			return nil, err
		}
		return c.Watch(ctx, r)
	}}
}

func (s *Server) controlSource(address string) source {
	return source{address: address, watch: func(ctx context.Context, r *schema.WatchRequest) (grpc.ServerStreamingClient[schema.WatchReply], error) {
		c, err := s.Dialer.Control(address)
		if err != nil {
			return nil, err
		}
		return c.Watch(ctx, r)
	}}
}

// followSource follows one source until it fails, falls silent or is no longer the best.
func (s *Server) followSource(ctx context.Context, from source) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	current := s.snapshot()
	request := &schema.WatchRequest{Version: current.Version, Hash: current.Hash, Host: s.Settings.Name}
	silence := s.silence(cancel)
	defer silence.stop()
	for {
		stream, err := from.watch(ctx, request)
		if err != nil {
			return err
		}
		if err := s.takeStream(stream, silence); err != nil {
			return errors.Join(err, context.Cause(ctx))
		}
		request = &schema.WatchRequest{Host: s.Settings.Name} // a gap: ask for everything
	}
}

func (s *Server) takeStream(stream grpc.ServerStreamingClient[schema.WatchReply], silence *silenceWatch) error {
	for {
		reply, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.reset()
		again, err := s.distributor.Take(reply)
		if err != nil || again {
			return err
		}
	}
}

// silenceWatch cancels a stream on which nothing arrives.
type silenceWatch struct {
	server *Server
	fail   context.CancelCauseFunc
	mu     sync.Mutex
	cancel func() // guarded by mu
}

func (s *Server) silence(fail context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{server: s, fail: fail}
	w.reset()
	return w
}

func (w *silenceWatch) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel()
	}
	w.cancel = w.server.Timer.Once(sourceSilence, func() { w.fail(errSilent) })
}

func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
}

// reports collects which versions are in force here and at the hosts that follow this one.
type reports struct {
	mu    sync.Mutex
	hosts map[string]*schema.Acknowledgement // guarded by mu
	news  func()
}

func (r *reports) take(hosts []*schema.Acknowledgement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hosts == nil {
		r.hosts = map[string]*schema.Acknowledgement{}
	}
	for _, h := range hosts {
		r.hosts[h.Host] = h
	}
}

// drainAll returns what was collected since the last call.
func (r *reports) drainAll() []*schema.Acknowledgement {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*schema.Acknowledgement
	for _, h := range r.hosts {
		all = append(all, h)
	}
	r.hosts = nil
	slices.SortFunc(all, func(a, b *schema.Acknowledgement) int { return strings.Compare(a.Host, b.Host) })
	return all
}

func (r *reports) wake() {
	if r.news != nil {
		r.news()
	}
}

// report tells the version in force here, and below, to the representative; the
// representative tells the control hosts.
func (s *Server) report(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	current := s.snapshot()
	mine := &schema.Acknowledgement{Host: s.Settings.Name, Version: current.Version, Hash: current.Hash, Ready: s.readyGroups()}
	message := &schema.Acknowledgements{Hosts: append(s.reports.drainAll(), mine)}
	if h := current.Host(s.representative()); h != nil && h.Name != s.Settings.Name {
		if c, err := s.Dialer.Entry(h.Internal); err == nil {
			if _, err := c.Report(ctx, message); err == nil {
				return
			}
		}
	}
	for _, control := range s.Settings.Controls {
		go s.reportTo(control.Address, message)
	}
}

func (s *Server) reportTo(address string, message *schema.Acknowledgements) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if c, err := s.Dialer.Control(address); err == nil {
		_, _ = c.Report(ctx, message)
	}
}

// join asks the control hosts to list this host, until they do.
func (s *Server) join(ctx context.Context) {
	host := &schema.Host{
		Name: s.Settings.Name, Region: s.Settings.Region, Domain: s.Settings.Domain,
		Listen: s.Settings.Listen, Internal: s.Settings.Internal,
		Disk: s.Settings.Data != "", Identity: s.identity,
	}
	for ctx.Err() == nil {
		once, cancel := context.WithTimeout(ctx, 5*time.Second)
		_, err := s.proposer.Propose(once, &schema.Command{Op: &schema.Command_Join{Join: host}})
		cancel()
		if err == nil {
			s.joined.Store(true)
			return
		}
		s.Log.Warn().Err(err).Msg("not listed yet")
		_ = s.Timer.Sleep(ctx, time.Second)
	}
}
