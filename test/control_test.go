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
func (s *system) writeSheet(number int, extra string) string {
	s.t.Helper()
	b, err := os.ReadFile(filepath.Join(s.folder, "sheet.csv"))
	if err != nil {
		s.t.Fatal(err)
	}
	text := strings.Replace(string(b), "sheet,1,", fmt.Sprintf("sheet,%d,", number), 1)
	text += fmt.Sprintf("customer,%s,,100,1000,,,,,,,,,\n", extra)
	path := filepath.Join(s.folder, fmt.Sprintf("sheet-%d-%s.csv", number, extra))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

var acceptedVersion = regexp.MustCompile(`version (\d+)`)

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

// holds reports whether the configuration in force at the control hosts has a customer.
func (s *system) holds(customer string) bool {
	out, ok := s.ctl("sheet", "export")
	return ok && strings.Contains(out, "customer,"+customer+",")
}

// inForceEverywhere waits until no host lags.
func (s *system) inForceEverywhere() {
	s.t.Helper()
	lag := regexp.MustCompile(`(active|draining|joining).*\s0$`)
	s.eventually("in force everywhere", func() bool {
		out, ok := s.ctl("status")
		n := 0
		for _, line := range strings.Split(out, "\n") {
			if lag.MatchString(strings.TrimSpace(line)) {
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
	type try struct {
		out string
		ok  bool
	}
	tries := make([]try, 10)
	paths := make([]string, len(tries))
	for i := range tries {
		paths[i] = s.writeSheet(2, fmt.Sprintf("extra-%d", i))
	}
	apply := func(i int) try {
		out, ok := s.ctl("--request", fmt.Sprintf("race-%d", i), "sheet", "apply", paths[i])
		return try{out, ok}
	}
	var group sync.WaitGroup
	for i := range tries {
		group.Go(func() { tries[i] = apply(i) })
	}
	group.Wait()
	winner := -1
	for i, x := range tries {
		switch {
		case x.ok && winner >= 0:
			t.Errorf("operators %d and %d both won", winner, i)
		case x.ok:
			winner = i
		case !strings.Contains(x.out, "CONFLICT") || !strings.Contains(x.out, "morag"):
			t.Errorf("operator %d: %s", i, x.out)
		}
	}
	if winner < 0 {
		t.Fatal("nobody won")
	}
	version := acceptedVersion.FindString(tries[winner].out)
	if again := apply(winner); !again.ok || acceptedVersion.FindString(again.out) != version {
		t.Errorf("resend by the winner: %s, want %s", again.out, version)
	}
	for i := range tries {
		if got := s.holds(fmt.Sprintf("extra-%d", i)); got != (i == winner) {
			t.Errorf("customer of operator %d in force: %v", i, got)
		}
	}
	s.inForceEverywhere()
}

// TestFrozenLeader freezes the leader, changes the configuration under a new one, thaws
// the old one, and requires that nothing reverts and a late resend of an old sheet is stale.
func TestFrozenLeader(t *testing.T) {
	s := newSystem(t)
	s.applySheet()
	for number := 2; number < 5; number++ {
		old := s.leader()
		s.signal(old, syscall.SIGSTOP)
		name := fmt.Sprintf("extra-%d", number)
		s.mustCtl("--timeout", "30s", "sheet", "apply", "--wait", s.writeSheet(number, name))
		s.signal(old, syscall.SIGCONT)
		for range 20 {
			if !s.holds(name) {
				t.Fatalf("sheet %d was reverted", number)
			}
		}
		if out, ok := s.ctl("sheet", "apply", filepath.Join(s.folder, "sheet.csv")); ok || !strings.Contains(out, "STALE") {
			t.Errorf("late sheet: %s", out)
		}
		s.inForceEverywhere()
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
	lost := s.leader()
	s.kill(lost)
	if err := os.RemoveAll(filepath.Join(s.folder, lost)); err != nil {
		t.Fatal(err)
	}
	s.start(lost)
	if err := s.procs[lost].Wait(); err == nil {
		t.Error("a host whose disk was lost started as if nothing had happened")
	}
	delete(s.procs, lost)
	identity := regexp.MustCompile(`\d+$`).FindString(strings.TrimSpace(s.run("trefoild", "init", "--join", "--settings", s.settings(lost))))
	old := s.memberID(lost)
	if old == identity {
		t.Fatal("the lost identity was given again")
	}
	address := s.address(strings.TrimPrefix(lost, "control-"), 4)
	s.mustCtl("control", "remove", "--id", old)
	s.mustCtl("control", "add", "--id", identity, "--address", address, lost)
	s.start(lost)
	s.mustCtl("--timeout", "30s", "control", "promote", "--id", identity)
	second := "control-" + regions[0]
	if second == lost {
		second = "control-" + regions[1]
	}
	s.kill(second)
	s.mustCtl("--timeout", "30s", "sheet", "apply", s.writeSheet(40, "after"))
	if !s.holds("after") {
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
	key := s.issue("glasgow-choirs")
	free := s.issue("st-giles")
	s.groupReady("clyde")
	hosts := []string{s.address("clyde", 0), s.address("clyde", 2)}
	for _, h := range hosts {
		s.served(h, key)
		s.served(h, free)
	}
	before := s.book(hosts[0], key, "before")
	s.checkOnce(t, "before", before)
	s.freezeOutside("clyde", syscall.SIGSTOP)
	for _, h := range hosts {
		s.served(h, key)
		s.served(h, free)
	}
	s.eventually("a booking runs in the cut region", func() bool {
		return s.book(hosts[1], key, "during").status == http.StatusCreated
	})
	s.checkOnce(t, "during", s.book(hosts[0], key, "during"))
	s.kill("clyde-1")
	s.start("clyde-1")
	s.served(hosts[0], key)
	s.checkOnce(t, "during", s.book(hosts[0], key, "during"))
	s.freezeOutside("clyde", syscall.SIGCONT)
	s.inForceEverywhere()
	for _, reference := range []string{"before", "during"} {
		for _, h := range hosts {
			a := s.book(h, key, reference)
			if a.status != http.StatusCreated {
				t.Errorf("%s after the cut: status %d, %s", reference, a.status, a.body)
			}
			s.checkOnce(t, reference, a)
		}
	}
}

// freezeOutside sends a signal to every process outside a region.
func (s *system) freezeOutside(region string, sig syscall.Signal) {
	for name := range s.procs {
		if !strings.Contains(name, region) {
			s.signal(name, sig)
		}
	}
}
