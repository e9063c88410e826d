package starter

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// stuckWriter takes nothing until it is released.
type stuckWriter struct {
	released chan struct{}
	mu       sync.Mutex
	text     strings.Builder // guarded by mu
}

func (w *stuckWriter) Write(b []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

func (w *stuckWriter) contains(s string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Contains(w.text.String(), s)
}

// TestBlockedOutputDelaysNothing logs many times more lines than are kept while the standard
// output takes none. No line may wait; when it takes lines again, the loss is told.
func TestBlockedOutputDelaysNothing(t *testing.T) {
	w := &stuckWriter{released: make(chan struct{})}
	log := NewLog(w, "h")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20 * logLines {
			log.Info().Int("line", i).Msg("decided")
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("a line waits for the output")
	}
	close(w.released)
	for range 600 {
		if w.contains("log lines dropped") {
			return
		}
		log.Info().Msg("later")
		time.Sleep(100 * time.Millisecond)
	}
	t.Error("the loss of lines is not told")
}
