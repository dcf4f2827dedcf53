// Command review-3 runs the scripts of the third review. It starts gateways and replicas as separate processes on loopback addresses, with the commands of the deploy
// file, beside stand-ins of the platform's store, of clients and of servers.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"jackdawbay.dev/testbed/standin/objectstore"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Host is the host of all routes.
const Host = "site.example"

// Zones are the data centres of the deployment with their regions.
var Zones = map[string]string{"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-2"}

// ZoneNames lists the data centres in a fixed order.
var ZoneNames = []string{"zone-a", "zone-b", "zone-c"}

// Bounds of the small deployments.
const (
	DrainDuration  = 2500 * time.Millisecond // drainMs
	ConfigDuration = 2500 * time.Millisecond // configMs
	ContactTime    = 4 * time.Second         // contactMs
	HeartbeatTime  = 1200 * time.Millisecond // heartbeatMs
	graceS         = 8
)

// VM is a machine of the system with one process.
type VM struct {
	Name, Role, Zone, IP string
	Front, Ready         string
	portBase             int
	dataDir, settings    string
	command              *exec.Cmd
	done                 chan struct{}
}

// Deployment is a small deployment.
type Deployment struct {
	Store    *objectstore.Store
	Gateways []*VM
	Replicas []*VM

	dir       string
	record    *os.File
	recordMu  sync.Mutex
	startedAt time.Time
	servers   []*Server
	count     int
	tolerated int
}

// New returns a deployment without machines. It writes its record to the file of the argument -record.
func New(recordPath string) (*Deployment, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	store, err := objectstore.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Deployment{Store: store, dir: dir, record: record, startedAt: time.Now(), tolerated: 1}, nil
}

// Recordf writes a line with the time since the start to the record.
func (d *Deployment) Recordf(format string, args ...any) {
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and stand-ins and removes the temporary folder.
func (d *Deployment) Close() {
	for _, vm := range append(append([]*VM{}, d.Gateways...), d.Replicas...) {
		vm.Kill()
	}
	for _, s := range d.servers {
		s.Exit()
	}
	d.Store.Close()
	_ = d.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// Fail records why a case could not run and returns its exit code.
func (d *Deployment) Fail(err error) int {
	d.Recordf("the case could not run: %v", err)
	return ExitNotRun
}

// AddVM starts a machine of a role in a data centre.
func (d *Deployment) AddVM(role, zone string) (*VM, error) {
	d.count++
	vm := &VM{Name: fmt.Sprintf("%s-%d", role, d.count), Role: role, Zone: zone, IP: fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/200%200, 10+os.Getpid()%200, d.count)}
	ports, err := freePorts(vm.IP, 3)
	if err != nil {
		return nil, err
	}
	vm.Front, vm.Ready = fmt.Sprintf("%s:%d", vm.IP, ports[0]), fmt.Sprintf("%s:%d", vm.IP, ports[1])
	vm.portBase = ports[2]
	vm.dataDir, vm.settings = filepath.Join(d.dir, vm.Name+"-disk"), filepath.Join(d.dir, vm.Name+".yaml")
	if err := os.MkdirAll(vm.dataDir, 0o700); err != nil {
		return nil, err
	}
	settings := map[string]any{
		"node": vm.Name, "role": role, "ip": vm.IP, "zone": zone, "region": Zones[zone], "zones": Zones,
		"portRange": []int{vm.portBase, vm.portBase + 15}, "limits": map[string]any{"memoryMb": memoryMB(role), "maxFds": 4100},
		"tolerate": map[string]any{"machines": d.tolerated, "zones": 0, "regions": 0}, "heartbeatMs": HeartbeatTime.Milliseconds(),
		"bounds":   map[string]any{"graceS": graceS, "contactMs": ContactTime.Milliseconds(), "drainMs": DrainDuration.Milliseconds(), "configMs": ConfigDuration.Milliseconds()},
		"platform": map[string]any{"addr": d.Store.Addr(), "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20},
	}
	if role == "gateway" {
		settings["class"], settings["serves"] = "front", []string{"front"}
		settings["listen"] = map[string]any{"front": vm.Front, "ready": vm.Ready}
		settings["dataDir"] = nil
	} else {
		settings["class"], settings["serves"] = "storage", []string{"storage"}
		settings["dataDir"] = vm.dataDir
	}
	raw, err := json.Marshal(settings) // JSON is YAML.
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(vm.settings, raw, 0o600); err != nil {
		return nil, err
	}
	if err := d.Start(vm); err != nil {
		return nil, err
	}
	if role == "gateway" {
		d.Gateways = append(d.Gateways, vm)
	} else {
		d.Replicas = append(d.Replicas, vm)
	}
	return vm, nil
}

// Start starts the process of a machine with the command of the deploy file.
func (d *Deployment) Start(vm *VM) error {
	port := map[string]string{"gateway": "9464", "replica": "9465"}[vm.Role]
	log, err := os.OpenFile(filepath.Join(d.dir, vm.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command("target/jackdawbayd", vm.Role, "--metrics-port="+port)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JACKDAWBAY_BOOT=" + vm.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	vm.command, vm.done = c, make(chan struct{})
	go func(done chan struct{}) {
		_ = c.Wait() // The exit status of a killed process is no error here.
		close(done)
	}(vm.done)
	d.Recordf("start %s in %s", vm.Name, vm.Zone)
	return nil
}

// Signal sends a signal to the process.
func (vm *VM) Signal(s syscall.Signal) { _ = vm.command.Process.Signal(s) }

// Kill ends the process and waits for its end.
func (vm *VM) Kill() {
	vm.Signal(syscall.SIGKILL)
	<-vm.done
}

// IsReady reports whether a gateway is ready.
func (vm *VM) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + vm.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all gateways are ready.
func (d *Deployment) AwaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, g := range d.Gateways {
		for !g.IsReady() {
			if time.Now().After(deadline) {
				raw, _ := os.ReadFile(filepath.Join(d.dir, g.Name+".log"))
				return fmt.Errorf("%s is not ready after %s; end of its log: %s", g.Name, timeout, raw[max(0, len(raw)-1500):])
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.Recordf("all gateways are ready")
	return nil
}

// LogLines returns the lines of a machine's log that contain a text.
func (d *Deployment) LogLines(vm *VM, text string) []string {
	raw, _ := os.ReadFile(filepath.Join(d.dir, vm.Name+".log"))
	var lines []string
	for line := range strings.SplitSeq(string(raw), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// Route returns a route of the configuration.
func Route(path, kind, service string, extra map[string]any) map[string]any {
	r := map[string]any{
		"name": strings.Trim(path, "/"), "host": Host, "pathPrefix": path, "kind": kind, "timeoutMs": 3000, "sloMs": 300,
		"priority": 1, "attempts": 1, "service": service,
	}
	for k, v := range extra {
		r[k] = v
	}
	return r
}

// Service returns a service of the configuration. Engines have tokensPerEvent above zero.
func Service(name string, tokensPerEvent int) map[string]any {
	s := map[string]any{"name": name, "healthPath": "/health", "maxConns": 160}
	if tokensPerEvent > 0 {
		s["engine"] = map[string]any{"slots": 12, "tokensPerEvent": tokensPerEvent}
	}
	return s
}

// Configure writes a configuration.
func (d *Deployment) Configure(version int, routes, services []map[string]any) {
	d.Store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	d.Recordf("configuration %d is acknowledged", version)
}

// freePorts returns unused ports of an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}
