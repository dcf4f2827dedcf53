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

// Bounds of the fields of a call.
const (
	maxCallKeyBytes  = 200
	maxMessages      = 10_000
	maxMaxTokens     = 1_000_000
	maxClassBytes    = 100
	maxExpirySeconds = 7 * 24 * 3600
)

// decodeBody decodes a request body into a value and maps each fault to its error kind.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int64, into any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return errkind.Newf(errkind.BodyTooLarge, "The limit is %d bytes.", limit)
		}
		return errkind.Wrap(errkind.MalformedBody, err, "The body was not received whole.")
	}
	return DecodeStrict(body, into)
}

// DecodeStrict decodes JSON and refuses unknown fields and anything after the value.
func DecodeStrict(body []byte, into any) error {
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
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

func invalid(field, allowed string) error {
	return errkind.New(errkind.InvalidValue, "Field "+field+" must be "+allowed+".")
}

// ValidateCall checks the fields of a call that need no state.
func ValidateCall(now time.Time, c caller.Call) error {
	if c.Sequence == 0 {
		return invalid("sequence", "1 or more")
	}
	if len(c.Digest) != 64 || strings.Trim(c.Digest, "0123456789abcdef") != "" {
		return invalid("digest", "64 lower-case hexadecimal digits")
	}
	if c.CallKey == "" || len(c.CallKey) > maxCallKeyBytes {
		return invalid("call_key", "1 to "+strconv.Itoa(maxCallKeyBytes)+" bytes")
	}
	if c.Deadline != nil && !c.Deadline.After(now) {
		return errkind.New(errkind.DeadlinePast, "")
	}
	switch c.Kind {
	case caller.CallModel:
		return checkModelCall(c)
	case caller.CallService:
		return checkServiceCall(c)
	default:
		return invalid("kind", "model or service")
	}
}

func checkModelCall(c caller.Call) error {
	if c.Model == nil || c.Service != nil {
		return invalid("model", "set, and field service absent, for kind model")
	}
	if len(c.Model.Messages) == 0 || len(c.Model.Messages) > maxMessages {
		return invalid("model.messages", "1 to "+strconv.Itoa(maxMessages)+" messages")
	}
	if c.Model.MaxTokens < 0 || c.Model.MaxTokens > maxMaxTokens {
		return invalid("model.max_tokens", "0 to "+strconv.Itoa(maxMaxTokens))
	}
	for i, m := range c.Model.Messages {
		if m.Role == "" {
			return invalid("model.messages["+strconv.Itoa(i)+"].role", "set")
		}
	}
	return nil
}

func checkServiceCall(c caller.Call) error {
	if c.Service == nil || c.Model != nil {
		return invalid("service", "set, and field model absent, for kind service")
	}
	if c.Service.Upstream == "" {
		return invalid("service.upstream", "set")
	}
	if !plainPath(c.Service.Path) {
		return invalid("service.path", "a percent-encoded path that starts with / and has no empty, . or .. segments")
	}
	switch c.Service.Method {
	case "", http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch:
		return nil
	default:
		return invalid("service.method", "GET, POST, PUT, PATCH or DELETE")
	}
}

// plainPath reports whether every service reads a path in the same way. A service that resolves dot segments or joins empty
// ones would run another route than the one whose record says whether the call may be repeated.
func plainPath(text string) bool {
	// Go's client writes a query as it is, so a space in it would break the request line.
	if strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return false
	}
	u, err := url.ParseRequestURI(text)
	if err != nil || u.Scheme != "" || u.Host != "" || strings.Contains(text, "#") {
		return false
	}
	rest, ok := strings.CutPrefix(u.Path, "/")
	if !ok {
		return false
	}
	segments := strings.Split(rest, "/")
	for i, s := range segments {
		last := i == len(segments)-1
		if s == "." || s == ".." || s == "" && !last || strings.Contains(s, "\\") {
			return false
		}
	}
	return true
}

func checkCreate(c caller.CreateProgram) error {
	switch {
	case len(c.Class) > maxClassBytes:
		return invalid("class", "at most "+strconv.Itoa(maxClassBytes)+" bytes")
	case c.BudgetTokens < 0:
		return invalid("budget_tokens", "0 or more")
	case c.MaxTurns < 0:
		return invalid("max_turns", "0 or more")
	case c.ExpirySeconds < 0 || c.ExpirySeconds > maxExpirySeconds:
		return invalid("expiry_seconds", "0 to "+strconv.Itoa(maxExpirySeconds))
	default:
		return nil
	}
}

// queryNumber reads an optional number from the query.
func queryNumber(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, errkind.New(errkind.InvalidValue, "Query "+name+" must be a number of 0 or more.")
	}
	return n, nil
}
