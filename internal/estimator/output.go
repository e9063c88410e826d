package estimator

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Ratios of actual to estimated tokens are counted in buckets of a quarter of an octave, from 1/64 to 64. A
	// quarter of an octave is 19 %, less than the spread of the lengths of one kind of request.
	bucketsPerOctave = 4
	ratioOctaves     = 12
	ratioBuckets     = ratioOctaves * bucketsPerOctave
	// Number of samples as which the less specific level counts, so that after 16 requests of a customer its own
	// history has four fifths of the weight.
	parentWeight = 4
	// Sum of the weights that a level keeps. Earlier samples lose weight beyond it, so that a change of a
	// customer's requests shows after about as many requests.
	maxLevelWeight = 48
	// Most levels kept, at some 220 bytes: 0.9 MB of the 144 MB of the smallest host. The least recently used of
	// evictionSample random ones makes room.
	maxLevels      = 4096
	evictionSample = 8
	// Age of the last sample after which a level is not used: longer than any deployment's peak lasts.
	maxLevelAge = 10 * time.Minute
	// A customer's first samples count at the route's level, later ones at this interval.
	firstShared   = 4
	shareInterval = time.Second
	// MaxTokens is the largest number of tokens that estimates count with: beyond any engine's memory, and so small that
	// sums do not overflow.
	MaxTokens = 1 << 40
	// Length assumed if neither an estimate nor a maximum is known.
	unknownOutput = 256
	// Quantile of Output.High. One answer in ten is longer, which the memory beside it absorbs.
	highQuantile = 0.9
)

// Prior distributions of the ratio for callers of which nothing is known, log-normal. A caller's estimate is right
// at the median but often off by two. Without one, an answer has a quarter of its maximum, within a factor of 3.
const (
	hintedMedian, hintedSpread     = 0.0, 1.0 // octaves
	unhintedMedian, unhintedSpread = -2.0, 1.5
)

// Key says which earlier answers are like the one of a request.
type Key struct {
	Route, Customer string
	// Hint is the caller's estimate of the tokens of the answer, Max the largest number that it may have; 0 if
	// there is none.
	Hint, Max int64
}

// bounded returns k with numbers of tokens of at most MaxTokens.
func (k Key) bounded() Key {
	k.Hint, k.Max = min(k.Hint, MaxTokens), min(k.Max, MaxTokens)
	return k
}

// base returns the number of tokens to which the ratios relate.
func (k Key) base() float64 {
	switch {
	case k.Hint > 0 && k.Max > 0:
		return float64(min(k.Hint, k.Max))
	case k.Hint > 0:
		return float64(k.Hint)
	case k.Max > 0:
		return float64(k.Max)
	}
	return unknownOutput
}

// levels returns the hashes of the levels, the least specific one first: the route; the customer there; the
// customer's estimates of about the same size there. Requests with and without an estimate have levels of their own.
func (k Key) levels() [3]uint64 {
	class := uint64(0)
	if k.Hint > 0 {
		class = 1 + uint64(bits.Len64(uint64(k.Hint)))/2
	}
	route := xxhash.Sum64String(k.Route)*2 + min(class, 1)
	customer := mix(route, xxhash.Sum64String(k.Customer))
	return [3]uint64{route, customer, mix(customer, class)}
}

func mix(a, b uint64) uint64 { return bits.RotateLeft64(a, 23)*0x9e3779b97f4a7c15 + b }

// Output is what is known beforehand of the number of tokens of an answer.
type Output struct {
	// Mean counts for work, as it adds up; High is the quantile that counts for memory.
	Mean, Median, High float64
	// Max is the largest number that the answer may have.
	Max float64
	// Samples is the weight of the customer's own history, Age the time since its last answer; both 0 without one.
	Samples float64
	Age     time.Duration
}

// left returns how many tokens are still expected after emitted ones. An answer that is longer than expected is
// expected to reach the next of its quantiles, and then half of what it may still have.
func (o Output) left(emitted float64) float64 {
	switch {
	case emitted < o.Mean:
		return o.Mean - emitted
	case emitted < o.High:
		return o.High - emitted
	}
	return max(1, (o.Max-emitted)/2)
}

// Outputs learns the lengths of answers. The zero value is ready for use.
type Outputs struct {
	levels map[uint64]*level
}

// level is the distribution of the ratios of one route, customer or size of estimates.
type level struct {
	weights [ratioBuckets]float32
	total   float32
	usedAt  time.Duration
	// sharedAt is the time at which a sample of a customer last counted at the route's level.
	sharedAt time.Duration
}

// distribution holds the probabilities of the buckets.
type distribution [ratioBuckets]float64

