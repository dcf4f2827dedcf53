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

// Status prints in how many daemons each record is in force.
type Status struct {
	Kind    string        `arg:"" optional:"" help:"Kind of one record."`
	Name    string        `arg:"" optional:"" help:"Name of one record."`
	Wait    bool          `help:"Wait until the records are in force in every daemon."`
	Timeout time.Duration `default:"30s" help:"Longest time to wait."`
}

// statusPollInterval is the interval at which the status is polled with --wait. It is well below 5 s, the target time
// for a change to be in force in all daemons. Each poll costs the platform two reads.
const statusPollInterval = 500 * time.Millisecond

// dataCentreStatus is the status of a data centre: the value of a platform object of kind status.
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
	Records    map[string]recordCounts `json:"records"`
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

// recordCounts contains the number of daemons in a data centre, and in how many of them a generation of a record is in
// force.
type recordCounts struct {
	Generation int64 `json:"generation"`
	InForce    int   `json:"in_force"`
	Daemons    int   `json:"daemons"`
}

// recordStatus contains the sums of recordCounts over all data centres, for the generation that the platform stores.
type recordStatus struct {
	Record     string   `json:"record"`
	Generation int64    `json:"generation"`
	Deleted    bool     `json:"deleted,omitempty"`
	InForce    int      `json:"in_force"`
	Daemons    int      `json:"daemons"`
	Missing    []string `json:"missing,omitempty"` // Data centres in which the record is not in force in every daemon.
	Complete   bool     `json:"complete"`
}

type statusReport struct {
	DataCentres []dataCentreStatus `json:"data_centres"`
	NoStatus    []string           `json:"data_centres_without_status,omitempty"`
	Records     []recordStatus     `json:"records"`
	Complete    bool               `json:"complete"` // All records are in force in all daemons of all data centres.
	now         time.Time
}

// loadDataCentreStatuses reads the status of all data centres. It omits values that cannot be decoded.
func loadDataCentreStatuses(ctx context.Context, p Platform) ([]dataCentreStatus, error) {
	objects, err := p.List(ctx, objectKindStatus, "")
	if err != nil {
		return nil, err
	}
	var statuses []dataCentreStatus
	for _, o := range objects {
		var s dataCentreStatus
		if json.Unmarshal(o.Value, &s) == nil && s.DataCentre == o.Name {
			statuses = append(statuses, s)
		}
	}
	return statuses, nil
}

// Run executes the verb.
func (c *Status) Run(env *environment) error {
	if c.Kind != "" {
		if err := validateKind(c.Kind); err != nil {
			return err
		}
		if c.Name == "" {
			return newError(ExitUsage, ReasonBadUsage, "The name of the record is missing.")
		}
	}
	platform, err := env.connect(env.globals)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(c.Timeout)
	for {
		r, err := c.readReport(env, platform)
		if err != nil {
			return err
		}
		env.report = r
		if !c.Wait || r.Complete {
			return nil
		}
		if time.Now().Add(statusPollInterval).After(deadline) {
			return newError(ExitFault, ReasonNotInForce, "Not every record is in force in every daemon after %s.", c.Timeout)
		}
		select {
		case <-env.ctx.Done():
			return newError(ExitFault, ReasonNotInForce, "The command was interrupted.")
		case <-time.After(statusPollInterval):
		}
	}
}

func (c *Status) readReport(env *environment, platform Platform) (statusReport, error) {
	storedRecords, err := loadStoredRecords(env.ctx, platform)
	if err != nil {
		return statusReport{}, err
	}
	statuses, err := loadDataCentreStatuses(env.ctx, platform)
	if err != nil {
		return statusReport{}, err
	}
	key := c.Kind + "." + c.Name
	if _, ok := storedRecords[key]; !ok && c.Kind != "" {
		return statusReport{}, notFoundError(key, storedRecords)
	}
	r := summariseStatus(storedRecords, statuses)
	r.now = time.Now()
	if c.Kind != "" {
		r.Records = slices.DeleteFunc(r.Records, func(s recordStatus) bool { return s.Record != key })
	}
	r.Complete = len(statuses) > 0 && !slices.ContainsFunc(r.Records, func(s recordStatus) bool { return !s.Complete })
	return r, nil
}

// summariseStatus sums the counts of daemons over all data centres. If a data centre has a record but no status, no
// record is in force there.
func summariseStatus(storedRecords map[string]storedRecord, statuses []dataCentreStatus) statusReport {
	r := statusReport{DataCentres: statuses}
	reported := map[string]bool{}
	for _, dc := range statuses {
		reported[dc.DataCentre] = true
	}
	for _, rec := range liveRecords(storedRecords) {
		if rec.Kind == records.KindDataCentre && !reported[rec.Name] {
			r.NoStatus = append(r.NoStatus, rec.Name)
		}
	}
	slices.Sort(r.NoStatus)
	for _, key := range slices.Sorted(maps.Keys(storedRecords)) {
		rec := storedRecords[key].record
		s := recordStatus{Record: key, Generation: rec.Generation, Deleted: rec.Deleted, Missing: slices.Clone(r.NoStatus)}
		for _, dc := range statuses {
			s.addDataCentre(dc)
		}
		slices.SortFunc(s.Missing, cmp.Compare)
		s.Complete = len(s.Missing) == 0
		r.Records = append(r.Records, s)
	}
	return r
}

// addDataCentre adds the counts of a data centre. Only the generation that the platform stores counts as in force. A
// tombstone that the data centre does not report is in force there, because its daemons do not have the record.
func (s *recordStatus) addDataCentre(dc dataCentreStatus) {
	counts, ok := dc.Records[s.Record]
	if !ok {
		counts.Daemons = len(dc.Members)
		if s.Deleted {
			counts.Generation, counts.InForce = s.Generation, counts.Daemons
		}
	}
	s.Daemons += counts.Daemons
	if counts.Generation == s.Generation {
		s.InForce += counts.InForce
	}
	if counts.Generation != s.Generation || counts.InForce < counts.Daemons || counts.Daemons == 0 {
		s.Missing = append(s.Missing, dc.DataCentre)
	}
}

func (r statusReport) writeText(w io.Writer) {
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
