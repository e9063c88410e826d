package quarantiner

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestObservedEnds guards against accusing parts of requests that upstreams lost for other causes: a
// connection only, an announced end, or an answer that had long begun.
func TestObservedEnds(t *testing.T) {
	part := []Part{{ID: "p", Key: 7}}
	lost := func(r *Run, _ *timer.Service) { r.RecordLost() }
	for _, c := range []struct {
		name    string
		refused bool
		state   State
		end     func(r *Run, clock *timer.Service)
		want    []uint64
	}{
		{"ended before the answer", true, Running, lost, []uint64{7}},
		{"ended when the answer had just begun", true, Running, func(r *Run, clock *timer.Service) {
			r.RecordProgress()
			clock.Advance(survivalTime / 2)
			r.RecordLost()
		}, []uint64{7}},
		{"ended when the answer had long begun", true, Running, func(r *Run, clock *timer.Service) {
			r.RecordProgress()
			clock.Advance(survivalTime)
			r.RecordLost()
		}, nil},
		{"the connection was lost, the upstream goes on", false, Running, lost, nil},
		{"another process has the address", false, Ended, lost, []uint64{7}},
		{"leaving, as announced", true, Leaving, lost, nil},
		{"answered", true, Running, func(r *Run, _ *timer.Service) { r.RecordComplete() }, nil},
	} {
		clock := &timer.Service{Clock: &timer.ManualClock{}}
		clock.Advance(time.Hour)
		checked := make(chan struct{}, len(checkDelays))
		o := &Observer{
			Timer: clock, Log: zerolog.Nop(),
			Refused: func(context.Context, string) bool { return c.refused },
			State:   func(Upstream) State { checked <- struct{}{}; return c.state },
		}
		ends := make(chan struct{}, 1)
		o.OnEnd = func() { ends <- struct{}{} }
		c.end(o.Start(Upstream{Name: "u", Incarnation: 3}, part), clock)
		o.mu.Lock()
		pending := len(o.losses)
		o.mu.Unlock()
		if pending > 0 {
			clock.Advance(checkDelays[0])
			<-checked
		}
		if c.want != nil {
			<-ends
		}
		f, _ := o.Since(0)
		var got []uint64
		for _, x := range f.Ends {
			got = append(got, x.Parts...)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
	}
}

// TestSurvivalsOfSuspects guards against reports of all parts that a host has seen: only survivals of
// suspects are asked for.
func TestSurvivalsOfSuspects(t *testing.T) {
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	clock.Advance(time.Hour)
	o := &Observer{Timer: clock, Log: zerolog.Nop()}
	for i := range uint64(survivalsPerInterval + 10) {
		o.Start(Upstream{}, []Part{{Key: i}}).RecordComplete()
	}
	clock.Advance(time.Second)
	o.SetSuspects([]uint64{5, survivalsPerInterval + 1, 1 << 40})
	f, _ := o.Since(0)
	got := map[uint64]float64{}
	for _, x := range f.Survivals {
		got[x.Part] = x.Age
	}
	if diff := cmp.Diff(map[uint64]float64{5: 1, survivalsPerInterval + 1: 1}, got); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
	if n := len(o.recent) + len(o.previous); n > 2*survivalsPerInterval {
		t.Errorf("%d survivals are kept", n)
	}
}
