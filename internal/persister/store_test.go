package persister

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/prober"
	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

var errKilled = errors.New("killed here")

func entries(term, from, to uint64) []*schema.Entry {
	var out []*schema.Entry
	for i := from; i <= to; i++ {
		out = append(out, &schema.Entry{Term: term, Index: i, Data: fmt.Appendf(nil, "%d/%d", term, i)})
	}
	return out
}

// steps writes a log with replaced entries and a snapshot, until a step fails.
func steps(s *Store) error {
	if err := s.Save(&schema.Ballot{Term: 1, Vote: 2}, entries(1, 1, 6)); err != nil {
		return err
	}
	if err := s.Save(&schema.Ballot{Term: 2}, entries(2, 5, 8)); err != nil {
		return err
	}
	snapshot := &schema.LogSnapshot{Index: 6, Term: 2, State: []byte("state"), Members: &schema.Members{}}
	if err := s.SaveSnapshot(snapshot, &schema.Ballot{Term: 2}, entries(2, 7, 8)); err != nil {
		return err
	}
	return s.Save(nil, entries(2, 9, 9))
}

func reopen(t *testing.T, folder string) replicator.Stored {
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

// TestKilledAtEveryStep ends the process at every step of saving and requires that what
// was saved before is read back, and nothing that contradicts it.
func TestKilledAtEveryStep(t *testing.T) {
	for n := 1; ; n++ {
		folder := t.TempDir()
		if err := Init(folder, &schema.Identity{Id: 3, Name: "a"}); err != nil {
			t.Fatal(err)
		}
		visits := 0
		s := &Store{Folder: folder, Points: &prober.Points{Visit: func(string) error {
			if visits++; visits == n {
				return errKilled
			}
			return nil
		}}}
		if _, _, err := s.Open(); err != nil {
			t.Fatal(err)
		}
		err := steps(s)
		_ = s.Close()
		stored := reopen(t, folder)
		checkStored(t, n, stored)
		if err == nil {
			if got := stored.Snapshot.Index + uint64(len(stored.Entries)); got != 9 {
				t.Errorf("last entry %d, want 9", got)
			}
			return
		}
		if !errors.Is(err, errKilled) {
			t.Fatal(err)
		}
	}
}

// checkStored requires that the entries follow the snapshot without a gap and that no
// entry of term 1 stands where term 2 replaced it.
func checkStored(t *testing.T, n int, stored replicator.Stored) {
	t.Helper()
	for i, e := range stored.Entries {
		if want := stored.Snapshot.Index + uint64(i) + 1; e.Index != want {
			t.Errorf("step %d: entry %d at %d", n, e.Index, want)
		}
		if e.Index >= 5 && e.Term == 1 && stored.Ballot.GetTerm() == 2 {
			t.Errorf("step %d: entry %d of term 1 is back", n, e.Index)
		}
	}
}

// TestReopen requires that all parts are read back as written.
func TestReopen(t *testing.T) {
	folder := t.TempDir()
	identity := &schema.Identity{Id: NewID(), Name: "a", Members: []*schema.Member{{Id: 1, Name: "a", Voter: true}}}
	if err := Init(folder, identity); err != nil {
		t.Fatal(err)
	}
	if err := Init(folder, identity); !errors.Is(err, ErrIdentity) {
		t.Errorf("second init: %v", err)
	}
	s := &Store{Folder: folder}
	got, _, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(identity, got, protocmp.Transform()); diff != "" {
		t.Errorf("identity: -want +got:\n%s", diff)
	}
	if err := steps(s); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	stored := reopen(t, folder)
	if diff := cmp.Diff(entries(2, 7, 9), stored.Entries, protocmp.Transform()); diff != "" {
		t.Errorf("entries: -want +got:\n%s", diff)
	}
	if stored.Ballot.GetTerm() != 2 || string(stored.Snapshot.State) != "state" {
		t.Errorf("ballot %v, state %q", stored.Ballot, stored.Snapshot.State)
	}
}

// TestNoIdentity requires that a lost disk does not pass for a first start.
func TestNoIdentity(t *testing.T) {
	if _, _, err := (&Store{Folder: t.TempDir()}).Open(); !errors.Is(err, ErrNoIdentity) {
		t.Errorf("open of an empty folder: %v", err)
	}
}

// BenchmarkOpen measures a restart after 10,000 changes.
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
		if err := s.Save(nil, entries(1, i*100+1, i*100+100)); err != nil {
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
