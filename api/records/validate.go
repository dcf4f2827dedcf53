package records

import (
	"fmt"
	"maps"
	"slices"
)

// Validate returns all contradictions between the records of a set, sorted by record and path.
func Validate(s *Set) Faults {
	v := &validator{set: s, all: s.All(), knownGroups: map[string]bool{}, availableEngines: map[string]int{}, knownDataCentres: map[string]bool{}}
	v.collectReferenceTargets()
	for _, r := range v.all {
		v.checkRecord(r)
	}
	v.checkDuplicates()
	sortFaults(v.faults)
	return v.faults
}

type validator struct {
	set              *Set
	all              []Record
	knownGroups      map[string]bool // Groups that at least one engine or model refers to.
	availableEngines map[string]int  // Number of engines that are not leaving, by group and data centre.
	knownDataCentres map[string]bool
	faults           Faults
}

func (v *validator) addFault(r Record, reason Reason, path, value, allowed, message string) {
	v.faults = append(v.faults, Fault{Reason: reason, Record: r.Key(), Path: path, Value: value, Allowed: allowed, Message: message})
}

func (v *validator) collectReferenceTargets() {
	for _, r := range v.all {
		switch {
		case r.DataCentre != nil:
			v.knownDataCentres[r.Name] = true
		case r.Model != nil:
			v.knownGroups[r.Model.Group] = true
		case r.Upstream != nil && r.Upstream.Type == UpstreamEngine:
			v.knownGroups[r.Upstream.Group] = true
			if !r.Upstream.Leaving {
				v.availableEngines[r.Upstream.Group+"."+r.Upstream.DataCentre]++
			}
		}
	}
}

func (v *validator) checkRecord(r Record) {
	switch {
	case r.Model != nil:
		v.checkModel(r, *r.Model)
	case r.Upstream != nil:
		v.checkUpstream(r, *r.Upstream)
	case r.Budget != nil:
		v.checkBudget(r, *r.Budget)
	case r.Placement != nil:
		if !v.knownGroups[r.Placement.Group] {
			v.addFault(r, ReasonUnknownGroup, "spec.group", r.Placement.Group, "a group of an Upstream or Model record", "No engine and no model has this group.")
		}
	case r.Resolution != nil:
		v.checkResolution(r, *r.Resolution)
	}
}

func (v *validator) checkDataCentreExists(r Record, path, name string) bool {
	if v.knownDataCentres[name] {
		return true
	}
	v.addFault(r, ReasonUnknownDataCentre, path, name, "the name of a DataCentre record", "No record describes the data centre.")
	return false
}

func (v *validator) checkModel(r Record, m Model) {
	if len(v.set.Engines(m.Group)) == 0 {
		v.addFault(r, ReasonGroupWithoutEngine, "spec.group", m.Group, "a group of an Upstream record of type engine", "The engine group of the model has no engine.")
	}
	if m.MaxOutputTokens > m.ContextTokens {
		v.addFault(r, ReasonOutputAboveContext, "spec.maxOutputTokens", fmt.Sprint(m.MaxOutputTokens),
			fmt.Sprintf("at most spec.contextTokens, which is %d", m.ContextTokens), "The largest output is above the context.")
	}
	for _, dc := range slices.Sorted(maps.Keys(m.Replicas)) {
		path := "spec.replicas." + dc
		if n := v.availableEngines[m.Group+"."+dc]; v.checkDataCentreExists(r, path, dc) && m.Replicas[dc] > n {
			v.addFault(r, ReasonTooManyReplicas, path, fmt.Sprint(m.Replicas[dc]), fmt.Sprintf("at most %d", n),
				"The data centre has fewer engines of the group that are not leaving.")
		}
	}
}

func (v *validator) checkUpstream(r Record, u Upstream) {
	v.checkDataCentreExists(r, "spec.dataCentre", u.DataCentre)
	routes := map[string]bool{}
	for i, route := range u.Routes {
		key := route.Method + " " + route.PathPrefix
		if routes[key] {
			v.addFault(r, ReasonDuplicateRoute, indexPath("spec.routes", i), key, "each method and path prefix once", "Two routes have the same method and path prefix.")
		}
		routes[key] = true
	}
	if u.Type == UpstreamEngine {
		v.checkEngineFields(r, u)
		return
	}
	v.checkServiceFields(r, u)
}

