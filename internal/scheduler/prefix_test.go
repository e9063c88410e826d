package scheduler

import (
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestLongPrefixStays guards against a long shared prefix that is read again at other engines although its preferred one
// would answer in time: the backlog there takes 0.85 of the time until the objective. A request of which most is its own
// goes elsewhere, since there is no such gain.
func TestLongPrefixStays(t *testing.T) {
	for _, c := range []struct {
		name        string
		shared, own int64
		stays       bool
	}{
		{"long shared prefix", 6_300, 2_890, true},
		{"short shared prefix", 200, 2_890, false},
	} {
		clock := &timer.Service{Clock: &timer.ManualClock{}}
		clock.Advance(time.Hour)
		cfg := config()
		cfg.Pool("engine").Engine = &schema.Engine{Slots: 16, Tokens: 147_000, Stride: 5}
		s := &Scheduler{Timer: clock, Config: func() *configurer.Snapshot { return cfg }, Adaptive: func() bool { return true }}
		var all []*schema.Announcement
		for _, name := range []string{"a", "b", "c"} {
			all = append(all, &schema.Announcement{Name: name, Pool: "engine", Domain: "d", Slots: 16, Incarnation: 1})
		}
		s.UpdateUpstreams(all)
		w := &Request{
			Pool: "engine", Parts: []PromptPart{{ID: "shared", Tokens: c.shared}, {ID: "own", Tokens: c.own}}, InputTokens: c.shared + c.own,
			OutputTokens: 50, ObjectiveAt: clock.Now() + 1200*time.Millisecond, Deadline: clock.Now() + 6*time.Second,
		}
		preferred := preferredUpstream(w, s.candidates(w, clock.Now()))
		backlog := int64(0.85*1.2*40_000) - c.own // at the assumed speed of 40,000 tokens a second
		s.UpdateOtherLoads([]*schema.PoolLoad{{
			Pool: "engine", Running: map[string]int32{preferred.announcement.Name: 4}, Reading: map[string]int64{preferred.announcement.Name: backlog},
		}})
		x, err := s.reserveOrEnqueue(w)
		if err != nil || x.reservation == nil {
			t.Fatalf("%s: no reservation: %v", c.name, err)
		}
		if x.reservation.Preferred != c.stays {
			t.Errorf("%s: placed at the preferred engine: %t, want %t", c.name, x.reservation.Preferred, c.stays)
		}
	}
}
