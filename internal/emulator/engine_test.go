package emulator

import (
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

func newEngine() *Engine {
	t := &timer.Service{Clock: &timer.Manual{}}
	return &Engine{Timer: t, Slots: 2, Tokens: 10_000, Rate: 40_000, Step: 5 * time.Millisecond, Seen: &Seen{Time: 10 * time.Second}}
}

// submit runs a job to its end and returns when its first token and its end came.
func (e *Engine) submit(parts []Part, output int64) (first, end *time.Duration) {
	begun := e.Timer.Now()
	first, end = new(time.Duration), new(time.Duration)
	e.Submit(&Job{
		Parts: parts, Output: output,
		First: func() { *first = e.Timer.Now() - begun }, End: func() { *end = e.Timer.Now() - begun },
	})
	return first, end
}

// TestKeptPartsAreNotReadAgain asks twice about one subject, then lets its part yield.
func TestKeptPartsAreNotReadAgain(t *testing.T) {
	e := newEngine()
	ask := func(subject, own string) time.Duration {
		first, _ := e.submit([]Part{{subject, 4_000}, {own, 400}}, 10)
		e.Timer.Advance(time.Second)
		return *first
	}
	if d := ask("a", "1"); d != 115*time.Millisecond {
		t.Errorf("4,400 tokens are read in %v", d)
	}
	if d := ask("a", "2"); d != 15*time.Millisecond {
		t.Errorf("400 tokens behind a kept part are read in %v", d)
	}
	ask("b", "3")
	ask("c", "4")
	if e.Again != 0 {
		t.Errorf("%d tokens count as read again before any was", e.Again)
	}
	if d := ask("a", "5"); d != 115*time.Millisecond || e.Again != 4_000 {
		t.Errorf("a part that yielded is read in %v, %d tokens count as read again", d, e.Again)
	}
}

// TestSlots gives two slots three jobs: the third one waits for an end.
func TestSlots(t *testing.T) {
	e := newEngine()
	var ends []*time.Duration
	var first *time.Duration
	for _, own := range []string{"1", "2", "3"} {
		f, end := e.submit([]Part{{own, 400}}, 20)
		first, ends = f, append(ends, end)
	}
	e.Timer.Advance(time.Second)
	if *first <= *ends[0] {
		t.Errorf("the third job of two slots begins at %v, the first one ends at %v", *first, *ends[0])
	}
}
