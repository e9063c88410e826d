package configurer

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Number of requests whose answers are kept, so that a resend gets the first answer.
	maxAnswers = 20_000
	// Number of changes kept in the history.
	maxHistory = 2_000
	// Path of the item in a saved state that holds the newest document with its source.
	sourcePath = "source"
)

// State is the replicated state of a control host: the configuration, the history of its
// changes and the answers to recent requests. Create it with New or Decode. It is not safe
// for concurrent use.
type State struct {
	snapshot    *Snapshot
	answers     map[string]*schema.Answer
	answerOrder []string
	history     []*schema.Change
	document    *schema.Document // number and source of the newest document; nil: none
}

// New returns a state with an empty configuration of version 0.
func New() *State {
	return &State{snapshot: FromMessage(nil), answers: map[string]*schema.Answer{}}
}

// Decode decodes a state that Encode returned. Empty b gives an empty state.
func Decode(b []byte) (*State, error) {
	s := New()
	if len(b) == 0 {
		return s, nil
	}
	m := &schema.Snapshot{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("configurer: cannot decode the saved state: %w", err)
	}
	var items []*schema.Item
	for _, it := range m.Items {
		if err := checkItem(it); err != nil {
			return nil, fmt.Errorf("configurer: cannot use the saved state: %w", err)
		}
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
		s.storeAnswer(a)
	}
	return s, nil
}

// Encode encodes the configuration with its history and answers.
func (s *State) Encode() ([]byte, error) { return s.Capture()() }

// Capture returns a function that encodes the state as it is now. It may be called concurrently with the
// methods of s.
func (s *State) Capture() func() ([]byte, error) {
	snapshot, history, document := s.snapshot, slices.Clone(s.history), s.document
	var answers []*schema.Answer
	for _, request := range s.answerOrder {
		answers = append(answers, s.answers[request])
	}
	return func() ([]byte, error) {
		m := snapshot.Message()
		for _, c := range history {
			m.Items = append(m.Items, &schema.Item{Path: fmt.Sprintf("change/%020d", c.Version), Value: &schema.Item_Change{Change: c}})
		}
		if document != nil {
			m.Items = append(m.Items, &schema.Item{Path: sourcePath, Value: &schema.Item_Document{Document: document}})
		}
		m.Answers = answers
		return proto.MarshalOptions{Deterministic: true}.Marshal(m)
	}
}

// Snapshot returns the configuration in force.
func (s *State) Snapshot() *Snapshot { return s.snapshot }

// History returns the last maxHistory changes, oldest first.
func (s *State) History() []*schema.Change { return s.history }

// Apply executes one command. A command whose request identity is known gets the stored
// answer, or a refusal if its content differs. The delta is nil if nothing changed.
func (s *State) Apply(c *schema.Command) (*schema.Result, *schema.Delta) {
	if c.Request == "" {
		return s.execute(c)
	}
	digest := commandDigest(c)
	if a := s.answers[c.Request]; a != nil {
		if string(a.Digest) != string(digest) {
			return s.refuse(schema.Refusal_REFUSAL_CONFLICT, "request identity %q was used for another change", c.Request), nil
		}
		return a.Result, nil
	}
	result, delta := s.execute(c)
	s.storeAnswer(&schema.Answer{Request: c.Request, Result: result, Digest: digest})
	return result, delta
}

// commandDigest returns a hash of a command without its time.
func commandDigest(c *schema.Command) []byte {
	untimed := proto.Clone(c).(*schema.Command)
	untimed.Time = 0
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(untimed)
	if err != nil {
		panic("configurer: cannot marshal command: " + err.Error())
	}
	sum := sha256.Sum256(b)
	return sum[:]
}

func (s *State) storeAnswer(a *schema.Answer) {
	s.answers[a.Request] = a
	s.answerOrder = append(s.answerOrder, a.Request)
	if len(s.answerOrder) > maxAnswers {
		delete(s.answers, s.answerOrder[0])
		s.answerOrder = s.answerOrder[1:]
	}
}

func (s *State) execute(c *schema.Command) (*schema.Result, *schema.Delta) {
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
		return s.accepted(), nil
	default:
		refusal = s.refuse(schema.Refusal_REFUSAL_INVALID, "unknown command")
	}
	if refusal != nil {
		return refusal, nil
	}
	if len(items) == 0 {
		return s.accepted(), nil
	}
	return s.commit(c, items)
}

// commit stores items as the next version of the configuration.
func (s *State) commit(c *schema.Command, items []*schema.Item) (*schema.Result, *schema.Delta) {
	version := s.snapshot.Version + 1
	for _, it := range items {
		if sheet := it.GetSheet(); sheet != nil {
			sheet.Version = version
		}
	}
	next := s.snapshot.next(version, nextHash(s.snapshot.Hash, version, items))
	for _, it := range items {
		if it.Removed {
			next.remove(it.Path)
		} else {
			next.put(it)
		}
	}
	s.snapshot = next
	s.recordChange(c, version, items)
	return s.accepted(), &schema.Delta{Version: version, Items: items, Hash: next.Hash}
}

func (s *State) recordChange(c *schema.Command, version uint64, items []*schema.Item) {
	s.history = append(s.history, &schema.Change{
		Version: version, Operator: c.Operator, Time: c.Time, Sheet: c.GetApply().GetNumber(), Summary: summarize(items),
	})
	if len(s.history) > maxHistory {
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

func (s *State) accepted() *schema.Result { return &schema.Result{Version: s.snapshot.Version} }

func (s *State) refuse(reason schema.Refusal, format string, args ...any) *schema.Result {
	return &schema.Result{Refusal: reason, Detail: fmt.Sprintf(format, args...), Version: s.snapshot.Version}
}
