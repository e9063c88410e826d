package estimator

import (
	"math"
	"time"
)

const (
	// Prior of an engine of which nothing is known, in a pool of which nothing is known.
	priorPrefillPerToken = time.Second / 40_000
	priorStepBase        = 6 * time.Millisecond
	priorStepSlope       = 30 * time.Microsecond // for each running request
	// Weight of the prior in the fit of the step time, in samples at each of two batch sizes. It decides how much of
	// the time depends on the batch as long as all samples are from batches of one size.
	priorStepWeight = 1
	priorBatch      = 8
	// Factor by which earlier samples of step times lose weight with each sample, so that some 64 events count. One
	// host gets about five events a second from each engine.
	stepRetention = 1 - 1.0/64
	// Weight that the samples from before a lasting change of the speed keep.
	changeRetention = 1.0 / 8
	// Fraction of the prefill times that are below the learned one. Waits that this host cannot know of make the
	// samples longer, never shorter.
	prefillQuantile = 0.4
	// Steps by which the learned prefill time follows a sample, as a fraction of its value: the first samples of a
	// process, and later ones.
	prefillFirstStep, prefillStep = 0.3, 0.06
	prefillFirstSamples           = 8
	// Prompts shorter than this say little about the speed, since the wait for the current step is as long.
	minPrefillSample = 256
	// Bounds of the learned prefill time relative to the prior.
	minPrefillFactor, maxPrefillFactor = 0.1, 10
	// Ratio of the present step time to the learned one from which an engine is in a slow spell. Prefill chunks of
	// other requests lengthen single steps by as much.
	spellRatio = 1.8
	// Engines slow down for half a second at a time. One that is slow for twice as long has become slower: then its
	// samples count.
	spellDuration, maxSpellDuration = 500 * time.Millisecond, time.Second
	// Time over which the present step time is averaged.
	spellWindow = 100 * time.Millisecond
	// An event is overdue after this multiple of the time in which it was expected.
	overdueFactor = 4
)

// Speed is the speed of one engine's process. The zero value stands for one of which nothing is known.
type Speed struct {
	// Pool is the speed of the pool's processes together, from which a new one starts. Nil: the constant prior.
	Pool *Speed

	prefill        float64 // seconds per token; 0 before the first sample
	prefillSamples int
	// Weighted sums over samples of step times: the weights, batch sizes, their squares, times and products.
	n, b, bb, t, bt float64
	base, slope     float64 // seconds; of the fit; 0 before the first sample
	// ratio is the average over spellWindow of the present step time relative to the learned one.
	ratio                float64
	ratioAt, slowSince   time.Duration
	slow                 bool
	eventAt, eventWithin time.Duration // time of the last event of any request, and the time in which the next one is expected
}

// prefillPerToken returns the seconds in which the process reads a token.
func (v *Speed) prefillPerToken() float64 {
	switch {
	case v == nil:
		return priorPrefillPerToken.Seconds()
	case v.prefill > 0:
		return v.prefill
	}
	return v.Pool.prefillPerToken()
}

// fit returns the step time in seconds without other requests, and what each running one adds.
func (v *Speed) fit() (base, slope float64) {
	switch {
	case v == nil:
		return priorStepBase.Seconds(), priorStepSlope.Seconds()
	case v.base > 0:
		return v.base, v.slope
	}
	return v.Pool.fit()
}

// Step returns the time of a step while a number of requests run.
func (v *Speed) Step(batch int) time.Duration { return seconds(v.step(float64(batch))) }

func (v *Speed) step(batch float64) float64 {
	base, slope := v.fit()
	return base + slope*batch
}

// Prefill returns the time in which the process reads tokens of prompts.
func (v *Speed) Prefill(tokens int64) time.Duration {
	return seconds(v.prefillPerToken() * float64(tokens))
}

