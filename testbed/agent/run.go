package agent

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/client"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/api/httpcheck"
	"jackdawbay.dev/daemon/clock"
)

// Kinds of steps.
const (
	StepModel = "model" // Streamed model call.
	StepStock = "stock" // Service call that may be repeated.
	StepOrder = "order" // Service call that must not be repeated.
	StepGate  = "gate"  // Waits until the gate file exists.
)

// Config configures a run.
type Config struct {
	Topology             Topology
	Name                 string // Prefix of call keys and business keys.
	Seed                 uint64
	Programs             int
	Steps                []string // Steps of every program. If empty, DrawnSteps steps are drawn from the seed.
	DrawnSteps           int
	OwnerVM              string   // VM that must own the programs. If empty, any VM may own them.
	IngressVMs           []string // VMs that receive the calls. If empty, all VMs receive calls.
	FirstIngressVM       string   // VM that receives the first request of each call. If empty, the VMs alternate.
	UntilBudgetExhausted bool     // Ends a program when its budget rejects a call. It is a violation if no call is rejected.
	MaxPause             time.Duration
	MaxOutputTokens      int
	ProgramBudgetTokens  int64
	RequestTimeout       time.Duration // Timeout of one request.
	CallTimeout          time.Duration // Timeout of one call including all its retries.
	OrderRetryTimeout    time.Duration // How long a rejected order is retried before the rejection is final.
	GateFile             string        // File whose existence opens the gate.
	Output               io.Writer     // Receives one line for each event.
}

// Run runs the programs of a config concurrently and returns the report. It joins the errors of all programs.
func Run(ctx context.Context, cfg Config) (Report, error) {
	report := Report{Name: cfg.Name, Seed: cfg.Seed, Programs: make([]Program, cfg.Programs)}
	failures := make([]error, cfg.Programs)
	out := &lineWriter{w: cfg.Output}
	progress := &gateProgress{programs: cfg.Programs, out: out}
	var group sync.WaitGroup
	for i := range cfg.Programs {
		group.Go(func() {
			r := newRunner(cfg, i, out, progress)
			failures[i] = r.run(ctx)
			report.Programs[i] = r.report
		})
	}
	group.Wait()
	for _, p := range report.Programs {
		for _, s := range p.Steps {
			report.MaxTurnGapMillis = max(report.MaxTurnGapMillis, s.SinceLastTurnMillis)
		}
	}
	return report, errors.Join(failures...)
}

// lineWriter writes lines of concurrent programs without interleaving them.
type lineWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lineWriter) printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.w, format+"\n", args...)
}

// gateProgress prints a line when all programs wait at the gate, and another one when the daemons have accepted the
// first call of every program after the gate.
type gateProgress struct {
	programs int
	out      *lineWriter

	mu                                sync.Mutex
	waitingPrograms, acceptedPrograms int
}

func (g *gateProgress) recordWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waitingPrograms++; g.waitingPrograms == g.programs {
		g.out.printf("gate reached by all programs")
	}
}

func (g *gateProgress) recordAccepted(sinceOpening time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.acceptedPrograms++; g.acceptedPrograms == g.programs {
		g.out.printf("gate passed: calls of all programs accepted ms=%d", sinceOpening.Milliseconds())
	}
}

// runner runs one program.
type runner struct {
	cfg            Config
	programIndex   int
	out            *lineWriter
	rng            *rand.Rand
	client         *client.Client
	program        *client.Program
	report         Program
	ordersBlocked  bool      // An order has an unknown outcome, so the program sends no further orders to the same service.
	lastResponseAt time.Time // Time of the last response.
	progress       *gateProgress
	unknownOrder   *caller.ServiceCall // Order with an unknown outcome, or nil.
	gateOpenedAt   time.Time           // When the gate opened. Zero once the next call is accepted.
}

func newRunner(cfg Config, index int, out *lineWriter, progress *gateProgress) *runner {
	transport := httpcheck.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second})
	return &runner{
		cfg:          cfg,
		programIndex: index,
		out:          out,
		progress:     progress,
		rng:          rand.New(rand.NewPCG(cfg.Seed, uint64(index))),
		client:       &client.Client{Key: cfg.Topology.TenantKey, HTTP: &http.Client{Transport: transport}},
	}
}

