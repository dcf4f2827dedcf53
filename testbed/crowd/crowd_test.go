package crowd

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/testbed/deployment"
	"jackdawbay.dev/testbed/process"
	"jackdawbay.dev/testbed/standin/backend"
)

// Settings of the VMs and the crowd. The bounds of the tests follow from the settings: the process must stay within memoryMB
// and maxFDs. These values are fixed and must not be adapted to the code.
const (
	memoryMB     = 112     // Memory of the smallest VM of the users' deployments.
	maxFDs       = 200     // Leaves two descriptors for each client of a crowd, and 72 others.
	maxBodyBytes = 4 << 20 // Limit of the users' configurations.
	clients      = 64      // Their bodies have 2.3 times the memory of the VM.
	// maxSendTime bounds the wait until the crowd has sent everything. It is no requirement on the process.
	maxSendTime = 25 * time.Second
)

var binariesDir string

func TestMain(m *testing.M) {
	os.Exit(process.RunWithDaemon(func(dir string) int {
		binariesDir = dir
		return m.Run()
	}, "jackdawbay.dev/testbed/cmd/standin"))
}

// skipIfKnownRed skips a test that is listed in KNOWN-RED.txt, unless the environment asks for these tests.
func skipIfKnownRed(t *testing.T) {
	t.Helper()
	raw, err := os.ReadFile("../../KNOWN-RED.txt")
	must.NoError(t, err)
	for line := range strings.SplitSeq(string(raw), "\n") {
		name, _, _ := strings.Cut(line, ":")
		if (t.Name() == name || strings.HasPrefix(t.Name(), name+"/")) && os.Getenv("JACKDAWBAY_KNOWN_RED") == "" {
			t.Skip("known to fail: ", line)
		}
	}
}

// start starts one gateway, one replica and one plain service with the settings of the smallest VM. Responses take half a
// second, so that bodies that are complete are held at the same time.
func start(t *testing.T) *deployment.Deployment {
	t.Helper()
	return startDeployment(t, deployment.Options{
		Gateways: 1, Replicas: 1, Services: 1, TimeoutMS: 10_000, RetainS: 60,
		ResponseDelay: 500 * time.Millisecond, MemoryMB: memoryMB, MaxFDs: maxFDs, MaxBodyBytes: maxBodyBytes,
	})
}

// startDeployment starts a deployment, unless the test is known to fail, and closes it at the end of the test.
func startDeployment(t *testing.T, o deployment.Options) *deployment.Deployment {
	t.Helper()
	skipIfKnownRed(t)
	o.Binaries, o.Dir = binariesDir, t.TempDir()
	d, err := deployment.Start(o)
	t.Cleanup(func() {
		if t.Failed() {
			for _, vm := range append(d.Gateways, d.Replicas...) {
				log := d.ReadLog(vm)
				t.Logf("end of the log of %s:\n%s", vm.Name, log[max(0, len(log)-4000):])
			}
		}
		d.Close()
	})
	must.NoError(t, err)
	return d
}

// usage is the highest use of memory and file descriptors of a process while it is observed.
type usage struct {
	pid     int
	stop    chan struct{}
	stopped chan struct{}
	maxFDs  int
}

func observe(pid int) *usage {
	u := &usage{pid: pid, stop: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(u.stopped)
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for {
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				u.maxFDs = max(u.maxFDs, len(entries))
			}
			select {
			case <-u.stop:
				return
			case <-tick.C:
			}
		}
	}()
	return u
}

// residentKiB returns a line of the memory status of the process, such as VmHWM.
func (u *usage) residentKiB(t *testing.T, name string) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
	must.NoError(t, err, must.Sprint("the process has ended"))
	for line := range strings.SplitSeq(string(raw), "\n") {
		if text, ok := strings.CutPrefix(line, name+":"); ok {
			n, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(text, "kB")))
			must.NoError(t, err)
			return n
		}
	}
	t.Fatalf("process status has no line %s", name)
	return 0
}

