package controller

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of a control host.
type metrics struct {
	entriesApplied     prometheus.Counter
	snapshotsInstalled prometheus.Counter
	messagesDropped    prometheus.Counter
	messagesRefused    prometheus.Counter
	slowSteps          prometheus.Counter
	isLeader           prometheus.Gauge
	storeFailed        prometheus.Gauge
}

func newMetrics() *metrics {
	return &metrics{
		entriesApplied:     prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_control_applied_total", Help: "Log entries applied."}),
		snapshotsInstalled: prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_control_snapshots_installed_total", Help: "Snapshots installed from a leader."}),
		messagesDropped:    prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_control_messages_dropped_total", Help: "Messages to other replicas that were dropped."}),
		messagesRefused:    prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_control_messages_refused_total", Help: "Messages of other replicas that no sound replica can have sent."}),
		slowSteps:          prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_control_slow_steps_total", Help: "Steps of the replica that took longer than a tick."}),
		isLeader:           prometheus.NewGauge(prometheus.GaugeOpts{Name: "trefoil_control_leader", Help: "1 on the leader."}),
		storeFailed:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "trefoil_control_storage_failed", Help: "1 while the disk accepts no writes."}),
	}
}

// Collectors returns the metrics for a registry. It must be called after Open.
func (c *Controller) Collectors() []prometheus.Collector {
	return []prometheus.Collector{c.metrics.entriesApplied, c.metrics.snapshotsInstalled, c.metrics.messagesDropped, c.metrics.messagesRefused, c.metrics.slowSteps, c.metrics.isLeader, c.metrics.storeFailed}
}
