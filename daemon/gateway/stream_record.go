package gateway

import (
	"context"
	"time"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/core/streamversion"
	"jackdawbay.dev/daemon/replica"
)

// streamSeparator ends the ID of a request in the IDs of what is stored of its stream. IDs of callers have no control characters.
const streamSeparator = "\x1e"

// maxStreamIDBytes is the maximum length of a request ID under which something is stored of its stream. IDs of the users' callers have 16
// characters, and a replica holds the IDs of all that it stores in memory. A stream with a longer ID cannot be taken up elsewhere.
const maxStreamIDBytes = 256

// isRecorded reports whether what is needed to take up the call's stream, or the stream that it takes up, is stored.
func (c *call) isRecorded() bool {
	return len(c.meta.RequestID) <= maxStreamIDBytes && len(c.meta.ResumedRequest) <= maxStreamIDBytes
}

// recordID returns the stored ID of the program in which the call's charge is. What is stored of a stream without a charge is in a
// record of its own, under the request that began it.
func (c *call) recordID() string {
	switch {
	case c.hasBudget():
		return c.storedID(c.meta.Program)
	case c.takesUp():
		return c.storedID(c.meta.ResumedRequest) + streamSeparator
	default:
		return c.storedID(c.meta.RequestID) + streamSeparator
	}
}

func (c *call) recordRetention() time.Duration {
	if c.hasBudget() {
		return c.route.Retention
	}
	return c.streamRetention()
}

// streamRetention is the time for which what is stored of a stream that is under way is needed: a caller takes a stream up
// within the deadline of its request. Replicas retain it somewhat longer.
func (c *call) streamRetention() time.Duration { return max(time.Until(c.deadline), 0) }

func noneCached(string) (replica.Turn, bool) { return replica.Turn{}, false }

// readStreamRecord returns what is stored of the stream that a call without a charge takes up, and records the take-up. The
// ledger is nil for other calls, and if this gateway knows what the call needs. It reports false if the request is rejected.
func (c *call) readStreamRecord(ctx context.Context) (core.Ledger, bool) {
	if c.hasBudget() || !c.takesUp() || c.meta.ResumedRequest == "" || !c.isRecorded() {
		return nil, true
	}
	if !c.route.StoreTurns && c.g.streamVersions.get(c.storedID(c.meta.ResumedRequest)) != "" {
		return nil, true
	}
	charge := c.charge(0)
	startedAt := time.Now()
	result, err := c.g.cfg.Replicas.BeginTurn(ctx, c.recordID(), &charge, "", c.recordRetention(), noneCached)
	c.beginDuration = time.Since(startedAt)
	if err != nil {
		c.rejectWithoutQuorum(err)
		return nil, false
	}
	return result.Ledger, true
}

// withdrawWrongVersion withdraws the stored version of a stream without a charge if its upstream turned out to have another one.
func (c *call) withdrawWrongVersion() {
	if c.route != nil && c.keepsVersion() && !c.hasBudget() && c.isRecorded() && c.forgetWrongVersion() {
		c.storeCharges(c.charge(0))
	}
}

// keepVersion keeps the version of a stream without a charge in memory, and stores it in the background. So a caller that takes the
// stream up just after its first event may be rejected, but no stream waits for a replica.
func (c *call) keepVersion(version string) {
	c.g.streamVersions.put(c.storedID(c.meta.RequestID), version)
	if c.takesUp() || version == "" || !c.isRecorded() {
		return
	}
	c.version.record = streamversion.Record{Version: version}
	c.storeCharges(c.charge(0))
}
