// Package platformclient is the client of the platform's object API for the command-line tool.
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
)

// Object is one object of the platform.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// ErrNotFound is returned when an object does not exist.
var ErrNotFound = errors.New("The object does not exist on the platform.")

// ConflictError is returned when an object does not have the version on which a write was based.
type ConflictError struct {
	Current *Object // Nil when the object does not exist.
}

// Error implements error.
func (e *ConflictError) Error() string { return "Another writer changed the object first." }

// UnavailableError is returned when the platform gives no answer or refuses all requests for now.
type UnavailableError struct {
	OutcomeUnknown bool // A write may have taken effect, or may still take effect.
	Cause          error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "The platform is not available: " + e.Cause.Error() + "."
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// RejectedError is returned when the platform refuses a request that would be refused again.
type RejectedError struct {
	Status  int
	Code    string
	Message string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("The platform refused the request with status %d (%s): %s", e.Status, e.Code, e.Message)
}

// Config describes a Client.
type Config struct {
	URL             string
	Key             string
	RequestTimeout  time.Duration // Of one HTTP request.
	MaxReadAttempts uint          // Tries of one read, the first included.
}

// Client talks to the platform. It retries reads only.
type Client struct {
	cfg  Config
	base *url.URL
	http *http.Client
}

const (
	defaultRequestTimeout = 5 * time.Second
	defaultReadTries      = 5
	firstRetryDelay       = 100 * time.Millisecond
	longestRetryDelay     = 2 * time.Second
	maxAnswerBytes        = 8 << 20 // A list holds at most 4 MB of values.
	maxListPages          = 10_000  // Bounds a list against a platform that repeats pages.
)

// New returns a client.
func New(cfg Config) (*Client, error) {
	base, err := url.Parse(cfg.URL)
	if err != nil || base.Host == "" || base.Scheme != "http" && base.Scheme != "https" {
		return nil, errors.New("The platform URL is not an http or https URL.")
	}
	if cfg.RequestTimeout == 0 {
		cfg.RequestTimeout = defaultRequestTimeout
	}
	if cfg.MaxReadAttempts == 0 {
		cfg.MaxReadAttempts = defaultReadTries
	}
	c := &http.Client{
		Timeout: cfg.RequestTimeout,
		// A redirect would send the key to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{cfg: cfg, base: base, http: c}, nil
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.read(ctx, "/v1/objects/"+url.PathEscape(kind)+"/"+url.PathEscape(name), nil, &o)
	return o, err
}

// List reads all objects of a kind in order of name.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	var list []Object
	query := url.Values{"prefix": {prefix}}
	for range maxListPages {
		var page struct {
			Items []Object `json:"items"`
			More  bool     `json:"more"`
		}
		if err := c.read(ctx, "/v1/objects/"+url.PathEscape(kind), query, &page); err != nil {
			return nil, err
		}
		list = append(list, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return list, nil
		}
		query.Set("after", page.Items[len(page.Items)-1].Name)
	}
	return nil, &RejectedError{Code: "list_too_long", Message: "The list of objects does not end."}
}

// read sends a GET request and repeats it while the platform is not available.
func (c *Client) read(ctx context.Context, path string, query url.Values, into any) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = firstRetryDelay, longestRetryDelay
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := c.send(ctx, http.MethodGet, path, query, nil, into)
		var unavailable *UnavailableError
		var limited *rateLimited
		switch {
		case errors.As(err, &limited) && limited.after > 0:
			return struct{}{}, &backoff.RetryAfterError{Duration: limited.after}
		case err != nil && !errors.As(err, &unavailable):
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(delay), backoff.WithMaxTries(c.cfg.MaxReadAttempts))
	var after *backoff.RetryAfterError
	if errors.As(err, &after) {
		return &UnavailableError{Cause: &rateLimited{after: after.Duration}}
	}
	if ctx.Err() != nil && err != nil {
		return &UnavailableError{Cause: err}
	}
	return err
}

// Put writes an object if its version is still ifVersion; zero creates the object. It sends the request once. When the
// answer is lost, it reads the object back: the write took effect when the object holds the value.
func (c *Client) Put(ctx context.Context, kind, name string, ifVersion int64, value json.RawMessage) (int64, error) {
	body, err := json.Marshal(map[string]any{"if_version": ifVersion, "value": value})
	if err != nil {
		return 0, err
	}
	var written Object
	err = c.send(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(kind)+"/"+url.PathEscape(name), nil, body, &written)
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) || !unavailable.OutcomeUnknown {
		return written.Version, err
	}
	return c.readBack(ctx, kind, name, ifVersion, value, unavailable)
}

func (c *Client) readBack(ctx context.Context, kind, name string, ifVersion int64, value json.RawMessage, lost *UnavailableError) (int64, error) {
	current, err := c.Get(ctx, kind, name)
	missing := errors.Is(err, ErrNotFound)
	switch {
	case err != nil && !missing:
		return 0, lost
	case missing && ifVersion != 0:
		return 0, &ConflictError{}
	case !missing && current.Version != ifVersion && sameJSON(current.Value, value):
		return current.Version, nil
	case !missing && current.Version != ifVersion:
		return 0, &ConflictError{Current: &current}
	}
	// The object is unchanged. A closed connection ends the request, but after a timeout the platform may still be
	// working on it.
	var timeout interface{ Timeout() bool }
	unknown := errors.As(lost.Cause, &timeout) && timeout.Timeout() || ctx.Err() != nil
	return 0, &UnavailableError{OutcomeUnknown: unknown, Cause: lost.Cause}
}

// sameJSON compares values apart from the order of fields and white space.
func sameJSON(a, b []byte) bool {
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

// rateLimited is the cause of an UnavailableError for status 429.
type rateLimited struct{ after time.Duration }

func (e *rateLimited) Error() string { return "the rate limit is reached" }

func (c *Client) send(ctx context.Context, method, path string, query url.Values, body []byte, into any) error {
	target := strings.TrimSuffix(c.base.String(), "/") + path
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
		return &UnavailableError{OutcomeUnknown: !dialFailed(err), Cause: withoutURL(err)}
	}
	defer func() { _ = resp.Body.Close() }() // The body was read; nothing can be lost.
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &UnavailableError{OutcomeUnknown: true, Cause: err}
	}
	return answer(resp, raw, into)
}

func answer(resp *http.Response, raw []byte, into any) error {
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(raw, into); err != nil {
			return &UnavailableError{OutcomeUnknown: true, Cause: errors.New("the answer is not valid JSON")}
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
	// An answer without a body still has a status.
	_ = json.Unmarshal(raw, &body)
	switch {
	case resp.StatusCode == http.StatusNotFound && body.Error.Code == "not_found":
		return ErrNotFound
	case resp.StatusCode == http.StatusConflict:
		return &ConflictError{Current: body.Current}
	case resp.StatusCode == http.StatusTooManyRequests:
		ms, _ := strconv.ParseInt(resp.Header.Get("Retry-After-Ms"), 10, 64)
		return &UnavailableError{Cause: &rateLimited{after: min(time.Duration(ms)*time.Millisecond, longestRetryDelay)}}
	case resp.StatusCode == http.StatusServiceUnavailable:
		return &UnavailableError{Cause: errors.Newf("status %d", resp.StatusCode)}
	case resp.StatusCode >= http.StatusInternalServerError:
		return &UnavailableError{OutcomeUnknown: true, Cause: errors.Newf("status %d", resp.StatusCode)}
	}
	return &RejectedError{Status: resp.StatusCode, Code: body.Error.Code, Message: body.Error.Message}
}
