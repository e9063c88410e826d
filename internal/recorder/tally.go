package recorder

import "github.com/trefoilloft/trefoilloft/internal/schema"

// Quorum returns how many of n holders must accept an intent: a majority, and at least two,
// so that the loss of one host loses no record.
func Quorum(n int) int { return max(2, n/2+1) }

// Verdict is what the replies to a claim come to.
type Verdict int

// The verdicts.
const (
	// Open: more replies are needed.
	Open Verdict = iota
	// Granted: the call may run.
	Granted
	// Taken: there is a record of an earlier claim.
	Taken
	// Closed: no majority can accept the claim now.
	Closed
)

// Tally counts the replies to one claim. Set Holders and Version before use.
type Tally struct {
	Holders int
	Version uint64
	Claim   string

	replies  []*schema.ClaimReply
	failures int
	record   *schema.Record
}

// Add takes one reply; nil stands for a holder that did not answer.
func (t *Tally) Add(r *schema.ClaimReply) {
	if r == nil {
		t.failures++
		return
	}
	t.replies = append(t.replies, r)
	if r.Record != nil && r.Record.Claim != t.Claim && (t.record == nil || weight(r.Record) > weight(t.record)) {
		t.record = r.Record
	}
}

// Record returns the best record that a holder refused the claim with, or nil.
func (t *Tally) Record() *schema.Record { return t.record }

// Verdict returns what the replies so far come to.
func (t *Tally) Verdict() Verdict {
	left := t.Holders - len(t.replies) - t.failures
	if t.record != nil && t.record.State == schema.RecordState_RECORD_DONE {
		// A witness has no answer to give; another holder may.
		if t.record.Status == 0 && left > 0 {
			return Open
		}
		return Taken
	}
	valid := 0
	for _, r := range t.replies {
		if r.Accepted && r.Version == t.Version && !t.outdated(r) {
			valid++
		}
	}
	if valid >= Quorum(t.Holders) {
		return Granted
	}
	if valid+left >= Quorum(t.Holders) {
		return Open
	}
	if t.record != nil {
		return Taken
	}
	return Closed
}

// outdated reports whether another holder knows that the one that accepted has lost its
// memory since.
func (t *Tally) outdated(r *schema.ClaimReply) bool {
	for _, other := range t.replies {
		if other.Accepted && other.Known[r.Holder] > r.Incarnation {
			return true
		}
	}
	return false
}
