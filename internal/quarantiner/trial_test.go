package quarantiner

import (
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestWrongQuarantineEnds guards against refusing sound requests for an hour because a quarantined part does
// not crash upstreams, as all requests are refused that could show it: with one, eight and 300 hosts, while
// leaders change, and after restarts.
func TestWrongQuarantineEnds(t *testing.T) {
	const limit = 20 * time.Second // the first trial, with time for a host to use it and to report
	for _, c := range disturbances {
		for seed := range uint64(5) {
			f := newFleet(seed, c.controls, c.entries)
			f.controls[f.leader].register.Merge([]*schema.QuarantinedPart{{Part: PartKey("base"), Number: 1, Left: QuarantineTime.Seconds()}})
			steps, refused := 0, 0
			for range 5 * time.Second / testStep { // all hosts receive the decision
				steps++
				f.step()
			}
			for range (limit + 10*time.Second) / testStep {
				steps++
				c.disturb(f, steps)
				f.step()
				for range 1 + c.entries/40 {
					if !f.send(false, "base") && time.Duration(steps)*testStep > limit {
						refused++
					}
				}
			}
			if refused > 0 {
				t.Errorf("%s, seed %d: %d sound requests refused later than %v after the quarantine began", c.name, seed, refused, limit)
			}
		}
	}
}

// TestTrialsAreFew guards against trials that cost more upstreams than they are worth: within a quarter of an
// hour, a part that crashes upstreams is tried at two.
func TestTrialsAreFew(t *testing.T) {
	for _, entries := range []int{1, 30} {
		f := newFleet(1, 3, entries)
		f.controls[f.leader].register.Merge([]*schema.QuarantinedPart{{Part: PartKey("bad"), Number: 1, Left: QuarantineTime.Seconds()}})
		for range 5 * time.Second / testStep {
			f.step()
		}
		crashes := 0
		for range 15 * time.Minute / testStep {
			f.step()
			crashes += f.sendTwice("base", "bad")
		}
		if want := len(trialDelays); crashes != want {
			t.Errorf("%d hosts: %d upstreams ended, want %d", entries, crashes, want)
		}
	}
}

// TestTrialExpires guards against a trial that is used long after it was granted, when its result would not
// be asked for.
func TestTrialExpires(t *testing.T) {
	f := newFleet(1, 1, 1)
	g := f.entries[0].register
	g.offerTrial(7)
	f.clock.Advance(trialTime + time.Second)
	if g.TakeTrial(7) {
		t.Error("a trial was used after its time")
	}
	g.offerTrial(7)
	if !g.TakeTrial(7) || g.TakeTrial(7) {
		t.Error("a trial is not for just one request")
	}
}

// TestRetryAfterOfQuarantine guards against callers that are told to stay away for an hour although a trial may end the
// quarantine in a few seconds, and against callers that return for trials that nobody grants.
func TestRetryAfterOfQuarantine(t *testing.T) {
	const left = QuarantineTime
	for _, c := range []struct {
		name string
		part *schema.QuarantinedPart
		age  time.Duration
		want time.Duration
	}{
		{"before the first trial", &schema.QuarantinedPart{Weighed: true}, 4 * time.Second, 6*time.Second + outcomeTime},
		{"the first trial is due", &schema.QuarantinedPart{Weighed: true}, 12 * time.Second, outcomeTime},
		{"the first trial is under way", &schema.QuarantinedPart{Weighed: true, Trials: 1}, 0, outcomeTime},
		{"after the first trial", &schema.QuarantinedPart{Weighed: true, Trials: 1}, time.Minute, 9*time.Minute + outcomeTime},
		{"after the last trial", &schema.QuarantinedPart{Weighed: true, Trials: 2}, 20 * time.Minute, left - 20*time.Minute},
		{"nobody grants trials", &schema.QuarantinedPart{Weighed: true}, time.Minute, left - time.Minute},
		{"decided by a host of an earlier version", &schema.QuarantinedPart{}, 4 * time.Second, left - 4*time.Second},
	} {
		f := newFleet(1, 1, 1)
		g := f.entries[0].register
		c.part.Part, c.part.Number, c.part.Left = 7, 1, left.Seconds()
		g.Merge([]*schema.QuarantinedPart{c.part})
		f.clock.Advance(c.age)
		_, got, _ := g.FindIn([]Part{{Key: 7}}, 0)
		if diff := gocmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
	}
}
