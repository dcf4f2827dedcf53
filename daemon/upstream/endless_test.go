package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/daemon/transport"
)

// Bounds of the tests.
const (
	endlessTime  = 6 * time.Second // Time after which an upstream of a test stops by itself.
	endlessBytes = 64 << 20        // Bytes after which it only holds its connection open.
	promptly     = endlessTime / 2
	// mostAllocated is the memory that one call may take. A reader that grows its buffer takes several times the bound.
	mostAllocated = 6 * transport.MaxResponseBytes
)

// endlessUpstream serves one connection: it reads a request, sends the start and then the rest over and over.
func endlessUpstream(t *testing.T, start, rest string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // The test is over.
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()               // The test is over.
		_ = c.SetDeadline(time.Now().Add(endlessTime)) // Fails only on a closed connection.
		br := bufio.NewReader(c)
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, start); err != nil {
			return
		}
		piece := bytes.Repeat([]byte(rest), max((64<<10)/max(len(rest), 1), 1))
		for sent := 0; sent < endlessBytes && len(piece) > 0; sent += len(piece) {
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
		_, _ = br.Peek(1) // Returns when the connection ends.
	}()
	return l.Addr().String()
}

const (
	okStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	okBody   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	text     = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	end      = `data: {"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}` + "\n\ndata: [DONE]\n\n"
)

// Guards against bytes without end from an engine or a service that hold a call until its deadline or take memory without a
// bound, and against a call that waits for the end of a connection although its answer is complete.
func TestAnswerWithoutEnd(t *testing.T) {
	engines := NewEngineClient("key", transport.Options{DialTimeout: time.Second})
	services := NewServiceClient("key", transport.Options{DialTimeout: time.Second})
	stream := func(ctx context.Context, address string) error {
		_, err := engines.StreamChat(ctx, address, ChatRequest{RequestID: "r"}, func(string) error { return nil })
		return err
	}
	resume := func(ctx context.Context, address string) error {
		_, err := engines.ResumeStream(ctx, address, "r", 0, func(string) error { return nil })
		return err
	}
	load := func(ctx context.Context, address string) error {
		_, err := engines.ReadLoad(ctx, address)
		return err
	}
	send := func(ctx context.Context, address string) error {
		_, err := services.Send(ctx, address, ServiceRequest{Method: http.MethodPost, Path: "/"})
		return err
	}
	lookup := func(ctx context.Context, address string) error {
		_, _, err := services.Lookup(ctx, address, "k")
		return err
	}
	cases := map[string]struct {
		call        func(ctx context.Context, address string) error
		start, rest string
		whole       bool
	}{
		"status line":         {stream, "HTTP/1.1 200 ", "x", false},
		"header line":         {stream, "HTTP/1.1 200 OK\r\nA: ", "x", false},
		"header lines":        {stream, "HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
		"interim responses":   {stream, "", "HTTP/1.1 102 Processing\r\n\r\n", false},
		"event line":          {stream, okStream + "data: ", "x", false},
		"lines of one event":  {stream, okStream, "data: x\n", false},
		"blank lines":         {stream, okStream, "\n", false},
		"comments":            {stream, okStream, ": x\n\n", false},
		"text":                {stream, okStream, text, false},
		"events without text": {stream, okStream, "data: {}\n\n", false},
		"resumed text":        {resume, okStream, text, false},
		"after the end":       {stream, okStream + text + end, ": x\n\n", true},
		"open after the end":  {stream, okStream + text + end, "", true},
		"refusal":             {stream, "HTTP/1.1 503 Service Unavailable\r\n\r\n", "x", false},
		"load":                {load, okBody, "{", false},
		"service":             {send, okBody, "x", false},
		"service header":      {send, "HTTP/1.1 200 OK\r\nA: ", "x", false},
		"lookup":              {lookup, okBody, "x", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address := endlessUpstream(t, c.start, c.rest)
			ctx, cancel := context.WithTimeout(context.Background(), endlessTime)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			err := c.call(ctx, address)
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			test.EqOp(t, c.whole, err == nil, test.Sprintf("got error %v", err))
			test.False(t, errors.Is(err, ErrNotSent))
			test.Less(t, promptly, took)
			test.Less(t, uint64(mostAllocated), after.TotalAlloc-before.TotalAlloc)
		})
	}
}
