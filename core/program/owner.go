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
}

// Owner holds the programs of the shards that one daemon incarnation owns. It is not safe for concurrent use.
type Owner struct {
	cfg      Config
	writer   *journal.Writer
	shards   map[int]uint64 // Epoch of each open shard.
	programs map[string]*state
}

// NewOwner returns an owner without shards.
func NewOwner(cfg Config) *Owner {
	return &Owner{
		cfg:      cfg,
		writer:   journal.NewWriter(cfg.Incarnation, cfg.Journal),
		shards:   map[int]uint64{},
		programs: map[string]*state{},
	}
}

// Journal returns the writer whose segments must be stored.
func (o *Owner) Journal() *journal.Writer { return o.writer }

// Owns reports whether the shard of a program is open here.
func (o *Owner) Owns(programID string) bool {
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

func (o *Owner) append(p *state, e journal.Entry) (journal.LSN, error) {
	e.Shard, e.Program, e.Epoch = p.shard, p.id, o.shards[p.shard]
	lsn, err := o.writer.Append(e)
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
		MaxTurns:     int(boundInt64(int64(req.MaxTurns), int64(lim.MaxTurns))),
		ExpiryMillis: boundInt64(req.ExpirySeconds*1000, lim.Expiry.Milliseconds()),
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
	return &state{id: id, shard: ShardOf(id), created: created, active: now}
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

// Ended names a program whose cache can be released.
type Ended struct {
	Program string
	Tenant  string
	Model   string
	Reason  string
}

// End closes a program. Ending it twice changes nothing. A call in flight is not awaited; its completion is ignored.
func (o *Owner) End(tenant, id, reason string) (Ended, error) {
	p, err := o.find(tenant, id)
	if err != nil {
		return Ended{}, err
	}
	return o.end(p, reason)
}

func (o *Owner) end(p *state, reason string) (Ended, error) {
	done := Ended{Program: p.id, Tenant: p.created.Tenant, Model: p.created.Model, Reason: reason}
	if p.ended != "" {
		done.Reason = p.ended
		return done, nil
	}
	if _, err := o.append(p, journal.Entry{Ended: &journal.Ended{Reason: reason}}); err != nil {
		return Ended{}, err
	}
	p.ended = reason
	return done, nil
}

// Reasons for the end of a program.
const (
	EndedByCaller = "ended by its caller"
	EndedIdle     = "idle for longer than its expiry"
)

// endedRetention is how long an ended program answers as ended before it is forgotten.
const endedRetention = 10 * time.Minute

// Tick ends programs whose callers are gone and forgets programs that ended long ago. It returns the newly ended ones in
// order of id.
func (o *Owner) Tick(now time.Time) []Ended {
	var list []Ended
	for id, p := range o.programs {
		idle := now.Sub(p.active)
		if p.ended != "" {
			if idle > endedRetention && p.durableSequence(o.writer.Durable()) == p.sequence() {
				delete(o.programs, id)
			}
			continue
		}
		o.expireAttempt(now, p)
		if p.inFlight != nil || idle < time.Duration(p.created.ExpiryMillis)*time.Millisecond {
			continue
		}
		if e, err := o.end(p, EndedIdle); err == nil {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Program < list[j].Program })
	return list
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
