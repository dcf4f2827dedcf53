package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/daemon/transport"
)

// ServiceClient sends requests to tool services and plain services. Every request has a new connection and a body that
// cannot be rewound, so that Go's transport can never send it twice.
type ServiceClient struct {
	key       string
	http      *http.Client
	responses *transport.Budget
}

// NewServiceClient returns a client. The key is sent to every service.
func NewServiceClient(key string, o transport.Options) *ServiceClient {
	o.NoReuse = true
	return &ServiceClient{key: key, http: transport.NewClient(o), responses: o.ResponseBudget()}
}

// ServiceRequest is a request to a service. IdempotencyKey is empty for a service that does not honour such keys.
type ServiceRequest struct {
	Method         string
	Path           string
	Body           json.RawMessage
	IdempotencyKey string
}

// Send sends a request. ErrNotSent means that the request was not executed. After any other error it may have been executed.
func (s *ServiceClient) Send(ctx context.Context, address string, r ServiceRequest) (caller.ServiceResponse, error) {
	if !strings.HasPrefix(r.Path, "/") {
		return caller.ServiceResponse{}, errors.Wrap(ErrNotSent, "path does not start with a slash")
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, transport.NonRewindableBody(r.Body))
	if err != nil {
		return caller.ServiceResponse{}, errors.Mark(err, ErrNotSent)
	}
	req.ContentLength = int64(len(r.Body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+s.key)
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return caller.ServiceResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := s.responses.ReadAll(resp.Body, transport.MaxResponseBytes)
	if err != nil {
		return caller.ServiceResponse{}, errors.Mark(err, ErrIncompleteResponse)
	}
	return caller.ServiceResponse{Status: resp.StatusCode, Body: toJSON(body)}, nil
}

// toJSON returns a JSON body unchanged and any other body as a JSON string, so that a turn can always be encoded.
func toJSON(body []byte) json.RawMessage {
	if len(body) == 0 {
		return nil
	}
	if json.Valid(body) {
		return body
	}
	// Encoding a string never fails.
	text, _ := json.Marshal(string(body))
	return text
}

// Lookup queries a service for the outcome of an idempotency key. found is false if no request with the key was executed.
func (s *ServiceClient) Lookup(ctx context.Context, address, key string) (response caller.ServiceResponse, found bool, err error) {
	path := "/v1/idempotency/" + url.PathEscape(key)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return caller.ServiceResponse{}, false, err
	}
	req.Header.Set("Authorization", "Bearer "+s.key)
	resp, err := s.http.Do(req)
	if err != nil {
		return caller.ServiceResponse{}, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := s.responses.ReadAll(resp.Body, transport.MaxResponseBytes)
	if err != nil {
		return caller.ServiceResponse{}, false, err
	}
	switch resp.StatusCode {
	case http.StatusNotFound:
		return caller.ServiceResponse{}, false, nil
	case http.StatusOK:
		if err := json.Unmarshal(body, &response); err != nil {
			return response, false, errors.Mark(err, ErrIncompleteResponse)
		}
		return response, true, nil
	default:
		return response, false, errors.Wrapf(ErrRequestRejected, "status %d", resp.StatusCode)
	}
}
