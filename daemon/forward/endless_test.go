package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"

	"jackdawbay.dev/api/httpcheck/endlesstest"
)

// Guards against an endless response of an upstream that is read beyond the limits of a head or of a discarded body, or beyond the deadline
// of its request while a byte arrives now and then.
func TestEndlessResponse(t *testing.T) {
	const (
		deadline     = time.Second
		closeDelay   = 5 * time.Second // For a busy machine.
		maxSentBytes = 8 << 20         // The system has up to 6 MB in its buffers for a connection.
	)
	pool := NewPool(deadline, 4, metrics.NewSet())
	request := Request{Method: http.MethodGet, Target: "/", Host: "upstream", IsOwnResponse: func(http.Header) bool { return true }}
	endlesstest.Run(t, func(t *testing.T, f endlesstest.Form, p endlesstest.Pace) {
		var meter endlesstest.Meter
		address := endlesstest.Start(t, &meter, f, p)
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		defer cancel()
		c, err := pool.Get(ctx, address)
		if err != nil {
			t.Error(f.Name, ": ", err)
			return
		}
		if resp, err := pool.Send(ctx, c, request); err == nil {
			resp.Discard()
		}
		test.True(t, meter.WaitUntilClosed(closeDelay), test.Sprint(f.Name, ": the connection is open"))
		test.LessEq(t, maxSentBytes, meter.PeakOfConnection(), test.Sprint(f.Name))
	})
}
