package resumer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	testStep      = 50 * time.Millisecond
	testHeartbeat = time.Second
	testReport    = 200 * time.Millisecond
	testTimeout   = 5 * time.Second
	// The platform's bounds: at most maxJoined streams hold events of two versions; of those that are
	// taken up at hosts that were undisturbed for stableWindow, at least minResumedShare go on.
	maxJoined       = 2
	minResumedShare = 0.5
	stableWindow    = 6 * time.Second
)

// testControl is a control host of a fleet.
type testControl struct {
	index       *Index
	table       *cataloger.Table
	unreachable bool
}

// testEntry is an entry host of a fleet.
type testEntry struct {
	index   *Index
	sender  *Sender
	control int
}

// testUpstream is an upstream of a fleet.
type testUpstream struct {
	name, version string
	started       int
	reports       uint64
	gone          bool
}

// testStream is a stream that a caller receives.
type testStream struct {
	id, version string
	entry       *testEntry
	breaksAt    int // step
}

// fleet is a system of hosts without a network. Every message takes no time.
type fleet struct {
	clock     *timer.Service
	random    *rand.Rand
	controls  []*testControl
	entries   []*testEntry
	upstreams []*testUpstream
	streams   []*testStream
	step      int
	disturbed int // step of the last disturbance

	joined, taken, resumed int
	batches, records       int
}

func newFleet(seed uint64, controls, entries int) *fleet {
	f := &fleet{clock: &timer.Service{Clock: &timer.ManualClock{}}, random: rand.New(rand.NewPCG(seed, 0)), disturbed: -1000}
	f.clock.Advance(time.Hour)
	for range controls {
		c := f.newControl()
		c.table.IsFirst = true
		f.controls = append(f.controls, c)
	}
	for i := range entries {
		f.entries = append(f.entries, f.newEntry(i%controls))
	}
	return f
}

func (f *fleet) newControl() *testControl {
	c := &testControl{
		index: &Index{Now: f.clock.Now, Process: f.random.Uint64() | 1, MaxStreams: 1 << 16},
		table: &cataloger.Table{Timer: f.clock, AnnounceInterval: testHeartbeat},
	}
	c.table.Start()
	return c
}

func (f *fleet) newEntry(control int) *testEntry {
	x := &Index{Now: f.clock.Now, MaxStreams: 4 << 10}
	return &testEntry{index: x, sender: &Sender{Index: x}, control: control}
}

// control returns the control host that an entry host uses: the next one if its own does not respond.
func (f *fleet) control(e *testEntry) *testControl {
	for i := range f.controls {
		if c := f.controls[(e.control+i)%len(f.controls)]; !c.unreachable {
			return c
		}
	}
	return nil
}

func (f *fleet) startUpstream(version string) {
	u := &testUpstream{name: fmt.Sprint("u", len(f.upstreams)), version: version, started: f.step}
	f.upstreams = append(f.upstreams, u)
	f.report(u, nil)
}

// report sends a report of an upstream to one control host, which knows it first, and then to the others.
func (f *fleet) report(u *testUpstream, only *testControl) {
	u.reports++
	for _, c := range f.controls {
		if c.unreachable || only != nil && c != only {
			continue
		}
		c.table.StoreUpstream(&schema.Announcement{
			Name: u.name, Pool: "p", Region: "r", Address: u.name, Slots: 8, Software: u.version,
			Incarnation: 1, Number: u.reports, Gone: u.gone,
		}, true)
	}
}

// leave ends all upstreams of a version.
func (f *fleet) leave(version string) {
	for _, u := range f.upstreams {
		if u.version == version && !u.gone {
			u.gone = true
			f.report(u, nil)
		}
	}
}

func (f *fleet) send(e *testEntry) {
	c := f.control(e)
	if c == nil {
		return
	}
	for {
		batch := e.sender.Batch()
		if len(batch) == 0 {
			return
		}
		f.batches++
		f.records += len(batch)
		c.index.Store(batch)
		e.sender.Received(c.index.Process)
	}
}

