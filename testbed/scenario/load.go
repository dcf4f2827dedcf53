package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"jackdawbay.dev/api/caller"
	callerapi "jackdawbay.dev/api/client"
	"jackdawbay.dev/api/errkind"
)

// The balancer looks at the readiness of each daemon at this interval, and a stopping daemon still takes calls for several
// intervals.
const (
	balancerInterval = 50 * time.Millisecond
	balancerDelay    = 10 * balancerInterval
)

const (
	loadTimeout   = 30 * time.Second // Bound of one call with its repeats.
	endTimeout    = 20 * time.Second // Bound of the wait for the callers at the end of a load.
	turnsPerRound = 4
	maxOutput     = 40
)

// balancer sends each request on a new connection to the next ready daemon, and to another one when the connection is
// refused, as the platform's load balancer does.
type balancer struct {
	harness   *harness
	names     []string
	transport http.RoundTripper
	next      atomic.Uint64

	mu       sync.Mutex
	ready    []string
	cut      int            // Requests whose response was not received whole.
	cuts     []string       // The first of them.
	refused  map[string]int // Responses by error kind.
	requests int
}

func newBalancer(h *harness, names []string) *balancer {
	return &balancer{
		harness: h, names: names, ready: names, refused: map[string]int{},
		transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
	}
}

func (b *balancer) watch(ctx context.Context) {
	tick := time.NewTicker(balancerInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var ready []string
		for _, name := range b.names {
			if b.harness.isReady(name) {
				ready = append(ready, name)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
	}
}

func (b *balancer) pick() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	return b.harness.addresses[b.ready[int(b.next.Add(1))%len(b.ready)]], true
}

var errNoDaemon = errors.New("no daemon is ready")

// RoundTrip implements http.RoundTripper.
func (b *balancer) RoundTrip(req *http.Request) (*http.Response, error) {
	for range 2 * len(b.names) {
		address, ok := b.pick()
		if !ok {
			return nil, errNoDaemon
		}
		out := req.Clone(req.Context())
		out.URL.Host = address
		if req.GetBody != nil {
			body, err := req.GetBody()
			if err != nil {
				return nil, err
			}
			out.Body = body
		}
		resp, err := b.transport.RoundTrip(out)
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			continue
		}
		b.note(req, address, resp, err)
		if err != nil {
			return nil, err
		}
		resp.Body = &countedBody{ReadCloser: resp.Body, cut: func(err error) { b.noteCut(req, address, err) }}
		return resp, nil
	}
	return nil, errNoDaemon
}

