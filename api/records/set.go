package records

import "sort"

// Set is an immutable, indexed snapshot of all records.
type Set struct {
	all              []Record // Sorted by key.
	dataCentreCount  int
	byKey            map[string]Record
	tenantByKeyHash  map[string]string
	limitByClass     map[string]Limit
	budgetByTenant   map[string]Budget
	placementByGroup map[string]Placement
	enginesByGroup   map[string][]string
}

// NewSet returns a set of the given records. A later record replaces an earlier one with the same key, and a tombstone
// removes it.
func NewSet(list []Record) *Set {
	s := &Set{
		byKey:            make(map[string]Record, len(list)),
		tenantByKeyHash:  map[string]string{},
		limitByClass:     map[string]Limit{},
		budgetByTenant:   map[string]Budget{},
		placementByGroup: map[string]Placement{},
		enginesByGroup:   map[string][]string{},
	}
	for _, r := range list {
		if r.Deleted {
			delete(s.byKey, r.Key())
			continue
		}
		s.byKey[r.Key()] = r
	}
	for _, r := range s.byKey {
		s.indexRecord(r)
	}
	s.all = s.sortedRecords()
	for _, names := range s.enginesByGroup {
		sort.Strings(names)
	}
	return s
}

func (s *Set) indexRecord(r Record) {
	switch {
	case r.DataCentre != nil:
		s.dataCentreCount++
	case r.Tenant != nil:
		for _, h := range r.Tenant.KeyHashes {
			s.tenantByKeyHash[h] = r.Name
		}
	case r.Limit != nil:
		s.limitByClass[r.Limit.Class] = *r.Limit
	case r.Budget != nil:
		s.budgetByTenant[r.Budget.Tenant] = *r.Budget
	case r.Placement != nil:
		s.placementByGroup[r.Placement.Group] = *r.Placement
	case r.Upstream != nil && r.Upstream.Type == UpstreamEngine:
		s.enginesByGroup[r.Upstream.Group] = append(s.enginesByGroup[r.Upstream.Group], r.Name)
	}
}

// All returns all records sorted by key. The caller must not modify the returned slice.
func (s *Set) All() []Record { return s.all }

// DataCentreCount returns the number of data centres.
func (s *Set) DataCentreCount() int { return s.dataCentreCount }

func (s *Set) sortedRecords() []Record {
	sorted := make([]Record, 0, len(s.byKey))
	for _, r := range s.byKey {
		sorted = append(sorted, r)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Key() < sorted[j].Key() })
	return sorted
}

// Get returns the record with the given kind and name.
func (s *Set) Get(kind Kind, name string) (Record, bool) {
	r, ok := s.byKey[string(kind)+"."+name]
	return r, ok
}

// TenantByKey returns the name of the tenant that a bearer key belongs to.
func (s *Set) TenantByKey(key string) (string, bool) {
	name, ok := s.tenantByKeyHash[HashKey(key)]
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

// Engines returns the sorted names of the engines of a group in all data centres.
func (s *Set) Engines(group string) []string { return s.enginesByGroup[group] }

// Limit returns the limit of a class. If there is none, it returns that of DefaultClass, or else DefaultLimit.
func (s *Set) Limit(class string) Limit {
	if l, ok := s.limitByClass[class]; ok {
		return l
	}
	if l, ok := s.limitByClass[DefaultClass]; ok {
		return l
	}
	return DefaultLimit()
}

// Budget returns the budget of a tenant. It returns false if the tenant has no budget record.
func (s *Set) Budget(tenant string) (Budget, bool) {
	b, ok := s.budgetByTenant[tenant]
	return b, ok
}

// Placement returns the placement of an engine group, or DefaultPlacement if there is none.
func (s *Set) Placement(group string) Placement {
	if p, ok := s.placementByGroup[group]; ok {
		return p
	}
	return DefaultPlacement(group)
}

// Region returns the region of a data centre, or an empty string if the data centre is unknown.
func (s *Set) Region(dataCentre string) string {
	r, ok := s.Get(KindDataCentre, dataCentre)
	if !ok {
		return ""
	}
	return r.DataCentre.Region
}
