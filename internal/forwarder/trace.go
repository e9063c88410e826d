package forwarder

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// trace writes one request's decisions to the log and counts them.
type trace struct {
	f *Forwarder
	r *Request
}

func (t *trace) line(e *zerolog.Event) *zerolog.Event {
	r := t.r
	e = e.Str("request", r.ID).Dur("age", t.f.Timer.Now()-r.Arrived).Uint64("version", r.version)
	if r.route != nil {
		e = e.Str("route", r.route.Name).Str("pool", r.pool)
	}
	if r.customer != nil {
		e = e.Str("customer", r.customer.Name)
	}
	if r.relayed {
		e = e.Bool("relayed", true)
	}
	return e
}

// placed notes which upstream a request goes to, and why.
func (t *trace) placed(p *scheduler.Place, waited time.Duration) {
	wait := t.f.Timer.Now() - waited
	certainty, _ := t.f.Age()
	t.f.Metrics.waited.Observe(wait.Seconds())
	t.line(t.f.Log.Info()).Str("upstream", p.Name).Str("address", p.Address).Dur("waited", wait).
		Dur("expected", p.Expected).Str("shared", t.r.shared()).Int64("cached", p.Cached).Int64("input", t.r.Input).Int("running", p.Running).
		Bool("agreed", p.Agreed).Str("passed", string(p.Passed)).
		Dur("certainty", certainty).Int("sent", t.r.sent).Msg("placed")
}

// tried notes how one upstream fared.
func (t *trace) tried(p *scheduler.Place, err error, s *relayState) {
	if err == nil {
		t.f.Metrics.answered.WithLabelValues(t.r.pool).Inc()
		t.f.Metrics.latency.WithLabelValues(t.r.pool).Observe((t.f.Timer.Now() - t.r.Arrived).Seconds())
		t.line(t.f.Log.Info()).Str("upstream", p.Name).Int("events", s.events).Dur("first", s.first).Msg("answered")
		return
	}
	t.f.Metrics.failed.WithLabelValues(t.r.pool).Inc()
	t.line(t.f.Log.Warn()).Err(err).Str("upstream", p.Name).Str("last", s.last).Int("events", s.events).Bool("unsure", t.r.unsure).Msg("try failed")
}

// relayed notes that another region's host gets the request.
func (t *trace) relayed(region, host string) {
	t.line(t.f.Log.Info()).Str("region", region).Str("host", host).Strs("allowed", t.r.regions).Msg("passed to another region")
}

func (t *trace) refuse(sink Sink, x *Refusal) {
	t.f.Metrics.refused.WithLabelValues(x.Cause).Inc()
	certainty, _ := t.f.Age()
	t.line(t.f.Log.Info()).Err(x.Err).Int("status", x.Status).Str("cause", x.Cause).Dur("retry", x.Retry).
		Dur("certainty", certainty).Float64("tokens", t.r.tokens).Bool("unsure", t.r.unsure).Msg("refused")
	sink.Refuse(x)
}

func (t *trace) left() {
	t.f.Metrics.left.Inc()
	t.line(t.f.Log.Info()).Int("sent", t.r.sent).Msg("caller left")
}

func (t *trace) broken(err error) {
	t.f.Metrics.broken.Inc()
	t.line(t.f.Log.Warn()).Err(err).Msg("answer broken off")
}
