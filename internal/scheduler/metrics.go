package scheduler

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// EstimateMetrics measures how far estimates of the cost of requests were off, and shows what is estimated of engines.
type EstimateMetrics struct {
	first, output prometheus.Histogram
	states        func() []EngineState
}

// Descriptions of the metrics of engines. They are summed up by pool: an engine has a name for each process, so that
// one series for each would not be bounded.
var (
	workDesc    = prometheus.NewDesc("trefoil_engine_work_seconds", "Engine time left, by pool: mean and maximum over engines.", []string{"pool", "of"}, nil)
	heldDesc    = prometheus.NewDesc("trefoil_engine_held_tokens", "Tokens that running requests hold, by pool: mean and maximum over engines.", []string{"pool", "of"}, nil)
	prefillDesc = prometheus.NewDesc("trefoil_engine_prefill_token_seconds", "Learned time to read a prompt token, by pool: mean and maximum over engines.", []string{"pool", "of"}, nil)
	stepDesc    = prometheus.NewDesc("trefoil_engine_step_seconds", "Learned time of a step with all slots in use, by pool: mean and maximum over engines.", []string{"pool", "of"}, nil)
)

// NewEstimateMetrics returns the metrics of s, which it feeds from now on. Call it before s is used.
func NewEstimateMetrics(s *Scheduler) *EstimateMetrics {
	ratio := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(1.0/16, 2, 9)})
	}
	m := &EstimateMetrics{
		first:  ratio("trefoil_estimate_first_ratio", "Time until the first event divided by the estimate."),
		output: ratio("trefoil_estimate_output_ratio", "Tokens of an answer divided by the estimate."),
		states: s.EngineStates,
	}
	s.expect.metrics = m
	return m
}

func (m *EstimateMetrics) observeFirst(expected, actual time.Duration) {
	if m != nil && expected > 0 {
		m.first.Observe(actual.Seconds() / expected.Seconds())
	}
}

func (m *EstimateMetrics) observeOutput(expected float64, actual int64) {
	if m != nil && expected > 0 {
		m.output.Observe(float64(actual) / expected)
	}
}

// Describe implements prometheus.Collector.
func (m *EstimateMetrics) Describe(c chan<- *prometheus.Desc) { prometheus.DescribeByCollect(m, c) }

// Collect implements prometheus.Collector.
func (m *EstimateMetrics) Collect(c chan<- prometheus.Metric) {
	m.first.Collect(c)
	m.output.Collect(c)
	type sum struct{ total, max float64 }
	type pool struct {
		engines float64
		sums    [4]sum
	}
	pools := map[string]*pool{}
	for _, e := range m.states() {
		p := pools[e.Pool]
		if p == nil {
			p = &pool{}
			pools[e.Pool] = p
		}
		p.engines++
		for i, v := range [4]float64{e.Work.Seconds(), float64(e.Held), e.Prefill.Seconds(), e.Step.Seconds()} {
			p.sums[i].total += v
			p.sums[i].max = max(p.sums[i].max, v)
		}
	}
	for name, p := range pools {
		for i, d := range [4]*prometheus.Desc{workDesc, heldDesc, prefillDesc, stepDesc} {
			c <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, p.sums[i].total/p.engines, name, "mean")
			c <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, p.sums[i].max, name, "max")
		}
	}
}
