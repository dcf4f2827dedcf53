package command

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"jackdawbay.dev/api/records"
)

// Status shows in how many daemons records are in force.
type Status struct {
	Kind    string        `arg:"" optional:"" help:"Kind of one record."`
	Name    string        `arg:"" optional:"" help:"Name of one record."`
	Wait    bool          `help:"Wait until the records are in force in every daemon."`
	Timeout time.Duration `default:"30s" help:"Longest time to wait."`
}

// statusPollInterval is the time between two reads of the status while waiting. It is well below the target of 5 s for
// a change to be in force everywhere, and costs the platform two reads.
const statusPollInterval = 500 * time.Millisecond

// dataCentreStatus is the value of a platform object of kind status.
type dataCentreStatus struct {
	DataCentre  string `json:"data_centre"`
	AtMillis    int64  `json:"at_ms"`
	Term        int64  `json:"term"`
	Coordinator string `json:"coordinator"`
	Members     []struct {
		VM          string `json:"vm"`
		Incarnation string `json:"incarnation"`
		State       string `json:"state"`
	} `json:"members"`
	Records    map[string]inForce `json:"records"`
	Conditions []struct {
		Type     string `json:"type"`
		Status   string `json:"status"`
		Reason   string `json:"reason"`
		Message  string `json:"message"`
		Object   string `json:"object"`
		AtMillis int64  `json:"at_ms"`
	} `json:"conditions"`
	UnknownOutcomes []struct {
		Program string `json:"program"`
		CallKey string `json:"call_key"`
	} `json:"unknown_outcomes"`
}

// inForce says in how many daemons of a data centre a generation of a record is in force.
type inForce struct {
	Generation int64 `json:"generation"`
	InForce    int   `json:"in_force"`
	Daemons    int   `json:"daemons"`
}

// recordStatus is inForce over all data centres, for the generation that the platform holds.
type recordStatus struct {
	Record     string   `json:"record"`
	Generation int64    `json:"generation"`
	Deleted    bool     `json:"deleted,omitempty"`
	InForce    int      `json:"in_force"`
	Daemons    int      `json:"daemons"`
	Missing    []string `json:"missing,omitempty"` // Data centres where the record is not in force in every daemon.
	Complete   bool     `json:"complete"`
}

type statusReport struct {
	DataCentres []dataCentreStatus `json:"data_centres"`
	NoStatus    []string           `json:"data_centres_without_status,omitempty"`
	Records     []recordStatus     `json:"records"`
	Complete    bool               `json:"complete"` // All records are in force in all daemons.
	now         time.Time
}

// loadStatus reads the status of all data centres. A value that cannot be read counts as no status.
func loadStatus(ctx context.Context, p Platform) ([]dataCentreStatus, error) {
	objects, err := p.List(ctx, objectKindStatus, "")
	if err != nil {
		return nil, err
	}
	var list []dataCentreStatus
	for _, o := range objects {
		var s dataCentreStatus
		if json.Unmarshal(o.Value, &s) == nil && s.DataCentre == o.Name {
			list = append(list, s)
		}
	}
	return list, nil
}

// Run implements the verb.
func (c *Status) Run(env *environment) error {
	if c.Kind != "" {
		if err := checkKind(c.Kind); err != nil {
			return err
		}
		if c.Name == "" {
			return fail(ExitUsage, ReasonBadUsage, "The name of the record is missing.")
		}
	}
	platform, err := env.connect(env.globals)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(c.Timeout)
	for {
		r, err := c.read(env, platform)
		if err != nil {
			return err
		}
		env.report = r
		if !c.Wait || r.Complete {
			return nil
		}
		if time.Now().Add(statusPollInterval).After(deadline) {
			return fail(ExitFault, ReasonNotInForce, "Not every record is in force in every daemon after %s.", c.Timeout)
		}
		select {
		case <-env.ctx.Done():
			return fail(ExitFault, ReasonNotInForce, "The command was interrupted.")
		case <-time.After(statusPollInterval):
		}
	}
}

