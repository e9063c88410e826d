package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilloft/trefoilloft/internal/admitter"
	"github.com/trefoilloft/trefoilloft/internal/limiter"
	"github.com/trefoilloft/trefoilloft/internal/proposer"
	"github.com/trefoilloft/trefoilloft/internal/router"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	defaultMaxTokens = 512
	maxTokensLimit   = 32 << 10
	// Length of the beginning of the prompt, in JSON, whose hash selects the preferred upstream.
	maxPrefixBytes = 512
	// Longest wait for a slot, unless the caller's deadline is earlier.
	slotWaitLimit     = 5 * time.Second
	maxRequestTimeout = 2 * time.Minute
	deadlineHeader    = "X-Deadline-Ms"
	// Time after a request's deadline in which the rest of its answer, or the error, must be written.
	writeDeadlineMargin = time.Second
	// Assumed round-trip time to another region.
	regionRoundTripTime = 160 * time.Millisecond
	// Time that a request must save, beyond the round trip, to be offloaded to another region.
	minOffloadGain = 100 * time.Millisecond
)

// completion is the state of one completion request. Times are on the Server's Timer.
type completion struct {
	requestID string
	path      string
	customer  string
	fields    map[string]json.RawMessage
	model     string
	stream    bool
	// wantsUsage is set if the caller asked for a usage event in the stream.
	wantsUsage      bool
	maxTokens       int
	maxPromptTokens int // upper bound of the tokens in the prompt
	prefixHash      uint64
	delivered       deliveredStream
	// software is the version of the upstream's software that the delivered tokens are from; nil before
	// the first.
	software *string
	// forwarded is set if a host of another region sent the request here.
	forwarded    bool
	usedTokens   int64 // as reported by the upstream; 0 if it reported none
	startedAt    time.Duration
	firstTokenAt time.Duration // when the first token was received; 0 if none was
}

// serveCompletion serves a request for a completion, streamed or not.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	startedAt := s.Timer.Now()
	p, err := s.authenticate(r)
	if err == nil {
		err = s.checkHome(p.customer.Home)
	}
	if err != nil {
		w.Header().Set("Connection", "close") // the body is left unread
		s.writeRefusal(w, err)
		return
	}
	c, err := s.readCompletion(w, r, p.customerName())
	if err != nil {
		s.writeRefusal(w, err)
		return
	}
	c.startedAt = startedAt
	ctx, cancel, err := s.requestContext(w, r)
	if err != nil {
		s.writeRefusal(w, err)
		return
	}
	defer cancel()
	ctx, remove := s.running.add(ctx, p.keyHash)
	defer remove()
	out := &httpAnswerWriter{w: w}
	err = s.endError(ctx, s.complete(ctx, c, p.customer, out))
	s.countCompletion(c, p.customer, err)
	if err != nil {
		out.writeError(s, err)
	}
}

// endError returns the error to report for a request that failed with err: if its key was
// withdrawn or its deadline passed, a refusal that says so, else err.
func (s *Server) endError(ctx context.Context, err error) error {
	switch cause := context.Cause(ctx); {
	case err == nil:
		return nil
	case errors.Is(cause, errKeyWithdrawn):
		return errKeyWithdrawn
	case errors.Is(cause, context.DeadlineExceeded):
		r := newRefusal(http.StatusGatewayTimeout, "deadline_exceeded", "the request did not end by its deadline")
		r.Run = refusalOf(err).Run
		if errors.Is(err, context.DeadlineExceeded) {
			r.Run = RunUnknown
		}
		return r
	}
	return err
}

// requestContext returns the context of a request with the caller's deadline, at most
// maxRequestTimeout from now. A caller that does not read its answer is disconnected
// writeDeadlineMargin after that.
func (s *Server) requestContext(w http.ResponseWriter, r *http.Request) (context.Context, context.CancelFunc, error) {
	timeout := maxRequestTimeout
	if v := r.Header.Get(deadlineHeader); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil && !errors.Is(err, strconv.ErrRange) || ms <= 0 {
			return nil, nil, newRefusal(http.StatusBadRequest, "bad_deadline", deadlineHeader+" is not a number of milliseconds above 0")
		}
		timeout = min(timeout, time.Duration(min(int64(ms), maxRequestTimeout.Milliseconds()))*time.Millisecond)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout + writeDeadlineMargin)) // on failure, a caller that does not read keeps its slot
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	return ctx, cancel, nil
}

func (s *Server) readCompletion(w http.ResponseWriter, r *http.Request, customer string) (*completion, error) {
	b, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	c, err := parseCompletion(r.URL.Path, b)
	if err != nil {
		return nil, err
	}
	c.customer = customer
	known := false
	for _, p := range s.snapshot().Paths("model") {
		known = known || s.snapshot().Item(p).GetModel().Name == c.model
	}
	if !known {
		return nil, newRefusal(http.StatusNotFound, "model_not_found", fmt.Sprintf("model %q is unknown", c.model))
	}
	return c, nil
}

