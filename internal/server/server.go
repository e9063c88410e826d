package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/trefoilloft/trefoilloft/internal/accepter"
	"github.com/trefoilloft/trefoilloft/internal/admitter"
	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/controller"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/injector"
	"github.com/trefoilloft/trefoilloft/internal/journaler"
	"github.com/trefoilloft/trefoilloft/internal/limiter"
	"github.com/trefoilloft/trefoilloft/internal/proposer"
	"github.com/trefoilloft/trefoilloft/internal/recorder"
	"github.com/trefoilloft/trefoilloft/internal/registrar"
	"github.com/trefoilloft/trefoilloft/internal/reporter"
	"github.com/trefoilloft/trefoilloft/internal/requester"
	"github.com/trefoilloft/trefoilloft/internal/router"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
	"github.com/trefoilloft/trefoilloft/internal/withdrawer"
)

const (
	headerTimeout         = 5 * time.Second
	maxHeaderBytes        = 32 << 10
	idleConnectionTimeout = 2 * time.Minute
	// Time for which callers may use a list of hosts.
	hostListTTL = 5 * time.Second
	// Longest time for which a draining host waits for its requests to finish.
	drainTimeout  = 10 * time.Minute
	pruneInterval = 5 * time.Second
	// Memory for buffers of all requests together.
	maxBufferBytes = 128 << 20
	// Time for which a graceful stop of the gRPC server waits for open streams after the last
	// request has finished.
	grpcStopTimeout = time.Second
)

// Server is one entry host: it serves callers over HTTP and other processes over gRPC. Set
// the exported fields, then call Run.
type Server struct {
	Settings    *schema.Settings
	Timer       *timer.Service
	Dialer      *dialer.Dialer
	Gate        *accepter.Gate // bounds the connections of all listeners; required by Run
	Log         zerolog.Logger
	FaultPoints *injector.FaultPoints

	// identity identifies the host; it is kept on the host's disk, or drawn at each start if
	// there is none. incarnation identifies the process.
	identity          uint64
	incarnation       uint64
	distributor       *distributor.Distributor
	withdrawer        *withdrawer.Withdrawer
	registrar         *registrar.Registrar
	router            *router.Router
	admitter          *admitter.Admitter
	limiter           *limiter.Limiter
	requester         *requester.Requester
	holder            *recorder.Holder
	proposer          *proposer.Proposer
	regionDigests     regionTable
	reports           versionReports
	running           runningRequests
	retries           retryBudget
	recordWithdrawnMu sync.Mutex // held while syncWithdrawn proposes withdrawals
	burn              reporter.Reporter
	metrics           *metrics
	buffers           bufferer.Budget // for bodies and answers that are being read, and streams that may be resumed
	draining          atomic.Bool
	inflight          atomic.Int64 // requests of callers and of other regions
	joined            atomic.Bool  // set once the control hosts have listed this host
}

// Open creates the components and reads the data folder, if the settings name one. The folder
// stays locked until ctx is done.
func (s *Server) Open(ctx context.Context) error {
	s.identity, s.incarnation = rand.Uint64()|1, rand.Uint64()|1
	s.metrics = newMetrics()
	s.buffers.Max = maxBufferBytes
	s.burn.Now = s.Timer.Now
	s.buildComponents(ctx)
	if err := s.openRecords(); err != nil {
		return err
	}
	if s.Settings.Data != "" {
		if err := s.openDataFolder(ctx); err != nil {
			return err
		}
	}
	return s.withdrawer.Open()
}

