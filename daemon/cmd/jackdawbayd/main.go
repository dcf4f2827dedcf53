// Command jackdawbayd is the daemon that runs on every ingress VM.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"jackdawbay.dev/daemon/node"
	"jackdawbay.dev/daemon/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	var flags settings.Flags
	parser := kong.Must(&flags,
		kong.Name("jackdawbayd"),
		kong.Description("Schedules agent programs for the callers that reach this VM."),
	)
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "jackdawbayd:", err)
		os.Exit(exitSettings)
	}
	set, level, err := flags.Check()
	if err != nil {
		fmt.Fprintln(os.Stderr, "jackdawbayd:", err)
		os.Exit(exitSettings)
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level, ReplaceAttr: shortErrors}))
	if err := run(set, log); err != nil {
		log.Error("daemon failed", "error", err)
		os.Exit(exitFailed)
	}
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

// shortErrors logs the message of an error without its stack, so that an event stays on one line.
func shortErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}
