package configurer

import (
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// documentKinds are the kinds of items that a document lists in full: an item of these
// kinds that it does not list is removed.
var documentKinds = []string{"customer", "key", "route", "pool", "bounds"}

const documentPath = "document"

// Document returns the number and source of the newest document, or nil.
func (s *State) Document() *schema.Document { return s.document }

// applyDocument replaces all items of documentKinds by those of a document if its number is
// higher than the one held. A document that is not newer changes nothing, whatever its
// content, so that a resend is accepted like the first one.
func (s *State) applyDocument(d *schema.Document) ([]*schema.Item, *schema.Result) {
	if s.document != nil && d.Number <= s.document.Number {
		return nil, &schema.Result{Version: s.snapshot.Version}
	}
	if err := checkStated(d.Items, documentKinds); err != nil {
		return nil, s.refuse(schema.Refusal_REFUSAL_INVALID, "document %d: %v", d.Number, err)
	}
	changed := diffKinds(s.snapshot, d.Items, documentKinds)
	s.document = &schema.Document{Number: d.Number, Source: d.Source}
	// The new number is stored even if no other item changed.
	numberOnly := &schema.Document{Number: d.Number}
	return append(changed, &schema.Item{Path: documentPath, Value: &schema.Item_Document{Document: numberOnly}}), nil
}

// evacuate begins or ends the evacuation of a failure domain. Both are idempotent.
func (s *State) evacuate(e *schema.Evacuate) ([]*schema.Item, *schema.Result) {
	if e.Domain == "" {
		return nil, s.refuse(schema.Refusal_REFUSAL_INVALID, "an evacuation needs a failure domain")
	}
	path := "evacuation/" + e.Domain
	evacuated := s.snapshot.Item(path) != nil
	switch {
	case e.End && evacuated:
		return []*schema.Item{{Path: path, Removed: true}}, nil
	case !e.End && !evacuated:
		return []*schema.Item{{Path: path, Value: &schema.Item_Evacuation{Evacuation: &schema.Evacuation{Domain: e.Domain}}}}, nil
	}
	return nil, nil
}

// DocumentNumber returns the number of the document in force; 0 if there is none.
func (s *Snapshot) DocumentNumber() uint64 { return s.items[documentPath].GetDocument().GetNumber() }

// Evacuated reports whether a failure domain is evacuated: nothing may be sent to its
// upstreams.
func (s *Snapshot) Evacuated(domain string) bool { return s.items["evacuation/"+domain] != nil }

// Pool returns a pool by name, or nil.
func (s *Snapshot) Pool(name string) *schema.Pool { return s.Item("pool/" + name).GetPool() }

// Route returns a route by name, or nil.
func (s *Snapshot) Route(name string) *schema.Route { return s.Item("route/" + name).GetRoute() }

// Bounds returns the bounds on callers' requests, or nil if there are none.
func (s *Snapshot) Bounds() *schema.Bounds { return s.Item("bounds/callers").GetBounds() }
