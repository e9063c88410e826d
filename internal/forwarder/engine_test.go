package forwarder

import (
	"slices"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// Speeds of the engines in docs/design/plan.md. How much longer a step takes in a full batch
// is an assumption.
const (
	prefillPerSecond = 32_400
	chunkTokens      = 512
	stepTime         = 6120 * time.Microsecond
	fullStepFactor   = 2
)

// batchEngine is a simulated engine that prefills prompts in chunks between the steps of other requests, so that either
// holds up the other, and whose steps take longer the more requests run.
type batchEngine struct {
	timer   *timer.Service
	slots   int
	tokens  int64       // memory
	waiting []*batchJob // without a slot
	unread  []*batchJob // the first one is being prefilled
	running []*batchJob // they get a token in each step
	cached  []string    // shared prefixes, least recently used first
	active  bool
	// read counts the prompt tokens that were prefilled, again those of shared prefixes.
	read, again int64
}

type batchJob struct {
	prefix         string
	shared, own    int64
	left           int64 // tokens to prefill, then to produce
	output         int64
	onFirst, onEnd func()
}

func (e *batchEngine) submit(j *batchJob) {
	e.waiting = append(e.waiting, j)
	e.admit()
	if !e.active {
		e.active = true
		e.step()
	}
}

func (e *batchEngine) admit() {
	for len(e.waiting) > 0 && len(e.unread)+len(e.running) < e.slots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.left = j.own
		if at := slices.Index(e.cached, j.prefix); at >= 0 {
			e.cached = append(slices.Delete(e.cached, at, at+1), j.prefix)
		} else {
			j.left += j.shared
			e.again += j.shared
			e.cached = append(e.cached, j.prefix)
			// Half of the memory is left for shared prefixes.
			if most := max(1, int(e.tokens/2/max(1, j.shared))); len(e.cached) > most && j.shared > chunkTokens {
				e.cached = e.cached[len(e.cached)-most:]
			}
		}
		e.read += j.left
		e.unread = append(e.unread, j)
	}
}

// step prefills one chunk and makes one token of each running request.
func (e *batchEngine) step() {
	duration := time.Duration(0)
	var prefilled *batchJob
	if len(e.unread) > 0 {
		j := e.unread[0]
		chunk := min(chunkTokens, j.left)
		j.left -= chunk
		duration += time.Duration(float64(chunk) / prefillPerSecond * float64(time.Second))
		if j.left == 0 {
			e.unread = e.unread[1:]
			prefilled = j
		}
	}
	if n := len(e.running); n > 0 || prefilled != nil {
		duration += time.Duration(float64(stepTime) * (1 + float64(n)*(fullStepFactor-1)/float64(e.slots)))
	}
	e.timer.Once(duration, func() {
		e.running = slices.DeleteFunc(e.running, func(j *batchJob) bool {
			j.left--
			if j.left == 0 {
				j.onEnd()
			}
			return j.left == 0
		})
		if prefilled != nil {
			prefilled.onFirst()
			if prefilled.left = prefilled.output - 1; prefilled.left == 0 {
				prefilled.onEnd()
			} else {
				e.running = append(e.running, prefilled)
			}
		}
		e.admit()
		if e.active = len(e.unread)+len(e.running) > 0; e.active {
			e.step()
		}
	})
}
