package engine

import (
	"slices"
	"time"
)

// Timing is the speed of an engine. Durations are before the speed factor.
type Timing struct {
	PrefillTokensPerSecond float64
	DecodePerToken         time.Duration // Time of a step with one running request.
	DecodeGrowth           time.Duration // Added to a step for each further running request.
}

// prefillChunk is the number of prompt tokens that one step computes at most, so that a long prompt delays the running
// requests in bounded steps.
const prefillChunk = 512

// request is one request in the batch.
type request struct {
	program  string
	uncached int // Prompt tokens that are still to be computed.
	output   int // Tokens of the reply.
	emitted  int
	started  func(*request)
	token    func(*request) // Runs after each token.
	finished func(*request) // Runs after the last token.
}

// batch is the continuous batching model: requests start in order of arrival as slots become free, each step computes
// a chunk of prompts and one token for every request whose prompt is complete.
type batch struct {
	timing  Timing
	slots   int
	waiting []*request
	running []*request
}

func (b *batch) add(r *request) { b.waiting = append(b.waiting, r) }

// cancel removes a request; its slot is free at the next step. It reports whether the request was there.
func (b *batch) cancel(r *request) bool {
	remove := func(list *[]*request) bool {
		i := slices.Index(*list, r)
		if i < 0 {
			return false
		}
		*list = slices.Delete(*list, i, i+1)
		return true
	}
	return remove(&b.waiting) || remove(&b.running)
}

// start moves waiting requests into free slots.
func (b *batch) start() {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		r := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.running = append(b.running, r)
		r.started(r)
	}
}

// plan returns the duration of the next step and what it does, or false when nothing runs.
func (b *batch) plan() (time.Duration, step, bool) {
	b.start()
	if len(b.running) == 0 {
		return 0, step{}, false
	}
	var s step
	budget := prefillChunk
	for _, r := range b.running {
		if r.uncached > 0 {
			if budget > 0 {
				n := min(budget, r.uncached)
				budget -= n
				s.prefill = append(s.prefill, prefillPart{r, n})
			}
			continue
		}
		s.decode = append(s.decode, r)
	}
	var d time.Duration
	if used := prefillChunk - budget; used > 0 && b.timing.PrefillTokensPerSecond > 0 {
		d += time.Duration(float64(used) / b.timing.PrefillTokensPerSecond * float64(time.Second))
	}
	if n := len(s.decode); n > 0 {
		d += b.timing.DecodePerToken + time.Duration(n-1)*b.timing.DecodeGrowth
	}
	return d, s, true
}

type prefillPart struct {
	request *request
	tokens  int
}

// step is the work of one step.
type step struct {
	prefill []prefillPart
	decode  []*request
}

// apply does the work of a step whose time has passed. Requests that were cancelled meanwhile are left out.
func (b *batch) apply(s step) {
	for _, p := range s.prefill {
		p.request.uncached -= p.tokens
	}
	for _, r := range s.decode {
		if !slices.Contains(b.running, r) {
			continue
		}
		r.emitted++
		r.token(r)
		if r.emitted >= r.output {
			b.cancel(r)
			r.finished(r)
		}
	}
}
