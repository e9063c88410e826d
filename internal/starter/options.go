package starter

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"google.golang.org/grpc"

	"github.com/trefoilloft/trefoilloft/internal/accepter"
	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/expirer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Maximum number of lines waiting to be written; further lines are dropped and counted.
	maxQueuedLogLines = 4096
	// Interval at which the writer checks for queued lines.
	logPollInterval = 50 * time.Millisecond
	// Fraction of the process's memory limit that is set as the soft memory limit of the Go
	// runtime.
	memoryLimitFraction = 0.7
	// Parts of the process's memory limit that may hold requests, and responses, that are not read to
	// their end yet; and the same where there is no limit.
	bufferParts        = 8
	defaultBufferBytes = 64 << 20
	// Heap growth in percent after which the garbage collector runs.
	gcGrowthPercent = 60

	// Part of the process's memory limit that connections may take whose requests are not complete, heads apart.
	connectionParts = 4
	// Part of the process's descriptors that connections to its listeners may take. The others are for upstreams,
	// of which each request needs one, other hosts and files.
	descriptorParts = 2

	headerReadTimeout = 5 * time.Second
	bodyReadTimeout   = 10 * time.Second
	// Callers may send heads of 16,384 bytes.
	maxHeaderBytes = 32 << 10
	idleTimeout    = 90 * time.Second
)

// Options are the settings that both roles need.
type Options struct {
	Settings *schema.Settings
	// Seeds returns the internal addresses of control hosts. The result may change while the
	// process runs.
	Seeds func() []string
	// AnnounceInterval is the time between two announcements of an upstream.
	AnnounceInterval time.Duration
	// DrainTime is the time, from the first acknowledgement that an upstream is leaving, after which
	// nothing may reach it. 0: it gets nothing once that is known.
	DrainTime time.Duration
	// GracePeriod is the time after the signal to stop within which the process must end.
	GracePeriod time.Duration
	// MaxMemoryBytes is the memory limit of the process; 0: unlimited.
	MaxMemoryBytes int64
	// MaxCores is the number of processors that the process may use; 0: the runtime's default.
	MaxCores int
	// MaxDescriptors is the number of descriptors that the process may use; 0: not stated.
	MaxDescriptors int
	// Capacity is what the host can carry; nil: not stated.
	Capacity *schema.Capacity
	// Contended is set where callers compete for too little room.
	Contended bool
	Log       zerolog.Logger

	gate *accepter.Gate // set by Run
}

// adaptive reports whether requests are placed, ordered and charged by expected cost and demand: where callers
// compete for too little room, or where the hosts of the table are of unequal capacity.
func (o *Options) adaptive(t *cataloger.Table) bool { return o.Contended || t.Uneven() }

// applyRuntimeLimits configures the Go runtime for the process's limits.
func (o *Options) applyRuntimeLimits() {
	if o.MaxCores > 0 {
		runtime.GOMAXPROCS(o.MaxCores)
	}
	if o.MaxMemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(o.MaxMemoryBytes) * memoryLimitFraction))
	}
	debug.SetGCPercent(gcGrowthPercent)
}

// newClock returns the source of time of the process. A panic of one of its calls ends that call only.
func (o *Options) newClock() *timer.Service {
	return &timer.Service{Confine: func(call func()) { confiner.Call(o.Log, "timer", call) }}
}

// newBudget returns the budget of one kind of buffers.
func (o *Options) newBudget() *bufferer.Budget {
	if o.MaxMemoryBytes <= 0 {
		return &bufferer.Budget{Max: defaultBufferBytes}
	}
	return &bufferer.Budget{Max: o.MaxMemoryBytes / bufferParts}
}

// newGate returns what bounds the connections of the process and the heads that they send.
func (o *Options) newGate(clock *timer.Service) *accepter.Gate {
	g := &accepter.Gate{Budget: o.newBudget(), Timer: clock, Log: o.Log}
	if o.MaxMemoryBytes > 0 {
		g.MaxConns = max(1, int(o.MaxMemoryBytes/connectionParts/accepter.ConnBytes))
	}
	if n := o.MaxDescriptors / descriptorParts; n > 0 && (g.MaxConns == 0 || n < g.MaxConns) {
		g.MaxConns = n
	}
	return g
}

// listenInternal opens the listener for other hosts.
func (o *Options) listenInternal() (net.Listener, error) {
	l, err := net.Listen("tcp", o.Settings.Internal)
	if err != nil {
		return nil, fmt.Errorf("starter: internal listener: %w", err)
	}
	return &accepter.Listener{Listener: l, Gate: o.gate, Name: "internal", Peers: true}, nil
}

// gateCollectors returns the metrics of connections and heads.
func (o *Options) gateCollectors() []prometheus.Collector {
	return append(o.gate.Collectors(), BufferCollectors("heads", o.gate.Budget)...)
}

// BufferCollectors returns the metrics of a budget that bounds the named kind of buffers.
func BufferCollectors(kind string, b *bufferer.Budget) []prometheus.Collector {
	labels := prometheus.Labels{"kind": kind}
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "trefoil_buffered_bytes", Help: "Memory that buffers of a kind have taken from their budget.", ConstLabels: labels,
		}, func() float64 { return float64(b.Used()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "trefoil_buffers_exhausted_total", Help: "Times that the budget of a kind of buffers was exhausted.", ConstLabels: labels,
		}, func() float64 { return float64(b.Exhausted()) }),
	}
}

