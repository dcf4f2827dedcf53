// Package platform is the client of the platform's object API. It limits its own calls, retries reads within a budget, and
// never repeats a write by itself: the caller decides with the object that it reads back.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"jackdawbay.dev/daemon/transport"
)

// Errors of the object API.
var (
	ErrNotFound    = errors.New("object not found")
	ErrUnavailable = errors.New("platform is unavailable and the request had no effect")
	ErrRateLimited = errors.New("platform limits the rate of requests and the request had no effect")
	ErrUnknown     = errors.New("the answer was lost and the request may have had its effect")
	ErrGap         = errors.New("events since the revision are no longer kept")
	ErrRejected    = errors.New("platform rejected the request")
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
}

// Stats counts calls to the platform.
type Stats struct {
	Writes, Reads, Watches, BytesOut, BytesIn atomic.Int64
}

// Client speaks the object API over HTTP. It is safe for concurrent use.
type Client struct {
	cfg    Config
	http   *http.Client
	writes *rate.Limiter
	reads  *rate.Limiter
	Stats  Stats
}

var _ Store = (*Client)(nil)

// NewClient returns a client.
func NewClient(cfg Config) *Client {
	return &Client{
		cfg:    cfg,
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
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.BaseURL+path, transport.OnceBody(body))
	if err != nil {
		return response{}, errors.Mark(err, ErrRejected)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, markTransport(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := transport.ReadAll(resp.Body, transport.MaxResponseBytes)
	c.Stats.BytesOut.Add(int64(len(body) + len(path)))
	c.Stats.BytesIn.Add(int64(len(data)))
	if err != nil {
		return response{}, errors.Mark(err, ErrUnknown)
	}
	return response{status: resp.StatusCode, body: data}, nil
}

func markTransport(err error) error {
	if errors.Is(err, transport.ErrNotSent) {
		return errors.Mark(err, ErrUnavailable)
	}
	return errors.Mark(err, ErrUnknown)
}

// decode turns a response into a value or an error.
func (r response) decode(into any) error {
	switch {
	case r.status == http.StatusOK:
		if err := json.Unmarshal(r.body, into); err != nil {
			return errors.Mark(errors.Wrap(err, "decode answer"), ErrUnknown)
		}
		return nil
	case r.status == http.StatusNotFound:
		return ErrNotFound
	case r.status == http.StatusGone:
		return ErrGap
	case r.status == http.StatusConflict:
		return r.conflict()
	case r.status == http.StatusTooManyRequests:
		return errors.Mark(errors.Wrapf(ErrUnavailable, "status %d", r.status), ErrRateLimited)
	case r.status == http.StatusServiceUnavailable:
		return errors.Wrapf(ErrUnavailable, "status %d", r.status)
	case r.status >= http.StatusInternalServerError:
		return errors.Wrapf(ErrUnknown, "status %d", r.status)
	default:
		return errors.Wrapf(ErrRejected, "status %d: %s", r.status, bytes.TrimSpace(r.body[:min(len(r.body), 200)]))
	}
}

func (r response) conflict() error {
	var body struct {
		Current *Object `json:"current"`
	}
	if err := json.Unmarshal(r.body, &body); err != nil {
		return errors.Mark(errors.Wrap(err, "decode conflict"), ErrUnknown)
	}
	if body.Current != nil && body.Current.Name == "" {
		body.Current = nil
	}
	return &ConflictError{Current: body.Current}
}

func (c *Client) read(ctx context.Context, path string, into any) error {
	attempt := func() (struct{}, error) {
		if err := c.reads.Wait(ctx); err != nil {
			return struct{}{}, backoff.Permanent(errors.Mark(err, ErrUnavailable))
		}
		c.Stats.Reads.Add(1)
		ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
		defer cancel()
		resp, err := c.do(ctx, http.MethodGet, path, nil)
		if err == nil {
			err = resp.decode(into)
		}
		if err != nil && !errors.IsAny(err, ErrUnavailable, ErrUnknown) {
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

func readBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = 500 * time.Millisecond
	return b
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// Get reads an object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.read(ctx, objectPath(kind, name), &o)
	return o, err
}

// Put writes an object under the condition that its version is ifVersion, where zero creates it. It returns the new version.
// A *ConflictError holds the present object; ErrUnknown means that the write may have happened.
func (c *Client) Put(ctx context.Context, kind, name string, ifVersion uint64, value any) (uint64, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrap(err, "encode object")
	}
	body, err := json.Marshal(struct {
		IfVersion uint64          `json:"if_version"`
		Value     json.RawMessage `json:"value"`
	}{ifVersion, raw})
	if err != nil {
		return 0, errors.Wrap(err, "encode request")
	}
	var out struct {
		Version uint64 `json:"version"`
	}
	err = c.write(ctx, http.MethodPut, objectPath(kind, name), body, &out)
	return out.Version, err
}

// Delete removes an object under a version condition, where zero sets none.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64) error {
	path := objectPath(kind, name) + "?if_version=" + strconv.FormatUint(ifVersion, 10)
	var out struct{}
	return c.write(ctx, http.MethodDelete, path, nil, &out)
}

func (c *Client) write(ctx context.Context, method, path string, body []byte, into any) error {
	if err := c.writes.Wait(ctx); err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	c.Stats.Writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	resp, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	return resp.decode(into)
}

// List returns a page of the objects of a kind whose names start with prefix and follow after. A limit of zero leaves the
// size of the page to the platform.
func (c *Client) List(ctx context.Context, kind, prefix, after string, limit int) (Page, error) {
	query := url.Values{}
	if prefix != "" {
		query.Set("prefix", prefix)
	}
	if after != "" {
		query.Set("after", after)
	}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	var p Page
	err := c.read(ctx, "/v1/objects/"+url.PathEscape(kind)+"?"+query.Encode(), &p)
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
	path := fmt.Sprintf("/v1/watch/%s?since=%d&wait_ms=%d", url.PathEscape(kind), since, wait.Milliseconds())
	resp, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return 0, nil, err
	}
	var out struct {
		Revision uint64  `json:"revision"`
		Events   []Event `json:"events"`
	}
	if err := resp.decode(&out); err != nil {
		return 0, nil, err
	}
	return out.Revision, out.Events, nil
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var out struct {
		VMs []VM `json:"vms"`
	}
	err := c.read(ctx, "/v1/vms", &out)
	return out.VMs, err
}

// Available reports whether an error shows that the platform cannot be used now.
func Available(err error) bool {
	return err == nil || !errors.IsAny(err, ErrUnavailable, ErrUnknown)
}

// AsConflict returns the conflict in an error.
func AsConflict(err error) (*ConflictError, bool) {
	var c *ConflictError
	ok := errors.As(err, &c)
	return c, ok
}
