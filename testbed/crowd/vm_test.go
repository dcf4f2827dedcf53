package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/testbed/deployment"
	"jackdawbay.dev/testbed/fleet"
	"jackdawbay.dev/testbed/standin/backend"
)

// vmSize has the limits of a VM and the number of clients of a crowd on it.
type vmSize struct{ memoryMB, maxFDs, clients int }

// Sizes of the smallest VMs of the users' deployments: the one with the least memory for each descriptor, half of it, and the
// smallest VM with a disk. These values and the crowds are fixed and must not be adapted to the code.
var (
	gatewayVM = vmSize{memoryMB: 112, maxFDs: 4100, clients: 2500}
	halfOfVM  = vmSize{memoryMB: 56, maxFDs: 2050, clients: 1250}
	replicaVM = vmSize{memoryMB: 144, maxFDs: 8200, clients: 5000}
)

// maxHeaderBytes is the limit of a request head in the configuration.
const maxHeaderBytes = 16 << 10

// startVM starts a deployment whose VMs have a size.
func startVM(t *testing.T, size vmSize, maxBodyBytes int64) *deployment.Deployment {
	t.Helper()
	return startDeployment(t, deployment.Options{
		Gateways: 1, Replicas: 1, Services: 1, TimeoutMS: 10_000, RetainS: 60, EventsPerStream: 2,
		MemoryMB: size.memoryMB, MaxFDs: size.maxFDs, MaxBodyBytes: maxBodyBytes, ReplicaMemoryMB: replicaVM.memoryMB, ReplicaMaxFDs: replicaVM.maxFDs,
	})
}

// request is what each client of a crowd sends: a head and a body that are never complete.
type request struct {
	headBytes  int  // Size of the head. Without a body, the end of the head is missing.
	shortLines bool // The head is filled up with many short headers, in place of a long one.
	body       Body
}

// gatewayRequests have sizes from the smallest to the largest that the configuration allows.
func gatewayRequests(maxBodyBytes int64) map[string]request {
	requests := map[string]request{}
	for _, n := range []int{1, 1 << 10, 4 << 10, 8 << 10, maxHeaderBytes - 64} {
		requests[fmt.Sprintf("head of %d bytes", n)] = request{headBytes: n}
	}
	sizes := []int64{2, 1 << 10, 4 << 10, 16 << 10, 32 << 10, 64 << 10, 96 << 10, 256 << 10, 1 << 20}
	if maxBodyBytes > 1<<20 {
		sizes = append(sizes, maxBodyBytes)
	}
	for _, n := range sizes {
		requests[fmt.Sprintf("body of %d bytes", n)] = request{body: Body{Bytes: n, PieceBytes: int(min(n, 16<<10)), StopShort: true}}
	}
	for _, n := range []int64{4 << 10, 64 << 10, 1 << 20} {
		requests[fmt.Sprintf("chunks of %d bytes", n)] = request{body: Body{Bytes: n, PieceBytes: int(min(n, 16<<10)), StopShort: true, Chunked: true}}
	}
	body := Body{Bytes: 4 << 10, PieceBytes: 4 << 10, StopShort: true}
	requests["largest head and body of 4096 bytes"] = request{headBytes: maxHeaderBytes - 128, body: body}
	requests["largest head of short headers"] = request{headBytes: maxHeaderBytes - 128, shortLines: true}
	requests["largest head of short headers and body of 4096 bytes"] = request{headBytes: maxHeaderBytes - 128, shortLines: true, body: body}
	requests["head of short headers over the limit"] = request{headBytes: 60_000, shortLines: true}
	return requests
}

// text returns the head of a request for an address, with a header that fills it up.
func (r request) text(start string) string {
	if r.headBytes < len(start) && r.headBytes > 0 {
		return start[:r.headBytes]
	}
	return start + r.filler(len(start))
}

