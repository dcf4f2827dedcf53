package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/forward"
)

// Guards against buffer bytes that are counted twice or never released, and against concurrent calls that exceed the budget.
func TestResponseBufferLimits(t *testing.T) {
	budget := &bufferBudget{}
	a, b := responseBuffer{budget: budget}, responseBuffer{budget: budget}
	test.True(t, a.reserve(freeBytesPerResponse))
	test.EqOp(t, 0, budget.used.Load())
	test.True(t, a.reserve(maxSharedBytes))
	test.False(t, a.reserve(1))
	test.True(t, b.reserve(freeBytesPerResponse))
	test.False(t, b.reserve(1))
	a.release()
	a.release()
	test.EqOp(t, 0, budget.used.Load())
	test.True(t, b.reserve(maxSharedBytes))
	b.release()
	var wg sync.WaitGroup
	for range 50 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			buffer := responseBuffer{budget: budget}
			for range 1000 {
				buffer.reserve(pieceBytes)
				test.LessEq(t, maxSharedBytes+50*pieceBytes, budget.used.Load())
			}
			buffer.release()
		}()
	}
	wg.Wait()
	test.EqOp(t, 0, budget.used.Load())
}

// passthroughCodec forwards the headers of a response unchanged.
type passthroughCodec struct{ Codec }

func (passthroughCodec) EncodeResponse(from http.Header, _ bool) http.Header { return from.Clone() }

// serveOneResponse starts an upstream that responds to one request with the given bytes and closes the connection. It
// returns the upstream's address.
func serveOneResponse(t *testing.T, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // The test has ended.
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()                    // The response has been sent.
		_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // Fails only on a closed connection.
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, response) // The reader may close the connection before it has read everything.
	}()
	return l.Addr().String()
}

// fetchResponse sends a request to an upstream that responds with the given bytes.
func fetchResponse(t *testing.T, method, response string) *forward.Response {
	t.Helper()
	address := serveOneResponse(t, response)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	p := forward.NewPool(time.Second, 1, metrics.NewSet())
	conn, err := p.Get(ctx, address)
	must.NoError(t, err)
	resp, err := p.Send(ctx, conn, forward.Request{Method: method, Target: "/", Host: "h", IsOwnResponse: func(http.Header) bool { return true }})
	must.NoError(t, err)
	return resp
}

func newTestCall(t *testing.T) (*call, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	g := &Gateway{cfg: Config{Codec: passthroughCodec{}, Log: slog.New(slog.DiscardHandler)}}
	c := g.newCall(w, httptest.NewRequest(http.MethodGet, "/", nil), time.Time{})
	c.ctx, c.route = t.Context(), &route.Route{}
	return c, w
}

