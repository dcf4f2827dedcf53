package records

import (
	"fmt"
	"maps"
	"slices"
)

// Validate returns all contradictions between the records of a set, in order of record and path.
func Validate(s *Set) Faults {
	v := &validator{set: s, all: s.All(), groups: map[string]bool{}, engines: map[string]int{}, dcs: map[string]bool{}}
	v.collect()
	for _, r := range v.all {
		v.record(r)
	}
	v.duplicates()
	sortFaults(v.faults)
	return v.faults
}

type validator struct {
	set     *Set
	all     []Record
	groups  map[string]bool // Groups that have an engine or a model.
	engines map[string]int  // Engines that are not leaving, by group and data centre.
	dcs     map[string]bool
	faults  Faults
}

func (v *validator) add(r Record, reason Reason, path, value, allowed, message string) {
	v.faults = append(v.faults, Fault{Reason: reason, Record: r.Key(), Path: path, Value: value, Allowed: allowed, Message: message})
}

func (v *validator) collect() {
	for _, r := range v.all {
		switch {
		case r.DataCentre != nil:
			v.dcs[r.Name] = true
		case r.Model != nil:
			v.groups[r.Model.Group] = true
		case r.Upstream != nil && r.Upstream.Type == UpstreamEngine:
			v.groups[r.Upstream.Group] = true
			if !r.Upstream.Leaving {
				v.engines[r.Upstream.Group+"."+r.Upstream.DataCentre]++
			}
		}
	}
}

func (v *validator) record(r Record) {
	switch {
	case r.Model != nil:
		v.model(r, *r.Model)
	case r.Upstream != nil:
		v.upstream(r, *r.Upstream)
	case r.Budget != nil:
		v.budget(r, *r.Budget)
	case r.Placement != nil:
		if !v.groups[r.Placement.Group] {
			v.add(r, ReasonUnknownGroup, "spec.group", r.Placement.Group, "a group of an Upstream or Model record", "No engine and no model has this group.")
		}
	case r.Resolution != nil:
		v.resolution(r, *r.Resolution)
	}
}

func (v *validator) dataCentre(r Record, path, name string) bool {
	if v.dcs[name] {
		return true
	}
	v.add(r, ReasonUnknownDataCentre, path, name, "the name of a DataCentre record", "No record describes the data centre.")
	return false
}

func (v *validator) model(r Record, m Model) {
	if len(v.set.Engines(m.Group)) == 0 {
		v.add(r, ReasonGroupWithoutEngine, "spec.group", m.Group, "a group of an Upstream record of type engine", "The engine group of the model has no engine.")
	}
	if m.MaxOutputTokens > m.ContextTokens {
		v.add(r, ReasonOutputAboveContext, "spec.maxOutputTokens", fmt.Sprint(m.MaxOutputTokens),
			fmt.Sprintf("at most spec.contextTokens, which is %d", m.ContextTokens), "The largest output is above the context.")
	}
	for _, dc := range slices.Sorted(maps.Keys(m.Replicas)) {
		path := "spec.replicas." + dc
		if n := v.engines[m.Group+"."+dc]; v.dataCentre(r, path, dc) && m.Replicas[dc] > n {
			v.add(r, ReasonTooManyReplicas, path, fmt.Sprint(m.Replicas[dc]), fmt.Sprintf("at most %d", n),
				"The data centre has fewer engines of the group that are not leaving.")
		}
	}
}

func (v *validator) upstream(r Record, u Upstream) {
	v.dataCentre(r, "spec.dataCentre", u.DataCentre)
	routes := map[string]bool{}
	for i, route := range u.Routes {
		key := route.Method + " " + route.PathPrefix
		if routes[key] {
			v.add(r, ReasonDuplicateRoute, indexPath("spec.routes", i), key, "each method and path prefix once", "Two routes have the same method and path prefix.")
		}
		routes[key] = true
	}
	if u.Type == UpstreamEngine {
		v.engineFields(r, u)
		return
	}
	v.serviceFields(r, u)
}

