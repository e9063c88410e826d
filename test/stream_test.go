package test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/faker"
)

// TestStreamsResume guards against answers with a gap, a repeat or another request's text
// after an engine fails in the middle of a stream. Three engines fail at token 5, or at the
// first token that they send when they resume a stream later than that: one closes the
// connection, one stops sending, one sends a chunk of another request.
func TestStreamsResume(t *testing.T) {
	s := newSystem(t)
	var faults atomic.Int32
	for name, fault := range map[string]faker.Fault{"cut": faker.FaultTruncate, "silent": faker.FaultUnresponsive, "foreign": faker.FaultForeignChunk} {
		e := &faker.Engine{Name: "broken-" + name, Slots: 64, TokenInterval: time.Millisecond}
		var seen sync.Map
		e.InjectFault = func(id string, token int) faker.Fault {
			if _, again := seen.LoadOrStore(id, true); token == 5 || (token > 5 && !again) {
				faults.Add(1)
				return fault
			}
			return faker.NoFault
		}
		s.addEngine("lothian", e, 12+len(s.engines)-1)
	}
	s.applySheet()
	key := s.issueKey("st-giles")
	host := s.address("lothian", 0)
	s.waitUntilServing(host, key)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			prompt := fmt.Sprintf("Which of the pews are free in row %d? tokens:30", i)
			a := s.chat(host, key, prompt, true)
			text, complete := a.text()
			if a.err != nil || !complete || text != expectedText(prompt) {
				t.Errorf("prompt %d: status %d, complete %v, error %v, text %q", i, a.status, complete, a.err, text)
			}
		})
	}
	wg.Wait()
	if faults.Load() == 0 {
		t.Error("no engine failed in the middle of an answer")
	}
}

// TestCompletionsOfTwoVersions guards against an answer whose first tokens one version of an engine's software
// wrote and the rest another, and against breaking off one that an engine of the same version can go on
// with. One of two engines of a version fails at token 5 of each answer that begins there.
func TestCompletionsOfTwoVersions(t *testing.T) {
	s := newSystem(t)
	var mu sync.Mutex
	versions := map[string]map[string]bool{} // by the answer's ID
	var faults atomic.Int32
	for i, fails := range []bool{true, false} {
		e := &faker.Engine{Name: fmt.Sprint("old-", i), Slots: 64, TokenInterval: time.Millisecond, Software: "v1"}
		e.InjectFault = func(id string, token int) faker.Fault {
			mu.Lock()
			defer mu.Unlock()
			if versions[id] == nil {
				versions[id] = map[string]bool{}
			}
			versions[id]["v1"] = true
			if fails && token == 5 {
				faults.Add(1)
				return faker.FaultTruncate
			}
			return faker.NoFault
		}
		s.addEngine("lothian", e, 12+i)
	}
	for _, e := range s.engines {
		if e.Software == "v1" || e.InjectFault != nil {
			continue
		}
		e.InjectFault = func(id string, _ int) faker.Fault {
			mu.Lock()
			defer mu.Unlock()
			if versions[id] == nil {
				versions[id] = map[string]bool{}
			}
			versions[id]["none"] = true
			return faker.NoFault
		}
	}
	s.applySheet()
	key := s.issueKey("st-giles")
	host := s.address("lothian", 0)
	s.waitUntilServing(host, key)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			prompt := fmt.Sprintf("Which of the pews are free in row %d? tokens:30", i)
			a := s.chat(host, key, prompt, true)
			if text, complete := a.text(); a.err != nil || !complete || text != expectedText(prompt) {
				t.Errorf("prompt %d: status %d, complete %v, error %v, text %q", i, a.status, complete, a.err, text)
			}
		})
	}
	wg.Wait()
	joined := 0
	mu.Lock()
	defer mu.Unlock()
	for _, v := range versions {
		if len(v) > 1 {
			joined++
		}
	}
	if joined > 0 || faults.Load() == 0 {
		t.Errorf("%d of %d answers hold tokens of two versions, %d broke off, want none and some", joined, len(versions), faults.Load())
	}
}