func (s *Server) buildComponents(ctx context.Context) {
	s.withdrawer = &withdrawer.Withdrawer{OnAdded: s.cancelRequests}
	s.distributor = &distributor.Distributor{Timer: s.Timer, OnChange: s.applyConfig}
	s.registrar = &registrar.Registrar{Timer: s.Timer}
	s.router = &router.Router{Timer: s.Timer, Live: s.registrar.Live, HostCount: s.regionHostCount}
	s.admitter = &admitter.Admitter{Timer: s.Timer, Capacity: s.router.Capacity}
	s.registrar.OnChange = s.admitter.GrantFreeSlots
	s.requester = &requester.Requester{Timer: s.Timer}
	s.requester.Start(ctx)
	s.proposer = &proposer.Proposer{Dialer: s.Dialer, ControlHosts: s.Settings.Controls, Token: s.Settings.Secret, Timer: s.Timer}
	s.limiter = s.newLimiter()
}

func (s *Server) newLimiter() *limiter.Limiter {
	name := s.Settings.Name
	return &limiter.Limiter{
		Host: name, Timer: s.Timer, Transport: limiterTransport{s}, Background: func(call func()) { s.background("tokens", call) },
		Lender:  &limiter.Lender{Now: s.Timer.Now, Limits: s.limits, Incarnation: s.incarnation},
		Donor:   &limiter.Donor{Host: name, Now: s.Timer.Now, Hosts: s.lenders, Share: s.ownShare},
		Spender: &limiter.Spender{Host: name, Now: s.Timer.Now, Limits: s.limits, Share: s.ownShare},
	}
}

// openDataFolder locks the data folder and applies the last configuration stored in it, so that
// a host of a partitioned region can serve after a restart.
func (s *Server) openDataFolder(ctx context.Context) error {
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

// Run serves until ctx is done, then stops gracefully: it waits for up to drainTimeout for the
// requests in flight, so that none is truncated. If a listener fails, it returns at once.
func (s *Server) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	if err := s.Open(background); err != nil {
		return err
	}
	internalListener, err := net.Listen("tcp", s.Settings.Internal)
	if err != nil {
		return fmt.Errorf("server: listen on the internal address: %w", err)
	}
	publicListener, err := net.Listen("tcp", s.Settings.Listen)
	if err != nil {
		return errors.Join(fmt.Errorf("server: listen on the public address: %w", err), internalListener.Close())
	}
	public, err := s.boundListener(publicListener)
	if err != nil {
		return errors.Join(err, internalListener.Close(), publicListener.Close())
	}
	grpcServer, err := dialer.NewOperatorServer(s.Settings.Secret, s.Settings.Mutual, acceptsOperatorToken, s.isOperator, s.Log)
	if err != nil {
		return errors.Join(err, internalListener.Close(), publicListener.Close())
	}
	schema.RegisterEntryServiceServer(grpcServer, &EntryService{Server: s})
	httpServer := s.newHTTPServer()
	serveErrs := make(chan error, 2)
	internal := &accepter.Listener{Listener: internalListener, Gate: s.Gate, Name: "internal", Peers: true}
	go func() { serveErrs <- grpcServer.Serve(internal) }()
	go func() { serveErrs <- httpServer.Serve(public) }()
	s.startBackground(background)
	s.Log.Info().Str("listen", s.Settings.Listen).Str("region", s.Settings.Region).Msg("serving")
	select {
	case <-ctx.Done():
		return s.drain(public, httpServer, grpcServer)
	case err := <-serveErrs:
		return fmt.Errorf("server: serve: %w", err)
	}
}

func (s *Server) newHTTPServer() *http.Server {
	h := &http.Server{
		Handler: s.handler(), ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleConnectionTimeout, ErrorLog: stdlog.New(s.Log, "", 0),
	}
	accepter.Attach(h)
	return h
}

// boundListener returns the callers' listener as the Gate bounds it, with TLS if the settings say so. Callers with TLS
// get HTTP/1.1: the Gate counts lines of request headers, which HTTP/2 does not have.
func (s *Server) boundListener(l net.Listener) (*accepter.Listener, error) {
	bounded := &accepter.Listener{Listener: l, Gate: s.Gate, Name: "callers"}
	t := s.Settings.Tls
	if t == nil {
		return bounded, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, fmt.Errorf("server: certificate and key for callers: %w", err)
	}
	bounded.TLS = &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}, Certificates: []tls.Certificate{certificate}}
	return bounded, nil
}

