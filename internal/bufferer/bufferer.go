// Package bufferer bounds the memory that all readers of one process hold together for bytes that others
// send them. It does not bound a single reader: its caller does.
package bufferer

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrExhausted means that the readers of the process together hold as many bytes as they may.
var ErrExhausted = errors.New("bufferer: too many bytes are held by all readers")

// ErrTooLong means that a reader has more bytes than its caller allows.
var ErrTooLong = errors.New("bufferer: too many bytes")

// FreeBytes is the number of bytes that each Buffer may hold whatever the others hold, so that small
// messages are read while others exhaust the Budget.
const FreeBytes = 16 << 10

// minCapacity is the first capacity of a Buffer, in bytes.
const minCapacity = 512

// Budget is the number of bytes that a set of readers may hold together, beyond FreeBytes each. A nil Budget
// is unlimited. Its methods may be called concurrently.
type Budget struct {
	Max int64

	used      atomic.Int64
	exhausted atomic.Int64 // number of times that it was exhausted
}

// Take takes n bytes, all or none.
func (b *Budget) Take(n int64) bool {
	if b == nil || n <= 0 {
		return true
	}
	if b.used.Add(n) > b.Max {
		b.used.Add(-n)
		b.exhausted.Add(1)
		return false
	}
	return true
}

// Return returns n bytes that were taken.
func (b *Budget) Return(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Exhausted returns how often bytes were refused.
func (b *Budget) Exhausted() int64 {
	if b == nil {
		return 0
	}
	return b.exhausted.Load()
}

// Hold is the part of a Budget that one reader has taken. The zero value has taken nothing.
type Hold struct {
	Budget *Budget
	taken  int64
}

// Grow takes what is missing for a reader that holds n bytes. It returns ErrExhausted if the Budget does not
// have it.
func (h *Hold) Grow(n int64) error {
	missing := n - FreeBytes - h.taken
	if missing <= 0 {
		return nil
	}
	if !h.Budget.Take(missing) {
		return ErrExhausted
	}
	h.taken += missing
	return nil
}

// Release returns what was taken.
func (h *Hold) Release() {
	h.Budget.Return(h.taken)
	h.taken = 0
}

// ReadAll reads r to its end. If there are limit bytes or more, it returns the first limit and ErrTooLong; if
// the Budget is exhausted, those that it holds and ErrExhausted. The rest of r can still be read. Release
// must be called once the bytes are not needed any more.
func (h *Hold) ReadAll(r io.Reader, limit int) ([]byte, error) {
	b := make([]byte, 0, min(minCapacity, limit))
	for {
		if len(b) == limit {
			return b, ErrTooLong
		}
		if len(b) == cap(b) {
			capacity := min(2*cap(b), limit)
			if err := h.Grow(int64(capacity)); err != nil {
				return b, err
			}
			b = append(make([]byte, 0, capacity), b...) // append alone would grow it further
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}