func (c *Status) read(env *environment, platform Platform) (statusReport, error) {
	all, err := loadStored(env.ctx, platform)
	if err != nil {
		return statusReport{}, err
	}
	list, err := loadStatus(env.ctx, platform)
	if err != nil {
		return statusReport{}, err
	}
	key := c.Kind + "." + c.Name
	if _, ok := all[key]; !ok && c.Kind != "" {
		return statusReport{}, notFound(key, all)
	}
	r := summarise(all, list)
	r.now = time.Now()
	if c.Kind != "" {
		r.Records = slices.DeleteFunc(r.Records, func(s recordStatus) bool { return s.Record != key })
	}
	r.Complete = len(list) > 0 && !slices.ContainsFunc(r.Records, func(s recordStatus) bool { return !s.Complete })
	return r, nil
}

// summarise counts the daemons over all data centres. A data centre that has a record but no status counts as one where
// nothing is in force.
func summarise(all map[string]stored, list []dataCentreStatus) statusReport {
	r := statusReport{DataCentres: list}
	reported := map[string]bool{}
	for _, dc := range list {
		reported[dc.DataCentre] = true
	}
	for _, rec := range live(all) {
		if rec.Kind == records.KindDataCentre && !reported[rec.Name] {
			r.NoStatus = append(r.NoStatus, rec.Name)
		}
	}
	slices.Sort(r.NoStatus)
	for _, key := range slices.Sorted(maps.Keys(all)) {
		rec := all[key].record
		s := recordStatus{Record: key, Generation: rec.Generation, Deleted: rec.Deleted, Missing: slices.Clone(r.NoStatus)}
		for _, dc := range list {
			s.add(dc)
		}
		slices.SortFunc(s.Missing, cmp.Compare)
		s.Complete = len(s.Missing) == 0
		r.Records = append(r.Records, s)
	}
	return r
}

// add counts the daemons of a data centre. Only the generation that the platform holds counts as in force. A tombstone
// that a data centre does not report is in force there: its daemons do not know the record.
func (s *recordStatus) add(dc dataCentreStatus) {
	f, ok := dc.Records[s.Record]
	if !ok {
		f.Daemons = len(dc.Members)
		if s.Deleted {
			f.Generation, f.InForce = s.Generation, f.Daemons
		}
	}
	s.Daemons += f.Daemons
	if f.Generation == s.Generation {
		s.InForce += f.InForce
	}
	if f.Generation != s.Generation || f.InForce < f.Daemons || f.Daemons == 0 {
		s.Missing = append(s.Missing, dc.DataCentre)
	}
}

func (r statusReport) text(w io.Writer) {
	for _, dc := range r.DataCentres {
		age := r.now.Sub(time.UnixMilli(dc.AtMillis)).Round(time.Second)
		_, _ = fmt.Fprintf(w, "Data centre %s: term %d, coordinator %s, members %d, status is %s old\n", dc.DataCentre, dc.Term, dc.Coordinator, len(dc.Members), age)
		for _, m := range dc.Members {
			_, _ = fmt.Fprintf(w, "  member %s (%s): %s\n", m.VM, m.Incarnation, m.State)
		}
		for _, c := range dc.Conditions {
			_, _ = fmt.Fprintf(w, "  condition %s=%s %s: %s %s\n", c.Type, c.Status, c.Reason, c.Message, c.Object)
		}
		for _, u := range dc.UnknownOutcomes {
			_, _ = fmt.Fprintf(w, "  unknown outcome: program %s, call key %s\n", u.Program, u.CallKey)
		}
	}
	for _, name := range r.NoStatus {
		_, _ = fmt.Fprintf(w, "Data centre %s: no status\n", name)
	}
	for _, s := range r.Records {
		state := ""
		if s.Deleted {
			state = " (deleted)"
		}
		_, _ = fmt.Fprintf(w, "%s: generation %d%s, in force in %d of %d daemons", s.Record, s.Generation, state, s.InForce, s.Daemons)
		if len(s.Missing) > 0 {
			_, _ = fmt.Fprintf(w, ", not complete in %v", s.Missing)
		}
		_, _ = fmt.Fprintln(w)
	}
}
