package command

import (
	"io"

	"jackdawbay.dev/cli/load"
)

// Load runs a seeded, bounded load against daemons.
type Load struct {
	load.Command
}

// loadReport adapts load.Report to the report interface.
type loadReport struct {
	load.Report
}

func (r loadReport) writeText(w io.Writer) {
	// A write error is ignored, because there is no other output to report it on.
	_ = r.WriteText(w)
}

// Run executes the verb.
func (l *Load) Run(env *environment) error {
	r, err := l.Execute(env.ctx, env.progress)
	env.report = loadReport{r}
	if err != nil {
		return newError(ExitFault, ReasonLoadFailed, "%s.", err.Error())
	}
	return nil
}
