package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/caller"
	"github.com/trefoilloft/trefoilloft/internal/router"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Attempts in a row that bring nothing after which a request is given up.
	attemptLimit = 4
	// Longest time to the first token and between tokens before the connection counts as silent.
	firstSilence = 6 * time.Second
	tokenSilence = 2 * time.Second
	answerLimit  = 32 << 20
)

// errBroken says that the answer broke off where it cannot be resumed.
var errBroken = errors.New("server: the answer broke off")

// delivered is what the caller has got of a stream so far.
type delivered struct {
	events [][]byte
	tokens int
}

// tries is what one request has learnt of the upstreams that it was tried on.
type tries struct {
	excluded map[string]bool
	// stalled names the upstreams whose connection fell silent since one of theirs worked.
	stalled map[string]bool
	// idle counts the tries since one brought anything.
	idle int
}

func newTries() *tries {
	return &tries{excluded: map[string]bool{}, stalled: map[string]bool{}}
}

// note takes the outcome of a try. It reports whether the upstream is to be tried once more
// on a new connection: the first connection that falls silent is blamed itself.
func (t *tries) note(name string, err error, progressed bool) (again bool) {
	t.idle++
	if progressed {
		t.idle = 0
		delete(t.stalled, name)
	}
	if err == nil {
		return false
	}
	if errors.Is(err, caller.ErrStalled) && !t.stalled[name] {
		t.stalled[name] = true
		return true
	}
	t.excluded[name] = true
	return false
}

// fresh reports whether the next try at an upstream needs a connection of its own: others
// that were idle when one fell silent may be silent too, and may be taken before they are
// closed.
func (t *tries) fresh(name string) bool { return t.stalled[name] }

// attempt runs a request on one upstream after another until one gives the whole answer.
// Completions may be repeated; a stream goes on after the tokens delivered already.
func (s *Server) attempt(ctx context.Context, c *completion, out sink) error {
	t := newTries()
	last := error(router.ErrNone)
	for n := 0; t.idle < attemptLimit && s.mayTry(n); n++ {
		choice, err := s.router.Pick(router.Request{
			Kind: schema.UpstreamKind_UPSTREAM_ENGINE, Pool: c.model, Prefix: c.prefix, Excluded: t.excluded,
		})
		if err != nil {
			break
		}
		before := c.delivered.tokens
		err = s.tryUpstream(ctx, c, choice, t.fresh(choice.Name), out)
		again := t.note(choice.Name, err, c.delivered.tokens > before)
		s.endTry(ctx, choice, err, again)
		if err == nil || ctx.Err() != nil || errors.Is(err, errCaller) || isFinal(err) {
			return err
		}
		last = err
	}
	return last
}

// mayTry reports whether the n-th try is within the budget of retries.
func (s *Server) mayTry(n int) bool {
	if n == 0 {
		return true
	}
	if !s.retries.take(s.Timer.Now()) {
		return false
	}
	s.metrics.retries.Inc()
	return true
}

// endTry gives the place at the upstream back and counts how the try ended. With a silent
// connection all idle ones to the upstream are closed: they may be dead too.
func (s *Server) endTry(ctx context.Context, u *router.Choice, err error, again bool) {
	u.Done(outcome(ctx, err, again))
	if err == nil {
		s.retries.earn()
		return
	}
	s.metrics.attemptsFailed.Inc()
	if errors.Is(err, caller.ErrStalled) {
		s.caller.Purge(u.Address)
	}
}

// outcome tells the router how an attempt ended. again: only a connection is to blame.
func outcome(ctx context.Context, err error, again bool) router.Outcome {
	switch {
	case err == nil:
		return router.Finished
	case again || ctx.Err() != nil || errors.Is(err, errCaller) || isFinal(err):
		return router.Canceled
	}
	return router.Failed
}

// isFinal reports whether an upstream refused the request itself, as any other would.
func isFinal(err error) bool {
	var r *Refusal
	return errors.As(err, &r)
}

// tryUpstream runs the request on one upstream, on a connection of its own if fresh.
func (s *Server) tryUpstream(ctx context.Context, c *completion, u *router.Choice, fresh bool, out sink) error {
	body, err := c.body()
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Address+c.path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("server: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", c.id)
	begun := s.Timer.Now()
	had := c.first > 0
	defer func() {
		if !had && c.first > 0 {
			s.metrics.upstreamFirst.Observe((c.first - begun).Seconds())
		}
	}()
	answer, err := s.caller.Send(r, firstSilence, fresh)
	if err != nil {
		return err
	}
	defer answer.Close()
	if answer.StatusCode != http.StatusOK {
		return upstreamRefusal(answer)
	}
	if c.stream {
		return s.relayStream(c, answer, out)
	}
	return s.relayWhole(c, answer, out)
}

