// Package engine is a stand-in for a model engine with continuous batching and a prefix cache. It implements the
// section "Engines" of docs/protocols.md.
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/testbed/standin/control"
)

// Limits of the state of an engine.
const (
	maxWaitingRequests = 4096
	maxRetainedCalls   = 8192
	maxRetainedEvents  = 1000
	maxLoadSamples     = 4096
	maxExecutedOrders  = 10_000
)

// Config configures a Server. All durations except StreamRetention are divided by SpeedFactor.
type Config struct {
	Keys               []string // Valid bearer keys; empty accepts every request.
	Models             []string // Models that are ready at the start, as NAME or NAME=VERSION.
	Role               string
	Slots              int
	Timing             Timing
	CacheTokens        int
	LoadReportDelay    time.Duration
	EventDelay         time.Duration
	DropEveryNthEvent  int // Drops every n-th cache event; zero drops none.
	CheckFencingTokens bool
	ModelLoadDuration  time.Duration
	StreamRetention    time.Duration // Time for which an ended stream can be resumed; not divided by SpeedFactor.
	KVBytesPerToken    int           // Bytes per token of an exported cache.
	Generation         GenerationConfig
	SpeedFactor        float64
	MaxPromptTokens    int // Maximum prompt length; zero means no limit.
}

// DefaultConfig returns the settings of a mid-size engine with one model.
func DefaultConfig() Config {
	return Config{
		Models: []string{"model-a=1"},
		Role:   "mixed",
		Slots:  16,
		Timing: Timing{
			PrefillTokensPerSecond: 8000,
			DecodePerToken:         20 * time.Millisecond,
			DecodeGrowth:           time.Millisecond,
		},
		CacheTokens:       400_000,
		LoadReportDelay:   200 * time.Millisecond,
		EventDelay:        200 * time.Millisecond,
		ModelLoadDuration: 30 * time.Second,
		StreamRetention:   time.Minute,
		KVBytesPerToken:   128,
		SpeedFactor:       1,
	}
}

// States of a model.
const (
	ModelLoading  = "loading"
	ModelReady    = "ready"
	ModelDraining = "draining"
)

// Model is a loaded or loading model and its adapters.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	State    string   `json:"state"`
}

// Load is a load report.
type Load struct {
	TimestampMillis int64   `json:"at_ms"`
	Running         int     `json:"running"`
	Waiting         int     `json:"waiting"`
	Slots           int     `json:"slots"`
	CachedTokens    int     `json:"cached_tokens"`
	CacheCapacity   int     `json:"cache_capacity"`
	Role            string  `json:"role"`
	Models          []Model `json:"models"`
	FencingToken    int64   `json:"fencing_token"`
}

type loadSample struct {
	at   time.Time
	load Load
}

type bufferedEvent struct {
	visibleAt time.Time
	event     CacheEvent
	dropped   bool
}

// Server is the engine stand-in. Serve its Handler with an http.Server and stop it with Close.
type Server struct {
	cfg     Config
	faults  *control.Injector
	handler http.Handler
	stop    context.CancelFunc
	done    chan struct{}
	wake    chan struct{}

	mu              sync.Mutex
	batch           batch
	cache           *cache
	calls           map[string]*call // Keyed by request ID.
	endedCalls      []*call          // Ordered by end time, for expiry.
	models          []Model
	role            string
	fencingToken    int64
	executedOrders  []Order
	samples         []loadSample
	events          []bufferedEvent
	lastSeq         int64
	inFlightByModel map[string]int // Number of running and waiting requests per model.
}

// New starts an engine. The caller stops it with Close.
func New(cfg Config) *Server {
	if cfg.SpeedFactor <= 0 {
		cfg.SpeedFactor = 1
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		cfg:             cfg,
		faults:          control.NewInjector(),
		stop:            stop,
		done:            make(chan struct{}),
		wake:            make(chan struct{}, 1),
		batch:           batch{timing: cfg.Timing, slots: max(1, cfg.Slots)},
		calls:           map[string]*call{},
		role:            cfg.Role,
		inFlightByModel: map[string]int{},
	}
	s.cache = newCache(cfg.CacheTokens, s.recordEvent)
	for _, m := range cfg.Models {
		name, version, _ := strings.Cut(m, "=")
		s.models = append(s.models, Model{Name: name, Version: version, Adapters: []string{}, State: ModelReady})
	}
	s.recordLoadSample()
	s.handler = s.routes()
	go s.runSteps(ctx)
	return s
}

// Handler returns the handler for the engine protocol and the control interface.
func (s *Server) Handler() http.Handler { return s.handler }

