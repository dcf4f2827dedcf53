// Package callerapi tests the caller listener of a daemon over HTTP: rejections, access control and an existing client
// library.
package callerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/client"
	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/journal"
	"jackdawbay.dev/daemon/ingress"
	"jackdawbay.dev/daemon/node"
	"jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/transport"
	"jackdawbay.dev/testbed/standin/engine"
	platformstandin "jackdawbay.dev/testbed/standin/platform"
	"jackdawbay.dev/testbed/standin/service"
)

// Keys and names of the test installation.
const (
	tenantKey   = "tenant-key-of-the-fixture"
	otherKey    = "other-tenant-key-of-the-fixture"
	platformKey = "platform-key-of-the-fixture"
	peerKey     = "peer-key-of-the-fixture"
	upstreamKey = "upstream-key-of-the-fixture"

	dataCentre  = "falls-a"
	tenant      = "merrimack-falls"
	otherTenant = "seacoast-club"
	model       = "kit-model"
	group       = "kit-agents"
	printer     = "printer"
	stock       = "stock-checks"
)

// maxBodyBytes is the maximum size of a request body at the daemon under test.
const maxBodyBytes = 64 << 10

const startTimeout = 20 * time.Second

// installation is one daemon with its stand-ins. The daemon runs in the test process, so that the race detector covers
// it.
type installation struct {
	url     string
	ops     string
	logs    *syncBuffer
	engine  *engine.Server
	printer *service.Server
	stock   *service.Server
}

// syncBuffer is a log buffer for concurrent writers.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// serveStandin starts an HTTP server for a stand-in and returns its address.
func serveStandin(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// startInstallation starts the stand-ins and one daemon, and waits until the daemon is ready and has loaded the
// records.
func startInstallation(t *testing.T) *installation {
	t.Helper()
	in := &installation{logs: &syncBuffer{}}
	cfg := engine.DefaultConfig()
	cfg.Keys, cfg.Models, cfg.SpeedFactor = []string{upstreamKey}, []string{model}, 20
	in.engine = engine.New(cfg)
	t.Cleanup(in.engine.Close)
	in.printer = service.New(service.Config{Keys: []string{upstreamKey}})
	in.stock = service.New(service.Config{Keys: []string{upstreamKey}})
	platformURL := "http://" + serveStandin(t, platformstandin.New(platformstandin.Config{Keys: []string{platformKey}}).Handler())
	writeRecords(t, platformURL, serveStandin(t, in.engine.Handler()), serveStandin(t, in.printer.Handler()), serveStandin(t, in.stock.Handler()))
	in.startDaemon(t, platformURL)
	return in
}

func (in *installation) startDaemon(t *testing.T, platformURL string) {
	t.Helper()
	limits := ingress.DefaultConfig()
	limits.MaxBodyBytes = maxBodyBytes
	n, err := node.New(node.Settings{
		VM: "vm-1", DataCentre: dataCentre,
		CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OpsListen: "127.0.0.1:0",
		PlatformURL: platformURL, PlatformKey: platformKey, PeerKeys: []string{peerKey}, UpstreamKey: upstreamKey,
		StopTimeout: 10 * time.Second, PollInterval: 50 * time.Millisecond,
		PlatformTimeout: 2 * time.Second, PlatformWritesPerSecond: 50, PlatformReadsPerSecond: 200, MaxPrograms: 1000,
		Ingress: limits, Journal: journal.DefaultWriterConfig(),
	}, slog.New(slog.NewTextHandler(in.logs, &slog.HandlerOptions{Level: slog.LevelDebug})))
	must.NoError(t, err)
	callers, _, ops := n.Addresses()
	in.url, in.ops = "http://"+callers, "http://"+ops
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error("daemon stopped with error:", err)
		}
		if t.Failed() {
			t.Log(in.logs.String())
		}
	})
	waitUntil(t, func() bool {
		return in.send(t, request{method: http.MethodGet, path: in.ops + "/readyz"}).status == http.StatusOK
	})
	waitUntil(t, func() bool {
		got := in.send(t, request{method: http.MethodGet, path: "/v1/programs/" + dataCentre + ".none", authorization: "Bearer " + otherKey})
		return got.status == http.StatusNotFound
	})
}

