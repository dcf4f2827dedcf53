// Package platform is the client of the platform's object API. It limits its own calls, retries reads within a budget, and
// never repeats a write by itself: the caller decides with the object that it reads back.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"jackdawbay.dev/daemon/transport"
)

// Errors of the object API.
var (
	ErrNotFound       = errors.New("object not found")
	ErrUnavailable    = errors.New("platform is unavailable and the request had no effect")
	ErrRateLimited    = errors.New("platform limits the rate of requests and the request had no effect")
	ErrOutcomeUnknown = errors.New("the answer was lost and the request may have had its effect")
	ErrHistoryGap     = errors.New("events since the revision are no longer kept")
	ErrRejected       = errors.New("platform rejected the request")
)

// ConflictError reports a conditional write that found another version. Current is nil where the object does not exist.
type ConflictError struct {
	Current *Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current == nil {
		return "conflict: the object does not exist"
	}
	return fmt.Sprintf("conflict: %s/%s has version %d", e.Current.Kind, e.Current.Name, e.Current.Version)
}

// Object is one object of the platform. Version is the store revision of its last write.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
	Status  json.RawMessage `json:"-"` // Written by another writer than the value, where the platform tells them apart.
}

// Event is one change that a watch reports.
type Event struct {
	Revision uint64 `json:"revision"`
	Type     string `json:"type"`
	Object   Object `json:"object"`
}

// Page is one answer of a list.
type Page struct {
	Revision uint64   `json:"revision"`
	Items    []Object `json:"items"`
	More     bool     `json:"more"`
}

// VM is one entry of the platform's list of VMs, which lags.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      string `json:"state"`
}

// Store is what the rest of the daemon needs of the platform.
type Store interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	Put(ctx context.Context, kind, name string, ifVersion uint64, value any) (uint64, error)
	Delete(ctx context.Context, kind, name string, ifVersion uint64) error
	List(ctx context.Context, kind, prefix, after string, limit int) (Page, error)
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (uint64, []Event, error)
	VMs(ctx context.Context) ([]VM, error)
}

// Config describes a Client.
type Config struct {
	BaseURL         string
	Key             string
	Transport       transport.Options
	Timeout         time.Duration // Bound of one request, watches excepted.
	WritesPerSecond float64       // Client-side limit.
	ReadsPerSecond  float64
	ReadRetries     int
	Codec           Codec // Nil takes the codec of the project's own object API.
}

// Stats counts calls to the platform.
type Stats struct {
	Writes, Reads, Watches, BytesOut, BytesIn atomic.Int64
}

// Client speaks the object API over HTTP. It is safe for concurrent use.
type Client struct {
	cfg    Config
	codec  Codec
	http   *http.Client
	writes *rate.Limiter
	reads  *rate.Limiter
	Stats  Stats
}

var _ Store = (*Client)(nil)

// NewClient returns a client.
func NewClient(cfg Config) *Client {
	codec := cfg.Codec
	if codec == nil {
		codec = nativeCodec{}
	}
	return &Client{
		cfg:    cfg,
		codec:  codec,
		http:   transport.NewClient(cfg.Transport),
		writes: rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), int(cfg.WritesPerSecond)+1),
		reads:  rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), int(cfg.ReadsPerSecond)+1),
	}
}

type response struct {
	status int
	body   []byte
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.BaseURL+path, transport.NonRewindableBody(body))
	if err != nil {
		return response{}, errors.Mark(err, ErrRejected)
	}
	req.ContentLength = int64(len(body))
	if c.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, markTransport(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := transport.ReadAll(resp.Body, transport.MaxResponseBytes)
	c.Stats.BytesOut.Add(int64(len(body) + len(path)))
	c.Stats.BytesIn.Add(int64(len(data)))
	if err != nil {
		return response{}, errors.Mark(err, ErrOutcomeUnknown)
	}
	return response{status: resp.StatusCode, body: data}, nil
}

func markTransport(err error) error {
	if errors.Is(err, transport.ErrNotSent) {
		return errors.Mark(err, ErrUnavailable)
	}
	return errors.Mark(err, ErrOutcomeUnknown)
}

// check turns the status of a response into an error. Nil means that the body holds a result.
func (r response) check(codec Codec, kind string) error {
	switch {
	case r.status == http.StatusOK || r.status == http.StatusCreated:
		return nil
	case r.status == http.StatusNotFound:
		return ErrNotFound
	case r.status == http.StatusGone:
		return ErrHistoryGap
	case r.status == http.StatusConflict:
		current, err := codec.DecodeConflict(kind, r.body)
		if err != nil {
			return errors.Mark(errors.Wrap(err, "decode conflict"), ErrOutcomeUnknown)
		}
		return &ConflictError{Current: current}
	case r.status == http.StatusTooManyRequests:
		return errors.Mark(errors.Wrapf(ErrUnavailable, "status %d", r.status), ErrRateLimited)
	case r.status == http.StatusServiceUnavailable:
		return errors.Wrapf(ErrUnavailable, "status %d", r.status)
	case r.status >= http.StatusInternalServerError:
		return errors.Wrapf(ErrOutcomeUnknown, "status %d", r.status)
	default:
		return errors.Wrapf(ErrRejected, "status %d: %s", r.status, bytes.TrimSpace(r.body[:min(len(r.body), 200)]))
	}
}

