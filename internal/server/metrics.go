package server

import (
	"context"
	"errors"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/trefoilloft/trefoilloft/internal/controller"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// metrics are those of an entry host. None is labelled by customer, since 42,000 customers would
// need as many series; the burn report covers customers.
type metrics struct {
	refused            *prometheus.CounterVec
	answered           prometheus.Counter
	tokens             prometheus.Counter
	overshoot          prometheus.Counter
	retries            prometheus.Counter
	attemptsFailed     prometheus.Counter
	forwarded          prometheus.Counter
	truncated          prometheus.Counter
	withdrawn          prometheus.Counter
	sourceChanges      prometheus.Counter
	configVersion      prometheus.Gauge
	firstToken         prometheus.Histogram
	limitWait          prometheus.Histogram
	slotWait           prometheus.Histogram
	upstreamFirstToken prometheus.Histogram
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "trefoil_" + name, Help: help,
		Buckets: []float64{.001, .01, .02, .05, .1, .2, .3, .4, .52, .7, 1, 2, 5, 10},
	})
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: "trefoil_" + name, Help: help})
}

func newMetrics() *metrics {
	return &metrics{
		refused:            prometheus.NewCounterVec(prometheus.CounterOpts{Name: "trefoil_refused_total", Help: "Requests refused, by code."}, []string{"code"}),
		answered:           counter("answered_total", "Requests answered whole."),
		tokens:             counter("tokens_total", "Tokens charged to customers."),
		overshoot:          counter("overshoot_tokens_total", "Tokens used beyond their reservation."),
		retries:            counter("retries_total", "Attempts after the first."),
		attemptsFailed:     counter("attempts_failed_total", "Attempts at an upstream that failed."),
		forwarded:          counter("forwarded_total", "Requests sent to another region."),
		truncated:          counter("cut_total", "Streams that ended before their end mark."),
		withdrawn:          counter("withdrawn_total", "Withdrawals of keys accepted."),
		sourceChanges:      counter("config_source_changes_total", "Changes of the source of the configuration."),
		configVersion:      prometheus.NewGauge(prometheus.GaugeOpts{Name: "trefoil_config_version", Help: "Version of the configuration in force."}),
		firstToken:         histogram("first_token_seconds", "Time to the first token."),
		limitWait:          histogram("limit_wait_seconds", "Time that requests waited for tokens."),
		slotWait:           histogram("place_wait_seconds", "Time that requests waited for a place."),
		upstreamFirstToken: histogram("upstream_first_token_seconds", "Time from sending a request to an upstream to its first token."),
	}
}

// Collectors returns the metrics for a registry. Call it after Open.
func (s *Server) Collectors() []prometheus.Collector {
	m := s.metrics
	return []prometheus.Collector{
		m.refused, m.answered, m.tokens, m.overshoot, m.retries, m.attemptsFailed, m.forwarded,
		m.truncated, m.withdrawn, m.sourceChanges, m.configVersion, m.firstToken, m.limitWait, m.slotWait, m.upstreamFirstToken,
	}
}

// countCompletion counts the end of a completion in the metrics and the customer's service level.
// Refusals with a status below 500, which the customer caused, and requests whose caller left do
// not count towards the service level.
func (s *Server) countCompletion(c *completion, customer *schema.Customer, err error) {
	firstTokenDelay := c.firstTokenAt - c.startedAt
	if c.firstTokenAt > 0 {
		s.metrics.firstToken.Observe(firstTokenDelay.Seconds())
	}
	if err == nil {
		s.metrics.answered.Inc()
		s.burn.CountRequest(customer.Name, firstTokenDelay.Seconds() <= customer.Objective)
		return
	}
	if errors.Is(err, errCallerLeft) || refusalOf(err).Status < http.StatusInternalServerError {
		return
	}
	s.burn.CountRequest(customer.Name, false)
}

// Burn returns the service level of each customer at this host.
func (x *EntryService) Burn(_ context.Context, r *schema.BurnRequest) (*schema.BurnReply, error) {
	if _, ok := controller.OperatorName(x.Server.Settings, r.Token); !ok {
		return nil, status.Error(codes.Unauthenticated, "unknown operator token")
	}
	return &schema.BurnReply{Region: x.Server.Settings.Region, Customers: x.Server.burn.Counts()}, nil
}
