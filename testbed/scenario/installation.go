package scenario

import (
	"bytes"
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
)

// installationKeys holds the keys of an installation by name. They are valid only inside a test. No process may log or
// return one.
var installationKeys = map[string]string{
	"tenant":   "tenant-key-of-the-installation",
	"other":    "other-tenant-key-of-the-installation",
	"platform": "platform-key-of-the-installation",
	"peer":     "peer-key-of-the-installation",
	"upstream": "upstream-key-of-the-installation",
}

// Names in the records of an installation.
const (
	installationTenant      = "merrimack-falls"
	installationOtherTenant = "seacoast-club"
	installationModel       = "kit-model"
	installationGroup       = "kit-agents"
	installationPrinter     = "printer" // Accepts orders, which must not be repeated.
	installationStock       = "stock"   // Serves stock checks, which may be repeated.
)

// installedDaemon is a daemon that the command install starts.
type installedDaemon struct {
	name string
	args []string
}

// installationState is the installation that the command install starts.
type installationState struct {
	daemons []installedDaemon
	records map[string]map[string]any // Record specs by key KIND-NAME.
}

// dataCentreArg is a parsed argument NAME:REGION:DAEMONS:ENGINES.
type dataCentreArg struct {
	name, region             string
	daemonCount, engineCount int
}

const installSynopsis = "install [engine=FLAG|daemon=FLAG|printer=FLAG]... NAME:REGION:DAEMONS:ENGINES..."

func parseDataCentreArg(arg string) (dataCentreArg, error) {
	parts := strings.Split(arg, ":")
	if len(parts) != 4 {
		return dataCentreArg{}, usageError(installSynopsis)
	}
	daemonCount, err := strconv.Atoi(parts[2])
	if err != nil {
		return dataCentreArg{}, usageError(installSynopsis)
	}
	engineCount, err := strconv.Atoi(parts[3])
	if err != nil {
		return dataCentreArg{}, usageError(installSynopsis)
	}
	return dataCentreArg{name: parts[0], region: parts[1], daemonCount: daemonCount, engineCount: engineCount}, nil
}

// cmdInstall implements "install [engine=FLAG|daemon=FLAG|printer=FLAG]... NAME:REGION:DAEMONS:ENGINES...". It starts
// an installation and waits until its daemons are ready. The installation consists of the stand-ins platform, printer
// and stock, the engines DC_e1, DC_e2 and so on, and the daemons DC1, DC2 and so on. Hyphens in the name of a data
// centre become underscores.
//
// The command sets NAME_addr, NAME_ops_addr and NAME_peer_addr for each daemon. It writes the records to files
// records/KIND-NAME.yaml, which the script can change and apply. The CLI jackdawbay gets the platform's URL and key
// file from environment variables. The variables tenant_key, other_key and platform_key hold the keys of two tenants
// and of the platform.
func (h *harness) cmdInstall(ts *testscript.TestScript, args []string) error {
	flags := map[string][]string{}
	var dataCentres []dataCentreArg
	for _, arg := range args {
		if kind, flag, ok := strings.Cut(arg, "="); ok && slices.Contains([]string{"engine", "daemon", "printer"}, kind) {
			flags[kind] = append(flags[kind], flag)
			continue
		}
		dc, err := parseDataCentreArg(arg)
		if err != nil {
			return err
		}
		dataCentres = append(dataCentres, dc)
	}
	if len(dataCentres) == 0 || h.installation != nil {
		return usageError(installSynopsis)
	}
	h.installation = &installationState{records: map[string]map[string]any{}}
	if err := h.writeInstallationKeys(ts); err != nil {
		return err
	}
	if err := h.startStandins(ts, dataCentres, flags); err != nil {
		return err
	}
	if err := h.writeRecordFiles(); err != nil {
		return err
	}
	if err := ts.Exec("jackdawbay", "apply", "records"); err != nil {
		return errors.Wrap(err, "apply the records")
	}
	return h.startInstalledDaemons(ts, dataCentres, flags["daemon"])
}

func (h *harness) writeInstallationKeys(ts *testscript.TestScript) error {
	for name, key := range installationKeys {
		if err := os.WriteFile(filepath.Join(h.workDir, name+".key"), []byte(key+"\n"), 0o600); err != nil {
			return errors.Wrap(err, "write a key")
		}
	}
	ts.Setenv("tenant_key", installationKeys["tenant"])
	ts.Setenv("other_key", installationKeys["other"])
	ts.Setenv("platform_key", installationKeys["platform"])
	return nil
}

