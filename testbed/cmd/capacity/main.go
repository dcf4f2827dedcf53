// Command capacity repeats the measurements of docs/CAPACITY.md.
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
	executable, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the directory of the binaries")
	}
	report, runErr := capacity.Run(ctx, filepath.Dir(executable), cli.Only, os.Stdout)
	if cli.JSON == "" {
		return runErr
	}
	f, err := os.Create(cli.JSON)
	if err != nil {
		return errors.CombineErrors(runErr, err)
	}
	if err := report.WriteJSON(f); err != nil {
		runErr = errors.CombineErrors(runErr, err)
	}
	if err := f.Close(); err != nil {
		return errors.CombineErrors(runErr, err)
	}
	if runErr != nil {
		fmt.Fprintln(os.Stderr, "some measurements failed")
	}
	return runErr
}
