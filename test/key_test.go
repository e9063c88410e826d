package test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/faker"
)

// TestWithdrawnKeyStops withdraws a key whose caller is connected and streaming, and
// requires that every host refuses it and that the stream ends without its end mark.
func TestWithdrawnKeyStops(t *testing.T) {
	s := newSystem(t)
	slow := &faker.Engine{Name: "slow", Slots: 8, Gap: 50 * time.Millisecond}
	s.addEngine("lothian", slow, 12)
	s.stops["engine-lothian"]() // only the slow one is left
	s.applySheet()
	key, kept := s.issue("st-giles"), s.issue("st-giles")
	for _, region := range []string{"lothian", "clyde", "grampian"} {
		for _, offset := range []int{0, 2} {
			s.served(s.address(region, offset), key)
		}
	}
	streamed := make(chan answer, 1)
	go func() { streamed <- s.ask(s.address("lothian", 0), key, "A long answer. tokens:390", true) }()
	s.eventually("the stream runs", func() bool {
		return slow.Announcement().Running > 0
	})
	s.mustCtl("key", "withdraw", strings.Split(key, "_")[1])
	s.refusedEverywhere(key, []string{"lothian", "clyde", "grampian"})
	if a := s.ask(s.address("lothian", 0), kept, "Still good?", false); a.status != http.StatusOK {
		t.Errorf("the customer's other key: status %d", a.status)
	}
	a := <-streamed
	if text, whole := a.text(); whole || text == "" || !strings.Contains(a.body, "key_withdrawn") {
		t.Errorf("a stream under a withdrawn key: whole %v, text %q", whole, text)
	}
}

func (s *system) refusedEverywhere(key string, regions []string) {
	s.t.Helper()
	for _, region := range regions {
		for _, offset := range []int{0, 2} {
			host := s.address(region, offset)
			s.eventually("key refused by "+host, func() bool {
				return s.ask(host, key, "x", false).status == http.StatusUnauthorized
			})
		}
	}
}

// TestWithdrawWithoutControl freezes every control host, withdraws a key through one entry
// host, restarts another host of the region, and requires that the key never works again,
// also after control came back.
func TestWithdrawWithoutControl(t *testing.T) {
	s := newSystem(t)
	s.applySheet()
	key := s.issue("st-giles")
	all := []string{"lothian", "clyde", "grampian"}
	for _, region := range all {
		s.served(s.address(region, 0), key)
		s.served(s.address(region, 2), key)
	}
	for _, region := range all {
		s.signal("control-"+region, syscall.SIGSTOP)
	}
	s.mustCtl("key", "withdraw", "--via", s.address("clyde", 1), key)
	s.refusedEverywhere(key, all)
	s.kill("clyde-1")
	s.start("clyde-1")
	s.eventually("the restarted host answers", func() bool {
		return s.do(http.MethodGet, s.address("clyde", 0), "/readyz", "", "").status == http.StatusNoContent
	})
	s.refusedEverywhere(key, all)
	for _, region := range all {
		s.signal("control-"+region, syscall.SIGCONT)
	}
	s.eventually("the withdrawal is recorded", func() bool {
		out, ok := s.ctl("key", "list")
		return ok && strings.Contains(out, "true")
	})
	s.refusedEverywhere(key, all)
}
