// Package client implements the caller side of the API. It stores the turns that are not durable yet, retries calls with
// the same call key, and resends the stored turns after a history_gap error.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/api/httpcheck"
)

// Client sends requests to a set of daemons in round-robin order. It is safe for concurrent use.
type Client struct {
	BaseURLs     []string
	Key          string
	HTTP         *http.Client // Nil for a default. Its transport should be an httpcheck.Transport.
	requestCount atomic.Uint64
}

// ErrNoResponse is returned if the connection failed before a complete response was received. The call may have run.
// It can be retried with the same call key.
var ErrNoResponse = errors.New("no response from the daemon")

// maxResponseBytes bounds a response that is read into memory.
const maxResponseBytes = 32 << 20

// defaultHTTPClient is used by clients without an HTTP client of their own.
var defaultHTTPClient = &http.Client{Transport: httpcheck.NewTransport(&http.Transport{
	Proxy:              http.ProxyFromEnvironment,
	DisableCompression: true, // A decompressed body does not bound the bytes that are read.
})}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultHTTPClient
}

func (c *Client) nextBaseURL() string {
	n := c.requestCount.Add(1)
	return c.BaseURLs[int(n)%len(c.BaseURLs)]
}

// sendRequest sends one request to the next daemon.
func (c *Client) sendRequest(ctx context.Context, method, path string, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.nextBaseURL()+path, bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return nil, errors.Mark(err, ErrNoResponse)
	}
	return resp, nil
}

func (c *Client) sendAndDecode(ctx context.Context, method, path string, body, dst any) error {
	resp, err := c.sendRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Mark(err, ErrNoResponse)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return errkind.Parse(data)
	}
	if err := json.Unmarshal(data, dst); err != nil {
		return errors.Mark(errors.Wrap(err, "decode response"), ErrNoResponse)
	}
	return nil
}

// Program is the caller's handle of a program. It is not safe for concurrent use, because the calls of a program run
// one after the other.
type Program struct {
	ID              string
	Sequence        uint64
	Digest          string
	Receipt         string
	DurableSequence uint64
	Window          []caller.Turn // Turns that are not yet reported as durable.

	client        *Client
	includeWindow bool // Send Window with each call: an owner lacked turns, and no call has succeeded since.
}

// Create creates a program.
func (c *Client) Create(ctx context.Context, body caller.CreateProgram) (*Program, error) {
	var created caller.CreatedProgram
	if err := c.sendAndDecode(ctx, http.MethodPost, "/v1/programs", body, &created); err != nil {
		return nil, err
	}
	return &Program{
		ID:      created.Program.ID,
		Digest:  created.Program.Digest,
		Receipt: created.Receipt,
		client:  c,
	}, nil
}

// Open returns a handle of an existing program that can only be read. It has no history and cannot make calls.
func (c *Client) Open(id string) *Program { return &Program{ID: id, client: c} }

// Describe reads the state of the program.
func (p *Program) Describe(ctx context.Context) (caller.Program, error) {
	var d caller.Program
	err := p.client.sendAndDecode(ctx, http.MethodGet, "/v1/programs/"+p.ID, nil, &d)
	return d, err
}

// History reads all turns of the program.
func (p *Program) History(ctx context.Context) ([]caller.Turn, error) {
	var h struct {
		Turns []caller.Turn `json:"turns"`
	}
	err := p.client.sendAndDecode(ctx, http.MethodGet, "/v1/programs/"+p.ID+"/history", nil, &h)
	return h.Turns, err
}

// End ends the program and returns its final state.
func (p *Program) End(ctx context.Context) (caller.Program, error) {
	var d caller.Program
	err := p.client.sendAndDecode(ctx, http.MethodDelete, "/v1/programs/"+p.ID, nil, &d)
	return d, err
}

// InvokeModel makes a model call. If onText is not nil, the call is streamed and onText receives each piece of text. A
// retry with the same call key continues the stream where it was interrupted.
func (p *Program) InvokeModel(ctx context.Context, key string, call caller.ModelCall, onText func(caller.Delta)) (caller.Result, error) {
	call.Stream = onText != nil
	return p.makeCall(ctx, caller.Call{CallKey: key, Kind: caller.CallModel, Model: &call}, onText)
}

