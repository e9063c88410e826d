package forwarder

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the outcomes of requests, and measures how long requests take and wait.
type Metrics struct {
	answered, attemptsFailed, refused *prometheus.CounterVec
	resumes                           *prometheus.CounterVec
	callersLeft, truncated            prometheus.Counter
	limitsInvalid, pauses, leavers    prometheus.Counter
	brittlenessInvalid, rejections    prometheus.Counter
	breakages, responsesInvalid       prometheus.Counter
	relaysWithheld, relaysToPeers     prometheus.Counter
	requestTime                       *prometheus.HistogramVec
	slotWait                          prometheus.Histogram
	// Of the assignment of demand to regions.
	weight, demand, capacity *prometheus.GaugeVec
}

// NewMetrics returns metrics that are not registered yet; all are zero.
func NewMetrics() *Metrics {
	counter := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	return &Metrics{
		weight: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "trefoil_assigned_weight", Help: "Fraction of work that is assigned to a region, by pool, homes and callers' region (empty: prompts with long shared prefixes).",
		}, []string{"pool", "homes", "caller", "region"}),
		demand: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "trefoil_demand_engines", Help: "Demand of a region's callers in engine seconds a second, by pool and homes.",
		}, []string{"pool", "homes", "region"}),
		capacity: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "trefoil_capacity_engines", Help: "Capacity of a region in engine seconds a second, as assigned by, by pool.",
		}, []string{"pool", "region"}),
		answered:           counter("trefoil_requests_answered_total", "Requests answered by an upstream here, by pool.", "pool"),
		attemptsFailed:     counter("trefoil_tries_failed_total", "Tries at upstreams that gave no answer, by pool.", "pool"),
		refused:            counter("trefoil_requests_refused_total", "Requests refused, by cause.", "cause"),
		resumes:            counter("trefoil_streams_resumed_total", "Streams that callers took up, by how their version was found.", "source"),
		callersLeft:        prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_callers_left_total", Help: "Callers that went away."}),
		truncated:          prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_answers_broken_total", Help: "Answers broken off."}),
		limitsInvalid:      prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_limits_invalid_total", Help: "Limits of upstreams that could not be read."}),
		brittlenessInvalid: prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_brittleness_invalid_total", Help: "Answers in which an upstream said that it is brittle, but the number could not be read."}),
		rejections:         prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_brittle_rejections_total", Help: "Requests that brittle upstreams turned away."}),
		pauses:             prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_pauses_total", Help: "Responses in which upstreams asked for a pause."}),
		leavers:            prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_leavers_total", Help: "Upstreams that said in an answer that they are leaving."}),
		breakages:          prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_breakages_total", Help: "Upstreams whose process was assumed to have ended, as connections to it broke."}),
		responsesInvalid: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "trefoil_responses_invalid_total", Help: "Responses of upstreams that were not valid ones to the request.",
		}),
		relaysWithheld: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "trefoil_relays_withheld_total", Help: "Relays not sent as the address reached another host.",
		}),
		relaysToPeers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "trefoil_relays_to_peers_total", Help: "Relays to hosts of the same region, as this host reached no upstream.",
		}),
		requestTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "trefoil_request_seconds", Help: "Time from arrival to the end of the answer, by pool.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}, []string{"pool"}),
		slotWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "trefoil_place_wait_seconds", Help: "Time that requests waited for a place.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
	}
}

// Collectors returns the metrics, to be added to a registry.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.answered, m.attemptsFailed, m.refused, m.resumes, m.callersLeft, m.truncated, m.limitsInvalid, m.brittlenessInvalid, m.rejections, m.pauses, m.leavers, m.breakages, m.responsesInvalid, m.relaysWithheld, m.relaysToPeers, m.requestTime, m.slotWait, m.weight, m.demand, m.capacity}
}
