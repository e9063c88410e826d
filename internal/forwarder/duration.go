package forwarder

import (
	"maps"
	"sync"
	"time"
)

const (
	// Durations count for durationSpans spans of time.
	durationSpan  = 10 * time.Second
	durationSpans = 6
	// Smallest number of requests that bounds those to come.
	minDurationSamples = 8
	// Largest number of routes whose durations are kept.
	maxDurationRoutes = 4096
)

// durationHistory holds the longest durations of each route's recent requests, as ratios of an estimate.
type durationHistory struct {
	mu     sync.Mutex
	routes map[string]*routeDurations // guarded by mu
}

// routeDurations holds the durations of one route, by the span of time in which they ended.
type routeDurations [durationSpans]struct {
	span    int64
	samples int
	slowest float64
}

func spanOf(now time.Duration) int64 { return int64(now / durationSpan) }

// count returns the number of samples that are not too old, and the largest.
func (d *routeDurations) count(now time.Duration) (samples int, slowest float64) {
	for _, s := range d {
		if s.span > spanOf(now)-durationSpans {
			samples += s.samples
			slowest = max(slowest, s.slowest)
		}
	}
	return samples, slowest
}

func (h *durationHistory) record(route string, ratio float64, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.routes == nil {
		h.routes = map[string]*routeDurations{}
	}
	d := h.routes[route]
	if d == nil {
		if len(h.routes) >= maxDurationRoutes {
			maps.DeleteFunc(h.routes, func(_ string, d *routeDurations) bool { n, _ := d.count(now); return n == 0 })
		}
		if len(h.routes) >= maxDurationRoutes {
			return // such a route bounds its requests by their deadlines
		}
		d = &routeDurations{}
		h.routes[route] = d
	}
	s := &d[spanOf(now)%durationSpans]
	if s.span != spanOf(now) {
		s.span, s.samples, s.slowest = spanOf(now), 0, 0
	}
	s.samples++
	s.slowest = max(s.slowest, ratio)
}

// slowest returns the largest recent ratio of a route, and whether there are enough of them.
func (h *durationHistory) slowest(route string, now time.Duration) (ratio float64, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.routes[route]
	if d == nil {
		return 0, false
	}
	samples, ratio := d.count(now)
	return ratio, samples >= minDurationSamples
}
