package distributor

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// firstReply returns the first reply of d to a follower at version 0, which is up to date as
// long as d has no configuration.
func firstReply(t *testing.T, d *Distributor) *schema.WatchReply {
	t.Helper()
	var got *schema.WatchReply
	errStop := errors.New("stop after one reply")
	err := d.Serve(context.Background(), &schema.WatchRequest{}, func(r *schema.WatchReply) error {
		got = r
		return errStop
	})
	if !errors.Is(err, errStop) {
		t.Fatal(err)
	}
	return got
}

// TestFollowingCycleDetected guards against two hosts that follow each other for ever after
// each lost its control host. Neither stops sending, so only the age of their
// configuration shows that no control host confirms it.
func TestFollowingCycleDetected(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	root := &Distributor{Timer: clock, IsRoot: true}
	a, b := &Distributor{Timer: clock}, &Distributor{Timer: clock}
	for range 20 {
		clock.Advance(IdleInterval)
		if _, err := a.ApplyReply(firstReply(t, root)); err != nil {
			t.Fatalf("following a control host: %v", err)
		}
		if _, err := b.ApplyReply(firstReply(t, a)); err != nil {
			t.Fatalf("following a host that follows a control host: %v", err)
		}
	}
	for range 20 {
		clock.Advance(IdleInterval)
		_, first := a.ApplyReply(firstReply(t, b))
		_, second := b.ApplyReply(firstReply(t, a))
		if errors.Is(first, ErrStaleSource) || errors.Is(second, ErrStaleSource) {
			return
		}
	}
	t.Error("neither of two hosts that follow each other gave up the other as stale")
}
