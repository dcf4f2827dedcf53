package records

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// FromStored decodes the value of a config object. deleted is true for a tombstone.
func FromStored(value []byte) (r Record, deleted bool, err error) {
	var body struct {
		Record
		Deleted bool
	}
	if err := json.Unmarshal(value, &body); err != nil {
		return Record{}, false, errors.Wrap(err, "decode record")
	}
	return body.Record, body.Deleted, nil
}
