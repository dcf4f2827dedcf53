// Command experiment compares the scheduling core with baselines on simulated engines and a virtual clock.
package main

import (
	"encoding/json"
	"os"

	"github.com/alecthomas/kong"

	"jackdawbay.dev/testbed/experiment"
)

type settings struct {
	Deployment      []string `default:"merrimack,odblask" enum:"merrimack,odblask" help:"Deployments to simulate."`
	Seed            []uint64 `default:"11,12,13" help:"Seeds of the workloads; results are means over them."`
	CalibrationSeed uint64   `default:"1" help:"Seed of the calibration of the capacity."`
	JSON            string   `type:"path" help:"File for the results as JSON."`
}

func main() {
	var s settings
	ctx := kong.Parse(&s, kong.Description("Compares scheduling policies on simulated engines."))
	ctx.FatalIfErrorf(run(s))
}

func run(s settings) error {
	var reports []experiment.Report
	for _, name := range s.Deployment {
		deployment := experiment.Merrimack()
		if name == "odblask" {
			deployment = experiment.Odblask()
		}
		report := experiment.RunSuite(deployment, s.CalibrationSeed, s.Seed)
		report.WriteText(os.Stdout)
		reports = append(reports, report)
	}
	if s.JSON == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(s.JSON, encoded, 0o644)
}
