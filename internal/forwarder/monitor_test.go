package forwarder

import (
	"testing"
	"time"
)

// TestUnresponsiveRegion guards against sending requests to a partitioned region. Once replies
// are due, it must be avoided within a second, probed at intervals, and used again as soon as
// it replies.
func TestUnresponsiveRegion(t *testing.T) {
	x := &regionMonitor{}
	now := time.Hour
	unresponsive := func() bool { s, _ := x.check("far", now); return s }
	x.recordRequest("far", now)
	now += 300 * time.Millisecond
	if unresponsive() {
		t.Error("unresponsive within the time of a round trip")
	}
	x.recordReply("far", now)
	now += time.Minute
	if unresponsive() {
		t.Error("unresponsive although no reply is due")
	}
	x.recordRequest("far", now)
	x.recordRequest("far", now+600*time.Millisecond)
	now += time.Second
	if !unresponsive() {
		t.Error("a region is still used 1s after a reply was due")
	}
	probes := 0
	for range 100 {
		now += 50 * time.Millisecond
		if _, probe := x.check("far", now); probe {
			probes++
		}
	}
	if probes < 5 || probes > 12 {
		t.Errorf("probed %d times in 5s", probes)
	}
	if !x.recordReply("far", now) || unresponsive() {
		t.Error("not used again after a reply")
	}
}
