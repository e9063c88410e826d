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
	largestMaxTokens = 32 << 10
	// Beginning of the prompt that affinity looks at.
	prefixBytes = 512
	// Longest wait for a place, unless the caller's deadline is earlier.
	admitLimit      = 5 * time.Second
	defaultDeadline = 2 * time.Minute
	deadlineHeader  = "X-Deadline-Ms"
	// Assumed time to another region and back.
	regionRoundTrip = 160 * time.Millisecond
	// Time that another region must win by before a request is sent there.
	remoteMargin = 100 * time.Millisecond
)

// completion is one completion request on its way.
type completion struct {
	id       string
	path     string
	customer string
	fields   map[string]json.RawMessage
	model    string
	stream   bool
	// usage is set if the caller asked for usage in the stream.
	usage     bool
	maxTokens int
	prompt    int // upper bound of the prompt's tokens
	prefix    uint64
	delivered delivered
	// forwarded is set if another host has sent it here.
	forwarded bool
	used      int64
	begun     time.Duration
	first     time.Duration // when the first token was sent; 0: not yet
}

// serveCompletion serves one completion, streamed or not.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	begun := s.Timer.Now()
	id, err := s.authenticate(r)
	if err == nil {
		err = s.checkHome(id.customer.Home)
	}
	if err != nil {
		w.Header().Set("Connection", "close") // the body stays unread
		s.writeRefusal(w, err)
		return
	}
	c, err := s.readCompletion(w, r, id.name())
	if err != nil {
		s.writeRefusal(w, err)
		return
	}
	c.begun = begun
	ctx, cancel, err := s.withDeadline(r)
	if err != nil {
		s.writeRefusal(w, err)
		return
	}
	defer cancel()
	ctx, done := s.running.add(ctx, id.hash)
	defer done()
	out := &httpSink{w: w}
	err = s.ended(ctx, s.complete(ctx, c, id.customer, out))
	s.account(c, id.customer, err)
	if err != nil {
		out.fail(s, err)
	}
}

// ended gives the reason why a request was ended early, if it was.
func (s *Server) ended(ctx context.Context, err error) error {
	switch cause := context.Cause(ctx); {
	case err == nil:
		return nil
	case errors.Is(cause, errWithdrawn):
		return errWithdrawn
	case errors.Is(cause, context.DeadlineExceeded):
		r := refuse(http.StatusGatewayTimeout, "deadline_exceeded", "the request did not end by its deadline")
		r.Run = refusalOf(err).Run
		if errors.Is(err, context.DeadlineExceeded) {
			r.Run = RunUnknown
		}
		return r
	}
	return err
}

// withDeadline gives a request the caller's deadline.
func (s *Server) withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	limit := defaultDeadline
	if v := r.Header.Get(deadlineHeader); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil || ms <= 0 {
			return nil, nil, refuse(http.StatusBadRequest, "bad_deadline", deadlineHeader+" is not a number of milliseconds above 0")
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	return ctx, cancel, nil
}

func (s *Server) readCompletion(w http.ResponseWriter, r *http.Request, customer string) (*completion, error) {
	b, err := readBody(w, r)
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
		return nil, refuse(http.StatusNotFound, "model_not_found", fmt.Sprintf("model %q is unknown", c.model))
	}
	return c, nil
}

// parseCompletion reads what the gateway needs and keeps the rest as it is.
func parseCompletion(path string, b []byte) (*completion, error) {
	c := &completion{id: proposer.NewRequest(), path: path, maxTokens: defaultMaxTokens}
	bad := func(field string, err error) error {
		return refuse(http.StatusBadRequest, "bad_request", fmt.Sprintf("field %s: %v", field, err))
	}
	if err := json.Unmarshal(b, &c.fields); err != nil || c.fields == nil {
		return nil, refuse(http.StatusBadRequest, "bad_json", "the body is not a JSON object")
	}
	if err := field(c.fields, "model", &c.model); err != nil || c.model == "" {
		return nil, refuse(http.StatusBadRequest, "bad_request", "field model: a name is needed")
	}
	if err := field(c.fields, "stream", &c.stream); err != nil {
		return nil, bad("stream", err)
	}
	var options struct {
		Usage bool `json:"include_usage"`
	}
	if err := field(c.fields, "stream_options", &options); err != nil {
		return nil, bad("stream_options", err)
	}
	c.usage = options.Usage
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := field(c.fields, name, &c.maxTokens); err != nil {
			return nil, bad(name, err)
		}
	}
	if c.maxTokens <= 0 || c.maxTokens > largestMaxTokens {
		return nil, bad("max_tokens", fmt.Errorf("must be from 1 to %d", largestMaxTokens))
	}
	input := c.fields["messages"]
	if c.path == "/v1/completions" {
		input = c.fields["prompt"]
	}
	if len(input) == 0 || bytes.Equal(input, []byte("null")) {
		return nil, refuse(http.StatusBadRequest, "bad_request", "the prompt or messages are missing")
	}
	// No tokenizer makes more tokens than the text has bytes.
	c.prompt = len(input)
	c.prefix = xxhash.Sum64String(c.model) ^ xxhash.Sum64(input[:min(len(input), prefixBytes)])
	return c, nil
}

