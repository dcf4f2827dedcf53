package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/daemon/transport"
)

// Limits of the tests.
const (
	upstreamLifetime = 12 * time.Second // The upstream of a test closes its connection after this time.
	maxSentBytes     = 64 << 20         // After these bytes the upstream only keeps its connection open.
	maxCallTime      = upstreamLifetime / 2
	// maxProcessorTime is the processor time that one call may use. Unlike the time of the call, it does not depend on other
	// processes of the machine.
	maxProcessorTime = 3 * time.Second
	// maxAllocatedBytes is the memory that one call may allocate. A reader that grows its buffer allocates several times the
	// size limit.
	maxAllocatedBytes = 6 * transport.MaxResponseBytes
)

// startUpstream starts an upstream that serves one connection. It reads a request and sends the prefix, followed by endless
// repetitions.
func startUpstream(t *testing.T, prefix, repeated string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // The test has ended.
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()                    // The test has ended.
		_ = c.SetDeadline(time.Now().Add(upstreamLifetime)) // Fails only on a closed connection.
		br := bufio.NewReader(c)
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, prefix); err != nil {
			return
		}
		piece := bytes.Repeat([]byte(repeated), max((64<<10)/max(len(repeated), 1), 1))
		for sent := 0; sent < maxSentBytes && len(piece) > 0; sent += len(piece) {
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
		_, _ = br.Peek(1) // Returns when the connection ends.
	}()
	return l.Addr().String()
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	must.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	jsonHead   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	textEvent  = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	endEvents  = `data: {"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}` + "\n\ndata: [DONE]\n\n"
)

// Guards against endless bytes of an engine or a service that block a call until its deadline or use unlimited memory, and
// against a call that waits for the end of the connection although its response is complete.
func TestEndlessResponseIsAborted(t *testing.T) {
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
		call             func(ctx context.Context, address string) error
		prefix, repeated string
		complete         bool // The response is complete, so the call must succeed.
	}{
		"status line":         {stream, "HTTP/1.1 200 ", "x", false},
		"header line":         {stream, "HTTP/1.1 200 OK\r\nA: ", "x", false},
		"header lines":        {stream, "HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
		"interim responses":   {stream, "", "HTTP/1.1 102 Processing\r\n\r\n", false},
		"event line":          {stream, streamHead + "data: ", "x", false},
		"lines of one event":  {stream, streamHead, "data: x\n", false},
		"blank lines":         {stream, streamHead, "\n", false},
		"comments":            {stream, streamHead, ": x\n\n", false},
		"text":                {stream, streamHead, textEvent, false},
		"events without text": {stream, streamHead, "data: {}\n\n", false},
		"resumed text":        {resume, streamHead, textEvent, false},
		"after the end":       {stream, streamHead + textEvent + endEvents, ": x\n\n", true},
		"open after the end":  {stream, streamHead + textEvent + endEvents, "", true},
		"refusal":             {stream, "HTTP/1.1 503 Service Unavailable\r\n\r\n", "x", false},
		"load":                {load, jsonHead, "{", false},
		"service":             {send, jsonHead, "x", false},
		"service header":      {send, "HTTP/1.1 200 OK\r\nA: ", "x", false},
		"lookup":              {lookup, jsonHead, "x", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address := startUpstream(t, c.prefix, c.repeated)
			ctx, cancel := context.WithTimeout(context.Background(), upstreamLifetime)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			startedAt, processorBefore := time.Now(), processorTime(t)
			err := c.call(ctx, address)
			duration, processorUsed := time.Since(startedAt), processorTime(t)-processorBefore
			runtime.ReadMemStats(&after)
			test.EqOp(t, c.complete, err == nil, test.Sprintf("got error %v", err))
			test.False(t, errors.Is(err, ErrNotSent))
			test.Less(t, maxCallTime, duration)
			test.Less(t, maxProcessorTime, processorUsed)
			test.Less(t, uint64(maxAllocatedBytes), after.TotalAlloc-before.TotalAlloc)
		})
	}
}
