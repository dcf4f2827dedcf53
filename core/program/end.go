package program

import (
	"sort"
	"time"

	"jackdawbay.dev/core/journal"
)

// EndedProgram describes a program that has ended, and whose cache can be released.
type EndedProgram struct {
	Program string
	Tenant  string
	Class   string
	Model   string
	Reason  string
	Took    time.Duration // Time from the creation to the newest call.
	Turns   int

	Repeated bool        // The program had ended before.
	LSN      journal.LSN // Journal entry of the end; it follows the entries of the program's turns.
}

// End ends a program. Ending a program again changes nothing. End does not wait for a call in flight, whose outcome is
// still recorded. It requests a flush, because the caller does not present its turns again after the end.
func (o *Owner) End(tenant, id, reason string) (EndedProgram, error) {
	p, err := o.findProgram(tenant, id)
	if err != nil {
		return EndedProgram{}, err
	}
	e, err := o.endProgram(p, reason)
	if err == nil {
		o.writer.RequestFlush()
	}
	return e, err
}

func (o *Owner) endProgram(p *programState, reason string) (EndedProgram, error) {
	result := EndedProgram{
		Program: p.id,
		Tenant:  p.created.Tenant,
		Class:   p.created.Class,
		Model:   p.created.Model,
		Reason:  reason,
		Took:    p.lastActive.Sub(time.UnixMilli(p.created.AtMillis)),
		Turns:   len(p.turns),
	}
	if p.endReason != "" {
		result.Reason, result.Repeated, result.LSN = p.endReason, true, p.endLSN
		return result, nil
	}
	lsn, err := o.appendEntries(p, journal.Entry{Ended: &journal.Ended{Reason: reason}})
	if err != nil {
		return EndedProgram{}, err
	}
	p.endReason, p.endLSN, result.LSN = reason, lsn, lsn
	return result, nil
}

// Reasons why a program ended.
const (
	EndedByCaller = "ended by its caller"
	EndedIdle     = "idle for longer than its expiry"
)

// endedRetention is added to the expiry of an ended program to obtain the time for which it is retained. Until then,
// calls are rejected with ProgramEnded and the call keys cannot be reused. A receipt that is older than the expiry
// cannot restore the program, so it stays ended after its removal. The ten minutes cover differences between the clocks
// of daemons.
const endedRetention = 10 * time.Minute

// Tick ends programs that were idle for longer than their expiry, and removes ended programs after their retention. It
// also abandons attempts that have expired. It returns the newly ended programs, ordered by id.
func (o *Owner) Tick(now time.Time) []EndedProgram {
	var ended []EndedProgram
	for _, p := range o.programs {
		o.expireAttempt(now, p)
		if p.endReason != "" {
			o.removeAfterRetention(now, p)
			continue
		}
		if p.inFlight != nil || now.Sub(p.lastActive) < expiryDuration(p.created.ExpiryMillis) {
			continue
		}
		if e, err := o.endProgram(p, EndedIdle); err == nil {
			ended = append(ended, e)
		}
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i].Program < ended[j].Program })
	return ended
}

func (o *Owner) removeAfterRetention(now time.Time, p *programState) {
	if p.endObservedAt.IsZero() {
		p.endObservedAt = now
	}
	retention := expiryDuration(p.created.ExpiryMillis) + endedRetention
	if now.Sub(p.endObservedAt) > retention && p.endLSN <= o.writer.DurableLSN() {
		o.removeProgram(p)
	}
}

func (o *Owner) removeProgram(p *programState) {
	o.historyBytes -= p.memoryBytes
	delete(o.programs, p.id)
}

// HistoryBytes returns the estimated memory of the turns of all programs, in bytes.
func (o *Owner) HistoryBytes() int64 { return o.historyBytes }
