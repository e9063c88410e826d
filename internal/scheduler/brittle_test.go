package scheduler

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	brittleStep         = 20 * time.Millisecond
	brittleStableWindow = 6 * time.Second
	brittleDownTime     = 3 * time.Second
	brittleTime         = 20 * time.Second
	brittleUpstreams    = 8
	brittleHostRefresh  = 20 // steps
)

// brittleCase describes a brittleFleet and what its callers ask.
type brittleCase struct {
	hosts      int
	slots      int
	rejections float64
	queue      int     // requests that may wait at an upstream while it is brittle
	overload   float64 // requests, as a multiple of what the upstreams can serve
	tokens     int64   // memory of an engine; 0: plain services
	configured int     // slots of an engine by configuration; 0: as announced
	adaptive   bool
	stated     int // slots that upstreams announce; 0: those that they have
	disturb    func(f *brittleFleet, step int)
}

// brittleHost is an entry host of a brittleFleet.
type brittleHost struct {
	name            string
	scheduler       *Scheduler
	table           *cataloger.Table
	cursor, process uint64
	running         map[string]int32 // by upstream, as last reported
}

// brittleUpstream stands in for an upstream that fails if it must turn too many requests away.
type brittleUpstream struct {
	name        string
	incarnation uint64
	running     []*brittleRun
	waiting     []*brittleRun
	rejectedAt  []time.Duration
	downUntil   time.Duration
	falls       []time.Duration
	rejected    int
}

type brittleRun struct {
	reservation *Reservation
	tokens      int64
	startedAt   time.Duration
	duration    time.Duration
}

// brittleFleet is a region of hosts before upstreams that become brittle. Hosts exchange reports without a network.
type brittleFleet struct {
	brittleCase
	clock     *timer.Service
	random    *rand.Rand
	config    *configurer.Snapshot
	hosts     []*brittleHost
	control   *cataloger.Table
	upstreams []*brittleUpstream
	brittle   bool
	strictAt  time.Duration // from which queues are short and upstreams fail; 0: never
	number    uint64
	answered  int
	refused   int
	reports   int                 // of brittleness, to the control host
	ranks     map[string][]string // names of hosts by rank for an upstream
	running   map[string]int32    // by upstream, as all hosts last reported
}

func newBrittleFleet(seed uint64, c brittleCase) *brittleFleet {
	f := &brittleFleet{brittleCase: c, clock: &timer.Service{Clock: &timer.ManualClock{}}, random: rand.New(rand.NewPCG(seed, 0)), ranks: map[string][]string{}, running: map[string]int32{}}
	f.clock.Advance(time.Hour)
	pool := &schema.Pool{Name: "p"}
	if c.tokens > 0 {
		pool.Engine = &schema.Engine{Slots: int32(cmp.Or(c.configured, c.slots)), Tokens: c.tokens}
	}
	f.config = configurer.FromMessage(&schema.Snapshot{Version: 1, Items: []*schema.Item{{Path: "pool/p", Value: &schema.Item_Pool{Pool: pool}}}})
	f.control = &cataloger.Table{Timer: f.clock, AnnounceInterval: time.Hour}
	f.control.Start()
	for i := range brittleUpstreams {
		u := &brittleUpstream{name: fmt.Sprint("u", i), incarnation: 1}
		f.upstreams = append(f.upstreams, u)
		f.announce(u)
	}
	for i := range c.hosts {
		f.hosts = append(f.hosts, f.newHost(fmt.Sprint("h", i)))
	}
	for i := range f.hosts {
		f.refresh(i)
	}
	return f
}

func (f *brittleFleet) announce(u *brittleUpstream) {
	f.number++
	f.control.StoreUpstream(&schema.Announcement{
		Name: u.name, Address: u.name, Pool: "p", Region: "r", Domain: "d", Slots: int32(cmp.Or(f.stated, f.slots)), Incarnation: u.incarnation, Number: f.number,
	}, true)
}

