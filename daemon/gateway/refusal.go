package gateway

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/daemon/quorum"
)

// causeOther is the cause of a failure that is no lack of a quorum.
const causeOther quorum.Cause = "other"

// refuseHistory refuses a turn whose charge or history cannot be reached.
func (c *call) refuseHistory(err error) {
	shortage, known := quorum.FailureOf(err)
	if !known {
		shortage.Cause = causeOther
		c.g.cfg.Log.Error("history cannot be reached", "request", c.meta.RequestID, "error", err)
	}
	c.shortage = &shortage
	c.g.stats.refusedTurn(string(shortage.Cause))
	c.w.Header().Set("Connection", "close") // The next connection may lead to a gateway that reaches a quorum.
	c.refuse(errkind.HistoryUnavailable, "", retryHistory)
}

// logLine writes the line of a request.
func (c *call) logLine(took time.Duration) {
	if c.shortage != nil {
		c.g.refused.add(refusedTurn{
			request: c.meta.RequestID, program: c.meta.Program, version: c.version, status: c.status, outcome: c.outcome,
			shortage: *c.shortage, took: took,
		})
		return
	}
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	c.g.cfg.Log.Info("request", "request", c.meta.RequestID, "program", c.meta.Program, "route", name, "version", c.version,
		"upstream", c.choice.Upstream.ID, "running", int(c.choice.EstimatedRunning), "report_age", c.choice.ReportAge.Round(time.Millisecond),
		"missing", c.choice.MissingTokens, "sends", c.sends, "events", c.stream.events, "status", c.status, "outcome", c.outcome,
		"begin", c.beginTook.Round(time.Millisecond), "keep", c.keepTook.Round(time.Millisecond), "first", c.firstByte.Round(time.Millisecond), "took", took.Round(time.Millisecond))
}

// Bounds of the lines of refused turns.
const (
	refusedPerLine = 64                     // Turns; a line has about 2.5 KB then.
	refusedLines   = 8                      // Decisions that gather turns at the same time; there are mostly one or two.
	refusedWait    = 250 * time.Millisecond // Longest time that a turn waits for others.
)

// refusedTurn is a turn that was refused because its charge or history had no quorum.
type refusedTurn struct {
	request, program string
	version          uint64
	status           int
	outcome          string
	shortage         quorum.Failure
	took             time.Duration
}

// refusedTurns writes one line for turns that were refused by one decision within a short time. A gateway refuses up to 100 turns a
// second while there is no quorum, all for the same reason, and logs are collected up to a size: a line for each would push the
// lines about the cause out.
type refusedTurns struct {
	log *slog.Logger

	mu    sync.Mutex
	lines map[string]*refusedLine // By decision.
}

// refusedLine gathers the turns of one decision.
type refusedLine struct {
	first   refusedTurn
	ids     []string // Each REQUEST:PROGRAM.
	longest time.Duration
	timer   *time.Timer
}

func newRefusedTurns(log *slog.Logger) *refusedTurns {
	return &refusedTurns{log: log, lines: map[string]*refusedLine{}}
}

func (r *refusedTurns) add(t refusedTurn) {
	decision := t.shortage.GroupKey()
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.lines[decision]
	if !ok {
		if len(r.lines) >= refusedLines {
			for other := range r.lines {
				r.write(other)
			}
		}
		l = &refusedLine{first: t}
		l.timer = time.AfterFunc(refusedWait, func() { r.flush(decision, l) })
		r.lines[decision] = l
	}
	l.ids = append(l.ids, t.request+":"+t.program)
	l.longest = max(l.longest, t.took)
	if len(l.ids) >= refusedPerLine {
		r.write(decision)
	}
}

func (r *refusedTurns) flush(decision string, l *refusedLine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lines[decision] == l {
		r.write(decision)
	}
}

func (r *refusedTurns) write(decision string) {
	l := r.lines[decision]
	delete(r.lines, decision)
	l.timer.Stop()
	t := l.first
	attrs := append([]any{"status", t.status, "outcome", t.outcome, "version", t.version}, t.shortage.LogAttrs()...)
	r.log.Warn("turns refused", append(attrs, "longest", l.longest.Round(time.Millisecond), "turns", len(l.ids),
		"requests", strings.Join(l.ids, " "))...)
}
