package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memoryCheckInterval = 10 * time.Millisecond
	restartDelay        = 300 * time.Millisecond
)

// memoryMB returns the limit of a machine's memory, as in its settings.
func memoryMB(role string) int {
	if role == "gateway" {
		return 134
	}
	return 154
}

// Watchdog plays the platform's part: it ends a process that uses more memory than its machine has, and starts processes that have
// ended again after a short delay.
type Watchdog struct {
	d    *Deployment
	stop chan struct{}
	wg   sync.WaitGroup

	mu   sync.Mutex
	ends map[string]int
	peak map[string]int
}

// Watch starts a watchdog for all machines of the deployment.
func (d *Deployment) Watch() *Watchdog {
	w := &Watchdog{d: d, stop: make(chan struct{}), ends: map[string]int{}, peak: map[string]int{}}
	for _, vm := range append(append([]*VM{}, d.Gateways...), d.Replicas...) {
		w.wg.Go(func() { w.watch(vm) })
	}
	return w
}

func (w *Watchdog) watch(vm *VM) {
	for {
		select {
		case <-w.stop:
			return
		case <-vm.done:
			w.count(vm, "has ended by itself")
			time.Sleep(restartDelay)
			if err := w.d.Start(vm); err != nil {
				w.d.Recordf("cannot start %s again: %v", vm.Name, err)
				return
			}
		case <-time.After(memoryCheckInterval):
			used := residentMB(vm.command.Process.Pid)
			w.mu.Lock()
			w.peak[vm.Name] = max(w.peak[vm.Name], used)
			w.mu.Unlock()
			if used > memoryMB(vm.Role) {
				w.d.Recordf("%s uses %d MB of %d", vm.Name, used, memoryMB(vm.Role))
				vm.Kill()
			}
		}
	}
}

func (w *Watchdog) count(vm *VM, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[vm.Name]++
	w.d.Recordf("END: %s %s, %d times so far", vm.Name, how, w.ends[vm.Name])
}

// Ends returns how often the process of a machine has ended.
func (w *Watchdog) Ends(vm *VM) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ends[vm.Name]
}

// Close ends the watchdog and records the peaks.
func (w *Watchdog) Close() {
	close(w.stop)
	w.wg.Wait()
	for _, vm := range append(append([]*VM{}, w.d.Gateways...), w.d.Replicas...) {
		w.d.Recordf("%s: peak %d MB of %d, ended %d times", vm.Name, w.peak[vm.Name], memoryMB(vm.Role), w.ends[vm.Name])
	}
}

// Faults returns the machines whose processes have ended by themselves three times or more, and whether these are a tenth of the
// machines in use and two at least.
func (w *Watchdog) Faults() (names []string, broken bool) {
	machines := append(append([]*VM{}, w.d.Gateways...), w.d.Replicas...)
	for _, vm := range machines {
		if w.Ends(vm) >= 3 {
			names = append(names, vm.Name)
		}
	}
	return names, len(names) >= 2 && 10*len(names) >= len(machines)
}

// residentMB returns the memory that a process uses, or zero if it has ended.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb >> 10
		}
	}
	return 0
}
