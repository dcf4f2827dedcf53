// Package settings defines and validates the flags and environment variables of the daemon.
package settings

import (
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/url"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/journal"
	"jackdawbay.dev/daemon/ingress"
	"jackdawbay.dev/daemon/node"
)

// Flags are the command-line settings of jackdawbayd. Each can also be set by an environment variable JACKDAWBAY_<NAME>.
type Flags struct {
	VM              string        `name:"vm" help:"Name of this VM. It is unique in the data centre." env:"JACKDAWBAY_VM"`
	DataCentre      string        `help:"Data centre of this VM." env:"JACKDAWBAY_DATA_CENTRE"`
	Listen          string        `help:"IP address and port for callers." default:"127.0.0.1:7070" env:"JACKDAWBAY_LISTEN"`
	PeerListen      string        `help:"IP address and port for other daemons." default:"127.0.0.1:7071" env:"JACKDAWBAY_PEER_LISTEN"`
	PeerAddress     string        `help:"Address of the peer listener as other daemons reach it. Default: the peer listener." env:"JACKDAWBAY_PEER_ADDRESS"`
	OpsListen       string        `help:"IP address and port for health, readiness and metrics." default:"127.0.0.1:7072" env:"JACKDAWBAY_OPS_LISTEN"`
	SourceAddress   string        `help:"IP address that outgoing connections bind to." env:"JACKDAWBAY_SOURCE_ADDRESS"`
	PlatformURL     string        `name:"platform-url" help:"Base URL of the platform's object API." env:"JACKDAWBAY_PLATFORM_URL"`
	PlatformKeyFile string        `help:"File with the key for the platform." env:"JACKDAWBAY_PLATFORM_KEY_FILE"`
	PeerKeyFile     string        `help:"File with the key for other daemons, one key a line; the first is sent, two are accepted." env:"JACKDAWBAY_PEER_KEY_FILE"`
	UpstreamKeyFile string        `help:"File with the key for upstreams." env:"JACKDAWBAY_UPSTREAM_KEY_FILE"`
	StopTimeout     time.Duration `help:"Time in which a planned stop finishes calls under way." default:"2m" env:"JACKDAWBAY_STOP_TIMEOUT"`
	DrainDelay      time.Duration `help:"Time in which a stopping daemon still takes calls, so that the balancer notices." default:"2s" env:"JACKDAWBAY_DRAIN_DELAY"`
	PollInterval    time.Duration `help:"Interval of load reports and cache events from engines." default:"2s" env:"JACKDAWBAY_POLL_INTERVAL"`
	PlatformTimeout time.Duration `help:"Time limit of one platform call." default:"2s" env:"JACKDAWBAY_PLATFORM_TIMEOUT"`
	PlatformWrites  float64       `help:"Platform writes a second that this daemon may make." default:"50" env:"JACKDAWBAY_PLATFORM_WRITES"`
	PlatformReads   float64       `help:"Platform reads a second that this daemon may make." default:"200" env:"JACKDAWBAY_PLATFORM_READS"`
	FleetWrites     float64       `help:"Writes a second that the platform takes from all daemons together." default:"300" env:"JACKDAWBAY_FLEET_WRITES"`
	MaxPrograms     int           `help:"Programs that this daemon holds at most." default:"20000" env:"JACKDAWBAY_MAX_PROGRAMS"`
	MaxCalls        int           `help:"Calls under way at most." default:"2000" env:"JACKDAWBAY_MAX_CALLS"`
	MaxBodyBytes    int64         `help:"Largest request body in bytes." default:"16777216" env:"JACKDAWBAY_MAX_BODY_BYTES"`
	ResumeGrace     time.Duration `help:"Time for which an answer goes on without a reader." default:"5s" env:"JACKDAWBAY_RESUME_GRACE"`
	BacklogBytes    int           `help:"Journal bytes that may wait for the platform." default:"67108864" env:"JACKDAWBAY_BACKLOG_BYTES"`
	MemoryBytes     int64         `help:"Memory of the daemon in bytes; 0 for that of the machine." default:"0" env:"JACKDAWBAY_MEMORY_BYTES"`
	MaxFDs          int           `name:"max-fds" help:"File descriptors of the daemon; 0 for the limit of the process." default:"0" env:"JACKDAWBAY_MAX_FDS"`
	BodyTimeout     time.Duration `help:"Time without a byte of a request body after which it is ended." default:"10s" env:"JACKDAWBAY_BODY_TIMEOUT"`
	LogLevel        string        `help:"Lowest level that is logged: debug, info, warn or error." default:"info" env:"JACKDAWBAY_LOG_LEVEL"`
}