// NewLog returns a logger that never blocks: lines that cannot be written in time are dropped,
// and their number is logged.
func NewLog(w io.Writer, name string) zerolog.Logger {
	zerolog.DurationFieldUnit = time.Millisecond
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	var dropped zerolog.Logger
	out := diode.NewWriter(w, maxQueuedLogLines, logPollInterval, func(missed int) {
		dropped.Warn().Int("lines", missed).Msg("log lines dropped")
	})
	dropped = zerolog.New(w).With().Timestamp().Str("host", name).Logger()
	return zerolog.New(out).With().Timestamp().Str("host", name).Logger()
}

// Listener describes an HTTP server. Errors and log lines contain its Name.
type Listener struct {
	Name    string
	Address string
	Handler http.Handler
	// IDHeader is the header that holds a request's ID, for log lines; empty: none.
	IDHeader string
}

const (
	// Time that callers' requests and relays which have arrived have to end when the process stops.
	// It fits in graceMargin.
	shutdownTimeout = 300 * time.Millisecond
	// The same for operators' commands, which take up to 0.9 s.
	controlShutdownTimeout = time.Second
)

// httpServer serves one Listener.
type httpServer struct {
	name     string
	listener *accepter.Listener
	server   *http.Server
	stopping atomic.Bool
	closed   chan struct{} // closed once no request is served any more
	close    func()
}

func newHTTPServer(name string, l *accepter.Listener, server *http.Server) *httpServer {
	h := &httpServer{name: name, listener: l, server: server, closed: make(chan struct{})}
	h.close = sync.OnceFunc(func() {
		_ = server.Close()
		_ = l.Close()
		close(h.closed)
	})
	return h
}

// listenAll opens all listeners with the bounds of a process without limits, or none if one fails.
func listenAll(listeners []Listener, log zerolog.Logger) ([]*httpServer, error) {
	return listenThrough((&Options{Log: log}).newGate(nil), listeners, log)
}

// listenThrough opens all listeners, or none if one fails. The gate bounds their connections.
func listenThrough(gate *accepter.Gate, listeners []Listener, log zerolog.Logger) ([]*httpServer, error) {
	var all []*httpServer
	for _, l := range listeners {
		ln, err := net.Listen("tcp", l.Address)
		if err != nil {
			closeAll(all)
			return nil, fmt.Errorf("starter: %s listener: %w", l.Name, err)
		}
		log := log.With().Str("listener", l.Name).Logger()
		server := &http.Server{
			Handler: expirer.Handler(recoverRequests(l, log), bodyReadTimeout), ReadHeaderTimeout: headerReadTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: stdlog.New(log, "", 0), DisableGeneralOptionsHandler: true,
		}
		accepter.Attach(server)
		all = append(all, newHTTPServer(l.Name, &accepter.Listener{Listener: ln, Gate: gate, Name: l.Name}, server))
	}
	return all, nil
}

// serve serves until the server is closed. It does not return while shutdownAll waits for requests, as
// the end of one component ends the others.
func (h *httpServer) serve() error {
	if err := h.server.Serve(h.listener); !errors.Is(err, http.ErrServerClosed) && !h.stopping.Load() {
		return fmt.Errorf("starter: serving %s: %w", h.name, err)
	}
	<-h.closed
	return nil
}

// shutdownAll closes the listeners and then the connections: idle ones at once, the others when
// their request has its response, or after timeout.
func shutdownAll(all []*httpServer, timeout time.Duration, log zerolog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range all {
		wg.Go(func() {
			h.stopping.Store(true)
			if err := h.listener.Drain(ctx); err != nil {
				log.Warn().Err(err).Str("listener", h.name).Msg("requests cut off at the end of the process")
			}
		})
	}
	wg.Wait()
	closeAll(all)
}

func closeAll(all []*httpServer) {
	for _, h := range all {
		h.close()
	}
}

// stopGRPC stops a gRPC server: calls that have arrived have timeout to end.
func stopGRPC(s *grpc.Server, timeout time.Duration, clock *timer.Service) {
	cancel := clock.Once(timeout, s.Stop)
	defer cancel()
	s.GracefulStop()
}

// recoverRequests returns a handler that logs a panic of l.Handler with the request's ID and closes
// the connection of that request, whose caller must not take the response for a whole one.
func recoverRequests(l Listener, log zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v != http.ErrAbortHandler {
				confiner.Count("request")
				log.Error().Str("request", r.Header.Get(l.IDHeader)).Str("method", r.Method).Str("path", r.URL.Path).
					Str("panic", fmt.Sprint(v)).Bytes("stack", debug.Stack()).Msg("handler panicked")
			}
			if !r.ProtoAtLeast(1, 1) {
				resetConnection(w)
			}
			panic(http.ErrAbortHandler)
		}()
		l.Handler.ServeHTTP(w, r)
	})
}

// resetConnection resets the connection of a response. In HTTP/1.0 the end of the connection is also that of a
// response without a length.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the handler has taken the connection
	}
	if t, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0) // fails only if the connection has ended
	}
	_ = c.Close()
}

// MetricsHandler returns a handler that serves the collectors' metrics, and those of the Go
// runtime and the process, in the Prometheus format.
func MetricsHandler(all []prometheus.Collector) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), confiner.Collector())
	registry.MustRegister(all...)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
