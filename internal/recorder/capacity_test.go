package recorder

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

// BenchmarkCapacityHolder measures one claim with its settlement, and for each record with an
// answer of 200 bytes the bytes of memory and of messages.
func BenchmarkCapacityHolder(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			heapBefore := heapBytes()
			h := &Holder{Host: "a", Incarnation: 1, UnixSeconds: func() int64 { return 1 }}
			if err := h.Open(); err != nil {
				b.Fatal(err)
			}
			for version := range uint64(2) {
				if err := h.Configure(&schema.Group{Region: "r", Version: version + 1, Holders: []string{"a", "b"}[:version+1]}); err != nil {
					b.Fatal(err)
				}
			}
			i := 0
			var messageBytes int
			claimAndSettle := func() {
				key := fmt.Appendf(nil, "%032d", i)
				q := &schema.ClaimRequest{Region: "r", Version: 2, Key: key, Body: key, Claim: fmt.Sprintf("%032d", i), Expires: 100}
				reply, err := h.Claim(q)
				if err != nil || !reply.Accepted {
					b.Fatalf("claim not accepted: reply %v, error %v", reply, err)
				}
				r := &schema.Record{Key: key, Body: key, Claim: q.Claim, Expires: 100, State: schema.RecordState_RECORD_DONE, Status: 201, Answer: make([]byte, 200)}
				if err := h.Settle("r", r); err != nil {
					b.Fatal(err)
				}
				messageBytes = proto.Size(q) + proto.Size(reply) + proto.Size(r)
				i++
			}
			for range n {
				claimAndSettle()
			}
			heapAfter := heapBytes()
			for b.Loop() {
				claimAndSettle()
			}
			b.ReportMetric((heapAfter-heapBefore)/float64(n), "B/record")
			b.ReportMetric(float64(messageBytes), "wireB/record")
		})
	}
}
