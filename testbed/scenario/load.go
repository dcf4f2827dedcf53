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

// The balancer polls the readiness of each daemon at this interval. A stopping daemon accepts calls for several
// intervals, so that the balancer observes that it is no longer ready.
const (
	balancerPollInterval = 50 * time.Millisecond
	balancerDrainDelay   = 10 * balancerPollInterval
)

const (
	loadCallTimeout = 30 * time.Second // Timeout of one call including its retries.
	endLoadTimeout  = 20 * time.Second // Maximum time for a load's callers to finish.
	turnsPerProgram = 4
	maxOutputTokens = 40
)

// balancer is an http.RoundTripper that sends each request on a new connection to the next ready daemon. It tries
// another daemon when the connection is refused, as the platform's load balancer does.
type balancer struct {
	harness      *harness
	daemonNames  []string
	transport    http.RoundTripper
	requestIndex atomic.Uint64

	mu               sync.Mutex
	readyDaemons     []string
	incomplete       int            // Requests whose response did not arrive completely.
	firstIncomplete  []string       // Descriptions of the first incomplete responses.
	rejectionsByKind map[string]int // Error responses.
	requestCount     int
}

func newBalancer(h *harness, daemonNames []string) *balancer {
	return &balancer{
		harness: h, daemonNames: daemonNames, readyDaemons: daemonNames, rejectionsByKind: map[string]int{},
		transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
	}
}

func (b *balancer) pollReadiness(ctx context.Context) {
	ticker := time.NewTicker(balancerPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var ready []string
		for _, name := range b.daemonNames {
			if b.harness.isReady(name) {
				ready = append(ready, name)
			}
		}
		b.mu.Lock()
		b.readyDaemons = ready
		b.mu.Unlock()
	}
}

func (b *balancer) nextAddress() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.readyDaemons) == 0 {
		return "", false
	}
	return b.harness.addresses[b.readyDaemons[int(b.requestIndex.Add(1))%len(b.readyDaemons)]], true
}

var errNoDaemon = errors.New("no daemon is ready")

// RoundTrip implements http.RoundTripper.
func (b *balancer) RoundTrip(req *http.Request) (*http.Response, error) {
	for range 2 * len(b.daemonNames) {
		address, ok := b.nextAddress()
		if !ok {
			return nil, errNoDaemon
		}
		attempt := req.Clone(req.Context())
		attempt.URL.Host = address
		if req.GetBody != nil {
			body, err := req.GetBody()
			if err != nil {
				return nil, err
			}
			attempt.Body = body
		}
		resp, err := b.transport.RoundTrip(attempt)
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			continue
		}
		b.recordRequest(req, address, resp, err)
		if err != nil {
			return nil, err
		}
		resp.Body = &errorReportingBody{ReadCloser: resp.Body, onReadError: func(err error) { b.recordIncomplete(req, address, err) }}
		return resp, nil
	}
	return nil, errNoDaemon
}

