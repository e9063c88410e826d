package test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/disrupter"
	"github.com/trefoilloft/trefoilloft/internal/faker"
)

// TestSilentUpstreamConnections guards against answers that are lost on connections that stay
// open but carry no data. A TCP proxy in front of the region's only engine drops the data of all
// open connections in the middle of streams, in both directions or in one, while new
// connections work; every caller must get the whole answer.
func TestSilentUpstreamConnections(t *testing.T) {
	s := newSystem(t)
	engine := &faker.Engine{Name: "behind-relay", Slots: 64, TokenInterval: 30 * time.Millisecond}
	proxy, host, key := s.startBehindProxy(engine)
	for _, direction := range []disrupter.Direction{disrupter.BothDirections, disrupter.ToTarget, disrupter.FromTarget} {
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				prompt := fmt.Sprintf("Pew %d of %d? tokens:20", i, direction)
				a := s.chat(host, key, prompt, true)
				if text, complete := a.text(); !complete || text != expectedText(prompt) {
					t.Errorf("direction %d, prompt %d: status %d, complete %v, error %v, text %q, end of body %s", direction, i, a.status, complete, a.err, text, a.body[max(0, len(a.body)-200):])
				}
			})
		}
		s.eventually("at least five streams are running", func() bool { return engine.Announcement().Running >= 5 })
		if proxy.DropData(direction) == 0 {
			t.Error("the proxy had no open connection")
		}
		wg.Wait()
	}
}

// TestStallsOnIdleAndNewConnection guards against failing a request whose first connection had died while
// it was idle, which says nothing of the upstream, when the new connection stalls too.
func TestStallsOnIdleAndNewConnection(t *testing.T) {
	s := newSystem(t)
	const firstTokenDelay = 700 * time.Millisecond
	engine := &faker.Engine{Name: "behind-relay", Slots: 64, TokenInterval: 30 * time.Millisecond, FirstTokenDelay: firstTokenDelay, CachedFirstTokenDelay: firstTokenDelay}
	proxy, host, key := s.startBehindProxy(engine)
	ask := func(prompt string, drop disrupter.Direction) {
		var wg sync.WaitGroup
		wg.Go(func() {
			a := s.chat(host, key, prompt, true)
			if text, complete := a.text(); !complete || text != expectedText(prompt) {
				t.Errorf("%s: status %d, complete %v, error %v, text %q, end of body %s", prompt, a.status, complete, a.err, text, a.body[max(0, len(a.body)-200):])
			}
		})
		s.eventually("the request runs", func() bool { return engine.Announcement().Running >= 1 })
		proxy.DropData(drop)
		wg.Wait()
	}
	ask("First? tokens:5", disrupter.ToTarget)    // answered; its connection is dead when it becomes idle
	ask("Second? tokens:5", disrupter.FromTarget) // drops the new connection before the first token
}

// startBehindProxy makes engine, behind a proxy, the only one of its region. It returns the proxy, the
// address of an entry host that serves, and a key.
func (s *system) startBehindProxy(engine *faker.Engine) (proxy *disrupter.Proxy, host, key string) {
	s.stopAnnouncing["engine-lothian"]()
	proxy = &disrupter.Proxy{TargetAddress: s.address("lothian", 12)}
	s.addEngine("lothian", engine, 12)
	address, err := proxy.Listen(s.address("lothian", 13))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(proxy.Close)
	s.announceAt(engine, address)
	s.applySheet()
	key, host = s.issueKey("st-giles"), s.address("lothian", 0)
	s.waitUntilServing(host, key)
	return proxy, host, key
}

// announceAt announces that an engine leaves, then announces it again at another address.
func (s *system) announceAt(e *faker.Engine, address string) {
	s.stopAnnouncing[e.Name]()
	e.Address = address
	s.announce(e.Name, e.Region, e)
}
