package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"jackdawbay.dev/api/records"
	"jackdawbay.dev/testbed/agent"
	"jackdawbay.dev/testbed/fleet"
)

// fleetDaemon is a daemon that the command fleet describes. It has its own source address, so the relay can identify
// its connections.
type fleetDaemon struct {
	name       string // Process name, such as falls_a_1.
	vm         string // Name of its VM, such as falls-a-1.
	dataCentre string
	args       []string
}

// fleetState is the installation that the command fleet starts.
type fleetState struct {
	daemons  []fleetDaemon
	topology agent.Topology
	options  fleetOptions
}

// fleetOptions holds the parsed arguments of the command fleet.
type fleetOptions struct {
	dataCentres          []fleetDataCentre
	extraFlags           map[string][]string // Additional flags by process kind: engine, daemon, printer, stock and platform.
	enginesPerDataCentre int
	replyTokens          int
	noDaemons            bool
}

type fleetDataCentre struct {
	name, region  string
	daemonCount   int
	addressPrefix string // Prefix of the source addresses, such as 127.10.0.
}

const fleetSynopsis = "fleet DC=REGION:DAEMONS... [engines=N] [reply=TOKENS] [KIND:FLAG...] [nodaemons]"

// topologyFile is the name of the topology file in the script's work directory. Agents read it.
const topologyFile = "topology.json"

// cmdFleet implements "fleet DC=REGION:DAEMONS... [engines=N] [reply=TOKENS] [KIND:FLAG...] [nodaemons]". It starts the
// platform, the engines, the printer and stock services, a relay in front of the platform and of the peer listener of
// every daemon, and then the daemons. The first daemon of each data centre starts before the others and becomes the
// coordinator. KIND:FLAG adds a flag to processes of the kind platform, engine, printer, stock or daemon. With
// nodaemons, the daemons are not started.
//
// The command sets DC_ip (prefix of the source addresses) for each data centre, and NAME_ip, NAME_url and NAME_ops for
// each daemon, with underscores in place of hyphens.
func (h *harness) cmdFleet(ts *testscript.TestScript, args []string) error {
	opts, err := parseFleetArgs(args)
	if err != nil {
		return err
	}
	if h.fleet != nil {
		return usageError("the script already has a fleet")
	}
	h.fleet = &fleetState{options: opts, topology: agent.Topology{
		CallerURLs: map[string]string{}, EngineURLs: map[string]string{}, ServiceURLs: map[string]string{},
		TenantKey: fleet.TenantKey, UpstreamKey: fleet.UpstreamKey, Model: fleet.ModelName, OrderPath: "/orders",
		PrinterService: fleet.PrinterService, StockService: fleet.StockCheckService, ReplyTokens: opts.replyTokens,
	}}
	for _, step := range []func(*testscript.TestScript) error{
		h.writeFleetKeys, h.startFleetUpstreams, h.writeFleetRecords, h.startFleetRelay, h.writeFleetTopology, h.startFleetDaemons,
	} {
		if err := step(ts); err != nil {
			return err
		}
	}
	return nil
}

func parseFleetArgs(args []string) (fleetOptions, error) {
	opts := fleetOptions{enginesPerDataCentre: 1, replyTokens: 24, extraFlags: map[string][]string{}}
	kinds := []string{"platform", "engine", "printer", "stock", "daemon"}
	for _, arg := range args {
		kind, flag, isFlag := strings.Cut(arg, ":")
		name, value, _ := strings.Cut(arg, "=")
		n, numberErr := strconv.Atoi(value)
		switch {
		case arg == "nodaemons":
			opts.noDaemons = true
		case isFlag && slices.Contains(kinds, kind):
			opts.extraFlags[kind] = append(opts.extraFlags[kind], flag)
		case name == "engines" && numberErr == nil:
			opts.enginesPerDataCentre = n
		case name == "reply" && numberErr == nil:
			opts.replyTokens = n
		default:
			region, count, _ := strings.Cut(value, ":")
			daemonCount, err := strconv.Atoi(count)
			if err != nil || daemonCount < 1 {
				return opts, usageError("%q: %s", arg, fleetSynopsis)
			}
			addressPrefix := fmt.Sprintf("127.%d.0.", 10+len(opts.dataCentres))
			opts.dataCentres = append(opts.dataCentres, fleetDataCentre{name: name, region: region, daemonCount: daemonCount, addressPrefix: addressPrefix})
		}
	}
	if len(opts.dataCentres) == 0 {
		return opts, usageError("%s", fleetSynopsis)
	}
	return opts, nil
}

