package command

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/records"
	"jackdawbay.dev/cli/platformclient"
)

// Apply writes the records of a directory to the platform.
type Apply struct {
	Dir   string `arg:"" help:"Directory with records."`
	Prune bool   `help:"Delete records of the platform that are not in the directory."`
}

// Run executes the verb.
func (c *Apply) Run(env *environment) error {
	platform, p, err := preparePlan(env, c.Dir, c.Prune)
	if err != nil {
		return err
	}
	err = p.applyChanges(env, platform)
	env.report = p
	return err
}

// preparePlan validates a directory and returns the changes that it would make on the platform. It writes nothing.
func preparePlan(env *environment, dir string, prune bool) (Platform, plan, error) {
	directoryRecords, err := loadDirectory(dir)
	if err != nil {
		return nil, plan{}, err
	}
	platform, err := env.connect(env.globals)
	if err != nil {
		return nil, plan{}, err
	}
	// The status is read before the records. If another operator changes a record in between, the record read here is
	// newer than the status, so that checkPlatformNotRestored does not report it.
	status, err := loadDataCentreStatuses(env.ctx, platform)
	if err != nil {
		return nil, plan{}, err
	}
	storedRecords, err := loadStoredRecords(env.ctx, platform)
	if err != nil {
		return nil, plan{}, err
	}
	if err := checkPlatformNotRestored(status, storedRecords); err != nil {
		return nil, plan{}, err
	}
	if err := validateMergedRecords(directoryRecords, storedRecords, prune); err != nil {
		return nil, plan{}, err
	}
	p, err := makePlan(directoryRecords, storedRecords, prune)
	return platform, p, err
}

// checkPlatformNotRestored returns an error if daemons have a newer generation of a record than the platform. This
// means that the platform was restored from an old backup. A change based on its generation would be older than the
// record of the daemons, and would be lost.
func checkPlatformNotRestored(statuses []dataCentreStatus, storedRecords map[string]storedRecord) error {
	for _, dc := range statuses {
		for key, r := range dc.Records {
			if platformGeneration := storedRecords[key].record.Generation; r.Generation > platformGeneration {
				return newError(ExitConflict, ReasonPlatformRestored,
					"%s: The daemons in data centre %s have generation %d. The platform has generation %d. Wait until the daemons write the newer generation back, then repeat the command.",
					key, dc.DataCentre, r.Generation, platformGeneration)
			}
		}
	}
	return nil
}

// validateMergedRecords validates the records that the platform will store after the change. It ignores contradictions
// that already exist on the platform.
func validateMergedRecords(directoryRecords []records.Record, storedRecords map[string]storedRecord, prune bool) error {
	if prune {
		return nil // Only the records of the directory remain, and these are valid.
	}
	current := liveRecords(storedRecords)
	existingFaults := map[string]bool{}
	for _, f := range records.Validate(records.NewSet(current)) {
		existingFaults[f.Error()] = true
	}
	var faults records.Faults
	for _, f := range records.Validate(records.NewSet(append(current, directoryRecords...))) {
		if !existingFaults[f.Error()] {
			faults = append(faults, f)
		}
	}
	if len(faults) > 0 {
		return newFaultsError(faults)
	}
	return nil
}

// applyChanges writes the changes in order and stops at the first error. It sets the outcome of each change.
func (p plan) applyChanges(env *environment, platform Platform) error {
	for i := range p.Changes {
		if p.Changes[i].Action != actionUnchanged {
			p.Changes[i].Outcome = outcomeNotApplied
		}
	}
	for i := range p.Changes {
		c := &p.Changes[i]
		if c.Action == actionUnchanged {
			continue
		}
		if err := c.writeRecord(env, platform); err != nil {
			e := toError(err)
			annotated := *e
			annotated.Message = fmt.Sprintf("%s The command stopped at %s. The list shows which records were applied.", e.Message, c.Record)
			return &annotated
		}
	}
	return nil
}

func (c *change) writeRecord(env *environment, platform Platform) error {
	value, err := records.EncodeStored(c.newRecord)
	if err != nil {
		return err
	}
	_, err = platform.Put(env.ctx, objectKindConfig, c.Record, c.base.version, json.RawMessage(value))
	var unavailable *platformclient.UnavailableError
	var conflict *platformclient.ConflictError
	switch {
	case err == nil:
		c.Outcome = outcomeApplied
	case errors.As(err, &unavailable) && unavailable.OutcomeUnknown:
		c.Outcome = outcomeUnknown
	case errors.As(err, &conflict):
		var current []byte
		if conflict.Current != nil {
			current = conflict.Current.Value
		}
		return conflictError(*c, "Another writer changed the record first.", current)
	}
	return err
}
