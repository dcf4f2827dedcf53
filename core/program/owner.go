package program

import (
	"hash/fnv"
	"sort"
	"strings"
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// ShardsPerDataCentre is the number of shards into which the programs of a data centre are hashed.
const ShardsPerDataCentre = 64

// ShardOf returns the shard of a program within its data centre.
func ShardOf(programID string) int {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(programID))
	return int(h.Sum32() % ShardsPerDataCentre)
}

// DataCentreOf returns the data centre in a program id, and false when the id has none.
func DataCentreOf(programID string) (string, bool) {
	i := strings.LastIndexByte(programID, '.')
	if i <= 0 {
		return "", false
	}
	return programID[:i], true
}

// Config describes an Owner.
type Config struct {
	Incarnation string
	VM          string
	DataCentre  string
	Signer      *Signer
	Journal     journal.WriterConfig
	MaxPrograms int // Programs in memory beyond this are refused.

	MaxHistoryBytes  int64 // Calls and windows are refused while more history than this is in memory; zero sets no bound.
	DefaultMaxTokens int   // Output bound of calls without max_tokens; zero takes 4096.
}

// Owner holds the programs of the shards that one daemon incarnation owns. It is not safe for concurrent use.
type Owner struct {
	cfg      Config
	writer   *journal.Writer
	shards   map[int]uint64 // Epoch of each open shard.
	opened   map[int]uint64 // Newest epoch under which each shard was ever opened.
	programs map[string]*state

	givenUp      givenUp
	historyBytes int64
	checkpoints  uint64 // Checkpoints taken so far.
}

// NewOwner returns an owner without shards.
func NewOwner(cfg Config) *Owner {
	return &Owner{
		cfg:      cfg,
		writer:   journal.NewWriter(cfg.Incarnation, cfg.Journal),
		shards:   map[int]uint64{},
		opened:   map[int]uint64{},
		programs: map[string]*state{},
	}
}

// Journal returns the writer whose segments must be stored.
func (o *Owner) Journal() *journal.Writer { return o.writer }

// Owns reports whether the shard of a program is open here. After the journal was sealed by another daemon, the owner
// owns nothing, even before the daemon has closed its shards.
func (o *Owner) Owns(programID string) bool {
	if o.writer.Fenced() {
		return false
	}
	dc, ok := DataCentreOf(programID)
	if !ok || dc != o.cfg.DataCentre {
		return false
	}
	_, open := o.shards[ShardOf(programID)]
	return open
}

// Shards returns the open shards with their epochs.
func (o *Owner) Shards() map[int]uint64 {
	list := make(map[int]uint64, len(o.shards))
	for s, e := range o.shards {
		list[s] = e
	}
	return list
}

// Programs returns the number of programs that have not ended.
func (o *Owner) Programs() int { return len(o.programs) }

// find returns a program for a tenant. A program of another tenant does not exist for it.
func (o *Owner) find(tenant, id string) (*state, error) {
	if !o.Owns(id) {
		return nil, errkind.New(errkind.NotOwner, "")
	}
	p, ok := o.programs[id]
	if !ok || p.created.Tenant != tenant {
		return nil, errkind.New(errkind.ProgramNotFound, "")
	}
	return p, nil
}

// append journals all entries or none.
func (o *Owner) append(p *state, entries ...journal.Entry) (journal.LSN, error) {
	for i := range entries {
		entries[i].Shard, entries[i].Program, entries[i].Epoch = p.shard, p.id, o.shards[p.shard]
	}
	lsn, err := o.writer.AppendAll(entries...)
	if err != nil {
		return 0, writerError(err)
	}
	return lsn, nil
}

func writerError(err error) error {
	if err == journal.ErrFenced {
		return errkind.Wrap(errkind.NotOwner, err, "")
	}
	if err == journal.ErrBacklogFull {
		return errkind.Wrap(errkind.BacklogFull, err, "")
	}
	return errkind.Wrap(errkind.Internal, err, "")
}

// Limits are the bounds that records set for a new program.
type Limits struct {
	BudgetTokens      int64
	MaxTurns          int
	Expiry            time.Duration
	MaxTenantPrograms int // Programs of the tenant in this owner; zero sets no bound.
}