func processName(vm string) string { return strings.ReplaceAll(vm, "-", "_") }

func (h *harness) writeFleetKeys(*testscript.TestScript) error {
	for name, key := range map[string]string{
		"platform": fleet.PlatformKey, "peer": fleet.PeerKey, "upstream": fleet.UpstreamKey,
	} {
		if err := os.WriteFile(filepath.Join(h.workDir, name+".key"), []byte(key+"\n"), 0o600); err != nil {
			return errors.Wrap(err, "write a key")
		}
	}
	return nil
}

func (h *harness) startFleetUpstreams(ts *testscript.TestScript) error {
	opts, t := h.fleet.options, &h.fleet.topology
	if err := h.cmdStandin(ts, append([]string{"platform", "platform", "--key-file=platform.key"}, opts.extraFlags["platform"]...)); err != nil {
		return err
	}
	for _, dc := range opts.dataCentres {
		for i := range opts.enginesPerDataCentre {
			name := fmt.Sprintf("%s-engine-%d", dc.name, i+1)
			args := []string{
				processName(name), "engine", "--model=" + fleet.ModelName, "--checks-fencing", "--key-file=upstream.key",
				"--reply-tokens=" + strconv.Itoa(opts.replyTokens), "--load-lag=20ms", "--event-lag=20ms",
			}
			if err := h.cmdStandin(ts, append(args, opts.extraFlags["engine"]...)); err != nil {
				return err
			}
			t.EngineURLs[name] = "http://" + h.addresses[processName(name)]
		}
	}
	for _, s := range []struct{ name, process string }{{t.PrinterService, "printer"}, {t.StockService, "stock"}} {
		args := append([]string{s.process, "service", "--key-file=upstream.key"}, opts.extraFlags[s.process]...)
		if err := h.cmdStandin(ts, args); err != nil {
			return err
		}
		t.ServiceURLs[s.name] = "http://" + h.addresses[s.process]
	}
	return nil
}

// writeFleetRecords writes the configuration records of the installation to the platform.
func (h *harness) writeFleetRecords(*testscript.TestScript) error {
	opts := h.fleet.options
	client := &fleet.Fleet{PlatformURL: "http://" + h.addresses["platform"]}
	var putErr error
	putRecord := func(kind records.Kind, name string, spec map[string]any) {
		decoded, err := fleet.NewRecord(kind, name, spec)
		for _, r := range decoded {
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			err = errors.CombineErrors(err, client.PutRecord(ctx, r, 0))
			cancel()
		}
		putErr = errors.CombineErrors(putErr, err)
	}
	putRecord(records.KindTenant, fleet.TenantName, map[string]any{
		"keyHashes": []string{records.HashKey(fleet.TenantKey)}, "weight": 1, "maxPrograms": 100_000,
	})
	putRecord(records.KindModel, fleet.ModelName, map[string]any{
		"group": fleet.EngineGroup, "version": "1", "contextTokens": 128_000, "maxOutputTokens": 2000, "weightBytes": 1 << 30,
	})
	for _, dc := range opts.dataCentres {
		putRecord(records.KindDataCentre, dc.name, map[string]any{"region": dc.region})
		for i := range opts.enginesPerDataCentre {
			name := fmt.Sprintf("%s-engine-%d", dc.name, i+1)
			putRecord(records.KindUpstream, name, map[string]any{
				"type": "engine", "group": fleet.EngineGroup, "dataCentre": dc.name, "address": h.addresses[processName(name)],
				"slots": 16, "cacheTokens": 400_000, "checksFencing": true,
			})
		}
	}
	firstDataCentre := opts.dataCentres[0].name
	printerHonoursKeys := slices.Contains(opts.extraFlags["printer"], "--honours-idempotency-keys")
	putRecord(records.KindUpstream, fleet.PrinterService, map[string]any{
		"type": "service", "dataCentre": firstDataCentre, "address": h.addresses["printer"], "honoursIdempotencyKeys": printerHonoursKeys,
		"routes": []any{map[string]any{"method": "POST", "pathPrefix": "/orders", "idempotency": "unsafe", "timeout": "6s"}},
	})
	putRecord(records.KindUpstream, fleet.StockCheckService, map[string]any{
		"type": "service", "dataCentre": firstDataCentre, "address": h.addresses["stock"],
		"routes": []any{map[string]any{"method": "GET", "pathPrefix": "/stock", "idempotency": "safe", "timeout": "2s"}},
	})
	return putErr
}

