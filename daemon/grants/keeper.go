// Package grants takes a tenant's tokens from the platform before they are spent.
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

// Keeper holds the grants of one daemon. It is safe for concurrent use.
type Manager struct {
	dataCentre string
	store      platform.Store
	records    func() *records.Set
	daemons    func() int
	log        *slog.Logger

	mu       sync.Mutex
	ledger   *grant.Ledger
	reserved map[string]reservation // By attempt.

	taking sync.Mutex // One grant is taken at a time.
}

type reservation struct {
	tenant string
	tokens int64
}

// NewManager returns a keeper without grants. daemons returns the number of daemons of the data centre.
func NewManager(dataCentre string, store platform.Store, set func() *records.Set, daemons func() int, log *slog.Logger) *Manager {
	return &Manager{
		dataCentre: dataCentre,
		store:      store,
		records:    set,
		daemons:    daemons,
		log:        log,
		ledger:     grant.NewLedger(),
		reserved:   map[string]reservation{},
	}
}

// limit returns the share of this data centre in a tenant's daily budget. limited is false for a tenant without one.
func (k *Manager) limit(tenant string) (limit int64, limited bool) {
	b, ok := k.records().Budget(tenant)
	if !ok || b.TokensPerDay <= 0 {
		return 0, false
	}
	if len(b.Shares) > 0 {
		return int64(float64(b.TokensPerDay) * b.Shares[k.dataCentre]), true
	}
	return b.TokensPerDay / int64(max(k.records().DataCentreCount(), 1)), true
}

// Reserve sets tokens of a tenant aside for an attempt. Reserving again for the same attempt changes nothing. A refusal is
// TenantBudgetExhausted, or StoreUnavailable when the platform cannot be asked for more.
func (k *Manager) Reserve(ctx context.Context, tenant, attempt string, tokens int64) error {
	limit, limited := k.limit(tenant)
	if !limited || tokens == 0 {
		return nil
	}
	day := grant.Day(time.Now())
	if k.tryReserve(day, tenant, attempt, tokens) == 0 {
		return nil
	}
	k.taking.Lock()
	defer k.taking.Unlock()
	missing := k.tryReserve(day, tenant, attempt, tokens)
	if missing == 0 {
		return nil
	}
	taken, err := k.take(ctx, day, tenant, limit, missing, grant.GrantSize(limit, tokens, k.daemons()))
	if err != nil {
		return errkind.Wrap(errkind.StoreUnavailable, err, "The tenant's budget cannot be read now.").WithRetryAfter(time.Second)
	}
	k.mu.Lock()
	k.ledger.AddGrant(day, tenant, taken)
	k.mu.Unlock()
	if k.tryReserve(day, tenant, attempt, tokens) > 0 {
		return errkind.Newf(errkind.TenantBudgetExhausted, "The share of data centre %s for this day is used up.", k.dataCentre)
	}
	return nil
}

func (k *Manager) tryReserve(day, tenant, attempt string, tokens int64) (missing int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.reserved[attempt]; ok {
		return 0
	}
	missing = k.ledger.Reserve(day, tenant, tokens)
	if missing == 0 {
		k.reserved[attempt] = reservation{tenant: tenant, tokens: tokens}
	}
	return missing
}

// maxTakes bounds how often a take runs into another daemon's.
const maxTakes = 8

// take moves tokens from the pool of the data centre to this daemon. A write whose answer was lost is resolved by reading
// back; when that shows another daemon's write, the tokens count as handed out to no one, which never allows more than
// the limit.
func (k *Manager) take(ctx context.Context, day, tenant string, limit, need, want int64) (int64, error) {
	name := k.dataCentre + "." + tenant
	for range maxTakes {
		pool, version, err := k.read(ctx, name)
		if err != nil {
			return 0, err
		}
		next, taken := pool.Allocate(day, limit, need, want)
		if taken == 0 {
			return 0, nil
		}
		next.WriteID = ulid.Make().String()
		_, err = k.store.Put(ctx, platform.KindTenantGrant, name, version, next)
		if err == nil {
			return taken, nil
		}
		if _, conflict := platform.AsConflict(err); !conflict && !errors.Is(err, platform.ErrOutcomeUnknown) {
			return 0, err
		}
		stored, _, err := k.read(ctx, name)
		if err != nil {
			return 0, err
		}
		if stored.WriteID == next.WriteID {
			return taken, nil
		}
	}
	return 0, errors.New("the pool of the tenant's tokens changes too fast")
}

func (k *Manager) read(ctx context.Context, name string) (grant.Pool, uint64, error) {
	obj, err := k.store.Get(ctx, platform.KindTenantGrant, name)
	if errors.Is(err, platform.ErrNotFound) {
		return grant.Pool{}, 0, nil
	}
	if err != nil {
		return grant.Pool{}, 0, err
	}
	var p grant.Pool
	if err := json.Unmarshal(obj.Value, &p); err != nil {
		return grant.Pool{}, 0, errors.Wrap(err, "decode pool of tokens")
	}
	return p, obj.Version, nil
}

// Settle ends the reservation of an attempt and counts the tokens that it used.
func (k *Manager) Settle(tenant, attempt string, used int64) {
	if _, limited := k.limit(tenant); !limited {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.reserved[attempt]
	delete(k.reserved, attempt)
	k.ledger.Settle(grant.Day(time.Now()), tenant, r.tokens, used)
}

// Forfeit ends the reservation of an attempt whose usage is unknown and counts it whole.
func (k *Manager) SettleInFull(tenant, attempt string) {
	k.mu.Lock()
	tokens := k.reserved[attempt].tokens
	k.mu.Unlock()
	k.Settle(tenant, attempt, tokens)
}

// ReturnUnspent gives unspent tokens back at a planned stop. What cannot be returned counts as spent.
func (k *Manager) ReturnUnspent(ctx context.Context) {
	day := grant.Day(time.Now())
	k.mu.Lock()
	unused := map[string]int64{}
	for _, tenant := range k.ledger.Tenants() {
		unused[tenant] = k.ledger.ReleaseUnused(day, tenant)
	}
	k.mu.Unlock()
	for tenant, tokens := range unused {
		if tokens == 0 {
			continue
		}
		if err := k.give(ctx, day, tenant, tokens); err != nil {
			k.log.Warn("unspent tokens were not returned", "tenant", tenant, "tokens", tokens, "error", err)
		}
	}
}

// give returns tokens to the pool. It tries once: a return whose answer was lost must not be repeated.
func (k *Manager) give(ctx context.Context, day, tenant string, tokens int64) error {
	name := k.dataCentre + "." + tenant
	pool, version, err := k.read(ctx, name)
	if err != nil {
		return err
	}
	next := pool.Return(day, tokens)
	next.WriteID = ulid.Make().String()
	_, err = k.store.Put(ctx, platform.KindTenantGrant, name, version, next)
	return err
}
