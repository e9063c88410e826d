package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/trefoilloft/trefoilloft/internal/admitter"
	"github.com/trefoilloft/trefoilloft/internal/caller"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/journaler"
	"github.com/trefoilloft/trefoilloft/internal/limiter"
	"github.com/trefoilloft/trefoilloft/internal/prober"
	"github.com/trefoilloft/trefoilloft/internal/proposer"
	"github.com/trefoilloft/trefoilloft/internal/recorder"
	"github.com/trefoilloft/trefoilloft/internal/registrar"
	"github.com/trefoilloft/trefoilloft/internal/reporter"
	"github.com/trefoilloft/trefoilloft/internal/router"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
	"github.com/trefoilloft/trefoilloft/internal/withdrawer"
)

const (
	headerTimeout  = 5 * time.Second
	headerLimit    = 32 << 10
	idleConnection = 2 * time.Minute
	// Time that callers may rely on a list of hosts.
	listLifetime = 5 * time.Second
	// Longest time that a stopping host waits for requests to finish.
	drainLimit    = 10 * time.Minute
	pruneInterval = 5 * time.Second
	// Time that other processes get to end their calls after the last request has finished.
	followersLimit = time.Second
)

// Server is one entry host. Set the exported fields, then call Run.
type Server struct {
	Settings *schema.Settings
	Timer    *timer.Service
	Dialer   *dialer.Dialer
	Log      zerolog.Logger
	Points   *prober.Points

	// identity names the host: kept on its disk if it has one. incarnation names the process.
	identity    uint64
	incarnation uint64
	distributor *distributor.Distributor
	withdrawer  *withdrawer.Withdrawer
	registrar   *registrar.Registrar
	router      *router.Router
	admitter    *admitter.Admitter
	limiter     *limiter.Limiter
	caller      *caller.Caller
	holder      *recorder.Holder
	proposer    *proposer.Proposer
	regions     regionTable
	reports     reports
	running     runningKeys
	retries     retryBudget
	mayRecord   sync.Mutex
	burn        reporter.Reporter
	metrics     *metrics
	draining    atomic.Bool
	inflight    atomic.Int64
	joined      atomic.Bool
}

// Open reads the data folder, if the host has a disk, and builds the parts.
func (s *Server) Open(ctx context.Context) error {
	s.identity, s.incarnation = rand.Uint64()|1, rand.Uint64()|1
	s.metrics = newMetrics()
	s.burn.Now = s.Timer.Now
	s.buildParts(ctx)
	if err := s.openRecords(); err != nil {
		return err
	}
	if s.Settings.Data != "" {
		if err := s.openData(ctx); err != nil {
			return err
		}
	}
	return s.withdrawer.Open()
}

func (s *Server) buildParts(ctx context.Context) {
	s.withdrawer = &withdrawer.Withdrawer{Added: s.stopKey}
	s.distributor = &distributor.Distributor{Timer: s.Timer, Changed: s.configChanged}
	s.registrar = &registrar.Registrar{Timer: s.Timer}
	s.router = &router.Router{Timer: s.Timer, Live: s.registrar.Live, Hosts: s.regionHosts}
	s.admitter = &admitter.Admitter{Timer: s.Timer, Capacity: s.router.Capacity}
	s.registrar.Changed = s.admitter.Wake
	s.caller = &caller.Caller{Timer: s.Timer}
	s.caller.Start(ctx)
	s.proposer = &proposer.Proposer{Dialer: s.Dialer, Controls: s.Settings.Controls, Token: s.Settings.Secret, Timer: s.Timer}
	s.limiter = s.newLimiter()
}

func (s *Server) newLimiter() *limiter.Limiter {
	name := s.Settings.Name
	return &limiter.Limiter{
		Host: name, Timer: s.Timer, Transport: lendingTransport{s},
		Lender:  &limiter.Lender{Now: s.Timer.Now, Terms: s.terms, Incarnation: s.incarnation},
		Donor:   &limiter.Donor{Host: name, Now: s.Timer.Now, Hosts: s.lenders, Share: s.share},
		Spender: &limiter.Spender{Host: name, Now: s.Timer.Now, Terms: s.terms, Share: s.share},
	}
}

