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

// Guards against memory that is counted twice, never given back, or held beyond the bound by calls side by side.
func TestHeldBytesAreBounded(t *testing.T) {
	all := &heldBytes{}
	a, b := held{all: all}, held{all: all}
	test.True(t, a.grow(freeHeld))
	test.EqOp(t, 0, all.taken.Load())
	test.True(t, a.grow(maxHeld))
	test.False(t, a.grow(1))
	test.True(t, b.grow(freeHeld))
	test.False(t, b.grow(1))
	a.release()
	a.release()
	test.EqOp(t, 0, all.taken.Load())
	test.True(t, b.grow(maxHeld))
	b.release()
	var wg sync.WaitGroup
	for range 50 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h := held{all: all}
			for range 1000 {
				h.grow(heldPiece)
				test.LessEq(t, maxHeld+50*heldPiece, all.taken.Load())
			}
			h.release()
		}()
	}
	wg.Wait()
	test.EqOp(t, 0, all.taken.Load())
}

// passing passes the headers of a response on as they are.
type passing struct{ Codec }

func (passing) EncodeResponse(from http.Header, _ bool) http.Header { return from.Clone() }

// oneResponse starts an upstream that answers one request with the given bytes and closes its connection. It returns its address.
func oneResponse(t *testing.T, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // The test is over.
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()                    // The response is over.
		_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // Fails only on a closed connection.
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, response) // The reader may close the connection before.
	}()
	return l.Addr().String()
}

// exchange gets a response with the given bytes.
func exchange(t *testing.T, method, response string) *forward.Response {
	t.Helper()
	address := oneResponse(t, response)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	p := forward.NewPool(time.Second, 1, metrics.NewSet())
	conn, err := p.Get(ctx, address)
	must.NoError(t, err)
	resp, err := p.Send(ctx, conn, forward.Request{Method: method, Target: "/", Host: "h", IsOwnResponse: func(http.Header) bool { return true }})
	must.NoError(t, err)
	return resp
}

func newCall(t *testing.T) (*call, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	g := &Gateway{cfg: Config{Codec: passing{}, Log: slog.New(slog.DiscardHandler)}}
	c := g.newCall(w, httptest.NewRequest(http.MethodGet, "/", nil), time.Time{})
	c.ctx, c.route = t.Context(), &route.Route{}
	return c, w
}

// Guards against a cut response that passes for a whole one, a large one that is refused although it is proper, and responses
// of unknown length that take all memory.
func TestReceiveWhole(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	stated := func(length, sent int) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", ok, length, strings.Repeat("x", sent))
	}
	chunks := func(size, count int) string {
		return ok + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), count)
	}
	end := "0\r\n\r\n"
	const mib = 1 << 20
	cases := map[string]struct {
		response string
		taken    int64 // Held by others.
		method   string
		want     route.Outcome
		bytes    int // Of the body that reaches the caller.
		overrun  bool
	}{
		"empty":                         {response: stated(0, 0), want: route.ResponseComplete},
		"small":                         {response: stated(800, 800), want: route.ResponseComplete, bytes: 800},
		"small in chunks":               {response: chunks(800, 1) + end, want: route.ResponseComplete, bytes: 800},
		"small without a length":        {response: ok + "\r\n" + strings.Repeat("x", 800), want: route.ResponseComplete, bytes: 800},
		"of one piece":                  {response: chunks(firstPiece, 1) + end, want: route.ResponseComplete, bytes: firstPiece},
		"largest stated":                {response: stated(maxAnswerBytes, maxAnswerBytes), want: route.ResponseComplete, bytes: maxAnswerBytes},
		"largest in chunks":             {response: chunks(mib, 4) + end, want: route.ResponseComplete, bytes: 4 * mib},
		"larger than stated may be":     {response: stated(maxAnswerBytes+1, mib), want: route.ResponseInvalid, overrun: true},
		"larger than chunks may be":     {response: chunks(mib, 17) + end, want: route.ResponseInvalid, overrun: true},
		"larger without a length":       {response: ok + "\r\n" + strings.Repeat("x", 5*mib), want: route.ResponseInvalid, overrun: true},
		"cut":                           {response: stated(800, 700), want: route.ResponseInvalid},
		"cut before its first byte":     {response: stated(800, 0), want: route.ResponseInvalid},
		"cut in chunks":                 {response: chunks(800, 1), want: route.ResponseInvalid},
		"head only":                     {response: stated(800, 0), method: http.MethodHead, want: route.ResponseComplete},
		"small while memory is taken":   {response: chunks(1000, 30) + end, taken: maxHeld, want: route.ResponseComplete, bytes: 30_000},
		"chunks while memory is taken":  {response: chunks(1000, 100) + end, taken: maxHeld, want: route.ResponseInvalid, overrun: true},
		"stated while memory is taken":  {response: stated(mib, mib), taken: maxHeld, want: route.ResponseComplete, bytes: mib},
		"cut while memory is taken":     {response: stated(mib, mib/2), taken: maxHeld, want: route.ResponseInterrupted, bytes: mib / 2},
		"failure of a stated length":    {response: "HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops", want: route.UpstreamError, bytes: 4},
		"failure while memory is taken": {response: strings.Replace(stated(mib, mib), "200 OK", "500 Oops", 1), taken: maxHeld, want: route.UpstreamError, bytes: mib},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			call, w := newCall(t)
			call.g.held.taken.Store(c.taken)
			if c.method == "" {
				c.method = http.MethodGet
			}
			test.EqOp(t, c.want, call.receiveWhole(exchange(t, c.method, c.response)))
			test.EqOp(t, c.overrun, call.overrun)
			test.EqOp(t, c.bytes, w.Body.Len())
			test.EqOp(t, c.want != route.ResponseInvalid, call.headSent)
			test.EqOp(t, c.taken, call.g.held.taken.Load())
		})
	}
}

