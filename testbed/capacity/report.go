package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"text/tabwriter"
)

// Table holds the results of one measurement.
type Table struct {
	Name        string   `json:"name"` // Name for the flag --only.
	Title       string   `json:"title"`
	LoadAverage float64  `json:"load_average"` // One-minute load average of the machine at the end of the measurement.
	Columns     []string `json:"columns"`
	Rows        [][]any  `json:"rows"` // Numbers and strings.
	Notes       []string `json:"notes,omitempty"`
	Error       string   `json:"error,omitempty"`
}

// addRow appends a row. It replaces NaN and infinite numbers by a dash, since JSON cannot represent them.
func (t *Table) addRow(cells ...any) {
	for i, c := range cells {
		if v, ok := c.(float64); ok && (math.IsNaN(v) || math.IsInf(v, 0)) {
			cells[i] = "-"
		}
	}
	t.Rows = append(t.Rows, cells)
}

func (t *Table) addNote(format string, args ...any) {
	t.Notes = append(t.Notes, fmt.Sprintf(format, args...))
}

func formatCell(c any) string {
	if v, ok := c.(float64); ok {
		return strconv.FormatFloat(v, 'f', decimalPlaces(v), 64)
	}
	return fmt.Sprint(c)
}

// decimalPlaces returns the number of decimal places that keeps about three significant digits.
func decimalPlaces(v float64) int {
	switch {
	case v >= 100 || v <= -100:
		return 0
	case v >= 10 || v <= -10:
		return 1
	case v >= 1 || v <= -1:
		return 2
	default:
		return 3
	}
}

// WriteText writes the table as aligned text.
func (t *Table) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "\n%s: %s (load average %.1f)\n", t.Name, t.Title, t.LoadAverage)
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, c := range t.Columns {
		fmt.Fprintf(out, "%s\t", c)
	}
	fmt.Fprintln(out)
	for _, row := range t.Rows {
		for _, c := range row {
			fmt.Fprintf(out, "%s\t", formatCell(c))
		}
		fmt.Fprintln(out)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	for _, n := range t.Notes {
		fmt.Fprintf(w, "  %s\n", n)
	}
	if t.Error != "" {
		fmt.Fprintf(w, "  failed: %s\n", t.Error)
	}
	return nil
}

// Report holds the tables of a run.
type Report struct {
	Cores  int      `json:"cores"`
	Tables []*Table `json:"tables"`
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}
