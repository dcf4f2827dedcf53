package platformclient

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test"

	"jackdawbay.dev/api/httpcheck/endlesstest"
)

// Guards against a response of the platform without an end that the command keeps in memory, waits for, or takes for a result.
func TestEndlessResponse(t *testing.T) {
	const (
		requestTimeout = time.Second
		closeDelay     = 5 * time.Second // For a busy machine.
		unreadBytes    = 8 << 20         // In the buffers of the system.
	)
	calls := map[string]func(ctx context.Context, c *Client) error{
		"get":  func(ctx context.Context, c *Client) error { _, err := c.Get(ctx, "k", "n"); return err },
		"list": func(ctx context.Context, c *Client) error { _, err := c.List(ctx, "k", ""); return err },
		"put": func(ctx context.Context, c *Client) error {
			_, err := c.Put(ctx, "k", "n", 1, json.RawMessage(`{}`))
			return err
		},
	}
	endlesstest.Run(t, func(t *testing.T, f endlesstest.Form, p endlesstest.Pace) {
		for name, call := range calls {
			var meter endlesstest.Meter
			c, err := New(Config{URL: "http://" + endlesstest.Start(t, &meter, f, p), RequestTimeout: requestTimeout, MaxReadAttempts: 1})
			if err != nil {
				t.Error(f.Name, ": ", err)
				return
			}
			test.Error(t, call(t.Context(), c), test.Sprint(f.Name, ", ", name))
			test.True(t, meter.WaitUntilClosed(closeDelay), test.Sprint(f.Name, ", ", name, ": the connection is open"))
			test.LessEq(t, f.WireBytes(maxResponseBytes)+unreadBytes, meter.PeakOfConnection(), test.Sprint(f.Name, ", ", name))
		}
	})
}
