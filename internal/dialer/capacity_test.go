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

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// donationServer accepts every donation of shares.
type donationServer struct {
	schema.UnimplementedEntryServiceServer
}

func (donationServer) Donate(context.Context, *schema.DonateRequest) (*schema.DonateReply, error) {
	return &schema.DonateReply{Accepted: true, Clock: 1}, nil
}

// countingListener counts the bytes received and sent on its connections.
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

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCapacityCall measures one small call over 1, 20 or 100 connections: the processor
// time of both ends together, the bytes sent in both directions, and the memory that each
// connection uses at both ends together.
func BenchmarkCapacityCall(b *testing.B) {
	for _, n := range []int{1, 20, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, err := NewServer("secret", nil, func(string) bool { return false }, zerolog.Nop())
			if err != nil {
				b.Fatal(err)
			}
			schema.RegisterEntryServiceServer(s, donationServer{})
			var wireBytes atomic.Int64
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = s.Serve(countingListener{l, &wireBytes}) }()
			defer s.Stop()
			memoryBefore := memoryInUseBytes()
			var clients []schema.EntryServiceClient
			for range n {
				d := &Dialer{Secret: "secret", Timer: &timer.Service{}}
				c, err := d.EntryClient(l.Addr().String())
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
			memoryAfter := memoryInUseBytes()
			wireBytes.Store(0)
			cpuBefore, calls := cpuTime(b), 0
			for b.Loop() {
				call(calls)
				calls++
			}
			b.ReportMetric(float64((cpuTime(b)-cpuBefore).Nanoseconds())/float64(calls), "cpu-ns/call")
			b.ReportMetric(float64(wireBytes.Load())/float64(calls), "wireB/call")
			b.ReportMetric((memoryAfter-memoryBefore)/float64(n), "B/connection")
		})
	}
}

func memoryInUseBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
