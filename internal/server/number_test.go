package server

import (
	"errors"
	"fmt"
	"math"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/clamper"
)

// TestLongestDeadline guards against a time limit that overflows and ends the request at once, and against one that
// is refused because it is long.
func TestLongestDeadline(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"1000": time.Second, "120000": maxRequestTimeout, "9223372036855": maxRequestTimeout, "9223372036854775807": maxRequestTimeout,
		"99999999999999999999": maxRequestTimeout, "0": 0, "-1": 0, "-99999999999999999999": 0, "soon": 0,
	} {
		r := httptest.NewRequestWithContext(t.Context(), "POST", "/", nil)
		r.Header.Set(deadlineHeader, value)
		before := time.Now()
		ctx, cancel, err := (&Server{}).requestContext(httptest.NewRecorder(), r)
		var refusal *Refusal
		if want == 0 {
			if !errors.As(err, &refusal) || refusal.Status != 400 {
				t.Errorf("%q: error %v, want a refusal", value, err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%q: %v", value, err)
			continue
		}
		if deadline, _ := ctx.Deadline(); deadline.Before(before.Add(want)) || deadline.After(time.Now().Add(want)) {
			t.Errorf("%q: %v to the deadline, want %v", value, deadline.Sub(before), want)
		}
		cancel()
	}
}

// TestUsageOutOfRange guards against an upstream's number of tokens that is given back to the customer, as it is below 0,
// or is larger than any answer.
func TestUsageOutOfRange(t *testing.T) {
	for stated, want := range map[int64]int64{math.MinInt64: 0, -1: 0, 5: 5, math.MaxInt64: clamper.MaxTokens} {
		usage := fmt.Sprintf(`"usage":{"total_tokens":%d}`, stated)
		body := `{"id":"chatcmpl-ID","choices":[{"message":{"content":"Pew"},"finish_reason":"stop"}],` + usage + `}`
		s := newRawServer(t, serveRaw(t, 3, func(r rawRequest) (string, bool) {
			return response("200 OK", "application/json", strings.ReplaceAll(body, "ID", r.id)), true
		}))
		c, err := parseCompletion("/v1/chat/completions", []byte(`{"model":"m","messages":[{"role":"user","content":"?"}]}`))
		if err != nil {
			t.Fatal(err)
		}
		if err := s.runAttempts(t.Context(), c, &httpAnswerWriter{w: httptest.NewRecorder()}); err != nil {
			t.Fatal(err)
		}
		if c.usedTokens != want {
			t.Errorf("%d tokens stated: %d charged, want %d", stated, c.usedTokens, want)
		}
	}
}
