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

// writeSheet writes a sheet with a number and one customer more than the demonstration's.
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

// leader returns the control host that leads.
func (s *system) leader() string {
	s.t.Helper()
	var name string
	s.eventually("a leader", func() bool {
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

// hasCustomer reports whether the configuration in force at the control hosts has a customer.
func (s *system) hasCustomer(customer string) bool {
	out, ok := s.ctl("sheet", "export")
	return ok && strings.Contains(out, "customer,"+customer+",")
}

// waitUntilInForce waits until no host lags.
func (s *system) waitUntilInForce() {
	s.t.Helper()
	upToDate := regexp.MustCompile(`(active|draining|joining).*\s0$`)
	s.eventually("in force everywhere", func() bool {
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

// TestOperatorsRace has ten operators apply different sheets under one number at once:
// one wins, the others are told of the conflict, and resends change nothing.
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
			t.Errorf("operators %d and %d both won", winner, i)
		case result.ok:
			winner = i
		case !strings.Contains(result.out, "CONFLICT") || !strings.Contains(result.out, "morag"):
			t.Errorf("operator %d: %s", i, result.out)
		}
	}
	if winner < 0 {
		t.Fatal("nobody won")
	}
	version := versionPattern.FindString(results[winner].out)
	if again := apply(winner); !again.ok || versionPattern.FindString(again.out) != version {
		t.Errorf("resend by the winner: %s, want %s", again.out, version)
	}
	for i := range results {
		if got := s.hasCustomer(fmt.Sprintf("extra-%d", i)); got != (i == winner) {
			t.Errorf("customer of operator %d in force: %v", i, got)
		}
	}
	s.waitUntilInForce()
}

// TestFrozenLeader freezes the leader, changes the configuration under a new one, thaws
// the old one, and requires that nothing reverts and a late resend of an old sheet is stale.
func TestFrozenLeader(t *testing.T) {
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
				t.Fatalf("sheet %d was reverted", number)
			}
		}
		if out, ok := s.ctl("sheet", "apply", filepath.Join(s.folder, "sheet.csv")); ok || !strings.Contains(out, "STALE") {
			t.Errorf("late sheet: %s", out)
		}
		s.waitUntilInForce()
	}
}

// TestLostDiskThenSecondLoss wipes a control host's disk, replaces it, then loses another
// for good, and requires that every accepted change is still there and more are accepted.
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
		t.Error("a host whose disk was lost started as if nothing had happened")
	}
	delete(s.procs, firstLost)
	identity := regexp.MustCompile(`\d+$`).FindString(strings.TrimSpace(s.mustRun("trefoild", "init", "--join", "--settings", s.settingsPath(firstLost))))
	oldIdentity := s.memberID(firstLost)
	if oldIdentity == identity {
		t.Fatal("the lost identity was given again")
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
		t.Error("a change after the second loss is missing")
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
	s.t.Fatalf("no member %s in:\n%s", name, out)
	return ""
}

// TestCutRegion freezes every process outside clyde, so that the region is cut off with
// its connections silent, and requires that it serves models and bookings, also after one
// of its hosts restarted, and that bookings made meanwhile are known after the cut.
func TestCutRegion(t *testing.T) {
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
	s.eventually("a booking runs in the cut region", func() bool {
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
				t.Errorf("%s after the cut: status %d, %s", reference, a.status, a.body)
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
