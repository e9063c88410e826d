package forwarder

import "github.com/prometheus/client_golang/prometheus"

// Metrics count what becomes of requests.
type Metrics struct {
	answered, failed, refused *prometheus.CounterVec
	left, broken              prometheus.Counter
	latency                   *prometheus.HistogramVec
	waited                    prometheus.Histogram
}

// NewMetrics returns metrics that count from zero.
func NewMetrics() *Metrics {
	counter := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	return &Metrics{
		answered: counter("trefoil_requests_answered_total", "Requests answered by an upstream here, by pool.", "pool"),
		failed:   counter("trefoil_tries_failed_total", "Tries at upstreams that gave no answer, by pool.", "pool"),
		refused:  counter("trefoil_requests_refused_total", "Requests refused, by cause.", "cause"),
		left:     prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_callers_left_total", Help: "Callers that went away."}),
		broken:   prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_answers_broken_total", Help: "Answers broken off."}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "trefoil_request_seconds", Help: "Time from arrival to the end of the answer, by pool.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}, []string{"pool"}),
		waited: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "trefoil_place_wait_seconds", Help: "Time that requests waited for a place.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
	}
}

// Collectors returns the metrics for a registry.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.answered, m.failed, m.refused, m.left, m.broken, m.latency, m.waited}
}
