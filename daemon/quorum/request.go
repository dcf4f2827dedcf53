package quorum

import (
	"context"
	"hash/fnv"
	"sort"
	"time"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/replica"
)

// memberResponse is the response of one member to the operations of a request.
type memberResponse struct {
	member    core.Member
	ops       []replica.Op
	results   []replica.Result
	otherView *core.View // The view of the member, if it is not the view of the request.
	err       error
}

// quorumRequest is a group of operations that needs a quorum.
type quorumRequest struct {
	key      string       // Spreads requests over replicas at the same distance.
	ops      []replica.Op // Operations for the nearest replica, and for replicas that are used in place of failed or slow ones.
	otherOps []replica.Op // Operations for the other replicas of the first quorum: the leading part of ops, or none.

	// isDone is called after each response, with the results of all members so far, and reports whether the request is
	// complete. A member may have results for the leading operations only.
	isDone func(v core.View, results map[string][]replica.Result) bool
}

// runRequest sends a request to a quorum of the view. If the request is not completed, the error is an ErrNoQuorum with a
// Failure.
func (c *Client) runRequest(ctx context.Context, r quorumRequest) error {
	startedAt := time.Now()
	defer c.operationSeconds.UpdateDuration(startedAt)
	c.addHedgeCredit()
	cause := CauseViewChanges
	var pending []string
	for range maxViewAttempts {
		v := c.View()
		if v.Version == 0 {
			cause = CauseNoView
			break
		}
		if !c.isQuorumResponsive(v) {
			if c.View().Version > v.Version {
				continue // The queues of the earlier view are closed.
			}
			cause = CauseUnresponsive
			break // Waiting would only delay an error that the caller can act on.
		}
		var done, retry bool
		done, retry, pending = c.runInView(ctx, v, r)
		if done {
			return nil
		}
		if ctx.Err() != nil {
			cause = CauseTimeout
			break
		}
		if !retry {
			cause = CauseInsufficientResults
			if !c.isQuorumResponsive(v) {
				cause = CauseUnresponsive
			}
			break
		}
	}
	c.quorumFailures.Inc()
	return &noQuorumError{c.newFailure(cause, pending)}
}

// runInView sends a request to the members of a view. If the request is not done, retry reports whether a newer view
// has been adopted, and pending lists the VMs that had not responded when the context ended.
func (c *Client) runInView(ctx context.Context, v core.View, r quorumRequest) (done, retry bool, pending []string) {
	members := c.orderMembers(v, r.key)
	responses := make(chan memberResponse, 2*len(members))
	results := map[string][]replica.Result{}
	sentView := map[string]bool{}
	outstanding := map[string]bool{}
	sent := 0
	submit := func(m core.Member, ops []replica.Op) {
		c.queue(m).submit(&job{ops: ops, epoch: v.Epoch, member: m, responses: responses})
		outstanding[m.Key()] = true
	}
	submitNext := func() {
		if sent < len(members) {
			submit(members[sent], r.ops)
			sent++
		}
	}
	submitNext()
	initial := firstQuorumSize(v, members)
	if len(r.otherOps) == 0 {
		initial = 1
	}
	for ; sent < initial; sent++ {
		submit(members[sent], r.otherOps)
	}
	hedgeTimer := time.NewTimer(c.hedgeDelay(members[:initial]))
	defer hedgeTimer.Stop()
	for len(outstanding) > 0 {
		select {
		case <-ctx.Done():
			for _, m := range members {
				if outstanding[m.Key()] {
					pending = append(pending, m.VM)
				}
			}
			return false, false, pending
		case <-hedgeTimer.C:
			if c.takeHedgeCredit(members[:sent], outstanding) {
				submitNext()
			}
			hedgeTimer.Reset(minHedgeDelay)
		case response := <-responses:
			delete(outstanding, response.member.Key())
			switch {
			case response.err != nil:
				submitNext()
			case response.otherView != nil && response.otherView.Version > v.Version:
				c.adoptView(*response.otherView, response.member.VM)
				return false, true, nil
			case response.otherView != nil && sentView[response.member.Key()]:
				submitNext() // The member has received the view and still rejects it because its disk does not store it.
			case response.otherView != nil:
				sentView[response.member.Key()] = true
				c.queue(response.member).attachView(v)
				submit(response.member, response.ops)
			default:
				results[response.member.Key()] = response.results
				if hasRefusedWrite(response.ops, response.results) {
					c.queue(response.member).onRefusedWrite()
				}
				if r.isDone(v, results) {
					return true, false, nil
				}
				if len(outstanding) == 0 {
					submitNext() // The results of the nearest members were insufficient.
				}
			}
		}
	}
	return false, c.View().Epoch > v.Epoch, nil
}

// addHedgeCredit adds the hedge credit of one operation.
func (c *Client) addHedgeCredit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hedgeCredit = min(c.hedgeCredit+hedgeCreditPerOperation, maxHedgeCredit)
}

// takeHedgeCredit reports whether the request may be sent to one more replica, and takes the credit for it. A stalled
// replica needs no credit. If all replicas respond and are only slow, more requests would slow them down further, so only a
// share of the operations may be hedged.
func (c *Client) takeHedgeCredit(requested []core.Member, outstanding map[string]bool) bool {
	for _, m := range requested {
		if outstanding[m.Key()] && c.queue(m).isStalled() {
			return true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hedgeCredit < 1 {
		return false
	}
	c.hedgeCredit--
	c.hedgedRequests.Inc()
	return true
}

// orderMembers sorts the members of all sets: responsive members first, then by distance. The key spreads requests over
// members at the same distance.
func (c *Client) orderMembers(v core.View, key string) []core.Member {
	members := core.Union(v.Sets)
	rank := make(map[string]int, len(members))
	hashes := make(map[string]uint32, len(members))
	for _, m := range members {
		h := fnv.New32a()
		_, _ = h.Write([]byte(key + " " + m.VM)) // Writing to a hash never fails.
		hashes[m.Key()] = h.Sum32()
		penalty := 0
		if c.queue(m).isUnresponsive() {
			penalty += 10
		}
		if c.queue(m).refusesWrites() {
			penalty += 4 // More than the distance, so that a member with a full disk is not in the first quorum.
		}
		if !core.Contains(v.CurrentSet(), m.Key()) {
			penalty += 5
		}
		if m.DataCentre != c.cfg.DataCentre {
			penalty++
		}
		if c.cfg.RegionOf(m.DataCentre) != c.cfg.Region {
			penalty++
		}
		rank[m.Key()] = penalty
	}
	sort.SliceStable(members, func(i, j int) bool {
		a, b := members[i].Key(), members[j].Key()
		if rank[a] != rank[b] {
			return rank[a] < rank[b]
		}
		return hashes[a] < hashes[b]
	})
	return members
}

// firstQuorumSize returns the smallest number of leading members that can store a write and together have all earlier
// writes.
func firstQuorumSize(v core.View, members []core.Member) int {
	included := map[string]bool{}
	for i, m := range members {
		included[m.Key()] = true
		if v.IsWriteComplete(included) && v.IsReadComplete(included) {
			return i + 1
		}
	}
	return len(members)
}

func (c *Client) hedgeDelay(members []core.Member) time.Duration {
	delay := minHedgeDelay
	for _, m := range members {
		delay = max(delay, hedgeLatencyFactor*c.queue(m).latency())
	}
	return min(delay, batchTimeout/2)
}
