package forwarder

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/bufferer"
)

// slowSink is a caller that takes each call when the test lets it.
type slowSink struct {
	take  chan struct{} // one value for each call; closed: all are taken at once
	fail  int           // number of the chunk whose writing fails, from 1; 0: none
	calls []string      // read once the spool is closed
}

func newSlowSink() *slowSink { return &slowSink{take: make(chan struct{}, 1000)} }

func (s *slowSink) add(call string) {
	<-s.take
	s.calls = append(s.calls, call)
}

func (s *slowSink) SendHead(status int, _ http.Header, _ int64) { s.add(fmt.Sprint("head ", status)) }
func (s *slowSink) SendChunk(b []byte) error {
	s.add(fmt.Sprintf("%.8s %d", b, len(b)))
	if s.fail--; s.fail == 0 {
		return errors.New("the caller has left")
	}
	return nil
}
func (s *slowSink) Finish()           { s.add("finish") }
func (s *slowSink) Abort()            { s.calls = append(s.calls, "abort") }
func (s *slowSink) Refuse(r *Refusal) { s.add(fmt.Sprint("refusal ", r.Status)) }

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 5000 {
		if holds() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("not within 5 s: " + what)
}

// TestSpoolReadsOnWhileCallerDoesNot guards against reading an upstream only as fast as the caller reads: the
// upstream would cut off what stays unread. The caller still gets everything, in order.
func TestSpoolReadsOnWhileCallerDoesNot(t *testing.T) {
	sink, metrics := newSlowSink(), &spoolMetrics{}
	s := newSpool(sink, nil, metrics, zerolog.Nop())
	s.SendHead(http.StatusOK, nil, -1)
	want := []string{"head 200"}
	for i := range 100 {
		chunk := fmt.Sprintf("event %02d%s", i, strings.Repeat(".", 292))
		if err := s.SendChunk([]byte(chunk)); err != nil {
			t.Fatal(err)
		}
		want = append(want, fmt.Sprintf("%.8s %d", chunk, len(chunk)))
	}
	s.Finish()
	if got := metrics.held.Load(); got != 30_000 {
		t.Errorf("%d bytes held, want all 30,000: the caller has taken none", got)
	}
	close(sink.take)
	s.Close()
	if diff := cmp.Diff(append(want, "finish"), sink.calls); diff != "" {
		t.Errorf("what the caller got: -want +got\n%s", diff)
	}
	if got := metrics.held.Load(); got != 0 {
		t.Errorf("%d bytes held at the end", got)
	}
}

// TestSpoolIsBounded guards against holding a response without end for a caller that does not read, and against
// losing a chunk that is larger than the bound.
func TestSpoolIsBounded(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget *bufferer.Budget
		max    int64
	}{
		{"the bound of a stream", nil, maxSpoolBytes},
		{"the budget of the process is exhausted", &bufferer.Budget{}, bufferer.FreeBytes},
	} {
		sink, metrics := newSlowSink(), &spoolMetrics{}
		s := newSpool(sink, c.budget, metrics, zerolog.Nop())
		const chunks, size = 300, 1000
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			for range chunks {
				_ = s.SendChunk(make([]byte, size)) // fails only if the caller does
			}
			_ = s.SendChunk(make([]byte, 2*maxSpoolBytes))
		}()
		waitFor(t, "the spool is full", func() bool { return metrics.waits.Load() > 0 })
		if got := metrics.held.Load(); got > c.max || got <= c.max-2*size {
			t.Errorf("%s: %d bytes held, want at most %d and all that fits", c.name, got, c.max)
		}
		close(sink.take)
		<-sent
		s.Close()
		if got := len(sink.calls); got != chunks+1 {
			t.Errorf("%s: the caller got %d chunks, want %d", c.name, got, chunks+1)
		}
		if got := c.budget.Used(); got != 0 {
			t.Errorf("%s: %d bytes of the budget are not returned", c.name, got)
		}
	}
}

// TestSpoolOfCallerThatLeaves guards against reading on for a caller that has left, and against a response that
// ends as complete after an error.
func TestSpoolOfCallerThatLeaves(t *testing.T) {
	sink, metrics := newSlowSink(), &spoolMetrics{}
	sink.fail = 2
	s := newSpool(sink, nil, metrics, zerolog.Nop())
	s.SendHead(http.StatusOK, nil, -1)
	for range 3 {
		if err := s.SendChunk([]byte("event")); err != nil {
			t.Fatal(err)
		}
	}
	close(sink.take)
	waitFor(t, "an error of the caller is returned", func() bool { return s.SendChunk([]byte("event")) != nil })
	s.Finish()
	s.Close()
	if diff := cmp.Diff([]string{"head 200", "event 5", "event 5", "abort"}, sink.calls); diff != "" {
		t.Errorf("calls: -want +got\n%s", diff)
	}
	if got := metrics.held.Load(); got != 0 {
		t.Errorf("%d bytes held for a caller that has left", got)
	}
}

// TestSpoolAborts guards against an abort that overtakes events, and against a spool that waits for ever if nothing
// was sent.
func TestSpoolAborts(t *testing.T) {
	sink := newSlowSink()
	close(sink.take)
	s := newSpool(sink, nil, &spoolMetrics{}, zerolog.Nop())
	s.SendHead(http.StatusOK, nil, -1)
	if err := s.SendChunk([]byte("event")); err != nil {
		t.Fatal(err)
	}
	s.Abort()
	s.Close()
	if diff := cmp.Diff([]string{"head 200", "event 5", "abort"}, sink.calls); diff != "" {
		t.Errorf("calls: -want +got\n%s", diff)
	}
	newSpool(sink, nil, &spoolMetrics{}, zerolog.Nop()).Close()
}

// TestSlowCallerFreesSlot guards against a slot of an upstream that stays taken, and a response that stays unread,
// while a caller reads slowly; and against spools where the settings do not name slow callers.
func TestSlowCallerFreesSlot(t *testing.T) {
	stream := ""
	for i := range 40 {
		stream += fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat(".", 500))
	}
	for _, slowCallers := range []bool{true, false} {
		sent := make(chan struct{})
		s := newSystem(t, []scriptStep{func(w http.ResponseWriter, _ *http.Request) {
			for _, event := range strings.SplitAfter(stream, "\n\n") {
				_, _ = w.Write([]byte(event)) // the response is read by the test
				w.(http.Flusher).Flush()
			}
			close(sent)
		}})
		s.SlowCallers = slowCallers
		sink := newSlowSink()
		served := make(chan struct{})
		go func() {
			defer close(served)
			now := s.Timer.Now()
			s.Serve(t.Context(), &Request{ID: "1", Host: "h", Method: "POST", Path: "/stream/x", Header: http.Header{}, ArrivedAt: now, DeadlineAt: now + time.Minute}, sink)
		}()
		<-sent
		if slowCallers {
			waitFor(t, "the upstream's slot is free", func() bool { return len(s.Scheduler.OwnLoads()) == 0 })
		} else if len(s.Scheduler.OwnLoads()) == 0 {
			t.Error("the slot is free although the response was not forwarded")
		}
		if s.Inflight() != 1 {
			t.Error("the request is not served any more, although its caller has nothing of the response")
		}
		close(sink.take)
		<-served
		got := ""
		for _, call := range sink.calls {
			got += strings.Fields(call)[0] + " "
		}
		if !strings.HasPrefix(got, "head ") || !strings.HasSuffix(got, "finish ") {
			t.Errorf("calls %q, want a head, chunks and the end", got)
		}
	}
}
