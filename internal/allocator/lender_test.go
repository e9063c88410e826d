package allocator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

var errLost = errors.New("message lost")

// tree is a leader, control hosts that lend, and entry hosts that borrow from them, all on one
// clock.
type tree struct {
	now          time.Duration
	limits       Limits
	leader       *Allocator
	term         uint64
	controls     []*control
	entries      []*Bucket
	lenderOf     []int // index of the control host that an entry host borrows from
	leaderCalls  int
	borrowCalls  int
	borrowFailed int
}

type control struct {
	bucket  *Bucket
	lender  *Lender
	number  uint64
	cutOff  bool // no message passes to or from the leader
	stopped bool
}

func newTree(controls, entries int, limits Limits, slack float64) *tree {
	x := &tree{now: time.Hour, limits: limits}
	limitsOf := func(string) (Limits, bool) { return x.limits, true }
	clock := func() time.Duration { return x.now }
	x.leader = &Allocator{Now: clock, Limits: limitsOf}
	x.elect()
	for range controls {
		c := &control{bucket: &Bucket{Now: clock, Limits: limitsOf, SlackTokens: slack}}
		c.lender = &Lender{Bucket: c.bucket, Background: func(f func()) { f() }, Draw: func(_ context.Context, customer string, minTokens, maxTokens float64) (float64, time.Duration, error) {
			if c.cutOff {
				return 0, 0, errLost
			}
			x.leaderCalls++
			tokens, retry := x.leader.Lend(customer, minTokens, maxTokens)
			return tokens, retry, nil
		}}
		x.controls = append(x.controls, c)
	}
	for i := range entries {
		x.entries = append(x.entries, &Bucket{Now: clock, Limits: limitsOf, LoansOnly: true})
		x.lenderOf = append(x.lenderOf, i%controls)
	}
	return x
}

func (x *tree) elect() {
	x.term++
	x.leader.Start(x.term)
}

// report sends the report of a control host to the leader, whose reply may be lost.
func (x *tree) report(i int, replyLost bool) {
	c := x.controls[i]
	if c.cutOff || c.stopped {
		return
	}
	c.number++
	demands, number := c.bucket.Report([]string{"c"})
	a := x.leader.Allot(&schema.Peer{Name: fmt.Sprint("control", i), Incarnation: 1, Number: c.number, Demands: demands, Allotment: number})
	if !replyLost {
		c.bucket.ApplyAllotment(a, x.now)
	}
}

// take charges tokens at an entry host, which borrows those that it lacks.
func (x *tree) take(entry int, tokens float64) bool {
	b, c := x.entries[entry], x.controls[x.lenderOf[entry]]
	_, err := b.Take("c", tokens)
	var over *OverRateError
	if errors.As(err, &over) && over.RetryAfter == 0 && !c.stopped {
		x.borrowCalls++
		lent, retry, lendErr := c.lender.Lend(context.Background(), "c", over.MissingTokens, over.MissingTokens+over.DemandRate*BorrowAheadDuration.Seconds())
		if lendErr != nil {
			x.borrowFailed++
			return false
		}
		b.RecordLoan("c", lent, retry)
		err = b.RetryTake("c", tokens)
	}
	return err == nil
}

// TestRateNeverExceededThroughLenders guards against hosts that together spend more than a
// customer's rate and burst when control hosts lend to entry hosts. Callers ask three times the
// rate and the demand moves; replies are lost, control hosts stop, are cut off and come back, entry
// hosts change their lender, and leaders are replaced. What all hosts spend is bounded in every
// window.
func TestRateNeverExceededThroughLenders(t *testing.T) {
	const step, window, size = 10 * time.Millisecond, 8 * time.Second, 200.0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 2))
		x := newTree(9, 40, Limits{Rate: 10_000, Burst: 10_000}, 2_000)
		var spent []float64
		hot := 0
		for i := range 6000 {
			x.now += step
			if i%500 == 0 {
				hot = r.IntN(len(x.entries))
			}
			if i%700 == 699 {
				c := x.controls[r.IntN(len(x.controls))]
				c.cutOff = !c.cutOff
			}
			if i%1100 == 1099 {
				j := r.IntN(len(x.controls))
				x.controls[j].stopped = !x.controls[j].stopped
				if x.controls[j].stopped { // its memory is lost
					x.controls[j].bucket.customers, x.controls[j].bucket.allotmentNumber = nil, 0
				}
				for e := range x.lenderOf {
					for x.controls[x.lenderOf[e]].stopped {
						x.lenderOf[e] = r.IntN(len(x.controls))
					}
				}
			}
			if i%2500 == 2499 {
				x.elect()
			}
			sum := 0.0
			for e := range x.entries {
				if e == hot || r.IntN(40) == 0 {
					if x.take(e, size) {
						sum += size
					}
				}
			}
			for j := range x.controls {
				if (i+j*5)%20 == 0 {
					x.report(j, r.IntN(5) == 0)
				}
			}
			spent = append(spent, sum)
		}
		checkWindows(t, seed, spent, int(window/step), (10_000*window.Seconds()+10_000)*1.1+2_000)
	}
}

