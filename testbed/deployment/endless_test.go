package deployment

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/testbed/standin/backend"
)

// Limits for the tests of endless responses.
const (
	concurrentCalls = 40 // Number of calls sent at the same time.
	// maxResponseTime is the time within which a caller must have its response. The call's deadline is twice as long. Both are
	// far longer than 40 calls take on a busy machine, so that only a response that waits for the end of the upstream's
	// response exceeds it. The stand-in stops sending after 10 s.
	maxResponseTime = 6 * time.Second
	callDeadline    = 2 * maxResponseTime
	// maxGatewayMemory is the memory in bytes of the smallest gateway VM on the users' sites.
	maxGatewayMemory = 112 << 20
	// maxCloseDelay is the time within which the upstream must observe that its connection was closed.
	maxCloseDelay = 500 * time.Millisecond
	maxSends      = 8 // Number of times that a retryable request may be sent.
)

// peakResidentMemory returns the peak resident memory of a process in bytes.
func peakResidentMemory(t *testing.T, pid int) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	must.NoError(t, err)
	for line := range strings.SplitSeq(string(raw), "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(text, "kB")), 10, 64)
			must.NoError(t, err)
			return kib << 10
		}
	}
	t.Fatal("process status has no VmHWM line")
	return 0
}

// sendConcurrently sends all calls at the same time and returns their responses in order.
func sendConcurrently(g *VM, calls []Call) []Response {
	responses := make([]Response, len(calls))
	var wg sync.WaitGroup
	for i, c := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			responses[i] = Send(g, c)
		}()
	}
	wg.Wait()
	return responses
}

// newCallWithoutProgram returns a call that needs no replica, because its turn does not belong to a program and never
// completes.
func newCallWithoutProgram(path string) Call {
	tokens := fmt.Sprintf("10,%d", 4*TokensPerEvent)
	return Call{Path: path, ID: NewID(), Deadline: callDeadline, Header: map[string]string{"X-Jackdawbay-Token-Usage": tokens}}
}

// endlessCase is the expected result of a call while every upstream has the same fault.
type endlessCase struct {
	path       string
	faults     []backend.Fault
	wantStatus int
	wantBroken bool // The response is truncated, or the connection is closed before the response headers were sent.
	maxRuns    int  // Maximum number of runs of one call.
}

// Guards against the effects of an endless response from an upstream: a caller that waits until its deadline, a gateway that
// runs out of memory, a truncated response that looks complete, a request that runs more often than its route allows, and an
// upstream that keeps sending after the caller has received its response.
func TestEndlessResponse(t *testing.T) {
	error500, executed503, rejection := []backend.Fault{backend.Endless500}, []backend.Fault{backend.EndlessExecuted503}, []backend.Fault{backend.EndlessReject}
	events := []backend.Fault{backend.EndlessEvents, backend.EndlessFlood}
	cases := []endlessCase{
		{path: PathOrder, faults: backend.EndlessHeads, wantStatus: http.StatusBadGateway, maxRuns: 1},
		{path: PathOrder, faults: backend.EndlessBodies, wantStatus: http.StatusBadGateway, maxRuns: 1},
		{path: PathOrder, faults: error500, wantStatus: http.StatusBadGateway, maxRuns: 1},
		{path: PathOrder, faults: executed503, wantStatus: http.StatusBadGateway, maxRuns: 1},
		{path: PathOrder, faults: rejection, wantStatus: http.StatusServiceUnavailable},
		{path: PathLookup, faults: backend.EndlessHeads, wantStatus: http.StatusBadGateway, maxRuns: maxSends},
		{path: PathLookup, faults: backend.EndlessBodies, wantStatus: http.StatusBadGateway, maxRuns: 2},
		{path: PathLookup, faults: error500, wantStatus: http.StatusBadGateway, maxRuns: maxSends}, // The status alone causes a retry.
		{path: PathLookup, faults: executed503, wantStatus: http.StatusBadGateway, maxRuns: maxSends},
		{path: PathLookup, faults: rejection, wantStatus: http.StatusServiceUnavailable},
		{path: PathRetained, faults: backend.EndlessHeads, wantStatus: http.StatusBadGateway, maxRuns: 1},
		{path: PathRetained, faults: backend.EndlessBodies, wantStatus: http.StatusBadGateway, maxRuns: 1},
		{path: PathRetained, faults: backend.EndlessStreams, wantStatus: http.StatusBadGateway, maxRuns: 1},
		{path: PathRetained, faults: events, wantStatus: http.StatusOK, wantBroken: true, maxRuns: 1},
		{path: PathRetained, faults: error500, wantStatus: http.StatusBadGateway, maxRuns: 1},
		{path: PathRetained, faults: rejection, wantStatus: http.StatusServiceUnavailable},
		{path: PathResumable, faults: backend.EndlessHeads, wantStatus: http.StatusBadGateway, maxRuns: maxSends},
		{path: PathResumable, faults: backend.EndlessBodies, wantStatus: http.StatusBadGateway, maxRuns: maxSends},
		{path: PathResumable, faults: backend.EndlessStreams, wantStatus: http.StatusBadGateway, maxRuns: maxSends},
		{path: PathResumable, faults: events, wantStatus: http.StatusOK, wantBroken: true, maxRuns: 1},
		{path: PathResumable, faults: error500, wantStatus: http.StatusBadGateway, maxRuns: 1},
		{path: PathResumable, faults: rejection, wantStatus: http.StatusServiceUnavailable},
	}
	o := defaultOptions()
	o.Gateways, o.TimeoutMS = 1, int(callDeadline.Milliseconds())
	d := startDeployment(t, o)
	for _, c := range cases {
		for _, f := range c.faults {
			t.Run(strings.Trim(c.path, "/")+" "+string(f), func(t *testing.T) { d.checkEndlessResponse(t, c, f) })
		}
	}
	d.setFaultOnAll(backend.NoFault)
	test.EqOp(t, http.StatusOK, Send(d.Gateways[0], newCallWithoutProgram(PathOrder)).Status)
}

