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

// fleetDaemon is a daemon of the installation. Its source address is its own, so that the relay knows it.
type fleetDaemon struct {
	name       string // Process name, such as falls_a_1.
	vm         string // Name of its VM, such as falls-a-1.
	dataCentre string
	args       []string
}

// fleetState is the installation of a script.
type fleetState struct {
	daemons  []fleetDaemon
	topology agent.Topology
	options  fleetOptions
}

// fleetOptions are the arguments of the command fleet.
type fleetOptions struct {
	dataCentres []fleetDataCentre
	extra       map[string][]string // Flags for engine, daemon, printer, stock and platform.
	engines     int                 // Engines in each data centre.
	replyTokens int
	noDaemons   bool
}

type fleetDataCentre struct {
	name, region string
	daemons      int
	prefix       string // Start of the source addresses, such as 127.10.0.
}

const fleetSynopsis = "fleet DC=REGION:DAEMONS... [engines=N] [reply=TOKENS] [KIND:FLAG...] [nodaemons]"

// topologyFile is the file in the script's folder that agents read.
const topologyFile = "topology.json"

// cmdFleet is "fleet DC=REGION:DAEMONS... [engines=N] [reply=TOKENS] [KIND:FLAG...] [nodaemons]": starts the platform,
// engines, the printer and stock services, a relay in front of the platform and of every daemon's peer listener, and the
// daemons, one data centre after another. The first daemon of a data centre is its coordinator. KIND:FLAG adds a flag to
// the processes platform, engine, printer, stock or daemon. It sets DC_ip (start of the source addresses), NAME_ip,
// NAME_url and NAME_ops for each daemon, with underscores for hyphens.
func (h *harness) cmdFleet(ts *testscript.TestScript, args []string) error {
	o, err := parseFleet(args)
	if err != nil {
		return err
	}
	if h.fleet != nil {
		return usage("the script has a fleet")
	}
	h.fleet = &fleetState{options: o, topology: agent.Topology{
		CallerURLs: map[string]string{}, EngineURLs: map[string]string{}, ServiceURLs: map[string]string{},
		TenantKey: fleet.TenantKey, UpstreamKey: fleet.UpstreamKey, Model: fleet.ModelName, OrderPath: "/orders",
		PrinterService: fleet.PrinterService, StockService: fleet.StockCheckService, ReplyTokens: o.replyTokens,
	}}
	for _, step := range []func(*testscript.TestScript) error{
		h.fleetKeys, h.fleetUpstreams, h.fleetRecords, h.fleetNetwork, h.fleetTopology, h.fleetDaemons,
	} {
		if err := step(ts); err != nil {
			return err
		}
	}
	return nil
}

func parseFleet(args []string) (fleetOptions, error) {
	o := fleetOptions{engines: 1, replyTokens: 24, extra: map[string][]string{}}
	kinds := []string{"platform", "engine", "printer", "stock", "daemon"}
	for _, arg := range args {
		kind, flag, isFlag := strings.Cut(arg, ":")
		name, value, _ := strings.Cut(arg, "=")
		n, numberErr := strconv.Atoi(value)
		switch {
		case arg == "nodaemons":
			o.noDaemons = true
		case isFlag && slices.Contains(kinds, kind):
			o.extra[kind] = append(o.extra[kind], flag)
		case name == "engines" && numberErr == nil:
			o.engines = n
		case name == "reply" && numberErr == nil:
			o.replyTokens = n
		default:
			region, count, _ := strings.Cut(value, ":")
			daemons, err := strconv.Atoi(count)
			if err != nil || daemons < 1 {
				return o, usage("%q: %s", arg, fleetSynopsis)
			}
			prefix := fmt.Sprintf("127.%d.0.", 10+len(o.dataCentres))
			o.dataCentres = append(o.dataCentres, fleetDataCentre{name: name, region: region, daemons: daemons, prefix: prefix})
		}
	}
	if len(o.dataCentres) == 0 {
		return o, usage("%s", fleetSynopsis)
	}
	return o, nil
}

func processName(vm string) string { return strings.ReplaceAll(vm, "-", "_") }

func (h *harness) fleetKeys(*testscript.TestScript) error {
	for name, key := range map[string]string{
		"platform": fleet.PlatformKey, "peer": fleet.PeerKey, "upstream": fleet.UpstreamKey,
	} {
		if err := os.WriteFile(filepath.Join(h.workDir, name+".key"), []byte(key+"\n"), 0o600); err != nil {
			return errors.Wrap(err, "write a key")
		}
	}
	return nil
}