func (b *balancer) note(req *http.Request, address string, resp *http.Response, err error) {
	if err != nil {
		b.noteCut(req, address, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
}

func (b *balancer) noteCut(req *http.Request, address string, err error) {
	if req.Context().Err() != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut++
	if len(b.cuts) < 5 {
		b.cuts = append(b.cuts, fmt.Sprintf("%s %s at %s: %v", req.Method, req.URL.Path, address, err))
	}
}

func (b *balancer) noteError(err error) {
	var e *errkind.Error
	if !errors.As(err, &e) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused[string(e.Kind)]++
}

// countedBody reports a body that ends before its end.
type countedBody struct {
	io.ReadCloser
	cut func(error)
}

func (c *countedBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		c.cut(err)
	}
	return n, err
}

// load is a set of callers that run until the script ends them.
type load struct {
	balancer *balancer
	cancel   context.CancelFunc
	stop     chan struct{}
	group    sync.WaitGroup
	calls    atomic.Int64
	orders   sync.Map // Business key of each order that had a result.

	mu       sync.Mutex
	failures []string
	slowest  time.Duration
	marked   time.Time
	upstream map[string]int // Model calls by engine that started after the mark.
}

// cmdLoad is "load NAME CALLERS [DAEMON...]": starts callers that run programs of model calls, stock checks and orders
// through a balancer in front of the daemons, by default those of the installation. They repeat what a response allows to repeat.
func (h *harness) cmdLoad(_ *testscript.TestScript, args []string) error {
	if len(args) < 2 || h.installation == nil || h.loads[args[0]] != nil {
		return usage("load NAME CALLERS [DAEMON...]")
	}
	callers, err := strconv.Atoi(args[1])
	if err != nil || callers < 1 || callers > 100 {
		return usage("load NAME CALLERS [DAEMON...]")
	}
	names := args[2:]
	if len(names) == 0 {
		for _, d := range h.installation.daemons {
			names = append(names, d.name)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{balancer: newBalancer(h, names), cancel: cancel, stop: make(chan struct{}), upstream: map[string]int{}}
	h.loads[args[0]] = l
	l.group.Go(func() { l.balancer.watch(ctx) })
	c := &callerapi.Client{BaseURLs: []string{"http://balancer"}, Key: installationKeys["tenant"], HTTP: &http.Client{Transport: l.balancer}}
	done := &sync.WaitGroup{}
	for i := range callers {
		done.Go(func() { l.run(ctx, c, args[0]+"-"+strconv.Itoa(i)) })
	}
	go func() {
		done.Wait()
		cancel() // Ends the balancer's watch.
	}()
	return nil
}

func (l *load) fail(name string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, name+": "+err.Error())
}

func (l *load) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// run makes one program after the other.
func (l *load) run(ctx context.Context, c *callerapi.Client, name string) {
	for round := 0; !l.stopped(); round++ {
		if err := l.program(ctx, c, fmt.Sprintf("%s-%d", name, round)); err != nil {
			l.fail(name, err)
			return
		}
	}
}

func (l *load) program(ctx context.Context, c *callerapi.Client, name string) error {
	var p *callerapi.Program
	err := l.repeat(ctx, func(ctx context.Context) (err error) {
		p, err = c.Create(ctx, caller.CreateProgram{Model: installationModel})
		return err
	})
	if err != nil {
		return errors.Wrap(err, "create")
	}
	var texts []string
	for turn := range turnsPerRound {
		text, err := l.turn(ctx, p, name, turn)
		if err != nil {
			return errors.Wrapf(err, "turn %d of %s", turn+1, p.ID)
		}
		texts = append(texts, text)
	}
	return errors.Wrapf(l.checkHistory(ctx, p, texts), "history of %s", p.ID)
}

// repeat sends a request that may be repeated until it has a result.
func (l *load) repeat(ctx context.Context, try func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for {
		start := time.Now()
		err := try(ctx)
		l.mu.Lock()
		l.slowest = max(l.slowest, time.Since(start))
		l.mu.Unlock()
		if err != nil {
			l.balancer.noteError(err)
		}
		if err == nil || !callerapi.IsRetryable(err) || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(balancerInterval):
		}
	}
}

// turn makes one call and returns the text of its answer.
func (l *load) turn(ctx context.Context, p *callerapi.Program, name string, turn int) (string, error) {
	key := "call-" + strconv.Itoa(turn+1)
	started := time.Now()
	var r caller.Result
	err := l.repeat(ctx, func(ctx context.Context) (err error) {
		switch turn {
		case 1:
			r, err = p.InvokeService(ctx, key, caller.ServiceCall{Upstream: installationStock, Method: http.MethodGet, Path: "/stock/jersey-m"})
		case 2:
			body := json.RawMessage(`{"business_key":"` + name + `"}`)
			r, err = p.InvokeService(ctx, key, caller.ServiceCall{Upstream: installationPrinter, Path: "/orders", Body: body})
		default:
			r, err = l.model(ctx, p, key, name)
		}
		return err
	})
	if err != nil {
		return "", err
	}
	l.calls.Add(1)
	if turn == 2 {
		l.orders.Store(name, true)
	}
	if r.Turn.Message == nil {
		return "", nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if started.After(l.marked) {
		l.upstream[r.Upstream]++
	}
	return string(r.Turn.Message.Content), nil
}

// model makes a streamed call and checks that the pieces make up the text of the result.
func (l *load) model(ctx context.Context, p *callerapi.Program, key, name string) (caller.Result, error) {
	var sb strings.Builder
	call := caller.ModelCall{Messages: []caller.Message{{Role: "user", Content: caller.Text("Next step of " + name)}}, MaxTokens: maxOutput}
	r, err := p.InvokeModel(ctx, key, call, func(d caller.Delta) { sb.WriteString(d.Text) })
	if err == nil && sb.String() != string(r.Turn.Message.Content) {
		return r, errors.Newf("the stream has %q and the result %q", sb.String(), r.Turn.Message.Content)
	}
	return r, err
}

func (l *load) checkHistory(ctx context.Context, p *callerapi.Program, texts []string) error {
	var turns []caller.Turn
	err := l.repeat(ctx, func(ctx context.Context) (err error) {
		turns, err = p.History(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if len(turns) != len(texts) {
		return errors.Newf("it has %d turns, the caller made %d", len(turns), len(texts))
	}
	for i, t := range turns {
		if t.Message != nil && string(t.Message.Content) != texts[i] {
			return errors.Newf("turn %d differs from what its caller got", i+1)
		}
	}
	return nil
}

// loadReport is the result of a load, for the checks of a script.
type loadReport struct {
	Calls               int64          `json:"calls"`
	Requests            int            `json:"requests"`
	IncompleteResponses int            `json:"cut"`
	FirstIncomplete     []string       `json:"cuts,omitempty"`
	RejectionsByKind    map[string]int `json:"refused"`
	FailedPrograms      int            `json:"failed"`
	Failures            []string       `json:"failures,omitempty"`
	Orders              int            `json:"orders"`
	OrdersNotRunOnce    []string       `json:"other_runs"` // Orders that did not run exactly once, as KEY=RUNS.
	SlowestMS           int64          `json:"slowest_ms"`
	ModelCallsByEngine  map[string]int `json:"upstreams"` // Model calls by engine since the mark.
	TotalRejections     int            `json:"refused_sum"`
}

func (h *harness) findLoad(args []string, synopsis string) (*load, error) {
	if len(args) == 0 || h.loads[args[0]] == nil {
		return nil, usage("%s", synopsis)
	}
	return h.loads[args[0]], nil
}

// cmdCalls is "calls NAME COUNT": checks that a load has made at least so many calls.
func (h *harness) cmdCalls(_ *testscript.TestScript, args []string) error {
	l, err := h.findLoad(args, "calls NAME COUNT")
	if err != nil {
		return err
	}
	if len(args) != 2 {
		return usage("calls NAME COUNT")
	}
	count, err := strconv.ParseInt(args[1], 10, 64)
	if err != nil {
		return usage("%v", err)
	}
	if got := l.calls.Load(); got < count {
		return errors.Newf("%s has made %d calls", args[0], got)
	}
	return nil
}

// cmdMark is "mark NAME": forgets which engines the calls of a load used; only calls that start from now on count.
func (h *harness) cmdMark(_ *testscript.TestScript, args []string) error {
	l, err := h.findLoad(args, "mark NAME")
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.marked, l.upstream = time.Now(), map[string]int{}
	return nil
}

// cmdResume is "resume DAEMON PROGRAM SEQUENCE OFFSET": reads the answer of a call from a byte offset through a daemon,
// and checks that the pieces start at the offset, follow each other and make up the rest of the result's text.
func (h *harness) cmdResume(_ *testscript.TestScript, args []string) error {
	const synopsis = "resume DAEMON PROGRAM SEQUENCE OFFSET"
	if len(args) != 4 {
		return usage(synopsis)
	}
	sequence, err := strconv.ParseUint(args[2], 10, 63)
	if err != nil {
		return usage(synopsis)
	}
	offset, err := strconv.Atoi(args[3])
	if err != nil {
		return usage(synopsis)
	}
	c := &callerapi.Client{BaseURLs: []string{"http://" + h.addresses[args[0]]}, Key: installationKeys["tenant"]}
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	var sb strings.Builder
	first := -1
	r, err := c.Open(args[1]).Resume(ctx, sequence, offset, func(d caller.Delta) {
		if first < 0 {
			first = d.Offset
		}
		sb.WriteString(d.Text)
	})
	if err != nil {
		return err
	}
	text := string(r.Turn.Message.Content)
	if first != offset || offset > len(text) || sb.String() != text[offset:] {
		return errors.Newf("the stream has %q from %d on and the result %q", sb.String(), first, text)
	}
	return nil
}

// cmdEndload is "endload NAME [CHECK...]": lets the callers finish their programs and checks the report. Without a check,
// no program may have failed and each order must have run exactly once. The checks are those of the command http on the
// fields calls, requests, cut, refused.KIND, refused_sum and slowest_ms.
func (h *harness) cmdEndload(ts *testscript.TestScript, args []string) error {
	const synopsis = "endload NAME [CHECK...]"
	l, err := h.findLoad(args, synopsis)
	if err != nil {
		return err
	}
	call := httpCall{headers: http.Header{}}
	for _, arg := range args[1:] {
		if err := call.parseArgument(1, arg); err != nil {
			return err
		}
	}
	report, err := h.finish(l)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(report)
	if err != nil {
		return errors.Wrap(err, "encode the report")
	}
	ts.Logf("%s", raw)
	_, _ = ts.Stdout().Write(raw)
	if report.FailedPrograms > 0 || len(report.OrdersNotRunOnce) > 0 || report.Calls == 0 {
		return errors.Newf("the load failed: %s", raw)
	}
	return errors.Wrapf(call.check(&http.Response{StatusCode: http.StatusOK}, raw), "%s", raw)
}

func (h *harness) finish(l *load) (loadReport, error) {
	close(l.stop)
	ended := make(chan struct{})
	go func() {
		l.group.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(endTimeout):
		l.cancel()
		return loadReport{}, errors.Newf("the callers did not end within %s", endTimeout)
	}
	b := l.balancer
	r := loadReport{
		Calls: l.calls.Load(), Requests: b.requests, IncompleteResponses: b.cut, FirstIncomplete: b.cuts, RejectionsByKind: b.refused,
		FailedPrograms: len(l.failures), Failures: l.failures, OrdersNotRunOnce: []string{}, SlowestMS: l.slowest.Milliseconds(), ModelCallsByEngine: l.upstream,
	}
	for n := range maps.Values(b.refused) {
		r.TotalRejections += n
	}
	var body struct {
		Runs map[string]int `json:"runs"`
	}
	if err := h.exchange(installationPrinter, http.MethodGet, "/control/runs", nil, &body); err != nil {
		return r, err
	}
	l.orders.Range(func(key, _ any) bool {
		r.Orders++
		if n := body.Runs[key.(string)]; n != 1 {
			r.OrdersNotRunOnce = append(r.OrdersNotRunOnce, fmt.Sprintf("%s=%d", key, n))
		}
		return true
	})
	for _, key := range slices.Sorted(maps.Keys(body.Runs)) {
		if n := body.Runs[key]; n > 1 {
			r.OrdersNotRunOnce = append(r.OrdersNotRunOnce, fmt.Sprintf("%s=%d", key, n))
		}
	}
	return r, nil
}