// Guards against bytes without end in place of an event, and against a bound that refuses a large event.
func TestReadEventIsBounded(t *testing.T) {
	endless := func(start, rest string) io.Reader {
		return io.MultiReader(strings.NewReader(start), &repeat{text: rest, left: 100 << 20})
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
		"endless blanks":     {endless("", "\n"), errNoEvents},
		"endless returns":    {endless("", "\r\n"), errNoEvents},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			counted := &counting{Reader: c.in}
			_, err := readEvent(bufio.NewReaderSize(counted, streamBuffer))
			test.True(t, errors.Is(err, c.want), test.Sprintf("got error %v", err))
			test.LessEq(t, maxEventBytes+2*streamBuffer, counted.n)
		})
	}
}

// repeat yields a text over and over.
type repeat struct {
	text string
	at   int
	left int
}

func (r *repeat) Read(b []byte) (int, error) {
	n := 0
	for ; n < len(b) && r.left > 0; n++ {
		b[n] = r.text[r.at]
		r.at, r.left = (r.at+1)%len(r.text), r.left-1
	}
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

type counting struct {
	io.Reader
	n int
}

func (c *counting) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	c.n += n
	return n, err
}

// Guards against a stream that is longer than its request allows and looks complete or goes on elsewhere, against comments that
// count as tokens or begin a response, and against the loss of comments before the first event.
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
		body       string
		mostEvents int64
		taken      int64
		want       route.Outcome
		passed     string
		events     int
		keep       bool
		excess     bool
	}{
		"whole":                    {body: events(3), mostEvents: 3, want: route.ResponseComplete, passed: events(3), events: 3},
		"too long":                 {body: events(4), mostEvents: 3, want: route.ResponseInterrupted, passed: events(3), events: 3, excess: true},
		"no maximum":               {body: events(400), want: route.ResponseComplete, passed: events(400), events: 400},
		"comments":                 {body: ": a\n\n" + events(1) + ": b\n\n" + events(1), mostEvents: 2, want: route.ResponseComplete, passed: ": a\n\n" + events(1) + ": b\n\n" + events(1), events: 2},
		"only comments":            {body: ": a\n\n", want: route.ResponseInvalid},
		"too many comments":        {body: strings.Repeat(": a\n\n", 20_000), want: route.ResponseInvalid},
		"too many comments later":  {body: events(1) + strings.Repeat(": a\n\n", 20_000) + events(1), want: route.ResponseInterrupted, events: 1},
		"large events":             {body: large + large + large, want: route.ResponseComplete, passed: large + large + large, events: 3},
		"output while it is taken": {body: large + large + large, taken: maxHeld, keep: true, want: route.ResponseInterrupted, passed: large, events: 1, excess: true},
		"more bytes than allowed":  {body: strings.Repeat(large, 260), want: route.ResponseInterrupted, events: 256, excess: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			call, w := newCall(t)
			call.g.held.taken.Store(c.taken)
			call.stream.mostEvents = c.mostEvents
			resp := exchange(t, http.MethodGet, head+c.body)
			call.route.StoreTurns = c.keep
			test.EqOp(t, c.want, call.receiveStream(resp))
			if c.passed != "" {
				test.EqOp(t, c.passed, w.Body.String())
			}
			test.EqOp(t, c.events > 0, call.headSent)
			test.EqOp(t, c.events, call.stream.events)
			test.EqOp(t, c.excess, call.stream.excess)
			call.held.release()
			test.EqOp(t, c.taken, call.g.held.taken.Load())
			if c.excess {
				call.deadline = time.Now().Add(time.Minute)
				test.False(t, call.may(), test.Sprint("another upstream could continue the stream"))
			}
		})
	}
}

// Guards against a bound that is below what a request allows.
func TestMostEvents(t *testing.T) {
	cases := []struct{ maxTokens, perEvent, want int64 }{
		{0, 32, 0}, {1, 32, 18}, {32, 32, 18}, {33, 32, 20}, {570, 30, 54}, {100, 1, 216}, {1e12, 1, 2e12 + 16},
	}
	for _, c := range cases {
		test.EqOp(t, c.want, mostEvents(c.maxTokens, c.perEvent), test.Sprintf("%d tokens of %d", c.maxTokens, c.perEvent))
	}
}
