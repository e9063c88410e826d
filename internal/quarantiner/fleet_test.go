package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// The intervals of reports and decisions, and the platform's bounds for the fifth crash.
const (
	testRefresh   = 400 * time.Millisecond
	testConsult   = 250 * time.Millisecond
	testStep      = 50 * time.Millisecond
	stableWindow  = 6 * time.Second
	boundedCrash  = 5
	maxLateSends  = 3
	crashInterval = 600 * time.Millisecond
)

// testControl is a control host of a fleet.
type testControl struct {
	evidence *Evidence
	register *Register
	process  uint64
	link     *Link
	leader   uint64 // process of the leader that replied last
	older    bool
}

// testEntry is an entry host of a fleet.
type testEntry struct {
	observer *Observer
	register *Register
	link     *Link
	control  int
	process  uint64 // of the control host that replied last
	older    bool
}

// fleet is a system of hosts that exchange findings without a network. Every message takes no time.
type fleet struct {
	clock     *timer.Service
	random    *rand.Rand
	controls  []*testControl
	entries   []*testEntry
	leader    int
	processes uint64
	upstreams int
}

func newFleet(seed uint64, controls, entries int) *fleet {
	f := &fleet{clock: &timer.Service{Clock: &timer.ManualClock{}}, random: rand.New(rand.NewPCG(seed, 0))}
	f.clock.Advance(time.Hour)
	for range controls {
		f.controls = append(f.controls, f.newControl())
	}
	for i := range entries {
		f.entries = append(f.entries, f.newEntry(i%controls))
	}
	return f
}

func (f *fleet) newControl() *testControl {
	f.processes++
	c := &testControl{evidence: &Evidence{Now: f.clock.Now}, register: &Register{Now: f.clock.Now}, process: f.processes}
	c.link = &Link{Source: c.evidence, Register: c.register}
	return c
}

func (f *fleet) newEntry(control int) *testEntry {
	e := &testEntry{observer: &Observer{Timer: f.clock, Log: zerolog.Nop()}, register: &Register{Now: f.clock.Now}, control: control}
	e.link = &Link{Source: e.observer, Register: e.register}
	return e
}

func (f *fleet) refresh(e *testEntry) {
	c := f.controls[e.control]
	e.link.Apply(exchange(e.link.Request(e.process), c, e.older || c.older), c.process)
	e.process = c.process
}

// exchange returns the reply of a control host, where one of both hosts is of an earlier version if asked.
func exchange(request *schema.Findings, c *testControl, throughOlder bool) *schema.Findings {
	if throughOlder {
		request = older(request)
	}
	reply, _, _ := Reply(request, c.evidence, c.register)
	if throughOlder {
		reply = older(reply)
	}
	return reply
}

func (f *fleet) consult(i int) {
	c, leader := f.controls[i], f.controls[f.leader]
	if c == leader {
		return
	}
	c.link.Apply(exchange(c.link.Request(c.leader), leader, c.older || leader.older), leader.process)
	c.leader = leader.process
}

// step advances the time by testStep, in which hosts report whose turn it is.
func (f *fleet) step() {
	f.clock.Advance(testStep)
	n := int(f.clock.Now() / testStep)
	for i, e := range f.entries {
		if (n+i)%int(testRefresh/testStep) == 0 {
			f.refresh(e)
		}
	}
	for i := range f.controls {
		if (n+i)%int(testConsult/testStep) == 0 {
			f.consult(i)
		}
	}
	if n%4 == 0 {
		c := f.controls[f.leader]
		if c.older {
			olderDecide(c.evidence, c.register)
			return
		}
		c.evidence.Decide(c.register)
	}
}

// send sends a request whose prompt has the given parts through a random host. It reports whether the
// request reached an upstream, which ends if crashes is set.
func (f *fleet) send(crashes bool, parts ...string) bool {
	var all []Part
	for _, id := range parts {
		all = append(all, Part{ID: id, Key: PartKey(id)})
	}
	return f.sendParts(crashes, all...)
}

