package peer

import (
	"context"
	"sync"
	"time"

	"jackdawbay.dev/core/membership"
)

// Broadcast sends a message to each member once, at the same time, except to the sender itself. failed is called for each
// member that did not accept it within the time limit; it must be safe for concurrent use.
func (c *Client) Broadcast(ctx context.Context, sender string, members []membership.Member, path string, message any, limit time.Duration, failed func(membership.Member, error)) {
	sent := map[string]bool{sender: true}
	var group sync.WaitGroup
	for _, m := range members {
		if sent[m.Incarnation] {
			continue
		}
		sent[m.Incarnation] = true
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			if err := c.Post(ctx, m.PeerAddress, path, message, nil); err != nil {
				failed(m, err)
			}
		})
	}
	group.Wait()
}
