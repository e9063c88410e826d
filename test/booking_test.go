package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// book sends a booking with its reference as the idempotency key and a deadline of two
// seconds.
func (s *system) book(host, key, reference string) answer {
	return s.do(http.MethodPost, host, "/bookings", key, fmt.Sprintf(`{"reference":%q}`, reference),
		"Idempotency-Key", reference, "X-Deadline-Ms", "2000")
}

// executions returns how often a booking was executed by the services of all regions.
func (s *system) executions(reference string) int {
	n := 0
	for _, b := range s.bookings {
		n += b.Executions()[reference]
	}
	return n
}

// checkAtMostOnce fails the test if a booking was executed more than once, or if an answer
// contradicts the executions: 201 without one, or run false after one.
func (s *system) checkAtMostOnce(t *testing.T, reference string, a answer) {
	t.Helper()
	n := s.executions(reference)
	_, run := a.refusal()
	switch {
	case n > 1:
		t.Errorf("%s: executed %d times", reference, n)
	case a.err == nil && a.status == http.StatusCreated && n != 1:
		t.Errorf("%s: answered with status %d, executed %d times", reference, a.status, n)
	case a.err == nil && a.status != http.StatusCreated && run == false && n > 0:
		t.Errorf("%s: refused with run false after it was executed: %s", reference, a.body)
	}
}

// TestBookingOnceThroughEveryHost guards against a second execution of a booking that is
// resent through another host. Each host that may serve the customer must give the first
// answer again; hosts outside a bound customer's region, another body under the same
// idempotency key and a request without one must be refused.
func TestBookingOnceThroughEveryHost(t *testing.T) {
	s := newSystem(t)
	s.applySheet()
	boundKey, unboundKey := s.issueKey("glasgow-choirs"), s.issueKey("st-giles")
	for _, region := range []string{"lothian", "clyde", "grampian"} {
		s.waitUntilGroupReady(region)
	}
	first := s.book(s.address("clyde", 0), boundKey, "pew-1")
	if first.status != http.StatusCreated {
		t.Fatalf("status %d: %s", first.status, first.body)
	}
	again := s.book(s.address("clyde", 2), boundKey, "pew-1")
	if again.body != first.body || again.header.Get("Idempotent-Replayed") != "true" {
		t.Errorf("resend: status %d, body %s, want %s", again.status, again.body, first.body)
	}
	if a := s.book(s.address("lothian", 0), boundKey, "pew-1"); a.status != http.StatusMisdirectedRequest {
		t.Errorf("through a host outside the customer's region: status %d", a.status)
	}
	other := s.do(http.MethodPost, s.address("clyde", 0), "/bookings", boundKey, `{"reference":"other"}`, "Idempotency-Key", "pew-1")
	if code, run := other.refusal(); other.status != http.StatusUnprocessableEntity || code != "idempotency_key_reused" || run != false {
		t.Errorf("other body under the same idempotency key: status %d, %s", other.status, other.body)
	}
	if a := s.do(http.MethodPost, s.address("clyde", 0), "/bookings", boundKey, `{"reference":"x"}`); a.status != http.StatusBadRequest {
		t.Errorf("without an idempotency key: status %d", a.status)
	}
	for _, region := range []string{"lothian", "clyde", "grampian"} {
		for _, offset := range []int{0, 2} {
			a := s.book(s.address(region, offset), unboundKey, "hall-1")
			if a.status != http.StatusCreated {
				t.Errorf("booking of an unbound customer through %s: status %d, %s", s.address(region, offset), a.status, a.body)
			}
			s.checkAtMostOnce(t, "hall-1", a)
		}
	}
	s.checkAtMostOnce(t, "pew-1", first)
}

// TestBookingKilledAtEveryStep guards against a booking that is executed twice, or refused
// with run false after it was executed, because the host that handled it died. The host kills
// itself at each step in turn; the booking is resent through the region's other host, and
// through both after the restart.
func TestBookingKilledAtEveryStep(t *testing.T) {
	s := newSystem(t)
	s.applySheet()
	key := s.issueKey("glasgow-choirs")
	for _, host := range []string{"clyde-1", "clyde-2"} {
		steps := []string{"booking.claim", "booking.granted", "booking.answered", "booking.settled"}
		if host == "clyde-1" { // the one with a disk, which writes a journal
			steps = append(steps, "journal.write", "journal.sync")
		}
		for _, step := range steps {
			t.Run(host+"/"+step, func(t *testing.T) { s.killDuringBooking(t, host, step, key) })
		}
	}
}

