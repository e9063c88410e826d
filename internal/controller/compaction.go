package controller

import (
	"github.com/trefoilloft/trefoilloft/internal/replicator"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Number of entries applied between two snapshots.
	entriesPerSnapshot = 5_000
	// Size of the entries applied between two snapshots: the larger of a minimum and a multiple of the size
	// of the last snapshot, so that taking snapshots costs little compared to writing the log.
	minBytesPerSnapshot = 4 << 20
	snapshotSizeFactor  = 2
	// Multiple of that size up to which a leader waits for members that lack some of the entries: without
	// them it would have to send the whole state.
	patienceFactor = 2
	// Ticks after its last reply for which a member is waited for.
	patienceTicks = 2 * electionTicks
)

// compaction counts what was applied since the last snapshot.
type compaction struct {
	index   uint64 // of the last entry that the stored snapshot covers
	size    int    // of the state in the stored snapshot, bytes
	entries int
	bytes   int
	running bool // a snapshot is being encoded
}

func (x *compaction) reset(s *schema.LogSnapshot) {
	x.index, x.size, x.entries, x.bytes = s.Index, len(s.State), 0, 0
}

// bytesPerSnapshot returns the size of the entries from which a snapshot is due.
func (x *compaction) bytesPerSnapshot() int {
	return max(minBytesPerSnapshot, snapshotSizeFactor*x.size)
}

// maybeCompact begins to take a snapshot if one is due. The state is encoded outside mu, as that takes long
// for a large one. The caller holds mu.
func (c *Controller) maybeCompact() {
	x := &c.compaction
	due := x.entries >= entriesPerSnapshot || x.bytes >= x.bytesPerSnapshot()
	if !due || x.running || c.halted || c.memberLags() && x.bytes < patienceFactor*x.bytesPerSnapshot() {
		return
	}
	x.running = true
	index, replica, encode := c.appliedIndex, c.replica, c.state.Capture()
	go func() {
		b, err := encode()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.compaction.running = false
		// The replica may have started again, or got a snapshot from the leader.
		if c.halted || c.replica != replica || c.compaction.index >= index {
			return
		}
		if err == nil {
			err = c.compact(index, b)
		}
		if err != nil {
			c.halt(err)
		}
	}()
}

// memberLags reports whether this host leads and a member that replies lacks entries which a snapshot
// would drop. The caller holds mu.
func (c *Controller) memberLags() bool {
	if role, _, _ := c.replica.Status(); role != replicator.Leader {
		return false
	}
	for _, m := range c.replica.Members().Members {
		if m.Id != c.replica.ID && c.replica.TicksSinceReply(m.Id) < patienceTicks && c.replica.MatchIndex(m.Id) < c.appliedIndex {
			return true
		}
	}
	return false
}

// compact stores a snapshot of the state as of an applied entry and drops the log before it. The caller
// holds mu.
func (c *Controller) compact(index uint64, state []byte) error {
	term, _ := c.replica.TermAt(index)
	s := &schema.LogSnapshot{Index: index, Term: term, Members: c.replica.MembersAt(index), State: state}
	c.replica.Compact(index)
	if err := c.Store.SaveSnapshot(s, c.ballot, c.replica.EntriesAfterSnapshot()); err != nil {
		return storeError(err)
	}
	applied := c.compaction
	c.compaction.reset(s)
	for _, e := range c.replica.EntriesAfterSnapshot() {
		if e.Index <= c.appliedIndex {
			c.compaction.entries++
			c.compaction.bytes += len(e.Data)
		}
	}
	c.Log.Info().Uint64("index", index).Int("entries", applied.entries).Int("logged", applied.bytes).Int("bytes", len(state)).Msg("snapshot taken")
	return nil
}
