// Command retire runs three replicas and two gateways, and plays one of two days. Both end with a kill of all processes. The
// command exits with 1 if under a quarter of the requests is served after that, with 0 if not, and with 2 if the case could not
// run. With TROUBLE=0 no VM is replaced.
//
//   - "gone": the operator asks for the evacuation of one replica, a second one is replaced by an empty VM 1.5 s later, and the
//     third one loses its disk when the successor has had time to catch up.
//   - "done": one replica is evacuated. Later a second one is to be evacuated while the third is replaced by an empty VM.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"jackdawbay.dev/testbed/deployment"
	"jackdawbay.dev/testbed/process"
	"jackdawbay.dev/testbed/standin/backend"
	"jackdawbay.dev/testbed/standin/objectstore"
)

// Figures of the users' sheet (Team Kit).
const (
	tolerated      = 1                // tolerate.machines
	recoverTime    = 12 * time.Second // recoverS
	retireSeconds  = 8.8              // durationS of a retirement
	successorDelay = time.Second      // Time until the VM that replaces a removed one starts.
	downTime       = 800 * time.Millisecond

	goneAfterRequest = 1500 * time.Millisecond // Time between the request for the evacuation and the removal of the other replica.
	timeToCatchUp    = 7 * time.Second         // Time between the start of the successor and the next loss; catchUpS is 4.8 s.
	wipedDownTime    = time.Second

	retainSeconds  = 60
	tokensPerEvent = 32
	eventsPerTurn  = 8
)

const (
	gateways     = 2
	engines      = 4
	clients      = 4
	requestPause = 300 * time.Millisecond // Pause between two requests of a client.
	pollInterval = 50 * time.Millisecond
	judgedTime   = 5 * time.Second // Time after recoverTime in which requests are counted.
)

type vm struct {
	name, role, zone, ip string
	front, ready         string
	portBase             int
	dataDir, settings    string
	process              *process.Process
	removed              bool
}

type fleet struct {
	dir     string
	group   *process.Group
	store   *objectstore.Store
	engines []*backend.Upstream
	vms     []*vm
	count   int
	record  io.Writer

	vmsMu    sync.Mutex
	frontEnd []string // Addresses of the gateways.

	mu           sync.Mutex
	lastTurn     string // Last turn that was answered whole.
	sent, served int    // Requests that have ended.
	statuses     map[int]int
}

func main() { os.Exit(run()) }

// run expects the name of the day, the folder for record.txt and the folder of the binaries as arguments.
func run() int {
	if len(os.Args) != 4 {
		fmt.Println("usage: retire DAY RECORD_DIR BINARY_DIR")
		return 2
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review-retire")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f := &fleet{dir: dir, group: process.NewGroup(os.Args[3], dir), record: record}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		f.close()
		os.Exit(2)
	}()
	held, err := f.play(os.Args[1], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.logf("the case could not run: %v", err)
		return 2
	case !held:
		f.logf("RECOVER is broken")
		return 1
	}
	f.logf("RECOVER holds")
	return 0
}

func (f *fleet) play(day string, trouble bool) (held bool, err error) {
	if err := f.start(); err != nil {
		return false, err
	}
	switch day {
	case "gone":
		err = f.playGone(trouble)
	case "done":
		err = f.playDone(trouble)
	default:
		err = fmt.Errorf("no day is named %q", day)
	}
	if err != nil {
		return false, err
	}
	return f.playFinalFault()
}

// playGone plays the day on which a replica is gone just after the evacuation of another one was asked for.
func (f *fleet) playGone(trouble bool) error {
	evacuated, wiped, replaced := f.vms[0], f.vms[1], f.vms[2]
	time.Sleep(12 * time.Second)
	f.report("first seconds")
	if sent, served := f.counts(); served < sent*9/10 {
		return fmt.Errorf("only %d of %d requests were served before the disruption", served, sent)
	}
	f.retire(evacuated)
	time.Sleep(goneAfterRequest)
	if trouble {
		f.remove(replaced)
		time.Sleep(successorDelay)
		if _, err := f.addVM("replica", replaced.zone); err != nil {
			return err
		}
	}
	end := time.Now().Add(timeToCatchUp)
	if f.sendUntilRetired(evacuated, timeToCatchUp) {
		f.remove(evacuated)
	}
	time.Sleep(time.Until(end))
	f.report("until the next loss")
	wiped.process.Kill()
	if err := errors.Join(os.RemoveAll(wiped.dataDir), os.MkdirAll(wiped.dataDir, 0o700)); err != nil {
		return err
	}
	f.logf("%s has lost its disk", wiped.name)
	time.Sleep(wipedDownTime)
	if err := f.startVM(wiped); err != nil {
		return err
	}
	f.logf("%s is back", wiped.name)
	time.Sleep(8 * time.Second)
	f.report("after the lost disk")
	return nil
}

