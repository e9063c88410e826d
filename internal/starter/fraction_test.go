package starter

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/apportioner"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// values returns the values of a collector's counters and gauges, by the value of their one label.
func values(t *testing.T, c prometheus.Collector) map[string]float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(c)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, family := range families {
		for _, m := range family.Metric {
			got[m.Label[0].GetValue()] = m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return got
}

// TestFractionsAreLoggedWhenTheyChange guards against a line for each report of load.
func TestFractionsAreLoggedWhenTheyChange(t *testing.T) {
	var out bytes.Buffer
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	o := newFractionObserver(clock, zerolog.New(&out))
	record := func(value float64) {
		o.record(map[string]apportioner.Fraction{"p": {Value: value, Equal: 0.1}})
		clock.Advance(300 * time.Millisecond)
	}
	for _, x := range []struct {
		value float64
		lines int
	}{{0.1, 0}, {0.15, 0}, {0.3, 1}, {0.05, 1}, {0.3, 1}} {
		record(x.value)
		if n := strings.Count(out.String(), "fraction of the free slots changed"); n != x.lines {
			t.Errorf("fraction %.2f: %d lines, want %d", x.value, n, x.lines)
		}
	}
	clock.Advance(fractionLogInterval)
	record(0.05)
	if n := strings.Count(out.String(), "fraction of the free slots changed"); n != 2 {
		t.Errorf("%d lines after a while, want 2", n)
	}
	if n := values(t, o.gauge)["p"]; math.Abs(n-0.5) > 1e-9 {
		t.Errorf("metric %v, want 0.5", n)
	}
	o.record(nil)
	if n := len(values(t, o.gauge)); n != 0 {
		t.Errorf("%d pools outside adaptive mode", n)
	}
}
