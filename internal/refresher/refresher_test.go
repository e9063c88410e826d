package refresher

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// confirmingServer confirms the configuration of every host that reports.
type confirmingServer struct {
	schema.UnimplementedClusterServiceServer
}

func (confirmingServer) Refresh(context.Context, *schema.RefreshRequest) (*schema.RefreshReply, error) {
	return &schema.RefreshReply{}, nil
}

// TestPanicEndsOneReply guards against an entry host that ends, or that reports no more, because applying one
// reply of a control host panics.
func TestPanicEndsOneReply(t *testing.T) {
	s, err := dialer.NewServer("secret", nil, func(string) bool { return false }, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	schema.RegisterClusterServiceServer(s, confirmingServer{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	defer s.Stop()
	clock := &timer.Service{}
	d := &dialer.Dialer{Secret: "secret", Timer: clock}
	defer d.Close()
	table := &cataloger.Table{Timer: clock, AnnounceInterval: time.Second, IsMirror: true}
	table.Start()
	var replies atomic.Int64
	applied := make(chan struct{})
	r := &Refresher{
		Timer: clock, Dialer: d, Log: zerolog.Nop(), SeedAddresses: func() []string { return []string{l.Addr().String()} },
		SelfReport: func() *schema.Peer { return &schema.Peer{Name: "a"} }, Distributor: &distributor.Distributor{Timer: clock}, Table: table,
		Bucket: &allocator.Bucket{Now: clock.Now, Limits: func(string) (allocator.Limits, bool) { return allocator.Limits{}, false }},
		OnLoads: func([]*schema.PoolLoad, []*schema.RegionDigest) {
			switch replies.Add(1) {
			case 1:
				panic("broken")
			case 2:
				close(applied)
			}
		},
	}
	r.Init()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = clock.Run(ctx) }()
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	select {
	case <-applied:
	case <-time.After(20 * time.Second):
		t.Errorf("%d replies applied in 20 s, want 2", replies.Load())
	}
	cancel()
	<-ended
}
