package deployment

import (
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/testbed/relay"
	"jackdawbay.dev/testbed/standin/backend"
	"jackdawbay.dev/testbed/standin/objectstore"
)

const turnTokens = 4 * TokensPerEvent // Tokens of a complete turn with the default options.

func newTurnCall(program, previous, body string) Call {
	return Call{Path: PathRetained, ID: NewID(), Program: program, Budget: 1 << 20, MaxTokens: turnTokens, PreviousTurn: previous, Body: body}
}

// sendWithRetries sends a turn until the response is complete and not 503. It returns the last attempt and its response. Like a
// caller, it uses a new identifier for each attempt, and waits for the Retry-After of the previous response, or for
// brokenResponseDelay after a truncated one. Retries are needed because all replicas of a test share one disk, whose sync may
// take longer than the time limit for a batch or for storing a turn.
func (d *Deployment) sendWithRetries(t *testing.T, vm *VM, c Call) (Call, Response) {
	t.Helper()
	for deadline := time.Now().Add(15 * time.Second); ; c.ID = NewID() {
		resp := Send(vm, c)
		if resp.Err == nil && resp.Status != http.StatusServiceUnavailable {
			return c, resp
		}
		must.True(t, time.Now().Before(deadline), must.Sprint(resp.Err, resp.Body))
		if resp.Err != nil {
			time.Sleep(brokenResponseDelay)
			continue
		}
		must.EqOp(t, 0, d.countRuns(c.ID))
		time.Sleep(retryAfter(t, resp))
	}
}

// mustServe is like sendWithRetries, but fails the test unless the turn is served.
func (d *Deployment) mustServe(t *testing.T, vm *VM, c Call) Call {
	t.Helper()
	c, resp := d.sendWithRetries(t, vm, c)
	must.EqOp(t, http.StatusOK, resp.Status, must.Sprint(resp.Body))
	return c
}

// brokenResponseDelay is the minimum time after which callers retry a turn whose response was truncated.
const brokenResponseDelay = 100 * time.Millisecond

// retryAfter returns the delay in the Retry-After header of a rejection.
func retryAfter(t *testing.T, resp Response) time.Duration {
	t.Helper()
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	must.NoError(t, err)
	return time.Duration(seconds * float64(time.Second))
}

// sendChain sends n turns, each of which continues the previous one, and returns their calls. It uses the gateways in rotation.
func (d *Deployment) sendChain(t *testing.T, program, previous string, n int) []Call {
	t.Helper()
	var calls []Call
	for i := range n {
		c := d.mustServe(t, d.Gateways[i%len(d.Gateways)], newTurnCall(program, previous, "input-"+NewID()+";"))
		calls = append(calls, c)
		previous = c.ID
	}
	return calls
}

// expectedHistory returns the request body that an engine must receive for the last of a chain of turns.
func expectedHistory(calls []Call, events int) string {
	var b strings.Builder
	for i, c := range calls {
		b.WriteString(c.Body)
		if i < len(calls)-1 {
			b.WriteString(backend.StreamText(c.ID, events))
		}
	}
	return b.String()
}

func (d *Deployment) receivedBody(id string) string {
	for _, u := range d.Engines {
		for _, r := range u.Runs() {
			if r.ID == id {
				return r.Body
			}
		}
	}
	return ""
}

// Guards against a history that is lost, mixed up or out of order, through any gateway and after a crash of all processes.
func TestHistorySurvivesRestart(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	program := NewID()
	calls := d.sendChain(t, program, "", 5)
	test.EqOp(t, expectedHistory(calls, 4), d.receivedBody(calls[4].ID))

	d.killAndRestartAll(t)
	continued := d.sendChain(t, program, calls[4].ID, 2)
	calls = append(calls, continued...)
	test.EqOp(t, expectedHistory(calls, 4), d.receivedBody(continued[1].ID))
}

// Guards against a 404 for a turn that may exist, and against any other status for a turn that does not exist.
func TestUnknownTurnIs404AndMissingQuorumIs503(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	calls := d.sendChain(t, NewID(), "", 2)
	_, resp := d.sendWithRetries(t, d.Gateways[0], newTurnCall(NewID(), NewID(), "x"))
	test.EqOp(t, http.StatusNotFound, resp.Status)
	d.KillVM(d.Replicas[0])
	_, resp = d.sendWithRetries(t, d.Gateways[1], newTurnCall(NewID(), NewID(), "x"))
	test.EqOp(t, http.StatusNotFound, resp.Status, test.Sprint("the other replicas are a quorum"))
	d.mustServe(t, d.Gateways[1], newTurnCall(NewID(), calls[1].ID, "x"))
	d.KillVM(d.Replicas[1])
	c := newTurnCall(NewID(), NewID(), "x")
	resp = Send(d.Gateways[1], c)
	test.EqOp(t, http.StatusServiceUnavailable, resp.Status)
	test.EqOp(t, 0, d.countRuns(c.ID))
}

