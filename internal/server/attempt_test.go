package server

import (
	"testing"

	"github.com/trefoilloft/trefoilloft/internal/requester"
)

// TestStalledConnectionIsNotReplacedByAnIdleOne guards against repeated stalls: when a
// connection stalls, the idle ones to the same upstream may be dead too. The next attempt at that
// upstream must open a new one; after an attempt with progress, idle ones may be reused.
func TestStalledConnectionIsNotReplacedByAnIdleOne(t *testing.T) {
	history := newAttemptHistory()
	if history.needsNewConnection("e") {
		t.Error("the first attempt needs a new connection, want reuse")
	}
	if !history.record("e", requester.ErrStalled, false) {
		t.Fatal("the first stall excludes the upstream, want another attempt")
	}
	if !history.needsNewConnection("e") || history.needsNewConnection("f") {
		t.Error("after a stall, want a new connection for that upstream and for no other")
	}
	history.record("e", nil, true)
	if !history.record("e", requester.ErrIdleStalled, false) || !history.record("e", requester.ErrStalled, false) {
		t.Error("a stall of a new connection after one of an idle one excludes the upstream, want another attempt")
	}
	if history.record("e", requester.ErrStalled, false) {
		t.Error("the second stall of a new connection does not exclude the upstream")
	}
	history.record("e", nil, true)
	if history.needsNewConnection("e") {
		t.Error("a new connection is needed although an attempt has made progress since the stall")
	}
}
