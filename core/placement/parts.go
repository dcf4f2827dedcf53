package placement

import "time"

// maxPrefixes is the maximum number of prompt prefixes cached per upstream. The least recently used ones are evicted.
const maxPrefixes = 2048

// prefixCache records which prompt prefixes an engine has processed. A part is reusable only after the same preceding
// parts, so each entry is the hash of a whole prefix.
type prefixCache struct {
	lastUsed map[uint64]time.Time
}

// affinityTokens is the weight of an object that an upstream has recently handled, in prompt tokens. At the default prefill
// speed it is 10 ms, half of the work of a request to a plain service in the users' deployments. An upstream that is busy is
// not preferred for it.
const affinityTokens = 2000

// WithAffinity returns the prompt parts by which a request is placed. A request without a prompt that concerns an object is
// placed like one whose prompt is that object.
func WithAffinity(parts []PromptPart, key string) []PromptPart {
	if len(parts) > 0 || key == "" {
		return parts
	}
	return []PromptPart{{ID: "object " + key, Tokens: affinityTokens}}
}

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

func appendHash(h uint64, id string) uint64 {
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * fnvPrime
	}
	return (h ^ ',') * fnvPrime
}

// appendPrefixHashes appends the hash of each prefix of a prompt to hashes.
func appendPrefixHashes(hashes []uint64, parts []PromptPart) []uint64 {
	h := uint64(fnvOffset)
	for _, p := range parts {
		h = appendHash(h, p.ID)
		hashes = append(hashes, h)
	}
	return hashes
}

// missingTokens returns the number of prompt tokens after the longest cached prefix. It checks the longest prefix first,
// since most prompts extend one that the engine has processed.
func (c *prefixCache) missingTokens(parts []PromptPart, hashes []uint64) int64 {
	var tokens int64
	for i := len(parts) - 1; i >= 0; i-- {
		if _, ok := c.lastUsed[hashes[i]]; ok {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

func (c *prefixCache) add(now time.Time, parts []PromptPart) {
	if c.lastUsed == nil {
		c.lastUsed = map[uint64]time.Time{}
	}
	for _, h := range appendPrefixHashes(nil, parts) {
		c.lastUsed[h] = now
	}
	if len(c.lastUsed) > maxPrefixes {
		c.evictOlderHalf(now)
	}
}

// evictOlderHalf evicts about the older half of the entries. It finds the age limit by bisection.
func (c *prefixCache) evictOlderHalf(now time.Time) {
	var oldestAge time.Duration
	for _, usedAt := range c.lastUsed {
		oldestAge = max(oldestAge, now.Sub(usedAt))
	}
	for maxAge := oldestAge / 2; len(c.lastUsed) > maxPrefixes/2 && maxAge > time.Millisecond; maxAge /= 2 {
		for h, usedAt := range c.lastUsed {
			if now.Sub(usedAt) > maxAge {
				delete(c.lastUsed, h)
			}
		}
	}
}
