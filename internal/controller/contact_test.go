package controller

import (
	"testing"
	"time"
)

// TestContacts guards against vouching for control hosts that may have acknowledged something that nobody
// else knows: those that are out of contact, or were until lately, and those before a leader's own time.
func TestContacts(t *testing.T) {
	var x contacts
	now := time.Hour
	others := []string{"a", "b"}
	play := func(d time.Duration, inContact ...string) {
		for range d / (100 * time.Millisecond) {
			now += 100 * time.Millisecond
			for _, address := range inContact {
				x.record(address, now)
			}
			x.check(others, now)
		}
	}
	check := func(when string, want bool) {
		t.Helper()
		if got := x.steady(now); got != want {
			t.Errorf("%s: steady %v, want %v", when, got, want)
		}
	}
	check("at first", false)
	play(steadyTime-100*time.Millisecond, "a", "b")
	check("a new leader", false)
	play(300*time.Millisecond, "a", "b")
	check("all in contact for a while", true)
	play(maxContactAge-200*time.Millisecond, "a")
	check("one is late", true)
	play(400*time.Millisecond, "a")
	check("one is out of contact", false)
	play(steadyTime-200*time.Millisecond, "a", "b")
	check("it is back", false)
	play(500*time.Millisecond, "a", "b")
	check("it has been back for a while", true)
	now += 2 * time.Second
	check("after a pause", false)
	play(200*time.Millisecond, "a", "b")
	check("just after a pause", false)
	others = append(others, "c")
	play(steadyTime+time.Second, "a", "b")
	check("a member that never called", false)
}