// TestGracefulStop guards against requests that are truncated or refused by a planned stop.
// A host gets SIGTERM while streams and bookings run, and further requests arrive from
// callers with an older list of hosts. All must succeed, and the host must exit with status 0.
func TestGracefulStop(t *testing.T) {
	s := newSystem(t)
	slow := &faker.Engine{Name: "slow", Slots: 600, TokenInterval: 40 * time.Millisecond}
	s.addEngine("lothian", slow, 12)
	s.bookings["lothian"].Delay = 300 * time.Millisecond
	s.applySheet()
	key := s.issueKey("st-giles")
	host := s.address("lothian", 0)
	s.waitUntilServing(host, key)
	s.waitUntilServing(s.address("lothian", 2), key)
	for _, region := range []string{"lothian", "clyde", "grampian"} {
		s.waitUntilGroupReady(region)
	}
	var wg sync.WaitGroup
	var failed, succeeded atomic.Int32
	check := func(ok bool, kind string, a answer) {
		if !ok {
			if failed.Add(1) < 5 {
				t.Errorf("%s: status %d, error %v, body %.200s", kind, a.status, a.err, a.body)
			}
			return
		}
		succeeded.Add(1)
	}
	stream := func(i int) {
		prompt := fmt.Sprintf("Pew %d? tokens:12", i)
		a := s.chat(host, key, prompt, true)
		text, complete := a.text()
		check(complete && text == expectedText(prompt), "stream", a)
	}
	startRequests := func(from, n int) {
		for i := range n {
			wg.Go(func() { stream(from + i) })
			if i%10 == 0 {
				wg.Go(func() {
					a := s.book(host, key, fmt.Sprintf("stop-%d", from+i))
					check(a.status == http.StatusCreated, "booking", a)
				})
			}
		}
	}
	startRequests(0, 60)
	s.eventually("requests are running", func() bool { return slow.Announcement().Running > 0 })
	s.signal("lothian-1", syscall.SIGTERM)
	s.eventually("the host is no longer listed", func() bool {
		return !strings.Contains(s.do(http.MethodGet, s.address("clyde", 0), "/v1/hosts", "", "").body, host)
	})
	startRequests(1000, 20) // from callers that still have an older list of hosts
	wg.Wait()
	if err := s.procs["lothian-1"].Wait(); err != nil {
		t.Errorf("lothian-1 did not exit with status 0: %v", err)
	}
	delete(s.procs, "lothian-1")
	t.Logf("%d requests answered", succeeded.Load())
	s.start("lothian-1")
	s.eventually("the host is listed again", func() bool {
		return strings.Contains(s.do(http.MethodGet, s.address("clyde", 0), "/v1/hosts", "", "").body, host)
	})
}

// TestLeavingUpstream guards against requests that are sent to an upstream after it announced
// that it leaves: once its count of requests no longer rises, neither entry host of the region
// may send it another.
func TestLeavingUpstream(t *testing.T) {
	s := newSystem(t)
	extra := &faker.Engine{Name: "extra", Slots: 64, FirstTokenDelay: time.Millisecond}
	s.addEngine("clyde", extra, 12)
	s.applySheet()
	key := s.issueKey("st-giles")
	host := s.address("clyde", 0)
	s.waitUntilServing(host, key)
	servedCount := func() int64 {
		n, _, _ := extra.Counts()
		return n
	}
	s.eventually("the engine serves requests", func() bool {
		s.chat(host, key, fmt.Sprint(time.Now()), false)
		return servedCount() > 0
	})
	s.stopAnnouncing["extra"]()
	lastServed := -1
	s.eventually("the engine receives no more requests", func() bool {
		before := int(servedCount())
		for i := range 10 {
			s.chat(host, key, fmt.Sprint(time.Now(), i), false)
		}
		same := before == lastServed
		lastServed = int(servedCount())
		return same && lastServed == before
	})
	for i := range 30 {
		s.chat(s.address("clyde", 2*(i%2)), key, fmt.Sprint(time.Now(), i), false)
	}
	if got := int(servedCount()); got != lastServed {
		t.Errorf("the engine received %d requests after it had left", got-lastServed)
	}
}

// TestTruncatedStreamEndsWithError guards against a truncated stream that looks complete. The
// region's only engine closes the connection from token 5 on, at every attempt; the caller must
// then receive an error event as the last one, and no end mark.
func TestTruncatedStreamEndsWithError(t *testing.T) {
	s := newSystem(t)
	s.stopAnnouncing["engine-lothian"]()
	e := &faker.Engine{Name: "broken", Slots: 8}
	e.InjectFault = func(_ string, token int) faker.Fault {
		if token >= 5 {
			return faker.FaultTruncate
		}
		return faker.NoFault
	}
	s.addEngine("lothian", e, 12)
	s.applySheet()
	key := s.issueKey("st-giles")
	s.eventually("a truncated stream ends with an error event", func() bool {
		a := s.chat(s.address("lothian", 0), key, "Pews? tokens:30", true)
		text, complete := a.text()
		if complete && text != expectedText("Pews? tokens:30") {
			t.Fatalf("truncated answer looks complete: %q", text)
		}
		code, run := answer{body: lastEvent(a.body)}.refusal()
		return !complete && text != "" && code == "upstream_failed" && run == "unknown"
	})
}

// lastEvent returns the data of the last event of a stream.
func lastEvent(body string) string {
	at := strings.LastIndex(body, "data: ")
	return strings.TrimSpace(body[max(0, at+len("data: ")):])
}
