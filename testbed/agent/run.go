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
	"jackdawbay.dev/daemon/clock"
)

// Kinds of steps.
const (
	StepModel = "model" // Streamed model call.
	StepStock = "stock" // Service call that may be repeated.
	StepOrder = "order" // Service call that may not be repeated.
	StepGate  = "gate"  // Waits until the gate file exists.
)

// Config describes a run.
type Config struct {
	Topology             Topology
	Name                 string // Prefix of call keys and business keys.
	Seed                 uint64
	Programs             int
	Steps                []string // Steps of every program; empty draws Turns steps from the seed.
	DrawnSteps           int
	OwnerVM              string   // VM that must own the programs; empty leaves it open.
	IngressVMs           []string // VMs that take the calls; empty takes all.
	FirstIngressVM       string   // VM that gets the first request of each call; empty takes them in turn.
	UntilBudgetExhausted bool     // Ends a program when its budget refuses a call, which must happen.
	MaxPause             time.Duration
	MaxOutputTokens      int
	ProgramBudgetTokens  int64
	RequestTimeout       time.Duration // Bound of one request.
	CallTimeout          time.Duration // Bound of one call with all its repeats.
	OrderRetryTimeout    time.Duration // How long an order is repeated before its refusal is accepted.
	GateFile             string        // File that opens the gate.
	Output               io.Writer     // Gets a line for each event.
}

// Run runs the programs of a config side by side and returns the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	report := Report{Name: cfg.Name, Seed: cfg.Seed, Programs: make([]Program, cfg.Programs)}
	failures := make([]error, cfg.Programs)
	out := &lineWriter{w: cfg.Output}
	gate := &gateCount{programs: cfg.Programs, out: out}
	var group sync.WaitGroup
	for i := range cfg.Programs {
		group.Go(func() {
			r := newRunner(cfg, i, out, gate)
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

// lineWriter keeps the lines of concurrent programs whole.
type lineWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lineWriter) printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.w, format+"\n", args...)
}

// gateCount tells when all programs wait at the gate, and when the first call of each after the gate was accepted.
type gateCount struct {
	programs int
	out      *lineWriter

	mu               sync.Mutex
	waiting, answers int
}

func (g *gateCount) wait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting++; g.waiting == g.programs {
		g.out.printf("gate reached by all programs")
	}
}

func (g *gateCount) accepted(after time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answers++; g.answers == g.programs {
		g.out.printf("gate passed: calls of all programs accepted ms=%d", after.Milliseconds())
	}
}

// runner runs one program.
type runner struct {
	cfg     Config
	index   int
	out     *lineWriter
	rng     *rand.Rand
	client  *client.Client
	program *client.Program
	report  Program
	blocked bool      // An order has an unknown outcome, which bars further orders to the same service.
	last    time.Time // Last answer.
	gates   *gateCount
	unknown *caller.ServiceCall // Order with an unknown outcome, if there is one.
	opened  time.Time           // When the gate opened, until the next call was accepted.
}

func newRunner(cfg Config, index int, out *lineWriter, gate *gateCount) *runner {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}
	return &runner{
		cfg:    cfg,
		index:  index,
		out:    out,
		gates:  gate,
		rng:    rand.New(rand.NewPCG(cfg.Seed, uint64(index))),
		client: &client.Client{Key: cfg.Topology.TenantKey, HTTP: &http.Client{Transport: transport}},
	}
}

func (r *runner) printf(format string, args ...any) {
	r.out.printf("program=%d "+format, append([]any{r.index + 1}, args...)...)
}

// fault records an answer that breaks a rule.
func (r *runner) fault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.report.Violations = append(r.report.Violations, text)
	r.printf("fault=%q", text)
}

func (r *runner) urls(vms []string) []string {
	var list []string
	for vm, url := range r.cfg.Topology.CallerURLs {
		if len(vms) == 0 {
			list = append(list, url)
			continue
		}
		for _, v := range vms {
			if v == vm {
				list = append(list, url)
			}
		}
	}
	sort.Strings(list)
	return list
}

func (r *runner) run(ctx context.Context) error {
	if err := r.create(ctx); err != nil {
		return errors.Wrapf(err, "program %d: create", r.index+1)
	}
	steps := r.cfg.Steps
	if len(steps) == 0 {
		steps = r.drawSteps()
	}
	exhausted := false
	for i, kind := range steps {
		err := r.step(ctx, i+1, kind)
		if exhausted = r.cfg.UntilBudgetExhausted && errkind.Is(err, errkind.ProgramBudgetExhausted); exhausted {
			r.printf("budget is exhausted")
			break
		}
		if err != nil {
			return errors.Wrapf(err, "program %d: step %d (%s)", r.index+1, i+1, kind)
		}
	}
	if r.cfg.UntilBudgetExhausted && !exhausted {
		r.fault("the budget of %d tokens refused no call", r.cfg.ProgramBudgetTokens)
	}
	if err := r.end(ctx); err != nil {
		return errors.Wrapf(err, "program %d: end", r.index+1)
	}
	r.report.Digest = r.program.Digest
	return nil
}

