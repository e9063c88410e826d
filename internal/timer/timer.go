package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the source of a Service's time: *BootClock or *ManualClock.
type Clock interface{ clock() }

// BootClock is the host's time since boot, including suspensions.
type BootClock struct{}

// ManualClock is a clock that advances only by Service.Advance, for tests.
type ManualClock struct {
	mu  sync.Mutex
	now time.Duration // guarded by mu
}

func (*BootClock) clock()   {}
func (*ManualClock) clock() {}

// Service calls subscribers at the times that they ask for. Set the exported fields before use. Its methods
// may be called concurrently.
type Service struct {
	// Clock is the source of time. Nil: the host's clock.
	Clock Clock
	// Confine makes each call, so that a panic ends no more than that call: a subscriber of Every
	// is called again after its interval. What a subscriber locks it must unlock by defer. Nil: a panic ends
	// the process.
	Confine func(call func())

	mu    sync.Mutex
	queue subscriptionHeap // guarded by mu
	// wake signals to Run that the queue has a new subscription; nil before Run; guarded by mu
	wake chan struct{}
}

// subscription is a timed call in the queue.
type subscription struct {
	dueAt     time.Duration // on the clock of the Service
	interval  time.Duration // 0: call once
	call      func()
	heapIndex int // in the heap; -1: not in it
	canceled  bool
}

// Now returns the duration since the clock's arbitrary start.
func (s *Service) Now() time.Duration {
	switch c := s.Clock.(type) {
	case *ManualClock:
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.now
	default:
		return bootTime()
	}
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("timer: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Every calls call at intervals until cancel is called; the first time after one interval.
// A call must return soon, since all calls run one after another.
func (s *Service) Every(interval time.Duration, call func()) (cancel func()) {
	return s.add(&subscription{dueAt: s.Now() + interval, interval: interval, call: call})
}

// Once calls call after delay unless cancel is called first. As with Every, a call must
// return soon.
func (s *Service) Once(delay time.Duration, call func()) (cancel func()) {
	return s.add(&subscription{dueAt: s.Now() + delay, call: call})
}

// Sleep returns nil after delay, or the error of ctx if that ends first.
func (s *Service) Sleep(ctx context.Context, delay time.Duration) error {
	done := make(chan struct{})
	cancel := s.Once(delay, func() { close(done) })
	defer cancel()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Service) add(x *subscription) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	heap.Push(&s.queue, x)
	s.signal()
	return func() { s.cancel(x) }
}

func (s *Service) cancel(x *subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x.canceled = true
	if x.heapIndex >= 0 {
		heap.Remove(&s.queue, x.heapIndex)
	}
}

// signal wakes Run, if it runs. The caller holds mu.
func (s *Service) signal() {
	if s.wake == nil {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run calls subscribers when they are due by the host's clock, until ctx ends. It returns
// nil.
func (s *Service) Run(ctx context.Context) error {
	s.mu.Lock()
	s.wake = make(chan struct{}, 1)
	wake := s.wake
	s.mu.Unlock()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		s.callDue(s.Now())
		t.Reset(s.delayToNext())
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		case <-t.C:
		}
	}
}

func (s *Service) delayToNext() time.Duration {
	const maxDelay = time.Second
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return maxDelay
	}
	return min(maxDelay, max(0, s.queue[0].dueAt-s.Now()))
}

// Advance moves a manual clock by d, and calls every subscription that becomes due, at its
// time. It panics with any other clock.
func (s *Service) Advance(d time.Duration) {
	c := s.Clock.(*ManualClock)
	end := s.Now() + d
	for {
		s.mu.Lock()
		due := len(s.queue) > 0 && s.queue[0].dueAt <= end
		var at time.Duration
		if due {
			at = s.queue[0].dueAt
		}
		s.mu.Unlock()
		if !due {
			break
		}
		c.advanceTo(at)
		s.callDue(at)
	}
	c.advanceTo(end)
}

func (c *ManualClock) advanceTo(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
}

func (s *Service) callDue(now time.Duration) {
	for {
		s.mu.Lock()
		if len(s.queue) == 0 || s.queue[0].dueAt > now {
			s.mu.Unlock()
			return
		}
		x := heap.Pop(&s.queue).(*subscription)
		if x.interval > 0 {
			// Intervals missed while the process was suspended are not made up for.
			x.dueAt = max(x.dueAt+x.interval, now)
			if x.dueAt == now {
				x.dueAt = now + x.interval
			}
			heap.Push(&s.queue, x)
		}
		s.mu.Unlock()
		if s.Confine == nil {
			x.call()
		} else {
			s.Confine(x.call)
		}
	}
}

// subscriptionHeap is a min-heap by time, for package heap.
type subscriptionHeap []*subscription

func (q subscriptionHeap) Len() int           { return len(q) }
func (q subscriptionHeap) Less(i, j int) bool { return q[i].dueAt < q[j].dueAt }
func (q subscriptionHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *subscriptionHeap) Push(x any) {
	s := x.(*subscription)
	s.heapIndex = len(*q)
	*q = append(*q, s)
}

// Pop implements heap.Interface.
func (q *subscriptionHeap) Pop() any {
	old := *q
	x := old[len(old)-1]
	x.heapIndex = -1
	*q = old[:len(old)-1]
	return x
}
