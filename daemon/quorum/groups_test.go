package quorum

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/replica"
)

func viewObject(t *testing.T, name string, version uint64, value any) platform.Object {
	t.Helper()
	raw, err := json.Marshal(value)
	must.NoError(t, err)
	return platform.Object{Kind: replica.ViewKind, Name: name, Version: version, Value: raw}
}

// withGroups runs a test with groups of five replicas and a fake clock. The function programOf returns a program that is stored
// by a group.
func withGroups(t *testing.T, count int, fn func(t *testing.T, g *Groups, nodes [][]*node, programOf func(group int) string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := inProcessTransport{}
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		g := New(ctx, testConfig(network))
		objects := map[string]platform.Object{}
		l := core.Layout{Groups: count, GroupOf: map[string]int{}}
		var nodes [][]*node
		for group := range count {
			members, v := newNodes(t, 5, func(i int, h http.Handler) string {
				address := fmt.Sprintf("replica-%d-%d", group, i)
				network[address] = h
				return address
			})
			nodes = append(nodes, members)
			objects[core.ViewName(group)] = viewObject(t, core.ViewName(group), uint64(10+group), v)
			for _, m := range v.CurrentSet() {
				l.GroupOf[fmt.Sprint(m.VM, group)] = group
			}
		}
		objects[replica.LayoutName] = viewObject(t, replica.LayoutName, 9, l)
		g.onViews(objects)
		fn(t, g, nodes, func(group int) string {
			for i := 0; ; i++ {
				if program := fmt.Sprint("program-", i); l.GroupOfProgram(program) == group {
					return program
				}
			}
		})
	})
}

func setUnresponsive(nodes []*node, unresponsive bool) {
	for _, n := range nodes {
		n.unresponsive.Store(unresponsive)
	}
}

func storeInGroup(t *testing.T, g *Groups, program, id, previous string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	must.NoError(t, g.StoreTurn(ctx, &replica.Turn{ID: id, Previous: previous, Program: program, Input: []byte(id)}, program, nil, time.Minute, nothingCached))
}

func chainIDs(r BeginResult) (ids []string) {
	for _, t := range r.Chain {
		ids = append(ids, t.ID)
	}
	return ids
}

// Guards against a loss in one group that ends the service of programs which another group stores, and against charges that
// other groups store.
func TestGroupsFailIndependently(t *testing.T) {
	withGroups(t, 3, func(t *testing.T, g *Groups, nodes [][]*node, programOf func(int) string) {
		setUnresponsive(nodes[1], true)
		for group := range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			result, err := g.BeginTurn(ctx, programOf(group), &core.Charge{Turn: "t", Tokens: 5}, "", time.Minute, nothingCached)
			cancel()
			test.EqOp(t, group == 1, errors.Is(err, ErrNoQuorum))
			if failure, ok := FailureOf(err); ok {
				test.EqOp(t, 1, failure.Group)
			} else {
				test.EqOp(t, 5, result.Ledger.TotalExcept(""))
			}
		}
		test.True(t, g.HasQuorum(), test.Sprint("two of three groups"))
		setUnresponsive(nodes[2], true)
		_, err := g.BeginTurn(t.Context(), programOf(2), nil, "x", time.Minute, nothingCached)
		test.ErrorIs(t, err, ErrNoQuorum)
		test.False(t, g.HasQuorum(), test.Sprint("one of three groups"))
	})
}

// Guards against a program that cannot continue a turn of another program because another group stores it, and against a
// missing turn that is reported while a group that may have it does not respond.
func TestChainSpansGroups(t *testing.T) {
	withGroups(t, 3, func(t *testing.T, g *Groups, nodes [][]*node, programOf func(int) string) {
		storeInGroup(t, g, programOf(0), "a1", "")
		storeInGroup(t, g, programOf(0), "a2", "a1")
		storeInGroup(t, g, programOf(1), "b3", "a2")
		storeInGroup(t, g, programOf(0), "a4", "b3")
		storeInGroup(t, g, programOf(2), "c5", "a4")
		begin := func(group int, previous string) (BeginResult, error) {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			return g.BeginTurn(ctx, programOf(group), &core.Charge{Turn: "t", Tokens: 5}, previous, time.Minute, nothingCached)
		}
		for group := range 3 {
			result, err := begin(group, "c5")
			must.NoError(t, err)
			test.EqOp(t, "", result.MissingTurn)
			test.Eq(t, []string{"c5", "a4", "b3", "a2", "a1"}, chainIDs(result))
		}
		result, err := begin(1, "unknown")
		must.NoError(t, err)
		test.EqOp(t, "unknown", result.MissingTurn)
		setUnresponsive(nodes[2], true)
		_, err = begin(1, "unknown")
		test.ErrorIs(t, err, ErrNoQuorum, test.Sprint("the group that does not respond may have the turn"))
		result, err = begin(1, "b3")
		must.NoError(t, err)
		test.Eq(t, []string{"b3", "a2", "a1"}, chainIDs(result))
	})
}

// Guards against a program that hashes to another group after a change of the layout, and against a layout of another writer.
func TestGroupCountIsFixed(t *testing.T) {
	withGroups(t, 2, func(t *testing.T, g *Groups, _ [][]*node, programOf func(int) string) {
		own := g.client(programOf(1))
		for _, l := range []any{core.Layout{Groups: 5, GroupOf: map[string]int{"x": 4}}, core.Layout{}, core.Layout{Groups: 2, GroupOf: map[string]int{"x": 7}}, "text"} {
			g.onViews(map[string]platform.Object{replica.LayoutName: viewObject(t, replica.LayoutName, 20, l)})
			test.True(t, own == g.client(programOf(1)))
			test.SliceLen(t, 2, g.all())
		}
	})
}
