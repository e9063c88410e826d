package configurer

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// newFilledState returns a state with n customers, each with one key.
func newFilledState(n int) *State {
	s := New()
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("customer-%06d", i))
	}
	s.Apply(applySheetCommand("", "morag", 1, "h", customerItems(names...)))
	for i := range n {
		hash := fmt.Sprintf("%064d", i)
		s.snapshot.items["key/"+hash] = keyItem(&schema.Key{Hash: hash, Customer: names[i], Label: fmt.Sprint(i)})
	}
	return s
}

// BenchmarkCapacityConfiguration measures the heap bytes of a customer with one key, the time
// of one change, and the encoded bytes of one change and, per customer, of the whole snapshot.
func BenchmarkCapacityConfiguration(b *testing.B) {
	for _, n := range []int{1000, 10000, 42000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapBytes()
			s := newFilledState(n)
			after := heapBytes()
			i := 0
			var delta *schema.Delta
			for b.Loop() {
				_, delta = s.Apply(issueKeyCommand("", "customer-000001", fmt.Sprintf("k%063d", i)))
				i++
			}
			b.ReportMetric((after-before)/float64(n), "B/customer")
			b.ReportMetric(float64(proto.Size(delta)), "wireB/change")
			b.ReportMetric(float64(proto.Size(newFilledState(n).Snapshot().Message()))/float64(n), "wireB/customer")
		})
	}
}