// Guards against the loss of turns when a disk is lost, and against counting a VM with an empty disk as proof that a turn does
// not exist.
func TestWipedDisks(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	program := NewID()
	calls := d.sendChain(t, program, "", 4)
	for round := range 3 {
		vm := d.Replicas[round]
		d.KillVM(vm)
		must.NoError(t, d.WipeDisk(vm))
		must.NoError(t, d.StartVM(vm))
		eventually(t, "the view has settled with the new disk", 10*time.Second, func() bool {
			disk, err := os.ReadFile(filepath.Join(vm.DataDir, "identity"))
			o, _ := d.Store.Get("jackdawbay-views", "main")
			return err == nil && strings.Count(string(o.Spec), `"disk"`) == 3 && strings.Contains(string(o.Spec), string(disk))
		})
		for _, g := range d.Gateways {
			d.KillVM(g)
			must.NoError(t, d.StartVM(g))
		}
		must.NoError(t, d.WaitUntilServing(15*time.Second))
		continued := d.sendChain(t, program, calls[len(calls)-1].ID, 1)
		calls = append(calls, continued...)
		test.EqOp(t, expectedHistory(calls, 4), d.receivedBody(continued[0].ID))
	}
}

// Guards against a VM that is reported as evacuated while it still stores the only copies, and against one that is never
// reported as evacuated.
func TestRetiredVMIsEvacuated(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	program := NewID()
	calls := d.sendChain(t, program, "", 3)
	added, err := d.AddVM("replica")
	must.NoError(t, err)
	retired := d.Replicas[0]
	d.Store.Put("retirements", retired.Name, map[string]any{"durationS": 8})
	eventually(t, "the VM is reported as evacuated", 8*time.Second, func() bool {
		o, _ := d.Store.Get("retirements", retired.Name)
		return strings.Contains(string(o.Status), "done")
	})
	d.KillVM(retired)
	must.NoError(t, d.WipeDisk(retired))
	d.KillVM(d.Replicas[1])
	calls = append(calls, d.sendChain(t, program, calls[2].ID, 1)...)
	test.EqOp(t, expectedHistory(calls, 4), d.receivedBody(calls[3].ID), test.Sprintf("the added replica %s has the turns", added.Name))
}

// Guards against a budget that is exceeded through several gateways at once or after restarts, and against a rejection while the
// budget still covers a turn.
func TestBudgetHoldsAcrossGatewaysAndRestarts(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	program := NewID()
	const turns = 6
	rejected := 0
	// attempt retries a turn like a caller: with a new identifier after each 503, once its Retry-After has passed. It retries
	// after a 402 only if the charge of a rejected attempt may not be settled yet.
	attempt := func(vm *VM, want int) {
		t.Helper()
		deadline := time.Now().Add(15 * time.Second)
		for {
			c := Call{Path: PathResumable, ID: NewID(), Program: program, Budget: turns * turnTokens, MaxTokens: turnTokens}
			resp := Send(vm, c)
			must.NoError(t, resp.Err)
			if resp.Status == want && want == http.StatusOK {
				return
			}
			must.EqOp(t, 0, d.countRuns(c.ID), must.Sprintf("status %d: %s", resp.Status, resp.Body))
			if resp.Status == want {
				return
			}
			unsettled := resp.Status == http.StatusPaymentRequired && rejected > 0
			must.True(t, (resp.Status == http.StatusServiceUnavailable || unsettled) && time.Now().Before(deadline),
				must.Sprintf("status %d, want %d, after %d rejections: %s", resp.Status, want, rejected, resp.Body))
			pause := 100 * time.Millisecond
			if resp.Status == http.StatusServiceUnavailable {
				rejected++
				pause = retryAfter(t, resp)
			}
			time.Sleep(pause)
		}
	}
	for i := range turns {
		attempt(d.Gateways[i%2], http.StatusOK)
		time.Sleep(50 * time.Millisecond)
	}
	for i := range 4 {
		attempt(d.Gateways[i%2], http.StatusPaymentRequired)
	}
	d.killAndRestartAll(t)
	attempt(d.Gateways[0], http.StatusPaymentRequired)
}

