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

	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/clamper"
	"github.com/trefoilloft/trefoilloft/internal/requester"
	"github.com/trefoilloft/trefoilloft/internal/router"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Consecutive attempts without progress after which a request fails.
	maxAttemptsWithoutProgress = 4
	// Longest time to the first token, and between tokens, before the connection counts as
	// stalled.
	firstTokenTimeout = 6 * time.Second
	nextTokenTimeout  = 2 * time.Second
	maxAnswerBytes    = 32 << 20
	// Memory that an event takes beyond its bytes.
	eventOverheadBytes = 24
)

// errTruncated means that the answer ended early at a point from which it cannot be resumed.
var errTruncated = errors.New("server: the answer is truncated and cannot be resumed")

// errOutOfStep means that the response on a kept connection is not shown to be the request's: the upstream may
// have written another one once more. It says little of the upstream on other connections.
var errOutOfStep = fmt.Errorf("%w, on a kept connection", requester.ErrWrongRequest)

// errUnprovedRefusal means that a refusal on a kept connection does not name the request. The connection has been
// closed.
var errUnprovedRefusal = fmt.Errorf("%w: refusal without its id", errOutOfStep)

// deliveredStream is the part of a stream that has been sent to the caller.
type deliveredStream struct {
	events [][]byte // kept to resume; none if another region runs the request
	bytes  int64    // of events
	hold   bufferer.Hold
	tokens int // one for each event sent
}

// attemptHistory records how the attempts of one request ended. The maps' keys are names of
// upstreams.
type attemptHistory struct {
	excluded map[string]bool
	// stalled holds the upstreams with a new connection that stalled and no progress since, renew those
	// at which any connection did.
	stalled, renew map[string]bool
	// withoutProgress counts the attempts since the last one that made progress.
	withoutProgress int
}

func newAttemptHistory() *attemptHistory {
	return &attemptHistory{excluded: map[string]bool{}, stalled: map[string]bool{}, renew: map[string]bool{}}
}

// record stores the outcome of an attempt. It reports whether the upstream may be attempted again
// on a new connection: a stall of one that had been idle, and the first of a new one, are attributed to
// the connection, not to the upstream.
func (h *attemptHistory) record(name string, err error, progressed bool) (reconnect bool) {
	h.withoutProgress++
	if progressed {
		h.withoutProgress = 0
		delete(h.stalled, name)
		delete(h.renew, name)
	}
	if err == nil {
		return false
	}
	idle := errors.Is(err, requester.ErrIdleStalled)
	if idle || errors.Is(err, requester.ErrStalled) && !h.stalled[name] {
		h.stalled[name] = h.stalled[name] || !idle
		h.renew[name] = true
		return true
	}
	h.excluded[name] = true
	return false
}

// needsNewConnection reports whether the next attempt at an upstream needs a new connection:
// those that were idle when one stalled may be dead too, and may be reused before they are
// closed.
func (h *attemptHistory) needsNewConnection(name string) bool { return h.renew[name] }

// runAttempts runs a request on one upstream after another until one returns the whole answer.
// Completions may be repeated; a stream is resumed after the tokens already delivered.
func (s *Server) runAttempts(ctx context.Context, c *completion, out answerWriter) error {
	history := newAttemptHistory()
	c.delivered.hold.Budget = &s.buffers
	defer c.delivered.hold.Release()
	lastErr := error(router.ErrNoUpstream)
	for n := 0; history.withoutProgress < maxAttemptsWithoutProgress && s.allowAttempt(n); n++ {
		reservation, err := s.router.Pick(router.Request{
			Kind: schema.UpstreamKind_UPSTREAM_ENGINE, Pool: c.model, PrefixHash: c.prefixHash, Excluded: history.excluded, Software: c.software,
		})
		if err != nil {
			s.Log.Warn().Err(err).Str("request", c.requestID).Str("pool", c.model).Int("attempt", n).Int("excluded", len(history.excluded)).Msg("no upstream for the attempt")
			break
		}
		tokensBefore := c.delivered.tokens
		err = s.runOnUpstream(ctx, c, reservation, history.needsNewConnection(reservation.Name), out)
		if c.software == nil && c.delivered.tokens > 0 {
			c.software = &reservation.Software
		}
		reconnect := history.record(reservation.Name, err, c.delivered.tokens > tokensBefore)
		s.logAttempt(ctx, c, n, reservation, reconnect, err)
		s.finishAttempt(ctx, reservation, err, reconnect)
		if err == nil || ctx.Err() != nil || errors.Is(err, errCallerLeft) || errors.Is(err, errTruncated) || isRefusal(err) {
			return err
		}
		lastErr = err
	}
	return lastErr
}