// check checks the bounds of the settings for a process that was started once.
func (u *usage) check(t *testing.T, vm *deployment.VM) {
	t.Helper()
	close(u.stop)
	<-u.stopped
	select {
	case <-vm.Process.Done():
		t.Fatal("the process has ended")
	default:
	}
	must.EqOp(t, u.pid, vm.Process.PID())
	peak, resident := u.residentKiB(t, "VmHWM"), u.residentKiB(t, "VmRSS")
	t.Logf("%s: VmHWM %.1f MB, VmRSS %.1f MB, descriptors %d at most", vm.Name, float64(peak)/1024, float64(resident)/1024, u.maxFDs)
	test.LessEq(t, memoryMB<<10, peak, test.Sprint("peak resident memory in KiB"))
	test.LessEq(t, memoryMB<<10, resident, test.Sprint("resident memory in KiB"))
	test.LessEq(t, maxFDs, u.maxFDs, test.Sprint("open file descriptors"))
}

// serveOrdinaryRequest checks that the gateway serves a small request.
func serveOrdinaryRequest(t *testing.T, d *deployment.Deployment) {
	t.Helper()
	resp := deployment.Send(d.Gateways[0], deployment.Call{
		Path: deployment.PathOrder, ID: deployment.NewID(), Body: "an ordinary request", Deadline: 10 * time.Second,
	})
	must.NoError(t, resp.Err)
	test.EqOp(t, http.StatusOK, resp.Status, test.Sprint(resp.Body))
}

// requestHead returns the head of a request of a caller, without the header that frames the body.
func requestHead() string {
	return fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\nX-Jackdawbay-Request-Id: %s\r\nX-Jackdawbay-Deadline-Ms: 10000\r\n",
		deployment.PathOrder, deployment.Host, deployment.NewID())
}

// runCrowd connects a crowd to a gateway and checks the gateway while the clients are connected. One client in eight sends its
// whole body.
func runCrowd(t *testing.T, body Body) {
	t.Helper()
	d := start(t)
	g := d.Gateways[0]
	serveOrdinaryRequest(t, d)
	u := observe(g.Process.PID())
	var crowd Crowd
	defer crowd.Close()
	for i := range clients {
		b := body
		if i%8 == 0 {
			b.StopShort, b.StopAfter = false, 0
		}
		must.NoError(t, crowd.Connect(g.FrontAddress, requestHead(), &b))
	}
	sent := crowd.WaitUntilSent(maxSendTime)
	time.Sleep(time.Second) // The process takes what the system has buffered.
	serveOrdinaryRequest(t, d)
	t.Logf("%d of %d clients have sent everything or were disconnected; responses by status: %v", sent, clients, crowd.Statuses())
	u.check(t, g)
}

// Guards against a process that holds every large body of legal size that arrives at the same time.
func TestWholeBodies(t *testing.T) {
	runCrowd(t, Body{Bytes: maxBodyBytes, PieceBytes: maxBodyBytes})
}

// Guards against bodies that are held without limit while their clients do not send the end.
func TestBodiesInPieces(t *testing.T) {
	runCrowd(t, Body{Bytes: maxBodyBytes, PieceBytes: 16 << 10, StopShort: true})
}

// Guards against bodies of unknown length that are held without limit while their clients do not send the end.
func TestLargeChunks(t *testing.T) {
	runCrowd(t, Body{Bytes: maxBodyBytes, Chunked: true, PieceBytes: 256 << 10, StopShort: true})
}

// Guards against memory that depends on the number of chunks of a body.
func TestTinyChunks(t *testing.T) {
	runCrowd(t, Body{Bytes: maxBodyBytes, Chunked: true, PieceBytes: 8, StopShort: true})
}

// Guards against a process that reads a body although its announced length is over the limit.
func TestAnnouncedBodiesOverTheLimit(t *testing.T) {
	runCrowd(t, Body{Bytes: 16 * maxBodyBytes, PieceBytes: 64 << 10, StopAfter: maxBodyBytes - 1})
}

// Guards against a process that holds a body of unknown length up to the limit for each client that exceeds it.
func TestUnannouncedBodiesOverTheLimit(t *testing.T) {
	runCrowd(t, Body{Bytes: 16 * maxBodyBytes, Chunked: true, PieceBytes: 64 << 10, StopShort: true})
}

