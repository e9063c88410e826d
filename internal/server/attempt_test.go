package server

import (
	"testing"

	"github.com/trefoilloft/trefoilloft/internal/caller"
)

// TestSilentConnectionIsNotFollowedByAnIdleOne loses a connection to silence. The next try
// at that upstream must not take one that was idle beside it; once one has worked, it may.
func TestSilentConnectionIsNotFollowedByAnIdleOne(t *testing.T) {
	x := newTries()
	if x.fresh("e") {
		t.Error("the first try needs a connection of its own")
	}
	if !x.note("e", caller.ErrStalled, false) {
		t.Fatal("not tried again")
	}
	if !x.fresh("e") || x.fresh("f") {
		t.Error("after a silence the next try at that upstream, and only there, needs a connection of its own")
	}
	x.note("e", nil, true)
	if x.fresh("e") {
		t.Error("a connection of its own is needed although one has worked since")
	}
}