func (h *harness) startStandins(ts *testscript.TestScript, dataCentres []dataCentreArg, flags map[string][]string) error {
	if err := h.cmdStandin(ts, []string{"platform", "platform", "--key-file=platform.key"}); err != nil {
		return err
	}
	ts.Setenv("JACKDAWBAY_PLATFORM_URL", "http://"+h.addresses["platform"])
	ts.Setenv("JACKDAWBAY_PLATFORM_KEY_FILE", "platform.key")
	r := h.installation.records
	r["Tenant-"+installationTenant] = map[string]any{"keyHashes": []string{records.HashKey(installationKeys["tenant"])}, "maxPrograms": 100_000}
	r["Tenant-"+installationOtherTenant] = map[string]any{"keyHashes": []string{records.HashKey(installationKeys["other"])}}
	r["Model-"+installationModel] = map[string]any{
		"group": installationGroup, "version": "1", "contextTokens": 128_000, "maxOutputTokens": 2000, "weightBytes": 1 << 30,
	}
	r["Limit-default"] = map[string]any{"class": "default", "maxTurns": 420}
	for _, dc := range dataCentres {
		r["DataCentre-"+dc.name] = map[string]any{"region": dc.region}
		for i := range dc.engineCount {
			if err := h.startEngine(ts, dc.name, i+1, flags["engine"]); err != nil {
				return err
			}
		}
	}
	if err := h.startService(ts, dataCentres[0].name, installationPrinter, flags["printer"], "POST", "/orders", "unsafe"); err != nil {
		return err
	}
	return h.startService(ts, dataCentres[0].name, installationStock, nil, "GET", "/stock", "safe")
}

func (h *harness) startEngine(ts *testscript.TestScript, dataCentre string, number int, flags []string) error {
	name := fmt.Sprintf("%s_e%d", replaceHyphens(dataCentre), number)
	args := append([]string{name, "engine", "--checks-fencing", "--key-file=upstream.key"}, flags...)
	// Repeated --model flags add up, so the default applies only when no such flag is given.
	if !slices.ContainsFunc(flags, func(f string) bool { return strings.HasPrefix(f, "--model=") }) {
		args = append(args, "--model="+installationModel)
	}
	if err := h.cmdStandin(ts, args); err != nil {
		return err
	}
	h.installation.records["Upstream-"+strings.ReplaceAll(name, "_", "-")] = map[string]any{
		"type": "engine", "group": installationGroup, "dataCentre": dataCentre, "address": h.addresses[name],
		"slots": 16, "cacheTokens": 400_000, "checksFencing": true,
	}
	return nil
}

func (h *harness) startService(ts *testscript.TestScript, dataCentre, name string, flags []string, method, prefix, idempotency string) error {
	if err := h.cmdStandin(ts, append([]string{name, "service", "--key-file=upstream.key"}, flags...)); err != nil {
		return err
	}
	h.installation.records["Upstream-"+name] = map[string]any{
		"type": "service", "dataCentre": dataCentre, "address": h.addresses[name],
		"routes": []any{map[string]any{"method": method, "pathPrefix": prefix, "idempotency": idempotency, "timeout": "5s"}},
	}
	return nil
}

func replaceHyphens(name string) string { return strings.ReplaceAll(name, "-", "_") }

// writeRecordFiles writes each record to its own file, as a JSON document on one line. JSON is valid YAML.
func (h *harness) writeRecordFiles() error {
	dir := filepath.Join(h.workDir, "records")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "create the directory of records")
	}
	for key, spec := range h.installation.records {
		kind, name, _ := strings.Cut(key, "-")
		document, err := json.Marshal(map[string]any{
			"apiVersion": records.V2, "kind": kind, "metadata": map[string]any{"name": name}, "spec": spec,
		})
		if err != nil {
			return errors.Wrap(err, "encode a record")
		}
		if err := os.WriteFile(filepath.Join(dir, key+".yaml"), append(document, '\n'), 0o600); err != nil {
			return errors.Wrap(err, "write a record")
		}
	}
	return nil
}

