package command

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/records"
	"jackdawbay.dev/cli/platformclient"
)

// Apply writes a directory to the platform.
type Apply struct {
	Dir   string `arg:"" help:"Directory with records."`
	Prune bool   `help:"Delete records of the platform that are not in the directory."`
}

// Run implements the verb.
func (c *Apply) Run(env *environment) error {
	platform, p, err := prepare(env, c.Dir, c.Prune)
	if err != nil {
		return err
	}
	err = p.apply(env, platform)
	env.report = p
	return err
}

// prepare validates a directory, and compares it with the platform. Nothing is written.
func prepare(env *environment, dir string, prune bool) (Platform, plan, error) {
	list, err := loadDirectory(dir)
	if err != nil {
		return nil, plan{}, err
	}
	platform, err := env.connect(env.globals)
	if err != nil {
		return nil, plan{}, err
	}
	// The status is read first: a record that another operator changes in between is then newer in the records.
	status, err := loadStatus(env.ctx, platform)
	if err != nil {
		return nil, plan{}, err
	}
	all, err := loadStored(env.ctx, platform)
	if err != nil {
		return nil, plan{}, err
	}
	if err := checkRestored(status, all); err != nil {
		return nil, plan{}, err
	}
	if err := checkTogether(list, all, prune); err != nil {
		return nil, plan{}, err
	}
	p, err := makePlan(list, all, prune)
	return platform, p, err
}

// checkRestored refuses to continue when daemons have a newer generation than the platform. The platform was then
// restored from an old backup; a change based on its generation would be older than what the daemons have, and lost.
func checkRestored(list []dataCentreStatus, all map[string]stored) error {
	for _, dc := range list {
		for key, r := range dc.Records {
			if held := all[key].record.Generation; r.Generation > held {
				return fail(ExitConflict, ReasonPlatformRestored,
					"%s: The daemons in data centre %s have generation %d. The platform holds generation %d. Wait until the daemons write the newer generation back, then repeat the command.",
					key, dc.DataCentre, r.Generation, held)
			}
		}
	}
	return nil
}

// checkTogether validates the records that the platform will hold after the change. Contradictions that it holds already
// do not block a change.
func checkTogether(list []records.Record, all map[string]stored, prune bool) error {
	if prune {
		return nil // The directory alone is valid.
	}
	held := live(all)
	known := map[string]bool{}
	for _, f := range records.Validate(records.NewSet(held)) {
		known[f.Error()] = true
	}
	var faults records.Faults
	for _, f := range records.Validate(records.NewSet(append(held, list...))) {
		if !known[f.Error()] {
			faults = append(faults, f)
		}
	}
	if len(faults) > 0 {
		return faultError(faults)
	}
	return nil
}

// apply writes the changes one after the other and stops at the first failure.
func (p plan) apply(env *environment, platform Platform) error {
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
		if err := c.write(env, platform); err != nil {
			e := asError(err)
			stopped := *e
			stopped.Message = fmt.Sprintf("%s The command stopped at %s. The list shows which records were applied.", e.Message, c.Record)
			return &stopped
		}
	}
	return nil
}

func (c *change) write(env *environment, platform Platform) error {
	value, err := records.EncodeStored(c.next)
	if err != nil {
		return err
	}
	_, err = platform.Put(env.ctx, objectKindConfig, c.Record, c.base.version, json.RawMessage(value))
	var lost *platformclient.UnavailableError
	var raced *platformclient.ConflictError
	switch {
	case err == nil:
		c.Outcome = outcomeApplied
	case errors.As(err, &lost) && lost.OutcomeUnknown:
		c.Outcome = outcomeUnknown
	case errors.As(err, &raced):
		var current []byte
		if raced.Current != nil {
			current = raced.Current.Value
		}
		return conflict(*c, "Another writer changed the record first.", current)
	}
	return err
}
