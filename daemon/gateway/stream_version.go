package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/placement"
	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/core/streamversion"
)

const (
	// versionWaitLimit bounds the delay of the first event until the version of its stream is stored. A write takes milliseconds.
	versionWaitLimit = 250 * time.Millisecond
	// maxStreamVersions is the number of streams outside of programs whose versions a gateway remembers. An entry has about
	// 150 bytes.
	maxStreamVersions = 4096
)

var (
	errVersionChanged   = errors.New("response is of another version than its stream")
	errVersionNotStored = errors.New("version of the stream is not stored, and an earlier record names another")
)

// versionState is what a call knows of the version of its stream.
type versionState struct {
	restriction streamversion.Restriction // Applies from the first event on, and to all sends of a take-up.
	result      streamversion.Result      // Of a take-up; empty for other requests.
	record      streamversion.Record
	write       *versionWrite // The last write of the record; nil if it was stored with the begin of the turn.
	hasBegun    bool          // An event has been forwarded.
}

// versionWrite is a write of the version of a stream that runs beside the request.
type versionWrite struct {
	done chan struct{} // Closed at the end of the write.
	err  error         // Set before done is closed.
}

func (w *versionWrite) hasFailed() bool {
	select {
	case <-w.done:
		return w.err != nil
	default:
		return false
	}
}

// keepsVersion reports whether the request is a stream that may go on at another upstream.
func (c *call) keepsVersion() bool { return c.route.Kind == route.Stream && c.route.Resumable }

// takesUp reports whether the request is for the rest of a stream that has broken off.
func (c *call) takesUp() bool { return c.keepsVersion() && c.meta.LastEventID != "" }

// serviceKey returns the key by which the service of a route with several is selected: that of the request that began the stream if the
// call takes one up.
func (c *call) serviceKey() string {
	if c.takesUp() && c.meta.ResumedRequest != "" {
		return c.meta.ResumedRequest
	}
	return c.meta.RequestID
}

// beginVersion sets the version that is stored with the begin of a stream.
func (c *call) beginVersion() {
	if c.keepsVersion() && !c.takesUp() {
		c.version.record = streamversion.Begin(c.g.upstreams.versions(c.service))
	}
}

// resolveTakeUp restricts a take-up to the upstreams of the version that began its stream. It reports false if the request is
// rejected.
func (c *call) resolveTakeUp(ledger core.Ledger) bool {
	if !c.takesUp() {
		return true
	}
	begun := c.storedID(c.meta.ResumedRequest)
	recorded := ledger[begun].Version
	if c.meta.ResumedRequest == "" && c.hasBudget() {
		recorded = ledger.SoleVersion(c.storedID(c.meta.RequestID)) // The stream is one of the program.
	}
	if recorded == "" {
		recorded = c.g.streamVersions.get(begun)
	}
	c.version.restriction, c.version.result = streamversion.Resume(recorded, c.g.upstreams.versions(c.service))
	return !c.respondNotResumed(c.version.result)
}

// respondNotResumed sends the error response for a take-up that cannot go on. It reports false if it can.
func (c *call) respondNotResumed(result streamversion.Result) bool {
	switch result {
	case streamversion.VersionGone:
		c.respondError(errkind.StreamVersionGone, "", 0)
	case streamversion.VersionUnknown:
		c.respondError(errkind.StreamVersionUnknown, "", 0)
	case streamversion.EventsUnknown:
		c.respondError(errkind.StreamEventsUnknown, "", 0)
	case streamversion.NoUpstream:
		c.respondError(errkind.NoReadyUpstream, "", retryAfterNoUpstream)
	default:
		return false
	}
	c.version.result = result
	return true
}

// rejectVersionLeft rejects a take-up whose version has left since it was accepted.
func (c *call) rejectVersionLeft() bool {
	if c.version.result != streamversion.GoesOn || len(c.mayHaveRun) > 0 {
		return false
	}
	_, result := streamversion.Resume(c.version.restriction.Version, c.g.upstreams.versions(c.service))
	return result != streamversion.NoUpstream && c.respondNotResumed(result)
}

// recordVersion stores the version of the upstream that is to begin the stream, unless it is stored already. The write runs
// beside the request.
func (c *call) recordVersion(u placement.Upstream) {
	if !c.keepsVersion() || !c.charged || c.version.hasBegun {
		return
	}
	v := &c.version
	record, changed := v.record.Use(u.Version)
	if !changed && (v.write == nil || !v.write.hasFailed()) {
		return
	}
	v.record = record
	w := &versionWrite{done: make(chan struct{})}
	v.write = w
	program, charge, retention := c.storedID(c.meta.Program), c.charge(c.meta.MaxTokens), c.route.Retention
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settlementTimeout)
		defer cancel()
		w.err = c.g.cfg.Replicas.StoreCharges(ctx, program, []core.Charge{charge}, retention)
		close(w.done)
	}()
}

// charge returns the open charge of the call's turn with the version of its stream.
func (c *call) charge(tokens int64) core.Charge {
	charge := core.Charge{Turn: c.storedID(c.meta.RequestID), Tokens: tokens, Version: c.version.record.Version, Attempt: c.version.record.Attempt}
	if after, ok := c.resumedAfter(); ok && c.isRecorded() {
		charge.Resumes, charge.After = c.storedID(c.meta.ResumedRequest), after
	}
	return charge
}

