// Command jackdawbayd is the daemon. It runs in one of three roles: the product's own interface for programs, the gateway for
// the routes of a platform's operator, and the replica on VMs with a disk.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"jackdawbay.dev/daemon/logging"
	"jackdawbay.dev/daemon/node"
	"jackdawbay.dev/daemon/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// commands are the roles of the daemon. Without a command it serves the product's own interface.
type commands struct {
	Serve   settings.Flags `cmd:"" default:"withargs" help:"Serve the interface for programs (default)."`
	Gateway roleFlags      `cmd:"" help:"Serve the routes of the operator's configuration."`
	Replica roleFlags      `cmd:"" help:"Keep turns and token counts on this VM's disk."`
}

// roleFlags are the settings of a role on the platform; the others stand in the platform's settings file.
type roleFlags struct {
	LogLevel   string `help:"Lowest level that is logged: debug, info, warn or error." default:"info" env:"JACKDAWBAY_LOG_LEVEL"`
	Advertise  string `help:"Address at which others reach the replica listener. Default: the listener." env:"JACKDAWBAY_ADVERTISE"`
	CacheBytes int64  `help:"Bytes of turns that a gateway keeps in memory." default:"12582912" env:"JACKDAWBAY_CACHE_BYTES"`
	// A monitoring system that knows one port for all VMs cannot follow the ports of the settings file, which differ by deployment.
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
		failSettings(err)
	}
	switch parsed.Command() {
	case "gateway":
		os.Exit(runRole("gateway", cmd.Gateway, runGateway))
	case "replica":
		os.Exit(runRole("replica", cmd.Replica, runReplica))
	}
	set, level, err := cmd.Serve.ToNodeSettings()
	if err != nil {
		failSettings(err)
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level, ReplaceAttr: logging.OmitErrorStack}))
	if err := run(set, log); err != nil {
		log.Error("daemon failed", "error", err)
		os.Exit(exitFailed)
	}
}

func failSettings(err error) {
	fmt.Fprintln(os.Stderr, "jackdawbayd:", err)
	os.Exit(exitSettings)
}

func run(set node.Settings, log *slog.Logger) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	n, err := node.New(set, log)
	if err != nil {
		return err
	}
	callers, peers, ops := n.Addresses()
	fmt.Printf("ready address=%s peer=%s ops=%s\n", callers, peers, ops)
	return n.Run(ctx)
}
