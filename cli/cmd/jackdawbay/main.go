// Command jackdawbay is the command-line tool for operators. It manages records, traces requests and runs loads.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"jackdawbay.dev/cli/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, command.Connect)
	stop()
	os.Exit(int(code))
}
