package replicator

import "github.com/trefoilloft/trefoilloft/internal/schema"

// entryLog holds the log entries after the last snapshot.
type entryLog struct {
	// snapshotIndex and snapshotTerm are the index and term of the last entry that the
	// snapshot covers; 0 without a snapshot.
	snapshotIndex, snapshotTerm uint64
	snapshotMembers             *schema.Members
	entries                     []*schema.Entry
}

// lastIndex returns the index of the last entry, or snapshotIndex if there is none.
func (l *entryLog) lastIndex() uint64 {
	return l.snapshotIndex + uint64(len(l.entries))
}

// termAt returns the term of the entry at index, which may be snapshotIndex, and false if
// the log does not hold it.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	if index == l.snapshotIndex {
		return l.snapshotTerm, true
	}
	if index < l.snapshotIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshotIndex-1].Term, true
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.termAt(l.lastIndex())
	return t
}

// entriesFrom returns the entries from index first on: at least one, and as many as fit into
// maxBytes with entryOverheadBytes for each. It returns nil if the log does not hold first.
func (l *entryLog) entriesFrom(first uint64, maxBytes int) []*schema.Entry {
	if first <= l.snapshotIndex || first > l.lastIndex() {
		return nil
	}
	rest := l.entries[first-l.snapshotIndex-1:]
	size := 0
	for i, e := range rest {
		size += len(e.Data) + entryOverheadBytes
		if size > maxBytes && i > 0 {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// truncateFrom drops the entry at index and all after it.
func (l *entryLog) truncateFrom(index uint64) {
	if index <= l.lastIndex() {
		l.entries = l.entries[: index-l.snapshotIndex-1 : index-l.snapshotIndex-1]
	}
}

func (l *entryLog) append(entries ...*schema.Entry) {
	l.entries = append(l.entries, entries...)
}

// compact drops the entries up to index, which a snapshot now covers.
func (l *entryLog) compact(index, term uint64, members *schema.Members) {
	if index <= l.snapshotIndex {
		return
	}
	if index >= l.lastIndex() {
		l.entries = nil
	} else {
		remaining := l.entries[index-l.snapshotIndex:]
		l.entries = append([]*schema.Entry(nil), remaining...)
	}
	l.snapshotIndex, l.snapshotTerm, l.snapshotMembers = index, term, members
}

// resetToSnapshot empties the log, which then continues after the snapshot.
func (l *entryLog) resetToSnapshot(s *schema.LogSnapshot) {
	*l = entryLog{snapshotIndex: s.Index, snapshotTerm: s.Term, snapshotMembers: s.Members}
}
