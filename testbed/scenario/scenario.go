// Package scenario runs .txtar scripts against separate processes on loopback: stand-ins, the relay, daemons and
// agents. It adds commands to testscript, which the cmd methods document.
//
// Scripts wait for conditions with the command wait. No command relies on a sleep to establish an order of events.
package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// binaries lists the packages of the binaries that scripts can run. The binaries are on the PATH of a script.
var binaries = []string{
	"jackdawbay.dev/testbed/cmd/standin",
	"jackdawbay.dev/testbed/cmd/agent",
	"jackdawbay.dev/daemon/cmd/jackdawbayd",
	"jackdawbay.dev/cli/cmd/jackdawbay",
}

// binDir is the directory with the built binaries during a test run.
var binDir string

// Main builds the binaries, runs the tests and exits the test process with their status. Call it from TestMain.
func Main(m *testing.M) {
	os.Exit(buildAndRunTests(m))
}

func buildAndRunTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "jackdawbay-scenario-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	args := []string{"build", "-o", dir + "/"}
	if raceDetector {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, binaries...)...)
	if output, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the binaries: %v\n%s", err, output)
		return 1
	}
	binDir = dir
	return m.Run()
}

// Run runs the scripts of a directory as parallel subtests of t.
func Run(t *testing.T, dir string) {
	p, err := scriptParams(dir, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, p)
}

// commandAliases maps commands of this package to names that testscript does not use. Commands of testscript cannot be
// replaced: without the alias, "stop NAME" would end the script as passed.
var commandAliases = map[string]string{"wait": "wait_until", "kill": "kill_process", "stop": "stop_process"}

// aliasedCommandPattern matches a command that has an alias, after optional conditions and an optional negation.
var aliasedCommandPattern = regexp.MustCompile(`(?m)^((?:[ \t]*\[[^\]\n]*\])*[ \t]*(?:![ \t]*)?)(wait|kill|stop)([ \t\r]|$)`)

// fileHeaderPattern matches the header of a file in a script. The first match ends the commands.
var fileHeaderPattern = regexp.MustCompile(`(?m)^-- .+ --[ \t]*$`)

// applyAliases replaces commands by their aliases and leaves the files of the script unchanged. Line numbers stay the
// same.
func applyAliases(script string) string {
	commandsEnd := len(script)
	if first := fileHeaderPattern.FindStringIndex(script); first != nil {
		commandsEnd = first[0]
	}
	return aliasedCommandPattern.ReplaceAllStringFunc(script[:commandsEnd], func(line string) string {
		m := aliasedCommandPattern.FindStringSubmatch(line)
		return m[1] + commandAliases[m[2]] + m[3]
	}) + script[commandsEnd:]
}

// evaluateCondition implements the script condition "known_red". It holds when scripts that are listed in KNOWN-RED.txt
// are to run.
func evaluateCondition(name string) (bool, error) {
	if name != "known_red" {
		return false, errors.Newf("unknown condition %q", name)
	}
	return os.Getenv("JACKDAWBAY_KNOWN_RED") != "", nil
}

