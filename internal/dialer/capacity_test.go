package dialer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// echo answers donations.
type echo struct {
	schema.UnimplementedEntryServiceServer
}

func (echo) Donate(context.Context, *schema.DonateRequest) (*schema.DonateReply, error) {
	return &schema.DonateReply{Accepted: true, Clock: 1}, nil
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCapacityCall measures one small call between two processes: processor time of
// both ends together, bytes on the connection both ways, and memory of both ends of each
// connection.
func BenchmarkCapacityCall(b *testing.B) {
	for _, n := range []int{1, 20, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, err := NewServer("secret", nil, func(string) bool { return false })
			if err != nil {
				b.Fatal(err)
			}
			schema.RegisterEntryServiceServer(s, echo{})
			var bytes atomic.Int64
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = s.Serve(countingListener{l, &bytes}) }()
			defer s.Stop()
			before := heap()
			var clients []schema.EntryServiceClient
			for range n {
				d := &Dialer{Secret: "secret", Timer: &timer.Service{}}
				c, err := d.Entry(l.Addr().String())
				if err != nil {
					b.Fatal(err)
				}
				defer d.Close()
				clients = append(clients, c)
			}
			request := &schema.DonateRequest{Host: "region-1-host-001", Shards: []int32{1, 2}, Share: 1333, Echo: 1e15, Lease: 1e9}
			call := func(i int) {
				if _, err := clients[i%n].Donate(b.Context(), request); err != nil {
					b.Fatal(err)
				}
			}
			for i := range 10 * n {
				call(i)
			}
			after := heap()
			bytes.Store(0)
			at, calls := processorTime(b), 0
			for b.Loop() {
				call(calls)
				calls++
			}
			b.ReportMetric(float64((processorTime(b)-at).Nanoseconds())/float64(calls), "cpu-ns/call")
			b.ReportMetric(float64(bytes.Load())/float64(calls), "wireB/call")
			b.ReportMetric((after-before)/float64(n), "B/connection")
		})
	}
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
