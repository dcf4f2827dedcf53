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

// Bounds of waits for processes.
const (
	startTimeout = 20 * time.Second
	stopTimeout  = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

// process is a process that a script started.
type process struct {
	name          string
	kind          string // Kind of stand-in, or "daemon".
	logPath       string // File with its output.
	cmd           *exec.Cmd
	exited        chan struct{}
	endedByScript bool // The script ended it.
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

// Ports are chosen below the range from which Linux takes the ports of outgoing connections, so that a port stays free
// between its choice and its use.
const (
	minPort = 20_000
	maxPort = 32_000
)

var (
	portsMu       sync.Mutex
	reservedPorts = map[int]bool{}
)

// reservePort returns a port that is free on an address and that no other script of this run has.
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

// address returns the address of a name and sets the variable NAME_addr.
func (h *harness) assignAddress(ts *testscript.TestScript, name, ip string) (string, error) {
	if !namePattern.MatchString(name) {
		return "", usageError("the name %q has characters other than a-z, 0-9 and _", name)
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

// cmdPorts is "ports [IP] NAME...": picks a free port for each name and sets the variable NAME_addr to IP:PORT. The
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

// cmdStandin is "standin NAME KIND [flags]": starts a stand-in, waits until it listens and sets NAME_addr and NAME_pid.
// A name that was used before gets the same address again.
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

// cmdDaemon is "daemon NAME [flags]": starts jackdawbayd with the flags as they are and sets NAME_pid. The script waits
// for it to be ready with the command wait.
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
	// A restart starts a new log, so that a line of an earlier start does not count as ready.
	output, err := os.Create(p.logPath)
	if err != nil {
		return nil, errors.Wrap(err, "create the log")
	}
	defer func() { _ = output.Close() }()
	p.cmd = exec.Command(filepath.Join(binDir, binary), args...)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = h.workDir, output, output
	// The process must not outlive a test run that panics or runs into its timeout.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", binary)
	}
	go func() {
		_ = p.cmd.Wait() // The exit status stays in ProcessState.
		close(p.exited)
	}()
	h.processes[name] = p
	ts.Setenv(name+"_pid", strconv.Itoa(p.cmd.Process.Pid))
	return p, nil
}

// await polls a condition while the process runs.
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

// cmdKill is "kill NAME": ends a process with SIGKILL.
func (h *harness) cmdKill(_ *testscript.TestScript, args []string) error {
	p, err := h.sendSignal(args, "kill NAME", syscall.SIGKILL)
	if err != nil {
		return err
	}
	p.endedByScript = true
	<-p.exited
	return nil
}

// cmdFreeze is "freeze NAME": stops a process with SIGSTOP and waits until it is stopped.
func (h *harness) cmdFreeze(_ *testscript.TestScript, args []string) error {
	p, err := h.sendSignal(args, "freeze NAME", syscall.SIGSTOP)
	if err != nil {
		return err
	}
	return p.waitFor(stopTimeout, "stopped", func() bool { return p.procState() == 'T' })
}

// cmdThaw is "thaw NAME": continues a stopped process with SIGCONT.
func (h *harness) cmdThaw(_ *testscript.TestScript, args []string) error {
	p, err := h.sendSignal(args, "thaw NAME", syscall.SIGCONT)
	if err != nil {
		return err
	}
	return p.waitFor(stopTimeout, "continued", func() bool { return p.procState() != 'T' })
}

// state returns the state of the process from proc(5): the letter after the command name in parentheses.
func (p *process) procState() byte {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, ok := strings.Cut(string(stat), ") ")
	if !ok || rest == "" {
		return 0
	}
	return rest[0]
}

// cmdStop is "stop NAME": ends a process with SIGTERM and checks that its exit status is 0.
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

// cmdLog is "log NAME REGEXP": checks that the output of a process has a match.
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

// maxLoggedLines is the number of last lines of each process that a failed script shows.
const maxLoggedLines = 30

// endAll ends every process by its id and returns the names of those that had ended by themselves.
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

// recordCrash records a process that has ended although the script did not end it.
func (h *harness) recordCrash(p *process) {
	if !p.endedByScript {
		h.crashedProcesses = append(h.crashedProcesses, p.name)
	}
}