// begin starts a stream at a random host.
func (f *fleet) begin() {
	e := f.entries[f.random.IntN(len(f.entries))]
	c := f.control(e)
	if c == nil {
		return
	}
	upstreams := c.table.Upstreams()
	if len(upstreams) == 0 {
		return
	}
	s := &testStream{
		id: fmt.Sprint("s", f.random.Uint64()), version: upstreams[f.random.IntN(len(upstreams))].Software, entry: e,
		breaksAt: f.step + f.random.IntN(int(3*time.Second/testStep)),
	}
	e.index.Add(Key("c", s.id), Origin{Pool: "p", Software: s.version}, 0)
	f.streams = append(f.streams, s)
}

// resume takes up a stream at a random host.
func (f *fleet) resume(s *testStream) {
	e := f.entries[f.random.IntN(len(f.entries))]
	counts := time.Duration(f.step-f.disturbed)*testStep > stableWindow && f.serving(s.version) >= 2
	if counts {
		f.taken++
	}
	version, known := f.find(e, Key("c", s.id))
	if !known || f.serving(version) == 0 {
		return
	}
	if version != s.version {
		f.joined++
	}
	if counts {
		f.resumed++
	}
}

func (f *fleet) serving(version string) int {
	n := 0
	for _, u := range f.upstreams {
		if u.version == version && !u.gone {
			n++
		}
	}
	return n
}

// find returns the version that a host finds for a stream.
func (f *fleet) find(e *testEntry, key uint64) (string, bool) {
	if o, found, _ := e.index.Find(key); found {
		return o.Software, true
	}
	r := &schema.FindStreamRequest{Stream: key, Pool: "p", Within: VersionTime(testTimeout).Seconds()}
	var replies []*schema.FindStreamReply
	for _, c := range f.controls {
		var reply *schema.FindStreamReply
		if !c.unreachable {
			reply = Find(r, c.index, c.table)
		}
		replies = append(replies, reply)
	}
	reply := Combine(r, replies)
	return reply.Software, reply.Found || reply.Inferred
}

// advance plays one step.
func (f *fleet) advance() {
	f.step++
	f.clock.Advance(testStep)
	for i, u := range f.upstreams {
		if !u.gone && (f.step+i)%int(testHeartbeat/testStep) == 0 {
			f.report(u, nil)
		}
	}
	for _, c := range f.controls {
		c.table.Sweep(false)
	}
	for i, e := range f.entries {
		if (f.step+i)%int(testReport/testStep) == 0 {
			f.send(e)
		}
	}
	for range 1 + len(f.entries)/20 {
		f.begin()
	}
	var rest []*testStream
	for _, s := range f.streams {
		switch {
		case s.breaksAt > f.step:
			rest = append(rest, s)
		default:
			f.send(s.entry) // urgent
			f.resume(s)
		}
	}
	f.streams = rest
}

// loseEntries replaces entry hosts by new processes. Their streams break off and are taken up once they
// are back.
func (f *fleet) loseEntries(lost func(i int) bool) {
	f.disturbed = f.step
	gone := map[*testEntry]bool{}
	for i, e := range f.entries {
		if lost(i) {
			gone[e] = true
			f.entries[i] = f.newEntry(e.control)
		}
	}
	var rest []*testStream
	for _, s := range f.streams {
		if gone[s.entry] {
			f.resume(s)
			continue
		}
		rest = append(rest, s)
	}
	f.streams = rest
}

func every(d time.Duration) int { return int(d / testStep) }

// disturbances are sizes of fleets, and what happens to them while versions change.
var disturbances = []struct {
	name              string
	controls, entries int
	disturb           func(f *fleet)
}{
	{"one host", 1, 1, func(*fleet) {}},
	{"eight hosts", 5, 8, func(*fleet) {}},
	{"300 hosts", 9, 300, func(*fleet) {}},
	{"all entry hosts are lost again and again", 5, 24, func(f *fleet) {
		if f.step%every(8*time.Second) == 0 {
			f.loseEntries(func(int) bool { return true })
		}
	}},
	{"one entry host after the other is lost", 5, 24, func(f *fleet) {
		if f.step%every(500*time.Millisecond) == 0 {
			f.loseEntries(func(i int) bool { return i == f.step/every(500*time.Millisecond)%len(f.entries) })
			f.disturbed = -1000 // the others are undisturbed
		}
	}},
	{"all control hosts restart", 5, 24, func(f *fleet) {
		if f.step%every(8*time.Second) == 0 {
			f.disturbed = f.step
			for i := range f.controls {
				f.controls[i] = f.newControl()
			}
		}
	}},
	{"all hosts lose their memory", 5, 24, func(f *fleet) {
		if f.step%every(8*time.Second) == 0 {
			for i := range f.controls {
				f.controls[i] = f.newControl()
			}
			f.loseEntries(func(int) bool { return true })
		}
	}},
	{"a control host is cut off while entry hosts are lost", 5, 24, func(f *fleet) {
		for i, c := range f.controls {
			c.unreachable = f.step/every(4*time.Second)%(2*len(f.controls)) == 2*i
		}
		if f.step%every(3*time.Second) == 0 {
			f.loseEntries(func(int) bool { return true })
		}
	}},
}

