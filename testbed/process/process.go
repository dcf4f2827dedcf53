// Package process starts the processes of a test bed, waits until they are ready, and stops only these processes, by their id.
package process

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// readyTimeout is the maximum time until a process prints its ready line.
const readyTimeout = 15 * time.Second

// Process is a started process.
type Process struct {
	Name        string
	ReadyFields map[string]string // Fields of the ready line, for example address.

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Group is the set of processes of one test bed. It is safe for concurrent use.
type Group struct {
	binaryDir string
	logDir    string

	mu        sync.Mutex
	processes []*Process
}

// NewGroup returns a group that runs binaries from one directory and writes logs to another.
func NewGroup(binaryDir, logDir string) *Group { return &Group{binaryDir: binaryDir, logDir: logDir} }

// Start runs a binary and waits for its ready line. It returns an error if the process exits or is not ready within readyTimeout.
func (g *Group) Start(name, binary string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(g.logDir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	// The child process has its own file descriptor for the log.
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(g.binaryDir, binary), args...)
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "open stdout")
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", binary)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	ready := make(chan map[string]string, 1)
	go p.watch(out, ready)
	g.mu.Lock()
	g.processes = append(g.processes, p)
	g.mu.Unlock()
	select {
	case p.ReadyFields = <-ready:
		return p, nil
	case <-p.done:
		return nil, errors.Newf("%s exited before it was ready: %v; see %s", name, p.err, log.Name())
	case <-time.After(readyTimeout):
		return nil, errors.Newf("%s was not ready in time", name)
	}
}

// StartWithoutReadyLine runs a binary that prints no ready line. It appends the output to the log, which then contains all
// restarts in order.
func (g *Group) StartWithoutReadyLine(name, binary string, env []string, args ...string) (*Process, error) {
	log, err := os.OpenFile(g.LogPath(name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	// The child process has its own file descriptor for the log.
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(g.binaryDir, binary), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), env...)
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", binary)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.processes = append(g.processes, p)
	return p, nil
}

// LogPath returns the path of a process's log file.
func (g *Group) LogPath(name string) string { return filepath.Join(g.logDir, name+".log") }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// watch sends the fields of the ready line to ready and waits for the exit of the process.
func (p *Process) watch(out io.Reader, ready chan<- map[string]string) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "ready "); ok {
			select {
			case ready <- parseFields(text):
			default:
			}
		}
	}
	p.err = p.cmd.Wait()
	close(p.done)
}

func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for _, f := range strings.Fields(text) {
		if key, value, ok := strings.Cut(f, "="); ok {
			fields[key] = value
		}
	}
	return fields
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill kills the process without a graceful stop, like a failure of its VM, and waits for its exit.
func (p *Process) Kill() {
	// The errors are ignored because they only occur if the process has already exited.
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop sends SIGTERM and waits for the exit of the process, whose error it returns.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrap(err, "signal")
	}
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// StopAll kills every process that is still running.
func (g *Group) StopAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.processes {
		select {
		case <-p.done:
		default:
			p.Kill()
		}
	}
	g.processes = nil
}
