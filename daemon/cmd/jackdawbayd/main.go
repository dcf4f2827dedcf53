// Command jackdawbayd is the daemon. It runs in one of three roles: the server of the product's own API for programs, the
// gateway for the routes that a platform's operator configures, or the replica on a VM with a disk.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"jackdawbay.dev/daemon/intake"
	"jackdawbay.dev/daemon/logging"
	"jackdawbay.dev/daemon/node"
	"jackdawbay.dev/daemon/settings"
)

// Exit codes.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

// commands are the roles of the daemon. Without a command, it serves the API for programs.
type commands struct {
	Serve   settings.Flags `cmd:"" default:"withargs" help:"Serve the interface for programs (default)."`
	Gateway roleFlags      `cmd:"" help:"Serve the routes of the operator's configuration."`
	Replica roleFlags      `cmd:"" help:"Keep turns and token counts on this VM's disk."`
}

// roleFlags are the flags of the gateway and replica roles. Their other settings are in the platform's settings file.
type roleFlags struct {
	LogLevel              string  `help:"Lowest level that is logged: debug, info, warn or error." default:"info" env:"JACKDAWBAY_LOG_LEVEL"`
	Advertise             string  `help:"Address at which others reach the replica listener. Default: the listener." env:"JACKDAWBAY_ADVERTISE"`
	CacheBytes            int64   `help:"Bytes of turns that a gateway keeps in memory." default:"12582912" env:"JACKDAWBAY_CACHE_BYTES"`
	SecondAttemptsPercent float64 `help:"Percentage of requests, 0 to 100, for which a gateway may send a second attempt if a response that may be repeated is late; 0 disables them." default:"0" env:"JACKDAWBAY_SECOND_ATTEMPTS_PERCENT"`
	// ManageOverload is off by default: on the users' bench, the placement that belongs to it served fewer programs in time than the
	// default one. See docs/design/admission.md.
	ManageOverload bool `help:"Queue requests while all upstreams are full, limit retries, and place prompts by rendezvous hashing." default:"false" env:"JACKDAWBAY_MANAGE_OVERLOAD"`
	// The defaults of the timeouts are longer than the limits that the users' configurations set for callers, so that only
	// clients outside of those limits meet them.
	HeaderTimeout  time.Duration `help:"Time within which a client sends the head of a request." default:"10s" env:"JACKDAWBAY_HEADER_TIMEOUT"`
	BodyTimeout    time.Duration `help:"Time without a byte of a request body after which it is ended." default:"10s" env:"JACKDAWBAY_BODY_TIMEOUT"`
	WriteTimeout   time.Duration `help:"Time within which a caller of a gateway takes the next 256 KB of its response." default:"20s" env:"JACKDAWBAY_WRITE_TIMEOUT"`
	MaxConnections int           `help:"Connections of clients at most; 0 for three quarters of the file descriptors in the settings file." default:"0" env:"JACKDAWBAY_MAX_CONNECTIONS"`
	RequestMemory  int64         `help:"Bytes that requests and responses may hold; 0 for a share of the memory in the settings file." default:"0" env:"JACKDAWBAY_REQUEST_MEMORY"`
	// MetricsPort is for monitoring systems that use one port for all VMs. The ports in the settings file differ by
	// deployment.
	MetricsPort uint16 `help:"Port at which /metrics is served besides the role's own listener; 0 for none." default:"0" env:"JACKDAWBAY_METRICS_PORT"`
}

func main() {
	var cmd commands
	parser := kong.Must(&cmd,
		kong.Name("jackdawbayd"),
		kong.Description("Schedules agent programs for the callers that reach this VM."),
	)
	parsed, err := parser.Parse(os.Args[1:])
	if err != nil {
		exitOnInvalidSettings(err)
	}
	switch parsed.Command() {
	case "gateway":
		os.Exit(runRole("gateway", cmd.Gateway, runGateway))
	case "replica":
		os.Exit(runRole("replica", cmd.Replica, runReplica))
	}
	nodeSettings, level, err := cmd.Serve.ToNodeSettings()
	if err != nil {
		exitOnInvalidSettings(err)
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level, ReplaceAttr: logging.OmitErrorStack}))
	if err := run(nodeSettings, log); err != nil {
		log.Error("daemon failed", "error", err)
		os.Exit(exitFailed)
	}
}

// exitOnInvalidSettings prints an error and exits with exitInvalidSettings.
func exitOnInvalidSettings(err error) {
	fmt.Fprintln(os.Stderr, "jackdawbayd:", err)
	os.Exit(exitInvalidSettings)
}

// run serves the API for programs until SIGTERM or an interrupt. It prints the addresses of the listeners when it is ready.
func run(nodeSettings node.Settings, log *slog.Logger) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	debug.SetMemoryLimit(intake.HeapLimit(nodeSettings.MemoryBytes))
	n, err := node.New(nodeSettings, log)
	if err != nil {
		return err
	}
	callers, peers, ops := n.Addresses()
	fmt.Printf("ready address=%s peer=%s ops=%s\n", callers, peers, ops)
	return n.Run(ctx)
}
