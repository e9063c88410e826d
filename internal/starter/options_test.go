package starter

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks every write until it is released.
type blockedWriter struct {
	released chan struct{}
	mu       sync.Mutex
	text     strings.Builder // guarded by mu
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

func (w *blockedWriter) contains(s string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Contains(w.text.String(), s)
}

// TestBlockedOutputDoesNotBlockLogging logs many times more lines than the queue holds while
// standard output is blocked. No log call may block; once output resumes, the number of
// dropped lines must be logged.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	w := &blockedWriter{released: make(chan struct{})}
	log := NewLog(w, "h")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20 * maxQueuedLogLines {
			log.Info().Int("line", i).Msg("decided")
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("logging blocks while the output is blocked")
	}
	close(w.released)
	for range 600 {
		if w.contains("log lines dropped") {
			return
		}
		log.Info().Msg("later")
		time.Sleep(100 * time.Millisecond)
	}
	t.Error("dropped log lines are not reported")
}
