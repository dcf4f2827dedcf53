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
	EventStored   = "stored"   // The program now has Tokens tokens up to PrefixHash.
	EventEvicted  = "evicted"  // The program's Tokens tokens up to PrefixHash gave way to others.
	EventReleased = "released" // As evicted, by an order.
)

// CacheEvent is a change of the prefix cache.
type CacheEvent struct {
	Seq        int64  `json:"seq"`
	Type       string `json:"type"`
	Program    string `json:"program"`
	PrefixHash string `json:"prefix_hash"`
	Tokens     int    `json:"tokens"`
}

// CachedProgram is the cache of one program.
type CachedProgram struct {
	Program string `json:"program"`
	Tokens  int    `json:"tokens"`
}

// cachedMessage is one message of a cached prefix.
type cachedMessage struct {
	Key    [16]byte
	Tokens int
}

// cacheEntry is the newest prefix of one program.
type cacheEntry struct {
	program  string
	messages []cachedMessage
	hash     string
	tokens   int
	pins     int // Running requests; a pinned entry is not evicted.
}

// cache is a prefix cache by program with a bound in tokens. The least recently used program gives way as a whole.
type cache struct {
	capacity int
	used     int
	order    *list.List // Of *cacheEntry, most recently used first.
	entries  map[string]*list.Element
	emit     func(CacheEvent)
}

func newCache(capacity int, emit func(CacheEvent)) *cache {
	return &cache{capacity: capacity, order: list.New(), entries: map[string]*list.Element{}, emit: emit}
}

func (c *cache) entry(program string) *cacheEntry {
	e, ok := c.entries[program]
	if !ok {
		return nil
	}
	return e.Value.(*cacheEntry)
}

// lookup returns how many prompt tokens of a program are cached and marks them as used. At least the last message is
// always computed, since an engine needs its output.
func (c *cache) lookup(program string, chain []cachedMessage) int {
	e := c.entry(program)
	if e == nil {
		return 0
	}
	c.order.MoveToFront(c.entries[program])
	tokens := 0
	for i, m := range chain[:max(0, len(chain)-1)] {
		if i >= len(e.messages) || e.messages[i].Key != m.Key {
			break
		}
		tokens += e.messages[i].Tokens
	}
	return tokens
}

// pin keeps the entry of a program from eviction. It reports whether there is one.
func (c *cache) pin(program string) bool {
	e := c.entry(program)
	if e != nil {
		e.pins++
	}
	return e != nil
}

// unpin reverses pin. An order may have released the pinned entry meanwhile.
func (c *cache) unpin(program string) {
	if e := c.entry(program); e != nil {
		e.pins = max(0, e.pins-1)
	}
}

// store makes a prefix the cache of a program. What does not fit beside pinned programs is left out from the end.
func (c *cache) store(program string, p *prefix) {
	n := c.storeChain(program, p.chain)
	if n > 0 {
		c.entry(program).hash = p.hashOf(n)
		c.emitEntry(EventStored, c.entry(program))
	}
}

// storeChain returns the number of messages that fit.
func (c *cache) storeChain(program string, chain []cachedMessage) int {
	if program == "" || len(chain) == 0 {
		return 0
	}
	pins := 0
	if old := c.entry(program); old != nil {
		pins = old.pins
		c.remove(program)
	}
	wanted := 0
	for _, m := range chain {
		wanted += m.Tokens
	}
	c.evictFor(wanted)
	fit, tokens := 0, 0
	for fit < len(chain) && c.used+tokens+chain[fit].Tokens <= c.capacity {
		tokens += chain[fit].Tokens
		fit++
	}
	if fit == 0 {
		return 0
	}
	e := &cacheEntry{program: program, messages: slices.Clone(chain[:fit]), tokens: tokens, pins: pins}
	c.entries[program] = c.order.PushFront(e)
	c.used += tokens
	return fit
}

func (c *cache) evictFor(wanted int) {
	for e := c.order.Back(); e != nil && c.used+wanted > c.capacity; {
		entry, previous := e.Value.(*cacheEntry), e.Prev()
		if entry.pins == 0 {
			c.remove(entry.program)
			c.emitEntry(EventEvicted, entry)
		}
		e = previous
	}
}

// release drops a program by an order. It reports whether the program was cached.
func (c *cache) release(program string) bool {
	e := c.entry(program)
	if e == nil {
		return false
	}
	c.remove(program)
	c.emitEntry(EventReleased, e)
	return true
}

func (c *cache) clear() {
	for _, p := range c.programs() {
		e := c.entry(p.Program)
		c.remove(p.Program)
		c.emitEntry(EventEvicted, e)
	}
}

func (c *cache) remove(program string) {
	e := c.entries[program]
	c.used -= e.Value.(*cacheEntry).tokens
	c.order.Remove(e)
	delete(c.entries, program)
}

func (c *cache) emitEntry(eventType string, e *cacheEntry) {
	c.emit(CacheEvent{Type: eventType, Program: e.program, PrefixHash: e.hash, Tokens: e.tokens})
}

func (c *cache) programs() []CachedProgram {
	found := make([]CachedProgram, 0, len(c.entries))
	for program, e := range c.entries {
		found = append(found, CachedProgram{Program: program, Tokens: e.Value.(*cacheEntry).tokens})
	}
	slices.SortFunc(found, func(a, b CachedProgram) int { return strings.Compare(a.Program, b.Program) })
	return found
}

// exported is the head of an exported cache. Zero bytes in proportion to the tokens follow it.
type exported struct {
	Hash     string          `json:"hash"`
	Messages []cachedMessage `json:"messages"`
}

// errBadExport tells that an imported body is not what export wrote.
var errBadExport = errors.New("the body is not an exported KV cache")

func (c *cache) export(program string, bytesPerToken int) ([]byte, int, bool) {
	e := c.entry(program)
	if e == nil {
		return nil, 0, false
	}
	head, err := json.Marshal(exported{Hash: e.hash, Messages: e.messages})
	if err != nil {
		return nil, 0, false
	}
	body := binary.BigEndian.AppendUint32(nil, uint32(len(head)))
	body = append(body, head...)
	return append(body, make([]byte, e.tokens*bytesPerToken)...), e.tokens, true
}

func (c *cache) importBody(program string, body []byte, bytesPerToken int) (int, error) {
	if len(body) < 4 {
		return 0, errBadExport
	}
	size := int64(binary.BigEndian.Uint32(body))
	if int64(len(body)-4) < size {
		return 0, errBadExport
	}
	var x exported
	if err := json.Unmarshal(body[4:4+size], &x); err != nil {
		return 0, errBadExport
	}
	tokens := 0
	for _, m := range x.Messages {
		tokens += m.Tokens
	}
	// A body that was cut on its way must not count as cache.
	if int64(len(body)) != 4+size+int64(tokens)*int64(bytesPerToken) {
		return 0, errBadExport
	}
	if c.storeChain(program, x.Messages) == 0 {
		return 0, nil
	}
	e := c.entry(program)
	e.hash = x.Hash
	c.emitEntry(EventStored, e)
	return e.tokens, nil
}
