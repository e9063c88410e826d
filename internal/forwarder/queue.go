package forwarder

import (
	"errors"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// fullRegionLoad is the load from which another region is not asked for a slot: a refusal there would cost
// a round trip between regions.
const fullRegionLoad = 1.0

// returnKey returns the key by which the request is recognised if it was refused before; 0 for one that
// another region relays, whose caller returns there, and for one without a prompt: customers send many equal
// ones of these at a time.
func (r *Request) returnKey() uint64 {
	if r.relayed || !r.isStream() || len(r.Body) == 0 {
		return 0
	}
	return r.contentKey()
}

func (f *Forwarder) queuesByCustomer() bool {
	return f.Scheduler.FairQueue != nil && f.Scheduler.FairQueue()
}

// recordForecast records that no slot of this region was forecast in time.
func (r *Request) recordForecast(err error) {
	var full *scheduler.NoSlotError
	r.refusedHere = r.refusedHere || errors.As(err, &full) && full.Forecast != nil
}

// claim finds what the request may claim because it was refused before. It refuses one that comes earlier than
// its caller was told, before it is charged, so that it takes no loan of a control host and is not relayed.
func (f *Forwarder) claim(r *Request) error {
	if !f.queuesByCustomer() {
		return nil
	}
	claim, err := f.Scheduler.Claim(r.schedulerRequest(nil))
	r.claim = claim
	return err
}

// withPromise adds to the final refusal of a request for want of a slot the time at which the caller is to
// return. The times of other regions' hosts, which know nothing of this one's promises, are not used.
func (f *Forwarder) withPromise(r *Request, x *Refusal) *Refusal {
	if !r.refusedHere || x.Cause != causeFull && x.Cause != causeRelay || r.relayed || r.mayHaveRun || !f.queuesByCustomer() {
		return x
	}
	promised := *x
	promised.RetryAfter, promised.Forecast = f.Scheduler.Promise(r.schedulerRequest(nil))
	return &promised
}

// forecastFields returns the inputs and the result of a forecast, for the log. Times are in milliseconds.
func forecastFields(o *scheduler.Forecast) *zerolog.Event {
	return zerolog.Dict().Float64("free", o.Free).Float64("rate", o.Rate).Float64("part", o.Part).Float64("ahead", o.Ahead).
		Int("told", o.Promised).Dur("wait", o.Wait).Dur("limit", o.Limit).Dur("lead", o.Lead).Dur("loads", o.LoadAge)
}

// QueueCollector exports the state of a Scheduler's queues.
type QueueCollector struct {
	Scheduler *scheduler.Scheduler
}

var (
	queueWaiting   = prometheus.NewDesc("trefoil_queue_waiting", "Requests that wait for a place in the fair queue, by pool.", []string{"pool"}, nil)
	queueCustomers = prometheus.NewDesc("trefoil_queue_customers", "Customers whose use is remembered, by pool.", []string{"pool"}, nil)
	queueRefused   = prometheus.NewDesc("trefoil_queue_refused", "Refused requests that may return, by pool.", []string{"pool"}, nil)
	queuePromised  = prometheus.NewDesc("trefoil_promises_pending", "Times told to callers that are pending, by pool.", []string{"pool"}, nil)
	queuePromises  = prometheus.NewDesc("trefoil_promises_total", "Times told to callers, by pool and outcome: made, kept, early or passed.", []string{"pool", "outcome"}, nil)
	queueWaits     = prometheus.NewDesc("trefoil_queue_wait_seconds_total", "Waits for a place, forecast and actual, by pool.", []string{"pool", "kind"}, nil)
	customerLead   = prometheus.NewDesc("trefoil_customer_lead_seconds", "Engine time beyond its share of the customers with the most.", []string{"pool", "customer", "rank"}, nil)
	customerWaits  = prometheus.NewDesc("trefoil_customer_waiting", "Waiting requests of the customers with the largest leads.", []string{"pool", "customer", "rank"}, nil)
)

// Describe implements prometheus.Collector.
func (c QueueCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{queueWaiting, queueCustomers, queueRefused, queuePromised, queuePromises, queueWaits, customerLead, customerWaits} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c QueueCollector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	count := func(d *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, value, labels...)
	}
	for _, q := range c.Scheduler.QueueStates() {
		gauge(queueWaiting, float64(q.Waiting), q.Pool)
		gauge(queueCustomers, float64(q.Customers), q.Pool)
		gauge(queueRefused, float64(q.Refused), q.Pool)
		gauge(queuePromised, float64(q.Promised), q.Pool)
		count(queuePromises, float64(q.Made), q.Pool, "made")
		count(queuePromises, float64(q.Kept), q.Pool, "kept")
		count(queuePromises, float64(q.Early), q.Pool, "early")
		count(queuePromises, float64(q.Passed), q.Pool, "passed")
		count(queueWaits, q.ForecastWait.Seconds(), q.Pool, "forecast")
		count(queueWaits, q.Waited.Seconds(), q.Pool, "actual")
		for _, x := range q.Largest {
			gauge(customerLead, x.Lead.Seconds(), q.Pool, x.Customer, strconv.Itoa(x.Rank))
			gauge(customerWaits, float64(x.Waiting), q.Pool, x.Customer, strconv.Itoa(x.Rank))
		}
	}
}
