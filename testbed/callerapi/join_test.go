package callerapi

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/testbed/standin/control"
)

// Guards against a caller that gets the response to another request body. While a call is in flight, a request with the
// same call key and another body must be rejected. It must not be joined to the call in flight.
func TestRunningCallRejectsOtherBody(t *testing.T) {
	in := startInstallation(t)
	p := prepareProgram(t, in)
	in.engine.Faults().Set(control.Faults{LatencyMillis: 1500})
	post := func(content, key string) response {
		body := p.callBody(func(c map[string]any) {
			c["call_key"] = key
			c["model"] = map[string]any{"messages": []any{map[string]any{"role": "user", "content": content}}, "max_tokens": 8}
		})
		return in.send(t, request{method: http.MethodPost, path: "/v1/programs/" + p.ID + "/calls", authorization: "Bearer " + tenantKey, body: body})
	}
	first := make(chan response, 1)
	go func() { first <- post("first body", "shared-key") }()
	waitUntilSlotGranted(t, in)
	second := post("second body", "shared-key")
	must.Eq(t, http.StatusConflict, second.status, must.Sprint(string(second.body)))
	must.Eq(t, errkind.CallInProgress, errorKind(second))
	must.Eq(t, http.StatusOK, (<-first).status)
	must.Eq(t, errkind.CallKeyReused, errorKind(post("second body", "shared-key")))
}

// waitUntilSlotGranted waits until the dispatcher has granted a slot, so that the call is in flight.
func waitUntilSlotGranted(t *testing.T, in *installation) {
	t.Helper()
	for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
		got := in.send(t, request{method: http.MethodGet, path: in.ops + "/metrics"})
		if strings.Contains(string(got.body), `jackdawbay_slots_granted{group="`+group+`"} 1`) {
			return
		}
	}
	t.Fatal("no slot was granted")
}

func errorKind(r response) errkind.Kind {
	var body errkind.Body
	if json.Unmarshal(r.body, &body) != nil {
		return ""
	}
	return body.Error.Code
}
