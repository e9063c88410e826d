package quarantiner

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// QuarantineTime is how long requests with a quarantined part are refused. A crash is usually
	// mended by another version of the upstream, which the part must then be tried at.
	QuarantineTime = time.Hour
	// Time after the end of a quarantine for which the part is remembered: a single end then
	// suffices to quarantine it again.
	probationTime = 24 * time.Hour
	// Time for which a host that refused a request for a part may be granted a trial, and time for which the
	// trial may be used.
	refusalTime = 3 * time.Second
	trialTime   = 30 * time.Second
	// Time from a trial until hosts know its outcome: the survival, and two reports each of the entry and the
	// control host, with a margin.
	outcomeTime = 5 * time.Second
	// Maximum number of entries, those on probation included, and of the parts beside one.
	maxEntries = 512
	maxBeside  = 64
)

// trialDelays are the times after the beginning of a quarantine from which one request with the part is sent
// to an upstream each. If no upstream ends, the quarantine was a mistake, or what crashed was mended. Each
// trial of a part that does crash upstreams costs one.
var trialDelays = [...]time.Duration{10 * time.Second, 10 * time.Minute}

// Register holds the decisions about parts. Set Now before use. It is safe for concurrent use.
type Register struct {
	// Now returns the time on a clock that also runs while the host is suspended.
	Now func() time.Duration

	active  atomic.Int64 // number of entries; keeps Find cheap while there are none
	mu      sync.Mutex
	entries map[uint64]entry         // by part; guarded by mu
	refused map[uint64]time.Duration // time of the last refusal, by part; guarded by mu
	trials  map[uint64]time.Duration // end of the time for which a trial may be used, by part; guarded by mu
}

// entry is the last decision about a part.
type entry struct {
	number   uint32 // of the decision
	released bool
	// beside are the parts that explain the same ends, sorted: only prompts with all of them are refused.
	beside    []uint64
	decidedAt time.Duration // when this host made the decision or received it
	until     time.Duration // end of the quarantine
	trials    uint32        // that were granted
	triedAt   time.Duration // when this host granted the last one or received that it was
	weighed   bool          // whoever decided took account of other parts with the same ends

	// doubted is set once this host found reason to doubt a decision that was not weighed. While only is not
	// empty, just the prompts are refused that have one of these parts too. Other hosts are not told.
	doubted bool
	only    []uint64
}

func (x entry) quarantined(now time.Duration) bool { return !x.released && now < x.until }

// appliesTo reports whether requests with parts, the entry's one among them, are refused.
func (x entry) appliesTo(parts []Part) bool {
	return containsAll(parts, x.beside) && (len(x.only) == 0 || containsAny(parts, x.only))
}

// trialDue reports whether a trial is to be granted.
func (x entry) trialDue(now time.Duration) bool {
	return x.quarantined(now) && int(x.trials) < len(trialDelays) && now-(x.until-QuarantineTime) >= trialDelays[x.trials]
}

// retryAfter returns the time after which a refused caller should return: when the outcome of the next trial
// is known, or at the end of the quarantine.
func (x entry) retryAfter(now time.Duration) time.Duration {
	left := x.until - now
	if x.trials > 0 && now-x.triedAt < trialTime {
		return min(left, outcomeTime)
	}
	if !x.weighed || int(x.trials) >= len(trialDelays) {
		return left
	}
	due := x.until - QuarantineTime + trialDelays[x.trials] - now
	if due < -trialTime {
		return left // nobody grants it
	}
	return min(left, max(0, due)+outcomeTime)
}

// Find reports whether a part is quarantined, alone or beside others, and returns the time until its
// quarantine ends.
func (g *Register) Find(part uint64) (left time.Duration, found bool) {
	if g.active.Load() == 0 {
		return 0, false
	}
	x, known := g.lookup(part)
	now := g.Now()
	return x.until - now, known && x.quarantined(now)
}

// FindIn returns the first of a request's parts for which the request is refused, and the time after which
// the caller should return. trial is the part of which the request is a trial; 0: none.
func (g *Register) FindIn(parts []Part, trial uint64) (part Part, retryAfter time.Duration, found bool) {
	if g.active.Load() == 0 {
		return Part{}, 0, false
	}
	now := g.Now()
	for _, p := range parts {
		if x, known := g.lookup(p.Key); known && p.Key != trial && x.quarantined(now) && x.appliesTo(parts) {
			return p, x.retryAfter(now), true
		}
	}
	return Part{}, 0, false
}

