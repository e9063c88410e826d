package distributor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// changes returns n deltas that issue keys, and the snapshots after each.
func changes(n int) ([]*schema.Delta, []*configurer.Snapshot) {
	s := configurer.New()
	var deltas []*schema.Delta
	snapshots := []*configurer.Snapshot{s.Snapshot()}
	for i := range n {
		host := &schema.Host{Name: fmt.Sprintf("host-%d", i), Region: "r", Listen: "l", Internal: "i"}
		_, d := s.Apply(&schema.Command{Op: &schema.Command_Join{Join: host}})
		deltas = append(deltas, d)
		snapshots = append(snapshots, s.Snapshot())
	}
	return deltas, snapshots
}

// TestVersionOnlyRises feeds deltas and snapshots in any order, again and again, from
// sources of any age, and requires that the version in force never falls and that its
// content is always the one that belongs to it.
func TestVersionOnlyRises(t *testing.T) {
	deltas, snapshots := changes(40)
	random := rand.New(rand.NewPCG(5, 6))
	var stored uint64
	d := &Distributor{Timer: &timer.Service{Clock: &timer.Manual{}}, Store: func(s *configurer.Snapshot) error {
		if random.IntN(10) == 0 {
			return errors.New("disk full")
		}
		stored = s.Version
		return nil
	}}
	last := uint64(0)
	for range 4000 {
		i := random.IntN(len(deltas))
		if random.IntN(3) == 0 {
			_ = d.Replace(snapshots[min(i, int(last)+2)])
		} else {
			_ = d.Follow(deltas[i])
		}
		now := d.Current()
		if now.Version < last {
			t.Fatalf("version fell from %d to %d", last, now.Version)
		}
		if !bytes.Equal(now.Hash, snapshots[now.Version].Hash) {
			t.Fatalf("version %d has other content", now.Version)
		}
		if now.Version > stored {
			t.Fatalf("version %d is in force but not durable", now.Version)
		}
		last = now.Version
	}
	if last != uint64(len(deltas)) {
		t.Errorf("ended at version %d of %d", last, len(deltas))
	}
}

// TestDivergedSource requires that another content under the same version is refused.
func TestDivergedSource(t *testing.T) {
	_, snapshots := changes(3)
	d := &Distributor{Timer: &timer.Service{Clock: &timer.Manual{}}}
	if err := d.Replace(snapshots[2]); err != nil {
		t.Fatal(err)
	}
	other := configurer.FromMessage(&schema.Snapshot{Version: 2, Hash: []byte("other")})
	if err := d.Replace(other); !errors.Is(err, ErrDiverged) {
		t.Errorf("replace: %v", err)
	}
}

// tree is subscribers that feed each other, and counts what crosses between regions.
type tree struct {
	clock   *timer.Service
	group   sync.WaitGroup
	crossed atomic.Int64 // bytes between regions
	sent    atomic.Int64 // bytes in all
}

// subscribe makes one more subscriber of a source.
func (x *tree) subscribe(ctx context.Context, source *Distributor, crosses bool) *Distributor {
	d := &Distributor{Timer: x.clock}
	x.group.Go(func() {
		_ = source.Serve(ctx, &schema.WatchRequest{}, func(m *schema.WatchReply) error {
			n := int64(proto.Size(m))
			x.sent.Add(n)
			if crosses {
				x.crossed.Add(n)
			}
			_, err := d.Take(m)
			return err
		})
	})
	return d
}

// BenchmarkCapacityDistribution spreads changes to 750 hosts in 9 regions and 19 failure
// domains, by tree and flat, and reports bytes between regions for each change and the
// time until the last host has it.
func BenchmarkCapacityDistribution(b *testing.B) {
	for _, hosts := range []int{75, 250, 750} {
		for _, flat := range []bool{true, false} {
			name := map[bool]string{true: "flat", false: "tree"}[flat]
			b.Run(fmt.Sprintf("%s/%d", name, hosts), func(b *testing.B) { distribute(b, hosts, flat) })
		}
	}
}

func distribute(b *testing.B, hosts int, flat bool) {
	const regions, domains = 9, 19
	ctx, cancel := context.WithCancel(context.Background())
	x := &tree{clock: &timer.Service{}}
	go func() { _ = x.clock.Run(ctx) }()
	root := &Distributor{Timer: x.clock}
	state := configurer.New()
	var all []*Distributor
	representatives := map[int]*Distributor{}
	for i := range hosts {
		domain := i % domains
		away := domain%regions != 0
		source := root
		if !flat && representatives[domain] != nil {
			source, away = representatives[domain], false
		}
		d := x.subscribe(ctx, source, away)
		if representatives[domain] == nil {
			representatives[domain] = d
		}
		all = append(all, d)
	}
	n := 0
	x.crossed.Store(0)
	for b.Loop() {
		n++
		key := &schema.Host{Name: fmt.Sprintf("h%d", n), Region: "r", Listen: "l", Internal: "i"}
		if n > 1 {
			key.Name = "h1"
			key.Internal = fmt.Sprint(n)
		}
		_, delta := state.Apply(&schema.Command{Op: &schema.Command_Join{Join: key}})
		if err := root.Follow(delta); err != nil {
			b.Fatal(err)
		}
		for _, d := range all {
			for d.Current().Version < delta.Version {
				time.Sleep(20 * time.Microsecond)
			}
		}
	}
	b.ReportMetric(float64(x.crossed.Load())/float64(n), "crossB/change")
	b.ReportMetric(float64(x.sent.Load())/float64(n), "sentB/change")
	cancel()
	x.group.Wait()
}
