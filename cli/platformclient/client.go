// Package platformclient implements a client of the platform's object API for the command-line tool.
package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/httpcheck"
)

// Object is an object that the platform stores.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// ErrNotFound is returned if an object does not exist.
var ErrNotFound = errors.New("The object does not exist on the platform.")

// ConflictError is returned if the version of an object differs from the version that a write expects.
type ConflictError struct {
	Current *Object // Nil if the object does not exist or the platform did not return it.
}

// Error implements error.
func (e *ConflictError) Error() string { return "Another writer changed the object first." }

// UnavailableError is returned if the platform does not respond or temporarily rejects all requests.
type UnavailableError struct {
	OutcomeUnknown bool // The write may have taken effect or may still take effect.
	Cause          error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "The platform is not available: " + e.Cause.Error() + "."
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// RejectedError is returned if the platform rejects a request permanently. A retry would be rejected again.
type RejectedError struct {
	Status  int
	Code    string
	Message string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("The platform rejected the request with status %d (%s): %s", e.Status, e.Code, e.Message)
}

// Config describes a Client.
type Config struct {
	URL             string
	Key             string
	RequestTimeout  time.Duration // Timeout of one HTTP request.
	MaxReadAttempts uint          // Attempts of one read, including the first.
}

// Client sends requests to the platform. It retries reads but not writes.
type Client struct {
	cfg     Config
	baseURL *url.URL
	http    *http.Client
}

const (
	defaultRequestTimeout  = 5 * time.Second
	defaultMaxReadAttempts = 5
	initialRetryDelay      = 100 * time.Millisecond
	maxRetryDelay          = 2 * time.Second
	maxResponseBytes       = 8 << 20 // A list response contains at most 4 MB of values.
	maxListPages           = 10_000  // Bounds a list if the platform returns the same pages repeatedly.
)

// New returns a client for the platform at cfg.URL. Zero values of cfg are replaced by defaults.
func New(cfg Config) (*Client, error) {
	base, err := url.Parse(cfg.URL)
	if err != nil || base.Host == "" || base.Scheme != "http" && base.Scheme != "https" {
		return nil, errors.New("The platform URL is not an http or https URL.")
	}
	if cfg.RequestTimeout == 0 {
		cfg.RequestTimeout = defaultRequestTimeout
	}
	if cfg.MaxReadAttempts == 0 {
		cfg.MaxReadAttempts = defaultMaxReadAttempts
	}
	c := &http.Client{
		Timeout: cfg.RequestTimeout,
		Transport: httpcheck.NewTransport(&http.Transport{
			Proxy:              http.ProxyFromEnvironment,
			DisableCompression: true, // A decompressed body does not bound the bytes that are read.
		}),
		// Redirects are not followed, because they would send the key to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{cfg: cfg, baseURL: base, http: c}, nil
}

// Get reads an object. It returns ErrNotFound if the object does not exist.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.readWithRetry(ctx, "/v1/objects/"+url.PathEscape(kind)+"/"+url.PathEscape(name), nil, &o)
	return o, err
}

// List reads all objects of a kind whose names have the given prefix, sorted by name.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	var objects []Object
	query := url.Values{"prefix": {prefix}}
	for range maxListPages {
		var page struct {
			Items []Object `json:"items"`
			More  bool     `json:"more"`
		}
		if err := c.readWithRetry(ctx, "/v1/objects/"+url.PathEscape(kind), query, &page); err != nil {
			return nil, err
		}
		objects = append(objects, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return objects, nil
		}
		query.Set("after", page.Items[len(page.Items)-1].Name)
	}
	return nil, &RejectedError{Code: "list_too_long", Message: "The list of objects has too many pages."}
}

// readWithRetry sends a GET request and retries it with backoff while the platform is unavailable.
func (c *Client) readWithRetry(ctx context.Context, path string, query url.Values, dst any) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = initialRetryDelay, maxRetryDelay
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := c.sendRequest(ctx, http.MethodGet, path, query, nil, dst)
		var unavailable *UnavailableError
		var rateLimit *rateLimitError
		switch {
		case errors.As(err, &rateLimit) && rateLimit.retryAfter > 0:
			return struct{}{}, &backoff.RetryAfterError{Duration: rateLimit.retryAfter}
		case err != nil && !errors.As(err, &unavailable):
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(delay), backoff.WithMaxTries(c.cfg.MaxReadAttempts))
	var retryAfterErr *backoff.RetryAfterError
	if errors.As(err, &retryAfterErr) {
		return &UnavailableError{Cause: &rateLimitError{retryAfter: retryAfterErr.Duration}}
	}
	if ctx.Err() != nil && err != nil {
		return &UnavailableError{Cause: err}
	}
	return err
}

