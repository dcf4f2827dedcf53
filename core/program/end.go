package program

import (
	"sort"
	"time"

	"jackdawbay.dev/core/journal"
)

// Ended names a program whose cache can be released.
type EndedProgram struct {
	Program string
	Tenant  string
	Class   string
	Model   string
	Reason  string
	Took    time.Duration // From the creation to the newest call.
	Turns   int

	Repeated bool        // It had ended before.
	LSN      journal.LSN // The journal entry of the end; the program's turns are before it.
}

// End closes a program. Ending it twice changes nothing. A call in flight is not awaited; its outcome is still recorded.
// The entry is flushed as soon as the write rate allows: a caller does not return with its turns after the end.
func (o *Owner) End(tenant, id, reason string) (EndedProgram, error) {
	p, err := o.find(tenant, id)
	if err != nil {
		return EndedProgram{}, err
	}
	e, err := o.end(p, reason)
	if err == nil {
		o.writer.RequestFlush()
	}
	return e, err
}

func (o *Owner) end(p *state, reason string) (EndedProgram, error) {
	done := EndedProgram{
		Program: p.id,
		Tenant:  p.created.Tenant,
		Class:   p.created.Class,
		Model:   p.created.Model,
		Reason:  reason,
		Took:    p.active.Sub(time.UnixMilli(p.created.AtMillis)),
		Turns:   len(p.turns),
	}
	if p.ended != "" {
		done.Reason, done.Repeated, done.LSN = p.ended, true, p.endedLSN
		return done, nil
	}
	lsn, err := o.append(p, journal.Entry{Ended: &journal.Ended{Reason: reason}})
	if err != nil {
		return EndedProgram{}, err
	}
	p.ended, p.endedLSN, done.LSN = reason, lsn, lsn
	return done, nil
}

// Reasons for the end of a program.
const (
	EndedByCaller = "ended by its caller"
	EndedIdle     = "idle for longer than its expiry"
)

// endedRetention is how much longer than its expiry an ended program is remembered. Until then it answers as ended, and
// its call keys cannot be used again. Receipts older than the expiry restore nothing, so a forgotten program stays ended;
// the ten minutes cover differences between the clocks of daemons.
const endedRetention = 10 * time.Minute

// Tick ends programs whose callers are gone and forgets programs that ended long ago. It returns the newly ended ones in
// order of id.
func (o *Owner) Tick(now time.Time) []EndedProgram {
	var list []EndedProgram
	for _, p := range o.programs {
		o.expireAttempt(now, p)
		if p.ended != "" {
			o.forget(now, p)
			continue
		}
		if p.inFlight != nil || now.Sub(p.active) < expiry(p.created.ExpiryMillis) {
			continue
		}
		if e, err := o.end(p, EndedIdle); err == nil {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Program < list[j].Program })
	return list
}

func (o *Owner) forget(now time.Time, p *state) {
	if p.endedAt.IsZero() {
		p.endedAt = now
	}
	retention := expiry(p.created.ExpiryMillis) + endedRetention
	if now.Sub(p.endedAt) > retention && p.endedLSN <= o.writer.DurableLSN() {
		o.remove(p)
	}
}

func (o *Owner) remove(p *state) {
	o.historyBytes -= p.bytes
	delete(o.programs, p.id)
}

// HistoryBytes returns the estimated memory of the turns of all programs.
func (o *Owner) HistoryBytes() int64 { return o.historyBytes }
