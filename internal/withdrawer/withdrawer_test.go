package withdrawer

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/journaler"
	"github.com/trefoilloft/trefoilloft/internal/prober"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

func open(t *testing.T, j *journaler.Journal) *Withdrawer {
	t.Helper()
	w := &Withdrawer{Journal: j}
	if err := w.Open(); err != nil {
		t.Fatal(err)
	}
	return w
}

// TestSetsMeet requires that two hosts that exchange what they have end with one digest,
// and that each new hash is told of once.
func TestSetsMeet(t *testing.T) {
	a, b := open(t, nil), open(t, nil)
	var told []string
	b.Added = func(hash string) { told = append(told, hash) }
	for w, hashes := range map[*Withdrawer][]string{a: {"x", "y"}, b: {"y", "z"}} {
		if _, err := w.Add(hashes...); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := a.Add(b.List()...); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Add(a.List()...); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(a.Digest(), b.Digest()) || len(a.List()) != 3 {
		t.Errorf("sets %v and %v", a.List(), b.List())
	}
	if diff := cmp.Diff([]string{"y", "z", "x"}, told); diff != "" {
		t.Errorf("told: -want +got:\n%s", diff)
	}
}

// TestRestartKeepsWithdrawals requires that a synced withdrawal is in force after a restart,
// and that it is forgotten only when the configuration says it itself.
func TestRestartKeepsWithdrawals(t *testing.T) {
	folder := t.TempDir()
	first := open(t, &journaler.Journal{Folder: folder})
	if _, err := first.Add("x"); err != nil {
		t.Fatal(err)
	}
	if err := first.Journal.Close(); err != nil {
		t.Fatal(err)
	}
	again := open(t, &journaler.Journal{Folder: folder})
	snapshot := func(withdrawn bool) *configurer.Snapshot {
		return configurer.FromMessage(&schema.Snapshot{Version: 1, Items: []*schema.Item{
			{Path: "key/x", Value: &schema.Item_Key{Key: &schema.Key{Hash: "x", Withdrawn: withdrawn}}},
		}})
	}
	again.Prune(snapshot(false))
	if !again.Has("x") {
		t.Error("forgotten while the configuration still accepts the key")
	}
	again.Prune(snapshot(true))
	if again.Has("x") {
		t.Error("kept although the configuration says it")
	}
}

// TestFullDiskStillWithdraws requires that a withdrawal is in force here even if the disk
// cannot keep it, and that the operator is told.
func TestFullDiskStillWithdraws(t *testing.T) {
	full := errors.New("no space left")
	w := open(t, &journaler.Journal{Folder: t.TempDir(), Points: &prober.Points{Visit: func(string) error { return full }}})
	if _, err := w.Add("x"); !errors.Is(err, full) {
		t.Errorf("add: %v", err)
	}
	if !w.Has("x") {
		t.Error("not in force")
	}
}
