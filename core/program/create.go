package program

import (
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

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
		return caller.CreatedProgram{}, errkind.New(errkind.BacklogFull, "The daemon holds too many programs.").WithRetryAfter(time.Second)
	}
	if lim.MaxTenantPrograms > 0 && o.tenantPrograms(tenant) >= lim.MaxTenantPrograms {
		return caller.CreatedProgram{}, errkind.New(errkind.TenantLimit, "").WithRetryAfter(time.Second)
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
	p.reserved = creatorAllowance(created.BudgetTokens)
	p.own = p.reserved
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