// sendWithFixedRetries sends a call and returns the last status. Like a caller, it retries the call while the response is 503,
// here up to 3 times. Retries are needed because a sync of a busy machine's disk can take longer than a gateway waits for a
// replica.
func sendWithFixedRetries(vm *VM, call Call) int {
	status := Send(vm, call).Status
	for tries := 0; status == http.StatusServiceUnavailable && tries < 3; tries++ {
		time.Sleep(500 * time.Millisecond)
		status = Send(vm, call).Status
	}
	return status
}

// Guards against a budget that is charged the upper bound for turns that produced fewer tokens or did not run.
func TestBudgetChargesDeliveredTokens(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	program := NewID()
	call := func() Call {
		return Call{Path: PathResumable, ID: NewID(), Program: program, Budget: 10 * turnTokens, MaxTokens: 5 * turnTokens}
	}
	d.setFaultOnAll(backend.Reject)
	for range 5 {
		must.EqOp(t, http.StatusServiceUnavailable, Send(d.Gateways[0], call()).Status)
	}
	d.setFaultOnAll(backend.NoFault)
	time.Sleep(500 * time.Millisecond)
	for i := range 6 {
		must.EqOp(t, http.StatusOK, sendWithFixedRetries(d.Gateways[i%2], call()), must.Sprintf("turn %d", i))
		time.Sleep(200 * time.Millisecond)
	}
	test.EqOp(t, http.StatusPaymentRequired, sendWithFixedRetries(d.Gateways[0], call()), test.Sprint("after six turns, less than the upper bound of one turn remains"))
}

// Guards against concurrent turns of one program that exceed its budget together.
func TestBudgetHoldsForConcurrentTurns(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	program := NewID()
	const budget, callers = 5 * turnTokens, 24
	responses := make(chan Response, callers)
	for i := range callers {
		go func() {
			responses <- Send(d.Gateways[i%2], Call{Path: PathResumable, ID: NewID(), Program: program, Budget: budget, MaxTokens: turnTokens})
		}()
	}
	delivered := 0
	for range callers {
		resp := <-responses
		delivered += len(resp.EventData()) * TokensPerEvent
	}
	test.LessEq(t, budget+turnTokens, delivered)
}

// Guards against requests that fail during a store outage although they do not need the store, and against a configuration
// change that is missed or reverted after the outage.
func TestStoreOutage(t *testing.T) {
	for _, o := range []objectstore.Outage{objectstore.Unavailable, objectstore.TooManyRequests, objectstore.Disconnect, objectstore.Unresponsive} {
		t.Run(string(o), func(t *testing.T) {
			d := startDeployment(t, defaultOptions())
			program := NewID()
			calls := d.sendChain(t, program, "", 1)
			d.Store.SetOutage(o, nil)
			time.Sleep(1500 * time.Millisecond)
			calls = append(calls, d.sendChain(t, program, calls[0].ID, 3)...)
			test.EqOp(t, expectedHistory(calls, 4), d.receivedBody(calls[3].ID))
			test.EqOp(t, http.StatusOK, Send(d.Gateways[0], Call{Path: PathOrder, ID: NewID()}).Status)
			for _, g := range d.Gateways {
				test.True(t, d.IsReady(g), test.Sprint("readiness does not depend on the store"))
			}
			d.Store.SetOutage(objectstore.NoOutage, nil)
			d.Configure(func(routes []map[string]any) []map[string]any {
				routes[2]["pathPrefix"] = "/moved/"
				return routes
			})
			eventually(t, "the configuration is in force", 2500*time.Millisecond, func() bool {
				return Send(d.Gateways[1], Call{Path: "/moved/", ID: NewID(), Method: http.MethodGet}).Status == http.StatusOK &&
					Send(d.Gateways[1], Call{Path: PathLookup, ID: NewID(), Method: http.MethodGet}).Status == http.StatusNotFound
			})
		})
	}
}

