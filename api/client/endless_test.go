package client

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/httpcheck/endlesstest"
)

// Limits of the tests of endless responses.
const (
	callTimeout = 2 * time.Second
	closeDelay  = 5 * time.Second // For a busy machine.
	unreadBytes = 8 << 20         // In the buffers of the system.
)

// Guards against a response of a daemon without an end that a caller keeps in memory, waits for, or takes for a result.
func TestEndlessResponse(t *testing.T) {
	endlesstest.Run(t, func(t *testing.T, f endlesstest.Form, p endlesstest.Pace) {
		var wg sync.WaitGroup
		for name, call := range map[string]func(ctx context.Context, program *Program) error{
			"describe": func(ctx context.Context, program *Program) error { _, err := program.Describe(ctx); return err },
			"history":  func(ctx context.Context, program *Program) error { _, err := program.History(ctx); return err },
			"stream": func(ctx context.Context, program *Program) error {
				_, err := program.InvokeModel(ctx, "key", caller.ModelCall{}, func(caller.Delta) {})
				return err
			},
		} {
			wg.Go(func() {
				var meter endlesstest.Meter
				c := &Client{BaseURLs: []string{"http://" + endlesstest.Start(t, &meter, f, p)}, Key: "key"}
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				defer cancel()
				test.Error(t, call(ctx, c.Program("p")), test.Sprint(f.Name, ", ", name))
				test.True(t, meter.WaitUntilClosed(closeDelay), test.Sprint(f.Name, ", ", name, ": the connection is open"))
				test.LessEq(t, f.WireBytes(maxResponseBytes)+unreadBytes, meter.PeakOfConnection(), test.Sprint(f.Name, ", ", name))
			})
		}
		wg.Wait()
	})
}

// Guards against a stream that is read without an end of its size: comments, blank lines and events of other types have no result.
func TestEndlessEventStream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, f := range []endlesstest.Form{
		{Name: "comments", Start: head, Repeated: ": x\n\n"},
		{Name: "blank lines", Start: head, Repeated: "\n"},
		{Name: "data lines", Start: head, Repeated: "data: x\n"},
		{Name: "unknown events", Start: head, Repeated: "event: other\ndata: x\n\n"},
		{Name: "empty deltas", Start: head, Repeated: "event: " + caller.EventDelta + "\ndata: {}\n\n"},
		{Name: "a line", Start: head + "data: ", Repeated: "x"},
	} {
		t.Run(f.Name, func(t *testing.T) {
			var meter endlesstest.Meter
			c := &Client{BaseURLs: []string{"http://" + endlesstest.Start(t, &meter, f, endlesstest.Pace{Bytes: 64 << 10})}, Key: "key"}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute) // The client, not the caller, has to end the stream.
			defer cancel()
			_, err := c.Program("p").InvokeModel(ctx, "key", caller.ModelCall{}, func(caller.Delta) {})
			test.Error(t, err)
			test.NoError(t, ctx.Err(), test.Sprint("the caller had to end the stream"))
			test.True(t, meter.WaitUntilClosed(closeDelay))
			test.LessEq(t, 2*maxResponseBytes+unreadBytes, meter.PeakOfConnection())
		})
	}
}
