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

// prefillChunkTokens is the number of prompt tokens that one step computes at most, so that a long prompt delays the running
// requests in bounded steps.
const prefillChunkTokens = 512

// request is one request in the batch.
type batchRequest struct {
	program        string
	uncachedTokens int // Prompt tokens that are still to be computed.
	outputTokens   int // Tokens of the reply.
	emittedTokens  int
	onStart        func(*batchRequest)
	onToken        func(*batchRequest) // Runs after each token.
	onFinish       func(*batchRequest) // Runs after the last token.
}

// batch is the continuous batching model: requests start in order of arrival as slots become free, each step computes
// a chunk of prompts and one token for every request whose prompt is complete.
type batch struct {
	timing  Timing
	slots   int
	waiting []*batchRequest
	running []*batchRequest
}

func (b *batch) enqueue(r *batchRequest) { b.waiting = append(b.waiting, r) }

// cancel removes a request; its slot is free at the next step. It reports whether the request was there.
func (b *batch) remove(r *batchRequest) bool {
	removeFrom := func(list *[]*batchRequest) bool {
		i := slices.Index(*list, r)
		if i < 0 {
			return false
		}
		*list = slices.Delete(*list, i, i+1)
		return true
	}
	return removeFrom(&b.waiting) || removeFrom(&b.running)
}

// start moves waiting requests into free slots.
func (b *batch) startWaiting() {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		r := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.running = append(b.running, r)
		r.onStart(r)
	}
}

// plan returns the duration of the next step and what it does, or false when nothing runs.
func (b *batch) planStep() (time.Duration, step, bool) {
	b.startWaiting()
	if len(b.running) == 0 {
		return 0, step{}, false
	}
	var s step
	remainingPrefill := prefillChunkTokens
	for _, r := range b.running {
		if r.uncachedTokens > 0 {
			if remainingPrefill > 0 {
				n := min(remainingPrefill, r.uncachedTokens)
				remainingPrefill -= n
				s.prefill = append(s.prefill, prefillWork{r, n})
			}
			continue
		}
		s.decode = append(s.decode, r)
	}
	var d time.Duration
	if prefillTokens := prefillChunkTokens - remainingPrefill; prefillTokens > 0 && b.timing.PrefillTokensPerSecond > 0 {
		d += time.Duration(float64(prefillTokens) / b.timing.PrefillTokensPerSecond * float64(time.Second))
	}
	if n := len(s.decode); n > 0 {
		d += b.timing.DecodePerToken + time.Duration(n-1)*b.timing.DecodeGrowth
	}
	return d, s, true
}

type prefillWork struct {
	request *batchRequest
	tokens  int
}

// step is the work of one step.
type step struct {
	prefill []prefillWork
	decode  []*batchRequest
}

// apply does the work of a step whose time has passed. Requests that were cancelled meanwhile are left out.
func (b *batch) applyStep(s step) {
	for _, p := range s.prefill {
		p.request.uncachedTokens -= p.tokens
	}
	for _, r := range s.decode {
		if !slices.Contains(b.running, r) {
			continue
		}
		r.emittedTokens++
		r.onToken(r)
		if r.emittedTokens >= r.outputTokens {
			b.remove(r)
			r.onFinish(r)
		}
	}
}
