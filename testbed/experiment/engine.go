package experiment

import "container/list"

// EngineModel holds the speeds and the sizes of a simulated engine. One iteration of continuous batching takes
// IterationBaseSeconds plus PerSequenceSeconds for each response, and longer by one prompt chunk while a prompt is processed.
type EngineModel struct {
	Slots                  int
	CacheTokens            int64
	IterationBaseSeconds   float64
	PerSequenceSeconds     float64
	PrefillChunkTokens     float64
	PrefillTokensPerSecond float64 // Prompt tokens a second without responses.
}

// DefaultEngineModel is the engine of all experiments.
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

// call is one model call inside the simulation.
type call struct {
	id      string
	p       *process
	prompt  int64
	history int64
	output  int64
	cached  int64
	prefill float64 // Prompt tokens left to process.
	decode  float64 // Output tokens left to generate.
	engine  *engine
	link    bool // Crosses the region border.
	ready   float64
	aborted bool
	refused bool // The last attempt was refused.
}

func (c *call) context() int64 { return c.prompt + c.output }

type held struct {
	program string
	tokens  int64
	inUse   int
}

// engine is a simulated engine: requests are admitted in order of arrival.
type engine struct {
	clock    *clock
	model    EngineModel
	name     string
	group    int
	site     int
	dead     bool
	waiting  []*call
	prefills []*call // Admitted calls whose prompt is not processed; the first is in work.
	decodes  []*call
	pinned   int64
	total    int64
	cache    map[string]*list.Element
	lru      *list.List // Oldest first.
	updated  float64
	version  uint64
	finished func(*call)
	changed  func(e *engine, program string, tokens int64, stored bool)
}

func newEngine(c *clock, m EngineModel, name string, group, site int) *engine {
	return &engine{clock: c, model: m, name: name, group: group, site: site, cache: map[string]*list.Element{}, lru: list.New()}
}

func (e *engine) running() int { return len(e.prefills) + len(e.decodes) }

func (e *engine) load() int { return e.running() + len(e.waiting) }

func (e *engine) submit(c *call) {
	c.engine = e
	e.advance()
	e.waiting = append(e.waiting, c)
	e.admit()
	e.plan()
}

// iteration returns the seconds of one batch iteration.
func (e *engine) iteration() float64 {
	t := e.model.IterationBaseSeconds + e.model.PerSequenceSeconds*float64(len(e.decodes))
	if len(e.prefills) > 0 {
		t += e.model.PrefillChunkTokens / e.model.PrefillTokensPerSecond
	}
	return t
}

// advance applies the progress since the last change of the batch.
func (e *engine) advance() {
	passed := e.clock.now - e.updated
	e.updated = e.clock.now
	if passed <= 0 || e.running() == 0 {
		return
	}
	iterations := passed / e.iteration()
	for _, c := range e.decodes {
		c.decode -= iterations
	}
	if len(e.prefills) > 0 {
		e.prefills[0].prefill -= iterations * e.model.PrefillChunkTokens
	}
}

// plan schedules the next end of a prompt or of a response.
func (e *engine) plan() {
	e.version++
	if e.running() == 0 || e.dead {
		return
	}
	left := -1.0
	for _, c := range e.decodes {
		if left < 0 || c.decode < left {
			left = c.decode
		}
	}
	if len(e.prefills) > 0 {
		if n := e.prefills[0].prefill / e.model.PrefillChunkTokens; left < 0 || n < left {
			left = n
		}
	}
	version := e.version
	e.clock.after(max(left, 0)*e.iteration(), func() {
		if e.version == version {
			e.progress()
		}
	})
}

// slack absorbs rounding of fractions of a token.
const slack = 1e-6

func (e *engine) progress() {
	e.advance()
	if len(e.prefills) > 0 && e.prefills[0].prefill <= slack {
		e.decodes = append(e.decodes, e.prefills[0])
		e.prefills = e.prefills[1:]
	}
	var done []*call
	left := e.decodes[:0]
	for _, c := range e.decodes {
		if c.decode <= slack {
			done = append(done, c)
			continue
		}
		left = append(left, c)
	}
	e.decodes = left
	for _, c := range done {
		e.end(c)
	}
	e.admit()
	e.plan()
	for _, c := range done {
		e.finished(c)
	}
}

func (e *engine) end(c *call) {
	e.pinned -= c.context()
	h := e.entry(c.p.id)
	h.inUse--
	e.grow(h, c.context())
	e.changed(e, c.p.id, h.tokens, true)
}

// admit starts waiting calls in order while there are slots and memory.
func (e *engine) admit() {
	for len(e.waiting) > 0 && e.running() < e.model.Slots {
		c := e.waiting[0]
		if e.running() > 0 && e.pinned+c.context() > e.model.CacheTokens {
			return
		}
		e.waiting = e.waiting[1:]
		h := e.entry(c.p.id)
		c.cached = min(h.tokens, c.history)
		h.inUse++
		e.pinned += c.context()
		e.grow(h, c.context())
		c.prefill = float64(c.prompt - c.cached)
		c.decode = float64(c.output)
		e.prefills = append(e.prefills, c)
	}
}

// entry returns the cache entry of a program as the most recently used.
func (e *engine) entry(program string) *held {
	if el := e.cache[program]; el != nil {
		e.lru.MoveToBack(el)
		return el.Value.(*held)
	}
	h := &held{program: program}
	e.cache[program] = e.lru.PushBack(h)
	return h
}

// grow sets the size of an entry and evicts the ends of the least recently used entries that are not in use.
func (e *engine) grow(h *held, tokens int64) {
	e.total += tokens - h.tokens
	h.tokens = tokens
	for el := e.lru.Front(); el != nil && e.total > e.model.CacheTokens; {
		next := el.Next()
		if v := el.Value.(*held); v.inUse == 0 && v != h {
			cut := min(v.tokens, e.total-e.model.CacheTokens)
			v.tokens -= cut
			e.total -= cut
			if v.tokens == 0 {
				e.drop(el)
			}
			e.changed(e, v.program, v.tokens, false)
		}
		el = next
	}
}

func (e *engine) drop(el *list.Element) {
	h := el.Value.(*held)
	e.total -= h.tokens
	e.lru.Remove(el)
	delete(e.cache, h.program)
}

// releaseCache drops a program's prefix unless a call uses it.
func (e *engine) releaseCache(program string) {
	if el := e.cache[program]; el != nil && el.Value.(*held).inUse == 0 {
		e.drop(el)
	}
}

// abort removes calls and returns those that it removed.
func (e *engine) abort(match func(*call) bool) []*call {
	e.advance()
	var gone []*call
	keep := func(list []*call, admitted bool) []*call {
		var left []*call
		for _, c := range list {
			if !match(c) {
				left = append(left, c)
				continue
			}
			gone = append(gone, c)
			if admitted {
				e.pinned -= c.context()
				e.entry(c.p.id).inUse--
			}
		}
		return left
	}
	e.waiting = keep(e.waiting, false)
	e.prefills = keep(e.prefills, true)
	e.decodes = keep(e.decodes, true)
	e.admit()
	e.plan()
	return gone
}
