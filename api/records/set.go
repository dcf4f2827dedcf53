package records

import "sort"

// Set is an indexed snapshot of all records. It is not changed after it is built.
type Set struct {
	all         []Record // Ordered by key.
	dataCentres int
	byKey       map[string]Record
	tenantByKey map[string]string
	limits      map[string]Limit
	budgets     map[string]Budget
	placements  map[string]Placement
	engines     map[string][]string
}

// NewSet indexes records. A later record with the same key replaces an earlier one. Tombstones are not part of a set.
func NewSet(list []Record) *Set {
	s := &Set{
		byKey:       make(map[string]Record, len(list)),
		tenantByKey: map[string]string{},
		limits:      map[string]Limit{},
		budgets:     map[string]Budget{},
		placements:  map[string]Placement{},
		engines:     map[string][]string{},
	}
	for _, r := range list {
		if r.Deleted {
			delete(s.byKey, r.Key())
			continue
		}
		s.byKey[r.Key()] = r
	}
	for _, r := range s.byKey {
		s.index(r)
	}
	s.all = s.sorted()
	for _, names := range s.engines {
		sort.Strings(names)
	}
	return s
}

func (s *Set) index(r Record) {
	switch {
	case r.DataCentre != nil:
		s.dataCentres++
	case r.Tenant != nil:
		for _, h := range r.Tenant.KeyHashes {
			s.tenantByKey[h] = r.Name
		}
	case r.Limit != nil:
		s.limits[r.Limit.Class] = *r.Limit
	case r.Budget != nil:
		s.budgets[r.Budget.Tenant] = *r.Budget
	case r.Placement != nil:
		s.placements[r.Placement.Group] = *r.Placement
	case r.Upstream != nil && r.Upstream.Type == UpstreamEngine:
		s.engines[r.Upstream.Group] = append(s.engines[r.Upstream.Group], r.Name)
	}
}

// All returns every record ordered by key. The list is shared and must not be changed.
func (s *Set) All() []Record { return s.all }

// DataCentres returns the number of data centres.
func (s *Set) DataCentreCount() int { return s.dataCentres }

func (s *Set) sorted() []Record {
	list := make([]Record, 0, len(s.byKey))
	for _, r := range s.byKey {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key() < list[j].Key() })
	return list
}

// Get returns the record of a kind and name.
func (s *Set) Get(kind Kind, name string) (Record, bool) {
	r, ok := s.byKey[string(kind)+"."+name]
	return r, ok
}

// TenantByKey returns the tenant that holds a bearer key.
func (s *Set) TenantByKey(key string) (string, bool) {
	name, ok := s.tenantByKey[HashKey(key)]
	return name, ok
}

// Tenant returns a tenant by name.
func (s *Set) Tenant(name string) (Tenant, bool) {
	r, ok := s.Get(KindTenant, name)
	if !ok {
		return Tenant{}, false
	}
	return *r.Tenant, true
}

// Model returns a model by name.
func (s *Set) Model(name string) (Model, bool) {
	r, ok := s.Get(KindModel, name)
	if !ok {
		return Model{}, false
	}
	return *r.Model, true
}

// Upstream returns an upstream by name.
func (s *Set) Upstream(name string) (Upstream, bool) {
	r, ok := s.Get(KindUpstream, name)
	if !ok {
		return Upstream{}, false
	}
	return *r.Upstream, true
}

// Engines returns the names of the engines of a group in all data centres, in order.
func (s *Set) Engines(group string) []string { return s.engines[group] }

// Limit returns the limit of a class, or that of DefaultClass, or DefaultLimit.
func (s *Set) Limit(class string) Limit {
	if l, ok := s.limits[class]; ok {
		return l
	}
	if l, ok := s.limits[DefaultClass]; ok {
		return l
	}
	return DefaultLimit()
}

// Budget returns the budget of a tenant, and false when no record limits it.
func (s *Set) Budget(tenant string) (Budget, bool) {
	b, ok := s.budgets[tenant]
	return b, ok
}

// Placement returns the placement of an engine group or DefaultPlacement.
func (s *Set) Placement(group string) Placement {
	if p, ok := s.placements[group]; ok {
		return p
	}
	return DefaultPlacement(group)
}

// Region returns the region of a data centre, or the empty string.
func (s *Set) Region(dataCentre string) string {
	r, ok := s.Get(KindDataCentre, dataCentre)
	if !ok {
		return ""
	}
	return r.DataCentre.Region
}
