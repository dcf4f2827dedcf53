// Package platform is a stand-in for the platform: an object API with versions, conditional updates and watches, and a
// lagging list of VMs. It implements the section "Platform: object API" of docs/protocols.md.
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

// Errors of the store.
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

// Types of events.
const (
	EventPut    = "put"
	EventDelete = "delete"
)

// Event is one write. The object of a delete has the revision of the delete as its version and no value.
type Event struct {
	Revision int64  `json:"revision"`
	Type     string `json:"type"`
	Object   Object `json:"object"`
}

type key struct{ kind, name string }

// change is the last write of an object; previous is nil when the write created it.
type change struct {
	revision int64
	previous *Object
}

// store is the state of the platform. It does no I/O and no locking.
type store struct {
	keptEvents int
	state
	snapshot *state
}

type state struct {
	revision int64
	objects  map[key]Object
	changes  map[key]change // Last write of each object, for stale reads.
	lastKey  map[string]key // Last written object of each kind, for stale lists.
	events   []Event
	dropped  int64 // Highest revision whose event is no longer kept.
}

func newStore(keptEvents int) *store {
	if keptEvents <= 0 {
		keptEvents = DefaultRetainedEvents
	}
	return &store{keptEvents: keptEvents, state: state{
		objects: map[key]Object{}, changes: map[key]change{}, lastKey: map[string]key{},
	}}
}

func (s *state) clone() *state {
	return &state{
		revision: s.revision,
		objects:  maps.Clone(s.objects),
		changes:  maps.Clone(s.changes),
		lastKey:  maps.Clone(s.lastKey),
		events:   slices.Clone(s.events),
		dropped:  s.dropped,
	}
}

// takeSnapshot keeps the present state for restore.
func (s *store) takeSnapshot() { s.snapshot = s.clone() }

// restore goes back to the snapshot, or to an empty store without one. The revision falls.
func (s *store) restore() {
	if s.snapshot == nil {
		s.state = newStore(s.keptEvents).state
		return
	}
	s.state = *s.snapshot.clone()
}

// get returns an object. A stale read shows the object before its last write.
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

// put writes an object if its version is ifVersion, where 0 means that it does not exist. On a conflict it returns the
// current object, which is nil when there is none.
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

// delete removes an object and returns the revision of the delete. ifVersion 0 is unconditional.
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
	s.lastKey[o.Kind] = k
	if eventType == EventDelete {
		delete(s.objects, k)
	} else {
		s.objects[k] = o
	}
	s.events = append(s.events, Event{Revision: o.Version, Type: eventType, Object: o})
	if excess := len(s.events) - s.keptEvents; excess > 0 {
		s.dropped = s.events[excess-1].Revision
		s.events = slices.Delete(s.events, 0, excess)
	}
}

// list returns the objects of a kind by name, and the revision at which the list was true. A stale list shows the kind
// before its last write.
func (s *store) list(kind, prefix, after string, limit int, stale bool) (int64, []Object, bool) {
	if limit <= 0 || limit > DefaultListLimit {
		limit = DefaultListLimit
	}
	revision := s.revision
	var undone key
	var before *Object
	if last, ok := s.lastKey[kind]; stale && ok {
		undone, before = last, s.changes[last].previous
		revision = s.changes[last].revision - 1
	}
	var matches []Object
	for k, o := range s.objects {
		if k.kind == kind && k != undone {
			matches = append(matches, o)
		}
	}
	if before != nil {
		matches = append(matches, *before)
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

// eventsAfter returns the events of a kind after a revision and the revision up to which they are complete. Like a list
// it holds at most DefaultListLimit events and MaxListBytes of values.
func (s *store) eventsAfter(kind, prefix string, since int64) (int64, []Event, error) {
	if since < s.dropped || since > s.revision {
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