func (s *system) killDuringBooking(t *testing.T, host, step, key string) {
	ownAddress, otherAddress := s.address("clyde", 0), s.address("clyde", 2)
	if host == "clyde-2" {
		ownAddress, otherAddress = otherAddress, ownAddress
	}
	s.waitUntilGroupReady("clyde")
	s.waitUntilServing(ownAddress, key)
	s.waitUntilServing(otherAddress, key)
	reference := host + "-" + step
	s.kill(host)
	s.start(host, "TREFOIL_KILL_AT="+step)
	if step != "journal.write" && step != "journal.sync" {
		s.waitUntilGroupReady("clyde")
		s.waitUntilServing(ownAddress, key)
	}
	a := s.book(ownAddress, key, reference)
	s.checkAtMostOnce(t, reference, a)
	s.checkAtMostOnce(t, reference, s.book(otherAddress, key, reference))
	_ = s.procs[host].Wait()
	s.start(host)
	s.waitUntilGroupReady("clyde")
	s.waitUntilServing(ownAddress, key)
	for _, at := range []string{ownAddress, otherAddress} {
		s.checkAtMostOnce(t, reference, s.book(at, key, reference))
	}
	s.eventually("a new booking succeeds", func() bool { return s.book(ownAddress, key, reference+"-new").status == http.StatusCreated })
	s.checkAtMostOnce(t, reference+"-new", s.book(otherAddress, key, reference+"-new"))
}

// TestBookingsUnderFaults guards against the same as TestBookingKilledAtEveryStep when faults
// overlap: each booking is sent several times through both hosts of the region while hosts of
// all regions, several at a time, are suspended, resumed, killed and restarted, and while the
// service drops the answers to some.
func TestBookingsUnderFaults(t *testing.T) {
	s := newSystem(t)
	s.bookings["clyde"].Delay = 30 * time.Millisecond
	s.bookings["clyde"].DropsAnswer = func(reference string) bool { return strings.HasSuffix(reference, "7") }
	s.applySheet()
	key := s.issueKey("glasgow-choirs")
	s.waitUntilGroupReady("clyde")
	hosts := []string{s.address("clyde", 0), s.address("clyde", 2)}
	for _, h := range hosts {
		s.waitUntilServing(h, key)
	}
	stop := make(chan struct{})
	var faults, senders sync.WaitGroup
	faults.Go(func() { s.injectFaults(stop, []string{"clyde-1", "clyde-2", "grampian-1", "lothian-1"}) })
	var answered atomic.Int32
	for i := range 40 {
		reference := fmt.Sprintf("fault-%d", i)
		for n := range 4 {
			senders.Go(func() {
				time.Sleep(time.Duration(i*100+n*170) * time.Millisecond)
				a := s.book(hosts[(i+n)%2], key, reference)
				if a.status == http.StatusCreated {
					answered.Add(1)
				}
				s.checkAtMostOnce(t, reference, a)
			})
		}
	}
	senders.Wait()
	close(stop)
	faults.Wait()
	for _, h := range hosts {
		s.waitUntilServing(h, key)
	}
	for i := range 40 {
		reference := fmt.Sprintf("fault-%d", i)
		s.checkAtMostOnce(t, reference, s.book(hosts[i%2], key, reference))
	}
	s.eventually("a new booking succeeds", func() bool {
		return s.book(hosts[0], key, fmt.Sprint("new-", time.Now().UnixNano())).status == http.StatusCreated
	})
	t.Logf("%d of 160 requests answered with status 201", answered.Load())
}

// injectFaults suspends, resumes, kills and restarts randomly chosen hosts until stop is
// closed, then resumes those that are suspended.
func (s *system) injectFaults(stop chan struct{}, names []string) {
	random := rand.New(rand.NewPCG(11, 12))
	suspended := map[string]bool{}
	resume := func(name string) {
		if suspended[name] {
			s.signal(name, syscall.SIGCONT)
		}
		suspended[name] = false
	}
	for {
		select {
		case <-stop:
			for _, name := range names {
				resume(name)
			}
			return
		case <-time.After(time.Duration(200+random.IntN(400)) * time.Millisecond):
		}
		name := names[random.IntN(len(names))]
		switch {
		case suspended[name]:
			resume(name)
		case random.IntN(3) == 0:
			s.kill(name)
			s.start(name)
		default:
			s.signal(name, syscall.SIGSTOP)
			suspended[name] = true
		}
	}
}
