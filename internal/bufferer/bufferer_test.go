package bufferer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
)

// TestReadAll guards against bytes that are lost or kept beyond the limit, at each size around the ones at
// which a buffer grows.
func TestReadAll(t *testing.T) {
	const limit = 3000
	for _, n := range []int{0, 1, minCapacity - 1, minCapacity, minCapacity + 1, 2 * minCapacity, limit - 1, limit, limit + 1, 10 * limit} {
		text := strings.Repeat("x", n)
		for name, r := range map[string]io.Reader{"whole": strings.NewReader(text), "a byte at a time": iotest.OneByteReader(strings.NewReader(text)), "end with data": iotest.DataErrReader(strings.NewReader(text))} {
			h := &Hold{Budget: &Budget{}}
			b, err := h.ReadAll(r, limit)
			rest, restErr := io.ReadAll(r)
			if string(b)+string(rest) != text || restErr != nil {
				t.Errorf("%d bytes, %s: %d read, %d left, error %v", n, name, len(b), len(rest), restErr)
			}
			if tooLong := n >= limit; errors.Is(err, ErrTooLong) != tooLong && !(name == "end with data" && n == limit && err == nil) || !tooLong && err != nil {
				t.Errorf("%d bytes, %s: error %v", n, name, err)
			}
		}
	}
	failure := errors.New("broken")
	if _, err := (&Hold{}).ReadAll(iotest.ErrReader(failure), limit); !errors.Is(err, failure) {
		t.Errorf("error %v, want that of the reader", err)
	}
}

// TestBudgetBoundsAllReaders guards against readers that together hold more than they may, and against a
// budget that does not get back what was taken.
func TestBudgetBoundsAllReaders(t *testing.T) {
	budget := &Budget{Max: 1 << 20}
	var wg sync.WaitGroup
	for range 64 {
		wg.Go(func() {
			for range 20 {
				h := &Hold{Budget: budget}
				b, err := h.ReadAll(bytes.NewReader(make([]byte, 256<<10)), 1<<20)
				if used := budget.Used(); used > budget.Max+256<<10*64 {
					t.Errorf("%d bytes used", used)
				}
				if err != nil && !errors.Is(err, ErrExhausted) || err == nil && len(b) != 256<<10 {
					t.Errorf("%d bytes, error %v", len(b), err)
				}
				h.Release()
				h.Release() // changes nothing
			}
		})
	}
	wg.Wait()
	if budget.Used() != 0 {
		t.Errorf("%d bytes are still taken", budget.Used())
	}
	if budget.Exhausted() == 0 {
		t.Error("the budget was never exhausted")
	}
	small := &Hold{Budget: &Budget{}}
	if b, err := small.ReadAll(strings.NewReader(strings.Repeat("x", FreeBytes-1)), 1<<20); err != nil || len(b) != FreeBytes-1 {
		t.Errorf("a small message with an exhausted budget: %d bytes, error %v", len(b), err)
	}
	if !(*Budget)(nil).Take(1 << 40) {
		t.Error("a nil budget is limited")
	}
}
