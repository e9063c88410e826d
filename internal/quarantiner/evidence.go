package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

const (
	// Time for which ends of upstreams are kept.
	evidenceTime = 2 * time.Minute
	// Time for which survivals are kept: quiet times last longer than the evidence of ends, and what
	// upstreams survived before them is what tells shared parts from one that crashes upstreams.
	survivalMemory = time.Hour
	// Number of ends, none of which an upstream survived, after which a part is quarantined, and the
	// interval from one that counts to the next. Upstreams that end together may have a common cause
	// that is none of the requests there; a part that was tried again and crashed again has not.
	requiredEnds = 3
	endInterval  = time.Second
	// Time for which the last end that counts waits for reports of survivals: two of an entry host's
	// intervals of reports and two of a control host's, since a host must first be asked, and round
	// trips between regions, with a margin.
	settleTime = 2500 * time.Millisecond
	// Interval between the first and the last of the ends that suffice for a whole request that no
	// upstream is known to have survived: more than ends at one moment are apart.
	minRequestSpan = 250 * time.Millisecond
	// Number of ends under a part that upstreams survived before which may have another cause, if a part
	// that none is known to have survived explains the others.
	unrelatedEnds = 1
	// Time after the last change of the evidence for which decisions are made: nothing changes later.
	decideTime = 10 * time.Second
	// Bounds of what is kept: ends, parts of one end, parts with a survival, suspects.
	maxEnds      = 256
	maxEndParts  = 512
	maxSurvivals = 1024
	maxSuspects  = 64
	// Bounds of a reported end: its age, and the length of the upstream's name in bytes.
	maxEndAge     = evidenceTime / 2
	maxNameLength = 256
)

// Evidence holds what hosts observed of upstreams that ended. Set Now before use. It is safe for
// concurrent use.
type Evidence struct {
	// Now returns the time on a clock that also runs while the host is suspended.
	Now func() time.Duration

	mu        sync.Mutex
	revision  uint64              // rises with each change; guarded by mu
	decided   uint64              // revision at the last call of Decide that found a change; guarded by mu
	changedAt time.Duration       // time of that call; guarded by mu
	ends      map[endKey]*end     // guarded by mu
	survivals map[uint64]survival // last survival, by part; guarded by mu
	dropped   time.Duration       // time of the last survival that had no room: none as old is kept again; guarded by mu
	suspects  []uint64            // sorted; guarded by mu
}

type endKey struct {
	upstream    string
	incarnation uint64
}

// end is the end of one process of an upstream.
type end struct {
	at       time.Duration  // as first reported
	parts    map[uint64]int // positions as reported: a prompt's shared beginning comes first
	revision uint64
}

type survival struct {
	at       time.Duration
	revision uint64
}

// Store adds the findings of another host. It returns the ends that were not known.
func (e *Evidence) Store(f *schema.Findings) []*schema.UpstreamEnd {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	var unknown []*schema.UpstreamEnd
	for _, m := range f.GetEnds() {
		age := timer.Seconds(m.Age)
		if age < 0 || age > maxEndAge || len(m.Upstream) > maxNameLength {
			continue
		}
		if e.storeEnd(m, now-age) {
			unknown = append(unknown, m)
		}
	}
	for _, m := range f.GetSurvivals() {
		if age := timer.Seconds(m.Age); age >= 0 && age <= survivalMemory {
			e.storeSurvival(m.Part, now-age)
		}
	}
	return unknown
}

// storeEnd merges one end and reports whether it was not known. The caller holds mu.
func (e *Evidence) storeEnd(m *schema.UpstreamEnd, at time.Duration) bool {
	if e.ends == nil {
		e.ends = map[endKey]*end{}
	}
	k := endKey{m.Upstream, m.Incarnation}
	x, known := e.ends[k]
	if !known {
		x = &end{at: at, parts: map[uint64]int{}}
		e.ends[k] = x
	}
	changed := !known || at < x.at-endInterval
	x.at = min(x.at, at)
	for _, p := range m.Parts {
		if _, ok := x.parts[p]; !ok && len(x.parts) < maxEndParts {
			x.parts[p] = len(x.parts)
			changed = true
		}
	}
	if changed {
		e.revision++
		x.revision = e.revision
	}
	if len(e.ends) > maxEnds {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(e.ends)), func(a, b endKey) int { return cmp.Compare(e.ends[a].at, e.ends[b].at) })
		delete(e.ends, oldest)
	}
	return !known
}

