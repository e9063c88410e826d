package emulator

import (
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// PromptPart is a segment of a prompt. Prompts that begin with the same parts share the
// cache entries of these parts.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Job is one request to an engine.
type Job struct {
	// Parts are the segments of the prompt in order; only the last one is not shared with
	// other jobs.
	Parts []PromptPart
	// OutputTokens is the length of the answer.
	OutputTokens int64
	// OnFirstToken is called when the first token is produced, OnEnd when the answer is
	// complete.
	OnFirstToken, OnEnd func()
}

// Engine is a simulated inference engine. It reads one prompt at a time while it produces
// answers to others, and caches the parts that it has read until it needs their memory. Set
// the exported fields before use. An Engine is not safe for concurrent use.
type Engine struct {
	Timer *timer.Service
	// Slots is the number of requests that run at once; others wait in order of arrival.
	Slots int
	// MemoryTokens is the memory that running requests and cached parts share.
	MemoryTokens int64
	// ReadTokensPerSecond is the speed of reading prompts. StepTime is the time for one
	// token of an answer, however many answers are running.
	ReadTokensPerSecond float64
	StepTime            time.Duration

	waiting       []*Job       // without a slot
	unread        []*Job       // with a slot, but the prompt is not yet being read
	running       int          // jobs that hold a slot
	runningTokens int64        // prompt and output tokens of the jobs that hold a slot
	cache         []cachedPart // least recently used first
	// ReadTokens counts the prompt tokens that were read. RereadTokens counts those of
	// shared parts that this or another engine had used within the window of History.
	ReadTokens, RereadTokens int64
	History                  *History
	readActive               bool // a prompt is being read
}

// cachedPart is a prompt part in memory.
type cachedPart struct {
	id     string
	tokens int64
}

// History records when each part was last used at any engine. Engines share one.
type History struct {
	// Window is the time after its last use for which a part counts as recently used.
	Window     time.Duration
	lastUsedAt map[string]time.Duration
}

func (h *History) usedRecently(id string, now time.Duration) bool {
	at, known := h.lastUsedAt[id]
	return known && now-at <= h.Window
}

func (h *History) recordUse(id string, now time.Duration) {
	if h.lastUsedAt == nil {
		h.lastUsedAt = map[string]time.Duration{}
	}
	h.lastUsedAt[id] = now
}

// Submit adds a job, which gets a slot when one is free and its tokens fit into memory beside
// the running jobs. A job that is larger than the memory runs alone.
func (e *Engine) Submit(j *Job) {
	e.waiting = append(e.waiting, j)
	e.admit()
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && e.running < e.Slots {
		j := e.waiting[0]
		if e.running > 0 && e.runningTokens+j.tokens() > e.MemoryTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.running++
		e.runningTokens += j.tokens()
		e.unread = append(e.unread, j)
	}
	e.startRead()
}

func (j *Job) tokens() int64 {
	n := j.OutputTokens
	for _, p := range j.Parts {
		n += p.Tokens
	}
	return n
}

// startRead starts to read the next prompt unless the engine is already reading one.
func (e *Engine) startRead() {
	if e.readActive || len(e.unread) == 0 {
		return
	}
	e.readActive = true
	j := e.unread[0]
	e.unread = e.unread[1:]
	tokens := e.cacheParts(j)
	e.ReadTokens += tokens
	e.Timer.Once(time.Duration(float64(tokens)/e.ReadTokensPerSecond*float64(time.Second))+e.StepTime, func() { e.finishRead(j) })
}

// cacheParts returns how many of a prompt's tokens must be read, and caches all its parts.
// A part counts as cached only if all parts before it are.
func (e *Engine) cacheParts(j *Job) int64 {
	now := e.Timer.Now()
	var uncachedTokens int64
	for i, p := range j.Parts {
		at := slices.IndexFunc(e.cache, func(k cachedPart) bool { return k.id == p.ID })
		if at >= 0 && uncachedTokens == 0 {
			e.cache = append(slices.Delete(e.cache, at, at+1), cachedPart{p.ID, p.Tokens})
		} else {
			uncachedTokens += p.Tokens
			if i < len(j.Parts)-1 && e.History.usedRecently(p.ID, now) {
				e.RereadTokens += p.Tokens
			}
			if at < 0 {
				e.cache = append(e.cache, cachedPart{p.ID, p.Tokens})
			}
		}
		e.History.recordUse(p.ID, now)
	}
	e.evict()
	return uncachedTokens
}

// evict removes the least recently used parts until the others fit into memory beside the
// running jobs.
func (e *Engine) evict() {
	usedTokens := e.runningTokens
	for _, k := range e.cache {
		usedTokens += k.tokens
	}
	for usedTokens > e.MemoryTokens && len(e.cache) > 0 {
		usedTokens -= e.cache[0].tokens
		e.cache = e.cache[1:]
	}
}

func (e *Engine) finishRead(j *Job) {
	e.readActive = false
	j.OnFirstToken()
	e.Timer.Once(time.Duration(j.OutputTokens)*e.StepTime, func() { e.finish(j) })
	e.startRead()
}

func (e *Engine) finish(j *Job) {
	e.running--
	e.runningTokens -= j.tokens()
	j.OnEnd()
	e.admit()
}
