// Package platform is the client of the platform's object API. It limits the rate of its calls and retries failed reads a
// limited number of times. It never retries a write: the caller reads the object back and decides.
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
	ErrOutcomeUnknown = errors.New("the response was lost and the request may have taken effect")
	ErrHistoryGap     = errors.New("events since the revision are no longer retained")
	ErrRejected       = errors.New("platform rejected the request")
)

// ConflictError is the error of a conditional write that found another version. Current is the stored object, or nil if the
// object does not exist.
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

// Object is an object in the platform's store. Version is the store revision of its last write.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
	Status  json.RawMessage `json:"-"` // Written by a different writer than the value, if the platform distinguishes them.
}

// Event is one change of an object, returned by a watch.
type Event struct {
	Revision uint64 `json:"revision"`
	Type     string `json:"type"`
	Object   Object `json:"object"`
}

// Page is one page of a list.
type Page struct {
	Revision uint64   `json:"revision"`
	Items    []Object `json:"items"`
	More     bool     `json:"more"`
}

// VM is one entry of the platform's list of VMs. The list can be out of date.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      string `json:"state"`
}

// Store is the interface of the platform's object store. Client implements it.
type Store interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	Put(ctx context.Context, kind, name string, ifVersion uint64, value any) (uint64, error)
	Delete(ctx context.Context, kind, name string, ifVersion uint64) error
	List(ctx context.Context, kind, prefix, after string, limit int) (Page, error)
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (uint64, []Event, error)
	VMs(ctx context.Context) ([]VM, error)
}

// Config configures a Client.
type Config struct {
	BaseURL         string
	Key             string
	Transport       transport.Options
	RequestTimeout  time.Duration // Timeout of one request. A watch may take its wait in addition.
	WritesPerSecond float64       // Client-side rate limit.
	ReadsPerSecond  float64       // Client-side rate limit of reads and watches.
	ReadRetries     int           // Max retries of a failed read.
	Codec           Codec         // Nil selects the codec of the project's own object API.
}

// maxLargeResponses is the number of responses above transport.SmallBodyBytes that are read at the same time. A daemon has calls for
// several kinds of objects in flight, and the smallest VM has 112 MB.
const maxLargeResponses = 1

// Stats counts the calls to the platform and the bytes transferred.
type Stats struct {
	Writes, Reads, Watches, BytesOut, BytesIn atomic.Int64
}

// Client calls the object API over HTTP. It is safe for concurrent use.
type Client struct {
	cfg    Config
	codec  Codec
	http   *http.Client
	bodies *transport.BodyReader
	writes *rate.Limiter
	reads  *rate.Limiter
	Stats  Stats
}

var _ Store = (*Client)(nil)

// NewClient returns a client with the given configuration.
func NewClient(cfg Config) *Client {
	codec := cfg.Codec
	if codec == nil {
		codec = nativeCodec{}
	}
	return &Client{
		cfg:    cfg,
		codec:  codec,
		http:   transport.NewClient(cfg.Transport),
		bodies: transport.NewBodyReader(maxLargeResponses),
		writes: rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), int(cfg.WritesPerSecond)+1),
		reads:  rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), int(cfg.ReadsPerSecond)+1),
	}
}

// response is the status and the complete body of an HTTP response.
type response struct {
	status int
	body   []byte
}

// do sends one request and reads the response. It returns an error only if there is no complete response.
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
		return response{}, markTransportError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := c.bodies.Read(ctx, resp, transport.MaxResponseBytes)
	c.Stats.BytesOut.Add(int64(len(body) + len(path)))
	c.Stats.BytesIn.Add(int64(len(data)))
	if err != nil {
		return response{}, errors.Mark(err, ErrOutcomeUnknown)
	}
	return response{status: resp.StatusCode, body: data}, nil
}

// markTransportError marks an error of the HTTP client as ErrUnavailable if the request was not sent, else as
// ErrOutcomeUnknown.
func markTransportError(err error) error {
	if errors.Is(err, transport.ErrNotSent) {
		return errors.Mark(err, ErrUnavailable)
	}
	return errors.Mark(err, ErrOutcomeUnknown)
}