// filler returns the headers that fill up a head whose start has a size.
func (r request) filler(startBytes int) string {
	if r.shortLines {
		var b strings.Builder
		for i := 0; startBytes+b.Len() < r.headBytes-8; i++ {
			fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(i), 36))
		}
		return b.String()
	}
	const header = "X-Filler: \r\n"
	if n := r.headBytes - startBytes - len(header); n > 0 {
		return "X-Filler: " + strings.Repeat("x", n) + "\r\n"
	}
	return ""
}

// texts returns a function that returns the heads of a crowd. Starts of the same size share their filler: building one of short headers
// for each client took most of the time of the package.
func (r request) texts(start func() string) func() string {
	startBytes, filler := -1, ""
	return func() string {
		s := start()
		if r.headBytes < len(s) {
			return r.text(s)
		}
		if len(s) != startBytes {
			startBytes, filler = len(s), r.filler(len(s))
		}
		return s + filler
	}
}

// connect connects the clients of a crowd. A process may refuse them.
func (r request) connect(crowd *Crowd, clients int, address string, start func() string) (refused int) {
	head := r.texts(start)
	for range clients {
		var body *Body
		if r.body.Bytes > 0 {
			b := r.body
			body = &b
		}
		if crowd.Connect(address, head(), body) != nil {
			refused++
		}
	}
	return refused
}

// run connects a crowd, waits until it has sent everything and until its clients count as stopped, and calls checkService while
// they are connected.
func (r request) run(t *testing.T, clients int, address string, start func() string, checkService func()) {
	t.Helper()
	var crowd Crowd
	defer crowd.Close()
	refused := r.connect(&crowd, clients, address, start)
	sent := crowd.WaitUntilSent(maxSendTime)
	time.Sleep(1500 * time.Millisecond)
	checkService()
	t.Logf("%d clients: %d were not connected, %d have sent everything or were disconnected; responses by status: %v", clients, refused, sent,
		crowd.Statuses())
}

// testGatewayCrowds runs each crowd against a gateway of its own.
func testGatewayCrowds(t *testing.T, size vmSize, maxBodyBytes int64) {
	for name, r := range gatewayRequests(maxBodyBytes) {
		t.Run(name, func(t *testing.T) {
			d := startVM(t, size, maxBodyBytes)
			serveOrdinaryRequest(t, d)
			m := startMeter(d.Gateways[0].Process, size)
			r.run(t, size.clients, d.Gateways[0].FrontAddress, requestHead, func() { serveOrdinaryRequest(t, d) })
			serveOrdinaryRequest(t, d)
			m.check(t)
		})
	}
}

// Guards against a process whose memory is bounded for each client but not for as many as the VM has descriptors for.
func TestCrowdOnSmallestVM(t *testing.T) { testGatewayCrowds(t, gatewayVM, 4<<20) }

// Guards against bounds that hold for one size of VM only.
func TestCrowdOnSmallerVM(t *testing.T) { testGatewayCrowds(t, halfOfVM, 1<<20) }

// waitingTime is the deadline of the requests that wait for a response.
const waitingTime = 4 * time.Second

// Guards against memory of requests that are complete and wait for a response, and against what their clients send meanwhile. While
// their deadlines last, such requests are not of less value than another one, so the ordinary request follows them.
func TestCrowdOfWaitingRequests(t *testing.T) {
	for _, followingBytes := range []int{0, 128 << 10} {
		t.Run(strconv.Itoa(followingBytes), func(t *testing.T) {
			d := startVM(t, gatewayVM, 4<<20)
			engine, err := d.AddUpstream(deployment.EngineService, "engine-0")
			must.NoError(t, err)
			engine.SetFault(backend.Hang)
			time.Sleep(time.Second) // The gateway learns of the engine.
			m := startMeter(d.Gateways[0].Process, gatewayVM)
			var crowd Crowd
			defer crowd.Close()
			for range gatewayVM.clients {
				head := strings.Replace(requestHead(), deployment.PathOrder, deployment.PathResumable, 1)
				head = strings.Replace(head, "Deadline-Ms: 10000", fmt.Sprintf("Deadline-Ms: %d", waitingTime.Milliseconds()), 1)
				head += "Content-Length: 4096\r\n\r\n" + strings.Repeat("x", 4096+followingBytes)
				_ = crowd.Connect(d.Gateways[0].FrontAddress, head, nil) // A process may refuse a client.
			}
			crowd.WaitUntilSent(5 * time.Second) // The process need not read what follows a request.
			time.Sleep(1500 * time.Millisecond)
			test.Positive(t, len(engine.Runs()))
			t.Logf("responses by status: %v", crowd.Statuses())
			crowd.Close()
			time.Sleep(waitingTime + time.Second) // A gateway cannot notice that a caller has left behind bytes that it has not read.
			serveOrdinaryRequest(t, d)
			m.check(t)
		})
	}
}

