package command

import (
	"io"

	"jackdawbay.dev/cli/load"
)

// Load drives daemons with a seeded and bounded load.
type Load struct {
	load.Command
}

// loadReport adapts the report of a load.
type loadReport struct {
	load.Report
}

func (r loadReport) text(w io.Writer) {
	// A closed output cannot be reported anywhere.
	_ = r.WriteText(w)
}

// Run runs the load.
func (l *Load) Run(env *environment) error {
	r, err := l.Execute(env.ctx, env.progress)
	env.report = loadReport{r}
	if err != nil {
		return fail(ExitFault, ReasonLoadFailed, "%s.", err.Error())
	}
	return nil
}
