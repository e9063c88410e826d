package configurer

import (
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// documentKinds are the kinds of items that a document states in full.
var documentKinds = []string{"customer", "key", "route", "pool", "bounds"}

const documentPath = "document"

// Document returns the newest document as it was sent, or nil.
func (s *State) Document() *schema.Document { return s.document }

// applyDocument puts a document in force whole if its number is higher than the one held.
// A document that is not newer changes nothing, whatever it says: a resend gets the same
// answer as the first time.
func (s *State) applyDocument(d *schema.Document) ([]*schema.Item, *schema.Result) {
	if s.document != nil && d.Number <= s.document.Number {
		return nil, &schema.Result{Version: s.snapshot.Version}
	}
	changed := diffKinds(s.snapshot, d.Items, documentKinds)
	s.document = &schema.Document{Number: d.Number, Source: d.Source}
	// The number is in force even if nothing else changed.
	mark := &schema.Document{Number: d.Number}
	return append(changed, &schema.Item{Path: documentPath, Value: &schema.Item_Document{Document: mark}}), nil
}

// evacuate begins or ends an evacuation of a failure domain. Either may be said again.
func (s *State) evacuate(e *schema.Evacuate) ([]*schema.Item, *schema.Result) {
	if e.Domain == "" {
		return nil, s.refuse(schema.Refusal_REFUSAL_INVALID, "an evacuation needs a failure domain")
	}
	path := "evacuation/" + e.Domain
	known := s.snapshot.Item(path) != nil
	switch {
	case e.End && known:
		return []*schema.Item{{Path: path, Removed: true}}, nil
	case !e.End && !known:
		return []*schema.Item{{Path: path, Value: &schema.Item_Evacuation{Evacuation: &schema.Evacuation{Domain: e.Domain}}}}, nil
	}
	return nil, nil
}

// Document returns the number of the newest document in force; 0 if there is none.
func (s *Snapshot) Document() uint64 { return s.items[documentPath].GetDocument().GetNumber() }

// Evacuated reports whether nothing may be sent to upstreams of a failure domain.
func (s *Snapshot) Evacuated(domain string) bool { return s.items["evacuation/"+domain] != nil }

// Pool returns a pool by name, or nil.
func (s *Snapshot) Pool(name string) *schema.Pool { return s.items["pool/"+name].GetPool() }

// Route returns a route by name, or nil.
func (s *Snapshot) Route(name string) *schema.Route { return s.items["route/"+name].GetRoute() }

// Bounds returns what callers may send, or nil.
func (s *Snapshot) Bounds() *schema.Bounds { return s.items["bounds/callers"].GetBounds() }
