package quorum

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/replica"
)

// fakeReplicas responds to requests without a network, so that a test can use a fake clock.
type fakeReplicas struct {
	mu       sync.Mutex
	handlers map[string]func(r *http.Request) (*http.Response, error) // By address. Replicas without a handler store every write.
	requests map[string]int
}

func newFakeReplicas() *fakeReplicas {
	return &fakeReplicas{handlers: map[string]func(*http.Request) (*http.Response, error){}, requests: map[string]int{}}
}

// RoundTrip implements http.RoundTripper.
func (h *fakeReplicas) RoundTrip(r *http.Request) (*http.Response, error) {
	h.mu.Lock()
	h.requests[r.URL.Host]++
	handler := h.handlers[r.URL.Host]
	h.mu.Unlock()
	if handler != nil {
		return handler(r)
	}
	if r.Body == nil {
		return status(http.StatusNoContent), nil
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	b, err := replica.DecodeBatch(raw)
	if err != nil {
		return nil, err
	}
	stored := replica.BatchResponse{Results: make([]replica.Result, len(b.Ops))}
	body, err := stored.Encode()
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}, nil
}

func (h *fakeReplicas) set(address string, handler func(r *http.Request) (*http.Response, error)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handlers[address] = handler
}

func (h *fakeReplicas) count(address string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.requests[address]
}

func status(code int) *http.Response {
	return &http.Response{StatusCode: code, Body: io.NopCloser(strings.NewReader(""))}
}

func rejectDisk(*http.Request) (*http.Response, error) {
	return status(http.StatusMisdirectedRequest), nil
}

func hang(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// viewOf returns a view with one set. The client is in the data centre of the first member, to which it sends its requests
// first.
func viewOf(version uint64, toleratedFailures int, vms ...string) core.View {
	v := core.View{Version: version, Epoch: version, ToleratedFailures: toleratedFailures, Sets: [][]core.Member{nil}}
	for i, vm := range vms {
		v.Sets[0] = append(v.Sets[0], core.Member{VM: vm, Disk: "d", Address: vm, DataCentre: fmt.Sprint("dc-", i)})
	}
	return v
}

// withFakeReplicas runs a test with a client of fake replicas and a fake clock, which does not advance while any goroutine
// works.
func withFakeReplicas(t *testing.T, v core.View, fn func(t *testing.T, c *Client, h *fakeReplicas, log *bytes.Buffer)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newFakeReplicas()
		var log bytes.Buffer
		c := New(ctx, Config{
			DataCentre: "dc-0", Region: "r", RegionOf: func(string) string { return "r" },
			Client: &http.Client{Transport: h}, Log: slog.New(slog.NewTextHandler(&log, nil)), Metrics: metrics.NewSet(),
		}).client("p")
		c.adoptView(v, "test")
		fn(t, c, h, &log)
		cancel()
		synctest.Wait()
	})
}

// TestReplacedDiskGetsNoRequests guards against endless requests to a disk that was replaced. Gateways probed the VM every
// 200 ms, and the VM logged each rejection (issue 17).
func TestReplacedDiskGetsNoRequests(t *testing.T) {
	withFakeReplicas(t, viewOf(1, 1, "a", "b", "c"), func(t *testing.T, c *Client, h *fakeReplicas, log *bytes.Buffer) {
		h.set("a", rejectDisk)
		for i := range 20 {
			storeTurn(t, c, fmt.Sprint("t", i), "")
			time.Sleep(time.Second)
		}
		test.EqOp(t, 1, h.count("a"))
		synctest.Wait()
		test.EqOp(t, 1, strings.Count(log.String(), "replica disk was replaced"))
		test.True(t, c.HasQuorum(), test.Sprint("two of three are a quorum"))
		h.set("b", rejectDisk)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.ErrorIs(t, c.StoreTurn(ctx, &replica.Turn{ID: "t"}, "p", nil, time.Minute, nothingCached), ErrNoQuorum)
		test.False(t, c.HasQuorum(), test.Sprint("a member with a replaced disk is unresponsive"))
	})
}

