package configurer

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// ErrInvalidItem reports an item that has no path, or not the value that its path names.
var ErrInvalidItem = errors.New("configurer: invalid item")

// checkItem returns ErrInvalidItem for an item of a known kind without a value of that kind. Items of other
// kinds may be of a later version.
func checkItem(it *schema.Item) error {
	var valid bool
	switch kind, _, _ := strings.Cut(it.Path, "/"); kind {
	case "":
		valid = false
	case "customer":
		valid = it.GetCustomer() != nil
	case "key":
		valid = it.GetKey() != nil
	case "model":
		valid = it.GetModel() != nil
	case "route":
		valid = it.GetRoute() != nil
	case "host":
		valid = it.GetHost() != nil
	case "sheet":
		valid = it.GetSheet() != nil
	case "change":
		valid = it.GetChange() != nil
	case "group":
		valid = it.GetGroup() != nil
	case "pool":
		valid = it.GetPool() != nil
	case "bounds":
		valid = it.GetBounds() != nil
	case "evacuation":
		valid = it.GetEvacuation() != nil
	case documentPath, sourcePath:
		valid = it.GetDocument() != nil
	default:
		valid = true
	}
	if !valid || it.Removed {
		return fmt.Errorf("%w: %q", ErrInvalidItem, it.Path)
	}
	return nil
}

// checkStated returns ErrInvalidItem unless all items of a full list are valid and of some kinds.
func checkStated(items []*schema.Item, kinds []string) error {
	for _, it := range items {
		if kind, _, _ := strings.Cut(it.Path, "/"); !slices.Contains(kinds, kind) {
			return fmt.Errorf("%w: %q", ErrInvalidItem, it.Path)
		}
		if err := checkItem(it); err != nil {
			return err
		}
	}
	return nil
}

// Check returns ErrInvalidItem if an item of a snapshot cannot be used.
func (s *Snapshot) Check() error {
	for _, it := range s.items {
		if err := checkItem(it); err != nil {
			return err
		}
	}
	return nil
}