// waitUntil polls a condition and fails the test when startTimeout expires.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(startTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("condition was not met before the timeout")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (in *installation) metrics(t *testing.T) string {
	return string(in.send(t, request{method: http.MethodGet, path: in.ops + "/metrics"}).body)
}

// writeRecords writes records as an operator does, with validation and default values.
func writeRecords(t *testing.T, platformURL, engineAddress, printerAddress, stockAddress string) {
	t.Helper()
	store := platform.NewClient(platform.Config{
		BaseURL: platformURL, Key: platformKey, Transport: transport.Options{DialTimeout: time.Second},
		RequestTimeout: 5 * time.Second, WritesPerSecond: 100, ReadsPerSecond: 100,
	})
	route := func(method, prefix, idempotency string) []any {
		return []any{map[string]any{"method": method, "pathPrefix": prefix, "idempotency": idempotency, "timeout": "5s"}}
	}
	for _, r := range []struct {
		kind records.Kind
		name string
		spec map[string]any
	}{
		{records.KindDataCentre, dataCentre, map[string]any{"region": "merrimack"}},
		{records.KindTenant, tenant, map[string]any{"keyHashes": []string{records.HashKey(tenantKey)}}},
		{records.KindTenant, otherTenant, map[string]any{"keyHashes": []string{records.HashKey(otherKey)}}},
		{records.KindModel, model, map[string]any{
			"group": group, "version": "1", "contextTokens": 128_000, "maxOutputTokens": 2000, "weightBytes": 1 << 30,
		}},
		{records.KindUpstream, "engine-1", map[string]any{
			"type": "engine", "group": group, "dataCentre": dataCentre, "address": engineAddress, "slots": 16, "cacheTokens": 400_000,
		}},
		{records.KindUpstream, printer, map[string]any{
			"type": "service", "dataCentre": dataCentre, "address": printerAddress, "routes": route("POST", "/orders", "unsafe"),
		}},
		{records.KindUpstream, stock, map[string]any{
			"type": "service", "dataCentre": dataCentre, "address": stockAddress, "routes": route("GET", "/stock", "safe"),
		}},
	} {
		document, err := json.Marshal(map[string]any{
			"apiVersion": records.V2, "kind": r.kind, "metadata": map[string]any{"name": r.name, "generation": 1}, "spec": r.spec,
		})
		must.NoError(t, err)
		decoded, err := records.Decode(document)
		must.NoError(t, err)
		value, err := records.EncodeStored(decoded[0])
		must.NoError(t, err)
		_, err = store.Put(t.Context(), platform.KindConfig, decoded[0].Key(), 0, json.RawMessage(value))
		must.NoError(t, err)
	}
}

// request is one HTTP request. A path without a host is sent to the caller listener.
type request struct {
	method        string
	path          string
	authorization string // Value of the header Authorization. If empty, the header is omitted.
	body          string
	header        http.Header
}

// response is an HTTP response with its complete body.
type response struct {
	status int
	header http.Header
	body   []byte
}

var httpClient = &http.Client{
	Transport:     &http.Transport{},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

func (in *installation) send(t *testing.T, r request) response {
	t.Helper()
	url := r.path
	if strings.HasPrefix(url, "/") {
		url = in.url + url
	}
	req, err := http.NewRequestWithContext(t.Context(), r.method, url, strings.NewReader(r.body))
	must.NoError(t, err)
	for name, values := range r.header {
		req.Header[name] = values
	}
	if r.authorization != "" {
		req.Header.Set("Authorization", r.authorization)
	}
	resp, err := httpClient.Do(req)
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return response{status: resp.StatusCode, header: resp.Header, body: body}
}

func (in *installation) client() *client.Client {
	return &client.Client{BaseURLs: []string{in.url}, Key: tenantKey}
}

// readControlPage returns the body of a page of a stand-in's control interface.
func readControlPage(h http.Handler, path string) []byte {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Body.Bytes()
}
