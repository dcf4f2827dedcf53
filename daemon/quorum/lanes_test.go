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

// hosts answers requests to replicas without a network, so that a test can hold the clock.
type hosts struct {
	mu     sync.Mutex
	answer map[string]func(r *http.Request) (*http.Response, error) // By address; others store every write.
	asked  map[string]int
}

func newHosts() *hosts {
	return &hosts{answer: map[string]func(*http.Request) (*http.Response, error){}, asked: map[string]int{}}
}

// RoundTrip implements http.RoundTripper.
func (h *hosts) RoundTrip(r *http.Request) (*http.Response, error) {
	h.mu.Lock()
	h.asked[r.URL.Host]++
	answer := h.answer[r.URL.Host]
	h.mu.Unlock()
	if answer != nil {
		return answer(r)
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

func (h *hosts) set(address string, answer func(r *http.Request) (*http.Response, error)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answer[address] = answer
}

func (h *hosts) count(address string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.asked[address]
}

func status(code int) *http.Response {
	return &http.Response{StatusCode: code, Body: io.NopCloser(strings.NewReader(""))}
}

func otherDisk(*http.Request) (*http.Response, error) {
	return status(http.StatusMisdirectedRequest), nil
}

func hangs(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// viewOf is a view of one set. The client is in the data centre of the first member, which it asks first.
func viewOf(version uint64, tolerate int, vms ...string) core.View {
	v := core.View{Version: version, Epoch: version, ToleratedFailures: tolerate, Sets: [][]core.Member{nil}}
	for i, vm := range vms {
		v.Sets[0] = append(v.Sets[0], core.Member{VM: vm, Disk: "d", Address: vm, DataCentre: fmt.Sprint("dc-", i)})
	}
	return v
}

// inBubble runs a test with a client, with time that stands still while anything works.
func inBubble(t *testing.T, v core.View, run func(t *testing.T, c *Client, h *hosts, log *bytes.Buffer)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newHosts()
		var log bytes.Buffer
		c := New(ctx, Config{
			DataCentre: "dc-0", Region: "r", RegionOf: func(string) string { return "r" },
			Client: &http.Client{Transport: h}, Log: slog.New(slog.NewTextHandler(&log, nil)), Metrics: metrics.NewSet(),
		})
		c.adopt(v, "test")
		run(t, c, h, &log)
		cancel()
		synctest.Wait()
	})
}

// TestReplacedDiskIsAskedNoMore guards against requests to a disk that is gone, for ever: gateways probed the VM every 200 ms,
// and the VM logged each refusal (issue 17).
func TestReplacedDiskIsAskedNoMore(t *testing.T) {
	inBubble(t, viewOf(1, 1, "a", "b", "c"), func(t *testing.T, c *Client, h *hosts, log *bytes.Buffer) {
		h.set("a", otherDisk)
		for i := range 20 {
			keepTurn(t, c, fmt.Sprint("t", i), "")
			time.Sleep(time.Second)
		}
		test.EqOp(t, 1, h.count("a"))
		synctest.Wait()
		test.EqOp(t, 1, strings.Count(log.String(), "replica's disk is gone"))
		test.True(t, c.HasQuorum(), test.Sprint("two of three are a quorum"))
		h.set("b", otherDisk)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.ErrorIs(t, c.StoreTurn(ctx, &replica.Turn{ID: "t"}, "p", nil, time.Minute), ErrNoQuorum)
		test.False(t, c.HasQuorum(), test.Sprint("a member whose disk is gone does not answer"))
	})
}

// TestReplacedDiskIsNoticedByProbes guards against probes of a VM that was silent and came back with an empty disk.
func TestReplacedDiskIsNoticedByProbes(t *testing.T) {
	inBubble(t, viewOf(1, 1, "a", "b", "c"), func(t *testing.T, c *Client, h *hosts, log *bytes.Buffer) {
		h.set("a", hangs)
		keepTurn(t, c, "t", "")
		time.Sleep(5 * time.Second)
		test.Greater(t, 5, h.count("a"), test.Sprint("a silent member is probed"))
		h.set("a", otherDisk)
		time.Sleep(time.Second)
		before := h.count("a")
		time.Sleep(time.Minute)
		test.EqOp(t, before, h.count("a"))
		synctest.Wait()
		test.EqOp(t, 1, strings.Count(log.String(), "replica's disk is gone"))
	})
}

// TestLanesEndWithTheirMembers guards against lanes to members that are in no set any more, which were held and probed for the
// life of the process.
func TestLanesEndWithTheirMembers(t *testing.T) {
	inBubble(t, viewOf(1, 1, "a", "b", "vm-1"), func(t *testing.T, c *Client, h *hosts, _ *bytes.Buffer) {
		const views = 50
		for i := 1; i <= views; i++ {
			lost := fmt.Sprint("vm-", i)
			h.set(lost, hangs)
			c.order(c.View(), "")
			c.lane(c.View().Sets[0][2]).submit(&job{answers: make(chan answer, 1)})
			time.Sleep(time.Second)
			c.adopt(viewOf(uint64(i+1), 1, "a", "b", fmt.Sprint("vm-", i+1)), "test")
		}
		c.HasQuorum()
		test.MapLen(t, 3, c.lanes)
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
		test.EqOp(t, before, after, test.Sprint("requests to members that have left"))
	})
}

// TestOperationLeavesLostMember guards against operations that wait for the time-out of a member that the view no longer has.
func TestOperationLeavesLostMember(t *testing.T) {
	inBubble(t, viewOf(1, 1, "a", "b"), func(t *testing.T, c *Client, h *hosts, _ *bytes.Buffer) {
		h.set("b", hangs)
		time.AfterFunc(100*time.Millisecond, func() { c.adopt(viewOf(2, 1, "a", "c"), "test") })
		start := time.Now()
		keepTurn(t, c, "t", "")
		test.EqOp(t, 100*time.Millisecond, time.Since(start))
	})
}

// TestAddressOfAMemberChanges guards against requests to the address that a member had in an earlier view.
func TestAddressOfAMemberChanges(t *testing.T) {
	inBubble(t, viewOf(1, 1, "a", "b"), func(t *testing.T, c *Client, h *hosts, _ *bytes.Buffer) {
		keepTurn(t, c, "t", "")
		v := viewOf(2, 1, "a", "b")
		v.Sets[0][1].Address = "elsewhere"
		h.set("b", otherDisk)
		c.adopt(v, "test")
		before := h.count("b")
		keepTurn(t, c, "t2", "")
		test.EqOp(t, before, h.count("b"))
		test.EqOp(t, 1, h.count("elsewhere"))
	})
}

// TestEndlessAnswerIsCutOff guards against an answer without end, which took memory until the time-out of the request.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	inBubble(t, viewOf(1, 1, "a", "b", "c"), func(t *testing.T, c *Client, h *hosts, _ *bytes.Buffer) {
		var read int64
		h.set("a", func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(endless{&read})}, nil
		})
		keepTurn(t, c, "t", "")
		time.Sleep(time.Second)
		test.LessEq(t, 2*64<<20, read)
		test.True(t, c.lane(c.View().Sets[0][0]).suspect())
	})
}

// endless is a body that does not end. It fails at a size that a test must not reach, so that it needs no memory bound.
type endless struct{ read *int64 }

// Read implements io.Reader.
func (e endless) Read(p []byte) (int, error) {
	*e.read += int64(len(p))
	if *e.read > 256<<20 {
		return 0, io.ErrUnexpectedEOF
	}
	return len(p), nil
}
