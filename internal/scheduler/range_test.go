package scheduler

import (
	"math"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestColdForAges guards against an upstream that counts as warm since its cold time is out of the range of
// a duration.
func TestColdForAges(t *testing.T) {
	for _, cold := range []float64{5, 1e8, 9.3e9, 1e297, math.Inf(1)} {
		s := newScheduler(&schema.Announcement{Name: "e0", Pool: "engine", Slots: 16, Incarnation: 1, Cold: cold})
		if u := s.upstreams["e0"]; u.coldUntil < s.Timer.Now()+5*time.Second {
			t.Errorf("cold for %v s: cold until %v, now %v", cold, u.coldUntil, s.Timer.Now())
		}
	}
}

// TestLargeLimit guards against a named limit whose number of hosts that may send differs with the
// processor.
func TestLargeLimit(t *testing.T) {
	for rate, want := range map[float64]int{0.5: 1, 3.9: 3, 7: 7, 1e9: 7, 1e19: 7, 1e300: 7, math.Inf(1): 7} {
		l := &limitState{rate: rate, hosts: 7}
		if got := l.baseOwners(); got != want {
			t.Errorf("limit of %v a second: %d of 7 hosts may send, want %d", rate, got, want)
		}
	}
}
