// Package deployment runs gateways and replicas as separate processes on loopback addresses. It also runs stand-ins for the
// users' platform: the metadata store, the settings files, the engines and the plain services.
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

// Host and service names of the deployment.
const (
	Host          = "site.example"
	EngineService = "engines"
	PlainService  = "desk"
	// Path prefixes of the routes.
	PathRetained  = "/kept/"
	PathResumable = "/resumable/"
	PathLookup    = "/lookup/"
	PathOrder     = "/order/"
)

// TokensPerEvent is the number of tokens in one event of an engine's stream.
const TokensPerEvent = 32

// Options configures a deployment.
type Options struct {
	Binaries            string // Directory of the jackdawbayd binary.
	Dir                 string // Directory for logs, settings and data directories.
	Gateways            int
	Replicas            int
	Engines             int
	Services            int
	Zones               []string // Data centres; the first two are in the same region.
	ToleratedVMFailures int
	EventsPerStream     int           // Number of events in an engine's stream.
	EngineVersion       string        // Version of the engines that are added, which their events state; no version in events if empty.
	ResponseDelay       time.Duration // Delay before each event of a stream and before a plain response.
	GraceS              float64
	RetainS             float64
	MaxAttempts         map[string]int // The attempts setting of a route, by path; overrides the default.
	TimeoutMS           int
	Organisations       []Organisation // Nil for a configuration without organisations.
	PublicPaths         []string       // Paths of the routes that need no key.
	MemoryMB            int            // The memoryMb setting of every VM; 200 if zero.
	MaxFDs              int            // The maxFds setting of every VM; 1000 if zero.
	ReplicaMemoryMB     int            // The memoryMb setting of the VMs with a disk; MemoryMB if zero.
	ReplicaMaxFDs       int            // The maxFds setting of the VMs with a disk; MaxFDs if zero.
	MaxBodyBytes        int64          // The maxBodyBytes setting of the configuration; 1 MiB if zero.
	UseRelays           bool           // Runs a relay in front of each upstream and replica, and between each VM and the store.
}

// Organisation is an organisation of the configuration.
type Organisation struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
}

// VM is one VM of the deployment and its process.
type VM struct {
	Name, Role, Zone, IP       string
	FrontAddress, ReadyAddress string
	PortBase                   int
	DataDir                    string
	Process                    *process.Process
	StoreRelay, ReplicaRelay   *relay.Relay // Nil if the deployment has no relays; ReplicaRelay is also nil for gateways.
	settingsPath               string
}

// Deployment is a running deployment.
type Deployment struct {
	Options  Options
	Store    *objectstore.Store
	Gateways []*VM
	Replicas []*VM
	Engines  []*backend.Upstream
	Services []*backend.Upstream

	mu             sync.Mutex
	group          *process.Group
	configVersion  uint64
	vmCount        int
	upstreamRelays map[*backend.Upstream]*relay.Relay

	vmSetMu    sync.Mutex // Serialises adding and removing VMs with changes to the rules of their store relays.
	storeRules []relay.Rule
}

// Start starts the store, the upstreams and the VMs, and waits until every gateway serves.
func Start(o Options) (*Deployment, error) {
	if len(o.Zones) == 0 {
		o.Zones = []string{"zone-a", "zone-b", "zone-c"}
	}
	d := &Deployment{Options: o, group: process.NewGroup(o.Binaries, o.Dir), upstreamRelays: map[*backend.Upstream]*relay.Relay{}}
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

// Close stops all processes, upstreams and relays, and the store.
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
	var relays []*relay.Relay
	for _, r := range d.upstreamRelays {
		relays = append(relays, r)
	}
	for _, vm := range d.allVMs() {
		for _, r := range []*relay.Relay{vm.StoreRelay, vm.ReplicaRelay} {
			if r != nil {
				relays = append(relays, r)
			}
		}
	}
	return relays
}

// UpstreamRelay returns the relay in front of an upstream, or nil if there is none.
func (d *Deployment) UpstreamRelay(u *backend.Upstream) *relay.Relay {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreamRelays[u]
}

// upstreamAddress returns the address at which gateways reach an upstream.
func (d *Deployment) upstreamAddress(u *backend.Upstream) string {
	if r := d.UpstreamRelay(u); r != nil {
		return r.Addresses()[0]
	}
	return u.Addr()
}

