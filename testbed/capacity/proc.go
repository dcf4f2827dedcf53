package capacity

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ProcessUsage holds the resources that a process has used since its start.
type ProcessUsage struct {
	CPUTime       time.Duration // User and system time.
	ResidentBytes float64
	IOBytes       float64 // Bytes passed to read and write calls, including HTTP headers.
}

// ReadProcessUsage reads the usage of a process from /proc.
func ReadProcessUsage(pid int) (ProcessUsage, error) {
	dir := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return ProcessUsage{}, errors.Wrap(err, "read stat")
	}
	usage, err := parseStat(string(stat))
	if err != nil {
		return ProcessUsage{}, err
	}
	io, err := os.ReadFile(dir + "/io")
	if err != nil {
		return ProcessUsage{}, errors.Wrap(err, "read io")
	}
	fields := parseIO(string(io))
	usage.IOBytes = fields["rchar"] + fields["wchar"]
	return usage, nil
}

// Indexes of fields of /proc/PID/stat, counted after the program name, which may contain spaces.
const (
	statUserTicksIndex   = 11
	statSystemTicksIndex = 12
	statResidentIndex    = 21 // In pages.
)

func parseStat(text string) (ProcessUsage, error) {
	nameEnd := strings.LastIndex(text, ")")
	fields := strings.Fields(text[nameEnd+1:])
	if nameEnd < 0 || len(fields) <= statResidentIndex {
		return ProcessUsage{}, errors.Newf("stat has %d fields", len(fields))
	}
	parseField := func(i int) float64 {
		v, _ := strconv.ParseFloat(fields[i], 64)
		return v
	}
	ticks := parseField(statUserTicksIndex) + parseField(statSystemTicksIndex)
	return ProcessUsage{
		CPUTime:       time.Duration(ticks) * clockTick,
		ResidentBytes: parseField(statResidentIndex) * float64(os.Getpagesize()),
	}, nil
}

func parseIO(text string) map[string]float64 {
	fields := map[string]float64{}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(line, ":")
		if v, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil {
			fields[name] = v
		}
	}
	return fields
}

// loadAverage returns the load average of the machine over one minute, or -1 if it cannot be read.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return -1
	}
	first, _, _ := strings.Cut(string(text), " ")
	v, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return -1
	}
	return v
}
