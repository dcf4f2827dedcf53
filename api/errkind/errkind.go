// Package errkind defines the closed list of error kinds and the table that maps each kind to an error response.
// Daemons build every error response from this table.
package errkind

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind identifies an error kind. Its string is the machine-readable code in the body of an error response.
type Kind string

// NotRun states whether a failed call may have had an effect at the upstream.
type NotRun string

// Values of NotRun in a response.
const (
	NotRunTrue    NotRun = "true"    // The call did not run.
	NotRunFalse   NotRun = "false"   // The call ran.
	NotRunUnknown NotRun = "unknown" // The call may have run.
)

// Retry states whether and how the caller can retry a failed request.
type Retry string

// Values of Retry in a response.
const (
	RetryNever       Retry = "never"        // The same request will fail again.
	RetrySame        Retry = "same"         // Retry the same request with the same call key.
	RetryWithHistory Retry = "with_history" // Retry with the turns after the durable sequence.
	RetryReadState   Retry = "read_state"   // Read the program's state before deciding.
)

// Error kinds. Each kind has an entry in propertiesByKind.
const (
	MalformedBody          Kind = "malformed_body"
	UnknownField           Kind = "unknown_field"
	WrongType              Kind = "wrong_type"
	InvalidValue           Kind = "invalid_value"
	BadHeader              Kind = "bad_header"
	BodyTooLarge           Kind = "body_too_large"
	BodyTimeout            Kind = "body_timeout"
	Unauthenticated        Kind = "unauthenticated"
	PathNotFound           Kind = "path_not_found"
	MethodNotAllowed       Kind = "method_not_allowed"
	ProgramNotFound        Kind = "program_not_found"
	ProgramEnded           Kind = "program_ended"
	WrongSequence          Kind = "wrong_sequence"
	DigestMismatch         Kind = "digest_mismatch"
	HistoryGap             Kind = "history_gap"
	CallKeyReused          Kind = "call_key_reused"
	CallInProgress         Kind = "call_in_progress"
	UnknownModel           Kind = "unknown_model"
	UnknownUpstream        Kind = "unknown_upstream"
	DeadlinePast           Kind = "deadline_past"
	DeadlineUnreachable    Kind = "deadline_unreachable"
	TurnLimit              Kind = "turn_limit"
	ProgramBudgetExhausted Kind = "program_budget_exhausted"
	TenantBudgetExhausted  Kind = "tenant_budget_exhausted"
	TenantLimit            Kind = "tenant_limit"
	QueueFull              Kind = "queue_full"
	RetryBudgetExhausted   Kind = "retry_budget_exhausted"
	OwnerUnavailable       Kind = "owner_unavailable"
	NotOwner               Kind = "not_owner"
	StoreUnavailable       Kind = "store_unavailable"
	BacklogFull            Kind = "backlog_full"
	ShuttingDown           Kind = "shutting_down"
	UpstreamUnavailable    Kind = "upstream_unavailable"
	UpstreamFailed         Kind = "upstream_failed"
	UpstreamTimeout        Kind = "upstream_timeout"
	OutcomeUnknown         Kind = "outcome_unknown"
	StreamGone             Kind = "stream_gone"
	StaleFencing           Kind = "stale_fencing"
	Conflict               Kind = "conflict"
	InvalidRecord          Kind = "invalid_record"
	RecordNotFound         Kind = "record_not_found"
	CallerGone             Kind = "caller_gone"
	NoConfiguration        Kind = "no_configuration"
	RouteNotFound          Kind = "route_not_found"
	NoReadyUpstream        Kind = "no_ready_upstream"
	Overloaded             Kind = "overloaded"
	HistoryUnavailable     Kind = "history_unavailable"
	TurnNotFound           Kind = "turn_not_found"
	ResponseLost           Kind = "response_lost"
	RouteTimeout           Kind = "route_timeout"
	OrganisationLimit      Kind = "organisation_limit"
	QuotaUnavailable       Kind = "quota_unavailable"
	StreamVersionGone      Kind = "stream_version_gone"
	StreamVersionUnknown   Kind = "stream_version_unknown"
	StreamEventsUnknown    Kind = "stream_events_unknown"
	Internal               Kind = "internal"
)

// Properties describes how an error kind is reported to a caller.
type Properties struct {
	Status  int    // HTTP status code.
	NotRun  NotRun // Whether the call may have run.
	Retry   Retry  // How the caller can retry.
	Meaning string // One short sentence for operators and callers.
}

// statusClientClosedRequest is the nonstandard status that servers commonly use if the client closed its connection.
const statusClientClosedRequest = 499