// storeSurvival keeps the last survival of a part. Reports of the same one differ by the time that
// they were under way. The caller holds mu.
func (e *Evidence) storeSurvival(part uint64, at time.Duration) {
	if e.survivals == nil {
		e.survivals = map[uint64]survival{}
	}
	x, known := e.survivals[part]
	if known && at < x.at+endInterval/2 || !known && at < e.dropped+endInterval/2 {
		return
	}
	e.revision++
	e.survivals[part] = survival{at: at, revision: e.revision}
	if len(e.survivals) > maxSurvivals {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(e.survivals)), func(a, b uint64) int { return cmp.Compare(e.survivals[a].at, e.survivals[b].at) })
		e.dropped = e.survivals[oldest].at
		delete(e.survivals, oldest)
	}
}

// Since returns the ends and survivals that changed after a revision, and the present revision.
func (e *Evidence) Since(revision uint64) (*schema.Findings, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	e.expire(now)
	f := &schema.Findings{}
	for k, x := range e.ends {
		if x.revision > revision {
			parts := slices.SortedFunc(maps.Keys(x.parts), func(a, b uint64) int { return cmp.Compare(x.parts[a], x.parts[b]) })
			f.Ends = append(f.Ends, &schema.UpstreamEnd{Upstream: k.upstream, Incarnation: k.incarnation, Age: (now - x.at).Seconds(), Parts: parts})
		}
	}
	slices.SortFunc(f.Ends, func(a, b *schema.UpstreamEnd) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, p := range slices.Sorted(maps.Keys(e.survivals)) {
		if x := e.survivals[p]; x.revision > revision {
			f.Survivals = append(f.Survivals, &schema.Survival{Part: p, Age: (now - x.at).Seconds()})
		}
	}
	return f, e.revision
}

// expire deletes ends and survivals that are too old. The caller holds mu.
func (e *Evidence) expire(now time.Duration) {
	maps.DeleteFunc(e.ends, func(_ endKey, x *end) bool { return now-x.at > evidenceTime })
	maps.DeleteFunc(e.survivals, func(_ uint64, x survival) bool { return now-x.at > survivalMemory })
}

// Suspects returns the parts whose survivals hosts are asked for.
func (e *Evidence) Suspects() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.suspects
}

// SetSuspects replaces the suspects by those of the leader.
func (e *Evidence) SetSuspects(parts []uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspects = parts
}

// doubt returns no reason for doubt: a control host refuses no requests.
func (e *Evidence) doubt(uint64, []uint64) ([]uint64, bool) { return nil, false }

// Decision is a change of a part's quarantine.
type Decision struct {
	Part uint64
	// Beside are the parts that prompts must also have to be refused, sorted.
	Beside []uint64
	// Released is set if the quarantine was ended before its time, Trial if one request with the part may be
	// sent; else the part was quarantined.
	Released, Trial bool
	// Ends is the number of upstreams that ended under the part.
	Ends int
	// Survived is the time since an upstream is known to have survived the part; 0 if none is.
	Survived time.Duration
}

// Decide quarantines and releases parts in g by the present evidence, and chooses the suspects. Only
// the leader calls it.
func (e *Evidence) Decide(g *Register) []Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	e.expire(now)
	if e.revision != e.decided {
		e.decided, e.changedAt = e.revision, now
	}
	var decisions []Decision
	for _, part := range g.grantTrials() {
		decisions = append(decisions, Decision{Part: part, Beside: g.Beside(part), Trial: true})
	}
	if now-e.changedAt > decideTime {
		if len(e.ends) == 0 {
			e.suspects = nil
		}
		e.suspects = addSuspects(slices.Concat(g.onTrial(), ambiguous(g)), e.suspects)
		return decisions
	}
	accused := e.accused()
	decide := func(part uint64, release bool, beside []uint64) {
		g.decide(part, release, beside...)
		d := Decision{Part: part, Beside: beside, Released: release, Ends: len(accused[part])}
		if s, ok := e.survivals[part]; ok {
			d.Survived = now - s.at
		}
		decisions = append(decisions, d)
	}
	guilty := e.guilty(accused, g, now)
	for _, x := range guilty {
		old, _ := g.lookup(x.part)
		if !old.quarantined(now) || !old.weighed {
			decide(x.part, false, x.beside)
			continue
		}
		// Neither the parts that were excluded before nor those that the present evidence excludes.
		beside := slices.DeleteFunc(slices.Clone(old.beside), func(p uint64) bool { return !slices.Contains(x.beside, p) })
		if len(beside) < len(old.beside) {
			decide(x.part, false, beside)
		}
	}
	for _, part := range g.Quarantined() {
		if slices.ContainsFunc(guilty, func(x suspicion) bool { return x.part == part }) {
			continue
		}
		x, _ := g.lookup(part)
		survived := func(p uint64) bool { s, ok := e.survivals[p]; return ok && s.at > x.decidedAt }
		beside := slices.DeleteFunc(slices.Clone(x.beside), survived)
		switch {
		case e.sufficient(accused[part], g, part, now): // another part explains its ends
			decide(part, true, nil)
		case survived(part):
			decide(part, true, nil)
			if len(beside) > 0 && !slices.ContainsFunc(beside, func(p uint64) bool { _, found := g.Find(p); return found }) {
				decide(beside[0], false, beside[1:])
			}
		case len(beside) < len(x.beside):
			decide(part, false, beside)
		}
	}
	e.chooseSuspects(accused, g)
	e.suspects = addSuspects(slices.Concat(g.onTrial(), ambiguous(g)), e.suspects)
	return decisions
}

