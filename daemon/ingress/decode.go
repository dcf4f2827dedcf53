package ingress

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
)

// Limits of the fields of a call.
const (
	maxCallKeyBytes  = 200
	maxMessages      = 10_000
	maxTokensLimit   = 1_000_000
	maxClassBytes    = 100
	maxExpirySeconds = 7 * 24 * 3600
)

// DecodeStrict decodes a single JSON value. It rejects unknown fields and data after the value.
func DecodeStrict(body []byte, dst any) error {
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return decodeError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errkind.New(errkind.MalformedBody, "There is data after the JSON value.")
	}
	return nil
}

func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return errkind.Newf(errkind.WrongType, "Field %s must be %s.", wrongType.Field, wrongType.Type.String())
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return errkind.New(errkind.UnknownField, "Field "+field+" does not exist.")
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) || errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF) {
		return errkind.Wrap(errkind.MalformedBody, err, "")
	}
	return errkind.Wrap(errkind.WrongType, err, err.Error()+".")
}

func invalidField(field, allowed string) error {
	return errkind.New(errkind.InvalidValue, "Field "+field+" must be "+allowed+".")
}

// ValidateCall validates the fields of a call that can be checked without state. now is compared with the call's
// deadline.
func ValidateCall(now time.Time, c caller.Call) error {
	if c.Sequence == 0 {
		return invalidField("sequence", "1 or more")
	}
	if len(c.Digest) != 64 || strings.Trim(c.Digest, "0123456789abcdef") != "" {
		return invalidField("digest", "64 lower-case hexadecimal digits")
	}
	if c.CallKey == "" || len(c.CallKey) > maxCallKeyBytes {
		return invalidField("call_key", "1 to "+strconv.Itoa(maxCallKeyBytes)+" bytes")
	}
	if c.Deadline != nil && !c.Deadline.After(now) {
		return errkind.New(errkind.DeadlinePast, "")
	}
	switch c.Kind {
	case caller.CallModel:
		return validateModelCall(c)
	case caller.CallService:
		return validateServiceCall(c)
	default:
		return invalidField("kind", "model or service")
	}
}

func validateModelCall(c caller.Call) error {
	if c.Model == nil || c.Service != nil {
		return invalidField("model", "set, and field service absent, for kind model")
	}
	if len(c.Model.Messages) == 0 || len(c.Model.Messages) > maxMessages {
		return invalidField("model.messages", "1 to "+strconv.Itoa(maxMessages)+" messages")
	}
	if c.Model.MaxTokens < 0 || c.Model.MaxTokens > maxTokensLimit {
		return invalidField("model.max_tokens", "0 to "+strconv.Itoa(maxTokensLimit))
	}
	for i, m := range c.Model.Messages {
		if m.Role == "" {
			return invalidField("model.messages["+strconv.Itoa(i)+"].role", "set")
		}
	}
	return nil
}

func validateServiceCall(c caller.Call) error {
	if c.Service == nil || c.Model != nil {
		return invalidField("service", "set, and field model absent, for kind service")
	}
	if c.Service.Upstream == "" {
		return invalidField("service.upstream", "set")
	}
	if !isUnambiguousPath(c.Service.Path) {
		return invalidField("service.path", "a percent-encoded path that starts with / and has no empty, . or .. segments")
	}
	switch c.Service.Method {
	case "", http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch:
		return nil
	default:
		return invalidField("service.method", "GET, POST, PUT, PATCH or DELETE")
	}
}

// isUnambiguousPath reports whether every service interprets a path in the same way. A service that resolves dot
// segments or merges empty segments could run a route other than the one whose record declares whether the call is
// repeatable.
func isUnambiguousPath(path string) bool {
	// Go's HTTP client writes a query without escaping it, so a space would break the request line.
	if strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return false
	}
	u, err := url.ParseRequestURI(path)
	if err != nil || u.Scheme != "" || u.Host != "" || strings.Contains(path, "#") {
		return false
	}
	relativePath, ok := strings.CutPrefix(u.Path, "/")
	if !ok {
		return false
	}
	segments := strings.Split(relativePath, "/")
	for i, segment := range segments {
		isLast := i == len(segments)-1
		if segment == "." || segment == ".." || segment == "" && !isLast || strings.Contains(segment, "\\") {
			return false
		}
	}
	return true
}

func validateCreateProgram(c caller.CreateProgram) error {
	switch {
	case len(c.Class) > maxClassBytes:
		return invalidField("class", "at most "+strconv.Itoa(maxClassBytes)+" bytes")
	case c.BudgetTokens < 0:
		return invalidField("budget_tokens", "0 or more")
	case c.MaxTurns < 0:
		return invalidField("max_turns", "0 or more")
	case c.ExpirySeconds < 0 || c.ExpirySeconds > maxExpirySeconds:
		return invalidField("expiry_seconds", "0 to "+strconv.Itoa(maxExpirySeconds))
	default:
		return nil
	}
}

// parseQueryUint parses an optional number from the query. It returns 0 if the parameter is missing.
func parseQueryUint(r *http.Request, name string) (uint64, error) {
	value := r.URL.Query().Get(name)
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return 0, errkind.New(errkind.InvalidValue, "Query "+name+" must be a number of 0 or more.")
	}
	return n, nil
}
