package prober

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// answer is how a test's upstream treats connections.
type answer int

const (
	accepts answer = iota
	refuses
	hangs
	panics
)

var errRefused = errors.New("refused")

// testProber is a Prober with upstreams that are not there and a clock driven by hand. It is used in a synctest bubble.
type testProber struct {
	*Prober
	hanging chan context.Context // of probes that hang

	mu      sync.Mutex
	answers []answer // of upstreams; guarded by mu
	opens   int      // guarded by mu
	changes []string // guarded by mu
}

func newTestProber(answers ...answer) *testProber {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	x := &testProber{answers: answers, hanging: make(chan context.Context, 1000)}
	x.Prober = &Prober{Timer: clock, Log: zerolog.Nop(), Addresses: x.addresses, Open: x.open, OnChange: func(isolated bool) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.changes = append(x.changes, fmt.Sprint(clock.Now()-time.Hour, " ", stateName(isolated)))
	}}
	return x
}

func (x *testProber) addresses() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var all []string
	for i := range x.answers {
		all = append(all, fmt.Sprint(i))
	}
	return all
}

func (x *testProber) open(ctx context.Context, address string) error {
	var i int
	if _, err := fmt.Sscan(address, &i); err != nil {
		return err
	}
	x.mu.Lock()
	a := x.answers[i]
	x.opens++
	x.mu.Unlock()
	switch a {
	case accepts:
		return nil
	case panics:
		panic("open")
	case hangs:
		x.hanging <- ctx
		<-ctx.Done()
		return ctx.Err()
	}
	return errRefused
}

func (x *testProber) set(answers ...answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.answers = answers
}

// settle waits until no round is in progress. The clock advances to the timeout of probes that hang.
func (x *testProber) settle() {
	for {
		synctest.Wait()
		select {
		case ctx := <-x.hanging:
			if ctx.Err() == nil {
				x.Timer.Advance(probeTimeout)
			}
		default:
			return
		}
	}
}

// run lets time pass, from one check to the next.
func (x *testProber) run(d time.Duration) {
	for end := x.Timer.Now() + d; x.Timer.Now() < end; {
		x.Timer.Advance(checkInterval - x.Timer.Now()%checkInterval)
		x.settle()
	}
}

// TestIsolation guards against hosts that count as isolated though an upstream accepts connections, and against hosts
// that do not learn that none does, or that one does again.
func TestIsolation(t *testing.T) {
	fail := func(x *testProber) {
		x.RecordFailed()
		x.settle()
		x.run(time.Second)
	}
	silence := func(x *testProber) {
		x.RecordSent()
		x.run(2 * time.Second)
	}
	for _, c := range []struct {
		name    string
		answers []answer
		play    func(*testProber)
		want    []string
	}{
		{"nothing is sent", []answer{refuses, refuses, refuses}, func(x *testProber) { x.run(5 * time.Second) }, nil},
		{"upstreams are slow", []answer{accepts, accepts, accepts}, silence, nil},
		{"upstreams are slow, most refuse", []answer{refuses, accepts, refuses}, silence, nil},
		{"silence, all refuse", []answer{refuses, refuses, refuses}, silence, []string{"300ms isolated"}},
		{"silence, all hang", []answer{hangs, hangs, hangs}, silence, []string{"800ms isolated"}},
		{"silence is over, all refuse", []answer{refuses, refuses, refuses}, func(x *testProber) {
			x.RecordSent()
			x.run(200 * time.Millisecond)
			x.RecordReceived()
			x.run(5 * time.Second)
		}, nil},
		{"the first of many requests counts", []answer{refuses, refuses, refuses}, func(x *testProber) {
			for range 10 {
				x.RecordSent()
				x.run(checkInterval)
			}
		}, []string{"300ms isolated"}},
		{"a connection fails, all refuse", []answer{refuses, refuses, refuses, refuses, refuses}, fail, []string{"0s isolated"}},
		{"a connection fails, all hang", []answer{hangs, hangs, hangs, hangs}, fail, []string{"500ms isolated"}},
		{"a connection fails, some refuse and some hang", []answer{hangs, refuses, hangs}, fail, []string{"500ms isolated"}},
		{"a connection fails, one of many refuses", []answer{accepts, accepts, refuses, accepts}, fail, nil},
		{"a connection fails, one of three accepts", []answer{refuses, accepts, refuses}, fail, nil},
		{"a connection fails, one of many accepts", []answer{refuses, refuses, refuses, refuses, accepts, refuses, refuses}, fail, nil},
		{"a connection fails, the only upstream refuses", []answer{refuses}, fail, []string{"0s isolated"}},
		{"a connection fails, no upstream is known", nil, fail, nil},
		{"a connection fails just after a round", []answer{accepts}, func(x *testProber) {
			x.RecordFailed()
			x.settle()
			x.set(refuses)
			x.Timer.Advance(failureInterval / 2)
			x.RecordFailed()
			x.run(time.Second)
		}, []string{"100ms isolated"}},
		{"a probe panics", []answer{panics, accepts, refuses}, fail, nil},
		{"an upstream accepts again", []answer{refuses, refuses, refuses}, func(x *testProber) {
			fail(x)
			x.set(refuses, accepts, refuses)
			x.run(time.Second)
		}, []string{"0s isolated", "1.2s connected"}},
		{"no upstream is left while isolated", []answer{refuses}, func(x *testProber) {
			fail(x)
			x.set()
			x.run(time.Second)
		}, []string{"0s isolated", "1.2s connected"}},
		{"upstreams go and come", []answer{refuses, refuses}, func(x *testProber) {
			for range 3 {
				x.set(refuses, refuses)
				x.RecordFailed()
				x.settle()
				x.set(accepts, accepts)
				x.run(time.Second)
			}
		}, []string{"0s isolated", "300ms connected", "1s isolated", "1.3s connected", "2s isolated", "2.3s connected"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newTestProber(c.answers...)
				defer x.Start()()
				c.play(x)
				if diff := cmp.Diff(c.want, x.changes); diff != "" {
					t.Errorf("-want +got\n%s", diff)
				}
				if want := len(c.want)%2 == 1; x.Isolated() != want {
					t.Errorf("isolated: %v, want %v", x.Isolated(), want)
				}
			})
		})
	}
}

