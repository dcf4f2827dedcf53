// Package contract tests the daemon's clients against the stand-ins and against faulty servers.
package contract

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/transport"
	"jackdawbay.dev/daemon/upstream"
)

const dialTimeout = 2 * time.Second

var options = transport.Options{DialTimeout: dialTimeout}

// clientRequest is a request that a client must send to a server at most once.
type clientRequest struct {
	name string
	send func(ctx context.Context, address string) error
}

func clientRequests() []clientRequest {
	services := upstream.NewServiceClient("key", options)
	engines := upstream.NewEngineClient("key", options)
	peers := peer.NewClient(peer.Keys{"key"}, options)
	store := newClientFactory("", 5*time.Second)
	order := json.RawMessage(`{"business_key":"order-1"}`)
	return []clientRequest{
		{"service call", func(ctx context.Context, address string) error {
			_, err := services.Send(ctx, address, upstream.ServiceRequest{Method: http.MethodPost, Path: "/orders", Body: order})
			return err
		}},
		{"service call with an idempotency key", func(ctx context.Context, address string) error {
			_, err := services.Send(ctx, address, upstream.ServiceRequest{Method: http.MethodPost, Path: "/orders", Body: order, IdempotencyKey: "k"})
			return err
		}},
		{"service call without a body", func(ctx context.Context, address string) error {
			_, err := services.Send(ctx, address, upstream.ServiceRequest{Method: http.MethodDelete, Path: "/orders/1", IdempotencyKey: "k"})
			return err
		}},
		{"service call with method GET", func(ctx context.Context, address string) error {
			_, err := services.Send(ctx, address, upstream.ServiceRequest{Method: http.MethodGet, Path: "/orders/next"})
			return err
		}},
		{"model call", func(ctx context.Context, address string) error {
			_, err := engines.StreamChat(ctx, address, chat("r1"), func(string) error { return nil })
			return err
		}},
		{"engine order", func(ctx context.Context, address string) error {
			return engines.SendOrder(ctx, address, upstream.Order{Type: upstream.OrderReleaseCache, Program: "p"})
		}},
		{"message to a daemon", func(ctx context.Context, address string) error {
			return peers.Post(ctx, address, peer.PathAdmitCall, map[string]string{"a": "b"}, nil)
		}},
		{"conditional write", func(ctx context.Context, address string) error {
			_, err := store(address).Put(ctx, "config", "Model.a", 0, map[string]int{"n": 1})
			return err
		}},
		{"conditional deletion", func(ctx context.Context, address string) error {
			return store(address).Delete(ctx, "config", "Model.a", 1)
		}},
	}
}

// newClientFactory returns a function that creates a platform client for an address. It returns the same client for the same
// address, so that connections are reused.
func newClientFactory(key string, timeout time.Duration) func(address string) *platform.Client {
	clients := map[string]*platform.Client{}
	return func(address string) *platform.Client {
		if clients[address] == nil {
			clients[address] = platform.NewClient(platform.Config{
				BaseURL: "http://" + address, Key: key, Transport: options, RequestTimeout: timeout,
				WritesPerSecond: 1000, ReadsPerSecond: 1000, ReadRetries: 2,
			})
		}
		return clients[address]
	}
}

func chat(id string) upstream.ChatRequest {
	return upstream.ChatRequest{
		RequestID: id, Program: "p", Model: "model-a", MaxTokens: 40,
		Messages: []caller.Message{{Role: "user", Content: "Forty jerseys."}},
	}
}

// serverFault is a server whose behaviour could make a client library retry a request. serve counts the requests that the server
// receives in requests.
type serverFault struct {
	name  string
	serve func(t *testing.T, requests *atomic.Int64) (address string)
}

