package crowd

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/testbed/process"
)

// sampleInterval is the time between two samples of a meter.
const sampleInterval = 50 * time.Millisecond

// maxExcess is the multiple of its memory at which a process is killed, so that a fault cannot exhaust the memory of the machine.
const maxExcess = 8

// meter records the highest memory and the most descriptors of a process. The bytes in the queues of its connections count as memory:
// those that have arrived and that it has not read, and those that it has written and that its peers have not read.
type meter struct {
	process *process.Process
	size    vmSize
	pid     int
	stop    chan struct{}
	stopped chan struct{}

	peak        int64 // Bytes of the sample with the most; the following are its parts.
	resident    int64
	queues      queues
	descriptors int
	err         error // First error of a sample while the process was running.
}

func startMeter(p *process.Process, size vmSize) *meter {
	m := &meter{process: p, size: size, pid: p.PID(), stop: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(m.stopped)
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		for {
			if err := m.sample(); err != nil && m.err == nil {
				m.err = err
			}
			if m.peak > maxExcess*int64(size.memoryMB)<<20 {
				p.Kill()
				return
			}
			select {
			case <-m.stop:
				return
			case <-tick.C:
			}
		}
	}()
	return m
}

func (m *meter) sample() error {
	sockets, descriptors, err := m.sockets()
	if err != nil {
		return err
	}
	m.descriptors = max(m.descriptors, descriptors)
	queues, err := queuesOf(sockets)
	if err != nil {
		return err
	}
	resident, err := m.residentBytes()
	if err != nil {
		return err
	}
	if sum := resident + queues.unread + queues.unsent; sum > m.peak {
		m.peak, m.resident, m.queues = sum, resident, queues
	}
	return nil
}

// sockets returns the inodes of the sockets of the process.
func (m *meter) sockets() (inodes map[string]bool, descriptors int, err error) {
	dir := fmt.Sprintf("/proc/%d/fd", m.pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, 0, err
	}
	inodes = map[string]bool{}
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err != nil {
			continue // Closed since the directory was read.
		}
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, len(entries), nil
}

// Columns of /proc/net/tcp.
const (
	columnLocal  = 1
	columnState  = 3
	columnQueues = 4
	columnInode  = 9
	stateListen  = "0A"
	inodeNone    = "0" // A connection that was not accepted yet.
)

// queues are the bytes that the system holds for sockets.
type queues struct {
	unread int64 // Arrived, also on connections that the listeners have not accepted.
	unsent int64 // Written and not acknowledged.
}

func queuesOf(sockets map[string]bool) (queues, error) {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return queues{}, err
	}
	var sum queues
	listening, unaccepted := map[string]bool{}, map[string]int64{}
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) <= columnInode || fields[0] == "sl" {
			continue
		}
		if fields[columnState] == stateListen {
			if sockets[fields[columnInode]] {
				listening[fields[columnLocal]] = true
			}
			continue // Its queue counts connections.
		}
		var unsent, unread int64
		if _, err := fmt.Sscanf(fields[columnQueues], "%x:%x", &unsent, &unread); err != nil {
			return queues{}, err
		}
		switch {
		case sockets[fields[columnInode]]:
			sum.unread += unread
			sum.unsent += unsent
		case fields[columnInode] == inodeNone:
			unaccepted[fields[columnLocal]] += unread
		}
	}
	for local := range listening {
		sum.unread += unaccepted[local]
	}
	return sum, nil
}

func (m *meter) residentBytes() (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, fmt.Errorf("statm has %d fields", len(fields))
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// check checks the bounds of the VM for a process that was started once.
func (m *meter) check(t *testing.T) {
	t.Helper()
	close(m.stop)
	<-m.stopped
	t.Logf("%s: %.1f MB at most (resident %.1f, unread %.1f, unsent %.1f) of %d, %d of %d descriptors", m.process.Name, megabytes(m.peak),
		megabytes(m.resident), megabytes(m.queues.unread), megabytes(m.queues.unsent), m.size.memoryMB, m.descriptors, m.size.maxFDs)
	select {
	case <-m.process.Done():
		t.Fatal("the process has ended")
	default:
	}
	must.EqOp(t, m.pid, m.process.PID())
	must.NoError(t, m.err)
	test.LessEq(t, int64(m.size.memoryMB)<<20, m.peak, test.Sprint("resident memory and bytes in queues"))
	test.LessEq(t, m.size.maxFDs, m.descriptors, test.Sprint("open file descriptors"))
}

func megabytes(n int64) float64 { return float64(n) / (1 << 20) }
