package server

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/admitter"
	"github.com/trefoilloft/trefoilloft/internal/authenticator"
	"github.com/trefoilloft/trefoilloft/internal/limiter"
	"github.com/trefoilloft/trefoilloft/internal/router"
)

// RunState says whether a refused request ran.
type RunState int

// Values of RunState.
const (
	// NotRun means that nothing of the request, or of an earlier attempt, reached an upstream.
	NotRun RunState = iota
	// RunUnknown means that the request may have run.
	RunUnknown
)

// Refusal is an error as it is sent to callers.
type Refusal struct {
	Status     int
	Type       string
	Code       string
	Message    string
	Run        RunState
	RetryAfter time.Duration // sent as Retry-After, in whole seconds; 0: not sent
	// Hosts are the addresses of the hosts to use instead.
	Hosts []string
}

// Error returns the message.
func (r *Refusal) Error() string { return r.Message }

func newRefusal(status int, code, message string) *Refusal {
	kind := "invalid_request_error"
	switch {
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		kind = "authentication_error"
	case status == http.StatusTooManyRequests:
		kind = "rate_limit_error"
	case status >= http.StatusInternalServerError:
		kind = "server_error"
	}
	return &Refusal{Status: status, Type: kind, Code: code, Message: message}
}

// refusalOf returns the refusal for an error of any component. A request that is not known to
// have failed before it reached an upstream may have run.
func refusalOf(err error) *Refusal {
	var refusal *Refusal
	var overRate *limiter.OverRateError
	var noCapacity *admitter.NoCapacityError
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, authenticator.ErrNoKey):
		return newRefusal(http.StatusUnauthorized, "missing_api_key", "present a key as a bearer token")
	case errors.Is(err, authenticator.ErrInvalidKey):
		return newRefusal(http.StatusUnauthorized, "invalid_api_key", "the key is not valid")
	case errors.Is(err, limiter.ErrOverBurst):
		return newRefusal(http.StatusTooManyRequests, "over_burst", err.Error())
	case errors.As(err, &overRate):
		r := newRefusal(http.StatusTooManyRequests, "over_rate", "over the customer's rate")
		r.RetryAfter = overRate.RetryAfter
		return r
	case errors.Is(err, limiter.ErrUnknownCustomer):
		return newRefusal(http.StatusUnauthorized, "invalid_api_key", "the key is not valid")
	case errors.As(err, &noCapacity):
		r := newRefusal(http.StatusServiceUnavailable, "no_capacity", "no capacity in time")
		r.RetryAfter = noCapacity.RetryAfter
		return r
	case errors.Is(err, router.ErrNoUpstream):
		r := newRefusal(http.StatusServiceUnavailable, "no_upstream", "no upstream can take the request")
		r.RetryAfter = time.Second
		return r
	}
	r := newRefusal(http.StatusBadGateway, "upstream_failed", "the upstream failed")
	r.Run = RunUnknown
	return r
}

// body returns the JSON body of the refusal.
func (r *Refusal) body() []byte {
	var run any = "unknown"
	if r.Run == NotRun {
		run = false
	}
	b, err := json.Marshal(struct {
		Error struct {
			Message string   `json:"message"`
			Type    string   `json:"type"`
			Code    string   `json:"code"`
			Run     any      `json:"run"`
			Hosts   []string `json:"hosts,omitempty"`
		} `json:"error"`
	}{struct {
		Message string   `json:"message"`
		Type    string   `json:"type"`
		Code    string   `json:"code"`
		Run     any      `json:"run"`
		Hosts   []string `json:"hosts,omitempty"`
	}{r.Message, r.Type, r.Code, run, r.Hosts}})
	if err != nil {
		return []byte(`{"error":{"type":"server_error","code":"internal","run":"unknown"}}`)
	}
	return b
}

func (s *Server) writeRefusal(w http.ResponseWriter, err error) {
	r := refusalOf(err)
	s.metrics.refused.WithLabelValues(r.Code).Inc()
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.body())
}
