package records_test

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/records"
)

func validRecords() map[string]*records.Record {
	m := map[string]*records.Record{}
	add := func(r records.Record) { m[r.Key()] = &r }
	add(records.Record{Kind: records.KindDataCentre, Name: "falls-a", DataCentre: &records.DataCentre{Region: "merrimack"}})
	add(records.Record{Kind: records.KindTenant, Name: "team", Tenant: &records.Tenant{KeyHashes: []string{records.HashKey("a")}}})
	add(records.Record{Kind: records.KindTenant, Name: "club", Tenant: &records.Tenant{KeyHashes: []string{records.HashKey("b")}}})
	add(records.Record{Kind: records.KindModel, Name: "m", Model: &records.Model{Group: "g", ContextTokens: 10, MaxOutputTokens: 5, Replicas: map[string]int{"falls-a": 1}}})
	add(records.Record{Kind: records.KindUpstream, Name: "e", Upstream: &records.Upstream{Type: records.UpstreamEngine, Group: "g", DataCentre: "falls-a", Address: "10.0.0.1:1"}})
	add(records.Record{Kind: records.KindUpstream, Name: "s", Upstream: &records.Upstream{Type: records.UpstreamService, DataCentre: "falls-a", Address: "10.0.0.2:1",
		Routes: []records.Route{{PathPrefix: "/a"}, {PathPrefix: "/b"}}}})
	add(records.Record{Kind: records.KindBudget, Name: "team", Budget: &records.Budget{Tenant: "team", TokensPerProgram: 1, TokensPerDay: 2, Shares: map[string]float64{"falls-a": 1}}})
	add(records.Record{Kind: records.KindBudget, Name: "club", Budget: &records.Budget{Tenant: "club", TokensPerDay: 2}})
	add(records.Record{Kind: records.KindLimit, Name: "a", Limit: &records.Limit{Class: "a"}})
	add(records.Record{Kind: records.KindLimit, Name: "b", Limit: &records.Limit{Class: "b"}})
	add(records.Record{Kind: records.KindPlacement, Name: "g", Placement: &records.Placement{Group: "g"}})
	add(records.Record{Kind: records.KindResolution, Name: "r", Resolution: &records.Resolution{Program: "falls-a.x", CallKey: "k", Outcome: records.OutcomeRan}})
	return m
}

func recordList(m map[string]*records.Record) []records.Record {
	var all []records.Record
	for _, r := range m {
		all = append(all, *r)
	}
	return all
}

// Guards against undetected contradictions between records, and against rules that reject a valid set.
func TestValidate(t *testing.T) {
	type set = map[string]*records.Record
	cases := []struct {
		name   string
		change func(set)
		want   records.Reason // Empty means no fault.
		path   string
	}{
		{"correct set", func(set) {}, "", ""},
		{"unknown data centre of an upstream", func(s set) { s["Upstream.s"].Upstream.DataCentre = "x" }, records.ReasonUnknownDataCentre, "spec.dataCentre"},
		{"unknown data centre of a share", func(s set) { s["Budget.team"].Budget.Shares = map[string]float64{"x": 1} }, records.ReasonUnknownDataCentre, "spec.shares.x"},
		{"unknown data centre of replicas", func(s set) { s["Model.m"].Model.Replicas = map[string]int{"x": 0} }, records.ReasonUnknownDataCentre, "spec.replicas.x"},
		{"unknown group", func(s set) { s["Placement.g"].Placement.Group = "x" }, records.ReasonUnknownGroup, "spec.group"},
		{"unknown tenant", func(s set) { s["Budget.team"].Budget.Tenant = "x" }, records.ReasonUnknownTenant, "spec.tenant"},
		{"shares above one", func(s set) { s["Budget.team"].Budget.Shares["falls-a"] = 1.01 }, records.ReasonSharesAboveOne, "spec.shares"},
		{"program above day", func(s set) { s["Budget.team"].Budget.TokensPerProgram = 3 }, records.ReasonProgramAboveDay, "spec.tokensPerProgram"},
		{"model without engine", func(s set) { s["Model.m"].Model.Group = "x" }, records.ReasonGroupWithoutEngine, "spec.group"},
		{"too many replicas", func(s set) { s["Model.m"].Model.Replicas["falls-a"] = 2 }, records.ReasonTooManyReplicas, "spec.replicas.falls-a"},
		{"replica on a leaving engine", func(s set) { s["Upstream.e"].Upstream.Leaving = true }, records.ReasonTooManyReplicas, "spec.replicas.falls-a"},
		{"output above context", func(s set) { s["Model.m"].Model.MaxOutputTokens = 11 }, records.ReasonOutputAboveContext, "spec.maxOutputTokens"},
		{"same key hash", func(s set) { s["Tenant.team"].Tenant.KeyHashes = s["Tenant.club"].Tenant.KeyHashes }, records.ReasonDuplicateKeyHash, "spec.keyHashes[0]"},
		{"same address", func(s set) { s["Upstream.s"].Upstream.Address = "10.0.0.1:1" }, records.ReasonDuplicateAddress, "spec.address"},
		{"same class", func(s set) { s["Limit.b"].Limit.Class = "a" }, records.ReasonDuplicateClass, "spec.class"},
		{"same budget tenant", func(s set) { s["Budget.club"].Budget.Tenant = "team" }, records.ReasonDuplicateBudget, "spec.tenant"},
		{"same route", func(s set) { s["Upstream.s"].Upstream.Routes[1].PathPrefix = "/a" }, records.ReasonDuplicateRoute, "spec.routes[1]"},
		{"engine without group", func(s set) { s["Upstream.e"].Upstream.Group = "" }, records.ReasonMissingGroup, "spec.group"},
		{"engine with routes", func(s set) { s["Upstream.e"].Upstream.Routes = []records.Route{{}} }, records.ReasonServiceFieldOnEngine, "spec.routes"},
		{"service with group", func(s set) { s["Upstream.s"].Upstream.Group = "g" }, records.ReasonEngineFieldOnService, "spec.group"},
		{"resolution without program", func(s set) { s["Resolution.r"].Resolution.Program = "x.y" }, records.ReasonUnknownProgram, "spec.program"},
		{"same placement group", func(s set) { r := *s["Placement.g"]; r.Name = "h"; s["h"] = &r }, records.ReasonDuplicatePlacement, "spec.group"},
		{"two resolutions of a call", func(s set) { r := *s["Resolution.r"]; r.Name = "q"; s["q"] = &r }, records.ReasonDuplicateResolution, "spec.callKey"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := validRecords()
			tc.change(m)
			faults := records.Validate(records.NewSet(recordList(m)))
			if tc.want == "" {
				must.SliceEmpty(t, faults)
				return
			}
			found := slices.ContainsFunc(faults, func(f records.Fault) bool { return f.Reason == tc.want && f.Path == tc.path })
			must.True(t, found, must.Sprintf("faults: %v", faults))
			must.StrNotContains(t, faults.Error(), records.HashKey("b"))
		})
	}
}
