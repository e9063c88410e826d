package estimator

import (
	"fmt"
	"testing"
	"time"
)

func newTestEngine() *Engine { return &Engine{Slots: 16, Tokens: 147_071, Stride: 4} }

// request returns a request with a shared part of 6,300 tokens and 2,890 of its own: 9,190 with its answer's.
func request(shared string, own int, cached bool) Request {
	r := Request{
		Parts: []Part{{shared, 6_300}, {fmt.Sprint("own", own), 2_840}}, Uncached: 9_140, Own: 2_840,
		Output: Output{Mean: 50, Median: 50, High: 50, Max: 200},
	}
	if cached {
		r.Uncached = r.Own
	}
	return r
}

// TestSharedPartsAreHeldOnce guards against an engine that counts as full although its requests share their parts, and
// against one that gets a request which makes it preempt another. Sixteen requests of 9,190 tokens need 147,040 of
// 147,071 tokens if nothing is shared, and 52,540 if all share one part.
func TestSharedPartsAreHeldOnce(t *testing.T) {
	now := time.Hour
	shared, apart := newTestEngine(), newTestEngine()
	for i := range 15 {
		r := request("a", i, i > 0)
		shared.Start(r, shared.Estimate(&r, now), now)
		r = request(fmt.Sprint(i), i, false)
		apart.Start(r, apart.Estimate(&r, now), now)
	}
	r := request("a", 16, true)
	if e := shared.Estimate(&r, now); e.Held != 6_300+15*2_890 || e.Needed != 2_890 || e.Loss != 0 {
		t.Errorf("one shared part: %d held, %d needed, %v lost", e.Held, e.Needed, e.Loss)
	}
	r = request("b", 16, false)
	if e := apart.Estimate(&r, now); e.Held != 15*9_190 || e.Needed != 9_190 || e.Loss != 0 {
		t.Errorf("no shared part: %d held, %d needed, %v lost; all fit", e.Held, e.Needed, e.Loss)
	}
	apart.SetOthers(Others{Running: 1, Held: 100, ReceivedAt: now})
	if e := apart.Estimate(&r, now); e.Loss <= 0 {
		t.Errorf("%d held and %d needed of %d: nothing lost", e.Held, e.Needed, apart.Tokens)
	}
}

// TestCountsReturnToZero guards against work, memory and counts that remain after requests ended in any order and at
// any point of their answers.
func TestCountsReturnToZero(t *testing.T) {
	g, now := newTestEngine(), time.Hour
	var runs []*Run
	for i := range 12 {
		r := request(fmt.Sprint(i%3), i, false)
		runs = append(runs, g.Start(r, g.Estimate(&r, now), now))
	}
	for i, x := range runs {
		for range i * 3 {
			now += 20 * time.Millisecond
			x.Events(4, now)
		}
	}
	for i := range runs {
		runs[(i*5)%len(runs)].End(now)
		runs[(i*5)%len(runs)].End(now)
	}
	if g.running != 0 || g.decoding != 0 || g.unread != 0 || g.OwnWork() != 0 || g.OwnHeld() != 0 || g.pinnedTokens != 0 || g.Held(now) != 0 {
		t.Errorf("left after the end: %d running, %d decoding, %d unread, work %v, held %d, pinned %d", g.running, g.decoding, g.unread, g.OwnWork(), g.OwnHeld(), g.pinnedTokens)
	}
}

// TestWorkFallsAsEventsArrive guards against work that stays until the end of a request, or that a long answer makes
// negative.
func TestWorkFallsAsEventsArrive(t *testing.T) {
	g, now := newTestEngine(), time.Hour
	r := request("a", 1, false)
	x := g.Start(r, g.Estimate(&r, now), now)
	last := g.OwnWork()
	for range 12 {
		now += 25 * time.Millisecond
		x.Events(4, now)
		if work := g.OwnWork(); work >= last || work <= 0 {
			t.Fatalf("work of %v after %d tokens, %v before", work, x.Emitted(), last)
		} else {
			last = work
		}
	}
	for range 20 {
		now += 25 * time.Millisecond
		x.Events(4, now)
		if g.OwnWork() <= 0 {
			t.Fatalf("no work after %d tokens of an answer that goes on", x.Emitted())
		}
	}
}

// TestOldReportsLoseWeight guards against other hosts' work that counts for ever once reports are lost.
func TestOldReportsLoseWeight(t *testing.T) {
	g, now := newTestEngine(), time.Hour
	g.SetOthers(Others{Running: 12, Unread: 20_000, Held: 50_000, Work: 1.5, ReceivedAt: now})
	if got := g.Work(now + 500*time.Millisecond); got != 1500*time.Millisecond {
		t.Errorf("work of %v after 0.5 s, want 1.5 s", got)
	}
	now += 5 * time.Second
	if got := g.Work(now); got > 50*time.Millisecond {
		t.Errorf("work of %v from a report of 5 s ago", got)
	}
	if g.Batch(now) != 0 || g.Held(now) > 1_000 {
		t.Errorf("%d run and hold %d tokens by a report of 5 s ago", g.Batch(now), g.Held(now))
	}
}

// TestHiddenWorkIsFound guards against an engine that has more work than any host reports, and that looks idle until
// the next report: a late first event must show it, and the error must not stay.
func TestHiddenWorkIsFound(t *testing.T) {
	g, now := newTestEngine(), time.Hour
	r := request("a", 1, false)
	before := g.Estimate(&r, now)
	x := g.Start(r, before, now)
	now += before.FirstEvent + time.Second
	x.Events(4, now)
	x.End(now)
	if e := g.Estimate(&r, now); e.FirstEvent < before.FirstEvent+400*time.Millisecond {
		t.Errorf("first event expected after %v, after %v before one came a second late", e.FirstEvent, before.FirstEvent)
	}
	if e := g.Estimate(&r, now+time.Second); e.WorkLeft != 0 {
		t.Errorf("%v of work left a second later", e.WorkLeft)
	}
}
