// Package grant divides the daily token budget of a tenant. Each data centre has a share of the budget. Its owners
// allocate tokens from a pool on the platform before they spend them, so that each side of a partition spends only
// allocated tokens. The package does no I/O.
package grant

import "time"

// Day returns the UTC date of a time, as YYYY-MM-DD.
func Day(now time.Time) string { return now.UTC().Format("2006-01-02") }

// Pool is the record of the tokens that were allocated from a data centre's share. There is one platform object for
// each data centre and tenant.
type Pool struct {
	Day     string `json:"day"`
	Granted int64  `json:"granted"`
	WriteID string `json:"write_id"` // Identifies the write if its response was lost.
}

// Allocate allocates the larger of need and want from the tokens that remain of a limit, but at most all that remain.
// It returns zero tokens if fewer than need remain or if the pool belongs to a later day.
func (p Pool) Allocate(day string, limit, need, want int64) (Pool, int64) {
	if p.Day < day {
		p = Pool{Day: day}
	}
	if p.Day > day {
		// The clock of another daemon is already on the next day. Nothing is allocated from a day other than the
		// current one.
		return p, 0
	}
	remaining := limit - p.Granted
	if remaining < need {
		return p, 0
	}
	allocated := min(max(want, need), remaining)
	p.Granted += allocated
	return p, allocated
}

// Return returns unspent tokens to the pool.
func (p Pool) Return(day string, tokens int64) Pool {
	if p.Day == day {
		p.Granted = max(p.Granted-tokens, 0)
	}
	return p
}

// GrantSize returns the number of tokens that a daemon allocates at a time. It covers several calls, so that a daemon
// allocates rarely, and it is a small part of the limit, so that a crash of the daemon loses few tokens.
func GrantSize(limit, need int64, daemons int) int64 {
	const (
		grantsPerDaemon = 20
		callsPerGrant   = 4
	)
	limitShare := limit / int64(grantsPerDaemon*max(daemons, 1))
	return max(limitShare, callsPerGrant*need)
}

// account is the part of one tenant's budget that a daemon holds.
type account struct {
	day      string
	granted  int64
	used     int64
	reserved int64
}

// Ledger tracks the tokens that a daemon holds for each tenant. It is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*account
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: map[string]*account{}} }

func (l *Ledger) account(day, tenant string) *account {
	a, ok := l.accounts[tenant]
	if !ok {
		a = &account{day: day}
		l.accounts[tenant] = a
	}
	if a.day < day {
		// Reservations of the previous day are settled against the new day. This never allows more than was granted.
		*a = account{day: day, reserved: a.reserved, granted: a.reserved}
	}
	return a
}

// Reserve reserves tokens for a call. It returns the number of missing tokens, or zero if the call may run.
func (l *Ledger) Reserve(day, tenant string, tokens int64) (missing int64) {
	a := l.account(day, tenant)
	unused := a.granted - a.used - a.reserved
	if unused < tokens {
		return tokens - unused
	}
	a.reserved += tokens
	return 0
}

// AddGrant adds granted tokens to the account of a tenant. It does nothing if the account is on a later day.
func (l *Ledger) AddGrant(day, tenant string, tokens int64) {
	a := l.account(day, tenant)
	if a.day == day {
		a.granted += tokens
	}
}

// Settle ends a reservation and counts the used tokens. For a call that another owner reserved, reserved is zero.
func (l *Ledger) Settle(day, tenant string, reserved, used int64) {
	a := l.account(day, tenant)
	a.reserved -= reserved
	a.used += used
}

// ReleaseUnused removes the tokens that are neither used nor reserved, and returns their number. The caller returns
// them to the pool.
func (l *Ledger) ReleaseUnused(day, tenant string) int64 {
	a := l.account(day, tenant)
	unused := max(a.granted-a.used-a.reserved, 0)
	a.granted -= unused
	return unused
}

// Tenants returns the tenants that have an account.
func (l *Ledger) Tenants() []string {
	tenants := make([]string, 0, len(l.accounts))
	for t := range l.accounts {
		tenants = append(tenants, t)
	}
	return tenants
}