// startFleetRelay assigns addresses to the daemons and starts the relay.
func (h *harness) startFleetRelay(ts *testscript.TestScript) error {
	opts := h.fleet.options
	platformRelay, err := h.assignAddress(ts, "to_platform", "127.0.0.1")
	if err != nil {
		return err
	}
	links := []string{"--link=" + platformRelay + "=" + h.addresses["platform"]}
	for _, dc := range opts.dataCentres {
		ts.Setenv(processName(dc.name)+"_ip", dc.addressPrefix)
		for i := range dc.daemonCount {
			d, link, err := h.assignDaemonAddresses(ts, dc, i+1)
			if err != nil {
				return err
			}
			links = append(links, link)
			h.fleet.daemons = append(h.fleet.daemons, d)
		}
	}
	return h.cmdStandin(ts, append([]string{"net", "relay"}, links...))
}

// assignDaemonAddresses assigns the addresses of one daemon and returns the daemon and its relay link.
func (h *harness) assignDaemonAddresses(ts *testscript.TestScript, dc fleetDataCentre, number int) (fleetDaemon, string, error) {
	vm := fmt.Sprintf("%s-%d", dc.name, number)
	name, ip := processName(vm), fmt.Sprintf("%s%d", dc.addressPrefix, number)
	addresses := map[string]string{}
	for _, purpose := range []string{"caller", "peer", "ops", "to"} {
		host := ip
		if purpose == "to" {
			host = "127.0.0.1"
		}
		address, err := h.assignAddress(ts, name+"_"+purpose, host)
		if err != nil {
			return fleetDaemon{}, "", err
		}
		addresses[purpose] = address
	}
	ts.Setenv(name+"_ip", ip)
	ts.Setenv(name+"_url", "http://"+addresses["caller"])
	ts.Setenv(name+"_ops", "http://"+addresses["ops"])
	h.fleet.topology.CallerURLs[vm] = "http://" + addresses["caller"]
	args := append([]string{
		"--vm=" + vm, "--data-centre=" + dc.name,
		"--listen=" + addresses["caller"], "--peer-listen=" + addresses["peer"], "--ops-listen=" + addresses["ops"],
		"--peer-address=" + addresses["to"], "--source-address=" + ip,
		"--platform-url=http://" + h.addresses["to_platform"],
		"--platform-key-file=platform.key", "--peer-key-file=peer.key", "--upstream-key-file=upstream.key",
		"--drain-delay=0s", "--poll-interval=100ms",
	}, h.fleet.options.extraFlags["daemon"]...)
	d := fleetDaemon{name: name, vm: vm, dataCentre: dc.name, args: args}
	return d, "--link=" + addresses["to"] + "=" + addresses["peer"], nil
}

func (h *harness) writeFleetTopology(*testscript.TestScript) error {
	raw, err := json.Marshal(h.fleet.topology)
	if err != nil {
		return errors.Wrap(err, "encode the topology")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(h.workDir, topologyFile), raw, 0o600), "write the topology")
}

// startFleetDaemons starts the first daemon of each data centre and then the others, so that the first ones become the
// coordinators.
func (h *harness) startFleetDaemons(ts *testscript.TestScript) error {
	if h.fleet.options.noDaemons {
		return nil
	}
	var coordinators, others []string
	hasCoordinator := map[string]bool{}
	for _, d := range h.fleet.daemons {
		if hasCoordinator[d.dataCentre] {
			others = append(others, d.name)
			continue
		}
		hasCoordinator[d.dataCentre] = true
		coordinators = append(coordinators, d.name)
	}
	if err := h.cmdStart(ts, coordinators); err != nil || len(others) == 0 {
		return err
	}
	return h.cmdStart(ts, others)
}

