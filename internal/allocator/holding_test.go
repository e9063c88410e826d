package allocator

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestPeekChangesNothing guards against an explanation that spends tokens, counts as demand or creates an account, and
// against one that says something else than the charge of the same request.
func TestPeekChangesNothing(t *testing.T) {
	now := time.Hour
	b := &Bucket{
		Now: func() time.Duration { return now }, LoansOnly: true, Adaptive: func() bool { return true },
		Limits: func(customer string) (Limits, bool) { return Limits{Rate: 100, Burst: 400}, customer != "unknown" },
	}
	b.ApplyStanding([]*schema.Share{{Customer: "c", Rate: 10, Burst: 50, Left: 4}}, now)
	b.RecordLoan("c", 30, 0)
	now += 2 * time.Second
	for _, c := range []struct {
		customer string
		tokens   float64
		limited  bool
	}{{"c", 15, true}, {"c", 45, true}, {"c", 4, true}, {"new", 10, true}, {"unknown", 10, false}} {
		before := stateOf(b)
		h, limited, err := b.Peek(c.customer, c.tokens)
		if diff := cmp.Diff(before, stateOf(b)); diff != "" {
			t.Fatalf("%s, %v tokens: Peek changed the bucket: -before +after\n%s", c.customer, c.tokens, diff)
		}
		level, took := b.Take(c.customer, c.tokens)
		if limited != c.limited || limited && took == nil && h.Level-c.tokens != level {
			t.Errorf("%s, %v tokens: Peek says %+v, %v; the level after Take is %v", c.customer, c.tokens, h, limited, level)
		}
		if diff := cmp.Diff(took, err); diff != "" {
			t.Errorf("%s, %v tokens: error of Take and Peek: -Take +Peek\n%s", c.customer, c.tokens, diff)
		}
		now += 100 * time.Millisecond
	}
}

// bucketState is what a Bucket holds.
type bucketState struct {
	Accounts map[string]account
	Stats    ShareStats
}

func stateOf(b *Bucket) string {
	s := bucketState{Accounts: map[string]account{}, Stats: b.shareStats}
	for name, a := range b.customers {
		s.Accounts[name] = *a
	}
	return cmp.Diff(bucketState{}, s, cmp.AllowUnexported(account{}, part{}))
}