// FindInRepeat is FindIn for a request under which an upstream may have ended. It is also refused for any of
// several parts of which it is open which one crashes upstreams: a repeat would cost another upstream before
// the evidence of the first one has arrived.
func (g *Register) FindInRepeat(parts []Part) (part Part, retryAfter time.Duration, found bool) {
	if part, retryAfter, found = g.FindIn(parts, 0); found || g.active.Load() == 0 {
		return part, retryAfter, found
	}
	now := g.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, x := range g.entries {
		if len(x.beside) == 0 && len(x.only) == 0 || !x.quarantined(now) {
			continue
		}
		i := slices.IndexFunc(parts, func(p Part) bool { return p.Key == key || slices.Contains(x.beside, p.Key) })
		if i >= 0 {
			return parts[i], x.retryAfter(now), true
		}
	}
	return Part{}, 0, false
}

// RecordRefusal records that a request was refused for a part, here or at a host that reports to this one.
func (g *Register) RecordRefusal(part uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if x, known := g.entries[part]; !known || !x.quarantined(g.Now()) {
		return
	}
	if g.refused == nil {
		g.refused = map[uint64]time.Duration{}
	}
	g.refused[part] = g.Now()
}

// Refused returns the parts for which requests were refused lately, sorted.
func (g *Register) Refused() []uint64 {
	if g.active.Load() == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	maps.DeleteFunc(g.refused, func(_ uint64, at time.Duration) bool { return now-at > refusalTime })
	return slices.Sorted(maps.Keys(g.refused))
}

// offerTrial lets one request with a part be sent, by this host or one that reports to it.
func (g *Register) offerTrial(part uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.trials == nil {
		g.trials = map[uint64]time.Duration{}
	}
	now := g.Now()
	maps.DeleteFunc(g.trials, func(_ uint64, until time.Duration) bool { return now > until })
	if len(g.trials) < maxEntries {
		g.trials[part] = now + trialTime
	}
}

// TakeTrial reports whether one request with a part may be sent although the part is quarantined.
func (g *Register) TakeTrial(part uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	until, offered := g.trials[part]
	delete(g.trials, part)
	return offered && g.Now() <= until
}

// grantTrials offers the trials that are due of parts for which requests are refused, and returns the parts.
// Only the leader calls it.
func (g *Register) grantTrials() []uint64 {
	var granted []uint64
	for _, part := range g.Refused() {
		if g.countTrial(part) {
			g.offerTrial(part)
			granted = append(granted, part)
		}
	}
	return granted
}

// countTrial reports whether a trial of a part is due, and counts it if so.
func (g *Register) countTrial(part uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	x, known := g.entries[part]
	if !known || !x.trialDue(now) {
		return false
	}
	x.trials, x.triedAt = x.trials+1, now
	g.entries[part] = x
	return true
}

// onTrial returns the quarantined parts of which a trial may be under way.
func (g *Register) onTrial() []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	var all []uint64
	for part, x := range g.entries {
		if x.quarantined(now) && x.trials > 0 && now-x.triedAt < 2*trialTime {
			all = append(all, part)
		}
	}
	slices.Sort(all)
	return all
}

func containsAll(parts []Part, keys []uint64) bool {
	for _, k := range keys {
		if !slices.ContainsFunc(parts, func(p Part) bool { return p.Key == k }) {
			return false
		}
	}
	return true
}

func containsAny(parts []Part, keys []uint64) bool {
	return slices.ContainsFunc(parts, func(p Part) bool { return slices.Contains(keys, p.Key) })
}

// unweighed returns the parts quarantined alone by a decision that did not take account of others with the
// same ends, with what this host refuses them for; nil: alone.
func (g *Register) unweighed() map[uint64][]uint64 {
	if g.active.Load() == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	all := map[uint64][]uint64{}
	for part, x := range g.entries {
		if x.quarantined(now) && !x.weighed && len(x.beside) == 0 && (!x.doubted || len(x.only) > 0) {
			all[part] = x.only
		}
	}
	return all
}

// doubt lets this host refuse only prompts that have a part and one of others; none: all with the part, for
// as long as the decision holds.
func (g *Register) doubt(part uint64, only []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if x, known := g.entries[part]; known {
		x.doubted, x.only = true, only
		g.entries[part] = x
	}
}

// Beside returns the parts that prompts must also have to be refused for a quarantined part, sorted.
func (g *Register) Beside(part uint64) []uint64 {
	x, _ := g.lookup(part)
	return x.beside
}

// Quarantined returns the parts in quarantine, sorted.
func (g *Register) Quarantined() []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	var all []uint64
	for part, x := range g.entries {
		if x.quarantined(now) {
			all = append(all, part)
		}
	}
	slices.Sort(all)
	return all
}

// lookup returns the last decision about a part.
func (g *Register) lookup(part uint64) (entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x, ok := g.entries[part]
	return x, ok
}

