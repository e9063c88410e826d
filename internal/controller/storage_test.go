package controller

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/injector"
	"github.com/trefoilloft/trefoilloft/internal/persister"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestFullDisk guards against a control host that exits, or that acknowledges what it cannot keep,
// while its disk refuses writes or syncs. The only voter of a group must accept nothing meanwhile,
// accept changes again once there is room, and then hold everything that it acknowledged.
func TestFullDisk(t *testing.T) {
	for _, failingStep := range []string{"journal.write", "journal.sync", "snapshot.write"} {
		t.Run(failingStep, func(t *testing.T) {
			var full atomic.Bool
			points := &injector.FaultPoints{Visit: func(step string) error {
				if full.Load() && (step == failingStep || step == "store.probe") {
					return syscall.ENOSPC
				}
				return nil
			}}
			c := newSingleController(t, points)
			clock := c.Timer
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { _ = clock.Run(ctx) }()
			go func() { done <- c.Run(ctx) }()
			defer func() {
				cancel()
				if err := <-done; err != nil {
					t.Errorf("the controller ended: %v", err)
				}
			}()
			accepted := uint64(0)
			propose := func(number uint64) error {
				ctx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				result, err := c.Propose(ctx, &schema.Command{Op: &schema.Command_Document{Document: document(number)}})
				if err == nil && result.Refusal == schema.Refusal_REFUSAL_NONE {
					accepted = number
				}
				return err
			}
			eventually := func(what string, condition func() bool) {
				t.Helper()
				for range 2000 {
					if condition() {
						return
					}
					select {
					case err := <-done:
						done <- err
						t.Fatalf("the controller ended while waiting: %s: %v", what, err)
					case <-time.After(10 * time.Millisecond):
					}
				}
				t.Fatal("not within 20 s: " + what)
			}
			eventually("the first change is accepted", func() bool { return propose(1) == nil })
			full.Store(true)
			if failingStep == "snapshot.write" {
				c.mu.Lock()
				state, err := c.state.Encode()
				if err == nil {
					err = c.compact(c.appliedIndex, state)
				}
				if err != nil {
					c.halt(err)
				}
				c.mu.Unlock()
			}
			for n := range uint64(5) {
				if err := propose(10 + n); !errors.Is(err, ErrNotLeader) && !errors.Is(err, ErrOutcomeUnknown) {
					t.Errorf("change %d with a full disk: error %v", 10+n, err)
				}
			}
			if v := c.view.Load(); v.holdsLease(clock.Now()) {
				t.Error("a host with a full disk still leads")
			}
			full.Store(false)
			eventually("a change is accepted after there is room", func() bool { return propose(20) == nil })
			if got := c.view.Load().document.GetNumber(); got != accepted || accepted != 20 {
				t.Errorf("document %d in force, %d acknowledged", got, accepted)
			}
		})
	}
}

func document(number uint64) *schema.Document {
	return &schema.Document{Number: number, Source: fmt.Appendf(nil, "document %d", number)}
}

// newSingleController returns an opened controller of a group with one voter.
func newSingleController(t *testing.T, points *injector.FaultPoints) *Controller {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "control")
	identity := &schema.Identity{Id: 7, Name: "a", Members: []*schema.Member{{Id: 7, Name: "a", Address: "127.0.0.1:1", Voter: true}}, Target: 1}
	if err := persister.Init(folder, identity); err != nil {
		t.Fatal(err)
	}
	clock := &timer.Service{}
	c := &Controller{
		Settings: &schema.Settings{Name: "a", Internal: "127.0.0.1:1"}, Store: &persister.Store{Folder: folder, FaultPoints: points},
		Timer: clock, Dialer: &dialer.Dialer{Timer: clock}, Distributor: &distributor.Distributor{Timer: clock, IsRoot: true}, Log: zerolog.Nop(),
	}
	if err := c.Open(); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestResentDocumentJoinsPending guards against copies of a document in the log: an operator that
// sends it again before its result is known gets the result of the entry in progress. Another
// document, also one with the same number, does not.
func TestResentDocumentJoinsPending(t *testing.T) {
	c := newSingleController(t, nil)
	first := make(chan *schema.Result, 1)
	c.waiters[5] = waiter{term: 1, document: document(7), outcomes: []chan *schema.Result{first}}
	resent, other := make(chan *schema.Result, 1), make(chan *schema.Result, 1)
	if !c.joinPending(document(7), resent) {
		t.Error("the same document is proposed again")
	}
	if c.joinPending(&schema.Document{Number: 7, Source: []byte("other")}, other) || c.joinPending(document(8), other) || c.joinPending(nil, other) {
		t.Error("another command joined the document")
	}
	c.waiters[5].resolve(&schema.Result{Version: 3})
	if a, b := <-first, <-resent; a.Version != 3 || b.Version != 3 {
		t.Errorf("results %v and %v", a, b)
	}
}

// TestLargeMessagesHaveTheirOwnConnection guards against heartbeats that wait behind a large entry.
func TestLargeMessagesHaveTheirOwnConnection(t *testing.T) {
	for _, c := range []struct {
		message *schema.Message
		bulk    bool
	}{
		{&schema.Message{}, false},
		{&schema.Message{Entries: []*schema.Entry{{Data: make([]byte, 500)}, {Data: make([]byte, 500)}}}, false},
		{&schema.Message{Entries: []*schema.Entry{{Data: make([]byte, minBulkBytes)}}}, true},
		{&schema.Message{Snapshot: &schema.LogSnapshot{}}, true},
	} {
		if got := isBulk(c.message); got != c.bulk {
			t.Errorf("%d entries, snapshot %v: bulk %v", len(c.message.Entries), c.message.Snapshot != nil, got)
		}
	}
}
