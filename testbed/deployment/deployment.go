// Package deployment runs gateways and replicas as separate processes on loopback, beside stand-ins of the users' platform:
// its store, its settings files, its engines and its plain services.
package deployment

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/testbed/process"
	"jackdawbay.dev/testbed/relay"
	"jackdawbay.dev/testbed/standin/backend"
	"jackdawbay.dev/testbed/standin/objectstore"
)

// Names of the deployment's routes and services.
const (
	Host          = "site.example"
	EngineService = "engines"
	PlainService  = "desk"
	// Paths of the routes by kind.
	PathRetained  = "/kept/"
	PathResumable = "/resumable/"
	PathLookup    = "/lookup/"
	PathOrder     = "/order/"
)

// TokensPerEvent is the number of tokens of one event of the engines.
const TokensPerEvent = 32

// Options describe a deployment.
type Options struct {
	Binaries            string // Folder with jackdawbayd.
	Dir                 string // Folder for logs, settings and disks.
	Gateways            int
	Replicas            int
	Engines             int
	Services            int
	Zones               []string // Data centres; the first two lie in one region.
	ToleratedVMFailures int
	EventsPerStream     int           // Events of a stream.
	ResponseDelay       time.Duration // Time between events.
	GraceS              float64
	RetainS             float64
	MaxAttempts         map[string]int // Upstreams for one attempt, by path.
	TimeoutMS           int
	UseRelays           bool // Put a relay before each upstream and replica, and between each VM and the store.
}

// VM is one VM of the deployment with its process.
type VM struct {
	Name, Role, Zone, IP       string
	FrontAddress, ReadyAddress string
	PortBase                   int
	DataDir                    string
	Process                    *process.Process
	StoreRelay, ReplicaRelay   *relay.Relay // Nil without relays.
	boot                       string
}

// Deployment is a running deployment.
type Deployment struct {
	Options  Options
	Store    *objectstore.Store
	Gateways []*VM
	Replicas []*VM
	Engines  []*backend.Upstream
	Services []*backend.Upstream

	mu      sync.Mutex
	group   *process.Group
	version uint64
	nextVM  int
	front   map[*backend.Upstream]*relay.Relay

	storeMu    sync.Mutex // Held while VMs are added or removed, and while the rules of their links to the store change.
	storeRules []relay.Rule
}

// Start starts everything and waits until the gateways are ready.
func Start(o Options) (*Deployment, error) {
	if len(o.Zones) == 0 {
		o.Zones = []string{"zone-a", "zone-b", "zone-c"}
	}
	d := &Deployment{Options: o, group: process.NewGroup(o.Binaries, o.Dir), front: map[*backend.Upstream]*relay.Relay{}}
	store, err := objectstore.Start("127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start the store")
	}
	d.Store = store
	for i := range o.Engines {
		if _, err := d.AddUpstream(EngineService, fmt.Sprintf("engine-%d", i)); err != nil {
			return d, err
		}
	}
	for i := range o.Services {
		if _, err := d.AddUpstream(PlainService, fmt.Sprintf("desk-%d", i)); err != nil {
			return d, err
		}
	}
	d.Configure(nil)
	for range o.Replicas {
		if _, err := d.AddVM("replica"); err != nil {
			return d, err
		}
	}
	for range o.Gateways {
		if _, err := d.AddVM("gateway"); err != nil {
			return d, err
		}
	}
	return d, d.WaitUntilServing(20 * time.Second)
}

// Close ends everything.
func (d *Deployment) Close() {
	d.group.StopAll()
	for _, u := range append(append([]*backend.Upstream{}, d.Engines...), d.Services...) {
		u.Stop()
	}
	for _, r := range d.Relays() {
		r.Close()
	}
	if d.Store != nil {
		d.Store.Close()
	}
}

// Relays returns all relays of the deployment.
func (d *Deployment) Relays() []*relay.Relay {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*relay.Relay
	for _, r := range d.front {
		list = append(list, r)
	}
	for _, vm := range d.vms() {
		for _, r := range []*relay.Relay{vm.StoreRelay, vm.ReplicaRelay} {
			if r != nil {
				list = append(list, r)
			}
		}
	}
	return list
}

