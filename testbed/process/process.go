// Package process starts the processes of a test bed, waits until they are ready, and ends exactly those by their id.
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

// readyTimeout bounds the wait for the ready line of a process.
const readyTimeout = 15 * time.Second

// Process is one running process.
type Process struct {
	Name        string
	ReadyFields map[string]string // Fields of the ready line, such as address.

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Group holds the processes of one test bed. It is safe for concurrent use.
type Group struct {
	binaries string
	logs     string

	mu   sync.Mutex
	list []*Process
}

// NewGroup returns a group that finds binaries in one folder and writes logs to another.
func NewGroup(binaries, logs string) *Group { return &Group{binaries: binaries, logs: logs} }

// Start runs a binary and waits for its ready line.
func (g *Group) Start(name, binary string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(g.logs, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	// The child holds its own copy of the file.
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(g.binaries, binary), args...)
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
	g.list = append(g.list, p)
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

// StartWithoutReadyLine runs a binary that prints no ready line. Its output is appended to the log, so that restarts follow each other.
func (g *Group) StartWithoutReadyLine(name, binary string, env []string, args ...string) (*Process, error) {
	log, err := os.OpenFile(g.LogPath(name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	// The child holds its own copy of the file.
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(g.binaries, binary), args...)
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
	g.list = append(g.list, p)
	return p, nil
}

// LogPath is the file with the output of a process.
func (g *Group) LogPath(name string) string { return filepath.Join(g.logs, name+".log") }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// watch reads the ready line and waits for the exit.
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

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends the process at once, as the loss of its VM would, and waits for its end.
func (p *Process) Kill() {
	// A process that has ended needs no signal.
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop asks the process to end and returns the error of its exit.
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

// StopAll kills every process that still runs.
func (g *Group) StopAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.list {
		select {
		case <-p.done:
		default:
			p.Kill()
		}
	}
	g.list = nil
}
