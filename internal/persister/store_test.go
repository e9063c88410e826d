package persister

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/injector"
	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

var errKilled = errors.New("killed here")

func makeEntries(term, from, to uint64) []*schema.Entry {
	var out []*schema.Entry
	for i := from; i <= to; i++ {
		out = append(out, &schema.Entry{Term: term, Index: i, Data: fmt.Appendf(nil, "%d/%d", term, i)})
	}
	return out
}

// writeHistory saves entries, replaces some of them, saves a snapshot and one more entry. It
// stops at the first error.
func writeHistory(s *Store) error {
	if err := s.Save(&schema.Ballot{Term: 1, Vote: 2}, makeEntries(1, 1, 6)); err != nil {
		return err
	}
	if err := s.Save(&schema.Ballot{Term: 2}, makeEntries(2, 5, 8)); err != nil {
		return err
	}
	snapshot := &schema.LogSnapshot{Index: 6, Term: 2, State: []byte("state"), Members: &schema.Members{}}
	if err := s.SaveSnapshot(snapshot, &schema.Ballot{Term: 2}, makeEntries(2, 7, 8)); err != nil {
		return err
	}
	return s.Save(nil, makeEntries(2, 9, 9))
}

func reopen(t *testing.T, folder string) replicator.StoredState {
	t.Helper()
	s := &Store{Folder: folder}
	_, stored, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return stored
}

// TestReopenAfterFailureAtEveryStep guards against lost or resurrected entries when the process
// dies while it saves. It fails saving at each step in turn, reopens the folder and checks what
// is read back.
func TestReopenAfterFailureAtEveryStep(t *testing.T) {
	for failingStep := 1; ; failingStep++ {
		folder := t.TempDir()
		if err := Init(folder, &schema.Identity{Id: 3, Name: "a"}); err != nil {
			t.Fatal(err)
		}
		step := 0
		s := &Store{Folder: folder, FaultPoints: &injector.FaultPoints{Visit: func(string) error {
			if step++; step == failingStep {
				return errKilled
			}
			return nil
		}}}
		if _, _, err := s.Open(); err != nil {
			t.Fatal(err)
		}
		err := writeHistory(s)
		_ = s.Close()
		stored := reopen(t, folder)
		checkStored(t, failingStep, stored)
		if err == nil {
			if got := stored.Snapshot.Index + uint64(len(stored.Entries)); got != 9 {
				t.Errorf("last entry after all steps has index %d, want 9", got)
			}
			return
		}
		if !errors.Is(err, errKilled) {
			t.Fatal(err)
		}
	}
}

// checkStored requires that the entries follow the snapshot without a gap, and that no
// entry of term 1 is read back where an entry of term 2 replaced it.
func checkStored(t *testing.T, step int, stored replicator.StoredState) {
	t.Helper()
	for i, e := range stored.Entries {
		if want := stored.Snapshot.Index + uint64(i) + 1; e.Index != want {
			t.Errorf("killed at step %d: entry has index %d, want %d", step, e.Index, want)
		}
		if e.Index >= 5 && e.Term == 1 && stored.HardState.GetTerm() == 2 {
			t.Errorf("killed at step %d: entry %d of term 1 was read back after term 2 replaced it", step, e.Index)
		}
	}
}

// TestReopen requires that identity, hard state, snapshot and entries are read back as
// written, and that a folder is initialized only once.
func TestReopen(t *testing.T) {
	folder := t.TempDir()
	identity := &schema.Identity{Id: NewID(), Name: "a", Members: []*schema.Member{{Id: 1, Name: "a", Voter: true}}}
	if err := Init(folder, identity); err != nil {
		t.Fatal(err)
	}
	if err := Init(folder, identity); !errors.Is(err, ErrIdentityExists) {
		t.Errorf("second init: error %v, want ErrIdentityExists", err)
	}
	s := &Store{Folder: folder}
	got, _, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(identity, got, protocmp.Transform()); diff != "" {
		t.Errorf("identity: -want +got:\n%s", diff)
	}
	if err := writeHistory(s); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	stored := reopen(t, folder)
	if diff := cmp.Diff(makeEntries(2, 7, 9), stored.Entries, protocmp.Transform()); diff != "" {
		t.Errorf("entries: -want +got:\n%s", diff)
	}
	if stored.HardState.GetTerm() != 2 || string(stored.Snapshot.State) != "state" {
		t.Errorf("hard state %v, want term 2; snapshot state %q", stored.HardState, stored.Snapshot.State)
	}
}

// TestNoIdentity guards against a replica that lost its disk and starts as if it were new,
// forgetting its vote: opening an empty folder must fail.
func TestNoIdentity(t *testing.T) {
	if _, _, err := (&Store{Folder: t.TempDir()}).Open(); !errors.Is(err, ErrNoIdentity) {
		t.Errorf("open of an empty folder: error %v, want ErrNoIdentity", err)
	}
}

// BenchmarkOpen measures opening a store that holds 10,000 log entries.
func BenchmarkOpen(b *testing.B) {
	folder := b.TempDir()
	if err := Init(folder, &schema.Identity{Id: 3, Name: "a"}); err != nil {
		b.Fatal(err)
	}
	s := &Store{Folder: folder}
	if _, _, err := s.Open(); err != nil {
		b.Fatal(err)
	}
	for i := range uint64(100) {
		if err := s.Save(nil, makeEntries(1, i*100+1, i*100+100)); err != nil {
			b.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		s := &Store{Folder: folder}
		if _, _, err := s.Open(); err != nil {
			b.Fatal(err)
		}
		_ = s.Close()
	}
}
