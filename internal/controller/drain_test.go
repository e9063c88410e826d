package controller

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestDrain guards against commands that a stopping control host cuts off: those in progress get their
// results before it ends, and it accepts no others.
func TestDrain(t *testing.T) {
	c := newSingleController(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = c.Timer.Run(ctx) }()
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	propose := func(number uint64) error {
		_, err := c.Propose(ctx, &schema.Command{Op: &schema.Command_Document{Document: document(number)}})
		return err
	}
	for propose(1) != nil {
		time.Sleep(10 * time.Millisecond)
	}
	const inProgress = 1 << 40 // index of an entry that does not come
	setInProgress := func(waiting bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.waiters, inProgress)
		if waiting {
			c.waiters[inProgress] = waiter{}
		}
	}
	setInProgress(true)
	drained := make(chan struct{})
	go func() {
		c.Drain(time.Minute)
		close(drained)
	}()
	for !errors.Is(propose(2), ErrNotLeader) {
		time.Sleep(time.Millisecond)
	}
	select {
	case <-drained:
		t.Error("the host ends while a command is in progress")
	case <-time.After(50 * time.Millisecond): // several polls
	}
	setInProgress(false)
	<-drained
	setInProgress(true)
	c.Drain(20 * time.Millisecond) // returns although the command is still in progress
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
