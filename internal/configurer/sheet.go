package configurer

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// sheetKinds are the kinds of items that a sheet lists in full: an item of these kinds that it
// does not list is removed.
var sheetKinds = []string{"customer", "model", "route"}

// applySheet replaces all items of sheetKinds by those of a sheet and withdraws the keys of
// customers that the sheet removes, or refuses it as a whole.
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
	if err := checkStated(a.Items, sheetKinds); err != nil {
		return nil, s.refuse(schema.Refusal_REFUSAL_INVALID, "sheet %d: %v", a.Number, err)
	}
	changed := DiffSheet(s.snapshot, a.Items)
	if refusal := s.checkRemovals(a, changed); refusal != nil {
		return nil, refusal
	}
	changed = append(changed, s.withdrawKeysOfRemoved(changed)...)
	sheet := &schema.Sheet{Number: a.Number, Hash: a.Hash, Operator: c.Operator}
	return append(changed, &schema.Item{Path: "sheet", Value: &schema.Item_Sheet{Sheet: sheet}}), nil
}

// checkRemovals refuses a sheet that removes more than half of the customers without an
// explicit permission: it is more often a truncated export than intended.
func (s *State) checkRemovals(a *schema.ApplySheet, changed []*schema.Item) *schema.Result {
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

// withdrawKeysOfRemoved returns the items that withdraw the keys of removed customers.
func (s *State) withdrawKeysOfRemoved(changed []*schema.Item) []*schema.Item {
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
			items = append(items, withdrawnItem(k))
		}
	}
	return items
}

// DiffSheet returns the items by which a sheet changes a snapshot: added, changed and removed ones.
func DiffSheet(s *Snapshot, stated []*schema.Item) []*schema.Item {
	return diffKinds(s, stated, sheetKinds)
}

// diffKinds returns the items by which a full list of the items of some kinds changes a
// snapshot.
func diffKinds(s *Snapshot, stated []*schema.Item, kinds []string) []*schema.Item {
	var changed []*schema.Item
	statedPaths := map[string]bool{}
	for _, it := range stated {
		statedPaths[it.Path] = true
		if !proto.Equal(s.items[it.Path], it) {
			changed = append(changed, it)
		}
	}
	for _, kind := range kinds {
		for _, p := range s.Paths(kind) {
			if !statedPaths[p] {
				changed = append(changed, &schema.Item{Path: p, Removed: true})
			}
		}
	}
	return changed
}

// issueKey adds a key. A withdrawn key cannot be issued again.
func (s *State) issueKey(k *schema.Key) ([]*schema.Item, *schema.Result) {
	if s.snapshot.Customer(k.Customer) == nil {
		return nil, s.refuse(schema.Refusal_REFUSAL_MISSING, "customer %q is unknown", k.Customer)
	}
	if k.Hash == "" || s.snapshot.Key(k.Hash) != nil {
		return nil, s.refuse(schema.Refusal_REFUSAL_DUPLICATE, "the key exists already")
	}
	issued := proto.Clone(k).(*schema.Key)
	issued.Withdrawn = false
	return []*schema.Item{keyItem(issued)}, nil
}

// withdrawKeys marks keys as withdrawn. Unknown hashes are stored as withdrawn too, since a
// host may have accepted the withdrawal before it received the key.
func (s *State) withdrawKeys(w *schema.WithdrawKeys) ([]*schema.Item, *schema.Result) {
	var items []*schema.Item
	for _, hash := range w.Hashes {
		k := s.snapshot.Key(hash)
		if k == nil {
			k = &schema.Key{Hash: hash}
		}
		if !k.Withdrawn {
			items = append(items, withdrawnItem(k))
		}
	}
	return items, nil
}

func withdrawnItem(k *schema.Key) *schema.Item {
	withdrawn := proto.Clone(k).(*schema.Key)
	withdrawn.Withdrawn = true
	return keyItem(withdrawn)
}

func keyItem(k *schema.Key) *schema.Item {
	return &schema.Item{Path: "key/" + k.Hash, Value: &schema.Item_Key{Key: k}}
}
