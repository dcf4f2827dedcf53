package experiment

import "container/list"

// EngineModel holds the speeds and the sizes of a simulated engine. One iteration of continuous batching takes
// IterationBaseSeconds plus PerSequenceSeconds for each response. While a prompt is processed, each iteration also
// takes the time of one prefill chunk.
type EngineModel struct {
	Slots                  int
	CacheTokens            int64
	IterationBaseSeconds   float64
	PerSequenceSeconds     float64
	PrefillChunkTokens     float64
	PrefillTokensPerSecond float64 // Speed without concurrent responses.
}

// DefaultEngineModel returns the engine model of all experiments.
func DefaultEngineModel() EngineModel {
	return EngineModel{
		Slots:                  16,
		CacheTokens:            400_000,
		IterationBaseSeconds:   0.015,
		PerSequenceSeconds:     0.0004,
		PrefillChunkTokens:     512,
		PrefillTokensPerSecond: 8000,
	}
}

// call is one simulated model call.
type call struct {
	id               string
	program          *program
	promptTokens     int64
	historyTokens    int64
	outputTokens     int64
	cachedTokens     int64
	remainingPrefill float64 // Prompt tokens still to be processed.
	remainingDecode  float64 // Output tokens still to be generated.
	engine           *engine
	crossesRegion    bool // The home site and the engine are in different regions.
	readyAt          float64
	aborted          bool
	rejected         bool // The last attempt was rejected.
}

func (c *call) contextTokens() int64 { return c.promptTokens + c.outputTokens }

type cacheEntry struct {
	program     string
	tokens      int64
	activeCalls int
}

// engine is a simulated engine. It admits requests in order of arrival.
type engine struct {
	clock          *clock
	model          EngineModel
	name           string
	group          int
	site           int
	failed         bool
	waiting        []*call
	prefilling     []*call // Admitted calls whose prompt is not yet processed; the first is in progress.
	decoding       []*call
	pinnedTokens   int64
	cachedTokens   int64
	cache          map[string]*list.Element
	lru            *list.List // Least recently used first.
	updatedAt      float64
	planVersion    uint64
	onFinished     func(*call)
	onCacheChanged func(e *engine, program string, tokens int64, stored bool)
}

func newEngine(c *clock, m EngineModel, name string, group, site int) *engine {
	return &engine{clock: c, model: m, name: name, group: group, site: site, cache: map[string]*list.Element{}, lru: list.New()}
}

func (e *engine) runningCount() int { return len(e.prefilling) + len(e.decoding) }

func (e *engine) requestCount() int { return e.runningCount() + len(e.waiting) }

func (e *engine) submit(c *call) {
	c.engine = e
	e.advance()
	e.waiting = append(e.waiting, c)
	e.admit()
	e.scheduleNextStep()
}

// iterationSeconds returns the duration of one batch iteration.
func (e *engine) iterationSeconds() float64 {
	t := e.model.IterationBaseSeconds + e.model.PerSequenceSeconds*float64(len(e.decoding))
	if len(e.prefilling) > 0 {
		t += e.model.PrefillChunkTokens / e.model.PrefillTokensPerSecond
	}
	return t
}

// advance applies the progress since the last change of the batch.
func (e *engine) advance() {
	elapsed := e.clock.now - e.updatedAt
	e.updatedAt = e.clock.now
	if elapsed <= 0 || e.runningCount() == 0 {
		return
	}
	iterations := elapsed / e.iterationSeconds()
	for _, c := range e.decoding {
		c.remainingDecode -= iterations
	}
	if len(e.prefilling) > 0 {
		e.prefilling[0].remainingPrefill -= iterations * e.model.PrefillChunkTokens
	}
}

// scheduleNextStep schedules an event for the next time at which a prompt or a response is complete.
func (e *engine) scheduleNextStep() {
	e.planVersion++
	if e.runningCount() == 0 || e.failed {
		return
	}
	iterations := -1.0
	for _, c := range e.decoding {
		if iterations < 0 || c.remainingDecode < iterations {
			iterations = c.remainingDecode
		}
	}
	if len(e.prefilling) > 0 {
		if n := e.prefilling[0].remainingPrefill / e.model.PrefillChunkTokens; iterations < 0 || n < iterations {
			iterations = n
		}
	}
	version := e.planVersion
	e.clock.after(max(iterations, 0)*e.iterationSeconds(), func() {
		if e.planVersion == version {
			e.finishDueWork()
		}
	})
}

