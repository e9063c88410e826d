package emulator

import (
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

func newEngine() *Engine {
	t := &timer.Service{Clock: &timer.ManualClock{}}
	return &Engine{Timer: t, Slots: 2, MemoryTokens: 10_000, ReadTokensPerSecond: 40_000, StepTime: 5 * time.Millisecond, History: &History{Window: 10 * time.Second}}
}

// submit submits a job. Once the clock has passed them, first and end hold the delays of
// its first token and of its end.
func (e *Engine) submit(parts []PromptPart, output int64) (first, end *time.Duration) {
	submittedAt := e.Timer.Now()
	first, end = new(time.Duration), new(time.Duration)
	e.Submit(&Job{
		Parts: parts, OutputTokens: output,
		OnFirstToken: func() { *first = e.Timer.Now() - submittedAt }, OnEnd: func() { *end = e.Timer.Now() - submittedAt },
	})
	return first, end
}

// TestCachedPartsAreNotReadAgain guards against a model in which cached prompt parts cost
// time, or evicted ones do not. It sends two prompts with the same shared part, then others
// until that part is evicted, then the same part again.
func TestCachedPartsAreNotReadAgain(t *testing.T) {
	e := newEngine()
	firstTokenDelay := func(shared, own string) time.Duration {
		first, _ := e.submit([]PromptPart{{shared, 4_000}, {own, 400}}, 10)
		e.Timer.Advance(time.Second)
		return *first
	}
	if d := firstTokenDelay("a", "1"); d != 115*time.Millisecond {
		t.Errorf("first token of 4,400 uncached tokens after %v, want 115ms", d)
	}
	if d := firstTokenDelay("a", "2"); d != 15*time.Millisecond {
		t.Errorf("first token of 400 tokens after a cached part came after %v, want 15ms", d)
	}
	firstTokenDelay("b", "3")
	firstTokenDelay("c", "4")
	if e.RereadTokens != 0 {
		t.Errorf("%d tokens count as read again, want 0 before the first eviction", e.RereadTokens)
	}
	if d := firstTokenDelay("a", "5"); d != 115*time.Millisecond || e.RereadTokens != 4_000 {
		t.Errorf("first token of an evicted part after %v, %d tokens read again; want 115ms and 4000", d, e.RereadTokens)
	}
}

// TestSlots guards against an engine that runs more jobs than it has slots: it submits
// three jobs to two slots, and the third one must wait until the first one ends.
func TestSlots(t *testing.T) {
	e := newEngine()
	var ends []*time.Duration
	var first *time.Duration
	for _, own := range []string{"1", "2", "3"} {
		f, end := e.submit([]PromptPart{{own, 400}}, 20)
		first, ends = f, append(ends, end)
	}
	e.Timer.Advance(time.Second)
	if *first <= *ends[0] {
		t.Errorf("first token of the third job after %v, before the end of the first job after %v", *first, *ends[0])
	}
}
