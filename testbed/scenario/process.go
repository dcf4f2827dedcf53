package scenario

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// Timeouts and poll interval for changes of process state.
const (
	startTimeout = 20 * time.Second
	stopTimeout  = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

// process is a process that a script started.
type process struct {
	name          string
	kind          string // Kind of stand-in, "daemon" or "agent".
	logPath       string // File with stdout and stderr.
	cmd           *exec.Cmd
	exited        chan struct{}
	endedByScript bool // Set when the script has ended the process or expects its exit.
}

func (p *process) isRunning() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

var (
	namePattern  = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	readyPattern = regexp.MustCompile(`(?m)^ready address=(\S+)$`)
)

// Ports are chosen below the ephemeral port range of Linux. Otherwise an outgoing connection could take a port between
// its reservation and its use.
const (
	minPort = 20_000
	maxPort = 32_000
)

var (
	portsMu       sync.Mutex
	reservedPorts = map[int]bool{}
)

// reservePort returns a port that is free on an address and that no other script of this test run uses.
func reservePort(ip string) (int, error) {
	portsMu.Lock()
	defer portsMu.Unlock()
	for range 1000 {
		port := minPort + rand.IntN(maxPort-minPort)
		if reservedPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		reservedPorts[port] = true
		return port, l.Close()
	}
	return 0, errors.Newf("no free port on %s", ip)
}

// assignAddress returns the address of a process name and sets the variable NAME_addr. A new name gets a free port.
func (h *harness) assignAddress(ts *testscript.TestScript, name, ip string) (string, error) {
	if !namePattern.MatchString(name) {
		return "", usageError("the name %q contains characters other than a-z, 0-9 and _", name)
	}
	if h.addresses[name] == "" {
		port, err := reservePort(ip)
		if err != nil {
			return "", err
		}
		h.addresses[name] = fmt.Sprintf("%s:%d", ip, port)
	}
	ts.Setenv(name+"_addr", h.addresses[name])
	return h.addresses[name], nil
}

// cmdPorts implements "ports [IP] NAME...". It reserves a free port for each name and sets NAME_addr to IP:PORT. The
// default IP is 127.0.0.1.
func (h *harness) cmdPorts(ts *testscript.TestScript, args []string) error {
	ip := "127.0.0.1"
	if len(args) > 0 && net.ParseIP(args[0]) != nil {
		ip, args = args[0], args[1:]
	}
	if len(args) == 0 {
		return usageError("ports [IP] NAME...")
	}
	for _, name := range args {
		if _, err := h.assignAddress(ts, name, ip); err != nil {
			return err
		}
	}
	return nil
}

// cmdStandin implements "standin NAME KIND [flags]". It starts a stand-in, waits until it listens and sets NAME_addr
// and NAME_pid. A name that was used before gets the same address again.
func (h *harness) cmdStandin(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return usageError("standin NAME KIND [flags]")
	}
	name, kind := args[0], args[1]
	address, err := h.assignAddress(ts, name, "127.0.0.1")
	if err != nil {
		return err
	}
	p, err := h.startProcess(ts, name, kind, "standin", append([]string{kind, "--listen", address}, args[2:]...))
	if err != nil {
		return err
	}
	return p.waitFor(startTimeout, "ready", func() bool {
		output, err := os.ReadFile(p.logPath)
		return err == nil && readyPattern.Match(output)
	})
}

// cmdDaemon implements "daemon NAME [flags]". It starts jackdawbayd with the given flags and sets NAME_pid. It does not
// wait for readiness; the script does so with the command wait.
func (h *harness) cmdDaemon(ts *testscript.TestScript, args []string) error {
	if len(args) < 1 || !namePattern.MatchString(args[0]) {
		return usageError("daemon NAME [flags]")
	}
	_, err := h.startProcess(ts, args[0], "daemon", "jackdawbayd", args[1:])
	return err
}

func (h *harness) startProcess(ts *testscript.TestScript, name, kind, binary string, args []string) (*process, error) {
	if old := h.processes[name]; old != nil {
		if old.isRunning() {
			return nil, errors.Newf("the process %s is running", name)
		}
		h.recordCrash(old)
	}
	p := &process{name: name, kind: kind, logPath: filepath.Join(h.workDir, name+".log"), exited: make(chan struct{})}
	// A restart truncates the log, so that a ready line of the previous process does not match.
	output, err := os.Create(p.logPath)
	if err != nil {
		return nil, errors.Wrap(err, "create the log")
	}
	defer func() { _ = output.Close() }()
	p.cmd = exec.Command(filepath.Join(binDir, binary), args...)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = h.workDir, output, output
	// The kernel kills the process if the test run panics or times out.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", binary)
	}
	go func() {
		_ = p.cmd.Wait() // The exit status is read from ProcessState.
		close(p.exited)
	}()
	h.processes[name] = p
	ts.Setenv(name+"_pid", strconv.Itoa(p.cmd.Process.Pid))
	return p, nil
}

