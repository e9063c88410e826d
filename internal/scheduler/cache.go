package scheduler

import "time"

// Part of an engine's memory that cached parts are assumed to keep.
const cachePart = 0.6

// cache is the prompt parts that an upstream is thought to hold: those that this host sent
// there, the least recently used forgotten first.
type cache struct {
	parts  map[string]*cached
	tokens int64
}

type cached struct {
	tokens int64
	used   time.Duration
}

// missing returns how many of a prompt's tokens must be read and how many are cached. A
// part counts as cached only if all parts before it are.
func (c *cache) missing(parts []Part, input int64) (uncached, held int64) {
	for _, p := range parts {
		if c.parts[p.ID] == nil {
			break
		}
		held += p.Tokens
	}
	return max(0, input-held), held
}

// add notes that an upstream reads parts.
func (c *cache) add(parts []Part, now time.Duration, capacity int64) {
	if len(parts) == 0 {
		return
	}
	if c.parts == nil {
		c.parts = map[string]*cached{}
	}
	for _, p := range parts {
		if x := c.parts[p.ID]; x != nil {
			x.used = now
			continue
		}
		c.parts[p.ID] = &cached{tokens: p.Tokens, used: now}
		c.tokens += p.Tokens
	}
	for c.tokens > int64(float64(capacity)*cachePart) && len(c.parts) > 1 {
		c.evict()
	}
}

func (c *cache) evict() {
	oldest := ""
	for id, x := range c.parts {
		if oldest == "" || x.used < c.parts[oldest].used {
			oldest = id
		}
	}
	c.tokens -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}
