package distributor

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// FuzzReply guards against a source's reply that ends the process, puts an older configuration in force, or one
// whose items cannot be used.
func FuzzReply(f *testing.F) {
	deltas, snapshots := joinDeltas(4)
	for _, m := range []*schema.WatchReply{
		{Delta: deltas[2]}, {Delta: deltas[3]}, {Snapshot: snapshots[3].Message()}, {Snapshot: snapshots[1].Message()}, {Age: -1 << 62},
		{Snapshot: &schema.Snapshot{Version: 9, Items: []*schema.Item{{Path: "host/x"}}}},
		{Snapshot: &schema.Snapshot{Version: 1<<64 - 1, Items: []*schema.Item{{Path: "host/x", Removed: true}, {}}}},
		{Delta: &schema.Delta{Version: 3}}, {},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &schema.WatchReply{}
		if proto.Unmarshal(b, m) != nil {
			return
		}
		clock := &timer.Service{Clock: &timer.ManualClock{}}
		clock.Advance(maxSourceAge)
		d := &Distributor{Timer: clock, OnChange: func(s *configurer.Snapshot) {
			for _, h := range s.Hosts() {
				_ = h.Name
			}
			if s.Bounds() != nil && s.Item("bounds/callers") == nil || s.Check() != nil {
				t.Errorf("in force: %v", s.Message())
			}
		}}
		if err := d.Replace(snapshots[2]); err != nil {
			t.Fatal(err)
		}
		_, err := d.ApplyReply(m)
		current := d.Current()
		if current.Version < 2 || err != nil && current != snapshots[2] {
			t.Errorf("error %v, version %d in force", err, current.Version)
		}
		if d.Age() < 0 {
			t.Errorf("confirmed %v from now", -d.Age())
		}
	})
}
