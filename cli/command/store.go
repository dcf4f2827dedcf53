package command

import (
	"context"

	"jackdawbay.dev/api/records"
)

// storedRecord is a record that the platform stores.
type storedRecord struct {
	record  records.Record
	version int64 // Version of the object, for conditional writes.
	raw     []byte
	err     error // Set if the value cannot be decoded. The record then contains only its generation.
}

// loadStoredRecords reads all records of the platform, including tombstones. It returns them by key.
func loadStoredRecords(ctx context.Context, p Platform) (map[string]storedRecord, error) {
	objects, err := p.List(ctx, objectKindConfig, "")
	if err != nil {
		return nil, err
	}
	storedRecords := make(map[string]storedRecord, len(objects))
	for _, o := range objects {
		s := storedRecord{version: o.Version, raw: o.Value}
		s.record, s.err = records.DecodeStored(o.Value)
		if s.err == nil && s.record.Key() != o.Name {
			s.err = newError(ExitFault, ReasonStoredRecordInvalid, "The object %s contains the record %s.", o.Name, s.record.Key())
		}
		if s.err != nil {
			generation, err := records.DecodeStoredGeneration(o.Value)
			if err != nil {
				return nil, newError(ExitFault, ReasonStoredRecordInvalid, "The platform stores a value for %s that has no generation.", o.Name)
			}
			s.record = records.Record{Generation: generation}
		}
		storedRecords[o.Name] = s
	}
	return storedRecords, nil
}

// liveRecords returns the records that are not deleted and whose values can be decoded.
func liveRecords(storedRecords map[string]storedRecord) []records.Record {
	var live []records.Record
	for _, s := range storedRecords {
		if s.err == nil && !s.record.Deleted {
			live = append(live, s.record)
		}
	}
	return live
}