// sendParts sends a request like send.
func (f *fleet) sendParts(crashes bool, all ...Part) bool {
	e := f.entries[f.random.IntN(len(f.entries))]
	if e.refuses(all) {
		return false
	}
	if !crashes {
		e.observer.recordSurvival(all)
		return true
	}
	f.crash(e, all)
	return true
}

// refuses reports whether an entry host refuses a request.
func (e *testEntry) refuses(parts []Part) bool {
	p, _, found := e.register.FindIn(parts, 0)
	if !found {
		return false
	}
	e.register.RecordRefusal(p.Key)
	if !e.register.TakeTrial(p.Key) {
		return true
	}
	_, _, found = e.register.FindIn(parts, p.Key)
	return found
}

// crash lets an upstream end under a request of an entry host.
func (f *fleet) crash(e *testEntry, all []Part) {
	f.upstreams++
	e.observer.mu.Lock()
	defer e.observer.mu.Unlock()
	e.observer.storeEnd(Upstream{Name: fmt.Sprint("u", f.upstreams)}, &loss{at: f.clock.Now(), parts: all})
}

// sendTwice sends a request that crashes upstreams through a random host, which repeats it once. It returns
// the number of upstreams that ended.
func (f *fleet) sendTwice(parts ...string) int {
	var all []Part
	for _, id := range parts {
		all = append(all, Part{ID: id, Key: PartKey(id)})
	}
	e := f.entries[f.random.IntN(len(f.entries))]
	if e.refuses(all) {
		return 0
	}
	f.crash(e, all)
	if _, _, found := e.register.FindInRepeat(all); found {
		return 1
	}
	f.crash(e, all)
	return 2
}

// disturbances are sizes of fleets, and what happens to them while requests crash upstreams.
var disturbances = []struct {
	name              string
	controls, entries int
	disturb           func(f *fleet, step int)
}{
	{"one host", 3, 1, func(*fleet, int) {}},
	{"eight hosts", 5, 8, func(*fleet, int) {}},
	{"300 hosts", 9, 300, func(*fleet, int) {}},
	{"300 hosts, the leader changes every second", 9, 300, func(f *fleet, step int) {
		if step%20 == 0 {
			f.leader = (f.leader + 1) % len(f.controls)
		}
	}},
	{"the leader restarts every two seconds and leads again", 5, 24, func(f *fleet, step int) {
		if step%40 == 0 {
			f.controls[f.leader] = f.newControl()
		}
	}},
	{"all control hosts restart", 5, 24, func(f *fleet, step int) {
		if step%200 == 0 {
			for i := range f.controls {
				f.controls[i] = f.newControl()
			}
		}
	}},
	{"one entry host after the other restarts", 5, 24, func(f *fleet, step int) {
		if step%5 == 0 {
			i := step / 5 % len(f.entries)
			f.entries[i] = f.newEntry(i % len(f.controls))
			f.refresh(f.entries[i]) // a host that has had no reply yet is not ready
		}
	}},
}

// TestHostsShareWhatCrashesUpstreams guards against hosts that send requests which crash upstreams
// because others know of it: also among 300 hosts, while leaders change, and after restarts.
func TestHostsShareWhatCrashesUpstreams(t *testing.T) {
	for _, c := range disturbances {
		for seed := range uint64(5) {
			f := newFleet(seed, c.controls, c.entries)
			var arrivals []time.Duration
			lateSound, lateServed := 0, 0
			for step := 1; step <= 1200; step++ {
				c.disturb(f, step)
				f.step()
				if step%int(crashInterval/testStep) == 0 && f.send(true, "base", "bad") {
					arrivals = append(arrivals, f.clock.Now())
				}
				served := f.send(false, "base", fmt.Sprint("doc", f.random.IntN(40)))
				if step > 400 {
					lateSound++
					if served {
						lateServed++
					}
				}
			}
			if len(arrivals) < requiredEnds {
				t.Errorf("%s, seed %d: quarantined after %d ends, want %d or more", c.name, seed, len(arrivals), requiredEnds)
			}
			late := 0
			if len(arrivals) >= boundedCrash {
				for _, at := range arrivals {
					if at > arrivals[boundedCrash-1]+stableWindow {
						late++
					}
				}
			}
			if late > maxLateSends {
				t.Errorf("%s, seed %d: %d of %d requests sent later than %v after the fifth crash, want at most %d", c.name, seed, late, len(arrivals), stableWindow, maxLateSends)
			}
			if lateServed < lateSound {
				t.Errorf("%s, seed %d: %d of %d sound requests refused", c.name, seed, lateSound-lateServed, lateSound)
			}
		}
	}
}