// waitFor polls condition until it holds. It returns an error if the process exits or the timeout expires.
func (p *process) waitFor(timeout time.Duration, stateName string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if !p.isRunning() {
			return errors.Newf("%s has ended (%s) before it was %s", p.name, p.cmd.ProcessState, stateName)
		}
		if time.Now().After(deadline) {
			return errors.Newf("%s was not %s within %s", p.name, stateName, timeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func (h *harness) lookupProcess(args []string, synopsis string) (*process, error) {
	if len(args) == 0 {
		return nil, usageError("%s", synopsis)
	}
	p := h.processes[args[0]]
	if p == nil {
		return nil, usageError("no process %s was started", args[0])
	}
	return p, nil
}

func (h *harness) sendSignal(args []string, synopsis string, sig syscall.Signal) (*process, error) {
	p, err := h.lookupProcess(args, synopsis)
	if err != nil {
		return nil, err
	}
	if len(args) != 1 {
		return nil, usageError("%s", synopsis)
	}
	if !p.isRunning() {
		return nil, errors.Newf("%s has ended before: %s", p.name, p.cmd.ProcessState)
	}
	return p, errors.Wrapf(p.cmd.Process.Signal(sig), "send a signal to %s", p.name)
}

// cmdKill implements "kill NAME". It ends a process with SIGKILL.
func (h *harness) cmdKill(_ *testscript.TestScript, args []string) error {
	p, err := h.sendSignal(args, "kill NAME", syscall.SIGKILL)
	if err != nil {
		return err
	}
	p.endedByScript = true
	<-p.exited
	return nil
}

// cmdFreeze implements "freeze NAME". It suspends a process with SIGSTOP and waits until it is suspended.
func (h *harness) cmdFreeze(_ *testscript.TestScript, args []string) error {
	p, err := h.sendSignal(args, "freeze NAME", syscall.SIGSTOP)
	if err != nil {
		return err
	}
	return p.waitFor(stopTimeout, "stopped", func() bool { return p.procState() == 'T' })
}

// cmdThaw implements "thaw NAME". It resumes a suspended process with SIGCONT.
func (h *harness) cmdThaw(_ *testscript.TestScript, args []string) error {
	p, err := h.sendSignal(args, "thaw NAME", syscall.SIGCONT)
	if err != nil {
		return err
	}
	return p.waitFor(stopTimeout, "continued", func() bool { return p.procState() != 'T' })
}

// procState returns the state letter of the process from /proc/PID/stat (see proc(5)), which follows the command name
// in parentheses. It returns 0 if the state cannot be read.
func (p *process) procState() byte {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, fields, ok := strings.Cut(string(stat), ") ")
	if !ok || fields == "" {
		return 0
	}
	return fields[0]
}

// cmdStop implements "stop NAME". It ends a process with SIGTERM and checks that its exit status is 0.
func (h *harness) cmdStop(_ *testscript.TestScript, args []string) error {
	p, err := h.sendSignal(args, "stop NAME", syscall.SIGTERM)
	if err != nil {
		return err
	}
	p.endedByScript = true
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		return errors.Newf("%s did not end within %s", p.name, stopTimeout)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return errors.Newf("%s has ended with %s", p.name, p.cmd.ProcessState)
	}
	return nil
}

// cmdLog implements "log NAME REGEXP". It checks that the output of a process matches the regular expression.
func (h *harness) cmdLog(_ *testscript.TestScript, args []string) error {
	p, err := h.lookupProcess(args, "log NAME REGEXP")
	if err != nil {
		return err
	}
	if len(args) != 2 {
		return usageError("log NAME REGEXP")
	}
	pattern, err := regexp.Compile("(?m)" + args[1])
	if err != nil {
		return usageError("%v", err)
	}
	output, err := os.ReadFile(p.logPath)
	if err != nil {
		return errors.Wrap(err, "read the log")
	}
	if !pattern.Match(output) {
		return errors.Newf("the log of %s has no match of %q", p.name, args[1])
	}
	return nil
}

// maxLoggedLines is the number of trailing log lines of each process that are added to the test log.
const maxLoggedLines = 30

// killAll kills every running process by its id and adds its last log lines to the test log. It returns the names of
// all processes that exited unexpectedly.
func (h *harness) killAll(t testscript.T) []string {
	for name, p := range h.processes {
		if !p.isRunning() {
			h.recordCrash(p)
		} else {
			if errors.Is(p.cmd.Process.Kill(), os.ErrProcessDone) {
				h.recordCrash(p)
			}
			<-p.exited
		}
		if output, err := os.ReadFile(p.logPath); err == nil {
			if bytes.Contains(output, []byte("WARNING: DATA RACE")) {
				h.racyProcesses = append(h.racyProcesses, name)
				t.Log(string(output))
			}
			lines := strings.Split(strings.TrimSpace(string(output)), "\n")
			lines = lines[max(0, len(lines)-maxLoggedLines):]
			t.Log(fmt.Sprintf("[%s, %s]\n%s", name, p.cmd.ProcessState, strings.Join(lines, "\n")))
		}
	}
	slices.Sort(h.crashedProcesses)
	return h.crashedProcesses
}

// recordCrash records a process that exited although the script did not end it.
func (h *harness) recordCrash(p *process) {
	if !p.endedByScript {
		h.crashedProcesses = append(h.crashedProcesses, p.name)
	}
}
