package timer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestAdvance guards against subscriptions that are called out of order, at a wrong time of
// the manual clock, or after they were canceled.
func TestAdvance(t *testing.T) {
	s := &Service{Clock: &ManualClock{}}
	var got []string
	record := func(name string) func() {
		return func() { got = append(got, name+" "+s.Now().String()) }
	}
	s.Once(3*time.Second, record("once"))
	stop := s.Every(2*time.Second, record("every"))
	s.Once(time.Second, record("gone"))()
	s.Advance(5 * time.Second)
	stop()
	s.Advance(5 * time.Second)
	if diff := cmp.Diff([]string{"every 2s", "once 3s", "every 4s"}, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
	if s.Now() != 10*time.Second {
		t.Errorf("clock is at %v, want 10s", s.Now())
	}
}

// TestMissedIntervals guards against a burst of calls after a suspension: time passes
// without any call, and then only one call may follow, not one for each missed interval.
func TestMissedIntervals(t *testing.T) {
	clock := &ManualClock{}
	s := &Service{Clock: clock}
	n := 0
	s.Every(time.Second, func() { n++ })
	clock.advanceTo(100 * time.Second) // a suspension: time passes without calls
	s.callDue(s.Now())
	if n != 1 {
		t.Errorf("called %d times after 100 missed intervals, want 1", n)
	}
}

// TestSleepEndsWithContext guards against a Sleep that continues for the whole delay after
// its context ends.
func TestSleepEndsWithContext(t *testing.T) {
	s := &Service{Clock: &ManualClock{}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := s.Sleep(ctx, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("Sleep returned %v, want context.Canceled", err)
	}
}

// TestPanicEndsOneCall guards against a process that ends because one subscriber panics, and against one at
// intervals that is not called any more after that.
func TestPanicEndsOneCall(t *testing.T) {
	panics := make(chan any, 100)
	s := &Service{Confine: func(call func()) {
		defer func() {
			if v := recover(); v != nil {
				panics <- v
			}
		}()
		call()
	}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	called := make(chan struct{})
	s.Once(0, func() { panic("once") })
	stop := s.Every(time.Millisecond, func() { panic("every") })
	defer stop()
	go func() { _ = s.Run(ctx) }()
	got := map[any]int{}
	for got["once"] < 1 || got["every"] < 3 {
		got[<-panics]++
	}
	s.Once(0, func() { close(called) })
	<-called
}
