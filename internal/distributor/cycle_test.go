package distributor

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// reply returns what a process sends a follower that has all that it has.
func reply(t *testing.T, d *Distributor) *schema.WatchReply {
	t.Helper()
	var got *schema.WatchReply
	done := errors.New("one reply is enough")
	err := d.Serve(context.Background(), &schema.WatchRequest{}, func(r *schema.WatchReply) error {
		got = r
		return done
	})
	if !errors.Is(err, done) {
		t.Fatal(err)
	}
	return got
}

// TestHostsThatFollowEachOther lets two hosts follow each other after their control hosts
// were lost in turn. Neither falls silent, so only the age of what they have tells that no
// control host is behind it.
func TestHostsThatFollowEachOther(t *testing.T) {
	clock := &timer.Service{Clock: &timer.Manual{}}
	clock.Advance(time.Hour)
	root := &Distributor{Timer: clock, Root: true}
	a, b := &Distributor{Timer: clock}, &Distributor{Timer: clock}
	for range 20 {
		clock.Advance(IdleInterval)
		if _, err := a.Take(reply(t, root)); err != nil {
			t.Fatalf("following a control host: %v", err)
		}
		if _, err := b.Take(reply(t, a)); err != nil {
			t.Fatalf("following a host that follows a control host: %v", err)
		}
	}
	for range 20 {
		clock.Advance(IdleInterval)
		_, first := a.Take(reply(t, b))
		_, second := b.Take(reply(t, a))
		if errors.Is(first, ErrStale) || errors.Is(second, ErrStale) {
			return
		}
	}
	t.Error("two hosts follow each other for ever")
}