func (r *runner) printf(format string, args ...any) {
	r.out.printf("program=%d "+format, append([]any{r.programIndex + 1}, args...)...)
}

// recordViolation records a response that violates an invariant.
func (r *runner) recordViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.report.Violations = append(r.report.Violations, text)
	r.printf("fault=%q", text)
}

func (r *runner) callerURLs(vms []string) []string {
	var urls []string
	for vm, url := range r.cfg.Topology.CallerURLs {
		if len(vms) == 0 {
			urls = append(urls, url)
			continue
		}
		for _, v := range vms {
			if v == vm {
				urls = append(urls, url)
			}
		}
	}
	sort.Strings(urls)
	return urls
}

func (r *runner) run(ctx context.Context) error {
	if err := r.createProgram(ctx); err != nil {
		return errors.Wrapf(err, "program %d: create", r.programIndex+1)
	}
	steps := r.cfg.Steps
	if len(steps) == 0 {
		steps = r.drawSteps()
	}
	exhausted := false
	for i, kind := range steps {
		err := r.runStep(ctx, i+1, kind)
		if exhausted = r.cfg.UntilBudgetExhausted && errkind.Is(err, errkind.ProgramBudgetExhausted); exhausted {
			r.printf("budget is exhausted")
			break
		}
		if err != nil {
			return errors.Wrapf(err, "program %d: step %d (%s)", r.programIndex+1, i+1, kind)
		}
	}
	if r.cfg.UntilBudgetExhausted && !exhausted {
		r.recordViolation("the budget of %d tokens rejected no call", r.cfg.ProgramBudgetTokens)
	}
	if err := r.endProgram(ctx); err != nil {
		return errors.Wrapf(err, "program %d: end", r.programIndex+1)
	}
	r.report.Digest = r.program.Digest
	return nil
}

// drawSteps draws the kinds of the steps from the seed. On average half of them are model calls.
func (r *runner) drawSteps() []string {
	kinds := []string{StepModel, StepModel, StepStock, StepOrder}
	steps := make([]string, r.cfg.DrawnSteps)
	for i := range steps {
		steps[i] = kinds[r.rng.IntN(len(kinds))]
	}
	return steps
}

const retryInterval = 50 * time.Millisecond

// createProgram creates a program. If the config names an owner, it ends programs that get another owner and tries
// again.
func (r *runner) createProgram(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	ingressURLs := r.callerURLs(r.cfg.IngressVMs)
	r.client.BaseURLs = ingressURLs
	if r.cfg.OwnerVM != "" {
		r.client.BaseURLs = r.callerURLs([]string{r.cfg.OwnerVM})
	}
	if len(r.client.BaseURLs) == 0 || len(ingressURLs) == 0 {
		return errors.New("no daemon has the configured name")
	}
	defer func() { r.client.BaseURLs = ingressURLs }()
	body := caller.CreateProgram{Model: r.cfg.Topology.Model, BudgetTokens: r.cfg.ProgramBudgetTokens}
	for {
		p, err := r.client.Create(ctx, body)
		if err == nil {
			ok, err := r.acceptProgram(ctx, p)
			if ok || err != nil {
				return err
			}
		} else if !client.IsRetryable(err) {
			return err
		}
		if !clock.Sleep(ctx, retryInterval) {
			return errors.Wrap(ctx.Err(), "no program was created")
		}
	}
}

// acceptProgram adopts a program if its owner is the configured one, and ends it otherwise. It reports whether it
// adopted the program.
func (r *runner) acceptProgram(ctx context.Context, p *client.Program) (bool, error) {
	if r.cfg.OwnerVM != "" {
		d, err := p.Describe(ctx)
		if err != nil || d.Owner != r.cfg.OwnerVM {
			_, _ = p.End(ctx) // Without a response the program expires.
			return false, nil
		}
	}
	r.program = p
	r.lastResponseAt = time.Now()
	r.report.ID, r.report.RequestedBudgetTokens = p.ID, r.cfg.ProgramBudgetTokens
	r.printf("id=%s created", p.ID)
	return true, nil
}