// allowAttempt reports whether attempt n, counted from 0, is allowed. Each one but the first takes
// a retry from the budget.
func (s *Server) allowAttempt(n int) bool {
	if n == 0 {
		return true
	}
	if !s.retries.spend(s.Timer.Now()) {
		return false
	}
	s.metrics.retries.Inc()
	return true
}

// logAttempt logs an attempt that failed, n counted from 0. reconnect means that the upstream may be
// attempted again.
func (s *Server) logAttempt(ctx context.Context, c *completion, n int, reservation *router.Reservation, reconnect bool, err error) {
	if err == nil {
		return
	}
	s.Log.Warn().Err(err).Str("request", c.requestID).Str("upstream", reservation.Name).Str("address", reservation.Address).Int("attempt", n).
		Dur("age", s.Timer.Now()-c.startedAt).Int("tokens", c.delivered.tokens).Bool("reconnect", reconnect).AnErr("context", context.Cause(ctx)).Msg("attempt failed")
}

// finishAttempt releases the slot at the upstream and counts how the attempt ended. If a connection
// stalled, all idle ones to the upstream are closed: they may be dead too.
func (s *Server) finishAttempt(ctx context.Context, reservation *router.Reservation, err error, reconnect bool) {
	reservation.Release(attemptOutcome(ctx, err, reconnect))
	if err == nil {
		s.retries.credit()
		return
	}
	s.metrics.attemptsFailed.Inc()
	if errors.Is(err, requester.ErrStalled) {
		s.requester.CloseIdle(reservation.Address)
	}
}

// attemptOutcome returns the outcome of an attempt for the router. reconnect means that the failure
// is attributed to a connection, not to the upstream.
func attemptOutcome(ctx context.Context, err error, reconnect bool) router.Outcome {
	switch {
	case err == nil:
		return router.Succeeded
	case reconnect || ctx.Err() != nil || errors.Is(err, errCallerLeft) || isRefusal(err):
		return router.Canceled
	}
	return router.Failed
}

// isRefusal reports whether an upstream refused the request itself, as any other upstream would.
func isRefusal(err error) bool {
	var r *Refusal
	return errors.As(err, &r)
}

// runOnUpstream runs the request on one upstream, on a new connection if newConnection is set or a kept one is
// out of step.
func (s *Server) runOnUpstream(ctx context.Context, c *completion, upstream *router.Reservation, newConnection bool, out answerWriter) error {
	err := s.sendToUpstream(ctx, c, upstream, newConnection, out)
	if !errors.Is(err, errOutOfStep) {
		return err
	}
	s.Log.Warn().Err(err).Str("request", c.requestID).Str("upstream", upstream.Name).Int("tokens", c.delivered.tokens).Msg("sent again on a new connection")
	if !errors.Is(err, errUnprovedRefusal) {
		s.requester.CloseIdle(upstream.Address)
	}
	return s.sendToUpstream(ctx, c, upstream, true, out)
}