func (f *brittleFleet) newHost(name string) *brittleHost {
	clear(f.ranks)
	h := &brittleHost{name: name, table: &cataloger.Table{Timer: f.clock, AnnounceInterval: time.Hour, IsMirror: true}}
	h.table.Start()
	h.scheduler = &Scheduler{
		Timer: f.clock, Config: func() *configurer.Snapshot { return f.config }, Random: f.random.IntN, Adaptive: func() bool { return f.adaptive },
		HostCount: func() int { return len(f.hosts) },
		OwnerRank: func(upstream string) (int, int) { return f.rank(name, upstream), len(f.hosts) },
	}
	return h
}

func (f *brittleFleet) rank(host, upstream string) int {
	if f.ranks[upstream] == nil {
		var names []string
		for _, h := range f.hosts {
			names = append(names, h.name)
		}
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(b+"/"+upstream), xxhash.Sum64String(a+"/"+upstream))
		})
		f.ranks[upstream] = names
	}
	if rank := slices.Index(f.ranks[upstream], host); rank >= 0 {
		return rank
	}
	return len(f.hosts)
}

// refresh reports a host's state to the control host and applies the reply.
func (f *brittleFleet) refresh(i int) {
	h := f.hosts[i]
	for _, b := range h.scheduler.OwnBrittleness() {
		f.control.StoreBrittleness(b, true)
		f.reports++
	}
	f.report(h, h.scheduler.OwnLoads())
	running := maps.Clone(f.running)
	for name, n := range h.running {
		running[name] -= n
	}
	changes := f.control.ChangesSince(h.cursor, h.process, "r")
	h.cursor, h.process = changes.Cursor, changes.Process
	for _, a := range changes.Upstreams {
		h.table.StoreUpstream(a, false)
	}
	h.scheduler.UpdateOtherLoads([]*schema.PoolLoad{{Pool: "p", Running: running}})
	h.scheduler.UpdateUpstreams(h.table.Upstreams())
	h.scheduler.UpdateBrittleness(h.table.Brittleness())
}

// report replaces what a host reported last of its load.
func (f *brittleFleet) report(h *brittleHost, loads []*schema.PoolLoad) {
	for name, n := range h.running {
		f.running[name] -= n
	}
	h.running = nil
	for _, l := range loads {
		h.running = l.Running
	}
	for name, n := range h.running {
		f.running[name] += n
	}
}

// concurrency returns the number of average requests that an upstream runs at once.
func (f *brittleFleet) concurrency() float64 {
	if f.tokens == 0 {
		return float64(f.slots)
	}
	return min(float64(f.slots), float64(f.tokens)/meanTestTokens)
}

// Average tokens and duration of a request in a brittleFleet.
const (
	meanTestTokens   = 2000.0
	meanTestDuration = 800 * time.Millisecond
	firstTokenTime   = 60 * time.Millisecond
)

func (f *brittleFleet) run(d time.Duration) {
	perStep := f.overload * f.concurrency() * brittleUpstreams * brittleStep.Seconds() / meanTestDuration.Seconds()
	for step := 1; step <= int(d/brittleStep); step++ {
		if f.disturb != nil {
			f.disturb(f, step)
		}
		f.clock.Advance(brittleStep)
		now := f.clock.Now()
		for i := range f.hosts {
			if (step+i)%brittleHostRefresh == 0 {
				f.refresh(i)
			}
		}
		for _, u := range f.upstreams {
			f.advance(u, now)
		}
		for n := perStep; n > 0 && f.random.Float64() < n; n-- {
			f.send(f.hosts[f.random.IntN(len(f.hosts))], now)
		}
	}
}

