package starter

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// unusableLogInterval is the shortest time between two log lines for reports that cannot be used. An
// earlier version of a host may send the same one again and again.
const unusableLogInterval = time.Second

// unusableReports counts and logs upstreams' reports that other hosts passed on and that cannot be used.
type unusableReports struct {
	timer   *timer.Service
	log     zerolog.Logger
	counter *prometheus.CounterVec // by field

	mu       sync.Mutex
	loggedAt time.Duration // 0: never; guarded by mu
}

func newUnusableReports(clock *timer.Service, log zerolog.Logger) *unusableReports {
	return &unusableReports{timer: clock, log: log, counter: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "trefoil_unusable_reports_total", Help: "Reports of upstreams that were not stored, by the first field that is out of range.",
	}, []string{"field"})}
}

func (x *unusableReports) record(a *schema.Announcement, err *cataloger.FieldError) {
	x.counter.WithLabelValues(err.Field).Inc()
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.timer.Now()
	if x.loggedAt > 0 && now-x.loggedAt < unusableLogInterval {
		return
	}
	x.loggedAt = now
	x.log.Warn().Err(err).Str("upstream", a.Name[:min(len(a.Name), cataloger.MaxNameLength)]).Uint64("incarnation", a.Incarnation).Uint64("number", a.Number).
		Msg("report of an upstream cannot be used")
}