// openData locks the data folder and puts the last configuration it holds in force, so
// that a host of a region that is cut off serves after a restart.
func (s *Server) openData(ctx context.Context) error {
	folder := filepath.Join(s.Settings.Data, "entry")
	unlock, err := journaler.Lock(folder)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = unlock() })
	if s.identity, err = loadIdentity(folder, s.identity); err != nil {
		return err
	}
	if err := s.loadConfig(folder); err != nil {
		return err
	}
	s.distributor.Store = func(next *configurer.Snapshot) error { return storeConfig(folder, next) }
	s.withdrawer.Journal = &journaler.Journal{Folder: filepath.Join(folder, "withdrawn")}
	return nil
}

// Run serves until ctx ends, then stops gracefully: no request is cut off.
func (s *Server) Run(ctx context.Context) error {
	parts, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	if err := s.Open(parts); err != nil {
		return err
	}
	internal, err := net.Listen("tcp", s.Settings.Internal)
	if err != nil {
		return fmt.Errorf("server: internal: %w", err)
	}
	public, err := net.Listen("tcp", s.Settings.Listen)
	if err != nil {
		return errors.Join(fmt.Errorf("server: listen: %w", err), internal.Close())
	}
	processes, err := dialer.NewServer(s.Settings.Secret, s.Settings.Mutual, freeMethods)
	if err != nil {
		return errors.Join(err, internal.Close(), public.Close())
	}
	schema.RegisterEntryServiceServer(processes, &Service{Server: s})
	callers := s.callersServer()
	failed := make(chan error, 2)
	go func() { failed <- processes.Serve(internal) }()
	go func() { failed <- s.serveCallers(callers, public) }()
	s.startParts(parts)
	s.Log.Info().Str("listen", s.Settings.Listen).Str("region", s.Settings.Region).Msg("serving")
	select {
	case <-ctx.Done():
		return s.drain(callers, processes)
	case err := <-failed:
		return fmt.Errorf("server: %w", err)
	}
}

func (s *Server) callersServer() *http.Server {
	return &http.Server{
		Handler: s.handler(), ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes: headerLimit, IdleTimeout: idleConnection,
	}
}

func (s *Server) serveCallers(h *http.Server, l net.Listener) error {
	if t := s.Settings.Tls; t != nil {
		h.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12}
		return h.ServeTLS(l, t.Cert, t.Key)
	}
	return h.Serve(l)
}

func (s *Server) startParts(ctx context.Context) {
	s.limiter.Start(ctx)
	go s.follow(ctx)
	go s.join(ctx)
	s.every(ctx, reportInterval, func() { go s.report(ctx) })
	s.every(ctx, digestInterval, func() { go s.pollDigests(ctx) })
	s.every(ctx, withdrawInterval, func() { go s.exchangeWithdrawn(ctx) })
	s.every(ctx, pruneInterval, s.prune)
	s.every(ctx, surveyInterval, func() { s.surveyOthers(ctx) })
	s.every(ctx, pruneRecords, func() { go s.pruneRecords() })
}

func (s *Server) every(ctx context.Context, interval time.Duration, call func()) {
	context.AfterFunc(ctx, s.Timer.Every(interval, call))
}

func (s *Server) pruneRecords() {
	if err := s.holder.Prune(); err != nil {
		s.Log.Error().Err(err).Msg("records are not durable")
	}
}

func (s *Server) prune() {
	s.router.Prune()
	live := map[string]bool{}
	for _, u := range s.registrar.Live() {
		live[u.Address] = true
	}
	s.caller.Forget(func(address string) bool { return live[address] })
}

// drain leaves the list of hosts, keeps serving until no caller may still hold a list that
// names this host, then finishes every request.
func (s *Server) drain(callers *http.Server, processes *grpc.Server) error {
	s.draining.Store(true)
	s.Log.Info().Int64("inflight", s.inflight.Load()).Msg("draining")
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	request := &schema.Command{Op: &schema.Command_Drain{Drain: &schema.DrainHost{Name: s.Settings.Name}}}
	go func() { _, _ = s.proposer.Propose(ctx, request) }()
	if err := s.Timer.Sleep(ctx, listLifetime); err != nil {
		return err
	}
	err := callers.Shutdown(ctx)
	for s.inflight.Load() > 0 && ctx.Err() == nil {
		_ = s.Timer.Sleep(ctx, 20*time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		processes.GracefulStop()
		close(stopped)
	}()
	// Followers hold their streams open for ever; what matters has finished above.
	stop := s.Timer.Once(followersLimit, processes.Stop)
	<-stopped
	stop()
	s.Log.Info().Msg("stopped")
	return err
}