// advance ends and starts requests at an upstream, and the upstream itself after it has failed.
func (f *brittleFleet) advance(u *brittleUpstream, now time.Duration) {
	if u.downUntil > 0 && now >= u.downUntil {
		u.downUntil = 0
		u.incarnation++
		f.announce(u)
	}
	u.running = slices.DeleteFunc(u.running, func(r *brittleRun) bool {
		if now >= r.startedAt+firstTokenTime {
			r.reservation.RecordFirstToken()
		}
		if now < r.startedAt+r.duration {
			return false
		}
		f.answered++
		r.reservation.RecordBrittleness(f.rejections, f.brittle, false)
		r.reservation.Release(Answered)
		return true
	})
	for len(u.waiting) > 0 && f.fits(u, u.waiting[0]) {
		f.start(u, u.waiting[0], now)
		u.waiting = u.waiting[1:]
	}
}

func (f *brittleFleet) fits(u *brittleUpstream, r *brittleRun) bool {
	used := r.tokens
	for _, x := range u.running {
		used += x.tokens
	}
	return len(u.running) < f.slots && (f.tokens == 0 || used <= f.tokens)
}

func (f *brittleFleet) start(u *brittleUpstream, r *brittleRun, now time.Duration) {
	r.startedAt = now
	u.running = append(u.running, r)
}