var propertiesByKind = map[Kind]Properties{
	MalformedBody:          {http.StatusBadRequest, NotRunTrue, RetryNever, "The body is not valid JSON."},
	UnknownField:           {http.StatusBadRequest, NotRunTrue, RetryNever, "The body has a field that does not exist."},
	WrongType:              {http.StatusBadRequest, NotRunTrue, RetryNever, "A field of the body has the wrong type."},
	InvalidValue:           {http.StatusBadRequest, NotRunTrue, RetryNever, "A field of the body has a value that is not allowed."},
	BadHeader:              {http.StatusBadRequest, NotRunTrue, RetryNever, "A header cannot be parsed."},
	BodyTimeout:            {http.StatusRequestTimeout, NotRunTrue, RetrySame, "The body did not arrive in time."},
	BodyTooLarge:           {http.StatusRequestEntityTooLarge, NotRunTrue, RetryNever, "The body is larger than allowed."},
	Unauthenticated:        {http.StatusUnauthorized, NotRunTrue, RetryNever, "The bearer key is missing or unknown."},
	PathNotFound:           {http.StatusNotFound, NotRunTrue, RetryNever, "The path does not exist."},
	MethodNotAllowed:       {http.StatusMethodNotAllowed, NotRunTrue, RetryNever, "The path does not have this method."},
	ProgramNotFound:        {http.StatusNotFound, NotRunTrue, RetryNever, "The program does not exist for this tenant."},
	ProgramEnded:           {http.StatusGone, NotRunTrue, RetryNever, "The program has ended."},
	WrongSequence:          {http.StatusConflict, NotRunTrue, RetryReadState, "The sequence is not the next one of the program."},
	DigestMismatch:         {http.StatusConflict, NotRunTrue, RetryReadState, "The digest is not the digest of the program's history."},
	HistoryGap:             {http.StatusConflict, NotRunTrue, RetryWithHistory, "The owner lacks turns that the caller still holds."},
	CallKeyReused:          {http.StatusConflict, NotRunTrue, RetryNever, "The call key was used with another body."},
	CallInProgress:         {http.StatusConflict, NotRunTrue, RetrySame, "Another call of the program is running."},
	UnknownModel:           {http.StatusUnprocessableEntity, NotRunTrue, RetryNever, "No record describes the model."},
	UnknownUpstream:        {http.StatusUnprocessableEntity, NotRunTrue, RetryNever, "No record describes the upstream."},
	DeadlinePast:           {http.StatusUnprocessableEntity, NotRunTrue, RetryNever, "The deadline is in the past."},
	DeadlineUnreachable:    {http.StatusServiceUnavailable, NotRunTrue, RetrySame, "The call cannot start before its deadline."},
	TurnLimit:              {http.StatusForbidden, NotRunTrue, RetryNever, "The program has reached its turn limit."},
	ProgramBudgetExhausted: {http.StatusPaymentRequired, NotRunTrue, RetryNever, "The budget of the program does not cover the call."},
	TenantBudgetExhausted:  {http.StatusPaymentRequired, NotRunTrue, RetrySame, "The budget of the tenant does not cover the call."},
	TenantLimit:            {http.StatusTooManyRequests, NotRunTrue, RetrySame, "The tenant has too many programs or calls under way."},
	QueueFull:              {http.StatusTooManyRequests, NotRunTrue, RetrySame, "The queue of the engine group is full."},
	RetryBudgetExhausted:   {http.StatusServiceUnavailable, NotRunUnknown, RetrySame, "The call failed and the retry budget is used up."},
	OwnerUnavailable:       {http.StatusServiceUnavailable, NotRunTrue, RetrySame, "The owner of the program cannot be reached now."},
	NotOwner:               {http.StatusMisdirectedRequest, NotRunTrue, RetrySame, "This daemon does not own the program."},
	StoreUnavailable:       {http.StatusServiceUnavailable, NotRunTrue, RetrySame, "The platform cannot store what the call needs."},
	BacklogFull:            {http.StatusServiceUnavailable, NotRunTrue, RetrySame, "Too many changes wait for the platform."},
	ShuttingDown:           {http.StatusServiceUnavailable, NotRunTrue, RetrySame, "The daemon is stopping."},
	UpstreamUnavailable:    {http.StatusBadGateway, NotRunTrue, RetrySame, "No upstream accepted a connection for the call."},
	UpstreamFailed:         {http.StatusBadGateway, NotRunUnknown, RetrySame, "The upstream failed during an idempotent call."},
	UpstreamTimeout:        {http.StatusGatewayTimeout, NotRunUnknown, RetrySame, "The upstream did not answer an idempotent call in time."},
	OutcomeUnknown:         {http.StatusConflict, NotRunUnknown, RetryReadState, "The non-idempotent call may have run."},
	StreamGone:             {http.StatusGone, NotRunFalse, RetryReadState, "The stream can no longer be resumed."},
	StaleFencing:           {http.StatusConflict, NotRunTrue, RetryNever, "The order has an old fencing number."},
	Conflict:               {http.StatusConflict, NotRunTrue, RetryReadState, "Another writer changed the object first."},
	InvalidRecord:          {http.StatusUnprocessableEntity, NotRunTrue, RetryNever, "The record breaks a rule of its schema."},
	RecordNotFound:         {http.StatusNotFound, NotRunTrue, RetryNever, "The record does not exist."},
	CallerGone:             {statusClientClosedRequest, NotRunUnknown, RetrySame, "The caller closed its connection."},
	NoConfiguration:        {http.StatusServiceUnavailable, NotRunTrue, RetrySame, "The daemon does not know the configuration yet."},
	RouteNotFound:          {http.StatusNotFound, NotRunTrue, RetryNever, "No route of the configuration matches the request."},
	NoReadyUpstream:        {http.StatusServiceUnavailable, NotRunTrue, RetrySame, "No upstream of the route accepted the request."},
	Overloaded:             {http.StatusServiceUnavailable, NotRunTrue, RetrySame, "The request cannot be served before its deadline."},
	HistoryUnavailable:     {http.StatusServiceUnavailable, NotRunTrue, RetrySame, "Too few replicas of the history can be reached now."},
	TurnNotFound:           {http.StatusNotFound, NotRunTrue, RetryNever, "The turn that the request continues does not exist."},
	ResponseLost:           {http.StatusBadGateway, NotRunUnknown, RetrySame, "The response of the upstream was lost; the request may have run."},
	RouteTimeout:           {http.StatusGatewayTimeout, NotRunUnknown, RetrySame, "The upstream did not answer within the time of the route."},
	OrganisationLimit:      {http.StatusTooManyRequests, NotRunTrue, RetrySame, "The organisation has reached its limit of requests per second."},
	QuotaUnavailable:       {http.StatusServiceUnavailable, NotRunTrue, RetrySame, "No issuer of the organisation's limit can be reached now."},
	StreamVersionGone:      {http.StatusServiceUnavailable, NotRunTrue, RetryNever, "No upstream of the version that began the stream serves now; start the stream anew."},
	StreamVersionUnknown:   {http.StatusServiceUnavailable, NotRunTrue, RetryNever, "It is not known which version began the stream; start the stream anew."},
	StreamEventsUnknown:    {http.StatusServiceUnavailable, NotRunTrue, RetryNever, "The earlier events of the turn are not known; start the stream anew."},
	Internal:               {http.StatusInternalServerError, NotRunUnknown, RetrySame, "The daemon has a fault."},
}

