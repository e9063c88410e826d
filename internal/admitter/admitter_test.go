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

// simulateOverload offers each customer's requests to one pool on a manual clock, without
// goroutines, and returns each customer's waits and how many of its requests were rejected.
func simulateOverload(capacity int, requestsPerSecond map[string]float64, weights map[string]float64, holdTime, duration time.Duration) (map[string][]time.Duration, map[string]int) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	a := &Admitter{Timer: clock, Capacity: func(string) int { return capacity }}
	waits, rejected := map[string][]time.Duration{}, map[string]int{}
	type waitingRequest struct {
		w          *waiter
		enqueuedAt time.Duration
	}
	var queue []waitingRequest
	const step = 5 * time.Millisecond
	const waitLimit = 5 * time.Second
	served := 0
	owed := map[string]float64{}
	var customers []string
	for n := range requestsPerSecond {
		customers = append(customers, n)
	}
	slices.Sort(customers)
	for clock.Now() < duration {
		for _, n := range customers {
			for owed[n] += requestsPerSecond[n] * step.Seconds(); owed[n] >= 1; owed[n]-- {
				w, err := a.enqueue(Request{Pool: "m", Customer: n, Weight: weights[n], Cost: 40, WaitLimit: waitLimit})
				if err != nil {
					rejected[n]++
					continue
				}
				queue = append(queue, waitingRequest{w, clock.Now()})
			}
		}
		queue = slices.DeleteFunc(queue, func(o waitingRequest) bool {
			if o.w.granted {
				waits[o.w.request.Customer] = append(waits[o.w.request.Customer], clock.Now()-o.enqueuedAt)
				release := a.releaseFunc("m")
				// Hold times differ as the lengths of answers do: 0.5 to 1.5 times holdTime.
				served++
				clock.Once(holdTime/2+holdTime*time.Duration(served*7%16)/16, release)
				return true
			}
			if clock.Now()-o.enqueuedAt >= waitLimit && a.abandon(o.w) {
				rejected[o.w.request.Customer]++
				return true
			}
			return false
		})
		clock.Advance(step)
	}
	return waits, rejected
}

func longest(waits []time.Duration) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	return slices.Max(waits)
}

// TestOverloadDelaysOnlyItsCustomer guards against a customer delaying others. One
// customer sends eight times the load that the pool can run; whatever the weights, the other
// waits at most half of holdTime and is never rejected.
func TestOverloadDelaysOnlyItsCustomer(t *testing.T) {
	const holdTime = 400 * time.Millisecond
	for _, weight := range []float64{1, 2} {
		t.Run(fmt.Sprint(weight), func(t *testing.T) {
			waits, rejected := simulateOverload(8, map[string]float64{"calm": 4, "greedy": 160}, map[string]float64{"calm": 1, "greedy": weight}, holdTime, 20*time.Second)
			if got := longest(waits["calm"]); rejected["calm"] > 0 || got > holdTime/2 {
				t.Errorf("customer calm: longest wait %v, %d rejected, of %d requests", got, rejected["calm"], len(waits["calm"])+rejected["calm"])
			}
			if rejected["greedy"] == 0 {
				t.Error("no request of the overloading customer was rejected")
			}
		})
	}
}

// TestRejectedOnArrival guards against a request that waits in vain and against a lost or
// doubled slot: a request whose expected wait exceeds its limit is rejected on arrival, and a
// second call of release does nothing.
func TestRejectedOnArrival(t *testing.T) {
	a := &Admitter{Timer: &timer.Service{Clock: &timer.ManualClock{}}, Capacity: func(string) int { return 1 }}
	release, err := a.Admit(context.Background(), Request{Pool: "m", Customer: "a", Weight: 1, Cost: 1, WaitLimit: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	_, err = a.Admit(context.Background(), Request{Pool: "m", Customer: "b", Weight: 1, Cost: 1, WaitLimit: time.Millisecond})
	var busy *NoCapacityError
	if !errors.Is(err, ErrNoCapacity) || !errors.As(err, &busy) || busy.RetryAfter <= 0 {
		t.Errorf("Admit with every slot held: %v, want ErrNoCapacity with a retry delay", err)
	}
	release()
	release() // has no effect
	if running, waiting := a.Load("m"); running != 0 || waiting != 0 {
		t.Errorf("after release: %d running, %d waiting; want none", running, waiting)
	}
}
