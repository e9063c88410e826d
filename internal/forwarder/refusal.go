package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/prober"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// Refusal is a response of the entry host itself in place of an upstream's.
type Refusal struct {
	// Status is an HTTP status. 408, 421, 429 and 503 mean that the request never runs.
	Status int
	// Cause says why in a few words. It is sent to the caller.
	Cause string
	// RetryAfter is the delay after which the caller may retry; 0 if not stated.
	RetryAfter time.Duration
	// Err is the underlying error, for the log only; nil if Cause says all.
	Err error
	// Part is the ID of the quarantined part of the prompt, for the log only; empty for other causes.
	Part string
	// Forecast is what a refusal for want of a slot rests on, for the log only; nil if none was made.
	Forecast *scheduler.Forecast
	// Software is the version that began the stream, for the log only; empty for other causes.
	Software string
}

// Error returns the cause.
func (r *Refusal) Error() string { return r.Cause }

// Causes of refusals. They are sent to callers, and are values of a log field and a metric label.
const (
	causeNoConfig           = "no configuration is known yet"
	causeStale              = "the configuration may have changed and cannot be confirmed"
	causeNoRoute            = "no route has this host and path"
	causeNoKey              = "the key is not valid"
	causeNoLender           = "the customer's limits cannot be confirmed"
	causeOverRate           = "the customer is over its rate"
	causeFull               = "no upstream has a place in time"
	causeEarly              = "the caller came before the time that it was told"
	causeNoUpstream         = "no upstream may be used"
	causeNoHome             = "no region that may serve it can be reached"
	causeTimeout            = "the time limit passed"
	causeLost               = "the upstream's answer was lost"
	causeRejected           = "the upstream turned the request away"
	causeUnproven           = "the upstream's answer does not state whether the request ran"
	causeRelay              = "another region's host failed"
	causeUnreachable        = "the upstream cannot be reached"
	causeStopping           = "the host is stopping"
	causePartQuarantined    = "upstreams crashed under a part of the prompt"
	causeOriginUnknown      = "the version that began the stream is not known"
	causeVersionGone        = "no upstream of the version that began the stream is left"
	causeRequestQuarantined = "upstreams crashed under this request"
	causeIsolated           = "the host reaches no upstream"
)

// learningSpread is the ratio of the time in which the leader learns what is in use to that over which the return of
// the callers refused meanwhile is spread.
const learningSpread = 4

const (
	// Delay after which a host that has just started knows the configuration: if all control
	// hosts start together with it, they elect a leader first.
	startRetryDelay = 2500 * time.Millisecond
	// Delay after which the configuration may be confirmed again: the time of an election.
	staleRetryDelay = 1500 * time.Millisecond
	// Delay after which an upstream or a region may be available again, and the shorter one after
	// which a retry may succeed if the last attempt at an upstream failed.
	unavailableRetryDelay = 500 * time.Millisecond
	failedRetryDelay      = 200 * time.Millisecond
)

func refuse(status int, cause string, retry time.Duration) *Refusal {
	return &Refusal{Status: status, Cause: cause, RetryAfter: retry}
}

// refusalOf converts the error of a step of the request path into a refusal. Its statuses are
// those of a request that never runs; finalRefusal corrects them if it may have run.
func refusalOf(err error) *Refusal {
	var r *Refusal
	var over *allocator.OverRateError
	var full *scheduler.NoSlotError
	switch {
	case errors.As(err, &r):
		return r
	case errors.As(err, &over) && over.Learning > 0:
		// Callers that return at the same moment would be refused again.
		spread := rand.N(over.Learning/learningSpread + 1)
		return refuse(http.StatusServiceUnavailable, causeNoLender, over.Learning+spread)
	case errors.As(err, &over):
		return refuse(http.StatusTooManyRequests, causeOverRate, over.RetryAfter)
	case errors.As(err, &full):
		cause := causeFull
		if full.Early {
			cause = causeEarly
		}
		f := refuse(http.StatusServiceUnavailable, cause, full.RetryAfter)
		f.Forecast = full.Forecast
		return f
	case errors.Is(err, scheduler.ErrNoUpstream):
		return refuse(http.StatusServiceUnavailable, causeNoUpstream, unavailableRetryDelay)
	case errors.Is(err, prober.ErrIsolated):
		return refuse(http.StatusServiceUnavailable, causeIsolated, unavailableRetryDelay)
	case errors.Is(err, context.DeadlineExceeded):
		return refuse(http.StatusServiceUnavailable, causeTimeout, 0)
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Cause: causeOf(err), RetryAfter: failedRetryDelay, Err: err}
}

// causeOf returns the cause of a failed attempt. Causes are short and tell a caller nothing
// about hosts.
func causeOf(err error) string {
	switch {
	case errors.Is(err, errNotRun), errors.Is(err, errMisdirected):
		return causeRejected
	case errors.Is(err, pooler.ErrNotSent):
		return causeUnreachable
	case errors.Is(err, errRelayFailed):
		return causeRelay
	}
	return causeLost
}

// finalRefusal returns f, with a status that does not promise that the request never runs if
// it may have run.
func (r *Request) finalRefusal(f *Refusal) *Refusal {
	if !r.mayHaveRun {
		return f
	}
	status := http.StatusBadGateway
	if f.Cause == causeTimeout {
		status = http.StatusGatewayTimeout
	}
	return &Refusal{Status: status, Cause: f.Cause, Err: f.Err, Part: f.Part}
}
