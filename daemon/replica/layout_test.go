package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/platform"
)

// fakeObjects is a store of several objects with conditional writes.
type fakeObjects struct {
	platform.Store
	revision uint64
	objects  map[string]platform.Object
}

func (s *fakeObjects) Put(_ context.Context, kind, name string, ifVersion uint64, value any) (uint64, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	if current, ok := s.objects[name]; current.Version != ifVersion {
		conflict := &platform.ConflictError{}
		if ok {
			conflict.Current = &current
		}
		return 0, conflict
	}
	s.revision++
	s.objects[name] = platform.Object{Kind: kind, Name: name, Version: s.revision, Value: raw}
	return s.revision, nil
}

// unreachable is the transport of a replica that reaches no other one.
type unreachable struct{}

// RoundTrip implements http.RoundTripper.
func (unreachable) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("unreachable")
}

// newGroupMembership returns the membership of a registered VM that started a while ago. All VMs respond.
func newGroupMembership(t *testing.T, s platform.Store, self replica.Member, registered []replica.Member) *Membership {
	t.Helper()
	m := &Membership{
		Self: self, Server: newServer(t, newFaultFS()), Store: s, Log: discardLog(), Client: &http.Client{Transport: unreachable{}},
		ToleratedFailures: func() int { return 2 },
	}
	m.Init()
	m.startTime = m.startTime.Add(-time.Minute)
	for _, r := range registered {
		m.registered[r.VM] = r
		m.lastResponse[r.VM] = time.Now()
	}
	return m
}

func replicaVMs(n int) []replica.Member {
	var members []replica.Member
	for i := range n {
		members = append(members, replica.Member{VM: fmt.Sprintf("vm-%02d", i), Disk: "d", DataCentre: fmt.Sprint("dc-", i%6)})
	}
	return members
}

// Guards against replicas that start together and use different layouts, against a spare that two groups add, and against a
// replacement without a group.
func TestReplicasAgreeOnGroups(t *testing.T) {
	s := &fakeObjects{objects: map[string]platform.Object{}}
	vms := replicaVMs(24)
	var members []*Membership
	for i, vm := range vms {
		m := newGroupMembership(t, s, vm, vms[:24-i%3]) // Some have not read all registrations.
		m.registered[vm.VM] = vm
		m.joinGroup(t.Context())
		must.MapEmpty(t, s.objects, must.Sprint("the views have not been read"))
		m.onViews(nil)
		members = append(members, m)
	}
	for _, m := range members {
		m.layoutDueSince = time.Now().Add(-time.Hour) // The delay of every rank has passed.
		m.joinGroup(t.Context())
	}
	must.MapContainsKey(t, s.objects, LayoutName)
	for range 2 {
		for _, m := range members {
			m.onViews(s.objects)
			m.joinGroup(t.Context())
			m.proposeView(t.Context())
		}
	}
	var l replica.Layout
	must.NoError(t, json.Unmarshal(s.objects[LayoutName].Value, &l))
	test.EqOp(t, 4, l.Groups)
	inGroup := map[string]int{}
	for group := range l.Groups {
		var v replica.View
		must.MapContainsKey(t, s.objects, replica.ViewName(group))
		must.NoError(t, json.Unmarshal(s.objects[replica.ViewName(group)].Value, &v))
		test.SliceLen(t, 5, v.CurrentSet())
		for _, member := range v.CurrentSet() {
			inGroup[member.VM]++
			test.EqOp(t, 1, inGroup[member.VM])
			test.EqOp(t, group, l.GroupOf[member.VM])
		}
	}
	lost := vms[7]
	late := newGroupMembership(t, s, replica.Member{VM: "vm-99", Disk: "d", DataCentre: lost.DataCentre}, vms)
	late.registered[late.Self.VM] = late.Self
	delete(late.lastResponse, lost.VM)
	late.onViews(s.objects)
	late.joinGroup(t.Context())
	group, ok := late.group()
	test.True(t, ok)
	test.EqOp(t, l.GroupOf[lost.VM], group)
}

// Guards against a store of an earlier version, which has a view and no layout, whose data a replica no longer finds.
func TestViewWithoutLayoutIsOneGroup(t *testing.T) {
	s := &fakeObjects{objects: map[string]platform.Object{}}
	vms := replicaVMs(24)
	v := replica.View{Version: 3, Epoch: 2, ToleratedFailures: 2, Sets: [][]replica.Member{vms[:5]}}
	_, err := s.Put(t.Context(), ViewKind, "main", 0, v)
	must.NoError(t, err)
	m := newGroupMembership(t, s, vms[20], vms)
	m.onViews(s.objects)
	m.joinGroup(t.Context())
	group, ok := m.group()
	test.True(t, ok)
	test.EqOp(t, 0, group)
	test.EqOp(t, 3, m.view.Version)
	test.MapLen(t, 1, s.objects, test.Sprint("nothing is written"))
}