// writeGoodResponse writes a valid HTTP response with a JSON body.
func writeGoodResponse(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"version":1}`)
}

// serveAfterGoodResponse returns a server that calls misbehave after it has read and counted a complete request. The first
// request gets a valid response, so that a client that reuses connections has one to reuse.
func serveAfterGoodResponse(misbehave http.HandlerFunc) func(*testing.T, *atomic.Int64) string {
	return func(t *testing.T, requests *atomic.Int64) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if requests.Add(1) == 1 {
				writeGoodResponse(w)
				return
			}
			misbehave(w, r)
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
}

func hijack(w http.ResponseWriter) net.Conn {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	return c
}

func serverFaults() []serverFault {
	redirect := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Location", r.URL.Path)
			w.WriteHeader(status)
		}
	}
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "0")
			w.WriteHeader(code)
		}
	}
	return []serverFault{
		// Go's transport retries on a reused connection if the request appears to be idempotent.
		{"connection closed after the request", serveAfterGoodResponse(func(w http.ResponseWriter, _ *http.Request) { _ = hijack(w).Close() })},
		{"connection reset after the request", serveAfterGoodResponse(func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w).(*net.TCPConn)
			_ = c.SetLinger(0)
			_ = c.Close()
		})},
		{"response cut off in its headers", serveAfterGoodResponse(func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
			_ = c.Close()
		})},
		{"response cut off in its body", serveAfterGoodResponse(func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
			_ = c.Close()
		})},
		{"status 307", serveAfterGoodResponse(redirect(http.StatusTemporaryRedirect))},
		{"status 308", serveAfterGoodResponse(redirect(http.StatusPermanentRedirect))},
		{"status 301", serveAfterGoodResponse(redirect(http.StatusMovedPermanently))},
		{"status 303", serveAfterGoodResponse(redirect(http.StatusSeeOther))},
		{"status 408", serveAfterGoodResponse(status(http.StatusRequestTimeout))},
		{"status 409", serveAfterGoodResponse(status(http.StatusConflict))},
		{"status 421", serveAfterGoodResponse(status(http.StatusMisdirectedRequest))},
		{"status 425", serveAfterGoodResponse(status(http.StatusTooEarly))},
		{"status 429", serveAfterGoodResponse(status(http.StatusTooManyRequests))},
		{"status 500", serveAfterGoodResponse(status(http.StatusInternalServerError))},
		{"status 503", serveAfterGoodResponse(status(http.StatusServiceUnavailable))},
		{"HTTP/2 stream refused", refuseStreams},
	}
}

// Guards against a client library that retries a request by itself, which would run an order twice.
func TestNoClientRetriesByItself(t *testing.T) {
	for _, f := range serverFaults() {
		for _, e := range clientRequests() {
			t.Run(f.name+"/"+e.name, func(t *testing.T) {
				var requests atomic.Int64
				address := f.serve(t, &requests)
				// The first response is valid HTTP, but not every client can decode it.
				_ = sendWithTimeout(t, e, address)
				err := sendWithTimeout(t, e, address)
				if !strings.HasPrefix(f.name, "status") {
					test.Error(t, err)
				}
				test.Eq(t, 2, requests.Load(), test.Sprintf("requests of two sends; result: %v", err))
				if strings.HasPrefix(e.name, "service call") {
					test.False(t, errors.Is(err, upstream.ErrNotSent), test.Sprintf("the request was received: %v", err))
				}
			})
		}
	}
}

func sendWithTimeout(t *testing.T, e clientRequest, address string) error {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return e.send(ctx, address)
}

// The parts of HTTP/2 (RFC 9113) that refuseStreams needs.
const (
	http2Preface       = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHeaderBytes   = 9
	frameHeaders       = 0x1
	frameRSTStream     = 0x3
	frameSettings      = 0x4
	errorRefusedStream = 0x7
)

// refuseStreams serves HTTP/2 without TLS and refuses every stream. The protocol allows a client to retry a refused stream. An
// HTTP/1 request is read and counted, and the connection is closed without a response.
func refuseStreams(t *testing.T, requests *atomic.Int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go refuseStreamsOn(c, requests)
		}
	}()
	return l.Addr().String()
}

func refuseStreamsOn(c net.Conn, requests *atomic.Int64) {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(c)
	preface, err := r.Peek(len(http2Preface))
	if err != nil || string(preface) != http2Preface {
		if req, err := http.ReadRequest(r); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			requests.Add(1)
		}
		return
	}
	_, _ = r.Discard(len(http2Preface))
	_, _ = c.Write([]byte{0, 0, 0, frameSettings, 0, 0, 0, 0, 0})
	header := make([]byte, frameHeaderBytes)
	for {
		if _, err := io.ReadFull(r, header); err != nil {
			return
		}
		length := int(header[0])<<16 | int(header[1])<<8 | int(header[2])
		if _, err := r.Discard(length); err != nil {
			return
		}
		if header[3] != frameHeaders {
			continue
		}
		requests.Add(1)
		frame := append([]byte{0, 0, 4, frameRSTStream, 0}, header[5:9]...)
		frame = binary.BigEndian.AppendUint32(frame, errorRefusedStream)
		if _, err := c.Write(frame); err != nil {
			return
		}
	}
}
