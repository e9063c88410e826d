// Package admitter queues requests when capacity is short. Each pool (a model or a route)
// has a start-time fair queue, weighted by customer: a customer that sends many requests
// waits behind its own. A request that is expected to wait beyond its limit is rejected on
// arrival. The package does not know upstreams; a callback returns the slots of a pool.
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
	// Requests that may wait in one pool, in total and per customer.
	maxWaitingPerPool     = 8192
	maxWaitingPerCustomer = 1024
	// Weight of a new sample in the moving average of the time a request holds its slot.
	// initialHoldTime is the average before any sample, and the shortest retry delay given to
	// a request that is rejected on arrival.
	smoothingFactor = 0.1
	initialHoldTime = time.Second
)

// ErrNoCapacity is the error of a request that was rejected before it ran: it got no slot
// within its wait limit, or too many requests were waiting.
var ErrNoCapacity = errors.New("admitter: no slot within the wait limit")

// NoCapacityError is an ErrNoCapacity with the delay after which a retry may succeed.
type NoCapacityError struct{ RetryAfter time.Duration }

// Error returns the message of ErrNoCapacity with the retry delay.
func (e *NoCapacityError) Error() string {
	return fmt.Sprintf("%v, retry in %v", ErrNoCapacity, e.RetryAfter)
}

// Unwrap returns ErrNoCapacity.
func (e *NoCapacityError) Unwrap() error { return ErrNoCapacity }

// Request is one request for a slot.
type Request struct {
	Pool     string
	Customer string
	// Weight is the customer's weight in the fair queue: twice the weight, twice the work.
	Weight float64
	// Cost is the expected work, in one unit for all requests of a pool (tokens for a model).
	Cost float64
	// WaitLimit is the longest time to wait for a slot.
	WaitLimit time.Duration
}

// Admitter queues the requests of one host. Set the exported fields before use. It is safe
// for concurrent use.
type Admitter struct {
	Timer *timer.Service
	// Capacity returns the slots of a pool: how many of its requests this host may run at
	// once. It may be called with mu held.
	Capacity func(pool string) int

	mu    sync.Mutex
	pools map[string]*pool // guarded by mu
}

// pool is the state of one pool. Admitter.mu guards it, its flows and its waiters, and is held
// when its methods are called.
type pool struct {
	running     int // requests that hold a slot
	queue       waitQueue
	flows       map[string]*flow // by customer
	virtualTime float64          // largest start tag of the requests admitted
	averageHold time.Duration    // moving average of the time a request holds its slot
	nextSeq     uint64
}

// flow is one customer's state in a pool.
type flow struct {
	finishTag float64 // of its newest request, in cost per weight
	queued    int     // requests that wait
}

// waiter is a request that waits for a slot.
type waiter struct {
	request   Request
	startTag  float64
	seq       uint64 // order of arrival in the pool
	heapIndex int
	granted   bool          // a slot was granted
	signal    chan struct{} // closed when a slot is granted
}

// Admit waits for a slot, for at most r.WaitLimit. The caller must call release when the work
// has ended; further calls of release do nothing. The error is an ErrNoCapacity with a retry
// delay, or that of ctx.
func (a *Admitter) Admit(ctx context.Context, r Request) (release func(), err error) {
	w, err := a.enqueue(r)
	if err != nil {
		return nil, err
	}
	expired := make(chan struct{})
	stopTimer := a.Timer.Once(r.WaitLimit, func() { close(expired) })
	defer stopTimer()
	select {
	case <-w.signal:
		return a.releaseFunc(r.Pool), nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-expired:
		err = &NoCapacityError{RetryAfter: r.WaitLimit}
	}
	if a.abandon(w) {
		return nil, err
	}
	return a.releaseFunc(r.Pool), nil // the slot was granted before abandon took the lock
}