// TestPanicLeavesState guards against a round that ends in a panic and changes what is known, or is never over.
func TestPanicLeavesState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTestProber(refuses)
		defer x.Start()()
		x.Addresses = func() []string { panic("addresses") }
		if x.Confirm(t.Context()) {
			t.Error("isolated after a panic")
		}
		x.Addresses = x.addresses
		if !x.Confirm(t.Context()) {
			t.Error("not isolated though the only upstream refuses")
		}
		x.Addresses = func() []string { panic("addresses") }
		x.run(time.Second)
		if !x.Isolated() {
			t.Error("connected after a panic")
		}
	})
}

// TestProbesAreBounded guards against probes in numbers that grow with those of failures, requests or upstreams.
func TestProbesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accept, refuse := make([]answer, 100), make([]answer, 100)
		for i := range refuse {
			refuse[i] = refuses
		}
		const duration, failures = 2 * time.Second, 200
		for _, c := range []struct {
			name    string
			answers []answer
			act     func(*testProber)
			most    int
		}{
			{"connections fail", accept, func(x *testProber) { x.RecordFailed() }, probeCount * int(duration/failureInterval+1)},
			{"silence", accept, func(x *testProber) { x.RecordSent() }, int(duration/silenceInterval + 1)},
			{"isolated", refuse, func(x *testProber) { x.RecordFailed() }, confirmCount + probeCount*int(duration/restoreInterval+1)},
		} {
			x := newTestProber(c.answers...)
			stop := x.Start()
			for range failures {
				c.act(x)
				x.settle()
				x.Timer.Advance(duration / failures)
				x.settle()
			}
			stop()
			if n := x.opens; n > c.most {
				t.Errorf("%s: %d probes in %v, want at most %d", c.name, n, duration, c.most)
			}
		}
	})
}

// TestConfirmJoinsRound guards against a round for each of many connections that fail at the same time.
func TestConfirmJoinsRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTestProber(hangs)
		x.RecordFailed()
		<-x.hanging
		results := make(chan bool)
		const calls = 10
		for range calls {
			go func() { results <- x.Confirm(t.Context()) }()
		}
		x.Timer.Advance(probeTimeout)
		x.settle()
		for range calls {
			if !<-results {
				t.Error("not isolated though the only upstream hangs")
			}
		}
		if n := x.opens; n != 2 {
			t.Errorf("%d probes, want 2: the first is confirmed by another", n)
		}
	})
}

// TestConfirmAfterAcceptance guards against taking an upstream's acceptance of a connection from before a refusal for a
// sign that the host still reaches upstreams: it then accuses all of them of having ended.
func TestConfirmAfterAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTestProber(accepts, accepts, accepts)
		if x.Confirm(t.Context()) {
			t.Fatal("isolated though all upstreams accept")
		}
		x.Timer.Advance(time.Millisecond)
		x.set(refuses, refuses, refuses)
		if !x.Confirm(t.Context()) {
			t.Error("not isolated though all upstreams refuse")
		}
	})
}

// TestConfirmOutlivesRound guards against an answer by a round in progress in which an upstream still accepted a
// connection, and against waiting longer than the caller's context.
func TestConfirmOutlivesRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTestProber(accepts)
		opened, release := make(chan struct{}), make(chan struct{})
		open := x.Open
		var once sync.Once
		x.Open = func(ctx context.Context, address string) error {
			first := false
			once.Do(func() { first = true })
			if first {
				close(opened)
				<-release
				return nil
			}
			return open(ctx, address)
		}
		x.RecordFailed()
		<-opened
		x.Timer.Advance(time.Millisecond)
		x.set(refuses)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		if x.Confirm(ended) {
			t.Error("isolated before the round is over")
		}
		result := make(chan bool)
		go func() { result <- x.Confirm(t.Context()) }()
		synctest.Wait() // the call waits for the round
		close(release)
		if !<-result {
			t.Error("not isolated though the only upstream refuses")
		}
	})
}

