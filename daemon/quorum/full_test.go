package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestFullDiskCountsAsLostForWrites guards against writes that wait for a replica with a full disk, or count it for the quorum,
// and against one that gets no writes again when it has space.
func TestFullDiskCountsAsLostForWrites(t *testing.T) {
	withReplicas(t, func(t *testing.T, nodes []*node, c *Client) {
		nodes[0].diskFull.Store(true) // The nearest one.
		for i := range 20 {
			storeTurn(t, c, fmt.Sprint("t", i), "")
		}
		test.LessEq(t, 2, nodes[0].writes.Load(), test.Sprint("it is asked last"))
		for i := range 20 {
			test.GreaterEq(t, 3, len(wholeChains(t, c, nodes[1:], fmt.Sprint("t", i))))
		}
		nodes[0].diskFull.Store(false)
		time.Sleep(refusedWriteDuration)
		storeTurn(t, c, "again", "")
		test.SliceContains(t, wholeChains(t, c, nodes, "again"), "vm-0")
	})
}
