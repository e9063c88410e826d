package quarantiner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/confiner"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Time after the beginning of an answer for which the upstream must go on to clear the parts of
	// the prompt. A crash by a part comes when the answer begins.
	survivalTime = 500 * time.Millisecond
	// Timeout of one check whether an upstream still accepts connections.
	checkTimeout = 500 * time.Millisecond
	// Bounds of what is kept: parts of one end, ends, ends being checked, and survivals in each of
	// two generations.
	maxObservedParts     = 256
	maxObservedEnds      = 64
	maxChecks            = 64
	survivalsPerInterval = 2048
)

// checkDelays are the times after a lost connection, each after the one before, at which it is checked
// whether the upstream has ended.
var checkDelays = [...]time.Duration{100 * time.Millisecond, 400 * time.Millisecond, time.Second, 2500 * time.Millisecond}

// State is what is known of an upstream's process.
type State int

// The states of a process.
const (
	// Running means that no end is known.
	Running State = iota
	// Leaving means that the upstream announced its end, which thus has another cause.
	Leaving
	// Ended means that the process ended without an announcement.
	Ended
)

// Upstream identifies one process of an upstream.
type Upstream struct {
	Name, Address string
	Incarnation   uint64
}

// Part is a part of a prompt, or a whole request, whose ID is then for logs only.
type Part struct {
	ID  string
	Key uint64
}

// Observer relates ends of upstreams to the requests of one entry host. Set the exported fields
// before use. It is safe for concurrent use.
type Observer struct {
	Timer *timer.Service
	Log   zerolog.Logger
	// Refused reports whether an address refuses connections: the process that listened there has
	// ended.
	Refused func(ctx context.Context, address string) bool
	// State returns what other sources know of the upstream.
	State func(u Upstream) State
	// OnEnd is called after each end was confirmed. Nil: not called.
	OnEnd func()

	mu       sync.Mutex
	revision uint64                   // of the last end; guarded by mu
	losses   map[Upstream]*loss       // being checked; guarded by mu
	ends     []observedEnd            // oldest first; guarded by mu
	recent   map[uint64]time.Duration // time of the last survival, by part; guarded by mu
	previous map[uint64]time.Duration // the same before recent was full; guarded by mu
	suspects []uint64                 // guarded by mu
	doubted  map[uint64]time.Duration // when doubt began, by part; guarded by mu
}

// loss is an upstream on which answers broke off when they had just begun, or before.
type loss struct {
	at    time.Duration
	parts []Part
}

type observedEnd struct {
	upstream Upstream
	at       time.Duration
	parts    []uint64
	revision uint64
}

// Run is one request at an upstream. A nil Run observes nothing. It is not safe for concurrent use.
type Run struct {
	observer *Observer
	upstream Upstream
	parts    []Part
	begunAt  time.Duration // when the answer began; 0 before
	survived bool
}

// Start observes a request that is sent to an upstream. parts are the request itself and the parts of
// its prompt that others may have too.
func (o *Observer) Start(u Upstream, parts []Part) *Run {
	if o == nil || len(parts) == 0 {
		return nil
	}
	return &Run{observer: o, upstream: u, parts: parts}
}

// RecordProgress records that a piece of the answer was received.
func (r *Run) RecordProgress() {
	if r == nil || r.survived {
		return
	}
	now := r.observer.Timer.Now()
	if r.begunAt == 0 {
		r.begunAt = now
	}
	if now-r.begunAt >= survivalTime {
		r.clear()
	}
}

// RecordComplete records that the whole answer was received.
func (r *Run) RecordComplete() {
	if r != nil && !r.survived {
		r.clear()
	}
}

// RecordUnframed records that the answer ended with the connection and stated no length: whether it
// was complete cannot be told, so a short one counts as lost.
func (r *Run) RecordUnframed() { r.RecordLost() }

// clear records that the upstream survived the parts.
func (r *Run) clear() {
	r.survived = true
	r.observer.recordSurvival(r.parts)
}

// RecordLost records that the connection ended before the answer was complete. Its parts are
// suspects if the answer had just begun, or not yet, and the upstream turns out to have ended.
func (r *Run) RecordLost() {
	if r == nil || r.survived {
		return
	}
	if now := r.observer.Timer.Now(); r.begunAt != 0 && now-r.begunAt >= survivalTime {
		r.clear()
		return
	}
	r.observer.recordLoss(r.upstream, r.parts)
}

func (o *Observer) recordSurvival(parts []Part) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.recent == nil || len(o.recent) >= survivalsPerInterval {
		o.previous, o.recent = o.recent, map[uint64]time.Duration{}
	}
	now := o.Timer.Now()
	for _, p := range parts {
		o.recent[p.Key] = now
	}
}

func (o *Observer) recordLoss(u Upstream, parts []Part) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.losses[u]
	if l == nil {
		if len(o.losses) >= maxChecks {
			return
		}
		if o.losses == nil {
			o.losses = map[Upstream]*loss{}
		}
		l = &loss{at: o.Timer.Now()}
		o.losses[u] = l
		o.Timer.Once(checkDelays[0], func() { go o.confinedCheck(u, 0, true) })
	}
	for _, p := range parts {
		if len(l.parts) < maxObservedParts && !slices.Contains(l.parts, p) {
			l.parts = append(l.parts, p)
		}
	}
}

