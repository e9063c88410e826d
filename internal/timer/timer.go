package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is where a Service reads the time: *Boot or *Manual.
type Clock interface{ clock() }

// Boot is the host's clock since boot, suspensions included.
type Boot struct{}

// Manual is a clock that only Advance moves.
type Manual struct {
	mu  sync.Mutex
	now time.Duration // guarded by mu
}

func (*Boot) clock()   {}
func (*Manual) clock() {}

// Service calls subscribers at intervals. Set Clock before use; nil is the host's clock.
type Service struct {
	Clock Clock

	mu    sync.Mutex
	queue queue         // guarded by mu
	wake  chan struct{} // guarded by mu; tells Run of an earlier deadline
}

// subscription is one entry of the queue.
type subscription struct {
	at     time.Duration
	every  time.Duration // 0: once
	call   func()
	index  int
	closed bool
}

// Now returns the time since the clock's arbitrary start.
func (s *Service) Now() time.Duration {
	switch c := s.Clock.(type) {
	case *Manual:
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
		panic("timer: the host has no boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Every calls call at intervals until cancel is called. Calls must be short: they run one
// after another.
func (s *Service) Every(interval time.Duration, call func()) (cancel func()) {
	return s.add(&subscription{at: s.Now() + interval, every: interval, call: call})
}

// Once calls call after delay unless cancel is called before.
func (s *Service) Once(delay time.Duration, call func()) (cancel func()) {
	return s.add(&subscription{at: s.Now() + delay, call: call})
}

// Sleep waits for delay or until ctx ends, whose error it returns.
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
	x.closed = true
	if x.index >= 0 {
		heap.Remove(&s.queue, x.index)
	}
}

// signal wakes Run. The caller holds mu.
func (s *Service) signal() {
	if s.wake == nil {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run calls subscribers on the host's clock until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	s.mu.Lock()
	s.wake = make(chan struct{}, 1)
	wake := s.wake
	s.mu.Unlock()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		s.callDue(s.Now())
		t.Reset(s.untilNext())
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		case <-t.C:
		}
	}
}

func (s *Service) untilNext() time.Duration {
	const idle = time.Second
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return idle
	}
	return min(idle, max(0, s.queue[0].at-s.Now()))
}

// Advance moves a manual clock, calling every subscriber that becomes due at its time.
func (s *Service) Advance(d time.Duration) {
	c := s.Clock.(*Manual)
	end := s.Now() + d
	for {
		s.mu.Lock()
		due := len(s.queue) > 0 && s.queue[0].at <= end
		var at time.Duration
		if due {
			at = s.queue[0].at
		}
		s.mu.Unlock()
		if !due {
			break
		}
		c.set(at)
		s.callDue(at)
	}
	c.set(end)
}

func (c *Manual) set(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
}

func (s *Service) callDue(now time.Duration) {
	for {
		s.mu.Lock()
		if len(s.queue) == 0 || s.queue[0].at > now {
			s.mu.Unlock()
			return
		}
		x := heap.Pop(&s.queue).(*subscription)
		if x.every > 0 {
			// Intervals missed while the process was frozen are not made up for.
			x.at = max(x.at+x.every, now)
			if x.at == now {
				x.at = now + x.every
			}
			heap.Push(&s.queue, x)
		}
		s.mu.Unlock()
		x.call()
	}
}

// queue is a heap by time.
type queue []*subscription

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push is for package heap.
func (q *queue) Push(x any) {
	s := x.(*subscription)
	s.index = len(*q)
	*q = append(*q, s)
}

// Pop is for package heap.
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	x.index = -1
	*q = old[:len(old)-1]
	return x
}
