package cataloger

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestUneven guards against placing requests by capacity where the entry hosts have equal ones, do not announce
// any, or announce figures that no host can have.
func TestUneven(t *testing.T) {
	capacity := func(cores, link float64) *schema.Capacity { return &schema.Capacity{Cores: cores, Link: link} }
	got, want := map[string]bool{}, map[string]bool{}
	for name, c := range map[string]struct {
		hosts []*schema.Capacity
		want  bool
	}{
		"no host":                      {nil, false},
		"none announced":               {[]*schema.Capacity{nil, nil}, false},
		"equal":                        {[]*schema.Capacity{capacity(0.2, 10), capacity(0.2, 10)}, false},
		"below the ratio":              {[]*schema.Capacity{capacity(0.2, 10), capacity(0.3, 15)}, false},
		"processors differ":            {[]*schema.Capacity{capacity(0.144, 10), capacity(0.48, 10)}, true},
		"links differ":                 {[]*schema.Capacity{capacity(0.2, 7.5), capacity(0.2, 25)}, true},
		"one does not announce":        {[]*schema.Capacity{capacity(0.2, 10), nil}, false},
		"zero, negative and no-number": {[]*schema.Capacity{capacity(0.2, 10), capacity(0, 10), capacity(-1, 10), capacity(math.NaN(), 10), capacity(0.2, math.Inf(1))}, false},
		"absurd":                       {[]*schema.Capacity{capacity(0.2, 10), capacity(1e300, 10), capacity(0.2, 1e-300)}, false},
	} {
		clock := &timer.Service{Clock: &timer.ManualClock{}}
		table := &Table{Timer: clock, AnnounceInterval: time.Second}
		table.Start()
		for i, x := range c.hosts {
			table.StoreHost(&schema.Peer{Name: fmt.Sprint(i), Incarnation: 1, Number: 1, Capacity: x}, "")
		}
		got[name], want[name] = table.Uneven(), c.want
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("uneven: -want +got\n%s", diff)
	}
}

// TestUnevenAtEveryHost guards against hosts that do not learn the capacity of the others: entry hosts follow a control
// host, which forwards what reports to it to the leader, so that adaptive mode begins at all of them or at none.
func TestUnevenAtEveryHost(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	newTable := func(mirror bool) *Table {
		x := &Table{Timer: clock, AnnounceInterval: time.Second, IsMirror: mirror}
		x.Start()
		return x
	}
	control, leader, entry := newTable(false), newTable(false), newTable(true)
	for i, cores := range []float64{0.144, 0.48} {
		control.StoreHost(&schema.Peer{Name: fmt.Sprint(i), Incarnation: 1, Number: 1, Capacity: &schema.Capacity{Cores: cores, Link: 10}}, "")
	}
	for _, p := range control.ChangesSince(0, 0, "").Hosts {
		entry.StoreHost(p, "")
	}
	_, forwarded := control.ReportsToForward()
	for _, p := range forwarded {
		leader.StoreHost(p, "control")
	}
	got := map[string]bool{"control": control.Uneven(), "leader": leader.Uneven(), "entry": entry.Uneven()}
	if diff := cmp.Diff(map[string]bool{"control": true, "leader": true, "entry": true}, got); diff != "" {
		t.Errorf("uneven: -want +got\n%s", diff)
	}
}
