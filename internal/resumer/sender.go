package resumer

import "github.com/trefoilloft/trefoilloft/internal/schema"

// maxBatch is the number of streams of one report.
const maxBatch = 1024

// Sender selects the streams of an Index that a control host has not received, for one control host at
// a time. Set the exported fields before use. It is not safe for concurrent use.
type Sender struct {
	Index *Index

	process  uint64 // of the receiver that has the streams up to revision
	revision uint64
	first    bool   // the last batch began with the oldest stream
	next     uint64 // revision once the last batch is received
}

// Batch returns the next streams to send; none if the receiver has all.
func (s *Sender) Batch() []*schema.StreamOrigin {
	list, next := s.Index.Since(s.revision, maxBatch)
	s.first, s.next = s.revision == 0, next
	return list
}

// Received records that a receiver has the last batch. If it is another process than before, it lacks
// the earlier ones, which are sent again.
func (s *Sender) Received(process uint64) {
	if process != s.process && !s.first {
		s.process, s.revision = process, 0
		return
	}
	s.process, s.revision = process, s.next
}
