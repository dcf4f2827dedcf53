// Package ingress serves callers: it checks their requests, has the owner of a program admit each call, sends the call to
// an upstream, passes the answer on, and reports the outcome to the owner.
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
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/upstream"
)

// Owners reaches the owner of a program, wherever it is.
type OwnerClient interface {
	Create(ctx context.Context, tenant string, body caller.CreateProgram) (caller.CreatedProgram, error)
	Describe(ctx context.Context, ref peer.ProgramRef) (peer.ProgramDescription, error)
	History(ctx context.Context, ref peer.ProgramRef) ([]caller.Turn, error)
	End(ctx context.Context, ref peer.ProgramRef) error
	Admit(ctx context.Context, req program.AdmitRequest) (program.Admission, error)
	Complete(ctx context.Context, c program.Completion) (*caller.Result, error)
}

// Slots reaches the dispatcher of an engine group.
type SlotClient interface {
	Acquire(ctx context.Context, a peer.AcquireRequest) (peer.Slot, error)
	Release(r peer.ReleaseRequest)
}

// Streams opens the stream of a call that another daemon sends.
type StreamClient interface {
	Incarnation() string
	OpenStream(ctx context.Context, ingress, tenant, programID string, sequence uint64, offset int) (*http.Response, error)
}

// Config bounds the ingress.
type Config struct {
	DataCentre   string
	MaxBodyBytes int64
	MaxCalls     int           // Calls under way at once; further ones are refused.
	ResumeGrace  time.Duration // How long a stream without a reader goes on before it is cancelled.
	MaxAttempts  int           // Engines that one idempotent call may try.
}

// DefaultConfig returns the bounds of a daemon without settings.
func DefaultConfig() Config {
	return Config{
		MaxBodyBytes: 16 << 20,
		MaxCalls:     2000,
		ResumeGrace:  5 * time.Second,
		MaxAttempts:  3,
	}
}

// Server serves callers. It is safe for concurrent use.
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

	live     *liveStreams
	retries  *retryBudgets
	outputs  *outputMeans
	calls    chan struct{} // One element for each call under way.
	mu       sync.Mutex
	stopping bool
	inFlight sync.WaitGroup
}

// Dependencies are the parts that a Server works with.
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
}

// New returns a server.
func New(cfg Config, d Dependencies) *Server {
	return &Server{
		cfg:      cfg,
		records:  d.Records,
		owners:   d.Owners,
		slots:    d.Slots,
		streams:  d.Streams,
		engines:  d.Engines,
		services: d.Services,
		signer:   d.Signer,
		metrics:  d.Metrics,
		log:      d.Log,
		live:     newLiveStreams(cfg.ResumeGrace),
		retries:  newRetryBudgets(),
		outputs:  newOutputMeans(),
		calls:    make(chan struct{}, cfg.MaxCalls),
	}
}

// Handler returns the handler of the caller listener.
func (s *Server) Handler() http.Handler {
	// A path is not cleaned: the redirect to the clean path would not come from the table of error kinds.
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/v1/programs", s.tenant(s.createProgram)).Methods(http.MethodPost)
	r.HandleFunc("/v1/programs/{id}", s.tenant(s.describeProgram)).Methods(http.MethodGet)
	r.HandleFunc("/v1/programs/{id}", s.tenant(s.endProgram)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/programs/{id}/history", s.tenant(s.readHistory)).Methods(http.MethodGet)
	r.HandleFunc("/v1/programs/{id}/calls", s.tenant(s.postCall)).Methods(http.MethodPost)
	r.HandleFunc("/v1/programs/{id}/calls/{sequence}/stream", s.tenant(s.resumeStream)).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", s.tenant(s.postChat)).Methods(http.MethodPost)
	r.NotFoundHandler = s.refusal(errkind.PathNotFound)
	r.MethodNotAllowedHandler = s.refusal(errkind.MethodNotAllowed)
	return r
}

func (s *Server) refusal(kind errkind.Kind) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.refuse(w, "", errkind.New(kind, ""))
	})
}

type tenantHandler func(w http.ResponseWriter, r *http.Request, tenant string)

// tenant authenticates a request.
func (s *Server) tenant(next tenantHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		tenant, err := s.authenticate(r)
		if err != nil {
			s.refuse(w, "", err)
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

// refuse answers with an error and counts it.
func (s *Server) refuse(w http.ResponseWriter, tenant string, err error) {
	e := errkind.From(err)
	s.metrics.refused(tenant, e.Kind)
	if e.Kind == errkind.Internal {
		s.log.Error("request failed", "tenant", tenant, "error", err)
	}
	errkind.Write(w, err)
}

// begin counts a call in, so that a planned stop waits for it. It refuses when the daemon stops or has too many calls.
func (s *Server) begin() (end func(), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil, errkind.New(errkind.ShuttingDown, "").WithRetryAfter(100 * time.Millisecond)
	}
	select {
	case s.calls <- struct{}{}:
	default:
		return nil, errkind.New(errkind.QueueFull, "The daemon has too many calls under way.").WithRetryAfter(time.Second)
	}
	s.inFlight.Add(1)
	return func() {
		<-s.calls
		s.inFlight.Done()
	}, nil
}

// Stop refuses new calls.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Wait waits until the calls under way have ended, or the context ends.
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
