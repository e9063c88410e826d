package controller

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/journaler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// leaversFile is the name of the file in the data folder that holds upstreams that left.
	leaversFile = "leavers"
	// Time for which an upstream that left is kept; it is longer than any delay with which one of its reports
	// may still arrive.
	leaverRetainTime = 2 * time.Minute
	// Number of upstreams that are kept at most; beyond it, the oldest are dropped.
	maxKeptLeavers = 4096
)

// leaverStore keeps on disk which upstreams were acknowledged as leaving or ended.
type leaverStore struct {
	path  string
	timer *timer.Service

	mu   sync.Mutex
	kept []keptLeaver // oldest first; guarded by mu
}

type keptLeaver struct {
	report *schema.Announcement
	at     time.Duration // time on timer's clock at which it was kept or read
}

// load reads what was kept. It must be called before keep.
func (s *leaverStore) load() ([]*schema.Announcement, error) {
	b, err := journaler.ReadFile(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	m := &schema.KeptLeavers{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("controller: decode %s: %w", s.path, err)
	}
	for _, a := range m.Upstreams {
		s.kept = append(s.kept, keptLeaver{proto.Clone(a).(*schema.Announcement), s.timer.Now()})
	}
	return m.Upstreams, nil
}

// keep makes the newest report of an upstream durable if it says that the upstream is leaving or has ended,
// unless what it says is durable already.
func (s *leaverStore) keep(a *schema.Announcement) error {
	if !a.GetLeaving() && !a.GetGone() {
		return nil // an older process has left
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	next := []keptLeaver{}
	for _, x := range s.kept {
		switch same := x.report.Name == a.Name; {
		case same && x.report.Incarnation == a.Incarnation && x.report.Gone == a.Gone:
			return nil
		case !same && now-x.at < leaverRetainTime:
			next = append(next, x)
		}
	}
	next = append(next, keptLeaver{a, now})
	next = next[max(0, len(next)-maxKeptLeavers):]
	m := &schema.KeptLeavers{}
	for _, x := range next {
		m.Upstreams = append(m.Upstreams, x.report)
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("controller: encode upstreams that left: %w", err)
	}
	if err := journaler.WriteFile(s.path, b); err != nil {
		return fmt.Errorf("controller: keep upstreams that left: %w", err)
	}
	s.kept = next
	return nil
}