// Guards against a truncated response that is forwarded as complete, a valid large response that is rejected, and responses
// of unknown length that use unlimited memory.
func TestReceiveBody(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	withLength := func(length, sent int) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", ok, length, strings.Repeat("x", sent))
	}
	chunked := func(size, count int) string {
		return ok + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), count)
	}
	lastChunk := "0\r\n\r\n"
	const mib = 1 << 20
	cases := map[string]struct {
		response       string
		reserved       int64 // Bytes that other calls have reserved.
		method         string
		want           route.Outcome
		bytes          int // Bytes of the body that the caller receives.
		bufferExceeded bool
	}{
		"empty":                      {response: withLength(0, 0), want: route.ResponseComplete},
		"small":                      {response: withLength(800, 800), want: route.ResponseComplete, bytes: 800},
		"small in chunks":            {response: chunked(800, 1) + lastChunk, want: route.ResponseComplete, bytes: 800},
		"small without a length":     {response: ok + "\r\n" + strings.Repeat("x", 800), want: route.ResponseComplete, bytes: 800},
		"of one piece":               {response: chunked(firstPieceBytes, 1) + lastChunk, want: route.ResponseComplete, bytes: firstPieceBytes},
		"largest stated":             {response: withLength(maxResponseBytes, maxResponseBytes), want: route.ResponseComplete, bytes: maxResponseBytes},
		"largest in chunks":          {response: chunked(mib, 4) + lastChunk, want: route.ResponseComplete, bytes: 4 * mib},
		"larger than stated may be":  {response: withLength(maxResponseBytes+1, mib), want: route.ResponseInvalid, bufferExceeded: true},
		"larger than chunks may be":  {response: chunked(mib, 17) + lastChunk, want: route.ResponseInvalid, bufferExceeded: true},
		"larger without a length":    {response: ok + "\r\n" + strings.Repeat("x", 5*mib), want: route.ResponseInvalid, bufferExceeded: true},
		"cut":                        {response: withLength(800, 700), want: route.ResponseInvalid},
		"cut before its first byte":  {response: withLength(800, 0), want: route.ResponseInvalid},
		"cut in chunks":              {response: chunked(800, 1), want: route.ResponseInvalid},
		"head only":                  {response: withLength(800, 0), method: http.MethodHead, want: route.ResponseComplete},
		"small, budget exhausted":    {response: chunked(1000, 30) + lastChunk, reserved: maxSharedBytes, want: route.ResponseComplete, bytes: 30_000},
		"chunks, budget exhausted":   {response: chunked(1000, 100) + lastChunk, reserved: maxSharedBytes, want: route.ResponseInvalid, bufferExceeded: true},
		"stated, budget exhausted":   {response: withLength(mib, mib), reserved: maxSharedBytes, want: route.ResponseComplete, bytes: mib},
		"cut, budget exhausted":      {response: withLength(mib, mib/2), reserved: maxSharedBytes, want: route.ResponseInterrupted, bytes: mib / 2},
		"failure of a stated length": {response: "HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops", want: route.UpstreamError, bytes: 4},
		"failure, budget exhausted":  {response: strings.Replace(withLength(mib, mib), "200 OK", "500 Oops", 1), reserved: maxSharedBytes, want: route.UpstreamError, bytes: mib},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			call, w := newTestCall(t)
			call.g.bufferBudget.used.Store(c.reserved)
			if c.method == "" {
				c.method = http.MethodGet
			}
			test.EqOp(t, c.want, call.receiveBody(fetchResponse(t, c.method, c.response)))
			test.EqOp(t, c.bufferExceeded, call.bufferExceeded)
			test.EqOp(t, c.bytes, w.Body.Len())
			test.EqOp(t, c.want != route.ResponseInvalid, call.headWritten)
			test.EqOp(t, c.reserved, call.g.bufferBudget.used.Load())
		})
	}
}

// Guards against endless bytes without an event, and against a limit that rejects a valid large event.
func TestReadEventLimits(t *testing.T) {
	endless := func(prefix, repeated string) io.Reader {
		return io.MultiReader(strings.NewReader(prefix), &repeatReader{text: repeated, remaining: 100 << 20})
	}
	large := strings.Repeat("x", maxEventBytes-100)
	cases := map[string]struct {
		in   io.Reader
		want error
	}{
		"event":              {strings.NewReader("id: 1\ndata: a\n\n"), nil},
		"large event":        {strings.NewReader("id: 1\ndata: " + large + "\n\n"), nil},
		"after blank lines":  {strings.NewReader(strings.Repeat("\n", maxEventBytes) + "data: a\n\n"), nil},
		"end":                {strings.NewReader(""), io.EOF},
		"end after blanks":   {strings.NewReader("\n\n"), io.EOF},
		"cut":                {strings.NewReader("id: 1\ndata: a\n"), io.ErrUnexpectedEOF},
		"endless line":       {endless("data: ", "x"), errEventTooLarge},
		"endless first line": {endless("", "x"), errEventTooLarge},
		"endless lines":      {endless("id: 1\n", "data: a\n"), errEventTooLarge},
		"endless comments":   {endless("", ": a\n"), errEventTooLarge},
		"endless blanks":     {endless("", "\n"), errOnlyNonEvents},
		"endless returns":    {endless("", "\r\n"), errOnlyNonEvents},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			counted := &countingReader{Reader: c.in}
			_, err := readEvent(bufio.NewReaderSize(counted, streamBufferBytes))
			test.True(t, errors.Is(err, c.want), test.Sprintf("got error %v", err))
			test.LessEq(t, maxEventBytes+2*streamBufferBytes, counted.bytesRead)
		})
	}
}

