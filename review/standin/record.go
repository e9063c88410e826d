package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of the case.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// at returns the time since the start of the case.
func (r *record) at() time.Duration { return time.Since(r.start) }

func (r *record) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", r.at().Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.w.WriteString(line)
	_ = r.w.Flush()
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