// parseCompletion decodes the fields that the host needs and keeps the others unchanged. Its
// errors are refusals.
func parseCompletion(path string, b []byte) (*completion, error) {
	c := &completion{requestID: proposer.NewRequestID(), path: path, maxTokens: defaultMaxTokens}
	invalidField := func(name string, err error) error {
		return newRefusal(http.StatusBadRequest, "bad_request", fmt.Sprintf("field %s: %v", name, err))
	}
	if err := json.Unmarshal(b, &c.fields); err != nil || c.fields == nil {
		return nil, newRefusal(http.StatusBadRequest, "bad_json", "the body is not a JSON object")
	}
	if err := decodeField(c.fields, "model", &c.model); err != nil || c.model == "" {
		return nil, newRefusal(http.StatusBadRequest, "bad_request", "field model: a name is needed")
	}
	if err := decodeField(c.fields, "stream", &c.stream); err != nil {
		return nil, invalidField("stream", err)
	}
	var options struct {
		Usage bool `json:"include_usage"`
	}
	if err := decodeField(c.fields, "stream_options", &options); err != nil {
		return nil, invalidField("stream_options", err)
	}
	c.wantsUsage = options.Usage
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := decodeField(c.fields, name, &c.maxTokens); err != nil {
			return nil, invalidField(name, err)
		}
	}
	if c.maxTokens <= 0 || c.maxTokens > maxTokensLimit {
		return nil, invalidField("max_tokens", fmt.Errorf("must be from 1 to %d", maxTokensLimit))
	}
	input := c.fields["messages"]
	if c.path == "/v1/completions" {
		input = c.fields["prompt"]
	}
	if len(input) == 0 || bytes.Equal(input, []byte("null")) {
		return nil, newRefusal(http.StatusBadRequest, "bad_request", "the prompt or messages are missing")
	}
	// No tokenizer produces more tokens than the text has bytes.
	c.maxPromptTokens = len(input)
	c.prefixHash = xxhash.Sum64String(c.model) ^ xxhash.Sum64(input[:min(len(input), maxPrefixBytes)])
	return c, nil
}

func decodeField(fields map[string]json.RawMessage, name string, target any) error {
	raw, ok := fields[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		return nil
	}
	return json.Unmarshal(raw, target)
}

// complete reserves tokens of the customer's rate, then runs the request in this region, once
// a slot is free, or in another region.
func (s *Server) complete(ctx context.Context, c *completion, customer *schema.Customer, out answerWriter) error {
	tokens := float64(c.maxPromptTokens + c.maxTokens)
	r, err := s.limiter.Reserve(ctx, c.customer, tokens)
	if errors.Is(err, limiter.ErrOverBurst) {
		r, err = s.reserveBurst(ctx, c, customer)
	}
	if err != nil {
		return err
	}
	s.metrics.limitWait.Observe((s.Timer.Now() - c.startedAt).Seconds())
	defer func() { s.settleTokens(r, c) }()
	if region, ok := s.offloadRegion(c, customer); ok {
		return s.forwardCompletion(ctx, region, c, out)
	}
	return s.runLocally(ctx, c, customer.Weight, out)
}

// reserveBurst reserves the customer's whole burst and limits the answer to what the prompt leaves
// of it. It fails if nothing is left or the caller has set the number of tokens.
func (s *Server) reserveBurst(ctx context.Context, c *completion, customer *schema.Customer) (*limiter.Reservation, error) {
	remaining := int(customer.Burst) - c.maxPromptTokens
	if remaining < 1 || c.fields["max_tokens"] != nil || c.fields["max_completion_tokens"] != nil {
		return nil, limiter.ErrOverBurst
	}
	c.maxTokens = remaining
	return s.limiter.Reserve(ctx, c.customer, customer.Burst)
}

// settleTokens charges the tokens that the upstream reported; if it reported none, the bound of
// the prompt and the tokens sent to the caller.
func (s *Server) settleTokens(r *limiter.Reservation, c *completion) {
	tokens := float64(c.usedTokens)
	if tokens == 0 && c.delivered.tokens > 0 {
		tokens = float64(c.maxPromptTokens + c.delivered.tokens)
	}
	if over := s.limiter.Settle(r, tokens); over > 0 {
		s.metrics.overshoot.Add(over)
	}
	s.metrics.tokens.Add(tokens)
}

// runLocally waits for a slot in this region and runs the request.
func (s *Server) runLocally(ctx context.Context, c *completion, weight float64, out answerWriter) error {
	waitLimit := slotWaitLimit
	if deadline, ok := ctx.Deadline(); ok {
		waitLimit = min(waitLimit, time.Until(deadline))
	}
	waitStartedAt := s.Timer.Now()
	release, err := s.admitter.Admit(ctx, admitter.Request{
		Pool: router.PoolName(schema.UpstreamKind_UPSTREAM_ENGINE, c.model), Customer: c.customer,
		Weight: weight, Cost: float64(c.maxPromptTokens)/4 + float64(c.maxTokens), WaitLimit: waitLimit,
	})
	if err != nil {
		return err
	}
	defer release()
	s.metrics.slotWait.Observe((s.Timer.Now() - waitStartedAt).Seconds())
	return s.runAttempts(ctx, c, out)
}

// offloadRegion returns the region to offload a request to, and true if no upstream here serves the
// model or the request is expected to start earlier there. Requests of a customer with a home
// region, and forwarded ones, stay here.
func (s *Server) offloadRegion(c *completion, customer *schema.Customer) (string, bool) {
	if customer.Home != "" || c.forwarded {
		return "", false
	}
	if _, _, ok := s.router.Forecast(schema.UpstreamKind_UPSTREAM_ENGINE, c.model); !ok {
		return s.regionDigests.pick(c.model, s.Timer.Now(), true)
	}
	wait, _ := s.admitter.ExpectedWait(router.PoolName(schema.UpstreamKind_UPSTREAM_ENGINE, c.model))
	if wait < regionRoundTripTime+minOffloadGain {
		return "", false
	}
	return s.regionDigests.pick(c.model, s.Timer.Now(), false)
}
