package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// near reports whether a is b within a fraction.
func near(a, b, fraction float64) bool { return math.Abs(a-b) <= fraction*b }

// TestFalseEstimatesAreCorrected guards against callers whose estimates are three times too low or too high, always
// or only for the large requests, and that are placed as if they were right: after 24 answers the customer's median
// must be within a quarter. Others on the route must not notice.
func TestFalseEstimatesAreCorrected(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 7))
	var o Outputs
	honest := Key{Route: "r", Customer: "honest", Hint: 300, Max: 4096}
	now := time.Hour
	for _, c := range []struct {
		customer string
		factor   func(hint int64) float64
	}{
		{"low", func(int64) float64 { return 3 }},
		{"high", func(int64) float64 { return 1.0 / 3 }},
		{"large", func(hint int64) float64 { return map[bool]float64{true: 6, false: 1}[hint < 100] }},
	} {
		for range 24 {
			for _, hint := range []int64{50, 300} {
				k := Key{Route: "r", Customer: c.customer, Hint: hint, Max: 4096}
				o.Observe(k, int64(float64(hint)*c.factor(hint)*math.Exp2(random.NormFloat64()*0.3)), now)
			}
			o.Observe(honest, int64(300*math.Exp2(random.NormFloat64()*0.3)), now)
		}
		for _, hint := range []int64{50, 300} {
			want := float64(hint) * c.factor(hint)
			if got := o.Output(Key{Route: "r", Customer: c.customer, Hint: hint, Max: 4096}, now); !near(got.Median, want, 0.25) || got.High < want {
				t.Errorf("%s, estimate of %d: median %.0f, high %.0f, want %.0f within 25 %%", c.customer, hint, got.Median, got.High, want)
			}
		}
	}
	if got := o.Output(honest, now); !near(got.Median, 300, 0.25) {
		t.Errorf("an honest customer's median is %.0f, want 300 within 25 %%", got.Median)
	}
	for range 1000 {
		o.Observe(Key{Route: "r", Customer: "low", Hint: 300, Max: 4096}, 900, now)
	}
	if got := o.Output(Key{Route: "r", Customer: "new", Hint: 300, Max: 4096}, now); got.Median > 500 {
		t.Errorf("a new customer's median is %.0f after 1,000 false estimates of another, want at most 500", got.Median)
	}
}

// TestPriorOfANewKey guards against a restarted host or a new route for which nothing, or nothing finite, is expected.
func TestPriorOfANewKey(t *testing.T) {
	var o Outputs
	for _, c := range []struct {
		k              Key
		median, within float64
	}{
		{Key{Hint: 200, Max: 4096}, 200, 0.2}, {Key{Hint: 200}, 200, 0.2}, {Key{Max: 4096}, 1024, 0.2}, {Key{}, unknownOutput / 4, 0.2},
		{Key{Hint: math.MaxInt64, Max: 100}, 100, 0.2}, {Key{Hint: 1, Max: math.MaxInt64}, 1, 0.2},
		{Key{Max: math.MaxInt64}, MaxTokens / 4, 0.2}, {Key{Hint: math.MaxInt64}, MaxTokens, 0.2},
	} {
		got := o.Output(c.k, 0)
		if !near(got.Median, c.median, c.within) || got.High < got.Median || got.High > MaxTokens || math.IsInf(got.Mean, 0) || math.IsInf(got.Max, 0) || got.Samples != 0 {
			t.Errorf("%+v: %+v, want a median of %.0f", c.k, got, c.median)
		}
	}
}

// TestChangedLengthsAreFollowed guards against a customer whose answers become ten times as long within a second, and
// whose history outweighs that for minutes: after as many requests as a level keeps, the median must have followed.
func TestChangedLengthsAreFollowed(t *testing.T) {
	var o Outputs
	k := Key{Route: "r", Customer: "c", Max: 4096}
	for range 10_000 {
		o.Observe(k, 50, 0)
	}
	for range maxLevelWeight {
		o.Observe(k, 500, time.Second)
	}
	if got := o.Output(k, time.Second); !near(got.Median, 500, 0.2) {
		t.Errorf("median %.0f after %d answers of 500 tokens", got.Median, maxLevelWeight)
	}
}

// TestHistoryIsBounded guards against memory that grows with the number of customers, of which there are 42,000, and
// with the sizes of their estimates; and against a large customer whose history the others displace.
func TestHistoryIsBounded(t *testing.T) {
	var o Outputs
	large := Key{Route: "r", Customer: "large", Hint: 100, Max: 4096}
	for i := range 42_000 {
		now := time.Duration(i) * time.Millisecond
		o.Observe(Key{Route: "r", Customer: fmt.Sprint(i), Hint: int64(i), Max: 4096}, 100, now)
		if i%20 == 0 {
			o.Observe(large, 400, now)
		}
	}
	if o.Len() > maxLevels {
		t.Errorf("%d levels kept, want at most %d", o.Len(), maxLevels)
	}
	if got := o.Output(large, 42*time.Second); !near(got.Median, 400, 0.25) {
		t.Errorf("median of the large customer %.0f, want 400", got.Median)
	}
	if got := o.Output(large, 42*time.Second+2*maxLevelAge); !near(got.Median, 100, 0.2) {
		t.Errorf("median %.0f from a history of twice the largest age, want the prior's 100", got.Median)
	}
}

// TestLongAnswerStaysExpected guards against an answer that is longer than expected and counts as no work at all.
func TestLongAnswerStaysExpected(t *testing.T) {
	o := Output{Mean: 100, Median: 90, High: 200, Max: 1000}
	for _, c := range []struct{ emitted, want float64 }{{0, 100}, {60, 40}, {100, 100}, {150, 50}, {200, 400}, {900, 50}, {1000, 1}, {2000, 1}} {
		if got := o.left(c.emitted); got != c.want {
			t.Errorf("after %v tokens %v are expected, want %v", c.emitted, got, c.want)
		}
	}
}