func (b *balancer) recordRequest(req *http.Request, address string, resp *http.Response, err error) {
	if err != nil {
		b.recordIncomplete(req, address, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requestCount++
}

func (b *balancer) recordIncomplete(req *http.Request, address string, err error) {
	if req.Context().Err() != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incomplete++
	if len(b.firstIncomplete) < 5 {
		b.firstIncomplete = append(b.firstIncomplete, fmt.Sprintf("%s %s at %s: %v", req.Method, req.URL.Path, address, err))
	}
}

func (b *balancer) recordRejection(err error) {
	var e *errkind.Error
	if !errors.As(err, &e) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejectionsByKind[string(e.Kind)]++
}

// errorReportingBody is a response body that reports a read error other than io.EOF.
type errorReportingBody struct {
	io.ReadCloser
	onReadError func(error)
}

func (b *errorReportingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.onReadError(err)
	}
	return n, err
}

// load is a set of concurrent callers that run programs until the script ends the load.
type load struct {
	balancer        *balancer
	cancel          context.CancelFunc
	stop            chan struct{}
	readinessPoll   sync.WaitGroup
	completedCalls  atomic.Int64
	completedOrders sync.Map // Business key of each order that returned a result.

	mu                 sync.Mutex
	failures           []string
	slowestRequest     time.Duration
	markedAt           time.Time
	modelCallsByEngine map[string]int // Model calls by engine that started after markedAt.
}

// cmdLoad implements "load NAME CALLERS [DAEMON...]". It starts callers that run programs of model calls, stock checks
// and orders through a balancer in front of the daemons, by default all daemons of the installation. The callers retry
// when an error response permits it.
func (h *harness) cmdLoad(_ *testscript.TestScript, args []string) error {
	if len(args) < 2 || h.installation == nil || h.loads[args[0]] != nil {
		return usageError("load NAME CALLERS [DAEMON...]")
	}
	callers, err := strconv.Atoi(args[1])
	if err != nil || callers < 1 || callers > 100 {
		return usageError("load NAME CALLERS [DAEMON...]")
	}
	daemonNames := args[2:]
	if len(daemonNames) == 0 {
		for _, d := range h.installation.daemons {
			daemonNames = append(daemonNames, d.name)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{balancer: newBalancer(h, daemonNames), cancel: cancel, stop: make(chan struct{}), modelCallsByEngine: map[string]int{}}
	h.loads[args[0]] = l
	l.readinessPoll.Go(func() { l.balancer.pollReadiness(ctx) })
	client := &callerapi.Client{BaseURLs: []string{"http://balancer"}, Key: installationKeys["tenant"], HTTP: &http.Client{Transport: l.balancer}}
	runningCallers := &sync.WaitGroup{}
	for i := range callers {
		runningCallers.Go(func() { l.runCaller(ctx, client, args[0]+"-"+strconv.Itoa(i)) })
	}
	go func() {
		runningCallers.Wait()
		cancel() // Stops the readiness poll of the balancer.
	}()
	return nil
}

func (l *load) recordFailure(name string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, name+": "+err.Error())
}

func (l *load) isStopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// runCaller runs one program after another until the load ends or a program fails.
func (l *load) runCaller(ctx context.Context, c *callerapi.Client, name string) {
	for round := 0; !l.isStopped(); round++ {
		if err := l.runProgram(ctx, c, fmt.Sprintf("%s-%d", name, round)); err != nil {
			l.recordFailure(name, err)
			return
		}
	}
}

func (l *load) runProgram(ctx context.Context, c *callerapi.Client, name string) error {
	var p *callerapi.Program
	err := l.retryUntilResult(ctx, func(ctx context.Context) (err error) {
		p, err = c.Create(ctx, caller.CreateProgram{Model: installationModel})
		return err
	})
	if err != nil {
		return errors.Wrap(err, "create")
	}
	var texts []string
	for turn := range turnsPerProgram {
		text, err := l.runTurn(ctx, p, name, turn)
		if err != nil {
			return errors.Wrapf(err, "turn %d of %s", turn+1, p.ID)
		}
		texts = append(texts, text)
	}
	return errors.Wrapf(l.checkHistory(ctx, p, texts), "history of %s", p.ID)
}

// retryUntilResult sends a request and retries repeatable errors until it has a result or loadCallTimeout expires.
func (l *load) retryUntilResult(ctx context.Context, request func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, loadCallTimeout)
	defer cancel()
	for {
		start := time.Now()
		err := request(ctx)
		l.mu.Lock()
		l.slowestRequest = max(l.slowestRequest, time.Since(start))
		l.mu.Unlock()
		if err != nil {
			l.balancer.recordRejection(err)
		}
		if err == nil || !callerapi.IsRetryable(err) || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(balancerPollInterval):
		}
	}
}

