package requester

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/closer"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	maxIdlePerHost     = 256
	stallCheckInterval = 200 * time.Millisecond
	keepAliveInterval  = 5 * time.Second
	// Maximum size of a response's header.
	maxHeaderBytes = 64 << 10
)

// Errors of requests to upstreams. Compare with errors.Is.
var (
	// ErrNotSent reports that nothing of the request reached the upstream.
	ErrNotSent = errors.New("requester: request did not reach the upstream")
	// ErrStalled reports that nothing arrived from the upstream within the timeout.
	ErrStalled = errors.New("requester: upstream connection is unresponsive")
	// ErrIdleStalled is an ErrStalled before the response on a connection that had been idle: it may
	// have died then, so it says nothing of the upstream.
	ErrIdleStalled = fmt.Errorf("%w since it was idle", ErrStalled)
	// ErrWrongRequest reports that the response belongs to another request.
	ErrWrongRequest = errors.New("requester: response belongs to another request")
	// ErrIncomplete reports that the response is truncated or otherwise incomplete.
	ErrIncomplete = errors.New("requester: response is incomplete")
)

// Requester sends requests to upstreams and keeps idle connections to them. Set Timer, then
// call Start.
type Requester struct {
	Timer *timer.Service

	mu         sync.Mutex
	transports map[string]*http.Transport // by address; guarded by mu
	noReuse    *http.Transport            // opens a connection for each request; set by Start
	watchdogs  sync.Map                   // *Watchdog → struct{}; of the requests under way
}

// Start begins to check for unresponsive connections and to cancel the requests on them,
// until ctx ends.
func (c *Requester) Start(ctx context.Context) {
	c.noReuse = newTransport()
	c.noReuse.DisableKeepAlives = true
	stop := c.Timer.Every(stallCheckInterval, c.cancelStalled)
	context.AfterFunc(ctx, stop)
}

func newTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &closer.Conn{Conn: n}, nil
	}
	return &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func (c *Requester) transport(address string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.transports == nil {
		c.transports = map[string]*http.Transport{}
	}
	t := c.transports[address]
	if t == nil {
		t = newTransport()
		c.transports[address] = t
	}
	return t
}

// CloseIdle closes the idle connections to an address. It is called when a connection to the
// address was unresponsive, since the idle ones may be dead too.
func (c *Requester) CloseIdle(address string) { c.transport(address).CloseIdleConnections() }

// CloseIdleExcept closes the idle connections to every address for which keep returns false.
func (c *Requester) CloseIdleExcept(keep func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, t := range c.transports {
		if !keep(address) {
			t.CloseIdleConnections()
			delete(c.transports, address)
		}
	}
}

// Watchdog cancels a request when nothing arrives from the upstream within a timeout.
type Watchdog struct {
	stalledAt atomic.Int64 // when the timeout ends, nanoseconds on the timer's clock
	stalled   atomic.Bool
	cancel    context.CancelFunc
	requester *Requester
}

func (c *Requester) startWatchdog(cancel context.CancelFunc, timeout time.Duration) *Watchdog {
	w := &Watchdog{cancel: cancel, requester: c}
	w.Restart(timeout)
	c.watchdogs.Store(w, struct{}{})
	return w
}

// Restart restarts the timeout because data arrived; the next must arrive within timeout.
func (w *Watchdog) Restart(timeout time.Duration) {
	w.stalledAt.Store(int64(w.requester.Timer.Now() + timeout))
}

// Pause stops the timeout until Restart is called, because nothing is read from the upstream meanwhile.
func (w *Watchdog) Pause() { w.stalledAt.Store(math.MaxInt64) }

func (w *Watchdog) stop() { w.requester.watchdogs.Delete(w) }

func (c *Requester) cancelStalled() {
	now := int64(c.Timer.Now())
	c.watchdogs.Range(func(k, _ any) bool {
		w := k.(*Watchdog)
		if now > w.stalledAt.Load() {
			w.stalled.Store(true)
			w.cancel()
		}
		return true
	})
}

// Answer is an upstream's response whose body is still to be read. Close must be called.
type Answer struct {
	*http.Response
	Watchdog *Watchdog
	// Reused is set if the connection had served another request: the response may be another copy of
	// that one's.
	Reused bool
	cancel context.CancelFunc
}

// Close ends the request; the connection is kept for reuse if the body was read to its end.
func (a *Answer) Close() {
	_ = a.Body.Close()
	a.Watchdog.stop()
	a.cancel()
}

// Stalled reports whether the request was canceled because its connection was unresponsive.
func (a *Answer) Stalled() bool { return a.Watchdog.stalled.Load() }

// Send sends a request and returns the response once its header has arrived, which must
// happen within headerTimeout. The timeout keeps running while the body is read, until the
// reader restarts it on the Answer's Watchdog. If newConnection is set, the request gets a
// new connection and reaches the upstream at most once: net/http never retries a request
// that failed on a new connection. Errors wrap ErrNotSent, ErrStalled or both where they are
// known to apply.
func (c *Requester) Send(r *http.Request, headerTimeout time.Duration, newConnection bool) (*Answer, error) {
	ctx, cancel := context.WithCancel(r.Context())
	watchdog := c.startWatchdog(cancel, headerTimeout)
	var connected, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(i.Reused)
	}}
	r = r.WithContext(httptrace.WithClientTrace(ctx, trace))
	var t http.RoundTripper = c.transport(r.URL.Host)
	if newConnection {
		t = c.noReuse
		r.GetBody = nil
	}
	response, err := t.RoundTrip(r)
	if err == nil {
		return &Answer{Response: response, Watchdog: watchdog, Reused: reused.Load(), cancel: cancel}, nil
	}
	watchdog.stop()
	cancel()
	return nil, classify(err, watchdog.stalled.Load(), connected.Load(), reused.Load())
}

func classify(err error, stalled, connected, reused bool) error {
	switch {
	case !connected && stalled:
		return fmt.Errorf("%w: %w: %w", ErrNotSent, ErrStalled, err)
	case !connected:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case stalled && reused:
		return fmt.Errorf("%w: %w", ErrIdleStalled, err)
	case stalled:
		return fmt.Errorf("%w: %w", ErrStalled, err)
	}
	return fmt.Errorf("requester: %w", err)
}
