package forwarder

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/trefoilloft/trefoilloft/internal/bufferer"
)

// once returns a step that is first the first time, at whichever upstream, and then next.
func once(first, next scriptStep) scriptStep {
	var used atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		if used.CompareAndSwap(false, true) {
			first(w, r)
			return
		}
		next(w, r)
	}
}

// TestResponsesWithoutMemory guards against failing a sound response because others exhausted the memory
// for responses: it is forwarded as it arrives; and against keeping what a failed attempt left.
func TestResponsesWithoutMemory(t *testing.T) {
	long := strings.Repeat("x", 200<<10)
	events := "id: 1\ndata: " + strings.Repeat("y", 100<<10) + "\n\n"
	for _, c := range []struct {
		name, path string
		max        int64
		steps      []scriptStep
		want       int
		wantBody   string
		aborted    bool
	}{
		{"enough memory", "/safe/x", 1 << 20, []scriptStep{text(200, long)}, 200, long, false},
		{"no memory", "/safe/x", 0, []scriptStep{text(200, long)}, 200, long, false},
		{"no memory for a long error", "/safe/x", 0, []scriptStep{text(500, long)}, 500, long, false},
		{"a long error, then an answer", "/safe/x", 1 << 20, []scriptStep{once(text(500, long), text(200, "whole"))}, 200, "whole", false},
		{"a long error twice", "/safe/x", 1 << 20, []scriptStep{text(500, long)}, 500, long, false},
		{"a long event", "/stream/x", 1 << 20, []scriptStep{text(200, events)}, 200, events, false},
		{"no memory for a long event", "/stream/x", 0, []scriptStep{text(200, events)}, http.StatusBadGateway, "", false},
		{"no memory, short events", "/stream/x", 0, []scriptStep{text(200, firstEvent+secondEvent)}, 200, firstEvent + secondEvent, false},
	} {
		s := newSystem(t, c.steps, c.steps)
		s.Buffers = &bufferer.Budget{Max: c.max}
		s.Pool.Buffers = s.Buffers
		got := s.call(c.path, "")
		if got.Status != c.want || got.Body != c.wantBody || got.Aborted != c.aborted {
			t.Errorf("%s: status %d, %d bytes, aborted %v, want %d, %d bytes", c.name, got.Status, len(got.Body), got.Aborted, c.want, len(c.wantBody))
		}
		if used := s.Buffers.Used(); used != 0 {
			t.Errorf("%s: %d bytes are still taken", c.name, used)
		}
	}
}