var hintedPrior, unhintedPrior = logNormal(hintedMedian, hintedSpread), logNormal(unhintedMedian, unhintedSpread)

func logNormal(median, spread float64) distribution {
	var d distribution
	sum := 0.0
	for i := range d {
		x := (octavesOf(i) - median) / spread
		d[i] = math.Exp(-x * x / 2)
		sum += d[i]
	}
	for i := range d {
		d[i] /= sum
	}
	return d
}

// octavesOf returns the binary logarithm of the ratio in the middle of a bucket.
func octavesOf(i int) float64 { return (float64(i)+0.5)/bucketsPerOctave - ratioOctaves/2 }

var ratioOf = func() (r [ratioBuckets]float64) {
	for i := range r {
		r[i] = math.Exp2(octavesOf(i))
	}
	return r
}()

func bucketOf(ratio float64) int {
	return min(ratioBuckets-1, max(0, int(math.Floor((math.Log2(ratio)+ratioOctaves/2)*bucketsPerOctave))))
}

// Output estimates the tokens of an answer.
func (o *Outputs) Output(k Key, now time.Duration) Output {
	k = k.bounded()
	d := unhintedPrior
	if k.Hint > 0 {
		d = hintedPrior
	}
	out := Output{}
	for i, h := range k.levels() {
		l := o.levels[h]
		if l == nil || now-l.usedAt > maxLevelAge {
			continue
		}
		l.blend(&d)
		if i == 1 {
			out.Samples, out.Age = float64(l.total), now-l.usedAt
		}
	}
	base := k.base()
	out.Max = float64(k.Max)
	if k.Max <= 0 {
		out.Max = math.Inf(1)
	}
	cumulated := 0.0
	for i, p := range d {
		tokens := min(ratioOf[i]*base, out.Max)
		out.Mean += p * tokens
		if cumulated < 0.5 && cumulated+p >= 0.5 {
			out.Median = tokens
		}
		if cumulated += p; out.High == 0 && cumulated >= highQuantile {
			out.High = tokens
		}
	}
	if k.Max <= 0 {
		out.Max = 2 * out.High
	}
	out.Mean, out.Median, out.High = min(out.Mean, MaxTokens), min(out.Median, MaxTokens), min(out.High, MaxTokens)
	return out
}

// blend replaces d, the distribution of the less specific level, by that of this one.
func (l *level) blend(d *distribution) {
	share := 1 / (float64(l.total) + parentWeight)
	for i := range d {
		d[i] = (d[i]*parentWeight + float64(l.weights[i])) * share
	}
}

// Observe records the number of tokens of a complete answer.
func (o *Outputs) Observe(k Key, tokens int64, now time.Duration) {
	if tokens <= 0 {
		return
	}
	k = k.bounded()
	bucket := bucketOf(float64(tokens) / k.base())
	hashes := k.levels()
	customer := o.level(hashes[1], now)
	// A customer's samples count at the route's level at a bounded rate, so that one with many false estimates does
	// not decide what others are expected to need.
	route := o.level(hashes[0], now)
	if customer.total < firstShared || now-customer.sharedAt >= shareInterval {
		customer.sharedAt = now
		route.add(bucket, 1)
	}
	customer.add(bucket, 1)
	o.level(hashes[2], now).add(bucket, 1)
}

func (l *level) add(bucket int, weight float32) {
	if sum := l.total + weight; sum > maxLevelWeight {
		keep := (maxLevelWeight - weight) / l.total
		l.total = 0
		for i := range l.weights {
			l.weights[i] *= keep
			l.total += l.weights[i]
		}
	}
	l.weights[bucket] += weight
	l.total += weight
}

// level returns the level with a hash, which may be new.
func (o *Outputs) level(hash uint64, now time.Duration) *level {
	if o.levels == nil {
		o.levels = map[uint64]*level{}
	}
	l := o.levels[hash]
	if l == nil || now-l.usedAt > maxLevelAge {
		if l == nil && len(o.levels) >= maxLevels {
			o.evict()
		}
		l = &level{}
		o.levels[hash] = l
	}
	l.usedAt = now
	return l
}

func (o *Outputs) evict() {
	oldest, oldestAt, n := uint64(0), time.Duration(math.MaxInt64), 0
	for h, l := range o.levels { // in random order
		if l.usedAt < oldestAt {
			oldest, oldestAt = h, l.usedAt
		}
		if n++; n == evictionSample {
			break
		}
	}
	delete(o.levels, oldest)
}

// Len returns the number of levels kept.
func (o *Outputs) Len() int { return len(o.levels) }
