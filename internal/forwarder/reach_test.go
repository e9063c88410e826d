package forwarder

import (
	"testing"
	"time"
)

// TestSilentRegion cuts a region off while it owes answers. It must be left within a
// second, asked now and then whether it is there, and used again as soon as it answers.
func TestSilentRegion(t *testing.T) {
	x := &reach{}
	now := time.Hour
	silent := func() bool { s, _ := x.silent("far", now); return s }
	x.ask("far", now)
	now += 300 * time.Millisecond
	if silent() {
		t.Error("silent although the way there and back takes as long")
	}
	x.hear("far", now)
	now += time.Minute
	if silent() {
		t.Error("silent although nothing is owed")
	}
	x.ask("far", now)
	x.ask("far", now+600*time.Millisecond)
	now += time.Second
	if !silent() {
		t.Error("a region that owes a word for 1s is still used")
	}
	asked := 0
	for range 100 {
		now += 50 * time.Millisecond
		if _, hello := x.silent("far", now); hello {
			asked++
		}
	}
	if asked < 5 || asked > 12 {
		t.Errorf("asked %d times in 5s", asked)
	}
	if !x.hear("far", now) || silent() {
		t.Error("not used again after a word")
	}
}
