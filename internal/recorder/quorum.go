package recorder

import "github.com/trefoilloft/trefoilloft/internal/schema"

// Quorum returns how many of n holders must accept an intent: a majority, and at least two,
// so that the loss of one host loses no record.
func Quorum(n int) int { return max(2, n/2+1) }

// Verdict is the state of a claim, as it follows from the holders' replies.
type Verdict int

// The decisions on a claim.
const (
	// Open: more replies are needed.
	Open Verdict = iota
	// Granted: a quorum accepted the claim, and the call may run.
	Granted
	// Taken: a holder has a record of another claim of the same key.
	Taken
	// Closed: no quorum can accept the claim now.
	Closed
)

// Tally decides on one claim from the holders' replies. Set the exported fields before use. It
// is not safe for concurrent use.
type Tally struct {
	// Holders is the number of holders of the group.
	Holders int
	// Version is the version of the group that the claim was made for.
	Version uint64
	// Claim identifies the claim that is decided on.
	Claim string

	replies    []*schema.ClaimReply
	unanswered int
	existing   *schema.Record
}

// Add counts one holder's reply; nil stands for a holder that did not answer.
func (t *Tally) Add(r *schema.ClaimReply) {
	if r == nil {
		t.unanswered++
		return
	}
	t.replies = append(t.replies, r)
	if r.Record != nil && r.Record.Claim != t.Claim && (t.existing == nil || precedence(r.Record) > precedence(t.existing)) {
		t.existing = r.Record
	}
}

// Record returns the record of highest precedence among those of other claims of the key that
// holders returned, or nil.
func (t *Tally) Record() *schema.Record { return t.existing }

// Verdict returns the decision according to the replies so far.
func (t *Tally) Verdict() Verdict {
	pending := t.Holders - len(t.replies) - t.unanswered
	if t.existing != nil && t.existing.State == schema.RecordState_RECORD_DONE {
		// The record of a witness lacks the answer; another holder may have it.
		if t.existing.Status == 0 && pending > 0 {
			return Open
		}
		return Taken
	}
	accepted := 0
	for _, r := range t.replies {
		if r.Accepted && r.Version == t.Version && !t.isSuperseded(r) {
			accepted++
		}
	}
	if accepted >= Quorum(t.Holders) {
		return Granted
	}
	if accepted+pending >= Quorum(t.Holders) {
		return Open
	}
	if t.existing != nil {
		return Taken
	}
	return Closed
}

// isSuperseded reports whether the holder that sent r has lost its records since: another
// holder that accepted knows a newer incarnation of it.
func (t *Tally) isSuperseded(r *schema.ClaimReply) bool {
	for _, other := range t.replies {
		if other.Accepted && other.Known[r.Holder] > r.Incarnation {
			return true
		}
	}
	return false
}
