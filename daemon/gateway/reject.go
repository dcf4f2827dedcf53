package gateway

import (
	"log/slog"
	"net/url"
	"strings"
	"sync"
	"time"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/daemon/quorum"
)

// causeUnclassified labels failures other than a missing quorum.
const causeUnclassified quorum.Cause = "other"

// rejectTurn sends the error response for a turn whose charge or history cannot be read or stored.
func (c *call) rejectTurn(err error) {
	failure, ok := quorum.FailureOf(err)
	if !ok {
		failure.Cause = causeUnclassified
		c.g.cfg.Log.Error("turn rejected: history is unavailable", "request", c.meta.RequestID, "error", err)
	}
	c.quorumFailure = &failure
	c.g.stats.countRejectedTurn(string(failure.Cause))
	c.w.Header().Set("Connection", "close") // The caller's next connection may reach a gateway that has a quorum.
	c.respondError(errkind.HistoryUnavailable, "", retryAfterHistoryUnavailable)
}

// logRequest writes the log line of a request. A turn without a quorum is logged together with others.
func (c *call) logRequest(duration time.Duration) {
	if c.quorumFailure != nil {
		c.g.rejectedTurns.add(rejectedTurn{
			request: c.meta.RequestID, program: c.meta.Program, configVersion: c.configVersion, status: c.status, outcome: c.outcome,
			failure: *c.quorumFailure, duration: duration, organisation: c.organisationName(),
		})
		return
	}
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	attrs := []any{"request", c.meta.RequestID, "program", c.meta.Program, "route", name, "version", c.configVersion,
		"upstream", c.choice.Upstream.ID, "running", int(c.choice.EstimatedRunning), "report_age", c.choice.ReportAge.Round(time.Millisecond),
		"missing", c.choice.MissingTokens, "sends", c.sendCount, "events", c.stream.events, "status", c.status, "outcome", c.outcome,
		"begin", c.beginDuration.Round(time.Millisecond), "keep", c.storeDuration.Round(time.Millisecond), "first", c.timeToFirstByte.Round(time.Millisecond), "took", duration.Round(time.Millisecond)}
	c.g.cfg.Log.Info("request", append(append(append(attrs, c.admission.logAttrs()...), c.organisationLogAttrs()...), c.logVersionAttrs()...)...)
}

// Limits of the log lines of rejected turns.
const (
	maxTurnsPerLine = 64                     // A line of this length has about 2.5 KB.
	maxPendingLines = 8                      // Groups that collect turns at the same time. There are usually one or two.
	maxLineDelay    = 250 * time.Millisecond // Max time that a turn waits for others of its group.
)

// rejectedTurn is a turn that was rejected because its charge or history found no quorum.
type rejectedTurn struct {
	request, program string
	organisation     string // Empty if there is none.
	configVersion    uint64
	status           int
	outcome          string
	failure          quorum.Failure
	duration         time.Duration
}

// rejectedTurnLog writes one log line for the turns that were rejected for the same reason within a short time. Without a
// quorum, a gateway rejects up to 100 turns per second, all for the same reason. Logs are collected up to a size limit, so
// that a line for each turn would displace the lines about the cause.
type rejectedTurnLog struct {
	log *slog.Logger

	mu      sync.Mutex
	pending map[string]*rejectedTurnGroup // By quorum.Failure.GroupKey.
}

// rejectedTurnGroup collects the turns of one log line.
type rejectedTurnGroup struct {
	first     rejectedTurn
	turnNames []string // Each has the form REQUEST:PROGRAM.

	// Organisations of the turns, in the same order. Each is escaped as in a query, so that it has no spaces; "-" stands for
	// none. A name consisting of "-" is written as "%2D".
	organisations   []string
	hasOrganisation bool
	maxDuration     time.Duration
	timer           *time.Timer
}

func newRejectedTurnLog(log *slog.Logger) *rejectedTurnLog {
	return &rejectedTurnLog{log: log, pending: map[string]*rejectedTurnGroup{}}
}

func (r *rejectedTurnLog) add(t rejectedTurn) {
	key := t.failure.GroupKey()
	r.mu.Lock()
	defer r.mu.Unlock()
	group, ok := r.pending[key]
	if !ok {
		if len(r.pending) >= maxPendingLines {
			for other := range r.pending {
				r.write(other)
			}
		}
		group = &rejectedTurnGroup{first: t}
		group.timer = time.AfterFunc(maxLineDelay, func() { r.flush(key, group) })
		r.pending[key] = group
	}
	group.turnNames = append(group.turnNames, t.request+":"+t.program)
	group.organisations = append(group.organisations, escapeOrganisation(t.organisation))
	group.hasOrganisation = group.hasOrganisation || t.organisation != ""
	group.maxDuration = max(group.maxDuration, t.duration)
	if len(group.turnNames) >= maxTurnsPerLine {
		r.write(key)
	}
}

func (r *rejectedTurnLog) flush(key string, group *rejectedTurnGroup) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending[key] == group {
		r.write(key)
	}
}

func (r *rejectedTurnLog) write(key string) {
	group := r.pending[key]
	delete(r.pending, key)
	group.timer.Stop()
	t := group.first
	attrs := append([]any{"status", t.status, "outcome", t.outcome, "version", t.configVersion}, t.failure.LogAttrs()...)
	attrs = append(attrs, "longest", group.maxDuration.Round(time.Millisecond), "turns", len(group.turnNames), "requests", strings.Join(group.turnNames, " "))
	if group.hasOrganisation {
		attrs = append(attrs, "organisations", strings.Join(group.organisations, " "))
	}
	r.log.Warn("turns refused", attrs...)
}

func escapeOrganisation(name string) string {
	switch name {
	case "":
		return "-"
	case "-":
		return "%2D"
	}
	return url.QueryEscape(name)
}
