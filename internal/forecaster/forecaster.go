package forecaster

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// Fraction of a caller's remaining time up to which it waits as told; callers ignore longer delays.
	maxDelayFraction = 1.0 / 3
	// Longest delay that callers are told: requests are remembered for 30 s.
	maxDelay = 25 * time.Second
	// Fraction of the longest delay within which callers are told a time without a place, so that they
	// do not return together.
	noPlaceSpread = 0.1
	// MinDelay is the shortest delay that callers are told, unless their remaining time is shorter: two
	// intervals of the dispatch of waiting requests.
	MinDelay = 100 * time.Millisecond
	// PassedAfter is the time after a promised one at which the place is given up: a round trip between
	// regions and a new connection.
	PassedAfter = 500 * time.Millisecond
	// DueWithin is the time before and after a promised one in which a slot is held for it: one interval of
	// the dispatch of waiting requests. Many callers return to other hosts.
	DueWithin = 50 * time.Millisecond
	// Fraction of the slots that are promised. The rest is left to newcomers, which can still meet their
	// objectives: under a lasting overload all would be late otherwise.
	promisedFraction = 0.3
	// Largest number of promises that are pending, at some 50 bytes each.
	maxPromises = 1024
	// Longest wait that a forecast states.
	maxWait = time.Minute
)

// Position is the place of a request in the order: by rank, then by start tag.
type Position struct {
	Rank  int
	Start float64
}

func (p Position) precedes(q Position) bool {
	return p.Rank < q.Rank || p.Rank == q.Rank && p.Start <= q.Start
}

// Supply is what this host may use of a pool: free slots, and slots that become free for its requests
// per second.
type Supply struct{ Free, Rate float64 }

// Promise is a time at which a refused caller was told to return.
type Promise struct {
	Key      uint64 // of the request
	Position Position
	// Customer, Weight and Cost are what its customer was charged for the place.
	Customer string
	Weight   float64
	Cost     time.Duration
	// At is the time that was told; From is the beginning of the place of the forecast, which is as long as
	// Length.
	At, From, Length time.Duration
}

// Forecast holds the promises of one pool. The zero value has none. It is not safe for concurrent use.
type Forecast struct {
	// Random returns a number in [0, 1).
	Random func() float64

	promises []Promise // sorted by From
	// Counts of promises made, used by the return of the caller in time or too early, and passed unused.
	Made, Kept, Early, Passed uint64
}

// Pending returns the number of pending promises.
func (f *Forecast) Pending() int { return len(f.promises) }

// Expire gives up the places of promises that have passed, and returns them.
func (f *Forecast) Expire(now time.Duration) []Promise {
	var passed []Promise
	f.promises = slices.DeleteFunc(f.promises, func(p Promise) bool {
		if now <= p.At+PassedAfter {
			return false
		}
		passed = append(passed, p)
		return true
	})
	f.Passed += uint64(len(passed))
	return passed
}

// Wait returns how long a request is expected to wait for a slot behind the given number of waiting
// requests and the promises that come before it.
func (f *Forecast) Wait(s Supply, p Position, ahead float64, now time.Duration) time.Duration {
	places := ahead + 1 - s.Free
	for _, x := range f.promises {
		if x.From > now+interval(s.Rate, places) {
			break
		}
		if x.Position.precedes(p) {
			places++
		}
	}
	return interval(s.Rate, places)
}

// interval returns the time in which a number of slots becomes free.
func interval(rate, places float64) time.Duration {
	if places <= 0 {
		return 0
	}
	if seconds := places / rate; seconds < maxWait.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return maxWait
}

// Held returns the number of promises that come before a request and are due now.
func (f *Forecast) Held(p Position, now time.Duration) int {
	n := 0
	for _, x := range f.promises {
		if x.From > now+DueWithin {
			break
		}
		if x.Position.precedes(p) && x.At <= now+DueWithin && now <= x.At+DueWithin {
			n++
		}
	}
	return n
}

// Promise chooses the time at which a refused caller is to return, remaining being the time to its deadline, and
// returns x with it. It returns false if no place of the forecast is early enough: nothing is then promised, and the
// time is the latest that a caller waits for.
func (f *Forecast) Promise(x Promise, s Supply, ahead float64, remaining, now time.Duration) (Promise, bool) {
	latest := now + min(maxDelay, time.Duration(max(0, float64(remaining)*maxDelayFraction)))
	x.Length = interval(s.Rate, 1/promisedFraction)
	x.From = now + max(MinDelay, interval(s.Rate, ahead+1-s.Free))
	for _, y := range f.promises {
		if y.From >= x.From+x.Length {
			break
		}
		if y.Position.precedes(x.Position) {
			x.From = max(x.From, y.From+y.Length)
		}
	}
	if x.From >= latest || len(f.promises) >= maxPromises {
		x.At = latest - time.Duration(f.random()*noPlaceSpread*float64(latest-now))
		return x, false
	}
	x.At = x.From + time.Duration(f.random()*float64(min(x.Length, latest-x.From)))
	i, _ := slices.BinarySearchFunc(f.promises, x, func(a, b Promise) int { return cmp.Compare(a.From, b.From) })
	f.promises = slices.Insert(f.promises, i, x)
	f.Made++
	return x, true
}

func (f *Forecast) random() float64 {
	if f.Random == nil {
		return 0
	}
	return f.Random()
}

// Drop gives up the place of a request, and returns it; false if it has none.
func (f *Forecast) Drop(key uint64) (Promise, bool) {
	i := slices.IndexFunc(f.promises, func(x Promise) bool { return x.Key == key })
	if i < 0 {
		return Promise{}, false
	}
	x := f.promises[i]
	f.promises = slices.Delete(f.promises, i, i+1)
	return x, true
}

// Flow is a moving average of a rate of events.
type Flow struct {
	rate float64
	at   time.Duration
}

// flowTime is the time constant of Flow: loads rise and fall within two seconds.
const flowTime = time.Second

// Add counts n events.
func (l *Flow) Add(n float64, now time.Duration) {
	l.rate = l.Rate(now) + n/flowTime.Seconds()
	l.at = now
}

// Rate returns the events per second.
func (l *Flow) Rate(now time.Duration) float64 {
	return l.rate * math.Exp(-float64(now-l.at)/float64(flowTime))
}