// InvokeService makes a call to a tool service or a plain service and returns its result.
func (p *Program) InvokeService(ctx context.Context, key string, call caller.ServiceCall) (caller.Result, error) {
	return p.makeCall(ctx, caller.Call{CallKey: key, Kind: caller.CallService, Service: &call}, nil)
}

func (p *Program) makeCall(ctx context.Context, c caller.Call, onText func(caller.Delta)) (caller.Result, error) {
	c.Sequence, c.Digest, c.Receipt = p.Sequence+1, p.Digest, p.Receipt
	if deadline, ok := ctx.Deadline(); ok {
		c.Deadline = &deadline
	}
	if p.includeWindow {
		// A retry after a lost response goes to another daemon, which may also lack the turns. The window is sent with
		// the first request, so that the retry needs only one responsive daemon instead of two in a row.
		c.Window = p.Window
	}
	result, err := p.sendCall(ctx, c, onText)
	if !p.includeWindow && (errkind.Is(err, errkind.HistoryGap) || errkind.Is(err, errkind.ProgramNotFound)) {
		p.includeWindow = true
		c.Window = p.Window
		result, err = p.sendCall(ctx, c, onText)
	}
	if err != nil {
		return result, err
	}
	p.includeWindow = false
	return result, p.applyResult(result)
}

// applyResult verifies that r continues the history of this program. It adds the turn to Window and removes the turns
// that are durable.
func (p *Program) applyResult(r caller.Result) error {
	digest, err := caller.NextDigest(p.Digest, r.Turn)
	if err != nil {
		return err
	}
	if r.Turn.Sequence != p.Sequence+1 || digest != r.Digest {
		return errors.Newf("result with sequence %d does not continue the history of the program", r.Turn.Sequence)
	}
	p.Sequence, p.Digest, p.Receipt = r.Turn.Sequence, r.Digest, r.Receipt
	p.Window = append(p.Window, r.Turn)
	p.DurableSequence = max(p.DurableSequence, r.DurableSequence)
	for len(p.Window) > 0 && p.Window[0].Sequence <= p.DurableSequence {
		p.Window = p.Window[1:]
	}
	return nil
}

func (p *Program) sendCall(ctx context.Context, c caller.Call, onText func(caller.Delta)) (caller.Result, error) {
	path := "/v1/programs/" + p.ID + "/calls"
	var result caller.Result
	if onText == nil {
		err := p.client.sendAndDecode(ctx, http.MethodPost, path, c, &result)
		return result, err
	}
	resp, err := p.client.sendRequest(ctx, http.MethodPost, path, c)
	if err != nil {
		return result, err
	}
	return readEventStream(resp, onText)
}

// Resume reads the response stream of the call with the given sequence, starting at a byte offset of its text.
func (p *Program) Resume(ctx context.Context, sequence uint64, offset int, onText func(caller.Delta)) (caller.Result, error) {
	path := "/v1/programs/" + p.ID + "/calls/" + strconv.FormatUint(sequence, 10) + "/stream?offset=" + strconv.Itoa(offset)
	resp, err := p.client.sendRequest(ctx, http.MethodGet, path, nil)
	if err != nil {
		return caller.Result{}, err
	}
	return readEventStream(resp, onText)
}

// RetryUntilFinal runs attempt until it returns a result or an error that is not retryable, or until ctx ends. Between
// attempts it waits for the retry time of the error response. Each attempt must use the same call key.
func (p *Program) RetryUntilFinal(ctx context.Context, attempt func(context.Context) (caller.Result, error)) (caller.Result, error) {
	for {
		result, err := attempt(ctx)
		if err == nil || !IsRetryable(err) {
			return result, err
		}
		if !sleep(ctx, retryDelay(err)) {
			return result, err
		}
	}
}

// IsRetryable reports whether the same request can be retried with the same call key.
func IsRetryable(err error) bool {
	if errors.Is(err, ErrNoResponse) {
		return true
	}
	var e *errkind.Error
	return errors.As(err, &e) && errkind.Lookup(e.Kind).Retry == errkind.RetrySame
}

const (
	defaultRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 5 * time.Second
)

func retryDelay(err error) time.Duration {
	var e *errkind.Error
	if errors.As(err, &e) && e.RetryAfter > 0 {
		return min(e.RetryAfter, maxRetryDelay)
	}
	return defaultRetryDelay
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Program returns a handle of an existing program that can only be read. Calls need the state that Create returns and
// that each result updates.
func (c *Client) Program(id string) *Program { return &Program{ID: id, client: c} }