func (s *Server) isOperator(token string) bool {
	_, ok := controller.OperatorName(s.Settings, token)
	return ok
}

func (s *Server) startBackground(ctx context.Context) {
	s.limiter.Start(ctx)
	go s.followConfig(ctx)
	go s.requestToJoin(ctx)
	s.runEvery(ctx, reportInterval, func() { s.background("report", func() { s.reportVersions(ctx) }) })
	s.runEvery(ctx, digestInterval, func() { s.background("digest", func() { s.pollDigests(ctx) }) })
	s.runEvery(ctx, withdrawnSyncInterval, func() { s.background("withdrawal", func() { s.syncWithdrawn(ctx) }) })
	s.runEvery(ctx, pruneInterval, s.pruneUpstreams)
	s.runEvery(ctx, recoveryInterval, func() { s.recoverRecords(ctx) })
	s.runEvery(ctx, pruneRecordsInterval, func() { s.background("records", s.pruneRecords) })
}

// background runs a task in a goroutine of its own. A panic ends no more than the task; what it locks it must
// unlock by defer.
func (s *Server) background(work string, task func()) { go confiner.Call(s.Log, work, task) }

func (s *Server) runEvery(ctx context.Context, interval time.Duration, f func()) {
	context.AfterFunc(ctx, s.Timer.Every(interval, f))
}

func (s *Server) pruneRecords() {
	if err := s.holder.Prune(); err != nil {
		s.Log.Error().Err(err).Msg("could not prune the idempotency records")
	}
}

func (s *Server) pruneUpstreams() {
	s.router.Prune()
	live := map[string]bool{}
	for _, u := range s.registrar.Live() {
		live[u.Address] = true
	}
	s.requester.CloseIdleExcept(func(address string) bool { return live[address] })
}

// drain has this host removed from the list of hosts, keeps serving until no caller may still
// use a list that names it, then waits for the requests in flight.
func (s *Server) drain(public *accepter.Listener, httpServer *http.Server, grpcServer *grpc.Server) error {
	s.draining.Store(true)
	s.Log.Info().Int64("inflight", s.inflight.Load()).Msg("draining")
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	command := &schema.Command{Op: &schema.Command_Drain{Drain: &schema.DrainHost{Name: s.Settings.Name}}}
	s.background("drain", func() { _, _ = s.proposer.Propose(ctx, command) })
	if err := s.Timer.Sleep(ctx, hostListTTL); err != nil {
		return err
	}
	err := stopHTTP(ctx, public, httpServer)
	for s.inflight.Load() > 0 && ctx.Err() == nil {
		_ = s.Timer.Sleep(ctx, 20*time.Millisecond)
	}
	s.stopGRPC(ctx, grpcServer)
	s.Log.Info().Msg("stopped")
	return err
}

// stopHTTP stops an HTTP server that serves l. Requests that it has read have until ctx ends.
func stopHTTP(ctx context.Context, l *accepter.Listener, h *http.Server) error {
	return errors.Join(l.Drain(ctx), h.Close())
}

// stopGRPC stops the gRPC server once no request has been in flight for grpcStopTimeout: one of another
// region may have arrived since drain last looked. Streams of hosts that watch the configuration never end
// by themselves.
func (s *Server) stopGRPC(ctx context.Context, grpcServer *grpc.Server) {
	stopped := make(chan struct{})
	go func() {
		grpcServer.GracefulStop()
		close(stopped)
	}()
	idleSince := s.Timer.Now()
	for {
		select {
		case <-stopped:
			return
		default:
		}
		if s.inflight.Load() > 0 {
			idleSince = s.Timer.Now()
		}
		if s.Timer.Now()-idleSince > grpcStopTimeout || ctx.Err() != nil {
			grpcServer.Stop()
		}
		_ = s.Timer.Sleep(ctx, 20*time.Millisecond)
	}
}