// upstreamRefusal tells a refusal of the request from a failure of the upstream.
func upstreamRefusal(a *caller.Answer) error {
	b, _ := io.ReadAll(io.LimitReader(a.Body, 4<<10))
	if a.StatusCode >= 400 && a.StatusCode < 500 && a.StatusCode != http.StatusTooManyRequests && a.StatusCode != http.StatusRequestTimeout {
		r := refuse(a.StatusCode, "upstream_refused", strings.TrimSpace(string(b)))
		r.Run = RunUnknown
		return r
	}
	return fmt.Errorf("server: upstream status %d", a.StatusCode)
}

// body returns the request for an upstream, resuming after what was delivered.
func (c *completion) body() ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(c.fields)+3)
	for k, v := range c.fields {
		fields[k] = v
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = json.RawMessage(fmt.Sprint(c.maxTokens))
	if c.stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	if c.delivered.tokens > 0 {
		text, err := c.delivered.text()
		if err != nil {
			return nil, err
		}
		resume, err := json.Marshal(struct {
			Tokens int    `json:"tokens"`
			Text   string `json:"text"`
		}{c.delivered.tokens, text})
		if err != nil {
			return nil, err
		}
		fields["resume"] = resume
	}
	return json.Marshal(fields)
}

// text returns the text delivered so far. It is only needed when an attempt failed.
func (d *delivered) text() (string, error) {
	var text strings.Builder
	for _, e := range d.events {
		var chunk struct {
			Choices []struct {
				Text  string `json:"text"`
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal(e, &chunk); err != nil {
			return "", fmt.Errorf("%w: %w", errBroken, err)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Text + choice.Delta.Content)
		}
	}
	return text.String(), nil
}

var (
	usageMark    = []byte(`"usage":{`)
	choicesEmpty = []byte(`"choices":[]`)
)

// relayStream passes events on as they come. The caller's stream ends only with the
// upstream's end mark.
func (s *Server) relayStream(c *completion, a *caller.Answer, out sink) error {
	events := &caller.Events{Answer: a, Gap: tokenSilence}
	mark := []byte(c.id)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			return out.end()
		}
		if err != nil {
			return err
		}
		if !bytes.Contains(e, mark) {
			return caller.ErrForeign
		}
		if bytes.Contains(e, usageMark) {
			c.takeUsage(e)
			if !c.usage && bytes.Contains(e, choicesEmpty) {
				continue
			}
		}
		if c.first == 0 {
			c.first = s.Timer.Now()
		}
		if err := out.event(e, !events.Buffered()); err != nil {
			return fmt.Errorf("%w: %w", errCaller, err)
		}
		c.delivered.events = append(c.delivered.events, bytes.Clone(e))
		c.delivered.tokens++
	}
}

// relayWhole passes an answer on once it is known to be whole and the request's own.
func (s *Server) relayWhole(c *completion, a *caller.Answer, out sink) error {
	b, err := io.ReadAll(io.LimitReader(progressReader{a}, answerLimit))
	if err != nil {
		if a.Stalled() {
			return fmt.Errorf("%w: %w", caller.ErrStalled, err)
		}
		return fmt.Errorf("%w: %w", caller.ErrCut, err)
	}
	if !json.Valid(b) {
		return caller.ErrCut
	}
	if !bytes.Contains(b, []byte(c.id)) {
		return caller.ErrForeign
	}
	c.takeUsage(b)
	c.first = s.Timer.Now()
	if err := out.whole(b); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

// progressReader notes progress on each read.
type progressReader struct{ a *caller.Answer }

// Read reads from the answer's body.
func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.a.Body.Read(b)
	p.a.Watch.Progress(firstSilence)
	return n, err
}

// takeUsage reads the tokens that an upstream says it used.
func (c *completion) takeUsage(e []byte) {
	var chunk struct {
		Usage *struct {
			Total int64 `json:"total_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(e, &chunk); err == nil && chunk.Usage != nil {
		c.used = chunk.Usage.Total
	}
}
