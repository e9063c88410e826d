package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// Refusal is an answer of our own.
type Refusal struct {
	// Status is an HTTP status. 408, 421, 429 and 503 say that the request never runs.
	Status int
	Cause  string
	// Retry is when the caller may come back; 0: not stated.
	Retry time.Duration
	// Err is what led to it, for the log only; nil: the cause says all.
	Err error
}

// Error returns the cause.
func (r *Refusal) Error() string { return r.Cause }

// Causes of refusals, as they stand in logs and metrics.
const (
	causeNoConfig   = "no configuration is known yet"
	causeStale      = "the configuration may have changed and cannot be confirmed"
	causeNoRoute    = "no route has this host and path"
	causeNoKey      = "the key is not valid"
	causeNoLender   = "the customer's limits cannot be confirmed"
	causeOverRate   = "the customer is over its rate"
	causeFull       = "no upstream has a place in time"
	causeNoUpstream = "no upstream may be used"
	causeNoHome     = "no region that may serve it can be reached"
	causeTimeout    = "the time limit passed"
	causeLost       = "the upstream's answer was lost"
	causeTurned     = "the upstream turned the request away"
	causeRelay      = "another region's host failed"
	causeUnreached  = "the upstream cannot be reached"
	causeStopping   = "the host is stopping"
)

const (
	// Time after which a host that has just started knows the configuration: when all control
	// hosts start with it, they elect a leader first.
	startRetry = 2500 * time.Millisecond
	// Time after which a configuration that cannot be confirmed now may be again: an election.
	staleRetry = 1500 * time.Millisecond
	// Time after which an upstream may be there again.
	missingRetry = 500 * time.Millisecond
	refusedRetry = 200 * time.Millisecond
)

func refuse(status int, cause string, retry time.Duration) *Refusal {
	return &Refusal{Status: status, Cause: cause, Retry: retry}
}

// refusalOf turns the error of a step into a refusal. Nothing was sent to an upstream.
func refusalOf(err error) *Refusal {
	var r *Refusal
	var over *allocator.Over
	var full *scheduler.Full
	switch {
	case errors.As(err, &r):
		return r
	case errors.As(err, &over):
		return refuse(http.StatusTooManyRequests, causeOverRate, over.Retry)
	case errors.As(err, &full):
		return refuse(http.StatusServiceUnavailable, causeFull, full.Retry)
	case errors.Is(err, scheduler.ErrNone):
		return refuse(http.StatusServiceUnavailable, causeNoUpstream, missingRetry)
	case errors.Is(err, context.DeadlineExceeded):
		return refuse(http.StatusServiceUnavailable, causeTimeout, 0)
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Cause: causeOf(err), Retry: refusedRetry, Err: err}
}

// causeOf names the failure of a try: few words, none of which tell a caller of our hosts.
func causeOf(err error) string {
	switch {
	case errors.Is(err, errNotRun), errors.Is(err, errElsewhere):
		return causeTurned
	case errors.Is(err, pooler.ErrNotSent):
		return causeUnreached
	case errors.Is(err, errRelay):
		return causeRelay
	}
	return causeLost
}

// final returns a refusal that is true of a request: one that may have run is not said
// never to run.
func (r *Request) final(f *Refusal) *Refusal {
	if !r.unsure {
		return f
	}
	status := http.StatusBadGateway
	if f.Cause == causeTimeout {
		status = http.StatusGatewayTimeout
	}
	return &Refusal{Status: status, Cause: f.Cause, Err: f.Err}
}
