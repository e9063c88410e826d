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

// joinDeltas returns n deltas, each of which adds a host, and the snapshots before the first
// and after each one: a snapshot's index is its version.
func joinDeltas(n int) ([]*schema.Delta, []*configurer.Snapshot) {
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

// TestVersionOnlyRises guards against a configuration that an older one replaces, that mixes
// versions, or that is in force before it is stored: deltas and snapshots arrive in any order,
// repeatedly, and about one in ten attempts to store one fails.
func TestVersionOnlyRises(t *testing.T) {
	deltas, snapshots := joinDeltas(40)
	random := rand.New(rand.NewPCG(5, 6))
	var storedVersion uint64
	d := &Distributor{Timer: &timer.Service{Clock: &timer.ManualClock{}}, Store: func(s *configurer.Snapshot) error {
		if random.IntN(10) == 0 {
			return errors.New("disk full")
		}
		storedVersion = s.Version
		return nil
	}}
	lastVersion := uint64(0)
	for range 4000 {
		i := random.IntN(len(deltas))
		if random.IntN(3) == 0 {
			_ = d.Replace(snapshots[min(i, int(lastVersion)+2)])
		} else {
			_ = d.ApplyDelta(deltas[i])
		}
		current := d.Current()
		if current.Version < lastVersion {
			t.Fatalf("version fell from %d to %d", lastVersion, current.Version)
		}
		if !bytes.Equal(current.Hash, snapshots[current.Version].Hash) {
			t.Fatalf("version %d has another hash than the state's snapshot of that version", current.Version)
		}
		if current.Version > storedVersion {
			t.Fatalf("version %d is in force but not durable", current.Version)
		}
		lastVersion = current.Version
	}
	if lastVersion != uint64(len(deltas)) {
		t.Errorf("ended at version %d of %d", lastVersion, len(deltas))
	}
}

// TestDivergedSource guards against a source whose configuration of the version in force has
// other content: it must be refused.
func TestDivergedSource(t *testing.T) {
	_, snapshots := joinDeltas(3)
	d := &Distributor{Timer: &timer.Service{Clock: &timer.ManualClock{}}}
	if err := d.Replace(snapshots[2]); err != nil {
		t.Fatal(err)
	}
	other := configurer.FromMessage(&schema.Snapshot{Version: 2, Hash: []byte("other")})
	if err := d.Replace(other); !errors.Is(err, ErrDiverged) {
		t.Errorf("replace by a snapshot of the same version with another hash: got %v, want ErrDiverged", err)
	}
}

// subscribers makes distributors that follow each other and counts the bytes sent to them.
type subscribers struct {
	clock            *timer.Service
	group            sync.WaitGroup
	crossRegionBytes atomic.Int64 // bytes sent between regions
	sentBytes        atomic.Int64 // bytes sent in total
}

// subscribe returns a new distributor that follows source.
func (x *subscribers) subscribe(ctx context.Context, source *Distributor, crossRegion bool) *Distributor {
	d := &Distributor{Timer: x.clock}
	x.group.Go(func() {
		_ = source.Serve(ctx, &schema.WatchRequest{}, func(m *schema.WatchReply) error {
			n := int64(proto.Size(m))
			x.sentBytes.Add(n)
			if crossRegion {
				x.crossRegionBytes.Add(n)
			}
			_, err := d.ApplyReply(m)
			return err
		})
	})
	return d
}

// BenchmarkCapacityDistribution distributes changes to up to 750 hosts in 9 regions and 19
// failure domains, by a tree and to each host directly ("flat"). It reports the time until
// the last host has a change, and the bytes sent between regions and in total per change.
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
	x := &subscribers{clock: &timer.Service{}}
	go func() { _ = x.clock.Run(ctx) }()
	root := &Distributor{Timer: x.clock}
	state := configurer.New()
	var all []*Distributor
	representatives := map[int]*Distributor{}
	for i := range hosts {
		domain := i % domains
		crossRegion := domain%regions != 0
		source := root
		if !flat && representatives[domain] != nil {
			source, crossRegion = representatives[domain], false
		}
		d := x.subscribe(ctx, source, crossRegion)
		if representatives[domain] == nil {
			representatives[domain] = d
		}
		all = append(all, d)
	}
	changes := 0
	x.crossRegionBytes.Store(0)
	for b.Loop() {
		changes++
		host := &schema.Host{Name: fmt.Sprintf("h%d", changes), Region: "r", Listen: "l", Internal: "i"}
		if changes > 1 {
			host.Name = "h1"
			host.Internal = fmt.Sprint(changes)
		}
		_, delta := state.Apply(&schema.Command{Op: &schema.Command_Join{Join: host}})
		if err := root.ApplyDelta(delta); err != nil {
			b.Fatal(err)
		}
		for _, d := range all {
			for d.Current().Version < delta.Version {
				time.Sleep(20 * time.Microsecond)
			}
		}
	}
	b.ReportMetric(float64(x.crossRegionBytes.Load())/float64(changes), "crossB/change")
	b.ReportMetric(float64(x.sentBytes.Load())/float64(changes), "sentB/change")
	cancel()
	x.group.Wait()
}

// TestLostDelta guards against a configuration with a hole: a follower that misses a delta, or gets one twice, must
// not apply what follows to the wrong version.
func TestLostDelta(t *testing.T) {
	const n = 6
	deltas, snapshots := joinDeltas(n)
	for lost := range n - 1 {
		d := &Distributor{Timer: &timer.Service{}}
		for i, delta := range deltas {
			if i == lost {
				continue
			}
			reopen, err := d.ApplyReply(&schema.WatchReply{Delta: delta})
			if err != nil || reopen != (i > lost) {
				t.Errorf("delta %d lost, delta %d: reopen %v, error %v", lost, i, reopen, err)
			}
			_, _ = d.ApplyReply(&schema.WatchReply{Delta: delta})
		}
		want := snapshots[lost]
		if got := d.Current(); got.Version != want.Version || got.Version > 0 && !bytes.Equal(got.Hash, want.Hash) {
			t.Errorf("delta %d lost: version %d in force, want %d", lost, got.Version, want.Version)
		}
	}
}