// TestStreamsGoOnAtTheirVersion guards against streams that go on at another version than the one that
// began them, and against refusing those that can go on: among 1 to 300 hosts, while versions come and
// leave, hosts lose their memory and control hosts are cut off.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	for _, c := range disturbances {
		joined, taken, resumed := 0, 0, 0
		for seed := range uint64(4) {
			f := newFleet(seed, c.controls, c.entries)
			for range 4 {
				f.startUpstream("v1")
			}
			for phase := 1; phase <= 4; phase++ {
				for range every(20 * time.Second) {
					if f.step == every(20*time.Second)*(phase-1)+1 && phase > 1 {
						for range 4 {
							f.startUpstream(fmt.Sprint("v", phase))
						}
					}
					if f.step == every(20*time.Second)*(phase-1)+every(9*time.Second) && phase > 1 {
						f.leave(fmt.Sprint("v", phase-1))
					}
					c.disturb(f)
					f.advance()
				}
			}
			joined, taken, resumed = joined+f.joined, taken+f.taken, resumed+f.resumed
			if f.joined > maxJoined {
				t.Errorf("%s, seed %d: %d streams went on at another version, want at most %d", c.name, seed, f.joined, maxJoined)
			}
			if f.taken >= 12 && float64(f.resumed) < minResumedShare*float64(f.taken) {
				t.Errorf("%s, seed %d: %d of %d streams went on at undisturbed hosts, want %.2f of them", c.name, seed, f.resumed, f.taken, minResumedShare)
			}
			perHost := float64(f.batches) / float64(len(f.entries)) / (80 * time.Second).Seconds()
			if perHost > 30 {
				t.Errorf("%s, seed %d: %.1f reports a second from each host", c.name, seed, perHost)
			}
		}
		t.Logf("%s: %d of %d went on, %d joined", c.name, resumed, taken, joined)
	}
}

// TestSingleVersion guards against taking the one version that is left for the only one that there was,
// and against refusing streams without a record when there was only one.
func TestSingleVersion(t *testing.T) {
	within := VersionTime(testTimeout)
	reply := func(observed time.Duration, versions ...string) *schema.FindStreamReply {
		return &schema.FindStreamReply{Versions: versions, Observed: observed.Seconds()}
	}
	for _, c := range []struct {
		name    string
		replies []*schema.FindStreamReply
		want    string
	}{
		{"all observed one version for long", []*schema.FindStreamReply{reply(within, "v1"), reply(2*within, "v1")}, "v1"},
		{"one that just started", []*schema.FindStreamReply{reply(within, "v1"), reply(time.Second, "v1")}, ""},
		{"one does not reply", []*schema.FindStreamReply{reply(within, "v1"), nil}, ""},
		{"one observed another version", []*schema.FindStreamReply{reply(within, "v1"), reply(within, "v2")}, ""},
		{"one has seen no upstream", []*schema.FindStreamReply{reply(within, "v1"), reply(within)}, "v1"},
		{"none replies", []*schema.FindStreamReply{nil, nil}, ""},
		{"no control host", nil, ""},
		{"a record", []*schema.FindStreamReply{nil, {Found: true, Pool: "p", Software: "v2"}}, "v2"},
		{"two records", []*schema.FindStreamReply{reply(within, "v1"), {Conflict: true}}, ""},
	} {
		got := Combine(&schema.FindStreamRequest{Pool: "p", Within: within.Seconds()}, c.replies)
		if known := got.Found || got.Inferred; got.Software != c.want || known != (c.want != "") {
			t.Errorf("%s: got %v, want version %q", c.name, got, c.want)
		}
	}
}
