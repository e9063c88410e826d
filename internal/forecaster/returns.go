package forecaster

import (
	"container/list"
	"time"
)

const (
	// Time for which a refused request is remembered: twice the longest deadline of a caller.
	returnAge = 30 * time.Second
	// Time by which a caller may come before the told one: delays are told in whole milliseconds, and
	// clocks of callers differ a little in speed.
	earlyTolerance = 10 * time.Millisecond
	// The same if another host told the time: the way of its report is not known exactly.
	importTolerance = 150 * time.Millisecond
	// DefaultMaxReturns bounds the refused requests that are remembered, at some 200 bytes each.
	DefaultMaxReturns = 4096
)

// Return is a request that was refused and told when to return.
type Return struct {
	Key           uint64
	ToldAt, DueAt time.Duration
	Position      Position
	// Placed is set if the forecast has a place for it at DueAt, which its customer was charged for.
	Placed bool
	// Early is set once the caller has come before DueAt: it then has no claim.
	Early bool
	// Imported is set if another host told the time.
	Imported bool
}

// Returns holds the requests that may return. The zero value is empty. It is not safe for concurrent use.
type Returns struct {
	// MaxEntries is the largest number of requests that are remembered; 0: DefaultMaxReturns.
	MaxEntries int

	entries map[uint64]*list.Element
	order   list.List // of *Return, by ToldAt
}

// Len returns the number of requests that are remembered.
func (r *Returns) Len() int { return len(r.entries) }

// Add remembers a request. The oldest one is forgotten if there are too many.
func (r *Returns) Add(x Return, now time.Duration) {
	r.Remove(x.Key)
	r.expire(now)
	limit := r.MaxEntries
	if limit == 0 {
		limit = DefaultMaxReturns
	}
	for len(r.entries) >= limit {
		r.Remove(r.order.Front().Value.(*Return).Key)
	}
	if r.entries == nil {
		r.entries = map[uint64]*list.Element{}
	}
	r.entries[x.Key] = r.order.PushBack(&x)
}

// Import adds a request that another host told a time, unless this host knows a later one.
func (r *Returns) Import(x Return, now time.Duration) {
	if e := r.entries[x.Key]; e != nil {
		known := e.Value.(*Return)
		if !known.Imported || known.DueAt > x.DueAt {
			return
		}
	}
	x.Imported = true
	r.Add(x, now)
}

// Newest returns the requests that this host told a time since then, at most n, the newest first.
func (r *Returns) Newest(n int, since time.Duration) []Return {
	var all []Return
	for e := r.order.Back(); e != nil && len(all) < n; e = e.Prev() {
		x := e.Value.(*Return)
		if x.ToldAt < since {
			break
		}
		if !x.Imported {
			all = append(all, *x)
		}
	}
	return all
}

// Remove deletes a request.
func (r *Returns) Remove(key uint64) {
	if e := r.entries[key]; e != nil {
		r.order.Remove(e)
		delete(r.entries, key)
	}
}

// Find returns a remembered request; nil if there is none.
func (r *Returns) Find(key uint64, now time.Duration) *Return {
	r.expire(now)
	if e := r.entries[key]; e != nil {
		return e.Value.(*Return)
	}
	return nil
}

// IsEarly reports whether a caller that comes now comes before the told time.
func (x *Return) IsEarly(now time.Duration) bool {
	if x.Imported {
		return now < x.DueAt-importTolerance
	}
	return now < x.DueAt-earlyTolerance
}

func (r *Returns) expire(now time.Duration) {
	for e := r.order.Front(); e != nil && now-e.Value.(*Return).ToldAt > returnAge; e = r.order.Front() {
		r.Remove(e.Value.(*Return).Key)
	}
}