// Guards against limits that reject a single request of the largest legal size on the smallest VM.
func TestSingleRequestAtTheLimit(t *testing.T) {
	d := start(t)
	u := observe(d.Gateways[0].Process.PID())
	body := strings.Repeat("x", maxBodyBytes)
	for range 3 {
		id := deployment.NewID()
		resp := deployment.Send(d.Gateways[0], deployment.Call{Path: deployment.PathOrder, ID: id, Body: body, Deadline: 10 * time.Second})
		must.NoError(t, resp.Err)
		must.EqOp(t, http.StatusOK, resp.Status, must.Sprint(resp.Body))
		runs := d.Services[0].Runs()
		must.EqOp(t, id, runs[len(runs)-1].ID)
		must.True(t, body == runs[len(runs)-1].Body, must.Sprint("the upstream got another body"))
	}
	u.check(t, d.Gateways[0])
}

// Guards against a replica that holds the bodies of clients without limit.
func TestReplicaBodies(t *testing.T) {
	d := start(t)
	replica := d.Replicas[0]
	u := observe(replica.Process.PID())
	var crowd Crowd
	defer crowd.Close()
	address := fmt.Sprintf("%s:%d", replica.IP, replica.PortBase)
	const replicaBodyBytes = 16 << 20
	for i := range 24 {
		body := Body{Bytes: replicaBodyBytes, PieceBytes: 64 << 10, Chunked: i%2 == 0, StopShort: true}
		must.NoError(t, crowd.Connect(address, "POST /replica/v1/batch HTTP/1.1\r\nHost: replica\r\n", &body))
	}
	crowd.WaitUntilSent(maxSendTime)
	time.Sleep(time.Second)
	resp, err := http.Get("http://" + address + "/replica/v1/probe")
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	test.EqOp(t, http.StatusNoContent, resp.StatusCode)
	t.Logf("responses by status: %v", crowd.Statuses())
	u.check(t, replica)
}

// Guards against connections that send nothing and take all file descriptors.
func TestSilentConnections(t *testing.T) {
	d := start(t)
	g := d.Gateways[0]
	u := observe(g.Process.PID())
	var crowd Crowd
	defer crowd.Close()
	for range 2 * maxFDs {
		must.NoError(t, crowd.Connect(g.FrontAddress, "", nil))
	}
	time.Sleep(time.Second)
	serveOrdinaryRequest(t, d)
	u.check(t, g)
}

// Guards against request heads that are held without limit while their clients do not send the end.
func TestEndlessHeaders(t *testing.T) {
	d := start(t)
	g := d.Gateways[0]
	u := observe(g.Process.PID())
	var crowd Crowd
	defer crowd.Close()
	head := requestHead()
	for i := range 2000 {
		head += fmt.Sprintf("X-Filler-%d: %s\r\n", i, strings.Repeat("x", 1000))
	}
	for range 2 * clients {
		must.NoError(t, crowd.Connect(g.FrontAddress, head, nil))
	}
	crowd.WaitUntilSent(maxSendTime)
	time.Sleep(time.Second)
	serveOrdinaryRequest(t, d)
	t.Logf("responses by status: %v", crowd.Statuses())
	u.check(t, g)
}

// connectWithoutReading opens connections that send a request and never read. They are closed at the end of the test.
func connectWithoutReading(t *testing.T, n int, address string, head func() string) {
	t.Helper()
	for range n {
		conn, err := net.DialTimeout("tcp", address, 5*time.Second)
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() }) // The process may have closed it already.
		must.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
		_, err = conn.Write([]byte(head()))
		must.NoError(t, err)
	}
}

// Guards against streams that are held without limit while their callers do not read.
func TestStoppedReaders(t *testing.T) {
	d := start(t)
	g := d.Gateways[0]
	engine, err := d.AddUpstream(deployment.EngineService, "engine-flood")
	must.NoError(t, err)
	engine.SetFault(backend.EndlessFlood)
	u := observe(g.Process.PID())
	time.Sleep(time.Second) // The gateway learns of the engine.
	connectWithoutReading(t, clients, g.FrontAddress, func() string {
		return fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\nX-Jackdawbay-Request-Id: %s\r\nX-Jackdawbay-Deadline-Ms: 10000\r\nContent-Length: 0\r\n\r\n",
			deployment.PathResumable, deployment.Host, deployment.NewID())
	})
	time.Sleep(2 * time.Second)
	serveOrdinaryRequest(t, d)
	test.Greater(t, 0, len(engine.Runs()), test.Sprint("streams that have begun"))
	u.check(t, g)
}

