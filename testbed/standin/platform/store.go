// Package platform is a stand-in for the platform. It provides an object API with versions, conditional updates and watches, and
// a list of VMs whose changes become visible after a delay. It implements the section "Platform: object API" of
// docs/protocols.md.
package platform

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Limits of the object API.
const (
	MaxValueBytes         = 1_000_000
	MaxListBytes          = 4_000_000
	DefaultListLimit      = 500
	DefaultRetainedEvents = 10_000
)

// Errors returned by the store.
var (
	ErrNotFound   = errors.New("the object does not exist")
	ErrConflict   = errors.New("the version of the object differs")
	ErrTooLarge   = errors.New("the value is larger than 1,000,000 bytes")
	ErrHistoryGap = errors.New("the events after this revision are no longer kept")
)

// Object is a stored object. Version is the store revision of its last write.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Event types.
const (
	EventPut    = "put"
	EventDelete = "delete"
)

// Event describes one write. For a delete, the object's version is the revision of the delete, and it has no value.
type Event struct {
	Revision int64  `json:"revision"`
	Type     string `json:"type"`
	Object   Object `json:"object"`
}

type key struct{ kind, name string }

// change is the last write of an object. previous is nil if the write created the object.
type change struct {
	revision int64
	previous *Object
}

// store is the state of the platform and its snapshot. It does no I/O and no locking.
type store struct {
	retainedEvents int
	state
	snapshot *state
}

type state struct {
	revision        int64
	objects         map[key]Object
	changes         map[key]change // Last write of each object, for stale reads.
	lastWritten     map[string]key // Last written object of each kind, for stale lists.
	events          []Event
	droppedRevision int64 // Highest revision whose event is no longer retained.
}

func newStore(retainedEvents int) *store {
	if retainedEvents <= 0 {
		retainedEvents = DefaultRetainedEvents
	}
	return &store{retainedEvents: retainedEvents, state: state{
		objects: map[key]Object{}, changes: map[key]change{}, lastWritten: map[string]key{},
	}}
}

func (s *state) clone() *state {
	return &state{
		revision:        s.revision,
		objects:         maps.Clone(s.objects),
		changes:         maps.Clone(s.changes),
		lastWritten:     maps.Clone(s.lastWritten),
		events:          slices.Clone(s.events),
		droppedRevision: s.droppedRevision,
	}
}

// takeSnapshot stores a copy of the current state for restore.
func (s *store) takeSnapshot() { s.snapshot = s.clone() }

// restore restores the snapshot, or an empty store if there is none. The revision decreases.
func (s *store) restore() {
	if s.snapshot == nil {
		s.state = newStore(s.retainedEvents).state
		return
	}
	s.state = *s.snapshot.clone()
}

// get returns an object or ErrNotFound. A stale read returns the object as it was before its last write.
func (s *store) get(kind, name string, stale bool) (Object, error) {
	k := key{kind, name}
	if c, ok := s.changes[k]; stale && ok {
		if c.previous == nil {
			return Object{}, ErrNotFound
		}
		return *c.previous, nil
	}
	o, ok := s.objects[k]
	if !ok {
		return Object{}, ErrNotFound
	}
	return o, nil
}

// put writes an object if its current version is ifVersion, where 0 means that the object does not exist. On ErrConflict it also
// returns the current object, or nil if there is none.
func (s *store) put(kind, name string, ifVersion int64, value json.RawMessage) (Object, *Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, nil, ErrTooLarge
	}
	current, exists := s.objects[key{kind, name}]
	if current.Version != ifVersion {
		if !exists {
			return Object{}, nil, ErrConflict
		}
		return Object{}, &current, ErrConflict
	}
	o := Object{Kind: kind, Name: name, Version: s.revision + 1, Value: value}
	s.write(EventPut, o)
	return o, nil, nil
}

// delete removes an object and returns the revision of the delete. If ifVersion is not 0, it must be the current version;
// otherwise delete returns ErrConflict and the current object.
func (s *store) delete(kind, name string, ifVersion int64) (int64, *Object, error) {
	current, exists := s.objects[key{kind, name}]
	if !exists {
		return 0, nil, ErrNotFound
	}
	if ifVersion != 0 && current.Version != ifVersion {
		return 0, &current, ErrConflict
	}
	s.write(EventDelete, Object{Kind: kind, Name: name, Version: s.revision + 1})
	return s.revision, nil, nil
}

func (s *store) write(eventType string, o Object) {
	k := key{o.Kind, o.Name}
	s.revision = o.Version
	c := change{revision: o.Version}
	if previous, ok := s.objects[k]; ok {
		c.previous = &previous
	}
	s.changes[k] = c
	s.lastWritten[o.Kind] = k
	if eventType == EventDelete {
		delete(s.objects, k)
	} else {
		s.objects[k] = o
	}
	s.events = append(s.events, Event{Revision: o.Version, Type: eventType, Object: o})
	if excess := len(s.events) - s.retainedEvents; excess > 0 {
		s.droppedRevision = s.events[excess-1].Revision
		s.events = slices.Delete(s.events, 0, excess)
	}
}

// list returns the revision of the list, a page of the objects of a kind sorted by name, and whether there are more objects. A
// stale list returns the state before the last write to the kind.
func (s *store) list(kind, prefix, after string, limit int, stale bool) (int64, []Object, bool) {
	if limit <= 0 || limit > DefaultListLimit {
		limit = DefaultListLimit
	}
	revision := s.revision
	var staleKey key
	var staleObject *Object
	if lastKey, ok := s.lastWritten[kind]; stale && ok {
		staleKey, staleObject = lastKey, s.changes[lastKey].previous
		revision = s.changes[lastKey].revision - 1
	}
	var matches []Object
	for k, o := range s.objects {
		if k.kind == kind && k != staleKey {
			matches = append(matches, o)
		}
	}
	if staleObject != nil {
		matches = append(matches, *staleObject)
	}
	matches = slices.DeleteFunc(matches, func(o Object) bool {
		return !strings.HasPrefix(o.Name, prefix) || o.Name <= after && after != ""
	})
	slices.SortFunc(matches, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	page := matches[:min(limit, len(matches))]
	size := 0
	for i, o := range page {
		size += len(o.Value)
		if size > MaxListBytes {
			page = page[:i]
			break
		}
	}
	return revision, page, len(page) < len(matches)
}

// eventsAfter returns the events of a kind after the revision since, and the revision up to which they are complete. Like a
// list, it returns at most DefaultListLimit events and MaxListBytes of values. It returns ErrHistoryGap if events are missing.
func (s *store) eventsAfter(kind, prefix string, since int64) (int64, []Event, error) {
	if since < s.droppedRevision || since > s.revision {
		return 0, nil, ErrHistoryGap
	}
	start, _ := slices.BinarySearchFunc(s.events, since+1, func(e Event, r int64) int { return int(e.Revision - r) })
	var found []Event
	size := 0
	for _, e := range s.events[start:] {
		if e.Object.Kind != kind || !strings.HasPrefix(e.Object.Name, prefix) {
			continue
		}
		size += len(e.Object.Value)
		if len(found) == DefaultListLimit || size > MaxListBytes {
			return found[len(found)-1].Revision, found, nil
		}
		found = append(found, e)
	}
	return s.revision, found, nil
}
