// Package admitter queues requests when capacity is short. Each pool (a model or a route)
// has a weighted fair queue by customer: a customer that sends many requests waits behind
// its own. A request that would wait beyond its limit is refused at once. It does not know
// upstreams; the capacity of a pool is told to it.
package admitter

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Requests that may wait in one pool, and of one customer in one pool.
	poolLimit     = 8192
	customerLimit = 1024
	// Weight of a new sample in the average time that a request holds its place.
	averageWeight = 0.1
	firstAverage  = time.Second
)

// ErrBusy says that the request was refused before it ran.
var ErrBusy = errors.New("admitter: no capacity in time")

// Busy is ErrBusy with the time after which a retry may succeed.
type Busy struct{ Retry time.Duration }

// Error describes the refusal.
func (e *Busy) Error() string { return fmt.Sprintf("%v, retry in %v", ErrBusy, e.Retry) }

// Unwrap makes a Busy an ErrBusy.
func (e *Busy) Unwrap() error { return ErrBusy }

// Request is one request for a place.
type Request struct {
	Pool     string
	Customer string
	// Weight is the customer's share of capacity relative to others.
	Weight float64
	// Cost is the work expected, in tokens.
	Cost float64
	// Limit is the longest wait.
	Limit time.Duration
}

// Admitter holds the pools of one host. Set the exported fields before use.
type Admitter struct {
	Timer *timer.Service
	// Capacity returns how many requests a pool may run at once.
	Capacity func(pool string) int

	mu    sync.Mutex
	pools map[string]*pool // guarded by mu
}

type pool struct {
	running int
	queue   waitQueue
	flows   map[string]*flow
	virtual float64 // start tag of the newest request admitted
	average time.Duration
	serial  uint64
}

// flow is one customer's part of a queue.
type flow struct {
	finish float64 // finish tag of its newest request
	queued int
}

type waiter struct {
	r       Request
	start   float64
	serial  uint64
	index   int
	granted bool
	done    chan struct{}
}

// Admit waits for a place. The caller must call release once when the work has ended.
func (a *Admitter) Admit(ctx context.Context, r Request) (release func(), err error) {
	w, err := a.enter(r)
	if err != nil {
		return nil, err
	}
	late := make(chan struct{})
	cancel := a.Timer.Once(r.Limit, func() { close(late) })
	defer cancel()
	select {
	case <-w.done:
		return a.releaser(r.Pool), nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-late:
		err = &Busy{Retry: r.Limit}
	}
	if a.leave(w) {
		return nil, err
	}
	return a.releaser(r.Pool), nil // the place was given in the same moment
}

func (a *Admitter) enter(r Request) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(r.Pool)
	f := p.flows[r.Customer]
	if f == nil {
		f = &flow{}
		p.flows[r.Customer] = f
	}
	w := &waiter{r: r, start: max(p.virtual, f.finish), serial: p.serial, done: make(chan struct{})}
	p.serial++
	capacity := a.Capacity(r.Pool)
	if len(p.queue) > 0 || p.running >= capacity {
		if wait := p.forecast(w, capacity); wait > r.Limit || len(p.queue) >= poolLimit || f.queued >= customerLimit {
			return nil, &Busy{Retry: max(wait, firstAverage)}
		}
	}
	f.finish = w.start + r.Cost/max(r.Weight, 1e-6)
	f.queued++
	heap.Push(&p.queue, w)
	p.dispatch(capacity)
	return w, nil
}

// forecast estimates how long a request would wait behind those with smaller tags.
func (p *pool) forecast(w *waiter, capacity int) time.Duration {
	ahead := 1
	for _, other := range p.queue {
		if other.start <= w.start {
			ahead++
		}
	}
	return time.Duration(float64(p.average) * float64(ahead) / float64(max(1, capacity)))
}

// leave takes a waiter out; false if it was given a place meanwhile.
func (a *Admitter) leave(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.granted {
		return false
	}
	p := a.pool(w.r.Pool)
	heap.Remove(&p.queue, w.index)
	p.unqueue(w)
	return true
}

func (a *Admitter) releaser(name string) func() {
	begun := a.Timer.Now()
	var once sync.Once
	return func() {
		once.Do(func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			p := a.pool(name)
			p.running--
			p.average += time.Duration(averageWeight * float64(a.Timer.Now()-begun-p.average))
			p.dispatch(a.Capacity(name))
		})
	}
}

// Wake admits what a change of capacity allows.
func (a *Admitter) Wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, p := range a.pools {
		if len(p.queue) > 0 {
			p.dispatch(a.Capacity(name))
		}
	}
}

// Expect returns how long a request of a customer that has none queued would wait now, and
// how many places are free.
func (a *Admitter) Expect(name string) (wait time.Duration, free int) {
	capacity := a.Capacity(name)
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(name)
	if len(p.queue) == 0 && p.running < capacity {
		return 0, capacity - p.running
	}
	return p.average * time.Duration(len(p.queue)+1) / time.Duration(max(1, capacity)), 0
}

// Load returns how many requests of a pool run and wait.
func (a *Admitter) Load(name string) (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(name)
	return p.running, len(p.queue)
}

func (a *Admitter) pool(name string) *pool {
	if a.pools == nil {
		a.pools = map[string]*pool{}
	}
	p := a.pools[name]
	if p == nil {
		p = &pool{flows: map[string]*flow{}, average: firstAverage}
		a.pools[name] = p
	}
	return p
}

func (p *pool) dispatch(capacity int) {
	for len(p.queue) > 0 && p.running < capacity {
		w := heap.Pop(&p.queue).(*waiter)
		p.virtual = max(p.virtual, w.start)
		p.unqueue(w)
		p.running++
		w.granted = true
		close(w.done)
	}
}

// unqueue counts a waiter out, and forgets a flow that is no longer ahead of the pool.
func (p *pool) unqueue(w *waiter) {
	f := p.flows[w.r.Customer]
	f.queued--
	if len(p.queue) > 0 {
		return
	}
	for name, f := range p.flows {
		if f.queued == 0 && f.finish <= p.virtual {
			delete(p.flows, name)
		}
	}
}

// waitQueue is a heap by start tag, then by arrival.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }
func (q waitQueue) Less(i, j int) bool {
	if q[i].start != q[j].start {
		return q[i].start < q[j].start
	}
	return q[i].serial < q[j].serial
}
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push is for package heap.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop is for package heap.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	return w
}
