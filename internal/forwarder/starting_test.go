package forwarder

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestRefusedWhileControlIsAway guards against 429 for customers that may be within their limits: while the leader cannot
// know what is in use, and while no control host answers, requests beyond the host's standing share get 503 with the
// time until that is expected to change. Those within the share are answered.
func TestRefusedWhileControlIsAway(t *testing.T) {
	for _, c := range []struct {
		name  string
		err   error
		retry time.Duration
	}{
		{"leader has just started", &allocator.StartingError{RetryAfter: 3 * time.Second}, 3 * time.Second},
		{"no control host", errors.New("no control host"), staleRetryDelay},
	} {
		s := newSystem(t, []scriptStep{text(200, "ok")})
		s.Bucket.LoansOnly, s.Bucket.SlackTokens = true, 0
		borrows := 0
		s.Borrow = func(context.Context, string, float64, float64) (float64, time.Duration, error) {
			borrows++
			return 0, 0, c.err
		}
		if got := s.call("/keyed/x", "k"); got.Status != 503 || got.Cause != causeNoLender {
			t.Errorf("%s, without a share: %+v", c.name, got)
		}
		if borrows < 1 {
			t.Errorf("%s: asked for a loan %d times", c.name, borrows)
		}
		_, err := s.Bucket.Take("c", 1)
		var over *allocator.OverRateError
		if errors.As(err, &over) && over.Learning > 0 {
			if r := refusalOf(err); r.Status != 503 || r.RetryAfter > c.retry*5/4 || r.RetryAfter < c.retry-time.Second {
				t.Errorf("%s, asked again: %+v", c.name, r)
			}
		}
		limits, _ := s.Bucket.Limits("c")
		s.Bucket.ApplyStanding([]*schema.Share{{Customer: "c", Rate: limits.Rate, Burst: limits.Burst, Left: 6, Limit: limits.Rate}}, s.Timer.Now())
		until := time.Now().Add(20 * time.Second)
		for got := s.call("/keyed/x", "k"); got.Status != 200; got = s.call("/keyed/x", "k") {
			if time.Now().After(until) {
				t.Fatalf("%s, with a share: %+v", c.name, got)
			}
			s.Bucket.ApplyStanding([]*schema.Share{{Customer: "c", Rate: limits.Rate, Burst: limits.Burst, Left: 6, Limit: limits.Rate}}, s.Timer.Now())
			time.Sleep(time.Millisecond)
		}
	}
}
