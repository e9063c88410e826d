package configurer

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// Kinds of items that a sheet states in full.
var sheetKinds = []string{"customer", "model", "route"}

// applySheet puts a sheet in force whole, or refuses it.
func (s *State) applySheet(c *schema.Command, a *schema.ApplySheet) ([]*schema.Item, *schema.Result) {
	last := s.snapshot.items["sheet"].GetSheet()
	if last != nil && a.Number < last.Number {
		return nil, s.refuse(schema.Refusal_REFUSAL_STALE, "sheet %d is older than sheet %d by %s", a.Number, last.Number, last.Operator)
	}
	if last != nil && a.Number == last.Number {
		if a.Hash == last.Hash {
			return nil, &schema.Result{Version: last.Version}
		}
		return nil, s.refuse(schema.Refusal_REFUSAL_CONFLICT,
			"sheet %d by %s differs from sheet %d already applied by %s", a.Number, c.Operator, last.Number, last.Operator)
	}
	changed := Diff(s.snapshot, a.Items)
	if refusal := s.guardRemovals(a, changed); refusal != nil {
		return nil, refusal
	}
	changed = append(changed, s.keysOfRemoved(changed)...)
	sheet := &schema.Sheet{Number: a.Number, Hash: a.Hash, Operator: c.Operator}
	return append(changed, &schema.Item{Path: "sheet", Value: &schema.Item_Sheet{Sheet: sheet}}), nil
}

// guardRemovals refuses a sheet that drops more than half of the customers, which is
// more often a cut-off export than a wish.
func (s *State) guardRemovals(a *schema.ApplySheet, changed []*schema.Item) *schema.Result {
	removed := 0
	for _, it := range changed {
		if it.Removed && strings.HasPrefix(it.Path, "customer/") {
			removed++
		}
	}
	total := len(s.snapshot.Paths("customer"))
	if a.Removals || removed*2 <= total {
		return nil
	}
	return s.refuse(schema.Refusal_REFUSAL_GUARD, "sheet %d removes %d of %d customers; allow removals to apply it", a.Number, removed, total)
}

// keysOfRemoved withdraws the keys of customers that a sheet removes.
func (s *State) keysOfRemoved(changed []*schema.Item) []*schema.Item {
	removed := map[string]bool{}
	for _, it := range changed {
		if name, ok := strings.CutPrefix(it.Path, "customer/"); ok && it.Removed {
			removed[name] = true
		}
	}
	if len(removed) == 0 {
		return nil
	}
	var items []*schema.Item
	for _, p := range s.snapshot.Paths("key") {
		k := s.snapshot.items[p].GetKey()
		if removed[k.Customer] && !k.Withdrawn {
			items = append(items, withdrawn(k))
		}
	}
	return items
}

// Diff returns the items by which a sheet's full statement differs from a snapshot.
func Diff(s *Snapshot, stated []*schema.Item) []*schema.Item {
	return diffKinds(s, stated, sheetKinds)
}

// diffKinds returns the items by which a full statement of some kinds differs from a snapshot.
func diffKinds(s *Snapshot, stated []*schema.Item, kinds []string) []*schema.Item {
	var changed []*schema.Item
	named := map[string]bool{}
	for _, it := range stated {
		named[it.Path] = true
		if !proto.Equal(s.items[it.Path], it) {
			changed = append(changed, it)
		}
	}
	for _, kind := range kinds {
		for _, p := range s.Paths(kind) {
			if !named[p] {
				changed = append(changed, &schema.Item{Path: p, Removed: true})
			}
		}
	}
	return changed
}

// issueKey adds a key. A hash that was withdrawn never returns.
func (s *State) issueKey(k *schema.Key) ([]*schema.Item, *schema.Result) {
	if s.snapshot.Customer(k.Customer) == nil {
		return nil, s.refuse(schema.Refusal_REFUSAL_MISSING, "customer %q is unknown", k.Customer)
	}
	if k.Hash == "" || s.snapshot.Key(k.Hash) != nil {
		return nil, s.refuse(schema.Refusal_REFUSAL_DUPLICATE, "the key exists already")
	}
	fresh := proto.Clone(k).(*schema.Key)
	fresh.Withdrawn = false
	return []*schema.Item{keyItem(fresh)}, nil
}

// withdrawKeys marks keys as withdrawn. Unknown hashes are stored as withdrawn too: a
// host may have accepted the withdrawal before it learnt of the key.
func (s *State) withdrawKeys(w *schema.WithdrawKeys) ([]*schema.Item, *schema.Result) {
	var items []*schema.Item
	for _, hash := range w.Hashes {
		k := s.snapshot.Key(hash)
		if k == nil {
			k = &schema.Key{Hash: hash}
		}
		if !k.Withdrawn {
			items = append(items, withdrawn(k))
		}
	}
	return items, nil
}

func withdrawn(k *schema.Key) *schema.Item {
	gone := proto.Clone(k).(*schema.Key)
	gone.Withdrawn = true
	return keyItem(gone)
}

func keyItem(k *schema.Key) *schema.Item {
	return &schema.Item{Path: "key/" + k.Hash, Value: &schema.Item_Key{Key: k}}
}
