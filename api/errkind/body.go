package errkind

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Body is the JSON body of every error response.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error object of a Body. RetryAfterMillis is zero if no retry time is known.
type BodyError struct {
	Code             Kind   `json:"code"`
	Message          string `json:"message"`
	NotRun           NotRun `json:"not_run"`
	Retry            Retry  `json:"retry"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}

// NewBody returns the response body for err. It omits the cause of the error, which may contain internal addresses.
func NewBody(err error) Body {
	e := From(err)
	properties := Lookup(e.Kind)
	message := properties.Meaning
	if e.Detail != "" {
		message += " " + e.Detail
	}
	notRun := properties.NotRun
	if e.NotRun != "" {
		notRun = e.NotRun
	}
	return Body{Error: BodyError{
		Code:             e.Kind,
		Message:          message,
		NotRun:           notRun,
		Retry:            properties.Retry,
		RetryAfterMillis: e.RetryAfter.Milliseconds(),
	}}
}

// Write sends err as an HTTP response: its status, a Retry-After header if a retry time is known, and its body.
func Write(w http.ResponseWriter, err error) {
	e := From(err)
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(Lookup(e.Kind).Status)
	// A write error is ignored. The connection may be closed, and there is no other way to report the error to the
	// caller.
	_ = json.NewEncoder(w).Encode(NewBody(err))
}

// Parse decodes an error from a response body. It returns an error of kind Internal if the body is not a Body.
func Parse(body []byte) *Error {
	var b Body
	if err := json.Unmarshal(body, &b); err != nil || b.Error.Code == "" {
		return &Error{Kind: Internal, Detail: "the answer has no error body"}
	}
	// Remove the meaning of the kind from the message, because NewBody adds it again when the error is forwarded.
	detail := strings.TrimSpace(strings.TrimPrefix(b.Error.Message, Lookup(b.Error.Code).Meaning))
	return &Error{
		Kind:       b.Error.Code,
		Detail:     detail,
		NotRun:     b.Error.NotRun,
		RetryAfter: time.Duration(b.Error.RetryAfterMillis) * time.Millisecond,
	}
}
