package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"jackdawbay.dev/testbed/deployment"
	"jackdawbay.dev/testbed/standin/backend"
)

// turn is a turn that was acknowledged whole.
type turn struct {
	id, program, input string
	previous           *turn
}

// history is what an engine gets for a turn with a new input after this one.
func (t *turn) history() string {
	if t == nil {
		return ""
	}
	return t.previous.history() + t.input + backend.StreamText(t.id, eventsPerStream)
}

// maxViolations bounds a report.
const maxViolations = 20

// checks collects what callers were told.
type checker struct {
	mu                sync.Mutex
	violations        []string
	callCount         int
	completeResponses int
	acknowledged      []*turn
	rejected          map[string]int    // Status that promises that the request has not run.
	mayRunOnce        map[string]bool   // Requests that may run once.
	wantBodies        map[string]string // What an upstream must get.
	deliveredTokens   map[string]int64  // Tokens that reached callers, by program.
	budgets           map[string]int64
}

func newChecker() *checker {
	return &checker{rejected: map[string]int{}, mayRunOnce: map[string]bool{}, wantBodies: map[string]string{}, deliveredTokens: map[string]int64{}, budgets: map[string]int64{}}
}

func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

func (c *checker) addViolationLocked(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// begin notes a request before it is sent.
func (c *checker) recordRequest(call deployment.Call, body string, runOnce bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callCount++
	c.wantBodies[call.ID] = body
	if runOnce {
		c.mayRunOnce[call.ID] = true
	}
	if call.Program != "" {
		c.budgets[call.Program] = call.Budget
	}
}

// end checks what the caller of a request got.
func (c *checker) checkResponse(call deployment.Call, resp deployment.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch resp.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusPaymentRequired:
		c.rejected[call.ID] = resp.Status
		if resp.Header.Get("X-Jackdawbay-Server-Stamp") != "" {
			c.addViolationLocked("%s: status %d bears the signature of an upstream", call.ID, resp.Status)
		}
	}
	if resp.Status == http.StatusOK && resp.Header.Get("X-Jackdawbay-Request-Id") != call.ID {
		c.addViolationLocked("%s: response to %s", call.ID, resp.Header.Get("X-Jackdawbay-Request-Id"))
	}
	if call.Program != "" {
		c.checkStream(call, resp)
		return
	}
	if resp.Status == http.StatusOK && resp.Err == nil {
		c.completeResponses++
		if resp.Body != backend.ResponseBody(call.ID) {
			c.addViolationLocked("%s: success with another body: %.60q", call.ID, resp.Body)
		}
	}
}

// stream checks the order of events, the end of a stream, and the tokens of its program.
func (c *checker) checkStream(call deployment.Call, resp deployment.Response) {
	if resp.Status != http.StatusOK {
		return
	}
	got := resp.EventData()
	for i, data := range got {
		want := fmt.Sprintf("%s-%d", call.ID, i+1)
		if data != want && !(i == len(got)-1 && resp.Err != nil && strings.HasPrefix(want, data)) {
			c.addViolationLocked("%s: event %d is %q", call.ID, i+1, data)
			return
		}
	}
	if resp.Err == nil && len(got) != eventsPerStream {
		c.addViolationLocked("%s: stream looks complete with %d of %d events", call.ID, len(got), eventsPerStream)
	}
	if resp.Err == nil {
		c.completeResponses++
	}
	c.deliveredTokens[call.Program] += int64(len(got)) * deployment.TokensPerEvent
	if c.deliveredTokens[call.Program] > c.budgets[call.Program]+turnTokens {
		c.addViolationLocked("program %s: %d tokens reached its caller with a budget of %d", call.Program, c.deliveredTokens[call.Program], c.budgets[call.Program])
	}
}

// compare checks the runs of upstreams.
func (c *checker) checkUpstreamRuns(runs map[string][]backend.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, list := range runs {
		body, sent := c.wantBodies[id]
		if !sent {
			continue // A probe of the deployment.
		}
		if c.mayRunOnce[id] && len(list) > 1 {
			c.addViolationLocked("%s: ran %d times and may run once", id, len(list))
		}
		if status, rejected := c.rejected[id]; rejected && c.mayRunOnce[id] {
			c.addViolationLocked("%s: was answered %d and ran", id, status)
		}
		for _, r := range list {
			if r.Body != body {
				c.addViolationLocked("%s: an upstream got %d bytes that are not the history and the input (%d bytes)", id, len(r.Body), len(body))
				break
			}
		}
	}
}
