package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// serviceFleet simulates many hosts that send short plain requests to a few services, in virtual
// time. The hosts learn each other's load only after many requests have ended.
type serviceFleet struct {
	*timer.Service
	random  *rand.Rand
	hosts   []*Scheduler
	running map[string]int
	// refused counts requests for which a host saw no place, turnedAway those that a full service
	// rejected.
	sent, refused, turnedAway int
}

const serviceSlots, serviceQueue = 6, 3

func (f *serviceFleet) send() {
	f.sent++
	s := f.hosts[f.random.IntN(len(f.hosts))]
	w := &Request{Pool: "service", ObjectiveAt: f.Now() + 600*time.Millisecond, Deadline: f.Now() + 10*time.Second}
	p := s.reserve(w, s.candidates(w, f.Now()), f.Now())
	if p == nil {
		f.refused++
		return
	}
	if f.running[p.Name] >= serviceSlots+serviceQueue {
		f.turnedAway++
		p.Release(Rejected)
		return
	}
	f.running[p.Name]++
	work := time.Duration(float64(60*time.Millisecond) * (0.5 + f.random.Float64()))
	if queued := f.running[p.Name] - serviceSlots; queued > 0 {
		work += 60 * time.Millisecond * time.Duration(queued) / serviceSlots
	}
	f.Once(work, func() {
		f.running[p.Name]--
		p.RecordFirstToken()
		p.Release(Answered)
	})
}

// TestShortRequestsBeforeOldReports guards against a fleet that avoids and floods a service in
// turns: reports of load are older than the requests that they count. Three quarters of what two
// services can do is sent through 97 hosts; few requests may find no place.
func TestShortRequestsBeforeOldReports(t *testing.T) {
	f := &serviceFleet{Service: &timer.Service{Clock: &timer.ManualClock{}}, random: rand.New(rand.NewPCG(1, 3)), running: map[string]int{}}
	f.Advance(time.Hour)
	c := configurer.FromMessage(&schema.Snapshot{Version: 1, Items: []*schema.Item{
		{Path: "pool/service", Value: &schema.Item_Pool{Pool: &schema.Pool{Name: "service"}}},
	}})
	var services []*schema.Announcement
	for i := range 2 {
		services = append(services, &schema.Announcement{Name: fmt.Sprint("s", i), Address: fmt.Sprint("a", i), Pool: "service", Region: "r", Domain: "d", Slots: serviceSlots, Incarnation: 1})
	}
	const hosts = 97
	for range hosts {
		s := &Scheduler{Timer: f.Service, Config: func() *configurer.Snapshot { return c }, Random: f.random.IntN, HostCount: func() int { return hosts }}
		s.UpdateUpstreams(services)
		f.hosts = append(f.hosts, s)
	}
	stop := f.Every(400*time.Millisecond, func() {
		total := map[string]int32{}
		for _, s := range f.hosts {
			for _, l := range s.OwnLoads() {
				for name, n := range l.Running {
					total[name] += n
				}
			}
		}
		f.Once(300*time.Millisecond, func() {
			for _, s := range f.hosts {
				s.UpdateOtherLoads([]*schema.PoolLoad{{Pool: "service", Running: total}})
			}
		})
	})
	defer stop()
	for range 20 * 150 { // 150 requests a second for 20 s
		f.send()
		f.Advance(time.Duration(f.random.ExpFloat64() * float64(time.Second) / 150))
	}
	t.Logf("%d sent, %d refused, %d turned away", f.sent, f.refused, f.turnedAway)
	if failed := f.refused + f.turnedAway; failed > f.sent/20 {
		t.Errorf("%d of %d requests found no place", failed, f.sent)
	}
}
