package scheduler

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// decisions returns what a Scheduler decides about requests of several kinds that need more slots than there
// are: upstreams, order, waits and retry delays. Prepare is called for the Scheduler and each request.
func decisions(prepare func(*Scheduler, *Request)) string {
	s := newScheduler(append(engines(3), plainServices(2)...)...)
	random := rand.New(rand.NewPCG(3, 5))
	s.Random = random.IntN
	var out strings.Builder
	var running []*Reservation
	var waiting []*waiter
	name := map[*waiter]int{}
	for i := range 600 {
		s.Timer.Advance(time.Duration(random.IntN(8)) * time.Millisecond)
		now := s.Timer.Now()
		if len(running) > 0 && random.IntN(10) < 3 {
			p := running[0]
			running = running[1:]
			p.RecordFirstToken()
			p.Release(Answered)
		}
		s.DispatchAll()
		for at := 0; at < len(waiting); at++ {
			x := waiting[at]
			expired := now >= x.enqueuedAt+time.Second
			switch {
			case x.reservation != nil:
				fmt.Fprintf(&out, "%d: %s after %v\n", name[x], x.reservation.Name, now-x.enqueuedAt)
				running = append(running, x.reservation)
			case expired:
				fmt.Fprintf(&out, "%d: given up, %v\n", name[x], s.cancelWait(x))
			default:
				continue
			}
			waiting = append(waiting[:at], waiting[at+1:]...)
			at--
		}
		w := &Request{Pool: "desk", Rank: i % 3, ObjectiveAt: now + time.Duration(100+random.IntN(2000))*time.Millisecond, LateOnArrival: i%7 == 0}
		if random.IntN(4) > 0 {
			w.Pool, w.InputTokens, w.OutputTokens = "engine", 800, 100
			w.Parts = []PromptPart{{ID: fmt.Sprint("shared", random.IntN(9)), Tokens: 600}, {ID: fmt.Sprint("own", i), Tokens: 200}}
		}
		w.Deadline = w.ObjectiveAt + 4*time.Second
		prepare(s, w)
		x, err := s.reserveOrEnqueue(w)
		var full *NoSlotError
		switch {
		case errors.As(err, &full):
			fmt.Fprintf(&out, "%d: refused, %v\n", i, full.RetryAfter)
		case err != nil:
			fmt.Fprintf(&out, "%d: %v\n", i, err)
		case x.reservation != nil:
			fmt.Fprintf(&out, "%d: %s\n", i, x.reservation.Name)
			running = append(running, x.reservation)
		default:
			fmt.Fprintf(&out, "%d: waits at most %v\n", i, s.waitLimit(w))
			waiting, name[x] = append(waiting, x), i
		}
	}
	return out.String()
}

// TestSwitchedOff guards against other orders, waits or retry delays where requests are not to be ordered by
// customer. The golden file was written by the code before the fair queue.
func TestSwitchedOff(t *testing.T) {
	want, err := os.ReadFile("testdata/switch.golden")
	if err != nil {
		t.Fatal(err)
	}
	describe := func(w *Request) {
		w.Customer, w.Key, w.Claim = fmt.Sprint("c", w.InputTokens%3), 7, Claim{Returned: true, Placed: true, Start: -1}
	}
	for name, prepare := range map[string]func(*Scheduler, *Request){
		"nil":   func(_ *Scheduler, w *Request) { describe(w) },
		"false": func(s *Scheduler, w *Request) { s.FairQueue = func() bool { return false }; describe(w) },
	} {
		if d := cmp.Diff(string(want), decisions(prepare)); d != "" {
			t.Errorf("FairQueue %s (-want +got):\n%s", name, d)
		}
	}
	on := decisions(func(s *Scheduler, w *Request) { s.FairQueue = func() bool { return true } })
	if on == string(want) {
		t.Error("the decisions don't depend on FairQueue")
	}
}
