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
	endlessCalls = 40 // Calls side by side.
	// endlessAnswer is the time within which a caller must have its answer. Its deadline is twice as far, and both are far above
	// what 40 calls take on a busy machine, so that only an answer that waits for an end is late. The stand-in gives up after 10 s.
	endlessAnswer   = 6 * time.Second
	endlessDeadline = 2 * endlessAnswer
	// endlessMemory is the memory of the smallest VM with a gateway on the users' sites.
	endlessMemory = 112 << 20
	// closeTime is the time within which the upstream must see the end of its connection.
	closeTime = 500 * time.Millisecond
	mostSends = 8 // Sends of one request that may be repeated.
)

// peakMemory returns the most memory that a process had resident, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	must.NoError(t, err)
	for line := range strings.SplitSeq(string(raw), "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(text, "kB")), 10, 64)
			must.NoError(t, err)
			return kb << 10
		}
	}
	t.Fatal("no peak of the memory in the status of the process")
	return 0
}

// sideBySide sends calls at the same time.
func sideBySide(g *VM, calls []Call) []Response {
	answers := make([]Response, len(calls))
	var wg sync.WaitGroup
	for i, c := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = Send(g, c)
		}()
	}
	wg.Wait()
	return answers
}

// endlessCall is a call that needs no replica: its turn belongs to no program, and it never completes.
func endlessCall(path string) Call {
	tokens := fmt.Sprintf("10,%d", 4*TokensPerEvent)
	return Call{Path: path, ID: NewID(), Deadline: endlessDeadline, Header: map[string]string{"X-Jackdawbay-Token-Usage": tokens}}
}

// endlessCase says what a caller gets when every upstream has a fault.
type endlessCase struct {
	path   string
	faults []backend.Fault
	status int
	broken bool // The response ends early, or its connection is closed before its head was on the way.
	runs   int  // Most runs.
}

// Guards against bytes without end that keep a caller until its deadline, fill the memory of a gateway, look like a complete
// response, run a request more often than its route allows, or keep an upstream busy for a caller who has its answer.
func TestEndlessResponse(t *testing.T) {
	failure, unclear, refusal := []backend.Fault{backend.Endless500}, []backend.Fault{backend.EndlessExecuted503}, []backend.Fault{backend.EndlessReject}
	events := []backend.Fault{backend.EndlessEvents, backend.EndlessFlood}
	cases := []endlessCase{
		{path: PathOrder, faults: backend.EndlessHeads, status: http.StatusBadGateway, runs: 1},
		{path: PathOrder, faults: backend.EndlessBodies, status: http.StatusBadGateway, runs: 1},
		{path: PathOrder, faults: failure, status: http.StatusBadGateway, runs: 1},
		{path: PathOrder, faults: unclear, status: http.StatusBadGateway, runs: 1},
		{path: PathOrder, faults: refusal, status: http.StatusServiceUnavailable},
		{path: PathLookup, faults: backend.EndlessHeads, status: http.StatusBadGateway, runs: mostSends},
		{path: PathLookup, faults: backend.EndlessBodies, status: http.StatusBadGateway, runs: 2},
		{path: PathLookup, faults: failure, status: http.StatusBadGateway, runs: mostSends}, // The status is reason enough to repeat it.
		{path: PathLookup, faults: unclear, status: http.StatusBadGateway, runs: mostSends},
		{path: PathLookup, faults: refusal, status: http.StatusServiceUnavailable},
		{path: PathRetained, faults: backend.EndlessHeads, status: http.StatusBadGateway, runs: 1},
		{path: PathRetained, faults: backend.EndlessBodies, status: http.StatusBadGateway, runs: 1},
		{path: PathRetained, faults: backend.EndlessStreams, status: http.StatusBadGateway, runs: 1},
		{path: PathRetained, faults: events, status: http.StatusOK, broken: true, runs: 1},
		{path: PathRetained, faults: failure, status: http.StatusBadGateway, runs: 1},
		{path: PathRetained, faults: refusal, status: http.StatusServiceUnavailable},
		{path: PathResumable, faults: backend.EndlessHeads, status: http.StatusBadGateway, runs: mostSends},
		{path: PathResumable, faults: backend.EndlessBodies, status: http.StatusBadGateway, runs: mostSends},
		{path: PathResumable, faults: backend.EndlessStreams, status: http.StatusBadGateway, runs: mostSends},
		{path: PathResumable, faults: events, status: http.StatusOK, broken: true, runs: 1},
		{path: PathResumable, faults: failure, status: http.StatusBadGateway, runs: 1},
		{path: PathResumable, faults: refusal, status: http.StatusServiceUnavailable},
	}
	o := standard()
	o.Gateways, o.TimeoutMS = 1, int(endlessDeadline.Milliseconds())
	d := start(t, o)
	for _, c := range cases {
		for _, f := range c.faults {
			t.Run(strings.Trim(c.path, "/")+" "+string(f), func(t *testing.T) { d.checkEndless(t, c, f) })
		}
	}
	d.always(backend.NoFault)
	test.EqOp(t, http.StatusOK, Send(d.Gateways[0], endlessCall(PathOrder)).Status)
}

