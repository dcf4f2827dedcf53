// Package settings defines the flags and environment variables of the daemon and checks them. All faults are reported at
// once.
package settings

import (
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/journal"
	"jackdawbay.dev/daemon/ingress"
	"jackdawbay.dev/daemon/node"
)

// Flags are the settings of jackdawbayd. Each has an environment variable JACKDAWBAY_<NAME>.
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
	LogLevel        string        `help:"Lowest level that is logged: debug, info, warn or error." default:"info" env:"JACKDAWBAY_LOG_LEVEL"`
}

// Check turns the flags into settings. The error lists every fault.
func (f Flags) ToNodeSettings() (node.Settings, slog.Level, error) {
	c := &checker{}
	level := slog.LevelInfo
	if err := level.UnmarshalText([]byte(f.LogLevel)); err != nil {
		c.fault("log-level", f.LogLevel, "debug, info, warn or error")
	}
	peerAddress := f.PeerAddress
	if peerAddress == "" {
		peerAddress = f.PeerListen
	}
	set := node.Settings{
		VM:                      c.name("vm", f.VM),
		DataCentre:              c.name("data-centre", f.DataCentre),
		CallerListen:            c.address("listen", f.Listen),
		PeerListen:              c.address("peer-listen", f.PeerListen),
		PeerAddress:             c.address("peer-address", peerAddress),
		OpsListen:               c.address("ops-listen", f.OpsListen),
		SourceAddress:           c.source(f.SourceAddress),
		PlatformURL:             c.url("platform-url", f.PlatformURL),
		PlatformKey:             c.key("platform-key-file", f.PlatformKeyFile, 1)[0],
		PeerKeys:                c.key("peer-key-file", f.PeerKeyFile, 2),
		UpstreamKey:             c.key("upstream-key-file", f.UpstreamKeyFile, 1)[0],
		StopTimeout:             c.duration("stop-timeout", f.StopTimeout, time.Second, time.Hour),
		DrainDelay:              c.duration("drain-delay", f.DrainDelay, 0, time.Minute),
		PollInterval:            c.duration("poll-interval", f.PollInterval, 10*time.Millisecond, time.Minute),
		PlatformTimeout:         c.duration("platform-timeout", f.PlatformTimeout, 10*time.Millisecond, time.Minute),
		PlatformWritesPerSecond: c.rate("platform-writes", f.PlatformWrites),
		PlatformReadsPerSecond:  c.rate("platform-reads", f.PlatformReads),
		FleetWritesPerSecond:    c.rate("fleet-writes", f.FleetWrites),
		MaxPrograms:             c.number("max-programs", f.MaxPrograms, 1, 10_000_000),
		Ingress:                 ingress.DefaultConfig(),
		Journal:                 journal.DefaultWriterConfig(),
	}
	set.Ingress.MaxCalls = c.number("max-calls", f.MaxCalls, 1, 1_000_000)
	set.Ingress.MaxBodyBytes = int64(c.number("max-body-bytes", int(f.MaxBodyBytes), 1024, 64<<20))
	set.Ingress.ResumeGrace = c.duration("resume-grace", f.ResumeGrace, 0, time.Minute)
	set.Journal.MaxBacklogBytes = c.number("backlog-bytes", f.BacklogBytes, 1<<20, 4<<30)
	return set, level, c.err()
}

// checker collects faults.
type checker struct {
	faults []string
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return errors.Newf("%d settings are wrong:\n  %s", len(c.faults), strings.Join(c.faults, "\n  "))
}

func (c *checker) fault(flag, value, allowed string) {
	c.faults = append(c.faults, fmt.Sprintf("--%s: value %q is not allowed; allowed: %s", flag, value, allowed))
}

const maxNameBytes = 63

func (c *checker) name(flag, v string) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789-"
	if v == "" || len(v) > maxNameBytes || strings.Trim(v, letters) != "" {
		c.fault(flag, v, "1 to 63 lower-case letters, digits and hyphens")
	}
	return v
}

func (c *checker) address(flag, v string) string {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		c.fault(flag, v, "an IP address and a port, such as 127.0.0.1:7070")
	}
	return v
}

func (c *checker) source(v string) string {
	if v != "" && net.ParseIP(v) == nil {
		c.fault("source-address", v, "an IP address, or nothing")
	}
	return v
}

func (c *checker) url(flag, v string) string {
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		c.fault(flag, v, "a URL such as http://127.0.0.1:7000")
	}
	return strings.TrimSuffix(v, "/")
}

// key reads keys from a file. It returns at least one element, so that a missing file is one fault and not more.
func (c *checker) key(flag, path string, limit int) []string {
	body, err := os.ReadFile(path)
	if err != nil {
		c.fault(flag, path, "a file that can be read")
		return []string{""}
	}
	keys := strings.Fields(string(body))
	if len(keys) == 0 || len(keys) > limit {
		c.fault(flag, path, fmt.Sprintf("a file with 1 to %d keys, one a line", limit))
		return []string{""}
	}
	return keys
}

func (c *checker) duration(flag string, v, low, high time.Duration) time.Duration {
	if v < low || v > high {
		c.fault(flag, v.String(), fmt.Sprintf("%s to %s", low, high))
	}
	return v
}

func (c *checker) rate(flag string, v float64) float64 {
	if v <= 0 || v > 10_000 {
		c.fault(flag, fmt.Sprint(v), "above 0, at most 10000 a second")
	}
	return v
}

func (c *checker) number(flag string, v, low, high int) int {
	if v < low || v > high {
		c.fault(flag, fmt.Sprint(v), fmt.Sprintf("%d to %d", low, high))
	}
	return v
}