// playDone plays the day on which an evacuation is reported as done while the other replica is gone.
func (f *fleet) playDone(trouble bool) error {
	time.Sleep(5 * time.Second)
	f.report("first seconds")
	first, replaced, second := f.vms[0], f.vms[1], f.vms[2]
	f.retire(first)
	if !f.sendUntilRetired(first, 15*time.Second) {
		return fmt.Errorf("the retirement of %s was not reported as done", first.name)
	}
	f.remove(first)
	time.Sleep(5 * time.Second)
	f.report("with two replicas")
	if sent, served := f.counts(); served < sent*9/10 {
		return fmt.Errorf("only %d of %d requests were served before the disruption", served, sent)
	}
	f.retire(second)
	if trouble {
		f.remove(replaced)
		time.Sleep(successorDelay)
		if _, err := f.addVM("replica", replaced.zone); err != nil {
			return err
		}
	}
	if f.sendUntilRetired(second, 12*time.Second) {
		f.remove(second)
	}
	time.Sleep(5 * time.Second)
	f.report("after the second retirement")
	return nil
}

// playFinalFault kills all processes and reports whether RECOVER holds after that.
func (f *fleet) playFinalFault() (held bool, err error) {
	for _, v := range f.vms {
		if !v.removed {
			v.process.Kill()
		}
	}
	f.logf("final fault: all processes are killed; their disks stay")
	time.Sleep(downTime)
	for _, v := range f.vms {
		if v.removed {
			continue
		}
		if err := f.startVM(v); err != nil {
			return false, err
		}
	}
	f.logf("all machines are back")
	sentBefore, servedBefore := f.counts()
	time.Sleep(recoverTime)
	f.report("until recoverS")
	sent, served := f.counts()
	time.Sleep(judgedTime)
	f.report("later than recoverS")
	if 4*servedBefore < sentBefore {
		return false, fmt.Errorf("under a quarter was served before the final fault: %d of %d", servedBefore, sentBefore)
	}
	sentLater, servedLater := f.counts()
	return 4*(servedLater-served) >= sentLater-sent, nil
}

func (f *fleet) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := time.Now().UTC().Format("15:04:05.000") + "  " + fmt.Sprintf(format, args...) + "\n"
	fmt.Print(line)
	_, _ = io.WriteString(f.record, line)
}

func (f *fleet) close() {
	f.group.StopAll()
	for _, e := range f.engines {
		e.Stop()
	}
	if f.store != nil {
		f.store.Close()
	}
}