// Guards against a relay that holds streams without limit while their receivers do not read, and against one that takes all file
// descriptors for them.
func TestOpenWatches(t *testing.T) {
	d := start(t)
	replica := d.Replicas[0]
	u := observe(replica.Process.PID())
	address := fmt.Sprintf("%s:%d", replica.IP, replica.PortBase)
	connectWithoutReading(t, 2*maxFDs, address, func() string { return "GET /relay/v1/stream HTTP/1.1\r\nHost: relay\r\n\r\n" })
	time.Sleep(2 * time.Second)
	select {
	case <-replica.Process.Done():
		t.Fatal("the replica has ended")
	default:
	}
	serveOrdinaryRequest(t, d)
	client := http.Client{Timeout: 10 * time.Second}
	resp, err := client.Get("http://" + address + "/replica/v1/probe")
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	test.EqOp(t, http.StatusNoContent, resp.StatusCode)
	u.check(t, replica)
}

// turnHead returns the head of a turn that is stored, without the header that frames the body.
func turnHead(program, id, previous string) string {
	head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\nX-Jackdawbay-Request-Id: %s\r\nX-Jackdawbay-Deadline-Ms: 10000\r\n"+
		"X-Jackdawbay-Program-Id: %s\r\nX-Jackdawbay-Session-Id: %s\r\nX-Jackdawbay-Token-Budget: 1000000000\r\nX-Jackdawbay-Token-Usage: 10,64\r\n",
		deployment.PathRetained, deployment.Host, id, program, program)
	if previous != "" {
		head += "X-Jackdawbay-Previous-Turn: " + previous + "\r\n"
	}
	return head
}

// Guards against memory for the storing of large turns that is not counted.
func TestLargeTurns(t *testing.T) {
	d := start(t)
	g := d.Gateways[0]
	d.Options.EventsPerStream = 2
	_, err := d.AddUpstream(deployment.EngineService, "engine-0")
	must.NoError(t, err)
	u, r := observe(g.Process.PID()), observe(d.Replicas[0].Process.PID())
	time.Sleep(time.Second) // The gateway learns of the engine.
	var crowd Crowd
	defer crowd.Close()
	for range clients {
		must.NoError(t, crowd.Connect(g.FrontAddress, turnHead(deployment.NewID(), deployment.NewID(), ""), &Body{Bytes: 3 << 20, PieceBytes: 64 << 10}))
	}
	crowd.WaitUntilSent(maxSendTime)
	time.Sleep(3 * time.Second)
	serveOrdinaryRequest(t, d)
	t.Logf("responses by status: %v", crowd.Statuses())
	u.check(t, g)
	r.check(t, d.Replicas[0])
}

// Guards against memory for the histories of turns that is not counted.
func TestLargeHistories(t *testing.T) {
	d := start(t)
	g := d.Gateways[0]
	d.Options.EventsPerStream = 2
	_, err := d.AddUpstream(deployment.EngineService, "engine-0")
	must.NoError(t, err)
	time.Sleep(time.Second) // The gateway learns of the engine.
	program, previous := deployment.NewID(), ""
	for i := range 3 {
		id := deployment.NewID()
		resp := deployment.Send(g, deployment.Call{
			Path: deployment.PathRetained, ID: id, Program: program, Budget: 1_000_000_000, MaxTokens: 64, PreviousTurn: previous,
			Body: strings.Repeat("x", 3<<20), Deadline: 10 * time.Second,
		})
		must.NoError(t, resp.Err)
		must.EqOp(t, http.StatusOK, resp.Status, must.Sprintf("turn %d: %s", i, resp.Body))
		previous = id
	}
	d.KillVM(g) // The turns are no longer in its cache.
	must.NoError(t, d.StartVM(g))
	must.NoError(t, d.WaitUntilServing(10*time.Second))
	serveOrdinaryRequest(t, d)
	u, r := observe(g.Process.PID()), observe(d.Replicas[0].Process.PID())
	var crowd Crowd
	defer crowd.Close()
	for range clients {
		must.NoError(t, crowd.Connect(g.FrontAddress, turnHead(program, deployment.NewID(), previous), &Body{Bytes: 10, PieceBytes: 10}))
	}
	crowd.WaitUntilSent(maxSendTime)
	time.Sleep(3 * time.Second)
	serveOrdinaryRequest(t, d)
	t.Logf("responses by status: %v", crowd.Statuses())
	u.check(t, g)
	r.check(t, d.Replicas[0])
}
