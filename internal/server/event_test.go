package server

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/trefoilloft/trefoilloft/internal/bufferer"
)

// TestEventsWithoutMemory guards against long events of many streams that exhaust the memory together.
func TestEventsWithoutMemory(t *testing.T) {
	long := tokenEvent(strings.Repeat("x", 900<<10))
	for name, event := range map[string]string{"one line": long, "many lines": strings.Repeat("data:"+strings.Repeat(" ", 1<<10)+"\n", 900) + long} {
		s := newRawServer(t, serveRaw(t, 1, func(rawRequest) (string, bool) { return streamHead + event + lastEvents, true }))
		s.buffers.Max = 256 << 10
		c, err := parseCompletion("/v1/chat/completions", []byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"?"}]}`))
		if err != nil {
			t.Fatal(err)
		}
		err = s.runAttempts(t.Context(), c, &httpAnswerWriter{w: httptest.NewRecorder()})
		if !errors.Is(err, bufferer.ErrExhausted) || c.delivered.tokens != 0 {
			t.Errorf("%s: %d events sent, error %v", name, c.delivered.tokens, err)
		}
		if s.buffers.Used() != 0 {
			t.Errorf("%s: %d bytes are still taken", name, s.buffers.Used())
		}
	}
	s := newRawServer(t, serveRaw(t, 1, func(rawRequest) (string, bool) { return streamHead + tokenEvents(0, 4) + lastEvents, true }))
	s.buffers.Max = 0
	if w := s.ask(t, true); !strings.HasSuffix(w.Body.String(), doneEvent) {
		t.Errorf("a stream of short events without memory: %s", w.Body)
	}
}
