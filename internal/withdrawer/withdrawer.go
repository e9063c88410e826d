// Package withdrawer keeps the set of withdrawn keys that the configuration does not yet
// record as withdrawn. Any host may add to it, and a key leaves the set only once the
// configuration in force records the withdrawal, so a withdrawn key is never accepted
// again. No quorum is needed, so a key can be withdrawn inside a partitioned region. The
// package sends nothing; hosts exchange their sets elsewhere.
package withdrawer

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/journaler"
)

// Withdrawer is the set of one host. Keys are identified by their hash. Set Journal before Open;
// with a nil Journal the set is kept in memory only. Open must return before other calls,
// which are safe for concurrent use.
type Withdrawer struct {
	Journal *journaler.Journal
	// OnAdded, unless nil, is called for each hash that Add inserts, with no lock held.
	OnAdded func(hash string)

	mu        sync.Mutex
	withdrawn map[string]bool // guarded by mu
}

// Open reads the withdrawals stored in the journal, including those pruned before.
func (w *Withdrawer) Open() error {
	w.withdrawn = map[string]bool{}
	if w.Journal == nil {
		return nil
	}
	return w.Journal.Open(func(_ uint64, record []byte) error {
		w.withdrawn[string(record)] = true
		return nil
	})
}

// Add withdraws keys and returns the hashes that were new. They are in force on this host
// at once, and synced to disk when Add returns. An error means that the disk may not hold
// them; they are in force all the same.
func (w *Withdrawer) Add(hashes ...string) ([]string, error) {
	added, err := w.insert(hashes)
	if w.OnAdded != nil {
		for _, h := range added {
			w.OnAdded(h)
		}
	}
	return added, err
}

func (w *Withdrawer) insert(hashes []string) ([]string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var added []string
	var records [][]byte
	for _, h := range hashes {
		if !w.withdrawn[h] {
			added = append(added, h)
			records = append(records, []byte(h))
			w.withdrawn[h] = true // in force even if the write to disk below fails
		}
	}
	if len(added) == 0 || w.Journal == nil {
		return added, nil
	}
	if err := w.Journal.Append(records...); err != nil {
		return added, fmt.Errorf("withdrawer: %w", err)
	}
	return added, nil
}

// Has reports whether the set holds a key. It is false for a withdrawn key that was pruned.
func (w *Withdrawer) Has(hash string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.withdrawn[hash]
}

// Prune removes the keys that the configuration in force records as withdrawn. The journal
// keeps them.
func (w *Withdrawer) Prune(snapshot *configurer.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for h := range w.withdrawn {
		if snapshot.Key(h).GetWithdrawn() {
			delete(w.withdrawn, h)
		}
	}
}

// List returns the hashes in the set, sorted.
func (w *Withdrawer) List() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.withdrawn))
}

// Digest returns a SHA-256 digest of the set: two hosts with equal digests have the same set.
func (w *Withdrawer) Digest() []byte {
	digest := sha256.New()
	for _, hash := range w.List() {
		fmt.Fprintln(digest, hash)
	}
	return digest.Sum(nil)
}