func (v *validator) checkEngineFields(r Record, u Upstream) {
	if u.Group == "" {
		v.addFault(r, ReasonMissingGroup, "spec.group", "", "the name of an engine group", "An engine needs a group.")
	}
	rejectField := func(isSet bool, path string) {
		if isSet {
			v.addFault(r, ReasonServiceFieldOnEngine, path, "", "the field only for type service", "An engine does not have this field.")
		}
	}
	rejectField(len(u.Routes) > 0, "spec.routes")
	rejectField(u.HonoursIdempotencyKeys, "spec.honoursIdempotencyKeys")
	rejectField(u.OutcomeLookup, "spec.outcomeLookup")
}

func (v *validator) checkServiceFields(r Record, u Upstream) {
	rejectField := func(isSet bool, path string) {
		if isSet {
			v.addFault(r, ReasonEngineFieldOnService, path, "", "the field only for type engine", "A service does not have this field.")
		}
	}
	rejectField(u.Group != "", "spec.group")
	rejectField(u.Role != "", "spec.role")
	rejectField(u.CacheTokens != 0, "spec.cacheTokens")
	rejectField(u.ChecksFencing, "spec.checksFencing")
}

// sharesTolerance allows for rounding errors of decimal fractions such as 0.1.
const sharesTolerance = 1e-9

func (v *validator) checkBudget(r Record, b Budget) {
	if _, ok := v.set.Tenant(b.Tenant); !ok {
		v.addFault(r, ReasonUnknownTenant, "spec.tenant", b.Tenant, "the name of a Tenant record", "No record describes the tenant.")
	}
	sum := 0.0
	for _, dc := range slices.Sorted(maps.Keys(b.Shares)) {
		v.checkDataCentreExists(r, "spec.shares."+dc, dc)
		sum += b.Shares[dc]
	}
	if sum > 1+sharesTolerance {
		v.addFault(r, ReasonSharesAboveOne, "spec.shares", fmt.Sprintf("%.6g", sum), "a sum of at most 1", "The sum of the shares is above 1.")
	}
	if b.TokensPerProgram > b.TokensPerDay {
		path := "spec.tokensPerProgram"
		if r.Version == V2 {
			path = "spec.tokens.perProgram"
		}
		v.addFault(r, ReasonProgramAboveDay, path, fmt.Sprint(b.TokensPerProgram), fmt.Sprintf("at most the tokens of a day, which are %d", b.TokensPerDay),
			"One program has more tokens than the tenant has in a day.")
	}
}

func (v *validator) checkResolution(r Record, s Resolution) {
	dc, _, ok := cutLast(s.Program, '.')
	if !ok || !v.knownDataCentres[dc] {
		v.addFault(r, ReasonUnknownProgram, "spec.program", s.Program, "a program id that starts with the name of a DataCentre record", "No program can have this id.")
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

// checkDuplicates adds a fault for each value that must be unique but occurs in more than one record.
func (v *validator) checkDuplicates() {
	seen := map[string]string{}
	requireUnique := func(r Record, reason Reason, path, value, message string) {
		key := string(reason) + " " + value
		if other, ok := seen[key]; ok {
			displayed := value
			if reason == ReasonDuplicateKeyHash {
				displayed = hiddenValue
			}
			v.addFault(r, reason, path, displayed, "a value that no other record has", message+" The other record is "+other+".")
			return
		}
		seen[key] = r.Key()
	}
	for _, r := range v.all {
		switch {
		case r.Tenant != nil:
			for i, h := range r.Tenant.KeyHashes {
				requireUnique(r, ReasonDuplicateKeyHash, indexPath("spec.keyHashes", i), h, "Two tenants have the same key hash.")
			}
		case r.Upstream != nil:
			requireUnique(r, ReasonDuplicateAddress, "spec.address", r.Upstream.Address, "Two upstreams have the same address.")
		case r.Limit != nil:
			requireUnique(r, ReasonDuplicateClass, "spec.class", r.Limit.Class, "Two limits have the same class.")
		case r.Budget != nil:
			requireUnique(r, ReasonDuplicateBudget, "spec.tenant", r.Budget.Tenant, "Two budgets have the same tenant.")
		case r.Placement != nil:
			requireUnique(r, ReasonDuplicatePlacement, "spec.group", r.Placement.Group, "Two placements have the same group.")
		case r.Resolution != nil:
			requireUnique(r, ReasonDuplicateResolution, "spec.callKey", r.Resolution.Program+" "+r.Resolution.CallKey, "Two resolutions have the same program and call key.")
		}
	}
}