// repeatReader repeats a text until it has returned the given number of bytes.
type repeatReader struct {
	text      string
	position  int
	remaining int
}

func (r *repeatReader) Read(b []byte) (int, error) {
	n := 0
	for ; n < len(b) && r.remaining > 0; n++ {
		b[n] = r.text[r.position]
		r.position, r.remaining = (r.position+1)%len(r.text), r.remaining-1
	}
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

type countingReader struct {
	io.Reader
	bytesRead int
}

func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	c.bytesRead += n
	return n, err
}

// Guards against a stream that exceeds its limits but looks complete or is continued at another upstream, against comments
// that count as tokens or start a response, and against the loss of comments before the first event.
func TestReceiveStream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	events := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "id: %d\ndata: a\n\n", i+1)
		}
		return b.String()
	}
	large := "id: 1\ndata: " + strings.Repeat("x", maxEventBytes-100) + "\n\n"
	cases := map[string]struct {
		body          string
		maxEvents     int64
		reserved      int64
		want          route.Outcome
		forwarded     string
		events        int
		storeTurns    bool
		limitExceeded bool
	}{
		"whole":                    {body: events(3), maxEvents: 3, want: route.ResponseComplete, forwarded: events(3), events: 3},
		"too long":                 {body: events(4), maxEvents: 3, want: route.ResponseInterrupted, forwarded: events(3), events: 3, limitExceeded: true},
		"no maximum":               {body: events(400), want: route.ResponseComplete, forwarded: events(400), events: 400},
		"comments":                 {body: ": a\n\n" + events(1) + ": b\n\n" + events(1), maxEvents: 2, want: route.ResponseComplete, forwarded: ": a\n\n" + events(1) + ": b\n\n" + events(1), events: 2},
		"only comments":            {body: ": a\n\n", want: route.ResponseInvalid},
		"too many comments":        {body: strings.Repeat(": a\n\n", 20_000), want: route.ResponseInvalid},
		"too many comments later":  {body: events(1) + strings.Repeat(": a\n\n", 20_000) + events(1), want: route.ResponseInterrupted, events: 1},
		"large events":             {body: large + large + large, want: route.ResponseComplete, forwarded: large + large + large, events: 3},
		"output, budget exhausted": {body: large + large + large, reserved: maxSharedBytes, storeTurns: true, want: route.ResponseInterrupted, forwarded: large, events: 1, limitExceeded: true},
		"more bytes than allowed":  {body: strings.Repeat(large, 260), want: route.ResponseInterrupted, events: 256, limitExceeded: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			call, w := newTestCall(t)
			call.g.bufferBudget.used.Store(c.reserved)
			call.stream.maxEvents = c.maxEvents
			resp := fetchResponse(t, http.MethodGet, head+c.body)
			call.route.StoreTurns = c.storeTurns
			test.EqOp(t, c.want, call.receiveStream(resp))
			if c.forwarded != "" {
				test.EqOp(t, c.forwarded, w.Body.String())
			}
			test.EqOp(t, c.events > 0, call.headWritten)
			test.EqOp(t, c.events, call.stream.events)
			test.EqOp(t, c.limitExceeded, call.stream.limitExceeded)
			call.buffer.release()
			test.EqOp(t, c.reserved, call.g.bufferBudget.used.Load())
			if c.limitExceeded {
				call.deadline = time.Now().Add(time.Minute)
				test.False(t, call.canSendAgain(), test.Sprint("another upstream may not continue the stream"))
			}
		})
	}
}

// Guards against a limit below the events that a request allows.
func TestMaxEvents(t *testing.T) {
	cases := []struct{ maxTokens, perEvent, want int64 }{
		{0, 32, 0}, {1, 32, 18}, {32, 32, 18}, {33, 32, 20}, {570, 30, 54}, {100, 1, 216}, {1e12, 1, 2e12 + 16},
	}
	for _, c := range cases {
		test.EqOp(t, c.want, maxEvents(c.maxTokens, c.perEvent), test.Sprintf("%d tokens of %d", c.maxTokens, c.perEvent))
	}
}