// Guards against memory for the storing of turns that are small for each client.
func TestCrowdOfTurns(t *testing.T) {
	for _, bytes := range []int64{1 << 10, 30 << 10, 60 << 10, 256 << 10} {
		t.Run(strconv.FormatInt(bytes, 10), func(t *testing.T) {
			d := startVM(t, gatewayVM, 4<<20)
			_, err := d.AddUpstream(deployment.EngineService, "engine-0")
			must.NoError(t, err)
			time.Sleep(time.Second) // The gateway learns of the engine.
			g, r := startMeter(d.Gateways[0].Process, gatewayVM), startMeter(d.Replicas[0].Process, replicaVM)
			var crowd Crowd
			defer crowd.Close()
			for range gatewayVM.clients {
				_ = crowd.Connect(d.Gateways[0].FrontAddress, turnHead(deployment.NewID(), deployment.NewID(), ""), // A process may refuse a client.
					&Body{Bytes: bytes, PieceBytes: 16 << 10})
			}
			crowd.WaitUntilSent(maxSendTime)
			time.Sleep(3 * time.Second)
			serveOrdinaryRequest(t, d)
			t.Logf("responses by status: %v", crowd.Statuses())
			g.check(t)
			r.check(t)
		})
	}
}

// Guards against bytes of streams whose callers do not read: those that the gateway has written, and those that arrive from upstreams.
func TestCrowdOfStoppedReaders(t *testing.T) {
	d := startVM(t, gatewayVM, 4<<20)
	engine, err := d.AddUpstream(deployment.EngineService, "engine-flood")
	must.NoError(t, err)
	engine.SetFault(backend.EndlessFlood)
	time.Sleep(time.Second) // The gateway learns of the engine.
	m := startMeter(d.Gateways[0].Process, gatewayVM)
	connectWithoutReading(t, 1000, d.Gateways[0].FrontAddress, func() string {
		return strings.Replace(requestHead(), deployment.PathOrder, deployment.PathResumable, 1) + "Content-Length: 0\r\n\r\n"
	})
	time.Sleep(4 * time.Second)
	serveOrdinaryRequest(t, d)
	test.Positive(t, len(engine.Runs()))
	m.check(t)
}

// Guards against crowds at the listener for readiness checks and metrics.
func TestCrowdAtReadyListener(t *testing.T) {
	for _, r := range []request{{headBytes: 32 << 10}, {headBytes: 60_000, shortLines: true}, {headBytes: 1_000_000, shortLines: true}} {
		t.Run(strconv.Itoa(r.headBytes), func(t *testing.T) {
			d := startVM(t, gatewayVM, 4<<20)
			m := startMeter(d.Gateways[0].Process, gatewayVM)
			r.run(t, 500, d.Gateways[0].ReadyAddress, func() string { return "GET /ready HTTP/1.1\r\nHost: ready\r\n" }, func() {
				test.True(t, d.IsReady(d.Gateways[0]))
			})
			serveOrdinaryRequest(t, d)
			m.check(t)
		})
	}
}