// UpstreamRelay returns the relay before an upstream, or nil.
func (d *Deployment) UpstreamRelay(u *backend.Upstream) *relay.Relay {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.front[u]
}

// addressOf is the address at which callers reach an upstream.
func (d *Deployment) addressOf(u *backend.Upstream) string {
	if r := d.UpstreamRelay(u); r != nil {
		return r.Addresses()[0]
	}
	return u.Addr()
}

// Logs returns the output of a VM's processes.
func (d *Deployment) ReadLog(vm *VM) string {
	raw, err := os.ReadFile(d.group.LogPath(vm.Name))
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// AddUpstream starts an upstream and registers it.
func (d *Deployment) AddUpstream(service, id string) (*backend.Upstream, error) {
	u := &backend.Upstream{ID: id, Slots: 8, ResponseDelay: d.Options.ResponseDelay}
	if service == EngineService {
		u.EventsPerStream = d.Options.EventsPerStream
	}
	if err := u.Start("127.0.0.1:0"); err != nil {
		return nil, errors.Wrap(err, "start an upstream")
	}
	if d.Options.UseRelays {
		r, err := relay.Start([]relay.Link{{Listen: "127.0.0.1:0", Target: u.Addr()}})
		if err != nil {
			return nil, err
		}
		d.mu.Lock()
		d.front[u] = r
		d.mu.Unlock()
	}
	d.mu.Lock()
	if service == EngineService {
		d.Engines = append(d.Engines, u)
	} else {
		d.Services = append(d.Services, u)
	}
	n := len(d.Engines) + len(d.Services)
	d.mu.Unlock()
	d.RegisterUpstream(service, u, d.Options.Zones[n%len(d.Options.Zones)], "ready")
	return u, nil
}

// Register writes the entry of an upstream.
func (d *Deployment) RegisterUpstream(service string, u *backend.Upstream, zone, state string) {
	d.Store.Put("servers", u.ID, map[string]any{
		"service": service, "addr": d.addressOf(u), "zone": zone, "version": "v1", "slots": u.Slots, "state": state, "coldLeftMs": 0,
		"born": time.Now().UnixMilli(), "seq": 1,
	})
}

// Configure writes the next version of the configuration. Change may alter the routes.
func (d *Deployment) Configure(change func(routes []map[string]any) []map[string]any) uint64 {
	d.mu.Lock()
	d.version += 3
	version := d.version
	d.mu.Unlock()
	timeout := d.Options.TimeoutMS
	if timeout == 0 {
		timeout = 3000
	}
	attempts := func(path string, standard int) int {
		if n, ok := d.Options.MaxAttempts[path]; ok {
			return n
		}
		return standard
	}
	route := func(path, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": strings.Trim(path, "/"), "host": Host, "pathPrefix": path, "kind": kind, "timeoutMs": timeout, "sloMs": 300,
			"priority": 0, "service": service, "retain": false, "retainS": d.Options.RetainS,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	routes := []map[string]any{
		route(PathRetained, "stream", EngineService, map[string]any{"retain": true, "sticky": true, "attempts": attempts(PathRetained, 1)}),
		route(PathResumable, "stream", EngineService, map[string]any{"resumable": true, "sticky": true, "attempts": attempts(PathResumable, 1)}),
		route(PathLookup, "idempotent", PlainService, map[string]any{"attempts": attempts(PathLookup, 2)}),
		route(PathOrder, "non_idempotent", PlainService, map[string]any{"attempts": attempts(PathOrder, 1)}),
	}
	if change != nil {
		routes = change(routes)
	}
	d.Store.Put("config", "main", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": EngineService, "healthPath": "/health", "maxConns": 100, "engine": map[string]any{"slots": 8, "tokensPerEvent": TokensPerEvent}},
			{"name": PlainService, "healthPath": "/health", "maxConns": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return version
}

// AddVM starts a VM with a role. Each VM has a loopback address of its own, so that faults can tell them apart.
func (d *Deployment) AddVM(role string) (*VM, error) {
	d.mu.Lock()
	zone := d.Options.Zones[len(*d.list(role))%len(d.Options.Zones)]
	d.mu.Unlock()
	return d.AddVMInZone(role, zone)
}

func (d *Deployment) list(role string) *[]*VM {
	if role == "replica" {
		return &d.Replicas
	}
	return &d.Gateways
}

// AddVMInZone is AddVM in a data centre.
func (d *Deployment) AddVMInZone(role, zone string) (*VM, error) {
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	d.mu.Lock()
	d.nextVM++
	n := d.nextVM
	d.mu.Unlock()
	vm := &VM{Name: fmt.Sprintf("%s-%d", role, n), Role: role, Zone: zone, IP: newIP()}
	ports, err := freePorts(vm.IP, 4)
	if err != nil {
		return nil, err
	}
	vm.FrontAddress, vm.ReadyAddress = net.JoinHostPort(vm.IP, ports[0]), net.JoinHostPort(vm.IP, ports[1])
	if _, err := fmt.Sscan(ports[2], &vm.PortBase); err != nil {
		return nil, errors.Wrap(err, "parse a port")
	}
	vm.DataDir = filepath.Join(d.Options.Dir, vm.Name+"-disk")
	vm.boot = filepath.Join(d.Options.Dir, vm.Name+".yaml")
	if err := os.MkdirAll(vm.DataDir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create the data directory")
	}
	if d.Options.UseRelays {
		if err := d.addRelays(vm); err != nil {
			return nil, err
		}
	}
	if err := d.writeBoot(vm); err != nil {
		return nil, err
	}
	if err := d.StartVM(vm); err != nil {
		return nil, err
	}
	d.mu.Lock()
	list := d.list(role)
	*list = append(*list, vm)
	d.mu.Unlock()
	return vm, nil
}

// Remove ends a VM for good, with its disk.
func (d *Deployment) RemoveVM(vm *VM) error {
	d.KillVM(vm)
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	d.mu.Lock()
	list := d.list(vm.Role)
	*list = slices.DeleteFunc(slices.Clone(*list), func(o *VM) bool { return o == vm })
	d.mu.Unlock()
	for _, r := range []*relay.Relay{vm.StoreRelay, vm.ReplicaRelay} {
		if r != nil {
			r.Close()
		}
	}
	return errors.Wrap(os.RemoveAll(vm.DataDir), "remove the data directory")
}

// SetStoreRules sets the rules of the links between all VMs and the store, also of VMs that are added later. It needs relays.
func (d *Deployment) SetStoreRules(rules []relay.Rule) error {
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	d.storeRules = rules
	d.mu.Lock()
	vms := d.vms()
	d.mu.Unlock()
	for _, vm := range vms {
		if err := vm.StoreRelay.SetRules(rules); err != nil {
			return err
		}
	}
	return nil
}

// addresses counts the VMs of all deployments of this process, which may run side by side.
var addresses atomic.Int64

// newIP returns a loopback address that no other VM of this process has.
func newIP() string {
	const last = 250 // Addresses that end in 0 or 255 are left out.
	n := int(addresses.Add(1)) - 1
	return fmt.Sprintf("127.%d.%d.%d", n/last, 10+os.Getpid()%200, 1+n%last)
}

func (d *Deployment) addRelays(vm *VM) (err error) {
	if vm.StoreRelay, err = relay.Start([]relay.Link{{Listen: "127.0.0.1:0", Target: d.Store.Addr()}}); err != nil {
		return err
	}
	if err := vm.StoreRelay.SetRules(d.storeRules); err != nil {
		return err
	}
	if vm.Role == "replica" {
		target := net.JoinHostPort(vm.IP, strconv.Itoa(vm.PortBase))
		vm.ReplicaRelay, err = relay.Start([]relay.Link{{Listen: "127.0.0.1:0", Target: target}})
	}
	return err
}

func (d *Deployment) writeBoot(vm *VM) error {
	zones := map[string]string{}
	for i, z := range d.Options.Zones {
		zones[z] = "region-1"
		if i >= 2 {
			zones[z] = "region-2"
		}
	}
	grace := d.Options.GraceS
	if grace == 0 {
		grace = 8
	}
	store := d.Store.Addr()
	if vm.StoreRelay != nil {
		store = vm.StoreRelay.Addresses()[0]
	}
	boot := map[string]any{
		"node": vm.Name, "role": vm.Role, "ip": vm.IP, "zone": vm.Zone, "region": zones[vm.Zone], "zones": zones,
		"portRange": []int{vm.PortBase, vm.PortBase + 15}, "limits": map[string]any{"memoryMb": 200, "maxFds": 1000},
		"tolerate": map[string]any{"machines": d.Options.ToleratedVMFailures}, "bounds": map[string]any{"graceS": grace},
		"platform": map[string]any{"addr": store, "writesPerS": 400, "readsPerS": 2000},
		"notKnown": "ignored",
	}
	if vm.Role == "gateway" {
		boot["serves"], boot["listen"] = []string{"front"}, map[string]any{"front": vm.FrontAddress, "ready": vm.ReadyAddress}
	} else {
		boot["serves"], boot["dataDir"] = []string{"storage"}, vm.DataDir
	}
	raw, err := json.Marshal(boot) // JSON is YAML.
	if err != nil {
		return errors.Wrap(err, "encode the settings")
	}
	return errors.Wrap(os.WriteFile(vm.boot, raw, 0o600), "write the settings")
}

// StartVM starts the process of a VM.
func (d *Deployment) StartVM(vm *VM) error {
	env := []string{"JACKDAWBAY_BOOT=" + vm.boot}
	if vm.ReplicaRelay != nil {
		env = append(env, "JACKDAWBAY_ADVERTISE="+vm.ReplicaRelay.Addresses()[0])
	}
	p, err := d.group.StartWithoutReadyLine(vm.Name, "jackdawbayd", env, vm.Role)
	if err != nil {
		return err
	}
	vm.Process = p
	return nil
}

// Kill ends the process of a VM at once.
func (d *Deployment) KillVM(vm *VM) { vm.Process.Kill() }

// Wipe removes the disk of a VM whose process has ended.
func (d *Deployment) WipeDisk(vm *VM) error {
	if err := os.RemoveAll(vm.DataDir); err != nil {
		return errors.Wrap(err, "remove the data directory")
	}
	return errors.Wrap(os.MkdirAll(vm.DataDir, 0o700), "create the data directory")
}

// Freeze and Thaw suspend the process of a VM.
func (d *Deployment) FreezeVM(vm *VM) error { return vm.Process.Signal(syscall.SIGSTOP) }

// Thaw lets the process of a VM go on.
func (d *Deployment) ThawVM(vm *VM) error { return vm.Process.Signal(syscall.SIGCONT) }

// WaitUntilServing waits until every gateway is ready and a turn can be served.
func (d *Deployment) WaitUntilServing(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, g := range d.Gateways {
		for {
			if d.IsReady(g) && d.probeTurn(g) {
				break
			}
			if time.Now().After(deadline) {
				return errors.Newf("%s does not serve; its log:\n%s", g.Name, d.ReadLog(g))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Ready asks a gateway whether it is ready.
func (d *Deployment) IsReady(g *VM) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.ReadyAddress + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // Nothing is read of it.
	return resp.StatusCode == http.StatusOK
}

func (d *Deployment) probeTurn(g *VM) bool {
	if d.Options.Engines == 0 {
		return true
	}
	a := Send(g, Call{Path: PathResumable, ID: NewID(), Program: NewID(), Budget: 1 << 20, MaxTokens: 1, Deadline: 2 * time.Second})
	return a.Status == http.StatusOK
}

// freePorts returns ports of an address that are free now.
func freePorts(ip string, n int) ([]string, error) {
	var ports []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer func() { _ = l.Close() }() // The port is taken again by the process.
		_, port, err := net.SplitHostPort(l.Addr().String())
		if err != nil {
			return nil, errors.Wrap(err, "split an address")
		}
		ports = append(ports, port)
	}
	return ports, nil
}

// IsViewSettledWith reports whether the view has one set and a member with a disk.
func (d *Deployment) IsViewSettledWith(disk string) bool {
	o, ok := d.Store.Get("jackdawbay-views", "main")
	if !ok {
		return false
	}
	var view struct {
		Sets [][]struct {
			Disk string `json:"disk"`
		} `json:"sets"`
	}
	if err := json.Unmarshal(o.Spec, &view); err != nil || len(view.Sets) != 1 {
		return false
	}
	for _, m := range view.Sets[0] {
		if m.Disk == disk {
			return true
		}
	}
	return false
}

// vms are all gateways and replicas.
func (d *Deployment) vms() []*VM { return append(append([]*VM{}, d.Gateways...), d.Replicas...) }