// statusError converts the status of a response into an error. It returns nil if the body contains a result.
func (r response) statusError(codec Codec, kind string) error {
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

// readWithRetries makes a call without side effects. It retries up to ReadRetries times after ErrUnavailable and
// ErrOutcomeUnknown. The function decode sets the result from the body.
func (c *Client) readWithRetries(ctx context.Context, call Call, decode func(body []byte) error) error {
	attempt := func() (struct{}, error) {
		if err := c.reads.Wait(ctx); err != nil {
			return struct{}{}, backoff.Permanent(errors.Mark(err, ErrUnavailable))
		}
		c.Stats.Reads.Add(1)
		ctx, cancel := context.WithTimeout(ctx, c.cfg.RequestTimeout)
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

// roundTrip makes one call without retries.
func (c *Client) roundTrip(ctx context.Context, call Call, decode func(body []byte) error) error {
	method, path, body := c.codec.Encode(call)
	resp, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := resp.statusError(c.codec, call.Kind); err != nil {
		return err
	}
	if err := decode(resp.body); err != nil {
		return errors.Mark(errors.Wrap(err, "decode response"), ErrOutcomeUnknown)
	}
	return nil
}

// readBackOff returns the backoff between the attempts of a read.
func readBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = 500 * time.Millisecond
	return b
}

// Get reads an object. It returns ErrNotFound if the object does not exist.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.readWithRetries(ctx, Call{Verb: VerbGet, Kind: kind, Name: name}, func(body []byte) (err error) {
		o, err = c.codec.DecodeObject(kind, body)
		return err
	})
	return o, err
}

// Put writes an object on the condition that its version is ifVersion; zero creates the object. It returns the new version.
// A *ConflictError contains the current object. After ErrOutcomeUnknown, the write may have been executed.
func (c *Client) Put(ctx context.Context, kind, name string, ifVersion uint64, value any) (uint64, error) {
	return c.put(ctx, VerbPut, kind, name, ifVersion, value)
}

// PutStatus replaces the status of an object whose value is written by another writer. It returns the errors of Put.
func (c *Client) PutStatus(ctx context.Context, kind, name string, ifVersion uint64, value any) (uint64, error) {
	return c.put(ctx, VerbPutStatus, kind, name, ifVersion, value)
}

// put writes the value or the status of an object, depending on verb, and returns the new version.
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

// Delete removes an object on the condition that its version is ifVersion; zero sets no condition.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64) error {
	call := Call{Verb: VerbDelete, Kind: kind, Name: name, IfVersion: ifVersion}
	var out struct{}
	return c.write(ctx, call, func(body []byte) error { return json.Unmarshal(body, &out) })
}

// write makes a call with side effects, without retries. The function decode sets the result from the body.
func (c *Client) write(ctx context.Context, call Call, decode func(body []byte) error) error {
	if err := c.writes.Wait(ctx); err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	c.Stats.Writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.cfg.RequestTimeout)
	defer cancel()
	return c.roundTrip(ctx, call, decode)
}

// List returns one page of the objects of a kind whose names start with prefix and sort after the argument after. If limit
// is zero, the platform chooses the size of the page.
func (c *Client) List(ctx context.Context, kind, prefix, after string, limit int) (Page, error) {
	var p Page
	call := Call{Verb: VerbList, Kind: kind, Prefix: prefix, After: after, Limit: limit}
	err := c.readWithRetries(ctx, call, func(body []byte) (err error) {
		p, err = c.codec.DecodePage(kind, body)
		return err
	})
	return p, err
}

// ListAll returns the objects of all pages of a list, and the revision of the first page.
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
		previous := after
		for _, o := range p.Items {
			if o.Name != "" { // Another writer may have left an object whose name cannot be read.
				after = o.Name
			}
		}
		if after == previous {
			return 0, nil, errors.Newf("list of kind %s: a page has no readable name to continue from", kind)
		}
	}
}

// Watch waits for events of a kind after a revision. After ErrHistoryGap, the caller must list the objects again.
func (c *Client) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (uint64, []Event, error) {
	if err := c.reads.Wait(ctx); err != nil {
		return 0, nil, errors.Mark(err, ErrUnavailable)
	}
	c.Stats.Watches.Add(1)
	ctx, cancel := context.WithTimeout(ctx, wait+c.cfg.RequestTimeout)
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
	err := c.readWithRetries(ctx, Call{Verb: VerbVMs}, func(body []byte) error { return json.Unmarshal(body, &out) })
	return out.VMs, err
}

// IsAvailable reports whether the platform is usable, judging by the error of a call. It returns false for ErrUnavailable
// and ErrOutcomeUnknown.
func IsAvailable(err error) bool {
	return err == nil || !errors.IsAny(err, ErrUnavailable, ErrOutcomeUnknown)
}

// AsConflict returns the ConflictError in the chain of an error.
func AsConflict(err error) (*ConflictError, bool) {
	var c *ConflictError
	ok := errors.As(err, &c)
	return c, ok
}
