package starter

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// minFailedRequests is the number of requests in a row that must fail by the host's own fault before it stops
	// offering itself to callers: a request that panics by its own content must not take it away from others.
	minFailedRequests = 5
	// failingTime is the time after the last of them for which it does not. Callers with an earlier list, and those that
	// come once it has passed, show whether the fault has gone.
	failingTime = 5 * time.Second
)

// failureWatch finds out whether a host fails every request by its own fault, which is a panic. Refusals, and
// failures of upstreams or other hosts, are none of its own.
type failureWatch struct {
	mu       sync.Mutex
	failed   int           // requests in a row, the last ones; guarded by mu
	failedAt time.Duration // when the last one failed; guarded by mu
}

// record records the end of a request. Began and ended report whether the host begins or ends to fail every request.
func (w *failureWatch) record(failed bool, now time.Duration) (began, ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !failed {
		ended = w.failed >= minFailedRequests
		w.failed = 0
		return false, ended
	}
	w.failed++
	w.failedAt = now
	return w.failed == minFailedRequests, false
}

func (w *failureWatch) failing(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed >= minFailedRequests && now-w.failedAt < failingTime
}

// RecordRequest records that a caller's request has ended, and whether this host failed it by a fault of its own.
func (e *Entry) RecordRequest(failed bool) {
	began, ended := e.failures.record(failed, e.Timer.Now())
	switch {
	case began:
		e.Log.Error().Int("requests", minFailedRequests).Uint64("version", e.configVersion()).Msg("every request fails by a fault of this host; not ready")
	case ended:
		e.Log.Info().Uint64("version", e.configVersion()).Msg("requests no longer fail by a fault of this host")
	}
}

// configVersion returns the version of the configuration in force; 0 if there is none.
func (e *Entry) configVersion() uint64 {
	if e.distributor == nil {
		return 0
	}
	return e.distributor.Current().Version
}

// Failing reports whether this host fails every request by its own fault.
func (e *Entry) Failing() bool { return e.failures.failing(e.Timer.Now()) }

// failingCollector returns the metric of a host that fails every request.
func (e *Entry) failingCollector() prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "trefoil_entry_failing", Help: "1 while the host fails every request by a fault of its own and is not ready.",
	}, func() float64 {
		if e.Failing() {
			return 1
		}
		return 0
	})
}
