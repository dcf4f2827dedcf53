// Package client is a small client for callers. It does what the system asks of a caller: it keeps the turns that are not
// durable yet, repeats a call with the same call key, and sends the turns again after a history_gap.
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
)

// Client speaks to a set of daemons, as a balancer in front of them would. It is safe for concurrent use.
type Client struct {
	BaseURLs []string
	Key      string
	HTTP     *http.Client
	next     atomic.Uint64
}

// ErrNoResponse is returned when the connection broke. The call may have run; repeat it with the same call key.
var ErrNoResponse = errors.New("no answer from the daemon")

// maxAnswerBytes bounds an answer that is read whole.
const maxAnswerBytes = 32 << 20

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func (c *Client) base() string {
	n := c.next.Add(1)
	return c.BaseURLs[int(n)%len(c.BaseURLs)]
}

// send makes one request to the next daemon.
func (c *Client) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base()+path, bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http().Do(req)
	if err != nil {
		return nil, errors.Mark(err, ErrNoResponse)
	}
	return resp, nil
}

func (c *Client) do(ctx context.Context, method, path string, body, into any) error {
	resp, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Mark(err, ErrNoResponse)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return errkind.Parse(data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Mark(errors.Wrap(err, "decode answer"), ErrNoResponse)
	}
	return nil
}

// Program is a program of this caller. It is not safe for concurrent use: calls of a program run in order.
type Program struct {
	ID              string
	Sequence        uint64
	Digest          string
	Receipt         string
	DurableSequence uint64
	Window          []caller.Turn // Turns that are not known to be durable.

	client *Client
	gap    bool // An owner lacked turns, and no call has ended since.
}

// Create starts a program.
func (c *Client) Create(ctx context.Context, body caller.CreateProgram) (*Program, error) {
	var created caller.CreatedProgram
	if err := c.do(ctx, http.MethodPost, "/v1/programs", body, &created); err != nil {
		return nil, err
	}
	return &Program{
		ID:      created.Program.ID,
		Digest:  created.Program.Digest,
		Receipt: created.Receipt,
		client:  c,
	}, nil
}

// Open returns a program that exists, to read it. It has no history and makes no calls.
func (c *Client) Open(id string) *Program { return &Program{ID: id, client: c} }

// Describe returns the state of the program.
func (p *Program) Describe(ctx context.Context) (caller.Program, error) {
	var d caller.Program
	err := p.client.do(ctx, http.MethodGet, "/v1/programs/"+p.ID, nil, &d)
	return d, err
}

// History returns the turns of the program.
func (p *Program) History(ctx context.Context) ([]caller.Turn, error) {
	var h struct {
		Turns []caller.Turn `json:"turns"`
	}
	err := p.client.do(ctx, http.MethodGet, "/v1/programs/"+p.ID+"/history", nil, &h)
	return h.Turns, err
}

// End closes the program.
func (p *Program) End(ctx context.Context) (caller.Program, error) {
	var d caller.Program
	err := p.client.do(ctx, http.MethodDelete, "/v1/programs/"+p.ID, nil, &d)
	return d, err
}

// Model makes a model call. onText gets the text as it arrives and may be nil. A repeat of the same call key continues
// where the answer broke off.
func (p *Program) InvokeModel(ctx context.Context, key string, call caller.ModelCall, onText func(caller.Delta)) (caller.Result, error) {
	call.Stream = onText != nil
	return p.call(ctx, caller.Call{CallKey: key, Kind: caller.CallModel, Model: &call}, onText)
}

// Service makes a call to a tool service or a plain service.
func (p *Program) InvokeService(ctx context.Context, key string, call caller.ServiceCall) (caller.Result, error) {
	return p.call(ctx, caller.Call{CallKey: key, Kind: caller.CallService, Service: &call}, nil)
}

func (p *Program) call(ctx context.Context, c caller.Call, onText func(caller.Delta)) (caller.Result, error) {
	c.Sequence, c.Digest, c.Receipt = p.Sequence+1, p.Digest, p.Receipt
	if deadline, ok := ctx.Deadline(); ok {
		c.Deadline = &deadline
	}
	if p.gap {
		// A repeat after a lost answer goes to another daemon; it must not depend on two daemons in a row.
		c.Window = p.Window
	}
	result, err := p.once(ctx, c, onText)
	if !p.gap && (errkind.Is(err, errkind.HistoryGap) || errkind.Is(err, errkind.ProgramNotFound)) {
		p.gap = true
		c.Window = p.Window
		result, err = p.once(ctx, c, onText)
	}
	if err != nil {
		return result, err
	}
	p.gap = false
	return result, p.accept(result)
}

// accept checks that a result continues this program, and keeps its turn until it is durable.
func (p *Program) accept(r caller.Result) error {
	digest, err := caller.NextDigest(p.Digest, r.Turn)
	if err != nil {
		return err
	}
	if r.Turn.Sequence != p.Sequence+1 || digest != r.Digest {
		return errors.Newf("result of sequence %d does not continue the program", r.Turn.Sequence)
	}
	p.Sequence, p.Digest, p.Receipt = r.Turn.Sequence, r.Digest, r.Receipt
	p.Window = append(p.Window, r.Turn)
	p.DurableSequence = max(p.DurableSequence, r.DurableSequence)
	for len(p.Window) > 0 && p.Window[0].Sequence <= p.DurableSequence {
		p.Window = p.Window[1:]
	}
	return nil
}

func (p *Program) once(ctx context.Context, c caller.Call, onText func(caller.Delta)) (caller.Result, error) {
	path := "/v1/programs/" + p.ID + "/calls"
	var result caller.Result
	if onText == nil {
		err := p.client.do(ctx, http.MethodPost, path, c, &result)
		return result, err
	}
	resp, err := p.client.send(ctx, http.MethodPost, path, c)
	if err != nil {
		return result, err
	}
	return readEvents(resp, onText)
}

// Resume reads the answer of a call from a byte offset on.
func (p *Program) Resume(ctx context.Context, sequence uint64, offset int, onText func(caller.Delta)) (caller.Result, error) {
	path := "/v1/programs/" + p.ID + "/calls/" + strconv.FormatUint(sequence, 10) + "/stream?offset=" + strconv.Itoa(offset)
	resp, err := p.client.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return caller.Result{}, err
	}
	return readEvents(resp, onText)
}

// Persist repeats a call with the same call key until it has a final answer: a result, or a refusal that says not to
// repeat. It waits as the refusals ask for.
func (p *Program) RetryUntilFinal(ctx context.Context, try func(context.Context) (caller.Result, error)) (caller.Result, error) {
	for {
		result, err := try(ctx)
		if err == nil || !IsRetryable(err) {
			return result, err
		}
		if !wait(ctx, retryAfter(err)) {
			return result, err
		}
	}
}

// Repeatable reports whether the same request can be sent again with the same call key.
func IsRetryable(err error) bool {
	if errors.Is(err, ErrNoResponse) {
		return true
	}
	var e *errkind.Error
	return errors.As(err, &e) && errkind.Lookup(e.Kind).Retry == errkind.RetrySame
}

const (
	defaultRetryAfter = 100 * time.Millisecond
	maxRetryAfter     = 5 * time.Second
)

func retryAfter(err error) time.Duration {
	var e *errkind.Error
	if errors.As(err, &e) && e.RetryAfter > 0 {
		return min(e.RetryAfter, maxRetryAfter)
	}
	return defaultRetryAfter
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Program returns a handle to read a program that exists. Calls need the state that Create returns and results update.
func (c *Client) Program(id string) *Program { return &Program{ID: id, client: c} }