// endProgram ends the program. It retries repeatable errors, and the daemons return the same response to a repeated
// request.
func (r *runner) endProgram(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	for {
		_, err := r.program.End(ctx)
		if err == nil {
			r.report.Ended = true
			r.printf("ended turns=%d", len(r.report.Turns))
			return nil
		}
		if !client.IsRetryable(err) || !clock.Sleep(ctx, retryInterval) {
			return err
		}
	}
}

func (r *runner) runStep(ctx context.Context, number int, kind string) error {
	if kind == StepGate {
		return r.waitAtGate(ctx, number)
	}
	if kind == StepOrder && r.ordersBlocked {
		kind = StepStock
	}
	s := Step{Kind: kind, CallKey: fmt.Sprintf("%s-%d-%d", r.cfg.Name, r.programIndex+1, number)}
	if r.cfg.MaxPause > 0 {
		pause := time.Duration(r.rng.Int64N(int64(r.cfg.MaxPause)))
		s.PauseMillis = pause.Milliseconds()
		if !clock.Sleep(ctx, pause) {
			return ctx.Err()
		}
	}
	r.printf("step=%d kind=%s starts", number, kind)
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	var err error
	switch kind {
	case StepModel:
		err = r.modelCall(ctx, number, &s)
	case StepStock:
		err = r.stockCall(ctx, &s)
	case StepOrder:
		err = r.orderCall(ctx, &s)
	default:
		return errors.Newf("unknown step %q", kind)
	}
	if err == nil && s.Error == "" {
		r.recordAccepted()
	}
	s.DurationMillis = time.Since(start).Milliseconds()
	s.SinceLastTurnMillis = time.Since(r.lastResponseAt).Milliseconds() - s.PauseMillis
	r.lastResponseAt = time.Now()
	r.report.Steps = append(r.report.Steps, s)
	r.printf("step=%d kind=%s tries=%d error=%s ms=%d first_ms=%d max_gap_ms=%d done", number, kind, s.Attempts, orNone(s.Error), s.DurationMillis, s.FirstTextMillis, s.MaxTextGapMillis)
	return err
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// waitAtGate waits until the gate file exists.
func (r *runner) waitAtGate(ctx context.Context, number int) error {
	r.printf("step=%d kind=gate waits", number)
	r.progress.recordWaiting()
	for {
		if _, err := os.Stat(r.cfg.GateFile); err == nil {
			r.lastResponseAt = time.Now()
			r.gateOpenedAt = r.lastResponseAt
			r.printf("step=%d kind=gate opened", number)
			return nil
		}
		if !clock.Sleep(ctx, 5*time.Millisecond) {
			return ctx.Err()
		}
	}
}

// recordAccepted records that the first call after the gate was accepted. Further calls have no effect.
func (r *runner) recordAccepted() {
	if !r.gateOpenedAt.IsZero() {
		r.progress.recordAccepted(time.Since(r.gateOpenedAt))
		r.gateOpenedAt = time.Time{}
	}
}

// attempt sends one request of a call with the request timeout and counts it. If the sequence is wrong because an
// unknown order has completed meanwhile, it records that order and sends the request again.
func (r *runner) attempt(ctx context.Context, s *Step, request func(context.Context) (caller.Result, error)) (caller.Result, error) {
	s.Attempts++
	if firstURLs := r.callerURLs([]string{r.cfg.FirstIngressVM}); r.cfg.FirstIngressVM != "" && s.Attempts == 1 {
		r.client.BaseURLs = firstURLs
		defer func() { r.client.BaseURLs = r.callerURLs(r.cfg.IngressVMs) }()
	}
	// The timeout of a request is not the deadline of the call: a daemon that reads the request late may still run it.
	// The context is therefore cancelled by a timer and carries no earlier deadline.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer time.AfterFunc(r.cfg.RequestTimeout, cancel).Stop()
	result, err := request(ctx)
	if errkind.Is(err, errkind.WrongSequence) && r.resolveUnknownOrder(ctx) {
		result, err = request(ctx)
	}
	if err != nil {
		r.printf("key=%s try=%d error=%q", s.CallKey, s.Attempts, err)
	}
	return result, err
}

// recordTurn records the turn of a result. The client has already verified that the turn continues the digest chain.
func (r *runner) recordTurn(s *Step, result caller.Result) {
	if result.Turn.CallKey != s.CallKey {
		r.recordViolation("the response to %s has the call key %s", s.CallKey, result.Turn.CallKey)
	}
	if result.Turn.Sequence != uint64(len(r.report.Turns))+1 {
		r.recordViolation("the response to %s has the sequence %d after %d turns", s.CallKey, result.Turn.Sequence, len(r.report.Turns))
	}
	r.report.Turns = append(r.report.Turns, result.Turn)
}

func (r *runner) modelCall(ctx context.Context, number int, s *Step) error {
	text := fmt.Sprintf("%s: question %d of program %d, seed %d.", r.cfg.Name, number, r.programIndex+1, r.cfg.Seed)
	messages := []caller.Message{{Role: "user", Content: caller.Text(text)}}
	call := caller.ModelCall{Messages: messages, MaxTokens: r.cfg.MaxOutputTokens}
	want, err := expectedReply(r.cfg, r.report.Turns, messages)
	if err != nil {
		return err
	}
	var streamed strings.Builder
	result, err := r.program.RetryUntilFinal(ctx, func(ctx context.Context) (caller.Result, error) {
		return r.attempt(ctx, s, func(ctx context.Context) (caller.Result, error) {
			streamed.Reset()
			return r.program.InvokeModel(ctx, s.CallKey, call, r.collectStream(number, s, &streamed, want))
		})
	})
	if err != nil {
		s.Error = string(errkind.From(err).Kind)
		return err
	}
	r.recordTurn(s, result)
	switch message := result.Turn.Message; {
	case message == nil:
		r.recordViolation("the response to %s has no message", s.CallKey)
	case string(message.Content) != want:
		r.recordViolation("the response to %s is %q, expected the engine's text %q", s.CallKey, message.Content, want)
	case streamed.String() != want:
		r.recordViolation("the stream of %s has %d bytes, expected the engine's %d bytes", s.CallKey, streamed.Len(), len(want))
	}
	return nil
}

// collectStream returns a callback that collects the streamed text and checks that it is a prefix of the expected text.
func (r *runner) collectStream(number int, s *Step, streamed *strings.Builder, want string) func(caller.Delta) {
	start := time.Now()
	var last time.Time
	return func(d caller.Delta) {
		now := time.Now()
		if last.IsZero() {
			if s.FirstTextMillis == 0 {
				s.FirstTextMillis = max(now.Sub(start).Milliseconds(), 1)
			}
			r.printf("step=%d streams", number)
			r.recordAccepted()
		} else {
			s.MaxTextGapMillis = max(s.MaxTextGapMillis, now.Sub(last).Milliseconds())
		}
		last = now
		if d.Offset != streamed.Len() {
			r.recordViolation("the stream of %s has offset %d after %d bytes", s.CallKey, d.Offset, streamed.Len())
		}
		streamed.WriteString(d.Text)
		if !strings.HasPrefix(want, streamed.String()) {
			r.recordViolation("the stream of %s differs from the engine's text in the piece at byte %d", s.CallKey, d.Offset)
		}
	}
}

func (r *runner) stockCall(ctx context.Context, s *Step) error {
	path := "/stock/" + s.CallKey
	call := caller.ServiceCall{Upstream: r.cfg.Topology.StockService, Method: http.MethodGet, Path: path}
	result, err := r.program.RetryUntilFinal(ctx, func(ctx context.Context) (caller.Result, error) {
		return r.attempt(ctx, s, func(ctx context.Context) (caller.Result, error) { return r.program.InvokeService(ctx, s.CallKey, call) })
	})
	if err != nil {
		s.Error = string(errkind.From(err).Kind)
		return err
	}
	r.recordTurn(s, result)
	body, err := decodeServiceResult(result)
	if err != nil || body.Path != path {
		r.recordViolation("the response to %s belongs to path %q: %v", s.CallKey, body.Path, err)
	}
	return nil
}

// isNotSent reports whether a request certainly did not reach a daemon because the connection could not be established.
// A load balancer can distinguish this case too.
func isNotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
