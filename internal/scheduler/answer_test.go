package scheduler

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestPausedUpstream guards against requests to an upstream that wants none for a while, against a crowd when
// the pause ends, and against keeping callers waiting while every upstream is paused.
func TestPausedUpstream(t *testing.T) {
	s := newScheduler(plainServices(2)...)
	w := func() *Request {
		now := s.Timer.Now()
		return &Request{Pool: "desk", ObjectiveAt: now + time.Second, Deadline: now + time.Second}
	}
	reserveAt := func(name string) *Reservation {
		t.Helper()
		for range 1000 {
			p := s.reserveNow(w())
			if p == nil {
				t.Fatalf("no reservation at %s", name)
			}
			if p.Name == name {
				return p
			}
			p.Release(Answered)
		}
		t.Fatalf("no reservation at %s", name)
		return nil
	}
	before := reserveAt("s0") // runs while the pause begins
	p := reserveAt("s0")
	p.RecordPause(3 * time.Second)
	p.Release(Rejected)
	for range 100 {
		if p := s.reserveNow(w()); p == nil || p.Name != "s1" {
			t.Fatalf("during the pause of s0: %+v", p)
		} else {
			p.Release(Answered)
		}
	}
	before.Release(Answered)
	p = reserveAt("s1")
	p.RecordPause(5 * time.Second)
	p.Release(Rejected)
	var full *NoSlotError
	if _, err := s.Acquire(t.Context(), w()); !errors.As(err, &full) || full.RetryAfter != 3*time.Second {
		t.Errorf("all are paused: error %v, want a retry after 3 s", err)
	}
	if n := s.PausedCount(); n != 2 {
		t.Errorf("%d upstreams are paused, want 2", n)
	}
	s.Timer.Advance(3*time.Second - time.Millisecond)
	if p := s.reserveNow(w()); p != nil {
		t.Errorf("just before the end of the pause: sent to %s", p.Name)
	}
	s.Timer.Advance(time.Millisecond)
	trial := s.reserveNow(w())
	if trial == nil || trial.Name != "s0" {
		t.Fatalf("after the pause: %+v", trial)
	}
	if p := s.reserveNow(w()); p != nil {
		t.Errorf("a second request before the first has an answer, at %s", p.Name)
	}
	trial.Release(Answered)
	if a, b := s.reserveNow(w()), s.reserveNow(w()); a == nil || b == nil {
		t.Error("no two requests after an answer")
	}
}

// TestPauseBelongsToProcess guards against a pause that is forgotten because the upstream was not announced
// for a while, and against one that outlives its process.
func TestPauseBelongsToProcess(t *testing.T) {
	services := plainServices(1)
	s := newScheduler(services...)
	w := &Request{Pool: "desk", ObjectiveAt: s.Timer.Now() + time.Second, Deadline: s.Timer.Now() + time.Hour}
	p := s.reserveNow(w)
	p.RecordPause(200 * 365 * 24 * time.Hour)
	p.Release(Rejected)
	s.Timer.Advance(time.Minute)
	s.UpdateUpstreams(nil)
	s.UpdateUpstreams(plainServices(1))
	if p := s.reserveNow(w); p != nil {
		t.Error("the pause ended while the upstream was not announced")
	}
	next := plainServices(1)
	next[0].Incarnation = 2
	s.UpdateUpstreams(next)
	if p := s.reserveNow(w); p == nil {
		t.Error("another process is paused")
	}
	for i := range 3 * maxKeptStates {
		a := &schema.Announcement{Name: fmt.Sprint("n", i), Pool: "desk", Slots: 1, Incarnation: 1}
		s.UpdateUpstreams([]*schema.Announcement{a})
		if p := s.reserveNow(w); p != nil {
			p.RecordPause(time.Hour)
			p.Release(Rejected)
		}
	}
	if len(s.kept) > maxKeptStates {
		t.Errorf("%d pauses are kept, want at most %d", len(s.kept), maxKeptStates)
	}
}

