package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Maximum size of one event of a stream.
	maxEventBytes = 256 << 10
	// A stream is stalled after the longest of minStallTimeout and these multiples of its
	// route's objectives for the first event and for the time between events. No caller waits
	// longer for an event, so a stream that is only slow is not ended before its caller leaves.
	minStallTimeout      = 2 * time.Second
	stallObjectiveFactor = 4
	stallGapFactor       = 8
	// Added to the stall timeout for the way to the caller.
	stallMargin = 500 * time.Millisecond
)

var (
	// errEventTooLong means that an upstream sent an event without an end.
	errEventTooLong = fmt.Errorf("forwarder: an event of the stream is longer than %d bytes", maxEventBytes)
	// errStalled means that an upstream sent no event, or only comments, for the stall timeout.
	errStalled = errors.New("forwarder: the stream is stalled")
)

// eventBuffer splits a stream into complete events. An event ends with an empty line.
type eventBuffer struct {
	b []byte
	// complete is the length of the events that add returned last, which b still begins with.
	complete int
	// searched is the length of the beginning of b that holds no end of an event.
	searched int
	hold     bufferer.Hold // for b
}

// add appends received bytes and returns the complete events, valid until the next call. It
// returns errEventTooLong if the incomplete event that remains is longer than maxEventBytes, or
// bufferer.ErrExhausted if there is no memory for it.
func (e *eventBuffer) add(received []byte) ([]byte, error) {
	e.b = append(e.b[:0], e.b[e.complete:]...)
	if err := e.hold.Grow(int64(len(e.b) + len(received))); err != nil {
		return nil, err
	}
	e.b = append(e.b, received...)
	e.complete = 0
	from := max(0, e.searched-len("\n\r"))
	if end := lastEventEnd(e.b[from:]); end > 0 {
		e.complete = from + end
	}
	e.searched = len(e.b) - e.complete
	if e.searched > maxEventBytes {
		return nil, errEventTooLong
	}
	return e.b[:e.complete], nil
}

// incomplete reports whether the stream so far ends within an event.
func (e *eventBuffer) incomplete() bool { return len(e.b) > e.complete }

// lastEventEnd returns the length in bytes of the complete events at the beginning of b.
func lastEventEnd(b []byte) int {
	end := 0
	if at := bytes.LastIndex(b, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.LastIndex(b, []byte("\n\r\n")); at >= 0 {
		end = max(end, at+3)
	}
	return end
}

// hasContent reports whether events hold more than comments, which keep a connection open but do
// not advance the response.
func hasContent(events []byte) bool {
	for line := range bytes.Lines(events) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// countEvents returns the number of complete events in events that hold more than comments.
func countEvents(events []byte) int {
	n, content := 0, false
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) > 0:
			content = content || line[0] != ':'
		case content:
			n++
			content = false
		}
	}
	return n
}

// stallTimeout returns the time without an event after which a route's streams are stalled.
func stallTimeout(route *schema.Route) time.Duration {
	return max(minStallTimeout, stallObjectiveFactor*seconds(route.Objective), stallGapFactor*seconds(route.Gap)) + stallMargin
}

// stallWatch calls a function once if a stream makes no progress for a timeout.
type stallWatch struct {
	timer      *timer.Service
	timeout    time.Duration
	onStall    func()
	progressAt atomic.Int64 // time of the last progress on the timer's clock
	stalled    atomic.Bool
	ended      atomic.Bool
}

func newStallWatch(clock *timer.Service, timeout time.Duration, onStall func()) *stallWatch {
	w := &stallWatch{timer: clock, timeout: timeout, onStall: onStall}
	w.recordProgress()
	w.arm(timeout)
	return w
}

// arm checks for progress after d, and again whenever the timeout may next have passed.
func (w *stallWatch) arm(d time.Duration) {
	w.timer.Once(d, func() {
		if w.ended.Load() {
			return
		}
		if left := time.Duration(w.progressAt.Load()) + w.timeout - w.timer.Now(); left > 0 {
			w.arm(left)
			return
		}
		w.stalled.Store(true)
		w.onStall()
	})
}

func (w *stallWatch) recordProgress() { w.progressAt.Store(int64(w.timer.Now())) }

// end stops the watch.
func (w *stallWatch) end() { w.ended.Store(true) }
