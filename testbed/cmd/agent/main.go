// Command agent runs programs as a caller, and afterwards checks that the invariants were met.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"jackdawbay.dev/testbed/agent"
)

type runCommand struct {
	Topology      string        `required:"" help:"File with the topology."`
	Report        string        `required:"" help:"File for the report."`
	Name          string        `default:"agent" help:"Prefix of call keys and business keys."`
	Seed          uint64        `default:"1" help:"Seed of the drawn steps."`
	Programs      int           `default:"1" help:"Programs that run side by side."`
	Steps         []string      `help:"Steps of every program: model, stock, order or gate. Without it, steps are drawn from the seed."`
	Turns         int           `default:"6" help:"Number of drawn steps."`
	CreateAt      string        `help:"VM that must own the programs."`
	Through       []string      `help:"VMs that take the calls. Default: all."`
	First         string        `help:"VM that gets the first request of each call. Default: in turn."`
	UntilBudget   bool          `help:"End a program when its budget refuses a call, which must happen."`
	Pause         time.Duration `help:"Upper bound of the pause before a call."`
	MaxTokens     int           `default:"64" help:"Output bound of a model call."`
	Budget        int64         `default:"1000000" help:"Budget of a program in tokens."`
	TryTimeout    time.Duration `default:"10s" help:"Bound of one request."`
	CallTimeout   time.Duration `default:"20s" help:"Bound of one call with all its repeats."`
	OrderPatience time.Duration `default:"10s" help:"How long an order is repeated before its refusal is final."`
	Gate          string        `default:"gate" help:"File that opens the gate."`
}

type checkCommand struct {
	Topology     string        `required:"" help:"File with the topology."`
	Report       []string      `required:"" help:"Reports of the runs."`
	Timeout      time.Duration `default:"8s" help:"Bound of waiting for an answer."`
	CacheTimeout time.Duration `default:"5s" help:"Time within which no engine holds cache of an ended program."`
}

type commandLine struct {
	Run   runCommand   `cmd:"" help:"Run programs and write a report."`
	Check checkCommand `cmd:"" help:"Compare reports with ledgers, histories and caches."`
}

func main() {
	var cli commandLine
	k := kong.Parse(&cli, kong.Name("agent"), kong.UsageOnError(), kong.Description("A caller for scenarios."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "agent:", err)
		os.Exit(1)
	}
}

// Run runs the programs and writes the report.
func (c *runCommand) Run(ctx context.Context) error {
	t, err := agent.ReadTopology(c.Topology)
	if err != nil {
		return err
	}
	report, err := agent.Run(ctx, agent.Config{
		Topology: t, Name: c.Name, Seed: c.Seed, Programs: c.Programs, Steps: c.Steps, DrawnSteps: c.Turns,
		OwnerVM: c.CreateAt, IngressVMs: c.Through, FirstIngressVM: c.First,
		UntilBudgetExhausted: c.UntilBudget, MaxPause: c.Pause, MaxOutputTokens: c.MaxTokens, ProgramBudgetTokens: c.Budget,
		RequestTimeout: c.TryTimeout, CallTimeout: c.CallTimeout, OrderRetryTimeout: c.OrderPatience, GateFile: c.Gate, Output: os.Stdout,
	})
	fmt.Printf("programs=%d max_gap_ms=%d\n", len(report.Programs), report.MaxTurnGapMillis)
	return errors.CombineErrors(err, report.Write(c.Report))
}

// Run checks the reports and prints every violation.
func (c *checkCommand) Run(ctx context.Context) error {
	cfg := agent.CheckConfig{ResponseTimeout: c.Timeout, CacheReleaseTimeout: c.CacheTimeout}
	var err error
	if cfg.Topology, err = agent.ReadTopology(c.Topology); err != nil {
		return err
	}
	for _, path := range c.Report {
		r, err := agent.ReadReport(path)
		if err != nil {
			return err
		}
		cfg.Reports = append(cfg.Reports, r)
	}
	violations, err := agent.Check(ctx, cfg)
	if err != nil {
		return err
	}
	for _, v := range violations {
		fmt.Println("violation:", v)
	}
	if len(violations) > 0 {
		return errors.Newf("%d violations", len(violations))
	}
	fmt.Println("no violation")
	return nil
}
