package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"jackdawbay.dev/testbed/deployment"
	"jackdawbay.dev/testbed/standin/backend"
)

// turn is an acknowledged turn, whose complete response its caller has received.
type turn struct {
	id, program, input string
	previous           *turn
}

// history returns what an engine must receive before the input of a turn that continues this one.
func (t *turn) history() string {
	if t == nil {
		return ""
	}
	return t.previous.history() + t.input + backend.StreamText(t.id, eventsPerStream)
}

// maxViolations is the maximum number of violations in a report.
const maxViolations = 20

// checker records the requests and responses of callers and checks them. Its maps are keyed by request ID unless noted otherwise.
type checker struct {
	mu                sync.Mutex
	violations        []string
	callCount         int
	completeResponses int
	acknowledged      []*turn
	rejected          map[string]int    // Status of the response, for requests that were reported as not run.
	atMostOnce        map[string]bool   // Requests that may run at most once.
	wantBodies        map[string]string // Request bodies that an upstream must receive.
	deliveredTokens   map[string]int64  // Tokens that callers have received, by program.
	budgets           map[string]int64  // Budgets in tokens, by program.
}

func newChecker() *checker {
	return &checker{rejected: map[string]int{}, atMostOnce: map[string]bool{}, wantBodies: map[string]string{}, deliveredTokens: map[string]int64{}, budgets: map[string]int64{}}
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

// recordRequest records a request before it is sent.
func (c *checker) recordRequest(call deployment.Call, body string, atMostOnce bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callCount++
	c.wantBodies[call.ID] = body
	if atMostOnce {
		c.atMostOnce[call.ID] = true
	}
	if call.Program != "" {
		c.budgets[call.Program] = call.Budget
	}
}

// checkResponse checks the response to a request.
func (c *checker) checkResponse(call deployment.Call, resp deployment.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch resp.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusPaymentRequired:
		c.rejected[call.ID] = resp.Status
		if resp.Header.Get("X-Jackdawbay-Server-Stamp") != "" {
			c.addViolationLocked("%s: status %d has the signature of an upstream", call.ID, resp.Status)
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
			c.addViolationLocked("%s: success with a wrong body: %.60q", call.ID, resp.Body)
		}
	}
}

// checkStream checks the order of events, the end of the stream and the tokens of its program.
func (c *checker) checkStream(call deployment.Call, resp deployment.Response) {
	if resp.Status != http.StatusOK {
		return
	}
	events := resp.EventData()
	for i, data := range events {
		want := fmt.Sprintf("%s-%d", call.ID, i+1)
		if data != want && !(i == len(events)-1 && resp.Err != nil && strings.HasPrefix(want, data)) {
			c.addViolationLocked("%s: event %d is %q", call.ID, i+1, data)
			return
		}
	}
	if resp.Err == nil && len(events) != eventsPerStream {
		c.addViolationLocked("%s: stream looks complete with %d of %d events", call.ID, len(events), eventsPerStream)
	}
	if resp.Err == nil {
		c.completeResponses++
	}
	c.deliveredTokens[call.Program] += int64(len(events)) * deployment.TokensPerEvent
	if c.deliveredTokens[call.Program] > c.budgets[call.Program]+turnTokens {
		c.addViolationLocked("program %s: its caller received %d tokens with a budget of %d", call.Program, c.deliveredTokens[call.Program], c.budgets[call.Program])
	}
}

// checkUpstreamRuns compares the runs of each request with the responses that callers received.
func (c *checker) checkUpstreamRuns(runs map[string][]backend.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, requestRuns := range runs {
		body, sent := c.wantBodies[id]
		if !sent {
			continue // A probe sent by the deployment.
		}
		if c.atMostOnce[id] && len(requestRuns) > 1 {
			c.addViolationLocked("%s: ran %d times but may run only once", id, len(requestRuns))
		}
		if status, rejected := c.rejected[id]; rejected && c.atMostOnce[id] {
			c.addViolationLocked("%s: rejected with status %d but ran", id, status)
		}
		for _, r := range requestRuns {
			if r.Body != body {
				c.addViolationLocked("%s: an upstream received %d bytes that are not the history and the input (%d bytes)", id, len(r.Body), len(body))
				break
			}
		}
	}
}