func field(fields map[string]json.RawMessage, name string, to any) error {
	raw, ok := fields[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		return nil
	}
	return json.Unmarshal(raw, to)
}

// complete takes tokens, then a place, then runs the request here or in another region.
func (s *Server) complete(ctx context.Context, c *completion, customer *schema.Customer, out sink) error {
	reserve := float64(c.prompt + c.maxTokens)
	r, err := s.limiter.Reserve(ctx, c.customer, reserve)
	if errors.Is(err, limiter.ErrTooLarge) {
		r, err = s.reserveLess(ctx, c, customer)
	}
	if err != nil {
		return err
	}
	s.metrics.limitWait.Observe((s.Timer.Now() - c.begun).Seconds())
	defer func() { s.settle(r, c) }()
	if region, ok := s.remoteRegion(c, customer); ok {
		return s.forwardCompletion(ctx, region, c, out)
	}
	return s.runHere(ctx, c, customer.Weight, out)
}

// reserveLess shortens the answer that a request may have to what the burst allows.
func (s *Server) reserveLess(ctx context.Context, c *completion, customer *schema.Customer) (*limiter.Reservation, error) {
	left := int(customer.Burst) - c.prompt
	if left < 1 || c.fields["max_tokens"] != nil || c.fields["max_completion_tokens"] != nil {
		return nil, limiter.ErrTooLarge
	}
	c.maxTokens = left
	return s.limiter.Reserve(ctx, c.customer, customer.Burst)
}

// settle charges what the request used; if that is not known, what the caller was sent.
func (s *Server) settle(r *limiter.Reservation, c *completion) {
	used := float64(c.used)
	if used == 0 && c.delivered.tokens > 0 {
		used = float64(c.prompt + c.delivered.tokens)
	}
	if over := s.limiter.Settle(r, used); over > 0 {
		s.metrics.overshoot.Add(over)
	}
	s.metrics.tokens.Add(used)
}

// runHere waits for a place in this region and runs the request.
func (s *Server) runHere(ctx context.Context, c *completion, weight float64, out sink) error {
	limit := admitLimit
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline))
	}
	begun := s.Timer.Now()
	release, err := s.admitter.Admit(ctx, admitter.Request{
		Pool: router.PoolName(schema.UpstreamKind_UPSTREAM_ENGINE, c.model), Customer: c.customer,
		Weight: weight, Cost: float64(c.prompt)/4 + float64(c.maxTokens), Limit: limit,
	})
	if err != nil {
		return err
	}
	defer release()
	s.metrics.placeWait.Observe((s.Timer.Now() - begun).Seconds())
	return s.attempt(ctx, c, out)
}

// remoteRegion returns another region if the request would begin earlier there.
func (s *Server) remoteRegion(c *completion, customer *schema.Customer) (string, bool) {
	if customer.Home != "" || c.forwarded {
		return "", false
	}
	if _, _, ok := s.router.Forecast(schema.UpstreamKind_UPSTREAM_ENGINE, c.model); !ok {
		return s.regions.pick(c.model, s.Timer.Now(), true)
	}
	wait, _ := s.admitter.Expect(router.PoolName(schema.UpstreamKind_UPSTREAM_ENGINE, c.model))
	if wait < regionRoundTrip+remoteMargin {
		return "", false
	}
	return s.regions.pick(c.model, s.Timer.Now(), false)
}
