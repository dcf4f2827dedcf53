package replica

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/platform"
)

// viewStore holds one view. It can lose answers, and perform a write whose answer was lost later.
type viewStore struct {
	platform.Store
	object    platform.Object
	loseNext  bool
	delayNext bool
	late      func()
}

func (s *viewStore) Put(_ context.Context, kind, name string, ifVersion uint64, value any) (uint64, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	write := func() error {
		if s.object.Version != ifVersion {
			current := s.object
			return &platform.ConflictError{Current: &current}
		}
		s.object = platform.Object{Kind: kind, Name: name, Version: s.object.Version + 10, Value: raw}
		return nil
	}
	if s.delayNext {
		s.delayNext = false
		s.late = func() { _ = write() } // Its answer was lost long ago.
		return 0, errors.Mark(errors.New("no answer"), platform.ErrOutcomeUnknown)
	}
	if err := write(); err != nil {
		return 0, err
	}
	if s.loseNext {
		s.loseNext = false
		return 0, errors.Mark(errors.New("no answer"), platform.ErrOutcomeUnknown)
	}
	return s.object.Version, nil
}

func (s *viewStore) view(t *testing.T) replica.View {
	t.Helper()
	var v replica.View
	must.NoError(t, json.Unmarshal(s.object.Value, &v))
	return v
}

// Guards against a replica that cannot change the view any more, or changes it twice, after the answer to its write was lost or the
// write came late, and against one that restarted while no watch of it is answered and so knows no revision.
func TestViewIsWrittenDespiteLostAnswers(t *testing.T) {
	a, b, c := replica.Member{VM: "a", Disk: "d"}, replica.Member{VM: "b", Disk: "d"}, replica.Member{VM: "c", Disk: "d"}
	first := replica.View{Version: 4, Epoch: 2, ToleratedFailures: 1, Sets: [][]replica.Member{{a, b}}}
	wanted := func(v replica.View) (replica.View, bool) {
		if replica.Contains(v.CurrentSet(), c.Key()) {
			return v, false
		}
		v.Version, v.Epoch = v.Version+1, v.Epoch+1
		v.Sets = append(append([][]replica.Member{}, v.Sets...), []replica.Member{a, b, c})
		return v, true
	}
	for name, prepare := range map[string]func(s *viewStore, m *Membership){
		"answered":                   func(*viewStore, *Membership) {},
		"written, answer lost":       func(s *viewStore, _ *Membership) { s.loseNext = true },
		"not written, comes later":   func(s *viewStore, _ *Membership) { s.delayNext = true },
		"revision not known":         func(_ *viewStore, m *Membership) { m.viewRev = 0 },
		"revision of a view before":  func(_ *viewStore, m *Membership) { m.viewRev = 3 },
		"not known, and answer lost": func(s *viewStore, m *Membership) { m.viewRev, s.loseNext = 0, true },
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := json.Marshal(first)
			must.NoError(t, err)
			s := &viewStore{object: platform.Object{Kind: ViewKind, Name: ViewName, Version: 7, Value: raw}}
			m := &Membership{Self: a, Server: newServer(t, newFaultFS()), Store: s, Log: quietLog()}
			m.Init()
			m.view, m.viewRev = first, 7
			prepare(s, m)
			for range 3 {
				m.change(t.Context(), "proposed", wanted)
			}
			if s.late != nil {
				s.late()
			}
			test.EqOp(t, 5, s.view(t).Version)
			test.EqOp(t, 2, len(s.view(t).Sets), test.Sprint("written once"))
			test.EqOp(t, 5, m.view.Version)
			test.EqOp(t, s.object.Version, m.viewRev)
		})
	}
}