// send lets a caller send a request, which is sent to a second upstream if the first one turns it away.
func (f *brittleFleet) send(h *brittleHost, now time.Duration) {
	w := &Request{Pool: "p", ObjectiveAt: now + time.Second, Deadline: now + 5*time.Second, Excluded: map[string]bool{}}
	if f.tokens > 0 {
		w.InputTokens = int64(meanTestTokens * f.random.ExpFloat64())
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // nobody waits
	for range 2 {
		p, err := h.scheduler.Acquire(ctx, w)
		if err != nil {
			f.refused++
			return
		}
		if f.arrive(p, w, now) {
			return
		}
		w.Excluded[p.Name], w.TurnedAway = true, p.Brittle()
	}
}

// arrive lets a request arrive at its upstream. It returns false if the upstream turned it away.
func (f *brittleFleet) arrive(p *Reservation, w *Request, now time.Duration) bool {
	u := f.upstreams[slices.IndexFunc(f.upstreams, func(u *brittleUpstream) bool { return u.name == p.Name })]
	if u.downUntil > 0 || u.incarnation != p.Incarnation {
		p.Release(Unreachable)
		return true
	}
	r := &brittleRun{reservation: p, tokens: w.InputTokens, duration: time.Duration((0.5 + f.random.Float64()) * float64(meanTestDuration))}
	strict := f.strictAt > 0 && now >= f.strictAt
	queue := f.slots
	if strict {
		queue = f.queue
	}
	switch {
	case len(u.waiting) == 0 && f.fits(u, r):
		f.start(u, r, now)
		return true
	case len(u.waiting) < queue && (f.tokens == 0 || r.tokens <= f.tokens):
		u.waiting = append(u.waiting, r)
		return true
	}
	p.RecordBrittleness(f.rejections, f.brittle, true)
	p.Release(Rejected)
	if strict {
		u.rejected++
		u.rejectedAt = slices.DeleteFunc(append(u.rejectedAt, now), func(at time.Duration) bool { return now-at >= time.Second })
		if float64(len(u.rejectedAt)) > f.rejections {
			f.fall(u, now)
		}
	}
	return false
}

func (f *brittleFleet) fall(u *brittleUpstream, now time.Duration) {
	u.falls = append(u.falls, now)
	u.downUntil = now + brittleDownTime
	u.rejectedAt = nil
	for _, r := range append(u.running, u.waiting...) {
		r.reservation.Release(Failed)
	}
	u.running, u.waiting = nil, nil
}

func (f *brittleFleet) totals() (falls, rejected int) {
	for _, u := range f.upstreams {
		falls += len(u.falls)
		rejected += u.rejected
	}
	return falls, rejected
}

// TestBrittleUpstreamsKeepUp guards against hosts that together make upstreams turn more requests away than these can:
// few or many hosts, overload, short queues, requests of different sizes, hosts that restart, come or go.
func TestBrittleUpstreamsKeepUp(t *testing.T) {
	everySteps := func(n int, change func(f *brittleFleet, i int)) func(*brittleFleet, int) {
		return func(f *brittleFleet, step int) {
			if step%n == 0 {
				change(f, step/n)
			}
		}
	}
	restart := everySteps(50, func(f *brittleFleet, i int) {
		i %= len(f.hosts)
		f.report(f.hosts[i], nil)
		f.hosts[i] = f.newHost(f.hosts[i].name)
		f.refresh(i)
	})
	comeAndGo := everySteps(100, func(f *brittleFleet, i int) {
		f.report(f.hosts[0], nil)
		f.hosts = append(f.hosts[1:], f.newHost(fmt.Sprint("new", i)))
		f.refresh(len(f.hosts) - 1)
	})
	cases := map[string]brittleCase{
		"hosts restart":                               {hosts: 30, slots: 16, rejections: 5, overload: 2, disturb: restart},
		"hosts come and go":                           {hosts: 30, slots: 16, rejections: 5, overload: 2, disturb: comeAndGo},
		"engines with fewer slots than configured":    {hosts: 30, slots: 16, configured: 64, rejections: 5, overload: 2, tokens: 200_000},
		"engines by cost":                             {hosts: 30, slots: 64, rejections: 5, queue: 4, overload: 2, tokens: 200_000, adaptive: true},
		"engines by cost, short of memory":            {hosts: 30, slots: 64, rejections: 5, queue: 4, overload: 2, tokens: 60_000, adaptive: true},
		"engines by cost, short of memory, 300 hosts": {hosts: 300, slots: 64, rejections: 5, queue: 4, overload: 2, tokens: 60_000, adaptive: true},
		"services with less room than they announce":  {hosts: 30, slots: 12, stated: 16, rejections: 5, overload: 2},
		"none rejected":                               {hosts: 30, slots: 16, rejections: 0, overload: 2},
		"no overload":                                 {hosts: 3, slots: 16, rejections: 1, overload: 0.7},
		"few slots":                                   {hosts: 30, slots: 4, rejections: 1, overload: 2},
	}
	for _, hosts := range []int{1, 30, 300} {
		for _, rejections := range []float64{1, 5, 20} {
			cases[fmt.Sprintf("services, %d hosts, %v rejections", hosts, rejections)] = brittleCase{hosts: hosts, slots: 16, rejections: rejections, overload: 3}
			cases[fmt.Sprintf("engines, %d hosts, %v rejections", hosts, rejections)] = brittleCase{hosts: hosts, slots: 64, rejections: rejections, queue: 4, overload: 1.5, tokens: 200_000}
			cases[fmt.Sprintf("engines short of memory, %d hosts, %v rejections", hosts, rejections)] = brittleCase{hosts: hosts, slots: 64, rejections: rejections, queue: 4, overload: 2, tokens: 60_000}
		}
	}
	for name, c := range cases {
		seeds := uint64(3)
		if c.hosts > 100 {
			seeds = 1
		}
		for seed := range seeds {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				f := newBrittleFleet(seed, c)
				f.run(5 * time.Second)
				f.brittle, f.strictAt = true, f.clock.Now()+brittleStableWindow
				f.run(brittleStableWindow)
				answered, refused, reports := f.answered, f.refused, f.reports
				f.run(brittleTime)
				falls, rejected := f.totals()
				answered, refused = f.answered-answered, f.refused-refused
				t.Logf("%d falls, %d turned away by upstreams, %.0f %% of the capacity used, %d answered, %d refused", falls, rejected,
					100*float64(answered)*meanTestDuration.Seconds()/(brittleTime.Seconds()*f.concurrency()*brittleUpstreams), answered, refused)
				// While nothing changes, few hosts report, at each refresh.
				refreshes := int(brittleTime / (brittleHostRefresh * brittleStep))
				if reports, most := f.reports-reports, 4*brittleUpstreams*refreshes; reports > most {
					t.Errorf("hosts reported %d times that upstreams are brittle, want at most %d", reports, most)
				}
				if allowed := 2 + brittleUpstreams/10; falls > allowed {
					t.Errorf("brittle upstreams failed %d times as they had to turn requests away, want at most %d", falls, allowed)
				}
				f.brittle, f.strictAt = false, 0
				f.run(10 * time.Second)
				for _, h := range f.hosts {
					if n := h.scheduler.BrittleCount(); n > 0 {
						t.Fatalf("%s counts %d upstreams as brittle after they no longer said so", h.name, n)
					}
				}
			})
		}
	}
}

