package limiter

import (
	"fmt"
	"runtime"
	"testing"
	"time"

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

func customerNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("customer-%06d", i)
	}
	return out
}

// BenchmarkCapacitySpender measures one reservation and its settlement with many active
// customers, and the bytes of memory for each customer.
func BenchmarkCapacitySpender(b *testing.B) {
	for _, n := range []int{1000, 10000, 42000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Second
			all := customerNames(n)
			before := heapBytes()
			s := &Spender{
				Host: "h", Now: func() time.Duration { return now }, Share: func() int32 { return totalShare },
				Limits: func(string) (Limits, bool) { return Limits{Rate: 1e9, Burst: 1e9}, true },
			}
			s.Start()
			now += 10 * time.Second
			for _, c := range all {
				r, _, _ := s.Reserve(c, 10)
				s.Settle(r, 5)
			}
			after := heapBytes()
			i := 0
			for b.Loop() {
				now += time.Microsecond
				r, _, _ := s.Reserve(all[i%n], 10)
				s.Settle(r, 5)
				i++
			}
			b.ReportMetric((after-before)/float64(n), "B/customer")
		})
	}
}

// BenchmarkCapacityLender measures one grant, the bytes of memory for each active customer,
// and the size of a grant's messages on the wire.
func BenchmarkCapacityLender(b *testing.B) {
	for _, n := range []int{1000, 10000, 42000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Second
			all := customerNames(n)
			before := heapBytes()
			l := &Lender{Now: func() time.Duration { return now }, Limits: func(string) (Limits, bool) { return Limits{Rate: 1e6, Burst: 1e6}, true }, Incarnation: 1}
			l.Start()
			now += 10 * time.Second
			lend := func() {
				for shard := range int32(ShardCount) {
					l.Donate(&schema.DonateRequest{Host: "h", Shards: []int32{shard}, Share: totalShare, Echo: int64(now), Lease: int64(minLease)})
				}
			}
			lend()
			now += time.Second
			request := &schema.GrantRequest{Host: "some-host-1", Customer: all[0], Need: 100, Wish: 200, Lender: 1, Uses: []*schema.Use{{Number: 1, Spent: 100}}}
			var reply *schema.GrantReply
			for _, c := range all {
				request.Customer = c
				reply = l.Grant(request)
			}
			after := heapBytes()
			i := 0
			for b.Loop() {
				if i%1000 == 0 {
					now += time.Millisecond
					lend()
				}
				request.Customer = all[i%n]
				l.Grant(request)
				i++
			}
			b.ReportMetric((after-before)/float64(n), "B/customer")
			b.ReportMetric(float64(proto.Size(request)+proto.Size(reply)), "wireB/grant")
		})
	}
}

// BenchmarkCapacityDonor measures one round of renewals: its time, and its messages and bytes
// per second.
func BenchmarkCapacityDonor(b *testing.B) {
	for _, n := range []int{8, 100, 750} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Second
			var hosts []string
			for i := range n {
				hosts = append(hosts, fmt.Sprintf("region-%d-host-%03d", i%9, i))
			}
			d := &Donor{
				Host: hosts[0], Now: func() time.Duration { return now },
				Hosts: func() []string { return hosts }, Share: func() int32 { return int32(totalShare / n) },
			}
			d.Start()
			messages, bytes := 0, 0
			round := func() {
				now += RoundInterval
				for h, r := range d.DueRenewals() {
					reply := &schema.DonateReply{Accepted: len(r.Shards) > 0, Clock: int64(now)}
					messages++
					bytes += proto.Size(r) + proto.Size(reply)
					d.HandleReply(h, r, reply)
				}
			}
			for range 200 {
				round()
			}
			messages, bytes = 0, 0
			for range 500 {
				round()
			}
			seconds := 500 * RoundInterval.Seconds()
			perSecond, wire := float64(messages)/seconds, float64(bytes)/seconds
			for b.Loop() {
				round()
			}
			b.ReportMetric(perSecond, "messages/s")
			b.ReportMetric(wire, "wireB/s")
		})
	}
}