// scriptParams returns the testscript parameters for the scripts in dir. It writes the scripts with aliased commands to
// aliasedDir.
func scriptParams(dir, aliasedDir string) (testscript.Params, error) {
	p := testscript.Params{Dir: aliasedDir, RequireUniqueNames: true, RequireExplicitExec: true, Setup: setup, Condition: evaluateCondition}
	scripts, err := filepath.Glob(filepath.Join(dir, "*.txtar"))
	if err != nil || len(scripts) == 0 {
		return p, errors.Newf("no scripts in %s", dir)
	}
	for _, path := range scripts {
		script, err := os.ReadFile(path)
		if err != nil {
			return p, errors.Wrap(err, "read the script")
		}
		if err := os.WriteFile(filepath.Join(aliasedDir, filepath.Base(path)), []byte(applyAliases(string(script))), 0o600); err != nil {
			return p, errors.Wrap(err, "write the aliased script")
		}
	}
	p.Cmds = map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range commands {
		scriptName := name
		if alias, ok := commandAliases[name]; ok {
			scriptName = alias
		}
		p.Cmds[scriptName] = func(ts *testscript.TestScript, negated bool, args []string) {
			h := ts.Value(harnessKey{}).(*harness)
			// Invalid arguments fail the script even where it expects the command to fail.
			switch err := run(h, ts, args); {
			case errors.Is(err, errUsage):
				ts.Fatalf("%s: wrong arguments: %v", name, err)
			case negated && err == nil:
				ts.Fatalf("%s %s: unexpected success", name, strings.Join(args, " "))
			case !negated && err != nil:
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
	return p, nil
}

// command implements a command of a script.
type command func(h *harness, ts *testscript.TestScript, args []string) error

// errUsage marks errors about invalid arguments of a command.
var errUsage = errors.New("wrong arguments")

func usageError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

var commands map[string]command

func init() {
	commands = map[string]command{
		"ports":   (*harness).cmdPorts,
		"standin": (*harness).cmdStandin,
		"daemon":  (*harness).cmdDaemon,
		"fleet":   (*harness).cmdFleet,
		"start":   (*harness).cmdStart,
		"agent":   (*harness).cmdAgent,
		"open":    (*harness).cmdOpen,
		"finish":  (*harness).cmdFinish,
		"check":   (*harness).cmdCheck,
		"kill":    (*harness).cmdKill,
		"freeze":  (*harness).cmdFreeze,
		"thaw":    (*harness).cmdThaw,
		"stop":    (*harness).cmdStop,
		"cut":     (*harness).cmdCut,
		"part":    (*harness).cmdPart,
		"heal":    (*harness).cmdHeal,
		"outage":  (*harness).cmdOutage,
		"fault":   (*harness).cmdFault,
		"wait":    (*harness).cmdWait,
		"http":    (*harness).cmdHTTP,
		"ledger":  (*harness).cmdLedger,
		"log":     (*harness).cmdLog,
		"install": (*harness).cmdInstall,
		"spec":    (*harness).cmdSpec,
		"restart": (*harness).cmdRestart,
		"expand":  (*harness).cmdExpand,
		"load":    (*harness).cmdLoad,
		"calls":   (*harness).cmdCalls,
		"mark":    (*harness).cmdMark,
		"resume":  (*harness).cmdResume,
		"endload": (*harness).cmdEndload,
	}
}

type harnessKey struct{}

// harness is the state of one script.
type harness struct {
	workDir          string
	processes        map[string]*process
	addresses        map[string]string // By process name. A restarted process gets the same address.
	crashedProcesses []string          // Names of processes that exited unexpectedly.
	fleet            *fleetState       // State of the command fleet.
	agentReports     []string          // Report files of the agents.
	racyProcesses    []string          // Names of processes whose log contains a data race.

	installation *installationState // State of the command install.
	loads        map[string]*load
}

func setup(env *testscript.Env) error {
	h := &harness{workDir: env.WorkDir, processes: map[string]*process{}, addresses: map[string]string{}, loads: map[string]*load{}}
	env.Values[harnessKey{}] = h
	env.Setenv("PATH", binDir+string(filepath.ListSeparator)+env.Getenv("PATH"))
	env.Defer(func() {
		for _, l := range h.loads {
			l.cancel()
		}
		crashed := h.killAll(env.T())
		if len(h.racyProcesses) > 0 {
			env.T().Fatal("processes with a data race: " + strings.Join(h.racyProcesses, ", "))
		}
		if len(crashed) > 0 {
			env.T().Fatal("processes ended by themselves: " + strings.Join(crashed, ", "))
		}
		for _, p := range h.processes {
			if err := h.checkLogForKeys(p); err != nil {
				env.T().Fatal(err.Error())
			}
		}
	})
	return nil
}

const (
	defaultWaitTimeout = 10 * time.Second
	waitInterval       = 20 * time.Millisecond
)

// cmdWait implements "wait [TIMEOUT] [!] COMMAND...". It repeats a command of this package, or exec, until it succeeds.
// With ! it repeats the command until it fails. The default timeout is 10 s.
func (h *harness) cmdWait(ts *testscript.TestScript, args []string) error {
	timeout := defaultWaitTimeout
	if len(args) > 0 {
		if d, err := time.ParseDuration(args[0]); err == nil {
			timeout, args = d, args[1:]
		}
	}
	negated := len(args) > 0 && args[0] == "!"
	if negated {
		args = args[1:]
	}
	if len(args) == 0 {
		return usageError("wait [TIMEOUT] [!] COMMAND...")
	}
	run, ok := commands[args[0]]
	if args[0] == "exec" && len(args) > 1 {
		run, ok = func(_ *harness, ts *testscript.TestScript, args []string) error { return ts.Exec(args[0], args[1:]...) }, true
	}
	if !ok {
		return usageError("wait cannot repeat the command %q", args[0])
	}
	start := time.Now()
	deadline := start.Add(timeout)
	for {
		err := run(h, ts, args[1:])
		switch {
		case errors.Is(err, errUsage):
			return err
		case (err != nil) == negated:
			ts.Logf("waited %d ms of at most %s for: %s", time.Since(start).Milliseconds(), timeout, strings.Join(args, " "))
			return nil
		case time.Now().After(deadline):
			return errors.Newf("not reached within %s: %s: last result: %v", timeout, strings.Join(args, " "), err)
		}
		time.Sleep(waitInterval)
	}
}
