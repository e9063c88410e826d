package emulator

import (
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// prefillChunk is the number of prompt tokens that a BatchEngine reads between two steps.
const prefillChunk = 512

// BatchEngine is a simulated inference engine that runs a batch of requests in steps: each step produces a token
// for every request whose prompt has been read, and reads a chunk of a prompt. The more requests run, the longer a step
// takes. Running requests hold their shared parts once; if memory runs out, the newest is preempted and its tokens are read
// again. Set the exported fields before use. A BatchEngine is not safe for concurrent use.
type BatchEngine struct {
	Timer        *timer.Service
	Slots        int
	MemoryTokens int64
	// ReadTokensPerSecond is the speed of reading prompts. A step takes StepTime, and StepPerRunning for each
	// request in it.
	ReadTokensPerSecond      float64
	StepTime, StepPerRunning time.Duration
	// Stride is the number of tokens of an event.
	Stride int64
	// Slowdown returns by how much the engine is slower now. Nil: 1.
	Slowdown func() float64

	waiting []*batchJob // without a slot, in order of arrival
	running []*batchJob // in order of admission
	cache   []cachedPart
	active  bool // a step is under way
	// MaxWaiting is the largest number of requests that had no slot at the beginning of a step, Preempted counts preemptions and ReadTokens the
	// prompt tokens that were read.
	MaxWaiting, Preempted int
	ReadTokens            int64
}

// BatchJob is one request to a BatchEngine.
type BatchJob struct {
	Parts        []PromptPart
	OutputTokens int64
	// OnEvent is called for each event with its number of tokens, OnEnd after the last one.
	OnEvent func(tokens int64)
	OnEnd   func()
}

type batchJob struct {
	*BatchJob
	prompt                int64 // tokens of the parts
	unread, emitted, sent int64
}

// Submit adds a request, which gets a slot when one is free and its prompt fits into memory.
func (e *BatchEngine) Submit(j *BatchJob) {
	b := &batchJob{BatchJob: j}
	for _, p := range j.Parts {
		b.prompt += p.Tokens
	}
	e.waiting = append(e.waiting, b)
	if !e.active {
		e.step()
	}
}

// held returns the tokens that running requests hold, and extra if it is not nil.
func (e *BatchEngine) held(extra *batchJob) int64 {
	n, seen := int64(0), map[string]bool{}
	add := func(j *batchJob) {
		for i, p := range j.Parts {
			if i == len(j.Parts)-1 || !seen[p.ID] {
				n += p.Tokens
			}
			seen[p.ID] = true
		}
		n += j.emitted
	}
	for _, j := range e.running {
		add(j)
	}
	if extra != nil {
		add(extra)
	}
	return n
}

// surelyFits reports whether the running requests fit into memory even if they share nothing.
func (e *BatchEngine) surelyFits() bool {
	n := int64(0)
	for _, j := range e.running {
		n += j.prompt + j.emitted
	}
	return n <= e.MemoryTokens
}

func (e *BatchEngine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		j := e.waiting[0]
		held := e.held(j)
		if len(e.running) > 0 && held > e.MemoryTokens {
			return
		}
		e.waiting = e.waiting[1:]
		j.unread = e.uncached(j, held) + j.emitted
		e.ReadTokens += j.unread
		e.running = append(e.running, j)
	}
}

// uncached returns the tokens of a prompt that must be read, and caches its shared parts beside held tokens.
func (e *BatchEngine) uncached(j *batchJob, held int64) int64 {
	last := len(j.Parts) - 1
	n := j.Parts[last].Tokens
	missed := false
	for _, p := range j.Parts[:last] {
		at := slices.IndexFunc(e.cache, func(k cachedPart) bool { return k.id == p.ID })
		if missed = missed || at < 0; missed {
			n += p.Tokens
		}
		if at >= 0 {
			e.cache = slices.Delete(e.cache, at, at+1)
		}
		e.cache = append(e.cache, cachedPart{p.ID, p.Tokens})
	}
	cached := int64(0)
	for _, k := range e.cache {
		cached += k.tokens
	}
	for len(e.cache) > 0 && cached > max(0, e.MemoryTokens-held) {
		cached -= e.cache[0].tokens
		e.cache = e.cache[1:]
	}
	return n
}

// step runs one step and the ones after it, until nothing runs.
func (e *BatchEngine) step() {
	e.admit()
	e.MaxWaiting = max(e.MaxWaiting, len(e.waiting))
	e.active = len(e.running) > 0
	if !e.active {
		return
	}
	var reading *batchJob
	var batch []*batchJob
	for _, j := range e.running {
		if j.unread == 0 {
			batch = append(batch, j)
		} else if reading == nil {
			reading = j
		}
	}
	d := e.StepTime + time.Duration(len(batch))*e.StepPerRunning
	chunk := int64(0)
	if reading != nil {
		chunk = min(reading.unread, prefillChunk)
		d += time.Duration(float64(chunk) / e.ReadTokensPerSecond * float64(time.Second))
	}
	if e.Slowdown != nil {
		d = time.Duration(float64(d) * e.Slowdown())
	}
	e.Timer.Once(d, func() {
		if reading != nil {
			reading.unread -= chunk
		}
		for _, j := range batch {
			e.emit(j)
		}
		e.preempt()
		e.step()
	})
}

func (e *BatchEngine) emit(j *batchJob) {
	j.emitted++
	if n := j.emitted - j.sent; n == max(1, e.Stride) || j.emitted == j.OutputTokens {
		j.sent = j.emitted
		j.OnEvent(n)
	}
	if j.emitted >= j.OutputTokens {
		e.running = slices.DeleteFunc(e.running, func(k *batchJob) bool { return k == j })
		j.OnEnd()
	}
}

// preempt removes the newest requests until the others fit into memory.
func (e *BatchEngine) preempt() {
	for len(e.running) > 1 && !e.surelyFits() && e.held(nil) > e.MemoryTokens {
		j := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		e.waiting = slices.Insert(e.waiting, 0, j)
		e.Preempted++
	}
}
