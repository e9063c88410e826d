package admitter

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// simulate runs an overload without goroutines: it steps time and drives the pool directly.
func simulate(capacity int, loads map[string]float64, weights map[string]float64, hold, length time.Duration) (map[string][]time.Duration, map[string]int) {
	clock := &timer.Service{Clock: &timer.Manual{}}
	a := &Admitter{Timer: clock, Capacity: func(string) int { return capacity }}
	waits, refused := map[string][]time.Duration{}, map[string]int{}
	type open struct {
		w     *waiter
		begun time.Duration
	}
	var queue []open
	const step = 5 * time.Millisecond
	const limit = 5 * time.Second
	served := 0
	due := map[string]float64{}
	var names []string
	for n := range loads {
		names = append(names, n)
	}
	slices.Sort(names)
	for clock.Now() < length {
		for _, n := range names {
			for due[n] += loads[n] * step.Seconds(); due[n] >= 1; due[n]-- {
				w, err := a.enter(Request{Pool: "m", Customer: n, Weight: weights[n], Cost: 40, Limit: limit})
				if err != nil {
					refused[n]++
					continue
				}
				queue = append(queue, open{w, clock.Now()})
			}
		}
		queue = slices.DeleteFunc(queue, func(o open) bool {
			if o.w.granted {
				waits[o.w.r.Customer] = append(waits[o.w.r.Customer], clock.Now()-o.begun)
				release := a.releaser("m")
				// Lengths differ, as those of answers do: 0.5 to 1.5 times hold.
				served++
				clock.Once(hold/2+hold*time.Duration(served*7%16)/16, release)
				return true
			}
			if clock.Now()-o.begun >= limit && a.leave(o.w) {
				refused[o.w.r.Customer]++
				return true
			}
			return false
		})
		clock.Advance(step)
	}
	return waits, refused
}

func worst(waits []time.Duration) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	return slices.Max(waits)
}

// TestOverloadingCustomerWaitsBehindItself sends one customer's load at eight times what
// the pool can run, and requires that the other waits no longer than two releases and is
// never refused, whatever their weights.
func TestOverloadingCustomerWaitsBehindItself(t *testing.T) {
	const hold = 400 * time.Millisecond
	for _, weight := range []float64{1, 2} {
		t.Run(fmt.Sprint(weight), func(t *testing.T) {
			waits, refused := simulate(8, map[string]float64{"calm": 4, "greedy": 160}, map[string]float64{"calm": 1, "greedy": weight}, hold, 20*time.Second)
			if got := worst(waits["calm"]); refused["calm"] > 0 || got > hold/2 {
				t.Errorf("calm: worst wait %v, %d refused, of %d", got, refused["calm"], len(waits["calm"])+refused["calm"])
			}
			if refused["greedy"] == 0 {
				t.Error("the overload was not refused")
			}
		})
	}
}

// TestRefusedAtOnce requires that a request that would wait beyond its limit is refused
// when it comes, and that a place is never lost.
func TestRefusedAtOnce(t *testing.T) {
	a := &Admitter{Timer: &timer.Service{Clock: &timer.Manual{}}, Capacity: func(string) int { return 1 }}
	release, err := a.Admit(context.Background(), Request{Pool: "m", Customer: "a", Weight: 1, Cost: 1, Limit: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	_, err = a.Admit(context.Background(), Request{Pool: "m", Customer: "b", Weight: 1, Cost: 1, Limit: time.Millisecond})
	var busy *Busy
	if !errors.Is(err, ErrBusy) || !errors.As(err, &busy) || busy.Retry <= 0 {
		t.Errorf("second: %v", err)
	}
	release()
	release() // twice does no harm
	if running, waiting := a.Load("m"); running != 0 || waiting != 0 {
		t.Errorf("running %d, waiting %d", running, waiting)
	}
}