// cmdStart implements "start NAME...". It starts daemons of the fleet and waits until they are ready.
func (h *harness) cmdStart(ts *testscript.TestScript, args []string) error {
	if h.fleet == nil || len(args) == 0 {
		return usageError("start NAME... (after fleet)")
	}
	for _, name := range args {
		i := slices.IndexFunc(h.fleet.daemons, func(d fleetDaemon) bool { return d.name == name })
		if i < 0 {
			return usageError("the fleet has no daemon %s", name)
		}
		if _, err := h.startProcess(ts, name, "daemon", "jackdawbayd", h.fleet.daemons[i].args); err != nil {
			return err
		}
	}
	for _, name := range args {
		ready := func() bool {
			call := httpCall{method: http.MethodGet, url: "http://" + h.addresses[name+"_ops"] + "/readyz", timeout: time.Second}
			response, _, err := call.send("")
			return err == nil && response.StatusCode == http.StatusOK
		}
		if err := h.processes[name].waitFor(startTimeout, "ready", ready); err != nil {
			return err
		}
	}
	return nil
}

// cmdAgent implements "agent NAME [FLAG...]". It starts "agent run" in the background with the given flags. The agent's
// keys have the prefix NAME, its report is NAME.json, and "open NAME" opens its gate.
func (h *harness) cmdAgent(ts *testscript.TestScript, args []string) error {
	if h.fleet == nil || len(args) == 0 || !namePattern.MatchString(args[0]) {
		return usageError("agent NAME [FLAG...] (after fleet)")
	}
	name := args[0]
	report := name + ".json"
	flags := []string{"run", "--topology=" + topologyFile, "--report=" + report, "--name=" + name, "--gate=" + name + ".gate"}
	if _, err := h.startProcess(ts, name, "agent", "agent", append(flags, args[1:]...)); err != nil {
		return err
	}
	h.agentReports = append(h.agentReports, report)
	return nil
}

// cmdOpen implements "open NAME...". It creates the gate files of the agents, so that their programs continue past the
// gate.
func (h *harness) cmdOpen(_ *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return usageError("open NAME...")
	}
	for _, name := range args {
		if _, err := h.lookupProcess([]string{name}, "open NAME..."); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(h.workDir, name+".gate"), nil, 0o600); err != nil {
			return errors.Wrap(err, "open the gate")
		}
	}
	return nil
}

// finishTimeout is the maximum time that cmdFinish waits for each agent. A script takes less than 30 s.
const finishTimeout = 25 * time.Second

// cmdFinish implements "finish NAME...". It waits until the agents have exited and checks that their exit status is 0.
func (h *harness) cmdFinish(ts *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return usageError("finish NAME...")
	}
	for _, name := range args {
		p, err := h.lookupProcess([]string{name}, "finish NAME...")
		if err != nil {
			return err
		}
		select {
		case <-p.exited:
		case <-time.After(finishTimeout):
			return errors.Newf("%s did not end within %s", name, finishTimeout)
		}
		p.endedByScript = true
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			return errors.Newf("%s has ended with %s", name, p.cmd.ProcessState)
		}
	}
	return nil
}

// cmdCheck implements "check [FLAG...]". It runs "agent check" on the reports of all agents of the script.
func (h *harness) cmdCheck(ts *testscript.TestScript, args []string) error {
	if len(h.agentReports) == 0 {
		return usageError("no agent was started")
	}
	flags := []string{"check", "--topology=" + topologyFile}
	for _, r := range h.agentReports {
		flags = append(flags, "--report="+r)
	}
	return ts.Exec("agent", append(flags, args...)...)
}

// cmdPart implements "part A B". It blocks traffic between two address prefixes in both directions.
func (h *harness) cmdPart(ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usageError("part A B")
	}
	if err := h.cmdCut(ts, args); err != nil {
		return err
	}
	return h.cmdCut(ts, []string{args[1], args[0]})
}
