package quorum

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/replica"
)

// hasWholeChain reports whether one replica stores a turn and every turn before it.
func hasWholeChain(t *testing.T, c *Client, n *node, turn string) bool {
	t.Helper()
	b := replica.Batch{Epoch: c.View().Epoch, Disk: n.member.Disk, Ops: []replica.Op{{Kind: replica.OpReadChain, From: turn}}}
	raw, err := b.Encode()
	must.NoError(t, err)
	resp, err := c.cfg.Client.Post("http://"+n.member.Address+replica.PathBatch, "", bytes.NewReader(raw))
	must.NoError(t, err)
	must.EqOp(t, http.StatusOK, resp.StatusCode)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	response, err := replica.DecodeBatchResponse(body)
	must.NoError(t, err)
	if response.View != nil {
		return false // The replica has received no batch of this view, and so no turn.
	}
	must.SliceLen(t, 1, response.Results)
	return len(response.Results[0].Turns) > 0 && response.Results[0].Missing == ""
}

func wholeChains(t *testing.T, c *Client, nodes []*node, turn string) (holders []string) {
	t.Helper()
	for _, n := range nodes {
		if hasWholeChain(t, c, n, turn) {
			holders = append(holders, n.member.VM)
		}
	}
	return holders
}

// setResponsive makes only the given replicas responsive and waits until the client has noticed.
func setResponsive(t *testing.T, c *Client, nodes []*node, responsive ...int) {
	t.Helper()
	isResponsive := map[int]bool{}
	for _, i := range responsive {
		isResponsive[i] = true
	}
	for i, n := range nodes {
		n.unresponsive.Store(!isResponsive[i])
	}
	for i, n := range nodes {
		if isResponsive[i] {
			must.True(t, waitFor(func() bool { return !c.queue(n.member).isUnresponsive() }))
		}
	}
}

// TestStoredTurnHasItsChainOnAQuorum guards against a turn that is acknowledged while fewer replicas than a write quorum store
// the turns before it together with it. The others would drop those at the end of their own retention.
func TestStoredTurnHasItsChainOnAQuorum(t *testing.T) {
	withReplicas(t, func(t *testing.T, nodes []*node, c *Client) {
		setResponsive(t, c, nodes, 0, 1, 2)
		previous := ""
		for i := range 5 {
			id := fmt.Sprint("t", i)
			storeTurn(t, c, id, previous)
			previous = id
		}
		test.SliceLen(t, 3, wholeChains(t, c, nodes[:3], previous))

		setResponsive(t, c, nodes, 2, 3, 4)
		storeTurn(t, c, "t5", previous)
		test.Eq(t, []string{"vm-2", "vm-3", "vm-4"}, wholeChains(t, c, nodes[2:], "t5"))
		test.EqOp(t, 10, c.copiedChainTurns.Get(), test.Sprint("five turns to each of two replicas"))

		storeTurn(t, c, "t6", "t5")
		test.EqOp(t, 10, c.copiedChainTurns.Get(), test.Sprint("a replica with the chain gets no turn again"))
	})
}

// TestStoredTurnHasItsChainInItsGroup guards against a turn whose own group acknowledges it while only the group of another
// program stores the turns before it.
func TestStoredTurnHasItsChainInItsGroup(t *testing.T) {
	withGroups(t, 2, func(t *testing.T, g *Groups, nodes [][]*node, programOf func(group int) string) {
		storeInGroup(t, g, programOf(0), "a1", "")
		storeInGroup(t, g, programOf(0), "a2", "a1")
		storeInGroup(t, g, programOf(1), "b1", "a2")
		test.GreaterEq(t, 3, len(wholeChains(t, g.client(programOf(1)), nodes[1], "b1")))
		result, err := g.BeginTurn(t.Context(), programOf(1), nil, "b1", time.Minute, nothingCached)
		must.NoError(t, err)
		test.SliceLen(t, 3, result.Chain)
	})
}

// TestTurnIsNotStoredWithoutItsChain guards against a turn that is acknowledged although a turn before it does not exist any
// more, so that it could never be continued.
func TestTurnIsNotStoredWithoutItsChain(t *testing.T) {
	withReplicas(t, func(t *testing.T, _ []*node, c *Client) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := c.StoreTurn(ctx, &replica.Turn{ID: "t1", Previous: "never stored"}, "p", &core.Charge{Turn: "t1", Tokens: 1, Settled: true}, time.Minute, nothingCached)
		test.Error(t, err)
	})
}