// TestHostsShareWhichRequestCrashesUpstreams guards against hosts that send a request without a prompt to
// one upstream after another because only others know that it crashes them, and against refusing sound
// requests that were at the same upstreams: also among 300 hosts, while leaders change, and after
// restarts. There are three upstreams, which are back three seconds after a crash.
func TestHostsShareWhichRequestCrashesUpstreams(t *testing.T) {
	const upstreams, boundedRequestCrash, restart = 3, 3, 3 * time.Second
	crashing := Part{Key: RequestKey("/seats", "c", []byte("crash"))}
	alike := Part{Key: RequestKey("/seats", "c", nil)}
	for _, c := range disturbances {
		for seed := range uint64(5) {
			f := newFleet(seed, c.controls, c.entries)
			var arrivals []time.Duration
			refused := 0
			for step := 1; step <= 1200; step++ {
				c.disturb(f, step)
				f.step()
				down := 0
				for _, at := range arrivals[max(0, len(arrivals)-upstreams):] {
					if f.clock.Now()-at < restart {
						down++
					}
				}
				if down == upstreams {
					continue
				}
				if step%5 == 0 {
					beside := []Part{crashing}
					if f.random.IntN(2) == 0 {
						beside = append(beside, alike)
					}
					if f.sendParts(true, beside...) {
						arrivals = append(arrivals, f.clock.Now())
					}
				}
				for _, p := range []Part{alike, {Key: RequestKey("/seats", "c", []byte(fmt.Sprint("seat", f.random.IntN(40))))}} {
					if !f.sendParts(false, p) {
						refused++
					}
				}
			}
			late := 0
			for i, at := range arrivals {
				if i >= boundedRequestCrash && at > arrivals[boundedRequestCrash-1]+stableWindow {
					late++
				}
			}
			if len(arrivals) < boundedRequestCrash || late > maxLateSends {
				t.Errorf("%s, seed %d: %d crashes, %d of them later than %v after the third, want at most %d", c.name, seed, len(arrivals), late, stableWindow, maxLateSends)
			}
			if refused > 0 {
				t.Errorf("%s, seed %d: %d sound requests refused", c.name, seed, refused)
			}
		}
	}
}

// TestUpstreamsEndUnderAlikeRequests guards against a quarantine of a request that many callers send alike,
// with an empty body, when all upstreams end at short intervals for another cause, again and again.
func TestUpstreamsEndUnderAlikeRequests(t *testing.T) {
	alike := Part{Key: RequestKey("/seats", "c", nil)}
	for _, interval := range []int{1, 4, 6, 12, 30} { // steps
		for seed := range uint64(5) {
			f := newFleet(seed, 5, 8)
			for step := 1; step <= 1200; step++ {
				f.step()
				series := step % 200
				ends := series > 0 && series <= 3*interval && series%interval == 0
				if !f.sendParts(ends, alike) {
					t.Fatalf("interval %v, seed %d: refused after %v", time.Duration(interval)*testStep, seed, time.Duration(step)*testStep)
				}
			}
		}
	}
}

// TestRegistersConverge guards against a released part that comes back from a host that has not
// received the release, and against a part that is forgotten while one host knows it.
func TestRegistersConverge(t *testing.T) {
	f := newFleet(1, 3, 6)
	part := PartKey("p")
	f.entries[5].register.decide(part, false)
	for range 40 {
		f.step()
	}
	for i, e := range f.entries {
		if _, found := e.register.Find(part); !found {
			t.Errorf("host %d does not have the quarantine that another host knew of", i)
		}
	}
	f.controls[f.leader].register.decide(part, true)
	stale := f.entries[0]
	f.entries = f.entries[1:]
	for range 40 {
		f.step()
	}
	f.controls[1] = f.newControl()
	stale.control = 1
	f.entries = append(f.entries, stale)
	for range 40 {
		f.step()
	}
	for i, e := range f.entries {
		if _, found := e.register.Find(part); found {
			t.Errorf("host %d has a released part", i)
		}
	}
}