// ambiguous returns the parts of which some crash upstreams, but which ones is open.
func ambiguous(g *Register) []uint64 {
	var all []uint64
	for _, part := range g.Quarantined() {
		if beside := g.Beside(part); len(beside) > 0 {
			all = append(append(all, part), beside...)
		}
	}
	return all
}

// addSuspects returns the first maxSuspects parts of both lists, sorted.
func addSuspects(first, second []uint64) []uint64 {
	var all []uint64
	for _, part := range slices.Concat(first, second) {
		if len(all) < maxSuspects && !slices.Contains(all, part) {
			all = append(all, part)
		}
	}
	slices.Sort(all)
	return all
}

// accused returns the ends after the last survival of each part, in order. The caller holds mu.
func (e *Evidence) accused() map[uint64][]*end {
	all := map[uint64][]*end{}
	for _, x := range e.ends {
		for part := range x.parts {
			if s, ok := e.survivals[part]; !ok || x.at > s.at {
				all[part] = append(all[part], x)
			}
		}
	}
	for _, ends := range all {
		slices.SortFunc(ends, func(a, b *end) int { return cmp.Compare(a.at, b.at) })
	}
	return all
}

// spaced returns the times of the ends that count: each is endInterval or more after the one before.
func spaced(ends []*end) []time.Duration {
	var times []time.Duration
	for _, x := range ends {
		if n := len(times); n == 0 || x.at-times[n-1] >= endInterval {
			times = append(times, x.at)
		}
	}
	return times
}

// suspicion is a part for which the evidence suffices.
type suspicion struct {
	part uint64
	// beside are the parts that explain the same ends, sorted. Refusing only prompts that have all of them
	// stops those that crash upstreams; others show which of the parts upstreams survive.
	beside []uint64
}

// guilty returns the parts for which the evidence suffices: first the one that explains most ends,
// then the one that explains most of the rest, and so on. Parts that only occurred beside a guilty one
// are not among them, but whole requests that explain just the same ends are: which of them crashed the
// upstreams is open until one more ends. Requests with the same body may have different prompts, so parts
// of the prompt are beside a whole request too. The caller holds mu.
func (e *Evidence) guilty(accused map[uint64][]*end, g *Register, now time.Duration) []suspicion {
	var found []suspicion
	explained := map[*end]bool{}
	remaining := maps.Clone(accused)
	for {
		best, bestScore := uint64(0), 0
		for part, ends := range remaining {
			ends = slices.DeleteFunc(slices.Clone(ends), func(x *end) bool { return explained[x] })
			remaining[part] = ends
			if !e.sufficient(ends, g, part, now) {
				continue
			}
			if score := e.score(part, ends); score > bestScore || score == bestScore && e.preferred(g, part, best, now) {
				best, bestScore = part, score
			}
		}
		if bestScore == 0 {
			return found
		}
		var requests, parts []uint64 // that explain just the same ends
		for part, ends := range remaining {
			switch {
			case e.survivedBefore(part) != e.survivedBefore(best) || !slices.Equal(ends, remaining[best]):
			case !isRequest(part) && (isRequest(best) || e.sufficient(ends, g, part, now)):
				parts = append(parts, part)
			case isRequest(part) && isRequest(best) && e.sufficient(ends, g, part, now):
				requests = append(requests, part)
			}
		}
		slices.Sort(parts)
		parts = slices.DeleteFunc(parts, func(part uint64) bool { return part == best })
		parts = parts[:min(len(parts), maxBeside)]
		if !isRequest(best) {
			found = append(found, suspicion{part: best, beside: parts})
		}
		for _, part := range slices.Sorted(slices.Values(requests)) {
			found = append(found, suspicion{part: part, beside: parts})
		}
		for _, x := range remaining[best] {
			explained[x] = true
		}
	}
}

