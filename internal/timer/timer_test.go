package timer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestAdvance requires that subscribers are called in the order of their times, each at its
// time, and that canceled ones are not.
func TestAdvance(t *testing.T) {
	s := &Service{Clock: &Manual{}}
	var got []string
	note := func(name string) func() {
		return func() { got = append(got, name+" "+s.Now().String()) }
	}
	s.Once(3*time.Second, note("once"))
	stop := s.Every(2*time.Second, note("every"))
	s.Once(time.Second, note("gone"))()
	s.Advance(5 * time.Second)
	stop()
	s.Advance(5 * time.Second)
	if diff := cmp.Diff([]string{"every 2s", "once 3s", "every 4s"}, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
	if s.Now() != 10*time.Second {
		t.Errorf("now %v", s.Now())
	}
}

// TestMissedIntervals requires that a process that was frozen is not called for every
// interval that it missed.
func TestMissedIntervals(t *testing.T) {
	clock := &Manual{}
	s := &Service{Clock: clock}
	n := 0
	s.Every(time.Second, func() { n++ })
	clock.set(100 * time.Second) // frozen: time passed, nobody was called
	s.callDue(s.Now())
	if n != 1 {
		t.Errorf("called %d times", n)
	}
}

// TestSleepEndsWithContext requires that a sleeper whose context ends does not wait on.
func TestSleepEndsWithContext(t *testing.T) {
	s := &Service{Clock: &Manual{}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := s.Sleep(ctx, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("sleep: %v", err)
	}
}
