package relay

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"

	"jackdawbay.dev/api/httpcheck/endlesstest"
	core "jackdawbay.dev/core/relay"
	"jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/transport"
)

// Limits of the tests of endless responses.
const (
	// closeDelay allows for a busy machine between the end of a call and the server's observation of it.
	closeDelay = 5 * time.Second
	// unreadBytes are in the buffers of the system, which has up to 6 MB for a connection.
	unreadBytes = 8 << 20
	// maxReadTime is several times the timeout of a silent stream, for a busy machine.
	maxReadTime = 10 * silenceTimeout
)

func newEndlessMirror() *Mirror {
	return NewMirror(MirrorConfig{
		VM: "vm", Client: transport.NewClient(transport.Options{DialTimeout: time.Second}), CandidateKind: kindRelays,
		DecodeCandidates: func(map[string]platform.Object) []core.Candidate { return nil },
		Log:              slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
	}, []string{kindConfig})
}

// Guards against a stream of a relay without an end of its message that is kept in memory or waited for.
func TestEndlessStream(t *testing.T) {
	endlesstest.Run(t, func(t *testing.T, f endlesstest.Form, p endlesstest.Pace) {
		var meter endlesstest.Meter
		source := core.Source{IsRelay: true, Candidate: core.Candidate{VM: "relay", Address: endlesstest.Start(t, &meter, f, p)}}
		m := newEndlessMirror()
		ctx, cancel := context.WithTimeout(t.Context(), maxReadTime)
		defer cancel()
		test.Error(t, m.readRelay(ctx, source), test.Sprint(f.Name))
		test.NoError(t, ctx.Err(), test.Sprint(f.Name, ": the mirror waits"))
		reportCtx, cancelReport := context.WithTimeout(t.Context(), maxReadTime)
		defer cancelReport()
		test.Error(t, m.sendReports(reportCtx, source, reports{VM: "vm"}), test.Sprint(f.Name))
		test.NoError(t, reportCtx.Err(), test.Sprint(f.Name, ": the report waits"))
		test.True(t, meter.WaitUntilClosed(closeDelay), test.Sprint(f.Name, ": the connection is open"))
		test.LessEq(t, f.WireBytes(maxMessageBytes)+unreadBytes, meter.PeakOfConnection(), test.Sprint(f.Name))
	})
}

// Guards against a message that is longer than the limit and that is kept until the mirror reads another source.
func TestEndlessMessageAfterValidOnes(t *testing.T) {
	first := fmt.Sprintf(`{"kind":%q,"revision":1,"full":true}`, kindConfig) + "\n"
	var meter endlesstest.Meter
	form := endlesstest.Form{Start: endlesstest.Body + first + `{"kind":"`, Repeated: "x"}
	source := core.Source{IsRelay: true, Candidate: core.Candidate{VM: "relay", Address: endlesstest.Start(t, &meter, form, endlesstest.Pace{Bytes: 64 << 10})}}
	test.Error(t, newEndlessMirror().readRelay(t.Context(), source))
	test.True(t, meter.WaitUntilClosed(closeDelay))
	test.LessEq(t, 2*maxMessageBytes+unreadBytes, meter.PeakOfConnection())
}
