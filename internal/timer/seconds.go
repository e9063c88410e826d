package timer

import "time"

// MaxSeconds bounds what Seconds returns, either side of 0: some 3 years, so that sums and small multiples of
// such durations are in range.
const MaxSeconds = 1e8

// Seconds converts a number of seconds. Beyond MaxSeconds it returns that bound, for NaN 0.
func Seconds(s float64) time.Duration {
	if s != s {
		return 0
	}
	return time.Duration(max(-MaxSeconds, min(s, MaxSeconds)) * float64(time.Second))
}