// score returns the weight of ends, none of which an upstream survived, against a part. The caller holds mu.
func (e *Evidence) score(part uint64, ends []*end) int {
	if e.survivedBefore(part) && !isRequest(part) {
		return max(1, len(ends)-unrelatedEnds)
	}
	return len(ends)
}

// survivedBefore reports whether an upstream is known to have survived a part, before the ends of which it
// is accused. The caller holds mu.
func (e *Evidence) survivedBefore(part uint64) bool {
	_, ok := e.survivals[part]
	return ok
}

// preferred reports whether of two parts with the same evidence a is to be quarantined: one that no
// upstream is known to have survived, else one that is already, unless by chance, else a whole request, which
// fewer callers miss, else the part further from the beginning of prompts, which sound ones are likelier to
// share. The caller holds mu.
func (e *Evidence) preferred(g *Register, a, b uint64, now time.Duration) bool {
	if x, y := e.survivedBefore(a), e.survivedBefore(b); x != y {
		return y
	}
	decided := func(part uint64) bool { x, _ := g.lookup(part); return x.quarantined(now) && x.weighed }
	if x, y := decided(a), decided(b); x != y {
		return x
	}
	if isRequest(a) != isRequest(b) {
		return isRequest(a)
	}
	if x, y := e.position(a), e.position(b); x != y {
		return x > y
	}
	return a > b
}

// position returns the furthest position of a part in what was reported of an end. The caller holds mu.
func (e *Evidence) position(part uint64) int {
	position := 0
	for _, x := range e.ends {
		position = max(position, x.parts[part])
	}
	return position
}

// sufficient reports whether ends, in order, suffice to quarantine a part. The caller holds mu.
func (e *Evidence) sufficient(ends []*end, g *Register, part uint64, now time.Duration) bool {
	required := requiredEnds
	if x, known := g.lookup(part); known && !x.released && !x.quarantined(now) {
		required = 1 // on probation
	}
	s, survived := e.survivals[part]
	if isRequest(part) && required > 1 && (!survived || now-s.at > evidenceTime) {
		return sufficientForRequest(ends, now)
	}
	times := spaced(ends)
	return len(times) >= required && now-times[required-1] >= settleTime
}

// sufficientForRequest reports whether ends, in order, suffice to quarantine a whole request that no
// upstream is known to have survived lately.
func sufficientForRequest(ends []*end, now time.Duration) bool {
	for i := requiredEnds - 1; i < len(ends); i++ {
		if ends[i].at-ends[0].at >= minRequestSpan {
			return now-ends[i].at >= settleTime
		}
	}
	return false
}

// chooseSuspects chooses the accused parts that are not quarantined, those with most ends first. The
// caller holds mu.
func (e *Evidence) chooseSuspects(accused map[uint64][]*end, g *Register) {
	now := e.Now()
	parts := slices.DeleteFunc(slices.Collect(maps.Keys(accused)), func(part uint64) bool {
		x, _ := g.lookup(part)
		return x.quarantined(now)
	})
	slices.SortFunc(parts, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(len(accused[b]), len(accused[a])), cmp.Compare(a, b))
	})
	e.suspects = slices.Sorted(slices.Values(parts[:min(len(parts), maxSuspects)]))
}

// Reply stores the findings of a host that reports to this one, merges its register, and returns
// what it needs to know, with the ends that were not known and the parts whose quarantine changed.
func Reply(request *schema.Findings, e *Evidence, g *Register) (reply *schema.Findings, ends []*schema.UpstreamEnd, changed []uint64) {
	ends = e.Store(request)
	changed = g.Merge(request.GetQuarantined())
	reply = &schema.Findings{Suspects: e.Suspects(), Hash: g.Hash()}
	for _, part := range request.GetRefused() {
		g.RecordRefusal(part)
		if g.TakeTrial(part) {
			reply.Trials = append(reply.Trials, part)
		}
	}
	if reply.Hash != request.GetHash() {
		reply.Quarantined = g.List()
	}
	return reply, ends, changed
}