// TestManyHostsSmallCustomer guards against refusals that come from the number of entry hosts: a
// customer whose burst holds a few requests sends 60 % of its rate, one request after another at
// hosts that change all the time. The number of hosts must make no difference, and the leader
// must not be asked for each request.
func TestManyHostsSmallCustomer(t *testing.T) {
	for _, entries := range []int{3, 30, 300, 1000} {
		x := newTree(9, entries, Limits{Rate: 200_000, Burst: 200_000}, 110_000)
		r := rand.New(rand.NewPCG(1, uint64(entries)))
		x.now += StartDelay
		const step, size = 10 * time.Millisecond, 9_000.0
		requests, refused, due, callsBefore := 0, 0, 0.0, 0
		for i := range 3000 {
			x.now += step
			if i == 500 { // until then averages of demand are formed
				requests, refused, callsBefore = 0, 0, x.leaderCalls
			}
			for due += 0.6 * x.limits.Rate * step.Seconds(); due >= size; due -= size {
				requests++
				if !x.take(r.IntN(entries), size) {
					refused++
				}
			}
			for j := range x.controls {
				if (i+j*2)%20 == 0 {
					x.report(j, false)
				}
			}
		}
		if refused > requests/100 {
			t.Errorf("%d hosts: %d of %d requests within the rate refused", entries, refused, requests)
		}
		if calls := x.leaderCalls - callsBefore; calls > requests*6/10 {
			t.Errorf("%d hosts: %d calls to the leader for %d requests", entries, calls, requests)
		}
	}
}

// TestRegionWithoutLeader guards against a region that refuses everything while it is cut off from
// the leader: for LeaseDuration its control hosts go on lending what they were allotted.
func TestRegionWithoutLeader(t *testing.T) {
	x := newTree(9, 30, Limits{Rate: 1_000_000, Burst: 1_000_000}, 110_000)
	x.now += StartDelay
	const step, size = 10 * time.Millisecond, 3_000.0
	served, asked := 0, 0
	for i := range 800 {
		x.now += step
		if i == 500 {
			for j := range 3 {
				x.controls[j].cutOff = true
			}
		}
		for n := range 2 { // 60 % of the rate
			ok := x.take((i*2+n)%len(x.entries), size)
			if i >= 500 && x.controls[x.lenderOf[(i*2+n)%len(x.entries)]].cutOff {
				asked++
				if ok {
					served++
				}
			}
		}
		for j := range x.controls {
			if (i+j*2)%20 == 0 {
				x.report(j, false)
			}
		}
	}
	if served < asked*8/10 {
		t.Errorf("%d of %d requests served in the region that is cut off, 3 s after the cut", served, asked)
	}
}

// TestRefundAtBorrower guards against tokens of requests that did not run and are lost to the
// customer: an entry host can spend them again.
func TestRefundAtBorrower(t *testing.T) {
	x := newTree(1, 1, Limits{Rate: 1000, Burst: 1000}, 0)
	x.entries[0].RecordLoan("c", 0, 0) // an unknown account is ignored
	_, _ = x.entries[0].Take("c", 500)
	x.entries[0].RecordLoan("c", 500, 0)
	if err := x.entries[0].RetryTake("c", 500); err != nil {
		t.Fatal(err)
	}
	x.entries[0].Refund("c", 500)
	if _, err := x.entries[0].Take("c", 500); err != nil {
		t.Errorf("after the refund: %v", err)
	}
}
