package starter

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/apportioner"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Factor by which a fraction of the free slots differs from the one logged last when it is logged, and the shortest
	// time between two lines of one pool.
	loggedFractionRatio = 2.0
	fractionLogInterval = 2 * time.Second
)

// fractionObserver shows this host's fractions of the free slots of engines.
type fractionObserver struct {
	timer *timer.Service
	log   zerolog.Logger
	gauge *prometheus.GaugeVec // by pool

	mu     sync.Mutex
	logged map[string]loggedFraction // by pool; guarded by mu
}

type loggedFraction struct {
	ratio float64 // of the fraction to an equal one
	at    time.Duration
}

func newFractionObserver(clock *timer.Service, log zerolog.Logger) *fractionObserver {
	return &fractionObserver{timer: clock, log: log, logged: map[string]loggedFraction{}, gauge: prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "trefoil_slot_fraction", Help: "This host's fraction of the free slots of engines relative to an equal one, by pool.",
	}, []string{"pool"})}
}

// record sets the metrics, and logs fractions that changed notably. The pools are those of the configuration.
func (o *fractionObserver) record(fractions map[string]apportioner.Fraction) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.logged, func(pool string, _ loggedFraction) bool {
		_, known := fractions[pool]
		if !known {
			o.gauge.DeleteLabelValues(pool)
		}
		return !known
	})
	now := o.timer.Now()
	for _, pool := range slices.Sorted(maps.Keys(fractions)) {
		f := fractions[pool]
		ratio := f.Value / f.Equal
		o.gauge.WithLabelValues(pool).Set(ratio)
		last, known := o.logged[pool]
		if !known {
			last = loggedFraction{ratio: 1, at: now - fractionLogInterval}
			o.logged[pool] = last
		}
		if now-last.at < fractionLogInterval || ratio < last.ratio*loggedFractionRatio && ratio > last.ratio/loggedFractionRatio {
			continue
		}
		o.logged[pool] = loggedFraction{ratio: ratio, at: now}
		o.log.Info().Str("pool", pool).Float64("fraction", f.Value).Float64("equal", f.Equal).Float64("demand", f.Demand).Float64("requests", f.Requests).
			Msg("fraction of the free slots changed")
	}
}
