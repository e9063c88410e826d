package controller

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// runningController is a controller of a group with one voter that runs until the test ends.
type runningController struct {
	*Controller
	t     *testing.T
	ended chan error
}

func runController(t *testing.T, c *Controller) *runningController {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningController{Controller: c, t: t, ended: make(chan error, 1)}
	go func() { _ = c.Timer.Run(ctx) }()
	go func() { r.ended <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-r.ended
	})
	return r
}

// propose proposes a document until it is accepted.
func (r *runningController) propose(number uint64) {
	r.t.Helper()
	for range 1000 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := r.Propose(ctx, &schema.Command{Op: &schema.Command_Document{Document: document(number)}})
		cancel()
		if err == nil {
			return
		}
		select {
		case err := <-r.ended:
			r.ended <- nil
			r.t.Fatalf("the controller ended: %v", err)
		case <-time.After(10 * time.Millisecond):
		}
	}
	r.t.Fatalf("document %d is not accepted", number)
}

// confined calls f as the handler of a call does, which goes on after a panic.
func confined(f func()) {
	defer func() { _ = recover() }()
	f()
}

// TestPanicInStep guards against a replica that goes on with half of a change in memory after a step panicked:
// it must go on with what is on disk, and accept further changes.
func TestPanicInStep(t *testing.T) {
	c := runController(t, newSingleController(t, nil))
	c.propose(1)
	c.mu.Lock()
	replica := c.replica
	c.mu.Unlock()
	confined(func() {
		c.step(func(*replicator.Replica) { panic("broken") })
	})
	c.propose(2)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replica == replica {
		t.Error("the replica whose step panicked goes on")
	}
	if got := c.state.Document().GetNumber(); got != 2 {
		t.Errorf("document %d in force, want 2", got)
	}
}

// TestPanicWhileApplying guards against a control host that leaves out, or applies by half, an entry of the log
// whose application panics, and then serves and leads with a state that the others do not have.
func TestPanicWhileApplying(t *testing.T) {
	c := newSingleController(t, nil)
	r := runController(t, c)
	r.propose(1)
	c.Distributor.Store = func(*configurer.Snapshot) error { panic("broken") }
	outcome := make(chan error, 1)
	go confined(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := c.Propose(ctx, &schema.Command{Op: &schema.Command_Document{Document: document(2)}})
		outcome <- err
	})
	select {
	case err := <-r.ended:
		r.ended <- nil
		if !errors.Is(err, errApplyPanicked) {
			t.Errorf("the controller ended with %v, want errApplyPanicked", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("the controller goes on; leads: %v", c.view.Load().holdsLease(c.Timer.Now()))
	}
	if err := <-outcome; !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("the command: error %v, want ErrOutcomeUnknown", err)
	}
}

// TestUnreadableMessages guards against a control host that ends, and ends again with every start, because
// another one sent a snapshot or an entry that cannot be decoded.
func TestUnreadableMessages(t *testing.T) {
	const unreadable = "\xff"
	for name, message := range map[string]*schema.Message{
		"snapshot": {Kind: schema.MessageKind_MESSAGE_SNAPSHOT, Snapshot: &schema.LogSnapshot{
			Index: 1 << 20, Term: 1, Members: &schema.Members{Members: []*schema.Member{{Id: 7, Voter: true}}}, State: []byte(unreadable),
		}},
		"entry": {Kind: schema.MessageKind_MESSAGE_APPEND, Entries: []*schema.Entry{{Data: []byte(unreadable)}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := runController(t, newSingleController(t, nil))
			c.propose(1)
			c.mu.Lock()
			_, term, _ := c.replica.Status()
			last := c.replica.LastIndex()
			lastTerm, _ := c.replica.TermAt(last)
			members := c.replica.Members()
			c.mu.Unlock()
			message.From, message.To, message.Term = 9, 7, term+1
			if len(message.Entries) > 0 {
				message.Index, message.Logterm, message.Commit = last, lastTerm, last+1
				message.Entries[0].Index, message.Entries[0].Term = last+1, term+1
			}
			confined(func() {
				_, _ = (&Service{Controller: c.Controller}).Replicate(t.Context(), &schema.Messages{From: 9, Messages: []*schema.Message{message}})
			})
			c.propose(2)
			c.mu.Lock()
			defer c.mu.Unlock()
			if got := c.state.Document().GetNumber(); got != 2 {
				t.Errorf("document %d in force, want 2", got)
			}
			if diff := cmp.Diff(members, c.replica.Members(), protocmp.Transform()); diff != "" {
				t.Errorf("members: -before +after\n%s", diff)
			}
		})
	}
}

// TestPanicEndsOneQuestion guards against a control host that ends, or a search that never returns, because
// asking another one panics.
func TestPanicEndsOneQuestion(t *testing.T) {
	c := newSingleController(t, nil)
	k := &Cluster{c: c, Self: &schema.Member{Address: "127.0.0.1:1"}}
	v := *c.view.Load()
	v.members = &schema.Members{Members: []*schema.Member{{Id: 1, Address: "127.0.0.1:2"}, {Id: 2, Address: "127.0.0.1:3"}}}
	c.view.Store(&v)
	c.Dialer = nil // what is asked through it panics
	if got := k.searchStream(t.Context(), &schema.FindStreamRequest{}); len(got) != 2 || got[0] != nil || got[1] != nil {
		t.Errorf("replies %v, want none of two", got)
	}
}
