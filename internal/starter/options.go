package starter

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	// Lines that wait to be written at most; more are dropped and counted.
	logLines = 4096
	// Time between two looks for lines to write.
	logInterval = 50 * time.Millisecond
	// Part of a process's memory that the collector aims to stay under.
	memoryPart = 0.7
	// Growth of the heap, in percent, after which the collector runs.
	collectGrowth = 60

	headerTimeout = 5 * time.Second
	headerLimit   = 64 << 10
	idleTimeout   = 90 * time.Second
)

// Options are what both roles need.
type Options struct {
	Settings *schema.Settings
	// Seeds returns internal addresses of control hosts; it may change while running.
	Seeds func() []string
	// Interval is the time between two announcements of an upstream.
	Interval time.Duration
	// Grace is the time between the signal to stop and the end of the process.
	Grace time.Duration
	// MemoryBytes bounds the process; 0: not bounded.
	MemoryBytes int64
	// Cores is how many processors the process may use.
	Cores int
	Log   zerolog.Logger
}

// tune sets the runtime to the process's limits.
func (o *Options) tune() {
	if o.Cores > 0 {
		runtime.GOMAXPROCS(o.Cores)
	}
	if o.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(o.MemoryBytes) * memoryPart))
	}
	debug.SetGCPercent(collectGrowth)
}

// NewLog returns a log that never blocks: lines that cannot be written in time are dropped
// and their number is logged.
func NewLog(w io.Writer, name string) zerolog.Logger {
	zerolog.DurationFieldUnit = time.Millisecond
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	var dropped zerolog.Logger
	out := diode.NewWriter(w, logLines, logInterval, func(missed int) {
		dropped.Warn().Int("lines", missed).Msg("log lines dropped")
	})
	dropped = zerolog.New(w).With().Timestamp().Str("host", name).Logger()
	return zerolog.New(out).With().Timestamp().Str("host", name).Logger()
}

// Listener is one HTTP listener of an interface.
type Listener struct {
	Name    string
	Address string
	Handler http.Handler
}

// serveHTTP serves until ctx ends. Open connections are left alone: who stops them decides.
func serveHTTP(ctx context.Context, l Listener) error {
	n, err := net.Listen("tcp", l.Address)
	if err != nil {
		return fmt.Errorf("starter: %s: %w", l.Name, err)
	}
	s := &http.Server{
		Handler: l.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerLimit,
	}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.Serve(n); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("starter: %s: %w", l.Name, err)
	}
	return nil
}

// Metrics returns a handler that shows collectors.
func Metrics(all []prometheus.Collector) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(all...)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
