package controller

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/persister"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// openAgain closes a controller that does not run and opens one on the same folder, on a clock that only
// the test advances.
func openAgain(t *testing.T, c *Controller) *Controller {
	t.Helper()
	if err := c.Store.Close(); err != nil {
		t.Fatal(err)
	}
	clock := &timer.Service{Clock: &timer.ManualClock{}}
	next := &Controller{
		Settings: c.Settings, Store: &persister.Store{Folder: c.Store.Folder},
		Timer: clock, Dialer: &dialer.Dialer{Timer: clock}, Distributor: &distributor.Distributor{Timer: clock, IsRoot: true}, Log: zerolog.Nop(),
	}
	if err := next.Open(); err != nil {
		t.Fatal(err)
	}
	return next
}

// lead ticks a controller until it holds the lease.
func lead(t *testing.T, c *Controller) {
	t.Helper()
	for range 10 * electionTicks {
		c.Timer.Advance(tickInterval)
		c.tick()
		if c.view.Load().holdsLease(c.Timer.Now()) {
			return
		}
	}
	t.Fatal("the only voter does not lead")
}

func put(t *testing.T, c *Controller, d *schema.Document) {
	t.Helper()
	outcome := make(chan *schema.Result, 1)
	if err := c.startProposal(&schema.Command{Op: &schema.Command_Document{Document: d}}, outcome); err != nil {
		t.Fatal(err)
	}
	if result := <-outcome; result == nil || result.Refusal != schema.Refusal_REFUSAL_NONE {
		t.Fatalf("document %d: %v", d.Number, result)
	}
}

// TestLongLogAppliedInPieces guards against ticks that wait until a long log is applied, and against a leader
// that serves before it has applied what was committed before it led.
func TestLongLogAppliedInPieces(t *testing.T) {
	const (
		documents = 100
		applyTime = 2 * time.Millisecond
	)
	c := openAgain(t, newSingleController(t, nil))
	lead(t, c)
	for n := range uint64(documents) {
		put(t, c, document(n+1))
	}
	c = openAgain(t, c)
	c.Distributor.OnChange = func(*configurer.Snapshot) { c.Timer.Advance(applyTime) }
	steps := 0
	for led := false; !led; {
		if steps++; steps > 1000 {
			t.Fatal("it never leads")
		}
		v := c.view.Load()
		before := v.appliedIndex
		if len(c.applyNow) == 0 {
			c.Timer.Advance(tickInterval)
		} else {
			<-c.applyNow
		}
		c.tick()
		v = c.view.Load()
		if n := v.appliedIndex - before; n > uint64(maxApplyTime/applyTime)+1 {
			t.Fatalf("one step applied %d entries, want at most %d", n, maxApplyTime/applyTime+1)
		}
		if led = v.holdsLease(c.Timer.Now()); led && v.document.GetNumber() != documents {
			t.Errorf("leads with document %d, %d acknowledged", v.document.GetNumber(), documents)
		}
	}
}

// TestLogIsBoundedInBytes guards against a log of few large entries that fills the disk and takes long to
// apply after a restart.
func TestLogIsBoundedInBytes(t *testing.T) {
	const (
		documents = 40
		size      = 1 << 20
	)
	c := openAgain(t, newSingleController(t, nil))
	lead(t, c)
	for n := range uint64(documents) {
		put(t, c, &schema.Document{Number: n + 1, Source: append(fmt.Appendf(nil, "document %d ", n+1), make([]byte, size)...)})
		for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(time.Millisecond) {
			c.mu.Lock()
			running := c.compaction.running
			c.mu.Unlock()
			if !running {
				break
			}
		}
	}
	if most := minBytesPerSnapshot + 2*size; c.compaction.bytes > most {
		t.Errorf("%d bytes in the log, want at most %d", c.compaction.bytes, most)
	}
	sum := int64(0)
	err := filepath.WalkDir(c.Store.Folder, func(_ string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if err == nil {
			sum += info.Size()
		}
		return err
	})
	if most := int64(minBytesPerSnapshot + 4*size); err != nil || sum > most {
		t.Errorf("%d bytes on disk (error %v), want at most %d", sum, err, most)
	}
	c = openAgain(t, c)
	lead(t, c)
	if got := c.view.Load().document.GetNumber(); got != documents {
		t.Errorf("document %d after a restart, %d acknowledged", got, documents)
	}
}