// confinedCheck calls check. If that panics, the upstream is no longer being checked, so that its next loss
// is.
func (o *Observer) confinedCheck(u Upstream, attempt int, dial bool) {
	if confiner.Call(o.Log, "check", func() { o.check(u, attempt, dial) }) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.losses, u)
}

// check finds out whether an upstream has ended, and checks again later while that is open. dial is
// false once the upstream has accepted a connection: then only other sources can tell.
func (o *Observer) check(u Upstream, attempt int, dial bool) {
	state := o.State(u)
	refused := false
	if state == Running && dial {
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		refused = o.Refused(ctx, u.Address)
		accepted := !refused && ctx.Err() == nil
		cancel()
		dial = !accepted
	}
	if state == Running && !refused && attempt+1 < len(checkDelays) {
		o.Timer.Once(checkDelays[attempt+1], func() { go o.confinedCheck(u, attempt+1, dial) })
		return
	}
	ended := state == Ended || refused
	l := o.endCheck(u, ended)
	o.logCheck(u, l, state, refused)
	if ended && o.OnEnd != nil {
		o.OnEnd()
	}
}

// endCheck ends the check of an upstream and returns what was lost there.
func (o *Observer) endCheck(u Upstream, ended bool) *loss {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.losses[u]
	delete(o.losses, u)
	if ended {
		o.storeEnd(u, l)
	}
	return l
}

// storeEnd keeps an end for reports, the last maxObservedEnds. The caller holds mu.
func (o *Observer) storeEnd(u Upstream, l *loss) {
	var keys []uint64
	for _, p := range l.parts {
		keys = append(keys, p.Key)
	}
	o.revision++
	o.ends = append(o.ends, observedEnd{upstream: u, at: l.at, parts: keys, revision: o.revision})
	if len(o.ends) > maxObservedEnds {
		o.ends = slices.Clone(o.ends[1:])
	}
}

func (o *Observer) logCheck(u Upstream, l *loss, state State, refused bool) {
	var ids []string
	for _, p := range l.parts[:min(len(l.parts), maxLoggedParts)] {
		ids = append(ids, p.ID)
	}
	o.Log.Info().Str("upstream", u.Name).Str("address", u.Address).Uint64("incarnation", u.Incarnation).
		Dur("age", o.Timer.Now()-l.at).Strs("parts", ids).Int("suspects", len(l.parts)).
		Bool("refused", refused).Bool("leaving", state == Leaving).Bool("ended", state == Ended || refused).Msg("answers broken off at upstream")
}

// maxLoggedParts is the number of parts that a log line names.
const maxLoggedParts = 8

// Since returns the ends after a revision, the survivals of suspects and of the parts of these ends, and
// the present revision. A receiver that has just started asks for no suspects yet.
func (o *Observer) Since(revision uint64) (*schema.Findings, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Timer.Now()
	o.ends = slices.DeleteFunc(o.ends, func(x observedEnd) bool { return now-x.at > maxEndAge })
	f := &schema.Findings{}
	asked := slices.Clone(o.suspects)
	for _, x := range o.ends {
		if x.revision > revision {
			asked = append(asked, x.parts...)
			f.Ends = append(f.Ends, &schema.UpstreamEnd{
				Upstream: x.upstream.Name, Incarnation: x.upstream.Incarnation, Age: (now - x.at).Seconds(), Parts: x.parts,
			})
		}
	}
	maps.DeleteFunc(o.doubted, func(_ uint64, at time.Duration) bool { return now-at > QuarantineTime })
	asked = slices.AppendSeq(asked, maps.Keys(o.doubted))
	slices.Sort(asked)
	for _, part := range slices.Compact(asked) {
		if at, ok := o.survivedAt(part); ok && now-at < survivalMemory {
			f.Survivals = append(f.Survivals, &schema.Survival{Part: part, Age: (now - at).Seconds()})
		}
	}
	return f, o.revision
}

// survivedAt returns the time of the last survival of a part. The caller holds mu.
func (o *Observer) survivedAt(part uint64) (time.Duration, bool) {
	at, ok := o.recent[part]
	if !ok {
		at, ok = o.previous[part]
	}
	return at, ok
}

// doubt returns the parts of prompts that no upstream is known to have survived and that were beside a part,
// which one did survive, when upstreams ended here. An end under none of those that were returned before shows
// that the part is at fault after all. From then on survivals of the part are reported.
func (o *Observer) doubt(part uint64, before []uint64) (only []uint64, changed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, survived := o.survivedAt(part); !survived || isRequest(part) {
		return nil, false
	}
	only = slices.Clone(before)
	for _, x := range o.ends {
		if !slices.Contains(x.parts, part) {
			continue
		}
		var beside []uint64
		for _, p := range x.parts {
			if _, survived := o.survivedAt(p); p != part && !survived && !isRequest(p) {
				beside = append(beside, p)
			}
		}
		if len(beside) == 0 || len(before) > 0 && !slices.ContainsFunc(beside, func(p uint64) bool { return slices.Contains(before, p) }) {
			return nil, true
		}
		for _, p := range beside {
			if !slices.Contains(only, p) && len(only) < maxBeside {
				only = append(only, p)
			}
		}
	}
	if len(only) == len(before) {
		return nil, false
	}
	if o.doubted == nil {
		o.doubted = map[uint64]time.Duration{}
	}
	o.doubted[part] = o.Timer.Now()
	return only, true
}

// SetSuspects replaces the parts whose survivals Since returns.
func (o *Observer) SetSuspects(parts []uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.suspects = parts
}
