package quarantiner

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestPanicWhileChecking guards against a process that ends, and an upstream that is never checked again,
// because one check of it panics.
func TestPanicWhileChecking(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	checks := make(chan struct{}, 8)
	o := &Observer{
		Timer: clock, Log: zerolog.Nop(), State: func(Upstream) State { return Running },
		Refused: func(context.Context, string) bool {
			checks <- struct{}{}
			panic("broken")
		},
	}
	for range 2 {
		o.Start(Upstream{Name: "u"}, []Part{{ID: "p", Key: 7}}).RecordLost()
		clock.Advance(checkDelays[0])
		<-checks
		for pending := 1; pending > 0; {
			o.mu.Lock()
			pending = len(o.losses)
			o.mu.Unlock()
		}
	}
}