// Create starts a program under an id whose shard must be open here. Creating the same id again for the same tenant
// returns the program that exists.
func (o *Owner) Create(now time.Time, tenant, id string, req caller.CreateProgram, lim Limits) (caller.CreatedProgram, error) {
	if !o.Owns(id) {
		return caller.CreatedProgram{}, errkind.New(errkind.NotOwner, "")
	}
	if p, ok := o.programs[id]; ok {
		if p.created.Tenant != tenant {
			return caller.CreatedProgram{}, errkind.New(errkind.ProgramNotFound, "")
		}
		return o.createdAnswer(p), nil
	}
	if len(o.programs) >= o.cfg.MaxPrograms {
		return caller.CreatedProgram{}, errkind.New(errkind.BacklogFull, "The daemon holds too many programs.").After(time.Second)
	}
	if lim.MaxTenantPrograms > 0 && o.tenantPrograms(tenant) >= lim.MaxTenantPrograms {
		return caller.CreatedProgram{}, errkind.New(errkind.TenantLimit, "").After(time.Second)
	}
	created := journal.Created{
		Tenant:       tenant,
		Class:        req.Class,
		Model:        req.Model,
		Parent:       req.Parent,
		BudgetTokens: boundInt64(req.BudgetTokens, lim.BudgetTokens),
		MaxTurns:     int(boundOptional(int64(req.MaxTurns), int64(lim.MaxTurns))),
		ExpiryMillis: boundOptional(min(req.ExpirySeconds, maxExpirySeconds)*1000, lim.Expiry.Milliseconds()),
		AtMillis:     now.UnixMilli(),
	}
	p := o.newState(id, created, now)
	if _, err := o.append(p, journal.Entry{Created: &created}); err != nil {
		return caller.CreatedProgram{}, err
	}
	o.programs[id] = p
	return o.createdAnswer(p), nil
}

func (o *Owner) createdAnswer(p *state) caller.CreatedProgram {
	return caller.CreatedProgram{Program: o.describe(p), Receipt: o.cfg.Signer.Sign(p.receipt())}
}

func (o *Owner) newState(id string, created journal.Created, now time.Time) *state {
	shard := ShardOf(id)
	return &state{id: id, shard: shard, created: created, active: now, base: o.shards[shard]}
}

func (o *Owner) tenantPrograms(tenant string) int {
	n := 0
	for _, p := range o.programs {
		if p.created.Tenant == tenant && p.ended == "" {
			n++
		}
	}
	return n
}

// boundInt64 returns what was asked for within a limit, and the limit when nothing was asked for.
func boundInt64(asked, limit int64) int64 {
	if asked <= 0 || asked > limit {
		return limit
	}
	return asked
}

// boundOptional is boundInt64 for a limit that is zero where there is none.
func boundOptional(asked, limit int64) int64 {
	if limit <= 0 {
		return max(asked, 0)
	}
	return boundInt64(asked, limit)
}

// maxExpirySeconds keeps the expiry in milliseconds from overflowing. It is one year.
const maxExpirySeconds = 365 * 24 * 3600

// defaultExpiry is the expiry of a program whose record sets none.
const defaultExpiry = 24 * time.Hour

func expiry(millis int64) time.Duration {
	if millis <= 0 {
		return defaultExpiry
	}
	return time.Duration(millis) * time.Millisecond
}

// Describe returns the state of a program.
func (o *Owner) Describe(tenant, id string) (caller.Program, error) {
	p, err := o.find(tenant, id)
	if err != nil {
		return caller.Program{}, err
	}
	return o.describe(p), nil
}

func (o *Owner) describe(p *state) caller.Program {
	d := caller.Program{
		ID:              p.id,
		Class:           p.created.Class,
		Model:           p.created.Model,
		Parent:          p.created.Parent,
		State:           caller.StateRunning,
		Sequence:        p.sequence(),
		DurableSequence: p.durableSequence(o.writer.Durable()),
		Digest:          p.digest(),
		BudgetTokens:    p.created.BudgetTokens,
		SpentTokens:     p.spent,
		MaxTurns:        p.created.MaxTurns,
		DataCentre:      o.cfg.DataCentre,
		Owner:           o.cfg.VM,
	}
	if p.ended != "" {
		d.State, d.EndReason = caller.StateEnded, p.ended
	}
	for key, in := range p.intents {
		if in.unknown && (d.UnknownCallKey == "" || key < d.UnknownCallKey) {
			d.UnknownCallKey = key
		}
	}
	return d
}

