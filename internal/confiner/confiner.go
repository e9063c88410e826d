// Package confiner confines a panic to the work that raised it: it is logged and counted, and other work of
// the process goes on. It does not decide whether what the work has changed can still be used.
package confiner

import (
	"fmt"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// panics counts the panics of the process.
var panics = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "trefoil_panics_total", Help: "Panics that ended one request, call, message or task only.",
}, []string{"work"})

// Collector returns the metric that counts panics.
func Collector() prometheus.Collector { return panics }

// Call calls f and reports whether it returned. A panic of f is recorded. What f locks it must unlock by defer.
func Call(log zerolog.Logger, work string, f func()) (returned bool) {
	defer func() {
		if v := recover(); v != nil {
			Record(log, work, v)
		}
	}()
	f()
	return true
}

// Record logs and counts a panic with the value v. The function that recovered it must call Record.
func Record(log zerolog.Logger, work string, v any) {
	Count(work)
	log.Error().Str("work", work).Str("panic", fmt.Sprint(v)).Bytes("stack", debug.Stack()).Msg("panicked")
}

// Count counts a panic that is logged elsewhere.
func Count(work string) { panics.WithLabelValues(work).Inc() }