// cmdSpec implements "spec KIND-NAME JSON". It changes fields in the spec of a record, or creates the record, and
// writes the record files. The script applies them with jackdawbay.
func (h *harness) cmdSpec(_ *testscript.TestScript, args []string) error {
	if len(args) != 2 || h.installation == nil {
		return usageError("spec KIND-NAME JSON")
	}
	spec := h.installation.records[args[0]]
	if spec == nil {
		spec = map[string]any{}
		h.installation.records[args[0]] = spec
	}
	if err := json.Unmarshal([]byte(args[1]), &spec); err != nil {
		return usageError("%v", err)
	}
	return h.writeRecordFiles()
}

func (h *harness) startInstalledDaemons(ts *testscript.TestScript, dataCentres []dataCentreArg, flags []string) error {
	for _, dc := range dataCentres {
		for i := range dc.daemonCount {
			name := replaceHyphens(dc.name) + strconv.Itoa(i+1)
			for _, n := range []string{name, name + "_ops", name + "_peer"} {
				if _, err := h.assignAddress(ts, n, "127.0.0.1"); err != nil {
					return err
				}
			}
			d := installedDaemon{name: name, args: append([]string{
				"--vm=" + dc.name + "-vm-" + strconv.Itoa(i+1), "--data-centre=" + dc.name,
				"--listen=" + h.addresses[name], "--peer-listen=" + h.addresses[name+"_peer"], "--ops-listen=" + h.addresses[name+"_ops"],
				"--platform-url=http://" + h.addresses["platform"], "--platform-key-file=platform.key",
				"--peer-key-file=peer.key", "--upstream-key-file=upstream.key",
				"--drain-delay=" + balancerDrainDelay.String(), "--poll-interval=100ms",
			}, flags...)}
			h.installation.daemons = append(h.installation.daemons, d)
			if err := h.startInstalledDaemon(ts, d); err != nil {
				return err
			}
		}
	}
	for _, d := range h.installation.daemons {
		if err := h.processes[d.name].waitFor(startTimeout, "ready", func() bool { return h.isReady(d.name) }); err != nil {
			return err
		}
	}
	return nil
}

func (h *harness) startInstalledDaemon(ts *testscript.TestScript, d installedDaemon) error {
	_, err := h.startProcess(ts, d.name, "daemon", "jackdawbayd", d.args)
	return err
}

// cmdRestart implements "restart NAME". It starts a stopped daemon of the installation with the same flags and waits
// until it is ready.
func (h *harness) cmdRestart(ts *testscript.TestScript, args []string) error {
	if len(args) != 1 || h.installation == nil {
		return usageError("restart NAME")
	}
	i := slices.IndexFunc(h.installation.daemons, func(d installedDaemon) bool { return d.name == args[0] })
	if i < 0 {
		return usageError("no daemon %s in the installation", args[0])
	}
	// The restart truncates the log, so the log is checked first.
	if err := h.checkLogForKeys(h.processes[args[0]]); err != nil {
		return err
	}
	if err := h.startInstalledDaemon(ts, h.installation.daemons[i]); err != nil {
		return err
	}
	return h.processes[args[0]].waitFor(startTimeout, "ready", func() bool { return h.isReady(args[0]) })
}

// isReady reports whether the readiness endpoint of a daemon returns status 200. Load balancers use the same endpoint.
func (h *harness) isReady(name string) bool {
	call := httpCall{method: http.MethodGet, url: "http://" + h.addresses[name+"_ops"] + "/readyz", headers: http.Header{}, timeout: time.Second}
	response, _, err := call.send("")
	return err == nil && response.StatusCode == http.StatusOK
}

// cmdExpand implements "expand FILE COPY". It copies a file and replaces ${NAME} with the value of the script variable
// NAME.
func (h *harness) cmdExpand(ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usageError("expand FILE COPY")
	}
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	return errors.Wrap(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600), "write the copy")
}

// findKey returns the name of an installation key that occurs in text, or an empty string.
func (h *harness) findKey(text []byte) string {
	if h.installation == nil {
		return ""
	}
	for name, key := range installationKeys {
		if bytes.Contains(text, []byte(key)) {
			return name
		}
	}
	return ""
}

// checkLogForKeys returns an error if the log of a process contains a key of the installation.
func (h *harness) checkLogForKeys(p *process) error {
	output, err := os.ReadFile(p.logPath)
	if err != nil {
		return errors.Wrap(err, "read the log")
	}
	if name := h.findKey(output); name != "" {
		return errors.Newf("the log of %s contains the %s key", p.name, name)
	}
	return nil
}
