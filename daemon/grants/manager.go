// Package grants takes the tokens of a tenant's daily budget from a pool on the platform before they are spent.
package grants

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/grant"
	"jackdawbay.dev/daemon/platform"
)

// Manager holds the token grants of one daemon. It is safe for concurrent use.
type Manager struct {
	dataCentre  string
	store       platform.Store
	records     func() *records.Set
	daemonCount func() int
	log         *slog.Logger

	mu           sync.Mutex
	ledger       *grant.Ledger
	reservations map[string]reservation // By attempt id.

	refillMu sync.Mutex // Held while tokens are taken from a pool.
}

type reservation struct {
	tenant string
	tokens int64
}

// NewManager returns a manager without grants. daemonCount returns the number of daemons of the data centre.
func NewManager(dataCentre string, store platform.Store, currentRecords func() *records.Set, daemonCount func() int, log *slog.Logger) *Manager {
	return &Manager{
		dataCentre:   dataCentre,
		store:        store,
		records:      currentRecords,
		daemonCount:  daemonCount,
		log:          log,
		ledger:       grant.NewLedger(),
		reservations: map[string]reservation{},
	}
}

// dailyLimit returns the share of this data centre in a tenant's daily budget. limited is false for a tenant without a
// budget.
func (m *Manager) dailyLimit(tenant string) (limit int64, limited bool) {
	b, ok := m.records().Budget(tenant)
	if !ok || b.TokensPerDay <= 0 {
		return 0, false
	}
	if len(b.Shares) > 0 {
		return int64(float64(b.TokensPerDay) * b.Shares[m.dataCentre]), true
	}
	return b.TokensPerDay / int64(max(m.records().DataCentreCount(), 1)), true
}

// Reserve reserves tokens of a tenant for an attempt. Reserving again for the same attempt has no effect. It returns
// TenantBudgetExhausted if the share of the data centre is used up, and StoreUnavailable if the pool on the platform
// cannot be read or written.
func (m *Manager) Reserve(ctx context.Context, tenant, attempt string, tokens int64) error {
	limit, limited := m.dailyLimit(tenant)
	if !limited || tokens == 0 {
		return nil
	}
	day := grant.Day(time.Now())
	if m.tryReserve(day, tenant, attempt, tokens) == 0 {
		return nil
	}
	m.refillMu.Lock()
	defer m.refillMu.Unlock()
	missing := m.tryReserve(day, tenant, attempt, tokens)
	if missing == 0 {
		return nil
	}
	taken, err := m.takeFromPool(ctx, day, tenant, limit, missing, grant.GrantSize(limit, tokens, m.daemonCount()))
	if err != nil {
		return errkind.Wrap(errkind.StoreUnavailable, err, "The tenant's budget cannot be read now.").WithRetryAfter(time.Second)
	}
	m.mu.Lock()
	m.ledger.AddGrant(day, tenant, taken)
	m.mu.Unlock()
	if m.tryReserve(day, tenant, attempt, tokens) > 0 {
		return errkind.Newf(errkind.TenantBudgetExhausted, "The share of data centre %s for this day is used up.", m.dataCentre)
	}
	return nil
}

func (m *Manager) tryReserve(day, tenant, attempt string, tokens int64) (missing int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.reservations[attempt]; ok {
		return 0
	}
	missing = m.ledger.Reserve(day, tenant, tokens)
	if missing == 0 {
		m.reservations[attempt] = reservation{tenant: tenant, tokens: tokens}
	}
	return missing
}

// maxTakeAttempts bounds the attempts of a take that conflicts with the writes of other daemons.
const maxTakeAttempts = 8

// takeFromPool moves tokens from the pool of the data centre to this daemon. A write whose response was lost is
// resolved by reading the pool back. If that shows the write of another daemon, the tokens may count as granted
// although no daemon holds them. This never allows more than the limit.
func (m *Manager) takeFromPool(ctx context.Context, day, tenant string, limit, minTokens, wantedTokens int64) (int64, error) {
	name := m.dataCentre + "." + tenant
	for range maxTakeAttempts {
		pool, version, err := m.readPool(ctx, name)
		if err != nil {
			return 0, err
		}
		next, taken := pool.Allocate(day, limit, minTokens, wantedTokens)
		if taken == 0 {
			return 0, nil
		}
		next.WriteID = ulid.Make().String()
		_, err = m.store.Put(ctx, platform.KindTenantGrant, name, version, next)
		if err == nil {
			return taken, nil
		}
		if _, conflict := platform.AsConflict(err); !conflict && !errors.Is(err, platform.ErrOutcomeUnknown) {
			return 0, err
		}
		stored, _, err := m.readPool(ctx, name)
		if err != nil {
			return 0, err
		}
		if stored.WriteID == next.WriteID {
			return taken, nil
		}
	}
	return 0, errors.New("too many conflicting writes to the tenant's token pool")
}

func (m *Manager) readPool(ctx context.Context, name string) (grant.Pool, uint64, error) {
	obj, err := m.store.Get(ctx, platform.KindTenantGrant, name)
	if errors.Is(err, platform.ErrNotFound) {
		return grant.Pool{}, 0, nil
	}
	if err != nil {
		return grant.Pool{}, 0, err
	}
	var p grant.Pool
	if err := json.Unmarshal(obj.Value, &p); err != nil {
		return grant.Pool{}, 0, errors.Wrap(err, "decode token pool")
	}
	return p, obj.Version, nil
}

// Settle ends the reservation of an attempt and charges the tokens that it used.
func (m *Manager) Settle(tenant, attempt string, used int64) {
	if _, limited := m.dailyLimit(tenant); !limited {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.reservations[attempt]
	delete(m.reservations, attempt)
	m.ledger.Settle(grant.Day(time.Now()), tenant, r.tokens, used)
}

// SettleInFull ends the reservation of an attempt whose usage is unknown and charges all reserved tokens.
func (m *Manager) SettleInFull(tenant, attempt string) {
	m.mu.Lock()
	tokens := m.reservations[attempt].tokens
	m.mu.Unlock()
	m.Settle(tenant, attempt, tokens)
}

// ReturnUnspent returns unspent tokens to the pools at a planned stop. Tokens that cannot be returned count as spent.
func (m *Manager) ReturnUnspent(ctx context.Context) {
	day := grant.Day(time.Now())
	m.mu.Lock()
	unused := map[string]int64{}
	for _, tenant := range m.ledger.Tenants() {
		unused[tenant] = m.ledger.ReleaseUnused(day, tenant)
	}
	m.mu.Unlock()
	for tenant, tokens := range unused {
		if tokens == 0 {
			continue
		}
		if err := m.returnToPool(ctx, day, tenant, tokens); err != nil {
			m.log.Warn("unspent tokens were not returned", "tenant", tenant, "tokens", tokens, "error", err)
		}
	}
}

// returnToPool returns tokens to the pool. It makes a single attempt, because a return whose response was lost must not
// be repeated.
func (m *Manager) returnToPool(ctx context.Context, day, tenant string, tokens int64) error {
	name := m.dataCentre + "." + tenant
	pool, version, err := m.readPool(ctx, name)
	if err != nil {
		return err
	}
	next := pool.Return(day, tokens)
	next.WriteID = ulid.Make().String()
	_, err = m.store.Put(ctx, platform.KindTenantGrant, name, version, next)
	return err
}