// read makes a call that has no effect, and repeats it within the budget. Decode fills the result from the body.
func (c *Client) read(ctx context.Context, call Call, decode func(body []byte) error) error {
	attempt := func() (struct{}, error) {
		if err := c.reads.Wait(ctx); err != nil {
			return struct{}{}, backoff.Permanent(errors.Mark(err, ErrUnavailable))
		}
		c.Stats.Reads.Add(1)
		ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
		defer cancel()
		err := c.roundTrip(ctx, call, decode)
		if err != nil && !errors.IsAny(err, ErrUnavailable, ErrOutcomeUnknown) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}
	_, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(readBackOff()), backoff.WithMaxTries(uint(c.cfg.ReadRetries)+1))
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		return permanent.Unwrap()
	}
	return err
}

func (c *Client) roundTrip(ctx context.Context, call Call, decode func(body []byte) error) error {
	method, path, body := c.codec.Encode(call)
	resp, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := resp.check(c.codec, call.Kind); err != nil {
		return err
	}
	if err := decode(resp.body); err != nil {
		return errors.Mark(errors.Wrap(err, "decode answer"), ErrOutcomeUnknown)
	}
	return nil
}

func readBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = 500 * time.Millisecond
	return b
}

// Get reads an object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.read(ctx, Call{Verb: VerbGet, Kind: kind, Name: name}, func(body []byte) (err error) {
		o, err = c.codec.DecodeObject(kind, body)
		return err
	})
	return o, err
}

// Put writes an object under the condition that its version is ifVersion, where zero creates it. It returns the new version.
// A *ConflictError holds the present object; ErrOutcomeUnknown means that the write may have happened.
func (c *Client) Put(ctx context.Context, kind, name string, ifVersion uint64, value any) (uint64, error) {
	return c.put(ctx, VerbPut, kind, name, ifVersion, value)
}

// PutStatus replaces the status of an object that another writer specifies. Errors are those of Put.
func (c *Client) PutStatus(ctx context.Context, kind, name string, ifVersion uint64, value any) (uint64, error) {
	return c.put(ctx, VerbPutStatus, kind, name, ifVersion, value)
}

func (c *Client) put(ctx context.Context, verb Verb, kind, name string, ifVersion uint64, value any) (uint64, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrap(err, "encode object")
	}
	var version uint64
	err = c.write(ctx, Call{Verb: verb, Kind: kind, Name: name, IfVersion: ifVersion, Value: raw}, func(body []byte) (err error) {
		version, err = c.codec.DecodeVersion(body)
		return err
	})
	return version, err
}

// Delete removes an object under a version condition, where zero sets none.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64) error {
	call := Call{Verb: VerbDelete, Kind: kind, Name: name, IfVersion: ifVersion}
	var out struct{}
	return c.write(ctx, call, func(body []byte) error { return json.Unmarshal(body, &out) })
}

func (c *Client) write(ctx context.Context, call Call, decode func(body []byte) error) error {
	if err := c.writes.Wait(ctx); err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	c.Stats.Writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return c.roundTrip(ctx, call, decode)
}

// List returns a page of the objects of a kind whose names start with prefix and follow after. A limit of zero leaves the
// size of the page to the platform.
func (c *Client) List(ctx context.Context, kind, prefix, after string, limit int) (Page, error) {
	var p Page
	call := Call{Verb: VerbList, Kind: kind, Prefix: prefix, After: after, Limit: limit}
	err := c.read(ctx, call, func(body []byte) (err error) {
		p, err = c.codec.DecodePage(kind, body)
		return err
	})
	return p, err
}

// ListAll reads every page of a list.
func ListAll(ctx context.Context, s Store, kind, prefix string) (revision uint64, items []Object, err error) {
	after := ""
	for {
		p, err := s.List(ctx, kind, prefix, after, 0)
		if err != nil {
			return 0, nil, err
		}
		if revision == 0 {
			revision = p.Revision
		}
		items = append(items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return revision, items, nil
		}
		after = p.Items[len(p.Items)-1].Name
	}
}

// Watch waits for events of a kind after a revision. ErrGap means that the caller has to list again.
func (c *Client) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (uint64, []Event, error) {
	if err := c.reads.Wait(ctx); err != nil {
		return 0, nil, errors.Mark(err, ErrUnavailable)
	}
	c.Stats.Watches.Add(1)
	ctx, cancel := context.WithTimeout(ctx, wait+c.cfg.Timeout)
	defer cancel()
	var revision uint64
	var events []Event
	call := Call{Verb: VerbWatch, Kind: kind, Since: since, Wait: wait}
	err := c.roundTrip(ctx, call, func(body []byte) (err error) {
		revision, events, err = c.codec.DecodeEvents(kind, body)
		return err
	})
	return revision, events, err
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var out struct {
		VMs []VM `json:"vms"`
	}
	err := c.read(ctx, Call{Verb: VerbVMs}, func(body []byte) error { return json.Unmarshal(body, &out) })
	return out.VMs, err
}

// Available reports whether an error shows that the platform cannot be used now.
func IsAvailable(err error) bool {
	return err == nil || !errors.IsAny(err, ErrUnavailable, ErrOutcomeUnknown)
}

// AsConflict returns the conflict in an error.
func AsConflict(err error) (*ConflictError, bool) {
	var c *ConflictError
	ok := errors.As(err, &c)
	return c, ok
}