// Guards against crowds at the listener of a replica, also at the paths of the relay and of the limits of organisations.
func TestCrowdAtReplica(t *testing.T) {
	requests := map[string]request{
		"head of 1024 bytes": {headBytes: 1 << 10}, "head of 32768 bytes": {headBytes: 32 << 10}, "head of short headers": {headBytes: 60_000, shortLines: true},
		"largest head and body of 4096 bytes": {headBytes: 32 << 10, body: Body{Bytes: 4 << 10, PieceBytes: 4 << 10, StopShort: true}},
	}
	for _, n := range []int64{2, 4 << 10, 32 << 10, 96 << 10, 1 << 20, 16 << 20} {
		requests[fmt.Sprintf("body of %d bytes", n)] = request{body: Body{Bytes: n, PieceBytes: int(min(n, 16<<10)), StopShort: true, Chunked: n == 32<<10}}
	}
	for _, path := range []string{"/replica/v1/batch", "/relay/v1/reports", "/replica/v1/quota"} {
		for name, r := range requests {
			if path != "/replica/v1/batch" && r.body.Bytes != 32<<10 {
				continue
			}
			t.Run(path+" "+name, func(t *testing.T) {
				d := startVM(t, replicaVM, 4<<20)
				address := fmt.Sprintf("%s:%d", d.Replicas[0].IP, d.Replicas[0].PortBase)
				m := startMeter(d.Replicas[0].Process, replicaVM)
				r.run(t, replicaVM.clients, address, func() string { return "POST " + path + " HTTP/1.1\r\nHost: replica\r\n" }, func() { checkProbe(t, address) })
				checkProbe(t, address)
				m.check(t)
			})
		}
	}
}

func checkProbe(t *testing.T, address string) {
	t.Helper()
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + "/replica/v1/probe")
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	test.EqOp(t, http.StatusNoContent, resp.StatusCode)
}

// Guards against open streams of a relay, at the descriptors of the VM.
func TestCrowdOfWatches(t *testing.T) {
	d := startVM(t, replicaVM, 4<<20)
	d.Configure(func(routes []map[string]any) []map[string]any {
		for i := range 1000 { // 300 KB, as the largest lists of the deployments.
			further := maps.Clone(routes[0])
			further["name"], further["pathPrefix"] = fmt.Sprintf("further-%d", i), fmt.Sprintf("/further-%d/", i)
			routes = append(routes, further)
		}
		return routes
	})
	m := startMeter(d.Replicas[0].Process, replicaVM)
	address := fmt.Sprintf("%s:%d", d.Replicas[0].IP, d.Replicas[0].PortBase)
	connectWithoutReading(t, replicaVM.clients, address, func() string { return "GET /relay/v1/stream HTTP/1.1\r\nHost: relay\r\n\r\n" })
	time.Sleep(2 * time.Second)
	checkProbe(t, address)
	serveOrdinaryRequest(t, d)
	m.check(t)
}

// Guards against crowds at the listeners of the serve role.
func TestCrowdAtServeRole(t *testing.T) {
	requests := map[string]request{
		"head of 1024 bytes": {headBytes: 1 << 10}, "head of 32768 bytes": {headBytes: 32 << 10}, "head of short headers": {headBytes: 60_000, shortLines: true},
	}
	for _, n := range []int64{2, 4 << 10, 32 << 10, 96 << 10, 1 << 20, 4 << 20} {
		requests[fmt.Sprintf("body of %d bytes", n)] = request{body: Body{Bytes: n, PieceBytes: int(min(n, 16<<10)), StopShort: true, Chunked: n == 32<<10}}
	}
	for _, listener := range []string{"address", "peer", "ops"} {
		for name, r := range requests {
			if listener == "ops" && r.body.Bytes > 0 {
				continue // Nothing there reads a body.
			}
			t.Run(listener+" "+name, func(t *testing.T) {
				f := startServe(t)
				daemon := f.Daemons[0]
				createProgram(t, f)
				m := startMeter(daemon.Process, gatewayVM)
				start := map[string]string{
					"address": "POST /v1/programs HTTP/1.1\r\nHost: callers\r\nAuthorization: Bearer " + fleet.TenantKey + "\r\n",
					"peer":    "POST /peer/v1/suspect HTTP/1.1\r\nHost: peers\r\nAuthorization: Bearer " + fleet.PeerKey + "\r\n",
					"ops":     "GET /readyz HTTP/1.1\r\nHost: ops\r\n",
				}[listener]
				r.run(t, gatewayVM.clients, daemon.ReadyFields[listener], func() string { return start }, func() { createProgram(t, f) })
				createProgram(t, f)
				m.check(t)
			})
		}
	}
}