func (s *Server) sendToUpstream(ctx context.Context, c *completion, upstream *router.Reservation, newConnection bool, out answerWriter) error {
	body, err := c.upstreamBody()
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+upstream.Address+c.path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("server: create the request for the upstream: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", c.requestID)
	sentAt := s.Timer.Now()
	hadFirstToken := c.firstTokenAt > 0
	defer func() {
		if !hadFirstToken && c.firstTokenAt > 0 {
			s.metrics.upstreamFirstToken.Observe((c.firstTokenAt - sentAt).Seconds())
		}
	}()
	answer, err := s.requester.Send(r, firstTokenTimeout, newConnection)
	if err != nil {
		return err
	}
	defer answer.Close()
	if err = s.copyAnswer(c, answer, out); answer.Reused && errors.Is(err, requester.ErrWrongRequest) && !errors.Is(err, errOutOfStep) {
		return fmt.Errorf("%w: %w", errOutOfStep, err)
	}
	return err
}

func (s *Server) copyAnswer(c *completion, answer *requester.Answer, out answerWriter) error {
	if answer.StatusCode != http.StatusOK {
		return upstreamError(c, answer)
	}
	if c.stream {
		return s.copyStream(c, answer, out)
	}
	return s.copyBody(c, answer, out)
}

// upstreamError returns a *Refusal if the upstream rejected the request itself, else an error that
// counts as a failure of the upstream. A request of which tokens were delivered is accepted already.
func upstreamError(c *completion, a *requester.Answer) error {
	if c.delivered.tokens == 0 && a.StatusCode >= 400 && a.StatusCode < 500 && a.StatusCode != http.StatusTooManyRequests && a.StatusCode != http.StatusRequestTimeout {
		if a.Reused && a.Header.Get("X-Request-Id") != c.requestID {
			if a.Body == http.NoBody {
				return errOutOfStep
			}
			return errUnprovedRefusal // its body is left unread, so that the connection is closed
		}
		b, err := io.ReadAll(io.LimitReader(a.Body, 4<<10))
		if err != nil {
			return bodyError(a, err)
		}
		r := newRefusal(a.StatusCode, "upstream_refused", strings.TrimSpace(string(b)))
		r.Run = RunUnknown
		return r
	}
	return fmt.Errorf("server: upstream returned status %d", a.StatusCode)
}

// upstreamBody returns the request body for an upstream, which resumes after the tokens delivered.
func (c *completion) upstreamBody() ([]byte, error) {
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

// text returns the text delivered so far. It is needed only after a failed attempt.
func (d *deliveredStream) text() (string, error) {
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
			return "", fmt.Errorf("%w: %w", errTruncated, err)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Text + choice.Delta.Content)
		}
	}
	return text.String(), nil
}

// errNoCompletion means that an upstream's answer with status 200 is no completion, such as an error.
var errNoCompletion = errors.New("server: the upstream's answer is no completion")

// chunk is what a host needs of an event of a stream or of a whole answer.
type chunk struct {
	ID      string          `json:"id"`
	Error   json.RawMessage `json:"error"`
	Choices []choice        `json:"choices"`
	Usage   *struct {
		Total int64 `json:"total_tokens"`
	} `json:"usage"`
}

type choice struct {
	FinishReason *string `json:"finish_reason"`
}

// isLast reports whether the answer's text has ended.
func (c *chunk) isLast() bool {
	for _, choice := range c.Choices {
		if choice.FinishReason != nil {
			return true
		}
	}
	return len(c.Choices) == 0 && c.Usage != nil
}

// parseChunk decodes a chunk of the answer to a request. It returns an error if b is anything else.
func parseChunk(b []byte, requestID string) (chunk, error) {
	var c chunk
	if isTokenChunk(b, requestID) {
		return chunk{Choices: make([]choice, 1)}, nil
	}
	if err := json.Unmarshal(b, &c); err != nil {
		return c, fmt.Errorf("%w: %w", requester.ErrIncomplete, err)
	}
	switch {
	case !strings.Contains(c.ID, requestID):
		return c, requester.ErrWrongRequest
	case len(c.Error) > 0 && string(c.Error) != "null", c.Choices == nil && c.Usage == nil:
		return c, errNoCompletion
	}
	return c, nil
}

