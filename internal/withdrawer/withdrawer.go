// Package withdrawer keeps the withdrawals of keys that any host has accepted and that
// the configuration does not hold yet. The set only grows until the configuration takes
// a withdrawal over, so a withdrawn key never returns, and no quorum is needed to
// withdraw one inside a region that is cut off. It does not send anything itself.
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

// Withdrawer is the set of one host. Set Journal before Open; nil: no disk.
type Withdrawer struct {
	Journal *journaler.Journal
	// Added is called for each hash that is new here, with no lock held.
	Added func(hash string)

	mu  sync.Mutex
	set map[string]bool // guarded by mu
}

// Open reads the withdrawals that the disk holds.
func (w *Withdrawer) Open() error {
	w.set = map[string]bool{}
	if w.Journal == nil {
		return nil
	}
	return w.Journal.Open(func(_ uint64, payload []byte) error {
		w.set[string(payload)] = true
		return nil
	})
}

// Add accepts withdrawals: they are synced, then in force here. It returns those that
// were new.
func (w *Withdrawer) Add(hashes ...string) ([]string, error) {
	fresh, err := w.add(hashes)
	if w.Added != nil {
		for _, h := range fresh {
			w.Added(h)
		}
	}
	return fresh, err
}

func (w *Withdrawer) add(hashes []string) ([]string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fresh []string
	var payloads [][]byte
	for _, h := range hashes {
		if !w.set[h] {
			fresh = append(fresh, h)
			payloads = append(payloads, []byte(h))
			w.set[h] = true // in force at once, also if the disk fails below
		}
	}
	if len(fresh) == 0 || w.Journal == nil {
		return fresh, nil
	}
	if err := w.Journal.Append(payloads...); err != nil {
		return fresh, fmt.Errorf("withdrawer: %w", err)
	}
	return fresh, nil
}

// Has reports whether a key was withdrawn and the configuration may not say so yet.
func (w *Withdrawer) Has(hash string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.set[hash]
}

// Prune forgets what a configuration in force now says itself.
func (w *Withdrawer) Prune(s *configurer.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for h := range w.set {
		if s.Key(h).GetWithdrawn() {
			delete(w.set, h)
		}
	}
}

// List returns the set, sorted.
func (w *Withdrawer) List() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.set))
}

// Digest identifies the set's content.
func (w *Withdrawer) Digest() []byte {
	h := sha256.New()
	for _, x := range w.List() {
		fmt.Fprintln(h, x)
	}
	return h.Sum(nil)
}