// ToNodeSettings validates the flags and converts them to the settings of a node and the log level. The error lists every
// invalid flag.
func (f Flags) ToNodeSettings() (node.Settings, slog.Level, error) {
	v := &validator{}
	level := slog.LevelInfo
	if err := level.UnmarshalText([]byte(f.LogLevel)); err != nil {
		v.addProblem("log-level", f.LogLevel, "debug, info, warn or error")
	}
	peerAddress := f.PeerAddress
	if peerAddress == "" {
		peerAddress = f.PeerListen
	}
	nodeSettings := node.Settings{
		VM:                      v.name("vm", f.VM),
		DataCentre:              v.name("data-centre", f.DataCentre),
		CallerListen:            v.address("listen", f.Listen),
		PeerListen:              v.address("peer-listen", f.PeerListen),
		PeerAddress:             v.address("peer-address", peerAddress),
		OpsListen:               v.address("ops-listen", f.OpsListen),
		SourceAddress:           v.source(f.SourceAddress),
		PlatformURL:             v.url("platform-url", f.PlatformURL),
		PlatformKey:             v.key("platform-key-file", f.PlatformKeyFile, 1)[0],
		PeerKeys:                v.key("peer-key-file", f.PeerKeyFile, 2),
		UpstreamKey:             v.key("upstream-key-file", f.UpstreamKeyFile, 1)[0],
		StopTimeout:             v.duration("stop-timeout", f.StopTimeout, time.Second, time.Hour),
		DrainDelay:              v.duration("drain-delay", f.DrainDelay, 0, time.Minute),
		PollInterval:            v.duration("poll-interval", f.PollInterval, 10*time.Millisecond, time.Minute),
		PlatformTimeout:         v.duration("platform-timeout", f.PlatformTimeout, 10*time.Millisecond, time.Minute),
		PlatformWritesPerSecond: v.rate("platform-writes", f.PlatformWrites),
		PlatformReadsPerSecond:  v.rate("platform-reads", f.PlatformReads),
		FleetWritesPerSecond:    v.rate("fleet-writes", f.FleetWrites),
		MaxPrograms:             v.number("max-programs", f.MaxPrograms, 1, 10_000_000),
		MemoryBytes:             v.memory("memory-bytes", f.MemoryBytes),
		MaxFDs:                  v.descriptors("max-fds", f.MaxFDs),
		BodyTimeout:             v.duration("body-timeout", f.BodyTimeout, 10*time.Millisecond, time.Hour),
		Ingress:                 ingress.DefaultConfig(),
		Journal:                 journal.DefaultWriterConfig(),
	}
	nodeSettings.Ingress.MaxCalls = v.number("max-calls", f.MaxCalls, 1, 1_000_000)
	nodeSettings.Ingress.MaxBodyBytes = int64(v.number("max-body-bytes", int(f.MaxBodyBytes), 1024, 64<<20))
	nodeSettings.Ingress.ResumeGrace = v.duration("resume-grace", f.ResumeGrace, 0, time.Minute)
	nodeSettings.Journal.MaxBacklogBytes = v.number("backlog-bytes", f.BacklogBytes, 1<<20, 4<<30)
	return nodeSettings, level, v.err()
}