// TestProbeDetectsReplacedDisk guards against endless probes of a VM that was unresponsive and returned with an empty disk.
func TestProbeDetectsReplacedDisk(t *testing.T) {
	withFakeReplicas(t, viewOf(1, 1, "a", "b", "c"), func(t *testing.T, c *Client, h *fakeReplicas, log *bytes.Buffer) {
		h.set("a", hang)
		storeTurn(t, c, "t", "")
		time.Sleep(5 * time.Second)
		test.Greater(t, 5, h.count("a"), test.Sprint("an unresponsive member is probed"))
		h.set("a", rejectDisk)
		time.Sleep(time.Second)
		before := h.count("a")
		time.Sleep(time.Minute)
		test.EqOp(t, before, h.count("a"))
		synctest.Wait()
		test.EqOp(t, 1, strings.Count(log.String(), "replica disk was replaced"))
	})
}

// TestQueuesOfRemovedMembersClose guards against queues of members that are in no set any more. They remained in memory,
// with their probes, until the process ended.
func TestQueuesOfRemovedMembersClose(t *testing.T) {
	withFakeReplicas(t, viewOf(1, 1, "a", "b", "vm-1"), func(t *testing.T, c *Client, h *fakeReplicas, _ *bytes.Buffer) {
		const views = 50
		for i := 1; i <= views; i++ {
			vm := fmt.Sprint("vm-", i)
			h.set(vm, hang)
			c.orderMembers(c.View(), "")
			c.queue(c.View().Sets[0][2]).submit(&job{responses: make(chan memberResponse, 1)})
			time.Sleep(time.Second)
			c.adoptView(viewOf(uint64(i+1), 1, "a", "b", fmt.Sprint("vm-", i+1)), "test")
		}
		c.HasQuorum()
		test.MapLen(t, 3, c.queues)
		synctest.Wait()
		before := 0
		for i := 1; i <= views; i++ {
			before += h.count(fmt.Sprint("vm-", i))
		}
		time.Sleep(time.Minute)
		after := 0
		for i := 1; i <= views; i++ {
			after += h.count(fmt.Sprint("vm-", i))
		}
		test.EqOp(t, before, after, test.Sprint("requests to removed members"))
	})
}

// TestOperationAbandonsRemovedMember guards against operations that wait for the timeout of a member that was removed from
// the view.
func TestOperationAbandonsRemovedMember(t *testing.T) {
	withFakeReplicas(t, viewOf(1, 1, "a", "b"), func(t *testing.T, c *Client, h *fakeReplicas, _ *bytes.Buffer) {
		h.set("b", hang)
		time.AfterFunc(100*time.Millisecond, func() { c.adoptView(viewOf(2, 1, "a", "c"), "test") })
		start := time.Now()
		storeTurn(t, c, "t", "")
		test.EqOp(t, 100*time.Millisecond, time.Since(start))
	})
}

// TestMemberAddressChange guards against requests to the address that a member had in an earlier view.
func TestMemberAddressChange(t *testing.T) {
	withFakeReplicas(t, viewOf(1, 1, "a", "b"), func(t *testing.T, c *Client, h *fakeReplicas, _ *bytes.Buffer) {
		storeTurn(t, c, "t", "")
		v := viewOf(2, 1, "a", "b")
		v.Sets[0][1].Address = "elsewhere"
		h.set("b", rejectDisk)
		c.adoptView(v, "test")
		before := h.count("b")
		storeTurn(t, c, "t2", "")
		test.EqOp(t, before, h.count("b"))
		test.EqOp(t, 1, h.count("elsewhere"))
	})
}

// TestResponseSizeIsLimited guards against an endless response that uses memory until the request times out.
func TestResponseSizeIsLimited(t *testing.T) {
	withFakeReplicas(t, viewOf(1, 1, "a", "b", "c"), func(t *testing.T, c *Client, h *fakeReplicas, _ *bytes.Buffer) {
		var read int64
		h.set("a", func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(endlessBody{&read})}, nil
		})
		storeTurn(t, c, "t", "")
		time.Sleep(time.Second)
		test.LessEq(t, 2*64<<20, read)
		test.True(t, c.queue(c.View().Sets[0][0]).isUnresponsive())
	})
}

// endlessBody is a body that does not end. Its reads fail at a size that a test must not reach, so that the memory use of a
// failing test is limited.
type endlessBody struct{ read *int64 }

// Read implements io.Reader.
func (e endlessBody) Read(p []byte) (int, error) {
	*e.read += int64(len(p))
	if *e.read > 256<<20 {
		return 0, io.ErrUnexpectedEOF
	}
	return len(p), nil
}