// tokenTolerance absorbs rounding errors of fractional tokens.
const tokenTolerance = 1e-6

func (e *engine) finishDueWork() {
	e.advance()
	if len(e.prefilling) > 0 && e.prefilling[0].remainingPrefill <= tokenTolerance {
		e.decoding = append(e.decoding, e.prefilling[0])
		e.prefilling = e.prefilling[1:]
	}
	var finished []*call
	remaining := e.decoding[:0]
	for _, c := range e.decoding {
		if c.remainingDecode <= tokenTolerance {
			finished = append(finished, c)
			continue
		}
		remaining = append(remaining, c)
	}
	e.decoding = remaining
	for _, c := range finished {
		e.endCall(c)
	}
	e.admit()
	e.scheduleNextStep()
	for _, c := range finished {
		e.onFinished(c)
	}
}

func (e *engine) endCall(c *call) {
	e.pinnedTokens -= c.contextTokens()
	entry := e.useEntry(c.program.id)
	entry.activeCalls--
	e.resizeEntry(entry, c.contextTokens())
	e.onCacheChanged(e, c.program.id, entry.tokens, true)
}

// admit starts waiting calls in order of arrival while slots and memory are available.
func (e *engine) admit() {
	for len(e.waiting) > 0 && e.runningCount() < e.model.Slots {
		c := e.waiting[0]
		if e.runningCount() > 0 && e.pinnedTokens+c.contextTokens() > e.model.CacheTokens {
			return
		}
		e.waiting = e.waiting[1:]
		entry := e.useEntry(c.program.id)
		c.cachedTokens = min(entry.tokens, c.historyTokens)
		entry.activeCalls++
		e.pinnedTokens += c.contextTokens()
		e.resizeEntry(entry, c.contextTokens())
		c.remainingPrefill = float64(c.promptTokens - c.cachedTokens)
		c.remainingDecode = float64(c.outputTokens)
		e.prefilling = append(e.prefilling, c)
	}
}

// useEntry returns the cache entry of a program and marks it as most recently used. It creates a missing entry.
func (e *engine) useEntry(program string) *cacheEntry {
	if el := e.cache[program]; el != nil {
		e.lru.MoveToBack(el)
		return el.Value.(*cacheEntry)
	}
	entry := &cacheEntry{program: program}
	e.cache[program] = e.lru.PushBack(entry)
	return entry
}

// resizeEntry sets the size of an entry. It then evicts the ends of other entries that no call uses, the least recently
// used first, until the cache fits.
func (e *engine) resizeEntry(entry *cacheEntry, tokens int64) {
	e.cachedTokens += tokens - entry.tokens
	entry.tokens = tokens
	for el := e.lru.Front(); el != nil && e.cachedTokens > e.model.CacheTokens; {
		next := el.Next()
		if other := el.Value.(*cacheEntry); other.activeCalls == 0 && other != entry {
			evicted := min(other.tokens, e.cachedTokens-e.model.CacheTokens)
			other.tokens -= evicted
			e.cachedTokens -= evicted
			if other.tokens == 0 {
				e.removeEntry(el)
			}
			e.onCacheChanged(e, other.program, other.tokens, false)
		}
		el = next
	}
}

func (e *engine) removeEntry(el *list.Element) {
	entry := el.Value.(*cacheEntry)
	e.cachedTokens -= entry.tokens
	e.lru.Remove(el)
	delete(e.cache, entry.program)
}

// releaseCache removes the cached prefix of a program unless a call uses it.
func (e *engine) releaseCache(program string) {
	if el := e.cache[program]; el != nil && el.Value.(*cacheEntry).activeCalls == 0 {
		e.removeEntry(el)
	}
}

// abortCalls removes the matching calls and returns them.
func (e *engine) abortCalls(match func(*call) bool) []*call {
	e.advance()
	var aborted []*call
	removeMatching := func(list []*call, admitted bool) []*call {
		var remaining []*call
		for _, c := range list {
			if !match(c) {
				remaining = append(remaining, c)
				continue
			}
			aborted = append(aborted, c)
			if admitted {
				e.pinnedTokens -= c.contextTokens()
				e.useEntry(c.program.id).activeCalls--
			}
		}
		return remaining
	}
	e.waiting = removeMatching(e.waiting, false)
	e.prefilling = removeMatching(e.prefilling, true)
	e.decoding = removeMatching(e.decoding, true)
	e.admit()
	e.scheduleNextStep()
	return aborted
}
