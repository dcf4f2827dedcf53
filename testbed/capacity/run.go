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
	binaries string
	out      io.Writer
	report   Report
	pending  []*Table // Tables of the measurement under way.
}

func (r *runner) table(name, title string, columns ...string) *Table {
	t := &Table{Name: name, Title: title, Columns: columns}
	r.pending = append(r.pending, t)
	return t
}

// measurement is one entry of the list. Several tables can come from one.
type measurement struct {
	name string
	run  func(*runner, context.Context) error
}

var measurements = []measurement{
	{"latency", (*runner).latency},
	{"journal", (*runner).journal},
	{"programs", (*runner).programs},
	{"tokens", (*runner).tokens},
	{"engines", (*runner).engines},
	{"tenants", (*runner).tenants},
	{"history", (*runner).history},
	{"series", (*runner).series},
	{"replay", (*runner).replay},
	{"workload", (*runner).workload},
	{"control", (*runner).control},
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
func Run(ctx context.Context, binaries string, only []string, out io.Writer) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, RunTimeout)
	defer cancel()
	r := &runner{binaries: binaries, out: out, report: Report{Cores: runtime.NumCPU()}}
	var failed error
	for _, m := range measurements {
		if len(only) > 0 && !slices.Contains(only, m.name) {
			continue
		}
		start := time.Now()
		err := m.run(r, ctx)
		failed = errors.CombineErrors(failed, errors.Wrap(err, m.name))
		if err := r.finish(err, m.name, time.Since(start)); err != nil {
			return r.report, err
		}
	}
	return r.report, failed
}

// finish prints the tables of a measurement.
func (r *runner) finish(failed error, name string, took time.Duration) error {
	if failed != nil && len(r.pending) == 0 {
		r.table(name, "not measured")
	}
	for _, t := range r.pending {
		t.LoadAverage = loadAverage()
		if failed != nil {
			t.Error = failed.Error()
		}
		if err := t.WriteText(r.out); err != nil {
			return err
		}
	}
	r.report.Tables = append(r.report.Tables, r.pending...)
	r.pending = nil
	_, err := fmt.Fprintf(r.out, "  (%s took %.0f s)\n", name, took.Seconds())
	return err
}
