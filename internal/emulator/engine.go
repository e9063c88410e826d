package emulator

import (
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int64
}

// Job is one request at an engine.
type Job struct {
	// Parts are the prompt's parts in order.
	Parts []Part
	// Output is the answer's length in tokens.
	Output int64
	// First is called when the first token is there, End when the answer is whole.
	First, End func()
}

// Engine reads prompts one after the other between the tokens of running answers, and
// keeps what it has read until room is needed. Set the exported fields before use.
type Engine struct {
	Timer *timer.Service
	// Slots is how many requests run at once; others wait in the order of arrival.
	Slots int
	// Tokens is the memory that running requests and kept parts share.
	Tokens int64
	// Rate is prompt tokens read in a second, Step the time of one token of every answer.
	Rate float64
	Step time.Duration

	waiting []*Job
	reading []*Job
	running int
	used    int64 // tokens of running requests
	kept    []kept
	// Read counts prompt tokens read, Again those of parts that had been read here or at
	// another engine within the time that Seen remembers.
	Read, Again int64
	Seen        *Seen
	busy        bool
}

// kept is a part in memory; the least recently used is first.
type kept struct {
	id     string
	tokens int64
}

// Seen remembers when each part was last used at any engine.
type Seen struct {
	Time time.Duration
	last map[string]time.Duration
}

func (s *Seen) again(id string, now time.Duration) bool {
	at, known := s.last[id]
	return known && now-at <= s.Time
}

func (s *Seen) use(id string, now time.Duration) {
	if s.last == nil {
		s.last = map[string]time.Duration{}
	}
	s.last[id] = now
}

// Submit gives the engine a job.
func (e *Engine) Submit(j *Job) {
	e.waiting = append(e.waiting, j)
	e.admit()
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && e.running < e.Slots {
		j := e.waiting[0]
		if e.running > 0 && e.used+j.size() > e.Tokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.running++
		e.used += j.size()
		e.reading = append(e.reading, j)
	}
	e.read()
}

func (j *Job) size() int64 {
	n := j.Output
	for _, p := range j.Parts {
		n += p.Tokens
	}
	return n
}

// read begins with the next prompt, if none is being read.
func (e *Engine) read() {
	if e.busy || len(e.reading) == 0 {
		return
	}
	e.busy = true
	j := e.reading[0]
	e.reading = e.reading[1:]
	tokens := e.missing(j)
	e.Read += tokens
	e.Timer.Once(time.Duration(float64(tokens)/e.Rate*float64(time.Second))+e.Step, func() { e.begin(j) })
}

// missing returns how many of a prompt's tokens must be read, and keeps its parts.
func (e *Engine) missing(j *Job) int64 {
	now := e.Timer.Now()
	var missing int64
	for i, p := range j.Parts {
		at := slices.IndexFunc(e.kept, func(k kept) bool { return k.id == p.ID })
		if at >= 0 && missing == 0 {
			e.kept = append(slices.Delete(e.kept, at, at+1), kept{p.ID, p.Tokens})
		} else {
			missing += p.Tokens
			if i < len(j.Parts)-1 && e.Seen.again(p.ID, now) {
				e.Again += p.Tokens
			}
			if at < 0 {
				e.kept = append(e.kept, kept{p.ID, p.Tokens})
			}
		}
		e.Seen.use(p.ID, now)
	}
	e.evict()
	return missing
}

// evict forgets parts until the rest fits beside what runs.
func (e *Engine) evict() {
	sum := e.used
	for _, k := range e.kept {
		sum += k.tokens
	}
	for sum > e.Tokens && len(e.kept) > 0 {
		sum -= e.kept[0].tokens
		e.kept = e.kept[1:]
	}
}

func (e *Engine) begin(j *Job) {
	e.busy = false
	j.First()
	e.Timer.Once(time.Duration(j.Output)*e.Step, func() { e.end(j) })
	e.read()
}

func (e *Engine) end(j *Job) {
	e.running--
	e.used -= j.size()
	j.End()
	e.admit()
}
