package command

import (
	"context"

	"jackdawbay.dev/api/records"
)

// stored is a record as the platform holds it.
type stored struct {
	record  records.Record
	version int64 // Of the object, for a conditional write.
	raw     []byte
	err     error // The value cannot be read. The record then has only its generation.
}

// loadStored reads all records of the platform, tombstones included.
func loadStored(ctx context.Context, p Platform) (map[string]stored, error) {
	objects, err := p.List(ctx, objectKindConfig, "")
	if err != nil {
		return nil, err
	}
	all := make(map[string]stored, len(objects))
	for _, o := range objects {
		s := stored{version: o.Version, raw: o.Value}
		s.record, s.err = records.DecodeStored(o.Value)
		if s.err == nil && s.record.Key() != o.Name {
			s.err = fail(ExitFault, ReasonStoredRecordInvalid, "The object %s holds the record %s.", o.Name, s.record.Key())
		}
		if s.err != nil {
			generation, err := records.DecodeStoredGeneration(o.Value)
			if err != nil {
				return nil, fail(ExitFault, ReasonStoredRecordInvalid, "The platform holds a value for %s that has no generation.", o.Name)
			}
			s.record = records.Record{Generation: generation}
		}
		all[o.Name] = s
	}
	return all, nil
}

// live returns the records that are not deleted and can be read.
func live(all map[string]stored) []records.Record {
	var list []records.Record
	for _, s := range all {
		if s.err == nil && !s.record.Deleted {
			list = append(list, s.record)
		}
	}
	return list
}
