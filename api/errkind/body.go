package errkind

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Body is the JSON body of every answer that is not a result.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error inside a Body. RetryAfterMillis is in milliseconds, zero where unknown.
type BodyError struct {
	Code             Kind   `json:"code"`
	Message          string `json:"message"`
	NotRun           NotRun `json:"not_run"`
	Retry            Retry  `json:"retry"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}

// NewBody returns the body for an error. The cause of the error stays out of it, since it may hold internal addresses.
func NewBody(err error) Body {
	e := From(err)
	a := Lookup(e.Kind)
	message := a.Meaning
	if e.Detail != "" {
		message += " " + e.Detail
	}
	notRun := a.NotRun
	if e.NotRun != "" {
		notRun = e.NotRun
	}
	return Body{Error: BodyError{
		Code:             e.Kind,
		Message:          message,
		NotRun:           notRun,
		Retry:            a.Retry,
		RetryAfterMillis: e.RetryAfter.Milliseconds(),
	}}
}

// Write sends the answer for an error.
func Write(w http.ResponseWriter, err error) {
	e := From(err)
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(Lookup(e.Kind).Status)
	// The connection may be gone; there is no second way to tell the caller.
	_ = json.NewEncoder(w).Encode(NewBody(err))
}

// Parse rebuilds the error from the body of an answer. A body that is not a Body yields Internal.
func Parse(body []byte) *Error {
	var b Body
	if err := json.Unmarshal(body, &b); err != nil || b.Error.Code == "" {
		return &Error{Kind: Internal, Detail: "the answer has no error body"}
	}
	// The message starts with the meaning of the kind, which NewBody adds again when the error is passed on.
	detail := strings.TrimSpace(strings.TrimPrefix(b.Error.Message, Lookup(b.Error.Code).Meaning))
	return &Error{
		Kind:       b.Error.Code,
		Detail:     detail,
		NotRun:     b.Error.NotRun,
		RetryAfter: time.Duration(b.Error.RetryAfterMillis) * time.Millisecond,
	}
}
