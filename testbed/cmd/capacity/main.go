// Command capacity makes the measurements of docs/CAPACITY.md again.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"jackdawbay.dev/testbed/capacity"
)

type commandLine struct {
	Only []string `help:"Measurements to make; all when absent. Names: ${names}." placeholder:"NAME"`
	JSON string   `name:"json" help:"File for the tables as JSON." placeholder:"FILE"`
}

func main() {
	var cli commandLine
	k := kong.Parse(&cli, kong.Name("capacity"), kong.UsageOnError(), kong.Vars{"names": strings.Join(capacity.MeasurementNames(), ", ")},
		kong.Description("Measures cost and reaction times on fleets of real processes on loopback, in at most 8 minutes."))
	k.FatalIfErrorf(run(cli))
}

func run(cli commandLine) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find binaries")
	}
	report, failed := capacity.Run(ctx, filepath.Dir(self), cli.Only, os.Stdout)
	if cli.JSON == "" {
		return failed
	}
	f, err := os.Create(cli.JSON)
	if err != nil {
		return errors.CombineErrors(failed, err)
	}
	if err := report.WriteJSON(f); err != nil {
		failed = errors.CombineErrors(failed, err)
	}
	if err := f.Close(); err != nil {
		return errors.CombineErrors(failed, err)
	}
	if failed != nil {
		fmt.Fprintln(os.Stderr, "some measurements failed")
	}
	return failed
}
