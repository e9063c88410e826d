package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	dialTimeout  = time.Second
	idleTimeout  = 30 * time.Second
	idlePerHost  = 256
	stallCheck   = 200 * time.Millisecond
	keepInterval = 5 * time.Second
)

// Errors of calls.
var (
	// ErrNotSent says that nothing of the request reached the upstream.
	ErrNotSent = errors.New("caller: nothing reached the upstream")
	// ErrStalled says that the upstream's connection went silent.
	ErrStalled = errors.New("caller: the connection went silent")
	// ErrForeign says that the answer belongs to another request.
	ErrForeign = errors.New("caller: answer of another request")
	// ErrCut says that the answer ended early.
	ErrCut = errors.New("caller: the answer ended early")
)

// Caller keeps connections to upstreams. Set Timer, then call Start.
type Caller struct {
	Timer *timer.Service

	mu         sync.Mutex
	transports map[string]*http.Transport // by address; guarded by mu
	single     *http.Transport            // never reuses a connection
	watches    sync.Map                   // *Watch → struct{}
}

// Start begins to look for silent connections until ctx ends.
func (c *Caller) Start(ctx context.Context) {
	c.single = newTransport()
	c.single.DisableKeepAlives = true
	stop := c.Timer.Every(stallCheck, c.cancelStalled)
	context.AfterFunc(ctx, stop)
}

func newTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepInterval}
	return &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

func (c *Caller) transport(address string) *http.Transport {
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

// Purge closes the idle connections to an address: one of them went silent, so the others
// may be dead too.
func (c *Caller) Purge(address string) { c.transport(address).CloseIdleConnections() }

// Forget closes the idle connections to the addresses that keep refuses.
func (c *Caller) Forget(keep func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, t := range c.transports {
		if !keep(address) {
			t.CloseIdleConnections()
			delete(c.transports, address)
		}
	}
}

// Watch cancels a call whose connection is silent for too long.
type Watch struct {
	last    atomic.Int64 // time of the last progress, by the timer's clock
	limit   atomic.Int64
	stalled atomic.Bool
	cancel  context.CancelFunc
	caller  *Caller
}

func (c *Caller) watch(cancel context.CancelFunc, limit time.Duration) *Watch {
	w := &Watch{cancel: cancel, caller: c}
	w.Progress(limit)
	c.watches.Store(w, struct{}{})
	return w
}

// Progress notes that something arrived; the next may take up to limit.
func (w *Watch) Progress(limit time.Duration) {
	w.limit.Store(int64(limit))
	w.last.Store(int64(w.caller.Timer.Now()))
}

func (w *Watch) end() { w.caller.watches.Delete(w) }

func (c *Caller) cancelStalled() {
	now := int64(c.Timer.Now())
	c.watches.Range(func(k, _ any) bool {
		w := k.(*Watch)
		if now-w.last.Load() > w.limit.Load() {
			w.stalled.Store(true)
			w.cancel()
		}
		return true
	})
}

// Answer is an upstream's answer whose body is still to be read. Close must be called.
type Answer struct {
	*http.Response
	Watch  *Watch
	cancel context.CancelFunc
}

// Close ends the call; the connection is kept if the body was read to its end.
func (a *Answer) Close() {
	_ = a.Body.Close()
	a.Watch.end()
	a.cancel()
}

// Stalled reports whether the call was canceled because its connection was silent.
func (a *Answer) Stalled() bool { return a.Watch.stalled.Load() }

// Send sends a request and returns the answer once its header is there, which may take up
// to first. Once: the call may not be repeated, so it gets a connection of its own, on
// which the library never sends it a second time. Errors wrap ErrNotSent or ErrStalled
// where they are known to apply.
func (c *Caller) Send(r *http.Request, first time.Duration, once bool) (*Answer, error) {
	ctx, cancel := context.WithCancel(r.Context())
	watch := c.watch(cancel, first)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r = r.WithContext(httptrace.WithClientTrace(ctx, trace))
	var t http.RoundTripper = c.transport(r.URL.Host)
	if once {
		t = c.single
		r.GetBody = nil
	}
	response, err := t.RoundTrip(r)
	if err == nil {
		return &Answer{Response: response, Watch: watch, cancel: cancel}, nil
	}
	watch.end()
	cancel()
	return nil, classify(err, watch.stalled.Load(), connected.Load())
}

func classify(err error, stalled, connected bool) error {
	switch {
	case !connected && stalled:
		return fmt.Errorf("%w: %w: %w", ErrNotSent, ErrStalled, err)
	case !connected:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case stalled:
		return fmt.Errorf("%w: %w", ErrStalled, err)
	}
	return fmt.Errorf("caller: %w", err)
}
