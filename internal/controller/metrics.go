package controller

import "github.com/prometheus/client_golang/prometheus"

// metrics of a control host.
type metrics struct {
	applied   prometheus.Counter
	snapshots prometheus.Counter
	lost      prometheus.Counter
	leader    prometheus.Gauge
}

func newMetrics() *metrics {
	return &metrics{
		applied:   prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_control_applied_total", Help: "Log entries applied."}),
		snapshots: prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_control_snapshots_installed_total", Help: "Snapshots installed from a leader."}),
		lost:      prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_control_messages_dropped_total", Help: "Messages to other replicas that were dropped."}),
		leader:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "trefoil_control_leader", Help: "1 on the leader."}),
	}
}

// Collectors returns the metrics for a registry. Valid after Open.
func (c *Controller) Collectors() []prometheus.Collector {
	return []prometheus.Collector{c.metrics.applied, c.metrics.snapshots, c.metrics.lost, c.metrics.leader}
}
