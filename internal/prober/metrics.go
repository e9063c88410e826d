package prober

import "github.com/prometheus/client_golang/prometheus"

// Metrics of a Prober. A nil Metrics records nothing.
type Metrics struct {
	isolated prometheus.Gauge
	changes  *prometheus.CounterVec
	rounds   *prometheus.CounterVec
}

// NewMetrics returns metrics that are not registered yet.
func NewMetrics() *Metrics {
	return &Metrics{
		isolated: prometheus.NewGauge(prometheus.GaugeOpts{Name: "trefoil_isolated", Help: "1 while this host reaches no upstream of its region, else 0."}),
		changes:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "trefoil_isolation_changes_total", Help: "Times at which this host lost its way to all upstreams of its region, or found one again."}, []string{"to"}),
		rounds:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "trefoil_upstream_probes_total", Help: "Rounds of connections opened to upstreams to find out whether any can be reached, by result."}, []string{"result"}),
	}
}

// Collectors returns the metrics, to be added to a registry.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.isolated, m.changes, m.rounds}
}

func stateName(isolated bool) string {
	if isolated {
		return "isolated"
	}
	return "connected"
}

func (m *Metrics) recordRound(isolated bool) {
	if m != nil {
		m.rounds.WithLabelValues(stateName(isolated)).Inc()
	}
}

func (m *Metrics) recordChange(isolated bool) {
	if m == nil {
		return
	}
	m.changes.WithLabelValues(stateName(isolated)).Inc()
	m.isolated.Set(0)
	if isolated {
		m.isolated.Set(1)
	}
}
