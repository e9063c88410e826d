package forwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestLimitsInAnswers guards against a limit in an answer that is not kept to, and against one that ends
// by a rejection or by a limit that cannot be read.
func TestLimitsInAnswers(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	rejected := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	s := newSystemAt(t, clock, []scriptStep{
		text(200, "a"), text(200, "b", "Limit", "2"), rejected, rejected, text(200, "c", "Limit", "many"), text(500, "d", "Limit", "3"),
		text(200, "e"), text(200, "f"),
	})
	limit := func(rate float64, ended bool) []*schema.NamedLimit {
		return []*schema.NamedLimit{{Upstream: "u0", Incarnation: 1, Rate: rate, Ended: ended}}
	}
	for i, want := range [][]*schema.NamedLimit{nil, limit(2, false), nil, nil, nil, limit(3, false), nil, limit(0, true)} {
		s.call("/once/x", "")
		if diff := cmp.Diff(want, s.Scheduler.OwnLimits(), protocmp.Transform()); diff != "" {
			t.Errorf("answer %d: -want +got\n%s", i, diff)
		}
		if limited := s.Scheduler.LimitedCount() == 1; limited != (i > 0 && i < 7) {
			t.Errorf("answer %d: limited %v", i, limited)
		}
		clock.Advance(3 * time.Second) // another request is allowed, and the last limit is no longer reported
	}
	if n := len(s.allArrivals()); n != 8 {
		t.Errorf("%d requests arrived, want 8", n)
	}
	s.call("/once/x", "")
	s.Scheduler.UpdateLimits([]*schema.NamedLimit{{Upstream: "u0", Incarnation: 1, Rate: 2}})
	if got := s.call("/once/x", ""); got.Status != http.StatusServiceUnavailable {
		t.Errorf("a request beyond a limit that another host received got status %d, want 503", got.Status)
	}
}