// History returns the turns of a program from a sequence on.
func (o *Owner) History(tenant, id string, from uint64) ([]caller.Turn, error) {
	p, err := o.find(tenant, id)
	if err != nil {
		return nil, err
	}
	from = max(from, 1)
	if from > p.sequence() {
		return nil, nil
	}
	return append([]caller.Turn(nil), p.turns[from-1:]...), nil
}

// InFlight returns the sequence of the call that a program has in flight and the incarnation of the daemon that sends it.
// The sequence is zero when there is none.
func (o *Owner) InFlight(tenant, id string) (sequence uint64, ingress string, err error) {
	p, err := o.find(tenant, id)
	if err != nil || p.inFlight == nil {
		return 0, "", err
	}
	return p.inFlight.sequence, p.inFlight.ingress, nil
}

// UnknownCall names a non-idempotent call that may have run.
type UnknownCall struct {
	Program string
	CallKey string
}

// Unknown lists calls whose outcome is unknown, in order, up to a limit.
func (o *Owner) Unknown(limit int) []UnknownCall {
	var list []UnknownCall
	for id, p := range o.programs {
		for key, in := range p.intents {
			if in.unknown {
				list = append(list, UnknownCall{Program: id, CallKey: key})
			}
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Program != list[j].Program {
			return list[i].Program < list[j].Program
		}
		return list[i].CallKey < list[j].CallKey
	})
	return list[:min(len(list), limit)]
}

// Ended names a program whose cache can be released.
type Ended struct {
	Program string
	Tenant  string
	Class   string
	Model   string
	Reason  string
	Took    time.Duration // From the creation to the newest call.
	Turns   int

	Repeated bool // It had ended before.
}

// End closes a program. Ending it twice changes nothing. A call in flight is not awaited; its outcome is still recorded.
func (o *Owner) End(tenant, id, reason string) (Ended, error) {
	p, err := o.find(tenant, id)
	if err != nil {
		return Ended{}, err
	}
	return o.end(p, reason)
}

func (o *Owner) end(p *state, reason string) (Ended, error) {
	done := Ended{
		Program: p.id,
		Tenant:  p.created.Tenant,
		Class:   p.created.Class,
		Model:   p.created.Model,
		Reason:  reason,
		Took:    p.active.Sub(time.UnixMilli(p.created.AtMillis)),
		Turns:   len(p.turns),
	}
	if p.ended != "" {
		done.Reason, done.Repeated = p.ended, true
		return done, nil
	}
	lsn, err := o.append(p, journal.Entry{Ended: &journal.Ended{Reason: reason}})
	if err != nil {
		return Ended{}, err
	}
	p.ended, p.endedLSN = reason, lsn
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
func (o *Owner) Tick(now time.Time) []Ended {
	var list []Ended
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
	if now.Sub(p.endedAt) > retention && p.endedLSN <= o.writer.Durable() {
		o.remove(p)
	}
}

func (o *Owner) remove(p *state) {
	o.historyBytes -= p.bytes
	delete(o.programs, p.id)
}

// HistoryBytes returns the estimated memory of the turns of all programs.
func (o *Owner) HistoryBytes() int64 { return o.historyBytes }

// Resolve records what an operator found out about a call whose outcome is unknown.
func (o *Owner) Resolve(id, callKey string, ran bool, reason string) error {
	if !o.Owns(id) {
		return errkind.New(errkind.NotOwner, "")
	}
	p, ok := o.programs[id]
	if !ok {
		return errkind.New(errkind.ProgramNotFound, "")
	}
	in, ok := p.intents[callKey]
	if !ok || !in.unknown {
		return nil
	}
	entry := journal.Entry{Resolved: &journal.Resolved{CallKey: callKey, Ran: ran, Reason: reason}}
	if _, err := o.append(p, entry); err != nil {
		return err
	}
	p.resolve(callKey, ran, reason)
	return nil
}

func (p *state) resolve(callKey string, ran bool, reason string) {
	delete(p.intents, callKey)
	if !ran {
		return
	}
	if p.resolved == nil {
		p.resolved = map[string]resolution{}
	}
	p.resolved[callKey] = resolution{ran: ran, reason: reason}
}
