package engine

import (
	"container/list"
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Types of cache events.
const (
	EventStored   = "stored"   // The program has Tokens cached tokens, up to PrefixHash.
	EventEvicted  = "evicted"  // The program's Tokens cached tokens were evicted to free capacity.
	EventReleased = "released" // The program's Tokens cached tokens were released by an order.
)

// CacheEvent reports a change of the prefix cache.
type CacheEvent struct {
	Seq        int64  `json:"seq"`
	Type       string `json:"type"`
	Program    string `json:"program"`
	PrefixHash string `json:"prefix_hash"`
	Tokens     int    `json:"tokens"`
}

// CachedProgram is the cache size of one program.
type CachedProgram struct {
	Program string `json:"program"`
	Tokens  int    `json:"tokens"`
}

// cachedMessage is one message of a cached prefix. Its JSON form is part of an exported cache.
type cachedMessage struct {
	Key    [16]byte
	Tokens int
}

// cacheEntry is the latest cached prefix of one program.
type cacheEntry struct {
	program  string
	messages []cachedMessage
	hash     string
	tokens   int
	pins     int // Number of running requests; a pinned entry is not evicted.
}

// cache is a prefix cache with one entry per program and a capacity in tokens. It evicts least recently used entries
// whole.
type cache struct {
	capacityTokens int
	usedTokens     int
	lru            *list.List // *cacheEntry values, most recently used first.
	entries        map[string]*list.Element
	onEvent        func(CacheEvent)
}

func newCache(capacityTokens int, onEvent func(CacheEvent)) *cache {
	return &cache{capacityTokens: capacityTokens, lru: list.New(), entries: map[string]*list.Element{}, onEvent: onEvent}
}

func (c *cache) entry(program string) *cacheEntry {
	e, ok := c.entries[program]
	if !ok {
		return nil
	}
	return e.Value.(*cacheEntry)
}

// lookup returns the number of cached prompt tokens of a program and marks its entry as recently used. The last message
// never counts as cached, since an engine must compute it to produce output.
func (c *cache) lookup(program string, messages []cachedMessage) int {
	e := c.entry(program)
	if e == nil {
		return 0
	}
	c.lru.MoveToFront(c.entries[program])
	tokens := 0
	for i, m := range messages[:max(0, len(messages)-1)] {
		if i >= len(e.messages) || e.messages[i].Key != m.Key {
			break
		}
		tokens += e.messages[i].Tokens
	}
	return tokens
}

// pin protects the entry of a program from eviction. It reports whether the entry exists.
func (c *cache) pin(program string) bool {
	e := c.entry(program)
	if e != nil {
		e.pins++
	}
	return e != nil
}

// unpin reverses pin. It does nothing when an order released the entry in the meantime.
func (c *cache) unpin(program string) {
	if e := c.entry(program); e != nil {
		e.pins = max(0, e.pins-1)
	}
}

// store replaces the entry of a program by a prefix. Messages at the end that do not fit beside pinned entries are
// omitted.
func (c *cache) store(program string, p *prefix) {
	n := c.storeMessages(program, p.cacheMessages)
	if n > 0 {
		c.entry(program).hash = p.hashFirst(n)
		c.emitEvent(EventStored, c.entry(program))
	}
}

// storeMessages replaces the entry of a program and returns the number of messages that fit.
func (c *cache) storeMessages(program string, messages []cachedMessage) int {
	if program == "" || len(messages) == 0 {
		return 0
	}
	pins := 0
	if old := c.entry(program); old != nil {
		pins = old.pins
		c.remove(program)
	}
	requiredTokens := 0
	for _, m := range messages {
		requiredTokens += m.Tokens
	}
	c.makeRoom(requiredTokens)
	storedCount, storedTokens := 0, 0
	for storedCount < len(messages) && c.usedTokens+storedTokens+messages[storedCount].Tokens <= c.capacityTokens {
		storedTokens += messages[storedCount].Tokens
		storedCount++
	}
	if storedCount == 0 {
		return 0
	}
	e := &cacheEntry{program: program, messages: slices.Clone(messages[:storedCount]), tokens: storedTokens, pins: pins}
	c.entries[program] = c.lru.PushFront(e)
	c.usedTokens += storedTokens
	return storedCount
}

func (c *cache) makeRoom(requiredTokens int) {
	for e := c.lru.Back(); e != nil && c.usedTokens+requiredTokens > c.capacityTokens; {
		entry, next := e.Value.(*cacheEntry), e.Prev()
		if entry.pins == 0 {
			c.remove(entry.program)
			c.emitEvent(EventEvicted, entry)
		}
		e = next
	}
}

// release removes the entry of a program and reports whether it existed.
func (c *cache) release(program string) bool {
	e := c.entry(program)
	if e == nil {
		return false
	}
	c.remove(program)
	c.emitEvent(EventReleased, e)
	return true
}

func (c *cache) evictAll() {
	for _, p := range c.cachedPrograms() {
		e := c.entry(p.Program)
		c.remove(p.Program)
		c.emitEvent(EventEvicted, e)
	}
}

func (c *cache) remove(program string) {
	e := c.entries[program]
	c.usedTokens -= e.Value.(*cacheEntry).tokens
	c.lru.Remove(e)
	delete(c.entries, program)
}

func (c *cache) emitEvent(eventType string, e *cacheEntry) {
	c.onEvent(CacheEvent{Type: eventType, Program: e.program, PrefixHash: e.hash, Tokens: e.tokens})
}

func (c *cache) cachedPrograms() []CachedProgram {
	programs := make([]CachedProgram, 0, len(c.entries))
	for program, e := range c.entries {
		programs = append(programs, CachedProgram{Program: program, Tokens: e.Value.(*cacheEntry).tokens})
	}
	slices.SortFunc(programs, func(a, b CachedProgram) int { return strings.Compare(a.Program, b.Program) })
	return programs
}

// exportHeader is the header of an exported cache. The header is followed by zero bytes in proportion to the token
// count.
type exportHeader struct {
	Hash     string          `json:"hash"`
	Messages []cachedMessage `json:"messages"`
}

// errInvalidExport is returned when an imported body does not have the format that export writes.
var errInvalidExport = errors.New("the body is not an exported KV cache")

func (c *cache) export(program string, bytesPerToken int) ([]byte, int, bool) {
	e := c.entry(program)
	if e == nil {
		return nil, 0, false
	}
	header, err := json.Marshal(exportHeader{Hash: e.hash, Messages: e.messages})
	if err != nil {
		return nil, 0, false
	}
	body := binary.BigEndian.AppendUint32(nil, uint32(len(header)))
	body = append(body, header...)
	return append(body, make([]byte, e.tokens*bytesPerToken)...), e.tokens, true
}

func (c *cache) importPrefix(program string, body []byte, bytesPerToken int) (int, error) {
	if len(body) < 4 {
		return 0, errInvalidExport
	}
	headerSize := int64(binary.BigEndian.Uint32(body))
	if int64(len(body)-4) < headerSize {
		return 0, errInvalidExport
	}
	var header exportHeader
	if err := json.Unmarshal(body[4:4+headerSize], &header); err != nil {
		return 0, errInvalidExport
	}
	tokens := 0
	for _, m := range header.Messages {
		tokens += m.Tokens
	}
	// A body that was truncated in transit must not count as cache.
	if int64(len(body)) != 4+headerSize+int64(tokens)*int64(bytesPerToken) {
		return 0, errInvalidExport
	}
	if c.storeMessages(program, header.Messages) == 0 {
		return 0, nil
	}
	e := c.entry(program)
	e.hash = header.Hash
	c.emitEvent(EventStored, e)
	return e.tokens, nil
}