func (f *fleet) start() error {
	store, err := objectstore.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	f.store = store
	for i := range engines {
		e := &backend.Upstream{ID: fmt.Sprintf("i-%d", i), Slots: 12, EventsPerStream: eventsPerTurn, ResponseDelay: 5 * time.Millisecond}
		if err := e.Start("127.0.0.1:0"); err != nil {
			return err
		}
		f.engines = append(f.engines, e)
		f.store.Put("servers", e.ID, map[string]any{"service": "kit-agents", "addr": e.Addr(), "zone": "falls-a", "version": "v1", "slots": e.Slots,
			"state": "ready", "coldLeftMs": 0, "born": time.Now().UnixMilli(), "seq": 1})
	}
	f.store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{{"name": "r-1", "host": deployment.Host, "pathPrefix": deployment.PathRetained, "kind": "stream", "timeoutMs": 3000,
			"sloMs": 300, "priority": 1, "service": "kit-agents", "attempts": 1, "retain": true, "retainS": retainSeconds, "sticky": true, "resumable": false}},
		"services": []map[string]any{{"name": "kit-agents", "healthPath": "/health", "maxConns": 160, "engine": map[string]any{"slots": 12, "tokensPerEvent": tokensPerEvent}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for _, zone := range []string{"falls-a", "falls-b", "harbor-a"} {
		if _, err := f.addVM("replica", zone); err != nil {
			return err
		}
	}
	for range gateways {
		if _, err := f.addVM("gateway", "falls-a"); err != nil {
			return err
		}
	}
	for i := range clients {
		go f.runClient(i)
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(pollInterval) {
		if _, served := f.counts(); served >= 10 {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the deployment does not serve")
		}
	}
	f.mu.Lock()
	f.sent, f.served, f.statuses = 0, 0, map[int]int{}
	f.mu.Unlock()
	f.logf("3 replicas and %d gateways serve; tolerate.machines is %d", gateways, tolerated)
	return nil
}

// addVM starts a VM with an address and a disk of its own.
func (f *fleet) addVM(role, zone string) (*vm, error) {
	f.count++
	v := &vm{name: fmt.Sprintf("%s-%s-%d", role, zone, f.count), role: role, zone: zone, ip: fmt.Sprintf("127.0.%d.%d", 20+os.Getpid()%200, f.count)}
	var ports []int
	for range 3 {
		l, err := net.Listen("tcp", v.ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	v.front, v.ready, v.portBase = net.JoinHostPort(v.ip, strconv.Itoa(ports[0])), net.JoinHostPort(v.ip, strconv.Itoa(ports[1])), min(ports[2], 65000)
	v.dataDir, v.settings = filepath.Join(f.dir, v.name+"-disk"), filepath.Join(f.dir, v.name+".yaml")
	if err := os.MkdirAll(v.dataDir, 0o700); err != nil {
		return nil, err
	}
	zones := map[string]string{"falls-a": "merrimack", "falls-b": "merrimack", "harbor-a": "seacoast"}
	settings := map[string]any{
		"node": v.name, "role": role, "ip": v.ip, "zone": zone, "region": zones[zone], "zones": zones,
		"portRange": []int{v.portBase, v.portBase + 15}, "bootstrap": f.count <= 5, "limits": map[string]any{"memoryMb": 154, "maxFds": 4100},
		"tolerate": map[string]any{"machines": tolerated}, "bounds": map[string]any{"graceS": 8, "recoverS": recoverTime.Seconds()},
		"platform": map[string]any{"addr": f.store.Addr(), "form": "objects", "writesPerS": 400, "readsPerS": 2000},
	}
	if role == "gateway" {
		settings["serves"], settings["listen"] = []string{"front"}, map[string]any{"front": v.front, "ready": v.ready}
	} else {
		settings["serves"], settings["dataDir"] = []string{"storage"}, v.dataDir
	}
	raw, err := json.Marshal(settings) // JSON is valid YAML.
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(v.settings, raw, 0o600); err != nil {
		return nil, err
	}
	f.vms = append(f.vms, v)
	if role == "gateway" {
		f.vmsMu.Lock()
		f.frontEnd = append(f.frontEnd, v.front)
		f.vmsMu.Unlock()
	}
	f.logf("%s starts with an empty disk", v.name)
	return v, f.startVM(v)
}

// startVM runs the command of the deploy file.
func (f *fleet) startVM(v *vm) (err error) {
	port := "9464"
	if v.role == "replica" {
		port = "9465"
	}
	v.process, err = f.group.StartWithoutReadyLine(v.name, "jackdawbayd", []string{"JACKDAWBAY_BOOT=" + v.settings}, v.role, "--metrics-port="+port)
	return err
}

// remove ends a VM for good, together with its disk.
func (f *fleet) remove(v *vm) {
	v.process.Kill()
	_ = os.RemoveAll(v.dataDir) // The whole folder is removed at the end.
	v.removed = true
	f.logf("%s is removed for good, together with its disk", v.name)
}

func (f *fleet) retire(v *vm) {
	f.store.Put("retirements", v.name, map[string]any{"durationS": retireSeconds})
	f.logf("the operator asks for the retirement of %s", v.name)
}

// sendUntilRetired sends requests until the retirement is reported as done. It reports false after the limit.
func (f *fleet) sendUntilRetired(v *vm, limit time.Duration) bool {
	state := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		o, _ := f.store.Get("retirements", v.name)
		var status struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal(o.Status, &status) // There is no status at first.
		if status.State != state {
			state = status.State
			f.logf("the status of the retirement of %s is %q", v.name, state)
		}
		if state == "done" {
			return true
		}
	}
	f.logf("the retirement of %s is not done after %s", v.name, limit)
	return false
}

// counts returns the number of requests that have ended, and of those that were served.
func (f *fleet) counts() (sent, served int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent, f.served
}

// runClient sends turns until the program ends, each second one the first of a program, the others going on from the last one
// that was answered whole.
func (f *fleet) runClient(n int) {
	for i := n; ; i++ {
		f.vmsMu.Lock()
		front := f.frontEnd[i%len(f.frontEnd)]
		f.vmsMu.Unlock()
		f.sendTurn(front, i/2%2 == 0)
		time.Sleep(requestPause)
	}
}

func (f *fleet) sendTurn(front string, continuesChain bool) {
	previous := ""
	if continuesChain {
		f.mu.Lock()
		previous = f.lastTurn
		f.mu.Unlock()
	}
	id := deployment.NewID()
	sentAt := time.Now()
	r := deployment.Send(&deployment.VM{FrontAddress: front}, deployment.Call{
		Path: deployment.PathRetained, ID: id, Program: "p" + id, Budget: 1 << 16, MaxTokens: eventsPerTurn * tokensPerEvent, PreviousTurn: previous,
		Body: strings.Repeat("input of "+id+" ", 70), Deadline: 3 * time.Second,
	})
	runs := f.runs(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	if f.statuses == nil {
		f.statuses = map[int]int{}
	}
	f.statuses[r.Status]++
	isWhole := r.Err == nil && r.Status == http.StatusOK
	if isWhole {
		f.served++
		f.lastTurn = id
	}
	_, _ = fmt.Fprintf(f.record, "%s  turn %s after %q: status %d, whole %t, engines ran it %d times\n", sentAt.UTC().Format("15:04:05.000"), id, previous, r.Status,
		isWhole, runs)
}

func (f *fleet) runs(id string) int {
	n := 0
	for _, e := range f.engines {
		for _, r := range e.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

// report logs the answers since the last report.
func (f *fleet) report(phase string) {
	f.mu.Lock()
	statuses, served, sent := f.statuses, f.served, f.sent
	f.statuses = map[int]int{}
	f.mu.Unlock()
	f.logf("%s: answers by status %v; served so far %d of %d", phase, statuses, served, sent)
}
