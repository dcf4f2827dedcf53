package command

import (
	"fmt"
	"io"
)

// Validate checks the records of a directory.
type Validate struct {
	Dir string `arg:"" help:"Directory with records."`
}

type validateReport struct {
	Records int `json:"records"`
}

func (r validateReport) writeText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "No fault was found. Number of records: %d.\n", r.Records)
}

// Run executes the verb.
func (c *Validate) Run(env *environment) error {
	directoryRecords, err := loadDirectory(c.Dir)
	if err != nil {
		return err
	}
	env.report = validateReport{Records: len(directoryRecords)}
	return nil
}