// settledCharge returns the charge of a turn that has ended.
func (c *call) settledCharge() core.Charge {
	c.forgetWrongVersion()
	charge := c.charge(int64(c.stream.events) * c.tokensPerEvent)
	charge.Settled = true
	return charge
}

// acceptVersion decides whether the next event of a response may be forwarded as far as versions matter. It is called before
// the first event of each response, and waits until the version of a stream that begins is stored.
func (c *call) acceptVersion(u placement.Upstream) error {
	if !c.keepsVersion() {
		return nil
	}
	v := &c.version
	if !v.restriction.Allows(u.Version) || c.g.upstreams.hasOtherVersion(u) {
		return errVersionChanged
	}
	if v.hasBegun {
		return nil
	}
	if !c.takesUp() {
		if err := c.awaitRecord(u); err != nil {
			return err
		}
	}
	v.restriction, v.hasBegun = streamversion.To(u.Version), true
	if !c.hasBudget() {
		c.keepVersion(u.Version)
	}
	return nil
}

// forgetWrongVersion withdraws the version of a stream whose upstream is listed with another one by now: it was started again under its ID
// before its events came. It reports whether that is so; the stream must then not go on.
func (c *call) forgetWrongVersion() bool {
	v := &c.version
	if !v.hasBegun || c.takesUp() || !c.g.upstreams.hasOtherVersion(c.choice.Upstream) {
		return false
	}
	v.record = streamversion.Record{Attempt: v.record.Attempt + 1, Corrects: true}
	v.restriction = streamversion.Restriction{}
	c.g.streamVersions.put(c.storedID(c.meta.RequestID), "")
	return true
}

// awaitRecord waits until the version of the stream is stored. A stream whose version cannot be stored begins all the same, and
// cannot be taken up, unless an earlier record names another version.
func (c *call) awaitRecord(u placement.Upstream) error {
	c.recordVersion(u)
	v := &c.version
	if v.write == nil {
		return nil
	}
	ctx, cancel := c.ctx, context.CancelFunc(func() {})
	if !v.record.Corrects {
		ctx, cancel = context.WithTimeout(c.ctx, versionWaitLimit)
	}
	defer cancel()
	select {
	case <-v.write.done:
		if v.write.err == nil {
			return nil
		}
	case <-ctx.Done():
	}
	c.g.stats.versionsNotStored.Inc()
	c.g.cfg.Log.Info("version of a stream was not stored in time", "request", c.meta.RequestID, "program", c.meta.Program, "upstream", u.ID,
		"stream_version", u.Version, "corrects", v.record.Corrects)
	if v.record.Corrects {
		return errVersionNotStored
	}
	return nil
}

// countTakeUp counts a take-up by its result.
func (c *call) countTakeUp() {
	switch result := c.version.result; {
	case result == "":
	case result == streamversion.GoesOn && !c.version.hasBegun:
		c.g.stats.countTakeUp("failed")
	default:
		c.g.stats.countTakeUp(string(result))
	}
}

// logVersionAttrs returns the fields of the log line of a stream that may go on at another upstream.
func (c *call) logVersionAttrs() []any {
	if c.route == nil || !c.keepsVersion() {
		return nil
	}
	attrs := []any{"stream_version", c.version.restriction.Version}
	if c.takesUp() {
		attrs = append(attrs, "take_up", string(c.version.result), "resumes", c.meta.ResumedRequest, "after", c.meta.LastEventID)
	}
	return attrs
}

// versions returns the versions of the upstreams of a service.
func (g *upstreamGroups) versions(service string) []streamversion.Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.group(service).Versions()
}

// hasSeveralVersions reports whether the upstreams of a service differ in their versions.
func (g *upstreamGroups) hasSeveralVersions(service string) bool {
	versions := g.versions(service)
	_, ok := streamversion.Sole(versions)
	return len(versions) > 0 && !ok
}

// hasOtherVersion reports whether an upstream is listed with another version, because it was started again with the same ID.
func (g *upstreamGroups) hasOtherVersion(u placement.Upstream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	current, ok := g.current.ByID[u.ID]
	return ok && current.Version != u.Version
}

// streamVersions remembers the versions of the last streams that have no stored charge. Its zero value is empty. It is safe for
// concurrent use.
type streamVersions struct {
	mu       sync.Mutex
	versions map[string]string // By the request that began the stream.
	requests []string          // Ring of the keys.
	next     int
}

func (s *streamVersions) put(request, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions == nil {
		s.versions = map[string]string{}
	}
	if _, ok := s.versions[request]; !ok {
		if len(s.requests) < maxStreamVersions {
			s.requests = append(s.requests, request)
		} else {
			delete(s.versions, s.requests[s.next])
			s.requests[s.next] = request
			s.next = (s.next + 1) % maxStreamVersions
		}
	}
	s.versions[request] = version
}

// get returns an empty string if the version is unknown.
func (s *streamVersions) get(request string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[request]
}
