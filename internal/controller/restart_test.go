package controller

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/persister"
	"github.com/trefoilloft/trefoilloft/internal/quarantiner"
	"github.com/trefoilloft/trefoilloft/internal/resumer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// startClusterHost opens the only voter of a group, whose control hosts discover each other, from a folder. run runs it
// until stop is called.
func startClusterHost(t *testing.T, folder string) (k *Cluster, run func(), stop func()) {
	t.Helper()
	clock := &timer.Service{}
	table := &cataloger.Table{Timer: clock, AnnounceInterval: time.Second, DrainTime: 20 * time.Second}
	table.Start()
	limits := func(string) (allocator.Limits, bool) { return allocator.Limits{}, false }
	k = &Cluster{
		Self: &schema.Member{Name: "a", Address: "127.0.0.1:1", Region: "r"}, MinVoters: 1, SeedAddresses: func() []string { return nil }, Table: table,
		Allocator: &allocator.Allocator{Now: clock.Now, Limits: limits}, Bucket: &allocator.Bucket{Now: clock.Now, Limits: limits},
		Evidence: &quarantiner.Evidence{Now: clock.Now}, Quarantine: &quarantiner.Register{Now: clock.Now},
		Streams: &resumer.Index{Now: clock.Now, Process: 1, MaxStreams: 10},
	}
	c := &Controller{
		Settings: &schema.Settings{Name: "a", Internal: "127.0.0.1:1"}, Store: &persister.Store{Folder: folder}, Timer: clock, Cluster: k,
		Dialer: &dialer.Dialer{Timer: clock}, Distributor: &distributor.Distributor{Timer: clock, IsRoot: true}, Log: zerolog.Nop(),
	}
	if err := c.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	run = func() {
		go func() { _ = clock.Run(ctx) }()
		go func() { ended <- c.Run(ctx) }()
	}
	stop = func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	return k, run, stop
}

// TestWithdrawalAndLeavingOutliveRestart guards against a key that was withdrawn, or an upstream that announced that it
// leaves, and that an entry host uses again after it and the only control host have started again. The snapshot on
// disk still holds the key. Until the whole log is applied, the control host must not confirm what it has.
func TestWithdrawalAndLeavingOutliveRestart(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "control")
	identity := &schema.Identity{Id: 7, Name: "a", Members: []*schema.Member{{Id: 7, Name: "a", Address: "127.0.0.1:1", Voter: true}}, Target: 1}
	if err := persister.Init(folder, identity); err != nil {
		t.Fatal(err)
	}
	key := &schema.Item{Path: "key/k", Value: &schema.Item_Key{Key: &schema.Key{Hash: "k", Customer: "c"}}}
	k, run, stop := startClusterHost(t, folder)
	run()
	submit := func(number uint64, items ...*schema.Item) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		if _, err := k.Submit(ctx, &schema.Command{Op: &schema.Command_Document{Document: &schema.Document{Number: number, Items: items}}}); err != nil {
			t.Fatal(err)
		}
	}
	submit(1, key)
	k.c.mu.Lock()
	state, err := k.c.state.Encode()
	if err == nil {
		err = k.c.compact(k.c.appliedIndex, state)
	}
	k.c.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	submit(2)
	for _, leaving := range []bool{false, true} {
		a := &schema.Announcement{Name: "u", Pool: "p", Region: "r", Address: "x:1", Slots: 1, Incarnation: 5, Number: 1, Leaving: leaving}
		if leaving {
			a.Number++
		}
		if err := k.Announce(t.Context(), a); err != nil {
			t.Fatal(err)
		}
	}
	stop()

	k, run, stop = startClusterHost(t, folder)
	if k.c.Distributor.Current().Key("k") == nil {
		t.Fatal("the snapshot on disk does not hold the key: the test shows nothing")
	}
	s := &ClusterService{Cluster: k}
	refresh := func(number uint64) (confirmed, holdsKey, leaving bool) {
		t.Helper()
		// An entry host that has just started has nothing.
		reply, err := s.Refresh(t.Context(), &schema.RefreshRequest{Self: &schema.Peer{Name: "e", Region: "r", Incarnation: 2, Number: number}})
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range reply.Upstreams {
			leaving = leaving || a.Name == "u" && a.Leaving
		}
		return reply.Age >= 0, configurer.FromMessage(reply.Snapshot).Key("k") != nil, leaving
	}
	number := uint64(1)
	if confirmed, _, leaving := refresh(number); confirmed || !leaving {
		t.Errorf("before the log is applied: confirmed %v, upstream is leaving %v", confirmed, leaving)
	}
	// A late report of the time before.
	if err := k.Announce(t.Context(), &schema.Announcement{Name: "u", Pool: "p", Region: "r", Address: "x:1", Slots: 1, Incarnation: 5, Number: 1}); err != nil {
		t.Fatal(err)
	}
	run()
	defer stop()
	for until := time.Now().Add(20 * time.Second); ; {
		number++
		confirmed, holdsKey, leaving := refresh(number)
		if confirmed && holdsKey {
			t.Fatal("the configuration before the withdrawal is confirmed as the newest")
		}
		if !leaving {
			t.Fatal("the upstream that left is in use again")
		}
		if confirmed {
			return
		}
		if time.Now().After(until) {
			t.Fatal("nothing confirmed for 20 s")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestFollowerConfirmsWhatItApplied guards against a control host that has started again and confirms, on the word of
// the leader, a configuration that lacks a withdrawal: it must have applied what the leader had committed.
func TestFollowerConfirmsWhatItApplied(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	c := &Controller{Timer: clock}
	k := &Cluster{c: c}
	setApplied := func(index uint64) { c.view.Store(&view{appliedIndex: index, commitIndex: index}) }
	setApplied(4)
	askedAt := clock.Now()
	k.pendingConfirmations = []confirmation{{requestedAt: askedAt, commit: 5}, {requestedAt: askedAt - time.Second, commit: 4}}
	clock.Advance(time.Second)
	if got := k.lastConfirmedAt(); got != askedAt-time.Second {
		t.Errorf("with entry 4 applied: confirmed as of %v, want %v", got, askedAt-time.Second)
	}
	setApplied(5)
	if got := k.lastConfirmedAt(); got != askedAt {
		t.Errorf("with entry 5 applied: confirmed as of %v, want %v", got, askedAt)
	}
	k = &Cluster{c: c}
	if got := k.lastConfirmedAt(); got != 0 {
		t.Errorf("after a restart, without a reply of the leader: confirmed as of %v", got)
	}
}
