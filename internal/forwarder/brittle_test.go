package forwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestBrittlenessInAnswers guards against an answer that says that its upstream is brittle and is not heeded, against a
// number that cannot be read, which must count as 0, and against a state that a rejection ends.
func TestBrittlenessInAnswers(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	rejected := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	s := newSystemAt(t, clock, []scriptStep{
		text(200, "a"), text(200, "b", "Brittle", "2"), rejected, text(200, "c", "Brittle", "many"), text(500, "d", "Brittle", "3"),
		text(200, "e"), text(200, "f"),
	})
	type state struct {
		Status, Brittle     int
		Rejections          float64 // as reported to other hosts; -1: nothing is
		Ended               bool
		Invalid, TurnedAway float64
	}
	want := []state{
		{Status: 200, Rejections: -1},
		{Status: 200, Brittle: 1, Rejections: 2},
		{Status: 503, Brittle: 1, Rejections: 2, TurnedAway: 1},
		{Status: 200, Brittle: 1, Rejections: 0, TurnedAway: 1, Invalid: 1},
		{Status: 500, Brittle: 1, Rejections: 3, TurnedAway: 1, Invalid: 1},
		{Status: 200, Brittle: 1, Rejections: -1, TurnedAway: 1, Invalid: 1},
		{Status: 200, Rejections: 0, Ended: true, TurnedAway: 1, Invalid: 1},
	}
	for i, want := range want {
		got := state{Status: s.call("/once/x", "").Status, Brittle: s.Scheduler.BrittleCount(), Rejections: -1}
		for _, b := range s.Scheduler.OwnBrittleness() {
			got.Rejections, got.Ended = b.Rejections, b.Ended
		}
		got.Invalid, got.TurnedAway = counted(t, s.Metrics.brittlenessInvalid), counted(t, s.Metrics.rejections)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("answer %d: -want +got\n%s", i, diff)
		}
		clock.Advance(3 * time.Second)
	}
}

// TestTurnedAwayByBrittleUpstream guards against a request that is too large for any upstream of a pool and is turned away
// by one brittle upstream after the other.
func TestTurnedAwayByBrittleUpstream(t *testing.T) {
	turnAway := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for _, brittle := range []bool{false, true} {
		s := newSystem(t, []scriptStep{turnAway}, []scriptStep{turnAway})
		want := 2
		if brittle {
			want = 1
			s.Scheduler.UpdateBrittleness([]*schema.Brittleness{
				{Upstream: "u0", Incarnation: 1, Rejections: 1}, {Upstream: "u1", Incarnation: 1, Rejections: 1},
			})
		}
		if got := s.call("/safe/x", ""); got.Status != http.StatusServiceUnavailable {
			t.Errorf("brittle %v: a request that was turned away got status %d, want 503", brittle, got.Status)
		}
		if n := len(s.allArrivals()); n != want {
			t.Errorf("brittle %v: a request was turned away %d times, want %d", brittle, n, want)
		}
	}
}

// counted returns the value of a counter.
func counted(t *testing.T, c prometheus.Counter) float64 {
	t.Helper()
	r := prometheus.NewRegistry()
	r.MustRegister(c)
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	return families[0].GetMetric()[0].GetCounter().GetValue()
}