// Faults returns the fault injector of the stand-in.
func (s *Server) Faults() *control.Injector { return s.faults }

// Close stops the engine. Open streams end without [DONE].
func (s *Server) Close() {
	s.stop()
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		c.markEnded(stateCancelled)
	}
}

func (s *Server) scaleDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.cfg.SpeedFactor)
}

// minSleep is the shortest sleep of the step loop. Timers are inaccurate below it, so shorter steps run in groups
// without a sleep between them, which keeps their total duration correct.
const minSleep = time.Millisecond

// runSteps executes the steps of the batch in real time until the context ends.
func (s *Server) runSteps(ctx context.Context) {
	defer close(s.done)
	stepEnd := time.Now()
	for ctx.Err() == nil {
		s.mu.Lock()
		duration, step, ok := s.batch.planStep()
		s.mu.Unlock()
		if !ok {
			select {
			case <-s.wake:
				stepEnd = time.Now()
			case <-ctx.Done():
			}
			continue
		}
		stepEnd = stepEnd.Add(s.scaleDuration(duration))
		if wait := time.Until(stepEnd); wait >= minSleep {
			control.Sleep(ctx.Done(), wait)
		}
		s.mu.Lock()
		s.batch.applyStep(step)
		s.mu.Unlock()
	}
}

func (s *Server) wakeStepLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// recordLoadSample stores the current load for delayed reports. The caller holds the lock, except in New.
func (s *Server) recordLoadSample() {
	now := time.Now()
	cutoff := now.Add(-s.scaleDuration(s.cfg.LoadReportDelay))
	// The newest sample before the cutoff is still needed.
	firstNeeded := 0
	for firstNeeded+1 < len(s.samples) && !s.samples[firstNeeded+1].at.After(cutoff) {
		firstNeeded++
	}
	firstNeeded = max(firstNeeded, len(s.samples)-maxLoadSamples)
	s.samples = append(slices.Delete(s.samples, 0, firstNeeded), loadSample{at: now, load: s.currentLoad()})
}

func (s *Server) currentLoad() Load {
	models := slices.Clone(s.models)
	for i := range models {
		models[i].Adapters = slices.Clone(models[i].Adapters)
	}
	return Load{
		Running:       len(s.batch.running),
		Waiting:       len(s.batch.waiting),
		Slots:         s.batch.slots,
		CachedTokens:  s.cache.usedTokens,
		CacheCapacity: s.cfg.CacheTokens,
		Role:          s.role,
		Models:        models,
		FencingToken:  s.fencingToken,
	}
}

// Load returns the load report as of LoadReportDelay ago.
func (s *Server) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-s.scaleDuration(s.cfg.LoadReportDelay))
	load := s.samples[0].load
	for _, sample := range s.samples {
		if sample.at.After(asOf) {
			break
		}
		load = sample.load
	}
	load.TimestampMillis = asOf.UnixMilli()
	return load
}

// recordEvent stores a cache event for EventsAfter. The caller holds the lock.
func (s *Server) recordEvent(e CacheEvent) {
	s.lastSeq++
	e.Seq = s.lastSeq
	dropped := s.cfg.DropEveryNthEvent > 0 && e.Seq%int64(s.cfg.DropEveryNthEvent) == 0
	s.events = append(s.events, bufferedEvent{visibleAt: time.Now().Add(s.scaleDuration(s.cfg.EventDelay)), event: e, dropped: dropped})
	if excess := len(s.events) - maxRetainedEvents; excess > 0 {
		s.events = slices.Delete(s.events, 0, excess)
	}
}

// EventPage is the response to a request for cache events. Gap reports that events are missing.
type EventPage struct {
	Next   int64        `json:"next"`
	Gap    bool         `json:"gap"`
	Events []CacheEvent `json:"events"`
}

// EventsAfter returns the visible cache events after seq, and the time at which the next event becomes visible. The
// time is zero when no further event is stored.
func (s *Server) EventsAfter(seq int64) (EventPage, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := EventPage{Next: seq, Events: []CacheEvent{}}
	if s.faults.Faults().WatchGap || seq > s.lastSeq {
		page.Next, page.Gap = s.lastSeq, true
		return page, time.Time{}
	}
	now := time.Now()
	for i, buffered := range s.events {
		if buffered.event.Seq <= seq {
			continue
		}
		if buffered.visibleAt.After(now) {
			return page, buffered.visibleAt
		}
		page.Gap = page.Gap || buffered.dropped || i == 0 && buffered.event.Seq > seq+1
		page.Next = buffered.event.Seq
		if !buffered.dropped {
			page.Events = append(page.Events, buffered.event)
		}
	}
	return page, time.Time{}
}

