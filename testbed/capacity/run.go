// Package capacity measures the resource usage and the reaction times of daemons, on fleets of real processes on
// loopback.
package capacity

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// RunTimeout is the timeout of a whole run.
const RunTimeout = 8 * time.Minute

// runner runs measurements and collects their tables.
type runner struct {
	binaryDir     string
	out           io.Writer
	report        Report
	currentTables []*Table // Tables of the measurement in progress.
}

func (r *runner) newTable(name, title string, columns ...string) *Table {
	t := &Table{Name: name, Title: title, Columns: columns}
	r.currentTables = append(r.currentTables, t)
	return t
}

// measurement is a named function that adds one or more tables.
type measurement struct {
	name string
	run  func(*runner, context.Context) error
}

var measurements = []measurement{
	{"latency", (*runner).measureLatency},
	{"journal", (*runner).measureJournal},
	{"programs", (*runner).measurePrograms},
	{"tokens", (*runner).measureTokens},
	{"engines", (*runner).measureEngines},
	{"tenants", (*runner).measureTenants},
	{"history", (*runner).measureHistory},
	{"series", (*runner).measureSeries},
	{"replay", (*runner).measureReplay},
	{"workload", (*runner).measureWorkload},
	{"control", (*runner).measureControl},
}

// MeasurementNames returns the names of all measurements.
func MeasurementNames() []string {
	var names []string
	for _, m := range measurements {
		names = append(names, m.name)
	}
	return names
}

// Run runs the named measurements, or all if none are named, with the binaries in a directory. A failed measurement
// does not stop the others; the returned error contains its name.
func Run(ctx context.Context, binaryDir string, names []string, out io.Writer) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, RunTimeout)
	defer cancel()
	r := &runner{binaryDir: binaryDir, out: out, report: Report{Cores: runtime.NumCPU()}}
	var combined error
	for _, m := range measurements {
		if len(names) > 0 && !slices.Contains(names, m.name) {
			continue
		}
		start := time.Now()
		err := m.run(r, ctx)
		combined = errors.CombineErrors(combined, errors.Wrap(err, m.name))
		if err := r.writeTables(err, m.name, time.Since(start)); err != nil {
			return r.report, err
		}
	}
	return r.report, combined
}

// writeTables prints the tables of a measurement and moves them to the report.
func (r *runner) writeTables(measureErr error, name string, elapsed time.Duration) error {
	if measureErr != nil && len(r.currentTables) == 0 {
		r.newTable(name, "not measured")
	}
	for _, t := range r.currentTables {
		t.LoadAverage = loadAverage()
		if measureErr != nil {
			t.Error = measureErr.Error()
		}
		if err := t.WriteText(r.out); err != nil {
			return err
		}
	}
	r.report.Tables = append(r.report.Tables, r.currentTables...)
	r.currentTables = nil
	_, err := fmt.Fprintf(r.out, "  (%s took %.0f s)\n", name, elapsed.Seconds())
	return err
}
