package command

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"jackdawbay.dev/api/records"
)

// absenceReasons are contradictions because another record is absent. They are left out when a file has a fault, because
// the record can be one that could not be read.
var absenceReasons = []records.Reason{
	records.ReasonUnknownDataCentre, records.ReasonUnknownGroup, records.ReasonUnknownTenant, records.ReasonUnknownProgram,
	records.ReasonGroupWithoutEngine, records.ReasonTooManyReplicas,
}

// loadDirectory reads all records in a directory and below it, and returns all faults of the files and all
// contradictions between the records.
func loadDirectory(dir string) ([]records.Record, error) {
	info, err := os.Stat(dir)
	if err != nil || !info.IsDir() {
		return nil, fail(ExitUsage, ReasonBadUsage, "The directory %s cannot be read.", dir)
	}
	l := &loader{dir: dir, files: map[string]string{}}
	if err := filepath.WalkDir(dir, l.visit); err != nil {
		return nil, fail(ExitUsage, ReasonBadUsage, "The directory %s cannot be read: %s.", dir, err)
	}
	if len(l.faults) == 0 && len(l.list) == 0 {
		return nil, fail(ExitFault, ReasonEmptyDirectory, "The directory %s has no records.", dir)
	}
	damaged := len(l.faults) > 0
	for _, f := range records.Validate(records.NewSet(l.list)) {
		if damaged && slices.Contains(absenceReasons, f.Reason) {
			continue
		}
		f.File = l.files[f.Record]
		l.faults = append(l.faults, f)
	}
	if len(l.faults) > 0 {
		return nil, faultError(l.faults)
	}
	return l.list, nil
}

type loader struct {
	dir    string
	list   []records.Record
	files  map[string]string // File of each record.
	faults records.Faults
}

func (l *loader) visit(path string, d fs.DirEntry, err error) error {
	if err != nil {
		return err
	}
	hidden := strings.HasPrefix(d.Name(), ".") && path != l.dir
	if d.IsDir() {
		if hidden {
			return filepath.SkipDir
		}
		return nil
	}
	name, err := filepath.Rel(l.dir, path)
	if err != nil {
		return err
	}
	switch ext := filepath.Ext(path); {
	case hidden || ext == ".md":
	case ext == ".yaml" || ext == ".yml" || ext == ".json":
		l.file(path, name)
	default:
		// A file with another name could hold records that apply --prune would delete.
		l.faults = append(l.faults, records.Fault{Reason: records.ReasonUnknownFile, File: name,
			Message: "The file name has an unknown ending.", Allowed: ".yaml, .yml, .json, and .md for text"})
	}
	return nil
}

func (l *loader) file(path, name string) {
	data, err := os.ReadFile(path)
	if err != nil {
		l.faults = append(l.faults, records.Fault{Reason: records.ReasonUnreadableFile, File: name, Message: "The file cannot be read: " + err.Error() + "."})
		return
	}
	list, err := records.Decode(data)
	var faults records.Faults
	errors.As(err, &faults)
	for _, f := range faults {
		f.File = name
		l.faults = append(l.faults, f)
	}
	for _, r := range list {
		if other, ok := l.files[r.Key()]; ok {
			l.faults = append(l.faults, records.Fault{Reason: records.ReasonDuplicateRecord, File: name, Record: r.Key(),
				Message: "The record is written more than once. The other file is " + other + ".", Allowed: "each kind and name once"})
			continue
		}
		l.files[r.Key()] = name
		l.list = append(l.list, r)
	}
}
