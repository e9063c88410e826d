package controller

import (
	"sync"
	"time"
)

const (
	// Age of the last Consult call above which a control host counts as out of contact.
	maxContactAge = time.Second
	// Time without any control host out of contact after which the group is steady. It exceeds the time
	// between two reports of an upstream, also if one is lost.
	steadyTime = 5 * time.Second
)

// contacts observes, at the leader, whether all control hosts are in contact with it. What one of them
// acknowledged is then known to the others.
type contacts struct {
	mu          sync.Mutex
	consultedAt map[string]time.Duration // time of the last Consult call, by address; guarded by mu
	// checkedAt is the time of the last check, brokenAt that of the last one that found a host out of
	// contact; guarded by mu
	checkedAt, brokenAt time.Duration
}

// record records a Consult call.
func (x *contacts) record(address string, now time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.consultedAt == nil {
		x.consultedAt = map[string]time.Duration{}
	}
	x.consultedAt[address] = now
}

// check checks the hosts at addresses, all members but this one. It must be called at intervals shorter
// than maxContactAge while this host leads: a longer one, as after a pause or a change of the leader, counts
// as broken contact.
func (x *contacts) check(addresses []string, now time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.checkedAt == 0 || now-x.checkedAt > maxContactAge {
		x.brokenAt = now
	}
	x.checkedAt = now
	for _, address := range addresses {
		if at, ok := x.consultedAt[address]; !ok || now-at > maxContactAge {
			x.brokenAt = now
		}
	}
}

// steady reports whether all hosts have been in contact for steadyTime, as of the last check.
func (x *contacts) steady(now time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.checkedAt > 0 && now-x.checkedAt <= maxContactAge && now-x.brokenAt >= steadyTime
}