func (a *Admitter) enqueue(r Request) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.ensurePool(r.Pool)
	f := p.flows[r.Customer]
	if f == nil {
		f = &flow{}
		p.flows[r.Customer] = f
	}
	w := &waiter{request: r, startTag: max(p.virtualTime, f.finishTag), seq: p.nextSeq, signal: make(chan struct{})}
	p.nextSeq++
	capacity := a.Capacity(r.Pool)
	if len(p.queue) > 0 || p.running >= capacity {
		if wait := p.estimateWait(w, capacity); wait > r.WaitLimit || len(p.queue) >= maxWaitingPerPool || f.queued >= maxWaitingPerCustomer {
			return nil, &NoCapacityError{RetryAfter: max(wait, initialHoldTime)}
		}
	}
	f.finishTag = w.startTag + r.Cost/max(r.Weight, 1e-6)
	f.queued++
	heap.Push(&p.queue, w)
	p.dispatch(capacity)
	return w, nil
}

// estimateWait returns how long a request is expected to wait behind the queued requests
// whose start tags are not larger. The caller holds Admitter.mu.
func (p *pool) estimateWait(w *waiter, capacity int) time.Duration {
	ahead := 1
	for _, other := range p.queue {
		if other.startTag <= w.startTag {
			ahead++
		}
	}
	return time.Duration(float64(p.averageHold) * float64(ahead) / float64(max(1, capacity)))
}

// abandon removes a waiter from its queue. It returns false if the waiter has been granted
// a slot.
func (a *Admitter) abandon(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.granted {
		return false
	}
	p := a.ensurePool(w.request.Pool)
	heap.Remove(&p.queue, w.heapIndex)
	p.removeFromFlow(w)
	return true
}

func (a *Admitter) releaseFunc(poolName string) func() {
	startedAt := a.Timer.Now()
	var once sync.Once
	return func() {
		once.Do(func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			p := a.ensurePool(poolName)
			p.running--
			p.averageHold += time.Duration(smoothingFactor * float64(a.Timer.Now()-startedAt-p.averageHold))
			p.dispatch(a.Capacity(poolName))
		})
	}
}

// GrantFreeSlots grants free slots to waiting requests of every pool. It is to be called after
// capacity has changed.
func (a *Admitter) GrantFreeSlots() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, p := range a.pools {
		if len(p.queue) > 0 {
			p.dispatch(a.Capacity(name))
		}
	}
}

// ExpectedWait returns how long a new request of a customer that has none queued is expected to
// wait, and how many slots of the pool are free.
func (a *Admitter) ExpectedWait(poolName string) (wait time.Duration, free int) {
	capacity := a.Capacity(poolName)
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.ensurePool(poolName)
	if len(p.queue) == 0 && p.running < capacity {
		return 0, capacity - p.running
	}
	return p.averageHold * time.Duration(len(p.queue)+1) / time.Duration(max(1, capacity)), 0
}

// Load returns how many requests of a pool hold a slot and how many wait for one.
func (a *Admitter) Load(poolName string) (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.ensurePool(poolName)
	return p.running, len(p.queue)
}

func (a *Admitter) ensurePool(poolName string) *pool {
	if a.pools == nil {
		a.pools = map[string]*pool{}
	}
	p := a.pools[poolName]
	if p == nil {
		p = &pool{flows: map[string]*flow{}, averageHold: initialHoldTime}
		a.pools[poolName] = p
	}
	return p
}

func (p *pool) dispatch(capacity int) {
	for len(p.queue) > 0 && p.running < capacity {
		w := heap.Pop(&p.queue).(*waiter)
		p.virtualTime = max(p.virtualTime, w.startTag)
		p.removeFromFlow(w)
		p.running++
		w.granted = true
		close(w.signal)
	}
}

// removeFromFlow subtracts a waiter that left the queue from its customer's flow. Once the
// queue is empty it deletes the flows whose finish tag is not beyond the pool's virtual time,
// since those no longer delay their customer. The caller holds Admitter.mu.
func (p *pool) removeFromFlow(w *waiter) {
	f := p.flows[w.request.Customer]
	f.queued--
	if len(p.queue) > 0 {
		return
	}
	for name, f := range p.flows {
		if f.queued == 0 && f.finishTag <= p.virtualTime {
			delete(p.flows, name)
		}
	}
}

// waitQueue is a heap ordered by start tag, then by arrival.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }
func (q waitQueue) Less(i, j int) bool {
	if q[i].startTag != q[j].startTag {
		return q[i].startTag < q[j].startTag
	}
	return q[i].seq < q[j].seq
}
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	return w
}
