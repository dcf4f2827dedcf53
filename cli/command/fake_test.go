package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/cli/command"
)

const testKey = "platform-key-for-tests"

type object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// fakePlatform serves the object API of docs/protocols.md on a loopback address.
type fakePlatform struct {
	t        *testing.T
	url      string
	keyFile  string
	mu       sync.Mutex
	objects  map[string]object
	revision int64
	putCount int
	// onPut runs before a write. If it returns a status, the response has this status and the write has no effect. If
	// it returns -1, the connection is closed without a response after the write. If it returns -2, it is closed before
	// the write.
	onPut func(f *fakePlatform, name string) int
}

func newFakePlatform(t *testing.T) *fakePlatform {
	f := &fakePlatform{t: t, objects: map[string]object{}, keyFile: filepath.Join(t.TempDir(), "key")}
	must.NoError(t, os.WriteFile(f.keyFile, []byte(testKey+"\n"), 0o600))
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	f.url = s.URL
	return f
}

func (f *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Header.Get("Authorization") != "Bearer "+testKey {
		writeJSON(w, http.StatusUnauthorized, map[string]any{"error": map[string]string{"code": "unauthenticated"}})
		return
	}
	kind, name, isObject := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	key := kind + "/" + name
	switch {
	case r.Method == http.MethodPut:
		f.handlePut(w, r, kind, name)
	case isObject:
		if o, ok := f.objects[key]; ok {
			writeJSON(w, http.StatusOK, o)
			return
		}
		writeJSON(w, http.StatusNotFound, map[string]any{"error": map[string]string{"code": "not_found"}})
	default:
		f.handleList(w, kind, r.URL.Query().Get("after"))
	}
}

// handleList returns pages of 7 objects, so that listing the records of an example directory takes several pages.
func (f *fakePlatform) handleList(w http.ResponseWriter, kind, after string) {
	var items []object
	for _, o := range f.objects {
		if o.Kind == kind && o.Name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Name, b.Name) })
	page := items[:min(7, len(items))]
	writeJSON(w, http.StatusOK, map[string]any{"revision": f.revision, "items": page, "more": len(items) > len(page)})
}

func (f *fakePlatform) handlePut(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		IfVersion int64           `json:"if_version"`
		Value     json.RawMessage `json:"value"`
	}
	must.NoError(f.t, json.NewDecoder(r.Body).Decode(&body))
	f.putCount++
	fault := 0
	if f.onPut != nil {
		fault = f.onPut(f, name)
	}
	if fault > 0 {
		writeJSON(w, fault, map[string]any{"error": map[string]string{"code": "unavailable"}})
		return
	}
	if fault == -2 {
		panic(http.ErrAbortHandler)
	}
	if current, ok := f.objects[kind+"/"+name]; current.Version != body.IfVersion {
		response := map[string]any{"error": map[string]string{"code": "conflict"}}
		if ok {
			response["current"] = current
		}
		writeJSON(w, http.StatusConflict, response)
		return
	}
	f.putObject(kind, name, body.Value)
	if fault == -1 {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"kind": kind, "name": name, "version": f.revision})
}

func (f *fakePlatform) putObject(kind, name string, value json.RawMessage) {
	f.revision++
	f.objects[kind+"/"+name] = object{Kind: kind, Name: name, Version: f.revision, Value: value}
}

func (f *fakePlatform) storedValue(key string) string { return string(f.objects["config/"+key].Value) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The client reports an incomplete response.
}

// run executes the tool with the flags of the fake platform.
func (f *fakePlatform) run(args ...string) (code command.ExitCode, stdout, stderr string) {
	args = append(args, "--platform-url="+f.url, "--platform-key-file="+f.keyFile, "--request-timeout=2s")
	return runCommand(f.t, args...)
}

func runCommand(t *testing.T, args ...string) (code command.ExitCode, stdout, stderr string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var out, errs bytes.Buffer
	code = command.Run(ctx, args, &out, &errs, command.Connect)
	must.StrNotContains(t, out.String()+errs.String(), testKey)
	return code, out.String(), errs.String()
}

// writeDirectory writes files to a temporary directory and returns its path.
func writeDirectory(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		must.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	return dir
}

func dataCentreDocument(name, region string) string {
	return "apiVersion: jackdawbay/v2\nkind: DataCentre\nmetadata: {name: " + name + "}\nspec: {region: " + region + "}\n"
}

func limitDocument(turns int) string {
	return "apiVersion: jackdawbay/v1\nkind: Limit\nmetadata: {name: a}\nspec: {class: a, callTimeoutSeconds: 5, maxTurns: " + strconv.Itoa(turns) + "}\n"
}
