// Package configstate stores the configuration records in force in a daemon. A record is replaced only by a newer
// generation, whatever the source, so that a restart, a stale read or a platform restored from a backup cannot revert a
// change.
package configstate

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"strconv"

	"jackdawbay.dev/api/records"
)

// StoredRecord is a record in the format that daemons exchange. Deleted marks a tombstone.
type StoredRecord struct {
	Key        string          `json:"key"`
	Generation int64           `json:"generation"`
	Deleted    bool            `json:"deleted,omitempty"`
	Value      json.RawMessage `json:"value"`
}

// Decoder decodes the value of a stored record.
type Decoder func(value []byte) (records.Record, error)

// State stores the newest generation of every record. It is not safe for concurrent use.
type State struct {
	decode  Decoder
	stored  map[string]StoredRecord
	records map[string]records.Record
	set     *records.Set
	digest  string
}

// New returns a State without records. The function decode decodes stored values.
func New(decode Decoder) *State {
	s := &State{decode: decode, stored: map[string]StoredRecord{}, records: map[string]records.Record{}}
	s.rebuild()
	return s
}

// ApplyNewer applies the stored values that are newer than those in force and returns their keys. For each value that
// cannot be decoded, it returns an error and leaves the older generation in force.
func (s *State) ApplyNewer(values ...[]byte) (applied []string, errs []error) {
	for _, v := range values {
		key, err := s.applyIfNewer(v)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if key != "" {
			applied = append(applied, key)
		}
	}
	if len(applied) > 0 {
		s.rebuild()
	}
	return applied, errs
}

// applyIfNewer applies a value and returns its key, or an empty key if the value is not newer.
func (s *State) applyIfNewer(value []byte) (string, error) {
	r, err := s.decode(value)
	if err != nil {
		return "", err
	}
	key := r.Key()
	if old, ok := s.stored[key]; ok && old.Generation >= r.Generation {
		return "", nil
	}
	s.stored[key] = StoredRecord{Key: key, Generation: r.Generation, Deleted: r.Deleted, Value: append([]byte(nil), value...)}
	if r.Deleted {
		delete(s.records, key)
	} else {
		s.records[key] = r
	}
	return key, nil
}

// rebuild recomputes the record set and the digest.
func (s *State) rebuild() {
	active := make([]records.Record, 0, len(s.records))
	for _, r := range s.records {
		active = append(active, r)
	}
	s.set = records.NewSet(active)
	s.digest = s.computeDigest()
}

// RecordSet returns the records in force.
func (s *State) RecordSet() *records.Set { return s.set }

// Digest returns a hash of the generations in force. Two daemons with the same digest have the same configuration.
func (s *State) Digest() string { return s.digest }

// computeDigest hashes the keys and generations of all records, including tombstones.
func (s *State) computeDigest() string {
	keys := make([]string, 0, len(s.stored))
	for k := range s.stored {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	h := sha256.New()
	for _, k := range keys {
		h.Write([]byte(k))
		h.Write([]byte{0})
		h.Write([]byte(strconv.FormatInt(s.stored[k].Generation, 10)))
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// Generations returns the generation of every record by key, including tombstones.
func (s *State) Generations() map[string]int64 {
	generations := make(map[string]int64, len(s.stored))
	for k, v := range s.stored {
		generations[k] = v.Generation
	}
	return generations
}

// NewerThan returns the stored records whose generation is above the given one, sorted by key. A key that is not given
// counts as generation zero.
func (s *State) NewerThan(generations map[string]int64) []StoredRecord {
	var newer []StoredRecord
	for k, v := range s.stored {
		if v.Generation > generations[k] {
			newer = append(newer, v)
		}
	}
	sort.Slice(newer, func(i, j int) bool { return newer[i].Key < newer[j].Key })
	return newer
}
