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

// fakeViewStore is a store with a single view object. It can lose the response to a write, and execute a write late, after
// its caller has received no response.
type fakeViewStore struct {
	platform.Store
	object           platform.Object
	loseNextResponse bool
	delayNextWrite   bool
	delayedWrite     func()
}

func (s *fakeViewStore) Put(_ context.Context, kind, name string, ifVersion uint64, value any) (uint64, error) {
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
	if s.delayNextWrite {
		s.delayNextWrite = false
		s.delayedWrite = func() { _ = write() } // The caller has already received an error.
		return 0, errors.Mark(errors.New("no response"), platform.ErrOutcomeUnknown)
	}
	if err := write(); err != nil {
		return 0, err
	}
	if s.loseNextResponse {
		s.loseNextResponse = false
		return 0, errors.Mark(errors.New("no response"), platform.ErrOutcomeUnknown)
	}
	return s.object.Version, nil
}

func (s *fakeViewStore) storedView(t *testing.T) replica.View {
	t.Helper()
	var v replica.View
	must.NoError(t, json.Unmarshal(s.object.Value, &v))
	return v
}

// Guards against a replica that can no longer change the view, or changes it twice, after the response to its write was
// lost or the write was executed late. Also covers a replica that has no revision of the view, because it restarted and its
// watches got no response.
func TestViewWriteSurvivesLostResponses(t *testing.T) {
	a, b, c := replica.Member{VM: "a", Disk: "d"}, replica.Member{VM: "b", Disk: "d"}, replica.Member{VM: "c", Disk: "d"}
	first := replica.View{Version: 4, Epoch: 2, ToleratedFailures: 1, Sets: [][]replica.Member{{a, b}}}
	nextView := func(v replica.View) (replica.View, bool) {
		if replica.Contains(v.CurrentSet(), c.Key()) {
			return v, false
		}
		v.Version, v.Epoch = v.Version+1, v.Epoch+1
		v.Sets = append(append([][]replica.Member{}, v.Sets...), []replica.Member{a, b, c})
		return v, true
	}
	for name, prepare := range map[string]func(s *fakeViewStore, m *Membership){
		"answered":                 func(*fakeViewStore, *Membership) {},
		"written, response lost":   func(s *fakeViewStore, _ *Membership) { s.loseNextResponse = true },
		"written late":             func(s *fakeViewStore, _ *Membership) { s.delayNextWrite = true },
		"revision not known":       func(_ *fakeViewStore, m *Membership) { m.viewRevision = 0 },
		"revision of earlier view": func(_ *fakeViewStore, m *Membership) { m.viewRevision = 3 },
		"not known, response lost": func(s *fakeViewStore, m *Membership) { m.viewRevision, s.loseNextResponse = 0, true },
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := json.Marshal(first)
			must.NoError(t, err)
			s := &fakeViewStore{object: platform.Object{Kind: ViewKind, Name: replica.ViewName(0), Version: 7, Value: raw}}
			m := &Membership{Self: a, Server: newServer(t, newFaultFS()), Store: s, Log: discardLog()}
			m.Init()
			m.view, m.viewRevision, m.layout = first, 7, replica.SingleGroup()
			prepare(s, m)
			for range 3 {
				m.writeView(t.Context(), "proposed", nextView)
			}
			if s.delayedWrite != nil {
				s.delayedWrite()
			}
			test.EqOp(t, 5, s.storedView(t).Version)
			test.EqOp(t, 2, len(s.storedView(t).Sets), test.Sprint("written once"))
			test.EqOp(t, 5, m.view.Version)
			test.EqOp(t, s.object.Version, m.viewRevision)
		})
	}
}
