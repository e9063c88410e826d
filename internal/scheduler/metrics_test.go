package scheduler

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/trefoilloft/trefoilloft/internal/estimator"
)

// TestEstimateMetrics guards against metrics that cannot be registered or have a series for each engine, whose number
// is not bounded, and against errors of estimates that are not counted.
func TestEstimateMetrics(t *testing.T) {
	s := newScheduler(engines(30)...)
	s.Adaptive = func() bool { return true }
	registry := prometheus.NewRegistry()
	if err := registry.Register(NewEstimateMetrics(s)); err != nil {
		t.Fatal(err)
	}
	for range 40 {
		w := s.prompt("a", 500, time.Second)
		w.Sizing = estimator.Key{Route: "r", Customer: "c", Max: 100}
		p := s.reserveNow(w)
		s.Timer.Advance(50 * time.Millisecond)
		p.RecordEvents(5)
		p.RecordFirstToken()
		p.Release(Answered)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	series := map[string]int{}
	for _, f := range families {
		series[f.GetName()] = len(f.GetMetric())
		for _, m := range f.GetMetric() {
			if h := m.GetHistogram(); h != nil && h.GetSampleCount() != 40 {
				t.Errorf("%s has %d samples, want 40", f.GetName(), h.GetSampleCount())
			}
		}
	}
	for name, want := range map[string]int{
		"trefoil_estimate_first_ratio": 1, "trefoil_estimate_output_ratio": 1, "trefoil_engine_work_seconds": 2, "trefoil_engine_held_tokens": 2,
		"trefoil_engine_prefill_token_seconds": 2, "trefoil_engine_step_seconds": 2,
	} {
		if series[name] != want {
			t.Errorf("%s has %d series, want %d", name, series[name], want)
		}
	}
}
