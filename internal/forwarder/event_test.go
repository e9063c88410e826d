package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestEventBuffer guards against events that are split, joined or lost where the pieces in which
// a stream arrives end, for every size of piece.
func TestEventBuffer(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: c\n\nid: 4\nda"
	complete := strings.LastIndex(stream, "\n\n") + 2
	for size := 1; size <= len(stream); size++ {
		var e eventBuffer
		var got strings.Builder
		for at := 0; at < len(stream); at += size {
			events, err := e.add([]byte(stream[at:min(at+size, len(stream))]))
			if err != nil {
				t.Fatal(err)
			}
			got.Write(events)
		}
		if diff := cmp.Diff(stream[:complete], got.String()); diff != "" || !e.incomplete() {
			t.Errorf("pieces of %d bytes: incomplete %v, events -want +got\n%s", size, e.incomplete(), diff)
		}
	}
}

// TestCountEvents guards against comments, which keep connections open, that count as tokens of an answer, and events
// that do not.
func TestCountEvents(t *testing.T) {
	for events, want := range map[string]int{
		"": 0, ": comment\n\n": 0, "\n\n\n": 0, "data: a\n\n": 1, "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n": 2,
		": comment\n\ndata: a\ndata: b\n\n: comment\n\n": 1, ": comment\ndata: a\n\n": 1,
	} {
		if got := countEvents([]byte(events)); got != want {
			t.Errorf("%q holds %d events, want %d", events, got, want)
		}
	}
}

// TestEventWithoutEnd guards against an upstream that exhausts this host's memory or processor by
// an event that never ends, in pieces of any size.
func TestEventWithoutEnd(t *testing.T) {
	for _, size := range []int{1, 100, streamBufferBytes} {
		var e eventBuffer
		piece := []byte(strings.Repeat("a", size))
		added := 0
		for ; added <= 2*maxEventBytes; added += size {
			if _, err := e.add(piece); errors.Is(err, errEventTooLong) {
				break
			}
		}
		if added > maxEventBytes+size || cap(e.b) > 4*maxEventBytes {
			t.Errorf("pieces of %d bytes: %d bytes accepted, %d bytes held", size, added, cap(e.b))
		}
	}
}

// streamUntilClosed sends pieces of a stream until the connection is closed or the pieces end.
// The clock advances by step before each piece but the first.
func streamUntilClosed(clock *timer.Service, step time.Duration, next func(i int) string) scriptStep {
	return func(w http.ResponseWriter, r *http.Request) {
		for i := 0; ; i++ {
			piece := next(i)
			if piece == "" {
				return
			}
			if i > 0 {
				clock.Advance(step)
			}
			if _, err := io.WriteString(w, piece); err != nil || r.Context().Err() != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(time.Millisecond) // lets the piece arrive before the clock advances again
		}
	}
}

// signalingSink is a recorderSink that also signals each chunk.
type signalingSink struct {
	recorderSink
	chunks chan struct{}
}

func (s *signalingSink) SendChunk(b []byte) error {
	defer func() { s.chunks <- struct{}{} }()
	return s.recorderSink.SendChunk(b)
}

// TestStalledStreams guards against streams that never end because the upstream sends something
// now and then, and against the ending of streams that are only slow.
func TestStalledStreams(t *testing.T) {
	event := func(i int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", i) }
	timeout := stallTimeout(&schema.Route{Objective: 1, Gap: 0.4})
	var sink *signalingSink
	for _, c := range []struct {
		name      string
		step      time.Duration
		next      func(i int) string
		completes bool
	}{
		{"slow but sound", timeout - stallMargin, func(i int) string {
			if i > 0 {
				<-sink.chunks // the clock advances only once the last event is forwarded
			}
			if i == 12 {
				return ""
			}
			return event(i)
		}, true},
		{"comments only", 200 * time.Millisecond, func(i int) string {
			if i == 0 {
				return event(0)
			}
			return ": still here\n\n"
		}, false},
		{"part of an event, byte by byte", 200 * time.Millisecond, func(i int) string {
			if i == 0 {
				return event(0)
			}
			return "d"
		}, false},
		{"empty lines", 200 * time.Millisecond, func(i int) string {
			if i == 0 {
				return event(0)
			}
			return "\n"
		}, false},
	} {
		clock := &timer.Service{Clock: &timer.ManualClock{}}
		clock.Advance(time.Hour)
		s := newSystemAt(t, clock, []scriptStep{streamUntilClosed(clock, c.step, c.next)})
		sink = &signalingSink{chunks: make(chan struct{}, 1<<16)}
		now := clock.Now()
		s.Serve(context.Background(), &Request{ID: "1", Host: "h", Method: "POST", Path: "/slow/x", Header: http.Header{}, ArrivedAt: now, DeadlineAt: now + time.Hour}, sink)
		if sink.Finished != c.completes || sink.Aborted == c.completes {
			t.Errorf("%s: finished %v, aborted %v after %v, status %d %s", c.name, sink.Finished, sink.Aborted, clock.Now()-now, sink.Status, sink.Cause)
		}
	}
}

// TestRejectionWithoutEnd guards against a request that waits for the end of a rejection's body:
// the next upstream must get it although the first one's rejection never ends.
func TestRejectionWithoutEnd(t *testing.T) {
	for name, chunk := range map[string]string{"a flood": strings.Repeat("x", 64<<10), "a byte now and then": "x"} {
		endless := func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			for r.Context().Err() == nil {
				if _, err := io.WriteString(w, chunk); err != nil {
					return
				}
				w.(http.Flusher).Flush()
				time.Sleep(5 * time.Millisecond)
			}
		}
		s := newSystem(t, []scriptStep{endless}, []scriptStep{text(200, "good")})
		s.preferFirst()
		want := result{Status: 200, Body: "good", Finished: true}
		if diff := cmp.Diff(want, s.call("/unsafe/x", "")); diff != "" {
			t.Errorf("%s: -want +got\n%s", name, diff)
		}
	}
}