func (h *harness) fleetUpstreams(ts *testscript.TestScript) error {
	o, t := h.fleet.options, &h.fleet.topology
	if err := h.cmdStandin(ts, append([]string{"platform", "platform", "--key-file=platform.key"}, o.extra["platform"]...)); err != nil {
		return err
	}
	for _, dc := range o.dataCentres {
		for i := range o.engines {
			name := fmt.Sprintf("%s-engine-%d", dc.name, i+1)
			args := []string{
				processName(name), "engine", "--model=" + fleet.ModelName, "--checks-fencing", "--key-file=upstream.key",
				"--reply-tokens=" + strconv.Itoa(o.replyTokens), "--load-lag=20ms", "--event-lag=20ms",
			}
			if err := h.cmdStandin(ts, append(args, o.extra["engine"]...)); err != nil {
				return err
			}
			t.EngineURLs[name] = "http://" + h.addresses[processName(name)]
		}
	}
	for _, s := range []struct{ name, process string }{{t.PrinterService, "printer"}, {t.StockService, "stock"}} {
		args := append([]string{s.process, "service", "--key-file=upstream.key"}, o.extra[s.process]...)
		if err := h.cmdStandin(ts, args); err != nil {
			return err
		}
		t.ServiceURLs[s.name] = "http://" + h.addresses[s.process]
	}
	return nil
}

// fleetRecords writes the records that describe the installation to the platform.
func (h *harness) fleetRecords(*testscript.TestScript) error {
	o := h.fleet.options
	f := &fleet.Fleet{PlatformURL: "http://" + h.addresses["platform"]}
	var failed error
	add := func(kind records.Kind, name string, spec map[string]any) {
		list, err := fleet.NewRecord(kind, name, spec)
		for _, r := range list {
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			err = errors.CombineErrors(err, f.PutRecord(ctx, r, 0))
			cancel()
		}
		failed = errors.CombineErrors(failed, err)
	}
	add(records.KindTenant, fleet.TenantName, map[string]any{
		"keyHashes": []string{records.HashKey(fleet.TenantKey)}, "weight": 1, "maxPrograms": 100_000,
	})
	add(records.KindModel, fleet.ModelName, map[string]any{
		"group": fleet.EngineGroup, "version": "1", "contextTokens": 128_000, "maxOutputTokens": 2000, "weightBytes": 1 << 30,
	})
	for _, dc := range o.dataCentres {
		add(records.KindDataCentre, dc.name, map[string]any{"region": dc.region})
		for i := range o.engines {
			name := fmt.Sprintf("%s-engine-%d", dc.name, i+1)
			add(records.KindUpstream, name, map[string]any{
				"type": "engine", "group": fleet.EngineGroup, "dataCentre": dc.name, "address": h.addresses[processName(name)],
				"slots": 16, "cacheTokens": 400_000, "checksFencing": true,
			})
		}
	}
	home := o.dataCentres[0].name
	printerKeys := slices.Contains(o.extra["printer"], "--honours-idempotency-keys")
	add(records.KindUpstream, fleet.PrinterService, map[string]any{
		"type": "service", "dataCentre": home, "address": h.addresses["printer"], "honoursIdempotencyKeys": printerKeys,
		"routes": []any{map[string]any{"method": "POST", "pathPrefix": "/orders", "idempotency": "unsafe", "timeout": "6s"}},
	})
	add(records.KindUpstream, fleet.StockCheckService, map[string]any{
		"type": "service", "dataCentre": home, "address": h.addresses["stock"],
		"routes": []any{map[string]any{"method": "GET", "pathPrefix": "/stock", "idempotency": "safe", "timeout": "2s"}},
	})
	return failed
}

// fleetNetwork chooses the addresses of the daemons and starts the relay.
func (h *harness) fleetNetwork(ts *testscript.TestScript) error {
	o := h.fleet.options
	toPlatform, err := h.address(ts, "to_platform", "127.0.0.1")
	if err != nil {
		return err
	}
	links := []string{"--link=" + toPlatform + "=" + h.addresses["platform"]}
	for _, dc := range o.dataCentres {
		ts.Setenv(processName(dc.name)+"_ip", dc.prefix)
		for i := range dc.daemons {
			d, link, err := h.fleetDaemon(ts, dc, i+1)
			if err != nil {
				return err
			}
			links = append(links, link)
			h.fleet.daemons = append(h.fleet.daemons, d)
		}
	}
	return h.cmdStandin(ts, append([]string{"net", "relay"}, links...))
}

// fleetDaemon chooses the addresses of one daemon and returns its relay link.
func (h *harness) fleetDaemon(ts *testscript.TestScript, dc fleetDataCentre, n int) (fleetDaemon, string, error) {
	vm := fmt.Sprintf("%s-%d", dc.name, n)
	name, ip := processName(vm), fmt.Sprintf("%s%d", dc.prefix, n)
	addresses := map[string]string{}
	for _, use := range []string{"caller", "peer", "ops", "to"} {
		at := ip
		if use == "to" {
			at = "127.0.0.1"
		}
		address, err := h.address(ts, name+"_"+use, at)
		if err != nil {
			return fleetDaemon{}, "", err
		}
		addresses[use] = address
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
	}, h.fleet.options.extra["daemon"]...)
	d := fleetDaemon{name: name, vm: vm, dataCentre: dc.name, args: args}
	return d, "--link=" + addresses["to"] + "=" + addresses["peer"], nil
}