// drawSteps draws steps from the seed: half of them are model calls.
func (r *runner) drawSteps() []string {
	kinds := []string{StepModel, StepModel, StepStock, StepOrder}
	steps := make([]string, r.cfg.DrawnSteps)
	for i := range steps {
		steps[i] = kinds[r.rng.IntN(len(kinds))]
	}
	return steps
}

const retryInterval = 50 * time.Millisecond

// create starts a program. Where the config names an owner, it ends programs that another daemon got.
func (r *runner) create(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	through := r.urls(r.cfg.IngressVMs)
	r.client.BaseURLs = through
	if r.cfg.OwnerVM != "" {
		r.client.BaseURLs = r.urls([]string{r.cfg.OwnerVM})
	}
	if len(r.client.BaseURLs) == 0 || len(through) == 0 {
		return errors.New("no daemon has the given name")
	}
	defer func() { r.client.BaseURLs = through }()
	body := caller.CreateProgram{Model: r.cfg.Topology.Model, BudgetTokens: r.cfg.ProgramBudgetTokens}
	for {
		p, err := r.client.Create(ctx, body)
		if err == nil {
			ok, err := r.takeProgram(ctx, p)
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

// takeProgram accepts a program whose owner is the one that is asked for.
func (r *runner) takeProgram(ctx context.Context, p *client.Program) (bool, error) {
	if r.cfg.OwnerVM != "" {
		d, err := p.Describe(ctx)
		if err != nil || d.Owner != r.cfg.OwnerVM {
			_, _ = p.End(ctx) // Without an answer the program expires.
			return false, nil
		}
	}
	r.program = p
	r.last = time.Now()
	r.report.ID, r.report.RequestedBudgetTokens = p.ID, r.cfg.ProgramBudgetTokens
	r.printf("id=%s created", p.ID)
	return true, nil
}

// end closes the program and lets the daemons repeat what they answer to a second request.
func (r *runner) end(ctx context.Context) error {
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

func (r *runner) step(ctx context.Context, n int, kind string) error {
	if kind == StepGate {
		return r.gate(ctx, n)
	}
	if kind == StepOrder && r.blocked {
		kind = StepStock
	}
	s := Step{Kind: kind, CallKey: fmt.Sprintf("%s-%d-%d", r.cfg.Name, r.index+1, n)}
	if r.cfg.MaxPause > 0 {
		d := time.Duration(r.rng.Int64N(int64(r.cfg.MaxPause)))
		s.PauseMillis = d.Milliseconds()
		if !clock.Sleep(ctx, d) {
			return ctx.Err()
		}
	}
	r.printf("step=%d kind=%s starts", n, kind)
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	var err error
	switch kind {
	case StepModel:
		err = r.model(ctx, n, &s)
	case StepStock:
		err = r.stock(ctx, &s)
	case StepOrder:
		err = r.order(ctx, &s)
	default:
		return errors.Newf("the step %q does not exist", kind)
	}
	if err == nil && s.Error == "" {
		r.accepted()
	}
	s.DurationMillis = time.Since(start).Milliseconds()
	s.SinceLastTurnMillis = time.Since(r.last).Milliseconds() - s.PauseMillis
	r.last = time.Now()
	r.report.Steps = append(r.report.Steps, s)
	r.printf("step=%d kind=%s tries=%d error=%s ms=%d first_ms=%d max_gap_ms=%d done", n, kind, s.Attempts, orNone(s.Error), s.DurationMillis, s.FirstTextMillis, s.MaxTextGapMillis)
	return err
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// gate waits until the script lets the programs go on.
func (r *runner) gate(ctx context.Context, n int) error {
	r.printf("step=%d kind=gate waits", n)
	r.gates.wait()
	for {
		if _, err := os.Stat(r.cfg.GateFile); err == nil {
			r.last = time.Now()
			r.opened = r.last
			r.printf("step=%d kind=gate opened", n)
			return nil
		}
		if !clock.Sleep(ctx, 5*time.Millisecond) {
			return ctx.Err()
		}
	}
}

// accepted notes the first sign of an answer after the gate.
func (r *runner) accepted() {
	if !r.opened.IsZero() {
		r.gates.accepted(time.Since(r.opened))
		r.opened = time.Time{}
	}
}

// try bounds one request of a call and counts it.
func (r *runner) try(ctx context.Context, s *Step, f func(context.Context) (caller.Result, error)) (caller.Result, error) {
	s.Attempts++
	if first := r.urls([]string{r.cfg.FirstIngressVM}); r.cfg.FirstIngressVM != "" && s.Attempts == 1 {
		r.client.BaseURLs = first
		defer func() { r.client.BaseURLs = r.urls(r.cfg.IngressVMs) }()
	}
	// The bound of a request is not the deadline of the call: a daemon that is slow to read it may still run it.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer time.AfterFunc(r.cfg.RequestTimeout, cancel).Stop()
	result, err := f(ctx)
	if errkind.Is(err, errkind.WrongSequence) && r.settleOrder(ctx) {
		result, err = f(ctx)
	}
	if err != nil {
		r.printf("key=%s try=%d error=%q", s.CallKey, s.Attempts, err)
	}
	return result, err
}

// keep records the turn of a result. The client has checked that it continues the digest chain.
func (r *runner) keep(s *Step, result caller.Result) {
	if result.Turn.CallKey != s.CallKey {
		r.fault("the answer to %s has the call key %s", s.CallKey, result.Turn.CallKey)
	}
	if result.Turn.Sequence != uint64(len(r.report.Turns))+1 {
		r.fault("the answer to %s has the sequence %d after %d turns", s.CallKey, result.Turn.Sequence, len(r.report.Turns))
	}
	r.report.Turns = append(r.report.Turns, result.Turn)
}

func (r *runner) model(ctx context.Context, n int, s *Step) error {
	text := fmt.Sprintf("%s: question %d of program %d, seed %d.", r.cfg.Name, n, r.index+1, r.cfg.Seed)
	messages := []caller.Message{{Role: "user", Content: caller.Text(text)}}
	call := caller.ModelCall{Messages: messages, MaxTokens: r.cfg.MaxOutputTokens}
	want, err := predict(r.cfg, r.report.Turns, messages)
	if err != nil {
		return err
	}
	var got strings.Builder
	result, err := r.program.RetryUntilFinal(ctx, func(ctx context.Context) (caller.Result, error) {
		return r.try(ctx, s, func(ctx context.Context) (caller.Result, error) {
			got.Reset()
			return r.program.InvokeModel(ctx, s.CallKey, call, r.follow(n, s, &got, want))
		})
	})
	if err != nil {
		s.Error = string(errkind.From(err).Kind)
		return err
	}
	r.keep(s, result)
	switch answer := result.Turn.Message; {
	case answer == nil:
		r.fault("the answer to %s has no message", s.CallKey)
	case string(answer.Content) != want:
		r.fault("the answer to %s is %q, the engine's text is %q", s.CallKey, answer.Content, want)
	case got.String() != want:
		r.fault("the stream of %s has %d bytes, the engine's text has %d", s.CallKey, got.Len(), len(want))
	}
	return nil
}

// follow collects streamed text and checks that it is the start of the expected text.
func (r *runner) follow(n int, s *Step, got *strings.Builder, want string) func(caller.Delta) {
	start := time.Now()
	var last time.Time
	return func(d caller.Delta) {
		now := time.Now()
		if last.IsZero() {
			if s.FirstTextMillis == 0 {
				s.FirstTextMillis = max(now.Sub(start).Milliseconds(), 1)
			}
			r.printf("step=%d streams", n)
			r.accepted()
		} else {
			s.MaxTextGapMillis = max(s.MaxTextGapMillis, now.Sub(last).Milliseconds())
		}
		last = now
		if d.Offset != got.Len() {
			r.fault("the stream of %s has offset %d after %d bytes", s.CallKey, d.Offset, got.Len())
		}
		got.WriteString(d.Text)
		if !strings.HasPrefix(want, got.String()) {
			r.fault("the stream of %s leaves the engine's text at byte %d", s.CallKey, d.Offset)
		}
	}
}

func (r *runner) stock(ctx context.Context, s *Step) error {
	path := "/stock/" + s.CallKey
	call := caller.ServiceCall{Upstream: r.cfg.Topology.StockService, Method: http.MethodGet, Path: path}
	result, err := r.program.RetryUntilFinal(ctx, func(ctx context.Context) (caller.Result, error) {
		return r.try(ctx, s, func(ctx context.Context) (caller.Result, error) { return r.program.InvokeService(ctx, s.CallKey, call) })
	})
	if err != nil {
		s.Error = string(errkind.From(err).Kind)
		return err
	}
	r.keep(s, result)
	body, err := serviceBody(result)
	if err != nil || body.Path != path {
		r.fault("the answer to %s is that of path %q: %v", s.CallKey, body.Path, err)
	}
	return nil
}

// notSent reports whether a request certainly did not reach a daemon, as a balancer would see it.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
