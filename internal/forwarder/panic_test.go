package forwarder

import (
	"context"
	"sync/atomic"
	"testing"
	"time"
)

// TestPanicWhileBorrowing guards against a process that ends, and a customer for whom no tokens are borrowed
// ahead any more, because one request for a loan panics.
func TestPanicWhileBorrowing(t *testing.T) {
	s := newSystem(t, []scriptStep{text(200, "good")})
	s.Bucket.SlackTokens = 0
	panicked, lent := make(chan struct{}), make(chan struct{})
	var calls atomic.Int64
	s.Borrow = func(_ context.Context, _ string, minTokens, _ float64) (float64, time.Duration, error) {
		switch {
		case minTokens > 0:
			return minTokens, 0, nil
		case calls.Add(1) == 1:
			close(panicked)
			panic("broken")
		case calls.Load() == 2:
			close(lent)
		}
		return 0, time.Minute, nil
	}
	until := time.After(20 * time.Second)
	for {
		if got := s.call("/keyed/a", "k"); got.Status != 200 {
			t.Fatalf("request: %+v", got)
		}
		s.Bucket.Report(nil) // measures the demand
		select {
		case <-lent:
			<-panicked
			return
		case <-until:
			t.Fatalf("%d loans ahead of need in 20 s, want 2", calls.Load())
		case <-time.After(20 * time.Millisecond):
		}
	}
}
