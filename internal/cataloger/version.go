package cataloger

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// Time for which a version is kept after its last report.
	versionRetainTime = 10 * time.Minute
	// Most versions of one pool; beyond it, those that were seen last the longest ago are dropped.
	maxPoolVersions = 64
)

// versionHistory holds when each version of the software of a pool's upstreams was last reported, by
// pool and version.
type versionHistory map[string]map[string]time.Duration

func (h versionHistory) record(pool, version string, at time.Duration) {
	if pool == "" {
		return
	}
	if h[pool] == nil {
		h[pool] = map[string]time.Duration{}
	}
	seen, known := h[pool][version]
	if !known || at > seen {
		h[pool][version] = at
	}
	if len(h[pool]) > maxPoolVersions {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(h[pool])), func(a, b string) int { return cmp.Compare(h[pool][a], h[pool][b]) })
		delete(h[pool], oldest)
	}
}

func (h versionHistory) expire(now time.Duration) {
	for pool, versions := range h {
		maps.DeleteFunc(versions, func(_ string, at time.Duration) bool { return now-at > versionRetainTime })
		if len(versions) == 0 {
			delete(h, pool)
		}
	}
}

// Versions returns the versions of software that upstreams of a pool have or had within a time, sorted,
// and for how long the table has observed them, as if always if it was the first.
func (t *Table) Versions(pool string, within time.Duration) ([]string, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var all []string
	for version, at := range t.versions[pool] {
		if now-at <= within {
			all = append(all, version)
		}
	}
	for _, u := range t.upstreams {
		if u.report.Pool == pool && !u.report.Gone {
			all = append(all, u.report.Software)
		}
	}
	slices.Sort(all)
	observed := min(now-t.startedAt, versionRetainTime)
	if t.IsFirst {
		observed = versionRetainTime
	}
	return slices.Compact(all), observed
}

// LeavingCount returns the number of upstreams of a pool and version that are leaving.
func (t *Table) LeavingCount(pool, version string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, u := range t.upstreams {
		if a := u.report; a.Pool == pool && a.Software == version && !a.Gone && a.Leaving {
			n++
		}
	}
	return n
}