// ReadLog returns the output of all processes that have run on a VM, or the text of the error if it cannot be read.
func (d *Deployment) ReadLog(vm *VM) string {
	raw, err := os.ReadFile(d.group.LogPath(vm.Name))
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// AddUpstream starts an upstream and registers it in the store as ready.
func (d *Deployment) AddUpstream(service, id string) (*backend.Upstream, error) {
	u := &backend.Upstream{ID: id, Slots: 8, ResponseDelay: d.Options.ResponseDelay}
	if service == EngineService {
		u.EventsPerStream, u.Version = d.Options.EventsPerStream, d.Options.EngineVersion
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
		d.upstreamRelays[u] = r
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

// RegisterUpstream writes the server entry of an upstream to the store.
func (d *Deployment) RegisterUpstream(service string, u *backend.Upstream, zone, state string) {
	version := u.Version
	if version == "" {
		version = "v1"
	}
	d.Store.Put("servers", u.ID, map[string]any{
		"service": service, "addr": d.upstreamAddress(u), "zone": zone, "version": version, "slots": u.Slots, "state": state, "coldLeftMs": 0,
		"born": time.Now().UnixMilli(), "seq": 1,
	})
}

// Configure writes the next version of the configuration and returns its version. If editRoutes is not nil, it returns the
// routes to write.
func (d *Deployment) Configure(editRoutes func(routes []map[string]any) []map[string]any) uint64 {
	d.mu.Lock()
	d.configVersion += 3
	version := d.configVersion
	d.mu.Unlock()
	timeout := d.Options.TimeoutMS
	if timeout == 0 {
		timeout = 3000
	}
	maxBodyBytes := d.Options.MaxBodyBytes
	if maxBodyBytes == 0 {
		maxBodyBytes = 1 << 20
	}
	maxAttempts := func(path string, defaultValue int) int {
		if n, ok := d.Options.MaxAttempts[path]; ok {
			return n
		}
		return defaultValue
	}
	newRoute := func(path, kind, service string, extra map[string]any) map[string]any {
		r := map[string]any{
			"name": strings.Trim(path, "/"), "host": Host, "pathPrefix": path, "kind": kind, "timeoutMs": timeout, "sloMs": 300,
			"priority": 0, "service": service, "retain": false, "retainS": d.Options.RetainS,
		}
		if slices.Contains(d.Options.PublicPaths, path) {
			r["public"] = true
		}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	routes := []map[string]any{
		newRoute(PathRetained, "stream", EngineService, map[string]any{"retain": true, "sticky": true, "attempts": maxAttempts(PathRetained, 1)}),
		newRoute(PathResumable, "stream", EngineService, map[string]any{"resumable": true, "sticky": true, "attempts": maxAttempts(PathResumable, 1)}),
		newRoute(PathLookup, "idempotent", PlainService, map[string]any{"attempts": maxAttempts(PathLookup, 2)}),
		newRoute(PathOrder, "non_idempotent", PlainService, map[string]any{"attempts": maxAttempts(PathOrder, 1)}),
	}
	if editRoutes != nil {
		routes = editRoutes(routes)
	}
	config := map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": EngineService, "healthPath": "/health", "maxConns": 100, "engine": map[string]any{"slots": 8, "tokensPerEvent": TokensPerEvent}},
			{"name": PlainService, "healthPath": "/health", "maxConns": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if d.Options.Organisations != nil {
		config["tenants"] = d.Options.Organisations
	}
	d.Store.Put("config", "main", config)
	return version
}

// AddVM starts a VM with a role. Each VM has its own loopback address, so that faults can be injected for a single VM.
func (d *Deployment) AddVM(role string) (*VM, error) {
	d.mu.Lock()
	zone := d.Options.Zones[len(*d.vmsOfRole(role))%len(d.Options.Zones)]
	d.mu.Unlock()
	return d.AddVMInZone(role, zone)
}

func (d *Deployment) vmsOfRole(role string) *[]*VM {
	if role == "replica" {
		return &d.Replicas
	}
	return &d.Gateways
}

// AddVMInZone is like AddVM for a given data centre.
func (d *Deployment) AddVMInZone(role, zone string) (*VM, error) {
	d.vmSetMu.Lock()
	defer d.vmSetMu.Unlock()
	d.mu.Lock()
	d.vmCount++
	n := d.vmCount
	d.mu.Unlock()
	vm := &VM{Name: fmt.Sprintf("%s-%d", role, n), Role: role, Zone: zone, IP: allocateIP()}
	ports, err := freePorts(vm.IP, 4)
	if err != nil {
		return nil, err
	}
	vm.FrontAddress, vm.ReadyAddress = net.JoinHostPort(vm.IP, ports[0]), net.JoinHostPort(vm.IP, ports[1])
	if _, err := fmt.Sscan(ports[2], &vm.PortBase); err != nil {
		return nil, errors.Wrap(err, "parse a port")
	}
	vm.DataDir = filepath.Join(d.Options.Dir, vm.Name+"-disk")
	vm.settingsPath = filepath.Join(d.Options.Dir, vm.Name+".yaml")
	if err := os.MkdirAll(vm.DataDir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create the data directory")
	}
	if d.Options.UseRelays {
		if err := d.addRelays(vm); err != nil {
			return nil, err
		}
	}
	if err := d.writeSettings(vm); err != nil {
		return nil, err
	}
	if err := d.StartVM(vm); err != nil {
		return nil, err
	}
	d.mu.Lock()
	vms := d.vmsOfRole(role)
	*vms = append(*vms, vm)
	d.mu.Unlock()
	return vm, nil
}

// RemoveVM kills a VM, removes it from the deployment and deletes its data directory.
func (d *Deployment) RemoveVM(vm *VM) error {
	d.KillVM(vm)
	d.vmSetMu.Lock()
	defer d.vmSetMu.Unlock()
	d.mu.Lock()
	vms := d.vmsOfRole(vm.Role)
	*vms = slices.DeleteFunc(slices.Clone(*vms), func(o *VM) bool { return o == vm })
	d.mu.Unlock()
	for _, r := range []*relay.Relay{vm.StoreRelay, vm.ReplicaRelay} {
		if r != nil {
			r.Close()
		}
	}
	return errors.Wrap(os.RemoveAll(vm.DataDir), "remove the data directory")
}

// SetStoreRules sets the relay rules between the store and all VMs, including VMs that are added later. It requires
// Options.UseRelays.
func (d *Deployment) SetStoreRules(rules []relay.Rule) error {
	d.vmSetMu.Lock()
	defer d.vmSetMu.Unlock()
	d.storeRules = rules
	d.mu.Lock()
	vms := d.allVMs()
	d.mu.Unlock()
	for _, vm := range vms {
		if err := vm.StoreRelay.SetRules(rules); err != nil {
			return err
		}
	}
	return nil
}

// allocatedIPs counts the addresses allocated to all deployments of this process, which may run concurrently.
var allocatedIPs atomic.Int64

// allocateIP returns a loopback address that no other VM in this process uses.
func allocateIP() string {
	const addressesPerSubnet = 250 // Skips addresses that end in 0 or 255.
	n := int(allocatedIPs.Add(1)) - 1
	return fmt.Sprintf("127.%d.%d.%d", n/addressesPerSubnet, 10+os.Getpid()%200, 1+n%addressesPerSubnet)
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

func (d *Deployment) writeSettings(vm *VM) error {
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
	memoryMB, maxFDs := d.Options.MemoryMB, d.Options.MaxFDs
	if vm.Role == "replica" && d.Options.ReplicaMemoryMB > 0 {
		memoryMB, maxFDs = d.Options.ReplicaMemoryMB, d.Options.ReplicaMaxFDs
	}
	if memoryMB == 0 {
		memoryMB = 200
	}
	if maxFDs == 0 {
		maxFDs = 1000
	}
	store := d.Store.Addr()
	if vm.StoreRelay != nil {
		store = vm.StoreRelay.Addresses()[0]
	}
	settings := map[string]any{
		"node": vm.Name, "role": vm.Role, "ip": vm.IP, "zone": vm.Zone, "region": zones[vm.Zone], "zones": zones,
		"portRange": []int{vm.PortBase, vm.PortBase + 15}, "limits": map[string]any{"memoryMb": memoryMB, "maxFds": maxFDs},
		"tolerate": map[string]any{"machines": d.Options.ToleratedVMFailures}, "bounds": map[string]any{"graceS": grace},
		"platform": map[string]any{"addr": store, "writesPerS": 400, "readsPerS": 2000},
		"notKnown": "ignored",
	}
	if vm.Role == "gateway" {
		settings["serves"], settings["listen"] = []string{"front"}, map[string]any{"front": vm.FrontAddress, "ready": vm.ReadyAddress}
	} else {
		settings["serves"], settings["dataDir"] = []string{"storage"}, vm.DataDir
	}
	raw, err := json.Marshal(settings) // JSON is valid YAML.
	if err != nil {
		return errors.Wrap(err, "encode the settings")
	}
	return errors.Wrap(os.WriteFile(vm.settingsPath, raw, 0o600), "write the settings")
}

// StartVM starts the process of a VM.
func (d *Deployment) StartVM(vm *VM) error {
	env := []string{"JACKDAWBAY_BOOT=" + vm.settingsPath}
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

// KillVM kills the process of a VM and waits for its exit.
func (d *Deployment) KillVM(vm *VM) { vm.Process.Kill() }

// WipeDisk empties the data directory of a VM whose process has stopped.
func (d *Deployment) WipeDisk(vm *VM) error {
	if err := os.RemoveAll(vm.DataDir); err != nil {
		return errors.Wrap(err, "remove the data directory")
	}
	return errors.Wrap(os.MkdirAll(vm.DataDir, 0o700), "create the data directory")
}

// FreezeVM suspends the process of a VM with SIGSTOP. Its connections stay open.
func (d *Deployment) FreezeVM(vm *VM) error { return vm.Process.Signal(syscall.SIGSTOP) }

// ThawVM resumes the suspended process of a VM with SIGCONT.
func (d *Deployment) ThawVM(vm *VM) error { return vm.Process.Signal(syscall.SIGCONT) }

// WaitUntilServing waits until every gateway is ready and serves a turn. It returns an error after the timeout.
func (d *Deployment) WaitUntilServing(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, g := range d.Gateways {
		for {
			if d.IsReady(g) && d.canServeTurn(g) {
				break
			}
			if time.Now().After(deadline) {
				return errors.Newf("%s is not serving; log:\n%s", g.Name, d.ReadLog(g))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// IsReady reports whether a gateway's readiness endpoint returns 200.
func (d *Deployment) IsReady(g *VM) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.ReadyAddress + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // The body was not read.
	return resp.StatusCode == http.StatusOK
}

func (d *Deployment) canServeTurn(g *VM) bool {
	if d.Options.Engines == 0 {
		return true
	}
	c := Call{Path: PathResumable, ID: NewID(), Program: NewID(), Budget: 1 << 20, MaxTokens: 1, Deadline: 2 * time.Second}
	for _, o := range d.Options.Organisations {
		if len(o.Keys) > 0 {
			c = c.WithKey(o.Keys[0])
		}
	}
	resp := Send(g, c)
	return resp.Status == http.StatusOK
}

// freePorts returns n currently unused ports of an address.
func freePorts(ip string, n int) ([]string, error) {
	var ports []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer func() { _ = l.Close() }() // Frees the port for the process.
		_, port, err := net.SplitHostPort(l.Addr().String())
		if err != nil {
			return nil, errors.Wrap(err, "split an address")
		}
		ports = append(ports, port)
	}
	return ports, nil
}

// viewMember is a member in the stored view of the replicas.
type viewMember struct {
	VM   string `json:"vm"`
	Disk string `json:"disk"`
}

// viewSets returns the sets of the view in the store, oldest first. It returns none if the store has no view.
func (d *Deployment) viewSets() [][]viewMember {
	o, ok := d.Store.Get("jackdawbay-views", "main")
	if !ok {
		return nil
	}
	var view struct {
		Sets [][]viewMember `json:"sets"`
	}
	if err := json.Unmarshal(o.Spec, &view); err != nil {
		return nil
	}
	return view.Sets
}

// IsViewSettledWith reports whether the view has exactly one set and that set has a member with the given disk identity.
func (d *Deployment) IsViewSettledWith(disk string) bool {
	sets := d.viewSets()
	return len(sets) == 1 && slices.ContainsFunc(sets[0], func(m viewMember) bool { return m.Disk == disk })
}

// CurrentMembers returns the replicas in the last set of the view.
func (d *Deployment) CurrentMembers() []*VM {
	var members []*VM
	if sets := d.viewSets(); len(sets) > 0 {
		for _, vm := range d.ReplicaVMs() {
			if slices.ContainsFunc(sets[len(sets)-1], func(m viewMember) bool { return m.VM == vm.Name }) {
				members = append(members, vm)
			}
		}
	}
	return members
}

// allVMs returns all gateways and replicas.
// ReplicaVMs returns the VMs with the replica role.
func (d *Deployment) ReplicaVMs() []*VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.Replicas)
}

func (d *Deployment) allVMs() []*VM { return append(append([]*VM{}, d.Gateways...), d.Replicas...) }
