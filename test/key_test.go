package test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/faker"
)

// TestWithdrawnKeyStops guards against a key that still works after it was withdrawn, on a
// connection that was open or in a stream that was running: every host must refuse it, and
// the stream must end with the error key_withdrawn and without its end mark.
func TestWithdrawnKeyStops(t *testing.T) {
	s := newSystem(t)
	slow := &faker.Engine{Name: "slow", Slots: 8, TokenInterval: 50 * time.Millisecond}
	s.addEngine("lothian", slow, 12)
	s.stopAnnouncing["engine-lothian"]() // leaves the slow engine as the region's only one
	s.applySheet()
	key, otherKey := s.issueKey("st-giles"), s.issueKey("st-giles")
	for _, region := range []string{"lothian", "clyde", "grampian"} {
		for _, offset := range []int{0, 2} {
			s.waitUntilServing(s.address(region, offset), key)
		}
	}
	streamed := make(chan answer, 1)
	go func() { streamed <- s.chat(s.address("lothian", 0), key, "A long answer. tokens:390", true) }()
	s.eventually("the stream is running", func() bool {
		return slow.Announcement().Running > 0
	})
	s.mustCtl("key", "withdraw", strings.Split(key, "_")[1])
	s.waitUntilKeyRefused(key, []string{"lothian", "clyde", "grampian"})
	if a := s.chat(s.address("lothian", 0), otherKey, "Still good?", false); a.status != http.StatusOK {
		t.Errorf("the customer's other key was refused: status %d", a.status)
	}
	a := <-streamed
	if text, complete := a.text(); complete || text == "" || !strings.Contains(a.body, "key_withdrawn") {
		t.Errorf("stream under a withdrawn key: complete %v, text %q", complete, text)
	}
}

func (s *system) waitUntilKeyRefused(key string, regionNames []string) {
	s.t.Helper()
	for _, region := range regionNames {
		for _, offset := range []int{0, 2} {
			host := s.address(region, offset)
			s.eventually("the key is refused by "+host, func() bool {
				return s.chat(host, key, "x", false).status == http.StatusUnauthorized
			})
		}
	}
}

// TestWithdrawalWithoutControlHosts guards against a withdrawal that is lost while the control
// hosts are unresponsive. They are suspended, a key is withdrawn through an entry host, which is
// then killed and restarted; every host must refuse the key, also after that restart and after
// the control hosts resume and record the withdrawal.
func TestWithdrawalWithoutControlHosts(t *testing.T) {
	s := newSystem(t)
	s.applySheet()
	key := s.issueKey("st-giles")
	allRegions := []string{"lothian", "clyde", "grampian"}
	for _, region := range allRegions {
		s.waitUntilServing(s.address(region, 0), key)
		s.waitUntilServing(s.address(region, 2), key)
	}
	for _, region := range allRegions {
		s.signal("control-"+region, syscall.SIGSTOP)
	}
	s.mustCtl("key", "withdraw", "--via", s.address("clyde", 1), key)
	s.waitUntilKeyRefused(key, allRegions)
	s.kill("clyde-1")
	s.start("clyde-1")
	s.eventually("the restarted host is ready", func() bool {
		return s.do(http.MethodGet, s.address("clyde", 0), "/readyz", "", "").status == http.StatusNoContent
	})
	s.waitUntilKeyRefused(key, allRegions)
	for _, region := range allRegions {
		s.signal("control-"+region, syscall.SIGCONT)
	}
	s.eventually("the control hosts have recorded the withdrawal", func() bool {
		out, ok := s.ctl("key", "list")
		return ok && strings.Contains(out, "true")
	})
	s.waitUntilKeyRefused(key, allRegions)
}

// TestWithdrawalOutlivesRestarts guards against a withdrawn key that works again after one host, or all control hosts
// at once, started again: they read the withdrawal from disk, or learn it from the others.
func TestWithdrawalOutlivesRestarts(t *testing.T) {
	s := newSystem(t)
	s.applySheet()
	key, otherKey := s.issueKey("st-giles"), s.issueKey("st-giles")
	allRegions := []string{"lothian", "clyde", "grampian"}
	for _, region := range allRegions {
		for _, offset := range []int{0, 2} {
			s.waitUntilServing(s.address(region, offset), key)
		}
	}
	s.mustCtl("key", "withdraw", strings.Split(key, "_")[1])
	s.waitUntilKeyRefused(key, allRegions)
	for _, names := range [][]string{{"control-lothian"}, {"clyde-1"}, {"control-lothian", "control-clyde", "control-grampian"}, {"lothian-1", "lothian-2"}} {
		for _, name := range names {
			s.kill(name)
		}
		for _, name := range names {
			s.start(name)
		}
		// The key must be refused from the first answer on, not only in the end.
		for _, region := range allRegions {
			for _, offset := range []int{0, 2} {
				host := s.address(region, offset)
				s.eventually("the customer's other key is accepted by "+host, func() bool {
					if a := s.chat(host, key, "x", false); a.status == http.StatusOK {
						t.Fatalf("%s accepts the withdrawn key after a restart of %v", host, names)
					}
					return s.chat(host, otherKey, "x", false).status == http.StatusOK
				})
			}
		}
	}
}