// isTokenChunk reports whether b is a chunk of the request, not the last, with neither an error nor usage, as
// nearly all are. It saves most of the time to decode them, but misses some, such as those with spaces.
func isTokenChunk(b []byte, requestID string) bool {
	id, ok := bytes.CutPrefix(b, []byte(`{"id":"`))
	if !ok {
		return false
	}
	id, _, _ = bytes.Cut(id, []byte(`"`))
	return bytes.Contains(id, []byte(requestID)) && bytes.Contains(b, []byte(`"choices":[{`)) &&
		!bytes.Contains(b, []byte(`"finish_reason":"`)) && !bytes.Contains(b, []byte(`"error"`)) &&
		!bytes.Contains(b, []byte(`"usage"`)) && json.Valid(b)
}

// copyStream sends events to the caller as they arrive. The caller's stream gets its end marker
// only after the upstream's, and only if the upstream said before that the text has ended.
func (s *Server) copyStream(c *completion, a *requester.Answer, out answerWriter) error {
	events := &requester.EventReader{Answer: a, EventTimeout: nextTokenTimeout, Hold: bufferer.Hold{Budget: &s.buffers}}
	defer events.Hold.Release()
	ended := false
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && !ended {
			return fmt.Errorf("%w: end marker without usage or finish_reason", requester.ErrIncomplete)
		}
		if errors.Is(err, io.EOF) {
			return out.endStream()
		}
		if err != nil {
			return err
		}
		chunk, err := parseChunk(e, c.requestID)
		if err != nil {
			return err
		}
		ended = ended || chunk.isLast()
		if chunk.Usage != nil {
			c.usedTokens = clamper.Tokens(chunk.Usage.Total)
			if !c.wantsUsage && len(chunk.Choices) == 0 {
				continue
			}
		}
		if c.firstTokenAt == 0 {
			c.firstTokenAt = s.Timer.Now()
		}
		a.Watchdog.Pause()
		if err := out.writeEvent(e, !events.Buffered()); err != nil {
			return fmt.Errorf("%w: %w", errCallerLeft, err)
		}
		a.Watchdog.Restart(nextTokenTimeout)
		if err := c.delivered.add(e); err != nil {
			return fmt.Errorf("%w: %w", errTruncated, err)
		}
	}
}

// add keeps an event that was sent to the caller. It returns an error if the stream is too long to be kept.
func (d *deliveredStream) add(e []byte) error {
	d.tokens++
	d.bytes += int64(len(e)) + eventOverheadBytes
	if d.bytes > maxAnswerBytes {
		return bufferer.ErrTooLong
	}
	if err := d.hold.Grow(d.bytes); err != nil {
		return err
	}
	d.events = append(d.events, bytes.Clone(e))
	return nil
}

// copyBody sends an answer to the caller once it is known to be complete and to belong to the
// request.
func (s *Server) copyBody(c *completion, a *requester.Answer, out answerWriter) error {
	hold := bufferer.Hold{Budget: &s.buffers}
	defer hold.Release()
	b, err := hold.ReadAll(progressReader{a}, maxAnswerBytes)
	if err != nil {
		return bodyError(a, err)
	}
	chunk, err := parseChunk(b, c.requestID)
	if err != nil {
		return err
	}
	if len(chunk.Choices) == 0 {
		return errNoCompletion
	}
	if chunk.Usage != nil {
		c.usedTokens = clamper.Tokens(chunk.Usage.Total)
	}
	c.firstTokenAt = s.Timer.Now()
	if err := out.writeBody(b); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	return nil
}

// bodyError returns the error of an answer whose body could not be read to its end.
func bodyError(a *requester.Answer, err error) error {
	if a.Stalled() {
		return fmt.Errorf("%w: %w", requester.ErrStalled, err)
	}
	return fmt.Errorf("%w: %w", requester.ErrIncomplete, err)
}

// progressReader restarts the stall timeout of an answer, of firstTokenTimeout, on each read.
type progressReader struct{ answer *requester.Answer }

// Read reads from the answer's body.
func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.answer.Body.Read(b)
	p.answer.Watchdog.Restart(firstTokenTimeout)
	return n, err
}
