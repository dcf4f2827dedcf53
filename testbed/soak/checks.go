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
	return t.previous.history() + t.input + backend.StreamText(t.id, events)
}

// maxViolations bounds a report.
const maxViolations = 20

// checks collects what callers were told.
type checks struct {
	mu         sync.Mutex
	violations []string
	calls      int
	complete   int
	turns      []*turn
	refused    map[string]int    // Status that promises that the request has not run.
	once       map[string]bool   // Requests that may run once.
	bodies     map[string]string // What an upstream must get.
	spent      map[string]int64  // Tokens that reached callers, by program.
	budgets    map[string]int64
}

func newChecks() *checks {
	return &checks{refused: map[string]int{}, once: map[string]bool{}, bodies: map[string]string{}, spent: map[string]int64{}, budgets: map[string]int64{}}
}

func (c *checks) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violated(format, args...)
}

func (c *checks) violated(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// begin notes a request before it is sent.
func (c *checks) begin(call deployment.Call, body string, once bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.bodies[call.ID] = body
	if once {
		c.once[call.ID] = true
	}
	if call.Program != "" {
		c.budgets[call.Program] = call.Budget
	}
}

// end checks what the caller of a request got.
func (c *checks) end(call deployment.Call, a deployment.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusPaymentRequired:
		c.refused[call.ID] = a.Status
		if a.Header.Get("X-Jackdawbay-Server-Stamp") != "" {
			c.violated("%s: status %d bears the signature of an upstream", call.ID, a.Status)
		}
	}
	if a.Status == http.StatusOK && a.Header.Get("X-Jackdawbay-Request-Id") != call.ID {
		c.violated("%s: response to %s", call.ID, a.Header.Get("X-Jackdawbay-Request-Id"))
	}
	if call.Program != "" {
		c.stream(call, a)
		return
	}
	if a.Status == http.StatusOK && a.Err == nil {
		c.complete++
		if a.Body != backend.ResponseBody(call.ID) {
			c.violated("%s: success with another body: %.60q", call.ID, a.Body)
		}
	}
}

// stream checks the order of events, the end of a stream, and the tokens of its program.
func (c *checks) stream(call deployment.Call, a deployment.Response) {
	if a.Status != http.StatusOK {
		return
	}
	got := a.EventData()
	for i, data := range got {
		want := fmt.Sprintf("%s-%d", call.ID, i+1)
		if data != want && !(i == len(got)-1 && a.Err != nil && strings.HasPrefix(want, data)) {
			c.violated("%s: event %d is %q", call.ID, i+1, data)
			return
		}
	}
	if a.Err == nil && len(got) != events {
		c.violated("%s: stream looks complete with %d of %d events", call.ID, len(got), events)
	}
	if a.Err == nil {
		c.complete++
	}
	c.spent[call.Program] += int64(len(got)) * deployment.TokensPerEvent
	if c.spent[call.Program] > c.budgets[call.Program]+most {
		c.violated("program %s: %d tokens reached its caller with a budget of %d", call.Program, c.spent[call.Program], c.budgets[call.Program])
	}
}

// compare checks the runs of upstreams.
func (c *checks) compare(runs map[string][]backend.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, list := range runs {
		body, sent := c.bodies[id]
		if !sent {
			continue // A probe of the deployment.
		}
		if c.once[id] && len(list) > 1 {
			c.violated("%s: ran %d times and may run once", id, len(list))
		}
		if status, refused := c.refused[id]; refused && c.once[id] {
			c.violated("%s: was answered %d and ran", id, status)
		}
		for _, r := range list {
			if r.Body != body {
				c.violated("%s: an upstream got %d bytes that are not the history and the input (%d bytes)", id, len(r.Body), len(body))
				break
			}
		}
	}
}