// Order is a management command to an engine.
type Order struct {
	FencingToken int64  `json:"fencing_token"`
	Type         string `json:"type"`
	Model        string `json:"model,omitempty"`
	Version      string `json:"version,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Role         string `json:"role,omitempty"`
	Program      string `json:"program,omitempty"`
}

// Errors of ExecuteOrder. Their texts are sent to the client.
var (
	errStaleFencing  = errors.New("the fencing token is below the highest that this engine has seen")
	errUnknownModel  = errors.New("the model is not loaded")
	errInvalidOrder  = errors.New("the order has an unknown type or lacks a field")
	errTooManyOrders = errors.New("the engine has run too many orders for a test")
)

// ExecuteOrder runs a management command. It rejects a stale fencing token if CheckFencingTokens is set.
func (s *Server) ExecuteOrder(o Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.CheckFencingTokens && o.FencingToken < s.fencingToken {
		return errStaleFencing
	}
	if len(s.executedOrders) >= maxExecutedOrders {
		return errTooManyOrders
	}
	if err := s.applyOrder(o); err != nil {
		return err
	}
	// An engine that does not check fencing tokens reports the token of the last executed order.
	s.fencingToken = o.FencingToken
	s.executedOrders = append(s.executedOrders, o)
	s.recordLoadSample()
	return nil
}

func (s *Server) applyOrder(o Order) error {
	modelIndex := slices.IndexFunc(s.models, func(m Model) bool { return m.Name == o.Model })
	switch o.Type {
	case "load_model":
		if o.Model == "" {
			return errInvalidOrder
		}
		s.loadModel(modelIndex, o)
	case "drop_model":
		if modelIndex < 0 {
			return errUnknownModel
		}
		s.models[modelIndex].State = ModelDraining
		s.removeDrainedModel(o.Model)
	case "load_adapter", "drop_adapter":
		if o.Adapter == "" {
			return errInvalidOrder
		}
		if modelIndex < 0 {
			return errUnknownModel
		}
		adapters := slices.DeleteFunc(s.models[modelIndex].Adapters, func(a string) bool { return a == o.Adapter })
		if o.Type == "load_adapter" {
			adapters = append(adapters, o.Adapter)
		}
		s.models[modelIndex].Adapters = adapters
	case "set_role":
		if o.Role == "" {
			return errInvalidOrder
		}
		s.role = o.Role
	case "release_cache":
		if o.Program == "" {
			return errInvalidOrder
		}
		s.cache.release(o.Program)
	default:
		return errInvalidOrder
	}
	return nil
}

// loadModel starts loading a model. It does nothing when the same version is already ready or loading. Another version
// replaces the model and clears the cache, since cached values depend on the weights.
func (s *Server) loadModel(modelIndex int, o Order) {
	newModel := Model{Name: o.Model, Version: o.Version, Adapters: []string{}, State: ModelLoading}
	switch {
	case modelIndex < 0:
		s.models = append(s.models, newModel)
	case s.models[modelIndex].Version == o.Version && s.models[modelIndex].State != ModelDraining:
		return
	default:
		s.models[modelIndex] = newModel
		s.cache.evictAll()
	}
	time.AfterFunc(s.scaleDuration(s.cfg.ModelLoadDuration), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for modelIndex := range s.models {
			if model := &s.models[modelIndex]; model.Name == o.Model && model.Version == o.Version && model.State == ModelLoading {
				model.State = ModelReady
			}
		}
		s.recordLoadSample()
	})
}

// removeDrainedModel removes a draining model that has no requests left.
func (s *Server) removeDrainedModel(model string) {
	if s.inFlightByModel[model] > 0 {
		return
	}
	s.models = slices.DeleteFunc(s.models, func(m Model) bool { return m.Name == model && m.State == ModelDraining })
}

// resolveReadyModel returns the base model of a name of the form MODEL or MODEL:ADAPTER, and whether it is ready.
func (s *Server) resolveReadyModel(name string) (string, bool) {
	base, adapter, hasAdapter := strings.Cut(name, ":")
	for _, m := range s.models {
		switch {
		case m.State != ModelReady:
		case m.Name == name:
			return name, true
		case hasAdapter && m.Name == base && slices.Contains(m.Adapters, adapter):
			return base, true
		}
	}
	return "", false
}

// ExecutedOrders returns the executed orders in order of execution.
func (s *Server) ExecutedOrders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executedOrders)
}

// completionRequest holds the fields of a chat-completions request that the stand-in uses.
type completionRequest struct {
	Model         string            `json:"model"`
	Messages      []json.RawMessage `json:"messages"`
	MaxTokens     int               `json:"max_tokens"`
	Stream        bool              `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}