// decide records a decision of this host. beside are the other parts that prompts must have to be refused,
// sorted.
func (g *Register) decide(part uint64, release bool, beside ...uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	old := g.entries[part]
	x := entry{number: old.number + 1, released: release, beside: beside, decidedAt: now, until: now + QuarantineTime, weighed: true}
	if old.quarantined(now) {
		x.trials, x.triedAt = old.trials, old.triedAt
	}
	if release {
		x.until = now
	}
	g.store(part, x)
}

// store keeps an entry. Beyond maxEntries it deletes the one that ends first. The caller holds mu.
func (g *Register) store(part uint64, x entry) {
	if g.entries == nil {
		g.entries = map[uint64]entry{}
	}
	g.entries[part] = x
	if len(g.entries) > maxEntries {
		first := slices.MinFunc(slices.Collect(maps.Keys(g.entries)), func(a, b uint64) int {
			return cmp.Or(cmp.Compare(g.entries[a].until, g.entries[b].until), cmp.Compare(a, b))
		})
		delete(g.entries, first)
	}
	g.active.Store(int64(len(g.entries)))
}

// Only returns the parts of which prompts must have one to be refused here for a quarantined part that this
// host doubts; nil: it does not.
func (g *Register) Only(part uint64) []uint64 {
	x, _ := g.lookup(part)
	return x.only
}

// Merge adds another host's entries and returns the parts whose quarantine this changed. Of two
// decisions about a part the one with the higher number holds. A host of an earlier version passes a
// decision on without the parts beside.
func (g *Register) Merge(list []*schema.QuarantinedPart) []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	var changed []uint64
	for _, m := range list {
		until := now + timer.Seconds(min(m.Left, QuarantineTime.Seconds()))
		old, known := g.entries[m.Part]
		beside := slices.Sorted(slices.Values(m.Beside[:min(len(m.Beside), maxBeside)]))
		if known && m.Number == old.number {
			if m.Trials > old.trials {
				old.trials, old.triedAt = m.Trials, now
			}
			old.weighed = old.weighed || m.Weighed
			g.entries[m.Part] = old
		}
		if now-until > probationTime || known && !supersedes(m, old, beside) {
			continue
		}
		x := entry{number: m.Number, released: m.Released, beside: beside, decidedAt: now, until: until, trials: m.Trials, triedAt: now, weighed: m.Weighed}
		if known && m.Number == old.number {
			x.trials, x.triedAt = old.trials, old.triedAt
		}
		g.store(m.Part, x)
		if x.quarantined(now) != old.quarantined(now) || !slices.Equal(beside, old.beside) {
			changed = append(changed, m.Part)
		}
	}
	return changed
}

// supersedes reports whether a decision from another host, with the parts beside, replaces an entry. Of two
// with the same number the one that names more parts beside does, so that all hosts end with the same one.
func supersedes(m *schema.QuarantinedPart, old entry, beside []uint64) bool {
	if m.Number != old.number {
		return m.Number > old.number
	}
	return m.Released == old.released && cmp.Or(cmp.Compare(len(beside), len(old.beside)), slices.Compare(beside, old.beside)) > 0
}

// List returns all entries, sorted by part.
func (g *Register) List() []*schema.QuarantinedPart {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	var list []*schema.QuarantinedPart
	for _, part := range g.sortedParts(now) {
		x := g.entries[part]
		list = append(list, &schema.QuarantinedPart{Part: part, Number: x.number, Released: x.released, Left: (x.until - now).Seconds(), Beside: x.beside, Trials: x.trials, Weighed: x.weighed})
	}
	return list
}

// Hash returns a hash over all entries; 0 if there are none.
func (g *Register) Hash() uint64 {
	if g.active.Load() == 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var b []byte
	for _, part := range g.sortedParts(g.Now()) {
		b = binary.LittleEndian.AppendUint64(b, part)
		b = binary.LittleEndian.AppendUint32(b, g.entries[part].number)
		for _, other := range g.entries[part].beside {
			b = binary.LittleEndian.AppendUint64(b, other)
		}
		if n := g.entries[part].trials; n > 0 {
			b = binary.LittleEndian.AppendUint32(b, n)
		}
	}
	if len(b) == 0 {
		return 0
	}
	return xxhash.Sum64(b)
}

// sortedParts deletes the entries whose probation has ended and returns the others' parts, sorted.
// The caller holds mu.
func (g *Register) sortedParts(now time.Duration) []uint64 {
	maps.DeleteFunc(g.entries, func(_ uint64, x entry) bool { return now-x.until > probationTime })
	g.active.Store(int64(len(g.entries)))
	return slices.Sorted(maps.Keys(g.entries))
}
