package confiner

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// counted returns the number of panics of a kind of work, as the metric says.
func counted(t *testing.T, work string) float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(Collector())
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.Metric {
			if m.Label[0].GetValue() == work {
				return m.Counter.GetValue()
			}
		}
	}
	return 0
}

// TestCall guards against a panic that ends more than the work that raised it, or that leaves no trace.
func TestCall(t *testing.T) {
	var log strings.Builder
	before := counted(t, "message")
	for n := range 4 {
		if returned := Call(zerolog.New(&log), "message", func() {
			if n%2 == 1 {
				panic("broken")
			}
		}); returned != (n%2 == 0) {
			t.Errorf("call %d: returned %v", n, returned)
		}
	}
	if got := counted(t, "message") - before; got != 2 {
		t.Errorf("%v panics counted, want 2", got)
	}
	if got := log.String(); strings.Count(got, `"work":"message","panic":"broken"`) != 2 || !strings.Contains(got, "confiner_test.go") {
		t.Errorf("log: %s", got)
	}
}