func (d *Deployment) checkEndlessResponse(t *testing.T, c endlessCase, f backend.Fault) {
	g := d.Gateways[0]
	d.setFaultOnAll(f)
	defer d.setFaultOnAll(backend.NoFault)
	var calls []Call
	for range concurrentCalls {
		calls = append(calls, newCallWithoutProgram(c.path))
	}
	responses := sendConcurrently(g, calls)
	receivedAt := time.Now()
	maxElapsed := time.Duration(0)
	for i, resp := range responses {
		maxElapsed = max(maxElapsed, resp.Elapsed)
		if !c.wantBroken || resp.Status != 0 {
			test.EqOp(t, c.wantStatus, resp.Status)
		}
		test.EqOp(t, c.wantBroken, resp.Err != nil, test.Sprintf("the response ended with %v", resp.Err))
		runs := d.countRuns(calls[i].ID)
		test.LessEq(t, c.maxRuns, runs)
		if c.wantStatus == http.StatusServiceUnavailable {
			test.NotEq(t, "", resp.Header.Get("Retry-After"))
		} else {
			test.GreaterEq(t, 1, runs)
		}
		if !c.wantBroken {
			test.EqOp(t, "", resp.Header.Get("X-Jackdawbay-Server-Stamp"))
		}
	}
	memory := peakResidentMemory(t, g.Process.PID())
	t.Logf("longest response %v, peak resident memory %d MiB", maxElapsed.Round(time.Millisecond), memory>>20)
	test.Less(t, maxResponseTime, maxElapsed)
	test.Less(t, int64(maxGatewayMemory), memory)
	eventually(t, "the connections to the upstreams are closed", maxCloseDelay, func() bool { return d.allRunsCancelled(calls, receivedAt) })
}

// allRunsCancelled reports whether every run of the calls observed that its connection was closed within maxCloseDelay after
// since.
func (d *Deployment) allRunsCancelled(calls []Call, since time.Time) bool {
	callIDs := map[string]bool{}
	for _, c := range calls {
		callIDs[c.ID] = true
	}
	for _, u := range append(d.Engines[:len(d.Engines):len(d.Engines)], d.Services...) {
		for _, r := range u.Runs() {
			if callIDs[r.ID] && (!r.Cancelled || r.CancelledAt.After(since.Add(maxCloseDelay))) {
				return false
			}
		}
	}
	return true
}

// Guards against a retryable request that fails although another upstream would serve it, and against a faulty upstream that
// keeps receiving requests although another one is available.
func TestEndlessResponseIsRetriedOnAnotherUpstream(t *testing.T) {
	o := defaultOptions()
	o.Gateways, o.TimeoutMS = 1, int(callDeadline.Milliseconds())
	d := startDeployment(t, o)
	for _, f := range append(append([]backend.Fault{backend.Endless500, backend.EndlessReject}, backend.EndlessHeads...), backend.EndlessBodies...) {
		t.Run(string(f), func(t *testing.T) {
			d.Services[0].SetFault(f)
			defer d.Services[0].SetFault(backend.NoFault)
			for range 4 {
				c := newCallWithoutProgram(PathLookup)
				resp := Send(d.Gateways[0], c)
				test.EqOp(t, http.StatusOK, resp.Status)
				test.EqOp(t, expectedBody(c), resp.Body)
				test.Less(t, maxResponseTime, resp.Elapsed)
			}
			failed := 0
			for range 20 {
				c := newCallWithoutProgram(PathOrder)
				resp := Send(d.Gateways[0], c)
				if resp.Status != http.StatusOK {
					failed++
					continue
				}
				test.EqOp(t, expectedBody(c), resp.Body)
			}
			// The upstream is paused after two consecutive failures, for at least 0.5 s. It may fail twice after each pause,
			// and one more call may be in flight.
			test.LessEq(t, 5, failed)
		})
	}
}
