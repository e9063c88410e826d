package forwarder

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/quarantiner"
	"github.com/trefoilloft/trefoilloft/internal/resumer"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// trace logs the decisions about one request and counts them in metrics.
type trace struct {
	f *Forwarder
	r *Request
}

func (t *trace) withFields(e *zerolog.Event) *zerolog.Event {
	r := t.r
	e = e.Str("request", r.ID).Dur("age", t.f.Timer.Now()-r.ArrivedAt).Uint64("version", r.configVersion)
	if r.route != nil {
		e = e.Str("route", r.route.Name).Str("pool", r.pool)
	}
	if r.customer != nil {
		e = e.Str("customer", r.customer.Name)
	}
	if r.relayed {
		e = e.Bool("relayed", true)
	}
	if r.LastEventID != "" {
		e = e.Str("resumes", r.Resumes).Str("after", r.LastEventID)
	}
	return e
}

// withHomes adds what the decision where a request may be served rests on: its homes, this host's region, and
// the age of the confirmation of the configuration that they come from. Homes are left out if any region is
// one. A newer configuration that is in force already is added too.
func (t *trace) withHomes(e *zerolog.Event) *zerolog.Event {
	confirmationAge, _ := t.f.ConfirmationAge()
	e = t.withFields(e).Str("here", t.f.Region).Dur("certainty", confirmationAge)
	if homes := t.r.regions; homes != nil {
		e = e.Strs("homes", homes[:min(len(homes), maxLoggedHomes)])
	}
	if x := t.f.index.Load(); x != nil && x.snapshot.Version != t.r.configVersion {
		e = e.Uint64("newest", x.snapshot.Version)
	}
	return e
}

// logPlaced logs the upstream to which a request is sent and why the scheduler chose it.
// QueuedAt is the time on the timer's clock at which the request began to wait for a slot.
func (t *trace) logPlaced(reservation *scheduler.Reservation, queuedAt time.Duration) {
	wait := t.f.Timer.Now() - queuedAt
	t.f.Metrics.slotWait.Observe(wait.Seconds())
	e := t.withHomes(t.f.Log.Info())
	if x := reservation.Estimate; x != nil {
		e = e.Float64("output", x.Output).Dur("work", x.Work).Dur("left", x.WorkLeft).Dur("occupies", x.SlotTime).Dur("causes", x.Caused).Dur("loses", x.Loss).
			Int64("held", x.Held).Int64("needs", x.Needed).Dur("reported", x.Age)
	}
	e.Str("upstream", reservation.Name).Str("address", reservation.Address).Str("software", reservation.Software).Dur("waited", wait).
		Dur("expected", reservation.ExpectedDelay).Hex("content", quarantiner.AppendKey(nil, t.r.contentKey())).Strs("parts", t.r.sharedPartIDs()).Int64("cached", reservation.CachedTokens).Int64("input", t.r.InputTokens).Int("running", reservation.Running).
		Bool("agreed", reservation.Preferred).Str("passed", string(reservation.PreferredSkipped)).
		Int("sent", t.r.attempts).Msg("placed")
}

// logAttempt logs and counts how an attempt at an upstream ended; nil means that its response
// was forwarded.
func (t *trace) logAttempt(reservation *scheduler.Reservation, err error, s *responseState) {
	if err == nil {
		t.f.Metrics.answered.WithLabelValues(t.r.pool).Inc()
		t.f.Metrics.requestTime.WithLabelValues(t.r.pool).Observe((t.f.Timer.Now() - t.r.ArrivedAt).Seconds())
		t.withFields(t.f.Log.Info()).Str("upstream", reservation.Name).Int("events", s.events).Dur("first", s.headDelay).
			Bool("unframed", s.unframed).Str("began", s.firstEventID).Str("last", s.lastEventID).Msg("answered")
		return
	}
	t.f.Metrics.attemptsFailed.WithLabelValues(t.r.pool).Inc()
	t.withFields(t.f.Log.Warn()).Err(err).Str("upstream", reservation.Name).Hex("content", quarantiner.AppendKey(nil, t.r.contentKey())).Int("events", s.events).
		Bool("unframed", s.unframed).Str("began", s.firstEventID).Str("last", s.lastEventID).Bool("unsure", t.r.mayHaveRun).Msg("try failed")
}

// logResume logs and counts that the caller takes up a stream, and how the version that began it was found.
func (t *trace) logResume(o resumer.Origin, source string) {
	t.f.Metrics.resumes.WithLabelValues(source).Inc()
	t.withFields(t.f.Log.Info()).Str("software", o.Software).Str("source", source).Strs("regions", t.r.resumeRegions).Msg("stream taken up")
}

// logRelayed logs that the request is relayed to another host.
func (t *trace) logRelayed(region, host string) {
	t.withHomes(t.f.Log.Info()).Str("region", region).Str("host", host).Msg("passed to another region")
}

// logStopping logs whether a stopping host takes a request. Both times are counted from now.
func (t *trace) logStopping(taken bool, expectedEnd, processEnd time.Duration) {
	t.withFields(t.f.Log.Info()).Bool("taken", taken).Dur("expected", expectedEnd).Dur("limit", t.r.answerUntil-t.f.Timer.Now()).
		Dur("left", processEnd).Msg("request while stopping")
}

func (t *trace) refuse(sink Sink, x *Refusal) {
	t.f.Metrics.refused.WithLabelValues(x.Cause).Inc()
	e := t.withHomes(t.f.Log.Info())
	if x.Part != "" {
		e = e.Str("part", x.Part)
	}
	if x.Software != "" {
		e = e.Str("software", x.Software)
	}
	if o := x.Forecast; o != nil {
		e = e.Bool("returned", t.r.claim.Returned).Bool("promised", o.Placed).Dict("forecast", forecastFields(o))
	}
	e.Err(x.Err).Int("status", x.Status).Str("cause", x.Cause).Dur("retry", x.RetryAfter).
		Float64("tokens", t.r.chargedTokens).Bool("unsure", t.r.mayHaveRun).Msg("refused")
	sink.Refuse(x)
}

func (t *trace) logCallerLeft() {
	t.f.Metrics.callersLeft.Inc()
	t.withFields(t.f.Log.Info()).Int("sent", t.r.attempts).Msg("caller left")
}

func (t *trace) logTruncated(err error) {
	t.f.Metrics.truncated.Inc()
	t.withFields(t.f.Log.Warn()).Err(err).Msg("answer broken off")
}
