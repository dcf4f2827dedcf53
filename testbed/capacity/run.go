// Package capacity measures what daemons cost and how fast they react, on fleets of real processes on loopback.
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

// Timeout bounds a whole run.
const RunTimeout = 8 * time.Minute

// runner carries out measurements.
type runner struct {
	binaryDir     string
	out           io.Writer
	report        Report
	currentTables []*Table // Tables of the measurement under way.
}

func (r *runner) newTable(name, title string, columns ...string) *Table {
	t := &Table{Name: name, Title: title, Columns: columns}
	r.currentTables = append(r.currentTables, t)
	return t
}

// measurement is one entry of the list. Several tables can come from one.
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

// Names lists the measurements.
func MeasurementNames() []string {
	var names []string
	for _, m := range measurements {
		names = append(names, m.name)
	}
	return names
}

// Run carries out the measurements that are named, or all, with the binaries in a folder. A measurement that fails does
// not stop the others; the error names it.
func Run(ctx context.Context, binaryDir string, only []string, out io.Writer) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, RunTimeout)
	defer cancel()
	r := &runner{binaryDir: binaryDir, out: out, report: Report{Cores: runtime.NumCPU()}}
	var errs error
	for _, m := range measurements {
		if len(only) > 0 && !slices.Contains(only, m.name) {
			continue
		}
		start := time.Now()
		err := m.run(r, ctx)
		errs = errors.CombineErrors(errs, errors.Wrap(err, m.name))
		if err := r.writeTables(err, m.name, time.Since(start)); err != nil {
			return r.report, err
		}
	}
	return r.report, errs
}

// finish prints the tables of a measurement.
func (r *runner) writeTables(measureErr error, name string, took time.Duration) error {
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
	_, err := fmt.Fprintf(r.out, "  (%s took %.0f s)\n", name, took.Seconds())
	return err
}
