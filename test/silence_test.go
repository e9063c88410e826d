package test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/faker"
	"github.com/trefoilloft/trefoilloft/internal/relayer"
)

// TestSilentUpstreamConnections lets the connections that a host keeps to the only engine
// of its region fall silent, also in the middle of streams, while new ones work. It
// requires that every caller gets the whole answer.
func TestSilentUpstreamConnections(t *testing.T) {
	s := newSystem(t)
	s.stops["engine-lothian"]()
	engine := &faker.Engine{Name: "behind-relay", Slots: 64, Gap: 30 * time.Millisecond}
	relay := &relayer.Relay{To: s.address("lothian", 12)}
	s.addEngine("lothian", engine, 12)
	address, err := relay.Listen(s.address("lothian", 13))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	s.announceAt(engine, address)
	s.applySheet()
	key := s.issue("st-giles")
	host := s.address("lothian", 0)
	s.served(host, key)
	for _, direction := range []relayer.Direction{relayer.Both, relayer.Forward, relayer.Back} {
		var group sync.WaitGroup
		for i := range 10 {
			group.Go(func() {
				prompt := fmt.Sprintf("Pew %d of %d? tokens:20", i, direction)
				a := s.ask(host, key, prompt, true)
				if text, whole := a.text(); !whole || text != want(prompt) {
					t.Errorf("direction %d, prompt %d: status %d, whole %v, error %v, text %q, %s", direction, i, a.status, whole, a.err, text, a.body[max(0, len(a.body)-200):])
				}
			})
		}
		s.eventually("streams run", func() bool { return engine.Announcement().Running >= 5 })
		if relay.Silence(direction) == 0 {
			t.Error("no connection was open")
		}
		group.Wait()
	}
}

// announceAt has an engine announced under another address from now on.
func (s *system) announceAt(e *faker.Engine, address string) {
	s.stops[e.Name]()
	e.Address = address
	s.announce(e.Name, e.Region, e)
}