func (h *harness) fleetTopology(*testscript.TestScript) error {
	raw, err := json.Marshal(h.fleet.topology)
	if err != nil {
		return errors.Wrap(err, "encode the topology")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(h.workDir, topologyFile), raw, 0o600), "write the topology")
}

// fleetDaemons starts the first daemon of each data centre, so that it becomes the coordinator, and then the others.
func (h *harness) fleetDaemons(ts *testscript.TestScript) error {
	if h.fleet.options.noDaemons {
		return nil
	}
	var first, others []string
	seen := map[string]bool{}
	for _, d := range h.fleet.daemons {
		if seen[d.dataCentre] {
			others = append(others, d.name)
			continue
		}
		seen[d.dataCentre] = true
		first = append(first, d.name)
	}
	if err := h.cmdStart(ts, first); err != nil || len(others) == 0 {
		return err
	}
	return h.cmdStart(ts, others)
}

// cmdStart is "start NAME...": starts daemons of the fleet and waits until they are ready.
func (h *harness) cmdStart(ts *testscript.TestScript, args []string) error {
	if h.fleet == nil || len(args) == 0 {
		return usage("start NAME... (after fleet)")
	}
	for _, name := range args {
		i := slices.IndexFunc(h.fleet.daemons, func(d fleetDaemon) bool { return d.name == name })
		if i < 0 {
			return usage("the fleet has no daemon %s", name)
		}
		if _, err := h.start(ts, name, "daemon", "jackdawbayd", h.fleet.daemons[i].args); err != nil {
			return err
		}
	}
	for _, name := range args {
		ready := func() bool {
			call := httpCall{method: http.MethodGet, url: "http://" + h.addresses[name+"_ops"] + "/readyz", timeout: time.Second}
			response, _, err := call.send("")
			return err == nil && response.StatusCode == http.StatusOK
		}
		if err := h.processes[name].await(startTimeout, "ready", ready); err != nil {
			return err
		}
	}
	return nil
}

// cmdAgent is "agent NAME [FLAG...]": starts a caller in the background with the flags of "agent run". Its keys start
// with its name, its report is NAME.json, and its gate opens with "open NAME".
func (h *harness) cmdAgent(ts *testscript.TestScript, args []string) error {
	if h.fleet == nil || len(args) == 0 || !namePattern.MatchString(args[0]) {
		return usage("agent NAME [FLAG...] (after fleet)")
	}
	name := args[0]
	report := name + ".json"
	flags := []string{"run", "--topology=" + topologyFile, "--report=" + report, "--name=" + name, "--gate=" + name + ".gate"}
	if _, err := h.start(ts, name, "agent", "agent", append(flags, args[1:]...)); err != nil {
		return err
	}
	h.reports = append(h.reports, report)
	return nil
}

// cmdOpen is "open NAME...": lets the programs of agents pass their gates.
func (h *harness) cmdOpen(_ *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return usage("open NAME...")
	}
	for _, name := range args {
		if _, err := h.lookup([]string{name}, "open NAME..."); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(h.workDir, name+".gate"), nil, 0o600); err != nil {
			return errors.Wrap(err, "open the gate")
		}
	}
	return nil
}

// finishTimeout bounds the wait for agents; a script takes less than 30 s.
const finishTimeout = 25 * time.Second

// cmdFinish is "finish NAME...": waits until agents have ended and checks that their exit status is 0.
func (h *harness) cmdFinish(ts *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return usage("finish NAME...")
	}
	for _, name := range args {
		p, err := h.lookup([]string{name}, "finish NAME...")
		if err != nil {
			return err
		}
		select {
		case <-p.exited:
		case <-time.After(finishTimeout):
			return errors.Newf("%s did not end within %s", name, finishTimeout)
		}
		p.expected = true
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			return errors.Newf("%s has ended with %s", name, p.cmd.ProcessState)
		}
	}
	return nil
}

// cmdCheck is "check [FLAG...]": runs "agent check" over the reports of all agents of the script.
func (h *harness) cmdCheck(ts *testscript.TestScript, args []string) error {
	if len(h.reports) == 0 {
		return usage("no agent was started")
	}
	flags := []string{"check", "--topology=" + topologyFile}
	for _, r := range h.reports {
		flags = append(flags, "--report="+r)
	}
	return ts.Exec("agent", append(flags, args...)...)
}

// cmdPart is "part A B": puts blackholes between two address prefixes in both directions.
func (h *harness) cmdPart(ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usage("part A B")
	}
	if err := h.cmdCut(ts, args); err != nil {
		return err
	}
	return h.cmdCut(ts, []string{args[1], args[0]})
}
