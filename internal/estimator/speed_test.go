package estimator

import (
	"math/rand/v2"
	"testing"
	"time"
)

// feed records events of one request each 5 steps on v, whose process takes base and slope for a step, times factor.
func feed(v *Speed, now time.Duration, d time.Duration, base, slope time.Duration, factor float64, random *rand.Rand) time.Duration {
	for end := now + d; now < end; {
		batch := 1 + random.IntN(16)
		gap := time.Duration(5 * float64(base+slope*time.Duration(batch)) * factor * (0.9 + 0.2*random.Float64()))
		now += gap
		v.observeStep(gap, 5, batch, now)
	}
	return now
}

// TestStepTimeIsLearned guards against engines of which one is 2.2 times as slow as the other and that get the same
// number of requests: after 30 events each, the estimates must be within a tenth, at batches that were not seen too.
func TestStepTimeIsLearned(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 7))
	pool := &Speed{}
	for _, factor := range []float64{1, 2.2} {
		v := &Speed{Pool: pool}
		feed(v, time.Hour, time.Duration(factor*30*5*7)*time.Millisecond, 6*time.Millisecond, 200*time.Microsecond, factor, random)
		for _, batch := range []int{1, 8, 16} {
			want := factor * (6 + 0.2*float64(batch))
			if got := v.Step(batch).Seconds() * 1000; !near(got, want, 0.12) {
				t.Errorf("%.1f times as slow, batch %d: step of %.2f ms, want %.2f within 12 %%", factor, batch, got, want)
			}
		}
	}
}

// TestSlowSpellIsTemporary guards against an engine that is slow for half a second, as all are at times, and counts as
// a slow engine for long after; and against one that has become slow and never counts as such.
func TestSlowSpellIsTemporary(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 7))
	v := &Speed{Pool: &Speed{}}
	now := feed(v, time.Hour, 2*time.Second, 6*time.Millisecond, 0, 1, random)
	usual := v.Step(8)
	now = feed(v, now, 300*time.Millisecond, 6*time.Millisecond, 0, 4, random)
	if factor, left := v.slowdown(true, now); factor < 2 || left <= 0 || left > spellDuration {
		t.Errorf("in a slow spell: %.1f times as slow for %v", factor, left)
	}
	now = feed(v, now, 200*time.Millisecond, 6*time.Millisecond, 0, 4, random)
	if !near(v.Step(8).Seconds(), usual.Seconds(), 0.1) {
		t.Errorf("step of %v after a slow spell, %v before", v.Step(8), usual)
	}
	now = feed(v, now, 300*time.Millisecond, 6*time.Millisecond, 0, 1, random)
	if factor, _ := v.slowdown(true, now); factor != 1 {
		t.Errorf("%.1f times as slow 0.3 s after the spell", factor)
	}
	now = feed(v, now, 6*time.Second, 6*time.Millisecond, 0, 4, random)
	if got := v.Step(8).Seconds() * 1000; got < 18 {
		t.Errorf("step of %.1f ms after 6 s at 24 ms", got)
	}
	if factor, _ := v.slowdown(true, now); factor > spellRatio {
		t.Errorf("a slow engine counts as %.1f times as slow as usual", factor)
	}
}

// TestSilentEngineIsSlow guards against an engine that emits nothing at all for a while and looks as fast as before.
func TestSilentEngineIsSlow(t *testing.T) {
	v := &Speed{Pool: &Speed{}}
	now := feed(v, time.Hour, time.Second, 6*time.Millisecond, 0, 1, rand.New(rand.NewPCG(1, 7)))
	if factor, left := v.slowdown(true, now+300*time.Millisecond); factor < overdueFactor || left <= 0 {
		t.Errorf("%.1f times as slow for %v after 0.3 s without an event", factor, left)
	}
	if factor, _ := v.slowdown(false, now+300*time.Millisecond); factor != 1 {
		t.Errorf("%.1f times as slow without an event due", factor)
	}
}

// TestStretch guards against work that a short spell delays by more than the spell lasts.
func TestStretch(t *testing.T) {
	for _, c := range []struct {
		d, left time.Duration
		factor  float64
		want    time.Duration
	}{
		{100, 1000, 1, 100}, {100, 1000, 4, 400}, {100, 200, 4, 250}, {1000, 200, 4, 1150},
	} {
		if got := stretch(c.d*time.Millisecond, c.factor, c.left*time.Millisecond); got != c.want*time.Millisecond {
			t.Errorf("%d ms of work, %.0f times as slow for %d ms, takes %v, want %d ms", c.d, c.factor, c.left, got, c.want)
		}
	}
}

// TestPrefillSpeedIsLearned guards against engines whose prompts take 2.2 times as long as assumed, or half as long:
// the estimate must be within a quarter after 30 first events, of which some waited for others' prompts.
func TestPrefillSpeedIsLearned(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 7))
	for _, perSecond := range []float64{14_700, 32_400, 80_000} {
		v := &Speed{Pool: &Speed{}}
		for i := range 30 {
			d := time.Duration(3000 / perSecond * float64(time.Second))
			if random.IntN(4) == 0 {
				d *= 2
			}
			v.observePrefill(d+20*time.Millisecond, 20*time.Millisecond, 3000, time.Hour+time.Duration(i)*time.Second)
		}
		if got := 1 / v.prefillPerToken(); !near(got, perSecond, 0.25) {
			t.Errorf("%.0f tokens a second, want %.0f within a quarter", got, perSecond)
		}
	}
}
