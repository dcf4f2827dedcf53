package control

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
)

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the code and message of an ErrorBody.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// WriteJSON sends a JSON response. It does not escape the characters <, > and &, so that stored values are returned
// byte for byte.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	// The connection may be closed, and then the error cannot be reported to the client.
	_ = e.Encode(body)
}

// WriteError sends an error response.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, ErrorBody{Error: ErrorDetail{Code: code, Message: message}})
}

// RequireKey returns a handler that responds with 401 to requests without one of the keys. An empty list disables the
// check.
func RequireKey(keys []string, next http.Handler) http.Handler {
	if len(keys) == 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, PathPrefix) && !isValidKey(keys, r.Header.Get("Authorization")) {
			WriteError(w, http.StatusUnauthorized, "unauthorized", "The bearer key is missing or wrong.")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func isValidKey(keys []string, header string) bool {
	bearerKey, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return false
	}
	for _, key := range keys {
		if subtle.ConstantTimeCompare([]byte(bearerKey), []byte(key)) == 1 {
			return true
		}
	}
	return false
}

// ReadKeys reads a key file with one key per line. All keys are valid, which allows rotation. An empty path yields no
// keys.
func ReadKeys(path string) ([]string, error) {
	if path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read key file")
	}
	keys := strings.Fields(string(content))
	if len(keys) == 0 {
		return nil, errors.Newf("key file %s contains no key", path)
	}
	return keys, nil
}

// NewRouter returns a router that preserves encoded slashes in names and sends its own errors as ErrorBody.
func NewRouter() *mux.Router {
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteError(w, http.StatusNotFound, "not_found", "There is no such path.")
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteError(w, http.StatusMethodNotAllowed, "method_not_allowed", "The path does not have this method.")
	})
	return r
}
