package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"jackdawbay.dev/testbed/standin/control"
)

// callState is the state of a call.
type callState int

const (
	stateActive callState = iota
	stateFinished
	stateCancelled
)

// call is one request and its generated output. The server's lock guards the fields.
type call struct {
	requestID    string // X-Request-Id; empty when the client sent none.
	program      string
	model        string // Model name of the request, returned in the response.
	baseModel    string // Loaded model that serves the call.
	prompt       *prefix
	tokens       []string
	text         []byte // Text of the emitted tokens.
	tokenEnds    []int  // Byte offset after each emitted token.
	promptTokens int
	cachedTokens int
	pinned       bool // The call holds a pin on the program's cache entry.
	truncated    bool // max_tokens cut the output short.
	includeUsage bool
	state        callState
	endedAt      time.Time
	changed      chan struct{}
	request      *batchRequest
}

// notify wakes the goroutines that wait for a change of the call. The caller holds the lock.
func (c *call) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *call) markEnded(state callState) {
	if c.state != stateActive {
		return
	}
	c.state, c.endedAt = state, time.Now()
	c.notify()
}

func (c *call) finishReason() string {
	if c.truncated {
		return "length"
	}
	return "stop"
}

// Usage is the token usage of a call.
type Usage struct {
	PromptTokens        int                `json:"prompt_tokens"`
	CompletionTokens    int                `json:"completion_tokens"`
	TotalTokens         int                `json:"total_tokens"`
	PromptTokensDetails PromptTokenDetails `json:"prompt_tokens_details"`
}

// PromptTokenDetails breaks down the prompt tokens.
type PromptTokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (c *call) usage() *Usage {
	return &Usage{
		PromptTokens:        c.promptTokens,
		CompletionTokens:    len(c.tokenEnds),
		TotalTokens:         c.promptTokens + len(c.tokenEnds),
		PromptTokensDetails: PromptTokenDetails{CachedTokens: c.cachedTokens},
	}
}

// callError is the error response to a rejected call.
type callError struct {
	status  int
	code    string
	message string
}

