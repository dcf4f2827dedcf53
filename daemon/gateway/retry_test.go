package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/route"
)

// Load: all upstreams fail all requests. Guards against retries that multiply the load on them, and against a limit in a
// deployment that does not ask for it.
func TestRetryBudgetInOutage(t *testing.T) {
	const requests = 100
	for name, c := range map[string]struct {
		managed           bool
		minSends, maxSend int64
	}{
		"managed":     {true, requests + 15, requests + requests/5 + 5},
		"not managed": {false, 2 * requests, maxSends * requests},
	} {
		t.Run(name, func(t *testing.T) {
			var sends atomic.Int64
			fail := func(_ int, _ bool, r *http.Request) (string, bool) {
				sends.Add(1)
				return "HTTP/1.1 500 Failed\r\nStamp: x\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n", false
			}
			g := newFaultGateway(startScriptedUpstream(t, fail), startScriptedUpstream(t, fail), startScriptedUpstream(t, fail))
			g.cfg.ManageOverload = c.managed
			for i := range requests {
				w, _, aborted := dispatchRequest(t, g, &route.Route{Kind: route.Idempotent, MaxUpstreams: 3}, fmt.Sprint("r", i))
				must.False(t, aborted)
				must.EqOp(t, http.StatusInternalServerError, w.Code, must.Sprint("the response of the upstream reaches the caller"))
			}
			test.Between(t, c.minSends, sends.Load(), c.maxSend)
			var exposition bytes.Buffer
			g.cfg.Metrics.WritePrometheus(&exposition)
			test.EqOp(t, c.managed, strings.Contains(exposition.String(), `jackdawbay_upstream_retries_total{result="made"}`))
		})
	}
}

// Load: one upstream that is full while another has free slots. Guards against a rejected request that finds no upstream because
// the budget is used up.
func TestFirstRejectionNeedsNoBudget(t *testing.T) {
	full := startScriptedUpstream(t, func(_ int, _ bool, r *http.Request) (string, bool) {
		return "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n", false
	})
	free := startScriptedUpstream(t, func(_ int, _ bool, r *http.Request) (string, bool) {
		return "HTTP/1.1 200 OK\r\nStamp: x\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 2\r\n\r\nok", false
	})
	g := newFaultGateway(full, free)
	g.cfg.ManageOverload = true
	for !g.retries.isExhausted() {
		g.retries.take()
	}
	for i := range 20 {
		w, _, _ := dispatchRequest(t, g, &route.Route{Kind: route.NonIdempotent}, fmt.Sprint("r", i))
		test.EqOp(t, http.StatusOK, w.Code)
	}
}
