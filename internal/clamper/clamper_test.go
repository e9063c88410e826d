package clamper

import (
	"errors"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestTo guards against a conversion whose result depends on the processor, as that of a float64 out of range does.
func TestTo(t *testing.T) {
	for x, want := range map[float64]int64{
		math.Inf(-1): -7, -1e300: -7, -7: -7, -6.9: -6, 0: 0, 2.9: 2, 1e15: 1e15, 1 << 53: 1 << 53, 1e19: math.MaxInt64, math.Inf(1): math.MaxInt64,
	} {
		if got := To(x, int64(-7), math.MaxInt64); got != want {
			t.Errorf("%v: got %d, want %d", x, got, want)
		}
	}
	if got := To(math.NaN(), int32(3), 9); got != 3 {
		t.Errorf("NaN: got %d, want 3", got)
	}
}

// TestAmount guards against amounts that become infinite or 0 in a quotient.
func TestAmount(t *testing.T) {
	for x, want := range map[float64]float64{-1: 0, 0: 0, 5e-324: minPositive, 2.5: 2.5, 1e308: MaxAmount, math.Inf(1): MaxAmount} {
		if got := Amount(x, MaxAmount); got != want {
			t.Errorf("%v: got %v, want %v", x, got, want)
		}
	}
	if got := Amount(math.NaN(), 1); got != 0 {
		t.Errorf("NaN: got %v, want 0", got)
	}
}

// TestParse guards against numbers that are refused only because float64 does not hold them, and against
// other notations than decimal ones.
func TestParse(t *testing.T) {
	for s, want := range map[string]float64{
		"0": 0, "-0.0": 0, "0e400": 0, "80": 80, "4194304.0": 4194304, "1e3": 1000, "9223372036854775807": 1 << 63, "1e19": 1e19,
		"1e400": math.MaxFloat64, "-1e400": -math.MaxFloat64, "1e-400": math.SmallestNonzeroFloat64, "-1e-400": -math.SmallestNonzeroFloat64,
	} {
		if got, err := Parse(s); got != want || err != nil {
			t.Errorf("%q: got %v, error %v, want %v", s, got, err, want)
		}
	}
	for _, s := range []string{"", "-", "e", "1e", "NaN", "Inf", "0x10", "1_0", "1 0", "١"} {
		if x, err := Parse(s); !errors.Is(err, ErrNotANumber) {
			t.Errorf("%q: got %v, error %v, want ErrNotANumber", s, x, err)
		}
	}
}

// FuzzParse requires that what is parsed stays in range, whatever is computed with it next.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"1460", "-1", "1e400", "NaN", "0x1p-2", "9223372036854775808", "1e-400"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		x, err := Parse(s)
		if math.IsNaN(x) || math.IsInf(x, 0) || err != nil && x != 0 {
			t.Fatalf("%q: got %v, error %v", s, x, err)
		}
		n := To(x, 0, int64(MaxTokens))
		if diff := cmp.Diff(Tokens(n), n); diff != "" {
			t.Errorf("%q: -want +got\n%s", s, diff)
		}
		if a := Amount(x, MaxAmount); a < 0 || a > MaxAmount || x > 0 != (a > 0) || a > 0 && math.IsInf(MaxAmount/a, 0) {
			t.Errorf("%q: amount %v", s, a)
		}
	})
}
