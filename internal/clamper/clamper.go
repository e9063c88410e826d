// Package clamper converts numbers that come from outside the process, such as those of configurations and
// headers, into ones that the rest of the code can compute with: sums and products of them stay in the range
// of their types. It does not decide whether a number is valid.
package clamper

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxTokens bounds the tokens of one request, of a part of its prompt or of its response, where times and the
// memory of an engine are computed from them.
const MaxTokens = 1 << 30

// MaxAmount bounds rates, bursts and sums of tokens. Sums of several stay below 1e12, above which hosts of all builds
// take a figure of another host for an error.
const MaxAmount = 1e11

// minPositive replaces smaller numbers above 0, so that their reciprocals stay far below the largest float64.
const minPositive = 1e-9

// ErrNotANumber is wrapped by the errors for text that is not a decimal number.
var ErrNotANumber = errors.New("clamper: not a decimal number")

// Number is a type that To converts to.
type Number interface{ ~int | ~int32 | ~int64 }

// To returns x without its fraction, within low and high; low for NaN.
func To[T Number](x float64, low, high T) T {
	switch {
	case !(x > float64(low)):
		return low
	case x >= float64(high):
		return high
	}
	return T(x)
}

// Amount returns x within 0 and high; 0 for NaN. A number above 0 stays above 0.
func Amount(x, high float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(max(x, minPositive), high)
}

// Tokens returns n within 0 and MaxTokens.
func Tokens(n int64) int64 { return max(0, min(n, MaxTokens)) }

// Parse parses a decimal number as JSON writes it. A number beyond the range of float64 becomes the largest
// one, a number other than 0 never becomes 0.
func Parse(s string) (float64, error) {
	if !isDecimal(s) {
		return 0, fmt.Errorf("%w: %.64q", ErrNotANumber, s)
	}
	x, err := strconv.ParseFloat(s, 64)
	switch {
	case math.IsInf(x, 0):
		return math.Copysign(math.MaxFloat64, x), nil
	case err != nil:
		return 0, fmt.Errorf("%w: %.64q", ErrNotANumber, s)
	case x == 0:
		if mantissa, _, _ := strings.Cut(strings.ToLower(s), "e"); strings.ContainsAny(mantissa, "123456789") {
			return math.Copysign(math.SmallestNonzeroFloat64, x), nil
		}
	}
	return x, nil
}

// isDecimal reports whether s has only characters of decimal numbers, so that strconv reads it as no other
// kind of number.
func isDecimal(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool { return !strings.ContainsRune("0123456789+-.eE", c) })
}
