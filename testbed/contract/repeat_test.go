// Package contract tests the real clients of the daemon against the stand-ins and against servers that misbehave.
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

// effect is a request of a client that must reach a server at most once.
type effect struct {
	name string
	send func(ctx context.Context, address string) error
}

func effects() []effect {
	services := upstream.NewServiceClient("key", options)
	engines := upstream.NewEngineClient("key", options)
	peers := peer.NewClient(peer.Keys{"key"}, options)
	store := newStore("", 5*time.Second)
	order := json.RawMessage(`{"business_key":"order-1"}`)
	return []effect{
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

// newStore returns a function that makes platform clients, one for each address, so that connections are reused.
func newStore(key string, timeout time.Duration) func(address string) *platform.Client {
	made := map[string]*platform.Client{}
	return func(address string) *platform.Client {
		if made[address] == nil {
			made[address] = platform.NewClient(platform.Config{
				BaseURL: "http://" + address, Key: key, Transport: options, RequestTimeout: timeout,
				WritesPerSecond: 1000, ReadsPerSecond: 1000, ReadRetries: 2,
			})
		}
		return made[address]
	}
}

func chat(id string) upstream.ChatRequest {
	return upstream.ChatRequest{
		RequestID: id, Program: "p", Model: "model-a", MaxTokens: 40,
		Messages: []caller.Message{{Role: "user", Content: "Forty jerseys."}},
	}
}

// fault is a server that invites a client library to repeat a request. requests counts the requests that it received.
type fault struct {
	name  string
	serve func(t *testing.T, requests *atomic.Int64) (address string)
}

// answer is a response that every client can read.
func answer(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"version":1}`)
}

// handled serves a handler that runs after a whole request was read and counted. The first request on each address is a
// good one, so that a client that keeps connections has one to reuse.
func handled(misbehave http.HandlerFunc) func(*testing.T, *atomic.Int64) string {
	return func(t *testing.T, requests *atomic.Int64) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if requests.Add(1) == 1 {
				answer(w)
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

func faults() []fault {
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
	return []fault{
		// Go's transport repeats on a connection that was used before, when the request looks idempotent.
		{"connection closed after the request", handled(func(w http.ResponseWriter, _ *http.Request) { _ = hijack(w).Close() })},
		{"connection reset after the request", handled(func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w).(*net.TCPConn)
			_ = c.SetLinger(0)
			_ = c.Close()
		})},
		{"response cut off in its headers", handled(func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
			_ = c.Close()
		})},
		{"response cut off in its body", handled(func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
			_ = c.Close()
		})},
		{"status 307", handled(redirect(http.StatusTemporaryRedirect))},
		{"status 308", handled(redirect(http.StatusPermanentRedirect))},
		{"status 301", handled(redirect(http.StatusMovedPermanently))},
		{"status 303", handled(redirect(http.StatusSeeOther))},
		{"status 408", handled(status(http.StatusRequestTimeout))},
		{"status 409", handled(status(http.StatusConflict))},
		{"status 421", handled(status(http.StatusMisdirectedRequest))},
		{"status 425", handled(status(http.StatusTooEarly))},
		{"status 429", handled(status(http.StatusTooManyRequests))},
		{"status 500", handled(status(http.StatusInternalServerError))},
		{"status 503", handled(status(http.StatusServiceUnavailable))},
		{"HTTP/2 stream refused", refuseStreams},
	}
}

// Guards against a client library that repeats a request by itself, which would run an order twice.
func TestNoClientRepeatsByItself(t *testing.T) {
	for _, f := range faults() {
		for _, e := range effects() {
			t.Run(f.name+"/"+e.name, func(t *testing.T) {
				var requests atomic.Int64
				address := f.serve(t, &requests)
				// The first response is good for its transport, though not every client can read it.
				_ = bounded(t, e, address)
				err := bounded(t, e, address)
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

func bounded(t *testing.T, e effect, address string) error {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return e.send(ctx, address)
}

// HTTP/2 in the few bytes that refuseStreams needs, from RFC 9113.
const (
	http2Preface       = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHeaderBytes   = 9
	frameHeaders       = 0x1
	frameRSTStream     = 0x3
	frameSettings      = 0x4
	errorRefusedStream = 0x7
)

// refuseStreams serves HTTP/2 without TLS and refuses every stream, which a client may repeat by the protocol. A request
// in HTTP/1 is read, counted and cut off.
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
			go refuseOn(c, requests)
		}
	}()
	return l.Addr().String()
}

func refuseOn(c net.Conn, requests *atomic.Int64) {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(c)
	start, err := r.Peek(len(http2Preface))
	if err != nil || string(start) != http2Preface {
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
