package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

func newBatchEngine() *BatchEngine {
	return &BatchEngine{
		Timer: &timer.Service{Clock: &timer.ManualClock{}}, Slots: 4, MemoryTokens: 10_000, ReadTokensPerSecond: 32_000,
		StepTime: 5 * time.Millisecond, StepPerRunning: time.Millisecond, Stride: 5,
	}
}

// run submits n requests at once, with a shared part if there is a name for it, and returns when each ended.
func (e *BatchEngine) run(n int, shared func(i int) string, own, output int64) []time.Duration {
	ends := make([]time.Duration, n)
	for i := range n {
		tokens := int64(0)
		j := &BatchJob{OutputTokens: output, OnEvent: func(n int64) { tokens += n }}
		j.Parts = []PromptPart{{shared(i), 2_000}, {fmt.Sprint("own", i), own}}
		j.OnEnd = func() {
			ends[i] = e.Timer.Now()
			if tokens != output {
				panic("an answer has another number of tokens")
			}
		}
		e.Submit(j)
	}
	e.Timer.Advance(time.Minute)
	return ends
}

// TestBatchSlowsSteps guards against a model in which a batch is free: more requests must end later, but sooner than
// one after another; a slow engine must be slower in all.
func TestBatchSlowsSteps(t *testing.T) {
	same := func(int) string { return "a" }
	one := newBatchEngine().run(1, same, 320, 100)[0]
	four := newBatchEngine().run(4, same, 320, 100)
	if last := four[3]; last <= one || last >= 3*one {
		t.Errorf("one request ends after %v, the last of four after %v", one, last)
	}
	e := newBatchEngine()
	e.Slowdown = func() float64 { return 2 }
	if got := e.run(1, same, 320, 100)[0]; got != 2*one {
		t.Errorf("ends after %v at half the speed, %v else", got, one)
	}
}

// TestBatchMemory guards against a model in which memory costs nothing: what does not fit waits, or is preempted and
// read again, and shared parts count once.
func TestBatchMemory(t *testing.T) {
	shared, apart := newBatchEngine(), newBatchEngine()
	shared.run(4, func(int) string { return "a" }, 1_800, 100)
	apart.run(4, func(i int) string { return fmt.Sprint(i) }, 1_800, 100)
	if shared.MaxWaiting != 0 || shared.Preempted != 0 || apart.MaxWaiting == 0 {
		t.Errorf("one part: %d waited, %d preempted; own parts: %d waited", shared.MaxWaiting, shared.Preempted, apart.MaxWaiting)
	}
	long := newBatchEngine()
	long.run(4, func(int) string { return "a" }, 1_900, 400)
	if long.Preempted == 0 || long.ReadTokens <= 2_000+4*1_900 {
		t.Errorf("%d preempted and %d tokens read, though the answers do not fit", long.Preempted, long.ReadTokens)
	}
}