// Kinds returns all error kinds in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(propertiesByKind))
	for k := range propertiesByKind {
		kinds = append(kinds, k)
	}
	return kinds
}

// Lookup returns the properties of k. It returns those of Internal if k is not a known kind.
func Lookup(k Kind) Properties {
	if properties, ok := propertiesByKind[k]; ok {
		return properties
	}
	return propertiesByKind[Internal]
}

// Error is an error with a kind. RetryAfter is zero if no retry time is known.
type Error struct {
	Kind       Kind
	Detail     string
	RetryAfter time.Duration
	NotRun     NotRun // Overrides the NotRun value of the kind; empty means no override.
	cause      error
}

// New returns an error of kind k. The detail is part of the message that the caller receives.
func New(k Kind, detail string) *Error { return &Error{Kind: k, Detail: detail} }

// Newf returns an error of kind k with a formatted detail.
func Newf(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: errors.Newf(format, args...).Error()}
}

// Wrap returns an error of kind k that wraps cause. The cause is only logged and never sent to the caller.
func Wrap(k Kind, cause error, detail string) *Error {
	return &Error{Kind: k, Detail: detail, cause: cause}
}

// WithRetryAfter returns a copy of e with the given retry delay.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithNotRun returns a copy of e with a NotRun value that overrides that of its kind.
func (e *Error) WithNotRun(n NotRun) *Error {
	c := *e
	c.NotRun = n
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	s := string(e.Kind)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// From returns the first *Error in the chain of err. If there is none, it wraps err in an error of kind Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, cause: err}
}

// Is reports whether the first *Error in the chain of err has kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
