package resumer

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// RetainTime is the time for which the origin of a stream is kept after it began.
	RetainTime = 2 * time.Minute
	// maxOrigins bounds the distinct origins that an Index shares between its records.
	maxOrigins = 1024
	// Upper bound of the lengths of a reported pool and version, in bytes.
	maxNameLength = 256
)

// Key returns the hash by which hosts name a stream: that of the customer and of the ID of the request
// that brought its first event.
func Key(customer, id string) uint64 {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(customer)))
	return xxhash.Sum64(append(append(b, customer...), id...))
}

// Origin is the pool and the version of the software that began a stream.
type Origin struct {
	Pool, Software string
}

// Index holds the origins of streams that began within RetainTime. Set the exported fields before use.
// It is safe for concurrent use.
type Index struct {
	// Now returns the time on a clock that also runs while the host is suspended.
	Now func() time.Duration
	// Process identifies this Index: another one has none of its streams.
	Process uint64
	// MaxStreams bounds the number of streams; beyond it the oldest are dropped.
	MaxStreams int

	mu       sync.Mutex
	streams  map[uint64]stream  // by key; guarded by mu
	order    []uint64           // keys, in the order in which they were added; guarded by mu
	revision uint64             // rises with each stream; guarded by mu
	origins  map[Origin]*Origin // shared by streams; guarded by mu
}

type stream struct {
	origin   *Origin // nil if it is not known, or if hosts named two
	begunAt  time.Duration
	revision uint64
}

// Add records the origin of a stream that began a time age ago.
func (x *Index) Add(key uint64, o Origin, age time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.add(key, x.shared(o), age)
}

// add records a stream; o is nil if it is not known what began it. The caller holds mu.
func (x *Index) add(key uint64, o *Origin, age time.Duration) {
	if x.streams == nil {
		x.streams = map[uint64]stream{}
	}
	if old, known := x.streams[key]; known {
		if old.origin != nil && (o == nil || *old.origin != *o) {
			old.origin = nil
			x.streams[key] = old
		}
		return
	}
	now := x.Now()
	x.revision++
	x.streams[key] = stream{origin: o, begunAt: now - age, revision: x.revision}
	x.order = append(x.order, key)
	x.drop(now)
}

// AddUnknown records that it is not known what began a stream, a time age ago.
func (x *Index) AddUnknown(key uint64, age time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.add(key, nil, age)
}

// shared returns one copy of equal origins. The caller holds mu.
func (x *Index) shared(o Origin) *Origin {
	if p := x.origins[o]; p != nil {
		return p
	}
	if x.origins == nil || len(x.origins) >= maxOrigins {
		x.origins = map[Origin]*Origin{}
	}
	x.origins[o] = &o
	return &o
}

// drop removes the streams that are too old or too many. The caller holds mu.
func (x *Index) drop(now time.Duration) {
	n := 0
	for n < len(x.order) && (len(x.order)-n > x.MaxStreams || now-x.streams[x.order[n]].begunAt > RetainTime) {
		delete(x.streams, x.order[n])
		n++
	}
	x.order = x.order[n:]
}

// Find returns the origin of a stream, and whether there is a record of it. conflict means that there is a
// record which says that the origin is not known, or that hosts named two.
func (x *Index) Find(key uint64) (o Origin, found, conflict bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s, known := x.streams[key]
	switch {
	case !known || x.Now()-s.begunAt > RetainTime:
		return Origin{}, false, false
	case s.origin == nil:
		return Origin{}, false, true
	}
	return *s.origin, true, false
}

// Len returns the number of streams.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.streams)
}

// Store adds the streams that another host reports.
func (x *Index) Store(list []*schema.StreamOrigin) {
	for _, m := range list {
		age := timer.Seconds(m.Age)
		if inRange := m.Age >= 0 && m.Age <= RetainTime.Seconds(); !inRange || len(m.Pool) > maxNameLength || len(m.Software) > maxNameLength {
			continue
		}
		if m.Unknown {
			x.AddUnknown(m.Stream, age)
			continue
		}
		x.Add(m.Stream, Origin{m.Pool, m.Software}, age)
	}
}

// Since returns at most limit streams that were added after a revision, oldest first, and the revision up
// to which they are complete.
func (x *Index) Since(revision uint64, limit int) ([]*schema.StreamOrigin, uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.Now()
	x.drop(now)
	first, _ := slices.BinarySearchFunc(x.order, revision+1, func(key, revision uint64) int { return int(x.streams[key].revision) - int(revision) })
	var list []*schema.StreamOrigin
	for _, key := range x.order[first:] {
		s := x.streams[key]
		if len(list) == limit {
			return list, revision
		}
		revision = s.revision
		m := &schema.StreamOrigin{Stream: key, Age: (now - s.begunAt).Seconds(), Unknown: s.origin == nil}
		if s.origin != nil {
			m.Pool, m.Software = s.origin.Pool, s.origin.Software
		}
		list = append(list, m)
	}
	return list, x.revision
}
