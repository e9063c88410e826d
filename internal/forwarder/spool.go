package forwarder

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/confiner"
)

// maxSpoolBytes is the number of bytes of a stream that are held for a caller that reads slowly. It holds some
// hundred events; beyond it the upstream is read as slowly as the caller reads.
const maxSpoolBytes = 64 << 10

// spool is a Sink that passes what it gets on to another one from a goroutine of its own. An upstream cuts off
// a response that stays unread, and its slot is taken until the response has been read: with a spool the upstream
// is read while the caller reads slowly. What it holds beyond bufferer.FreeBytes comes out of a budget. Its methods
// may be called by one goroutine at a time. Close must be called.
type spool struct {
	sink    Sink
	metrics *spoolMetrics
	log     zerolog.Logger

	mu      sync.Mutex
	changed sync.Cond     // signals changes of the fields below
	queue   []spooledCall // calls that were not passed on yet; guarded by mu
	size    int           // bytes of the chunks in queue; guarded by mu
	hold    bufferer.Hold // for size; guarded by mu
	err     error         // error of the other sink, after which nothing more is passed on; guarded by mu
	started bool          // guarded by mu
	closed  bool          // guarded by mu
	ended   chan struct{} // closed when the writer has ended
}

// spoolMetrics counts what the spools of a process do.
type spoolMetrics struct {
	held  atomic.Int64 // bytes that all spools hold
	waits atomic.Int64 // times that a spool was full
}

// spooledCall is a call of a method of Sink. The set of types is closed.
type spooledCall interface{ isSpooledCall() }

type (
	spooledHead struct {
		status int
		header http.Header
		length int64
	}
	spooledChunk   []byte
	spooledFinish  struct{}
	spooledAbort   struct{}
	spooledRefusal struct{ refusal *Refusal }
)

func (spooledHead) isSpooledCall()    {}
func (spooledChunk) isSpooledCall()   {}
func (spooledFinish) isSpooledCall()  {}
func (spooledAbort) isSpooledCall()   {}
func (spooledRefusal) isSpooledCall() {}

func newSpool(sink Sink, budget *bufferer.Budget, metrics *spoolMetrics, log zerolog.Logger) *spool {
	s := &spool{sink: sink, metrics: metrics, log: log, hold: bufferer.Hold{Budget: budget}, ended: make(chan struct{})}
	s.changed.L = &s.mu
	return s
}

// SendHead passes on the beginning of a response.
func (s *spool) SendHead(status int, header http.Header, length int64) {
	_ = s.add(spooledHead{status, header, length}, 0) // the next chunk returns the error
}

// SendChunk passes on a copy of b. It waits while the spool is full. An error is one of the other sink, also for
// an earlier chunk.
func (s *spool) SendChunk(b []byte) error {
	return s.add(spooledChunk(append([]byte(nil), b...)), len(b))
}

// Finish passes on the end of the response.
func (s *spool) Finish() { _ = s.add(spooledFinish{}, 0) }

// Abort truncates the response after what it was passed before.
func (s *spool) Abort() { _ = s.add(spooledAbort{}, 0) } // after an error the response is aborted already

// Refuse passes on a refusal.
func (s *spool) Refuse(r *Refusal) { _ = s.add(spooledRefusal{r}, 0) }

// Close waits until everything was passed on, or failed.
func (s *spool) Close() {
	s.mu.Lock()
	s.closed = true
	started := s.started
	s.changed.Broadcast()
	s.mu.Unlock()
	if started {
		<-s.ended
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold.Release()
}

// add queues a call with n bytes. A chunk waits until the spool has room for it, or is empty.
func (s *spool) add(c spooledCall, n int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	waited := false
	for s.err == nil && s.size > 0 && n > 0 && !s.hasRoom(n) {
		if !waited {
			s.metrics.waits.Add(1)
			waited = true
		}
		s.changed.Wait()
	}
	if s.err != nil {
		return s.err
	}
	s.queue = append(s.queue, c)
	s.size += n
	s.metrics.held.Add(int64(n))
	if !s.started {
		s.started = true
		go s.write()
	}
	s.changed.Broadcast()
	return nil
}

// hasRoom reports whether n more bytes may be held. The caller holds mu.
func (s *spool) hasRoom(n int) bool {
	return s.size+n <= maxSpoolBytes && s.hold.Grow(int64(s.size+n)) == nil
}

// write passes on what is queued until the spool is closed and empty.
func (s *spool) write() {
	defer close(s.ended)
	for {
		c := s.next()
		if c == nil {
			return
		}
		var err error
		if !confiner.Call(s.log, "response", func() { err = s.pass(c) }) {
			err = errCallerDisconnected
		}
		if err != nil {
			s.sink.Abort() // the response must not end as complete
		}
		s.done(err)
	}
}

// next returns the next call, which stays in the queue until done. Nil: there is none, and the spool is closed.
func (s *spool) next() spooledCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) == 0 && !s.closed {
		s.changed.Wait()
	}
	if len(s.queue) == 0 {
		return nil
	}
	return s.queue[0]
}

// done removes a call that was passed on, and after an error all others.
func (s *spool) done(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped := s.queue[:1]
	if s.err = err; err != nil {
		dropped = s.queue
	}
	s.queue = s.queue[len(dropped):]
	for _, c := range dropped {
		if b, isChunk := c.(spooledChunk); isChunk {
			s.size -= len(b)
			s.metrics.held.Add(-int64(len(b)))
		}
	}
	s.changed.Broadcast()
}

// pass makes the call of the other sink.
func (s *spool) pass(c spooledCall) error {
	switch c := c.(type) {
	case spooledHead:
		s.sink.SendHead(c.status, c.header, c.length)
	case spooledChunk:
		return s.sink.SendChunk(c)
	case spooledFinish:
		s.sink.Finish()
	case spooledAbort:
		s.sink.Abort()
	case spooledRefusal:
		s.sink.Refuse(c.refusal)
	}
	return nil
}

// SpoolCollectors returns the metrics of streams that are held for callers.
func (f *Forwarder) SpoolCollectors() []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "trefoil_spooled_bytes", Help: "Bytes of streams that are held for callers that have not read them.",
		}, func() float64 { return float64(f.spools.held.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "trefoil_spools_full_total", Help: "Times that an upstream was not read further as its caller read too slowly.",
		}, func() float64 { return float64(f.spools.waits.Load()) }),
	}
}
