package scheduler

import "time"

// Fraction of an engine's memory that cached parts are assumed to fill at most.
const maxCacheFraction = 0.6

// cache holds the prompt parts that an upstream is assumed to have cached: those that this
// host sent there, the least recently used evicted first.
type cache struct {
	parts  map[string]*cachedPart // by PromptPart.ID
	tokens int64                  // of all parts
}

// cachedPart is a part of the cache.
type cachedPart struct {
	tokens int64
	usedAt time.Duration
}

// countTokens returns how many tokens of a prompt of input tokens must be read and how many
// are cached. A part counts as cached only if all parts before it are.
func (c *cache) countTokens(parts []PromptPart, input int64) (uncached, cached int64) {
	for _, p := range parts {
		if c.parts[p.ID] == nil {
			break
		}
		cached += p.Tokens
	}
	return max(0, input-cached), cached
}

// add records that an upstream reads parts at time now, and evicts parts beyond the
// fraction of capacity, in tokens, that the cache may fill.
func (c *cache) add(parts []PromptPart, now time.Duration, capacity int64) {
	if len(parts) == 0 {
		return
	}
	if c.parts == nil {
		c.parts = map[string]*cachedPart{}
	}
	for _, p := range parts {
		if x := c.parts[p.ID]; x != nil {
			x.usedAt = now
			continue
		}
		c.parts[p.ID] = &cachedPart{tokens: p.Tokens, usedAt: now}
		c.tokens += p.Tokens
	}
	for c.tokens > int64(float64(capacity)*maxCacheFraction) && len(c.parts) > 1 {
		c.evict()
	}
}

func (c *cache) evict() {
	oldest := ""
	for id, x := range c.parts {
		if oldest == "" || x.usedAt < c.parts[oldest].usedAt {
			oldest = id
		}
	}
	c.tokens -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}
