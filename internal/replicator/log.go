package replicator

import "github.com/trefoilloft/trefoilloft/internal/schema"

// entryLog is the tail of the log that follows the last snapshot.
type entryLog struct {
	// base and baseTerm are the position of the last entry that the snapshot covers.
	base, baseTerm uint64
	baseMembers    *schema.Members
	entries        []*schema.Entry
}

// last returns the index of the newest entry.
func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

// term returns the term of the entry at index, and false if the log does not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// slice returns entries from first on, at most limit bytes of data but at least one entry.
func (l *entryLog) slice(first uint64, limit int) []*schema.Entry {
	if first <= l.base || first > l.last() {
		return nil
	}
	rest := l.entries[first-l.base-1:]
	size := 0
	for i, e := range rest {
		size += len(e.Data) + entryOverheadBytes
		if size > limit && i > 0 {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// truncate drops the entries at index and after it.
func (l *entryLog) truncate(index uint64) {
	if index <= l.last() {
		l.entries = l.entries[: index-l.base-1 : index-l.base-1]
	}
}

func (l *entryLog) append(entries ...*schema.Entry) {
	l.entries = append(l.entries, entries...)
}

// compact drops the entries up to index, which a snapshot now covers.
func (l *entryLog) compact(index, term uint64, members *schema.Members) {
	if index <= l.base {
		return
	}
	if index >= l.last() {
		l.entries = nil
	} else {
		kept := l.entries[index-l.base:]
		l.entries = append([]*schema.Entry(nil), kept...)
	}
	l.base, l.baseTerm, l.baseMembers = index, term, members
}

// reset replaces the whole log by a snapshot's position.
func (l *entryLog) reset(s *schema.LogSnapshot) {
	*l = entryLog{base: s.Index, baseTerm: s.Term, baseMembers: s.Members}
}
