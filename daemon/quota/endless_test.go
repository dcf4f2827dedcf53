package quota

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test"

	"jackdawbay.dev/api/httpcheck/endlesstest"
	"jackdawbay.dev/core/quota"
	"jackdawbay.dev/daemon/transport"
)

// Guards against an answer of an issuer without an end that a gateway keeps in memory, waits for, or takes for units.
func TestEndlessAnswer(t *testing.T) {
	const (
		closeDelay   = 5 * time.Second // For a busy machine.
		maxSentBytes = 16 << 20        // The system has up to 6 MB in its buffers for a connection.
	)
	client := transport.NewClient(transport.Options{DialTimeout: time.Second})
	endlesstest.Run(t, func(t *testing.T, f endlesstest.Form, p endlesstest.Pace) {
		var meter endlesstest.Meter
		ctx, cancel := context.WithTimeout(t.Context(), quota.IssuerTimeout)
		defer cancel()
		var r unitsResponse
		test.Error(t, post(ctx, client, endlesstest.Start(t, &meter, f, p), PathQuota, unitsRequest{}, &r), test.Sprint(f.Name))
		test.True(t, meter.WaitUntilClosed(closeDelay), test.Sprint(f.Name, ": the connection is open"))
		test.LessEq(t, maxSentBytes, meter.PeakOfConnection(), test.Sprint(f.Name))
	})
}
