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
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Maximum number of lines waiting to be written; further lines are dropped and counted.
	maxQueuedLogLines = 4096
	// Interval at which the writer checks for queued lines.
	logPollInterval = 50 * time.Millisecond
	// Fraction of the process's memory limit that is set as the soft memory limit of the Go
	// runtime.
	memoryLimitFraction = 0.7
	// Heap growth in percent after which the garbage collector runs.
	gcGrowthPercent = 60

	headerReadTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
	idleTimeout       = 90 * time.Second
)

// Options are the settings that both roles need.
type Options struct {
	Settings *schema.Settings
	// Seeds returns the internal addresses of control hosts. The result may change while the
	// process runs.
	Seeds func() []string
	// AnnounceInterval is the time between two announcements of an upstream.
	AnnounceInterval time.Duration
	// GracePeriod is the time after the signal to stop within which the process must end.
	GracePeriod time.Duration
	// MaxMemoryBytes is the memory limit of the process; 0: unlimited.
	MaxMemoryBytes int64
	// MaxCores is the number of processors that the process may use; 0: the runtime's default.
	MaxCores int
	Log      zerolog.Logger
}

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

// serveHTTP serves until ctx ends, then closes the listener and all open connections. Whoever
// ends ctx decides when open connections may be closed.
func serveHTTP(ctx context.Context, l Listener, log zerolog.Logger) error {
	ln, err := net.Listen("tcp", l.Address)
	if err != nil {
		return fmt.Errorf("starter: %s listener: %w", l.Name, err)
	}
	log = log.With().Str("listener", l.Name).Logger()
	s := &http.Server{
		Handler: recoverRequests(l, log), ReadHeaderTimeout: headerReadTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(log, "", 0),
	}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("starter: serving %s: %w", l.Name, err)
	}
	return nil
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
				log.Error().Str("request", r.Header.Get(l.IDHeader)).Str("method", r.Method).Str("path", r.URL.Path).
					Str("panic", fmt.Sprint(v)).Bytes("stack", debug.Stack()).Msg("handler panicked")
			}
			panic(http.ErrAbortHandler)
		}()
		l.Handler.ServeHTTP(w, r)
	})
}

// MetricsHandler returns a handler that serves the collectors' metrics, and those of the Go
// runtime and the process, in the Prometheus format.
func MetricsHandler(all []prometheus.Collector) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(all...)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