// observeStep records that steps of a request took d while a number of requests ran.
func (v *Speed) observeStep(d time.Duration, steps float64, batch int, now time.Duration) {
	if d <= 0 || steps <= 0 {
		return
	}
	t, b := d.Seconds()/steps, float64(batch)
	v.observeRatio(t/v.step(b), d, now)
	v.eventAt, v.eventWithin = now, seconds(v.step(b)*steps)
	if v.slow {
		if now-v.slowSince < maxSpellDuration {
			return
		}
		// It has become slower.
		v.n, v.b, v.bb, v.t, v.bt = v.n*changeRetention, v.b*changeRetention, v.bb*changeRetention, v.t*changeRetention, v.bt*changeRetention
		v.slow, v.ratio = false, 1
	}
	v.n, v.b, v.bb, v.t, v.bt = v.n*stepRetention+1, v.b*stepRetention+b, v.bb*stepRetention+b*b, v.t*stepRetention+t, v.bt*stepRetention+b*t
	v.solve()
	if v.Pool != nil {
		v.Pool.observeStep(d, steps, batch, now)
	}
}

// solve fits the step time to the samples. Further samples at batch sizes 0 and priorBatch are those of the prior,
// times what this process is slower than it.
func (v *Speed) solve() {
	base, slope := v.Pool.fit()
	scale := v.t / (v.n*base + v.b*slope)
	base, slope = base*scale, slope*scale
	const w = priorStepWeight
	n, b, bb := v.n+2*w, v.b+w*priorBatch, v.bb+w*priorBatch*priorBatch
	t, bt := v.t+w*(2*base+slope*priorBatch), v.bt+w*priorBatch*(base+slope*priorBatch)
	v.slope = max(0, (n*bt-b*t)/(n*bb-b*b))
	v.base = max(1e-5, (t-v.slope*b)/n)
}

func (v *Speed) observeRatio(ratio float64, d, now time.Duration) {
	if v.ratio == 0 {
		v.ratio = 1
	}
	v.ratio += min(1, d.Seconds()/spellWindow.Seconds()) * (ratio - v.ratio)
	v.ratioAt = now
	switch {
	case v.ratio < spellRatio:
		v.slow = false
	case !v.slow:
		v.slow, v.slowSince = true, now-d
	}
}

// observePrefill records that the first event came d after the reservation, of which the steps of the answer and
// the wait for the present one took other, while tokens had to be read.
func (v *Speed) observePrefill(d, other time.Duration, tokens int64, now time.Duration) {
	if tokens < minPrefillSample || v.slow && now-v.slowSince < maxSpellDuration {
		return
	}
	sample := max(0, (d-other).Seconds()) / float64(tokens)
	if v.prefill == 0 {
		v.prefill = v.prefillPerToken()
	}
	size := prefillStep
	if v.prefillSamples < prefillFirstSamples {
		size = prefillFirstStep
	}
	v.prefillSamples++
	step := size * (1 - prefillQuantile)
	switch {
	case sample < v.prefill:
		step = size * prefillQuantile
		v.prefill = max(sample, v.prefill*(1-step))
	default:
		v.prefill = min(sample, v.prefill*(1+step))
	}
	prior := priorPrefillPerToken.Seconds()
	v.prefill = max(prior*minPrefillFactor, min(v.prefill, prior*maxPrefillFactor))
	if v.Pool != nil {
		v.Pool.observePrefill(d, other, tokens, now)
	}
}

// slowdown returns by how much the process is slower now than it usually is, at least 1, and how long that is
// expected to last. decoding says that events of this host's requests are due.
func (v *Speed) slowdown(decoding bool, now time.Duration) (factor float64, left time.Duration) {
	if decoding && v.eventAt > 0 && now-v.eventAt > overdueFactor*v.eventWithin {
		silent := now - v.eventAt
		return silent.Seconds() / v.eventWithin.Seconds(), max(spellDuration-silent, spellDuration/4)
	}
	if !v.slow {
		return 1, 0
	}
	if now-v.ratioAt > spellDuration {
		return 1, 0 // nothing has been seen of it since, and the spell has passed
	}
	return v.ratio, max(spellDuration-(now-v.slowSince), spellDuration/10)
}

// stretch returns how long work takes that usually takes d, if the process is slower by a factor for a time.
func stretch(d time.Duration, factor float64, left time.Duration) time.Duration {
	if factor <= 1 {
		return d
	}
	slow := min(d.Seconds()*factor, left.Seconds())
	return seconds(slow + d.Seconds() - slow/factor)
}

// seconds converts a number of seconds that is at most some days.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(math.Max(s, 0), 1e6) * float64(time.Second))
}
