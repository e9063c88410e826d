package test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
)

var regions = []string{"lothian", "clyde", "grampian"}

// writeSheet writes the demonstration's sheet under another sheet number and with one more
// customer, and returns its path.
func (s *system) writeSheet(number int, customer string) string {
	s.t.Helper()
	b, err := os.ReadFile(filepath.Join(s.folder, "sheet.csv"))
	if err != nil {
		s.t.Fatal(err)
	}
	text := strings.Replace(string(b), "sheet,1,", fmt.Sprintf("sheet,%d,", number), 1)
	text += fmt.Sprintf("customer,%s,,100,1000,,,,,,,,,\n", customer)
	path := filepath.Join(s.folder, fmt.Sprintf("sheet-%d-%s.csv", number, customer))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

var versionPattern = regexp.MustCompile(`version (\d+)`)

// leader waits until a control host leads and returns its name.
func (s *system) leader() string {
	s.t.Helper()
	var name string
	s.eventually("a control host is the leader", func() bool {
		out, ok := s.ctl("status")
		for _, line := range strings.Split(out, "\n") {
			if f := strings.Fields(line); ok && len(f) > 1 && f[1] == "leader" {
				name = f[0]
				return true
			}
		}
		return false
	})
	return name
}

// hasCustomer reports whether the configuration in force at the control hosts has a customer;
// false also if they can't be asked.
func (s *system) hasCustomer(customer string) bool {
	out, ok := s.ctl("sheet", "export")
	return ok && strings.Contains(out, "customer,"+customer+",")
}

// waitUntilInForce waits until no entry host lags behind the newest configuration.
func (s *system) waitUntilInForce() {
	s.t.Helper()
	upToDate := regexp.MustCompile(`(active|draining|joining).*\s0$`)
	s.eventually("the configuration is in force at all six hosts", func() bool {
		out, ok := s.ctl("status")
		n := 0
		for _, line := range strings.Split(out, "\n") {
			if upToDate.MatchString(strings.TrimSpace(line)) {
				n++
			}
		}
		return ok && n == 6
	})
}

// TestOperatorsRace guards against two sheets that are accepted under one number. Ten
// operators apply different sheets with the same number at once: one must be accepted, the
// others refused with CONFLICT and the name of the operator whose sheet was accepted, and a
// resend of the accepted command must change nothing.
func TestOperatorsRace(t *testing.T) {
	s := newSystem(t)
	s.applySheet()
	type applyResult struct {
		out string
		ok  bool
	}
	results := make([]applyResult, 10)
	paths := make([]string, len(results))
	for i := range results {
		paths[i] = s.writeSheet(2, fmt.Sprintf("extra-%d", i))
	}
	apply := func(i int) applyResult {
		out, ok := s.ctl("--request", fmt.Sprintf("race-%d", i), "sheet", "apply", paths[i])
		return applyResult{out, ok}
	}
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = apply(i) })
	}
	wg.Wait()
	winner := -1
	for i, result := range results {
		switch {
		case result.ok && winner >= 0:
			t.Errorf("sheets of operators %d and %d were both accepted", winner, i)
		case result.ok:
			winner = i
		case !strings.Contains(result.out, "CONFLICT") || !strings.Contains(result.out, "morag"):
			t.Errorf("operator %d: want a conflict with morag, got: %s", i, result.out)
		}
	}
	if winner < 0 {
		t.Fatal("no operator's sheet was accepted")
	}
	version := versionPattern.FindString(results[winner].out)
	if again := apply(winner); !again.ok || versionPattern.FindString(again.out) != version {
		t.Errorf("resend of the accepted sheet: %s, want %s", again.out, version)
	}
	for i := range results {
		if got := s.hasCustomer(fmt.Sprintf("extra-%d", i)); got != (i == winner) {
			t.Errorf("customer of operator %d in force: %v", i, got)
		}
	}
	s.waitUntilInForce()
}

// TestSuspendedLeader guards against a former leader that reverts the configuration. The leader
// is suspended, a sheet is accepted under a new leader, and the former leader resumes: the
// sheet must stay in force, and a late resend of an older one must be refused as STALE.
func TestSuspendedLeader(t *testing.T) {
	s := newSystem(t)
	s.applySheet()
	for number := 2; number < 5; number++ {
		oldLeader := s.leader()
		s.signal(oldLeader, syscall.SIGSTOP)
		name := fmt.Sprintf("extra-%d", number)
		s.mustCtl("--timeout", "30s", "sheet", "apply", "--wait", s.writeSheet(number, name))
		s.signal(oldLeader, syscall.SIGCONT)
		for range 20 {
			if !s.hasCustomer(name) {
				t.Fatalf("sheet %d was reverted after the former leader resumed", number)
			}
		}
		if out, ok := s.ctl("sheet", "apply", filepath.Join(s.folder, "sheet.csv")); ok || !strings.Contains(out, "STALE") {
			t.Errorf("resend of an older sheet: want STALE, got: %s", out)
		}
		s.waitUntilInForce()
	}
}