// TestNewProcessOfBrittlePool guards against the herd that returns to an upstream that has failed: its new process has
// not answered yet, so it does not say that it is brittle.
func TestNewProcessOfBrittlePool(t *testing.T) {
	f := newBrittleFleet(1, brittleCase{hosts: 30, slots: 16, rejections: 2})
	s := f.hosts[0].scheduler
	f.brittle = true
	f.control.StoreBrittleness(&schema.Brittleness{Upstream: "u0", Incarnation: 1, Rejections: 2}, true)
	f.refresh(0)
	if n := s.BrittleCount(); n != brittleUpstreams {
		t.Errorf("%d upstreams count as brittle after one of the pool said so, want all %d that have not answered", n, brittleUpstreams)
	}
	f.upstreams[0].incarnation = 2
	f.announce(f.upstreams[0])
	f.clock.Advance(time.Second)
	f.refresh(0)
	s.mu.Lock()
	rejections, brittle := s.brittleness(s.upstreams["u0"], f.clock.Now())
	s.mu.Unlock()
	if !brittle || rejections != 2 {
		t.Errorf("new process: brittle %v, %v rejections a second, want true, 2", brittle, rejections)
	}
	f.control.StoreBrittleness(&schema.Brittleness{Upstream: "u0", Incarnation: 2, Ended: true}, true)
	f.refresh(0)
	if n := s.BrittleCount(); n != brittleUpstreams-1 {
		t.Errorf("%d upstreams count as brittle after the new process answered that it is not, want %d", n, brittleUpstreams-1)
	}
	f.clock.Advance(poolBrittleTime)
	f.refresh(0)
	if n := s.BrittleCount(); n != 0 {
		t.Errorf("%d upstreams count as brittle %v after the last of them said so, want none", n, poolBrittleTime)
	}
}

// TestRoomOutlivesProcess guards against a new process that fails as the one before: what that one had room for was
// known.
func TestRoomOutlivesProcess(t *testing.T) {
	f := newBrittleFleet(1, brittleCase{hosts: 2, slots: 16, rejections: 2})
	room := func(h *brittleHost) float64 {
		h.scheduler.mu.Lock()
		defer h.scheduler.mu.Unlock()
		return h.scheduler.brittleRoom(h.scheduler.upstreams["u0"], f.clock.Now())
	}
	s := f.hosts[0].scheduler
	s.Random = func(n int) int { return n - 1 } // chooses u0
	p, err := s.Acquire(context.Background(), &Request{Pool: "p", ObjectiveAt: f.clock.Now() + time.Second, Deadline: f.clock.Now() + time.Minute})
	if err != nil || p.Name != "u0" {
		t.Fatalf("got %v, %v, want a place at u0", p, err)
	}
	p.RecordBrittleness(2, true, true)
	p.Release(Rejected)
	f.refresh(0)
	f.refresh(1)
	want := math.Floor(math.Floor(16*brittleSlotFraction) * roomShrinkFactor)
	for _, h := range f.hosts {
		if got := room(h); got != want {
			t.Errorf("%s: room for %v requests after one was turned away, want %v", h.name, got, want)
		}
	}
	f.upstreams[0].incarnation = 2
	f.announce(f.upstreams[0])
	for i, h := range f.hosts {
		f.refresh(i)
		if got := room(h); got != want {
			t.Errorf("%s: room for %v requests at the new process, want %v", h.name, got, want)
		}
	}
}
