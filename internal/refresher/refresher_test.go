package refresher

import (
	"context"
	"errors"
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

// sharingServer grants a standing share with each reply, and passes on the reports that it gets.
type sharingServer struct {
	schema.UnimplementedClusterServiceServer
	reports chan *schema.Peer
}

func (s sharingServer) Refresh(ctx context.Context, r *schema.RefreshRequest) (*schema.RefreshReply, error) {
	select {
	case s.reports <- r.Self:
	case <-ctx.Done():
	}
	return &schema.RefreshReply{Standing: []*schema.Share{{Customer: "c", Rate: 100, Burst: 100, Left: 6, Limit: 1000}}}, nil
}

func (s sharingServer) Borrow(context.Context, *schema.BorrowRequest) (*schema.BorrowReply, error) {
	return &schema.BorrowReply{Leader: true, Starting: true, Retry: 2}, nil
}

// TestStandingSharesReported guards against shares that are granted and not applied, or held and not reported, with which
// a control host would grant them again to others; and against a leader that has just started being taken for one that
// refuses. Without adaptive mode no demand is reported.
func TestStandingSharesReported(t *testing.T) {
	for _, adaptive := range []bool{false, true} {
		s, err := dialer.NewServer("secret", nil, func(string) bool { return false }, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		server := sharingServer{reports: make(chan *schema.Peer)}
		schema.RegisterClusterServiceServer(s, server)
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
		limits := func(string) (allocator.Limits, bool) { return allocator.Limits{Rate: 1000, Burst: 1000}, true }
		isAdaptive := func() bool { return adaptive }
		r := &Refresher{
			Timer: clock, Dialer: d, Log: zerolog.Nop(), SeedAddresses: func() []string { return []string{l.Addr().String()} }, Adaptive: isAdaptive,
			SelfReport: func() *schema.Peer { return &schema.Peer{Name: "a"} }, Distributor: &distributor.Distributor{Timer: clock}, Table: table,
			Bucket: &allocator.Bucket{Now: clock.Now, LoansOnly: true, Adaptive: isAdaptive, Limits: limits},
		}
		r.Init()
		_, _ = r.Bucket.Take("c", 10)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = clock.Run(ctx) }()
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		first, second := <-server.reports, <-server.reports
		third := <-server.reports
		if stated := third.Standing[0].Standing >= 1; stated != adaptive || adaptive && (second.Allotment != first.Number || third.Allotment != second.Number) || !adaptive && third.Allotment != 0 {
			t.Errorf("adaptive %v: tokens spent stated %v, report %d names %d as answered, report %d names %d",
				adaptive, stated, second.Number, second.Allotment, third.Number, third.Allotment)
		}
		if (len(first.Demands) == 1) != adaptive || len(first.Standing) != 0 {
			t.Errorf("adaptive %v: first report %v", adaptive, first)
		}
		if len(second.Standing) != 1 || second.Standing[0].Rate != 100 || !(second.Standing[0].Left < 6) {
			t.Errorf("adaptive %v: report after a share was granted: %v", adaptive, second)
		}
		tokens, _, err := r.Borrow(ctx, "c", 10, 10)
		var starting *allocator.StartingError
		if tokens != 0 || !errors.As(err, &starting) || starting.RetryAfter != 2*time.Second {
			t.Errorf("loan while the leader learns: %v, %v", tokens, err)
		}
		cancel()
		<-ended
	}
}
