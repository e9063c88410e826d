package withdrawer

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/injector"
	"github.com/trefoilloft/trefoilloft/internal/journaler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

func openWithdrawer(t *testing.T, j *journaler.Journal) *Withdrawer {
	t.Helper()
	w := &Withdrawer{Journal: j}
	if err := w.Open(); err != nil {
		t.Fatal(err)
	}
	return w
}

// TestHostsConverge requires that two hosts that exchange their sets end with the same
// digest, and that the callback runs once for each new hash.
func TestHostsConverge(t *testing.T) {
	a, b := openWithdrawer(t, nil), openWithdrawer(t, nil)
	var added []string
	b.OnAdded = func(hash string) { added = append(added, hash) }
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
		t.Errorf("sets differ or do not hold 3 hashes: %v and %v", a.List(), b.List())
	}
	if diff := cmp.Diff([]string{"y", "z", "x"}, added); diff != "" {
		t.Errorf("hashes passed to the callback: -want +got:\n%s", diff)
	}
}

// TestRestartKeepsWithdrawals guards against a withdrawn key that is accepted again after a
// restart, or because it is pruned before the configuration records the withdrawal.
func TestRestartKeepsWithdrawals(t *testing.T) {
	folder := t.TempDir()
	first := openWithdrawer(t, &journaler.Journal{Folder: folder})
	if _, err := first.Add("x"); err != nil {
		t.Fatal(err)
	}
	if err := first.Journal.Close(); err != nil {
		t.Fatal(err)
	}
	restarted := openWithdrawer(t, &journaler.Journal{Folder: folder})
	snapshot := func(withdrawn bool) *configurer.Snapshot {
		return configurer.FromMessage(&schema.Snapshot{Version: 1, Items: []*schema.Item{
			{Path: "key/x", Value: &schema.Item_Key{Key: &schema.Key{Hash: "x", Withdrawn: withdrawn}}},
		}})
	}
	restarted.Prune(snapshot(false))
	if !restarted.Has("x") {
		t.Error("withdrawal pruned while the configuration still accepts the key")
	}
	restarted.Prune(snapshot(true))
	if restarted.Has("x") {
		t.Error("withdrawal kept although the configuration records it")
	}
}

// TestFullDiskStillWithdraws guards against a key that stays accepted because the disk is
// full: the withdrawal must be in force on this host, and Add must return the disk's error.
func TestFullDiskStillWithdraws(t *testing.T) {
	errDiskFull := errors.New("no space left")
	w := openWithdrawer(t, &journaler.Journal{Folder: t.TempDir(), FaultPoints: &injector.FaultPoints{Visit: func(string) error { return errDiskFull }}})
	if _, err := w.Add("x"); !errors.Is(err, errDiskFull) {
		t.Errorf("add with a full disk: got error %v, want the disk's error", err)
	}
	if !w.Has("x") {
		t.Error("withdrawal is not in force after a failed write")
	}
}