// TestPausesHoldOverAllHosts guards against more than two requests from one host between half a second after
// an upstream asked it for a pause and the end of that, however many hosts there are.
func TestPausesHoldOverAllHosts(t *testing.T) {
	const step, length = 20 * time.Millisecond, 20 * time.Second
	for _, hosts := range []int{1, 3, 30, 300} {
		r := rand.New(rand.NewPCG(uint64(hosts), 33))
		var all []*Scheduler
		for range hosts {
			s := newScheduler(plainServices(3)...)
			s.Random = r.IntN
			all = append(all, s)
		}
		type pause struct{ from, until time.Duration }
		pauses := make([]map[string]pause, hosts)
		late, sent, refused := 0, 0, 0
		for at := time.Duration(0); at < length/time.Duration(max(1, hosts/30)); at += step {
			for i, s := range all {
				if pauses[i] == nil {
					pauses[i] = map[string]pause{}
				}
				now := s.Timer.Now()
				p := s.reserveNow(&Request{Pool: "desk", ObjectiveAt: now + time.Second, Deadline: now + 2*time.Second})
				if p == nil {
					refused++
					s.Timer.Advance(step)
					continue
				}
				sent++
				if x, ok := pauses[i][p.Name]; ok && now > x.from+500*time.Millisecond && now < x.until {
					late++
				}
				outcome := Answered
				if r.IntN(20) == 0 {
					d := time.Duration(r.IntN(3000)) * time.Millisecond
					pauses[i][p.Name] = pause{now, p.RecordPause(d)}
					outcome = Rejected
				}
				p.Release(outcome)
				s.Timer.Advance(step)
			}
		}
		if late > 0 || sent < 100 {
			t.Errorf("%d hosts: %d of %d requests within pauses, %d refused", hosts, late, sent, refused)
		}
	}
}

// TestUpstreamSaysItLeaves guards against sending an upstream anything later than DrainTime after it said in
// an answer that it is leaving, whatever announcements say, until another process of it is known; and
// against sending it what another can serve, from then on.
func TestUpstreamSaysItLeaves(t *testing.T) {
	const drain = 4 * time.Second
	for _, hosts := range []int{1, 3, 30, 300} {
		for i := range hosts {
			s := newScheduler(plainServices(2)...)
			s.DrainTime = drain
			s.Timer.Advance(time.Duration(i) * time.Millisecond)
			request := func(lastResort bool, excluded string) string {
				now := s.Timer.Now()
				p := s.reserveNow(&Request{Pool: "desk", ObjectiveAt: now + time.Second, Deadline: now + time.Second, LastResort: lastResort, Excluded: map[string]bool{excluded: true}})
				if p == nil {
					return ""
				}
				p.Release(Answered)
				return p.Name
			}
			check := func(when string, lastResort bool, excluded, want string) {
				t.Helper()
				if got := request(lastResort, excluded); got != want {
					t.Errorf("host %d of %d, %s: sent to %q, want %q", i, hosts, when, got, want)
				}
			}
			p := s.reserveNow(&Request{Pool: "desk", ObjectiveAt: s.Timer.Now() + time.Second, Deadline: s.Timer.Now() + time.Second, Excluded: map[string]bool{"s1": true}})
			if !p.RecordLeaving() || p.RecordLeaving() {
				t.Error("the first answer, and only that, is to be told to others")
			}
			p.Release(Answered)
			check("another one serves", true, "", "s1")
			check("a last resort", true, "s1", "s0")
			check("no last resort", false, "s1", "")
			if got := s.OwnLeavers(); len(got) != 1 || got[0].Upstream != "s0" {
				t.Errorf("told to others: %v", got)
			}
			s.Timer.Advance(drain / 2)
			s.UpdateUpstreams(plainServices(2)) // an announcement that says nothing of it
			check("announced as ready", true, "s1", "s0")
			s.UpdateUpstreams(plainServices(2)[1:])
			s.UpdateUpstreams(plainServices(2))
			s.Timer.Advance(drain / 2)
			check("the time is over", true, "s1", "")
			s.Timer.Advance(time.Hour)
			check("an hour later", true, "s1", "")
			next := plainServices(2)
			next[0].Incarnation = 2
			s.UpdateUpstreams(next)
			check("another process", false, "s1", "s0")
		}
	}
}