// validator validates flags and collects the problems. Its methods return the value of the flag in the type of the settings.
type validator struct {
	problems []string
}

func (v *validator) err() error {
	if len(v.problems) == 0 {
		return nil
	}
	return errors.Newf("%d settings are invalid:\n  %s", len(v.problems), strings.Join(v.problems, "\n  "))
}

// addProblem records an invalid flag and the values that are allowed.
func (v *validator) addProblem(flag, value, allowed string) {
	v.problems = append(v.problems, fmt.Sprintf("--%s: invalid value %q; allowed: %s", flag, value, allowed))
}

// maxNameBytes is the maximum length of the name of a VM or a data centre.
const maxNameBytes = 63

func (v *validator) name(flag, value string) string {
	const allowedChars = "abcdefghijklmnopqrstuvwxyz0123456789-"
	if value == "" || len(value) > maxNameBytes || strings.Trim(value, allowedChars) != "" {
		v.addProblem(flag, value, "1 to 63 lower-case letters, digits and hyphens")
	}
	return value
}

func (v *validator) address(flag, value string) string {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		v.addProblem(flag, value, "an IP address and a port, such as 127.0.0.1:7070")
	}
	return value
}

func (v *validator) source(value string) string {
	if value != "" && net.ParseIP(value) == nil {
		v.addProblem("source-address", value, "an IP address or an empty value")
	}
	return value
}

func (v *validator) url(flag, value string) string {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		v.addProblem(flag, value, "a URL such as http://127.0.0.1:7000")
	}
	return strings.TrimSuffix(value, "/")
}

// key reads up to limit keys from a file. It returns at least one element also if the file is invalid, so that the caller
// can index the result and the file is reported once.
func (v *validator) key(flag, path string, limit int) []string {
	body, err := os.ReadFile(path)
	if err != nil {
		v.addProblem(flag, path, "a readable file")
		return []string{""}
	}
	keys := strings.Fields(string(body))
	if len(keys) == 0 || len(keys) > limit {
		v.addProblem(flag, path, fmt.Sprintf("a file with 1 to %d keys, one a line", limit))
		return []string{""}
	}
	return keys
}

func (v *validator) duration(flag string, value, low, high time.Duration) time.Duration {
	if value < low || value > high {
		v.addProblem(flag, value.String(), fmt.Sprintf("%s to %s", low, high))
	}
	return value
}

func (v *validator) rate(flag string, value float64) float64 {
	if value <= 0 || value > 10_000 {
		v.addProblem(flag, fmt.Sprint(value), "above 0 and up to 10000 per second")
	}
	return value
}

func (v *validator) number(flag string, value, low, high int) int {
	if value < low || value > high {
		v.addProblem(flag, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high))
	}
	return value
}

// minMemoryBytes is the least memory with which a daemon starts.
const minMemoryBytes = 64 << 20

// memory returns the memory of the machine in place of zero.
func (v *validator) memory(flag string, value int64) int64 {
	if value == 0 {
		total, err := machineMemory()
		if err != nil {
			v.addProblem(flag, "0", "a number of bytes, since that of the machine is not known")
		}
		return total
	}
	if value < minMemoryBytes {
		v.addProblem(flag, fmt.Sprint(value), fmt.Sprintf("0, or %d and more", minMemoryBytes))
	}
	return value
}

// minFDs is the least number of descriptors with which a daemon starts.
const minFDs = 64

// descriptors returns the limit of the process in place of zero.
func (v *validator) descriptors(flag string, value int) int {
	if value == 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			v.addProblem(flag, "0", "a number of descriptors, since that of the process is not known")
			return 0
		}
		return int(min(limit.Cur, math.MaxInt32))
	}
	if value < minFDs {
		v.addProblem(flag, fmt.Sprint(value), fmt.Sprintf("0, or %d and more", minFDs))
	}
	return value
}