// submit validates a completion request and queues it in the batch.
func (s *Server) submit(requestID, program string, r completionRequest) (*call, *callError) {
	prompt := newPrefix(r.Messages)
	promptTokens := prompt.totalTokens()
	if s.cfg.MaxPromptTokens > 0 && promptTokens > s.cfg.MaxPromptTokens {
		return nil, &callError{http.StatusBadRequest, "context_too_long", "The prompt is longer than the model allows."}
	}
	tokens, truncated := generateTokens(s.cfg.Generation, r.Model, prompt, r.MaxTokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpiredCalls()
	baseModel, ok := s.resolveReadyModel(r.Model)
	switch {
	case !ok:
		return nil, &callError{http.StatusNotFound, "model_not_loaded", "The model is not loaded."}
	case requestID != "" && s.calls[requestID] != nil:
		return nil, &callError{http.StatusConflict, "duplicate_request", "A request with this id exists."}
	case len(s.batch.waiting) >= maxWaitingRequests || len(s.calls) >= maxRetainedCalls:
		return nil, &callError{http.StatusTooManyRequests, "queue_full", "The queue of the engine is full."}
	}
	c := &call{
		requestID: requestID, program: program, model: r.Model, baseModel: baseModel, prompt: prompt, tokens: tokens,
		promptTokens: promptTokens, truncated: truncated, includeUsage: r.StreamOptions.IncludeUsage,
		changed: make(chan struct{}),
	}
	c.request = &batchRequest{
		program: program, uncachedTokens: promptTokens, outputTokens: len(tokens),
		onStart: func(q *batchRequest) { s.startCall(c, q) },
		onToken: func(q *batchRequest) {
			c.text = append(c.text, c.tokens[q.emittedTokens-1]...)
			c.tokenEnds = append(c.tokenEnds, len(c.text))
			c.notify()
		},
		onFinish: func(*batchRequest) { s.finishCall(c, stateFinished) },
	}
	if requestID != "" {
		s.calls[requestID] = c
	}
	s.inFlightByModel[baseModel]++
	s.batch.enqueue(c.request)
	s.recordLoadSample()
	s.wakeStepLoop()
	return c, nil
}

// startCall looks up the prefix cache when the request gets a slot. The caller holds the lock.
func (s *Server) startCall(c *call, q *batchRequest) {
	c.cachedTokens = s.cache.lookup(c.program, c.prompt.cacheMessages)
	q.uncachedTokens = c.promptTokens - c.cachedTokens
	c.pinned = s.cache.pin(c.program)
	s.recordLoadSample()
}

// finishCall releases the resources of a call and caches its prompt and output. The caller holds the lock.
func (s *Server) finishCall(c *call, state callState) {
	if c.pinned {
		s.cache.unpin(c.program)
	}
	// The prompt of a cancelled request stays cached if it was computed completely.
	if state == stateFinished {
		c.prompt.append(assistantMessage(string(c.text)))
		s.cache.store(c.program, c.prompt)
	} else if c.request.emittedTokens > 0 {
		s.cache.store(c.program, c.prompt)
	}
	c.markEnded(state)
	s.endedCalls = append(s.endedCalls, c)
	s.inFlightByModel[c.baseModel]--
	s.removeDrainedModel(c.baseModel)
	s.recordLoadSample()
}

// cancelCall cancels a call and frees its slot. The caller does not hold the lock.
func (s *Server) cancelCall(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.batch.remove(c.request) {
		s.finishCall(c, stateCancelled)
	}
}

// removeExpiredCalls removes calls that ended more than StreamRetention ago. The caller holds the lock.
func (s *Server) removeExpiredCalls() {
	cutoff := time.Now().Add(-s.cfg.StreamRetention)
	n := 0
	for n < len(s.endedCalls) && s.endedCalls[n].endedAt.Before(cutoff) {
		delete(s.calls, s.endedCalls[n].requestID)
		n++
	}
	s.endedCalls = s.endedCalls[n:]
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

func (c *call) completionBody(object string, choices []choice, usage *Usage) completion {
	return completion{
		ID: "chatcmpl-" + c.requestID, Object: object, Created: time.Now().Unix(), Model: c.model, Choices: choices, Usage: usage,
	}
}

// writeResponse waits for the end of the call and sends the complete response.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, c *call) {
	for {
		s.mu.Lock()
		state, changed, text, usage := c.state, c.changed, string(c.text), c.usage()
		s.mu.Unlock()
		switch state {
		case stateFinished:
			reason := c.finishReason()
			choices := []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: &reason}}
			control.WriteJSON(w, http.StatusOK, c.completionBody("chat.completion", choices, usage))
			return
		case stateCancelled:
			control.WriteError(w, http.StatusConflict, "cancelled", "The request was cancelled.")
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// writeStream sends the text after a byte offset as server-sent events. The stream of a cancelled call ends without
// [DONE].
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, c *call, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for {
		s.mu.Lock()
		state, changed := c.state, c.changed
		var chunks []string
		for _, end := range c.tokenEnds {
			if end > offset {
				chunks = append(chunks, string(c.text[offset:end]))
				offset = end
			}
		}
		usage := c.usage()
		s.mu.Unlock()
		for _, chunk := range chunks {
			writeEvent(w, c.completionBody("chat.completion.chunk", []choice{{Delta: &message{Content: chunk}}}, nil))
		}
		if state == stateFinished {
			reason := c.finishReason()
			writeEvent(w, c.completionBody("chat.completion.chunk", []choice{{Delta: &message{}, FinishReason: &reason}}, nil))
			if c.includeUsage {
				writeEvent(w, c.completionBody("chat.completion.chunk", []choice{}, usage))
			}
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
		}
		_ = controller.Flush()
		if state != stateActive {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func writeEvent(w http.ResponseWriter, body completion) {
	raw, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = w.Write(append(append([]byte("data: "), raw...), "\n\n"...))
}
