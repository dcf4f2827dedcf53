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

// Bounds of the tests of responses without end.
const (
	concurrentCalls = 40 // Calls side by side.
	// maxResponseTime is the time within which a caller must have its answer. Its deadline is twice as far, and both are far above
	// what 40 calls take on a busy machine, so that only an answer that waits for an end is late. The stand-in gives up after 10 s.
	maxResponseTime = 6 * time.Second
	callDeadline    = 2 * maxResponseTime
	// maxGatewayMemory is the memory of the smallest VM with a gateway on the users' sites.
	maxGatewayMemory = 112 << 20
	// maxCloseDelay is the time within which the upstream must see the end of its connection.
	maxCloseDelay = 500 * time.Millisecond
	maxSends      = 8 // Sends of one request that may be repeated.
)

// peakResidentMemory returns the most memory that a process had resident, in bytes.
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
	t.Fatal("no peak of the memory in the status of the process")
	return 0
}

// sendConcurrently sends calls at the same time.
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

// newCallWithoutProgram is a call that needs no replica: its turn belongs to no program, and it never completes.
func newCallWithoutProgram(path string) Call {
	tokens := fmt.Sprintf("10,%d", 4*TokensPerEvent)
	return Call{Path: path, ID: NewID(), Deadline: callDeadline, Header: map[string]string{"X-Jackdawbay-Token-Usage": tokens}}
}

// endlessCase says what a caller gets when every upstream has a fault.
type endlessCase struct {
	path       string
	faults     []backend.Fault
	wantStatus int
	wantBroken bool // The response ends early, or its connection is closed before its head was on the way.
	maxRuns    int  // Most runs.
}

// Guards against bytes without end that keep a caller until its deadline, fill the memory of a gateway, look like a complete
// response, run a request more often than its route allows, or keep an upstream busy for a caller who has its answer.
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
		{path: PathLookup, faults: error500, wantStatus: http.StatusBadGateway, maxRuns: maxSends}, // The status is reason enough to repeat it.
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
	t.Logf("longest answer %v, peak of the memory %d MiB", maxElapsed.Round(time.Millisecond), memory>>20)
	test.Less(t, maxResponseTime, maxElapsed)
	test.Less(t, int64(maxGatewayMemory), memory)
	eventually(t, "the connections to the upstreams are closed", maxCloseDelay, func() bool { return d.allRunsCancelled(calls, receivedAt) })
}

// allRunsCancelled reports whether every run of the calls has seen the end of its connection.
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

// Guards against a request that may be repeated and fails, or an upstream that goes on getting requests, while another upstream
// would serve them.
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
			// Two failures in a row, after each pause of 0.5 s and more, and one more call may be under way.
			test.LessEq(t, 5, failed)
		})
	}
}