// runTurn makes one call and returns the message text of its turn, or an empty string for a service call.
func (l *load) runTurn(ctx context.Context, p *callerapi.Program, name string, turn int) (string, error) {
	key := "call-" + strconv.Itoa(turn+1)
	startedAt := time.Now()
	var r caller.Result
	err := l.retryUntilResult(ctx, func(ctx context.Context) (err error) {
		switch turn {
		case 1:
			r, err = p.InvokeService(ctx, key, caller.ServiceCall{Upstream: installationStock, Method: http.MethodGet, Path: "/stock/jersey-m"})
		case 2:
			body := json.RawMessage(`{"business_key":"` + name + `"}`)
			r, err = p.InvokeService(ctx, key, caller.ServiceCall{Upstream: installationPrinter, Path: "/orders", Body: body})
		default:
			r, err = l.streamModelCall(ctx, p, key, name)
		}
		return err
	})
	if err != nil {
		return "", err
	}
	l.completedCalls.Add(1)
	if turn == 2 {
		l.completedOrders.Store(name, true)
	}
	if r.Turn.Message == nil {
		return "", nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if startedAt.After(l.markedAt) {
		l.modelCallsByEngine[r.Upstream]++
	}
	return string(r.Turn.Message.Content), nil
}

// streamModelCall makes a streamed model call and checks that the streamed pieces add up to the text of the result.
func (l *load) streamModelCall(ctx context.Context, p *callerapi.Program, key, name string) (caller.Result, error) {
	var streamed strings.Builder
	call := caller.ModelCall{Messages: []caller.Message{{Role: "user", Content: caller.Text("Next step of " + name)}}, MaxTokens: maxOutputTokens}
	r, err := p.InvokeModel(ctx, key, call, func(d caller.Delta) { streamed.WriteString(d.Text) })
	if err == nil && streamed.String() != string(r.Turn.Message.Content) {
		return r, errors.Newf("streamed text %q differs from the result %q", streamed.String(), r.Turn.Message.Content)
	}
	return r, err
}

func (l *load) checkHistory(ctx context.Context, p *callerapi.Program, texts []string) error {
	var turns []caller.Turn
	err := l.retryUntilResult(ctx, func(ctx context.Context) (err error) {
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
			return errors.Newf("turn %d differs from the response that the caller received", i+1)
		}
	}
	return nil
}

// loadReport is the result of a load, encoded as JSON for the checks of a script.
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

func (h *harness) lookupLoad(args []string, synopsis string) (*load, error) {
	if len(args) == 0 || h.loads[args[0]] == nil {
		return nil, usageError("%s", synopsis)
	}
	return h.loads[args[0]], nil
}

// cmdCalls implements "calls NAME COUNT". It checks that a load has completed at least COUNT calls.
func (h *harness) cmdCalls(_ *testscript.TestScript, args []string) error {
	l, err := h.lookupLoad(args, "calls NAME COUNT")
	if err != nil {
		return err
	}
	if len(args) != 2 {
		return usageError("calls NAME COUNT")
	}
	count, err := strconv.ParseInt(args[1], 10, 64)
	if err != nil {
		return usageError("%v", err)
	}
	if got := l.completedCalls.Load(); got < count {
		return errors.Newf("%s has made %d calls", args[0], got)
	}
	return nil
}

// cmdMark implements "mark NAME". It resets the count of model calls by engine. Only calls that start after the mark
// are counted.
func (h *harness) cmdMark(_ *testscript.TestScript, args []string) error {
	l, err := h.lookupLoad(args, "mark NAME")
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markedAt, l.modelCallsByEngine = time.Now(), map[string]int{}
	return nil
}

// cmdResume implements "resume DAEMON PROGRAM SEQUENCE OFFSET". It resumes the response stream of a call from a byte
// offset through a daemon. It checks that the pieces start at the offset and add up to the rest of the result's text.
func (h *harness) cmdResume(_ *testscript.TestScript, args []string) error {
	const synopsis = "resume DAEMON PROGRAM SEQUENCE OFFSET"
	if len(args) != 4 {
		return usageError(synopsis)
	}
	sequence, err := strconv.ParseUint(args[2], 10, 63)
	if err != nil {
		return usageError(synopsis)
	}
	offset, err := strconv.Atoi(args[3])
	if err != nil {
		return usageError(synopsis)
	}
	client := &callerapi.Client{BaseURLs: []string{"http://" + h.addresses[args[0]]}, Key: installationKeys["tenant"]}
	ctx, cancel := context.WithTimeout(context.Background(), loadCallTimeout)
	defer cancel()
	var streamed strings.Builder
	firstOffset := -1
	r, err := client.Open(args[1]).Resume(ctx, sequence, offset, func(d caller.Delta) {
		if firstOffset < 0 {
			firstOffset = d.Offset
		}
		streamed.WriteString(d.Text)
	})
	if err != nil {
		return err
	}
	text := string(r.Turn.Message.Content)
	if firstOffset != offset || offset > len(text) || streamed.String() != text[offset:] {
		return errors.Newf("streamed text %q from offset %d does not match the result %q", streamed.String(), firstOffset, text)
	}
	return nil
}

// cmdEndload implements "endload NAME [CHECK...]". It lets the callers finish their programs and checks the report. In
// all cases no program may have failed, each order must have run exactly once, and at least one call must have
// completed. The checks have the syntax of the command http and apply to the fields of loadReport, such as calls,
// requests, cut, refused.KIND, refused_sum and slowest_ms.
func (h *harness) cmdEndload(ts *testscript.TestScript, args []string) error {
	const synopsis = "endload NAME [CHECK...]"
	l, err := h.lookupLoad(args, synopsis)
	if err != nil {
		return err
	}
	call := httpCall{headers: http.Header{}}
	for _, arg := range args[1:] {
		if err := call.parseArgument(1, arg); err != nil {
			return err
		}
	}
	report, err := h.finishLoad(l)
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
	return errors.Wrapf(call.checkResponse(&http.Response{StatusCode: http.StatusOK}, raw), "%s", raw)
}

func (h *harness) finishLoad(l *load) (loadReport, error) {
	close(l.stop)
	ended := make(chan struct{})
	go func() {
		l.readinessPoll.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(endLoadTimeout):
		l.cancel()
		return loadReport{}, errors.Newf("the callers did not finish within %s", endLoadTimeout)
	}
	b := l.balancer
	report := loadReport{
		Calls: l.completedCalls.Load(), Requests: b.requestCount, IncompleteResponses: b.incomplete, FirstIncomplete: b.firstIncomplete, RejectionsByKind: b.rejectionsByKind,
		FailedPrograms: len(l.failures), Failures: l.failures, OrdersNotRunOnce: []string{}, SlowestMS: l.slowestRequest.Milliseconds(), ModelCallsByEngine: l.modelCallsByEngine,
	}
	for n := range maps.Values(b.rejectionsByKind) {
		report.TotalRejections += n
	}
	var body struct {
		Runs map[string]int `json:"runs"`
	}
	if err := h.sendControl(installationPrinter, http.MethodGet, "/control/runs", nil, &body); err != nil {
		return report, err
	}
	l.completedOrders.Range(func(key, _ any) bool {
		report.Orders++
		if n := body.Runs[key.(string)]; n != 1 {
			report.OrdersNotRunOnce = append(report.OrdersNotRunOnce, fmt.Sprintf("%s=%d", key, n))
		}
		return true
	})
	for _, key := range slices.Sorted(maps.Keys(body.Runs)) {
		if n := body.Runs[key]; n > 1 {
			report.OrdersNotRunOnce = append(report.OrdersNotRunOnce, fmt.Sprintf("%s=%d", key, n))
		}
	}
	return report, nil
}