// startServe starts one daemon in the serve role with the limits of the smallest VM.
func startServe(t *testing.T) *fleet.Fleet {
	t.Helper()
	skipIfKnownRed(t)
	t.Setenv("JACKDAWBAY_MEMORY_BYTES", strconv.Itoa(gatewayVM.memoryMB<<20))
	t.Setenv("JACKDAWBAY_MAX_FDS", strconv.Itoa(gatewayVM.maxFDs))
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Config{
		BinaryDir: binariesDir, Dir: t.TempDir(), DataCentres: []fleet.DataCentre{{Name: "falls-a", Region: "merrimack", DaemonCount: 1, EngineCount: 1}},
	})
	must.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// createProgram checks that the serve role serves an ordinary request.
func createProgram(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, f.Daemons[0].CallerURL+"/v1/programs", bytes.NewReader([]byte(`{}`)))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+fleet.TenantKey)
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	must.NoError(t, err)
	raw, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	test.EqOp(t, http.StatusCreated, resp.StatusCode, test.Sprintf("%s", raw))
}

// Guards against limits that reject a single request of the largest legal size in calm, with each way to send it.
func TestSingleLegalRequests(t *testing.T) {
	d := startVM(t, gatewayVM, 4<<20)
	m := startMeter(d.Gateways[0].Process, gatewayVM)
	for _, chunked := range []bool{false, true} {
		for _, pieceBytes := range []int{128, 16 << 10, 4 << 20} {
			var crowd Crowd
			body := &Body{Bytes: 4 << 20, PieceBytes: pieceBytes, Chunked: chunked}
			must.NoError(t, crowd.Connect(d.Gateways[0].FrontAddress, request{headBytes: maxHeaderBytes - 128}.text(requestHead()), body))
			deadline := time.Now().Add(20 * time.Second)
			for crowd.Statuses()["200"] == 0 && time.Now().Before(deadline) {
				time.Sleep(10 * time.Millisecond)
			}
			test.MapEq(t, map[string]int{"200": 1}, crowd.Statuses(), test.Sprintf("chunked %t, pieces of %d bytes", chunked, pieceBytes))
			crowd.Close()
		}
	}
	m.check(t)
}

// Guards against a client of a body at the limit that the crowd of idle connections crowds out.
func TestLegalRequestBesideIdleConnections(t *testing.T) {
	d := startVM(t, gatewayVM, 4<<20)
	m := startMeter(d.Gateways[0].Process, gatewayVM)
	for range gatewayVM.clients {
		conn, err := net.DialTimeout("tcp", d.Gateways[0].FrontAddress, 5*time.Second)
		if err == nil { // A process may refuse a client.
			defer func() { _ = conn.Close() }() // The process may have closed it already.
		}
	}
	resp := deployment.Send(d.Gateways[0], deployment.Call{
		Path: deployment.PathOrder, ID: deployment.NewID(), Body: strings.Repeat("x", 4<<20), Deadline: 10 * time.Second,
	})
	must.NoError(t, resp.Err)
	test.EqOp(t, http.StatusOK, resp.Status, test.Sprint(resp.Body))
	m.check(t)
}
