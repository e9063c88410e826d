package starter

import (
	"testing"
	"time"
)

// TestFailingHost guards against a host that offers itself to callers while it fails every request by its own fault, as one
// did under the largest limit of bodies, and against one that a few such requests take away for good.
func TestFailingHost(t *testing.T) {
	w := &failureWatch{}
	now := time.Hour
	check := func(step string, want bool) {
		t.Helper()
		if got := w.failing(now); got != want {
			t.Errorf("%s: failing %v, want %v", step, got, want)
		}
	}
	check("without requests", false)
	for range minFailedRequests - 1 {
		w.record(true, now)
	}
	check("a few failed", false)
	if _, ended := w.record(false, now); ended {
		t.Error("it ended before it began")
	}
	for i := range 3 * minFailedRequests {
		if began, _ := w.record(true, now); began != (i == minFailedRequests-1) {
			t.Errorf("request %d: began %v", i, began)
		}
	}
	check("all failed", true)
	now += failingTime
	check("later without requests", false)
	w.record(true, now)
	check("the fault goes on", true)
	if _, ended := w.record(false, now); !ended {
		t.Error("a request that is answered does not end it")
	}
	check("one was answered", false)
}
