package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"jackdawbay.dev/testbed/standin/control"
)

// callState is the progress of a call.
type callState int

const (
	stateActive callState = iota
	stateFinished
	stateCancelled
)

// call is one request with its text so far. Its fields are guarded by the lock of the server.
type call struct {
	id           string // X-Request-Id; empty when the client gave none.
	program      string
	model        string // As named by the request, for the response.
	base         string // Loaded model that serves it.
	prompt       *prefix
	tokens       []string
	text         []byte // Emitted so far.
	ends         []int  // Byte offset after each emitted token.
	promptTokens int
	cachedTokens int
	pinned       bool // The cache entry of the program is kept for this call.
	limited      bool // The reply ended at max_tokens.
	includeUsage bool
	state        callState
	endedAt      time.Time
	changed      chan struct{}
	request      *request
}

// notify wakes the readers of the call. The caller holds the lock.
func (c *call) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *call) end(state callState) {
	if c.state != stateActive {
		return
	}
	c.state, c.endedAt = state, time.Now()
	c.notify()
}

func (c *call) finishReason() string {
	if c.limited {
		return "length"
	}
	return "stop"
}

// Usage is the usage of a call.
type Usage struct {
	PromptTokens        int                `json:"prompt_tokens"`
	CompletionTokens    int                `json:"completion_tokens"`
	TotalTokens         int                `json:"total_tokens"`
	PromptTokensDetails PromptTokenDetails `json:"prompt_tokens_details"`
}

// PromptTokenDetails splits the prompt tokens.
type PromptTokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (c *call) usage() *Usage {
	return &Usage{
		PromptTokens:        c.promptTokens,
		CompletionTokens:    len(c.ends),
		TotalTokens:         c.promptTokens + len(c.ends),
		PromptTokensDetails: PromptTokenDetails{CachedTokens: c.cachedTokens},
	}
}

// callError is a refused call.
type callError struct {
	status  int
	code    string
	message string
}

// submit queues a call.
func (s *Server) submit(id, program string, r completionRequest) (*call, *callError) {
	prompt := newPrefix(r.Messages)
	promptTokens := prompt.tokens()
	if s.cfg.MaxPromptTokens > 0 && promptTokens > s.cfg.MaxPromptTokens {
		return nil, &callError{http.StatusBadRequest, "context_too_long", "The prompt is longer than the model allows."}
	}
	tokens, limited := reply(s.cfg.Generation, r.Model, prompt, r.MaxTokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	base, ok := s.serves(r.Model)
	switch {
	case !ok:
		return nil, &callError{http.StatusNotFound, "model_not_loaded", "The model is not loaded."}
	case id != "" && s.calls[id] != nil:
		return nil, &callError{http.StatusConflict, "duplicate_request", "A request with this id exists."}
	case len(s.batch.waiting) >= maxWaiting || len(s.calls) >= maxKeptRequests:
		return nil, &callError{http.StatusTooManyRequests, "queue_full", "The queue of the engine is full."}
	}
	c := &call{
		id: id, program: program, model: r.Model, base: base, prompt: prompt, tokens: tokens,
		promptTokens: promptTokens, limited: limited, includeUsage: r.StreamOptions.IncludeUsage,
		changed: make(chan struct{}),
	}
	c.request = &request{
		program: program, uncached: promptTokens, output: len(tokens),
		started: func(q *request) { s.started(c, q) },
		token: func(q *request) {
			c.text = append(c.text, c.tokens[q.emitted-1]...)
			c.ends = append(c.ends, len(c.text))
			c.notify()
		},
		finished: func(*request) { s.finished(c, stateFinished) },
	}
	if id != "" {
		s.calls[id] = c
	}
	s.inFlight[base]++
	s.batch.add(c.request)
	s.sample()
	s.wakeLoop()
	return c, nil
}

// started looks up the cache when the request gets its slot. The caller holds the lock.
func (s *Server) started(c *call, q *request) {
	c.cachedTokens = s.cache.lookup(c.program, c.prompt.chain)
	q.uncached = c.promptTokens - c.cachedTokens
	c.pinned = s.cache.pin(c.program)
	s.sample()
}

// finished frees what a call holds and caches its prompt with the reply. The caller holds the lock.
func (s *Server) finished(c *call, state callState) {
	if c.pinned {
		s.cache.unpin(c.program)
	}
	// A cancelled request leaves its prompt in the cache once that was computed.
	if state == stateFinished {
		c.prompt.append(assistantMessage(string(c.text)))
		s.cache.store(c.program, c.prompt)
	} else if c.request.emitted > 0 {
		s.cache.store(c.program, c.prompt)
	}
	c.end(state)
	s.ended = append(s.ended, c)
	s.inFlight[c.base]--
	s.removeDrained(c.base)
	s.sample()
}

// cancel ends a call and frees its slot. The caller does not hold the lock.
func (s *Server) cancel(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.batch.cancel(c.request) {
		s.finished(c, stateCancelled)
	}
}

// expire forgets calls that ended longer ago than KeepStreams. The caller holds the lock.
func (s *Server) expire() {
	cutoff := time.Now().Add(-s.cfg.StreamRetention)
	n := 0
	for n < len(s.ended) && s.ended[n].endedAt.Before(cutoff) {
		delete(s.calls, s.ended[n].id)
		n++
	}
	s.ended = s.ended[n:]
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

func (c *call) body(object string, choices []choice, usage *Usage) completion {
	return completion{
		ID: "chatcmpl-" + c.id, Object: object, Created: time.Now().Unix(), Model: c.model, Choices: choices, Usage: usage,
	}
}

// respond sends the whole response when the call has ended.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, c *call) {
	for {
		s.mu.Lock()
		state, changed, text, usage := c.state, c.changed, string(c.text), c.usage()
		s.mu.Unlock()
		switch state {
		case stateFinished:
			reason := c.finishReason()
			choices := []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: &reason}}
			control.WriteJSON(w, http.StatusOK, c.body("chat.completion", choices, usage))
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

// stream sends the text from a byte offset as server-sent events. A cancelled call ends the stream without [DONE].
func (s *Server) stream(w http.ResponseWriter, r *http.Request, c *call, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	for {
		s.mu.Lock()
		state, changed := c.state, c.changed
		var parts []string
		for _, end := range c.ends {
			if end > offset {
				parts = append(parts, string(c.text[offset:end]))
				offset = end
			}
		}
		usage := c.usage()
		s.mu.Unlock()
		for _, part := range parts {
			writeEvent(w, c.body("chat.completion.chunk", []choice{{Delta: &message{Content: part}}}, nil))
		}
		if state == stateFinished {
			reason := c.finishReason()
			writeEvent(w, c.body("chat.completion.chunk", []choice{{Delta: &message{}, FinishReason: &reason}}, nil))
			if c.includeUsage {
				writeEvent(w, c.body("chat.completion.chunk", []choice{}, usage))
			}
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
		}
		_ = flush.Flush()
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
