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

// missingRecordReasons are the reasons of contradictions that a missing record causes. These contradictions are omitted
// if any file has a fault, because the missing record may be in that file.
var missingRecordReasons = []records.Reason{
	records.ReasonUnknownDataCentre, records.ReasonUnknownGroup, records.ReasonUnknownTenant, records.ReasonUnknownProgram,
	records.ReasonGroupWithoutEngine, records.ReasonTooManyReplicas,
}

// loadDirectory reads all records in a directory and its subdirectories. The error contains all faults of the files and
// all contradictions between the records.
func loadDirectory(dir string) ([]records.Record, error) {
	info, err := os.Stat(dir)
	if err != nil || !info.IsDir() {
		return nil, newError(ExitUsage, ReasonBadUsage, "The directory %s cannot be read.", dir)
	}
	l := &loader{dir: dir, fileByRecord: map[string]string{}}
	if err := filepath.WalkDir(dir, l.visitFile); err != nil {
		return nil, newError(ExitUsage, ReasonBadUsage, "The directory %s cannot be read: %s.", dir, err)
	}
	if len(l.faults) == 0 && len(l.loaded) == 0 {
		return nil, newError(ExitFault, ReasonEmptyDirectory, "The directory %s has no records.", dir)
	}
	hasFileFaults := len(l.faults) > 0
	for _, f := range records.Validate(records.NewSet(l.loaded)) {
		if hasFileFaults && slices.Contains(missingRecordReasons, f.Reason) {
			continue
		}
		f.File = l.fileByRecord[f.Record]
		l.faults = append(l.faults, f)
	}
	if len(l.faults) > 0 {
		return nil, newFaultsError(l.faults)
	}
	return l.loaded, nil
}

type loader struct {
	dir          string
	loaded       []records.Record
	fileByRecord map[string]string // File of each record.
	faults       records.Faults
}

func (l *loader) visitFile(path string, d fs.DirEntry, err error) error {
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
		l.loadFile(path, name)
	default:
		// The file may contain records. If it were ignored, apply --prune would delete them.
		l.faults = append(l.faults, records.Fault{Reason: records.ReasonUnknownFile, File: name,
			Message: "The file name has an unknown ending.", Allowed: ".yaml, .yml, .json, and .md for text"})
	}
	return nil
}

func (l *loader) loadFile(path, name string) {
	data, err := os.ReadFile(path)
	if err != nil {
		l.faults = append(l.faults, records.Fault{Reason: records.ReasonUnreadableFile, File: name, Message: "The file cannot be read: " + err.Error() + "."})
		return
	}
	decodedRecords, err := records.Decode(data)
	var faults records.Faults
	errors.As(err, &faults)
	for _, f := range faults {
		f.File = name
		l.faults = append(l.faults, f)
	}
	for _, r := range decodedRecords {
		if firstFile, ok := l.fileByRecord[r.Key()]; ok {
			l.faults = append(l.faults, records.Fault{Reason: records.ReasonDuplicateRecord, File: name, Record: r.Key(),
				Message: "The record is written more than once. The other file is " + firstFile + ".", Allowed: "each kind and name once"})
			continue
		}
		l.fileByRecord[r.Key()] = name
		l.loaded = append(l.loaded, r)
	}
}
