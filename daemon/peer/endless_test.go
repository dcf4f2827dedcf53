package peer

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test"

	"jackdawbay.dev/api/httpcheck/endlesstest"
	"jackdawbay.dev/daemon/transport"
)

// Guards against a response of another daemon without an end that is kept in memory, waited for, or taken for a result.
func TestEndlessResponse(t *testing.T) {
	const (
		timeout     = time.Second
		closeDelay  = 5 * time.Second // For a busy machine.
		unreadBytes = 8 << 20         // In the buffers of the system.
	)
	c := NewClient(Keys{"key"}, transport.Options{DialTimeout: timeout})
	endlesstest.Run(t, func(t *testing.T, f endlesstest.Form, p endlesstest.Pace) {
		var meter endlesstest.Meter
		address := endlesstest.Start(t, &meter, f, p)
		var response struct{}
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		test.Error(t, c.Post(ctx, address, "/", response, &response), test.Sprint(f.Name))
		ctx, cancel = context.WithTimeout(t.Context(), timeout)
		defer cancel()
		test.Error(t, c.Get(ctx, address, "/", &response), test.Sprint(f.Name))
		test.True(t, meter.WaitUntilClosed(closeDelay), test.Sprint(f.Name, ": the connection is open"))
		test.LessEq(t, f.WireBytes(transport.MaxResponseBytes)+unreadBytes, meter.PeakOfConnection(), test.Sprint(f.Name))
	})
}