// TestLostDiskThenSecondLoss guards against accepted changes that are lost with a disk. The
// leader's disk is wiped: it must not start without its data and joins again under a new
// identity. Another control host is then killed for good. Every accepted change must still be
// in the history, and a further one must be accepted.
func TestLostDiskThenSecondLoss(t *testing.T) {
	s := newSystem(t)
	s.applySheet()
	for i := range 20 {
		s.mustCtl("sheet", "apply", s.writeSheet(2+i, fmt.Sprintf("extra-%d", i)))
	}
	firstLost := s.leader()
	s.kill(firstLost)
	if err := os.RemoveAll(filepath.Join(s.folder, firstLost)); err != nil {
		t.Fatal(err)
	}
	s.start(firstLost)
	if err := s.procs[firstLost].Wait(); err == nil {
		t.Error("control host whose disk was wiped exited without an error")
	}
	delete(s.procs, firstLost)
	identity := regexp.MustCompile(`\d+$`).FindString(strings.TrimSpace(s.mustRun("trefoild", "init", "--join", "--settings", s.settingsPath(firstLost))))
	oldIdentity := s.memberID(firstLost)
	if oldIdentity == identity {
		t.Fatal("init --join issued the lost identity again")
	}
	address := s.address(strings.TrimPrefix(firstLost, "control-"), 4)
	s.mustCtl("control", "remove", "--id", oldIdentity)
	s.mustCtl("control", "add", "--id", identity, "--address", address, firstLost)
	s.start(firstLost)
	s.mustCtl("--timeout", "30s", "control", "promote", "--id", identity)
	secondLost := "control-" + regions[0]
	if secondLost == firstLost {
		secondLost = "control-" + regions[1]
	}
	s.kill(secondLost)
	s.mustCtl("--timeout", "30s", "sheet", "apply", s.writeSheet(40, "after"))
	if !s.hasCustomer("after") {
		t.Error("sheet applied after the second loss is not in force")
	}
	out := s.mustCtl("config", "history")
	for number := 2; number < 22; number++ {
		if !regexp.MustCompile(fmt.Sprintf(`morag\s+%d\s`, number)).MatchString(out) {
			t.Errorf("sheet %d is missing from the history", number)
		}
	}
}

func (s *system) memberID(name string) string {
	s.t.Helper()
	out := s.mustCtl("control", "list")
	for _, line := range strings.Split(out, "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == name {
			return f[1]
		}
	}
	s.t.Fatalf("control list has no member %s:\n%s", name, out)
	return ""
}

// TestPartitionedRegion guards against a partitioned region that stops serving or forgets bookings.
// Every process outside clyde is suspended, so that connections to them stay open but nothing
// answers. Clyde must serve completions and bookings, also after one of its hosts restarted,
// and must know the bookings made meanwhile once the others resume.
func TestPartitionedRegion(t *testing.T) {
	s := newSystem(t)
	s.applySheet()
	boundKey := s.issueKey("glasgow-choirs")
	unboundKey := s.issueKey("st-giles")
	s.waitUntilGroupReady("clyde")
	hosts := []string{s.address("clyde", 0), s.address("clyde", 2)}
	for _, h := range hosts {
		s.waitUntilServing(h, boundKey)
		s.waitUntilServing(h, unboundKey)
	}
	before := s.book(hosts[0], boundKey, "before")
	s.checkAtMostOnce(t, "before", before)
	s.signalOutside("clyde", syscall.SIGSTOP)
	for _, h := range hosts {
		s.waitUntilServing(h, boundKey)
		s.waitUntilServing(h, unboundKey)
	}
	s.eventually("a booking succeeds in the partitioned region", func() bool {
		return s.book(hosts[1], boundKey, "during").status == http.StatusCreated
	})
	s.checkAtMostOnce(t, "during", s.book(hosts[0], boundKey, "during"))
	s.kill("clyde-1")
	s.start("clyde-1")
	s.waitUntilServing(hosts[0], boundKey)
	s.checkAtMostOnce(t, "during", s.book(hosts[0], boundKey, "during"))
	s.signalOutside("clyde", syscall.SIGCONT)
	s.waitUntilInForce()
	for _, reference := range []string{"before", "during"} {
		for _, h := range hosts {
			a := s.book(h, boundKey, reference)
			if a.status != http.StatusCreated {
				t.Errorf("booking %s after the partition ended: status %d, %s", reference, a.status, a.body)
			}
			s.checkAtMostOnce(t, reference, a)
		}
	}
}

// signalOutside sends a signal to every process outside a region.
func (s *system) signalOutside(region string, sig syscall.Signal) {
	for name := range s.procs {
		if !strings.Contains(name, region) {
			s.signal(name, sig)
		}
	}
}
