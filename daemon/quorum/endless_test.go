package quorum

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"

	"jackdawbay.dev/api/httpcheck/endlesstest"
	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/replica"
	"jackdawbay.dev/daemon/transport"
)

// Limits of the tests of endless responses.
const (
	// closeDelay allows for a busy machine between the end of a call and the server's observation of it.
	closeDelay = 5 * time.Second
	// unreadBytes allows for bytes in the buffers of the system, which has up to 6 MB for a connection.
	unreadBytes = 8 << 20
	// maxHeldBytes is the limit of what the requests of one gateway hold together. The smallest VM has 112 MB.
	maxHeldBytes = 64 << 20
)

// newEndlessClient returns a client of replicas that send endless responses.
func newEndlessClient(t *testing.T, meter *endlesstest.Meter, replicas int, f endlesstest.Form, p endlesstest.Pace) *Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c := New(ctx, Config{
		DataCentre: "dc-0", Region: "r", RegionOf: func(string) string { return "r" },
		Client: transport.NewClient(transport.Options{DialTimeout: time.Second}), Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
	}).client("p")
	v := core.View{Version: 1, Epoch: 1, ToleratedFailures: 1, Sets: [][]core.Member{nil}}
	for i := range replicas {
		v.Sets[0] = append(v.Sets[0], core.Member{VM: fmt.Sprint(i), Disk: "d", Address: endlesstest.Start(t, meter, f, p), DataCentre: fmt.Sprint("dc-", i)})
	}
	c.adoptView(v, "test")
	return c
}

// Guards against a response of a replica without an end that a request keeps in memory, waits for, or takes for a result.
func TestEndlessResponse(t *testing.T) {
	endlesstest.Run(t, func(t *testing.T, f endlesstest.Form, p endlesstest.Pace) {
		var meter endlesstest.Meter
		c := newEndlessClient(t, &meter, 1, f, p)
		q := newMemberQueue(c, c.View().Sets[0][0])
		defer q.close()
		_, err := q.postBatch(replica.Batch{Epoch: 1, Disk: "d"})
		test.Error(t, err, test.Sprint(f.Name))
		test.Error(t, q.probeOnce(), test.Sprint(f.Name))
		test.True(t, meter.WaitUntilClosed(closeDelay), test.Sprint(f.Name, ": the connection is open"))
		test.LessEq(t, f.WireBytes(maxResponseBytes)+unreadBytes, meter.PeakOfConnection(), test.Sprint(f.Name))
	})
}

// Guards against responses of replicas that exceed the memory of a gateway together. Three replicas send without an end at the
// same time, and a gateway has several requests to each (issue 49).
func TestEndlessBatchesAtOnce(t *testing.T) {
	for _, f := range []endlesstest.Form{
		{Name: "without a length", Start: endlesstest.Body, Repeated: "x"},
		{Name: "of the longest length", Start: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxResponseBytes), Repeated: "x"},
		{Name: "chunks", Start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Repeated: "10\r\n                \r\n"},
	} {
		t.Run(f.Name, func(t *testing.T) {
			var meter endlesstest.Meter
			c := newEndlessClient(t, &meter, 3, f, endlesstest.Pace{Bytes: 64 << 10})
			var wg sync.WaitGroup
			for _, member := range c.View().Sets[0] {
				q := newMemberQueue(c, member)
				t.Cleanup(q.close)
				for range sendersPerQueue {
					wg.Go(func() {
						_, err := q.postBatch(replica.Batch{Epoch: 1, Disk: "d"})
						test.Error(t, err)
					})
				}
			}
			wg.Wait()
			test.True(t, meter.WaitUntilClosed(closeDelay))
			test.LessEq(t, maxHeldBytes, meter.Peak())
			t.Logf("held at most %d bytes", meter.Peak())
		})
	}
}