// TestWhileConnected guards against requests that wait for an upstream at a host that reaches none, and against requests
// that are ended though it does.
func TestWhileConnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTestProber(refuses)
		defer x.Start()()
		before, cancelBefore := x.WhileConnected(t.Context())
		defer cancelBefore()
		ended, cancelEnded := x.WhileConnected(t.Context())
		cancelEnded()
		called := make(chan string, 2)
		x.AfterIsolated(func() { called <- "kept" })
		if stop := x.AfterIsolated(func() { called <- "stopped" }); !stop() {
			t.Error("a call could not be stopped")
		}
		synctest.Wait()
		if before.Err() != nil {
			t.Errorf("before: %v", before.Err())
		}

		x.Confirm(t.Context())
		during, cancelDuring := x.WhileConnected(t.Context())
		defer cancelDuring()
		x.AfterIsolated(func() { called <- "during" })
		for name, ctx := range map[string]context.Context{"before": before, "during": during} {
			<-ctx.Done()
			if !errors.Is(context.Cause(ctx), ErrIsolated) {
				t.Errorf("%s: ended by %v, want %v", name, context.Cause(ctx), ErrIsolated)
			}
		}
		if errors.Is(context.Cause(ended), ErrIsolated) {
			t.Errorf("context that was canceled before: ended by %v", context.Cause(ended))
		}
		got := map[string]bool{<-called: true, <-called: true}
		if diff := cmp.Diff(map[string]bool{"kept": true, "during": true}, got); diff != "" {
			t.Errorf("calls: -want +got\n%s", diff)
		}

		x.set(accepts)
		x.run(time.Second)
		after, cancelAfter := x.WhileConnected(t.Context())
		synctest.Wait()
		if after.Err() != nil {
			t.Errorf("after: %v", context.Cause(after))
		}
		x.set(refuses)
		x.Confirm(t.Context())
		<-after.Done()
		if !errors.Is(context.Cause(after), ErrIsolated) {
			t.Errorf("after: ended by %v, want %v", context.Cause(after), ErrIsolated)
		}
		cancelAfter()
	})
}

// TestReceiving guards against ending requests on connections that go on while new ones are refused.
func TestReceiving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTestProber(refuses)
		if x.Receiving() {
			t.Error("receiving, nothing was received")
		}
		x.RecordReceived()
		x.Confirm(t.Context())
		x.Timer.Advance(SilenceTime - 1)
		if !x.Receiving() {
			t.Error("not receiving though something was received")
		}
		x.Timer.Advance(1)
		if x.Receiving() {
			t.Errorf("receiving, the last receipt is %v old", SilenceTime)
		}
	})
}

// TestNilProber guards against panics where no Prober is set.
func TestNilProber(t *testing.T) {
	var p *Prober
	p.RecordSent()
	p.RecordReceived()
	p.RecordFailed()
	ctx, cancel := p.WhileConnected(t.Context())
	defer cancel()
	if p.Isolated() || p.Confirm(t.Context()) || ctx.Err() != nil {
		t.Error("isolated without a Prober")
	}
}

// TestConcurrentUse guards against races, deadlocks and contexts that stay ended, as upstreams go and come while many
// requests use a Prober.
func TestConcurrentUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for seed := range uint64(5) {
			x := newTestProber(accepts, accepts, accepts)
			stop := x.Start()
			ctx, cancel := context.WithCancel(t.Context())
			var users sync.WaitGroup
			for range 8 {
				users.Go(func() {
					for ctx.Err() == nil {
						connected, cancel := x.WhileConnected(ctx)
						x.RecordSent()
						if x.Confirm(connected) {
							x.RecordFailed()
						}
						x.RecordReceived()
						x.AfterIsolated(func() {})()
						cancel()
					}
				})
			}
			random := rand.New(rand.NewPCG(seed, 0))
			for range 200 {
				answers := []answer{accepts, refuses, hangs}
				x.set(answers[random.IntN(3)], answers[random.IntN(3)], answers[random.IntN(3)])
				x.Timer.Advance(time.Duration(random.IntN(int(probeTimeout))))
			}
			x.set(accepts, accepts, accepts)
			cancel()
			users.Wait()
			x.run(2 * restoreInterval)
			connected, cancelConnected := x.WhileConnected(t.Context())
			if x.Isolated() || connected.Err() != nil {
				t.Errorf("seed %d: isolated: %v, context: %v", seed, x.Isolated(), connected.Err())
			}
			cancelConnected()
			stop()
		}
	})
}