// Guards against a missed configuration change when the store has dropped its history, and against an older version that
// replaces a newer one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	old, _ := d.Store.Get("config", "main")
	d.Configure(func(routes []map[string]any) []map[string]any {
		routes[2]["pathPrefix"] = "/moved/"
		return routes
	})
	d.Store.DropHistory()
	servesNewPath := func() bool {
		return Send(d.Gateways[0], Call{Path: "/moved/", ID: NewID(), Method: http.MethodGet}).Status == http.StatusOK
	}
	eventually(t, "the configuration is in force", 2500*time.Millisecond, servesNewPath)
	d.Store.PutRaw("config", "main", old.Spec)
	time.Sleep(1500 * time.Millisecond)
	test.True(t, servesNewPath(), test.Sprint("the older version is ignored"))
	d.Store.PutRaw("config", "main", []byte(`"unreadable"`))
	time.Sleep(500 * time.Millisecond)
	test.True(t, servesNewPath(), test.Sprint("an unreadable version is ignored"))
}

// Guards against responses other than 503 while a gateway has no configuration.
func TestGatewayWithoutConfigurationReturns503(t *testing.T) {
	o := defaultOptions()
	o.Gateways = 1
	d := startDeployment(t, o)
	d.Store.SetOutage(objectstore.Unavailable, nil)
	g := d.Gateways[0]
	d.KillVM(g)
	must.NoError(t, d.StartVM(g))
	eventually(t, "the gateway listens", 5*time.Second, func() bool {
		return Send(g, Call{Path: PathOrder, ID: NewID()}).Status == http.StatusServiceUnavailable
	})
	test.False(t, d.IsReady(g))
	test.EqOp(t, http.StatusServiceUnavailable, Send(g, Call{Path: "/nowhere/", ID: NewID()}).Status)
	d.Store.SetOutage(objectstore.NoOutage, nil)
	must.NoError(t, d.WaitUntilServing(5*time.Second))
}

// Guards against upstreams that are removed because their entries expired during a store outage.
func TestExpiredEntriesAreRetainedAfterStoreOutage(t *testing.T) {
	d := startDeployment(t, defaultOptions())
	d.Store.SetOutage(objectstore.Unavailable, nil)
	for _, s := range d.Services {
		d.Store.Remove("servers", s.ID)
	}
	time.Sleep(1500 * time.Millisecond)
	d.Store.SetOutage(objectstore.NoOutage, nil)
	deadline := time.Now().Add(1200 * time.Millisecond)
	for time.Now().Before(deadline) {
		test.EqOp(t, http.StatusOK, Send(d.Gateways[0], Call{Path: PathOrder, ID: NewID()}).Status)
	}
	d.RegisterUpstream(PlainService, d.Services[0], "zone-a", "ready")
	time.Sleep(2500 * time.Millisecond)
	before := len(d.Services[1].Runs())
	for range 6 {
		test.EqOp(t, http.StatusOK, Send(d.Gateways[0], Call{Path: PathOrder, ID: NewID()}).Status)
	}
	test.EqOp(t, before, len(d.Services[1].Runs()), test.Sprint("an upstream that has not registered again is removed"))
}

// Guards against turns that wait for replicas that the gateway cannot reach, instead of being rejected so that they can go to
// another gateway. Also guards against a gateway that is not ready again after the replicas are reachable.
func TestGatewayWithoutReplicasRejectsImmediately(t *testing.T) {
	o := defaultOptions()
	o.UseRelays = true
	d := startDeployment(t, o)
	setReplicaRules := func(rules []relay.Rule) {
		for _, r := range d.Replicas[:2] {
			must.NoError(t, r.ReplicaRelay.SetRules(rules))
		}
	}
	setReplicaRules([]relay.Rule{{Mode: relay.Blackhole}})
	Send(d.Gateways[0], newTurnCall(NewID(), "", "notices the cut"))
	rejected := 0
	for range 10 {
		c := newTurnCall(NewID(), "", "x")
		resp := Send(d.Gateways[0], c)
		if resp.Status == http.StatusServiceUnavailable && resp.Elapsed < 100*time.Millisecond {
			rejected++
			test.True(t, resp.Close)
		}
		test.EqOp(t, 0, d.countRuns(c.ID))
	}
	test.GreaterEq(t, 9, rejected)
	test.EqOp(t, http.StatusOK, Send(d.Gateways[0], Call{Path: PathOrder, ID: NewID()}).Status, test.Sprint("calls to plain services need no replica"))
	eventually(t, "the gateway is not ready", 4*time.Second, func() bool { return !d.IsReady(d.Gateways[0]) })
	setReplicaRules(nil)
	eventually(t, "the gateway is ready", 2*time.Second, func() bool { return d.IsReady(d.Gateways[0]) })
	d.mustServe(t, d.Gateways[0], newTurnCall(NewID(), "", "x"))
}