func (v *validator) engineFields(r Record, u Upstream) {
	if u.Group == "" {
		v.add(r, ReasonMissingGroup, "spec.group", "", "the name of an engine group", "An engine needs a group.")
	}
	refuse := func(bad bool, path string) {
		if bad {
			v.add(r, ReasonServiceFieldOnEngine, path, "", "the field only for type service", "An engine does not have this field.")
		}
	}
	refuse(len(u.Routes) > 0, "spec.routes")
	refuse(u.HonoursIdempotencyKeys, "spec.honoursIdempotencyKeys")
	refuse(u.OutcomeLookup, "spec.outcomeLookup")
}

func (v *validator) serviceFields(r Record, u Upstream) {
	refuse := func(bad bool, path string) {
		if bad {
			v.add(r, ReasonEngineFieldOnService, path, "", "the field only for type engine", "A service does not have this field.")
		}
	}
	refuse(u.Group != "", "spec.group")
	refuse(u.Role != "", "spec.role")
	refuse(u.CacheTokens != 0, "spec.cacheTokens")
	refuse(u.ChecksFencing, "spec.checksFencing")
}

// sharesTolerance allows for the rounding of decimal fractions such as 0.1.
const sharesTolerance = 1e-9

func (v *validator) budget(r Record, b Budget) {
	if _, ok := v.set.Tenant(b.Tenant); !ok {
		v.add(r, ReasonUnknownTenant, "spec.tenant", b.Tenant, "the name of a Tenant record", "No record describes the tenant.")
	}
	sum := 0.0
	for _, dc := range slices.Sorted(maps.Keys(b.Shares)) {
		v.dataCentre(r, "spec.shares."+dc, dc)
		sum += b.Shares[dc]
	}
	if sum > 1+sharesTolerance {
		v.add(r, ReasonSharesAboveOne, "spec.shares", fmt.Sprintf("%.6g", sum), "a sum of at most 1", "The sum of the shares is above 1.")
	}
	if b.TokensPerProgram > b.TokensPerDay {
		path := "spec.tokensPerProgram"
		if r.Version == V2 {
			path = "spec.tokens.perProgram"
		}
		v.add(r, ReasonProgramAboveDay, path, fmt.Sprint(b.TokensPerProgram), fmt.Sprintf("at most the tokens of a day, which are %d", b.TokensPerDay),
			"One program has more tokens than the tenant has in a day.")
	}
}

func (v *validator) resolution(r Record, s Resolution) {
	dc, _, ok := cutLast(s.Program, '.')
	if !ok || !v.dcs[dc] {
		v.add(r, ReasonUnknownProgram, "spec.program", s.Program, "a program id that starts with the name of a DataCentre record", "No program can have this id.")
	}
}

func cutLast(s string, sep byte) (before, after string, found bool) {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i] == sep {
			return s[:i], s[i+1:], true
		}
	}
	return s, "", false
}

// duplicates reports values that only one record may have.
func (v *validator) duplicates() {
	seen := map[string]string{}
	once := func(r Record, reason Reason, path, value, message string) {
		key := string(reason) + " " + value
		if other, ok := seen[key]; ok {
			shown := value
			if reason == ReasonDuplicateKeyHash {
				shown = hiddenValue
			}
			v.add(r, reason, path, shown, "a value that no other record has", message+" The other record is "+other+".")
			return
		}
		seen[key] = r.Key()
	}
	for _, r := range v.all {
		switch {
		case r.Tenant != nil:
			for i, h := range r.Tenant.KeyHashes {
				once(r, ReasonDuplicateKeyHash, indexPath("spec.keyHashes", i), h, "Two tenants have the same key hash.")
			}
		case r.Upstream != nil:
			once(r, ReasonDuplicateAddress, "spec.address", r.Upstream.Address, "Two upstreams have the same address.")
		case r.Limit != nil:
			once(r, ReasonDuplicateClass, "spec.class", r.Limit.Class, "Two limits have the same class.")
		case r.Budget != nil:
			once(r, ReasonDuplicateBudget, "spec.tenant", r.Budget.Tenant, "Two budgets have the same tenant.")
		case r.Placement != nil:
			once(r, ReasonDuplicatePlacement, "spec.group", r.Placement.Group, "Two placements have the same group.")
		case r.Resolution != nil:
			once(r, ReasonDuplicateResolution, "spec.callKey", r.Resolution.Program+" "+r.Resolution.CallKey, "Two resolutions have the same program and call key.")
		}
	}
}
