package timer

import (
	"math"
	"testing"
	"time"
)

// TestSeconds guards against durations that differ with the processor, where the conversion of a number
// out of range is not defined, and sums that overflow.
func TestSeconds(t *testing.T) {
	const bound = 100_000_000 * time.Second
	for _, c := range []struct {
		seconds float64
		want    time.Duration
	}{
		{0, 0}, {1.5, 1500 * time.Millisecond}, {-2, -2 * time.Second}, {1e-10, 0}, {1e8, bound}, {1e8 + 1, bound}, {-1e8 - 1, -bound},
		{9.3e9, bound}, {1e300, bound}, {-1e300, -bound}, {math.MaxFloat64, bound}, {math.Inf(1), bound}, {math.Inf(-1), -bound}, {math.NaN(), 0},
	} {
		if got := Seconds(c.seconds); got != c.want {
			t.Errorf("Seconds(%v) = %v, want %v", c.seconds, got, c.want)
		}
	}
	if Seconds(math.Inf(1))*64 < 0 {
		t.Error("64 times the bound overflows")
	}
}
