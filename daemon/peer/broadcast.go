package peer

import (
	"context"
	"sync"
	"time"

	"jackdawbay.dev/core/membership"
)

// Broadcast sends a message concurrently to each member except the sender, once per incarnation. onFailure is called for
// each member that did not accept the message before the timeout. It must be safe for concurrent use.
func (c *Client) Broadcast(ctx context.Context, sender string, members []membership.Member, path string, message any, timeout time.Duration, onFailure func(membership.Member, error)) {
	handled := map[string]bool{sender: true}
	var wg sync.WaitGroup
	for _, m := range members {
		if handled[m.Incarnation] {
			continue
		}
		handled[m.Incarnation] = true
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			if err := c.Post(ctx, m.PeerAddress, path, message, nil); err != nil {
				onFailure(m, err)
			}
		})
	}
	wg.Wait()
}