// TestFindingsAreSentOnce guards against reports that grow with the age of the system: what a process
// has received is not sent to it again.
func TestFindingsAreSentOnce(t *testing.T) {
	f := newFleet(1, 2, 1)
	e := f.entries[0]
	f.send(true, "a")
	sizes := []int{}
	for range 3 {
		request := e.link.Request(e.process)
		sizes = append(sizes, len(request.Ends))
		c := f.controls[e.control]
		reply, _, _ := Reply(request, c.evidence, c.register)
		e.link.Apply(reply, c.process)
		e.process = c.process
	}
	if sizes[0] != 1 || sizes[1] != 0 || sizes[2] != 0 {
		t.Errorf("ends in three reports: %v, want [1 0 0]", sizes)
	}
	e.control = 1
	var got [2]int
	for i := range got { // the first report may not yet know that another process receives it
		request := e.link.Request(e.process)
		got[i] = len(request.Ends)
		c := f.controls[e.control]
		reply, _, _ := Reply(request, c.evidence, c.register)
		e.link.Apply(reply, c.process)
		e.process = c.process
	}
	if got[0]+got[1] != 1 {
		t.Errorf("ends in two reports to another control host: %v, want one in all", got)
	}
}

// TestBoundedFindings guards against findings that exhaust memory: many ends, parts and entries.
func TestBoundedFindings(t *testing.T) {
	f := newFleet(1, 1, 1)
	c, e := f.controls[0], f.entries[0]
	for i := range 3 * maxEnds {
		m := &schema.UpstreamEnd{Upstream: fmt.Sprint("u", i)}
		for k := range 2 * maxEndParts {
			m.Parts = append(m.Parts, uint64(i*2*maxEndParts+k))
		}
		c.evidence.Store(&schema.Findings{Ends: []*schema.UpstreamEnd{m}, Survivals: []*schema.Survival{{Part: uint64(i) << 32}, {Part: uint64(i)<<32 + 1}}})
		c.register.decide(uint64(i), i%2 == 0)
		c.register.decide(uint64(i)+1<<40, false)
		f.send(true, fmt.Sprint("part", i))
	}
	c.evidence.Decide(c.register)
	parts := 0
	for _, x := range c.evidence.ends {
		parts = max(parts, len(x.parts))
	}
	if n := len(c.evidence.ends); n > maxEnds || parts > maxEndParts || len(c.evidence.survivals) > maxSurvivals {
		t.Errorf("%d ends with up to %d parts, %d survivals", n, parts, len(c.evidence.survivals))
	}
	if len(c.register.List()) > maxEntries || len(c.evidence.Suspects()) > maxSuspects || len(e.observer.ends) > maxObservedEnds {
		t.Errorf("%d entries, %d suspects, %d observed ends", len(c.register.List()), len(c.evidence.Suspects()), len(e.observer.ends))
	}
}

// TestFullEvidenceIsStable guards against control hosts that exchange the same survivals again and again, as
// each that had no room takes the place of another.
func TestFullEvidenceIsStable(t *testing.T) {
	f := newFleet(1, 1, 1)
	e := f.controls[0].evidence
	report := func() {
		m := &schema.Findings{}
		for i := range 2 * maxSurvivals {
			m.Survivals = append(m.Survivals, &schema.Survival{Part: uint64(i), Age: 10 + float64(i)})
		}
		e.Store(m)
	}
	report()
	_, revision := e.Since(0)
	for range 3 {
		report()
	}
	if _, got := e.Since(revision); got != revision {
		t.Errorf("revision %d after the same reports, want %d", got, revision)
	}
	e.Store(&schema.Findings{Survivals: []*schema.Survival{{Part: 1 << 40}}})
	if changes, _ := e.Since(revision); len(changes.Survivals) != 1 {
		t.Errorf("%d survivals after a new one, want it alone", len(changes.Survivals))
	}
}
