package engine

import (
	"slices"
	"time"
)

// Timing holds the speed settings of an engine. Durations apply before division by the speed factor.
type Timing struct {
	PrefillTokensPerSecond float64
	DecodePerToken         time.Duration // Duration of a step with one decoding request.
	DecodeGrowth           time.Duration // Added to a step for each further decoding request.
}

// prefillChunkTokens is the maximum number of prompt tokens per step. It bounds the time by which a long prompt delays the
// other running requests.
const prefillChunkTokens = 512

// batchRequest is the state of one request in the batch.
type batchRequest struct {
	program        string
	uncachedTokens int // Prompt tokens still to be computed.
	outputTokens   int // Output tokens to generate.
	emittedTokens  int
	onStart        func(*batchRequest)
	onToken        func(*batchRequest) // Called after each output token.
	onFinish       func(*batchRequest) // Called after the last output token.
}

// batch models continuous batching. Requests start in order of arrival as slots become free. Each step computes one
// chunk of prompt tokens and one output token for every request whose prompt is complete.
type batch struct {
	timing  Timing
	slots   int
	waiting []*batchRequest
	running []*batchRequest
}

func (b *batch) enqueue(r *batchRequest) { b.waiting = append(b.waiting, r) }

// remove deletes a waiting or running request and reports whether it was found. Its slot is free at the next step.
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

// startWaiting moves waiting requests into free slots.
func (b *batch) startWaiting() {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		r := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.running = append(b.running, r)
		r.onStart(r)
	}
}

// planStep returns the duration and the work of the next step. It returns false when no request is running.
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

// step lists the prompt chunks and the output tokens that one step computes.
type step struct {
	prefill []prefillWork
	decode  []*batchRequest
}

// applyStep applies a step after its duration has passed. It skips requests that were cancelled during the step.
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
