package program

import (
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// Limits are the limits of a new program, taken from the configuration records.
type Limits struct {
	BudgetTokens      int64
	MaxTurns          int
	Expiry            time.Duration
	MaxTenantPrograms int // Running programs of the tenant in this owner; zero means no limit.
}

// Create creates a program under an id whose shard must be open here. If the same tenant has created the id before, it
// returns the existing program.
func (o *Owner) Create(now time.Time, tenant, id string, req caller.CreateProgram, lim Limits) (caller.CreatedProgram, error) {
	if !o.Owns(id) {
		return caller.CreatedProgram{}, errkind.New(errkind.NotOwner, "")
	}
	if p, ok := o.programs[id]; ok {
		if p.created.Tenant != tenant {
			return caller.CreatedProgram{}, errkind.New(errkind.ProgramNotFound, "")
		}
		return o.createdResponse(p), nil
	}
	if len(o.programs) >= o.cfg.MaxPrograms {
		return caller.CreatedProgram{}, errkind.New(errkind.BacklogFull, "The daemon holds too many programs.").WithRetryAfter(time.Second)
	}
	if lim.MaxTenantPrograms > 0 && o.countTenantPrograms(tenant) >= lim.MaxTenantPrograms {
		return caller.CreatedProgram{}, errkind.New(errkind.TenantLimit, "").WithRetryAfter(time.Second)
	}
	created := journal.Created{
		Tenant:       tenant,
		Class:        req.Class,
		Model:        req.Model,
		Parent:       req.Parent,
		BudgetTokens: clampToLimit(req.BudgetTokens, lim.BudgetTokens),
		MaxTurns:     int(clampToOptionalLimit(int64(req.MaxTurns), int64(lim.MaxTurns))),
		ExpiryMillis: clampToOptionalLimit(min(req.ExpirySeconds, maxExpirySeconds)*1000, lim.Expiry.Milliseconds()),
		AtMillis:     now.UnixMilli(),
	}
	p := o.newProgramState(id, created, now)
	p.reservedTokens = creatorAllowance(created.BudgetTokens)
	p.usableReservation = p.reservedTokens
	if _, err := o.appendEntries(p, journal.Entry{Created: &created}); err != nil {
		return caller.CreatedProgram{}, err
	}
	o.programs[id] = p
	return o.createdResponse(p), nil
}

func (o *Owner) createdResponse(p *programState) caller.CreatedProgram {
	return caller.CreatedProgram{Program: o.describe(p), Receipt: o.cfg.Signer.Sign(p.receipt())}
}

func (o *Owner) newProgramState(id string, created journal.Created, now time.Time) *programState {
	shard := ShardOf(id)
	return &programState{id: id, shard: shard, created: created, lastActive: now, firstUnaccountedEpoch: o.openEpochs[shard]}
}

func (o *Owner) countTenantPrograms(tenant string) int {
	n := 0
	for _, p := range o.programs {
		if p.created.Tenant == tenant && p.endReason == "" {
			n++
		}
	}
	return n
}

// clampToLimit returns the requested value, but at most limit. It returns limit if no value was requested.
func clampToLimit(requested, limit int64) int64 {
	if requested <= 0 || requested > limit {
		return limit
	}
	return requested
}

// clampToOptionalLimit is like clampToLimit, but a limit of zero means no limit.
func clampToOptionalLimit(requested, limit int64) int64 {
	if limit <= 0 {
		return max(requested, 0)
	}
	return clampToLimit(requested, limit)
}

// maxExpirySeconds limits the expiry to one year, so that the expiry in milliseconds cannot overflow.
const maxExpirySeconds = 365 * 24 * 3600

// defaultExpiry is the expiry of a program if its record sets none.
const defaultExpiry = 24 * time.Hour

func expiryDuration(millis int64) time.Duration {
	if millis <= 0 {
		return defaultExpiry
	}
	return time.Duration(millis) * time.Millisecond
}
