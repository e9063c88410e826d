package configurer

import (
	"crypto/sha256"
	"fmt"
	"maps"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Requests whose answers are kept, so that a resend gets the first answer.
	answerLimit = 20_000
	// Changes that the history keeps.
	historyLimit = 2_000
	// Path under which a saved state holds the newest document's source.
	sourcePath = "source"
)

// State is the configuration as a control host holds it. Set nothing; call New or Load.
type State struct {
	snapshot *Snapshot
	answers  map[string]*schema.Answer
	order    []string
	history  []*schema.Change
	document *schema.Document // newest document as it was sent; nil: none
}

// New returns an empty configuration.
func New() *State {
	return &State{snapshot: FromMessage(nil), answers: map[string]*schema.Answer{}}
}

// Load returns the configuration that Save wrote.
func Load(b []byte) (*State, error) {
	s := New()
	if len(b) == 0 {
		return s, nil
	}
	m := &schema.Snapshot{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("configurer: snapshot: %w", err)
	}
	var items []*schema.Item
	for _, it := range m.Items {
		if c := it.GetChange(); c != nil {
			s.history = append(s.history, c)
			continue
		}
		if it.Path == sourcePath {
			s.document = it.GetDocument()
			continue
		}
		items = append(items, it)
	}
	m.Items = items
	s.snapshot = FromMessage(m)
	for _, a := range m.Answers {
		s.remember(a)
	}
	return s, nil
}

// Save returns the configuration with its history and answers.
func (s *State) Save() ([]byte, error) {
	m := s.snapshot.Message()
	for _, c := range s.history {
		m.Items = append(m.Items, &schema.Item{Path: fmt.Sprintf("change/%020d", c.Version), Value: &schema.Item_Change{Change: c}})
	}
	if s.document != nil {
		m.Items = append(m.Items, &schema.Item{Path: sourcePath, Value: &schema.Item_Document{Document: s.document}})
	}
	for _, request := range s.order {
		m.Answers = append(m.Answers, s.answers[request])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

// Snapshot returns the configuration in force.
func (s *State) Snapshot() *Snapshot { return s.snapshot }

// History returns the accepted changes, oldest first.
func (s *State) History() []*schema.Change { return s.history }

// Apply carries out one command. The delta is nil if nothing changed.
func (s *State) Apply(c *schema.Command) (*schema.Result, *schema.Delta) {
	digest := commandDigest(c)
	if a := s.answers[c.Request]; a != nil && c.Request != "" {
		if string(a.Digest) != string(digest) {
			return s.refuse(schema.Refusal_REFUSAL_CONFLICT, "request identity %q was used for another change", c.Request), nil
		}
		return a.Result, nil
	}
	result, delta := s.run(c)
	if c.Request != "" {
		s.remember(&schema.Answer{Request: c.Request, Result: result, Digest: digest})
	}
	return result, delta
}

// commandDigest identifies what a command asks for, not when.
func commandDigest(c *schema.Command) []byte {
	timeless := proto.Clone(c).(*schema.Command)
	timeless.Time = 0
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(timeless)
	if err != nil {
		panic("configurer: a command cannot be marshalled: " + err.Error())
	}
	sum := sha256.Sum256(b)
	return sum[:]
}

func (s *State) remember(a *schema.Answer) {
	s.answers[a.Request] = a
	s.order = append(s.order, a.Request)
	if len(s.order) > answerLimit {
		delete(s.answers, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *State) run(c *schema.Command) (*schema.Result, *schema.Delta) {
	var items []*schema.Item
	var refusal *schema.Result
	switch op := c.Op.(type) {
	case *schema.Command_Apply:
		items, refusal = s.applySheet(c, op.Apply)
	case *schema.Command_Issue:
		items, refusal = s.issueKey(op.Issue)
	case *schema.Command_Withdraw:
		items, refusal = s.withdrawKeys(op.Withdraw)
	case *schema.Command_Join:
		items, refusal = s.joinHost(op.Join)
	case *schema.Command_Drain:
		items, refusal = s.drainHost(op.Drain)
	case *schema.Command_Remove:
		items, refusal = s.removeHost(op.Remove)
	case *schema.Command_Activate:
		items, refusal = s.activateHosts(op.Activate)
	case *schema.Command_Group:
		items, refusal = s.setGroup(op.Group)
	case *schema.Command_Document:
		items, refusal = s.applyDocument(op.Document)
	case *schema.Command_Evacuate:
		items, refusal = s.evacuate(op.Evacuate)
	case *schema.Command_Epoch:
		return s.done(), nil
	default:
		refusal = s.refuse(schema.Refusal_REFUSAL_INVALID, "unknown command")
	}
	if refusal != nil {
		return refusal, nil
	}
	if len(items) == 0 {
		return s.done(), nil
	}
	return s.commit(c, items)
}

// commit puts items in force as the next version.
func (s *State) commit(c *schema.Command, items []*schema.Item) (*schema.Result, *schema.Delta) {
	version := s.snapshot.Version + 1
	for _, it := range items {
		if sheet := it.GetSheet(); sheet != nil {
			sheet.Version = version
		}
	}
	next := &Snapshot{
		Version: version,
		Hash:    nextHash(s.snapshot.Hash, version, items),
		items:   maps.Clone(s.snapshot.items),
	}
	for _, it := range items {
		next.put(it)
	}
	s.snapshot = next
	s.note(c, version, items)
	return s.done(), &schema.Delta{Version: version, Items: items, Hash: next.Hash}
}

func (s *State) note(c *schema.Command, version uint64, items []*schema.Item) {
	s.history = append(s.history, &schema.Change{
		Version: version, Operator: c.Operator, Time: c.Time, Sheet: c.GetApply().GetNumber(), Summary: summarize(items),
	})
	if len(s.history) > historyLimit {
		s.history = s.history[1:]
	}
}

func summarize(items []*schema.Item) string {
	text := ""
	for i, it := range items {
		if i == 8 {
			return fmt.Sprintf("%s and %d more", text, len(items)-i)
		}
		sign := "="
		if it.Removed {
			sign = "-"
		}
		if i > 0 {
			text += " "
		}
		text += sign + it.Path
	}
	return text
}

func (s *State) done() *schema.Result { return &schema.Result{Version: s.snapshot.Version} }

func (s *State) refuse(why schema.Refusal, format string, args ...any) *schema.Result {
	return &schema.Result{Refusal: why, Detail: fmt.Sprintf(format, args...), Version: s.snapshot.Version}
}
