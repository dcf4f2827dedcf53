// Package ingress serves callers. It validates requests, requests the owner of a program to admit each call, sends the
// call to an upstream, forwards the response, and reports the outcome to the owner.
package ingress

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/intake"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/upstream"
)

// OwnerClient sends requests to the owner of a program, in this daemon or another one.
type OwnerClient interface {
	Create(ctx context.Context, tenant string, body caller.CreateProgram) (caller.CreatedProgram, error)
	Describe(ctx context.Context, ref peer.ProgramRef) (peer.ProgramDescription, error)
	History(ctx context.Context, ref peer.ProgramRef) ([]caller.Turn, error)
	End(ctx context.Context, ref peer.ProgramRef) error
	Admit(ctx context.Context, req program.AdmitRequest) (program.Admission, error)
	Complete(ctx context.Context, c program.Completion) (*caller.Result, error)
}

// SlotClient acquires engine slots from the dispatcher of an engine group and releases them.
type SlotClient interface {
	Acquire(ctx context.Context, a peer.AcquireRequest) (peer.Slot, error)
	Release(r peer.ReleaseRequest)
}

// StreamClient opens the response stream of a call that another daemon runs.
type StreamClient interface {
	Incarnation() string
	OpenStream(ctx context.Context, ingress, tenant, programID string, sequence uint64, offset int) (*http.Response, error)
}

// Config holds the settings of the ingress.
type Config struct {
	DataCentre   string
	MaxBodyBytes int64
	MaxCalls     int           // Maximum number of calls in flight; further calls are rejected.
	ResumeGrace  time.Duration // How long a stream runs without a reader before it is cancelled.
	MaxAttempts  int           // Maximum number of attempts of one idempotent call.
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		MaxBodyBytes: 16 << 20,
		MaxCalls:     2000,
		ResumeGrace:  5 * time.Second,
		MaxAttempts:  3,
	}
}

// Server is the HTTP server for callers. It is safe for concurrent use.
type Server struct {
	cfg      Config
	records  func() *records.Set
	owners   OwnerClient
	slots    SlotClient
	streams  StreamClient
	engines  *upstream.EngineClient
	services *upstream.ServiceClient
	signer   *program.Signer
	metrics  *Metrics
	log      *slog.Logger
	intake   *intake.Intake

	activeStreams   *streamRegistry
	retries         *retryBudgets
	outputEstimates *outputEstimator
	callSlots       chan struct{} // One element for each call in flight.
	mu              sync.Mutex
	stopping        bool
	inFlight        sync.WaitGroup
}

// Dependencies are the components that a Server uses.
type Dependencies struct {
	Records  func() *records.Set
	Owners   OwnerClient
	Slots    SlotClient
	Streams  StreamClient
	Engines  *upstream.EngineClient
	Services *upstream.ServiceClient
	Signer   *program.Signer
	Metrics  *Metrics
	Log      *slog.Logger
	Intake   *intake.Intake // Bounds the memory of request bodies; nil sets no limit.
}

// New returns a server.
func New(cfg Config, d Dependencies) *Server {
	return &Server{
		cfg:             cfg,
		records:         d.Records,
		owners:          d.Owners,
		slots:           d.Slots,
		streams:         d.Streams,
		engines:         d.Engines,
		services:        d.Services,
		signer:          d.Signer,
		metrics:         d.Metrics,
		log:             d.Log,
		intake:          d.Intake,
		activeStreams:   newStreamRegistry(cfg.ResumeGrace),
		retries:         newRetryBudgets(),
		outputEstimates: newOutputEstimator(),
		callSlots:       make(chan struct{}, cfg.MaxCalls),
	}
}

// Handler returns the handler of the caller listener.
func (s *Server) Handler() http.Handler {
	// Path cleaning is disabled, because the redirect to the cleaned path would not come from the table of error kinds.
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/v1/programs", s.requireTenant(s.createProgram)).Methods(http.MethodPost)
	r.HandleFunc("/v1/programs/{id}", s.requireTenant(s.describeProgram)).Methods(http.MethodGet)
	r.HandleFunc("/v1/programs/{id}", s.requireTenant(s.endProgram)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/programs/{id}/history", s.requireTenant(s.readHistory)).Methods(http.MethodGet)
	r.HandleFunc("/v1/programs/{id}/calls", s.requireTenant(s.postCall)).Methods(http.MethodPost)
	r.HandleFunc("/v1/programs/{id}/calls/{sequence}/stream", s.requireTenant(s.resumeStream)).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", s.requireTenant(s.postChat)).Methods(http.MethodPost)
	r.NotFoundHandler = s.rejectionHandler(errkind.PathNotFound)
	r.MethodNotAllowedHandler = s.rejectionHandler(errkind.MethodNotAllowed)
	return r
}

func (s *Server) rejectionHandler(kind errkind.Kind) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.reject(w, "", errkind.New(kind, ""))
	})
}

type tenantHandler func(w http.ResponseWriter, r *http.Request, tenant string)

// requireTenant authenticates a request and passes its tenant to next.
func (s *Server) requireTenant(next tenantHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		tenant, err := s.authenticate(r)
		if err != nil {
			s.reject(w, "", err)
			return
		}
		next(w, r, tenant)
	}
}

func (s *Server) authenticate(r *http.Request) (string, error) {
	header := r.Header.Get("Authorization")
	if header == "" {
		return "", errkind.New(errkind.Unauthenticated, "")
	}
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || strings.TrimSpace(key) == "" {
		return "", errkind.New(errkind.BadHeader, "Header Authorization must be: Bearer KEY.")
	}
	tenant, ok := s.records().TenantByKey(strings.TrimSpace(key))
	if !ok {
		return "", errkind.New(errkind.Unauthenticated, "")
	}
	return tenant, nil
}

// reject responds with an error and counts it.
func (s *Server) reject(w http.ResponseWriter, tenant string, err error) {
	e := errkind.From(err)
	s.metrics.countRejection(tenant, e.Kind)
	if e.Kind == errkind.Internal {
		s.log.Error("request failed", "tenant", tenant, "error", err)
	}
	errkind.Write(w, err)
}

// beginRequest registers a request in flight, so that a planned stop waits for it, and returns the function that
// unregisters it. It returns ShuttingDown while the daemon stops and QueueFull if too many calls are in flight.
func (s *Server) beginRequest() (endRequest func(), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil, errkind.New(errkind.ShuttingDown, "").WithRetryAfter(100 * time.Millisecond)
	}
	select {
	case s.callSlots <- struct{}{}:
	default:
		return nil, errkind.New(errkind.QueueFull, "The daemon has too many calls under way.").WithRetryAfter(time.Second)
	}
	s.inFlight.Add(1)
	return func() {
		<-s.callSlots
		s.inFlight.Done()
	}, nil
}

// StopAccepting makes the server reject new calls.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// WaitForCalls waits until no call is in flight. It returns the error of the context if the context ends first.
func (s *Server) WaitForCalls(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