func (d *Deployment) checkEndless(t *testing.T, c endlessCase, f backend.Fault) {
	g := d.Gateways[0]
	d.always(f)
	defer d.always(backend.NoFault)
	var calls []Call
	for range endlessCalls {
		calls = append(calls, endlessCall(c.path))
	}
	answers := sideBySide(g, calls)
	ended := time.Now()
	longest := time.Duration(0)
	for i, a := range answers {
		longest = max(longest, a.Elapsed)
		if !c.broken || a.Status != 0 {
			test.EqOp(t, c.status, a.Status)
		}
		test.EqOp(t, c.broken, a.Err != nil, test.Sprintf("the response ended with %v", a.Err))
		runs := d.runs(calls[i].ID)
		test.LessEq(t, c.runs, runs)
		if c.status == http.StatusServiceUnavailable {
			test.NotEq(t, "", a.Header.Get("Retry-After"))
		} else {
			test.GreaterEq(t, 1, runs)
		}
		if !c.broken {
			test.EqOp(t, "", a.Header.Get("X-Jackdawbay-Server-Stamp"))
		}
	}
	memory := peakMemory(t, g.Process.PID())
	t.Logf("longest answer %v, peak of the memory %d MiB", longest.Round(time.Millisecond), memory>>20)
	test.Less(t, endlessAnswer, longest)
	test.Less(t, int64(endlessMemory), memory)
	eventually(t, "the connections to the upstreams are closed", closeTime, func() bool { return d.endedRuns(calls, ended) })
}

// endedRuns reports whether every run of the calls has seen the end of its connection.
func (d *Deployment) endedRuns(calls []Call, since time.Time) bool {
	of := map[string]bool{}
	for _, c := range calls {
		of[c.ID] = true
	}
	for _, u := range append(d.Engines[:len(d.Engines):len(d.Engines)], d.Services...) {
		for _, r := range u.Runs() {
			if of[r.ID] && (!r.Cancelled || r.CancelledAt.After(since.Add(closeTime))) {
				return false
			}
		}
	}
	return true
}

// Guards against a request that may be repeated and fails, or an upstream that goes on getting requests, while another upstream
// would serve them.
func TestEndlessResponseIsRepeatedElsewhere(t *testing.T) {
	o := standard()
	o.Gateways, o.TimeoutMS = 1, int(endlessDeadline.Milliseconds())
	d := start(t, o)
	for _, f := range append(append([]backend.Fault{backend.Endless500, backend.EndlessReject}, backend.EndlessHeads...), backend.EndlessBodies...) {
		t.Run(string(f), func(t *testing.T) {
			d.Services[0].SetFault(f)
			defer d.Services[0].SetFault(backend.NoFault)
			for range 4 {
				c := endlessCall(PathLookup)
				a := Send(d.Gateways[0], c)
				test.EqOp(t, http.StatusOK, a.Status)
				test.EqOp(t, whole(c), a.Body)
				test.Less(t, endlessAnswer, a.Elapsed)
			}
			failed := 0
			for range 20 {
				c := endlessCall(PathOrder)
				a := Send(d.Gateways[0], c)
				if a.Status != http.StatusOK {
					failed++
					continue
				}
				test.EqOp(t, whole(c), a.Body)
			}
			// Two failures in a row, after each pause of 0.5 s and more, and one more call may be under way.
			test.LessEq(t, 5, failed)
		})
	}
}
