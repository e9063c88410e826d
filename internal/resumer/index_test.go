package resumer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

func newIndex(most int) (*Index, *timer.Service) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	return &Index{Now: clock.Now, Process: 1, MaxStreams: most}, clock
}

// TestIndexIsBounded guards against records that exhaust memory, or are used long after the stream.
func TestIndexIsBounded(t *testing.T) {
	x, clock := newIndex(100)
	for i := range 1000 {
		x.Add(uint64(i), Origin{"p", fmt.Sprint("v", i)}, 0)
	}
	if x.Len() != 100 || len(x.order) != 100 || len(x.origins) > maxOrigins {
		t.Errorf("%d streams, %d in order, %d origins, want 100 streams", x.Len(), len(x.order), len(x.origins))
	}
	if _, found, _ := x.Find(899); found {
		t.Error("found the oldest stream beyond the bound")
	}
	if o, found, _ := x.Find(900); !found || o.Software != "v900" {
		t.Errorf("got %v, %v for a stream within the bound", o, found)
	}
	clock.Advance(RetainTime + time.Second)
	if _, found, _ := x.Find(900); found {
		t.Error("found a stream after its time")
	}
	x.Add(5000, Origin{"p", "v"}, 0)
	if x.Len() != 1 {
		t.Errorf("%d streams are kept after their time, want 1", x.Len())
	}
	x.Store([]*schema.StreamOrigin{{Stream: 1, Age: -1}, {Stream: 2, Age: 1e9}, {Stream: 3, Software: string(make([]byte, 300))}})
	if x.Len() != 1 {
		t.Errorf("%d streams after reports out of range, want 1", x.Len())
	}
}

// TestConflictingRecords guards against choosing one of two versions that hosts recorded for a stream,
// as happens if a caller uses an ID twice.
func TestConflictingRecords(t *testing.T) {
	x, _ := newIndex(10)
	x.Add(1, Origin{"p", "v1"}, 0)
	x.Add(1, Origin{"p", "v1"}, 0)
	if _, found, conflict := x.Find(1); !found || conflict {
		t.Errorf("recorded twice alike: found %v, conflict %v", found, conflict)
	}
	x.Add(1, Origin{"p", "v2"}, 0)
	if _, found, conflict := x.Find(1); found || !conflict {
		t.Errorf("recorded with two versions: found %v, conflict %v", found, conflict)
	}
}

// TestStreamsAreSentOnce guards against reports that grow with the number of streams that a host keeps:
// a control host gets each stream once, and all of them again only after it has started again.
func TestStreamsAreSentOnce(t *testing.T) {
	x, _ := newIndex(4096)
	s := &Sender{Index: x}
	send := func(process uint64) int {
		n := 0
		for range 100 {
			b := s.Batch()
			if len(b) == 0 {
				return n
			}
			if len(b) > maxBatch {
				t.Fatalf("a batch of %d streams", len(b))
			}
			n += len(b)
			s.Received(process)
		}
		t.Fatal("batches without end")
		return n
	}
	add := func(from, n int) {
		for i := range n {
			x.Add(uint64(from+i), Origin{"p", "v"}, 0)
		}
	}
	var got []int
	add(0, 3000)
	got = append(got, send(7))
	add(3000, 5)
	got = append(got, send(7), send(7))
	add(3005, 1)
	got = append(got, send(8)-1) // the first batch goes to a process that lacks the earlier ones
	if diff := cmp.Diff([]int{3000, 5, 0, 3006}, got); diff != "" {
		t.Errorf("streams sent: -want +got\n%s", diff)
	}
	s.Batch() // not received
	add(4000, 2)
	if n := send(8); n != 2 {
		t.Errorf("sent %d streams after a lost batch, want 2", n)
	}
}

// TestKey guards against one customer's streams that are found by another's.
func TestKey(t *testing.T) {
	if Key("a", "b1") == Key("ab", "1") || Key("a", "1") == Key("b", "1") {
		t.Error("keys of different streams are equal")
	}
}

// BenchmarkFullIndex reports the memory and the size on the wire of a stream's record, and the time to
// store one.
func BenchmarkFullIndex(b *testing.B) {
	const streams = 64 << 10
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		x, _ := newIndex(streams)
		for i := range 2 * streams {
			x.Add(Key("customer", fmt.Sprint(i)), Origin{"vozi80b", "v1.2"}, 0)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		list, _ := x.Since(0, 1000)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(x.Len()), "B/stream")
		b.ReportMetric(float64(proto.Size(&schema.StreamsRequest{Streams: list}))/float64(len(list)), "wireB/stream")
	}
}