// Put writes an object if its version is ifVersion, and returns the new version. An ifVersion of 0 creates the object.
// The request is sent once. If the response is lost, Put reads the object: the write took effect if the object has the
// value.
func (c *Client) Put(ctx context.Context, kind, name string, ifVersion int64, value json.RawMessage) (int64, error) {
	body, err := json.Marshal(map[string]any{"if_version": ifVersion, "value": value})
	if err != nil {
		return 0, err
	}
	var written Object
	err = c.sendRequest(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(kind)+"/"+url.PathEscape(name), nil, body, &written)
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) || !unavailable.OutcomeUnknown {
		return written.Version, err
	}
	return c.verifyWrite(ctx, kind, name, ifVersion, value, unavailable)
}

func (c *Client) verifyWrite(ctx context.Context, kind, name string, ifVersion int64, value json.RawMessage, writeErr *UnavailableError) (int64, error) {
	current, err := c.Get(ctx, kind, name)
	missing := errors.Is(err, ErrNotFound)
	switch {
	case err != nil && !missing:
		return 0, writeErr
	case missing && ifVersion != 0:
		return 0, &ConflictError{}
	case !missing && current.Version != ifVersion && equalJSON(current.Value, value):
		return current.Version, nil
	case !missing && current.Version != ifVersion:
		return 0, &ConflictError{Current: &current}
	}
	// The object is unchanged. If the connection was closed, the platform has stopped processing the request. After a
	// timeout, it may still be processing it.
	var timeout interface{ Timeout() bool }
	unknown := errors.As(writeErr.Cause, &timeout) && timeout.Timeout() || ctx.Err() != nil
	return 0, &UnavailableError{OutcomeUnknown: unknown, Cause: writeErr.Cause}
}

// equalJSON reports whether two JSON values are equal. It ignores field order and white space.
func equalJSON(a, b []byte) bool {
	decode := func(raw []byte) (v any, err error) {
		d := json.NewDecoder(bytes.NewReader(raw))
		d.UseNumber()
		err = d.Decode(&v)
		return v, err
	}
	x, errX := decode(a)
	y, errY := decode(b)
	return errX == nil && errY == nil && reflect.DeepEqual(x, y)
}

// rateLimitError is the cause of an UnavailableError after a response with status 429.
type rateLimitError struct{ retryAfter time.Duration }

func (e *rateLimitError) Error() string { return "the rate limit is reached" }

func (c *Client) sendRequest(ctx context.Context, method, path string, query url.Values, body []byte, dst any) error {
	target := strings.TrimSuffix(c.baseURL.String(), "/") + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &UnavailableError{OutcomeUnknown: !isDialError(err), Cause: unwrapURLError(err)}
	}
	defer func() { _ = resp.Body.Close() }() // The error is ignored, because the body has been read.
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &UnavailableError{OutcomeUnknown: true, Cause: err}
	}
	return decodeResponse(resp, raw, dst)
}

func decodeResponse(resp *http.Response, raw []byte, dst any) error {
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(raw, dst); err != nil {
			return &UnavailableError{OutcomeUnknown: true, Cause: errors.New("the response is not valid JSON")}
		}
		return nil
	}
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
		Current *Object `json:"current"`
	}
	// Decoding errors are ignored, because the status alone identifies most errors.
	_ = json.Unmarshal(raw, &body)
	switch {
	case resp.StatusCode == http.StatusNotFound && body.Error.Code == "not_found":
		return ErrNotFound
	case resp.StatusCode == http.StatusConflict:
		return &ConflictError{Current: body.Current}
	case resp.StatusCode == http.StatusTooManyRequests:
		ms, _ := strconv.ParseInt(resp.Header.Get("Retry-After-Ms"), 10, 64)
		return &UnavailableError{Cause: &rateLimitError{retryAfter: min(time.Duration(ms)*time.Millisecond, maxRetryDelay)}}
	case resp.StatusCode == http.StatusServiceUnavailable:
		return &UnavailableError{Cause: errors.Newf("status %d", resp.StatusCode)}
	case resp.StatusCode >= http.StatusInternalServerError:
		return &UnavailableError{OutcomeUnknown: true, Cause: errors.Newf("status %d", resp.StatusCode)}
	}
	return &RejectedError{Status: resp.StatusCode, Code: body.Error.Code, Message: body.Error.Message}
}
