// Package relay decides from where a VM reads the objects of the platform's store: from a replica that relays them, or from
// the store. It does no I/O.
package relay

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a VM that may relay the objects of the store.
type Candidate struct {
	VM         string
	Address    string
	DataCentre string
}

// Source is a place to read from. The zero value is the store itself.
type Source struct {
	Candidate
	IsRelay bool
}

const (
	// maxCandidates is the number of relays that are tried before the store. More than the tolerated number of VMs may be
	// away at once, but then the store is asked.
	maxCandidates = 4
	// minBackoff and maxRelayBackoff bound the time for which a relay that has failed is not tried. A relay that has lost the
	// store has it again within a second of its return.
	minBackoff      = 250 * time.Millisecond
	maxRelayBackoff = time.Second
	// maxStoreBackoff bounds the time for which the store is not asked. Calls to the store have a price, and the relays
	// notice its return as well.
	maxStoreBackoff = 4 * time.Second
)

// Order returns the candidates in the order in which a VM of a region tries them. All VMs of a region use the same order, so
// that they read from few relays, whose number does not grow with the number of VMs. The order of each region differs.
func Order(candidates []Candidate, region string, regionOf func(dataCentre string) string) []Candidate {
	ordered := slices.Clone(candidates)
	rank := func(c Candidate) (otherRegion bool, hash uint64) {
		return regionOf(c.DataCentre) != region, xxhash.Sum64String(region + " " + c.VM)
	}
	sort.Slice(ordered, func(i, j int) bool {
		otherI, hashI := rank(ordered[i])
		otherJ, hashJ := rank(ordered[j])
		if otherI != otherJ {
			return otherJ
		}
		return hashI < hashJ || hashI == hashJ && ordered[i].VM < ordered[j].VM
	})
	return ordered
}

// Selector selects the source of one VM. It is not safe for concurrent use.
type Selector struct {
	ordered  []Candidate
	failures map[string]failure // By VM; the store has an empty name.
}

type failure struct {
	backoff time.Duration
	until   time.Time
}

// NewSelector returns a selector without candidates, which selects the store.
func NewSelector() *Selector { return &Selector{failures: map[string]failure{}} }

// SetCandidates replaces the candidates, in the order in which they are tried.
func (s *Selector) SetCandidates(ordered []Candidate) {
	s.ordered = ordered
	for vm := range s.failures {
		if vm != "" && !slices.ContainsFunc(ordered, func(c Candidate) bool { return c.VM == vm }) {
			delete(s.failures, vm)
		}
	}
}

// Next returns the source to read from. If none may be tried yet, it returns the time to wait.
func (s *Selector) Next(now time.Time) (source Source, wait time.Duration) {
	var earliest time.Time
	isBlocked := func(name string) bool {
		until := s.failures[name].until
		if !now.Before(until) {
			return false
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
		return true
	}
	for _, c := range s.ordered[:min(len(s.ordered), maxCandidates)] {
		if !isBlocked(c.VM) {
			return Source{Candidate: c, IsRelay: true}, 0
		}
	}
	if !isBlocked("") {
		return Source{}, 0
	}
	return Source{}, earliest.Sub(now)
}

// RecordFailure excludes a source for a time that grows with each failure in a row.
func (s *Selector) RecordFailure(now time.Time, source Source) {
	limit := maxRelayBackoff
	if !source.IsRelay {
		limit = maxStoreBackoff
	}
	backoff := min(max(2*s.failures[source.VM].backoff, minBackoff), limit)
	s.failures[source.VM] = failure{backoff: backoff, until: now.Add(backoff)}
}

// RecordSuccess records that a source has returned current objects.
func (s *Selector) RecordSuccess(source Source) { delete(s.failures, source.VM) }
