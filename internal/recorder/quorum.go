package recorder

import "github.com/trefoilloft/trefoilloft/internal/schema"

// Quorum returns how many of n holders must accept an intent: a majority, and at least two,
// so that the loss of one host loses no record.
func Quorum(n int) int { return max(2, n/2+1) }

// Decision is the state of a claim, as it follows from the holders' replies.
type Decision int

// The decisions on a claim.
const (
	// Undecided: more replies are needed.
	Undecided Decision = iota
	// Granted: a quorum accepted the claim, and the call may run.
	Granted
	// AlreadyClaimed: a holder has a record of another claim of the same key.
	AlreadyClaimed
	// NoQuorum: no quorum can accept the claim now.
	NoQuorum
)

// ClaimQuorum decides on one claim from the holders' replies. Set the exported fields before use.
// It is not safe for concurrent use.
type ClaimQuorum struct {
	// HolderCount is the number of holders of the group.
	HolderCount int
	// GroupVersion is the version of the group that the claim was made for.
	GroupVersion uint64
	// Claim identifies the claim that is decided on.
	Claim string

	replies    []*schema.ClaimReply
	unanswered int
	existing   *schema.Record
}

// Add counts one holder's reply; nil stands for a holder that did not answer.
func (q *ClaimQuorum) Add(r *schema.ClaimReply) {
	if r == nil {
		q.unanswered++
		return
	}
	q.replies = append(q.replies, r)
	if r.Record != nil && r.Record.Claim != q.Claim && (q.existing == nil || precedence(r.Record) > precedence(q.existing)) {
		q.existing = r.Record
	}
}

// ExistingRecord returns the record of highest precedence among those of other claims of the key
// that holders returned, or nil.
func (q *ClaimQuorum) ExistingRecord() *schema.Record { return q.existing }

// Decide returns the decision according to the replies so far.
func (q *ClaimQuorum) Decide() Decision {
	pending := q.HolderCount - len(q.replies) - q.unanswered
	if q.existing != nil && q.existing.State == schema.RecordState_RECORD_DONE {
		// The record of a witness lacks the answer; another holder may have it.
		if q.existing.Status == 0 && pending > 0 {
			return Undecided
		}
		return AlreadyClaimed
	}
	accepted := 0
	for _, r := range q.replies {
		if r.Accepted && r.Version == q.GroupVersion && !q.isSuperseded(r) {
			accepted++
		}
	}
	if accepted >= Quorum(q.HolderCount) {
		return Granted
	}
	if accepted+pending >= Quorum(q.HolderCount) {
		return Undecided
	}
	if q.existing != nil {
		return AlreadyClaimed
	}
	return NoQuorum
}

// isSuperseded reports whether the holder that sent r has lost its records since: another
// holder that accepted knows a newer incarnation of it.
func (q *ClaimQuorum) isSuperseded(r *schema.ClaimReply) bool {
	for _, other := range q.replies {
		if other.Accepted && other.Known[r.Holder] > r.Incarnation {
			return true
		}
	}
	return false
}
